#ifndef AMARANTHWARD_AMARANTHWARD_METRICSLISTENER_H
#define AMARANTHWARD_AMARANTHWARD_METRICSLISTENER_H

#include "libcore/ids.h"
#include "libcore/metrics.h"
#include "libnet/httprouter.h"
#include <functional>
#include <memory>

namespace amaranthward {

/// Serves the metrics of a process at /metrics on a separate address.
class MetricsListener {
public:
  /// \param BeforeRead called before each response to update gauges that are
  /// not updated by events. Fails when listening on the address fails.
  static Result<std::unique_ptr<MetricsListener>>
  create(EventLoop &Loop, const Endpoint &Address, const Metrics &Registry,
         std::function<void()> BeforeRead);

private:
  MetricsListener() = default;

  HttpRouter Router;
  std::unique_ptr<HttpServer> Server;
};

/// Adds GET /metrics to \a Router; \a BeforeRead as in MetricsListener::create.
void serveMetrics(HttpRouter &Router, const Metrics &Registry,
                  std::function<void()> BeforeRead);

} // namespace amaranthward

#endif
