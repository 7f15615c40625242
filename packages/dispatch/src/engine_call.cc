#include <algorithm>

#include "absl/strings/str_cat.h"
#include "dispatcher_p.h"

namespace siskindrum::dispatch {

namespace {

Milliseconds ToMilliseconds(double ms) {
  return Milliseconds(static_cast<std::int64_t>(ms));
}

void SendPrefill(Step& step, ActiveCall& call, ServerState& server) {
  ++step.dispatcher_.counters_.prefills_elsewhere_;
  call.prefill_was_unqueued_ = server.prefill_tokens_ == 0;
  const std::uint32_t tokens = call.call_.shape_.prompt_tokens_;
  const double expected = EstimatePrefillMs(server, tokens, step.now_);
  call.expected_prefill_ms_ = expected;
  call.prefill_server_ = server.info_.name_;
  call.counted_prefill_ = tokens;
  server.prefill_tokens_ += tokens;
  StartAttempt start = BeginAttempt(step, call, Stage::kPrefill, server);
  start.first_byte_timeout_ = std::max(
      kMinPrefillTimeout, ToMilliseconds(kPrefillTimeoutFactor * expected));
  LogAttempt(step, call, start, expected);
  step.actions_.emplace_back(std::move(start));
}

// Returns the time until the prefill result has reached the decode engine,
// including the recent delay of its sender.
double ExpectedTransferMs(const Step& step,
                          const ActiveCall& call,
                          const ServerState& decode) {
  const ServerState* sender =
      FindServer(step.dispatcher_.pool_, call.prefill_server_);
  const double delay = sender == nullptr
                           ? 0
                           : CurrentDelayMs(sender->transfer_delay_, step.now_);
  return delay +
         TransferMs(core::FindPool(call.configuration_->rules_, call.pool_),
                    call.call_.shape_.prompt_tokens_,
                    sender != nullptr &&
                        sender->info_.domain_ != decode.info_.domain_);
}

// Measures how long the prefill result took to reach the decode engine.
// `lost` is true when it lapsed on its way.
void RecordTransfer(Step& step, ActiveCall& call, bool lost) {
  ServerState* sender =
      FindServer(step.dispatcher_.pool_, call.prefill_server_);
  const core::PoolSettings* settings =
      core::FindPool(call.configuration_->rules_, call.pool_);
  if (sender == nullptr || settings == nullptr ||
      call.expected_transfer_ms_ == 0) {
    return;
  }
  const double expected =
      call.expected_transfer_ms_ + ToMs(kFirstDecodeStepTime);
  const double took = lost ? expected + ToMs(settings->handle_)
                           : ToMs(step.now_ - call.sent_at_);
  RecordDelay(sender->transfer_delay_, expected, took, step.now_);
  call.expected_transfer_ms_ = 0;
}

// Sends the request to its decode engine, with the prefill result if it has
// one.
void SendDecode(Step& step, ActiveCall& call) {
  ServerState* server = FindServer(step.dispatcher_.pool_, call.decode_server_);
  if (server == nullptr ||
      !AcceptsNewWork(step.dispatcher_.pool_, *server, step.now_) ||
      !FitsVersion(MakePlacementRequest(step, call), *server,
                   core::ServerRole::kDecode)) {
    ReleaseDecode(step, call);
    AssignDecodeEngine(step, call);
    return;
  }
  if (RefuseKey(step, call) || RefuseQuarantined(step, call)) {
    return;
  }
  std::string denied;
  if (!AllowAttempt(step, call, &denied)) {
    FailCall(step, call, core::Reason::kRetriesExhausted, denied);
    return;
  }
  const bool direct = call.handle_.empty();
  const std::uint32_t prompt = call.call_.shape_.prompt_tokens_;
  double expected = kPrefillOverheadMs;
  call.expected_transfer_ms_ = 0;
  if (direct) {
    ++step.dispatcher_.counters_.prefills_direct_;
    expected =
        kDirectPrefillFactor * EstimatePrefillMs(*server, prompt, step.now_);
    call.counted_prefill_ = prompt;
    server->prefill_tokens_ += prompt;
  } else {
    call.expected_transfer_ms_ = ExpectedTransferMs(step, call, *server);
    expected += call.expected_transfer_ms_;
  }
  StartAttempt start = BeginAttempt(step, call, Stage::kDecode, *server);
  start.source_address_ = call.handle_address_;
  start.handle_ = call.handle_;
  if (direct && call.prompt_address_ != server->info_.address_) {
    start.fetch_address_ = call.prompt_address_;
  }
  start.resume_after_ = call.last_event_;
  if (step.now_ + kReservationExpiryMargin < call.reservation_expires_at_) {
    start.hold_ = call.hold_;
  }
  const bool can_retry =
      IsRepeatable(call) && call.sends_ < call.rule_->outcome_.retries_;
  if (can_retry) {
    start.first_byte_timeout_ =
        kFirstEventTimeout + ToMilliseconds(2 * expected);
    start.event_timeout_ = kNextEventTimeout;
  }
  call.hold_.clear();
  call.handle_.clear();
  call.handle_address_.clear();
  LogAttempt(step, call, start, expected);
  step.actions_.emplace_back(std::move(start));
}

// Starts the stage that follows the choice of a decode engine.
void SendPrefillOrDecode(Step& step, ActiveCall& call) {
  if (RefuseKey(step, call) || RefuseQuarantined(step, call)) {
    return;
  }
  if (!call.handle_.empty() || call.direct_) {
    SendDecode(step, call);
    return;
  }
  PlacementRequest request = MakePlacementRequest(step, call);
  const EnginePlacement plan =
      PlaceEngines(step.dispatcher_.pool_, request, step.now_);
  ServerState* prefill = FindServer(step.dispatcher_.pool_, plan.prefill_);
  if (prefill == nullptr) {
    call.direct_ = true;
    SendDecode(step, call);
  } else {
    SendPrefill(step, call, *prefill);
  }
}

// Lifetime of a reservation in the pool. Requires: the pool's engines support
// reservations.
Milliseconds ReservationTime(const PlacementRequest& request) {
  return std::min(kMaxReservationTime, request.pool_settings_->hold_);
}

void Reserve(Step& step, ActiveCall& call, ServerState& server) {
  ++step.dispatcher_.counters_.reserves_;
  ++call.reserves_;
  StartAttempt start = BeginAttempt(step, call, Stage::kReserve, server);
  const PlacementRequest request = MakePlacementRequest(step, call);
  start.hold_tokens_ = request.prompt_tokens_ + request.answer_tokens_;
  start.hold_time_ = ReservationTime(request);
  start.first_byte_timeout_ = kReserveTimeout;
  step.actions_.emplace_back(std::move(start));
}

// Retries on a decode engine that also prefills, because the prefill result is
// lost or the answer resumes midway.
void RetryWithDirectPrefill(Step& step, ActiveCall& call) {
  if (call.sends_ > call.rule_->outcome_.retries_) {
    FailCall(step, call, core::Reason::kRetriesExhausted,
             "the rule allows no more retries");
    return;
  }
  call.direct_ = true;
  call.reserves_ = 0;
  AssignDecodeEngine(step, call);
}

}  // namespace

void AssignDecodeEngine(Step& step, ActiveCall& call) {
  if (RefuseKey(step, call) || RefuseQuarantined(step, call)) {
    return;
  }
  const PlacementRequest request = MakePlacementRequest(step, call);
  const EnginePlacement plan =
      PlaceDecode(step.dispatcher_.pool_, request, call.direct_, step.now_);
  ServerState* server = FindServer(step.dispatcher_.pool_, plan.decode_);
  if (server == nullptr) {
    HandleNoServer(step, call, core::ServerRole::kDecode);
    return;
  }
  const bool denied = IsCapacityShort(step, call) && !CanFinish(step, call);
  if (plan.full_ || denied || call.reserves_ >= kMaxReserveAttempts ||
      !LeavesHeadroom(step, call, request, *server)) {
    WaitForCapacity(step, call);
    return;
  }
  call.decode_server_ = server->info_.name_;
  call.counted_decode_ = request.prompt_tokens_ + request.answer_tokens_;
  server->held_tokens_ += call.counted_decode_;
  const bool can_reserve = request.pool_settings_ != nullptr &&
                           request.pool_settings_->hold_.count() > 0;
  if (can_reserve) {
    Reserve(step, call, *server);
  } else {
    RecordGrant(step, call);
    SendPrefillOrDecode(step, call);
  }
}

void OnReserveDone(Step& step, ActiveCall& call, const ReserveDone& event) {
  ServerState* server = FindServer(step.dispatcher_.pool_, call.server_);
  ReleaseAttempt(step, call);
  if (event.ok_) {
    if (server != nullptr) {
      RecordResponse(*server);
    }
    call.hold_ = event.hold_;
    if (server != nullptr &&
        !AcceptsNewWork(step.dispatcher_.pool_, *server, step.now_)) {
      ReleaseDecode(step, call);
      AssignDecodeEngine(step, call);
      return;
    }
    if (call.reserved_at_ == TimePoint{}) {
      call.reserved_at_ = step.now_;
    }
    RecordGrant(step, call);
    call.reservation_expires_at_ =
        step.now_ + ReservationTime(MakePlacementRequest(step, call));
    call.reserves_ = 0;
    SendPrefillOrDecode(step, call);
    return;
  }
  ReleaseDecode(step, call);
  if (server != nullptr && event.misdirected_) {
    RecordRefusedAttempt(step, call, *server, true);
  } else if (server != nullptr && event.refused_) {
    ++step.dispatcher_.counters_.reserves_refused_;
    server->full_until_ = step.now_ + kFullBackoff;
  } else if (server != nullptr) {
    RecordFailure(*server, step.now_);
  }
  AssignDecodeEngine(step, call);
}

void OnPrefillDone(Step& step, ActiveCall& call, const PrefillDone& event) {
  const std::string name = call.server_;
  ServerState* server = FindServer(step.dispatcher_.pool_, name);
  const double took = ToMs(step.now_ - call.sent_at_);
  const std::uint32_t tokens = call.counted_prefill_;
  const bool unqueued = call.prefill_was_unqueued_;
  ReleaseAttempt(step, call);
  if (server != nullptr && !event.refused_ && event.sent_) {
    RecordDelay(server->prefill_delay_, call.expected_prefill_ms_, took,
                step.now_);
  }
  if (event.ok_) {
    if (server != nullptr) {
      RecordResponse(*server);
      constexpr double kWeight = 0.2;
      if (unqueued && took > kPrefillOverheadMs) {
        server->prefill_tokens_per_ms_ =
            Smooth(server->prefill_tokens_per_ms_,
                   tokens / (took - kPrefillOverheadMs / 2), kWeight);
      }
      call.handle_address_ = server->info_.address_;
      call.prompt_address_ = server->info_.address_;
    }
    call.handle_ = event.handle_;
    SendDecode(step, call);
    return;
  }
  call.avoid_.push_back(name);
  // The abandoned prefill may have arrived, which makes any further send a
  // repeat.
  call.sent_before_ = call.sent_before_ || event.sent_;
  if (event.refused_) {
    // A refused prefill counts against the rule's retries; one that succeeded
    // or failed does not.
    ++call.sends_;
    if (server != nullptr) {
      RecordRefusedAttempt(step, call, *server, event.misdirected_);
    }
  } else if (server != nullptr) {
    RecordFailure(*server, step.now_);
  }
  call.direct_ = true;
  SendDecode(step, call);
}

void OnAnswerBegan(Step& step, ActiveCall& call) {
  ServerState* server = FindServer(step.dispatcher_.pool_, call.server_);
  if (server != nullptr) {
    RecordResponse(*server);
  }
  ReleasePrefill(server, call);
  ReleaseHedge(step, call);
  RecordTransfer(step, call, false);
  if (!call.answer_begun_) {
    call.begun_at_ = step.now_;
  }
  call.answer_begun_ = true;
  call.run_state_ = RunState::kRan;
  RecordStreamVersion(step, call);
}

void OnDecodeDone(Step& step, ActiveCall& call, const AttemptDone& event) {
  Dispatcher& dispatcher = step.dispatcher_;
  const std::string name = call.server_;
  ServerState* server = FindServer(dispatcher.pool_, name);
  if (event.caller_was_slow_) {
    CutSlowCaller(step, call, event);
    return;
  }
  RecordCrashSuspect(step, call, event);
  if (server != nullptr && event.connection_lost_) {
    server->connection_lost_at_ = step.now_;
  }
  if (event.last_event_.has_value()) {
    call.last_event_ = event.last_event_;
  }
  // The report that the answer began may have been lost.
  if (event.wrote_events_ && !call.stream_version_.has_value()) {
    RecordStreamVersion(step, call);
  }
  call.longest_gap_ = event.longest_gap_;
  const bool is_error = event.outcome_ == AttemptOutcome::kServerError;
  if (server != nullptr &&
      (event.outcome_ == AttemptOutcome::kDelivered || is_error)) {
    RecordAnswer(*server, is_error, step.now_);
  }
  if (event.outcome_ == AttemptOutcome::kDelivered) {
    call.run_state_ = RunState::kRan;
    RecordTokenTime(step, call);
    RecordDeliveredLength(step, call);
    if (event.wrote_events_ && !event.ended_by_close_) {
      RecordHarmlessCall(step, call);
    }
    ++dispatcher.counters_.delivered_;
    EndCall(step, call, "delivered");
    return;
  }
  ReleaseAttempt(step, call);
  ReleaseDecode(step, call);
  call.avoid_.push_back(name);
  if (event.outcome_ == AttemptOutcome::kRefused) {
    if (!event.misdirected_) {
      RecordTransfer(step, call, true);
    }
    if (server != nullptr) {
      RecordRefusedAttempt(step, call, *server, event.misdirected_);
    }
    ++call.sends_;
    call.sent_before_ = true;
    RetryWithDirectPrefill(step, call);
    return;
  }
  if (!is_error && server != nullptr) {
    RecordFailure(*server, step.now_);
  }
  call.has_server_error_ = call.has_server_error_ || is_error;
  call.run_state_ = core::MaxState(call.run_state_, event.run_state_);
  if (event.run_state_ == RunState::kNotRun) {
    if (++call.connect_failures_ < kMaxConnectAttempts) {
      RetryWithDirectPrefill(step, call);
      return;
    }
  } else {
    ++call.sends_;
    call.sent_before_ = true;
    if (IsRepeatable(call) && event.can_resume_) {
      dispatcher.counters_.resumed_ += call.answer_begun_ ? 1 : 0;
      RetryWithDirectPrefill(step, call);
      return;
    }
  }
  FailCall(step, call, event.reason_, event.detail_);
}

}  // namespace siskindrum::dispatch
