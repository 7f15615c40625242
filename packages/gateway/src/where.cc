#include "where_p.h"

#include <cstdint>
#include <map>
#include <vector>

#include <nlohmann/json.hpp>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"
#include "siskindrum/core/json_text.h"
#include "siskindrum/core/text.h"
#include "siskindrum/rules/encoding.h"
#include "siskindrum/rules/explain.h"

namespace siskindrum::gateway {

namespace {

using core::ToLine;
using dispatch::CostPart;
using dispatch::Preview;
using dispatch::PreviewCandidate;
using dispatch::PreviewOutcome;
using nlohmann::json;

// A day; a longer time would overflow nothing, but means nothing.
constexpr std::uint32_t kMaxTimeLeftMs = 86'400'000;

bool ReadNumber(const std::string& text, std::uint32_t* out) {
  return absl::SimpleAtoi(text, out);
}

bool ReadParts(const std::string& text, core::PromptParts* out) {
  for (const absl::string_view part :
       absl::StrSplit(text, ',', absl::SkipEmpty())) {
    std::uint64_t value = 0;
    if (!absl::SimpleHexAtoi(part, &value)) {
      return false;
    }
    out->push_back(value);
  }
  return true;
}

// Applies one parameter; false when it is unknown or has no valid value.
bool ReadParameter(const std::string& name,
                   const std::string& value,
                   WhereQuestion& question) {
  dispatch::CallerCall& call = question.call_;
  std::string* const text = name == "path"           ? &call.shape_.path_
                            : name == "method"       ? &call.shape_.method_
                            : name == "host"         ? &call.shape_.host_
                            : name == "model"        ? &call.shape_.model_
                            : name == "organisation" ? &question.organisation_
                                                     : nullptr;
  if (text != nullptr) {
    *text = value;
    return true;
  }
  std::uint32_t* const number = name == "prompt" ? &call.shape_.prompt_tokens_
                                : name == "max_tokens"
                                    ? &call.shape_.max_tokens_
                                : name == "answer" ? &call.answer_tokens_
                                                   : nullptr;
  if (number != nullptr) {
    return ReadNumber(value, number);
  }
  std::uint32_t time_left = 0;
  if (name == "time_left") {
    const bool read =
        ReadNumber(value, &time_left) && time_left <= kMaxTimeLeftMs;
    call.time_left_ = core::Milliseconds(time_left);
    return read;
  }
  if (name == "parts") {
    return ReadParts(value, &call.shared_parts_);
  }
  question.as_json_ = value == "json";
  return name == "format" && (value == "json" || value == "text");
}

// Parts of a cost that are not zero.
std::map<std::string, double> CostParts(const dispatch::PlacementCost& cost) {
  std::map<std::string, double> parts;
  for (int i = 0; i < static_cast<int>(CostPart::kCount); ++i) {
    const auto part = static_cast<CostPart>(i);
    if (cost[part] != 0) {
      parts[ToString(part)] = cost[part];
    }
  }
  return parts;
}

json ToJson(const std::optional<core::Milliseconds>& time) {
  return time.has_value() ? json(time->count()) : json(nullptr);
}

json ToJson(const PreviewCandidate& candidate) {
  json value = {{"server", candidate.weighed_.name_},
                {"role", core::ToString(candidate.role_)},
                {"chosen", candidate.chosen_},
                {"calls", candidate.calls_},
                {"held_tokens", candidate.held_tokens_},
                {"peer_held_tokens", candidate.peer_held_tokens_},
                {"measured_ms", ToJson(candidate.measured_age_)}};
  if (candidate.weighed_.excluded_ != nullptr) {
    value["excluded"] = candidate.weighed_.excluded_;
  } else {
    value["cost_ms"] = candidate.weighed_.cost_.Total();
    value["cost"] = CostParts(candidate.weighed_.cost_);
  }
  return value;
}

std::string JsonText(const Preview& preview) {
  json value = {{"outcome", dispatch::ToString(preview.outcome_)},
                {"pool", preview.pool_},
                {"organisation", preview.organisation_},
                {"rank", preview.rank_},
                {"quota_cost", preview.quota_cost_},
                {"quota_left", preview.quota_left_.has_value()
                                   ? json(*preview.quota_left_)
                                   : json(nullptr)},
                {"waiting", preview.waiting_},
                {"confirmed_ms", ToJson(preview.confirmed_age_)},
                {"list_ms", ToJson(preview.list_age_)},
                {"peers_ms", ToJson(preview.peers_age_)},
                {"prefill", preview.prefill_},
                {"server", preview.server_},
                {"candidates", json::array()}};
  if (preview.configuration_ != nullptr) {
    value["revision"] = preview.configuration_->revision_;
  }
  if (preview.rule_ != nullptr) {
    value["rule_line"] = preview.rule_->line_;
    value["rule"] = preview.rule_->text_;
  }
  if (preview.outcome_ == PreviewOutcome::kRefused) {
    value["reason"] = core::ToString(preview.refusal_.reason_);
    value["run_state"] = core::ToString(preview.refusal_.run_state_);
    value["retry_after_ms"] = preview.refusal_.retry_after_.count();
    value["cause"] = preview.cause_;
  }
  for (const PreviewCandidate& candidate : preview.candidates_) {
    value["candidates"].push_back(ToJson(candidate));
  }
  if (preview.hedge_.has_value()) {
    value["hedge"] = {{"verdict", hedge::ToString(preview.hedge_->verdict_)},
                      {"after_ms", preview.hedge_->delay_.count()},
                      {"server", preview.hedge_->server_}};
  }
  return core::ToJsonText(std::move(value), 2) + "\n";
}

std::string DescribeAge(const char* name,
                        const std::optional<core::Milliseconds>& age) {
  return age.has_value() ? absl::StrCat(name, " ", age->count(), " ms old")
                         : absl::StrCat(name, " unknown");
}

std::string DescribeOrganisation(const Preview& preview) {
  if (preview.organisation_.empty()) {
    return "";
  }
  std::string text = absl::StrCat(
      "Organisation ", ToLine(preview.organisation_), ", rank ", preview.rank_);
  if (preview.quota_left_.has_value()) {
    absl::StrAppendFormat(&text, ": costs %.0f of its quota, %.0f left here",
                          preview.quota_cost_, *preview.quota_left_);
  }
  return text + ".\n";
}

std::string DescribeOutcome(const Preview& preview) {
  switch (preview.outcome_) {
    case PreviewOutcome::kSent:
      return preview.prefill_.empty()
                 ? absl::StrCat("It would go to ", ToLine(preview.server_),
                                ".\n")
                 : absl::StrCat("Its prompt would go to ",
                                ToLine(preview.prefill_), ", its answer to ",
                                ToLine(preview.server_), ".\n");
    case PreviewOutcome::kWaits:
      return absl::StrCat("It would wait for decode capacity, with ",
                          preview.waiting_, " others.\n");
    case PreviewOutcome::kWaitsForQuota:
      return "It would wait for quota from other entries.\n";
    default:
      return absl::StrCat(
          "It would be refused (", core::ToString(preview.refusal_.run_state_),
          "): ",
          preview.cause_.empty() ? core::ToString(preview.refusal_.reason_)
                                 : ToLine(preview.cause_),
          preview.refusal_.retry_after_.count() > 0
              ? absl::StrCat("; retry after ",
                             preview.refusal_.retry_after_.count(), " ms")
              : "",
          ".\n");
  }
}

std::string DescribeCandidate(const PreviewCandidate& candidate) {
  std::string text = absl::StrCat("  ", core::ToString(candidate.role_), " ",
                                  ToLine(candidate.weighed_.name_), ": ");
  if (candidate.weighed_.excluded_ != nullptr) {
    return absl::StrCat(text, "not considered, ", candidate.weighed_.excluded_,
                        "\n");
  }
  absl::StrAppendFormat(&text, "%.1f ms =", candidate.weighed_.cost_.Total());
  for (const auto& [name, ms] : CostParts(candidate.weighed_.cost_)) {
    absl::StrAppendFormat(&text, " %s %.1f", name, ms);
  }
  absl::StrAppend(&text, "; ", candidate.calls_, " calls, ",
                  candidate.held_tokens_, " tokens held here, ",
                  candidate.peer_held_tokens_, " by peers, ",
                  DescribeAge("measurement", candidate.measured_age_));
  return text + (candidate.chosen_ ? " (chosen)\n" : "\n");
}

std::string DescribeHedge(const dispatch::HedgeForecast& hedge) {
  return hedge.verdict_ == hedge::Verdict::kSend
             ? absl::StrCat("Without an answer it would also go to ",
                            ToLine(hedge.server_), " after ",
                            hedge.delay_.count(), " ms.\n")
             : absl::StrCat("No second send would follow: ",
                            hedge::ToString(hedge.verdict_), ".\n");
}

std::string PlainText(const Preview& preview) {
  std::string text = absl::StrCat(
      "Rules revision ",
      preview.configuration_ == nullptr ? 0 : preview.configuration_->revision_,
      "; ", DescribeAge("confirmation", preview.confirmed_age_), ", ",
      DescribeAge("server list", preview.list_age_), ", ",
      DescribeAge("peers' reports", preview.peers_age_), ".\n");
  text += preview.rule_ == nullptr ? "No line applies.\n"
                                   : rules::ExplainRule(*preview.rule_);
  text += DescribeOrganisation(preview);
  text += DescribeOutcome(preview);
  for (const PreviewCandidate& candidate : preview.candidates_) {
    text += DescribeCandidate(candidate);
  }
  if (preview.hedge_.has_value()) {
    text += DescribeHedge(*preview.hedge_);
  } else if (preview.outcome_ == PreviewOutcome::kSent) {
    text += "No second send would follow: streams are never hedged.\n";
  }
  return text;
}

}  // namespace

tl::expected<WhereQuestion, std::string> ParseWhere(const std::string& target,
                                                    const std::string& key) {
  WhereQuestion question;
  question.call_.key_ = key;
  const std::size_t mark = target.find('?');
  const std::string query =
      mark == std::string::npos ? "" : target.substr(mark + 1);
  for (const std::string& parameter : std::vector<std::string>(
           absl::StrSplit(query, '&', absl::SkipEmpty()))) {
    const std::size_t equals = parameter.find('=');
    const std::string name = parameter.substr(0, equals);
    const auto value = rules::DecodeValue(
        equals == std::string::npos ? "" : parameter.substr(equals + 1));
    if (!value.has_value() || !ReadParameter(name, *value, question)) {
      return tl::unexpected(
          absl::StrCat("parameter '", ToLine(name), "' is not valid"));
    }
  }
  if (question.call_.shape_.path_.empty()) {
    return tl::unexpected(std::string("expected /where?path=PATH"));
  }
  question.call_.shape_.organisation_ = question.organisation_;
  return question;
}

std::string WhereText(const dispatch::Dispatcher& dispatcher,
                      const WhereQuestion& question,
                      core::TimePoint now) {
  const core::Configuration* configuration =
      dispatcher.configuration_.current_.get();
  const bool unknown = configuration != nullptr &&
                       !question.organisation_.empty() &&
                       !configuration->rules_.organisations_.empty() &&
                       !configuration->rules_.organisation_by_name_.contains(
                           question.organisation_);
  if (unknown) {
    return absl::StrCat("Rules revision ", configuration->revision_,
                        " has no organisation of that name.\n");
  }
  const Preview preview = dispatch::PreviewCall(dispatcher, question.call_,
                                                question.organisation_, now);
  return question.as_json_ ? JsonText(preview) : PlainText(preview);
}

}  // namespace siskindrum::gateway
