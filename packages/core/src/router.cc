#include "siskindrum/core/router.h"

#include <algorithm>

#include "router_p.h"
#include "siskindrum/core/hash.h"
#include "siskindrum/core/limits.h"
#include "siskindrum/core/overloaded.h"

namespace siskindrum::core {

namespace {

void OnPeerMessageArrived(EventContext& context, const PeerMessage& message) {
  ++context.router_.counters_.peer_messages_;
  const std::string& from = message.from_;
  std::visit(
      Overloaded{
          [&](const Gossip& m) { OnGossip(context, from, m); },
          [&](const ConfigurationRequest& m) {
            OnConfigurationRequest(context, from, m);
          },
          // Parsed outside the core, which receives it as
          // ConfigurationArrived.
          [](const ConfigurationBody&) {},
          [&](const ListRequest& m) { OnListRequest(context, from, m); },
          [&](const ListBody& m) { OnListBody(context, from, m); },
          [&](const LeaseRequest& m) { OnLeaseRequest(context, from, m); },
          [&](const LeaseQueued& m) { OnLeaseQueued(context, m); },
          [&](const LeaseGrant& m) { OnLeaseGrant(context, from, m); },
          [&](const LeaseRefusal& m) { OnLeaseRefusal(context, m); },
          [&](const LeaseRelease& m) { OnLeaseRelease(context, m); },
          [&](const OwnerQuery& m) { OnOwnerQuery(context, from, m); },
          [&](const OwnerAnswer& m) { OnOwnerAnswer(context, m); },
          [&](const CallForward& m) { OnCallForward(context, from, m); },
          [&](const CallAnswer& m) { OnCallAnswer(context, m); },
          [&](const SeatHandover& m) { OnSeatHandover(context, m); },
          [&](const SeatHandoverRequest& m) {
            OnSeatHandoverRequest(context, from, m);
          },
          [](const EngineUseReport&) {},   // Unused: homes count slots.
          [](const QuarantineReport&) {},  // Unused: it knows no parts.
          [](const QuotaAsk&) {},          // Unused: it has no quotas.
          [](const QuotaLoan&) {},
          [](const QuotaReturn&) {},
          [](const VoteRequest&) {},  // Unused: it changes no roles.
          [](const VoteReply&) {},
          [](const StreamReport&) {},
          [](const StreamQuery&) {},
          [](const StreamReply&) {},
      },
      message.body_);
}

void OnPeerSendFailed(EventContext& context, const PeerSendFailed& event) {
  if (const auto* lease = std::get_if<LeaseRequest>(&event.body_)) {
    const Request* request =
        FindRequest(context.router_, lease->need_.request_);
    if (request != nullptr && !request->requested_home_.empty()) {
      // Reassigns the peer's cells at once instead of after the suspect
      // timeout.
      MarkUnreachable(context.router_.membership_, request->requested_home_,
                      context.now_.steady_);
      RefreshHomes(context);
    }
    OnLeaseSendFailed(context, *lease);
  } else if (const auto* call = std::get_if<CallForward>(&event.body_)) {
    OnForwardFailed(context, *call, event.verdict_);
  }
}

void OnConfigurationRefused(EventContext& context,
                            const ConfigurationRefused& event) {
  ConfigurationState& state = context.router_.configuration_;
  state.refused_revision_ = event.revision_;
  state.refused_error_ = event.error_;
  Log(context, "configuration_refused",
      {{"revision", std::to_string(event.revision_)},
       {"source", event.source_},
       {"error", event.error_}});
}

void OnDrainRequested(EventContext& context) {
  Router& router = context.router_;
  if (router.draining_) {
    return;
  }
  router.draining_ = true;
  router.membership_.self_.leaving_ = true;
  Log(context, "drain_started",
      {{"requests", std::to_string(router.requests_.size())}});
  SendGossip(context);
  RefreshHomes(context);
  RerouteWaiting(context);
}

void FinishDrain(EventContext& context) {
  Router& router = context.router_;
  if (!router.draining_ || router.drained_ || !router.requests_.empty()) {
    return;
  }
  SendSeatHandover(context);
  router.drained_ = true;
  Log(context, "drain_finished", {});
  Emit(context, Drained{});
}

// Detects that this process was paused, for example by a suspended machine. Its
// view of peers and holds is then stale: for kSettleTimeAfterPause it admits no
// new idempotency keys and treats no hold as orphaned.
void DetectProcessPause(EventContext& context) {
  Router& router = context.router_;
  const TimePoint now = context.now_.steady_;
  const bool first = router.last_tick_ == TimePoint{};
  if (!first && now - router.last_tick_ > kPauseThreshold) {
    ++router.counters_.pauses_;
    router.settle_until_ = now + kSettleTimeAfterPause;
    Log(context, "process_was_paused",
        {{"gap_ms", std::to_string(ToMilliseconds(now - router.last_tick_))}});
    SendGossip(context);
  }
  router.last_tick_ = now;
}

void OnTick(EventContext& context) {
  Router& router = context.router_;
  const TimePoint now = context.now_.steady_;
  DetectProcessPause(context);
  FinishStartup(context);
  if (now >= router.next_gossip_) {
    SendGossip(context);
    RefreshHomes(context);
  }
  if (now >= router.next_relay_) {
    RequestNewerState(context);
  }
  CheckPendingLeases(context);
  CheckForwards(context);
  ServeAllQueues(context);
  RetryCancels(context);
  if (now >= router.next_sweep_) {
    router.next_sweep_ = now + kSweepInterval;
    ReleaseOrphanedHolds(context);
    RequestSeatHandovers(context);
    TrimCalls(router.calls_, context.now_);
  }
  FinishDrain(context);
}

}  // namespace

const char* ToString(Policy policy) {
  static constexpr const char* kNames[] = {"cell_home", "round_robin",
                                           "least_load", "two_choices"};
  return kNames[static_cast<int>(policy)];
}

void Emit(EventContext& context, RouterAction action) {
  context.actions_.push_back(std::move(action));
}

void Log(EventContext& context,
         const std::string& event,
         std::vector<LogField> fields) {
  Emit(context, LogEvent{event, std::move(fields)});
}

bool IsSettling(const EventContext& context) {
  return context.now_.steady_ < context.router_.settle_until_;
}

void SendToPeer(EventContext& context, const std::string& peer, PeerBody body) {
  const auto it = context.router_.membership_.members_.find(peer);
  if (it == context.router_.membership_.members_.end() ||
      it->second.row_.address_.empty()) {
    return;
  }
  Emit(context,
       SendPeerMessage{peer, it->second.row_.address_, std::move(body)});
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
  EventContext context{router, now, actions};
  std::visit(
      Overloaded{
          [&](const RequestArrived& e) { OnRequestArrived(context, e); },
          [&](const CallerGone& e) { OnCallerGone(context, e); },
          [&](const PrefillEnded& e) { OnPrefillEnded(context, e); },
          [&](const FirstToken& e) { OnFirstToken(context, e); },
          [&](const DecodeEnded& e) { OnDecodeEnded(context, e); },
          [&](const PlainEnded& e) { OnPlainEnded(context, e); },
          [&](const LoadReportArrived& e) { OnLoadReportArrived(context, e); },
          [&](const CancelEnded& e) { OnCancelEnded(context, e); },
          [&](const InstanceListArrived& e) {
            OnInstanceListArrived(context, e, "service");
          },
          [&](const ConfigurationArrived& e) {
            OnConfigurationArrived(context, e);
          },
          [&](const ConfigurationRefused& e) {
            OnConfigurationRefused(context, e);
          },
          [&](const PeerMessageArrived& e) {
            OnPeerMessageArrived(context, e.message_);
          },
          [&](const PeerSendFailed& e) { OnPeerSendFailed(context, e); },
          [&](const DrainRequested&) { OnDrainRequested(context); },
          [&](const Tick&) { OnTick(context); },
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
