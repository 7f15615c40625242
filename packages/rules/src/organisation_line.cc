#include <cmath>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "organisation_line_p.h"
#include "siskindrum/rules/encoding.h"

namespace siskindrum::rules {

namespace {

using core::Organisation;

constexpr std::uint32_t kMaxRank = 9;

bool ParseAmount(const std::string& text, double* out) {
  double value = 0;
  if (!absl::SimpleAtod(text, &value) || !(value >= 0) ||
      value > kMaxQuotaAmount) {
    return false;
  }
  *out = value;
  return true;
}

bool ParseUnit(const std::string& text, core::QuotaUnit* out) {
  *out =
      text == "tokens" ? core::QuotaUnit::kTokens : core::QuotaUnit::kRequests;
  return text == "tokens" || text == "requests";
}

// Reads the keys of an organisation, whose index among all will be `index`.
// Error messages contain no key.
void ParseKeys(core::RuleSet& rules,
               std::size_t index,
               Organisation& organisation,
               const Word& word,
               std::vector<Problem>& errors) {
  int column = word.value_column_;
  for (const absl::string_view part : absl::StrSplit(word.value_, ',')) {
    const std::optional<std::string> key = DecodeValue(std::string(part));
    const int at = column;
    column += static_cast<int>(part.size()) + 1;
    if (!key.has_value() || key->empty()) {
      errors.push_back({organisation.line_, at,
                        key.has_value()
                            ? "a key is empty"
                            : "a key has a malformed percent escape"});
      continue;
    }
    const auto [known, is_new] =
        rules.organisation_by_key_.emplace(*key, index);
    if (!is_new && known->second != index) {
      errors.push_back(
          {organisation.line_, at,
           absl::StrCat("the key belongs already to the organisation in line ",
                        rules.organisations_[known->second].line_)});
    }
    if (is_new) {
      organisation.keys_.push_back(*key);
    }
  }
}

// Returns an error text, empty when the word was taken.
std::string ParseField(Organisation& organisation, const Word& word) {
  if (word.key_ == "rank") {
    std::uint32_t rank = 0;
    if (!absl::SimpleAtoi(word.value_, &rank) || rank > kMaxRank) {
      return "expected rank=0 to 9";
    }
    organisation.rank_ = rank;
    return "";
  }
  core::Quota& quota = organisation.quota_;
  if (word.key_ == "unit") {
    return ParseUnit(word.value_, &quota.unit_)
               ? ""
               : "expected unit=requests or unit=tokens";
  }
  double* amount = word.key_ == "rate"           ? &quota.rate_per_second_
                   : word.key_ == "burst"        ? &quota.burst_
                   : word.key_ == "plain_tokens" ? &quota.plain_tokens_
                                                 : nullptr;
  if (amount == nullptr) {
    return "expected keys=, rank=, unit=, rate=, burst= or plain_tokens=";
  }
  return ParseAmount(word.value_, amount)
             ? ""
             : absl::StrCat("expected ", word.key_, "=N, N from 0 to 1e12");
}

}  // namespace

bool IsOrganisationName(std::string_view name) {
  for (const char c : name) {
    if (absl::ascii_iscntrl(static_cast<unsigned char>(c))) {
      return false;
    }
  }
  return !name.empty();
}

void ParseOrganisationLine(core::RuleSet& rules,
                           const Line& line,
                           std::vector<Problem>& errors) {
  const std::vector<Word>& words = line.words_;
  if (words.size() < 2 || !words[1].comparison_.empty()) {
    errors.push_back({line.number_, words.back().column_,
                      "expected: organisation NAME ..."});
    return;
  }
  Organisation organisation;
  organisation.line_ = line.number_;
  organisation.name_ = DecodeValue(words[1].text_).value_or("");
  if (!IsOrganisationName(organisation.name_)) {
    errors.push_back({line.number_, words[1].column_,
                      "the name is empty, has a control character or a "
                      "malformed percent escape"});
  }
  const std::size_t index = rules.organisations_.size();
  const auto [known, is_new] =
      rules.organisation_by_name_.emplace(organisation.name_, index);
  if (!is_new) {
    errors.push_back({line.number_, words[1].column_,
                      absl::StrCat("the organisation stands already in line ",
                                   rules.organisations_[known->second].line_)});
  }
  for (auto word = words.begin() + 2; word != words.end(); ++word) {
    if (word->key_ == "keys" && word->comparison_ == "=") {
      ParseKeys(rules, index, organisation, *word, errors);
      continue;
    }
    const std::string error = word->comparison_ == "="
                                  ? ParseField(organisation, *word)
                                  : "expected a word of the form NAME=VALUE";
    if (!error.empty()) {
      errors.push_back({line.number_, word->column_, error});
    }
  }
  rules.organisations_.push_back(std::move(organisation));
}

}  // namespace siskindrum::rules
