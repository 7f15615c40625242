#ifndef SISKINDRUM_DISPATCH_USE_VIEW_H_
#define SISKINDRUM_DISPATCH_USE_VIEW_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "siskindrum/core/peer_message.h"
#include "siskindrum/dispatch/server_pool.h"

namespace siskindrum::dispatch {

// The last report of a peer on the engine memory that its answers hold.
struct PeerUsageReport {
  core::Incarnation incarnation_ = 0;  // Of the reporting process.
  std::uint64_t counter_ = 0;
  TimePoint heard_at_{};
  std::vector<core::ServerUse> servers_;
};

// Engine memory held by other entries of the same failure domain, by entry. It
// only affects the ranking of engines: late, wrong or missing reports make the
// load less even and break no guarantee.
struct PeerUsage {
  std::map<std::string, PeerUsageReport> entries_;
};

// Stores a peer's report unless a later one of the same process is known.
// Thread-safe: no.
void RecordPeerUsage(PeerUsage& view,
                     const std::string& from,
                     core::Incarnation incarnation,
                     const core::EngineUseReport& report,
                     TimePoint now);

// Drops reports older than kUsageLifetime and stores the sum of the others in
// the servers of the pool. Thread-safe: no.
void ApplyPeerUsage(PeerUsage& view, ServerPool& pool, TimePoint now);

// Returns the tokens that this entry's answers hold, by engine. Thread-safe:
// no.
std::vector<core::ServerUse> OwnUsage(const ServerPool& pool);

}  // namespace siskindrum::dispatch

#endif  // SISKINDRUM_DISPATCH_USE_VIEW_H_
