#include "libconfig/samples.h"

#include <algorithm>
#include <vector>

using namespace amaranthward;
using namespace std::chrono_literals;

namespace {

// 2026-12-04T11:00:00Z, one hour before the deadline in the sample.
constexpr WallTime Now = WallTime(1796382000s);

struct BadInput {
  const char *From;
  const char *To;
  int Line;
  int Column;
  const char *Message;
  const char *Remedy;
};

const std::vector<BadInput> BadInputs = {
    {"version: 7", "version: seven", 1, 10,
     "version must be a whole number from 1 to 1000000000000 but is \"seven\"",
     "write a number from 1 to 1000000000000 without quotes"},
    {"version: 7", "version: 0", 1, 10, "version must be a whole number",
     "write a number"},
    {"version: 7", "version: \"7\"", 1, 10, "version must be a whole number",
     "without quotes"},
    {"version: 7", "release: 7", 1, 1, "unknown field \"release\"",
     "use only the fields version, zones, services, routes, limits"},
    {"version: 7", "release: 7", 1, 1, "lacks the field \"version\"",
     "add version"},
    {"version: 7", "version: 7\nversion: 8", 2, 1,
     "has the field \"version\" twice, first in line 1",
     "remove one of the two"},
    {"name: tw-central-b", "name: tw-central-a", 4, 5,
     "zone \"tw-central-a\" appears twice, first in line 3",
     "remove or rename one of the two"},
    {"name: tw-central-b", "name: tw/b", 4, 12,
     "zone name must be a name but is \"tw/b\"",
     "use 1 to 63 letters, digits, '-', '_' and '.'"},
    {"in_service: true", "in_service: maybe", 3, 58,
     "in_service of zone \"tw-central-a\" must be true or false",
     "write true or false"},
    {"in_service: true", "in_service: false", 3, 3, "no zone is in service",
     "leave at least one zone in service"},
    {"name: media\n", "name: catalogue\n", 12, 5,
     "service \"catalogue\" appears twice, first in line 6",
     "remove or rename one of the two"},
    {"versions: [v1, v2]", "versions: [v1, v1]", 7, 20,
     "version \"v1\" appears twice", "remove or rename one of the two"},
    {"versions: [v1, v2]", "versions: []", 7, 15,
     "versions of service \"catalogue\" is empty", "name at least one version"},
    {"versions: [v1, v2]", "versions: v1", 7, 15,
     "versions of service \"catalogue\" must be a list but is \"v1\"",
     "write [...] or lines with '-'"},
    {"v2: 12.5%", "v3: 12.5%", 8, 24,
     "split of service \"catalogue\" names version \"v3\", which the service "
     "does not have",
     "add it to versions or remove it from split"},
    {"v2: 12.5%", "v2: 12.4%", 8, 12,
     "split of service \"catalogue\" adds up to 99.9%",
     "make the shares add up to 100%"},
    {"v2: 12.5%", "v1: 12.5%", 8, 24,
     "split of service \"catalogue\" has the field \"v1\" twice",
     "remove one of the two"},
    {"v2: 12.5%", "v2: 12.5", 8, 28,
     "share must be a percentage from 0% to 100% but is \"12.5\"",
     "such as 12.5%"},
    {"    split: {v1: 87.5%, v2: 12.5%}\n", "", 6, 5,
     "service \"catalogue\" has several versions but no split",
     "add split with the share of each version"},
    {"finish_by: \"2026-12-04T12:00:00Z\"", "finish_by: tomorrow", 9, 23,
     "finish_by must be a time in UTC but is \"tomorrow\"",
     "write it like \"2026-12-04T12:00:00Z\""},
    {"2026-12-04T12:00:00Z", "2026-12-04T10:00:00Z", 9, 23,
     "finish_by is in the past; it is now 2026-12-04T11:00:00Z",
     "give a later time"},
    {"finish_by: \"2026-12-04T12:00:00Z\", ", "", 9, 11,
     "move of service \"catalogue\" has no deadline",
     "give either finish_by or finish_within"},
    {"probation: 60s", "finish_within: 60s", 9, 11,
     "move of service \"catalogue\" has two deadlines",
     "give either finish_by or finish_within"},
    {"probation: 60s", "probation: 60", 9, 58,
     "probation must be a duration from 0s to 24h but is \"60\"",
     "such as 30s"},
    {"probation: 60s", "probation: 25h", 9, 58,
     "probation must be a duration from 0s to 24h", "such as 30s"},
    {"depends_on: [media]", "depends_on: [medium]", 10, 18,
     "service \"catalogue\" refers to service \"medium\", which the set does "
     "not have",
     "add the service or correct the name"},
    {"depends_on: [media]", "depends_on: [catalogue]", 10, 18,
     "service \"catalogue\" depends on itself", "remove it from depends_on"},
    {"depends_on: [media]", "depends_on: [media, media]", 10, 25,
     "dependency \"media\" appears twice", "remove or rename one of the two"},
    {"slots: 9", "slots: 0", 11, 21,
     "slots must be a whole number from 1 to 10000 but is \"0\"",
     "write a number from 1 to 10000"},
    {"queue: 64", "queue: -1", 11, 49,
     "queue must be a whole number from 0 to 10000 but is \"-1\"",
     "write a number from 0 to 10000"},
    {"connections: 130", "connections: 99999999999999999999", 11, 37,
     "connections must be a whole number", "write a number from 1 to 100000"},
    {"name: stock", "name: orders", 18, 5,
     "route \"orders\" appears twice, first in line 16",
     "remove or rename one of the two"},
    {"method: GET, path_prefix: /stock", "method: POST, path_prefix: /orders",
     18, 5,
     "route \"stock\" matches \"POST /orders\", as the route in line 16 does",
     "change method or path_prefix of one of the two"},
    {"method: POST", "method: post", 16, 28,
     "method must be an HTTP method in capital letters",
     "write GET or POST, or leave method out for any method"},
    {"path_prefix: /orders", "path_prefix: orders", 16, 47,
     "path_prefix \"orders\" is not a path", "start with '/'"},
    {"path_prefix: /orders", "path_prefix: /orders/", 16, 47,
     "path_prefix \"/orders/\" is not a path", "end without '/'"},
    {"path_prefix: /orders", "path_prefix: \"/orders?a=b\"", 16, 47,
     "is not a path", "no empty segment, space, '?' or '#'"},
    {"service: media", "service: medium", 18, 62,
     "route \"stock\" refers to service \"medium\", which the set does not "
     "have",
     "add the service or correct the name"},
    {"class: urgent", "class: critical", 19, 13,
     "class must be urgent, interactive or bulk",
     "write urgent, interactive or bulk"},
    {"timeout: 2s", "timeout: 0s", 17, 54,
     "timeout must be a duration from 1ms to 1h but is \"0s\"", "such as 30s"},
    {"retry_budget: 10%", "retry_budget: 101%", 20, 24,
     "retry_budget must be a percentage from 0% to 100%", "such as 12.5%"},
    {"idempotency_retention: 120s", "idempotency_retention: 500ms", 20, 52,
     "idempotency_retention must be a duration from 1s to 1h", "such as 30s"},
    {"limits: {retry_budget: 10%, idempotency_retention: 120s}", "limits: []",
     20, 9, "limits must be a map but is a list",
     "write it with the fields retry_budget, idempotency_retention"},
    {"version: 7", "version: &a 7", 1, 10, "YAML anchors are not accepted",
     "remove the '&' or quote the value"},
    {"version: 7", "version: *a", 1, 10, "the referenced anchor is not defined",
     "correct the syntax"},
    {"version: 7", "version: !x 7", 1, 10, "YAML tags are not accepted",
     "remove the '!' or quote the value"},
    {"version: 7", "? [a]\n: 7", 1, 3,
     "a field name of the file must be plain text but is a list",
     "write NAME: VALUE"},
    {"version: 7", "version: }7", 1, 10, "not valid YAML here",
     "correct the syntax"},
    {"version: 7\n", "version: 7\x01\n", 1, 11,
     "control character or invalid UTF-8", "save the file as UTF-8 text"},
    {"version: 7\n", "# caf\xe9\nversion: 7\n", 1, 6,
     "control character or invalid UTF-8", "save the file as UTF-8 text"},
    {"idempotency_retention: 120s}\n",
     "idempotency_retention: 120s}\n---\nversion: 8\n", 21, 1,
     "the file has more than one YAML document",
     "submit one complete document"},
};

bool reports(const Findings &All, const BadInput &Wanted) {
  return std::any_of(All.begin(), All.end(), [&](const Finding &One) {
    return One.Level == Severity::Error && One.Where.File == "set.yaml" &&
           One.Where.Line == Wanted.Line && One.Where.Column == Wanted.Column &&
           One.Message.find(Wanted.Message) != std::string::npos &&
           One.Remedy.find(Wanted.Remedy) != std::string::npos;
  });
}

std::string allText(const Findings &All) {
  std::string Text;
  for (const Finding &One : All)
    Text += toString(One) + '\n';
  return Text;
}

} // namespace

TEST_CASE("a valid set is read with every field") {
  // Guards against a field that is checked but not stored.
  ConfigurationSet Set = readValid(ValidSet);
  CHECK(Set.Version == OperatorVersion(7));
  REQUIRE(Set.Zones.size() == 2);
  CHECK(Set.Zones[0].InService);
  CHECK_FALSE(Set.Zones[1].InService);
  CHECK(Set.Zones[1].Region.str() == "tw-central");
  const ServiceSpec *Catalogue = Set.findService(ServiceName("catalogue"));
  REQUIRE(Catalogue != nullptr);
  CHECK(Catalogue->Split.at(VersionName("v2")) == Share(1250));
  REQUIRE(Catalogue->Move);
  CHECK(Catalogue->Move->FinishBy == Now + 1h);
  CHECK_FALSE(Catalogue->Move->FinishWithin);
  CHECK(Catalogue->Move->Probation == 60s);
  CHECK(Catalogue->DependsOn == std::vector{ServiceName("media")});
  CHECK(Catalogue->Limits.Connections == 130);
  CHECK(Catalogue->Limits.WarmUp == 10s);
  const ServiceSpec *Media = Set.findService(ServiceName("media"));
  REQUIRE(Media != nullptr);
  CHECK(Media->Split.at(VersionName("v1")) == Share::all());
  CHECK(Media->Move->FinishWithin == 30s);
  CHECK_FALSE(Media->Move->FinishBy);
  REQUIRE(Set.Routes.size() == 2);
  CHECK(Set.Routes[0].Method == "POST");
  CHECK_FALSE(Set.Routes[0].Idempotent);
  CHECK(Set.Routes[0].Timeout == 2s);
  CHECK((Set.Routes[1].Class == CallClass::Urgent));
  CHECK(Set.Routes[1].Timeout == 5s);
  CHECK(Set.Limits.RetryBudget == Share(1000));
  CHECK(Set.Limits.IdempotencyRetention == 120s);
}

TEST_CASE("each bad input gets a finding with its place and a remedy") {
  // Guards against problems that are missed, misplaced or left unexplained.
  for (const BadInput &Bad : BadInputs) {
    std::string Text = changedSet(Bad.From, Bad.To);
    ReadOutcome Outcome = readConfiguration(Text, "set.yaml", Now);
    CAPTURE(Bad.To);
    CAPTURE(allText(Outcome.All));
    CHECK(reports(Outcome.All, Bad));
    CHECK_FALSE(Outcome.Set);
    for (const Finding &One : Outcome.All)
      CHECK_FALSE(One.Remedy.empty());
  }
}

TEST_CASE("a deadline in the past is accepted without a clock") {
  // Guards against refusing a resend whose deadline passed meanwhile.
  std::string Text = changedSet("2026-12-04T12:00:00Z", "2001-01-01T00:00:00Z");
  CHECK(readConfiguration(Text, "set.yaml", std::nullopt).Set);
  CHECK_FALSE(readConfiguration(Text, "set.yaml", Now).Set);
}

TEST_CASE("a route without idempotent follows its method") {
  // Guards against retries of orders whose route does not say idempotent.
  std::string Text = changedSet(", idempotent: false", "");
  CHECK_FALSE(readValid(Text).Routes[0].Idempotent);
  CHECK(readValid(Text).Routes[1].Idempotent);
  CHECK_FALSE(readValid(changedSet("method: GET, ", "")).Routes[1].Idempotent);
}

TEST_CASE("a warning alone leaves the set usable") {
  // Guards against warnings that block an apply.
  std::string Text = changedSet("connections: 130", "connections: 4");
  ReadOutcome Outcome = readConfiguration(Text, "set.yaml", Now);
  CHECK(Outcome.Set);
  REQUIRE(Outcome.All.size() == 1);
  CHECK((Outcome.All[0].Level == Severity::Warning));
  CHECK(Outcome.All[0].Message ==
        "connections is lower than slots, so 5 slots are never used");
}

TEST_CASE("texts that are not one map give an error") {
  // Guards against an empty or partial file replacing the whole set.
  for (const char *Text : {"", "\n\n", "# only a comment\n", "---\n", "~",
                           "text", "[]", "{}", "- a", "version: 7"}) {
    ReadOutcome Outcome = readConfiguration(Text, "set.yaml", Now);
    CHECK_MESSAGE(hasErrors(Outcome.All), Text);
    CHECK_MESSAGE(!Outcome.Set, Text);
  }
}

TEST_CASE("hostile texts are refused in bounded time and memory") {
  // Guards against stack exhaustion, alias bombs and unbounded findings.
  auto Refused = [](const std::string &Text, const std::string &Why) {
    ReadOutcome Outcome = readConfiguration(Text, "set.yaml", Now);
    CHECK_FALSE(Outcome.Set);
    CHECK(Outcome.All.size() <= 201);
    CAPTURE(allText(Outcome.All));
    CHECK(std::any_of(Outcome.All.begin(), Outcome.All.end(),
                      [&](const Finding &One) {
                        return One.Message.find(Why) != std::string::npos;
                      }));
  };
  Refused(std::string(MaxConfigurationBytes + 1, ' '), "at most 4194304");
  Refused(std::string(100000, '['), "nested deeper than 32");
  Refused(std::string(1000000, '['), "at most 200000 are accepted");
  Refused(std::string(33, '[') + std::string(33, ']'), "nested deeper than 32");
  std::string Block;
  for (int Depth = 0; Depth < 100; ++Depth)
    Block += std::string(Depth, ' ') + "a:\n";
  Refused(Block, "nested deeper than 32");
  std::string Many;
  for (int Item = 0; Item < 500000; ++Item)
    Many += "- 1\n";
  Refused(Many, "too many values");
  std::string Anchors;
  for (int Item = 0; Item < 100000; ++Item)
    Anchors += "- &a 1\n";
  Refused(Anchors, "too many refused YAML features");
  std::string Unknown = ValidSet;
  for (int Item = 0; Item < 5000; ++Item)
    Unknown += "x" + std::to_string(Item) + ": 1\n";
  Refused(Unknown, "more findings are not shown");
}
