#ifndef SISKINDRUM_CORE_ORGANISATION_H_
#define SISKINDRUM_CORE_ORGANISATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "siskindrum/core/types.h"

namespace siskindrum::core {

// What the quota of an organisation counts.
enum class QuotaUnit { kRequests, kTokens, kCount };

// Limit on the requests of one organisation, over all entries together.
struct Quota {
  double rate_per_second_ = 0;  // Zero: no limit.
  double burst_ = 0;
  QuotaUnit unit_ = QuotaUnit::kRequests;
  double plain_tokens_ = 0;  // Cost of a request without token counts.

  bool operator==(const Quota&) const = default;
};

// An organisation that calls the service, as named by the configuration.
struct Organisation {
  std::string name_;
  std::vector<std::string> keys_;      // Secret; never logged or shown.
  std::optional<std::uint32_t> rank_;  // Overrides the rank of a rule.
  Quota quota_;
  int line_ = 0;  // One-based line in the rules file.
};

// Bounds on what all entries together may admit for one organisation in any
// window: the quota's own figure times one plus `overshoot_`, plus `slack_` in
// the unit of the quota.
struct QuotaBounds {
  Milliseconds window_{8000};
  double overshoot_ = 0;
  double slack_ = 0;
};

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_ORGANISATION_H_
