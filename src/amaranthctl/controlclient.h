#ifndef AMARANTHWARD_AMARANTHCTL_CONTROLCLIENT_H
#define AMARANTHWARD_AMARANTHCTL_CONTROLCLIENT_H

#include "libcore/json.h"
#include "libcore/units.h"
#include "libnet/httpclient.h"
#include <functional>
#include <string>
#include <vector>

namespace amaranthward {

struct ControlAnswer {
  int Status = 0;
  Json Body;
};

/// Calls to whichever control replica can answer. Requests are repeated when
/// an answer is lost, so they must be safe to repeat.
class ControlClient {
public:
  using SendFunction = std::function<Result<HttpResponse>(
      const Endpoint &, const HttpRequestHead &, const std::string &Body)>;

  struct Hooks {
    SendFunction Send;
    std::function<void(Duration)> Sleep;
    MonotonicClockFunction Now;
  };

  /// Fails with InvalidArgument when \a Replicas is empty.
  static Result<ControlClient> create(std::vector<Endpoint> Replicas,
                                      Hooks Hooks);

  /// Tries the replicas in turn until one answers and follows the leader's
  /// address on 421. Answers with status 503 are waited out. Fails with
  /// Unavailable after \a Patience.
  Result<ControlAnswer> call(const std::string &Method,
                             const std::string &Target, const std::string &Body,
                             Duration Patience);

  static constexpr Duration RoundPause = std::chrono::milliseconds(200);
  /// Hops from leader to leader before the next replica is tried.
  static constexpr int MaxRedirects = 3;

private:
  ControlClient(std::vector<Endpoint> Replicas, Hooks Hooks)
      : Replicas(std::move(Replicas)), Given(std::move(Hooks)) {}
  /// Asks one replica and those that it redirects to.
  Result<ControlAnswer> ask(Endpoint At, const HttpRequestHead &Head,
                            const std::string &Body);

  std::vector<Endpoint> Replicas;
  Hooks Given;
  /// The replica that answered last.
  Endpoint Preferred;
};

} // namespace amaranthward

#endif
