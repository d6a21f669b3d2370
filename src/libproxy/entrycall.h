#ifndef AMARANTHWARD_LIBPROXY_ENTRYCALL_H
#define AMARANTHWARD_LIBPROXY_ENTRYCALL_H

#include "libcore/eventlog.h"
#include "libnet/httpserver.h"
#include "libpolicy/retrydecision.h"
#include "libproxy/entrycontext.h"
#include "libproxy/forwardattempt.h"

namespace amaranthward {

/// One call of a caller: its attempts, and the one response it gets.
class EntryCall : public std::enable_shared_from_this<EntryCall> {
public:
  /// Request bodies up to this size are kept to be sent again, and are
  /// forwarded only when they are complete.
  static constexpr std::size_t MaxBufferedRequestBytes = 64UL * 1024;
  /// A larger body is sent when the gate has admitted the request, so that
  /// refused requests move no bytes between zones; a smaller one costs less
  /// than the round trip.
  static constexpr std::size_t MaxImmediateBodyBytes = 4UL * 1024;

  static std::shared_ptr<EntryCall>
  create(EntryContext &Shared, std::shared_ptr<ServerExchange> Exchange,
         const RouteSpec &Route, CallClass Class, Deadline Until,
         std::function<void(EntryCall *)> OnCallFinished);
  ~EntryCall();

  void begin();
  void checkIdleTimeout(Instant Now);

private:
  EntryCall(EntryContext &Shared, std::shared_ptr<ServerExchange> Exchange,
            const RouteSpec &Route, CallClass Class, Deadline Until,
            std::function<void(EntryCall *)> OnCallFinished);
  void setExchangeHooks();
  void onRequestBody(std::string_view Data);
  void onRequestEnd();
  void onAborted();
  void firstAttempt();
  void attemptAt(const std::vector<VersionName> &Versions);
  void claim();
  void onClaim(const ClaimAnswer &Answer);
  void forward();
  void releaseClaim();
  void attachTo(const ClaimAnswer &Answer);
  HttpRequestHead forwardHead(const RequestId &Id, const Member &Gate) const;
  ForwardAttempt::Hooks attemptHooks();
  void sendBufferedBody();
  bool hasLargeBody() const;
  void onHead(const HttpResponseHead &Received);
  void onBody(std::string_view Data);
  void onEnd();
  void onFailed(const AttemptFailure &Failure);
  void record(AttemptResult Result, std::optional<bool> Ok);
  bool retry(AttemptOutcome Ended, const AttemptFailure &Failure);
  HttpHeaders refusalHeaders(Outcome Known, int Status,
                             const std::string &Reason) const;
  void giveUp(Outcome Known, int Status, const std::string &Reason);
  void over();
  LogFields logFields() const;
  LogFields choiceFields(Instant Now) const;
  void logForward() const;
  void logAttemptEnd(const char *Ended, int Status, const std::string &Reason,
                     const RetryDecision &Decision, bool BudgetLeft) const;
  /// \param Known what is known about the call: an outcome, or "caller-left".
  void reportEnd(const char *Known, int Status,
                 const std::string &Reason) const;
  bool keyed() const;
  bool unproven() const;

  EntryContext &Shared;
  std::shared_ptr<ServerExchange> Exchange;
  /// A copy, because the state may change during the call.
  RouteSpec Route;
  CallClass Class;
  Deadline Until;
  std::function<void(EntryCall *)> OnCallFinished;
  std::shared_ptr<ForwardAttempt> Attempt;
  std::optional<UpstreamDirectory::Chosen> Chosen;
  std::vector<UpstreamHandle> Avoid;
  RequestId Id;
  std::optional<RequestId> NotRunAttemptId;
  std::string Held;
  bool WholeBodyBuffered = true;
  bool BodyComplete = false;
  /// The gate has not said yet that it takes the body.
  bool AwaitsContinue = false;
  bool Started = false;
  /// The chosen upstream counts this attempt as in flight.
  bool Counted = false;
  /// Waits for the response to an earlier request with the same key.
  bool Attached = false;
  /// The claim on the key is this call's own.
  bool Granted = false;
  bool HeadSent = false;
  bool Discarding = false;
  bool MayHaveRun = false;
  bool BaselineTried = false;
  bool CallerPaused = false;
  /// Attempts that reached an upstream or may have.
  std::uint32_t UpstreamAttempts = 0;
  /// Attempts that a gate refused.
  std::uint32_t GateRefusals = 0;
  Instant Received;
  Instant AttemptStart;
  int ResponseStatus = 0;
  EventLoop::TimerId DeadlineTimer = 0;
};

} // namespace amaranthward

#endif
