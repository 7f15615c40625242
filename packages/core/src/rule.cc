#include "siskindrum/core/rule.h"

#include <string_view>
#include <utility>

namespace siskindrum::core {

namespace {

const Rule* MatchUnindexed(const RuleSet& rules, const RequestShape& shape) {
  for (const Rule& rule : rules.rules_) {
    if (FirstMismatch(rule.match_, shape) == nullptr) {
      return &rule;
    }
  }
  return nullptr;
}

}  // namespace

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

void IndexRules(RuleSet& rules) {
  RuleIndex index;
  for (const Rule& rule : rules.rules_) {
    const std::string& host = rule.match_.host_;
    const bool is_name =
        !host.empty() && host.front() != '*' && host.back() != '*';
    RulePositions& positions = is_name ? index.by_host_[host] : index.any_host_;
    positions.push_back(static_cast<std::uint32_t>(index.rule_count_++));
  }
  rules.index_ = std::move(index);
}

const Rule* MatchRule(const RuleSet& rules, const RequestShape& shape) {
  if (rules.index_.rule_count_ != rules.rules_.size()) {
    return MatchUnindexed(rules, shape);
  }
  static const RulePositions kNone;
  const auto found = rules.index_.by_host_.find(shape.host_);
  const RulePositions& named =
      found == rules.index_.by_host_.end() ? kNone : found->second;
  const RulePositions& any = rules.index_.any_host_;
  auto next_named = named.begin();
  auto next_any = any.begin();
  while (next_named != named.end() || next_any != any.end()) {
    const bool takes_named =
        next_any == any.end() ||
        (next_named != named.end() && *next_named < *next_any);
    const Rule& rule = rules.rules_[takes_named ? *next_named++ : *next_any++];
    if (FirstMismatch(rule.match_, shape) == nullptr) {
      return &rule;
    }
  }
  return nullptr;
}

}  // namespace siskindrum::core
