#ifndef SISKINDRUM_DISPATCH_PEERS_H_
#define SISKINDRUM_DISPATCH_PEERS_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "siskindrum/core/membership.h"
#include "siskindrum/core/peer_message.h"

namespace siskindrum::dispatch {

using core::TimePoint;

// State of this entry's communication with the other entries. Peers are not
// required for serving: they supply rules and server lists while the platform's
// own store is unreachable.
struct Peers {
  core::Membership membership_;
  std::vector<std::string> seeds_;  // Initial peers; may be unreachable.
  // When each seed that was not heard was last told; epoch: never.
  std::map<std::string, TimePoint> seeds_told_at_;
  TimePoint next_round_at_{};
  TimePoint behind_since_{};  // Epoch: no peer has newer data.
  TimePoint next_request_at_{};
  TimePoint next_usage_report_at_{};  // Earliest time of the next usage report.
  int usage_rounds_skipped_ = 0;      // Rounds since the last usage report.
  std::uint64_t usage_counter_ = 0;
  std::vector<core::ServerUse> last_reported_usage_;
  std::size_t max_entries_seen_ = 1;  // Maximum of KnownEntryCount().
  TimePoint entry_count_grew_at_{};
};

// Returns the number of known entries, including this one and those that failed
// but are not yet removed from the membership. Thread-safe: no.
std::size_t KnownEntryCount(const Peers& peers);

}  // namespace siskindrum::dispatch

#endif  // SISKINDRUM_DISPATCH_PEERS_H_
