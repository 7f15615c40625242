// Measures what a decision costs, by the size of a failure domain.

#include <chrono>
#include <iostream>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "commands_p.h"
#include "siskindrum/core/router.h"
#include "siskindrum/rules/rules.h"

namespace siskindrum::ctl {

namespace {

constexpr int kRequests = 20000;
constexpr char kRules[] =
    "when model=m then pool=svc first_token=2s  # asked by the measurement\n"
    "default then refuse  # asked by the measurement\n";

// One entry that is home to all servers of a failure domain.
core::Router MakeHome(std::size_t servers, core::Now& now) {
  core::RouterOptions options;
  options.name_ = "entry";
  options.domain_ = "d";
  options.incarnation_ = 1;
  core::Router router = core::MakeRouter(options, now);
  core::InstanceListArrived list;
  list.version_ = 1;
  for (std::size_t i = 0; i < servers; ++i) {
    const auto role =
        i % 3 == 0 ? core::ServerRole::kPrefill : core::ServerRole::kDecode;
    list.servers_.push_back(
        {absl::StrCat("s", i), "127.0.0.1:1", "svc", "d", role, false});
  }
  std::vector<core::RouterAction> actions;
  core::HandleEvent(router, list, now, actions);
  core::HandleEvent(router,
                    core::ConfigurationArrived{
                        *rules::MakeConfiguration(1, kRules), "service"},
                    now, actions);
  now.steady_ += std::chrono::seconds(3);
  core::HandleEvent(router, core::Tick{}, now, actions);
  core::LoadReport report;
  report.slots_ = 20;
  for (const core::ServerInfo& info : list.servers_) {
    core::HandleEvent(router, core::LoadReportArrived{info.name_, report}, now,
                      actions);
  }
  return router;
}

// Serves one request from arrival to end; returns false when it was refused.
bool ServeOne(core::Router& router, const core::Now& now) {
  std::vector<core::RouterAction> actions;
  core::RequestArrived arrived;
  arrived.request_ = core::NextRequestId(router);
  arrived.shape_.model_ = "m";
  arrived.shape_.prompt_tokens_ = 10;
  arrived.shape_.max_tokens_ = 10;
  core::HandleEvent(router, arrived, now, actions);
  core::PrefillEnded prefill;
  prefill.request_ = arrived.request_;
  prefill.ok_ = true;
  prefill.hold_ = core::Milliseconds(800);
  core::HandleEvent(router, prefill, now, actions);
  core::DecodeEnded decode;
  decode.request_ = arrived.request_;
  decode.ok_ = true;
  core::HandleEvent(router, decode, now, actions);
  return core::FindDecision(router, arrived.request_)->outcome_ == "answered";
}

}  // namespace

int CostCommand(const Arguments&) {
  std::cout << "servers  ns a request (arrival, prefill end, decode end)\n";
  for (const std::size_t servers : {12U, 120U, 625U}) {
    core::Now now{core::TimePoint{} + std::chrono::hours(1),
                  core::WallTime(std::chrono::seconds(1'700'000'000))};
    core::Router router = MakeHome(servers, now);
    int served = 0;
    const auto begun = std::chrono::steady_clock::now();
    for (int i = 0; i < kRequests; ++i) {
      now.steady_ += core::Milliseconds(1);
      served += ServeOne(router, now) ? 1 : 0;
    }
    const auto spent = std::chrono::steady_clock::now() - begun;
    std::cout << absl::StrFormat(
        "%7d  %6d  (%d of %d answered)\n", servers,
        std::chrono::duration_cast<core::Nanoseconds>(spent).count() /
            kRequests,
        served, kRequests);
  }
  return kExitGood;
}

}  // namespace siskindrum::ctl
