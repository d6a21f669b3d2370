#include "platform/upstreamreport.h"

#include "platform/wirefields.h"
#include <doctest/doctest.h>

using namespace amaranthward;
using namespace std::chrono_literals;

namespace {

const char *Valid = R"({"address":"10.128.0.9:8080","born":1700000000123,
  "info":{"service":"shop","version":"v1","zone":"z","slots":9},
  "status":{"state":"ready","sequence":4,"coldRemaining":"1500ms"}})";

bool isRefused(const std::string &From, const std::string &To) {
  std::string Text = Valid;
  std::size_t At = Text.find(From);
  REQUIRE(At != std::string::npos);
  return !decodeHeartbeat(InstanceId("i-1"), Text.replace(At, From.size(), To))
              .has_value();
}

} // namespace

TEST_CASE("A heartbeat is decoded field by field") {
  auto Said = decodeHeartbeat(InstanceId("i-1"), Valid);
  REQUIRE(Said.has_value());
  CHECK(Said->Instance == InstanceId("i-1"));
  CHECK(Said->Address == Endpoint("10.128.0.9:8080"));
  CHECK(Said->Service == ServiceName("shop"));
  CHECK(Said->Version == VersionName("v1"));
  CHECK(Said->Slots == 9);
  CHECK(Said->Sequence == 4);
  CHECK(Said->StartedAt == 1700000000123);
  CHECK(Said->ColdFor == Duration(1500ms));
  CHECK_FALSE(Said->Leaving);
}

TEST_CASE("A damaged heartbeat names no upstream") {
  // Guards against calls to an address that another writer made up.
  CHECK(isRefused("\"10.128.0.9:8080\"", "8080"));
  CHECK(isRefused("\"shop\"", "null"));
  CHECK(isRefused("\"ready\"", "\"happy\""));
  CHECK(isRefused("\"sequence\":4", "\"sequence\":\"4\""));
  CHECK(isRefused("\"slots\":9", "\"slots\":-9"));
  CHECK(isRefused("1700000000123", "\"yesterday\""));
  for (const char *Field : {"\"z\"", "\"v1\"", "\"shop\"", "\"ready\"",
                            "\"10.128.0.9:8080\"", "\"1500ms\""})
    for (const char *Value : {"7", "null", "true", "\"\"", "[]", "{}"}) {
      CAPTURE(Field);
      CAPTURE(Value);
      CHECK(isRefused(Field, Value));
    }
  for (const char *Field :
       {"\"address\"", "\"service\"", "\"version\"", "\"zone\"", "\"slots\"",
        "\"state\"", "\"sequence\"", "\"coldRemaining\""})
    CHECK(isRefused(Field, "\"other\""));
  for (const char *Slots : {"0", "100001", "9.5", "\"9\"", "null"})
    CHECK(isRefused("\"slots\":9", "\"slots\":" + std::string(Slots)));
  CHECK_FALSE(decodeHeartbeat(InstanceId("i-1"), "\xff\xfe").has_value());
  CHECK_FALSE(decodeHeartbeat(InstanceId("i-1"), "[]").has_value());
}

TEST_CASE("A deregistration names the start that ends") {
  // Guards against a late one that ends the next start under the same name.
  InstanceId Name("i-1");
  auto Said = decodeDeregistration(Name, R"({"born":1700000000123})");
  REQUIRE(Said.has_value());
  CHECK(Said->Instance == Name);
  CHECK(Said->StartedAt == 1700000000123);
  CHECK(decodeDeregistration(Name, "").value().StartedAt == 0);
  CHECK_FALSE(decodeDeregistration(Name, R"({"born":"now"})").has_value());
  CHECK_FALSE(decodeDeregistration(Name, "\xff").has_value());
}

TEST_CASE("Times are read with their unit") {
  CHECK(parseWireTime("1500ms") == Duration(1500ms));
  CHECK(parseWireTime("2.5s") == Duration(2500ms));
  CHECK(parseWireTime("0ms") == Duration(0));
  for (const char *Text : {"", "5", "ms", "-1s", "1 s", "nans", "1e300s"})
    CHECK_FALSE(parseWireTime(Text).has_value());
}
