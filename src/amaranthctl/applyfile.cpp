#include "amaranthctl/applyfile.h"

#include "amaranthctl/reports.h"
#include "libconfig/configurationcodec.h"
#include "libconfig/configurationreader.h"

namespace amaranthward {

namespace {

constexpr int LongPollMilliseconds = 1000;

const Json &inForceOf(const Json &Status) {
  static const Json Empty = Json::object();
  auto Found = Status.find("in_force");
  return Found == Status.end() ? Empty : *Found;
}

// With no node connected, and the member table complete, nothing can lag.
bool isInForce(const Json &Status) {
  const Json &InForce = inForceOf(Status);
  return boolAt(InForce, "everywhere") ||
         (numberAt(InForce, "of") == 0 && boolAt(Status, "members_complete"));
}

} // namespace

ExitCode ApplyFile::run(CommandContext &Context) {
  if (Context.Options.Arguments.size() != 1)
    return Context.report(ExitCode::InvalidInput, "apply needs one FILE");
  const std::string &Name = Context.Options.Arguments[0];
  auto Text = readWholeFile(Name);
  if (!Text)
    return Context.report(ExitCode::InvalidInput, Text.error().Message);
  // Without a clock: a resend is valid when its deadline has passed.
  ReadOutcome Outcome = readConfiguration(*Text, Name, std::nullopt);
  Context.Err << findingsReport(Outcome.All);
  if (!Outcome.Set)
    return ExitCode::InvalidInput;
  auto Client = Context.client();
  if (!Client)
    return Context.report(ExitCode::InvalidInput,
                          Client.error().Message + "; give --control");
  ApplyFile Apply(Context, std::move(*Client), Name);
  Apply.Version = Outcome.Set->Version.value();
  ExitCode Code = Apply.submit(*Text, digestOf(*Outcome.Set));
  if (Code == ExitCode::Ok && !Context.Options.NoWait)
    Code = Apply.awaitInForce();
  if (Code == ExitCode::Ok && Context.Options.FollowMoves)
    Code = Apply.awaitMoves();
  if (Context.Options.AsJson)
    Context.Out << dumpJson(Apply.Report) << '\n';
  return Code;
}

ExitCode ApplyFile::submit(const std::string &Text, const std::string &Digest) {
  auto Answer = this->Client.call("POST", "/v1/configurations", Text,
                                  this->Context.Options.Timeout);
  if (!Answer) {
    this->Report["outcome"] = "unknown";
    return this->noReplica(Answer.error().Message +
                           "; the set may have been accepted, and it is safe "
                           "to apply the same file again");
  }
  this->Report = Answer->Body;
  if (Answer->Status != 200)
    return this->explainRefusal(*Answer, Digest);
  this->Revision = numberAt(Answer->Body, "revision");
  bool Repeated = boolAt(Answer->Body, "repeated");
  this->progress(this->File +
                 (Repeated ? ": was accepted before as revision "
                           : ": accepted as revision ") +
                 std::to_string(this->Revision));
  return ExitCode::Ok;
}

ExitCode ApplyFile::explainRefusal(const ControlAnswer &Answer,
                                   const std::string &Digest) {
  if (Answer.Status == 422) {
    this->Context.Err << findingsReport(Answer.Body, this->File);
    return ExitCode::InvalidInput;
  }
  std::string Problem = textAt(Answer.Body, "message");
  if (Answer.Status != 409)
    return this->Context.report(
        Answer.Status == 413 || Answer.Status == 400 ? ExitCode::InvalidInput
                                                     : ExitCode::Refused,
        this->File + ": status " + std::to_string(Answer.Status) + ' ' +
            Problem);
  return this->Context.report(
      ExitCode::Refused,
      this->File + ": " + textAt(Answer.Body, "outcome") + ": " + Problem +
          "\n  this set has digest " + Digest +
          "\n  the accepted one has digest " +
          textAt(Answer.Body, "winner_digest") + " (revision " +
          std::to_string(numberAt(Answer.Body, "revision")) + ')');
}

ExitCode ApplyFile::awaitInForce() {
  Instant End = this->Context.Hooks.Now() + this->Context.Options.Timeout;
  while (true) {
    auto Status = this->get("/v1/status");
    if (!Status)
      return ExitCode::NoReplica;
    this->Report["in_force"] = inForceOf(*Status);
    bool Reached = numberAt(*Status, "revision") >= this->Revision;
    if (Reached)
      this->progress(inForceText(*Status));
    if (Reached && isInForce(*Status)) {
      this->noteNewerSet(*Status);
      return ExitCode::Ok;
    }
    if (this->Context.Hooks.Now() >= End)
      return this->Context.report(
          ExitCode::TimedOut,
          "revision " + std::to_string(this->Revision) +
              " is accepted but not in force everywhere yet: " +
              inForceText(*Status));
    this->Context.Hooks.Sleep(PollInterval);
  }
}

void ApplyFile::noteNewerSet(const Json &Status) {
  std::uint64_t Newest = numberAt(Status, "version");
  if (Newest <= this->Version)
    return;
  this->Report["newer_version"] = Newest;
  this->progress("version " + std::to_string(Newest) +
                 " has been accepted since and is in force instead");
}

ExitCode ApplyFile::awaitMoves() {
  std::uint64_t Since = this->acceptedAt();
  std::uint64_t Last = 0;
  bool RolledBack = false;
  this->Report["moves"] = Json::array();
  while (true) {
    // The status is read first: a move that it no longer lists has its last
    // event in the answer that follows.
    auto Status = this->get("/v1/status");
    if (!Status)
      return ExitCode::NoReplica;
    bool AnyOpen = Status->contains("moves") && !(*Status)["moves"].empty();
    auto Events =
        this->get("/v1/moves?after=" + std::to_string(Last) + "&wait_ms=" +
                  std::to_string(AnyOpen ? LongPollMilliseconds : 0));
    if (!Events)
      return ExitCode::NoReplica;
    Last = std::max(Last, numberAt(*Events, "last"));
    for (const Json &Event : Events->value("events", Json::array())) {
      if (numberAt(Event, "time_ms") < Since)
        continue;
      this->Report["moves"].push_back(Event);
      this->progress(moveLine(Event));
      RolledBack = RolledBack || textAt(Event, "phase") == "taken_back";
    }
    if (!AnyOpen)
      break;
  }
  if (!RolledBack)
    return ExitCode::Ok;
  return this->Context.report(ExitCode::Refused, "a move was rolled back");
}

std::uint64_t ApplyFile::acceptedAt() {
  auto History = this->get("/v1/history");
  if (!History)
    return 0;
  for (const Json &One : History->value("sets", Json::array())) {
    if (numberAt(One, "revision") == this->Revision)
      return numberAt(One, "time_ms");
  }
  return 0;
}

ExitCode ApplyFile::noReplica(const std::string &Problem) {
  return this->Context.report(ExitCode::NoReplica,
                              "no control replica answers: " + Problem);
}

std::optional<Json> ApplyFile::get(const std::string &Target) {
  auto Answer =
      this->Client.call("GET", Target, "", this->Context.Options.Timeout);
  if (Answer && Answer->Status == 200 && Answer->Body.is_object())
    return std::move(Answer->Body);
  this->noReplica(Answer ? "status " + std::to_string(Answer->Status)
                         : Answer.error().Message);
  return std::nullopt;
}

void ApplyFile::progress(const std::string &Line) {
  if (this->Context.Options.AsJson || Line == this->LastProgress)
    return;
  this->LastProgress = Line;
  this->Context.Out << Line << '\n' << std::flush;
}

} // namespace amaranthward
