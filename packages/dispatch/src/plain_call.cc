#include "dispatcher_p.h"

namespace siskindrum::dispatch {

void SendPlain(Step& step, ActiveCall& call) {
  if (RefuseKey(step, call)) {
    return;
  }
  const std::string name = PlacePlain(
      step.dispatcher_.pool_, MakePlacementRequest(step, call), step.now_);
  ServerState* server = FindServer(step.dispatcher_.pool_, name);
  if (server == nullptr) {
    RecordShortOfRoom(step, call);
    HandleNoServer(step, call, core::ServerRole::kPlain);
    return;
  }
  std::string denied;
  if (!AllowAttempt(step, call, &denied)) {
    FailCall(step, call, core::Reason::kRetriesExhausted, denied);
    return;
  }
  StartAttempt start = BeginAttempt(step, call, Stage::kPlain, *server);
  const bool can_retry =
      IsRepeatable(call) && call.sends_ < call.rule_->outcome_.retries_;
  start.first_byte_timeout_ =
      can_retry ? kPlainFirstByteTimeout : Milliseconds(0);
  LogAttempt(step, call, start, server->mean_ms_);
  step.actions_.emplace_back(std::move(start));
}

void OnPlainDone(Step& step, ActiveCall& call, const AttemptDone& event) {
  Dispatcher& dispatcher = step.dispatcher_;
  if (event.caller_was_slow_) {
    CutSlowCaller(step, call, event);
    return;
  }
  const std::string name = call.server_;
  ServerState* server = FindServer(dispatcher.pool_, name);
  const bool is_error = event.outcome_ == AttemptOutcome::kServerError;
  if (event.outcome_ == AttemptOutcome::kDelivered || is_error) {
    if (server != nullptr) {
      RecordAnswer(*server, is_error, step.now_);
      server->mean_ms_ = Smooth(
          server->mean_ms_, ToMs(step.now_ - call.sent_at_), kPlainTimeWeight);
      server->measured_at_ = step.now_;
    }
    call.run_state_ = RunState::kRan;
  }
  if (event.outcome_ == AttemptOutcome::kDelivered) {
    RecordCallTime(step, call, false);
    ++dispatcher.counters_.delivered_;
    EndCall(step, call, "delivered");
    return;
  }
  ReleaseAttempt(step, call);
  call.avoid_.push_back(name);
  if (is_error) {
    call.has_server_error_ = true;
    call.sent_before_ = true;
    ++call.sends_;
    if (PromoteHedge(call)) {
      return;
    }
    if (IsRepeatable(call)) {
      SendPlain(step, call);
    } else {
      FailCall(step, call, core::Reason::kServerError, event.detail_);
    }
    return;
  }
  if (event.outcome_ == AttemptOutcome::kRefused) {
    if (server != nullptr) {
      RecordRefusedAttempt(step, call, *server, event.misdirected_);
    }
    RecordShortOfRoom(step, call);
    call.sent_before_ = true;
    ++call.sends_;
    if (!PromoteHedge(call)) {
      SendPlain(step, call);
    }
    return;
  }
  if (server != nullptr) {
    RecordFailure(*server, step.now_);
  }
  call.run_state_ = core::MaxState(call.run_state_, event.run_state_);
  if (event.run_state_ == RunState::kNotRun) {
    if (PromoteHedge(call)) {
      return;
    }
    if (++call.connect_failures_ < kMaxConnectAttempts) {
      SendPlain(step, call);
      return;
    }
  } else {
    call.sent_before_ = true;
    ++call.sends_;
    if (PromoteHedge(call)) {
      return;
    }
    if (IsRepeatable(call) && !call.answer_begun_) {
      SendPlain(step, call);
      return;
    }
  }
  FailCall(step, call, event.reason_, event.detail_);
}

}  // namespace siskindrum::dispatch
