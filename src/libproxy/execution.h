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
/// once, and hands the response to every exchange that waits for it.
class Execution : public std::enable_shared_from_this<Execution> {
public:
  /// Larger responses are passed on without being kept for a re-attach.
  static constexpr std::size_t MaxKeptResponseBytes = 256UL * 1024;
  /// A response up to this size is passed on only when it is complete, so that
  /// a truncated one is reported instead of delivered.
  static constexpr std::size_t MaxHeldResponseBytes = 64UL * 1024;
  /// Time for a re-attach after the last connection of a non-idempotent
  /// request broke, before the request is cancelled.
  static constexpr Duration ReattachGracePeriod =
      std::chrono::milliseconds(250);

  struct Hooks {
    /// The execution no longer waits for admission or runs.
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

  /// The exchange that carries the request and its body.
  void begin(std::shared_ptr<ServerExchange> First);
  /// A later arrival of the same request.
  void attach(std::shared_ptr<ServerExchange> Later);
  /// Sends the request to the upstream; called once, on admission.
  void start(const UpstreamAnnouncement &Upstream);
  /// Ends a request that was not started.
  void refuse(int Status, const std::string &Reason);
  /// Stops a request wherever it is.
  void cancel(int Status, const std::string &Reason);
  void sendHeartbeats();
  /// Drops the kept response; a re-attach is then answered with unknown.
  void dropResponse();

  bool finished() const { return this->Phase == State::Finished; }
  /// True once the request was handed to the upstream connection.
  bool started() const { return this->WasStarted; }
  /// Time until it was started; until now for one that was not.
  Duration waited() const;
  std::size_t keptBytes() const { return this->Body.size(); }
  const ForwardedRequest &request() const { return this->Request; }

  AdmissionTicket Ticket;
  /// What the admission was decided by, for the log.
  AdmissionStatus StatusAtAdmission;
  Revision InForce;

private:
  enum class State { Waiting, Running, Finished };
  struct Waiter {
    std::shared_ptr<ServerExchange> Exchange;
    bool HeadSent = false;
    bool Blocked = false;
  };

  Execution(EventLoop &Loop, HttpClient &Client, const HeaderNames &Names,
            ForwardedRequest Request, bool Idempotent, Hooks NewHooks);
  HttpRequestHead upstreamHead(const UpstreamAnnouncement &To, Instant Now);
  void onFault(ResponseFault Fault);
  void addWaiter(std::shared_ptr<ServerExchange> Exchange, bool Source);
  void removeWaiter(const ServerExchange *Gone, bool Source);
  void waiterDrained(const ServerExchange *Drained);
  void onRequestBody(std::string_view Data);
  void onRequestEnd();
  ClientExchange::Hooks upstreamHooks();
  void onHead(const HttpResponseHead &Received);
  void onBody(std::string_view Data);
  void onEnd();
  void onFailure(const ClientFailure &Failure);
  void release();
  void sendTo(Waiter &One, std::string_view Data);
  void sendHeadTo(Waiter &One);
  void updateBackPressure();
  void finish(Outcome Known, int Status, const std::string &Reason,
              UpstreamResult Result);
  void answerFailure(ServerExchange &Exchange);
  void logEnd(const std::string &Reason) const;
  void replay(const std::shared_ptr<ServerExchange> &Exchange);

  EventLoop &Loop;
  HttpClient &Client;
  const HeaderNames &Names;
  /// Headers as sent to the upstream.
  HttpHeaders Sent;
  ForwardedRequest Request;
  bool Idempotent;
  Hooks Callbacks;
  State Phase = State::Waiting;
  std::vector<Waiter> Waiters;
  std::shared_ptr<ServerExchange> Source;
  std::shared_ptr<ClientExchange> Upstream;
  bool RequestComplete = false;
  bool WasStarted = false;
  HttpResponseHead Head;
  std::string Body;
  bool Kept = true;
  bool Released = false;
  Outcome Known = Outcome::Unknown;
  int FailureStatus = 0;
  std::string FailureReason;
  EventLoop::TimerId DeadlineTimer = 0;
  EventLoop::TimerId GraceTimer = 0;
  Instant At;
  Instant Arrived;
  Instant StartedAt;
  InstanceId Instance;
  Instant RequestSent;
  std::optional<Duration> UpstreamTime;
};

} // namespace amaranthward

#endif
