#include "libpolicy/upstreamselector.h"

#include <doctest/doctest.h>
#include <map>

using namespace amaranthward;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{10s};

UpstreamCandidate candidate(int Index, const char *Zone,
                            const char *Region = "region") {
  UpstreamCandidate One;
  One.Node = NodeName("node-" + std::to_string(Index));
  One.Start = Incarnation(1);
  One.Zone = ZoneName(Zone);
  One.Region = RegionName(Region);
  One.Slots = 9;
  return One;
}

std::vector<UpstreamCandidate> tenInOneZone() {
  std::vector<UpstreamCandidate> All(10);
  for (int I = 0; I < 10; ++I)
    All[static_cast<std::size_t>(I)] = candidate(I, "a");
  return All;
}

UpstreamSelector choice(std::uint64_t Seed = 1) {
  UpstreamSelectorSettings Settings;
  Settings.OwnZone = ZoneName("a");
  Settings.OwnRegion = RegionName("region");
  return UpstreamSelector::create(Settings, seededRandom(Seed)).value();
}

/// Chooses and ends at once.
std::string once(UpstreamSelector &Choice, Instant Now,
                 AttemptResult Result = AttemptResult::Success) {
  auto Handle = Choice.choose(Now);
  REQUIRE(Handle);
  std::string Node = Choice.find(*Handle)->Node.str();
  Choice.finish(*Handle, Result, 10ms, Now);
  return Node;
}

} // namespace

TEST_CASE("A choice needs a random function") {
  CHECK(!UpstreamSelector::create({}, nullptr));
}

TEST_CASE("Without candidates in service there is no choice") {
  UpstreamSelector Choice = choice();
  CHECK(!Choice.choose(Start));
  auto Leaving = candidate(1, "a");
  Leaving.Leaving = true;
  Choice.setCandidates({Leaving, candidate(2, "b")}, {ZoneName("b")}, Start);
  CHECK(!Choice.choose(Start));
  CHECK(Choice.inService() == 0);
}

TEST_CASE("The own zone is used while it has room") {
  UpstreamSelector Choice = choice();
  Choice.setCandidates({candidate(1, "a"), candidate(2, "a"), candidate(3, "b"),
                        candidate(4, "c", "other")},
                       {}, Start);
  // One response each, so that full load is allowed.
  for (int I = 0; I < 200; ++I)
    CHECK(once(Choice, Start) < "node-3");
  std::map<std::string, int> Chosen;
  for (int I = 0; I < 18 + 1 + 1; ++I)
    ++Chosen[Choice.find(*Choice.choose(Start))->Node.str()];
  CHECK(Chosen["node-1"] + Chosen["node-2"] == 18);
  // Not answered yet, so it may be cold and gets one call.
  CHECK(Chosen["node-3"] == 1);
  CHECK(Chosen["node-4"] == 1);
}

TEST_CASE("A refused connection ejects at once, but never the last ones") {
  UpstreamSelector Choice = choice();
  Choice.setCandidates(tenInOneZone(), {}, Start);
  for (int I = 0; I < 200; ++I)
    once(Choice, Start, AttemptResult::ConnectFailed);
  CHECK(Choice.ejected(Start) == 9);
  CHECK(Choice.choose(Start));

  UpstreamSelector Single = choice();
  Single.setCandidates({candidate(1, "a")}, {}, Start);
  for (int I = 0; I < 20; ++I)
    once(Single, Start, AttemptResult::ConnectFailed);
  CHECK(Single.ejected(Start) == 0);
}

TEST_CASE("Failures eject at most half") {
  // Guards against a bad dependency that makes every upstream look bad.
  UpstreamSelector Choice = choice();
  Choice.setCandidates(tenInOneZone(), {}, Start);
  once(Choice, Start, AttemptResult::Failure);
  CHECK(Choice.ejected(Start) == 0);
  for (int I = 0; I < 500; ++I)
    once(Choice, Start,
         I % 2 ? AttemptResult::Failure : AttemptResult::Timeout);
  CHECK(Choice.ejected(Start) == 5);
}

TEST_CASE("Shed and cancelled attempts do not eject") {
  UpstreamSelector Choice = choice();
  Choice.setCandidates({candidate(1, "a"), candidate(2, "a")}, {}, Start);
  for (int I = 0; I < 100; ++I)
    once(Choice, Start, I % 2 ? AttemptResult::Shed : AttemptResult::Cancelled);
  CHECK(Choice.ejected(Start) == 0);
}

TEST_CASE("An ejected candidate is probed after a growing time") {
  UpstreamSelector Choice = choice();
  Choice.setCandidates({candidate(1, "a"), candidate(2, "a")}, {}, Start);
  Instant Now = Start;
  Duration Last = 0ms;
  for (int Round = 0; Round < 5; ++Round) {
    // Node 1 refuses, node 2 answers.
    Instant Since = Now;
    for (int I = 0; I < 1000 && Choice.ejected(Now) == 0; ++I) {
      auto Handle = *Choice.choose(Now);
      bool Refuses = Choice.find(Handle)->Node.str() == "node-1";
      Choice.finish(Handle,
                    Refuses ? AttemptResult::ConnectFailed
                            : AttemptResult::Success,
                    10ms, Now);
      Now += 1ms;
    }
    Since = Now;
    REQUIRE(Choice.ejected(Now) == 1);
    while (Choice.ejected(Now) == 1) {
      CHECK(once(Choice, Now) == "node-2");
      Now += 10ms;
    }
    CHECK(Now - Since > Last);
    Last = Now - Since;
  }
  CHECK(Last > 7s);
  // Recovered: it gets calls again.
  std::map<std::string, int> Chosen;
  for (int I = 0; I < 100; ++I)
    ++Chosen[once(Choice, Now)];
  CHECK(Chosen["node-1"] > 0);
}

TEST_CASE("A gate that says it is leaving is not offered again") {
  // Guards against calls lost while a zone change spreads: an entry that does
  // not know it yet would try the same zone until its attempts are used up.
  UpstreamSelector Choice = choice();
  Choice.setCandidates(
      {candidate(1, "a"), candidate(2, "a"), candidate(3, "b")}, {}, Start);
  int Refusals = 0;
  for (int I = 0; I < 50; ++I) {
    auto Handle = *Choice.choose(Start);
    bool Leaves = Choice.find(Handle)->Zone == ZoneName("a");
    Refusals += Leaves ? 1 : 0;
    Choice.finish(Handle,
                  Leaves ? AttemptResult::Leaving : AttemptResult::Success, 1ms,
                  Start);
  }
  CHECK(Refusals == 2);
  CHECK(Choice.ejected(Start) == 0);
  CHECK(once(Choice, Start + 2s) != "node-3");
}

TEST_CASE("A call's earlier targets are avoided while there are others") {
  UpstreamSelector Choice = choice();
  Choice.setCandidates({candidate(1, "a"), candidate(2, "a")}, {}, Start);
  for (int I = 0; I < 50; ++I) {
    UpstreamHandle First = *Choice.choose(Start);
    UpstreamHandle Second = *Choice.choose(Start, {&First, 1});
    CHECK(First != Second);
    std::vector<UpstreamHandle> Both = {First, Second};
    UpstreamHandle Third = *Choice.choose(Start, Both);
    for (UpstreamHandle One : {First, Second, Third})
      Choice.finish(One, AttemptResult::Success, 1ms, Start);
  }
}

TEST_CASE("The faster and less loaded of two is preferred") {
  UpstreamSelector Choice = choice();
  Choice.setCandidates({candidate(1, "a"), candidate(2, "a")}, {}, Start);
  std::map<std::string, int> Chosen;
  for (int I = 0; I < 200; ++I) {
    auto Handle = *Choice.choose(Start);
    bool Slow = Choice.find(Handle)->Node.str() == "node-1";
    if (I >= 20)
      ++Chosen[Choice.find(Handle)->Node.str()];
    Choice.finish(Handle, AttemptResult::Success, Slow ? 100ms : 10ms, Start);
  }
  CHECK(Chosen["node-2"] == 180);
}

TEST_CASE("A candidate that was slow once is tried again") {
  // Guards against an estimate that nothing renews: with two candidates the
  // slower one is never chosen.
  UpstreamSelector Choice = choice();
  Choice.setCandidates({candidate(1, "a"), candidate(2, "a")}, {}, Start);
  bool WasSlow = false;
  int Back = 0;
  for (Instant Now = Start; Now < Start + 60s; Now += 10ms) {
    auto Handle = *Choice.choose(Now);
    bool First = Choice.find(Handle)->Node.str() == "node-1";
    Back += First && WasSlow ? 1 : 0;
    Choice.finish(Handle, AttemptResult::Success,
                  First && !WasSlow ? 150ms : 10ms, Now);
    WasSlow = WasSlow || First;
  }
  CHECK(Back > 100);
}

TEST_CASE("A load report moves calls elsewhere until it is old") {
  UpstreamSelector Choice = choice();
  Choice.setCandidates({candidate(1, "a"), candidate(2, "b")}, {}, Start);
  once(Choice, Start);
  UpstreamHandle Local = *Choice.choose(Start);
  Choice.finish(Local, AttemptResult::Success, 10ms, Start);
  Choice.hintLoad(Local, 9, 9, Start);
  CHECK(once(Choice, Start) == "node-2");
  CHECK(Choice.ejected(Start) == 0);
  CHECK(once(Choice, Start + UpstreamSelector::HintLife + 1us) == "node-1");
}

TEST_CASE("Measurements follow the incarnation of a node") {
  UpstreamSelector Choice = choice();
  auto One = candidate(1, "a");
  Choice.setCandidates({One, candidate(2, "a")}, {}, Start);
  std::optional<UpstreamHandle> Old;
  while (!Old) {
    auto Handle = *Choice.choose(Start);
    if (Choice.find(Handle)->Node.str() == "node-1")
      Old = Handle;
    else
      Choice.finish(Handle, AttemptResult::Success, 1ms, Start);
  }
  One.Start = Incarnation(2);
  Choice.setCandidates({One, candidate(2, "a")}, {}, Start);
  CHECK(!Choice.find(*Old));
  // The old process's end must not count for the new one.
  Choice.finish(*Old, AttemptResult::ConnectFailed, 1ms, Start);
  CHECK(Choice.ejected(Start) == 0);
}

TEST_CASE("Candidates out of service are never chosen") {
  // Guards G6 and G10 under random changes and results.
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    UpstreamSelector Choice = choice(Seed);
    RandomFunction Random = seededRandom(Seed + 100);
    Instant Now = Start;
    std::map<std::string, bool> Eligible;
    const char *Zones[] = {"a", "b", "c"};
    for (int Step = 0; Step < 2000; ++Step) {
      Now += Duration(static_cast<Duration::rep>(Random() % 100000));
      if (Step % 50 == 0) {
        std::vector<UpstreamCandidate> All;
        std::set<ZoneName> Out;
        if (Random() % 2)
          Out.insert(ZoneName(Zones[Random() % 3]));
        Eligible.clear();
        for (int I = 0; I < 12; ++I) {
          if (Random() % 4 == 0)
            continue;
          auto One = candidate(I, Zones[I % 3]);
          One.Start = Incarnation(Random() % 3);
          One.Leaving = Random() % 4 == 0;
          Eligible[One.Node.str()] = !One.Leaving && !Out.contains(One.Zone);
          All.push_back(One);
        }
        Choice.setCandidates(All, Out, Now);
      }
      auto Handle = Choice.choose(Now);
      CHECK(Handle.has_value() == (Choice.inService() > 0));
      if (!Handle)
        continue;
      CHECK(Eligible[Choice.find(*Handle)->Node.str()]);
      CHECK(Choice.ejected(Now) < Choice.inService());
      Choice.finish(*Handle, static_cast<AttemptResult>(Random() % 7), 5ms,
                    Now);
    }
  }
}
