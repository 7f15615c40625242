#include "operators_p.h"

#include <chrono>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
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
          {"rule_line", call.rule_ == nullptr ? 0 : call.rule_->line_},
          {"stage", dispatch::ToString(call.stage_)},
          {"server", call.server_},
          {"attempt", call.attempt_},
          {"sends", call.sends_},
          {"verdict", core::ToString(call.run_state_)},
          {"age_ms", AgeMs(now, call.arrived_at_)}};
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
      {"silences_endured_total", counters.silences_endured_},
      {"continued_total", counters.resumed_},
      {"prefills_elsewhere_total", counters.prefills_elsewhere_},
      {"prefills_direct_total", counters.prefills_direct_},
      {"handles_freed_total", counters.handles_freed_},
      {"reserves_total", counters.reserves_},
      {"reserves_refused_total", counters.reserves_refused_},
      {"waits_total", counters.waits_},
      {"orders_total", counters.orders_},
      {"leaving_announced_total", counters.leaving_announced_},
      {"pauses_asked_total", counters.pauses_asked_},
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
  const std::vector<std::string> names = MemoryNames();
  counts.reserve(counts.size() + names.size());
  for (std::size_t i = 0; i < names.size(); ++i) {
    counts.push_back({names[i].c_str(),
                      budget.Used(static_cast<memory::Use>(i)),
                      telemetry::kGauge});
  }
  return metrics.ToText(counts);
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
      {"list_version", dispatcher.list_version_},
      {"rules", configuration == nullptr ? "" : configuration->rules_.text_}};
  for (const auto& [name, member] : dispatcher.peers_.membership_.members_) {
    dump["entries"][name] = {{"address", member.row_.address_},
                             {"revision", member.row_.revision_},
                             {"list_version", member.row_.list_version_},
                             {"heard_ms", AgeMs(now, member.advanced_at_)}};
  }
  for (const auto& [name, server] : dispatcher.pool_.servers_) {
    dump["servers"][name] = DumpServer(dispatcher.pool_, server, now);
  }
  for (const auto& [id, call] : dispatcher.calls_) {
    dump["requests"].push_back(DumpCall(call, now));
  }
  return dump.dump(2) + "\n";
}

std::string ExplainText(const dispatch::Dispatcher& dispatcher,
                        const std::string& label) {
  const core::DecisionRecord* record =
      dispatch::FindDecision(dispatcher, label);
  if (record == nullptr) {
    return absl::StrCat("Request ", label, " is not known here.\n");
  }
  return rules::ExplainDecision(*record);
}

}  // namespace siskindrum::gateway
