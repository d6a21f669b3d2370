#include "libnet/httprouter.h"

namespace amaranthward {

void HttpRouter::get(const std::string &Path, HttpServer::Handler OnRequest) {
  this->Handlers[Path]["GET"] = std::move(OnRequest);
}

void HttpRouter::post(const std::string &Path, std::size_t MaxBytes,
                      BodyHandler OnRequest) {
  this->Handlers[Path]["POST"] =
      [MaxBytes, OnRequest](std::shared_ptr<ServerExchange> Exchange) {
        readBody(Exchange, MaxBytes, OnRequest);
      };
}

void HttpRouter::handle(const std::shared_ptr<ServerExchange> &Exchange) const {
  const HttpRequestHead &Request = Exchange->request();
  auto Found = this->Handlers.find(pathOf(Request.Target));
  if (Found == this->Handlers.end())
    return respondError(*Exchange, 404, "path does not exist");
  auto Handler = Found->second.find(Request.Method);
  if (Handler == Found->second.end()) {
    HttpHeaders Allow;
    std::string Methods;
    for (const auto &[Method, Ignored] : Found->second)
      Methods += (Methods.empty() ? "" : ", ") + Method;
    Allow.add("Allow", Methods);
    return respondError(*Exchange, 405, "method is not allowed here",
                        std::move(Allow));
  }
  Handler->second(Exchange);
}

void respondError(ServerExchange &Exchange, int Status,
                  const std::string &Message, HttpHeaders Extra) {
  respondJson(Exchange, Status, {{"error", Message}}, std::move(Extra));
}

} // namespace amaranthward
