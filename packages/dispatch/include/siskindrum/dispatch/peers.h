#ifndef SISKINDRUM_DISPATCH_PEERS_H_
#define SISKINDRUM_DISPATCH_PEERS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "siskindrum/core/membership.h"
#include "siskindrum/core/peer_message.h"

namespace siskindrum::dispatch {

using core::TimePoint;

// What an entry knows of the other entries. It needs none of them to serve:
// they tell it what the platform's own service cannot tell while that is out of
// reach.
struct Peers {
  core::Membership membership_;
  std::vector<std::string> seeds_;  // Addresses to begin with; may be dead.
  TimePoint next_round_{};
  TimePoint behind_since_{};  // Epoch: no peer knows anything newer.
  TimePoint next_question_{};
  TimePoint next_use_{};  // When the engines' use may be told next.
  int use_rounds_ = 0;    // Passed over since it was told.
  std::uint64_t use_counter_ = 0;
  std::vector<core::ServerUse> use_told_;
  std::size_t entries_ = 1;  // Most that were known.
  TimePoint entries_grew_at_{};
};

// Entries that are known, this one included, dead ones until they are
// forgotten. Thread-safe: no.
std::size_t EntriesKnown(const Peers& peers);

}  // namespace siskindrum::dispatch

#endif  // SISKINDRUM_DISPATCH_PEERS_H_
