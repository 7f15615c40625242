// Baseline policies for comparison: each entry places requests without
// coordination with its peers.

#include <algorithm>

#include "router_p.h"
#include "siskindrum/core/limits.h"

namespace siskindrum::core {

namespace {

std::vector<Server*> Eligible(EventContext& context,
                              const Request& request,
                              ServerRole role) {
  std::vector<Server*> servers;
  for (auto& [name, server] : context.router_.fleet_.servers_) {
    const ServerInfo& info = server.info_;
    const auto& avoid = request.need_.avoid_;
    const bool avoided =
        std::find(avoid.begin(), avoid.end(), name) != avoid.end();
    if (info.service_ == request.pool_ &&
        (info.role_ == role || info.role_ == ServerRole::kMixed) && !avoided &&
        IsUsable(server, context.now_.steady_)) {
      servers.push_back(&server);
    }
  }
  return servers;
}

double ReportedLoad(const Server& server, ServerRole role) {
  if (role == ServerRole::kPrefill) {
    return server.load_.prefill_backlog_tokens_;
  }
  return server.load_.running_;
}

Server* Choose(EventContext& context, const Request& request, ServerRole role) {
  Router& router = context.router_;
  const std::vector<Server*> servers = Eligible(context, request, role);
  if (servers.empty()) {
    return nullptr;
  }
  const std::size_t count = servers.size();
  if (router.options_.policy_ == Policy::kRoundRobin) {
    const std::string turn = request.pool_ + ToString(role);
    return servers[router.round_robin_[turn]++ % count];
  }
  if (router.options_.policy_ == Policy::kTwoChoices) {
    Server* a = servers[router.random_() % count];
    Server* b = servers[router.random_() % count];
    return ReportedLoad(*a, role) <= ReportedLoad(*b, role) ? a : b;
  }
  return *std::min_element(
      servers.begin(), servers.end(), [&](const Server* a, const Server* b) {
        return ReportedLoad(*a, role) < ReportedLoad(*b, role);
      });
}

}  // namespace

void PlaceByBaseline(EventContext& context, Request& request) {
  Placement placement;
  Server* decode = Choose(context, request, ServerRole::kDecode);
  Server* prefill = request.need_.decode_only_
                        ? nullptr
                        : Choose(context, request, ServerRole::kPrefill);
  if (decode == nullptr ||
      (prefill == nullptr && !request.need_.decode_only_)) {
    Verdict verdict;
    verdict.run_state_ = request.run_state_;
    verdict.reason_ = Reason::kNoServer;
    FailRequest(context, request, std::move(verdict));
    return;
  }
  placement.decode_ = decode->info_.name_;
  if (prefill != nullptr) {
    placement.prefill_ = prefill->info_.name_;
  }
  OnGranted(context, request, placement, "", "");
}

}  // namespace siskindrum::core
