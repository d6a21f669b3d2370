#ifndef AMARANTHWARD_LIBNET_HTTPMESSAGE_H
#define AMARANTHWARD_LIBNET_HTTPMESSAGE_H

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace amaranthward {

/// Header fields in their order of arrival; names compare without case.
class HttpHeaders {
public:
  using Field = std::pair<std::string, std::string>;

  void add(std::string Name, std::string Value);
  /// Replaces all fields of that name.
  void set(const std::string &Name, std::string Value);
  void remove(const std::string &Name);
  bool has(const std::string &Name) const;
  /// First value of that name; empty when absent.
  std::string get(const std::string &Name) const;
  const std::vector<Field> &fields() const { return this->Fields; }

private:
  std::vector<Field> Fields;
};

struct HttpRequestHead {
  std::string Method;
  /// Path and query as sent.
  std::string Target;
  HttpHeaders Headers;
  /// Length of the body in bytes; none for a chunked body.
  std::optional<std::uint64_t> BodyLength = 0;
};

struct HttpResponseHead {
  int Status = 200;
  HttpHeaders Headers;
  /// Length of the body in bytes; none for a chunked body.
  std::optional<std::uint64_t> BodyLength = 0;
  /// Of a received response: the body has neither a length nor chunks and ends
  /// when the sender closes the connection.
  bool EndsWithConnection = false;
};

/// The path part of a request target.
std::string pathOf(const std::string &Target);
/// Decoded value of a query parameter; empty when absent.
std::string queryValue(const std::string &Target, const std::string &Name);

} // namespace amaranthward

#endif
