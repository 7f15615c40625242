#ifndef SISKINDRUM_ACCESS_ACCESS_H_
#define SISKINDRUM_ACCESS_ACCESS_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

#include "siskindrum/core/organisation.h"
#include "siskindrum/core/rule.h"
#include "siskindrum/core/types.h"
#include "siskindrum/core/verdict.h"

namespace siskindrum::access {

// Part of the revocation limit that is kept free. It covers the time between a
// decision and the last moment at which its request may be written to a server.
inline constexpr core::Milliseconds kMaxConfirmationMargin{700};
// The margin takes at most this part of a short limit.
inline constexpr int kMarginDivisor = 4;
// Age up to which a confirmation justifies the refusal of an unknown key where
// no revocation limit is set.
inline constexpr core::Milliseconds kDefaultConfirmationAge{5000};
// Retry-after advice to callers while the configuration is unconfirmed. About
// the time in which a reachable store confirms it.
inline constexpr core::Milliseconds kRetryAfterUnconfirmed{500};

// Keys that a refused configuration lists.
using KeySet = std::unordered_set<std::string>;

// When the store last confirmed the configuration.
struct Confirmation {
  // No newer configuration had been published at this time; epoch: unknown.
  core::TimePoint at_{};
  // A newer configuration was published but is invalid. At this time it was the
  // newest: a key that both list was not revoked, and a key that neither lists
  // is unknown. Null: none was published.
  core::TimePoint partly_at_{};
  std::shared_ptr<const KeySet> partly_keys_;
};

// What an entry knows when it decides.
struct View {
  const core::RuleSet* rules_ = nullptr;  // Null: no configuration yet.
  Confirmation confirmation_;
  // Age from which a confirmation no longer admits a key; zero: never.
  core::Milliseconds revocation_limit_{0};
};

struct Decision {
  // kNone: admitted; kUnauthorised; kNotReady: cannot be decided now.
  core::Reason reason_ = core::Reason::kNone;
  // Holder of the key; null: none. Lives as long as the rules.
  const core::Organisation* organisation_ = nullptr;
  core::Milliseconds retry_after_{0};  // Of kNotReady.
  const char* detail_ = "";
};

// Returns the organisation that holds the key, or nullptr. Thread-safe: yes.
const core::Organisation* FindOrganisation(const core::RuleSet& rules,
                                           const std::string& key);

// Returns the age from which a confirmation no longer admits a key: the
// revocation limit less its margin. Thread-safe: yes.
core::Milliseconds MaxConfirmationAge(core::Milliseconds revocation_limit);

// Decides whether a request with this key (empty: none) may be sent to a server
// now. `is_public` says that its rule needs no key. Thread-safe: yes.
Decision Decide(const View& view,
                const std::string& key,
                bool is_public,
                core::TimePoint now);

}  // namespace siskindrum::access

#endif  // SISKINDRUM_ACCESS_ACCESS_H_
