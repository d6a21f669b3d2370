#ifndef AMARANTHWARD_LIBNET_HTTPROUTER_H
#define AMARANTHWARD_LIBNET_HTTPROUTER_H

#include "libnet/httpserver.h"
#include <map>

namespace amaranthward {

/// Dispatches requests by path and method. An unknown path is answered 404
/// and a known path with another method 405.
class HttpRouter {
public:
  using BodyHandler =
      std::function<void(std::shared_ptr<ServerExchange>, std::string Body)>;

  void get(const std::string &Path, HttpServer::Handler OnRequest);
  /// The body is collected first; more than \a MaxBytes is answered 413.
  void post(const std::string &Path, std::size_t MaxBytes,
            BodyHandler OnRequest);

  /// For all paths that begin with \a Prefix and are not served otherwise; \a
  /// Rest is what follows it, and must not be empty.
  using RestHandler = std::function<void(std::shared_ptr<ServerExchange>,
                                         std::string Rest, std::string Body)>;
  void below(const std::string &Method, const std::string &Prefix,
             std::size_t MaxBytes, RestHandler OnRequest);

  void handle(const std::shared_ptr<ServerExchange> &Exchange) const;

private:
  using ByMethod = std::map<std::string, HttpServer::Handler>;

  const ByMethod *find(const std::string &Path) const;

  std::map<std::string, ByMethod> Handlers;
  /// By prefix.
  std::map<std::string, ByMethod> Below;
};

/// Answers with {"error": MESSAGE}.
void respondError(ServerExchange &Exchange, int Status,
                  const std::string &Message, HttpHeaders Extra = {});

/// Largest JSON body that a process accepts.
inline constexpr std::size_t MaxJsonBodyBytes = std::size_t{1024} * 1024;

} // namespace amaranthward

#endif
