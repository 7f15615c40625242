#include "siskindrum/core/router.h"

#include <algorithm>

#include "router_p.h"
#include "siskindrum/core/hash.h"
#include "siskindrum/core/limits.h"
#include "siskindrum/core/overloaded.h"

namespace siskindrum::core {

namespace {

void OnPeerSeen(Step& step, const PeerMessage& message) {
  ++step.router_.counters_.peer_messages_;
  const std::string& from = message.from_;
  std::visit(
      Overloaded{
          [&](const Gossip& m) { OnGossip(step, from, m); },
          [&](const ConfigurationRequest& m) {
            OnConfigurationRequest(step, from, m);
          },
          // The text is parsed outside the core and comes back as
          // ConfigurationArrived.
          [](const ConfigurationBody&) {},
          [&](const ListRequest& m) { OnListRequest(step, from, m); },
          [&](const ListBody& m) { OnListBody(step, from, m); },
          [&](const LeaseRequest& m) { OnLeaseRequest(step, from, m); },
          [&](const LeaseQueued& m) { OnLeaseQueued(step, m); },
          [&](const LeaseGrant& m) { OnLeaseGrant(step, from, m); },
          [&](const LeaseRefusal& m) { OnLeaseRefuse(step, m); },
          [&](const LeaseRelease& m) { OnLeaseRelease(step, m); },
          [&](const OwnerQuery& m) { OnOwnerQuery(step, from, m); },
          [&](const OwnerAnswer& m) { OnOwnerAnswer(step, m); },
          [&](const CallForward& m) { OnCallForward(step, from, m); },
          [&](const CallAnswer& m) { OnCallAnswer(step, m); },
          [&](const SeatHandover& m) { OnSeatClosing(step, m); },
          [&](const SeatHandoverRequest& m) { OnSeatQuery(step, from, m); },
          [](const EngineUseReport&) {},  // A home counts its servers itself.
      },
      message.body_);
}

void OnPeerSendFailed(Step& step, const PeerSendFailed& event) {
  if (const auto* lease = std::get_if<LeaseRequest>(&event.body_)) {
    const Request* request = FindRequest(step.router_, lease->need_.request_);
    if (request != nullptr && !request->asked_home_.empty()) {
      // Homes are given anew at once, not after the time of suspicion.
      MarkUnreachable(step.router_.membership_, request->asked_home_,
                      step.now_.steady_);
      RefreshHomes(step);
    }
    OnLeaseSendFailed(step, *lease);
  } else if (const auto* call = std::get_if<CallForward>(&event.body_)) {
    OnForwardFailed(step, *call, event.verdict_);
  }
}

void OnConfigurationRefused(Step& step, const ConfigurationRefused& event) {
  ConfigurationState& state = step.router_.configuration_;
  state.refused_revision_ = event.revision_;
  state.refused_error_ = event.error_;
  Log(step, "configuration_refused",
      {{"revision", std::to_string(event.revision_)},
       {"source", event.source_},
       {"error", event.error_}});
}

void OnDrainAsked(Step& step) {
  Router& router = step.router_;
  if (router.draining_) {
    return;
  }
  router.draining_ = true;
  router.membership_.self_.leaving_ = true;
  Log(step, "drain_started",
      {{"requests", std::to_string(router.requests_.size())}});
  GossipNow(step);
  RefreshHomes(step);
  WithdrawAll(step);
}

void FinishDrain(Step& step) {
  Router& router = step.router_;
  if (!router.draining_ || router.drained_ || !router.requests_.empty()) {
    return;
  }
  CloseSeat(step);
  router.drained_ = true;
  Log(step, "drain_finished", {});
  Emit(step, Drained{});
}

// A pause of this process: what it believes is old.
void CheckFreeze(Step& step) {
  Router& router = step.router_;
  const TimePoint now = step.now_.steady_;
  const bool first = router.last_tick_ == TimePoint{};
  if (!first && now - router.last_tick_ > kPauseThreshold) {
    ++router.counters_.freezes_;
    router.settle_until_ = now + kSettleTimeAfterPause;
    Log(step, "process_was_paused",
        {{"gap_ms", std::to_string(ToMilliseconds(now - router.last_tick_))}});
    GossipNow(step);
  }
  router.last_tick_ = now;
}

void OnTick(Step& step) {
  Router& router = step.router_;
  const TimePoint now = step.now_.steady_;
  CheckFreeze(step);
  EndStart(step);
  if (now >= router.next_gossip_) {
    GossipNow(step);
    RefreshHomes(step);
  }
  if (now >= router.next_relay_) {
    RelayNow(step);
  }
  CheckAsked(step);
  CheckForwards(step);
  PumpAll(step);
  RepeatCancels(step);
  if (now >= router.next_sweep_) {
    router.next_sweep_ = now + kSweepInterval;
    SweepHolds(step);
    AskClosings(step);
    TrimCalls(router.calls_, step.now_);
  }
  FinishDrain(step);
}

}  // namespace

const char* ToString(Policy policy) {
  static constexpr const char* kNames[] = {"cell_home", "round_robin",
                                           "least_load", "two_choices"};
  return kNames[static_cast<int>(policy)];
}

void Emit(Step& step, RouterAction action) {
  step.actions_.push_back(std::move(action));
}

void Log(Step& step, const std::string& event, std::vector<LogField> fields) {
  Emit(step, LogEvent{event, std::move(fields)});
}

bool IsSettling(const Step& step) {
  return step.now_.steady_ < step.router_.settle_until_;
}

void Tell(Step& step, const std::string& peer, PeerBody body) {
  const auto it = step.router_.membership_.members_.find(peer);
  if (it == step.router_.membership_.members_.end() ||
      it->second.row_.address_.empty()) {
    return;
  }
  Emit(step, SendPeerMessage{peer, it->second.row_.address_, std::move(body)});
}

Router MakeRouter(const RouterOptions& options, const Now& now) {
  Router router;
  router.options_ = options;
  router.random_.seed(options.seed_ ^ Hash64(options.name_));
  MemberRow& self = router.membership_.self_;
  self.name_ = options.name_;
  self.domain_ = options.domain_;
  self.address_ = options.peer_address_;
  self.incarnation_ = options.incarnation_;
  router.calls_.floor_ = InitialFloor(now.wall_);
  router.started_at_ = now.steady_;
  return router;
}

void HandleEvent(Router& router,
                 const Event& event,
                 const Now& now,
                 std::vector<RouterAction>& actions) {
  Step step{router, now, actions};
  std::visit(
      Overloaded{
          [&](const RequestArrived& e) { OnArrived(step, e); },
          [&](const CallerGone& e) { OnCallerGone(step, e); },
          [&](const PrefillEnded& e) { OnPrefillEnded(step, e); },
          [&](const FirstToken& e) { OnFirstToken(step, e); },
          [&](const DecodeEnded& e) { OnDecodeEnded(step, e); },
          [&](const PlainEnded& e) { OnPlainEnded(step, e); },
          [&](const LoadReportArrived& e) { OnLoadSeen(step, e); },
          [&](const CancelEnded& e) { OnCancelEnded(step, e); },
          [&](const InstanceListArrived& e) { OnListSeen(step, e, "service"); },
          [&](const ConfigurationArrived& e) { OnConfigurationSeen(step, e); },
          [&](const ConfigurationRefused& e) {
            OnConfigurationRefused(step, e);
          },
          [&](const PeerMessageArrived& e) { OnPeerSeen(step, e.message_); },
          [&](const PeerSendFailed& e) { OnPeerSendFailed(step, e); },
          [&](const DrainRequested&) { OnDrainAsked(step); },
          [&](const Tick&) { OnTick(step); },
      },
      event);
}

RequestId NextRequestId(Router& router) {
  return {router.options_.incarnation_, ++router.next_sequence_};
}

bool IsReady(const Router& router) {
  return router.configuration_.current_ != nullptr &&
         !router.fleet_.servers_.empty() && !router.draining_;
}

const DecisionRecord* FindDecision(const Router& router, const RequestId& id) {
  const auto it = router.decisions_.find(id);
  return it == router.decisions_.end() ? nullptr : &it->second;
}

}  // namespace siskindrum::core
