#include "libproxy/entryrole.h"
#include "libproxy/requestlog.h"

namespace amaranthward {

namespace {

/// Time left according to the caller's deadline header; Duration::max() without
/// one.
Result<Duration> callerTimeLeft(const std::string &Name,
                                const HttpHeaders &Headers) {
  if (Name.empty() || !Headers.has(Name))
    return Duration::max();
  return Deadline::parseHeader(Headers.get(Name));
}

} // namespace

EntryRole::EntryRole(EventLoop &Loop, HttpClient &Client, EntryOptions Options,
                     EntryHooks Hooks)
    : Shared{Loop,
             Client,
             Options.Self,
             Options.Names,
             Options.OwnService,
             Options.RetryBound,
             std::move(Hooks),
             Options.Random,
             {},
             Loop.now(),
             UpstreamDirectory(Options.Self, Options.Random),
             {},
             {},
             {},
             {},
             {},
             0} {
  this->Ticker = Loop.every(Options.IdleCheckInterval, [this] {
    Instant Now = this->Shared.Loop.now();
    std::vector<std::shared_ptr<EntryCall>> All;
    All.reserve(this->Calls.size());
    for (const auto &[Key, Each] : this->Calls)
      All.push_back(Each);
    for (const auto &Each : All)
      Each->checkIdleTimeout(Now);
  });
}

Result<std::unique_ptr<EntryRole>> EntryRole::create(EventLoop &Loop,
                                                     HttpClient &Client,
                                                     EntryOptions Options,
                                                     EntryHooks Hooks) {
  if (Options.Self.Node.empty())
    return fail(ErrorCode::InvalidArgument,
                "EntryOptions::Self.Node must not be empty");
  if (!Options.Random)
    return fail(ErrorCode::InvalidArgument,
                "EntryOptions::Random must not be empty");
  return std::unique_ptr<EntryRole>(
      new EntryRole(Loop, Client, std::move(Options), std::move(Hooks)));
}

EntryRole::~EntryRole() {
  this->Shared.Loop.cancel(this->Ticker);
  // The calls refer to the shared context, so they are destroyed first.
  this->Calls.clear();
}

void EntryRole::update(const ProxyState &State) {
  this->Shared.State = State;
  this->Shared.StateAppliedAt = this->Shared.Loop.now();
  this->Shared.Directory.update(State, this->Shared.Loop.now());
}

void EntryRole::refuse(ServerExchange &Exchange, int Status,
                       const std::string &Reason) {
  LogFields Fields =
      requestFields(this->Shared.Names, Exchange.request().Headers, "");
  Fields.add("method", Exchange.request().Method)
      .add("host", Exchange.request().Headers.get("Host"))
      .add("path", pathOf(Exchange.request().Target))
      .add("status", Status)
      .add("reason", Reason)
      .add("revision", this->Shared.State.Applied.value());
  logEvent(logpart::Entry, "refused", Fields, this->Shared.Loop.now());
  respond(Exchange, Status, "text/plain", Reason + "\n",
          outcomeFields(Outcome::NotRun, Reason));
}

void EntryRole::handle(std::shared_ptr<ServerExchange> Exchange) {
  ++this->Shared.Counters.Calls;
  const HttpRequestHead &Request = Exchange->request();
  if (!this->Shared.State.View) {
    this->refuse(*Exchange, 503, "no-configuration");
    return;
  }
  const RouteSpec *Route = this->Shared.State.View->matchRoute(
      Request.Method, pathOf(Request.Target), Request.Headers.get("Host"));
  if (!Route) {
    this->refuse(*Exchange, 404, "no-route");
    return;
  }
  auto Class = classOf(Route->Class, Request.Headers);
  auto Left = callerTimeLeft(this->Shared.Names.Deadline, Request.Headers);
  if (!Class || !Left) {
    this->refuse(*Exchange, 400,
                 (Class ? Left.error() : Class.error()).Message);
    return;
  }
  Deadline Until =
      Deadline::derive(this->Shared.Loop.now(), Route->Timeout, *Left);
  RouteSpec Chosen = *Route;
  Chosen.Service = this->Shared.serviceFor(*Route);
  auto Made = EntryCall::create(
      this->Shared, std::move(Exchange), Chosen, *Class, Until,
      [this](EntryCall *Finished) { this->Calls.erase(Finished); });
  this->Calls.emplace(Made.get(), Made);
  Made->begin();
}

void EntryRole::limitShare(const ServiceName &Service,
                           const VersionName &Version, Share Largest) {
  if (Largest == Share::all())
    this->Shared.Limits.erase({Service, Version});
  else
    this->Shared.Limits[{Service, Version}] = Largest;
}

Json EntryRole::dump() const {
  const EntryCounters &Counts = this->Shared.Counters;
  Json Limits = Json::object();
  for (const auto &[Key, Part] : this->Shared.Limits)
    Limits[Key.first.str()][Key.second.str()] = Part.parts();
  return {{"revision", this->Shared.State.Applied.value()},
          {"under_way", this->inFlightRequests()},
          {"calls", Counts.Calls},
          {"attempts", Counts.Attempts},
          {"retries", Counts.Retries},
          {"baseline_retries", Counts.BaselineRetries},
          {"answered", Counts.Answered},
          {"not_run", Counts.NotRun},
          {"unknown", Counts.Unknown},
          {"cancelled", Counts.Cancelled},
          {"share_limits", Limits},
          {"upstreams", this->Shared.Directory.dump(this->Shared.Loop.now())}};
}

} // namespace amaranthward
