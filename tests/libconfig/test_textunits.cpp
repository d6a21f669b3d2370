#include "libconfig/textunits.h"

#include <doctest/doctest.h>

using namespace amaranthward;
using namespace std::chrono_literals;

TEST_CASE("durations need a whole number and a unit") {
  // Guards against a number without unit being taken for any unit, and
  // against overflow.
  CHECK(parseDuration("250us") == 250us);
  CHECK(parseDuration("15ms") == 15ms);
  CHECK(parseDuration("30s") == 30s);
  CHECK(parseDuration("2m") == 2min);
  CHECK(parseDuration("1h") == 1h);
  CHECK(parseDuration("999999999h") == Duration(999999999h));
  for (const char *Text : {"", "30", "s", "-1s", "+1s", "1.5s", "1 s", "1S",
                           "1d", "9999999999h", "0x1s", "1ss"})
    CHECK_MESSAGE(!parseDuration(Text), Text);
}

TEST_CASE("shares are percentages with at most two decimals") {
  // Guards against silent rounding of a share.
  CHECK(parseShare("0%") == Share(0));
  CHECK(parseShare("12.5%") == Share(1250));
  CHECK(parseShare("0.01%") == Share(1));
  CHECK(parseShare("100%") == Share::all());
  CHECK(parseShare("100.00%") == Share::all());
  for (const char *Text : {"", "%", "100", "100.01%", "0.001%", ".5%", "5.%",
                           "-1%", "1e1%", "nan%", "1,5%"})
    CHECK_MESSAGE(!parseShare(Text), Text);
}

TEST_CASE("wall-clock times are calendar dates in UTC") {
  // Guards against a local time or an impossible date being accepted.
  CHECK(parseWallTime("1970-01-01T00:00:01Z") == WallTime(1s));
  CHECK(parseWallTime("2026-12-04T12:00:00Z") == WallTime(1796385600s));
  CHECK(parseWallTime("1970-01-01T00:00:00.25Z") == WallTime(250ms));
  CHECK(parseWallTime("2028-02-29T00:00:00Z").has_value());
  for (const char *Text :
       {"", "2026-12-04", "2026-12-04T12:00:00", "2026-12-04T12:00:00+01:00",
        "2026-02-29T00:00:00Z", "2026-13-01T00:00:00Z", "2026-12-04T24:00:00Z",
        "2026-12-04T12:60:00Z", "2026-12-04 12:00:00Z", "2026-12-04T12:00:00.Z",
        "2026-12-04T12:00:00.1234567Z", "2026-12-04T12:00:00ZZ",
        "1969-12-31T23:59:59Z", "2200-01-01T00:00:00Z"})
    CHECK_MESSAGE(!parseWallTime(Text), Text);
}

TEST_CASE("endpoints are numeric addresses with a port") {
  // Guards against host names, which would need a resolver at run time.
  for (const char *Text : {"127.0.0.1:80", "0.0.0.0:0", "[::1]:8080"})
    CHECK_MESSAGE(parseEndpoint(Text), Text);
  for (const char *Text :
       {"", ":80", "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536",
        "127.0.0.1:-1", "127.0.0.1:+80", "256.0.0.1:80", "::1:80", "[::1]",
        "[127.0.0.1]:80", "127.0.0.1:080000"})
    CHECK_MESSAGE(!parseEndpoint(Text), Text);
  CHECK(isAnyAddress(Endpoint("[::]:1")));
  CHECK(portOf(Endpoint("[::1]:8080")) == 8080);
}

TEST_CASE("formatted values read back as the same value") {
  // Guards against reports that show another value than the one in force.
  for (std::int64_t Value : {0L, 1L, 1500L, 2000L, 30000000L, 5400000000L})
    CHECK(parseDuration(formatDuration(Duration(Value))) == Duration(Value));
  for (std::uint32_t Parts = 0; Parts <= Share::Whole; ++Parts)
    REQUIRE(parseShare(formatShare(Share(Parts))) == Share(Parts));
  CHECK(formatShare(Share(1250)) == "12.5%");
  CHECK(formatWallTime(WallTime(1796385600s)) == "2026-12-04T12:00:00Z");
}
