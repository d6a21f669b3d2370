#ifndef AMARANTHWARD_LIBPROXY_ENTRYCALL_H
#define AMARANTHWARD_LIBPROXY_ENTRYCALL_H

#include "libcore/eventlog.h"
#include "libnet/httpserver.h"
#include "libpolicy/retrydecision.h"
#include "libproxy/entrycontext.h"
#include "libproxy/forwardattempt.h"

namespace amaranthward {

/// One call from a caller: chooses an upstream for each attempt, retries where
/// that is safe, and sends exactly one response.
class EntryCall : public std::enable_shared_from_this<EntryCall> {
public:
  /// Largest request body in bytes that is buffered, so that a retry can send
  /// it again. A body of such a declared size is forwarded only when complete.
  static constexpr std::size_t MaxBufferedRequestBytes = 64UL * 1024;
  /// Largest request body in bytes that is sent without waiting for "100
  /// Continue". A larger one waits until the gate has admitted the request, so
  /// that refused requests move no bytes between zones; a smaller one costs
  /// less than the round trip.
  static constexpr std::size_t MaxImmediateBodyBytes = 4UL * 1024;

  static std::shared_ptr<EntryCall>
  create(EntryContext &Shared, std::shared_ptr<ServerExchange> Exchange,
         const RouteSpec &Route, CallClass Class, Deadline Until,
         std::function<void(EntryCall *)> OnCallFinished);
  ~EntryCall();

  /// Starts the deadline and the first attempt. A small body is read first.
  void begin();
  /// See ForwardAttempt::checkIdleTimeout().
  void checkIdleTimeout(Instant Now);

private:
  EntryCall(EntryContext &Shared, std::shared_ptr<ServerExchange> Exchange,
            const RouteSpec &Route, CallClass Class, Deadline Until,
            std::function<void(EntryCall *)> OnCallFinished);
  void onDeadline();
  void setExchangeHooks();
  void onRequestBody(std::string_view Data);
  void onRequestEnd();
  void onAborted();
  void firstAttempt();
  void attemptAt(const std::vector<VersionName> &Versions);
  /// Asks Hooks.Claim for the right to run the request under its key.
  void claim();
  void onClaim(const ClaimAnswer &Answer);
  void forward();
  void releaseClaim();
  /// Fetches the response to the earlier request that holds the key.
  void attachTo(const ClaimAnswer &Answer);
  HttpRequestHead forwardHead(const RequestId &Id, const Member &Gate) const;
  ForwardAttempt::Hooks attemptHooks();
  void sendBufferedBody();
  bool hasLargeBody() const;
  void onHead(const HttpResponseHead &Received);
  void onBody(std::string_view Data);
  void onEnd();
  void onFailed(const AttemptFailure &Failure);
  /// Reports the end of the attempt to the upstream selection and statistics.
  /// \param UpstreamOk none when the attempt says nothing about the version.
  void record(AttemptResult Result, std::optional<bool> UpstreamOk);
  /// Starts another attempt if decideRetry() allows one; false otherwise.
  bool retry(AttemptOutcome Ended, const AttemptFailure &Failure);
  HttpHeaders refusalHeaders(Outcome KnownOutcome, int Status,
                             const std::string &Reason) const;
  /// Ends the call with an error response, or closes the caller's connection
  /// when the response head has been sent.
  void giveUp(Outcome KnownOutcome, int Status, const std::string &Reason);
  void complete();
  LogFields logFields() const;
  LogFields choiceFields(Instant Now) const;
  void logForward() const;
  void logAttemptEnd(const char *Ended, int Status, const std::string &Reason,
                     const RetryDecision &Decision, bool BudgetLeft) const;
  /// \param KnownOutcome a value of toString(Outcome), or "caller-left".
  void reportEnd(const char *KnownOutcome, int Status,
                 const std::string &Reason) const;
  /// Whether the request is not idempotent and has an idempotency key.
  bool isKeyedNonIdempotent() const;
  /// Whether the chosen version is the candidate of an open move.
  bool isOnCandidate() const;

  EntryContext &Shared;
  std::shared_ptr<ServerExchange> Exchange;
  /// A copy, because the configuration may change during the call.
  RouteSpec Route;
  CallClass Class;
  Deadline Until;
  std::function<void(EntryCall *)> OnCallFinished;
  std::shared_ptr<ForwardAttempt> Attempt;
  std::optional<UpstreamDirectory::Chosen> Chosen;
  std::vector<UpstreamHandle> TriedUpstreams;
  RequestId Id;
  /// Id of the latest attempt whose outcome was "not run".
  std::optional<RequestId> NotRunAttemptId;
  std::string BufferedBody;
  bool WholeBodyBuffered = true;
  bool BodyComplete = false;
  /// The gate has not yet sent "100 Continue".
  bool AwaitsContinue = false;
  bool FirstAttemptStarted = false;
  /// The upstream selection counts this attempt as in flight at the chosen
  /// upstream.
  bool CountedInFlight = false;
  /// Waits for the response to an earlier request with the same key.
  bool AttachedToEarlier = false;
  /// This call holds the claim on the key.
  bool ClaimGranted = false;
  bool HeadSent = false;
  /// The rest of a failed response is ignored, because a retry follows.
  bool DiscardingResponse = false;
  /// An earlier attempt of this call may have run.
  bool EarlierMayHaveRun = false;
  bool BaselineTried = false;
  bool CallerPaused = false;
  /// Attempts that reached an upstream or may have reached one.
  std::uint32_t UpstreamAttempts = 0;
  /// Attempts that a gate refused.
  std::uint32_t GateRefusals = 0;
  Instant Received;
  /// EventLoop::eventLag() when the request was received, for the log.
  Duration ReceivedLag;
  Instant AttemptStart;
  int ResponseStatus = 0;
  EventLoop::TimerId DeadlineTimer = 0;
};

} // namespace amaranthward

#endif
