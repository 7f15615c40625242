#ifndef SISKINDRUM_CORE_STORE_POSITION_H_
#define SISKINDRUM_CORE_STORE_POSITION_H_

#include <compare>
#include <cstdint>
#include <string>

namespace siskindrum::core {

// A position in the history of the store that publishes the server list. The
// store can come back from an older copy of itself: its revisions then go back
// and are given out again, and its era rises. So revisions are ordered within
// one era only, and each position of a later era is after all of an earlier
// one. The default is before all positions.
struct StorePosition {
  std::uint64_t era_ = 0;  // Zero: the store has no eras.
  std::uint64_t revision_ = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): a defaulted comparison has none.
  auto operator<=>(const StorePosition&) const = default;
};

// Returns "revision", or "era.revision" where the store has eras.
// Thread-safe: yes.
std::string ToString(const StorePosition& position);

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_STORE_POSITION_H_
