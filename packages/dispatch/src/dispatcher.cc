#include "siskindrum/dispatch/dispatcher.h"

#include "absl/strings/str_cat.h"
#include "dispatcher_p.h"
#include "siskindrum/core/overloaded.h"

namespace siskindrum::dispatch {

namespace {

ActiveCall* FindCall(Dispatcher& dispatcher, const RequestId& id) {
  const auto found = dispatcher.calls_.find(id);
  return found == dispatcher.calls_.end() ? nullptr : &found->second;
}

// Returns whether the entry may shut down before the request is answered,
// although it came when no more requests were due.
bool CameTooLate(const std::optional<DrainBegan>& drain,
                 const ActiveCall& call,
                 TimePoint now) {
  return drain.has_value() && now >= drain->accept_until_ &&
         call.deadline_ >= drain->ends_at_;
}

void OnArrived(Step& step, const CallArrived& event) {
  Dispatcher& dispatcher = step.dispatcher_;
  ++dispatcher.counters_.arrived_;
  ActiveCall& call = dispatcher.calls_[event.request_];
  call.id_ = event.request_;
  call.call_ = event.call_;
  call.arrived_at_ = event.arrived_at_;
  call.draw_ = dispatcher.random_();
  call.last_event_ = event.call_.last_event_;
  call.configuration_ = dispatcher.configuration_.current_;
  call.deadline_ = TimePoint::max();
  if (call.configuration_ == nullptr) {
    FailCall(step, call, core::Reason::kNotReady, "no configuration yet");
    return;
  }
  ReadOrganisation(step, call);
  call.rule_ = core::MatchRule(call.configuration_->rules_, call.call_.shape_);
  if (call.rule_ == nullptr) {
    FailCall(step, call, core::Reason::kNoRule, "");
    return;
  }
  if (call.rule_->outcome_.action_ == core::Action::kRefuse) {
    FailCall(step, call, core::Reason::kRefusedByRule, "");
    return;
  }
  AddDecision(dispatcher, call);
  if (RefuseKey(step, call)) {
    return;
  }
  Milliseconds limit = call.rule_->outcome_.timeout_;
  if (call.call_.time_left_.count() > 0) {
    limit = std::min(limit, call.call_.time_left_);
  }
  call.deadline_ = call.arrived_at_ + limit;
  if (step.now_ >= call.deadline_) {
    FailCall(step, call, core::Reason::kDeadline, "it passed before arrival");
    return;
  }
  if (CameTooLate(dispatcher.drain_, call, step.now_)) {
    FailCall(step, call, core::Reason::kDraining, "it came late in the drain");
    return;
  }
  if (call.last_event_.has_value()) {
    step.actions_.emplace_back(
        core::LogEvent{"stream_taken_up",
                       {{"request", call.call_.label_},
                        {"resumes", call.call_.resumes_},
                        {"after_event", std::to_string(*call.last_event_)}}});
  }
  if (AdmitByQuota(step, call)) {
    RouteCall(step, call);
  }
}

void OnCallerLeft(Step& step, const CallerLeft& event) {
  ActiveCall* call = FindCall(step.dispatcher_, event.request_);
  if (call != nullptr) {
    ++step.dispatcher_.counters_.caller_left_;
    EndCall(step, *call, "caller_left");
  }
}

ActiveCall* FindAttempt(Step& step,
                        const RequestId& id,
                        std::uint32_t attempt) {
  ActiveCall* call = FindCall(step.dispatcher_, id);
  return call != nullptr && call->attempt_ == attempt ? call : nullptr;
}

// Returns the request if this attempt was sent beside its current one.
ActiveCall* FindHedged(Step& step, const RequestId& id, std::uint32_t attempt) {
  ActiveCall* call = FindCall(step.dispatcher_, id);
  return call != nullptr && call->hedge_.has_value() &&
                 call->hedge_->attempt_ == attempt
             ? call
             : nullptr;
}

// `hedge` is the attempt if it was sent beside the current one, else null.
void LogAttemptFailed(Step& step,
                      const ActiveCall& call,
                      const HedgeAttempt* hedge,
                      const std::string& outcome,
                      const std::string& detail) {
  const HedgeAttempt attempt =
      hedge != nullptr
          ? *hedge
          : HedgeAttempt{call.attempt_, call.server_, call.sent_at_};
  step.actions_.emplace_back(
      core::LogEvent{"attempt_failed",
                     {{"request", call.call_.label_},
                      {"attempt", std::to_string(attempt.attempt_)},
                      {"stage", ToString(call.stage_)},
                      {"server", attempt.server_},
                      {"outcome", outcome},
                      {"ms", FormatMs(step.now_ - attempt.sent_at_)},
                      {"shared_parts", FormatParts(call.call_.shared_parts_)},
                      {"detail", detail}}});
}

void HandlePrefillDone(Step& step, const PrefillDone& event) {
  ActiveCall* call = FindAttempt(step, event.request_, event.attempt_);
  if (call == nullptr) {
    return;
  }
  if (!event.ok_) {
    LogAttemptFailed(step, *call, nullptr,
                     event.refused_ ? "refused" : "failed", event.detail_);
  }
  OnPrefillDone(step, *call, event);
}

void HandleReserveDone(Step& step, const ReserveDone& event) {
  ActiveCall* call = FindAttempt(step, event.request_, event.attempt_);
  if (call == nullptr) {
    return;
  }
  if (!event.ok_ && !event.refused_) {
    LogAttemptFailed(step, *call, nullptr, "failed", event.detail_);
  }
  OnReserveDone(step, *call, event);
}

const char* ToString(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kDelivered:
      return "delivered";
    case AttemptOutcome::kServerError:
      return "server_error";
    case AttemptOutcome::kRefused:
      return "refused";
    default:
      return "failed";
  }
}

void OnAttemptDone(Step& step, const AttemptDone& event) {
  ActiveCall* hedged = FindHedged(step, event.request_, event.attempt_);
  ActiveCall* call = hedged != nullptr
                         ? hedged
                         : FindAttempt(step, event.request_, event.attempt_);
  if (call == nullptr) {
    return;
  }
  if (event.outcome_ != AttemptOutcome::kDelivered) {
    LogAttemptFailed(
        step, *call, hedged != nullptr ? &*call->hedge_ : nullptr,
        ToString(event.outcome_),
        absl::StrCat(core::ToString(event.run_state_), " status ",
                     event.status_, " after event ",
                     event.last_event_.value_or(0), " ", event.detail_));
  }
  if (hedged != nullptr) {
    OnHedgeDone(step, *call, event);
  } else if (call->stage_ == Stage::kPlain) {
    OnPlainDone(step, *call, event);
  } else {
    OnDecodeDone(step, *call, event);
    RetryWaiting(step);
  }
}

// Returns the fields that name the server process and its load.
std::vector<core::LogField> DescribeProcess(const ServerNoticeReceived& event,
                                            const ServerState* server) {
  return {{"server", event.server_},
          {"incarnation", std::to_string(event.incarnation_)},
          {"listed",
           std::to_string(server == nullptr ? 0 : server->info_.incarnation_)},
          {"pool", server == nullptr ? "" : server->info_.service_},
          {"calls", std::to_string(server == nullptr ? 0 : server->calls_)}};
}

void OnServerNotice(Step& step, const ServerNoticeReceived& event) {
  Dispatcher& dispatcher = step.dispatcher_;
  ServerNotices& notices = dispatcher.pool_.notices_;
  const ServerState* server = FindServer(dispatcher.pool_, event.server_);
  if (event.leaving_ &&
      RecordLeaving(notices, event.server_, event.incarnation_, step.now_)) {
    ++dispatcher.counters_.leaving_announced_;
    step.actions_.emplace_back(
        core::LogEvent{"server_said_leaving", DescribeProcess(event, server)});
  }
  if (event.pause_.count() > 0) {
    RecordPause(notices, event.server_, event.incarnation_, event.pause_,
                step.now_);
    ++dispatcher.counters_.pauses_asked_;
    core::LogEvent log{"server_asked_pause", DescribeProcess(event, server)};
    log.fields_.push_back({"stated", event.pause_text_});
    log.fields_.push_back({"pause_ms", FormatMs(event.pause_)});
    step.actions_.push_back(std::move(log));
  }
}

void OnConfiguration(Step& step, const ConfigurationRead& event) {
  Dispatcher& dispatcher = step.dispatcher_;
  const core::OfferOutcome offer = core::OfferConfiguration(
      dispatcher.configuration_, event.configuration_, step.now_);
  step.actions_.emplace_back(core::LogEvent{
      "configuration_offered",
      {{"revision", std::to_string(event.configuration_->revision_)},
       {"source", event.source_},
       {"outcome", core::ToString(offer)}}});
  if (offer == core::OfferOutcome::kTaken) {
    dispatcher.ranked_pools_ =
        admission::FindRankedPools(event.configuration_->rules_);
    step.actions_.emplace_back(
        SetCallerLimits{event.configuration_->rules_.callers_});
    ReportAccess(step);
    ConfigureQuotas(step);
    ConfigureStreamVersions(step);
  }
  UpdateReady(step);
}

// Ends the requests for which the condition holds, whatever their stage.
template <class Condition>
void FailCallsIf(Step& step, core::Reason reason, Condition condition) {
  std::vector<RequestId> found;
  for (const auto& [id, call] : step.dispatcher_.calls_) {
    if (condition(call)) {
      found.push_back(id);
    }
  }
  for (const RequestId& id : found) {
    ActiveCall& call = step.dispatcher_.calls_.at(id);
    // A request sent to a server may have run unless the server reports
    // otherwise. Reservations and prefills do not count as runs.
    if (!call.server_.empty() && call.stage_ != Stage::kPrefill &&
        call.stage_ != Stage::kReserve) {
      call.run_state_ = core::MaxState(call.run_state_, RunState::kMayHaveRun);
    }
    FailCall(step, call, reason, "");
  }
}

void OnTick(Step& step) {
  Dispatcher& dispatcher = step.dispatcher_;
  ChangeEngineRoles(step);
  FailCallsIf(step, core::Reason::kDeadline, [&step](const ActiveCall& call) {
    return step.now_ >= call.deadline_;
  });
  if (dispatcher.drain_.has_value() &&
      step.now_ >= dispatcher.drain_->ends_at_) {
    FailCallsIf(step, core::Reason::kDraining,
                [](const ActiveCall& call) { return !call.answer_begun_; });
  }
  HedgeSlowCalls(step);
  UpdateQuarantine(step);
  QueryRetainedPrompts(step);
  ResolveStreamVersions(step);
  UpdateStreamVersions(step);
  UpdateQuotas(step);
  RetryWaiting(step);
  GossipWithPeers(step);
  SendUsage(step);
  RemoveUnlistedServers(dispatcher.pool_, step.now_);
  RemoveExpiredNotices(dispatcher.pool_.notices_, step.now_);
}

}  // namespace

void UpdateReady(Step& step) {
  Dispatcher& dispatcher = step.dispatcher_;
  const bool ready = dispatcher.configuration_.current_ != nullptr &&
                     dispatcher.list_read_ && !dispatcher.drain_.has_value();
  if (ready != dispatcher.ready_) {
    dispatcher.ready_ = ready;
    step.actions_.emplace_back(ReadyChanged{ready});
    step.actions_.emplace_back(
        core::LogEvent{"ready_changed", {{"ready", ready ? "yes" : "no"}}});
  }
}

void AddDecision(Dispatcher& dispatcher, const ActiveCall& call) {
  core::DecisionRecord record;
  record.request_ = call.id_;
  record.configuration_ = call.configuration_;
  record.rule_ = call.rule_;
  record.shape_ = call.call_.shape_;
  record.home_ = dispatcher.options_.name_;
  const std::string& label = call.call_.label_;
  if (!dispatcher.decisions_.records_.contains(label)) {
    dispatcher.decisions_.order_.push_back(label);
  }
  dispatcher.decisions_.records_[label] = std::move(record);
  if (dispatcher.decisions_.order_.size() > kMaxDecisionRecords) {
    dispatcher.decisions_.records_.erase(dispatcher.decisions_.order_.front());
    dispatcher.decisions_.order_.pop_front();
  }
}

void RouteCall(Step& step, ActiveCall& call) {
  const core::RuleOutcome& outcome = call.rule_->outcome_;
  call.pool_ = core::PickPool(outcome, step.dispatcher_.random_());
  RecordCall(step.dispatcher_.budget_, step.dispatcher_.options_.repeats_,
             call.pool_, step.now_);
  hedge::RecordCall(step.dispatcher_.hedge_, step.dispatcher_.options_.hedges_,
                    call.pool_, IsRepeatable(call), step.now_);
  if (outcome.kind_ == core::BackendKind::kPlain) {
    SendPlain(step, call);
  } else if (!RefuseNewQuarantined(step, call) &&
             FindStreamVersion(step, call)) {
    RouteToEngines(step, call);
  }
}

void RouteToEngines(Step& step, ActiveCall& call) {
  UseRetainedPrompt(step, call);
  AdmitEngineCall(step, call);
}

const char* ToString(Stage stage) {
  switch (stage) {
    case Stage::kPlain:
      return "plain";
    case Stage::kReserve:
      return "reserve";
    case Stage::kPrefill:
      return "prefill";
    case Stage::kDecode:
      return "decode";
    case Stage::kCount:
      break;
  }
  return "unknown";
}

Dispatcher MakeDispatcher(const DispatcherOptions& options) {
  Dispatcher dispatcher;
  dispatcher.options_ = options;
  dispatcher.random_.seed(options.seed_);
  dispatcher.release_draw_ =
      std::uniform_real_distribution<double>(0, 1)(dispatcher.random_);
  dispatcher.peers_.seeds_ = options.seeds_;
  dispatcher.quota_ = quota::MakeQuotaState(
      {options.quota_bounds_, options.incarnation_, !options.restarted_});
  dispatcher.election_ =
      election::MakeElection({options.peers_address_, !options.restarted_});
  core::MemberRow& self = dispatcher.peers_.membership_.self_;
  self.name_ = options.name_;
  self.address_ = options.peers_address_;
  self.domain_ = options.domain_;
  self.incarnation_ = options.incarnation_;
  return dispatcher;
}

void HandleEvent(Dispatcher& dispatcher,
                 const Event& event,
                 TimePoint now,
                 std::vector<Action>& actions) {
  if (dispatcher.started_at_ == TimePoint{}) {
    dispatcher.started_at_ = now;
  }
  Step step{dispatcher, now, actions};
  std::visit(
      core::Overloaded{
          [&](const CallArrived& e) { OnArrived(step, e); },
          [&](const CallerLeft& e) { OnCallerLeft(step, e); },
          [&](const PrefillDone& e) { HandlePrefillDone(step, e); },
          [&](const ReserveDone& e) { HandleReserveDone(step, e); },
          [&](const AnswerBegan& e) {
            ActiveCall* call = FindAttempt(step, e.request_, e.attempt_);
            if (call != nullptr) {
              OnAnswerBegan(step, *call);
            }
          },
          [&](const AnswerSustained& e) {
            ActiveCall* call = FindAttempt(step, e.request_, e.attempt_);
            if (call != nullptr) {
              RecordHarmlessCall(step, *call);
            }
          },
          [&](const AttemptDone& e) { OnAttemptDone(step, e); },
          [&](const AttemptSilent& e) {
            ActiveCall* call = FindAttempt(step, e.request_, e.attempt_);
            if (call != nullptr && !call->server_.empty()) {
              OnAttemptSilent(step, *call);
            }
          },
          [&](const ListSeen& e) {
            OnListChanges(step, e.changes_, kStoreSource);
          },
          [&](const ListConfirmed& e) { OnListConfirmed(step, e); },
          [&](const PeerMessageReceived& e) { OnPeerMessage(step, e); },
          [&](const ConfigurationRead& e) { OnConfiguration(step, e); },
          [&](const ConfigurationConfirmed& e) { OnConfirmed(step, e); },
          [&](const RefusedAtHead& e) { OnRefusedAtHead(step, e); },
          [&](const RetainedPromptsListed& e) { OnRetainedPrompts(step, e); },
          [&](const RunsListed& e) { OnRunsListed(step, e); },
          [&](const ServerNoticeReceived& e) { OnServerNotice(step, e); },
          [&](const SettingsRead& e) {
            dispatcher.peers_.seeds_ = e.seeds_;
            dispatcher.options_.repeats_ = e.repeats_;
          },
          [&](const DrainBegan& e) {
            dispatcher.drain_ = e;
            UpdateReady(step);
          },
          [&](const Ticked&) { OnTick(step); },
      },
      event);
}

const core::DecisionRecord* FindDecision(const Dispatcher& dispatcher,
                                         const std::string& label) {
  const auto found = dispatcher.decisions_.records_.find(label);
  return found == dispatcher.decisions_.records_.end() ? nullptr
                                                       : &found->second;
}

}  // namespace siskindrum::dispatch
