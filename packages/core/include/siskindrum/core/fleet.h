#ifndef SISKINDRUM_CORE_FLEET_H_
#define SISKINDRUM_CORE_FLEET_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include <tl/expected.hpp>

#include "siskindrum/core/rule.h"
#include "siskindrum/core/types.h"

namespace siskindrum::core {

enum class ServerRole { kPrefill, kDecode, kMixed, kPlain, kCount };

// Returns the role's name in the instance list. Thread-safe: yes.
const char* ToString(ServerRole role);

// A backend server as the platform's list names it.
struct ServerInfo {
  std::string name_;
  std::string address_;  // "ip:port".
  std::string service_;
  std::string domain_;
  ServerRole role_ = ServerRole::kMixed;
  bool leaving_ = false;
  std::uint32_t slots_ = 0;  // Zero: unknown.

  bool operator==(const ServerInfo&) const = default;
};

// A request that an engine says it holds memory for.
struct HeldRequest {
  RequestId request_;
  std::string owner_;  // Name of the entry that sent it.
  Milliseconds age_{0};
};

// What an engine said about itself.
struct LoadReport {
  std::uint32_t running_ = 0;
  std::uint32_t slots_ = kUnknownSlots;
  std::uint32_t free_pieces_ = UINT32_MAX;
  std::uint32_t total_pieces_ = UINT32_MAX;
  std::uint32_t prefill_backlog_tokens_ = 0;
  std::uint32_t prefill_tokens_per_second_ = 0;  // Zero: unknown.
  bool draining_ = false;
  std::vector<HeldRequest> held_;
  static constexpr std::uint32_t kUnknownSlots = 0;
};

// A decode slot that this entry handed out.
struct Hold {
  std::uint32_t pieces_ = 0;
  TimePoint since_{};
  Incarnation owner_ = 0;
  std::string owner_name_;
  int missed_polls_ = 0;
};

struct Server {
  ServerInfo info_;
  LoadReport load_;
  bool has_load_ = false;
  TimePoint load_at_{};
  std::uint32_t external_requests_ =
      0;  // Requests held there that no hold stands for.
  std::unordered_map<RequestId, Hold, RequestIdHash> holds_;
  // Holds given back lately: a late report may still list them.
  std::unordered_map<RequestId, TimePoint, RequestIdHash> recently_released_;
  TimePoint prefill_free_at_{};
  std::uint32_t failures_ = 0;
  TimePoint suspended_until_{};
  double mean_hold_seconds_ = 4.0;
  std::unordered_map<std::uint64_t, TimePoint> cached_prefixes_;
};

// Servers of one service whose capacity one entry, the home, counts alone: all
// of a small service, a part of one failure domain's of a large one.
struct Cell {
  std::string name_;
  std::string service_;
  std::string domain_;  // Empty when its servers are in several.
  std::vector<std::string> servers_;
  std::string home_;  // Entry name; empty: none is live.
};

struct Fleet {
  std::map<std::string, Server> servers_;
  std::map<std::string, Cell> cells_;
};

// What a request needs from a cell.
struct Requirements {
  RequestId request_;
  std::string owner_name_;
  std::string owner_domain_;  // Servers there are preferred.
  std::string organisation_;
  std::uint32_t prompt_tokens_ = 0;
  std::uint32_t pieces_ = 0;
  std::uint32_t share_ = 1;
  std::uint64_t prefix_hash_ = 0;
  std::uint32_t prefix_tokens_ = 0;
  Priority priority_ = Priority::kNormal;
  Preference prefer_ = Preference::kGoodput;
  TimePoint deadline_{};  // For the first token.
  bool decode_only_ = false;
  bool without_home_ = false;  // The home is silent: place without its count.
  std::vector<std::string> avoid_;  // Servers that failed this request.
};

// One server that was weighed, for the explanation.
struct Candidate {
  std::string server_;
  std::string role_;
  std::string note_;
};

struct Placement {
  std::string cell_;
  std::string prefill_;  // Empty when only a decode server was needed.
  std::string decode_;
  std::vector<Candidate> candidates_;
};

enum class PlacementError {
  kNoServer,
  kNoLoadReport,  // Usable servers have not told their load yet.
  kNoDecodeSlot,
  kTooLate,
  kCount
};

// Memory pieces of the largest decode engine of a cell; UINT32_MAX while one of
// them has not said how many it has. Thread-safe: no.
std::uint32_t LargestEnginePieces(const Fleet& fleet, const Cell& cell);

// Memory pieces of a request with this many tokens. Thread-safe: yes.
std::uint32_t PiecesFor(std::uint32_t tokens);

// Takes a new list of backend servers; known ones keep their state, missing
// ones are marked leaving and are removed once they hold nothing. An empty list
// is ignored while servers are known: returns false then. Thread-safe: no.
bool UpdateServers(Fleet& fleet, const std::vector<ServerInfo>& list);

// Divides the servers into cells and gives each a home among the live entries
// of its failure domain, or among all of them where the domain has none.
// `live` maps entry name to failure domain. Returns how many cells changed
// their home. Thread-safe: no.
std::size_t AssignHomes(Fleet& fleet,
                        const std::map<std::string, std::string>& live);

// Takes an engine's report. Requires: `name` is known. Thread-safe: no.
void ApplyLoadReport(Fleet& fleet,
                     const std::string& name,
                     const LoadReport& report,
                     TimePoint now);

// Decode slots still free at a server, below zero when overfull.
// Thread-safe: no.
int FreeSlots(const Server& server);

// True when the server may receive new work. Thread-safe: no.
bool IsUsable(const Server& server, TimePoint now);

// Reserves a decode slot, and a prefill server unless `need.decode_only_`, in
// one cell. The decode slot must be free now: a slot promised ahead is refused
// by its engine too often. Thread-safe: no.
tl::expected<Placement, PlacementError> Place(Fleet& fleet,
                                              const std::string& cell,
                                              const Requirements& need,
                                              TimePoint now);

// Frees the decode slot that `request` holds at `server`. Idempotent.
// Thread-safe: no.
void ReleaseSlot(Fleet& fleet,
                 const std::string& server,
                 const RequestId& request,
                 TimePoint now);

// Suspends a server for a time that doubles with each failure in a row.
// Thread-safe: no.
void RecordServerFailure(Fleet& fleet, const std::string& name, TimePoint now);

// Ends the suspension. Thread-safe: no.
void RecordServerSuccess(Fleet& fleet, const std::string& name);

// Remembers that a prefix was prefilled at a server. Thread-safe: no.
void RecordCachedPrefix(Fleet& fleet,
                        const std::string& name,
                        std::uint64_t prefix_hash,
                        TimePoint now);

// Free decode slots of a cell's usable servers. Thread-safe: no.
int FreeSlotsOfCell(const Fleet& fleet, const Cell& cell, TimePoint now);

// Decode slots that end per second in the cell, estimated from the mean time
// of past holds. Thread-safe: no.
double SlotReleaseRate(const Fleet& fleet, const Cell& cell, TimePoint now);

// Time until the first usable prefill server of the cell is free; a long time
// without one. Thread-safe: no.
Nanoseconds PrefillWait(const Fleet& fleet, const Cell& cell, TimePoint now);

// Prefill tokens a second of the cell's usable servers. Thread-safe: no.
std::uint32_t PrefillRate(const Fleet& fleet, const Cell& cell, TimePoint now);

// Expected prefill time of a need at a server. Thread-safe: no.
Nanoseconds PrefillTime(const Server& server,
                        const Requirements& need,
                        TimePoint now);

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_FLEET_H_
