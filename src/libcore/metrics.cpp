#include "libcore/metrics.h"

#include <sstream>

namespace amaranthward {

namespace {

namespace acc = boost::accumulators;

std::string familyOf(const std::string &Name) {
  return Name.substr(0, Name.find('{'));
}

// Inserts a label, which may have to join existing labels.
template <typename Value>
std::string withLabel(const std::string &Name, const char *Key, Value Of) {
  std::ostringstream Label;
  Label << Key << "=\"" << Of << "\"}";
  if (Name.back() == '}')
    return Name.substr(0, Name.size() - 1) + ',' + Label.str();
  return Name + '{' + Label.str();
}

std::string withSuffix(const std::string &Name, const char *Suffix) {
  std::string Family = familyOf(Name);
  return Family + Suffix + Name.substr(Family.size());
}

class TypeLines {
public:
  explicit TypeLines(std::ostream &Out) : Out(Out) {}
  void write(const std::string &Name, const char *Type) {
    std::string Family = familyOf(Name);
    if (Family == this->Last)
      return;
    this->Out << "# TYPE " << Family << ' ' << Type << '\n';
    this->Last = Family;
  }

private:
  std::ostream &Out;
  std::string Last;
};

} // namespace

Distribution::Distribution()
    : Values(acc::tag::extended_p_square::probabilities = Quantiles) {}

void Distribution::add(double Value) { this->Values(Value); }

std::uint64_t Distribution::count() const { return acc::count(this->Values); }

double Distribution::sum() const { return acc::sum(this->Values); }

double Distribution::min() const {
  return this->count() == 0 ? 0 : acc::min(this->Values);
}

double Distribution::max() const {
  return this->count() == 0 ? 0 : acc::max(this->Values);
}

double Distribution::quantile(std::size_t Index) const {
  return this->count() == 0 ? 0 : acc::extended_p_square(this->Values)[Index];
}

std::string Metrics::toText() const {
  std::ostringstream Out;
  TypeLines Types(Out);
  for (const auto &[Name, Value] : this->Counters) {
    Types.write(Name, "counter");
    Out << Name << ' ' << Value << '\n';
  }
  for (const auto &[Name, Value] : this->Gauges) {
    Types.write(Name, "gauge");
    Out << Name << ' ' << Value << '\n';
  }
  for (const auto &[Name, Value] : this->Distributions) {
    Types.write(Name, "summary");
    for (std::size_t Index = 0; Index < Distribution::Quantiles.size(); ++Index)
      Out << withLabel(Name, "quantile", Distribution::Quantiles[Index]) << ' '
          << Value.quantile(Index) << '\n';
    Out << withSuffix(Name, "_sum") << ' ' << Value.sum() << '\n';
    Out << withSuffix(Name, "_count") << ' ' << Value.count() << '\n';
  }
  for (const auto &[Name, Value] : this->Latencies) {
    Types.write(Name, "histogram");
    std::string Bucket = withSuffix(Name, "_bucket");
    for (std::size_t Index = 0; Index < LatencyBuckets::Bounds.size(); ++Index)
      Out << withLabel(Bucket, "le", LatencyBuckets::Bounds[Index] / 1000.0)
          << ' ' << Value.upTo(Index) << '\n';
    Out << withLabel(Bucket, "le", "+Inf") << ' ' << Value.count() << '\n';
    Out << withSuffix(Name, "_sum") << ' ' << Value.sumSeconds() << '\n';
    Out << withSuffix(Name, "_count") << ' ' << Value.count() << '\n';
  }
  return Out.str();
}

Json Metrics::toJson() const {
  Json Out = Json::object();
  for (const auto &[Name, Value] : this->Counters)
    Out[Name] = Value;
  for (const auto &[Name, Value] : this->Gauges)
    Out[Name] = Value;
  for (const auto &[Name, Value] : this->Distributions) {
    Out[Name] = {{"count", Value.count()},   {"sum", Value.sum()},
                 {"min", Value.min()},       {"max", Value.max()},
                 {"p50", Value.quantile(0)}, {"p90", Value.quantile(1)},
                 {"p99", Value.quantile(2)}};
  }
  for (const auto &[Name, Value] : this->Latencies)
    Out[Name] = {{"count", Value.count()}, {"sum", Value.sumSeconds()}};
  return Out;
}

} // namespace amaranthward
