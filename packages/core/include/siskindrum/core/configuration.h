#ifndef SISKINDRUM_CORE_CONFIGURATION_H_
#define SISKINDRUM_CORE_CONFIGURATION_H_

#include <cstdint>
#include <memory>
#include <string>

#include "siskindrum/core/rule.h"
#include "siskindrum/core/types.h"

namespace siskindrum::core {

// A rules file with the revision under which it was published.
struct Configuration {
  std::uint64_t revision_ = 0;
  std::uint64_t digest_ = 0;
  RuleSet rules_;
};

// The configuration that one process applies. Its revision never decreases.
struct ConfigurationState {
  std::shared_ptr<const Configuration> current_;  // Null until the first one.
  std::uint64_t heard_revision_ = 0;  // Highest that a peer reported in use.
  std::uint64_t refused_revision_ = 0;
  std::string refused_error_;
  std::uint64_t stale_offers_ = 0;
  std::uint64_t conflicts_ = 0;
  TimePoint changed_at_{};
};

enum class OfferOutcome {
  kTaken,
  kSame,
  kOlder,
  kConflict,
  kBehindPeers,
  kCount
};

// Applies a validated configuration unless its revision is below the current
// one or below one that a peer is known to use. An equal revision with a
// different digest is a conflict and is rejected. Thread-safe: no.
OfferOutcome OfferConfiguration(ConfigurationState& state,
                                std::shared_ptr<const Configuration> offered,
                                TimePoint now);

// Returns the outcome in snake_case, as written in logs. Thread-safe: yes.
const char* ToString(OfferOutcome offer);

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_CONFIGURATION_H_
