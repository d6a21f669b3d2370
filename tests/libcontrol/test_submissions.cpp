#include "controlfixture.h"

#include <doctest/doctest.h>

using namespace amaranthward;
using namespace amaranthward::testing;

namespace {

ApplyOutcome::Kind kindOf(const std::optional<SubmitAnswer> &Answer) {
  REQUIRE(Answer.has_value());
  REQUIRE(Answer->Outcome.has_value());
  return Answer->Outcome->What;
}

} // namespace

TEST_CASE("A resent set gets the first outcome again") {
  // Guards against accepting a set twice when the first answer was lost and the
  // operator resends it.
  ControlFixture Mesh(1);
  std::size_t Leader = Mesh.waitForLeader();
  auto First = Mesh.submit(Leader, catalogueSet(1, 0));
  CHECK(kindOf(First) == ApplyOutcome::Kind::Accepted);
  auto Again = Mesh.submit(Leader, catalogueSet(1, 0));
  CHECK(kindOf(Again) == ApplyOutcome::Kind::Repeated);
  CHECK(Again->Outcome->Winner == First->Outcome->Winner);
}

TEST_CASE("A resend is answered after its deadline has passed") {
  // Guards against refusing a resend because the deadline in the set has passed
  // since the set was accepted.
  ControlFixture Mesh(2);
  std::size_t Leader = Mesh.waitForLeader();
  REQUIRE(kindOf(Mesh.submit(Leader, catalogueSet(1, 0))) ==
          ApplyOutcome::Kind::Accepted);
  std::string Dated = catalogueSet(2, 100);
  Dated.replace(Dated.find("finish_within: 20s"), 18,
                "finish_by: 1970-01-01T00:00:30Z");
  REQUIRE(kindOf(Mesh.submit(Leader, Dated)) == ApplyOutcome::Kind::Accepted);
  Mesh.run(std::chrono::seconds(40));
  CHECK(kindOf(Mesh.submit(Leader, Dated)) == ApplyOutcome::Kind::Repeated);
  std::string Other = Dated;
  Other.replace(Other.find("version: 2"), 10, "version: 3");
  auto Late = Mesh.submit(Leader, Other);
  REQUIRE(Late.has_value());
  CHECK(hasErrors(Late->Problems));
}

TEST_CASE("Two sets with the same version: one is accepted, one conflicts") {
  // Guards against telling two operators that each one's set was accepted as
  // the same version.
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    ControlFixture Mesh(Seed);
    std::size_t Leader = Mesh.waitForLeader();
    REQUIRE(kindOf(Mesh.submit(Leader, catalogueSet(1, 0))) ==
            ApplyOutcome::Kind::Accepted);
    std::vector<SubmitAnswer> Answers;
    auto Collect = [&Answers](SubmitAnswer Answer) {
      Answers.push_back(Answer);
    };
    Mesh.replica(Leader).submit(catalogueSet(2, 30), Collect);
    Mesh.replica(Leader).submit(catalogueSet(2, 70), Collect);
    Mesh.run(std::chrono::seconds(1));
    REQUIRE(Answers.size() == 2);
    int Accepted = 0;
    int Conflicts = 0;
    for (const SubmitAnswer &Answer : Answers) {
      REQUIRE(Answer.Outcome.has_value());
      Accepted += Answer.Outcome->What == ApplyOutcome::Kind::Accepted;
      Conflicts += Answer.Outcome->What == ApplyOutcome::Kind::Conflict;
      CHECK(Answer.Outcome->Winner.Digest ==
            Mesh.replica(Leader).data().newest()->Digest);
    }
    CHECK(Accepted == 1);
    CHECK(Conflicts == 1);
  }
}

TEST_CASE("A lower version is stale and changes nothing") {
  // Guards against a delayed old set that replaces a newer one.
  ControlFixture Mesh(3);
  std::size_t Leader = Mesh.waitForLeader();
  Mesh.submit(Leader, catalogueSet(5, 0));
  auto Late = Mesh.submit(Leader, catalogueSet(4, 100));
  CHECK(kindOf(Late) == ApplyOutcome::Kind::Stale);
  CHECK(Mesh.replica(Leader).data().History.size() == 1);
}

TEST_CASE("A refused set changes nothing and reports all findings") {
  // Guards against applying only the valid parts of a set.
  ControlFixture Mesh(4);
  std::size_t Leader = Mesh.waitForLeader();
  std::string Bad = catalogueSet(1, 0) + "  - {name: orders, service: none}\n"
                                         "surprise: 1\n";
  auto Answer = Mesh.submit(Leader, Bad);
  REQUIRE(Answer.has_value());
  CHECK(Answer->Problems.size() >= 2);
  CHECK_FALSE(Answer->Outcome.has_value());
  CHECK(Mesh.replica(Leader).data().newest() == nullptr);
}

TEST_CASE("A leader that is cut off accepts nothing") {
  // Guards against reporting a set as accepted that the new leader does not
  // have.
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    ControlFixture Mesh(Seed);
    std::size_t Old = Mesh.waitForLeader();
    Mesh.submit(Old, catalogueSet(1, 0));
    Mesh.cut(Old, true);
    auto Lost = Mesh.submit(Old, catalogueSet(2, 30));
    if (Lost) {
      CHECK_FALSE(Lost->Outcome.has_value());
    }
    std::size_t New = Mesh.waitForLeader();
    REQUIRE(New != Old);
    // The operator resends the same set, whose outcome is not known.
    auto Resent = Mesh.submit(New, catalogueSet(2, 30));
    CHECK(kindOf(Resent) == ApplyOutcome::Kind::Accepted);
    Mesh.cut(Old, false);
    Mesh.run(std::chrono::seconds(3));
    for (std::size_t Number = 0; Number < Mesh.size(); ++Number) {
      const AcceptedSet *Newest = Mesh.replica(Number).data().newest();
      REQUIRE(Newest != nullptr);
      CHECK(*Newest == Resent->Outcome->Winner);
    }
  }
}
