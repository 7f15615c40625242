#include <algorithm>
#include <cmath>

#include "account_p.h"
#include "siskindrum/core/hash.h"

namespace siskindrum::quota {

namespace {

// Smaller costs are rounding errors of sums of fractional costs.
constexpr double kLeastCost = 1e-3;

bool HasBase(const QuotaState& state) {
  return state.base_ppm_ > 0;
}

double Seconds(core::Nanoseconds time) {
  return std::chrono::duration<double>(time).count();
}

core::Nanoseconds FromSeconds(double seconds) {
  const double most = Seconds(kMaxRetryAfter);
  return std::chrono::duration_cast<core::Nanoseconds>(
      std::chrono::duration<double>(std::clamp(seconds, 0.0, most)));
}

// An organisation without a burst may use what it gains in one second at once.
double Burst(const core::Quota& quota) {
  return quota.burst_ > 0 ? quota.burst_ : quota.rate_per_second_;
}

// Tokens that the buckets of all entries gain in a second.
double WholeRate(const QuotaState& state, const core::Quota& quota) {
  return quota.rate_per_second_ *
         (1 + kOvershootInRate * state.options_.bounds_.overshoot_);
}

// Share in use, integrated over the time since the last refill. Loans begin at
// a refill, so only their ends matter.
double ShareSeconds(const QuotaState& state,
                    const Account& account,
                    TimePoint now) {
  const TimePoint from = account.refilled_at_;
  const auto held = [from, now](TimePoint begin, TimePoint end) {
    return std::max(0.0, Seconds(std::min(end, now) - std::max(begin, from)));
  };
  double total =
      static_cast<double>(state.base_ppm_) * held(state.base_since_, now);
  for (const auto& [lender, loan] : account.taken_) {
    total +=
        static_cast<double>(loan.share_ppm_) * held(from, loan.expires_at_);
  }
  for (const auto& [borrower, loan] : account.given_) {
    total -=
        static_cast<double>(loan.share_ppm_) * held(from, loan.expires_at_);
  }
  return std::max(0.0, total) / static_cast<double>(kWholePpm);
}

double Cap(const QuotaState& state, const Account& account, TimePoint now) {
  return WholeCap(state, account.quota_) *
         static_cast<double>(SharePpm(state, account, now)) /
         static_cast<double>(kWholePpm);
}

double Decay(core::Nanoseconds time, Milliseconds time_constant) {
  return std::exp(-Seconds(time) / Seconds(time_constant));
}

void RecordDemand(Demand& demand, double cost, TimePoint now) {
  const core::Nanoseconds age = now - demand.counted_at_;
  const double fast = Decay(age, kFastDemandTime);
  demand.fast_ = demand.fast_ * fast + cost;
  demand.fast_requests_ = demand.fast_requests_ * fast + 1;
  demand.slow_ = demand.slow_ * Decay(age, kSlowDemandTime) + cost;
  demand.counted_at_ = now;
  if (demand.begun_at_ == TimePoint{}) {
    demand.begun_at_ = now;
  }
}

// Returns the cost per second.
double DemandRate(const Demand& demand, TimePoint now) {
  const core::Nanoseconds age = now - demand.counted_at_;
  const double fast = Decay(age, kFastDemandTime);
  if (demand.fast_requests_ * fast >= kFastDemandRequests) {
    return demand.fast_ * fast / Seconds(kFastDemandTime);
  }
  // Until it has run for some time, the slow estimate is of a shorter time.
  const core::Nanoseconds counted =
      std::max<core::Nanoseconds>(kFastDemandTime, now - demand.begun_at_);
  const double time =
      Seconds(kSlowDemandTime) * (1 - Decay(counted, kSlowDemandTime));
  return demand.slow_ * Decay(age, kSlowDemandTime) / time;
}

Account* UseAccount(QuotaState& state,
                    const std::string& organisation,
                    TimePoint now) {
  Account* account = UseAccount(state, core::Hash64(organisation), now);
  if (account != nullptr) {
    account->name_ = organisation;
  }
  return account;
}

}  // namespace

TimePoint RoomAt(const QuotaState& state,
                 const Account& account,
                 double needed,
                 TimePoint now) {
  double share = static_cast<double>(SharePpm(state, account, now));
  TimePoint begin = now;
  if (share <= 0) {
    share = static_cast<double>(std::max<std::int64_t>(1, state.base_ppm_));
    for (const auto& [borrower, loan] : account.given_) {
      begin = std::max(begin, loan.expires_at_);
    }
  }
  const double rate =
      account.quota_.rate_per_second_ * share / static_cast<double>(kWholePpm);
  return begin + FromSeconds((needed - account.tokens_) / rate);
}

double WholeCap(const QuotaState& state, const core::Quota& quota) {
  const core::QuotaBounds& bounds = state.options_.bounds_;
  const double burst = Burst(quota);
  const double window = quota.rate_per_second_ * Seconds(bounds.window_);
  return burst +
         kOvershootInBuckets * bounds.overshoot_ * (window + quota.burst_);
}

double NeededTokens(const QuotaState& state,
                    const core::Quota& quota,
                    double cost,
                    TimePoint now) {
  return std::max(0.0, cost - DebtLimit(state, quota, now));
}

double DebtLimit(const QuotaState& state,
                 const core::Quota& quota,
                 TimePoint now) {
  if (!HasBase(state)) {
    return 0;
  }
  const auto entries = static_cast<double>(state.entries_);
  const double limit = state.options_.bounds_.slack_ / entries;
  // An earlier process may have left a debt of the same size within the window.
  const bool may_inherit_debt =
      !state.options_.is_first_start_ &&
      now - state.started_at_ < state.options_.bounds_.window_;
  if (!may_inherit_debt) {
    return limit;
  }
  const double forgone =
      quota.rate_per_second_ * Seconds(state.time_without_base_) *
      static_cast<double>(state.base_ppm_) / static_cast<double>(kWholePpm);
  return std::min(limit, forgone);
}

std::int64_t DemandPpm(const Account& account, TimePoint now) {
  const double part =
      DemandRate(account.demand_, now) / account.quota_.rate_per_second_;
  return static_cast<std::int64_t>(std::min(1.0, part) *
                                   static_cast<double>(kWholePpm));
}

std::int64_t SharePpm(const QuotaState& state,
                      const Account& account,
                      TimePoint now) {
  std::int64_t share = state.base_ppm_;
  for (const auto& [lender, loan] : account.taken_) {
    share += now < loan.expires_at_ ? loan.share_ppm_ : 0;
  }
  for (const auto& [borrower, loan] : account.given_) {
    share -= now < loan.expires_at_ ? loan.share_ppm_ : 0;
  }
  // Base shares are rounded down: an entry that holds all of them holds the
  // whole quota.
  const auto entries = static_cast<std::int64_t>(state.entries_);
  if (HasBase(state) && share >= state.base_ppm_ * entries) {
    return kWholePpm;
  }
  return std::max<std::int64_t>(0, share);
}

double TokensLeft(const QuotaState& state,
                  const Account& account,
                  TimePoint now) {
  const double gained =
      WholeRate(state, account.quota_) * ShareSeconds(state, account, now);
  return std::min(account.tokens_ + gained, Cap(state, account, now));
}

void Refresh(const QuotaState& state, Account& account, TimePoint now) {
  account.tokens_ = TokensLeft(state, account, now);
  account.refilled_at_ = now;
  const auto expired = [now](const auto& entry) {
    return now >= entry.second.expires_at_;
  };
  std::erase_if(account.taken_, expired);
  std::erase_if(account.given_, expired);
}

void ApplyCap(const QuotaState& state, Account& account, TimePoint now) {
  account.tokens_ = std::min(account.tokens_, Cap(state, account, now));
}

Account* UseAccount(QuotaState& state, std::uint64_t key, TimePoint now) {
  const auto known = state.quotas_.find(key);
  if (known == state.quotas_.end()) {
    return nullptr;
  }
  const auto [it, is_new] = state.accounts_.try_emplace(key);
  Account& account = it->second;
  if (is_new) {
    account.quota_ = known->second;
    account.refilled_at_ = HasBase(state) ? state.base_since_ : now;
    account.tokens_ =
        state.options_.is_first_start_ ? Cap(state, account, now) : 0;
  }
  account.used_at_ = now;
  Refresh(state, account, now);
  return &account;
}

QuotaState MakeQuotaState(const QuotaOptions& options) {
  QuotaState state;
  state.options_ = options;
  return state;
}

void SetQuotas(QuotaState& state,
               const std::vector<core::Organisation>& organisations,
               TimePoint now) {
  state.quotas_.clear();
  for (const core::Organisation& organisation : organisations) {
    if (organisation.quota_.rate_per_second_ > 0) {
      state.quotas_[core::Hash64(organisation.name_)] = organisation.quota_;
    }
  }
  for (auto& [key, account] : state.accounts_) {
    const auto known = state.quotas_.find(key);
    if (known == state.quotas_.end() || known->second == account.quota_) {
      continue;
    }
    const core::Quota& limits = known->second;
    Refresh(state, account, now);
    if (limits.unit_ != account.quota_.unit_) {
      account.tokens_ = 0;  // They counted something else.
      account.demand_ = {};
    }
    account.quota_ = limits;
    ApplyCap(state, account, now);
  }
}

void SetEntryCount(QuotaState& state, std::size_t entries, TimePoint now) {
  if (state.started_at_ == TimePoint{}) {
    state.started_at_ = now;
  }
  if (entries == state.entries_) {
    return;
  }
  for (auto& [key, account] : state.accounts_) {
    Refresh(state, account, now);
  }
  const bool gains_base = !HasBase(state) && entries > 0;
  state.entries_ = entries;
  state.base_ppm_ =
      entries == 0 ? 0 : kWholePpm / static_cast<std::int64_t>(entries);
  if (gains_base) {
    state.base_since_ = now;
    state.time_without_base_ = now - state.started_at_;
  }
  for (auto& [key, account] : state.accounts_) {
    if (gains_base && state.options_.is_first_start_) {
      account.tokens_ = Cap(state, account, now);
    }
    ApplyCap(state, account, now);
  }
}

Acquired TryAcquire(QuotaState& state,
                    const std::string& organisation,
                    double cost,
                    bool is_new,
                    TimePoint now) {
  Account* account = UseAccount(state, organisation, now);
  if (account == nullptr || cost <= 0) {
    return {};
  }
  const std::uint64_t key = core::Hash64(organisation);
  state.active_.insert(key);
  if (is_new) {
    RecordDemand(account->demand_, cost, now);
  }
  const double needed = NeededTokens(state, account->quota_, cost, now);
  const bool has_quota = HasBase(state) || SharePpm(state, *account, now) > 0;
  if (has_quota && account->tokens_ >= needed) {
    account->tokens_ -= cost;
    ++account->admitted_;
    ++state.counters_.admitted_;
    return {};
  }
  state.counters_.short_ += is_new ? 1 : 0;
  return {Outcome::kShort, RoomAt(state, *account, needed, now)};
}

void Refund(QuotaState& state,
            const std::string& organisation,
            double cost,
            TimePoint now) {
  Account* account = UseAccount(state, organisation, now);
  if (account == nullptr || cost <= 0) {
    return;
  }
  account->tokens_ += cost;
  ApplyCap(state, *account, now);
  ++state.counters_.refunded_;
}

void AddWaiting(QuotaState& state,
                const std::string& organisation,
                double cost) {
  const std::uint64_t key = core::Hash64(organisation);
  const auto found = state.accounts_.find(key);
  if (found == state.accounts_.end()) {
    return;
  }
  Account& account = found->second;
  account.waiting_ += cost;
  if (account.waiting_ < kLeastCost) {
    account.waiting_ = 0;
  }
  if (account.waiting_ > 0) {
    state.urgent_.insert(key);
  } else {
    state.urgent_.erase(key);
  }
}

bool MayBorrow(const QuotaState& state,
               const std::string& organisation,
               TimePoint now) {
  const std::uint64_t key = core::Hash64(organisation);
  return std::any_of(state.pending_.begin(), state.pending_.end(),
                     [key, now](const auto& p) {
                       return now - p.second.sent_at_ < kAskTimeout &&
                              p.second.organisations_.contains(key);
                     });
}

TimePoint AdviseRetry(QuotaState& state,
                      const std::string& organisation,
                      double cost,
                      TimePoint room_at,
                      TimePoint now) {
  ++state.counters_.refused_;
  const auto found = state.accounts_.find(core::Hash64(organisation));
  if (found == state.accounts_.end()) {
    return room_at;
  }
  Account& account = found->second;
  ++account.refused_;
  const double share = static_cast<double>(std::max<std::int64_t>(
                           std::max<std::int64_t>(1, state.base_ppm_),
                           SharePpm(state, account, now))) /
                       static_cast<double>(kWholePpm);
  const core::Nanoseconds time =
      FromSeconds(cost / (account.quota_.rate_per_second_ * share));
  const TimePoint latest = now + kMaxRetryAfter;
  const TimePoint advised =
      std::min(latest, std::max(room_at, account.advised_until_));
  account.advised_until_ = std::min(latest, advised + time);
  return advised;
}

void Tick(QuotaState& state, TimePoint now) {
  std::erase_if(state.pending_, [now](const auto& entry) {
    return now - entry.second.sent_at_ >= kLoanTerm;
  });
  if (now < state.next_plan_at_) {
    return;
  }
  std::erase_if(state.active_, [&state, now](std::uint64_t key) {
    const auto found = state.accounts_.find(key);
    if (found == state.accounts_.end()) {
      return true;
    }
    const Account& account = found->second;
    return account.waiting_ <= 0 && account.taken_.empty() &&
           DemandPpm(account, now) == 0;
  });
  if (now < state.next_cleaning_at_) {
    return;
  }
  state.next_cleaning_at_ = now + kAccountRetention / 10;
  for (auto& [key, account] : state.accounts_) {
    std::erase_if(account.lenders_, [now](const auto& lender) {
      return now - lender.second.next_ask_at_ >= kAccountRetention;
    });
  }
  std::erase_if(state.accounts_, [&state, now](const auto& entry) {
    const Account& account = entry.second;
    // A new account starts full, so only a full one may be removed.
    return account.waiting_ <= 0 &&
           now - account.used_at_ >= kAccountRetention &&
           TokensLeft(state, account, now) >= Cap(state, account, now);
  });
}

const core::Quota* FindQuota(const QuotaState& state,
                             const std::string& organisation) {
  const auto found = state.quotas_.find(core::Hash64(organisation));
  return found == state.quotas_.end() ? nullptr : &found->second;
}

const Account* FindAccount(const QuotaState& state,
                           const std::string& organisation) {
  const auto found = state.accounts_.find(core::Hash64(organisation));
  return found == state.accounts_.end() ? nullptr : &found->second;
}

}  // namespace siskindrum::quota
