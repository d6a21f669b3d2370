#ifndef AMARANTHWARD_LIBDISTRIBUTION_MESSAGEFIELDS_H
#define AMARANTHWARD_LIBDISTRIBUTION_MESSAGEFIELDS_H

#include "libcore/json.h"
#include <optional>
#include <string>

namespace amaranthward {

/// Reads the fields of one JSON object and remembers the first fault, so that
/// a decoder checks once at its end. Unknown fields are ignored.
class MessageFields {
public:
  MessageFields(const Json &Object, const char *ObjectName);

  std::uint64_t number(const char *Key);
  std::uint64_t numberOr(const char *Key, std::uint64_t Default);
  std::string text(const char *Key);
  std::string textOr(const char *Key, const char *Default);
  /// Absent means false; present must be a boolean or the number 1.
  bool flag(const char *Key);
  /// Null when absent; fails when present and not an array.
  const Json *array(const char *Key);
  const Json *find(const char *Key) const;

  void recordError(const std::string &Message);
  /// Takes over the fault of a nested decoder.
  template <typename T> T take(Result<T> Nested) {
    if (Nested)
      return std::move(*Nested);
    this->recordError(Nested.error().Message);
    return T();
  }
  const std::optional<Error> &failure() const { return this->Failure; }

private:
  const Json &Object;
  const char *ObjectName;
  std::optional<Error> Failure;
};

} // namespace amaranthward

#endif
