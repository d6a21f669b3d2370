#include "golden/goldenfile.h"
#include "libconfig/configurationreader.h"
#include "libconfig/settings.h"

using namespace amaranthward;

namespace {

const std::string BrokenSet = R"(version: 7
zones:
  - {name: zagreb-a, region: hr-kontinent}
  - {name: zagreb-a, region: hr-kontinent, in_service: no}
services:
  - name: narudzbe
    versions: [v1, v2]
    split: {v1: 50%, v2: 40%}
    move: {finish_by: "2020-01-01T00:00:00Z", probation: 1 minute}
    depends_on: [ateljer]
    limits: {slots: nine, connection: 120}
  - name: atelijer
    versions: []
routes:
  - {name: archive, path_prefix: archive, service: narudzbe}
  - {name: uploads, method: POST, path_prefix: /uploads, service: atelijer,
     class: huge, idempotent: yes, timeout: 60}
  - {name: scans, method: POST, path_prefix: /uploads, service: atelijer}
limits: {retry_budget: 0.1}
owner: studio
)";

const std::string BrokenSettings = R"(name: narudzbe 1
zone: zagreb-a
listen: 0.0.0.0:8080
peer_listen: zagreb-1:8081
local_listen: 0.0.0.0:8080
control: [10.0.0.1:7000, 10.0.0.1:7000]
log: {level: loud}
)";

std::string report(const Findings &All) {
  std::string Text;
  for (const Finding &One : All)
    Text += toString(One) + '\n';
  return Text;
}

} // namespace

TEST_CASE("a broken set is reported in full") {
  // Guards against reports that stop at the first problem or change wording
  // unnoticed.
  WallTime Now = WallTime(std::chrono::seconds(1796382000));
  ReadOutcome Outcome = readConfiguration(BrokenSet, "set-1.yaml", Now);
  CHECK_FALSE(Outcome.Set);
  checkGolden("config/findings.golden", report(Outcome.All));
}

TEST_CASE("broken settings are reported in full") {
  // Guards against reports that stop at the first problem or change wording
  // unnoticed.
  auto Outcome = readNodeSettings(BrokenSettings, "node.yaml");
  CHECK_FALSE(Outcome.Settings);
  checkGolden("config/settings.golden", report(Outcome.All));
}
