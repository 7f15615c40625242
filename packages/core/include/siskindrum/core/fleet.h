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

// A backend server as listed by the platform.
struct ServerInfo {
  std::string name_;
  std::string address_;  // "ip:port".
  std::string service_;
  std::string domain_;
  ServerRole role_ = ServerRole::kMixed;
  bool leaving_ = false;
  std::uint32_t slots_ = 0;  // Zero: unknown.
  // Increases with each start of the server; zero: unknown.
  Incarnation incarnation_ = 0;
  // Version of its software; empty: not stated.
  std::string software_version_;

  bool operator==(const ServerInfo&) const = default;
};

// A request that an engine reports to hold KV-cache memory for.
struct HeldRequest {
  RequestId request_;
  std::string owner_;  // Name of the entry that sent it.
  Milliseconds age_{0};
};

// Load that an engine reports. Memory is counted in pieces of kPieceTokens
// tokens of KV cache.
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

// Reservation at a server: a decode slot that this entry granted, or a call in
// progress at a plain server.
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
  // Requests that the engine reports and this entry has no hold for.
  std::uint32_t external_requests_ = 0;
  std::unordered_map<RequestId, Hold, RequestIdHash> holds_;
  // Holds released recently: a delayed report may still list them.
  std::unordered_map<RequestId, TimePoint, RequestIdHash> recently_released_;
  TimePoint prefill_free_at_{};
  std::uint32_t failures_ = 0;
  TimePoint suspended_until_{};
  double mean_hold_seconds_ = 4.0;
  std::unordered_map<std::uint64_t, TimePoint> cached_prefixes_;
};

// A group of servers of one service. One entry, the home of the cell, grants
// all of their slots. A small service is one cell; a large one is split by
// failure domain and then into cells of about kCellServers servers.
struct Cell {
  std::string name_;
  std::string service_;
  std::string domain_;  // Empty when its servers span several.
  std::vector<std::string> servers_;
  std::string home_;  // Entry name; empty if no entry is live.
};

// All backend servers known to this entry and their division into cells.
struct Fleet {
  std::map<std::string, Server> servers_;
  std::map<std::string, Cell> cells_;
};

// What a request requires from a cell, sent to the cell's home.
struct Requirements {
  RequestId request_;
  std::string owner_name_;
  std::string owner_domain_;  // Servers of this domain are preferred.
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
  bool without_home_ = false;  // Home unreachable: place from local data.
  // Servers that failed this request; not chosen again.
  std::vector<std::string> avoid_;
};

// One server that was considered, for the decision record.
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
  kNoLoadReport,  // Usable servers have not reported load yet.
  kNoDecodeSlot,
  kTooLate,  // The deadline for the first token would be missed.
  kCount
};

// Returns the memory pieces of the largest decode engine of a cell; UINT32_MAX
// while one of them has not reported its memory. Thread-safe: no.
std::uint32_t MaxEnginePieces(const Fleet& fleet, const Cell& cell);

// Returns the number of memory pieces that this many tokens take. Thread-safe:
// yes.
std::uint32_t PiecesFor(std::uint32_t tokens);

// Applies a new list of backend servers. Known servers keep their state;
// those not listed are marked leaving and are removed once they have no holds.
// An empty list is ignored while servers are known, and false is returned.
// Thread-safe: no.
bool UpdateServers(Fleet& fleet, const std::vector<ServerInfo>& list);

// Divides the servers into cells and assigns each a home among the live entries
// of its failure domain, or among all live entries if the domain has none.
// `live` maps entry name to failure domain. Returns the number of cells whose
// home changed. Thread-safe: no.
std::size_t AssignHomes(Fleet& fleet,
                        const std::map<std::string, std::string>& live);

// Stores an engine's load report and drops holds that the engine no longer
// lists. Requires: `name` is known. Thread-safe: no.
void ApplyLoadReport(Fleet& fleet,
                     const std::string& name,
                     const LoadReport& report,
                     TimePoint now);

// Returns the free decode slots of a server; negative when it is overcommitted.
// Thread-safe: no.
int FreeSlots(const Server& server);

// True when the server may receive new work. Thread-safe: no.
bool IsUsable(const Server& server, TimePoint now);

// Reserves a decode slot, and a prefill server unless `need.decode_only_`, in
// one cell. The decode slot must be free now: if slots are reserved before they
// become free, engines refuse too many requests. Thread-safe: no.
tl::expected<Placement, PlacementError> Place(Fleet& fleet,
                                              const std::string& cell,
                                              const Requirements& need,
                                              TimePoint now);

// Releases the hold of `request` at `server`. Idempotent.
// Thread-safe: no.
void ReleaseSlot(Fleet& fleet,
                 const std::string& server,
                 const RequestId& request,
                 TimePoint now);

// Suspends a server for a time that doubles with each consecutive failure, up
// to kMaxSuspension.
// Thread-safe: no.
void RecordServerFailure(Fleet& fleet, const std::string& name, TimePoint now);

// Ends a server's suspension and resets its failure count. Thread-safe: no.
void RecordServerSuccess(Fleet& fleet, const std::string& name);

// Records that a server has just prefilled a prefix and probably caches it.
// Thread-safe: no.
void RecordCachedPrefix(Fleet& fleet,
                        const std::string& name,
                        std::uint64_t prefix_hash,
                        TimePoint now);

// Returns the free decode slots of a cell's usable servers. Thread-safe: no.
int FreeSlotsOfCell(const Fleet& fleet, const Cell& cell, TimePoint now);

// Returns the decode slots released per second in the cell, estimated from the
// mean duration of past holds. Thread-safe: no.
double SlotReleaseRate(const Fleet& fleet, const Cell& cell, TimePoint now);

// Returns the time until the first usable prefill server of the cell is free;
// one minute if there is none. Thread-safe: no.
Nanoseconds PrefillWait(const Fleet& fleet, const Cell& cell, TimePoint now);

// Returns the prefill tokens per second of the cell's usable servers.
// Thread-safe: no.
std::uint32_t PrefillRate(const Fleet& fleet, const Cell& cell, TimePoint now);

// Returns the expected prefill time of a request at a server. Thread-safe: no.
Nanoseconds PrefillTime(const Server& server,
                        const Requirements& need,
                        TimePoint now);

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_FLEET_H_
