#ifndef SISKINDRUM_DISPATCH_USE_VIEW_H_
#define SISKINDRUM_DISPATCH_USE_VIEW_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "siskindrum/core/peer_message.h"
#include "siskindrum/dispatch/server_pool.h"

namespace siskindrum::dispatch {

// What a peer said last of the engines' use.
struct PeerUsageReport {
  core::Incarnation incarnation_ = 0;  // Of the peer's process.
  std::uint64_t counter_ = 0;
  TimePoint heard_at_{};
  std::vector<core::ServerUse> servers_;
};

// What other entries of the own failure domain take of the engines, by entry.
// It only orders engines: a view that is late, wrong or empty costs balance,
// never a promise.
struct PeerUsage {
  std::map<std::string, PeerUsageReport> entries_;
};

// Takes a peer's statement, unless a later one of the same process is known.
// Thread-safe: no.
void RecordPeerUsage(PeerUsage& view,
                     const std::string& from,
                     core::Incarnation incarnation,
                     const core::UseTold& told,
                     TimePoint now);

// Adds up what was heard lately at the servers of the pool and forgets what was
// not. Thread-safe: no.
void ApplyPeerUsage(PeerUsage& view, ServerPool& pool, TimePoint now);

// What this entry takes of the engines. Thread-safe: no.
std::vector<core::ServerUse> OwnUsage(const ServerPool& pool);

}  // namespace siskindrum::dispatch

#endif  // SISKINDRUM_DISPATCH_USE_VIEW_H_
