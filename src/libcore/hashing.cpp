#include "libcore/hashing.h"

#include <Poco/Checksum.h>
#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>

namespace amaranthward {

namespace {

// Finalizer of SplitMix64: spreads every input bit over all output bits.
std::uint64_t mix(std::uint64_t Value) {
  Value ^= Value >> 30;
  Value *= 0xbf58476d1ce4e5b9ULL;
  Value ^= Value >> 27;
  Value *= 0x94d049bb133111ebULL;
  return Value ^ (Value >> 31);
}

} // namespace

std::uint64_t stableHash(std::string_view Text) {
  std::uint64_t Hash = 0xcbf29ce484222325ULL; // FNV-1a
  for (unsigned char Byte : Text) {
    Hash ^= Byte;
    Hash *= 0x100000001b3ULL;
  }
  return mix(Hash);
}

std::uint64_t rendezvousWeight(std::string_view Key, std::string_view Member) {
  return mix(stableHash(Key) ^ (stableHash(Member) * 0x9e3779b97f4a7c15ULL));
}

std::uint32_t crc32(std::string_view Data) {
  Poco::Checksum Sum(Poco::Checksum::TYPE_CRC32);
  Sum.update(Data.data(), static_cast<unsigned>(Data.size()));
  return Sum.checksum();
}

std::string sha256Hex(std::string_view Data) {
  Poco::SHA2Engine Engine(Poco::SHA2Engine::SHA_256);
  Engine.update(Data.data(), static_cast<unsigned>(Data.size()));
  return Poco::DigestEngine::digestToHex(Engine.digest());
}

} // namespace amaranthward
