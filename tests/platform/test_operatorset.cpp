#include "platform/operatorset.h"

#include "libconfig/configurationcheck.h"
#include "libconfig/configurationcodec.h"
#include "libcore/json.h"
#include <doctest/doctest.h>

using namespace amaranthward;
using namespace std::chrono_literals;

namespace {

const char *Valid = R"({"version":7,"baseVersion":5,
  "routes":{"columns":["name","host","pathPrefix","kind","timeout",
    "targetLatency","priority","service","attempts","trafficSplit"],
   "rows":[["order","a.example","/o/","non_idempotent","1200ms","400ms",1,
     "shop",2,null],
    ["look","a.example","/l/","idempotent","2.5s","300ms",2,null,2,
     [{"service":"shop","weight":90},{"service":"spare","weight":10}]]]},
  "services":{"columns":["name","healthCheckPath","maxConnections",
    "protocol","tls","coldStart","coldPerS"],
   "rows":[["shop","/health",130,"h1",false,"3s",21.0],
    ["spare","/health",130,"h1",false,"3s",21.0]]},
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,
    "headerTimeout":"3000ms","idleTimeout":"15000ms"}})";

std::string changed(const std::string &From, const std::string &To) {
  std::string Text = Valid;
  std::size_t At = Text.find(From);
  REQUIRE(At != std::string::npos);
  return Text.replace(At, From.size(), To);
}

/// One value of a document, as a path of keys and indices, and its new value;
/// none removes it.
struct Edit {
  Json::json_pointer Where;
  std::optional<Json> Value;
};

std::string edited(const Edit &One) {
  Json Document = *parseJson(Valid);
  if (One.Value) {
    Document[One.Where] = *One.Value;
    return dumpJson(Document);
  }
  Json &Parent = Document[One.Where.parent_pointer()];
  if (Parent.is_array())
    Parent.erase(std::stoul(One.Where.back()));
  else
    Parent.erase(One.Where.back());
  return dumpJson(Document);
}

/// Another value of the same type.
Json otherOf(const Json &Value) {
  if (Value.is_boolean())
    return !Value.get<bool>();
  if (Value.is_number_unsigned())
    return Value.get<std::uint64_t>() + 1;
  if (Value.is_number())
    return Value.get<double>() + 1;
  if (Value.is_string())
    return Value.get<std::string>() + "x";
  return Value;
}

/// A value of another type.
Json retyped(const Json &Value) {
  return Value.is_string() ? Json(true) : Json("text");
}

void addPaths(const Json &Value, const Json::json_pointer &At,
              std::vector<Json::json_pointer> &All) {
  if (!At.empty())
    All.push_back(At);
  if (Value.is_object())
    for (const auto &[Key, Child] : Value.items())
      addPaths(Child, At / Key, All);
  if (Value.is_array())
    for (std::size_t I = 0; I < Value.size(); ++I)
      addPaths(Value[I], At / I, All);
}

std::vector<Json::json_pointer> allPaths() {
  std::vector<Json::json_pointer> All;
  addPaths(*parseJson(Valid), Json::json_pointer(), All);
  return All;
}

bool isRefused(const std::string &Text) {
  auto Set = decodeOperatorSet(Text);
  return !Set || !checkConfiguration(*Set).empty();
}

} // namespace

TEST_CASE("A configuration of the platform is decoded field by field") {
  auto Set = decodeOperatorSet(Valid);
  REQUIRE(Set.has_value());
  CHECK(checkConfiguration(*Set).empty());
  CHECK(Set->Version == OperatorVersion(7));
  CHECK(Set->Base == OperatorVersion(5));
  CHECK(Set->Source == Valid);
  REQUIRE(Set->Routes.size() == 2);
  const RouteSpec &Order = Set->Routes[0];
  CHECK(Order.Host == "a.example");
  CHECK(Order.PathPrefix == "/o/");
  CHECK_FALSE(Order.Idempotent);
  CHECK(Order.Timeout == 1200ms);
  CHECK(Order.Objective == 400ms);
  CHECK(Order.Attempts == 2);
  CHECK(Order.Priority == 1);
  CHECK(Order.Parts.empty());
  const RouteSpec &Look = Set->Routes[1];
  CHECK(Look.Idempotent);
  CHECK(Look.Timeout == 2500ms);
  REQUIRE(Look.Parts.size() == 2);
  CHECK(Look.Parts[1].Service == ServiceName("spare"));
  CHECK(Look.Parts[1].Weight == 10);
  REQUIRE(Set->Services.size() == 2);
  CHECK(Set->Services[0].Versions.empty());
  CHECK(Set->Services[0].Limits.WarmUp == 3s);
  CHECK(Set->Services[0].Limits.ColdCallsPerSecond == 21.0);
  CHECK(Set->Limits.IdleTimeout == Duration(15s));
}

TEST_CASE("Invalid configurations are refused") {
  // Guards against a configuration in force that operators were told is wrong.
  CHECK(isRefused(std::string(Valid).substr(0, 300)));
  CHECK(isRefused(changed("\"shop\",2,null", "\"missing\",2,null")));
  CHECK(isRefused(changed("/o/", "o/")));
  CHECK(isRefused(changed("a.example", "")));
  CHECK(isRefused(changed("\"weight\":90", "\"weight\":-1")));
  CHECK(isRefused(changed("\"1200ms\"", "null")));
  CHECK(isRefused(changed("\"1200ms\"", "\"1200\"")));
  CHECK(isRefused(changed("non_idempotent", "sometimes")));
  CHECK(isRefused(changed("\"version\":7", "\"version\":\"7\"")));
  CHECK(isRefused(changed("/l/", "/o/")));
}

TEST_CASE("Each change of a document gives it another identity") {
  // Guards against two changes under one number that are both acknowledged
  // because they differ only in a field that is not decoded.
  std::string Text = dumpJson(*parseJson(Valid));
  std::string Identity = digestOf(*decodeOperatorSet(Text));
  CHECK(digestOf(*decodeOperatorSet(Text)) == Identity);
  int Accepted = 0;
  for (const Json::json_pointer &Where : allPaths()) {
    const Json Old = parseJson(Valid)->at(Where);
    for (const std::optional<Json> &Value :
         {std::optional<Json>(otherOf(Old)), std::optional<Json>(retyped(Old)),
          std::optional<Json>(Json()), std::optional<Json>()}) {
      std::string Changed = edited({Where, Value});
      if (Changed == Text)
        continue;
      auto Set = decodeOperatorSet(Changed);
      if (!Set)
        continue;
      ++Accepted;
      CAPTURE(Changed);
      CHECK(digestOf(*Set) != Identity);
    }
  }
  CHECK(Accepted > 30);
  // Fields that this release does not know are part of the document.
  for (const char *Where : {"/new", "/limits/new"}) {
    auto Set =
        decodeOperatorSet(edited({Json::json_pointer(Where), Json("text")}));
    REQUIRE(Set.has_value());
    CHECK(digestOf(*Set) != Identity);
  }
}

TEST_CASE("A document that cannot be read in full is refused") {
  // Guards against an acknowledged configuration with a field that is absent
  // or of another type, whose value nobody knows.
  auto Routes = [](std::size_t Row, std::size_t Column) {
    return Json::json_pointer("/routes/rows") / Row / Column;
  };
  auto Services = [](std::size_t Column) {
    return Json::json_pointer("/services/rows/0") / Column;
  };
  // Columns in the order of the document.
  for (std::size_t Column : {0, 1, 2, 3, 4, 7})
    for (const Json &Value : {Json(), Json(7), Json(true)}) {
      CAPTURE(Column);
      CHECK(isRefused(edited({Routes(0, Column), Value})));
    }
  for (std::size_t Column : {0, 1, 2, 3, 4})
    for (const Json &Value : {Json(), Json("1"), Json(-1), Json::array()}) {
      bool IsText = Value.is_string() && Column != 2 && Column != 4;
      CAPTURE(Column);
      CHECK((IsText || isRefused(edited({Services(Column), Value}))));
    }
  for (std::size_t Column : {5, 6, 8, 9})
    CHECK(isRefused(edited({Routes(0, Column), Json(true)})));
  for (std::size_t Column : {5, 6})
    CHECK(isRefused(edited({Services(Column), Json(true)})));
  for (const char *Where :
       {"/version", "/baseVersion", "/routes", "/services", "/limits",
        "/routes/columns", "/routes/rows", "/services/columns",
        "/services/rows", "/limits/maxHeaderBytes", "/limits/maxBodyBytes",
        "/limits/headerTimeout", "/limits/idleTimeout"}) {
    CAPTURE(Where);
    Json::json_pointer Path(Where);
    CHECK(isRefused(edited({Path, std::nullopt})));
    CHECK(isRefused(edited({Path, Json()})));
    CHECK(isRefused(edited({Path, Json(true)})));
  }
  // A column that is absent, named twice or has no name, and rows of another
  // length.
  for (const char *Where : {"/services/columns/1", "/routes/columns/2",
                            "/routes/rows/0/9", "/services/rows/0/6"})
    CHECK(isRefused(edited({Json::json_pointer(Where), std::nullopt})));
  CHECK(isRefused(changed("\"protocol\"", "\"tls\"")));
  CHECK(isRefused(changed("\"protocol\"", "7")));
  CHECK(isRefused(changed("\"3s\",21.0]", "\"3s\",21.0,1]")));
}

TEST_CASE("An unknown service beside a split is refused") {
  // Guards against a route that names an unknown service which nobody reads,
  // because its split names known ones.
  CHECK(isRefused(changed("\"300ms\",2,null", "\"300ms\",2,\"missing\"")));
  CHECK_FALSE(isRefused(changed("\"300ms\",2,null", "\"300ms\",2,\"shop\"")));
  CHECK(isRefused(changed("\"service\":\"spare\"", "\"service\":\"none\"")));
}

TEST_CASE("Services without cold limits are accepted") {
  // Guards against a decoder that demands columns which a deployment without
  // cold upstreams does not send.
  std::string Text = changed(",\"coldStart\",\"coldPerS\"]", "]");
  for (int Row = 0; Row < 2; ++Row)
    Text.erase(Text.find(",\"3s\",21.0"), std::string(",\"3s\",21.0").size());
  CHECK_FALSE(isRefused(Text));
}
