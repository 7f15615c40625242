#ifndef SISKINDRUM_CORE_RULE_H_
#define SISKINDRUM_CORE_RULE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "siskindrum/core/types.h"

namespace siskindrum::core {

enum class Preference { kGoodput, kWaste, kCount };
enum class BackendKind { kEngine, kPlain, kCount };
enum class Repeat { kAllowed, kNever, kCount };
enum class Fencing { kIgnored, kChecked, kCount };
// Whether an answer that may have begun may go on at another engine.
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

// One pool of a rule that divides its requests.
struct PoolShare {
  std::string pool_;
  std::uint32_t weight_ = 1;
};

// What follows when a rule matches.
struct RuleOutcome {
  Action action_ = Action::kRoute;
  std::string pool_;              // Service name of the backend servers.
  std::vector<PoolShare> split_;  // Empty unless several pools share.
  BackendKind kind_ = BackendKind::kEngine;
  Milliseconds first_token_{0};     // Target; zero: none.
  Milliseconds between_tokens_{0};  // Target; zero: none.
  std::uint32_t retries_ = 1;
  std::uint32_t share_ = 1;             // Weight among organisations.
  std::uint32_t limit_per_second_ = 0;  // Per organisation; zero: none.
  Preference prefer_ = Preference::kGoodput;
  Repeat repeat_ = Repeat::kAllowed;
  Fencing fencing_ = Fencing::kIgnored;
  bool has_priority_ = false;
  Priority priority_ = Priority::kNormal;
  Milliseconds timeout_{30000};  // Of a plain call, or of a whole answer.
  Resume resume_ = Resume::kAllowed;
  std::uint32_t rank_ = 0;  // Among requests of one pool, zero first.
};

struct Rule {
  int line_ = 0;  // One-based line in the rules file.
  std::string text_;
  std::string comment_;  // Who asked for it, and why.
  bool is_default_ = false;
  RuleMatch match_;
  RuleOutcome outcome_;
};

// A named place among the entries that decides calls which may not be
// repeated; `address_` is where peers reach the entry that holds it.
struct Seat {
  std::string name_;
  std::string address_;
  int line_ = 0;
};

// What the operators say of the servers of one pool.
struct PoolSettings {
  std::string name_;
  std::uint32_t slots_ = 0;          // Of one server; zero: unknown.
  std::uint32_t memory_tokens_ = 0;  // Of one engine; zero: unknown.
  std::uint32_t connections_ = 0;    // To one server; zero: unknown.
  std::uint32_t event_tokens_ = 0;   // In one event of a stream; zero: unknown.
  Milliseconds hold_{0};  // Longest reservation; zero: none can be made.
  int line_ = 0;
};

// What callers may send, and how long they may take or stay idle.
struct CallerSettings {
  std::uint32_t head_bytes_ = 16 * 1024;
  std::uint32_t body_bytes_ = 4 * 1024 * 1024;
  Milliseconds head_time_{3000};
  Milliseconds idle_time_{15000};
};

struct RuleSet {
  std::vector<Rule> rules_;
  std::vector<PoolSettings> pools_;
  CallerSettings callers_;
  std::vector<Seat> seats_;
  std::vector<std::string> retired_seats_;
  std::string text_;  // The file itself, byte for byte.
};

// True when `pattern` (optional '*' at either end) covers `text`.
// Thread-safe: yes.
bool MatchesPattern(const std::string& pattern, const std::string& text);

// Returns the name of the first condition that fails, or nullptr when the rule
// matches. Thread-safe: yes.
const char* FirstMismatch(const RuleMatch& match, const RequestShape& shape);

// Chooses the pool of a request by the weights of the rule; the same `draw`
// gives the same pool. Requires: the outcome names a pool. Thread-safe: yes.
const std::string& PickPool(const RuleOutcome& outcome, std::uint64_t draw);

// What the operators say of a pool, or nullptr. Thread-safe: yes.
const PoolSettings* FindPool(const RuleSet& rules, const std::string& name);

// Returns the first matching rule, or nullptr. The pointer lives as long as
// `rules`. Thread-safe: yes, for a constant rule set.
const Rule* MatchRule(const RuleSet& rules, const RequestShape& shape);

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_RULE_H_
