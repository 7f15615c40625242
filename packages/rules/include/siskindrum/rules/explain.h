#ifndef SISKINDRUM_RULES_EXPLAIN_H_
#define SISKINDRUM_RULES_EXPLAIN_H_

#include <string>

#include "siskindrum/core/router.h"
#include "siskindrum/core/rule.h"

namespace siskindrum::rules {

// Names the line of a rule, who asked for it and what it does. Thread-safe:
// yes.
std::string ExplainRule(const core::Rule& rule);

// Tells line by line why a request of this shape matches the rule it matches.
// Thread-safe: yes.
std::string ExplainShape(const core::RuleSet& rules,
                         const core::RequestShape& shape);

// Tells in sentences what was decided for a request and why.
// Requires: `record.rule_` is set. Thread-safe: yes.
std::string ExplainDecision(const core::DecisionRecord& record);

}  // namespace siskindrum::rules

#endif  // SISKINDRUM_RULES_EXPLAIN_H_
