#include "siskindrum/dispatch/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "siskindrum/dispatch/limits.h"

namespace siskindrum::dispatch {

namespace {

// Added to the cost of servers that should be used only when no other is left.
constexpr double kLapsedCost = 1e6;
constexpr double kSuspendedCost = 1e5;
constexpr double kAvoidedCost = 1e4;
// Share of full slots or memory from which an engine counts as full.
constexpr double kFullShare = 0.9;
constexpr double kFullCost = 5e3;
constexpr double kFullFrom = kFullCost / 2;
constexpr double kErrorMs = 300.0;  // At an error share of one.
// What an engine without room to spare is worse than an empty one.
constexpr double kLoadMs = 300.0;
// Servers closer than this are chosen among by chance, since entries that
// decide at the same moment do not know of each other. For decode engines it is
// what a few answers add.
constexpr double kPrefillJitterMs = 15.0;
constexpr double kDecodeJitterAnswers = 4.0;
constexpr double kPlainJitterMs = 5.0;
constexpr double kBusyShareMs = 25.0;
constexpr std::uint32_t kDefaultPlainSlots = 6;
constexpr std::uint32_t kDefaultEngineSlots = 20;

double Ms(core::Nanoseconds duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

bool Avoided(const PlacementNeed& need, const std::string& name) {
  return std::find(need.avoid_.begin(), need.avoid_.end(), name) !=
         need.avoid_.end();
}

// What speaks against a server whatever it is used for.
double CommonCost(const KnownServer& server,
                  const PlacementNeed& need,
                  double far_ms,
                  TimePoint now) {
  double cost = server.error_share_ * kErrorMs;
  if (server.info_.domain_ != need.domain_) {
    cost += far_ms;
  }
  if (server.listing_ == Listing::kLapsed) {
    cost += kLapsedCost;
  }
  if (server.suspended_until_ > now) {
    cost += kSuspendedCost + Ms(server.suspended_until_ - now);
  }
  if (Avoided(need, server.info_.name_)) {
    cost += kAvoidedCost;
  }
  return cost;
}

// Mean answer of the fastest server of the pool that is known.
double FastestPlainMs(const ServerPool& pool, const std::string& service) {
  double fastest = std::numeric_limits<double>::max();
  for (const auto& [name, server] : pool.servers_) {
    if (server.info_.service_ == service && server.mean_ms_ > 0) {
      fastest = std::min(fastest, server.mean_ms_);
    }
  }
  return fastest;
}

// What a server's answers take beyond those of the fastest one, less the longer
// it was not measured.
double SlownessMs(const KnownServer& server, double fastest, TimePoint now) {
  const double excess = server.mean_ms_ - kSlowFactor * fastest;
  return excess <= 0 ? 0
                     : excess * std::exp2(-Ms(now - server.measured_at_) /
                                          Ms(kSlowHalfLife));
}

double PlainCost(const KnownServer& server,
                 const PlacementNeed& need,
                 double fastest,
                 TimePoint now) {
  const std::uint32_t slots =
      server.info_.slots_ > 0 ? server.info_.slots_ : kDefaultPlainSlots;
  const double mean = server.mean_ms_ > 0
                          ? server.mean_ms_
                          : static_cast<double>(kPlainTime.count());
  double cost = CommonCost(server, need, kRemotePlainPenaltyMs, now) +
                SlownessMs(server, fastest, now);
  cost += kBusyShareMs * server.calls_ / slots;
  if (server.calls_ >= slots) {
    cost += mean * (server.calls_ + 1 - slots) / slots;
  }
  if (server.calls_ > 0) {
    cost += std::max(0.0, Ms(now - server.silent_since_) - 2 * mean);
  }
  return cost;
}

// What the request itself adds to the load of a decode engine.
double OwnLoadMs(const PlacementNeed& need) {
  const std::uint32_t memory =
      need.facts_ != nullptr ? need.facts_->memory_tokens_ : 0;
  const double tokens =
      static_cast<double>(need.prompt_tokens_) + need.answer_tokens_;
  return memory > 0 ? kLoadMs * std::min(1.0, tokens / memory)
                    : kLoadMs / kDefaultEngineSlots;
}

double DecodeCost(const KnownServer& server,
                  const PlacementNeed& need,
                  TimePoint now) {
  const std::uint32_t slots =
      server.info_.slots_ > 0 ? server.info_.slots_ : kDefaultEngineSlots;
  double cost = CommonCost(server, need, kRemoteDecodePenaltyMs, now);
  if (server.calls_ > kFullShare * slots || server.full_until_ > now) {
    cost += kFullCost;
  }
  double load = static_cast<double>(server.calls_) / slots;
  const std::uint32_t memory =
      need.facts_ != nullptr ? need.facts_->memory_tokens_ : 0;
  if (memory > 0) {
    const double own = static_cast<double>(server.held_tokens_) +
                       need.prompt_tokens_ + need.answer_tokens_;
    if (own > kFullShare * memory) {
      cost += kFullCost;
    }
    load = std::max(load, (own + server.told_held_tokens_) / memory);
  }
  return cost + kLoadMs * load;
}

double DirectMs(const KnownServer& server, std::uint32_t tokens) {
  return kDirectPrefillFactor * PrefillMs(server, tokens);
}

// The next of a row of numbers from zero to one that look random.
double NextPart(std::uint64_t& draw) {
  draw = draw * 6364136223846793005ULL + 1442695040888963407ULL;
  constexpr double kScale = 1.0 / static_cast<double>(1ULL << 53);
  return static_cast<double>(draw >> 11) * kScale;
}

struct Choice {
  const KnownServer* server_ = nullptr;
  double cost_ = std::numeric_limits<double>::max();
};

template <class Cost>
Choice Cheapest(const ServerPool& pool,
                const PlacementNeed& need,
                core::ServerRole role,
                double jitter_ms,
                TimePoint now,
                Cost cost) {
  Choice best;
  std::uint64_t draw = need.draw_;
  for (const auto& [name, server] : pool.servers_) {
    const bool fits = server.info_.role_ == role ||
                      (server.info_.role_ == core::ServerRole::kMixed &&
                       role != core::ServerRole::kPlain);
    const bool turning =
        role == core::ServerRole::kPrefill && server.turning_until_ > now;
    if (!fits || turning || server.info_.service_ != need.pool_ ||
        !MayServe(server, now)) {
      continue;
    }
    const double one = cost(server) + jitter_ms * NextPart(draw);
    if (one < best.cost_) {
      best = {&server, one};
    }
  }
  return best;
}

}  // namespace

double PrefillMs(const KnownServer& server, std::uint32_t tokens) {
  const double rate = server.prefill_tokens_per_ms_ > 0
                          ? server.prefill_tokens_per_ms_
                          : kPrefillTokensPerMs;
  return kPrefillOverheadMs + (server.prefill_tokens_ + tokens) / rate;
}

std::string PlacePlain(const ServerPool& pool,
                       const PlacementNeed& need,
                       TimePoint now) {
  const double fastest = FastestPlainMs(pool, need.pool_);
  const Choice best =
      Cheapest(pool, need, core::ServerRole::kPlain, kPlainJitterMs, now,
               [&](const KnownServer& server) {
                 return PlainCost(server, need, fastest, now);
               });
  return best.server_ == nullptr ? "" : best.server_->info_.name_;
}

EnginePlan PlaceDecode(const ServerPool& pool,
                       const PlacementNeed& need,
                       bool direct,
                       TimePoint now) {
  const Choice best =
      Cheapest(pool, need, core::ServerRole::kDecode,
               kDecodeJitterAnswers * OwnLoadMs(need), now,
               [&](const KnownServer& server) {
                 return DecodeCost(server, need, now) +
                        (direct ? DirectMs(server, need.prompt_tokens_) : 0);
               });
  if (best.server_ == nullptr) {
    return {};
  }
  return {"", best.server_->info_.name_, best.cost_,
          best.cost_ > kFullFrom && best.cost_ < kSuspendedCost};
}

EnginePlan PlaceEngines(const ServerPool& pool,
                        const PlacementNeed& need,
                        TimePoint now) {
  EnginePlan direct = PlaceDecode(pool, need, true, now);
  const EnginePlan decode = PlaceDecode(pool, need, false, now);
  if (decode.decode_.empty()) {
    return {};
  }
  const Choice prefill =
      Cheapest(pool, need, core::ServerRole::kPrefill, kPrefillJitterMs, now,
               [&](const KnownServer& server) {
                 return CommonCost(server, need, kRemotePrefillPenaltyMs, now) +
                        PrefillMs(server, need.prompt_tokens_);
               });
  if (prefill.server_ == nullptr) {
    return direct;
  }
  const double split_ms = prefill.cost_ + decode.expected_ms_ + kTransferMs;
  if (direct.expected_ms_ + kDirectPrefillPenaltyMs < split_ms) {
    return direct;
  }
  return {prefill.server_->info_.name_, decode.decode_, split_ms, decode.full_};
}

}  // namespace siskindrum::dispatch
