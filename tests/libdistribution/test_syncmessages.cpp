#include "libdistribution/membercodec.h"
#include "libdistribution/syncmessages.h"

#include <doctest/doctest.h>

using namespace amaranthward;

namespace {

const Instant Now{std::chrono::seconds(5)};

Member makeMember() {
  return {NodeName("n1"),
          Incarnation(~0ULL),
          ZoneName("zagreb-a"),
          RegionName("hr"),
          Endpoint("1.2.3.4:5"),
          ServiceName("narudzbe"),
          VersionName("v7"),
          9,
          120,
          true};
}

SyncRequest makeRequest() {
  SyncRequest Request;
  Request.Node = NodeName("n1");
  Request.Start = Incarnation(~0ULL);
  Request.Zone = ZoneName("zagreb-a");
  Request.Sequence = 42;
  Request.Cluster = ClusterId("c1");
  Request.InForce = Revision(7);
  Request.Members = {3, 9};
  Request.Refused = Revision(8);
  Request.MemberCursor = TableCursor{{3, 4}, "member/x", {3, 1}, {3, 9}, true};
  Request.Uplink.renew(SessionId(11), Revision(7), Now);
  Request.Uplink.renew(SessionId(12), Revision(6), Now);
  Request.Uplink.announce({SessionId(11), 2, makeMember(), true});
  Request.Uplink.observe({NodeName("n1"), Incarnation(5), {{"calls", 3U}}});
  Request.Uplink.refuse({NodeName("n1"), Revision(8), "no such service"});
  Request.WantsParents = true;
  Request.Fallback = true;
  Request.WantsConfirmation = true;
  return Request;
}

SyncResponse makeResponse() {
  SyncResponse Response;
  Response.Sequence = 42;
  Response.Cluster = ClusterId("c1");
  Response.InForce = Revision(9);
  Response.Members = {3, 10};
  TableChunk Chunk;
  Chunk.Snapshot = true;
  Chunk.Complete = false;
  Chunk.Current = {3, 10};
  Chunk.Changes = {{{2, 8}, "member/a", Json{{"i", 1U}}},
                   {{3, 9}, "member/b", std::nullopt}};
  Chunk.Next = TableCursor{{3, 9}, "member/b", {3, 10}, {3, 10}, true};
  Response.MemberChunk = Chunk;
  Response.SourceAge = std::chrono::milliseconds(250);
  Response.Confirmed = Revision(9);
  Response.Parents = {{NodeName("p"), Endpoint("1.1.1.1:1")}};
  return Response;
}

} // namespace

TEST_CASE("Encoding and decoding preserves messages") {
  const Json Request = toJson(makeRequest());
  auto Decoded = syncRequestFromJson(*parseJson(dumpJson(Request)), Now);
  REQUIRE(Decoded.has_value());
  CHECK(toJson(*Decoded) == Request);
  CHECK(Decoded->Uplink.announcements().begin()->second.Announced ==
        makeMember());
  const Json Response = toJson(makeResponse());
  auto Back = syncResponseFromJson(*parseJson(dumpJson(Response)));
  REQUIRE(Back.has_value());
  CHECK(toJson(*Back) == Response);
  CHECK(Back->MemberChunk->Changes[0].Version == TableVersion{2, 8});
}

TEST_CASE("Unknown fields are ignored and mistyped ones are refused") {
  // Guards against incompatibility with the next release, and against defaults
  // that hide a malformed message.
  Json Request = toJson(makeRequest());
  Request["future"] = {1, 2, 3};
  CHECK(syncRequestFromJson(Request, Now).has_value());
  for (const char *Key : {"n", "i", "q", "c", "r", "m", "x", "mc", "u"}) {
    CAPTURE(Key);
    Json Broken = Request;
    Broken[Key] = Json::array({-1, "x", nullptr});
    CHECK_FALSE(syncRequestFromJson(Broken, Now).has_value());
  }
  Json Response = toJson(makeResponse());
  for (const char *Key : {"q", "c", "r", "m", "h", "sa", "mc", "cf", "p"}) {
    CAPTURE(Key);
    Json Broken = Response;
    Broken[Key] = Json::array({-1, "x", nullptr});
    CHECK_FALSE(syncResponseFromJson(Broken).has_value());
  }
  CHECK_FALSE(syncRequestFromJson(Json(), Now).has_value());
  CHECK_FALSE(syncResponseFromJson(Json::array()).has_value());
}

TEST_CASE("A response that refuses admission contains only the retry time") {
  SyncResponse Refusal = makeResponse();
  Refusal.RetryAfter = std::chrono::milliseconds(1500);
  CHECK(toJson(Refusal) == Json{{"q", 42U}, {"ra", 1500U}});
}

TEST_CASE("Merging the same reports twice changes nothing") {
  // Guards against counting reports twice after a request was repeated.
  UplinkBatch Once = makeRequest().Uplink;
  UplinkBatch Twice = Once;
  Twice.merge(Once);
  CHECK(toJson(Twice) == toJson(Once));
  UplinkBatch Lower;
  Lower.renew(SessionId(11), Revision(2), Now - std::chrono::seconds(9));
  Twice.merge(Lower);
  CHECK(toJson(Twice) == toJson(Once));
}

TEST_CASE("A body with a damaged compressed chunk is refused") {
  // Guards against a partial or foreign chunk that is taken for a whole one.
  auto Table = *ResourceTable::create();
  REQUIRE(Table.apply({{"a", Json(std::string(2000, 'x'))}}, {0, 1}));
  SyncResponse Response = makeResponse();
  Response.ReplicatedChunk.reset();
  Response.MemberChunk.reset();
  ChunkCache Cache;
  Response.CompressedReplicatedChunk =
      Cache.read(Table, {}, std::nullopt, 1 << 16);
  const std::string Body = encodeSyncResponse(Response);
  REQUIRE(decodeSyncResponse(Body, 1 << 16).has_value());
  CHECK_FALSE(decodeSyncResponse(Body, 1000).has_value());
  CHECK_FALSE(
      decodeSyncResponse(Body.substr(0, Body.size() - 1), 1 << 16).has_value());
  std::string Damaged = Body;
  Damaged[Body.find('\n') + 1] = 'X';
  CHECK_FALSE(decodeSyncResponse(Damaged, 1 << 16).has_value());
}
