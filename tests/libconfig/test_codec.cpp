#include "libconfig/configurationcodec.h"
#include "libconfig/samples.h"

using namespace amaranthward;

namespace {

// The sample with lists in another order, other white space and quotes.
const std::string Reordered = R"(
limits: {idempotency_retention: 2m, retry_budget: 10.00%}
routes:
- name: stock
  service: media
  class: urgent
  path_prefix: "/stock"
  method: GET
- name: orders
  service: catalogue
  path_prefix: /orders
  method: POST
  timeout: 2000ms
services:
- {name: media, versions: ["v1"], split: {v1: 100%},
   move: {finish_within: 30000ms}}
- {name: catalogue, versions: [v2, v1], split: {v2: 12.50%, v1: 87.5%},
   depends_on: [media], limits: {connections: 130},
   move: {probation: 1m, finish_by: "2026-12-04T12:00:00.000Z"}}
zones:
- {name: tw-central-b, region: tw-central, in_service: false}
- {region: tw-central, name: tw-central-a}
version: 7
)";

} // namespace

TEST_CASE("a set survives the way through JSON") {
  // Guards against a field that replicas lose between log and memory.
  ConfigurationSet Set = readValid(ValidSet);
  auto Parsed = parseJson(dumpJson(toJson(Set)));
  REQUIRE(Parsed);
  auto Back = configurationFromJson(*Parsed);
  REQUIRE(Back);
  CHECK(toJson(*Back) == toJson(Set));
  CHECK(Back->Services[0].Move->FinishBy == Set.Services[0].Move->FinishBy);
  CHECK(Back->Services[1].Move->FinishWithin ==
        Set.Services[1].Move->FinishWithin);
}

TEST_CASE("the digest ignores order and white space only") {
  // Guards against a resend being refused as a conflict, and against a
  // changed set being taken for a resend.
  std::string Digest = digestOf(readValid(ValidSet));
  CHECK(Digest.size() == 64);
  CHECK(digestOf(readValid(Reordered)) == Digest);
  CHECK(digestOf(readValid(changedSet("version: 7", "version: 8"))) != Digest);
  CHECK(digestOf(readValid(changedSet("timeout: 2s", "timeout: 3s"))) !=
        Digest);
  CHECK(digestOf(readValid(changedSet("probation: 60s", "probation: 61s"))) !=
        Digest);
  CHECK(digestOf(readValid(changedSet("class: urgent", "class: bulk"))) !=
        Digest);
}

TEST_CASE("JSON without a field or with a wrong type is refused") {
  // Guards against exceptions and half-read sets from a damaged record. The
  // sample without any one value, or with null in its place, is not valid.
  Json Whole = toJson(readValid(ValidSet));
  Json Flat = Whole.flatten();
  int Refused = 0;
  for (const auto &Leaf : Flat.items()) {
    Json Broken = Whole;
    Broken[Json::json_pointer(Leaf.key())] = nullptr;
    CHECK_MESSAGE(!configurationFromJson(Broken), Leaf.key());
    ++Refused;
  }
  CHECK(Refused > 30);
  for (const auto &Field : Whole.items()) {
    Json Broken = Whole;
    Broken.erase(Field.key());
    CHECK_MESSAGE(!configurationFromJson(Broken), Field.key());
  }
  for (const Json &Value : {Json(), Json(1), Json("x"), Json::array()})
    CHECK_FALSE(configurationFromJson(Value));
}
