#include "amaranthward/metricslistener.h"

namespace amaranthward {

Result<std::unique_ptr<MetricsListener>>
MetricsListener::create(EventLoop &Loop, const Endpoint &Address,
                        const Metrics &Registry,
                        std::function<void()> BeforeRead) {
  std::unique_ptr<MetricsListener> Made(new MetricsListener());
  serveMetrics(Made->Router, Registry, std::move(BeforeRead));
  MetricsListener *Self = Made.get();
  auto Server = HttpServer::create(Loop, Address, {}, [Self](auto Exchange) {
    Self->Router.handle(Exchange);
  });
  if (!Server)
    return tl::make_unexpected(Server.error());
  Made->Server = std::move(*Server);
  return Made;
}

void serveMetrics(HttpRouter &Router, const Metrics &Registry,
                  std::function<void()> BeforeRead) {
  Router.get("/metrics", [&Registry, BeforeRead](auto Exchange) {
    BeforeRead();
    respond(*Exchange, 200, Metrics::TextMediaType, Registry.toText());
  });
}

} // namespace amaranthward
