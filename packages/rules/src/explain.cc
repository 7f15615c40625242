#include "siskindrum/rules/explain.h"

#include "absl/strings/str_cat.h"
#include "siskindrum/core/text.h"

namespace siskindrum::rules {

namespace {

using core::Rule;
using core::RuleOutcome;
using core::ToLine;

std::string DescribeOutcome(const RuleOutcome& outcome) {
  if (outcome.action_ == core::Action::kRefuse) {
    return "the request is refused";
  }
  std::string text =
      absl::StrCat("it goes to the servers of ", ToLine(outcome.pool_));
  if (outcome.first_token_.count() > 0) {
    absl::StrAppend(&text, ", first token within ",
                    outcome.first_token_.count(), " ms");
  }
  if (outcome.between_tokens_.count() > 0) {
    absl::StrAppend(&text, ", then one every ", outcome.between_tokens_.count(),
                    " ms");
  }
  if (outcome.repeat_ == core::Repeat::kNever) {
    absl::StrAppend(&text, ", at most once");
  }
  if (outcome.limit_per_second_ > 0) {
    absl::StrAppend(&text, ", at most ", outcome.limit_per_second_,
                    " requests a second for its organisation");
  }
  if (outcome.kind_ == core::BackendKind::kEngine) {
    absl::StrAppend(&text, outcome.prefer_ == core::Preference::kWaste
                               ? ", sparing prefill work first"
                               : ", on-time answers first");
  }
  return text;
}

std::string DescribeServers(const core::DecisionRecord& record) {
  const bool plain = record.rule_->outcome_.kind_ == core::BackendKind::kPlain;
  if (record.decode_.empty()) {
    return "No server received it.\n";
  }
  std::string text;
  if (plain) {
    text = absl::StrCat("Server ", ToLine(record.decode_),
                        " received it: it had the fewest calls in progress");
  } else {
    text =
        record.prefill_.empty()
            ? absl::StrCat("Prefill and answer ran on ", ToLine(record.decode_),
                           ", which had the most free places")
            : absl::StrCat(
                  "Prefill ran on ", ToLine(record.prefill_),
                  ", which would be ready first; the answer came from ",
                  ToLine(record.decode_), ", which had the most free places");
  }
  absl::StrAppend(&text, "; counted by entry ", ToLine(record.home_),
                  record.cell_.empty() ? "" : " for cell ",
                  ToLine(record.cell_), ".\n");
  for (const core::Candidate& candidate : record.candidates_) {
    const bool chosen = candidate.server_ == record.decode_ ||
                        candidate.server_ == record.prefill_;
    absl::StrAppend(&text, "  weighed ", candidate.role_, " ",
                    ToLine(candidate.server_), ": ", ToLine(candidate.note_),
                    chosen ? " (chosen)" : "", "\n");
  }
  return text;
}

}  // namespace

std::string ExplainRule(const Rule& rule) {
  return absl::StrCat("Line ", rule.line_, " decides (\"",
                      ToLine(rule.comment_),
                      "\"): ", DescribeOutcome(rule.outcome_), ".\n  ",
                      ToLine(rule.text_), "\n");
}

std::string ExplainShape(const core::RuleSet& rules,
                         const core::RequestShape& shape) {
  std::string text;
  for (const Rule& rule : rules.rules_) {
    const char* mismatch = core::FirstMismatch(rule.match_, shape);
    if (mismatch == nullptr) {
      return text + ExplainRule(rule);
    }
    absl::StrAppend(&text, "Line ", rule.line_, " does not apply: its ",
                    mismatch, " differs.\n");
  }
  return text + "No line applies.\n";
}

std::string ExplainDecision(const core::DecisionRecord& record) {
  return absl::StrCat(
      "Request ", core::ToString(record.request_), " of ",
      record.shape_.organisation_.empty() ? "an unnamed organisation"
                                          : ToLine(record.shape_.organisation_),
      " (", record.shape_.prompt_tokens_, " prompt tokens), rules revision ",
      record.configuration_->revision_, ".\n", ExplainRule(*record.rule_),
      DescribeServers(record), "Outcome: ", ToLine(record.outcome_),
      record.reason_.empty() ? ""
                             : absl::StrCat(" (", ToLine(record.reason_), ")"),
      " after ", record.attempts_,
      record.attempts_ == 1 ? " attempt, " : " attempts, ",
      record.total_.count(), " ms.\n");
}

}  // namespace siskindrum::rules
