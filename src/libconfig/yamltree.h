#ifndef AMARANTHWARD_LIBCONFIG_YAMLTREE_H
#define AMARANTHWARD_LIBCONFIG_YAMLTREE_H

#include "libcore/finding.h"
#include <optional>
#include <string>
#include <vector>

namespace amaranthward {

struct YamlField;

/// One value of a YAML document with its position. Unlike YAML::Node, it keeps
/// repeated keys, so that they can be reported.
struct YamlNode {
  enum class Kind { Null, Scalar, Sequence, Map };

  Kind What = Kind::Null;
  std::string Text;
  bool Quoted = false;
  /// Count from 1.
  int Line = 0;
  int Column = 0;
  std::vector<YamlNode> Items;
  std::vector<YamlField> Fields;

  /// First field of that name, or null.
  const YamlNode *field(const std::string &Name) const;
};

struct YamlField {
  YamlNode Key;
  YamlNode Value;
};

/// Nesting beyond this depth is refused.
inline constexpr std::size_t MaxYamlDepth = 32;
/// Bounds the memory that a text of many short values takes.
inline constexpr std::size_t MaxYamlNodes = 400000;

/// Bound on the bytes [ ] { } and comma. yaml-cpp keeps all tokens of a flow
/// collection, about 230 bytes each, until the collection is closed.
inline constexpr std::size_t MaxYamlFlowBytes = 200000;

/// Parses exactly one document. Anchors, aliases and tags are refused.
/// Returns nothing when the text cannot be represented; \a All then has at
/// least one error. Never throws.
std::optional<YamlNode> parseYaml(const std::string &Text,
                                  const std::string &FileName,
                                  std::size_t MaxBytes, Findings &All);

} // namespace amaranthward

#endif
