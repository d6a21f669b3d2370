#include "report.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace amaranthward {
namespace {

std::string numberText(double Value) {
  std::array<char, 32> Text = {};
  std::snprintf(Text.data(), Text.size(), "%.4g", Value);
  return Text.data();
}

const char *verdictText(RowVerdict Verdict) {
  switch (Verdict) {
  case RowVerdict::Met:
    return "met";
  case RowVerdict::Missed:
    return "MISSED";
  case RowVerdict::Printed:
    return "-";
  }
  return "unknown";
}

RowVerdict verdictOf(bool IsMet) {
  return IsMet ? RowVerdict::Met : RowVerdict::Missed;
}

} // namespace

void Report::atMost(const CaseLabel &Label, const std::string &Figure,
                    double Value, double Bound) {
  this->Rows.push_back({Label, Figure, Value, "<= " + numberText(Bound),
                        verdictOf(Value <= Bound)});
}

void Report::atLeast(const CaseLabel &Label, const std::string &Figure,
                     double Value, double Bound) {
  this->Rows.push_back({Label, Figure, Value, ">= " + numberText(Bound),
                        verdictOf(Value >= Bound)});
}

void Report::compare(const CaseLabel &Label, const std::string &Figure,
                     double Value, double Bound) {
  this->Rows.push_back(
      {Label, Figure, Value, "(" + numberText(Bound) + ")", {}});
  this->Rows.back().Verdict = RowVerdict::Printed;
}

void Report::print(const CaseLabel &Label, const std::string &Figure,
                   double Value) {
  this->Rows.push_back({Label, Figure, Value, "-", RowVerdict::Printed});
}

bool Report::hasMissed() const {
  return std::any_of(this->Rows.begin(), this->Rows.end(), [](const Row &One) {
    return One.Verdict == RowVerdict::Missed;
  });
}

void Report::write(std::ostream &Out) const {
  std::array<char, 256> Line = {};
  auto WriteLine = [&](const char *Case, const char *Policy, const char *Seeds,
                       const char *Figure, const char *Value, const char *Bound,
                       const char *Verdict) {
    std::snprintf(Line.data(), Line.size(),
                  "%-30s %-16s %6s  %-38s %10s %10s  %s\n", Case, Policy, Seeds,
                  Figure, Value, Bound, Verdict);
    Out << Line.data();
  };
  WriteLine("case", "policy", "seeds", "figure", "value", "bound", "verdict");
  for (const Row &One : this->Rows)
    WriteLine(One.Label.Case.c_str(), One.Label.Policy.c_str(),
              std::to_string(One.Label.Seeds).c_str(), One.Figure.c_str(),
              numberText(One.Value).c_str(), One.Bound.c_str(),
              verdictText(One.Verdict));
}

} // namespace amaranthward
