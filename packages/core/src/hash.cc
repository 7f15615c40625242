#include "siskindrum/core/hash.h"

#include <xxhash.h>

namespace siskindrum::core {

std::uint64_t Hash64(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

int RendezvousPick(std::string_view key,
                   const std::vector<std::string>& candidates) {
  int best = -1;
  std::uint64_t best_weight = 0;
  const std::uint64_t seed = Hash64(key);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const std::uint64_t weight = Hash64(candidates[i], seed);
    if (best < 0 || weight > best_weight) {
      best = static_cast<int>(i);
      best_weight = weight;
    }
  }
  return best;
}

}  // namespace siskindrum::core
