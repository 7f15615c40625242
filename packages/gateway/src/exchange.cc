#include "exchange_p.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "siskindrum/dispatch/limits.h"
#include "siskindrum/http/clock.h"
#include "siskindrum/memory/decision.h"

namespace siskindrum::gateway {

namespace {

// Successful answers of plain calls are buffered up to this size; larger ones
// are streamed.
constexpr std::size_t kMaxBufferedBytes = 256 * 1024;
// Limit of a single event; the attempt fails above it.
constexpr std::size_t kMaxEventBytes = 256 * 1024;
// Limit of the answer to a reservation or a prefill, which names a handle.
constexpr std::uint64_t kMaxHandleAnswerBytes = 64 * 1024;
// Time between two reports of the same silence.
constexpr core::Milliseconds kSilenceReportInterval{100};
// Servers cut off answers that nobody reads after some seconds, so a shorter
// pause is not the reason for a lost connection.
constexpr core::Milliseconds kLeastCutTime{1000};
// After such a pause a cut is noticed within this time: what has arrived before
// it is read first.
constexpr core::Milliseconds kCutNoticeTime{2000};
constexpr char kSilenceDetail[] = "timeout: no data from the server";

using core::Reason;
using core::RunState;
using dispatch::AttemptOutcome;
using dispatch::Stage;

bool IsEventStream(const http::Head& head) {
  const std::string* type = http::FindField(head, "Content-Type");
  return type != nullptr &&
         absl::StartsWithIgnoreCase(*type, "text/event-stream");
}

}  // namespace

Exchange::Exchange(const core::RequestId& id,
                   const std::string& label,
                   std::shared_ptr<http::CallerConnection> caller,
                   http::CallerRequest request,
                   ExchangeContext& context)
    : id_(id),
      label_(label),
      caller_(std::move(caller)),
      request_(std::move(request)),
      request_body_(
          std::make_shared<const http::Body>(std::move(request_.body_))),
      context_(context),
      answer_charge_(context.budget_, memory::Use::kCallerAnswer) {}

std::optional<dispatch::ServerNoticeReceived> ReadNotice(
    const AnswerFields& fields,
    const std::string& server,
    core::Incarnation incarnation) {
  if (fields.misdirected_ || (!fields.leaving_ && fields.pause_.count() == 0)) {
    return std::nullopt;
  }
  return dispatch::ServerNoticeReceived{server, incarnation, fields.leaving_,
                                        fields.pause_, fields.pause_text_};
}

bool IsSuccess(const http::Head& head) {
  return head.status_ / 100 == 2;
}

bool ImpliesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string FormatControlRequest(ControlRequest request) {
  if (!request.body_.empty()) {
    request.head_.fields_.push_back(
        {"Content-Length", std::to_string(request.body_.size())});
  }
  return http::FormatRequestHead(request.head_) + request.body_;
}

std::string Exchange::RequestBytes(const dispatch::StartAttempt& start) const {
  if (start.stage_ == Stage::kReserve) {
    return FormatControlRequest(context_.dialect_.make_reserve_request_(
        start.server_, start.hold_tokens_, start.hold_time_));
  }
  const core::TimePoint now = http::MonotonicNow();
  AttemptFields fields;
  fields.stage_ = start.stage_;
  fields.server_ = start.server_;
  fields.time_left_ = std::max(
      core::Milliseconds(1),
      std::chrono::duration_cast<core::Milliseconds>(start.deadline_ - now));
  fields.source_address_ = start.source_address_;
  fields.handle_ = start.handle_;
  fields.fetch_address_ = start.fetch_address_;
  fields.hold_ = start.hold_;
  fields.resume_after_ = start.resume_after_;
  fields.organisation_ = start.organisation_;
  fields.removes_key_ = start.removes_key_;
  fields.priority_ = start.priority_;
  http::Head head = context_.dialect_.make_server_head_(request_.head_, fields);
  const bool has_body = request_body_->Size() > 0 || head.method_ == "POST" ||
                        head.method_ == "PUT" || head.method_ == "PATCH";
  if (has_body) {
    head.fields_.push_back(
        {"Content-Length", std::to_string(request_body_->Size())});
  }
  return http::FormatRequestHead(head);
}

bool Exchange::HoldAnswer() {
  const std::size_t stored =
      stored_error_.has_value() ? stored_error_->body_.size() : 0;
  const std::uint64_t held =
      body_.capacity() + events_.partial_.capacity() + stored;
  const std::uint64_t charged = answer_charge_.Size();
  if (held > charged &&
      memory::DecideWholeAnswer(context_.budget_, charged, held - charged) !=
          memory::Decision::kAdmit) {
    return false;
  }
  answer_charge_.Resize(held);
  return true;
}

void Exchange::Finish() {
  done_ = true;
  CancelSecond();
  request_body_.reset();
}

http::BackendCall Exchange::MakeCall(
    const dispatch::StartAttempt& start) const {
  http::BackendCall call;
  call.address_ = start.address_;
  call.bytes_ = RequestBytes(start);
  if (start.stage_ != Stage::kReserve) {
    call.body_ = request_body_;
  }
  call.head_only_ =
      start.stage_ != Stage::kReserve && request_.head_.method_ == "HEAD";
  call.use_new_connection_ =
      start.stage_ != Stage::kReserve && SentBefore(start.address_);
  call.write_deadline_ =
      std::min(start.decided_at_ + dispatch::kMaxDecisionAge +
                   dispatch::kServerConnectTimeout,
               start.deadline_);
  call.connect_timeout_ = dispatch::kServerConnectTimeout;
  if (start.stage_ == Stage::kReserve || start.stage_ == Stage::kPrefill) {
    call.max_answer_bytes_ = kMaxHandleAnswerBytes;
  }
  return call;
}

void Exchange::Start(const dispatch::StartAttempt& start) {
  if (start.beside_) {
    StartSecond(start);
    return;
  }
  if (done_ || start.attempt_ <= start_.attempt_) {
    return;
  }
  call_.Cancel();
  CancelSecond();
  start_ = start;
  attempt_open_ = true;
  answer_.reset();
  answer_fields_ = {};
  body_.clear();
  DiscardPartial(events_);
  if (start.resume_after_.has_value() && !events_.last_event_.has_value()) {
    events_.last_event_ = start.resume_after_;
  }
  paused_ = false;
  slow_until_ = {};
  attempt_has_events_ = false;
  sustained_reported_ = false;
  answer_ended_by_close_ = false;
  connection_lost_ = false;
  started_at_ = http::MonotonicNow();
  last_progress_at_ = started_at_;
  http::BackendCall call = MakeCall(start);
  const auto self = shared_from_this();
  const std::uint32_t attempt = start.attempt_;
  call.on_head_ = [self, attempt](const http::Head& head) {
    return self->OnHead(attempt, head);
  };
  call.on_body_ = [self, attempt](std::string_view data) {
    self->OnBody(attempt, data);
  };
  call.on_end_ = [self, attempt](const http::CallResult& end) {
    self->OnEnd(attempt, end);
  };
  call_ = context_.pool_.Send(std::move(call));
  if (start.stage_ != Stage::kReserve) {
    sent_to_.push_back(start.address_);
  }
}

bool Exchange::SentBefore(const std::string& address) const {
  return std::find(sent_to_.begin(), sent_to_.end(), address) != sent_to_.end();
}

bool Exchange::IsStreaming() const {
  return start_.stage_ == Stage::kDecode && answer_.has_value() &&
         IsSuccess(*answer_);
}

Exchange::CheckedHead Exchange::CheckHead(const dispatch::StartAttempt& start,
                                          const http::CallHandle& call,
                                          const http::Head& head) const {
  const AnswerFields fields = context_.dialect_.read_answer_(head, label_);
  // A reservation request bears no ID, so neither does its answer.
  const AnswerMatch expected = start.stage_ == Stage::kReserve
                                   ? AnswerMatch::kUnknown
                                   : AnswerMatch::kThisRequest;
  if (fields.match_ != expected) {
    const bool is_stale =
        fields.match_ != AnswerMatch::kUnknown || call.ReusesConnection();
    return {
        is_stale ? http::AnswerDecision::kSkip : http::AnswerDecision::kFail,
        {}};
  }
  const auto notice = ReadNotice(fields, start.server_, start.incarnation_);
  if (notice.has_value()) {
    context_.post_(*notice);
  }
  const bool encoded = http::FindField(head, "Content-Encoding") != nullptr;
  const bool for_caller =
      start.stage_ == Stage::kPlain || start.stage_ == Stage::kDecode;
  const bool trusted = fields.authentic_ && !encoded && ContinuesAnswer(head);
  if (for_caller && IsSuccess(head) && !trusted) {
    return {http::AnswerDecision::kFail, {}};
  }
  return {http::AnswerDecision::kAccept, fields};
}

http::AnswerDecision Exchange::OnHead(std::uint32_t attempt,
                                      const http::Head& head) {
  if (attempt != start_.attempt_ || done_) {
    return http::AnswerDecision::kFail;
  }
  const CheckedHead checked = CheckHead(start_, call_, head);
  if (checked.decision_ != http::AnswerDecision::kAccept) {
    return checked.decision_;
  }
  if (!answer_begun_) {
    is_event_stream_ = IsEventStream(head);
  }
  answer_ = head;
  answer_fields_ = checked.fields_;
  return http::AnswerDecision::kAccept;
}

bool Exchange::ContinuesAnswer(const http::Head& head) const {
  return !answer_begun_ || (is_event_stream_ && IsEventStream(head));
}

bool Exchange::CanResume() const {
  return !answer_begun_ ||
         (is_event_stream_ && events_.last_event_.has_value());
}

void Exchange::OnBody(std::uint32_t attempt, std::string_view data) {
  if (attempt != start_.attempt_ || done_ || !attempt_open_) {
    return;
  }
  if (IsStreaming()) {
    ForwardEvents(data);
    return;
  }
  body_.append(data);
  const bool can_stream = start_.stage_ == Stage::kPlain && IsSuccess(*answer_);
  if (can_stream && (answer_begun_ || body_.size() > kMaxBufferedBytes)) {
    if (!answer_begun_) {
      BeginAnswer();
    }
    caller_->RespondData(std::exchange(body_, {}));
    HoldAnswer();
    ApplyBackpressure();
  } else if (body_.size() > kMaxBodyBytes) {
    FailAttempt(Reason::kBadAnswer, "the body exceeds the size limit");
  } else if (!HoldAnswer()) {
    FailAttempt(Reason::kBadAnswer, "no memory is left to buffer the body");
  }
}

void Exchange::ApplyBackpressure() {
  if (memory::DecideAnswerRead(context_.budget_, caller_->WriteBacklog()) ==
          memory::Decision::kPause &&
      !paused_) {
    paused_ = true;
    paused_at_ = http::MonotonicNow();
    call_.Pause();
  }
}

bool Exchange::WasCallerSlow() const {
  return slow_until_ != core::TimePoint{} &&
         http::MonotonicNow() - slow_until_ < kCutNoticeTime;
}

void Exchange::RecordTiming(telemetry::Timing timing) const {
  context_.metrics_.Observe(timing,
                            http::MonotonicNow() - request_.arrived_at_);
}

void Exchange::BeginAnswer() {
  answer_begun_ = true;
  CancelSecond();
  RecordTiming(telemetry::Timing::kFirstToken);
  caller_->RespondHead(*answer_);
  context_.post_(dispatch::AnswerBegan{id_, start_.attempt_});
}

void Exchange::ForwardEvents(std::string_view data) {
  const std::string whole =
      is_event_stream_ ? ExtractEvents(events_, data) : std::string(data);
  if (events_.partial_.size() > kMaxEventBytes) {
    FailAttempt(Reason::kBadAnswer, "an event exceeds the size limit");
    return;
  }
  HoldAnswer();
  if (whole.empty()) {
    return;
  }
  last_progress_at_ = http::MonotonicNow();
  if (!answer_begun_) {
    BeginAnswer();
  } else {
    longest_gap_ = std::max(longest_gap_, last_progress_at_ - last_event_at_);
  }
  last_event_at_ = last_progress_at_;
  if (!attempt_has_events_) {
    first_event_at_ = last_event_at_;
  }
  attempt_has_events_ = true;
  ReportSustained();
  caller_->RespondData(whole);
  ApplyBackpressure();
}

void Exchange::ReportSustained() {
  if (!sustained_reported_ &&
      last_event_at_ - first_event_at_ >= dispatch::kHarmlessWritingTime) {
    sustained_reported_ = true;
    context_.post_(dispatch::AnswerSustained{id_, start_.attempt_});
  }
}

void Exchange::OnCallerWritable() {
  if (paused_) {
    paused_ = false;
    last_progress_at_ = http::MonotonicNow();
    if (last_progress_at_ - paused_at_ >= kLeastCutTime) {
      slow_until_ = last_progress_at_;
    }
    call_.Resume();
  }
}

void Exchange::OnEnd(std::uint32_t attempt, const http::CallResult& end) {
  if (attempt != start_.attempt_ || done_ || !attempt_open_) {
    return;
  }
  attempt_open_ = false;
  if (start_.stage_ == Stage::kReserve) {
    OnReserveEnd(end);
  } else if (start_.stage_ == Stage::kPrefill) {
    OnPrefillEnd(end);
  } else {
    OnRequestEnd(end);
  }
}

void Exchange::OnReserveEnd(const http::CallResult& end) {
  if (end.failure_ != http::CallFailure::kNone) {
    ReportReserve(false, false, "",
                  absl::StrCat(http::ToString(end.failure_), " ", end.detail_));
    return;
  }
  constexpr int kServiceUnavailable = 503;
  if (!IsSuccess(*answer_)) {
    ReportReserve(false, answer_->status_ == kServiceUnavailable, "",
                  absl::StrCat("status ", answer_->status_));
    return;
  }
  const auto hold = context_.dialect_.read_reservation_(body_);
  ReportReserve(hold.has_value(), false, hold.value_or(""),
                hold.has_value() ? "" : hold.error());
}

void Exchange::OnPrefillEnd(const http::CallResult& end) {
  if (end.failure_ != http::CallFailure::kNone) {
    ReportPrefill(false, false, "",
                  absl::StrCat(http::ToString(end.failure_), " ", end.detail_),
                  end.sent_);
    return;
  }
  if (!IsSuccess(*answer_)) {
    ReportPrefill(false, answer_fields_.not_run_, "",
                  absl::StrCat("status ", answer_->status_));
    return;
  }
  context_.metrics_.Observe(telemetry::Timing::kPrefill,
                            http::MonotonicNow() - started_at_);
  const auto result = context_.dialect_.read_prefill_(body_);
  if (result.has_value()) {
    ReportPrefill(true, false, *result, "");
  } else {
    ReportPrefill(false, false, "", result.error());
  }
}

void Exchange::OnRequestEnd(const http::CallResult& end) {
  connection_lost_ = end.failure_ == http::CallFailure::kConnectionLost;
  answer_ended_by_close_ = end.ended_by_close_;
  if (end.failure_ != http::CallFailure::kNone) {
    Report(AttemptOutcome::kFailed,
           end.sent_ ? RunState::kMayHaveRun : RunState::kNotRun,
           end.sent_ ? Reason::kConnectionLost : Reason::kConnectFailed,
           absl::StrCat(http::ToString(end.failure_), " ", end.detail_));
    return;
  }
  if (answer_fields_.not_run_) {
    Report(AttemptOutcome::kRefused, RunState::kNotRun, Reason::kServerRefused,
           "");
    return;
  }
  if (IsStreaming() || (answer_begun_ && IsSuccess(*answer_))) {
    if (!events_.partial_.empty()) {
      connection_lost_ = end.ended_by_close_;
      Report(AttemptOutcome::kFailed, RunState::kMayHaveRun, Reason::kBadAnswer,
             "the stream ended in the middle of an event");
      return;
    }
    if (IsStreaming() && is_event_stream_ && end.ended_by_close_ &&
        !attempt_has_events_) {
      connection_lost_ = true;
      Report(AttemptOutcome::kFailed, RunState::kMayHaveRun, Reason::kBadAnswer,
             "the stream ended before its first event");
      return;
    }
    if (!answer_begun_) {
      BeginAnswer();
    }
    Finish();
    RecordTiming(telemetry::Timing::kRequest);
    caller_->RespondData(std::exchange(body_, {}));
    HoldAnswer();
    caller_->RespondEnd();
    Report(AttemptOutcome::kDelivered, RunState::kRan, Reason::kNone, "");
    return;
  }
  const bool is_error = answer_->status_ >= 500;
  if (ImpliesNotRun(answer_->status_)) {
    Report(
        AttemptOutcome::kFailed, RunState::kMayHaveRun, Reason::kBadAnswer,
        "the status implies that the request did not run, but the server did "
        "not confirm it");
    return;
  }
  if (is_error) {
    stored_error_ = StoredAnswer{*answer_, std::exchange(body_, {})};
    HoldAnswer();
    Report(AttemptOutcome::kServerError, RunState::kRan, Reason::kServerError,
           "");
    return;
  }
  if (answer_begun_) {
    Report(AttemptOutcome::kFailed, RunState::kRan, Reason::kBadAnswer,
           "the answer does not continue the stream that has begun");
    return;
  }
  Finish();
  RecordTiming(start_.stage_ == Stage::kPlain ? telemetry::Timing::kPlainCall
                                              : telemetry::Timing::kRequest);
  RespondWhole(*answer_, std::move(body_));
  Report(AttemptOutcome::kDelivered, RunState::kRan, Reason::kNone, "");
}

void Exchange::Report(AttemptOutcome outcome,
                      RunState run_state,
                      Reason reason,
                      const std::string& detail) {
  dispatch::AttemptDone done;
  done.request_ = id_;
  done.attempt_ = start_.attempt_;
  done.outcome_ = outcome;
  done.run_state_ = run_state;
  done.reason_ = reason;
  done.status_ = answer_.has_value() ? answer_->status_ : 0;
  done.detail_ = detail;
  done.last_event_ = events_.last_event_;
  done.longest_gap_ =
      std::chrono::duration_cast<core::Milliseconds>(longest_gap_);
  done.misdirected_ = answer_fields_.misdirected_;
  done.connection_lost_ = connection_lost_;
  done.wrote_events_ = attempt_has_events_;
  done.ended_by_close_ = answer_ended_by_close_;
  done.can_resume_ = CanResume();
  done.caller_was_slow_ =
      outcome == AttemptOutcome::kFailed && connection_lost_ && WasCallerSlow();
  context_.post_(std::move(done));
}

void Exchange::ReportPrefill(bool ok,
                             bool refused,
                             const std::string& handle,
                             const std::string& detail,
                             bool sent) {
  context_.post_(dispatch::PrefillDone{id_, start_.attempt_, ok, refused,
                                       handle, detail,
                                       answer_fields_.misdirected_, sent});
}

void Exchange::ReportReserve(bool ok,
                             bool refused,
                             const std::string& hold,
                             const std::string& detail) {
  context_.post_(dispatch::ReserveDone{id_, start_.attempt_, ok, refused, hold,
                                       detail, answer_fields_.misdirected_});
}

void Exchange::Refuse(const core::Verdict& verdict) {
  if (done_) {
    return;
  }
  Finish();
  attempt_open_ = false;
  call_.Cancel();
  if (answer_begun_) {
    caller_->Abort();
    return;
  }
  caller_->Respond(context_.dialect_.make_refusal_(verdict, label_), "");
}

// The connection now charges the body, as long as it waits for the caller.
void Exchange::RespondWhole(const http::Head& head, std::string body) {
  answer_charge_.Resize(0);
  caller_->Respond(head, std::move(body));
}

void Exchange::DeliverStoredError() {
  if (done_) {
    return;
  }
  Finish();
  attempt_open_ = false;
  call_.Cancel();
  if (answer_begun_) {
    caller_->Abort();
    return;
  }
  RespondWhole(stored_error_->head_, std::move(stored_error_->body_));
}

void Exchange::Cancel() {
  Finish();
  attempt_open_ = false;
  call_.Cancel();
}

bool Exchange::IsSilent(core::TimePoint now) const {
  const core::Milliseconds limit =
      answer_begun_ ? start_.event_timeout_ : start_.first_byte_timeout_;
  return attempt_open_ && !done_ && !paused_ && limit.count() > 0 &&
         CanResume() && now - last_progress_at_ >= limit;
}

void Exchange::Sweep(core::TimePoint now) {
  const bool second = IsSecondSilent(now);
  if (!second && !IsSilent(now)) {
    return;
  }
  const dispatch::StartAttempt& start = second ? second_.start_ : start_;
  if (start.stage_ == Stage::kReserve) {
    FailAttempt(Reason::kDeadline, kSilenceDetail);
  } else if (now - silence_reported_at_ >= kSilenceReportInterval) {
    silence_reported_at_ = now;
    context_.post_(dispatch::AttemptSilent{id_, start.attempt_});
  }
}

void Exchange::Abandon(const dispatch::AbandonAttempt& abandon) {
  if (abandon.attempt_ == start_.attempt_ && IsSilent(http::MonotonicNow())) {
    FailAttempt(Reason::kDeadline, kSilenceDetail);
  } else if (abandon.attempt_ == second_.start_.attempt_ &&
             IsSecondSilent(http::MonotonicNow())) {
    FailSecond(Reason::kDeadline, kSilenceDetail);
  }
}

void Exchange::FailAttempt(Reason reason, const std::string& detail) {
  attempt_open_ = false;
  call_.Cancel();
  if (start_.stage_ == Stage::kReserve) {
    ReportReserve(false, false, "", detail);
  } else if (start_.stage_ == Stage::kPrefill) {
    ReportPrefill(false, false, "", detail);
  } else {
    Report(AttemptOutcome::kFailed, RunState::kMayHaveRun, reason, detail);
  }
}

}  // namespace siskindrum::gateway
