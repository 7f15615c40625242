#ifndef SISKINDRUM_CORE_RULE_H_
#define SISKINDRUM_CORE_RULE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "siskindrum/core/organisation.h"
#include "siskindrum/core/types.h"

namespace siskindrum::core {

enum class Preference { kGoodput, kWaste, kCount };
enum class BackendKind { kEngine, kPlain, kCount };
enum class Repeat { kAllowed, kNever, kCount };
enum class Fencing { kIgnored, kChecked, kCount };
// Whether an answer that may have started may be continued by another engine.
enum class Resume { kAllowed, kNever, kCount };
enum class Action { kRoute, kRefuse, kCount };

// Conditions of a rule; an empty pattern matches everything. A pattern may
// start or end with '*'.
struct RuleMatch {
  std::string host_;
  std::string service_;
  std::string organisation_;
  std::string model_;
  std::string path_;
  std::string method_;
  std::string domain_;
  std::uint32_t prompt_at_least_ = 0;
  std::uint32_t prompt_below_ = UINT32_MAX;
  bool any_priority_ = true;
  Priority priority_ = Priority::kNormal;
};

// One pool of a rule that splits its requests among several pools.
struct PoolShare {
  std::string pool_;
  std::uint32_t weight_ = 1;
};

// Routing settings of a rule, applied to the requests that match it.
struct RuleOutcome {
  Action action_ = Action::kRoute;
  std::string pool_;              // Service name of the backend servers.
  std::vector<PoolShare> split_;  // Empty if there is only one pool.
  BackendKind kind_ = BackendKind::kEngine;
  Milliseconds first_token_{0};     // Target; zero for none.
  Milliseconds between_tokens_{0};  // Target; zero for none.
  std::uint32_t retries_ = 1;
  std::uint32_t share_ = 1;             // Weight among organisations.
  std::uint32_t limit_per_second_ = 0;  // Per organisation; zero for none.
  Preference prefer_ = Preference::kGoodput;
  Repeat repeat_ = Repeat::kAllowed;
  Fencing fencing_ = Fencing::kIgnored;
  bool has_priority_ = false;
  Priority priority_ = Priority::kNormal;
  Milliseconds timeout_{30000};  // For a plain call or a whole answer.
  Resume resume_ = Resume::kAllowed;
  std::uint32_t rank_ = 0;  // Within a pool; lowest is served first.
  // Needs no key, even if the rules name organisations.
  bool public_ = false;
};

struct Rule {
  int line_ = 0;  // One-based line in the rules file.
  std::string text_;
  std::string comment_;  // Names who requested the rule, and why.
  bool is_default_ = false;
  RuleMatch match_;
  RuleOutcome outcome_;
};

// A named partition of the idempotency keys. The entry that holds a seat
// decides the non-repeatable calls whose keys hash to it; `address_` is the
// peer address of that entry.
struct Seat {
  std::string name_;
  std::string address_;
  int line_ = 0;
};

// Operator-supplied properties of the servers of one pool.
struct PoolSettings {
  std::string name_;
  std::uint32_t slots_ = 0;          // Per server; zero if unknown.
  std::uint32_t memory_tokens_ = 0;  // Per engine; zero if unknown.
  std::uint32_t connections_ = 0;    // Per server; zero if unknown.
  std::uint32_t event_tokens_ = 0;   // Per stream event; zero if unknown.
  Milliseconds hold_{0};           // Longest reservation; zero if unsupported.
  std::uint32_t token_bytes_ = 0;  // KV cache of one token; zero if unknown.
  std::uint32_t link_mbps_ = 0;    // Per engine; zero if unknown.
  // An engine keeps a prefill result this long; zero if unknown.
  Milliseconds handle_{0};
  int line_ = 0;
};

// Limits on the size and duration of requests, and on idle connections.
struct CallerSettings {
  std::uint32_t head_bytes_ = 16 * 1024;
  std::uint32_t body_bytes_ = 4 * 1024 * 1024;
  Milliseconds head_time_{3000};
  Milliseconds idle_time_{15000};
};

// Positions of rules in a rule set, ascending.
using RulePositions = std::vector<std::uint32_t>;

// The rules of a rule set by host, so that a request is compared only with the
// rules that may match its host.
struct RuleIndex {
  // Rules whose host is a name without '*'.
  std::unordered_map<std::string, RulePositions> by_host_;
  RulePositions any_host_;      // All others.
  std::size_t rule_count_ = 0;  // Number of rules that were indexed.
};

struct RuleSet {
  std::vector<Rule> rules_;
  RuleIndex index_;
  std::vector<PoolSettings> pools_;
  CallerSettings callers_;
  std::vector<Seat> seats_;
  std::vector<std::string> retired_seats_;
  // Empty: requests need no key.
  std::vector<Organisation> organisations_;
  // Positions in `organisations_` by key, and by name.
  std::unordered_map<std::string, std::size_t> organisation_by_key_;
  std::unordered_map<std::string, std::size_t> organisation_by_name_;
  // Unmodified text of the rules file, for peers. It contains keys: shown only
  // through rules::HideKeys.
  std::string text_;
};

// Returns true if `text` matches `pattern`, which may start or end with '*'.
// Thread-safe: yes.
bool MatchesPattern(const std::string& pattern, const std::string& text);

// Returns the name of the first condition that fails, or nullptr if the rule
// matches. Thread-safe: yes.
const char* FirstMismatch(const RuleMatch& match, const RequestShape& shape);

// Picks the pool of a request according to the weights of the rule. `draw` is a
// random number; the same value always selects the same pool. Requires: the
// outcome names a pool. Thread-safe: yes.
const std::string& PickPool(const RuleOutcome& outcome, std::uint64_t draw);

// Returns the settings of a pool, or nullptr if it has none. Thread-safe: yes.
const PoolSettings* FindPool(const RuleSet& rules, const std::string& name);

// Builds the index of the rules. Call again after a change of the rules.
// Thread-safe: no.
void IndexRules(RuleSet& rules);

// Returns the first matching rule, or nullptr. The pointer lives as long as
// `rules`. Compares all rules if IndexRules was not called since one was added
// or removed. Thread-safe: yes, for a constant rule set.
const Rule* MatchRule(const RuleSet& rules, const RequestShape& shape);

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_RULE_H_
