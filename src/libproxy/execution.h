#ifndef AMARANTHWARD_LIBPROXY_EXECUTION_H
#define AMARANTHWARD_LIBPROXY_EXECUTION_H

#include "libnet/httpclient.h"
#include "libnet/httpserver.h"
#include "libpolicy/admissioncontrol.h"
#include "libproxy/announcement.h"
#include "libproxy/callheaders.h"
#include "libproxy/responsecheck.h"

namespace amaranthward {

/// One request at the gate: waits for admission, runs at the upstream at most
/// once, and sends the response to every exchange that waits for it. The
/// response is kept for later re-attaches, up to MaxKeptResponseBytes.
class Execution : public std::enable_shared_from_this<Execution> {
public:
  /// Larger responses are streamed and not kept for a re-attach.
  static constexpr std::size_t MaxKeptResponseBytes = 256UL * 1024;
  /// A response up to this size is sent only when it is complete, so that a
  /// truncated one becomes an error response instead of a partial body.
  static constexpr std::size_t MaxHeldResponseBytes = 64UL * 1024;
  /// Time for a re-attach after the last connection of a non-idempotent
  /// request broke, before the request is cancelled.
  static constexpr Duration ReattachGracePeriod =
      std::chrono::milliseconds(250);

  struct Hooks {
    /// The execution has ended, whether it ran or not.
    std::function<void(Execution &, UpstreamResult,
                       std::optional<Duration> UpstreamTime)>
        OnFinished;
    /// Value of the load header.
    std::function<std::string()> Load;
  };

  static std::shared_ptr<Execution> create(EventLoop &Loop, HttpClient &Client,
                                           const HeaderNames &Names,
                                           ForwardedRequest Request,
                                           bool Idempotent, Hooks NewHooks);
  ~Execution();

  /// Takes the exchange that carries the request and its body.
  void begin(std::shared_ptr<ServerExchange> First);
  /// Adds an exchange that asks for the response to the same request.
  void attach(std::shared_ptr<ServerExchange> Later);
  /// Sends the request to the upstream; called once, on admission. A request
  /// that nobody waits for any more ends with outcome "not run" instead.
  void start(const UpstreamAnnouncement &Upstream);
  /// Ends a request with outcome "not run", unless it was started.
  void refuse(int Status, const std::string &Reason);
  /// Stops a request that waits or runs. The outcome is "unknown" if a byte of
  /// it was sent to the upstream.
  void cancel(int Status, const std::string &Reason);
  /// Sends an interim response to all exchanges that have no head yet.
  void sendHeartbeats();
  /// Drops the kept response; a later re-attach gets the outcome "unknown".
  void dropResponse();

  bool finished() const { return this->Phase == State::Finished; }
  /// True once \a start was called.
  bool admitted() const { return this->WasAdmitted; }
  /// True once the request was handed to the upstream connection.
  bool started() const { return this->WasStarted; }
  /// Time from arrival until the start, or until now if it was not started.
  Duration waited() const;
  std::size_t keptBytes() const { return this->ResponseBody.size(); }
  const ForwardedRequest &request() const { return this->Request; }

  AdmissionTicket Ticket;
  /// State of the admission control when the request was admitted, for the log.
  AdmissionStatus StatusAtAdmission;
  /// Configuration revision when the request was admitted, for the log.
  Revision RevisionAtAdmission;

private:
  enum class State { Waiting, Running, Finished };
  /// An exchange that waits for the response.
  struct Waiter {
    std::shared_ptr<ServerExchange> Exchange;
    bool HeadSent = false;
    /// Its send buffer is full until OnDrained.
    bool WriteBlocked = false;
  };

  Execution(EventLoop &Loop, HttpClient &Client, const HeaderNames &Names,
            ForwardedRequest Request, bool Idempotent, Hooks NewHooks);
  HttpRequestHead upstreamHead(const UpstreamAnnouncement &To, Instant Now);
  void onFault(ResponseFault Fault);
  /// \param Source whether the exchange carries the request body.
  void addWaiter(std::shared_ptr<ServerExchange> Exchange, bool Source);
  void removeWaiter(const ServerExchange *Left, bool Source);
  void waiterDrained(const ServerExchange *Drained);
  void onRequestBody(std::string_view Data);
  void onRequestEnd();
  ClientExchange::Hooks upstreamHooks();
  void onHead(const HttpResponseHead &Received);
  void onBody(std::string_view Data);
  void onEnd();
  void onFailure(const ClientFailure &Failure);
  /// Sends the head and the buffered body to all waiters, and streams from
  /// then.
  void releaseResponse();
  void sendTo(Waiter &Receiver, std::string_view Data);
  void sendHeadTo(Waiter &Receiver);
  /// Pauses the upstream while a single waiter is blocked. Of several waiters,
  /// blocked ones are disconnected.
  void updateBackPressure();
  void finish(Outcome Ended, int Status, const std::string &Reason,
              UpstreamResult Result);
  /// Whether all exchanges have ended. A keyed request is never abandoned,
  /// because the caller may send it again to get its result.
  bool isAbandoned() const;
  /// Sends the outcome of a request that has no response.
  void answerFailure(ServerExchange &Exchange);
  void logEnd(const std::string &Reason) const;
  /// Sends the kept response or failure of a finished request.
  void replay(const std::shared_ptr<ServerExchange> &Exchange);

  EventLoop &Loop;
  HttpClient &Client;
  const HeaderNames &Names;
  /// Request headers as sent to the upstream.
  HttpHeaders SentHeaders;
  ForwardedRequest Request;
  bool Idempotent;
  Hooks Callbacks;
  State Phase = State::Waiting;
  std::vector<Waiter> Waiters;
  /// The exchange that carries the request body.
  std::shared_ptr<ServerExchange> Source;
  std::shared_ptr<ClientExchange> Upstream;
  bool RequestComplete = false;
  bool WasAdmitted = false;
  bool WasStarted = false;
  HttpResponseHead ResponseHead;
  std::string ResponseBody;
  /// ResponseBody holds everything received so far.
  bool ResponseKept = true;
  /// The response is being sent to the waiters.
  bool ResponseReleased = false;
  Outcome FinalOutcome = Outcome::Unknown;
  int FailureStatus = 0;
  std::string FailureReason;
  EventLoop::TimerId DeadlineTimer = 0;
  EventLoop::TimerId GraceTimer = 0;
  /// Deadline of the request.
  Instant DeadlineAt;
  Instant ArrivedAt;
  /// EventLoop::eventLag() when the request arrived, for the log.
  Duration ArrivedLag{0};
  Instant StartedAt;
  /// The instance that ran the request.
  InstanceId Instance;
  Instant RequestSentAt;
  /// Time from the complete request to the response head.
  std::optional<Duration> UpstreamTime;
};

} // namespace amaranthward

#endif
