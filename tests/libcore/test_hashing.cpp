#include "libcore/hashing.h"

#include <doctest/doctest.h>
#include <map>
#include <string>

using namespace amaranthward;

TEST_CASE("Hashes have fixed values") {
  // Guards against a change that would make old and new releases disagree on
  // ranks, checksums or digests.
  CHECK(crc32("123456789") == 0xCBF43926U);
  CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223"
                            "b00361a396177a9cb410ff61f20015ad");
  CHECK(stableHash("catalogue") == stableHash(std::string("catalogue")));
}

TEST_CASE("Rendezvous weights spread keys evenly") {
  // Guards against a weak hash that gives one member most keys.
  std::map<std::string, int> Wins;
  for (int Key = 0; Key < 10000; ++Key) {
    std::string Best;
    std::uint64_t BestWeight = 0;
    for (int Member = 0; Member < 10; ++Member) {
      std::string Name = "node-" + std::to_string(Member);
      std::uint64_t Weight =
          rendezvousWeight("key-" + std::to_string(Key), Name);
      if (Weight >= BestWeight) {
        BestWeight = Weight;
        Best = Name;
      }
    }
    ++Wins[Best];
  }
  CHECK(Wins.size() == 10);
  for (const auto &[Name, Count] : Wins) {
    CHECK(Count > 850);
    CHECK(Count < 1150);
  }
}
