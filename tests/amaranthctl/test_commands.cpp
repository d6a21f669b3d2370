#include "amaranthctl/applyfile.h"
#include "amaranthctl/checkfile.h"
#include "amaranthctl/dumpprocess.h"
#include "amaranthctl/explainrequest.h"
#include "amaranthctl/fakereplicas.h"
#include "amaranthctl/showhistory.h"
#include "amaranthctl/showmoves.h"
#include "amaranthctl/showstatus.h"
#include "golden/goldenfile.h"
#include "libconfig/configurationcodec.h"
#include "libconfig/configurationreader.h"

#include <algorithm>
#include <fstream>

using namespace amaranthward;

namespace {

const std::string A = "10.0.0.1:7000";
const std::string B = "10.0.0.2:7000";
const std::string SetFile =
    std::string(AMARANTHWARD_SOURCE_DIR) + "/examples/spares-shop/set-2.yaml";

const Json Accepted = {{"outcome", "accepted"},
                       {"revision", 41},
                       {"repeated", false},
                       {"digest", "d41"}};

Json statusOf(int Revision, int Nodes, bool WithMove) {
  Json Status = {
      {"replica", "c1"},
      {"role", "leader"},
      {"leader", "c1"},
      {"term", 7},
      {"revision", Revision},
      {"version", 2},
      {"in_force", {{"nodes", Nodes}, {"of", 13}, {"everywhere", Nodes == 13}}},
      {"replicas",
       {{{"name", "c1"}, {"role", "leader"}, {"match", 44}},
        {{"name", "c2"}, {"role", "follower"}, {"match", 44}},
        {{"name", "replica-3"}, {"role", "learner"}, {"match", 9}}}},
      {"services",
       {{{"name", "catalogue"}, {"split", {{"v1", 9000}, {"v2", 1000}}}},
        {{"name", "media"}, {"split", {{"v1", 10000}}}}}},
      {"moves", Json::array()}};
  if (WithMove)
    Status["moves"].push_back({{"id", "catalogue-41"},
                               {"service", "catalogue"},
                               {"phase", "shifting"},
                               {"from", {{"v1", 10000}}},
                               {"to", {{"v2", 10000}}},
                               {"share_in_force", 1000},
                               {"deadline_ms", 1796385600000}});
  return Status;
}

Json event(int Sequence, const char *Phase, int Parts, std::uint64_t Time,
           const char *Reason = "") {
  return {{"seq", Sequence}, {"id", "catalogue-41"}, {"service", "catalogue"},
          {"phase", Phase},  {"reason", Reason},     {"share", Parts},
          {"time_ms", Time}};
}

CommandOptions optionsFor(std::vector<std::string> Arguments) {
  CommandOptions Options;
  Options.Arguments = std::move(Arguments);
  return Options;
}

int count(const std::vector<std::string> &All, const std::string &Part) {
  return static_cast<int>(
      std::count_if(All.begin(), All.end(), [&](const std::string &One) {
        return One.find(Part) != std::string::npos;
      }));
}

bool has(const std::ostringstream &Text, const std::string &Part) {
  return Text.str().find(Part) != std::string::npos;
}

} // namespace

TEST_CASE("check needs no replica") {
  // Guards against a check that fails on a laptop without a network.
  FakeReplicas Replicas;
  CommandContext Context = Replicas.context(optionsFor({SetFile}));
  CHECK((CheckFile::run(Context) == ExitCode::Ok));
  CHECK(has(Replicas.Out, "valid, version 2, digest "));
  Context.Options.Arguments = {SetFile + ".missing"};
  CHECK((CheckFile::run(Context) == ExitCode::InvalidInput));
  Context.Options.Arguments = {AMARANTHWARD_SOURCE_DIR "/README.md"};
  CHECK((CheckFile::run(Context) == ExitCode::InvalidInput));
  CHECK(has(Replicas.Err, "README.md:"));
  CHECK(Replicas.Requests.empty());
}

TEST_CASE("check prints its findings as JSON") {
  // Guards against programs having to parse the text for people.
  FakeReplicas Replicas;
  CommandContext Context =
      Replicas.context(optionsFor({AMARANTHWARD_SOURCE_DIR "/README.md"}));
  Context.Options.AsJson = true;
  CHECK((CheckFile::run(Context) == ExitCode::InvalidInput));
  auto Report = parseJson(Replicas.Out.str());
  REQUIRE(Report);
  CHECK_FALSE(boolAt(*Report, "valid", true));
  CHECK_FALSE((*Report)["findings"].empty());
}

TEST_CASE("apply waits until the set is in force everywhere") {
  // Guards against success being reported for a set that only some nodes have.
  FakeReplicas Replicas;
  Replicas.script(A, "/v1/configurations", {FakeReplicas::json(200, Accepted)});
  Replicas.script(A, "/v1/status",
                  {FakeReplicas::json(200, statusOf(40, 13, false)),
                   FakeReplicas::json(200, statusOf(41, 2, false)),
                   FakeReplicas::json(200, statusOf(41, 12, false)),
                   FakeReplicas::json(200, statusOf(42, 13, false))});
  CommandContext Context = Replicas.context(optionsFor({SetFile}));
  CHECK((ApplyFile::run(Context) == ExitCode::Ok));
  CHECK(Replicas.Out.str() == SetFile + ": accepted as revision 41\n" +
                                  "in force on 2 of 13 nodes\n"
                                  "in force on 12 of 13 nodes\n"
                                  "in force on 13 of 13 nodes\n");
  CHECK(count(Replicas.Requests, "/v1/status") == 4);
}

TEST_CASE("apply says when a newer set has replaced the applied one") {
  // Guards against a resend of an old set looking as if it were in force.
  FakeReplicas Replicas;
  Json Newer = statusOf(60, 13, false);
  Newer["version"] = 5;
  Replicas.script(A, "/v1/configurations", {FakeReplicas::json(200, Accepted)});
  Replicas.script(A, "/v1/status", {FakeReplicas::json(200, Newer)});
  CommandContext Context = Replicas.context(optionsFor({SetFile}));
  CHECK((ApplyFile::run(Context) == ExitCode::Ok));
  CHECK(has(Replicas.Out, "version 5 has been accepted since"));
}

TEST_CASE("apply resends the same bytes after a lost answer") {
  // Guards against an operator who does not know whether the set was accepted.
  FakeReplicas Replicas;
  Json Again = Accepted;
  Again["repeated"] = true;
  Replicas.script(A, "/v1/configurations", {FakeReplicas::lost()});
  Replicas.script(
      B, "/v1/configurations",
      {FakeReplicas::json(503, {{"message", "the outcome is not known here"}}),
       FakeReplicas::json(200, Again)});
  CommandContext Context = Replicas.context(optionsFor({SetFile}));
  Context.Options.NoWait = true;
  CHECK((ApplyFile::run(Context) == ExitCode::Ok));
  CHECK(has(Replicas.Out, "was accepted before as revision 41"));
  CHECK(Replicas.Bodies.size() == 4);
  for (const std::string &Body : Replicas.Bodies)
    CHECK(Body == readTextFile(SetFile));
}

TEST_CASE("apply names both digests and the winner on a conflict") {
  // Guards against operators who cannot tell whose set won.
  FakeReplicas Replicas;
  Replicas.script(
      A, "/v1/configurations",
      {FakeReplicas::json(409, {{"outcome", "conflict"},
                                {"message", "version 2 was accepted with other "
                                            "content"},
                                {"winner_digest", "feed"},
                                {"revision", 39}})});
  CommandContext Context = Replicas.context(optionsFor({SetFile}));
  CHECK((ApplyFile::run(Context) == ExitCode::Refused));
  std::string Own = digestOf(
      *readConfiguration(readTextFile(SetFile), "f", std::nullopt).Set);
  CHECK(has(Replicas.Err, "conflict: version 2 was accepted with other"));
  CHECK(has(Replicas.Err, Own));
  CHECK(has(Replicas.Err, "digest feed (revision 39)"));
  CHECK(Replicas.Requests.size() == 1);
}

TEST_CASE("apply shows a replica's findings under the operator's file") {
  // Guards against places that name a file the operator does not have.
  FakeReplicas Replicas;
  Json Late = {{"severity", "error"},
               {"file", "configuration"},
               {"line", 10},
               {"column", 12},
               {"message", "finish_by is in the past"},
               {"remedy", "give a later time"}};
  Replicas.script(A, "/v1/configurations",
                  {FakeReplicas::json(422, {{"findings", {Late}}})});
  CommandContext Context = Replicas.context(optionsFor({SetFile}));
  CHECK((ApplyFile::run(Context) == ExitCode::InvalidInput));
  CHECK(has(Replicas.Err, SetFile + ":10:12: error: finish_by is in the past "
                                    "(give a later time)"));
}

TEST_CASE("apply has an exit code of its own for each way of not finishing") {
  // Guards against scripts that take an unknown outcome for a refusal.
  FakeReplicas None;
  CommandContext Alone = None.context(optionsFor({SetFile}));
  CHECK((ApplyFile::run(Alone) == ExitCode::NoReplica));
  CHECK(has(None.Err, "it is safe to apply the same file again"));

  FakeReplicas Slow;
  Slow.script(A, "/v1/configurations", {FakeReplicas::json(200, Accepted)});
  Slow.script(A, "/v1/status",
              {FakeReplicas::json(200, statusOf(41, 12, false))});
  CommandContext Waiting = Slow.context(optionsFor({SetFile}));
  CHECK((ApplyFile::run(Waiting) == ExitCode::TimedOut));
  CHECK(has(Slow.Err, "not in force everywhere yet: in force on 12 of 13"));

  FakeReplicas Unused;
  CommandContext Bad =
      Unused.context(optionsFor({AMARANTHWARD_SOURCE_DIR "/README.md"}));
  CHECK((ApplyFile::run(Bad) == ExitCode::InvalidInput));
  CHECK(Unused.Requests.empty());
}

TEST_CASE("apply follows the moves of its set to the end") {
  // Guards against an early success while a move is open, and against counting
  // the end of an earlier move.
  auto Run = [](const char *Phase, const char *Reason) {
    FakeReplicas Replicas;
    Replicas.script(A, "/v1/configurations",
                    {FakeReplicas::json(200, Accepted)});
    Replicas.script(
        A, "/v1/history",
        {FakeReplicas::json(
            200, {{"sets", {{{"revision", 41}, {"time_ms", 5000}}}}})});
    Replicas.script(A, "/v1/status",
                    {FakeReplicas::json(200, statusOf(41, 13, true)),
                     FakeReplicas::json(200, statusOf(41, 13, true)),
                     FakeReplicas::json(200, statusOf(45, 13, false))});
    Replicas.script(
        A, "/v1/moves",
        {FakeReplicas::json(200, {{"events",
                                   {event(1, "taken_back", 0, 4000),
                                    event(2, "shifting", 100, 5001)}},
                                  {"last", 2}}),
         FakeReplicas::json(
             200,
             {{"events", {event(3, Phase, 0, 9000, Reason)}}, {"last", 3}})});
    CommandContext Context = Replicas.context(optionsFor({SetFile}));
    Context.Options.FollowMoves = true;
    Context.Options.AsJson = true;
    ExitCode Code = ApplyFile::run(Context);
    auto Report = parseJson(Replicas.Out.str());
    REQUIRE(Report);
    CHECK((*Report)["moves"].size() == 2);
    CHECK(textAt((*Report)["moves"].back(), "phase") == Phase);
    return Code;
  };
  CHECK((Run("done", "") == ExitCode::Ok));
  CHECK((Run("taken_back", "failures on orders") == ExitCode::Refused));
}

TEST_CASE("status, moves and history read as tables") {
  // Guards against unnoticed changes of what operators see.
  FakeReplicas Replicas;
  Replicas.script(A, "/v1/status",
                  {FakeReplicas::json(200, statusOf(44, 12, true))});
  Replicas.script(
      A, "/v1/moves",
      {FakeReplicas::json(
          200, {{"events",
                 {event(1, "shifting", 125, 1796382000000),
                  event(2, "taken_back", 0, 1796382009000, "bad_version")}},
                {"last", 2}})});
  Replicas.script(
      A, "/v1/history",
      {FakeReplicas::json(200, {{"sets",
                                 {{{"version", 1},
                                   {"digest", "0a1b"},
                                   {"revision", 3},
                                   {"time_ms", 1796382000000}},
                                  {{"version", 20},
                                   {"digest", "2c3d"},
                                   {"revision", 1041},
                                   {"time_ms", 1796385600000}}}}})});
  CommandContext Context = Replicas.context({});
  CHECK((ShowStatus::run(Context) == ExitCode::Ok));
  Replicas.Out << "--\n";
  CHECK((ShowMoves::run(Context) == ExitCode::Ok));
  Replicas.Out << "--\n";
  CHECK((ShowHistory::run(Context) == ExitCode::Ok));
  checkGolden("amaranthctl/tables.golden", Replicas.Out.str());
}

TEST_CASE("reports survive answers of another shape") {
  // Guards against a crash on an answer of another release.
  for (const Json &Body :
       {Json::object(), Json({{"moves", 5}, {"in_force", "x"}, {"sets", {1}}}),
        Json({{"services", {{{"split", 7}}}}, {"events", {1, "x"}}}),
        Json::array({1})}) {
    FakeReplicas Replicas;
    for (const char *Path : {"/v1/status", "/v1/moves", "/v1/history"})
      Replicas.script(A, Path, {FakeReplicas::json(200, Body)});
    CommandContext Context = Replicas.context({});
    CHECK((ShowStatus::run(Context) == ExitCode::Ok));
    CHECK((ShowMoves::run(Context) == ExitCode::Ok));
    CHECK((ShowHistory::run(Context) == ExitCode::Ok));
  }
}

TEST_CASE("dump asks exactly the given process") {
  // Guards against the dump of another process during a failure.
  FakeReplicas Replicas;
  Replicas.script("10.9.9.9:8082", "/v1/dump",
                  {FakeReplicas::json(200, {{"node", "n1"}})});
  CommandContext Context = Replicas.context(optionsFor({"10.9.9.9:8082"}));
  CHECK((DumpProcess::run(Context) == ExitCode::Ok));
  CHECK(Replicas.Out.str() == "{\n  \"node\": \"n1\"\n}\n");
  Context.Options.Arguments = {"10.9.9.8:8082"};
  CHECK((DumpProcess::run(Context) == ExitCode::NoReplica));
  Context.Options.Arguments = {"localhost"};
  CHECK((DumpProcess::run(Context) == ExitCode::InvalidInput));
  CHECK(Replicas.Requests.size() == 2);
}

TEST_CASE("explain orders the lines about one request") {
  // Guards against a cause that is missed because the lines of a gate carry
  // only the id that the entry gave to the attempt.
  std::string Entry = "explain_entry.log";
  std::string Gate = "explain_gate.log";
  std::ofstream(Entry)
      << R"({"time_ms":10,"part":"entry","event":"forward","request":"r1","call":"7-1"})"
      << "\nnot a structured line\n"
      << R"({"time_ms":30,"part":"entry","event":"failed","request":"r1","reason":"queue-full"})"
      << '\n'
      << R"({"time_ms":15,"part":"entry","event":"forward","request":"r2","call":"7-2"})"
      << '\n';
  std::ofstream(Gate)
      << R"(   0.020 node-1: {"time_ms":20,"part":"gate","event":"refused","call":"7-1","queued":36})"
      << '\n';
  FakeReplicas Replicas;
  CommandContext Context = Replicas.context(optionsFor({"r1", Entry, Gate}));
  CHECK((ExplainRequest::run(Context) == ExitCode::Ok));
  CHECK(Replicas.Out.str() ==
        "10  explain_entry.log  entry forward call=7-1\n"
        "20  explain_gate.log    0.020 node-1:  gate refused call=7-1 "
        "queued=36\n"
        "30  explain_entry.log  entry failed reason=queue-full\n");
  Context.Options.Arguments = {"r3", Entry};
  CHECK((ExplainRequest::run(Context) == ExitCode::Refused));
  Context.Options.Arguments = {"r1"};
  CHECK((ExplainRequest::run(Context) == ExitCode::InvalidInput));
}
