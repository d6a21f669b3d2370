#ifndef AMARANTHWARD_LIBPROXY_FORWARDATTEMPT_H
#define AMARANTHWARD_LIBPROXY_FORWARDATTEMPT_H

#include "libnet/httpclient.h"
#include "libproxy/callheaders.h"

namespace amaranthward {

/// Why an attempt brought no complete response.
struct AttemptFailure {
  Outcome Known = Outcome::Unknown;
  int Status = 502;
  std::string Reason;
  /// The gate could not be reached at all.
  bool Refused = false;
};

/// One request on its way to one gate. A connection that goes silent or breaks
/// is replaced by a fresh one that asks for the same request again.
class ForwardAttempt : public std::enable_shared_from_this<ForwardAttempt> {
public:
  /// A gate sends something at least every 200 ms.
  static constexpr Duration GateIdleTimeout = std::chrono::milliseconds(600);
  /// Re-attach requests of an idempotent call; another upstream is tried then.
  static constexpr int MaxIdempotentReattaches = 1;
  /// Connections that may break in a row while re-attaching.
  static constexpr int MaxConsecutiveBreaks = 3;

  struct Hooks {
    /// Head of a complete or still streaming answer, once.
    std::function<void(const HttpResponseHead &)> OnHead;
    std::function<void(std::string_view)> OnBody;
    /// The gate takes the body, which was announced with "Expect".
    std::function<void()> OnContinue;
    std::function<void()> OnEnd;
    std::function<void(const AttemptFailure &)> OnFailed;
    /// More of the request body can be sent.
    std::function<void()> OnDrained;
  };

  /// \param Head with all headers of a forwarded request.
  static std::shared_ptr<ForwardAttempt>
  create(EventLoop &Loop, HttpClient &Client, Endpoint Gate,
         HttpRequestHead Head, bool Idempotent, Hooks NewHooks);
  ~ForwardAttempt();

  void begin();
  /// Asks only for the outcome of a request that was sent earlier.
  void beginAttached();
  /// Returns false when the caller must wait for OnDrained.
  bool sendBody(std::string_view Data);
  void finishBody();
  void pauseResponse(bool Paused);
  void cancel();
  /// Replaces the connection when nothing arrived for too long.
  void checkIdleTimeout(Instant Now);
  bool mayHaveRun() const;

private:
  ForwardAttempt(EventLoop &Loop, HttpClient &Client, Endpoint Gate,
                 HttpRequestHead Head, bool Idempotent, Hooks NewHooks);
  ClientExchange::Hooks exchangeHooks();
  void heard();
  void onHead(const HttpResponseHead &Received);
  void onBody(std::string_view Data);
  void onEnd();
  void onBroken(const ClientFailure &Failure);
  void reattach();
  void fail(const AttemptFailure &Failure);

  EventLoop &Loop;
  HttpClient &Client;
  Endpoint Gate;
  HttpRequestHead Head;
  bool Idempotent;
  std::shared_ptr<Hooks> Callbacks;
  std::shared_ptr<ClientExchange> Current;
  /// Given up, but open until the new connection is heard: the gate would take
  /// an earlier end as a cancellation.
  std::shared_ptr<ClientExchange> Previous;
  std::uint64_t Generation = 0;
  int Attaches = 0;
  int Broken = 0;
  Instant LastHeard;
  bool Over = false;
  bool Paused = false;
  bool BytesSent = false;
  bool HeadDelivered = false;
  std::uint64_t BodyDelivered = 0;
  /// Body bytes of a repeated response that were delivered already.
  std::uint64_t Skip = 0;
  std::optional<AttemptFailure> Refusal;
};

} // namespace amaranthward

#endif
