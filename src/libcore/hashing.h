#ifndef AMARANTHWARD_LIBCORE_HASHING_H
#define AMARANTHWARD_LIBCORE_HASHING_H

#include <cstdint>
#include <string>
#include <string_view>

namespace amaranthward {

/// 64-bit hash, equal on every machine and in every release.
std::uint64_t stableHash(std::string_view Text);

/// Weight of \a Member for \a Key in rendezvous hashing; the member with the
/// highest weight ranks first.
std::uint64_t rendezvousWeight(std::string_view Key, std::string_view Member);

/// CRC-32 (IEEE 802.3).
std::uint32_t crc32(std::string_view Data);

/// SHA-256 in lower-case hexadecimal.
std::string sha256Hex(std::string_view Data);

} // namespace amaranthward

#endif
