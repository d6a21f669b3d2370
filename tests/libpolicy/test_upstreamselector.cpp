#include "libpolicy/upstreamselector.h"

#include <doctest/doctest.h>
#include <map>

using namespace amaranthward;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{10s};

UpstreamCandidate candidate(int Index, const char *Zone,
                            const char *Region = "region") {
  UpstreamCandidate Candidate;
  Candidate.Node = NodeName("node-" + std::to_string(Index));
  Candidate.Start = Incarnation(1);
  Candidate.Zone = ZoneName(Zone);
  Candidate.Region = RegionName(Region);
  Candidate.Slots = 9;
  return Candidate;
}

std::vector<UpstreamCandidate> tenInOneZone() {
  std::vector<UpstreamCandidate> All(10);
  for (int I = 0; I < 10; ++I)
    All[static_cast<std::size_t>(I)] = candidate(I, "a");
  return All;
}

UpstreamSelector makeSelector(std::uint64_t Seed = 1) {
  UpstreamSelectorSettings Settings;
  Settings.OwnZone = ZoneName("a");
  Settings.OwnRegion = RegionName("region");
  return UpstreamSelector::create(Settings, seededRandom(Seed)).value();
}

/// Makes one attempt that ends at once and returns the node it went to.
std::string attemptOnce(UpstreamSelector &Selector, Instant Now,
                        AttemptResult Result = AttemptResult::Success) {
  auto Handle = Selector.choose(Now);
  REQUIRE(Handle);
  std::string Node = Selector.find(*Handle)->Node.str();
  Selector.finish(*Handle, Result, 10ms, Now);
  return Node;
}

} // namespace

TEST_CASE("A selector needs a random function") {
  CHECK(!UpstreamSelector::create({}, nullptr));
}

TEST_CASE("Without candidates in service none is chosen") {
  // Guards against calls to upstreams that are leaving or out of service when
  // there are no others.
  UpstreamSelector Selector = makeSelector();
  CHECK(!Selector.choose(Start));
  auto Leaving = candidate(1, "a");
  Leaving.Leaving = true;
  Selector.setCandidates({Leaving, candidate(2, "b")}, {ZoneName("b")}, Start);
  CHECK(!Selector.choose(Start));
  CHECK(Selector.inService() == 0);
}

TEST_CASE("The own zone is used while it has room") {
  // Guards against transfers between zones without need, and against overload
  // of the own zone while others have room.
  UpstreamSelector Selector = makeSelector();
  Selector.setCandidates({candidate(1, "a"), candidate(2, "a"),
                          candidate(3, "b"), candidate(4, "c", "other")},
                         {}, Start);
  // Both get a success, so that they may be used up to their slots.
  for (int I = 0; I < 200; ++I)
    CHECK(attemptOnce(Selector, Start) < "node-3");
  std::map<std::string, int> Chosen;
  for (int I = 0; I < 18 + 1 + 1; ++I)
    ++Chosen[Selector.find(*Selector.choose(Start))->Node.str()];
  CHECK(Chosen["node-1"] + Chosen["node-2"] == 18);
  // A candidate without a success may be cold and gets one call at a time.
  CHECK(Chosen["node-3"] == 1);
  CHECK(Chosen["node-4"] == 1);
}

TEST_CASE("A failed connection ejects at once, but never the last candidate") {
  // Guards against a selector without candidates when every connection fails.
  UpstreamSelector Selector = makeSelector();
  Selector.setCandidates(tenInOneZone(), {}, Start);
  for (int I = 0; I < 200; ++I)
    attemptOnce(Selector, Start, AttemptResult::ConnectFailed);
  CHECK(Selector.ejected(Start) == 9);
  CHECK(Selector.choose(Start));

  UpstreamSelector Single = makeSelector();
  Single.setCandidates({candidate(1, "a")}, {}, Start);
  for (int I = 0; I < 20; ++I)
    attemptOnce(Single, Start, AttemptResult::ConnectFailed);
  CHECK(Single.ejected(Start) == 0);
}

TEST_CASE("Failures eject at most half") {
  // Guards against ejection of all upstreams when a dependency that they share
  // fails.
  UpstreamSelector Selector = makeSelector();
  Selector.setCandidates(tenInOneZone(), {}, Start);
  attemptOnce(Selector, Start, AttemptResult::Failure);
  CHECK(Selector.ejected(Start) == 0);
  for (int I = 0; I < 500; ++I)
    attemptOnce(Selector, Start,
                I % 2 ? AttemptResult::Failure : AttemptResult::Timeout);
  CHECK(Selector.ejected(Start) == 5);
}

TEST_CASE("Shed and cancelled attempts do not eject") {
  // Guards against overload that is mistaken for a failure of the upstream.
  UpstreamSelector Selector = makeSelector();
  Selector.setCandidates({candidate(1, "a"), candidate(2, "a")}, {}, Start);
  for (int I = 0; I < 100; ++I)
    attemptOnce(Selector, Start,
                I % 2 ? AttemptResult::Shed : AttemptResult::Cancelled);
  CHECK(Selector.ejected(Start) == 0);
}

TEST_CASE("An ejected candidate is probed after a growing time") {
  // Guards against many calls to a candidate that stays down, and against one
  // that recovered and gets none.
  UpstreamSelector Selector = makeSelector();
  Selector.setCandidates({candidate(1, "a"), candidate(2, "a")}, {}, Start);
  Instant Now = Start;
  Duration LastEjection = 0ms;
  for (int Round = 0; Round < 5; ++Round) {
    // Connections to node-1 fail, node-2 answers.
    Instant Since = Now;
    for (int I = 0; I < 1000 && Selector.ejected(Now) == 0; ++I) {
      auto Handle = *Selector.choose(Now);
      bool Refuses = Selector.find(Handle)->Node.str() == "node-1";
      Selector.finish(Handle,
                      Refuses ? AttemptResult::ConnectFailed
                              : AttemptResult::Success,
                      10ms, Now);
      Now += 1ms;
    }
    Since = Now;
    REQUIRE(Selector.ejected(Now) == 1);
    while (Selector.ejected(Now) == 1) {
      CHECK(attemptOnce(Selector, Now) == "node-2");
      Now += 10ms;
    }
    CHECK(Now - Since > LastEjection);
    LastEjection = Now - Since;
  }
  CHECK(LastEjection > 7s);
  // Recovered: it gets calls again.
  std::map<std::string, int> Chosen;
  for (int I = 0; I < 100; ++I)
    ++Chosen[attemptOnce(Selector, Now)];
  CHECK(Chosen["node-1"] > 0);
}

TEST_CASE("A candidate whose gate is leaving is not chosen again") {
  // Guards against calls lost while a zone change propagates: an entry without
  // the change would try the same zone until its attempts are used up.
  UpstreamSelector Selector = makeSelector();
  Selector.setCandidates(
      {candidate(1, "a"), candidate(2, "a"), candidate(3, "b")}, {}, Start);
  int Refusals = 0;
  for (int I = 0; I < 50; ++I) {
    auto Handle = *Selector.choose(Start);
    bool Leaves = Selector.find(Handle)->Zone == ZoneName("a");
    Refusals += Leaves ? 1 : 0;
    Selector.finish(Handle,
                    Leaves ? AttemptResult::Leaving : AttemptResult::Success,
                    1ms, Start);
  }
  CHECK(Refusals == 2);
  CHECK(Selector.ejected(Start) == 0);
  CHECK(attemptOnce(Selector, Start + 2s) != "node-3");
}

TEST_CASE("A retry avoids the candidates tried before if there are others") {
  // Guards against retries at the upstream that just failed the call.
  UpstreamSelector Selector = makeSelector();
  Selector.setCandidates({candidate(1, "a"), candidate(2, "a")}, {}, Start);
  for (int I = 0; I < 50; ++I) {
    UpstreamHandle First = *Selector.choose(Start);
    UpstreamHandle Second = *Selector.choose(Start, {&First, 1});
    CHECK(First != Second);
    std::vector<UpstreamHandle> Both = {First, Second};
    UpstreamHandle Third = *Selector.choose(Start, Both);
    for (UpstreamHandle Handle : {First, Second, Third})
      Selector.finish(Handle, AttemptResult::Success, 1ms, Start);
  }
}

TEST_CASE("The faster of two candidates is preferred") {
  // Guards against a random choice that ignores the measured latency.
  UpstreamSelector Selector = makeSelector();
  Selector.setCandidates({candidate(1, "a"), candidate(2, "a")}, {}, Start);
  std::map<std::string, int> Chosen;
  for (int I = 0; I < 200; ++I) {
    auto Handle = *Selector.choose(Start);
    bool Slow = Selector.find(Handle)->Node.str() == "node-1";
    if (I >= 20)
      ++Chosen[Selector.find(Handle)->Node.str()];
    Selector.finish(Handle, AttemptResult::Success, Slow ? 100ms : 10ms, Start);
  }
  CHECK(Chosen["node-2"] == 180);
}

TEST_CASE("A candidate that was slow once is tried again") {
  // Guards against an estimate that is never corrected: of two candidates, the
  // one with the higher estimate gets no call that could be measured.
  UpstreamSelector Selector = makeSelector();
  Selector.setCandidates({candidate(1, "a"), candidate(2, "a")}, {}, Start);
  bool WasSlow = false;
  int ChosenAgain = 0;
  for (Instant Now = Start; Now < Start + 60s; Now += 10ms) {
    auto Handle = *Selector.choose(Now);
    bool First = Selector.find(Handle)->Node.str() == "node-1";
    ChosenAgain += First && WasSlow ? 1 : 0;
    Selector.finish(Handle, AttemptResult::Success,
                    First && !WasSlow ? 150ms : 10ms, Now);
    WasSlow = WasSlow || First;
  }
  CHECK(ChosenAgain > 100);
}

TEST_CASE("A load report moves calls to another zone until it expires") {
  // Guards against calls to a gate that other senders have filled, and against
  // an old report that keeps calls away.
  UpstreamSelector Selector = makeSelector();
  Selector.setCandidates({candidate(1, "a"), candidate(2, "b")}, {}, Start);
  attemptOnce(Selector, Start);
  UpstreamHandle Local = *Selector.choose(Start);
  Selector.finish(Local, AttemptResult::Success, 10ms, Start);
  Selector.hintLoad(Local, 9, 9, Start);
  CHECK(attemptOnce(Selector, Start) == "node-2");
  CHECK(Selector.ejected(Start) == 0);
  CHECK(attemptOnce(Selector, Start + UpstreamSelector::HintTimeout + 1us) ==
        "node-1");
}

TEST_CASE("Measurements belong to one incarnation of a node") {
  // Guards against failures of a stopped process that eject its successor.
  UpstreamSelector Selector = makeSelector();
  auto Candidate = candidate(1, "a");
  Selector.setCandidates({Candidate, candidate(2, "a")}, {}, Start);
  std::optional<UpstreamHandle> Old;
  while (!Old) {
    auto Handle = *Selector.choose(Start);
    if (Selector.find(Handle)->Node.str() == "node-1")
      Old = Handle;
    else
      Selector.finish(Handle, AttemptResult::Success, 1ms, Start);
  }
  Candidate.Start = Incarnation(2);
  Selector.setCandidates({Candidate, candidate(2, "a")}, {}, Start);
  CHECK(!Selector.find(*Old));
  // The result of an attempt at the old process must not count for the new one.
  Selector.finish(*Old, AttemptResult::ConnectFailed, 1ms, Start);
  CHECK(Selector.ejected(Start) == 0);
}

TEST_CASE("Candidates out of service are never chosen") {
  // Guards, under random changes and results, against a choice of a candidate
  // that is leaving or in a zone out of service, and against ejection of all.
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    UpstreamSelector Selector = makeSelector(Seed);
    RandomFunction Random = seededRandom(Seed + 100);
    Instant Now = Start;
    std::map<std::string, bool> Eligible;
    const char *Zones[] = {"a", "b", "c"};
    for (int Step = 0; Step < 2000; ++Step) {
      Now += Duration(static_cast<Duration::rep>(Random() % 100000));
      if (Step % 50 == 0) {
        std::vector<UpstreamCandidate> All;
        std::set<ZoneName> OutOfService;
        if (Random() % 2)
          OutOfService.insert(ZoneName(Zones[Random() % 3]));
        Eligible.clear();
        for (int I = 0; I < 12; ++I) {
          if (Random() % 4 == 0)
            continue;
          auto Candidate = candidate(I, Zones[I % 3]);
          Candidate.Start = Incarnation(Random() % 3);
          Candidate.Leaving = Random() % 4 == 0;
          Eligible[Candidate.Node.str()] =
              !Candidate.Leaving && !OutOfService.contains(Candidate.Zone);
          All.push_back(Candidate);
        }
        Selector.setCandidates(All, OutOfService, Now);
      }
      auto Handle = Selector.choose(Now);
      CHECK(Handle.has_value() == (Selector.inService() > 0));
      if (!Handle)
        continue;
      CHECK(Eligible[Selector.find(*Handle)->Node.str()]);
      CHECK(Selector.ejected(Now) < Selector.inService());
      Selector.finish(*Handle, static_cast<AttemptResult>(Random() % 7), 5ms,
                      Now);
    }
  }
}
