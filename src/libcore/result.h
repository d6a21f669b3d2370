#ifndef AMARANTHWARD_LIBCORE_RESULT_H
#define AMARANTHWARD_LIBCORE_RESULT_H

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace amaranthward {

enum class ErrorCode {
  InvalidArgument,
  NotFound,
  Conflict,
  Stale,
  Unavailable,
  Timeout,
  Corrupt,
  Io,
  Exhausted,
  Refused,
};

const char *toString(ErrorCode Code);

struct Error {
  ErrorCode Code = ErrorCode::InvalidArgument;
  std::string Message;
};

template <typename T> using Result = tl::expected<T, Error>;

inline tl::unexpected<Error> fail(ErrorCode Code, std::string Message) {
  return tl::make_unexpected(Error{Code, std::move(Message)});
}

} // namespace amaranthward

#endif
