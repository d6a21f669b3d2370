#ifndef AMARANTHWARD_LIBPROXY_FORWARDATTEMPT_H
#define AMARANTHWARD_LIBPROXY_FORWARDATTEMPT_H

#include "libnet/httpclient.h"
#include "libproxy/callheaders.h"

namespace amaranthward {

/// Why an attempt ended without a complete response.
struct AttemptFailure {
  /// What is known about the request when the attempt ends.
  Outcome KnownOutcome = Outcome::Unknown;
  /// HTTP status for the caller, if no retry follows.
  int Status = 502;
  /// Value of the reason header, such as "gate-unreachable".
  std::string Reason;
  /// No connection to the gate could be made or used.
  bool GateUnreachable = false;
};

/// Forwards one request to one gate. When the connection breaks or delivers
/// nothing for GateIdleTimeout, a new connection re-attaches to the same
/// request by its id, which the gate runs at most once.
class ForwardAttempt : public std::enable_shared_from_this<ForwardAttempt> {
public:
  /// Time without any bytes from the gate after which the connection is
  /// replaced. A waiting gate sends an interim response every 200 ms
  /// (GateOptions::Heartbeat), so three are missed.
  static constexpr Duration GateIdleTimeout = std::chrono::milliseconds(600);
  /// Re-attach requests of an idempotent call. After that the attempt fails, so
  /// that the call can be retried at another upstream.
  static constexpr int MaxIdempotentReattaches = 1;
  /// Connections that may break in a row, without any bytes received in
  /// between, before the attempt fails.
  static constexpr int MaxConsecutiveBreaks = 3;

  struct Hooks {
    /// Head of the upstream's response; called once, even after a re-attach.
    std::function<void(const HttpResponseHead &)> OnHead;
    std::function<void(std::string_view)> OnBody;
    /// The gate sent "100 Continue" for a request with "Expect".
    std::function<void()> OnContinue;
    std::function<void()> OnEnd;
    std::function<void(const AttemptFailure &)> OnFailed;
    /// More of the request body can be sent.
    std::function<void()> OnDrained;
  };

  /// \param Head the request with the Amaranth- headers that parseForwarded()
  ///             reads.
  /// \param Idempotent limits re-attaching, see MaxIdempotentReattaches.
  static std::shared_ptr<ForwardAttempt>
  create(EventLoop &Loop, HttpClient &Client, Endpoint Gate,
         HttpRequestHead Head, bool Idempotent, Hooks NewHooks);
  ~ForwardAttempt();

  void begin();
  /// Re-attaches to a request that was sent earlier, without sending it again.
  void beginAttached();
  /// Returns false when the caller must wait for OnDrained.
  bool sendBody(std::string_view Data);
  void finishBody();
  void pauseResponse(bool Paused);
  void cancel();
  /// Re-attaches over a new connection, or fails, when nothing has arrived for
  /// GateIdleTimeout. Does nothing while the response is paused.
  void checkIdleTimeout(Instant Now);
  /// Whether any byte of the request may have reached the gate.
  bool mayHaveRun() const;

private:
  ForwardAttempt(EventLoop &Loop, HttpClient &Client, Endpoint Gate,
                 HttpRequestHead Head, bool Idempotent, Hooks NewHooks);
  ClientExchange::Hooks exchangeHooks();
  void noteActivity();
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
  /// The replaced connection. It stays open until the new one delivers data,
  /// because the gate takes a closed connection as a cancellation.
  std::shared_ptr<ClientExchange> Previous;
  /// Number of the current exchange; hooks of earlier ones are ignored.
  std::uint64_t Generation = 0;
  int Reattaches = 0;
  int BreaksInARow = 0;
  Instant LastActivity;
  bool Finished = false;
  bool Paused = false;
  bool BytesSent = false;
  bool HeadDelivered = false;
  /// Body bytes passed to OnBody.
  std::uint64_t BodyDelivered = 0;
  /// Bytes at the start of a repeated response that were already delivered.
  std::uint64_t BytesToSkip = 0;
  /// Set by the head of a response other than "answered"; reported on its end.
  std::optional<AttemptFailure> Refusal;
};

} // namespace amaranthward

#endif
