#include "libdistribution/sessiontable.h"

#include <doctest/doctest.h>

using namespace amaranthward;
using namespace std::chrono_literals;

namespace {

/// A session table with helpers that send announcements and renewals of nodes.
struct Fixture {
  Fixture() { this->Sessions->becomeLeader(Term(1), this->Members, this->Now); }

  static Announcement makeAnnouncement(std::uint64_t Number,
                                       std::uint64_t Start,
                                       std::uint64_t Sequence) {
    Announcement Sent;
    Sent.Session = SessionId(Number * 1000 + Start);
    Sent.Sequence = Sequence;
    Sent.Announced.Node = NodeName("n" + std::to_string(Number));
    Sent.Announced.Start = Incarnation(Number * 1000 + Start);
    Sent.Announced.Zone = ZoneName("z");
    Sent.Announced.PeerAddress = Endpoint("1.1.1.1:1");
    Sent.Announced.Service = ServiceName("s");
    return Sent;
  }
  Urgency announce(const Announcement &Sent) {
    UplinkBatch Batch;
    Batch.announce(Sent);
    Batch.renew(Sent.Session, Revision(), this->Now);
    const Urgency BatchUrgency = this->Sessions->applyUplink(Batch, this->Now);
    this->Sessions->publish(this->Members, this->Now);
    return BatchUrgency;
  }
  void renew(std::vector<std::uint64_t> Numbers, std::uint64_t InForce = 1) {
    UplinkBatch Batch;
    for (std::uint64_t Number : Numbers)
      Batch.renew(SessionId(Number * 1000 + 1), Revision(InForce), this->Now);
    this->Sessions->applyUplink(Batch, this->Now);
  }
  /// Advances the clock in steps of one second with a tick in each. The nodes
  /// in \a Renewing renew their sessions in each step.
  void advance(Duration Time, const std::vector<std::uint64_t> &Renewing) {
    for (Duration Done = 0s; Done < Time; Done += 1s) {
      this->Now += 1s;
      if (!Renewing.empty())
        this->renew(Renewing);
      this->Sessions->tick(this->Now);
      this->Sessions->publish(this->Members, this->Now);
    }
  }
  bool hasMember(std::uint64_t Number) const {
    return this->Members.find("member/n" + std::to_string(Number)) != nullptr;
  }

  Instant Now{100s};
  ResourceTable Members = *ResourceTable::create();
  std::unique_ptr<SessionTable> Sessions = *SessionTable::create({});
};

} // namespace

TEST_CASE("A session that is not renewed expires after the expiry time") {
  Fixture F;
  F.announce(F.makeAnnouncement(1, 1, 1));
  F.announce(F.makeAnnouncement(2, 1, 1));
  F.advance(9s, {1, 2});
  CHECK(F.Members.complete());
  F.advance(7s, {1});
  CHECK(F.hasMember(2));
  F.advance(1s, {1});
  CHECK_FALSE(F.hasMember(2));
  CHECK(F.hasMember(1));
  REQUIRE(F.Sessions->departed().size() == 1);
  CHECK(departedIn(F.Members.resources()) == F.Sessions->departed());
}

TEST_CASE("Renewals without other changes publish nothing") {
  // Guards against member traffic that grows with the number of nodes while
  // nothing changes.
  Fixture F;
  F.announce(F.makeAnnouncement(1, 1, 1));
  F.advance(10s, {1});
  const TableVersion Before = F.Members.current();
  F.announce(F.makeAnnouncement(1, 1, 2));
  F.advance(60s, {1});
  CHECK(F.Members.current() == Before);
}

TEST_CASE("An outage of the leader itself restarts the grace period") {
  // Guards against mass expiry after the leader process was paused for a minute
  // or its network was down, so that no renewal arrived.
  Fixture F;
  for (std::uint64_t Number : {1, 2, 3})
    F.announce(F.makeAnnouncement(Number, 1, 1));
  F.advance(10s, {1, 2, 3});
  SUBCASE("The process did not run") { F.Now += 60s; }
  SUBCASE("No renewal arrived") { F.advance(60s, {}); }
  F.advance(7s, {1});
  CHECK(F.Sessions->size() == 3);
  F.advance(3s, {1});
  CHECK(F.Sessions->size() == 1);
}

TEST_CASE("A new leader's table is incomplete for a full expiry time") {
  Fixture F;
  F.announce(F.makeAnnouncement(1, 1, 1));
  F.announce(F.makeAnnouncement(2, 1, 1));
  F.advance(10s, {1, 2});
  F.Sessions->becomeLeader(Term(2), F.Members, F.Now);
  F.announce(F.makeAnnouncement(1, 1, 2));
  F.advance(7s, {1});
  CHECK_FALSE(F.Members.complete());
  CHECK(F.hasMember(2));
  F.advance(1s, {1});
  CHECK(F.Members.complete());
  CHECK_FALSE(F.hasMember(2));
  CHECK(F.Members.versionOf("member/n1")->Epoch == 2);
}

TEST_CASE("A new incarnation replaces the old one at once") {
  Fixture F;
  F.announce(F.makeAnnouncement(1, 1, 1));
  CHECK(F.announce(F.makeAnnouncement(1, 2, 1)) == Urgency::Immediate);
  CHECK(F.Sessions->size() == 1);
  CHECK(numberAt(*F.Members.find("member/n1"), "i") == 1002);
  // A late announcement of the old process must not take the name back.
  F.announce(F.makeAnnouncement(1, 1, 2));
  CHECK(numberAt(*F.Members.find("member/n1"), "i") == 1002);
  // The old process takes the name back once the new one stops renewing.
  F.advance(5s, {1});
  F.announce(F.makeAnnouncement(1, 1, 3));
  CHECK(numberAt(*F.Members.find("member/n1"), "i") == 1001);
}

TEST_CASE("An announcement does not restore a session that left") {
  // Guards against a late announcement that adds a stopped node again.
  Fixture F;
  F.announce(F.makeAnnouncement(1, 1, 1));
  Announcement Leaving = F.makeAnnouncement(1, 1, 2);
  Leaving.EndsSession = true;
  CHECK(F.announce(Leaving) == Urgency::Immediate);
  CHECK_FALSE(F.hasMember(1));
  F.announce(F.makeAnnouncement(1, 1, 3));
  CHECK_FALSE(F.hasMember(1));
}

TEST_CASE("Only a newer announcement restores an expired session") {
  Fixture F;
  F.announce(F.makeAnnouncement(1, 1, 1));
  F.announce(F.makeAnnouncement(2, 1, 1));
  F.advance(20s, {2});
  CHECK_FALSE(F.hasMember(1));
  F.announce(F.makeAnnouncement(1, 1, 1));
  CHECK_FALSE(F.hasMember(1));
  F.announce(F.makeAnnouncement(1, 1, 2));
  CHECK(F.hasMember(1));
  CHECK(F.Sessions->departed().empty());
}

TEST_CASE("Departed incarnations are dropped after the retention time") {
  Fixture F;
  F.announce(F.makeAnnouncement(1, 1, 1));
  F.announce(F.makeAnnouncement(2, 1, 1));
  F.advance(20s, {2});
  CHECK(F.Sessions->departed().size() == 1);
  F.advance(121s, {2});
  CHECK(F.Sessions->departed().empty());
  CHECK(departedIn(F.Members.resources()).empty());
}

TEST_CASE("Acknowledgements are counted once per session") {
  // Guards against double counts when two parents report one node.
  Fixture F;
  F.announce(F.makeAnnouncement(1, 1, 1));
  F.announce(F.makeAnnouncement(2, 1, 1));
  F.renew({1, 2}, 5);
  F.renew({1}, 6);
  F.renew({1}, 6);
  F.renew({1}, 5);
  CHECK(F.Sessions->inForce(Revision(6)).InForce == 1);
  CHECK(F.Sessions->inForce(Revision(5)).InForce == 2);
  CHECK(F.Sessions->inForce(Revision(5)).Known == 2);
  CHECK(F.Sessions->histogram() ==
        std::map<Revision, std::size_t>{{Revision(5), 1}, {Revision(6), 1}});
}
