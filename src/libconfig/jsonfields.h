#ifndef AMARANTHWARD_LIBCONFIG_JSONFIELDS_H
#define AMARANTHWARD_LIBCONFIG_JSONFIELDS_H

#include "libcore/json.h"
#include "libcore/units.h"
#include <string>
#include <vector>

namespace amaranthward {

/// Reads required fields of a JSON object and keeps the first problem, so that
/// a reader checks once after the last field.
class JsonFields {
public:
  explicit JsonFields(const Json &Object);

  std::uint64_t number(const char *Key);
  std::uint32_t number32(const char *Key);
  /// A number that is not negative, with or without decimals.
  double decimal(const char *Key);
  std::string text(const char *Key);
  std::vector<std::string> texts(const char *Key);
  bool boolean(const char *Key);
  /// Reads microseconds.
  Duration duration(const char *Key);
  Share share(const char *Key);
  /// An array or object; an empty object when missing.
  const Json &array(const char *Key);
  const Json &object(const char *Key);
  bool has(const char *Key) const;

  bool good() const { return this->Problem.empty(); }
  tl::unexpected<Error> failure() const;

private:
  const Json &at(const char *Key, bool (Json::*IsType)() const noexcept,
                 const char *Type);

  const Json &Object;
  std::string Problem;
};

} // namespace amaranthward

#endif
