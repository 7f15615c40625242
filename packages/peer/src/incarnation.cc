#include "siskindrum/peer/incarnation.h"

#include <chrono>
#include <random>

namespace siskindrum::peer {

core::Incarnation MakeIncarnation() {
  constexpr std::uint64_t kRandomBits = 16;
  const auto now = std::chrono::duration_cast<core::Milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  std::random_device random;
  return (static_cast<std::uint64_t>(now.count()) << kRandomBits) |
         (random() & ((1U << kRandomBits) - 1));
}

}  // namespace siskindrum::peer
