#include "siskindrum/rules/rules.h"

#include <algorithm>
#include <unordered_set>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "lexer_p.h"
#include "organisation_line_p.h"
#include "siskindrum/core/hash.h"

namespace siskindrum::rules {

namespace {

using core::Rule;
using core::RuleMatch;
using core::RuleOutcome;

// Collects what one file yields.
struct Parser {
  ParsedRules parsed_;
  std::vector<Problem> errors_;
  std::unordered_set<std::string> pools_;  // Names of the pool lines so far.
};

constexpr std::uint32_t kMaxTokens = 10'000'000;
constexpr std::uint32_t kMaxCount = 1'000'000;

void AddError(Parser& parser, const Line& line, int column, std::string text) {
  parser.errors_.push_back({line.number_, column, std::move(text)});
}

bool ParseCount(const std::string& text,
                std::uint32_t max,
                std::uint32_t* out) {
  std::uint32_t value = 0;
  if (!absl::SimpleAtoi(text, &value) || value > max) {
    return false;
  }
  *out = value;
  return true;
}

bool ParseDuration(const std::string& text, core::Milliseconds* out) {
  absl::string_view digits = text;
  std::int64_t unit = 1;
  if (!absl::ConsumeSuffix(&digits, "ms")) {
    if (!absl::ConsumeSuffix(&digits, "s")) {
      return false;
    }
    unit = 1000;
  }
  std::int64_t value = 0;
  if (!absl::SimpleAtoi(digits, &value) || value <= 0 ||
      value > kMaxDurationMs / unit) {
    return false;
  }
  *out = core::Milliseconds(value * unit);
  return true;
}

bool ParseAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  std::uint32_t port = 0;
  return colon != std::string::npos && colon > 0 &&
         ParseCount(text.substr(colon + 1), 65535, &port) && port > 0;
}

std::string BadPattern(const std::string& value) {
  if (value.empty()) {
    return "is empty";
  }
  const std::size_t inner = value.find('*', 1);
  if (inner != std::string::npos && inner + 1 != value.size()) {
    return "may have '*' only at its start or end";
  }
  return "";
}

std::string* PatternField(RuleMatch& match, const std::string& key) {
  if (key == "host")
    return &match.host_;
  if (key == "service")
    return &match.service_;
  if (key == "organisation")
    return &match.organisation_;
  if (key == "model")
    return &match.model_;
  if (key == "path")
    return &match.path_;
  if (key == "method")
    return &match.method_;
  if (key == "domain")
    return &match.domain_;
  return nullptr;
}

// Returns an error text, empty when the condition was taken.
std::string ParseCondition(RuleMatch& match, const Word& word) {
  if (word.key_ == "prompt") {
    std::uint32_t* bound = word.comparison_ == ">="  ? &match.prompt_at_least_
                           : word.comparison_ == "<" ? &match.prompt_below_
                                                     : nullptr;
    if (bound == nullptr || !ParseCount(word.value_, kMaxTokens, bound)) {
      return "expected prompt>=TOKENS or prompt<TOKENS";
    }
    return "";
  }
  if (word.key_ == "priority" && word.comparison_ == "=") {
    match.any_priority_ = false;
    return core::ParsePriority(word.value_, &match.priority_)
               ? ""
               : "expected priority=low, normal or high";
  }
  std::string* field = PatternField(match, word.key_);
  if (field == nullptr || word.comparison_ != "=") {
    return absl::StrCat(
        "unknown condition '", word.text_,
        "'; expected host=, service=, organisation=, model=, path=, "
        "method=, domain=, prompt>=, prompt< or priority=");
  }
  if (!field->empty()) {
    return absl::StrCat("condition '", word.key_, "' stands twice");
  }
  const std::string bad = BadPattern(word.value_);
  if (!bad.empty()) {
    return absl::StrCat("pattern of '", word.key_, "' ", bad);
  }
  *field = word.value_;
  return "";
}

std::string ParseFlag(RuleOutcome& outcome, const Word& word) {
  if (word.text_ == "plain") {
    outcome.kind_ = core::BackendKind::kPlain;
    return "";
  }
  if (word.text_ == "refuse") {
    outcome.action_ = core::Action::kRefuse;
    return "";
  }
  return absl::StrCat("unknown outcome '", word.text_, "'");
}

std::string ParseChoice(RuleOutcome& outcome, const Word& word) {
  const std::string& value = word.value_;
  if (word.key_ == "prefer") {
    outcome.prefer_ = value == "waste" ? core::Preference::kWaste
                                       : core::Preference::kGoodput;
    return value == "waste" || value == "goodput"
               ? ""
               : "expected prefer=goodput or prefer=waste";
  }
  if (word.key_ == "repeat") {
    outcome.repeat_ =
        value == "never" ? core::Repeat::kNever : core::Repeat::kAllowed;
    return value == "never" || value == "allowed"
               ? ""
               : "expected repeat=allowed or repeat=never";
  }
  if (word.key_ == "access") {
    outcome.public_ = value == "public";
    return value == "public" || value == "key"
               ? ""
               : "expected access=key or access=public";
  }
  if (word.key_ == "resume") {
    outcome.resume_ =
        value == "never" ? core::Resume::kNever : core::Resume::kAllowed;
    return value == "never" || value == "allowed"
               ? ""
               : "expected resume=allowed or resume=never";
  }
  outcome.fencing_ =
      value == "checked" ? core::Fencing::kChecked : core::Fencing::kIgnored;
  return value == "checked" || value == "ignored"
             ? ""
             : "expected fencing=checked or fencing=ignored";
}

std::string ParseOutcomeDuration(RuleOutcome& outcome, const Word& word) {
  core::Milliseconds* field = word.key_ == "first_token" ? &outcome.first_token_
                              : word.key_ == "between_tokens"
                                  ? &outcome.between_tokens_
                                  : &outcome.timeout_;
  return ParseDuration(word.value_, field)
             ? ""
             : absl::StrCat("expected ", word.key_,
                            "=DURATION such as 370ms or 2s, at most an hour");
}

std::string ParseOutcomeCount(RuleOutcome& outcome, const Word& word) {
  if (word.key_ == "retries") {
    return ParseCount(word.value_, 10, &outcome.retries_)
               ? ""
               : "expected retries=0 to 10";
  }
  if (word.key_ == "rank") {
    return ParseCount(word.value_, 9, &outcome.rank_) ? ""
                                                      : "expected rank=0 to 9";
  }
  if (word.key_ == "share") {
    return ParseCount(word.value_, 1000, &outcome.share_) && outcome.share_ > 0
               ? ""
               : "expected share=1 to 1000";
  }
  absl::string_view value = word.value_;
  const bool per_second = absl::ConsumeSuffix(&value, "/s");
  return per_second &&
                 ParseCount(std::string(value), kMaxCount,
                            &outcome.limit_per_second_) &&
                 outcome.limit_per_second_ > 0
             ? ""
             : "expected limit=N/s, N from 1 to 1000000";
}

// Reads "NAME", or "NAME:WEIGHT,NAME:WEIGHT" where pools share.
std::string ParsePools(RuleOutcome& outcome, const std::string& value) {
  constexpr char kExpected[] =
      "expected pool=NAME or pool=NAME:WEIGHT,NAME:WEIGHT, weights 0 to "
      "1000000 and not all zero";
  outcome.split_.clear();
  if (value.find(':') == std::string::npos) {
    outcome.pool_ = value;
    return value.empty() ? "pool is empty" : "";
  }
  std::uint64_t total = 0;
  for (const absl::string_view part : absl::StrSplit(value, ',')) {
    const std::size_t colon = part.rfind(':');
    core::PoolShare share;
    if (colon == absl::string_view::npos || colon == 0 ||
        !ParseCount(std::string(part.substr(colon + 1)), kMaxCount,
                    &share.weight_)) {
      return kExpected;
    }
    share.pool_ = std::string(part.substr(0, colon));
    total += share.weight_;
    outcome.split_.push_back(std::move(share));
  }
  outcome.pool_ = outcome.split_.front().pool_;
  return total > 0 ? "" : kExpected;
}

std::string ParseOutcome(RuleOutcome& outcome, const Word& word) {
  if (word.comparison_.empty()) {
    return ParseFlag(outcome, word);
  }
  if (word.comparison_ != "=") {
    return absl::StrCat("unknown outcome '", word.text_, "'");
  }
  const std::string& key = word.key_;
  if (key == "pool") {
    return ParsePools(outcome, word.value_);
  }
  if (key == "priority") {
    outcome.has_priority_ = true;
    return core::ParsePriority(word.value_, &outcome.priority_)
               ? ""
               : "expected priority=low, normal or high";
  }
  if (key == "prefer" || key == "repeat" || key == "fencing" ||
      key == "resume" || key == "access") {
    return ParseChoice(outcome, word);
  }
  if (key == "first_token" || key == "between_tokens" || key == "timeout") {
    return ParseOutcomeDuration(outcome, word);
  }
  if (key == "retries" || key == "share" || key == "limit" || key == "rank") {
    return ParseOutcomeCount(outcome, word);
  }
  return absl::StrCat("unknown outcome '", word.text_, "'");
}

void CheckOutcome(Parser& parser, const Line& line, const Rule& rule) {
  const RuleOutcome& outcome = rule.outcome_;
  const int column = line.words_.front().column_;
  if (outcome.action_ == core::Action::kRefuse) {
    return;
  }
  if (outcome.pool_.empty()) {
    AddError(parser, line, column, "a rule needs pool=NAME or refuse");
  }
  const bool plain = outcome.kind_ == core::BackendKind::kPlain;
  if (plain && outcome.resume_ == core::Resume::kNever) {
    AddError(parser, line, column,
             "resume=never does not fit a plain service; use repeat=never");
  }
  if (!plain && outcome.repeat_ == core::Repeat::kNever) {
    AddError(
        parser, line, column,
        "repeat=never needs the word plain: model answers may be repeated");
  }
  if (plain && (outcome.first_token_.count() > 0 ||
                outcome.between_tokens_.count() > 0)) {
    AddError(parser, line, column,
             "token targets do not fit a plain service; use timeout=");
  }
}

void ParseRuleLine(Parser& parser, const Line& line) {
  Rule rule;
  rule.line_ = line.number_;
  rule.text_ = line.text_;
  rule.comment_ = line.comment_;
  rule.is_default_ = line.words_.front().text_ == "default";
  const auto then =
      std::find_if(line.words_.begin(), line.words_.end(),
                   [](const Word& word) { return word.text_ == "then"; });
  if (then == line.words_.end()) {
    AddError(parser, line, line.words_.back().column_, "expected 'then'");
    return;
  }
  const auto first = line.words_.begin() + 1;
  if (rule.is_default_ && first != then) {
    AddError(parser, line, first->column_, "default takes no conditions");
    return;
  }
  if (!rule.is_default_ && first == then) {
    AddError(parser, line, then->column_,
             "'when' needs a condition; for all requests write 'default then'");
  }
  for (auto word = first; word != then; ++word) {
    const std::string error = ParseCondition(rule.match_, *word);
    if (!error.empty()) {
      AddError(parser, line, word->column_, error);
    }
  }
  for (auto word = then + 1; word != line.words_.end(); ++word) {
    const std::string error = ParseOutcome(rule.outcome_, *word);
    if (!error.empty()) {
      AddError(parser, line, word->column_, error);
    }
  }
  CheckOutcome(parser, line, rule);
  parser.parsed_.rules_.rules_.push_back(std::move(rule));
}

void ParseSeatLine(Parser& parser, const Line& line) {
  const std::vector<Word>& words = line.words_;
  if (words.size() != 4 || words[2].text_ != "at" ||
      !ParseAddress(words[3].text_)) {
    AddError(parser, line, words.back().column_,
             "expected: seat NAME at IP:PORT");
    return;
  }
  for (const core::Seat& seat : parser.parsed_.rules_.seats_) {
    if (seat.name_ == words[1].text_ || seat.address_ == words[3].text_) {
      AddError(parser, line, words[1].column_,
               absl::StrCat("seat stands already in line ", seat.line_));
      return;
    }
  }
  parser.parsed_.rules_.seats_.push_back(
      {words[1].text_, words[3].text_, line.number_});
}

// Reads: pool NAME slots=N memory=TOKENS connections=N event=TOKENS
// token_bytes=BYTES link=MBPS hold=DURATION handle=DURATION
void ParsePoolLine(Parser& parser, const Line& line) {
  core::PoolSettings facts;
  facts.line_ = line.number_;
  const std::vector<Word>& words = line.words_;
  if (words.size() < 2 || !words[1].comparison_.empty()) {
    AddError(parser, line, words.back().column_, "expected: pool NAME ...");
    return;
  }
  facts.name_ = words[1].text_;
  if (!parser.pools_.insert(facts.name_).second) {
    AddError(parser, line, words[1].column_, "the pool stands twice");
  }
  for (auto word = words.begin() + 2; word != words.end(); ++word) {
    core::Milliseconds* time = word->key_ == "hold"     ? &facts.hold_
                               : word->key_ == "handle" ? &facts.handle_
                                                        : nullptr;
    if (time != nullptr && word->comparison_ == "=" &&
        ParseDuration(word->value_, time)) {
      continue;
    }
    std::uint32_t* field = word->key_ == "slots"         ? &facts.slots_
                           : word->key_ == "memory"      ? &facts.memory_tokens_
                           : word->key_ == "connections" ? &facts.connections_
                           : word->key_ == "event"       ? &facts.event_tokens_
                           : word->key_ == "token_bytes" ? &facts.token_bytes_
                           : word->key_ == "link"        ? &facts.link_mbps_
                                                         : nullptr;
    if (field == nullptr || word->comparison_ != "=" ||
        !ParseCount(word->value_, kMaxTokens, field)) {
      AddError(
          parser, line, word->column_,
          "expected slots=N, memory=TOKENS, connections=N, event=TOKENS, "
          "token_bytes=BYTES, link=MBPS, hold=DURATION or handle=DURATION");
    }
  }
  parser.parsed_.rules_.pools_.push_back(std::move(facts));
}

// Reads: callers head=BYTES body=BYTES head_time=DURATION idle=DURATION
void ParseCallersLine(Parser& parser, const Line& line) {
  core::CallerSettings& bounds = parser.parsed_.rules_.callers_;
  for (auto word = line.words_.begin() + 1; word != line.words_.end(); ++word) {
    const std::string& value = word->value_;
    const bool good =
        word->key_ == "head"
            ? ParseCount(value, kMaxCallerBytes, &bounds.head_bytes_)
        : word->key_ == "body"
            ? ParseCount(value, kMaxCallerBytes, &bounds.body_bytes_)
        : word->key_ == "head_time" ? ParseDuration(value, &bounds.head_time_)
        : word->key_ == "idle"      ? ParseDuration(value, &bounds.idle_time_)
                                    : false;
    if (!good || word->comparison_ != "=") {
      AddError(parser, line, word->column_,
               "expected head=BYTES, body=BYTES, head_time=DURATION or "
               "idle=DURATION");
    }
  }
}

void ParseLine(Parser& parser, const Line& line) {
  if (line.words_.empty()) {
    return;
  }
  if (!line.has_comment_ || line.comment_.empty()) {
    AddError(parser, line, static_cast<int>(line.text_.size()) + 1,
             "a line needs a comment that names who asked: # asked by ...");
  }
  const std::string& verb = line.words_.front().text_;
  if (verb == "when" || verb == "default") {
    ParseRuleLine(parser, line);
  } else if (verb == "seat") {
    ParseSeatLine(parser, line);
  } else if (verb == "pool") {
    ParsePoolLine(parser, line);
  } else if (verb == "callers") {
    ParseCallersLine(parser, line);
  } else if (verb == "organisation") {
    ParseOrganisationLine(parser.parsed_.rules_, line, parser.errors_);
  } else {
    AddError(parser, line, line.words_.front().column_,
             absl::StrCat("expected 'when', 'default', 'seat', 'pool', "
                          "'callers' or 'organisation', not '",
                          verb, "'"));
  }
}

bool CoversPattern(const std::string& wide, const std::string& narrow) {
  if (wide.empty() || wide == "*" || wide == narrow) {
    return true;
  }
  if (narrow.empty() || narrow.find('*') != std::string::npos) {
    const bool prefixes = wide.back() == '*' && wide.front() != '*' &&
                          !narrow.empty() && narrow.back() == '*' &&
                          narrow.front() != '*';
    return prefixes &&
           absl::StartsWith(narrow, wide.substr(0, wide.size() - 1));
  }
  return core::MatchesPattern(wide, narrow);
}

// True when every request that matches `narrow` matches `wide`.
bool Covers(const RuleMatch& wide, const RuleMatch& narrow) {
  const bool priorities =
      wide.any_priority_ ||
      (!narrow.any_priority_ && wide.priority_ == narrow.priority_);
  return priorities && CoversPattern(wide.service_, narrow.service_) &&
         CoversPattern(wide.host_, narrow.host_) &&
         CoversPattern(wide.organisation_, narrow.organisation_) &&
         CoversPattern(wide.model_, narrow.model_) &&
         CoversPattern(wide.path_, narrow.path_) &&
         CoversPattern(wide.method_, narrow.method_) &&
         CoversPattern(wide.domain_, narrow.domain_) &&
         wide.prompt_at_least_ <= narrow.prompt_at_least_ &&
         wide.prompt_below_ >= narrow.prompt_below_;
}

void WarnCovered(ParsedRules& parsed) {
  const std::vector<Rule>& rules = parsed.rules_.rules_;
  for (std::size_t i = 0; i < rules.size(); ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      if (!Covers(rules[j].match_, rules[i].match_)) {
        continue;
      }
      const bool doubled = Covers(rules[i].match_, rules[j].match_);
      parsed.warnings_.push_back(
          {rules[i].line_, 1,
           absl::StrCat(doubled ? "repeats the conditions of line "
                                : "is never reached behind line ",
                        rules[j].line_)});
      break;
    }
  }
}

void WarnSeats(ParsedRules& parsed) {
  const auto once =
      std::find_if(parsed.rules_.rules_.begin(), parsed.rules_.rules_.end(),
                   [](const Rule& rule) {
                     return rule.outcome_.repeat_ == core::Repeat::kNever;
                   });
  if (once != parsed.rules_.rules_.end() && parsed.rules_.seats_.empty()) {
    parsed.warnings_.push_back(
        {once->line_, 1,
         "repeat=never without seat lines: calls with an Idempotency-Key are "
         "refused"});
  }
}

void CheckDefault(Parser& parser, const std::vector<Line>& lines) {
  const std::vector<Rule>& rules = parser.parsed_.rules_.rules_;
  const int last = lines.empty() ? 1 : lines.back().number_;
  if (rules.empty() || !rules.back().is_default_) {
    parser.errors_.push_back(
        {rules.empty() ? last : rules.back().line_, 1,
         "the last rule must be a default: default then ..."});
  }
}

tl::expected<ParsedRules, std::vector<Problem>> ParseWithoutWarnings(
    const std::string& text) {
  Parser parser;
  if (text.size() > kMaxRulesBytes) {
    return tl::unexpected(std::vector<Problem>{
        {1, 1,
         absl::StrCat("the file is larger than ", kMaxRulesBytes, " bytes")}});
  }
  const std::vector<Line> lines = SplitLines(text);
  for (const Line& line : lines) {
    ParseLine(parser, line);
  }
  if (parser.errors_.empty()) {
    CheckDefault(parser, lines);
  }
  if (!parser.errors_.empty()) {
    return tl::unexpected(std::move(parser.errors_));
  }
  parser.parsed_.rules_.text_ = text;
  core::IndexRules(parser.parsed_.rules_);
  return std::move(parser.parsed_);
}

}  // namespace

tl::expected<ParsedRules, std::vector<Problem>> ParseRules(
    const std::string& text) {
  auto parsed = ParseWithoutWarnings(text);
  if (parsed.has_value()) {
    WarnCovered(*parsed);
    WarnSeats(*parsed);
  }
  return parsed;
}

tl::expected<std::shared_ptr<const core::Configuration>, std::string>
MakeConfiguration(std::uint64_t revision, const std::string& text) {
  auto parsed = ParseWithoutWarnings(text);
  if (!parsed.has_value()) {
    return tl::unexpected(Describe("rules", parsed.error().front()));
  }
  auto configuration = std::make_shared<core::Configuration>();
  configuration->revision_ = revision;
  configuration->digest_ = core::Hash64(text);
  configuration->rules_ = std::move(parsed->rules_);
  return configuration;
}

std::string Describe(const std::string& file, const Problem& problem) {
  return absl::StrCat(file, ":", problem.line_, ":", problem.column_, ": ",
                      problem.message_);
}

}  // namespace siskindrum::rules
