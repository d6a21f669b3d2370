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

  void handle(const std::shared_ptr<ServerExchange> &Exchange) const;

private:
  std::map<std::string, std::map<std::string, HttpServer::Handler>> Handlers;
};

/// Answers with {"error": MESSAGE}.
void respondError(ServerExchange &Exchange, int Status,
                  const std::string &Message, HttpHeaders Extra = {});

/// Largest JSON body that a process accepts.
inline constexpr std::size_t MaxJsonBodyBytes = std::size_t{1024} * 1024;

} // namespace amaranthward

#endif
