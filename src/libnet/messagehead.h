#ifndef AMARANTHWARD_LIBNET_MESSAGEHEAD_H
#define AMARANTHWARD_LIBNET_MESSAGEHEAD_H

#include "libnet/httpmessage.h"
#include <string_view>
#include <tl/expected.hpp>

namespace amaranthward {

/// Why a head was refused; \a Status is the response that a server sends.
struct HeadError {
  int Status = 400;
  std::string Message;
};

template <typename T> using HeadResult = tl::expected<T, HeadError>;

/// Finds the end of a head in bytes that arrive in pieces.
class HeadScanner {
public:
  enum class State { Partial, Complete, BareLineFeed };

  /// \param Buffer all bytes so far; only new ones are looked at.
  State scan(std::string_view Buffer);
  /// Length of the complete head with its empty line.
  std::size_t length() const { return this->Next; }
  void reset() { this->Next = this->LineStart = 0; }

private:
  std::size_t Next = 0;
  std::size_t LineStart = 0;
};

/// Parses one complete head that ends with an empty line. Everything outside
/// the grammar of RFC 9112 is refused, so that two parsers on the path of a
/// request cannot disagree about where it ends.
HeadResult<HttpRequestHead> parseRequestHead(std::string_view Bytes);
/// \param HeadRequest the response belongs to a HEAD request.
HeadResult<HttpResponseHead> parseResponseHead(std::string_view Bytes,
                                               bool HeadRequest);

/// Field lines of trailers, without the empty line.
bool validFieldLine(std::string_view Line);

/// True when a response with this status to this method has no body.
bool bodyless(int Status, bool HeadRequest);
/// True when the Connection field lists \a Option.
bool connectionHas(const HttpHeaders &Headers, std::string_view Option);

std::string serializeRequestHead(const HttpRequestHead &Head,
                                 const std::string &DefaultHost);
std::string serializeResponseHead(const HttpResponseHead &Head,
                                  bool HeadRequest, bool Close);

} // namespace amaranthward

#endif
