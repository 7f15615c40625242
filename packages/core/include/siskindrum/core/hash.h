#ifndef SISKINDRUM_CORE_HASH_H_
#define SISKINDRUM_CORE_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace siskindrum::core {

// Stable 64-bit hash (xxHash). Thread-safe: yes.
std::uint64_t Hash64(std::string_view text, std::uint64_t seed = 0);

// Rendezvous hashing: picks the candidate with the highest hash of (key,
// candidate), so that adding or removing a candidate reassigns only its own
// keys. Returns the index, or -1 if there are no candidates. Thread-safe: yes.
int RendezvousPick(std::string_view key,
                   const std::vector<std::string>& candidates);

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_HASH_H_
