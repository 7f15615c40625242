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
  TimePoint next_round_at_{};
  TimePoint behind_since_{};  // Epoch: no peer knows anything newer.
  TimePoint next_request_at_{};
  TimePoint next_usage_report_at_{};  // When the engines' use may be told next.
  int usage_rounds_skipped_ = 0;      // Passed over since it was told.
  std::uint64_t usage_counter_ = 0;
  std::vector<core::ServerUse> last_reported_usage_;
  std::size_t max_entries_seen_ = 1;  // Most that were known.
  TimePoint entry_count_grew_at_{};
};

// Entries that are known, this one included, dead ones until they are
// forgotten. Thread-safe: no.
std::size_t KnownEntryCount(const Peers& peers);

}  // namespace siskindrum::dispatch

#endif  // SISKINDRUM_DISPATCH_PEERS_H_
