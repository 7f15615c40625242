#include <algorithm>

#include "absl/strings/str_cat.h"
#include "dispatcher_p.h"

namespace siskindrum::dispatch {

namespace {

using hedge::Verdict;

bool IsAvoided(const ActiveCall& call, const std::string& server) {
  return std::find(call.avoid_.begin(), call.avoid_.end(), server) !=
         call.avoid_.end();
}

// Returns whether the call is at a server alone and its answer may still be
// late.
bool AwaitsAnswer(const ActiveCall& call) {
  return call.stage_ == Stage::kPlain && !call.server_.empty() &&
         !call.hedge_.has_value() && !call.answer_begun_ &&
         !call.repeat_granted_;
}

// Returns a sound server that the call has not used, or null.
const ServerState* FindHedgeServer(const Step& step, const ActiveCall& call) {
  PlacementRequest request = MakePlacementRequest(step, call);
  request.avoid_.push_back(call.server_);
  ServerPool& pool = step.dispatcher_.pool_;
  const ServerState* server =
      FindServer(pool, PlacePlain(pool, request, step.now_));
  const bool is_sound = server != nullptr &&
                        server->listing_ == Listing::kListed &&
                        server->suspended_until_ <= step.now_ &&
                        server->info_.name_ != call.server_ &&
                        !IsAvoided(call, server->info_.name_);
  return is_sound ? server : nullptr;
}

void CountPlaces(const Step& step,
                 const ActiveCall& call,
                 hedge::HedgeFacts& facts) {
  const ServerPool& pool = step.dispatcher_.pool_;
  for (const auto& [name, server] : pool.servers_) {
    if (server.info_.service_ == call.pool_ &&
        server.info_.role_ == core::ServerRole::kPlain &&
        AcceptsNewWork(pool, server, step.now_)) {
      facts.places_ += PlainSlots(server);
      facts.taken_ += server.calls_;
    }
  }
  for (const auto& [id, other] : step.dispatcher_.calls_) {
    if (id != call.id_ && other.pool_ == call.pool_ && AwaitsAnswer(other)) {
      facts.other_ages_.push_back(step.now_ - other.sent_at_);
    }
  }
}

hedge::HedgeFacts GatherFacts(const Step& step, const ActiveCall& call) {
  hedge::HedgeFacts facts;
  facts.service_ = call.pool_;
  facts.class_ = LatencyClass(call);
  facts.may_repeat_ = IsRepeatable(call);
  facts.attempt_left_ = call.sends_ < call.rule_->outcome_.retries_;
  facts.elapsed_ = step.now_ - call.sent_at_;
  const auto& drain = step.dispatcher_.drain_;
  facts.time_left_ =
      (drain.has_value() ? std::min(call.deadline_, drain->ends_at_)
                         : call.deadline_) -
      step.now_;
  CountPlaces(step, call, facts);
  const ServerState* server = FindHedgeServer(step, call);
  if (server != nullptr) {
    facts.server_ = server->info_.name_;
    facts.server_silence_ = server->calls_ == 0
                                ? core::Nanoseconds(0)
                                : step.now_ - server->silent_since_;
  }
  return facts;
}

void SendHedge(Step& step, ActiveCall& call, ServerState& server) {
  Dispatcher& dispatcher = step.dispatcher_;
  ++dispatcher.counters_.attempts_;
  ++dispatcher.counters_.repeats_;
  ++dispatcher.counters_.hedges_;
  hedge::RecordHedge(dispatcher.hedge_, call.pool_);
  StartAttempt start =
      DescribeAttempt(step, call, Stage::kPlain, server, ++call.attempts_);
  start.beside_ = true;
  // Once it is the only attempt.
  start.first_byte_timeout_ = call.sends_ + 1 < call.rule_->outcome_.retries_
                                  ? kPlainFirstByteTimeout
                                  : Milliseconds(0);
  call.hedge_ = HedgeAttempt{start.attempt_, start.server_, step.now_,
                             call.call_.request_bytes_};
  call.sent_before_ = true;
  RecordCallStart(server, step.now_);
  server.request_bytes_ += call.call_.request_bytes_;
  step.actions_.emplace_back(
      core::LogEvent{"hedge_sent",
                     {{"request", call.call_.label_},
                      {"attempt", std::to_string(start.attempt_)},
                      {"pool", call.pool_},
                      {"first_server", call.server_},
                      {"server", start.server_},
                      {"ms", FormatMs(step.now_ - call.sent_at_)}}});
  step.actions_.emplace_back(std::move(start));
}

// Counts and logs a verdict on a slow call, once while it stays the same.
void RecordVerdict(Step& step, ActiveCall& call, Verdict verdict) {
  if (verdict == call.hedge_verdict_ || verdict == Verdict::kNotSlow) {
    return;
  }
  call.hedge_verdict_ = verdict;
  ++step.dispatcher_.counters_
        .hedge_verdicts_[static_cast<std::size_t>(verdict)];
  if (verdict != Verdict::kSend && verdict != Verdict::kNotRepeatable) {
    step.actions_.emplace_back(
        core::LogEvent{"hedge_withheld",
                       {{"request", call.call_.label_},
                        {"pool", call.pool_},
                        {"server", call.server_},
                        {"verdict", hedge::ToString(verdict)},
                        {"ms", FormatMs(step.now_ - call.sent_at_)}}});
  }
}

// Decides on a hedge, and takes it from the repeat budget if one is to be sent.
Verdict JudgeHedge(Step& step,
                   const ActiveCall& call,
                   const hedge::HedgeFacts& facts) {
  Dispatcher& dispatcher = step.dispatcher_;
  const Verdict verdict = hedge::DecideHedge(
      dispatcher.hedge_, dispatcher.options_.hedges_, facts, step.now_);
  if (verdict == Verdict::kSend &&
      !TryConsumeHedge(dispatcher.budget_, dispatcher.options_.repeats_,
                       RepeatSharers(step), call.pool_, step.now_)) {
    return Verdict::kNoRepeat;
  }
  return verdict;
}

void HedgeCall(Step& step, ActiveCall& call) {
  if (!MayServeKey(step, call)) {
    return;
  }
  const hedge::HedgeFacts facts = GatherFacts(step, call);
  const Verdict verdict = JudgeHedge(step, call, facts);
  RecordVerdict(step, call, verdict);
  if (verdict == Verdict::kSend) {
    SendHedge(step, call, *FindServer(step.dispatcher_.pool_, facts.server_));
  }
}

bool UsesHedges(const Step& step, const ActiveCall& call) {
  return hedge::ShareOf(step.dispatcher_.options_.hedges_, call.pool_) > 0;
}

}  // namespace

std::string LatencyClass(const ActiveCall& call) {
  return absl::StrCat(call.rule_->match_.host_, call.rule_->match_.path_);
}

void HedgeSlowCalls(Step& step) {
  Dispatcher& dispatcher = step.dispatcher_;
  for (auto& [id, call] : dispatcher.calls_) {
    if (!AwaitsAnswer(call) || !UsesHedges(step, call)) {
      continue;
    }
    const auto delay =
        hedge::HedgeDelay(dispatcher.hedge_, dispatcher.options_.hedges_,
                          call.pool_, LatencyClass(call), step.now_);
    if (delay.has_value() && step.now_ - call.sent_at_ >= *delay) {
      HedgeCall(step, call);
    }
  }
}

HedgeForecast ForecastHedge(Step& step, const ActiveCall& call) {
  HedgeForecast forecast;
  hedge::HedgeFacts facts = GatherFacts(step, call);
  const auto delay = hedge::HedgeDelay(step.dispatcher_.hedge_,
                                       step.dispatcher_.options_.hedges_,
                                       call.pool_, facts.class_, step.now_);
  forecast.delay_ = delay.value_or(Milliseconds(0));
  facts.elapsed_ += forecast.delay_;
  facts.time_left_ -= forecast.delay_;
  forecast.verdict_ = JudgeHedge(step, call, facts);
  forecast.server_ = facts.server_;
  return forecast;
}

void RecordCallTime(Step& step, const ActiveCall& call, bool longer) {
  if (!UsesHedges(step, call)) {
    return;
  }
  hedge::HedgeState& state = step.dispatcher_.hedge_;
  const core::Nanoseconds took = step.now_ - call.sent_at_;
  // One time for each call: later attempts follow failures and slow answers.
  if (call.attempt_ == 1) {
    hedge::RecordClassTime(state, call.pool_, LatencyClass(call), took, longer,
                           step.now_);
  }
  hedge::RecordServerTime(state, call.pool_, call.server_, took, longer,
                          step.now_);
}

void RecordShortOfRoom(Step& step, const ActiveCall& call) {
  if (UsesHedges(step, call)) {
    hedge::RecordShortage(step.dispatcher_.hedge_, call.pool_, step.now_);
  }
}

void ReleaseHedge(Step& step, ActiveCall& call) {
  if (!call.hedge_.has_value()) {
    return;
  }
  ServerState* server =
      FindServer(step.dispatcher_.pool_, call.hedge_->server_);
  if (server != nullptr) {
    RecordCallEnd(*server);
    server->request_bytes_ -=
        std::min(server->request_bytes_, call.hedge_->counted_bytes_);
  }
  call.hedge_.reset();
}

bool PromoteHedge(ActiveCall& call) {
  if (!call.hedge_.has_value()) {
    return false;
  }
  call.attempt_ = call.hedge_->attempt_;
  call.server_ = call.hedge_->server_;
  call.sent_at_ = call.hedge_->sent_at_;
  call.counted_bytes_ = call.hedge_->counted_bytes_;
  call.silence_recorded_ = false;
  call.hedge_.reset();
  return true;
}

void OnHedgeDone(Step& step, ActiveCall& call, const AttemptDone& event) {
  Dispatcher& dispatcher = step.dispatcher_;
  if (event.outcome_ == AttemptOutcome::kDelivered) {
    ++dispatcher.counters_.hedges_won_;
    RecordCallTime(step, call, true);  // Of the first attempt.
    ReleaseAttempt(step, call);
    PromoteHedge(call);
    OnPlainDone(step, call, event);
    return;
  }
  const std::string name = call.hedge_->server_;
  ReleaseHedge(step, call);
  call.avoid_.push_back(name);
  ServerState* server = FindServer(dispatcher.pool_, name);
  if (event.outcome_ == AttemptOutcome::kServerError) {
    call.has_server_error_ = true;
    call.run_state_ = RunState::kRan;
    if (server != nullptr) {
      RecordAnswer(*server, true, step.now_);
    }
  } else if (event.outcome_ == AttemptOutcome::kRefused) {
    RecordShortOfRoom(step, call);
    if (server != nullptr) {
      RecordRefusedAttempt(step, call, *server, event.misdirected_);
    }
  } else {
    call.run_state_ = core::MaxState(call.run_state_, event.run_state_);
    if (server != nullptr) {
      RecordFailure(*server, step.now_);
    }
  }
  // A server that no byte reached is none of those that the rule allows.
  const bool unsent = event.outcome_ == AttemptOutcome::kFailed &&
                      event.run_state_ == RunState::kNotRun;
  call.sends_ += unsent ? 0 : 1;
}

}  // namespace siskindrum::dispatch
