#ifndef SISKINDRUM_RULES_ORGANISATION_LINE_P_H_
#define SISKINDRUM_RULES_ORGANISATION_LINE_P_H_

#include <vector>

#include "lexer_p.h"
#include "siskindrum/core/rule.h"
#include "siskindrum/rules/rules.h"

namespace siskindrum::rules {

// Parses: organisation NAME keys=K1,K2 rank=N unit=tokens|requests rate=N
// burst=N plain_tokens=N. Names and keys are percent-encoded. Appends the
// organisation to `rules` and the errors, none of which shows a key, to
// `errors`.
void ParseOrganisationLine(core::RuleSet& rules,
                           const Line& line,
                           std::vector<Problem>& errors);

}  // namespace siskindrum::rules

#endif  // SISKINDRUM_RULES_ORGANISATION_LINE_P_H_
