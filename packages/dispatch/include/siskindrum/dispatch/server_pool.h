#ifndef SISKINDRUM_DISPATCH_SERVER_POOL_H_
#define SISKINDRUM_DISPATCH_SERVER_POOL_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "siskindrum/core/fleet.h"
#include "siskindrum/core/types.h"

namespace siskindrum::dispatch {

using core::Milliseconds;
using core::TimePoint;

enum class Listing {
  kListed,
  kLapsed,    // Vanished from the list without a word.
  kDraining,  // Said so, or the list did: gets no new work.
  kCount
};

// A backend server as this entry knows it.
struct ServerState {
  core::ServerInfo info_;
  Listing listing_ = Listing::kListed;
  TimePoint changed_at_{};            // Of the listing.
  bool misdirected_ = false;          // Another server answers at its address.
  std::uint32_t calls_ = 0;           // Of this entry, in progress.
  std::uint32_t prefill_tokens_ = 0;  // Of this entry, not yet read.
  std::uint32_t held_tokens_ = 0;     // Of this entry's answers in progress.
  std::uint32_t peer_held_tokens_ = 0;  // Of others, as they told lately.
  std::uint32_t failures_ = 0;          // In a row.
  TimePoint suspended_until_{};
  TimePoint full_until_{};            // It had no room for a reservation.
  TimePoint role_change_until_{};     // It is to change its role.
  TimePoint silent_since_{};          // Sent to since then without any answer.
  double error_share_ = 0;            // Of its answers, lately.
  double mean_ms_ = 0;                // Of its plain answers; zero: unknown.
  TimePoint measured_at_{};           // When the mean last took an answer.
  double prefill_tokens_per_ms_ = 0;  // Zero: unknown.
};

// All servers by name.
struct ServerPool {
  std::map<std::string, ServerState> servers_;
};

// What the list said since it was last asked.
struct ListChanges {
  std::vector<core::ServerInfo> seen_;
  std::vector<std::string> removed_;
  bool is_snapshot_ = false;  // `seen_` is the whole list.
  // Of the list after these changes; zero: it has none.
  std::uint64_t version_ = 0;
};

// Add what the list said next. It may tell of a server more than once: the last
// word counts. Thread-safe: no.
void AddSeen(ListChanges& changes, const core::ServerInfo& info);
void AddRemoved(ListChanges& changes, const std::string& name);

// Takes changes of the list. Thread-safe: no.
void ApplyListChanges(ServerPool& pool,
                      const ListChanges& changes,
                      TimePoint now);

// Forgets servers that vanished long ago and serve nothing. Returns how many
// were forgotten. Thread-safe: no.
std::size_t RemoveUnlistedServers(ServerPool& pool, TimePoint now);

// The server, or nullptr. Thread-safe: no.
ServerState* FindServer(ServerPool& pool, const std::string& name);

// True when new work may be sent to it. A lapsed one is a last resort, and
// only for a while. Thread-safe: no.
bool AcceptsNewWork(const ServerState& server, TimePoint now);

// One call was sent, or ended. Thread-safe: no.
void RecordCallStart(ServerState& server, TimePoint now);
void RecordCallEnd(ServerState& server);

// It answered anything at all: it lives. Thread-safe: no.
void RecordResponse(ServerState& server);

// It answered whole; `error` when the answer was an error of its own.
// Thread-safe: no.
void RecordAnswer(ServerState& server, bool error, TimePoint now);

// It refused without running the call. Thread-safe: no.
void RecordRefusal(ServerState& server, TimePoint now);

// It refused as not meant for it what was asked of a server in its role. A
// prefill engine is taken for one that decodes now, any other server for one
// whose address another has, until the list names it anew. The load it answers:
// engines that are turned, or addresses used again, while the list is out of
// reach. Thread-safe: no.
void RecordMisdirected(ServerState& server);

// It could not be reached, fell silent or broke off. Suspends it for a time
// that doubles with each failure in a row. Thread-safe: no.
void RecordFailure(ServerState& server, TimePoint now);

// Exponential mean of a measurement; the first one counts whole.
// Thread-safe: yes.
double Smooth(double mean, double sample, double weight);

}  // namespace siskindrum::dispatch

#endif  // SISKINDRUM_DISPATCH_SERVER_POOL_H_
