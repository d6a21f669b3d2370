#ifndef AMARANTHWARD_AMARANTHWARD_METRICSLISTENER_H
#define AMARANTHWARD_AMARANTHWARD_METRICSLISTENER_H

#include "libcore/ids.h"
#include "libcore/metrics.h"
#include "libnet/httprouter.h"
#include <functional>
#include <memory>

namespace amaranthward {

/// Serves the metrics of a process at /metrics of an address of their own.
class MetricsListener {
public:
  /// \param BeforeRead updates the values that change without an event.
  /// Fails when the address cannot be listened on.
  static Result<std::unique_ptr<MetricsListener>>
  create(EventLoop &Loop, const Endpoint &Address, const Metrics &Registry,
         std::function<void()> BeforeRead);

private:
  MetricsListener() = default;

  HttpRouter Router;
  std::unique_ptr<HttpServer> Server;
};

/// Answers GET /metrics at \a Router.
void serveMetrics(HttpRouter &Router, const Metrics &Registry,
                  std::function<void()> BeforeRead);

} // namespace amaranthward

#endif
