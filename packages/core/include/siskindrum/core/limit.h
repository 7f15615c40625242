#ifndef SISKINDRUM_CORE_LIMIT_H_
#define SISKINDRUM_CORE_LIMIT_H_

#include <cstdint>
#include <map>
#include <string>

#include "siskindrum/core/types.h"

namespace siskindrum::core {

// Token bucket of one organisation at one entry.
struct TokenBucket {
  double tokens_ = 0;
  TimePoint refilled_at_{};
  std::uint64_t taken_ = 0;
  std::uint64_t refused_ = 0;
};

struct OrganisationRateLimits {
  std::map<std::string, TokenBucket> buckets_;
};

// Takes one request of `organisation` from this entry's part of its limit:
// `per_second` divided by the `live_entries` that share it. Returns false when
// the part is used up. Thread-safe: no.
bool TryAcquireRequest(OrganisationRateLimits& limits,
                       const std::string& organisation,
                       std::uint32_t per_second,
                       std::size_t live_entries,
                       TimePoint now);

// Budget that keeps retries under a share of all requests.
struct RetryBudget {
  double tokens_ = 0;
  bool started_ = false;
  std::uint64_t spent_ = 0;
  std::uint64_t denied_ = 0;
};

// Credits the budget for one new request. Thread-safe: no.
void CreditRetryBudget(RetryBudget& budget);

// Takes one retry; false when the budget is empty. Thread-safe: no.
bool TryAcquireRetry(RetryBudget& budget);

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_LIMIT_H_
