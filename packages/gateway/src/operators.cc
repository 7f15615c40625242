#include "operators_p.h"

#include <algorithm>
#include <array>
#include <chrono>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "siskindrum/core/guard.h"
#include "siskindrum/core/json_text.h"
#include "siskindrum/core/text.h"
#include "siskindrum/rules/encoding.h"
#include "siskindrum/rules/explain.h"

namespace siskindrum::gateway {

namespace {

std::int64_t AgeMs(core::TimePoint now, core::TimePoint then) {
  return std::chrono::duration_cast<core::Milliseconds>(now - then).count();
}

const char* ToString(dispatch::Listing listing) {
  switch (listing) {
    case dispatch::Listing::kListed:
      return "listed";
    case dispatch::Listing::kUnlisted:
      return "lapsed";
    default:
      return "draining";
  }
}

nlohmann::json DumpServer(const dispatch::ServerPool& pool,
                          const dispatch::ServerState& server,
                          core::TimePoint now) {
  return {
      {"address", server.info_.address_},
      {"pool", server.info_.service_},
      {"domain", server.info_.domain_},
      {"role", core::ToString(server.info_.role_)},
      {"listing", ToString(server.listing_)},
      {"listing_age_ms", AgeMs(now, server.changed_at_)},
      {"said_leaving",
       dispatch::HasAnnouncedLeaving(pool.notices_, server.info_, now)},
      {"paused_ms",
       std::max<std::int64_t>(
           0, AgeMs(dispatch::PausedUntil(pool.notices_, server.info_), now))},
      {"calls", server.calls_},
      {"request_bytes", server.request_bytes_},
      {"prefill_tokens", server.prefill_tokens_},
      {"held_tokens", server.held_tokens_},
      {"failures", server.failures_},
      {"suspended_ms",
       std::max<std::int64_t>(0, AgeMs(server.suspended_until_, now))},
      {"error_share", server.error_share_},
      {"mean_ms", server.mean_ms_}};
}

nlohmann::json DumpCall(const dispatch::ActiveCall& call, core::TimePoint now) {
  return {{"request", call.call_.label_},
          {"pool", call.pool_},
          {"organisation", call.organisation_},
          {"rule_line", call.rule_ == nullptr ? 0 : call.rule_->line_},
          {"stage", dispatch::ToString(call.stage_)},
          {"server", call.server_},
          {"attempt", call.attempt_},
          {"hedge_server", call.hedge_.has_value() ? call.hedge_->server_ : ""},
          {"sends", call.sends_},
          {"verdict", core::ToString(call.run_state_)},
          {"age_ms", AgeMs(now, call.arrived_at_)}};
}

// Appends a counter with one value for each rank.
void AppendByRank(std::string& text,
                  const char* name,
                  const std::array<std::uint64_t, admission::kRanks>& values) {
  absl::StrAppend(&text, "# TYPE siskindrum_", name, " counter\n");
  for (std::size_t rank = 0; rank < values.size(); ++rank) {
    absl::StrAppend(&text, "siskindrum_", name, "{rank=\"", rank, "\"} ",
                    values[rank], "\n");
  }
}

// Appends how many slow requests were hedged or not, and why.
void AppendHedgeVerdicts(std::string& text,
                         const dispatch::DispatchCounters& counters) {
  absl::StrAppend(&text, "# TYPE siskindrum_hedge_verdicts_total counter\n");
  for (std::size_t i = 0; i < counters.hedge_verdicts_.size(); ++i) {
    if (counters.hedge_verdicts_[i] > 0) {
      absl::StrAppend(&text, "siskindrum_hedge_verdicts_total{verdict=\"",
                      hedge::ToString(static_cast<hedge::Verdict>(i)), "\"} ",
                      counters.hedge_verdicts_[i], "\n");
    }
  }
}

// Accounts listed in a dump: those with the most refused requests.
constexpr std::size_t kMaxDumpedAccounts = 64;

nlohmann::json DumpAccount(const quota::QuotaState& state,
                           const quota::Account& account,
                           core::TimePoint now) {
  std::int64_t lent = 0;
  for (const auto& [borrower, loan] : account.given_) {
    lent += now < loan.expires_at_ ? loan.share_ppm_ : 0;
  }
  std::int64_t borrowed = 0;
  for (const auto& [lender, loan] : account.taken_) {
    borrowed += now < loan.expires_at_ ? loan.share_ppm_ : 0;
  }
  return {{"share_ppm", quota::SharePpm(state, account, now)},
          {"lent_ppm", lent},
          {"borrowed_ppm", borrowed},
          {"tokens_left", quota::TokensLeft(state, account, now)},
          {"admitted", account.admitted_},
          {"refused", account.refused_}};
}

nlohmann::json DumpQuotas(const quota::QuotaState& state, core::TimePoint now) {
  std::vector<const quota::Account*> accounts;
  for (const auto& [key, account] : state.accounts_) {
    if (!account.name_.empty()) {
      accounts.push_back(&account);
    }
  }
  std::sort(accounts.begin(), accounts.end(), [](const auto* a, const auto* b) {
    return a->refused_ > b->refused_;
  });
  accounts.resize(std::min(accounts.size(), kMaxDumpedAccounts));
  nlohmann::json dump = {{"entries", state.entries_},
                         {"base_ppm", state.base_ppm_},
                         {"limited_organisations", state.quotas_.size()}};
  for (const quota::Account* account : accounts) {
    dump["organisations"][account->name_] = DumpAccount(state, *account, now);
  }
  return dump;
}

// Names of the metrics of what is held for each use.
std::vector<std::string> MemoryNames() {
  constexpr auto kUses = static_cast<std::size_t>(memory::Use::kCount);
  std::vector<std::string> names;
  names.reserve(kUses);
  for (std::size_t i = 0; i < kUses; ++i) {
    names.push_back(absl::StrCat(
        "memory_", memory::ToString(static_cast<memory::Use>(i)), "_bytes"));
  }
  return names;
}

}  // namespace

std::string MetricsText(const telemetry::Metrics& metrics,
                        const dispatch::Dispatcher& dispatcher,
                        const http::PoolCounters& pool,
                        const peer::NodeCounters& peers,
                        const memory::Budget& budget,
                        std::uint64_t memory_refusals) {
  const dispatch::DispatchCounters& counters = dispatcher.counters_;
  std::vector<telemetry::NamedCount> counts{
      {"requests_total", counters.arrived_},
      {"delivered_total", counters.delivered_},
      {"server_errors_total", counters.server_errors_},
      {"failed_not_run_total", counters.refused_not_run_},
      {"failed_may_have_run_total", counters.failed_may_have_run_},
      {"cut_total", counters.cut_},
      {"caller_gone_total", counters.caller_left_},
      {"attempts_total", counters.attempts_},
      {"repeats_total", counters.repeats_},
      {"repeats_denied_total", counters.repeats_denied_},
      {"crash_suspicions_total", counters.suspicions_},
      {"quarantines_total", counters.quarantines_},
      {"quarantined_requests_total", counters.quarantined_},
      {"hedges_total", counters.hedges_},
      {"hedges_won_total", counters.hedges_won_},
      {"silences_endured_total", counters.silences_endured_},
      {"continued_total", counters.resumed_},
      {"streams_taken_up_total", counters.taken_up_},
      {"stream_versions_unknown_total", counters.versions_unknown_},
      {"prefills_elsewhere_total", counters.prefills_elsewhere_},
      {"prefills_direct_total", counters.prefills_direct_},
      {"handles_freed_total", counters.handles_freed_},
      {"reserves_total", counters.reserves_},
      {"reserves_refused_total", counters.reserves_refused_},
      {"waits_total", counters.waits_},
      {"orders_total", counters.orders_},
      {"leaving_announced_total", counters.leaving_announced_},
      {"pauses_asked_total", counters.pauses_asked_},
      {"quota_admitted_total", dispatcher.quota_.counters_.admitted_},
      {"quota_short_total", dispatcher.quota_.counters_.short_},
      {"quota_refused_total", dispatcher.quota_.counters_.refused_},
      {"quota_refunded_total", dispatcher.quota_.counters_.refunded_},
      {"quota_asks_sent_total", dispatcher.quota_.counters_.asks_sent_},
      {"quota_loans_given_total", dispatcher.quota_.counters_.loans_given_},
      {"quota_loans_taken_total", dispatcher.quota_.counters_.loans_taken_},
      {"quota_loans_late_total", dispatcher.quota_.counters_.loans_late_},
      {"quota_loans_returned_total", dispatcher.quota_.counters_.returned_},
      {"connections_opened_total", pool.opened_},
      {"connections_reused_total", pool.reused_},
      {"foreign_answers_total", pool.mismatched_answers_},
      {"peer_messages_sent_total", peers.sent_},
      {"peer_messages_received_total", peers.received_},
      {"peer_messages_failed_total", peers.failed_},
      {"peer_bytes_sent_total", peers.bytes_out_},
      {"peer_bytes_received_total", peers.bytes_in_},
      {"memory_refusals_total", memory_refusals},
      {"memory_budget_bytes", budget.Limit(), telemetry::kGauge},
      {"memory_peak_bytes", budget.Peak(), telemetry::kGauge},
  };
  const std::vector<std::string> memory_names = MemoryNames();
  for (std::size_t i = 0; i < memory_names.size(); ++i) {
    counts.push_back({memory_names[i].c_str(),
                      budget.Used(static_cast<memory::Use>(i)),
                      telemetry::kGauge});
  }
  std::vector<std::string> names(counters.failed_by_reason_.size());
  for (std::size_t i = 1; i < names.size(); ++i) {
    names[i] = absl::StrCat(
        "failed_", core::ToString(static_cast<core::Reason>(i)), "_total");
    counts.push_back({names[i].c_str(), counters.failed_by_reason_[i]});
  }
  std::string text = metrics.ToText(counts);
  AppendHedgeVerdicts(text, counters);
  AppendByRank(text, "ranked_waits_total", counters.waits_by_rank_);
  AppendByRank(text, "ranked_grants_total", counters.granted_by_rank_);
  AppendByRank(text, "ranked_refusals_total", counters.refused_by_rank_);
  return text;
}

std::string DumpText(const dispatch::Dispatcher& dispatcher,
                     core::TimePoint now) {
  const core::Configuration* configuration =
      dispatcher.configuration_.current_.get();
  nlohmann::json dump = {
      {"name", dispatcher.options_.name_},
      {"domain", dispatcher.options_.domain_},
      {"ready", dispatcher.ready_},
      {"draining", dispatcher.drain_.has_value()},
      {"revision", configuration == nullptr ? 0 : configuration->revision_},
      {"list_version", core::ToString(dispatcher.list_version_)},
      {"rules", configuration == nullptr
                    ? ""
                    : rules::HideKeys(configuration->rules_.text_)},
      {"organisations", configuration == nullptr
                            ? 0
                            : configuration->rules_.organisations_.size()},
      {"confirmed_ms", dispatcher.confirmation_.at_ == core::TimePoint{}
                           ? -1
                           : AgeMs(now, dispatcher.confirmation_.at_)}};
  for (const auto& [name, member] : dispatcher.peers_.membership_.members_) {
    dump["entries"][name] = {
        {"address", member.row_.address_},
        {"revision", member.row_.revision_},
        {"list_version", core::ToString(member.row_.list_version_)},
        {"heard_ms", AgeMs(now, member.advanced_at_)}};
  }
  for (const auto& [name, server] : dispatcher.pool_.servers_) {
    dump["servers"][name] = DumpServer(dispatcher.pool_, server, now);
  }
  if (!dispatcher.quota_.quotas_.empty()) {
    dump["quotas"] = DumpQuotas(dispatcher.quota_, now);
  }
  for (const auto& [id, call] : dispatcher.calls_) {
    dump["requests"].push_back(DumpCall(call, now));
  }
  return core::ToJsonText(std::move(dump), 2) + "\n";
}

std::string ExplainText(const dispatch::Dispatcher& dispatcher,
                        const std::string& label) {
  const core::DecisionRecord* record =
      dispatch::FindDecision(dispatcher, label);
  if (record == nullptr) {
    return absl::StrCat("Request ", core::ToLine(label),
                        " is not known here.\n");
  }
  return rules::ExplainDecision(*record);
}

OperatorPage MakeOperatorPage(
    const std::string& target,
    const std::function<std::string(const std::string&)>& write,
    const std::function<void(core::LogEvent)>& log) {
  std::string text;
  const bool written =
      core::RunGuarded("operator_call", log, [&] { text = write(target); });
  if (!written) {
    log({"operator_call_failed", {{"target", target}}});
    return {500, "the page cannot be written; see the log\n"};
  }
  if (text.empty()) {
    return {
        404,
        "expected /metrics, /dump, /explain?request=ID or /where?path=PATH\n"};
  }
  return {200, std::move(text)};
}

}  // namespace siskindrum::gateway
