#include "amaranthctl/fakereplicas.h"

using namespace amaranthward;
using namespace std::chrono_literals;

namespace {

const std::string A = "10.0.0.1:7000";
const std::string B = "10.0.0.2:7000";
const std::string C = "10.0.0.3:7000";

ControlClient clientOf(FakeReplicas &Replicas) {
  auto Client =
      ControlClient::create({Endpoint(A), Endpoint(B)}, Replicas.hooks());
  REQUIRE(Client);
  return *Client;
}

} // namespace

TEST_CASE("the client tries the next replica and remembers it") {
  // Guards against an operator being stopped by one dead replica.
  FakeReplicas Replicas;
  Replicas.script(B, "/v1/status", {FakeReplicas::json(200, {{"term", 3}})});
  ControlClient Client = clientOf(Replicas);
  for (int Round = 0; Round < 2; ++Round) {
    auto Answer = Client.call("GET", "/v1/status", "", 10s);
    REQUIRE(Answer);
    CHECK(Answer->Body["term"] == 3);
  }
  CHECK(Replicas.Requests == std::vector<std::string>{A + " GET /v1/status",
                                                      B + " GET /v1/status",
                                                      B + " GET /v1/status"});
}

TEST_CASE("the client follows the leader to an address it was not given") {
  // Guards against clients that need the whole list of replicas.
  FakeReplicas Replicas;
  Replicas.script(A, "/v1/status", {FakeReplicas::json(421, {}, C)});
  Replicas.script(C, "/v1/status", {FakeReplicas::json(200, {{"term", 4}})});
  auto Answer = clientOf(Replicas).call("GET", "/v1/status", "", 10s);
  REQUIRE(Answer);
  CHECK(Answer->Body["term"] == 4);
}

TEST_CASE("replicas that point at each other end in a clear error") {
  // Guards against an endless loop while the replicas disagree.
  FakeReplicas Replicas;
  Replicas.script(A, "/v1/status", {FakeReplicas::json(421, {}, B)});
  Replicas.script(B, "/v1/status", {FakeReplicas::json(421, {}, A)});
  auto Answer = clientOf(Replicas).call("GET", "/v1/status", "", 2s);
  REQUIRE_FALSE(Answer);
  CHECK((Answer.error().Code == ErrorCode::Unavailable));
  CHECK(Answer.error().Message.find("disagree on the leader") !=
        std::string::npos);
  CHECK(Replicas.Requests.size() < 100);
}

TEST_CASE("an election is waited out") {
  // Guards against giving up within the second that an election takes.
  FakeReplicas Replicas;
  auto NoLeader = FakeReplicas::json(503, {{"message", "no leader is known"}});
  Replicas.script(
      A, "/v1/status",
      {NoLeader, NoLeader, NoLeader, FakeReplicas::json(200, {{"term", 5}})});
  Replicas.script(B, "/v1/status", {FakeReplicas::json(421, {})});
  auto Answer = clientOf(Replicas).call("GET", "/v1/status", "", 10s);
  REQUIRE(Answer);
  CHECK(Answer->Body["term"] == 5);
}

TEST_CASE("patience ends with the reason of the last replica") {
  // Guards against waiting for ever, and against an error without a reason.
  FakeReplicas Replicas;
  auto Answer = clientOf(Replicas).call("GET", "/v1/status", "", 2s);
  REQUIRE_FALSE(Answer);
  CHECK(Answer.error().Message == A + ": connection refused");
  CHECK(Replicas.Requests.size() > 10);
}

TEST_CASE("an answer that is not JSON is not taken for one") {
  // Guards against trusting whatever else listens on the port.
  FakeReplicas Replicas;
  HttpResponse Other;
  Other.Body = "<html>";
  Replicas.script(A, "/v1/status", {Other});
  Replicas.script(B, "/v1/status", {FakeReplicas::json(200, {{"term", 6}})});
  auto Answer = clientOf(Replicas).call("GET", "/v1/status", "", 10s);
  REQUIRE(Answer);
  CHECK(Answer->Body["term"] == 6);
}
