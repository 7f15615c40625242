#ifndef SISKINDRUM_CORE_HASH_H_
#define SISKINDRUM_CORE_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace siskindrum::core {

// Stable 64-bit hash (xxHash). Thread-safe: yes.
std::uint64_t Hash64(std::string_view text, std::uint64_t seed = 0);

// Picks the candidate with the highest hash of (key, candidate), so that a
// candidate's coming or going moves only its own keys. Returns the index, or
// -1 when there is none. Thread-safe: yes.
int RendezvousPick(std::string_view key,
                   const std::vector<std::string>& candidates);

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_HASH_H_
