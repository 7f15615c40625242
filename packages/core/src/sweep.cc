// Frees engine memory of requests that have ended: retries cancels until they
// are acknowledged, and cancels requests that an engine still holds although
// the entry that owns them no longer knows them.

#include <algorithm>
#include <map>

#include "router_p.h"
#include "siskindrum/core/limits.h"

namespace siskindrum::core {

namespace {

void SendCancel(EventContext& context,
                const CancelKey& key,
                PendingCancel& pending) {
  pending.last_ = context.now_.steady_;
  ++context.router_.counters_.cancels_sent_;
  Emit(context, CancelOnServer{key.request_, key.server_, pending.address_});
}

void CancelOrphan(EventContext& context,
                  const std::string& server,
                  const HeldRequest& held,
                  const char* why) {
  ++context.router_.counters_.swept_;
  Log(context, "hold_swept",
      {{"request", ToString(held.request_)},
       {"server", server},
       {"owner", held.owner_},
       {"why", why}});
  CancelRequestAt(context, held.request_, server);
}

enum class OwnerStatus { kActive, kGone, kNotHeld, kQuery, kUnreachable };

OwnerStatus FindOwnerStatus(EventContext& context, const HeldRequest& held) {
  Router& router = context.router_;
  const Incarnation incarnation = held.request_.incarnation_;
  if (incarnation == router.options_.incarnation_) {
    return router.requests_.contains(held.request_) ? OwnerStatus::kActive
                                                    : OwnerStatus::kNotHeld;
  }
  if (IsReplacedIncarnation(router.membership_, held.owner_, incarnation)) {
    return OwnerStatus::kGone;
  }
  const auto member = router.membership_.members_.find(held.owner_);
  const bool reachable =
      member != router.membership_.members_.end() &&
      IsHeard(router.membership_, member->second, context.now_.steady_);
  return reachable ? OwnerStatus::kQuery : OwnerStatus::kUnreachable;
}

void CheckHeld(EventContext& context,
               const std::string& server,
               const LoadReport& report) {
  std::map<std::string, std::vector<RequestId>> to_query;
  const Server& state = context.router_.fleet_.servers_.at(server);
  for (const HeldRequest& held : report.held_) {
    const auto hold = state.holds_.find(held.request_);
    const bool recent =
        hold != state.holds_.end() &&
        context.now_.steady_ - hold->second.since_ < kUnclaimedHoldGrace;
    switch (FindOwnerStatus(context, held)) {
      case OwnerStatus::kNotHeld:
        CancelOrphan(context, server, held, "unknown to its owner, this entry");
        break;
      case OwnerStatus::kGone:
        CancelOrphan(context, server, held, "its owner was replaced");
        break;
      case OwnerStatus::kQuery:
        if (!recent) {
          to_query[held.owner_].push_back(held.request_);
        }
        break;
      case OwnerStatus::kActive:
      case OwnerStatus::kUnreachable:
        // An unreachable owner may still be alive: leave the request to the
        // engine's own hold timeout.
        break;
    }
  }
  for (auto& [owner, requests] : to_query) {
    SendToPeer(context, owner, OwnerQuery{server, std::move(requests)});
  }
}

}  // namespace

void CancelRequestAt(EventContext& context,
                     const RequestId& request,
                     const std::string& server) {
  Router& router = context.router_;
  const auto it = router.fleet_.servers_.find(server);
  if (it == router.fleet_.servers_.end()) {
    return;
  }
  const CancelKey key{request, server};
  const auto [pending, is_new] = router.cancels_.try_emplace(key);
  if (is_new) {
    pending->second.address_ = it->second.info_.address_;
    pending->second.first_ = context.now_.steady_;
    SendCancel(context, key, pending->second);
  }
}

void OnCancelEnded(EventContext& context, const CancelEnded& event) {
  if (event.acknowledged_) {
    context.router_.cancels_.erase(CancelKey{event.request_, event.server_});
  }
}

void RetryCancels(EventContext& context) {
  Router& router = context.router_;
  const TimePoint now = context.now_.steady_;
  for (auto it = router.cancels_.begin(); it != router.cancels_.end();) {
    PendingCancel& pending = it->second;
    if (now - pending.first_ > kCancelTimeout) {
      it = router.cancels_.erase(it);
      continue;
    }
    if (now - pending.last_ > kCancelRetryInterval) {
      SendCancel(context, it->first, pending);
    }
    ++it;
  }
}

void OnLoadReportArrived(EventContext& context,
                         const LoadReportArrived& event) {
  Router& router = context.router_;
  const TimePoint now = context.now_.steady_;
  const auto it = router.fleet_.servers_.find(event.server_);
  if (it == router.fleet_.servers_.end()) {
    return;
  }
  if (!event.report_.has_value()) {
    RecordServerFailure(router.fleet_, event.server_, now);
    return;
  }
  const bool was_draining = it->second.load_.draining_;
  const bool was_down = it->second.suspended_until_ > now;
  ApplyLoadReport(router.fleet_, event.server_, *event.report_, now);
  if (was_down) {
    // The server answers again: end its suspension but keep the failure count,
    // so that the next failure suspends it for longer.
    it->second.suspended_until_ = now;
  }
  if (event.report_->draining_ && !was_draining) {
    Log(context, "server_leaving", {{"server", event.server_}});
    SendGossip(context);
  }
  if (!IsSettling(context)) {
    CheckHeld(context, event.server_, *event.report_);
  }
}

void OnOwnerQuery(EventContext& context,
                  const std::string& from,
                  const OwnerQuery& m) {
  OwnerAnswer answer{m.server_, {}};
  for (const RequestId& id : m.requests_) {
    // Requests of a newer incarnation are unknown here and not denied.
    const Incarnation own = context.router_.options_.incarnation_;
    const bool denied =
        id.incarnation_ < own ||
        (id.incarnation_ == own && !context.router_.requests_.contains(id));
    if (denied) {
      answer.denied_.push_back(id);
    }
  }
  if (!answer.denied_.empty()) {
    SendToPeer(context, from, std::move(answer));
  }
}

void OnOwnerAnswer(EventContext& context, const OwnerAnswer& message) {
  if (IsSettling(context)) {
    return;
  }
  for (const RequestId& id : message.denied_) {
    CancelOrphan(context, message.server_, HeldRequest{id, "", {}},
                 "unknown to its owner");
    ReleaseSlot(context.router_.fleet_, message.server_, id,
                context.now_.steady_);
  }
}

void ReleaseOrphanedHolds(EventContext& context) {
  Router& router = context.router_;
  if (IsSettling(context)) {
    return;
  }
  for (auto& [name, server] : router.fleet_.servers_) {
    std::vector<RequestId> gone;
    for (const auto& [id, hold] : server.holds_) {
      if (IsReplacedIncarnation(router.membership_, hold.owner_name_,
                                hold.owner_)) {
        gone.push_back(id);
      }
    }
    for (const RequestId& id : gone) {
      ReleaseSlot(router.fleet_, name, id, context.now_.steady_);
    }
  }
}

}  // namespace siskindrum::core
