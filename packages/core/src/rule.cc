#include "siskindrum/core/rule.h"

#include <string_view>

namespace siskindrum::core {

bool MatchesPattern(const std::string& pattern, const std::string& text) {
  if (pattern.empty() || pattern == "*") {
    return true;
  }
  std::string_view core = pattern;
  const std::string_view subject = text;
  const bool open_start = core.front() == '*';
  const bool open_end = core.back() == '*';
  if (open_start) {
    core.remove_prefix(1);
  }
  if (open_end) {
    core.remove_suffix(1);
  }
  if (open_start && open_end) {
    return subject.find(core) != std::string_view::npos;
  }
  if (open_start) {
    return subject.ends_with(core);
  }
  if (open_end) {
    return subject.starts_with(core);
  }
  return subject == core;
}

const char* FirstMismatch(const RuleMatch& match, const RequestShape& shape) {
  struct Condition {
    const char* name_;
    const std::string& pattern_;
    const std::string& value_;
  };
  const Condition conditions[] = {
      {"host", match.host_, shape.host_},
      {"service", match.service_, shape.service_},
      {"organisation", match.organisation_, shape.organisation_},
      {"model", match.model_, shape.model_},
      {"path", match.path_, shape.path_},
      {"method", match.method_, shape.method_},
      {"domain", match.domain_, shape.domain_},
  };
  for (const Condition& condition : conditions) {
    if (!MatchesPattern(condition.pattern_, condition.value_)) {
      return condition.name_;
    }
  }
  if (shape.prompt_tokens_ < match.prompt_at_least_ ||
      shape.prompt_tokens_ >= match.prompt_below_) {
    return "prompt";
  }
  if (!match.any_priority_ && match.priority_ != shape.priority_) {
    return "priority";
  }
  return nullptr;
}

const std::string& PickPool(const RuleOutcome& outcome, std::uint64_t draw) {
  std::uint64_t total = 0;
  for (const PoolShare& share : outcome.split_) {
    total += share.weight_;
  }
  if (total == 0) {
    return outcome.pool_;
  }
  std::uint64_t left = draw % total;
  for (const PoolShare& share : outcome.split_) {
    if (left < share.weight_) {
      return share.pool_;
    }
    left -= share.weight_;
  }
  return outcome.pool_;
}

const PoolSettings* FindPool(const RuleSet& rules, const std::string& name) {
  for (const PoolSettings& pool : rules.pools_) {
    if (pool.name_ == name) {
      return &pool;
    }
  }
  return nullptr;
}

const Rule* MatchRule(const RuleSet& rules, const RequestShape& shape) {
  for (const Rule& rule : rules.rules_) {
    if (FirstMismatch(rule.match_, shape) == nullptr) {
      return &rule;
    }
  }
  return nullptr;
}

}  // namespace siskindrum::core
