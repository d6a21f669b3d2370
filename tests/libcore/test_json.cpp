#include "libcore/json.h"

#include <doctest/doctest.h>

using namespace amaranthward;

TEST_CASE("parseJson refuses what it cannot represent safely") {
  // Guards against stack or memory exhaustion by hostile bodies.
  CHECK_FALSE(parseJson("").has_value());
  CHECK_FALSE(parseJson("{\"a\":").has_value());
  CHECK_FALSE(parseJson("[1,2] trailing").has_value());
  std::string Deep(200000, '[');
  CHECK_FALSE(parseJson(Deep).has_value());
  CHECK_FALSE(parseJson(Deep + std::string(200000, ']')).has_value());
  CHECK(parseJson("{\"a\":[1,{\"b\":null}]}").has_value());
}

TEST_CASE("Typed readers fall back on a wrong type") {
  // Guards against exceptions from a peer's malformed message.
  Json Value = {{"n", "text"}, {"t", 5}, {"b", "yes"}};
  CHECK(numberAt(Value, "n", 7) == 7);
  CHECK(textAt(Value, "t").empty());
  CHECK(boolAt(Value, "b", true));
  CHECK(numberAt(Json::array(), "n", 7) == 7);
}
