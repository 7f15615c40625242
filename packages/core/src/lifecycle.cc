// Life cycle of requests to model engines: rule match, limits, placement,
// prefill, decode, and recovery from failures.

#include <algorithm>

#include "router_p.h"
#include "siskindrum/core/limits.h"

namespace siskindrum::core {

namespace {

constexpr Milliseconds kLimitRetryAfter{1000};
constexpr Milliseconds kDrainRetryAfter{200};

Milliseconds Since(TimePoint then, TimePoint now) {
  return Milliseconds(ToMilliseconds(now - then));
}

// Refuses a request before it is added to the request table.
void RefuseArrival(EventContext& context,
                   const RequestArrived& event,
                   Verdict verdict) {
  ++context.router_.counters_.failed_not_run_;
  Log(context, "request_refused",
      {{"request", ToString(event.request_)},
       {"organisation", event.shape_.organisation_},
       {"verdict", ToString(verdict.run_state_)},
       {"reason", ToString(verdict.reason_)},
       {"detail", verdict.detail_}});
  Emit(context, AnswerError{event.request_, std::move(verdict)});
}

void AddDecision(EventContext& context, const Request& request) {
  Router& router = context.router_;
  DecisionRecord& record = router.decisions_[request.id_];
  record.request_ = request.id_;
  record.configuration_ = request.configuration_;
  record.rule_ = request.rule_;
  record.shape_ = request.shape_;
  router.decision_order_.push_back(request.id_);
  if (router.decision_order_.size() > kMaxExplainRecords) {
    router.decisions_.erase(router.decision_order_.front());
    router.decision_order_.pop_front();
  }
}

void FillRequirements(EventContext& context, Request& request) {
  const RuleOutcome& outcome = request.rule_->outcome_;
  const RequestShape& shape = request.shape_;
  Requirements& need = request.need_;
  need.request_ = request.id_;
  need.owner_name_ = context.router_.options_.name_;
  need.owner_domain_ = context.router_.options_.domain_;
  need.organisation_ = shape.organisation_;
  need.prompt_tokens_ = shape.prompt_tokens_;
  need.pieces_ = PiecesFor(shape.prompt_tokens_ + shape.max_tokens_);
  need.share_ = outcome.share_;
  need.prefix_hash_ = shape.prefix_hash_;
  need.prefix_tokens_ = shape.prefix_tokens_;
  need.priority_ = outcome.has_priority_ ? outcome.priority_ : shape.priority_;
  need.prefer_ = outcome.prefer_;
  const Milliseconds wait = outcome.first_token_ > Milliseconds(0)
                                ? outcome.first_token_
                                : kDefaultFirstTokenWait;
  request.deadline_ = request.arrived_at_ + wait;
  need.deadline_ = request.deadline_;
}

void CountWastedPrefill(EventContext& context, const Request& request) {
  if (request.prefill_started_) {
    context.router_.counters_.prefill_tokens_wasted_ +=
        request.need_.prompt_tokens_;
  }
}

void CancelAtEngines(EventContext& context, const Request& request) {
  const Placement& placement = request.placement_;
  if (request.prefill_started_ && !placement.prefill_.empty()) {
    CancelRequestAt(context, request.id_, placement.prefill_);
  }
  if (request.state_ == RequestState::kDecoding) {
    CancelRequestAt(context, request.id_, placement.decode_);
  }
}

// Retries the decode on another server. The prefill engine still keeps the
// prefill result.
void Reimport(EventContext& context, Request& request) {
  ++context.router_.counters_.reimports_;
  ++request.reimports_;
  ++request.attempt_;
  request.need_.decode_only_ = true;
  request.need_.deadline_ = request.handle_expires_at_;
  request.need_.priority_ = Priority::kHigh;
  request.tried_cells_.clear();
  request.state_ = RequestState::kPlacing;
  TryNextCell(context, request);
}

bool MayRetry(EventContext& context, Request& request, Verdict& verdict) {
  Router& router = context.router_;
  const bool answering = request.delivered_ > 0;
  const TimePoint now = context.now_.steady_;
  if (request.retries_ >= request.rule_->outcome_.retries_) {
    verdict.detail_ += " (the rule allows no more retries)";
    return false;
  }
  if (request.rule_->outcome_.resume_ == Resume::kNever &&
      request.run_state_ != RunState::kNotRun) {
    verdict.detail_ += " (the rule says resume=never)";
    return false;
  }
  const bool late = now >= request.deadline_;
  if (late && !answering && request.need_.prefer_ == Preference::kGoodput) {
    verdict.detail_ += " (a second prefill would miss the first-token target)";
    return false;
  }
  // An answer in progress is always continued, whatever the retry budget: an
  // engine failure ends a whole batch of answers at once, and at most one retry
  // follows for each answer that was in progress.
  if (!answering && !TryAcquireRetry(router.retry_budget_)) {
    verdict.detail_ += " (retry budget is empty)";
    return false;
  }
  return true;
}

// Retries the request with a new prefill of the prompt and of the tokens
// already delivered to the caller, or fails it.
void RetryOrFail(EventContext& context, Request& request, Verdict verdict) {
  CountWastedPrefill(context, request);
  request.prefill_started_ = false;
  verdict.run_state_ = request.run_state_;
  if (!MayRetry(context, request, verdict)) {
    FailRequest(context, request, std::move(verdict));
    return;
  }
  ++request.retries_;
  ++request.attempt_;
  request.reimports_ = 0;
  Requirements& need = request.need_;
  if (request.delivered_ > 0) {
    ++context.router_.counters_.continued_;
    need.priority_ = Priority::kHigh;
  }
  need.decode_only_ = false;
  need.prompt_tokens_ = request.shape_.prompt_tokens_ + request.delivered_;
  const bool in_time =
      context.now_.steady_ < request.deadline_ && request.delivered_ == 0;
  need.deadline_ = in_time ? request.deadline_
                           : context.now_.steady_ + kDefaultFirstTokenWait;
  request.tried_cells_.clear();
  request.state_ = RequestState::kPlacing;
  TryNextCell(context, request);
}

bool IsServerFault(Reason reason) {
  return reason == Reason::kConnectFailed ||
         reason == Reason::kConnectionLost || reason == Reason::kServerError ||
         reason == Reason::kBadAnswer;
}

void RecordAttemptFailure(EventContext& context,
                          Request& request,
                          const std::string& server,
                          const Verdict& verdict) {
  request.run_state_ = MaxState(request.run_state_, verdict.run_state_);
  request.need_.avoid_.push_back(server);
  if (IsServerFault(verdict.reason_)) {
    RecordServerFailure(context.router_.fleet_, server, context.now_.steady_);
  }
  Log(context, "attempt_failed",
      {{"request", ToString(request.id_)},
       {"attempt", std::to_string(request.attempt_)},
       {"server", server},
       {"verdict", ToString(verdict.run_state_)},
       {"reason", ToString(verdict.reason_)},
       {"detail", verdict.detail_}});
}

void SendDecode(EventContext& context, Request& request) {
  const Fleet& fleet = context.router_.fleet_;
  const auto decode = fleet.servers_.find(request.placement_.decode_);
  const auto prefill = fleet.servers_.find(request.placement_.prefill_);
  request.state_ = RequestState::kDecoding;
  StartDecode action;
  action.request_ = request.id_;
  action.attempt_ = request.attempt_;
  action.server_ = request.placement_.decode_;
  action.address_ =
      decode == fleet.servers_.end() ? "" : decode->second.info_.address_;
  action.prefill_server_ = request.placement_.prefill_;
  action.prefill_address_ =
      prefill == fleet.servers_.end() ? "" : prefill->second.info_.address_;
  action.handle_ = request.handle_;
  action.from_position_ = request.delivered_;
  action.priority_ = request.need_.priority_;
  Emit(context, std::move(action));
}

void SendPrefill(EventContext& context, Request& request) {
  const Fleet& fleet = context.router_.fleet_;
  const auto server = fleet.servers_.find(request.placement_.prefill_);
  request.state_ = RequestState::kPrefilling;
  request.prefill_started_ = true;
  context.router_.counters_.prefill_tokens_ += request.need_.prompt_tokens_;
  StartPrefill action;
  action.request_ = request.id_;
  action.attempt_ = request.attempt_;
  action.server_ = request.placement_.prefill_;
  action.address_ =
      server == fleet.servers_.end() ? "" : server->second.info_.address_;
  action.hold_ = kPrefillHold;
  action.priority_ = request.need_.priority_;
  Emit(context, std::move(action));
}

}  // namespace

Request* FindRequest(Router& router, const RequestId& id) {
  const auto it = router.requests_.find(id);
  return it == router.requests_.end() ? nullptr : &it->second;
}

DecisionRecord* MutableDecision(Router& router, const RequestId& id) {
  const auto it = router.decisions_.find(id);
  return it == router.decisions_.end() ? nullptr : &it->second;
}

Request& AddRequest(EventContext& context,
                    const RequestArrived& event,
                    const Rule& rule) {
  Router& router = context.router_;
  Request& request = router.requests_[event.request_];
  request.id_ = event.request_;
  request.shape_ = event.shape_;
  request.configuration_ = router.configuration_.current_;
  request.rule_ = &rule;
  request.pool_ = PickPool(rule.outcome_, RequestIdHash{}(request.id_));
  request.arrived_at_ = context.now_.steady_;
  request.content_type_ = event.content_type_;
  request.body_ = event.body_;
  AddDecision(context, request);
  return request;
}

void OnRequestArrived(EventContext& context, const RequestArrived& event) {
  Router& router = context.router_;
  ++router.counters_.arrived_;
  CreditRetryBudget(router.retry_budget_);
  const RunState not_run = RunState::kNotRun;
  if (router.draining_) {
    RefuseArrival(context, event,
                  {not_run, Reason::kDraining, "this entry is shutting down",
                   kDrainRetryAfter});
    return;
  }
  if (router.configuration_.current_ == nullptr) {
    RefuseArrival(context, event,
                  {not_run, Reason::kNotReady, "no rules are in force yet",
                   kLimitRetryAfter});
    return;
  }
  const Rule* rule =
      MatchRule(router.configuration_.current_->rules_, event.shape_);
  if (rule == nullptr) {
    RefuseArrival(context, event,
                  {not_run, Reason::kNoRule, "no rule matches", {}});
    return;
  }
  Emit(context, RequestAccepted{event.request_, rule->line_,
                                router.configuration_.current_->revision_});
  const RuleOutcome& outcome = rule->outcome_;
  if (outcome.action_ == Action::kRefuse) {
    RefuseArrival(context, event,
                  {not_run,
                   Reason::kRefusedByRule,
                   "line " + std::to_string(rule->line_) + " refuses it",
                   {}});
    return;
  }
  if (!TryAcquireRequest(router.limits_, event.shape_.organisation_,
                         outcome.limit_per_second_, router.live_entries_,
                         context.now_.steady_)) {
    RefuseArrival(
        context, event,
        {not_run, Reason::kOrganisationLimit,
         "line " + std::to_string(rule->line_) + " limits this organisation",
         kLimitRetryAfter});
    return;
  }
  Request& request = AddRequest(context, event, *rule);
  if (outcome.kind_ == BackendKind::kPlain) {
    BeginPlain(context, request);
    return;
  }
  FillRequirements(context, request);
  TryNextCell(context, request);
}

void OnGranted(EventContext& context,
               Request& request,
               const Placement& placement,
               const std::string& home,
               const std::string& home_cell) {
  const std::string prefill = request.placement_.prefill_;
  request.placement_ = placement;
  request.home_ = home;
  request.requested_cell_ = home_cell;
  if (DecisionRecord* record = MutableDecision(context.router_, request.id_)) {
    record->cell_ = home_cell;
    record->home_ = home.empty() ? context.router_.options_.name_ : home;
    record->decode_ = placement.decode_;
    if (!placement.prefill_.empty()) {
      record->prefill_ = placement.prefill_;
    }
    record->candidates_ = placement.candidates_;
    record->attempts_ = request.attempt_ + 1;
  }
  if (request.need_.decode_only_) {
    request.placement_.prefill_ = prefill;
    SendDecode(context, request);
  } else {
    SendPrefill(context, request);
  }
}

void OnPrefillEnded(EventContext& context, const PrefillEnded& event) {
  Request* request = FindRequest(context.router_, event.request_);
  if (request == nullptr || request->attempt_ != event.attempt_ ||
      request->state_ != RequestState::kPrefilling) {
    return;
  }
  Fleet& fleet = context.router_.fleet_;
  const std::string server = request->placement_.prefill_;
  if (!event.ok_) {
    RecordAttemptFailure(context, *request, server, event.verdict_);
    CancelRequestAt(context, request->id_, server);
    ReleaseLease(context, *request, false);
    RetryOrFail(context, *request, event.verdict_);
    return;
  }
  request->run_state_ = MaxState(request->run_state_, RunState::kMayHaveRun);
  request->handle_ = event.handle_;
  request->handle_expires_at_ = context.now_.steady_ + event.hold_;
  RecordServerSuccess(fleet, server);
  RecordCachedPrefix(fleet, server, request->need_.prefix_hash_,
                     context.now_.steady_);
  SendDecode(context, *request);
}

void OnFirstToken(EventContext& context, const FirstToken& event) {
  Request* request = FindRequest(context.router_, event.request_);
  if (request == nullptr || request->has_first_token_) {
    return;
  }
  request->has_first_token_ = true;
  request->first_token_at_ = context.now_.steady_;
  if (DecisionRecord* record = MutableDecision(context.router_, request->id_)) {
    record->first_token_ = Since(request->arrived_at_, context.now_.steady_);
  }
}

void OnDecodeEnded(EventContext& context, const DecodeEnded& event) {
  Request* request = FindRequest(context.router_, event.request_);
  if (request == nullptr || request->attempt_ != event.attempt_ ||
      request->state_ != RequestState::kDecoding) {
    return;
  }
  request->delivered_ = event.delivered_;
  const std::string server = request->placement_.decode_;
  if (event.ok_) {
    RecordServerSuccess(context.router_.fleet_, server);
    request->run_state_ = RunState::kRan;
    ReleaseLease(context, *request, false);
    ++context.router_.counters_.answered_;
    EndRequest(context, *request, "answered");
    return;
  }
  RecordAttemptFailure(context, *request, server, event.verdict_);
  CancelRequestAt(context, request->id_, server);
  ReleaseLease(context, *request, IsServerFault(event.verdict_.reason_));
  const bool result_lives = !event.imported_ &&
                            event.verdict_.reason_ != Reason::kEvicted &&
                            context.now_.steady_ < request->handle_expires_at_;
  if (result_lives && request->reimports_ < kMaxReimports) {
    Reimport(context, *request);
    return;
  }
  CancelRequestAt(context, request->id_, request->placement_.prefill_);
  RetryOrFail(context, *request, event.verdict_);
}

void OnCallerGone(EventContext& context, const CallerGone& event) {
  Request* request = FindRequest(context.router_, event.request_);
  if (request == nullptr || request->caller_gone_) {
    return;
  }
  ++context.router_.counters_.caller_gone_;
  if (request->once_ && request->state_ == RequestState::kSendingPlain) {
    // Wait for the outcome: a later call with the same key needs it.
    request->caller_gone_ = true;
    return;
  }
  if (request->state_ != RequestState::kPlacing) {
    ReleaseLease(context, *request, false);
  }
  CancelAtEngines(context, *request);
  CountWastedPrefill(context, *request);
  if (request->prefill_started_ ||
      request->state_ == RequestState::kSendingPlain) {
    request->run_state_ = MaxState(request->run_state_, RunState::kMayHaveRun);
  }
  Emit(context, AbortRequest{request->id_});
  EndRequest(context, *request, "caller_gone");
}

void FailRequest(EventContext& context, Request& request, Verdict verdict) {
  RouterCounters& counters = context.router_.counters_;
  if (verdict.run_state_ == RunState::kNotRun) {
    ++counters.failed_not_run_;
  } else {
    ++counters.failed_may_have_run_;
  }
  if (request.for_peer_) {
    CallAnswer answer;
    answer.request_ = request.peer_request_;
    answer.run_state_ = verdict.run_state_;
    answer.reason_ = verdict.reason_;
    answer.key_unused_ = verdict.key_unused_;
    answer.decided_by_ledger_ = verdict.reason_ != Reason::kNotReady &&
                                verdict.reason_ != Reason::kKeyHomeUnreachable;
    SendToPeer(context, request.peer_, std::move(answer));
  }
  const std::string outcome =
      std::string("failed_") + ToString(verdict.reason_);
  Emit(context, AnswerError{request.id_, std::move(verdict)});
  EndRequest(context, request, outcome);
}

void EndRequest(EventContext& context,
                Request& request,
                const std::string& outcome) {
  Router& router = context.router_;
  const TimePoint now = context.now_.steady_;
  if (DecisionRecord* record = MutableDecision(router, request.id_)) {
    record->outcome_ = outcome;
    record->total_ = Since(request.arrived_at_, now);
  }
  const std::string first_token =
      request.has_first_token_
          ? std::to_string(
                Since(request.arrived_at_, request.first_token_at_).count())
          : "-";
  Log(context, "request_done",
      {{"request", ToString(request.id_)},
       {"organisation", request.shape_.organisation_},
       {"rule_line", std::to_string(request.rule_->line_)},
       {"revision", std::to_string(request.configuration_->revision_)},
       {"outcome", outcome},
       {"verdict", ToString(request.run_state_)},
       {"prefill_server", request.placement_.prefill_},
       {"decode_server", request.rule_->outcome_.kind_ == BackendKind::kPlain
                             ? request.plain_server_
                             : request.placement_.decode_},
       {"attempts", std::to_string(request.attempt_ + 1)},
       {"ttft_ms", first_token},
       {"total_ms", std::to_string(Since(request.arrived_at_, now).count())}});
  if (request.for_peer_) {
    router.forwarded_.erase(request.peer_request_);
  }
  const RequestId id = request.id_;
  router.requests_.erase(id);
}

}  // namespace siskindrum::core
