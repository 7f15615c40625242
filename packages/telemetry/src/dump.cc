#include "siskindrum/telemetry/dump.h"

#include <nlohmann/json.hpp>

#include "siskindrum/core/json_text.h"

namespace siskindrum::telemetry {

namespace {

using Json = nlohmann::json;
using core::Router;

std::int64_t AgeMs(core::TimePoint then, core::TimePoint now) {
  return then == core::TimePoint{} ? -1 : core::ToMilliseconds(now - then);
}

Json DumpServers(const Router& router, core::TimePoint now) {
  Json rows = Json::array();
  for (const auto& [name, server] : router.fleet_.servers_) {
    rows.push_back({{"name", name},
                    {"address", server.info_.address_},
                    {"service", server.info_.service_},
                    {"domain", server.info_.domain_},
                    {"role", core::ToString(server.info_.role_)},
                    {"leaving", server.info_.leaving_},
                    {"usable", core::IsUsable(server, now)},
                    {"holds", server.holds_.size()},
                    {"foreign", server.external_requests_},
                    {"free_slots", core::FreeSlots(server)},
                    {"running", server.load_.running_},
                    {"load_age_ms", AgeMs(server.load_at_, now)},
                    {"failures", server.failures_},
                    {"mean_hold_seconds", server.mean_hold_seconds_}});
  }
  return rows;
}

Json DumpCells(const Router& router) {
  Json rows = Json::array();
  for (const auto& [name, cell] : router.fleet_.cells_) {
    const auto queue = router.queues_.find(name);
    rows.push_back(
        {{"name", name},
         {"home", cell.home_},
         {"servers", cell.servers_},
         {"waiting",
          queue == router.queues_.end() ? 0 : queue->second.waiting_.size()}});
  }
  return rows;
}

Json DumpMembers(const Router& router, core::TimePoint now) {
  Json rows = Json::array();
  for (const auto& [name, member] : router.membership_.members_) {
    rows.push_back({{"name", name},
                    {"address", member.row_.address_},
                    {"domain", member.row_.domain_},
                    {"incarnation", member.row_.incarnation_},
                    {"revision", member.row_.revision_},
                    {"live", core::IsLive(router.membership_, member, now)},
                    {"listed", member.listed_},
                    {"leaving", member.row_.leaving_},
                    {"heard_age_ms",
                     member.heard_ ? AgeMs(member.advanced_at_, now) : -1}});
  }
  return rows;
}

Json DumpRequests(const Router& router, core::TimePoint now) {
  static constexpr const char* kStates[] = {
      "placing",       "waiting",   "prefilling",  "decoding",
      "sending_plain", "forwarded", "waiting_call"};
  Json rows = Json::array();
  for (const auto& [id, request] : router.requests_) {
    rows.push_back({{"request", core::ToString(id)},
                    {"state", kStates[static_cast<int>(request.state_)]},
                    {"organisation", request.shape_.organisation_},
                    {"rule_line", request.rule_->line_},
                    {"attempt", request.attempt_},
                    {"prefill", request.placement_.prefill_},
                    {"decode", request.placement_.decode_},
                    {"home", request.home_},
                    {"age_ms", AgeMs(request.arrived_at_, now)}});
  }
  return rows;
}

Json DumpCalls(const core::CallLedger& calls) {
  std::array<std::size_t, static_cast<std::size_t>(core::CallState::kCount)>
      counts{};
  for (const auto& [key, record] : calls.records_) {
    ++counts[static_cast<std::size_t>(record.state_)];
  }
  return {{"seat", calls.seat_},
          {"floor_unix_ms", calls.floor_.time_since_epoch().count()},
          {"closed_intervals", calls.closed_.size()},
          {"sending", counts[0]},
          {"answered", counts[1]},
          {"unknown", counts[2]},
          {"not_sent", counts[3]}};
}

Json DumpConfiguration(const Router& router, core::TimePoint now) {
  const core::ConfigurationState& state = router.configuration_;
  const bool known = state.current_ != nullptr;
  return {{"revision", known ? state.current_->revision_ : 0},
          {"digest", known ? state.current_->digest_ : 0},
          {"age_ms", AgeMs(state.changed_at_, now)},
          {"heard_revision", state.heard_revision_},
          {"stale_offers", state.stale_offers_},
          {"conflicts", state.conflicts_},
          {"refused_revision", state.refused_revision_},
          {"refused_error", state.refused_error_}};
}

}  // namespace

std::string DumpRouter(const Router& router, const core::Now& now) {
  const core::TimePoint at = now.steady_;
  Json dump = {
      {"name", router.options_.name_},
      {"domain", router.options_.domain_},
      {"incarnation", router.options_.incarnation_},
      {"ready", core::IsReady(router)},
      {"draining", router.draining_},
      {"watching", router.watching_},
      {"replaced", router.membership_.replaced_},
      {"uptime_ms", AgeMs(router.started_at_, at)},
      {"list_version", core::ToString(router.list_version_)},
      {"live_entries", router.live_entries_},
      {"configuration", DumpConfiguration(router, at)},
      {"members", DumpMembers(router, at)},
      {"cells", DumpCells(router)},
      {"servers", DumpServers(router, at)},
      {"requests", DumpRequests(router, at)},
      {"calls", DumpCalls(router.calls_)},
      {"pending_cancels", router.cancels_.size()},
      {"retry_budget", router.retry_budget_.tokens_},
  };
  return core::ToJsonText(std::move(dump), 2) + "\n";
}

}  // namespace siskindrum::telemetry
