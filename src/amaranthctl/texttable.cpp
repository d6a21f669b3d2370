#include "amaranthctl/texttable.h"

#include <algorithm>

namespace amaranthward {

std::string TextTable::toText() const {
  std::vector<std::size_t> Widths;
  for (const auto &Row : this->Rows) {
    Widths.resize(std::max(Widths.size(), Row.size()));
    for (std::size_t Column = 0; Column < Row.size(); ++Column)
      Widths[Column] = std::max(Widths[Column], Row[Column].size());
  }
  std::string Text;
  for (const auto &Row : this->Rows) {
    std::string Line;
    for (std::size_t Column = 0; Column < Row.size(); ++Column) {
      Line += Row[Column];
      Line.append(Widths[Column] - Row[Column].size() + 2, ' ');
    }
    Line.erase(Line.find_last_not_of(' ') + 1);
    Text += Line + '\n';
  }
  return Text;
}

} // namespace amaranthward
