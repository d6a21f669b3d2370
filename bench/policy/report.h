#ifndef AMARANTHWARD_BENCH_POLICY_REPORT_H
#define AMARANTHWARD_BENCH_POLICY_REPORT_H

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace amaranthward {

/// What one group of rows has in common.
struct CaseLabel {
  std::string Case;
  std::string Policy;
  std::uint64_t Seeds = 0;
};

enum class RowVerdict {
  Met,
  Missed,
  /// The row has no bound, or belongs to a baseline.
  Printed,
};

struct Row {
  CaseLabel Label;
  std::string Figure;
  double Value = 0;
  /// "<= 2" or "-".
  std::string Bound;
  RowVerdict Verdict = RowVerdict::Printed;
};

/// The table of one run.
class Report {
public:
  void atMost(const CaseLabel &Label, const std::string &Figure, double Value,
              double Bound);
  void atLeast(const CaseLabel &Label, const std::string &Figure, double Value,
               double Bound);
  /// Prints a bound without enforcing it, for baselines.
  void compare(const CaseLabel &Label, const std::string &Figure, double Value,
               double Bound);
  void print(const CaseLabel &Label, const std::string &Figure, double Value);

  bool hasMissed() const;
  const std::vector<Row> &rows() const { return this->Rows; }
  void write(std::ostream &Out) const;

private:
  std::vector<Row> Rows;
};

} // namespace amaranthward

#endif
