#ifndef SISKINDRUM_CORE_LIMIT_H_
#define SISKINDRUM_CORE_LIMIT_H_

#include <cstdint>
#include <map>
#include <string>

#include "siskindrum/core/types.h"

namespace siskindrum::core {

// Token bucket for one organisation at one entry.
struct TokenBucket {
  double tokens_ = 0;
  TimePoint refilled_at_{};
  std::uint64_t taken_ = 0;
  std::uint64_t refused_ = 0;
};

struct OrganisationRateLimits {
  std::map<std::string, TokenBucket> buckets_;
};

// Takes one token for a request of `organisation`. This entry's bucket refills
// at `per_second` divided by the `live_entries` that share the limit; zero
// means no limit. Returns false if the bucket is empty. Thread-safe: no.
bool TryAcquireRequest(OrganisationRateLimits& limits,
                       const std::string& organisation,
                       std::uint32_t per_second,
                       std::size_t live_entries,
                       TimePoint now);

// Token bucket that limits retries to a fraction of all requests.
struct RetryBudget {
  double tokens_ = 0;
  bool started_ = false;
  std::uint64_t spent_ = 0;
  std::uint64_t denied_ = 0;
};

// Adds the retry credit earned by one new request. Thread-safe: no.
void CreditRetryBudget(RetryBudget& budget);

// Takes one retry from the budget; returns false if it is exhausted.
// Thread-safe: no.
bool TryAcquireRetry(RetryBudget& budget);

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_LIMIT_H_
