#include "siskindrum/core/limit.h"

#include <algorithm>

#include "siskindrum/core/limits.h"

namespace siskindrum::core {

namespace {
constexpr double kBurstSeconds = 1.0;
}  // namespace

bool TryAcquireRequest(OrganisationRateLimits& limits,
                       const std::string& organisation,
                       std::uint32_t per_second,
                       std::size_t live_entries,
                       TimePoint now) {
  if (per_second == 0) {
    return true;
  }
  const double rate =
      static_cast<double>(per_second) /
      static_cast<double>(std::max<std::size_t>(1, live_entries));
  const double burst = std::max(1.0, rate * kBurstSeconds);
  const auto [it, is_new] = limits.buckets_.try_emplace(organisation);
  TokenBucket& bucket = it->second;
  if (is_new) {
    bucket.tokens_ = burst;
  } else {
    const std::chrono::duration<double> passed = now - bucket.refilled_at_;
    bucket.tokens_ = std::min(burst, bucket.tokens_ + rate * passed.count());
  }
  bucket.refilled_at_ = now;
  if (bucket.tokens_ < 1.0) {
    ++bucket.refused_;
    return false;
  }
  bucket.tokens_ -= 1.0;
  ++bucket.taken_;
  return true;
}

void CreditRetryBudget(RetryBudget& budget) {
  if (!budget.started_) {
    budget.started_ = true;
    budget.tokens_ = kRetryBudgetBurst;
  }
  budget.tokens_ =
      std::min(kRetryBudgetBurst, budget.tokens_ + kRetryBudgetRatio);
}

bool TryAcquireRetry(RetryBudget& budget) {
  if (budget.tokens_ < 1.0) {
    ++budget.denied_;
    return false;
  }
  budget.tokens_ -= 1.0;
  ++budget.spent_;
  return true;
}

}  // namespace siskindrum::core
