#ifndef SISKINDRUM_DISPATCH_SERVER_POOL_H_
#define SISKINDRUM_DISPATCH_SERVER_POOL_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "siskindrum/core/fade.h"
#include "siskindrum/core/fleet.h"
#include "siskindrum/core/store_position.h"
#include "siskindrum/core/types.h"
#include "siskindrum/dispatch/server_notices.h"

namespace siskindrum::dispatch {

using core::Fade;
using core::Milliseconds;
using core::TimePoint;

enum class Listing {
  kListed,
  kUnlisted,  // Removed from the list while not draining.
  kDraining,  // Listed as leaving; gets no new work.
  kCount
};

// Mean time by which calls recently took longer than expected. It fades, so
// that a server is tried again once its delay is no longer observed.
struct MeasuredDelay {
  double ms_ = 0;
  TimePoint measured_at_{};
};

// Returns the delay as it counts now. Thread-safe: no.
double CurrentDelayMs(const MeasuredDelay& delay, TimePoint now);

// Records that a call which was expected to take `expected_ms`, including the
// current delay, took `took_ms` or was abandoned then. Thread-safe: no.
void RecordDelay(MeasuredDelay& delay,
                 double expected_ms,
                 double took_ms,
                 TimePoint now);

// This entry's view of a backend server.
struct ServerState {
  core::ServerInfo info_;
  Listing listing_ = Listing::kListed;
  TimePoint changed_at_{};    // Last change of `listing_`.
  bool misdirected_ = false;  // Another server answers at this address.
  std::uint32_t calls_ = 0;   // In progress, sent by this entry.
  // Bytes of those calls' bodies.
  std::uint64_t request_bytes_ = 0;
  std::uint32_t prefill_tokens_ = 0;  // Of this entry, not yet prefilled.
  std::uint32_t held_tokens_ = 0;  // Held by this entry's answers in progress.
  std::uint32_t peer_held_tokens_ = 0;  // By other entries, as reported.
  std::uint32_t failures_ = 0;          // Consecutive.
  TimePoint suspended_until_{};
  TimePoint full_until_{};          // After it refused a reservation as full.
  TimePoint role_change_until_{};   // It is changing from prefill to decode.
  TimePoint connection_lost_at_{};  // During an attempt; epoch: never.
  // Last answer or, if later, end of an idle period.
  TimePoint silent_since_{};
  double error_share_ = 0;   // Moving average of the share of errors.
  double mean_ms_ = 0;       // Mean time of plain answers; zero: unknown.
  TimePoint measured_at_{};  // When `mean_ms_` was last updated.
  double prefill_tokens_per_ms_ = 0;  // Zero: unknown.
  // Of prefills, beyond what this entry's own queue there explains.
  MeasuredDelay prefill_delay_;
  // Of prefill results on their way to decode engines, beyond what the rate of
  // the links explains.
  MeasuredDelay transfer_delay_;
};

// All known servers by name.
struct ServerPool {
  std::map<std::string, ServerState> servers_;
  ServerNotices notices_;
};

// Changes of the server list since it was last read.
struct ListChanges {
  std::vector<core::ServerInfo> seen_;
  std::vector<std::string> removed_;
  bool is_snapshot_ = false;  // `seen_` is the complete list.
  // Version of the list after these changes; the default: unversioned.
  core::StorePosition version_{};
  // Servers that came and were removed again within these changes.
  std::vector<core::ServerInfo> passed_{};
};

// Append a change of the list. When a server is reported more than once, the
// last change wins. Thread-safe: no.
void AddSeen(ListChanges& changes, const core::ServerInfo& info);
void AddRemoved(ListChanges& changes, const std::string& name);

// Applies changes of the list to the pool. Thread-safe: no.
void ApplyListChanges(ServerPool& pool,
                      const ListChanges& changes,
                      TimePoint now);

// Removes servers that have been unlisted or draining for longer than
// kUnlistedServerRetention and have no calls in progress. Returns how many were
// removed. Thread-safe: no.
std::size_t RemoveUnlistedServers(ServerPool& pool, TimePoint now);

// Returns the server of that name, or nullptr. Thread-safe: no.
ServerState* FindServer(ServerPool& pool, const std::string& name);

// Returns true when new work may be sent to the server, apart from a pause that
// it asked for. An unlisted server accepts work for kUnlistedServerGrace;
// placement chooses it only when no other server is left. A process that
// announced its shutdown in an answer accepts none, whatever the list says.
// Thread-safe: no.
bool IsInService(const ServerPool& pool,
                 const ServerState& server,
                 TimePoint now);

// Returns true while the server wants no requests at all. Thread-safe: no.
bool IsPaused(const ServerPool& pool, const ServerState& server, TimePoint now);

// Returns true when new work may be sent to the server. Thread-safe: no.
bool AcceptsNewWork(const ServerPool& pool,
                    const ServerState& server,
                    TimePoint now);

// Record the start or the end of a call sent to the server. Thread-safe: no.
void RecordCallStart(ServerState& server, TimePoint now);
void RecordCallEnd(ServerState& server);

// Records a response, which proves that the server is alive, and ends its
// suspension.
// Thread-safe: no.
void RecordResponse(ServerState& server);

// Records a complete answer. `error` is true when the answer reports an error
// of the server itself. Thread-safe: no.
void RecordAnswer(ServerState& server, bool error, TimePoint now);

// Records that the server refused a call without running it. Thread-safe: no.
void RecordRefusal(ServerState& server, TimePoint now);

// Records that the server refused a call as misdirected although the call
// suits its listed role. A prefill engine is then treated as a decode engine;
// any other server is not used, since its address may now belong to another
// one. Both hold until the list reports the server again. This covers engines
// that change roles and addresses that are reused while the list is
// unreachable. Thread-safe: no.
void RecordMisdirected(ServerState& server);

// Records that the server was unreachable, timed out or closed a connection
// early. Suspends it for a time that doubles with each consecutive failure.
// Thread-safe: no.
void RecordFailure(ServerState& server, TimePoint now);

// Returns a duration in milliseconds. Thread-safe: yes.
double ToMs(core::Nanoseconds duration);

// Returns the exponential moving average after `sample`. A mean of zero stands
// for no samples yet and yields `sample`.
// Thread-safe: yes.
double Smooth(double mean, double sample, double weight);

}  // namespace siskindrum::dispatch

#endif  // SISKINDRUM_DISPATCH_SERVER_POOL_H_
