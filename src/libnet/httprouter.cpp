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

void HttpRouter::below(const std::string &Method, const std::string &Prefix,
                       std::size_t MaxBytes, RestHandler OnRequest) {
  this->Below[Prefix][Method] =
      [Prefix, MaxBytes,
       OnRequest](const std::shared_ptr<ServerExchange> &Exchange) {
        std::string Rest =
            pathOf(Exchange->request().Target).substr(Prefix.size());
        readBody(Exchange, MaxBytes,
                 [OnRequest, Rest](auto Done, std::string Body) {
                   OnRequest(std::move(Done), Rest, std::move(Body));
                 });
      };
}

const HttpRouter::ByMethod *HttpRouter::find(const std::string &Path) const {
  auto Found = this->Handlers.find(Path);
  if (Found != this->Handlers.end())
    return &Found->second;
  for (const auto &[Prefix, Methods] : this->Below)
    if (Path.size() > Prefix.size() && Path.starts_with(Prefix))
      return &Methods;
  return nullptr;
}

void HttpRouter::handle(const std::shared_ptr<ServerExchange> &Exchange) const {
  const HttpRequestHead &Request = Exchange->request();
  const ByMethod *Found = this->find(pathOf(Request.Target));
  if (!Found)
    return respondError(*Exchange, 404, "path does not exist");
  auto Handler = Found->find(Request.Method);
  if (Handler == Found->end()) {
    HttpHeaders Allow;
    std::string Methods;
    for (const auto &[Method, Ignored] : *Found)
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
