#include "libconfig/configurationcodec.h"
#include "libconfig/resources.h"
#include "libconfig/samples.h"

#include <array>

using namespace amaranthward;

namespace {

constexpr std::uint64_t Seed = 20261204;
constexpr int Rounds = 20000;

// Pieces with a meaning in YAML or in a set, which plain random bytes seldom
// produce.
constexpr std::array<const char *, 28> Pieces = {
    "\n", "  ",   ": ",   "- ",  "[",      "]",       "{",
    "}",  ",",    "#",    "&a ", "*a",     "!!x ",    "? ",
    "\"", "'",    "|\n",  ">\n", "%YAML",  "---\n",   "...\n",
    "\t", "\xff", "100%", "v1",  "name: ", "\\u0000", "~"};

std::string mutate(std::string Text, const RandomFunction &Random) {
  std::uint64_t Edits = 1 + Random() % 4;
  for (std::uint64_t Edit = 0; Edit < Edits && !Text.empty(); ++Edit) {
    std::size_t At = Random() % Text.size();
    std::size_t Length = Random() % 12;
    switch (Random() % 5) {
    case 0:
      Text.erase(At, Length);
      break;
    case 1:
      Text[At] = static_cast<char>(' ' + Random() % 95);
      break;
    case 2:
      Text.insert(At, Pieces[Random() % Pieces.size()]);
      break;
    case 3:
      Text.insert(Random() % Text.size(), Text.substr(At, Length));
      break;
    default:
      Text.resize(At);
      break;
    }
  }
  return Text;
}

} // namespace

TEST_CASE("mutated sets give a set or an error, and never crash") {
  // Guards against exceptions, crashes and silent refusals on operator input.
  RandomFunction Random = seededRandom(Seed);
  int Accepted = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    std::string Text = mutate(ValidSet, Random);
    ReadOutcome Outcome = readConfiguration(Text, "set.yaml", std::nullopt);
    CAPTURE(Round);
    CAPTURE(Text);
    REQUIRE(Outcome.Set.has_value() != hasErrors(Outcome.All));
    if (!Outcome.Set)
      continue;
    ++Accepted;
    auto Back = configurationFromJson(toJson(*Outcome.Set));
    REQUIRE(Back);
    REQUIRE(digestOf(*Back) == digestOf(*Outcome.Set));
  }
  MESSAGE("accepted ", Accepted, " of ", Rounds);
  CHECK(Accepted > 0);
  CHECK(Accepted < Rounds);
}
