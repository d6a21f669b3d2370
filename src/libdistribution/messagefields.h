#ifndef AMARANTHWARD_LIBDISTRIBUTION_MESSAGEFIELDS_H
#define AMARANTHWARD_LIBDISTRIBUTION_MESSAGEFIELDS_H

#include "libcore/json.h"
#include <optional>
#include <string>

namespace amaranthward {

/// Reads the fields of one JSON object and keeps the first decoding error, so
/// that a decoder checks for errors once at its end. Unknown fields are
/// ignored.
class MessageFields {
public:
  /// \param ObjectName Name of the message type for error messages.
  MessageFields(const Json &Object, const char *ObjectName);

  std::uint64_t number(const char *Key);
  std::uint64_t numberOr(const char *Key, std::uint64_t Default);
  std::string text(const char *Key);
  std::string textOr(const char *Key, const char *Default);
  /// Absent means false; present must be a boolean or the number 1.
  bool flag(const char *Key);
  /// Null when absent; records an error when present and not an array.
  const Json *array(const char *Key);
  const Json *find(const char *Key) const;

  /// Keeps \a Message as InvalidArgument unless an error is recorded already.
  void recordError(const std::string &Message);
  /// Returns the value of a nested decoder; on failure, records its error and
  /// returns a default value.
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
