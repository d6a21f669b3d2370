#ifndef AMARANTHWARD_AMARANTHCTL_TEXTTABLE_H
#define AMARANTHWARD_AMARANTHCTL_TEXTTABLE_H

#include <string>
#include <vector>

namespace amaranthward {

/// Rows of text in columns that are as wide as their longest cell.
class TextTable {
public:
  explicit TextTable(std::vector<std::string> Header)
      : Rows({std::move(Header)}) {}

  void addRow(std::vector<std::string> Row) {
    this->Rows.push_back(std::move(Row));
  }
  bool empty() const { return this->Rows.size() == 1; }
  /// Each line ends with a line break and without trailing spaces.
  std::string toText() const;

private:
  std::vector<std::vector<std::string>> Rows;
};

} // namespace amaranthward

#endif
