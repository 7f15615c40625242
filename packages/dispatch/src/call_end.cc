#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "dispatcher_p.h"

namespace siskindrum::dispatch {

namespace {

// Lowest percentage of retry-after advice that jitter leaves.
constexpr std::int64_t kNeverEarlier = 100;
constexpr std::int64_t kAround = 75;

// Adds jitter, so that callers refused together do not return together.
Milliseconds AddJitter(Step& step,
                       Milliseconds retry_after,
                       std::int64_t min_percent) {
  std::uniform_int_distribution<std::int64_t> part(min_percent, 150);
  return Milliseconds(retry_after.count() * part(step.dispatcher_.random_) /
                      100);
}

Milliseconds RetryAfterFor(core::Reason reason) {
  return reason == core::Reason::kNoServer || reason == core::Reason::kNotReady
             ? kRetryAfterNoServer
         : reason == core::Reason::kOverloaded ? kRetryAfterOverload
                                               : kRetryAfterBusy;
}

void LogEnd(Step& step,
            const ActiveCall& call,
            const std::string& outcome,
            const std::string& detail) {
  core::LogEvent log{
      "request_done",
      {{"request", call.call_.label_},
       {"outcome", outcome},
       {"verdict", core::ToString(call.run_state_)},
       {"rule_line",
        std::to_string(call.rule_ == nullptr ? 0 : call.rule_->line_)},
       {"revision", std::to_string(call.configuration_ == nullptr
                                       ? 0
                                       : call.configuration_->revision_)},
       {"organisation", call.organisation_},
       {"server", call.server_},
       {"sends", std::to_string(call.sends_)},
       {"ms", FormatMs(step.now_ - call.arrived_at_)},
       {"left_ms", std::to_string(call.call_.time_left_.count())}}};
  if (call.reserved_at_ != TimePoint{}) {
    log.fields_.push_back(
        {"room_ms", FormatMs(call.reserved_at_ - call.arrived_at_)});
  }
  if (call.answer_begun_) {
    log.fields_.push_back(
        {"first_ms", FormatMs(call.begun_at_ - call.arrived_at_)});
    log.fields_.push_back({"gap_ms", FormatMs(call.longest_gap_)});
  }
  if (call.last_event_.has_value()) {
    log.fields_.push_back({"events", absl::StrCat(*call.last_event_)});
  }
  if (call.call_.prompt_ != 0) {
    log.fields_.push_back(
        {"prompt", absl::StrCat(absl::Hex(call.call_.prompt_))});
    log.fields_.push_back(
        {"shared_parts", FormatParts(call.call_.shared_parts_)});
    log.fields_.push_back(
        {"prompt_tokens", absl::StrCat(call.call_.shape_.prompt_tokens_)});
    log.fields_.push_back(
        {"answer_tokens", absl::StrCat(call.call_.answer_tokens_)});
  }
  AddUrgency(step, call, log);
  if (!detail.empty()) {
    log.fields_.push_back({"detail", detail});
  }
  step.actions_.push_back(std::move(log));
}

void RecordEnd(Step& step,
               const ActiveCall& call,
               const std::string& outcome,
               const std::string& reason) {
  const auto found =
      step.dispatcher_.decisions_.records_.find(call.call_.label_);
  if (found == step.dispatcher_.decisions_.records_.end()) {
    return;
  }
  found->second.outcome_ = outcome;
  found->second.reason_ = reason;
  found->second.attempts_ = call.attempts_;
  found->second.total_ =
      std::chrono::duration_cast<Milliseconds>(step.now_ - call.arrived_at_);
}

// Common part of every completion; destroys `call`.
void CloseCall(Step& step,
               ActiveCall& call,
               const std::string& outcome,
               const std::string& detail) {
  LogEnd(step, call, outcome, detail);
  RecordEnd(step, call, outcome, detail);
  SettleQuota(step, call);
  ReleaseAttempt(step, call);
  ReleaseHedge(step, call);
  ReleaseDecode(step, call);
  ReleaseHandle(step, call);
  step.dispatcher_.calls_.erase(call.id_);
}

// Adds the chosen server and the candidates of its role to the decision record.
void RecordChoice(Step& step, const ActiveCall& call) {
  const auto found =
      step.dispatcher_.decisions_.records_.find(call.call_.label_);
  if (found == step.dispatcher_.decisions_.records_.end() ||
      call.stage_ == Stage::kReserve) {
    return;
  }
  core::DecisionRecord& record = found->second;
  if (call.stage_ == Stage::kPrefill) {
    record.prefill_ = call.server_;
  } else {
    record.decode_ = call.server_;
  }
  const ServerState* chosen = FindServer(step.dispatcher_.pool_, call.server_);
  record.candidates_.clear();
  for (const auto& [name, server] : step.dispatcher_.pool_.servers_) {
    if (record.candidates_.size() == kMaxExplainedCandidates) {
      break;
    }
    if (server.info_.service_ != call.pool_ ||
        server.info_.role_ != chosen->info_.role_) {
      continue;
    }
    record.candidates_.push_back(
        {name, ToString(call.stage_),
         absl::StrCat(
             server.calls_, " calls, ", server.held_tokens_, " tokens held, ",
             server.prefill_tokens_, " tokens to prefill, domain ",
             server.info_.domain_,
             IsInService(step.dispatcher_.pool_, server, step.now_)
                 ? ""
                 : ", leaving",
             IsPaused(step.dispatcher_.pool_, server, step.now_) ? ", paused"
                                                                 : "",
             server.suspended_until_ > step.now_ ? ", suspended" : "",
             server.full_until_ > step.now_ ? ", full" : "",
             server.role_change_until_ > step.now_ ? ", changing role" : "")});
  }
}

}  // namespace

std::string FormatMs(core::Nanoseconds duration) {
  return std::to_string(
      std::chrono::duration_cast<Milliseconds>(duration).count());
}

std::string FormatParts(const std::vector<std::uint64_t>& parts) {
  return absl::StrJoin(parts, ",", [](std::string* out, std::uint64_t part) {
    absl::StrAppend(out, absl::Hex(part));
  });
}

bool IsRepeatable(const ActiveCall& call) {
  const core::RuleOutcome& outcome = call.rule_->outcome_;
  return outcome.kind_ == core::BackendKind::kPlain
             ? outcome.repeat_ == core::Repeat::kAllowed
             : outcome.resume_ == core::Resume::kAllowed;
}

namespace {

// Answer lengths depend on pool and route, so they are kept across revisions of
// the rules.
std::string AnswerLengthKey(const ActiveCall& call) {
  return absl::StrCat(call.pool_, " ", call.rule_->match_.host_,
                      call.rule_->match_.path_);
}

}  // namespace

std::uint32_t AnswerTokensToReserve(const Step& step, const ActiveCall& call) {
  std::uint32_t tokens = call.call_.answer_tokens_;
  if (tokens == 0) {
    return 0;  // Unknown length, as for every plain call.
  }
  const auto known =
      step.dispatcher_.answer_lengths_.find(AnswerLengthKey(call));
  if (known != step.dispatcher_.answer_lengths_.end()) {
    tokens = EstimateLength(known->second, tokens, kReservedLengthDeviations);
  }
  const std::uint32_t max_tokens = call.call_.shape_.max_tokens_;
  return max_tokens > 0 ? std::min(tokens, max_tokens) : tokens;
}

void RecordDeliveredLength(Step& step, const ActiveCall& call) {
  const core::PoolSettings* settings =
      core::FindPool(call.configuration_->rules_, call.pool_);
  if (settings == nullptr || !call.last_event_.has_value()) {
    return;
  }
  const std::uint64_t tokens = *call.last_event_ * settings->event_tokens_;
  RecordAnswerLength(
      step.dispatcher_.answer_lengths_[AnswerLengthKey(call)],
      call.call_.answer_tokens_,
      static_cast<std::uint32_t>(std::min<std::uint64_t>(tokens, UINT32_MAX)));
}

PlacementRequest MakePlacementRequest(const Step& step,
                                      const ActiveCall& call) {
  PlacementRequest request;
  request.pool_ = call.pool_;
  request.domain_ = step.dispatcher_.options_.domain_;
  request.prompt_tokens_ = call.call_.shape_.prompt_tokens_;
  request.answer_tokens_ = AnswerTokensToReserve(step, call);
  request.pool_settings_ =
      core::FindPool(call.configuration_->rules_, call.pool_);
  request.request_bytes_ = call.call_.request_bytes_;
  request.max_request_bytes_ = call.configuration_->rules_.callers_.body_bytes_;
  request.avoid_ = call.avoid_;
  request.software_version_ = call.stream_version_;
  request.draw_ = call.draw_;
  request.trace_ = step.dispatcher_.trace_;
  return request;
}

void ReleasePrefill(ServerState* server, ActiveCall& call) {
  if (server != nullptr) {
    server->prefill_tokens_ -=
        std::min(server->prefill_tokens_, call.counted_prefill_);
  }
  call.counted_prefill_ = 0;
}

void ReleaseAttempt(Step& step, ActiveCall& call) {
  ServerState* server = FindServer(step.dispatcher_.pool_, call.server_);
  if (server != nullptr) {
    RecordCallEnd(*server);
    server->request_bytes_ -=
        std::min(server->request_bytes_, call.counted_bytes_);
  }
  call.counted_bytes_ = 0;
  ReleasePrefill(server, call);
  call.server_.clear();
}

void ReleaseDecode(Step& step, ActiveCall& call) {
  ServerState* server = FindServer(step.dispatcher_.pool_, call.decode_server_);
  RecordCapacityRelease(step, call);
  if (server != nullptr) {
    server->held_tokens_ -=
        std::min(server->held_tokens_, call.counted_decode_);
    server->full_until_ = {};
    // A paused engine wants no release either; the reservation expires soon.
    if (!call.hold_.empty() &&
        !IsPaused(step.dispatcher_.pool_, *server, step.now_)) {
      step.actions_.emplace_back(
          ReleaseReservation{server->info_.address_, call.hold_,
                             server->info_.name_, server->info_.incarnation_});
    }
  }
  call.counted_decode_ = 0;
  call.hold_.clear();
  call.decode_server_.clear();
}

void ReleaseHandle(Step& step, ActiveCall& call) {
  if (call.handle_.empty()) {
    return;
  }
  ServerPool& pool = step.dispatcher_.pool_;
  const ServerState* server = FindServer(pool, call.prefill_server_);
  // The result of a paused engine expires by itself.
  if (server == nullptr || !IsPaused(pool, *server, step.now_)) {
    ++step.dispatcher_.counters_.handles_freed_;
    step.actions_.emplace_back(
        FreeHandle{call.handle_address_, call.handle_, call.prefill_server_,
                   server == nullptr ? 0 : server->info_.incarnation_});
  }
  call.handle_.clear();
}

void EndCall(Step& step, ActiveCall& call, const std::string& outcome) {
  CloseCall(step, call, outcome, "");
}

void FailCall(Step& step,
              ActiveCall& call,
              core::Reason reason,
              const std::string& detail) {
  Dispatcher& dispatcher = step.dispatcher_;
  std::string outcome = "refused";
  if (call.has_server_error_ && !call.answer_begun_) {
    outcome = "server_error";
    ++dispatcher.counters_.server_errors_;
    step.actions_.emplace_back(DeliverServerError{call.id_});
  } else {
    Refuse refuse;
    refuse.request_ = call.id_;
    refuse.verdict_.run_state_ = call.run_state_;
    refuse.verdict_.reason_ = reason;
    refuse.verdict_.detail_ = detail;
    ++dispatcher.counters_.failed_by_reason_[static_cast<std::size_t>(reason)];
    if (call.answer_begun_) {
      outcome = "cut";
      ++dispatcher.counters_.cut_;
    } else if (call.run_state_ == RunState::kNotRun) {
      const bool is_final = reason == core::Reason::kUnauthorised;
      refuse.verdict_.retry_after_ =
          is_final ? Milliseconds(0)
          : call.retry_after_.count() > 0
              ? AddJitter(step, call.retry_after_, kNeverEarlier)
              : AddJitter(step, RetryAfterFor(reason), kAround);
      ++dispatcher.counters_.refused_not_run_;
    } else {
      outcome = "failed";
      ++dispatcher.counters_.failed_may_have_run_;
    }
    step.actions_.emplace_back(std::move(refuse));
  }
  CloseCall(
      step, call, outcome,
      absl::StrCat(core::ToString(reason), detail.empty() ? "" : ": ", detail));
}

void CutSlowCaller(Step& step, ActiveCall& call, const AttemptDone& event) {
  ServerState* server = FindServer(step.dispatcher_.pool_, call.server_);
  if (server != nullptr) {
    RecordResponse(*server);
  }
  call.run_state_ = RunState::kRan;
  call.longest_gap_ = event.longest_gap_;
  FailCall(step, call, event.reason_,
           absl::StrCat("the caller did not read: ", event.detail_));
}

std::size_t RepeatSharers(const Step& step) {
  const Dispatcher& dispatcher = step.dispatcher_;
  const Peers& peers = dispatcher.peers_;
  // An earlier process of this entry may have used its whole share just before
  // it ended.
  const bool inherits =
      dispatcher.options_.restarted_ &&
      step.now_ - dispatcher.started_at_ < dispatcher.options_.repeats_.window_;
  const bool settled = step.now_ - std::max(peers.entry_count_grew_at_,
                                            dispatcher.started_at_) >=
                       kEntryCountSettleTime;
  if (inherits || (!peers.seeds_.empty() && !settled)) {
    return 0;
  }
  const std::size_t entries =
      std::max(peers.max_entries_seen_, KnownEntryCount(peers));
  return entries == 1 ? kDefaultRepeatSharers : entries;
}

bool GrantRepeat(Step& step, ActiveCall& call) {
  Dispatcher& dispatcher = step.dispatcher_;
  call.repeat_granted_ =
      call.repeat_granted_ ||
      TryConsumeRepeat(dispatcher.budget_, dispatcher.options_.repeats_,
                       RepeatSharers(step), call.pool_, step.now_);
  return call.repeat_granted_;
}

bool AllowAttempt(Step& step, ActiveCall& call, std::string* denied) {
  if (call.sends_ > call.rule_->outcome_.retries_) {
    *denied = "the rule allows no more retries";
    return false;
  }
  if (!call.sent_before_) {
    return true;
  }
  if (!GrantRepeat(step, call)) {
    ++step.dispatcher_.counters_.repeats_denied_;
    *denied = "the repeat budget is exhausted";
    return false;
  }
  call.repeat_granted_ = false;
  ++step.dispatcher_.counters_.repeats_;
  return true;
}

void RecordRefusedAttempt(Step& step,
                          const ActiveCall& call,
                          ServerState& server,
                          bool misdirected) {
  if (!misdirected) {
    RecordRefusal(server, step.now_);
    return;
  }
  const char* believed = core::ToString(server.info_.role_);
  RecordMisdirected(server);
  step.actions_.emplace_back(core::LogEvent{
      "server_misdirected",
      {{"request", call.call_.label_},
       {"server", server.info_.name_},
       {"stage", ToString(call.stage_)},
       {"believed", believed},
       {"taken_for",
        server.misdirected_ ? "gone" : core::ToString(server.info_.role_)},
       {"listed_ms", FormatMs(step.now_ - server.changed_at_)}}});
}

StartAttempt DescribeAttempt(const Step& step,
                             const ActiveCall& call,
                             Stage stage,
                             const ServerState& server,
                             std::uint32_t attempt) {
  StartAttempt start;
  start.request_ = call.id_;
  start.attempt_ = attempt;
  start.stage_ = stage;
  start.server_ = server.info_.name_;
  start.address_ = server.info_.address_;
  start.incarnation_ = server.info_.incarnation_;
  start.decided_at_ = step.now_;
  start.deadline_ = call.deadline_;
  start.organisation_ = call.organisation_;
  start.removes_key_ = HasOrganisations(step.dispatcher_.configuration_);
  start.priority_ = EnginePriority(step, call);
  return start;
}

StartAttempt BeginAttempt(Step& step,
                          ActiveCall& call,
                          Stage stage,
                          ServerState& server) {
  ++step.dispatcher_.counters_.attempts_;
  call.attempt_ = ++call.attempts_;
  call.stage_ = stage;
  call.server_ = server.info_.name_;
  call.attempt_version_ = server.info_.software_version_;
  call.sent_at_ = step.now_;
  call.silence_recorded_ = false;
  RecordChoice(step, call);
  RecordCallStart(server, step.now_);
  call.counted_bytes_ =
      stage == Stage::kReserve ? 0 : call.call_.request_bytes_;
  server.request_bytes_ += call.counted_bytes_;
  return DescribeAttempt(step, call, stage, server, call.attempt_);
}

void LogAttempt(Step& step,
                const ActiveCall& call,
                const StartAttempt& start,
                double expected_ms) {
  const ServerState* server = FindServer(step.dispatcher_.pool_, start.server_);
  step.actions_.emplace_back(core::LogEvent{
      "attempt_started",
      {{"request", call.call_.label_},
       {"attempt", std::to_string(start.attempt_)},
       {"stage", ToString(start.stage_)},
       {"pool", call.pool_},
       {"organisation", start.organisation_},
       {"server", start.server_},
       {"software", server->info_.software_version_},
       {"rule_line", std::to_string(call.rule_->line_)},
       {"revision", std::to_string(call.configuration_->revision_)},
       {"server_calls", std::to_string(server->calls_)},
       {"prefill_tokens", std::to_string(server->prefill_tokens_)},
       {"listed_ms", FormatMs(step.now_ - server->changed_at_)},
       {"expected_ms",
        std::to_string(static_cast<std::int64_t>(expected_ms))}}});
}

}  // namespace siskindrum::dispatch
