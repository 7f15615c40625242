#include "siskindrum/dispatch/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <utility>

#include "siskindrum/dispatch/limits.h"

namespace siskindrum::dispatch {

namespace {

// Added to the cost of servers that are used only when no other is left.
constexpr double kUnlistedCost = 1e6;
constexpr double kSuspendedCost = 1e5;
constexpr double kAvoidedCost = 1e4;
// An engine counts as full above this share of its slots or memory.
constexpr double kFullShare = 0.9;
// Added to the cost of a full engine. An engine whose cost exceeds the
// threshold counts as full.
constexpr double kFullCost = 5e3;
constexpr double kFullThreshold = kFullCost / 2;
// Cost of a server that answers all calls with errors.
constexpr double kErrorMs = 300.0;
// Cost of a fully loaded engine compared with an idle one.
constexpr double kLoadMs = 300.0;
// Random cost added to each server. Servers whose costs differ by less are
// chosen at random, since entries that decide at the same time do not see each
// other's choices. For decode engines it is the load of a few answers.
constexpr double kPrefillJitterMs = 15.0;
constexpr double kDecodeJitterAnswers = 4.0;
constexpr double kPlainJitterMs = 5.0;
// Cost of a plain server whose slots are all in use.
constexpr double kBusyShareMs = 25.0;
constexpr std::uint32_t kDefaultPlainSlots = 6;
constexpr std::uint32_t kDefaultEngineSlots = 20;

bool IsAvoided(const PlacementRequest& request, const std::string& name) {
  return std::find(request.avoid_.begin(), request.avoid_.end(), name) !=
         request.avoid_.end();
}

// Cost parts that apply to every role of a server.
PlacementCost CommonCost(const ServerState& server,
                         const PlacementRequest& request,
                         double remote_penalty_ms,
                         TimePoint now) {
  PlacementCost cost;
  cost[CostPart::kErrors] = server.error_share_ * kErrorMs;
  if (server.info_.domain_ != request.domain_) {
    cost[CostPart::kRemote] = remote_penalty_ms;
  }
  if (server.listing_ == Listing::kUnlisted) {
    cost[CostPart::kUnlisted] = kUnlistedCost;
  }
  if (server.suspended_until_ > now) {
    cost[CostPart::kSuspended] =
        kSuspendedCost + ToMs(server.suspended_until_ - now);
  }
  if (IsAvoided(request, server.info_.name_)) {
    cost[CostPart::kAvoided] = kAvoidedCost;
  }
  return cost;
}

// Returns the lowest known mean answer time in the pool, or the largest double
// when none is known.
double FastestPlainMs(const ServerPool& pool, const std::string& service) {
  double fastest = std::numeric_limits<double>::max();
  for (const auto& [name, server] : pool.servers_) {
    if (server.info_.service_ == service && server.mean_ms_ > 0) {
      fastest = std::min(fastest, server.mean_ms_);
    }
  }
  return fastest;
}

// Returns by how much the mean answer time exceeds kSlowFactor times the
// fastest one. The excess decays with the time since the last measurement, so
// that a slow server is tried again.
double SlownessMs(const ServerState& server, double fastest, TimePoint now) {
  const double excess = server.mean_ms_ - kSlowFactor * fastest;
  return excess <= 0 ? 0
                     : Fade(excess, server.measured_at_, kSlowHalfLife, now);
}

PlacementCost PlainCost(const ServerState& server,
                        const PlacementRequest& request,
                        double fastest,
                        TimePoint now) {
  const std::uint32_t slots = PlainSlots(server);
  const double mean = server.mean_ms_ > 0
                          ? server.mean_ms_
                          : static_cast<double>(kDefaultPlainTime.count());
  PlacementCost cost = CommonCost(server, request, kRemotePlainPenaltyMs, now);
  cost[CostPart::kSlowness] = SlownessMs(server, fastest, now);
  cost[CostPart::kLoad] = kBusyShareMs * server.calls_ / slots;
  if (server.calls_ >= slots) {
    cost[CostPart::kQueue] = mean * (server.calls_ + 1 - slots) / slots;
  }
  // A server that leaves its calls unanswered for longer than twice the mean
  // may be dead.
  if (server.calls_ > 0) {
    cost[CostPart::kSilence] =
        std::max(0.0, ToMs(now - server.silent_since_) - 2 * mean);
  }
  return cost;
}

// Returns the cost that the request itself adds to a decode engine.
double OwnLoadMs(const PlacementRequest& request) {
  const std::uint32_t memory = request.pool_settings_ != nullptr
                                   ? request.pool_settings_->memory_tokens_
                                   : 0;
  const double tokens =
      static_cast<double>(request.prompt_tokens_) + request.answer_tokens_;
  return memory > 0 ? kLoadMs * std::min(1.0, tokens / memory)
                    : kLoadMs / kDefaultEngineSlots;
}

std::uint32_t DecodeSlots(const ServerState& server) {
  return server.info_.slots_ > 0 ? server.info_.slots_ : kDefaultEngineSlots;
}

bool LacksSlots(const ServerState& server, TimePoint now) {
  return server.calls_ > kFullShare * DecodeSlots(server) ||
         server.full_until_ > now;
}

PlacementCost DecodeCost(const ServerState& server,
                         const PlacementRequest& request,
                         TimePoint now) {
  PlacementCost cost = CommonCost(server, request, kRemoteDecodePenaltyMs, now);
  if (LacksSlots(server, now)) {
    cost[CostPart::kFull] = kFullCost;
  }
  double load = static_cast<double>(server.calls_) / DecodeSlots(server);
  const std::uint32_t memory = request.pool_settings_ != nullptr
                                   ? request.pool_settings_->memory_tokens_
                                   : 0;
  if (memory > 0) {
    const double own = static_cast<double>(server.held_tokens_) +
                       request.prompt_tokens_ + request.answer_tokens_;
    if (own > kFullShare * memory) {
      cost[CostPart::kFull] += kFullCost;
    }
    load = std::max(load, (own + server.peer_held_tokens_) / memory);
  }
  cost[CostPart::kLoad] = kLoadMs * load;
  return cost;
}

double DirectPrefillMs(const ServerState& server,
                       std::uint32_t tokens,
                       TimePoint now) {
  return kDirectPrefillFactor * EstimatePrefillMs(server, tokens, now);
}

// Returns the next pseudo-random number in [0, 1) and advances `draw`.
double NextRandom(std::uint64_t& draw) {
  draw = draw * 6364136223846793005ULL + 1442695040888963407ULL;
  constexpr double kScale = 1.0 / static_cast<double>(1ULL << 53);
  return static_cast<double>(draw >> 11) * kScale;
}

// Returns whether a prefill result lapses before it has reached its decode
// engine.
bool OutlastsHandle(const core::PoolSettings* settings, double transfer_ms) {
  return settings != nullptr && settings->handle_.count() > 0 &&
         transfer_ms > static_cast<double>(settings->handle_.count());
}

bool FitsRole(const ServerState& server, core::ServerRole role) {
  return server.info_.role_ == role ||
         (server.info_.role_ == core::ServerRole::kMixed &&
          role != core::ServerRole::kPlain);
}

struct Choice {
  const ServerState* server_ = nullptr;
  double cost_ = std::numeric_limits<double>::max();
};

// Returns why the server may not be chosen, or null.
const char* FindExclusion(const ServerPool& pool,
                          const PlacementRequest& request,
                          const ServerState& server,
                          core::ServerRole role,
                          TimePoint now) {
  if (role == core::ServerRole::kPrefill && server.role_change_until_ > now) {
    return "changing role";
  }
  if (!FitsVersion(request, server, role)) {
    return "another software version began the stream";
  }
  if (!HasRequestRoom(server, request)) {
    return "no room for the body";
  }
  if (!IsInService(pool, server, now)) {
    return "leaving or gone";
  }
  return IsPaused(pool, server, now) ? "paused" : nullptr;
}

template <class Cost>
Choice Cheapest(const ServerPool& pool,
                const PlacementRequest& request,
                core::ServerRole role,
                double jitter_ms,
                TimePoint now,
                Cost cost) {
  Choice best;
  WeighedChoice weighed{role, "", {}};
  std::uint64_t draw = request.draw_;
  for (const auto& [name, server] : pool.servers_) {
    if (!FitsRole(server, role) || server.info_.service_ != request.pool_) {
      continue;
    }
    const char* excluded = FindExclusion(pool, request, server, role, now);
    PlacementCost parts;
    if (excluded == nullptr) {
      parts = cost(server);
      parts[CostPart::kChance] = jitter_ms * NextRandom(draw);
      const double total = parts.Total();
      if (total < best.cost_) {
        best = {&server, total};
        weighed.chosen_ = name;
      }
    }
    if (request.trace_ != nullptr) {
      weighed.servers_.push_back({name, parts, excluded});
    }
  }
  if (request.trace_ != nullptr) {
    request.trace_->push_back(std::move(weighed));
  }
  return best;
}

}  // namespace

const char* ToString(CostPart part) {
  switch (part) {
    case CostPart::kErrors:
      return "errors";
    case CostPart::kRemote:
      return "remote";
    case CostPart::kUnlisted:
      return "unlisted";
    case CostPart::kSuspended:
      return "suspended";
    case CostPart::kAvoided:
      return "avoided";
    case CostPart::kSlowness:
      return "slowness";
    case CostPart::kLoad:
      return "load";
    case CostPart::kQueue:
      return "queue";
    case CostPart::kSilence:
      return "silence";
    case CostPart::kFull:
      return "full";
    case CostPart::kPrefill:
      return "prefill";
    case CostPart::kTransferDelay:
      return "transfer_delay";
    case CostPart::kChance:
      return "chance";
    case CostPart::kCount:
      break;
  }
  return "unknown";
}

double PlacementCost::Total() const {
  return std::accumulate(parts_.begin(), parts_.end(), 0.0);
}

bool FitsVersion(const PlacementRequest& request,
                 const ServerState& server,
                 core::ServerRole role) {
  return role != core::ServerRole::kDecode ||
         !request.software_version_.has_value() ||
         server.info_.software_version_ == *request.software_version_;
}

std::uint32_t PlainSlots(const ServerState& server) {
  return server.info_.slots_ > 0 ? server.info_.slots_ : kDefaultPlainSlots;
}

admission::Capacity DecodeCapacity(const ServerPool& pool,
                                   const PlacementRequest& request,
                                   const ServerState& engine,
                                   TimePoint now) {
  admission::Capacity capacity;
  const std::uint32_t memory = request.pool_settings_ != nullptr
                                   ? request.pool_settings_->memory_tokens_
                                   : 0;
  for (const auto& [name, server] : pool.servers_) {
    if (!FitsRole(server, core::ServerRole::kDecode) ||
        server.info_.service_ != request.pool_ ||
        server.info_.domain_ != engine.info_.domain_ ||
        !AcceptsNewWork(pool, server, now)) {
      continue;
    }
    const double total = memory > 0 ? memory : DecodeSlots(server);
    const double used = memory > 0 ? static_cast<double>(server.held_tokens_) +
                                         server.peer_held_tokens_
                                   : server.calls_;
    capacity.total_ += total;
    capacity.used_ += std::min(used, total);
    if (!LacksSlots(server, now) && used < kFullShare * total) {
      capacity.room_.push_back(kFullShare * total - used);
    }
  }
  return capacity;
}

TimePoint EarliestPauseEnd(const ServerPool& pool,
                           const PlacementRequest& request,
                           core::ServerRole role,
                           TimePoint now) {
  TimePoint earliest{};
  for (const auto& [name, server] : pool.servers_) {
    if (server.info_.service_ != request.pool_ || !FitsRole(server, role) ||
        !FitsVersion(request, server, role) ||
        !IsInService(pool, server, now) || !IsPaused(pool, server, now)) {
      continue;
    }
    const TimePoint end = PausedUntil(pool.notices_, server.info_);
    earliest = earliest == TimePoint{} ? end : std::min(earliest, end);
  }
  return earliest;
}

bool HasRequestRoom(const ServerState& server,
                    const PlacementRequest& request) {
  if (request.max_request_bytes_ == 0 || server.request_bytes_ == 0) {
    return true;
  }
  const std::uint64_t slots = PlainSlots(server);
  return server.request_bytes_ + request.request_bytes_ <=
         slots * request.max_request_bytes_;
}

bool LacksOnlyRequestRoom(const ServerPool& pool,
                          const PlacementRequest& request,
                          core::ServerRole role,
                          TimePoint now) {
  return std::any_of(
      pool.servers_.begin(), pool.servers_.end(), [&](const auto& entry) {
        const ServerState& server = entry.second;
        return server.info_.service_ == request.pool_ &&
               FitsRole(server, role) && FitsVersion(request, server, role) &&
               AcceptsNewWork(pool, server, now) &&
               !HasRequestRoom(server, request);
      });
}

double EstimatePrefillMs(const ServerState& server,
                         std::uint32_t tokens,
                         TimePoint now) {
  const double rate = server.prefill_tokens_per_ms_ > 0
                          ? server.prefill_tokens_per_ms_
                          : kDefaultPrefillTokensPerMs;
  return kPrefillOverheadMs + (server.prefill_tokens_ + tokens) / rate +
         CurrentDelayMs(server.prefill_delay_, now);
}

double TransferMs(const core::PoolSettings* settings,
                  std::uint32_t tokens,
                  bool across_domains) {
  if (settings == nullptr || settings->link_mbps_ == 0) {
    return kTransferOverheadMs;
  }
  constexpr double kBitsPerByte = 8;
  constexpr double kBitsPerMegabit = 1e6;
  constexpr double kMsPerSecond = 1000;
  const double seconds = static_cast<double>(tokens) * settings->token_bytes_ *
                         kBitsPerByte /
                         (kBitsPerMegabit * settings->link_mbps_);
  return kTransferOverheadMs +
         kMsPerSecond * seconds * (across_domains ? kRemoteTransferFactor : 1);
}

std::string PlacePlain(const ServerPool& pool,
                       const PlacementRequest& request,
                       TimePoint now) {
  const double fastest = FastestPlainMs(pool, request.pool_);
  const Choice best =
      Cheapest(pool, request, core::ServerRole::kPlain, kPlainJitterMs, now,
               [&](const ServerState& server) {
                 return PlainCost(server, request, fastest, now);
               });
  return best.server_ == nullptr ? "" : best.server_->info_.name_;
}

EnginePlacement PlaceDecode(const ServerPool& pool,
                            const PlacementRequest& request,
                            bool direct,
                            TimePoint now) {
  const Choice best = Cheapest(
      pool, request, core::ServerRole::kDecode,
      kDecodeJitterAnswers * OwnLoadMs(request), now,
      [&](const ServerState& server) {
        PlacementCost cost = DecodeCost(server, request, now);
        cost[CostPart::kPrefill] =
            direct ? DirectPrefillMs(server, request.prompt_tokens_, now) : 0;
        return cost;
      });
  if (best.server_ == nullptr) {
    return {};
  }
  return {"", best.server_->info_.name_, best.cost_,
          best.cost_ > kFullThreshold && best.cost_ < kSuspendedCost};
}

EnginePlacement PlaceEngines(const ServerPool& pool,
                             const PlacementRequest& request,
                             TimePoint now) {
  EnginePlacement direct = PlaceDecode(pool, request, true, now);
  const EnginePlacement decode = PlaceDecode(pool, request, false, now);
  if (decode.decode_.empty()) {
    return {};
  }
  const Choice prefill =
      Cheapest(pool, request, core::ServerRole::kPrefill, kPrefillJitterMs, now,
               [&](const ServerState& server) {
                 PlacementCost cost =
                     CommonCost(server, request, kRemotePrefillPenaltyMs, now);
                 cost[CostPart::kPrefill] =
                     EstimatePrefillMs(server, request.prompt_tokens_, now);
                 cost[CostPart::kTransferDelay] =
                     CurrentDelayMs(server.transfer_delay_, now);
                 return cost;
               });
  if (prefill.server_ == nullptr) {
    return direct;
  }
  const ServerState& target = pool.servers_.at(decode.decode_);
  const double transfer_ms =
      TransferMs(request.pool_settings_, request.prompt_tokens_,
                 prefill.server_->info_.domain_ != target.info_.domain_);
  const double split_ms = prefill.cost_ + decode.expected_ms_ + transfer_ms;
  const double delay_ms = CurrentDelayMs(prefill.server_->transfer_delay_, now);
  const bool lapses =
      OutlastsHandle(request.pool_settings_, transfer_ms + delay_ms);
  if (lapses || direct.expected_ms_ + kDirectPrefillPenaltyMs < split_ms) {
    return direct;
  }
  return {prefill.server_->info_.name_, decode.decode_, split_ms, decode.full_};
}

}  // namespace siskindrum::dispatch
