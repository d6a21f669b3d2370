#ifndef AMARANTHWARD_TESTS_LIBCONFIG_SAMPLES_H
#define AMARANTHWARD_TESTS_LIBCONFIG_SAMPLES_H

#include "libconfig/configurationreader.h"
#include <doctest/doctest.h>
#include <string>

namespace amaranthward {

/// A valid set that uses every field.
inline const std::string ValidSet = R"(version: 7
zones:
  - {name: tw-central-a, region: tw-central, in_service: true}
  - {name: tw-central-b, region: tw-central, in_service: false}
services:
  - name: catalogue
    versions: [v1, v2]
    split: {v1: 87.5%, v2: 12.5%}
    move: {finish_by: "2026-12-04T12:00:00Z", probation: 60s}
    depends_on: [media]
    limits: {slots: 9, connections: 130, queue: 64, warm_up: 10s}
  - name: media
    versions: [v1]
    move: {finish_within: 30s}
routes:
  - {name: orders, method: POST, path_prefix: /orders, service: catalogue,
     class: interactive, idempotent: false, timeout: 2s}
  - {name: stock, method: GET, path_prefix: /stock, service: media,
     class: urgent}
limits: {retry_budget: 10%, idempotency_retention: 120s}
)";

/// \a ValidSet with its only occurrence of \a From replaced.
inline std::string changedSet(const std::string &From, const std::string &To) {
  std::string Text = ValidSet;
  std::size_t At = Text.find(From);
  REQUIRE(At != std::string::npos);
  REQUIRE(Text.find(From, At + 1) == std::string::npos);
  return Text.replace(At, From.size(), To);
}

inline ConfigurationSet readValid(const std::string &Text) {
  ReadOutcome Outcome = readConfiguration(Text, "set.yaml", std::nullopt);
  for (const Finding &One : Outcome.All)
    MESSAGE(toString(One));
  REQUIRE(Outcome.Set);
  return *Outcome.Set;
}

} // namespace amaranthward

#endif
