#include "libcore/result.h"

namespace amaranthward {

const char *toString(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::InvalidArgument:
    return "invalid argument";
  case ErrorCode::NotFound:
    return "not found";
  case ErrorCode::Conflict:
    return "conflict";
  case ErrorCode::Stale:
    return "stale";
  case ErrorCode::Unavailable:
    return "unavailable";
  case ErrorCode::Timeout:
    return "timeout";
  case ErrorCode::Corrupt:
    return "corrupt";
  case ErrorCode::Io:
    return "input/output error";
  case ErrorCode::Exhausted:
    return "exhausted";
  case ErrorCode::Refused:
    return "refused";
  }
  return "unknown error";
}

} // namespace amaranthward
