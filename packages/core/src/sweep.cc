// Engine memory of requests that are gone: cancels that are repeated until
// acknowledged, and holds found at engines whose owner no longer stands for
// them.

#include <algorithm>
#include <map>

#include "router_p.h"
#include "siskindrum/core/limits.h"

namespace siskindrum::core {

namespace {

void SendCancel(Step& step, const CancelKey& key, PendingCancel& pending) {
  pending.last_ = step.now_.steady_;
  ++step.router_.counters_.cancels_sent_;
  Emit(step, CancelAt{key.request_, key.server_, pending.address_});
}

void Sweep(Step& step,
           const std::string& server,
           const HeldRequest& held,
           const char* why) {
  ++step.router_.counters_.swept_;
  Log(step, "hold_swept",
      {{"request", ToString(held.request_)},
       {"server", server},
       {"owner", held.owner_},
       {"why", why}});
  CancelRequestAt(step, held.request_, server);
}

enum class OwnerView { kStands, kGone, kDenies, kAsk, kUnreachable };

OwnerView ViewOwner(Step& step, const HeldRequest& held) {
  Router& router = step.router_;
  const Incarnation incarnation = held.request_.incarnation_;
  if (incarnation == router.options_.incarnation_) {
    return router.requests_.contains(held.request_) ? OwnerView::kStands
                                                    : OwnerView::kDenies;
  }
  if (IsProvedGone(router.membership_, held.owner_, incarnation)) {
    return OwnerView::kGone;
  }
  const auto member = router.membership_.members_.find(held.owner_);
  const bool reachable =
      member != router.membership_.members_.end() &&
      IsHeard(router.membership_, member->second, step.now_.steady_);
  return reachable ? OwnerView::kAsk : OwnerView::kUnreachable;
}

void CheckHeld(Step& step,
               const std::string& server,
               const LoadReport& report) {
  std::map<std::string, std::vector<RequestId>> to_ask;
  const Server& state = step.router_.fleet_.servers_.at(server);
  for (const HeldRequest& held : report.held_) {
    const auto hold = state.holds_.find(held.request_);
    const bool recent = hold != state.holds_.end() &&
                        step.now_.steady_ - hold->second.since_ < kSweepGrace;
    switch (ViewOwner(step, held)) {
      case OwnerView::kDenies:
        Sweep(step, server, held, "this entry no longer stands for it");
        break;
      case OwnerView::kGone:
        Sweep(step, server, held, "its entry was replaced");
        break;
      case OwnerView::kAsk:
        if (!recent) {
          to_ask[held.owner_].push_back(held.request_);
        }
        break;
      case OwnerView::kStands:
      case OwnerView::kUnreachable:
        // Unreachable is not gone: the engine's own hold limit is the bound.
        break;
    }
  }
  for (auto& [owner, requests] : to_ask) {
    Tell(step, owner, OwnerQuery{server, std::move(requests)});
  }
}

}  // namespace

void CancelRequestAt(Step& step,
                     const RequestId& request,
                     const std::string& server) {
  Router& router = step.router_;
  const auto it = router.fleet_.servers_.find(server);
  if (it == router.fleet_.servers_.end()) {
    return;
  }
  const CancelKey key{request, server};
  const auto [pending, is_new] = router.cancels_.try_emplace(key);
  if (is_new) {
    pending->second.address_ = it->second.info_.address_;
    pending->second.first_ = step.now_.steady_;
    SendCancel(step, key, pending->second);
  }
}

void OnCancelEnded(Step& step, const CancelEnded& event) {
  if (event.acknowledged_) {
    step.router_.cancels_.erase(CancelKey{event.request_, event.server_});
  }
}

void RepeatCancels(Step& step) {
  Router& router = step.router_;
  const TimePoint now = step.now_.steady_;
  for (auto it = router.cancels_.begin(); it != router.cancels_.end();) {
    PendingCancel& pending = it->second;
    if (now - pending.first_ > kCancelGiveUp) {
      it = router.cancels_.erase(it);
      continue;
    }
    if (now - pending.last_ > kCancelRetry) {
      SendCancel(step, it->first, pending);
    }
    ++it;
  }
}

void OnLoadSeen(Step& step, const LoadSeen& event) {
  Router& router = step.router_;
  const TimePoint now = step.now_.steady_;
  const auto it = router.fleet_.servers_.find(event.server_);
  if (it == router.fleet_.servers_.end()) {
    return;
  }
  if (!event.report_.has_value()) {
    NoteFailure(router.fleet_, event.server_, now);
    return;
  }
  const bool was_draining = it->second.load_.draining_;
  const bool was_down = it->second.suspended_until_ > now;
  ApplyLoadReport(router.fleet_, event.server_, *event.report_, now);
  if (was_down) {
    // It answers again: try it, and let the next failure suspend it anew.
    it->second.suspended_until_ = now;
  }
  if (event.report_->draining_ && !was_draining) {
    Log(step, "server_leaving", {{"server", event.server_}});
    GossipNow(step);
  }
  if (!IsSettling(step)) {
    CheckHeld(step, event.server_, *event.report_);
  }
}

void OnOwnerQuery(Step& step, const std::string& from, const OwnerQuery& m) {
  OwnerAnswer answer{m.server_, {}};
  for (const RequestId& id : m.requests_) {
    // A newer incarnation's requests are not ours to deny.
    const Incarnation own = step.router_.options_.incarnation_;
    const bool denied =
        id.incarnation_ < own ||
        (id.incarnation_ == own && !step.router_.requests_.contains(id));
    if (denied) {
      answer.denied_.push_back(id);
    }
  }
  if (!answer.denied_.empty()) {
    Tell(step, from, std::move(answer));
  }
}

void OnOwnerAnswer(Step& step, const OwnerAnswer& message) {
  if (IsSettling(step)) {
    return;
  }
  for (const RequestId& id : message.denied_) {
    Sweep(step, message.server_, HeldRequest{id, "", {}},
          "its owner denied it");
    ReleaseSlot(step.router_.fleet_, message.server_, id, step.now_.steady_);
  }
}

void SweepHolds(Step& step) {
  Router& router = step.router_;
  if (IsSettling(step)) {
    return;
  }
  for (auto& [name, server] : router.fleet_.servers_) {
    std::vector<RequestId> gone;
    for (const auto& [id, hold] : server.holds_) {
      if (IsProvedGone(router.membership_, hold.owner_name_, hold.owner_)) {
        gone.push_back(id);
      }
    }
    for (const RequestId& id : gone) {
      ReleaseSlot(router.fleet_, name, id, step.now_.steady_);
    }
  }
}

}  // namespace siskindrum::core
