#ifndef SISKINDRUM_DISPATCH_PLACEMENT_H_
#define SISKINDRUM_DISPATCH_PLACEMENT_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "siskindrum/admission/admission.h"
#include "siskindrum/core/rule.h"
#include "siskindrum/dispatch/server_pool.h"

namespace siskindrum::dispatch {

// Parts of a server's cost. The server with the lowest sum is chosen.
enum class CostPart {
  kErrors,         // Recent share of errors.
  kRemote,         // In another failure domain.
  kUnlisted,       // Gone from the list; used only if no other is left.
  kSuspended,      // Failed or refused recently.
  kAvoided,        // Failed this request.
  kSlowness,       // Slower than the fastest server of the pool.
  kLoad,           // Calls or memory in use.
  kQueue,          // Calls beyond its slots.
  kSilence,        // Calls unanswered for longer than usual.
  kFull,           // No slots or memory to spare.
  kPrefill,        // Expected time of the prefill.
  kTransferDelay,  // Recent delay of results on their way from it.
  kChance,         // Random, so that entries do not choose alike.
  kCount
};

// Returns the part in snake_case. Thread-safe: yes.
const char* ToString(CostPart part);

// Cost in milliseconds, by part.
class PlacementCost {
 public:
  double& operator[](CostPart part) {
    return parts_[static_cast<std::size_t>(part)];
  }
  double operator[](CostPart part) const {
    return parts_[static_cast<std::size_t>(part)];
  }
  double Total() const;

 private:
  std::array<double, static_cast<std::size_t>(CostPart::kCount)> parts_{};
};

// A server of the pool and role that was asked for.
struct WeighedServer {
  std::string name_;
  PlacementCost cost_;
  const char* excluded_ = nullptr;  // Why it was not weighed; null: it was.
};

// One choice among the servers of a pool.
struct WeighedChoice {
  core::ServerRole role_ = core::ServerRole::kPlain;
  std::string chosen_;  // Empty: none.
  std::vector<WeighedServer> servers_;
};

// The properties of a request that determine its placement.
struct PlacementRequest {
  std::string pool_;
  std::string domain_;  // Failure domain of this entry; preferred.
  std::uint32_t prompt_tokens_ = 0;
  std::uint32_t answer_tokens_ = 0;  // Expected length.
  std::uint64_t request_bytes_ = 0;  // Of its body.
  // Largest body that callers may send; zero: unknown.
  std::uint64_t max_request_bytes_ = 0;
  const core::PoolSettings* pool_settings_ = nullptr;  // May be null.
  std::vector<std::string> avoid_;  // Servers that failed this request.
  // Software version that a decode engine must have; nothing: any.
  std::optional<std::string> software_version_;
  std::uint64_t draw_ = 0;  // Random seed for breaking near ties.
  // Choices are appended here; null: they are not recorded.
  std::vector<WeighedChoice>* trace_ = nullptr;
};

// The engines chosen for the first attempt of a model request.
struct EnginePlacement {
  std::string prefill_;  // Empty: the decode engine also does the prefill.
  std::string decode_;
  double expected_ms_ = 0;  // Expected time to the first token.
  bool full_ = false;       // Even the best decode engine is at capacity.
};

// Chooses the server of a plain call. Prefers servers with the fewest calls
// relative to their slots and those in the same failure domain; servers that do
// not respond or that fail come last. Returns an empty string when the pool has
// no usable server. Designed for a few calls a second on servers with few
// slots, where one dead server would otherwise receive its full share of the
// calls. Thread-safe: no.
std::string PlacePlain(const ServerPool& pool,
                       const PlacementRequest& request,
                       TimePoint now);

// Chooses a prefill and a decode engine together so that the expected time to
// the first token is lowest. `decode_` is empty when the pool has no usable
// decode engine. Designed for bursts on the engines that remain after others
// failed, where queueing behind a busy prefill engine costs more than the
// slower prefill on a decode engine. Thread-safe: no.
EnginePlacement PlaceEngines(const ServerPool& pool,
                             const PlacementRequest& request,
                             TimePoint now);

// Chooses only the decode engine. With `direct` it also does the prefill.
// Thread-safe: no.
EnginePlacement PlaceDecode(const ServerPool& pool,
                            const PlacementRequest& request,
                            bool direct,
                            TimePoint now);

// Returns how many calls a plain server answers at once. Thread-safe: no.
std::uint32_t PlainSlots(const ServerState& server);

// Returns the capacity of the decode engines in the failure domain of `engine`,
// in tokens of memory, or in slots when the memory of the pool's engines is
// unknown. An engine counted as full has no room. Usage by other entries is
// known only within this entry's failure domain. Thread-safe: no.
admission::Capacity DecodeCapacity(const ServerPool& pool,
                                   const PlacementRequest& request,
                                   const ServerState& engine,
                                   TimePoint now);

// Returns whether the server has the software version that the request needs in
// this role. Thread-safe: no.
bool FitsVersion(const PlacementRequest& request,
                 const ServerState& server,
                 core::ServerRole role);

// Returns the earliest end of a pause among the pool's servers of this role
// that fit the request, when only pauses keep them from accepting new work;
// epoch: there is no such server. Thread-safe: no.
TimePoint EarliestPauseEnd(const ServerPool& pool,
                           const PlacementRequest& request,
                           core::ServerRole role,
                           TimePoint now);

// Returns whether the server may be sent the request's body beside those of
// this entry that it still holds. A server process ends when they exceed its
// memory. It is taken to have room for as many of the largest bodies as it has
// slots; one request alone always fits. Thread-safe: no.
bool HasRequestRoom(const ServerState& server, const PlacementRequest& request);

// Returns whether only the lack of such room keeps a server of the pool with
// this role from accepting the request. Thread-safe: no.
bool LacksOnlyRequestRoom(const ServerPool& pool,
                          const PlacementRequest& request,
                          core::ServerRole role,
                          TimePoint now);

// Estimates the time of a prefill on this server in milliseconds, including the
// prefills of this entry already queued there and the recent delay caused by
// those of other entries. Thread-safe: no.
double EstimatePrefillMs(const ServerState& server,
                         std::uint32_t tokens,
                         TimePoint now);

// Returns the time in milliseconds in which the KV cache of a prompt reaches
// another engine over idle links. Thread-safe: yes.
double TransferMs(const core::PoolSettings* settings,
                  std::uint32_t tokens,
                  bool across_domains);

}  // namespace siskindrum::dispatch

#endif  // SISKINDRUM_DISPATCH_PLACEMENT_H_
