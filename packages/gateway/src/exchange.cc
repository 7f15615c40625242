#include "exchange_p.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "siskindrum/dispatch/limits.h"
#include "siskindrum/http/clock.h"

namespace siskindrum::gateway {

namespace {

// Larger answers are passed on before they are whole.
constexpr std::size_t kGatherBytes = 256 * 1024;
// Longest body that is kept whole, and longest single event: more is no answer.
constexpr std::size_t kMostKeptBytes = 4 * 1024 * 1024;
// Written to a caller and not taken: above, the server is held back.
constexpr std::size_t kBacklogBytes = 128 * 1024;

using core::Reason;
using core::RunState;
using dispatch::AttemptOutcome;
using dispatch::Stage;

bool IsSuccess(const http::Head& head) {
  return head.status_ / 100 == 2;
}

// Statuses by which callers are told that a request has not run.
bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

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
      context_(context) {}

std::string FormatOwnRequest(OwnRequest request) {
  if (!request.body_.empty()) {
    request.head_.fields_.push_back(
        {"Content-Length", std::to_string(request.body_.size())});
  }
  return http::FormatRequestHead(request.head_) + request.body_;
}

std::string Exchange::RequestBytes(const dispatch::StartAttempt& start) const {
  if (start.stage_ == Stage::kReserve) {
    return FormatOwnRequest(context_.dialect_.take_hold_(
        start.server_, start.hold_tokens_, start.hold_time_));
  }
  const core::TimePoint now = http::MonotonicNow();
  SendFacts facts;
  facts.stage_ = start.stage_;
  facts.server_ = start.server_;
  facts.time_left_ = std::max(
      core::Milliseconds(1),
      std::chrono::duration_cast<core::Milliseconds>(start.deadline_ - now));
  facts.source_address_ = start.source_address_;
  facts.handle_ = start.handle_;
  facts.fetch_address_ = start.fetch_address_;
  facts.hold_ = start.hold_;
  facts.resume_after_ = start.resume_after_;
  http::Head head = context_.dialect_.server_head_(request_.head_, facts);
  const bool has_body = !request_.body_.empty() || head.method_ == "POST" ||
                        head.method_ == "PUT" || head.method_ == "PATCH";
  if (has_body) {
    head.fields_.push_back(
        {"Content-Length", std::to_string(request_.body_.size())});
  }
  return http::FormatRequestHead(head) + request_.body_;
}

void Exchange::Start(const dispatch::StartAttempt& start) {
  if (done_ || start.attempt_ <= start_.attempt_) {
    return;
  }
  call_.Cancel();
  start_ = start;
  attempt_open_ = true;
  answer_.reset();
  facts_ = {};
  body_.clear();
  DropPartial(events_);
  if (start.resume_after_.has_value() && !events_.last_event_.has_value()) {
    events_.last_event_ = start.resume_after_;
  }
  paused_ = false;
  started_at_ = http::MonotonicNow();
  quiet_since_ = started_at_;
  http::BackendCall call;
  call.address_ = start.address_;
  call.bytes_ = RequestBytes(start);
  call.head_only_ =
      start.stage_ != Stage::kReserve && request_.head_.method_ == "HEAD";
  call.write_before_ = std::min(
      start.decided_at_ + dispatch::kDecisionAge + dispatch::kConnectTime,
      start.deadline_);
  call.connect_time_ = dispatch::kConnectTime;
  const auto self = shared_from_this();
  const std::uint32_t attempt = start.attempt_;
  call.on_head_ = [self, attempt](const http::Head& head) {
    return self->OnHead(attempt, head);
  };
  call.on_body_ = [self, attempt](std::string_view data) {
    self->OnBody(attempt, data);
  };
  call.on_end_ = [self, attempt](const http::CallEnd& end) {
    self->OnEnd(attempt, end);
  };
  call_ = context_.pool_.Send(std::move(call));
}

bool Exchange::IsStreaming() const {
  return start_.stage_ == Stage::kDecode && answer_.has_value() &&
         IsSuccess(*answer_);
}

http::AnswerUse Exchange::OnHead(std::uint32_t attempt,
                                 const http::Head& head) {
  if (attempt != start_.attempt_ || done_) {
    return http::AnswerUse::kFail;
  }
  const AnswerFacts facts = context_.dialect_.read_answer_(head, label_);
  if (start_.stage_ == Stage::kReserve) {
    answer_ = head;
    facts_ = facts;
    return http::AnswerUse::kTake;
  }
  if (facts.owner_ == AnswerOwner::kOther) {
    return http::AnswerUse::kSkip;
  }
  const bool encoded = http::FindField(head, "Content-Encoding") != nullptr;
  const bool trusted =
      start_.stage_ == Stage::kPrefill
          ? true
          : facts.owner_ == AnswerOwner::kOurs && facts.authentic_ && !encoded;
  if (IsSuccess(head) && !trusted) {
    return http::AnswerUse::kFail;
  }
  if (!answer_begun_) {
    is_event_stream_ = IsEventStream(head);
  }
  answer_ = head;
  facts_ = facts;
  return http::AnswerUse::kTake;
}

void Exchange::OnBody(std::uint32_t attempt, std::string_view data) {
  if (attempt != start_.attempt_ || done_ || !attempt_open_) {
    return;
  }
  if (IsStreaming()) {
    PassEvents(data);
    return;
  }
  body_.append(data);
  const bool may_pass = start_.stage_ == Stage::kPlain && IsSuccess(*answer_);
  if (may_pass && (answer_begun_ || body_.size() > kGatherBytes)) {
    if (!answer_begun_) {
      BeginAnswer();
    }
    caller_->RespondPiece(body_);
    body_.clear();
    HoldBackIfUnread();
  } else if (body_.size() > kMostKeptBytes) {
    FailAttempt(Reason::kBadAnswer, "the body is too long");
  }
}

void Exchange::HoldBackIfUnread() {
  if (caller_->WriteBacklog() > kBacklogBytes) {
    paused_ = true;
    call_.Pause();
  }
}

void Exchange::Observe(telemetry::Timing timing) const {
  context_.metrics_.Observe(timing,
                            http::MonotonicNow() - request_.arrived_at_);
}

void Exchange::BeginAnswer() {
  answer_begun_ = true;
  Observe(telemetry::Timing::kFirstToken);
  caller_->RespondHead(*answer_);
  context_.post_(dispatch::AnswerBegan{id_, start_.attempt_});
}

void Exchange::PassEvents(std::string_view data) {
  const std::string whole =
      is_event_stream_ ? ExtractEvents(events_, data) : std::string(data);
  if (events_.partial_.size() > kMostKeptBytes) {
    FailAttempt(Reason::kBadAnswer, "an event is too long");
    return;
  }
  if (whole.empty()) {
    return;
  }
  quiet_since_ = http::MonotonicNow();
  if (!answer_begun_) {
    BeginAnswer();
  }
  caller_->RespondPiece(whole);
  HoldBackIfUnread();
}

void Exchange::OnCallerWritable() {
  if (paused_) {
    paused_ = false;
    quiet_since_ = http::MonotonicNow();
    call_.Resume();
  }
}

void Exchange::OnEnd(std::uint32_t attempt, const http::CallEnd& end) {
  if (attempt != start_.attempt_ || done_ || !attempt_open_) {
    return;
  }
  attempt_open_ = false;
  if (start_.stage_ == Stage::kReserve) {
    EndReserve(end);
  } else if (start_.stage_ == Stage::kPrefill) {
    EndPrefill(end);
  } else {
    EndRun(end);
  }
}

void Exchange::EndReserve(const http::CallEnd& end) {
  if (end.failure_ != http::CallFailure::kNone) {
    ReportReserve(false, false, "",
                  absl::StrCat(http::ToString(end.failure_), " ", end.detail_));
    return;
  }
  constexpr int kNoRoom = 503;
  if (!IsSuccess(*answer_)) {
    ReportReserve(false, answer_->status_ == kNoRoom, "",
                  absl::StrCat("status ", answer_->status_));
    return;
  }
  const auto hold = context_.dialect_.read_reservation_(body_);
  ReportReserve(hold.has_value(), false, hold.value_or(""),
                hold.has_value() ? "" : hold.error());
}

void Exchange::EndPrefill(const http::CallEnd& end) {
  if (end.failure_ != http::CallFailure::kNone) {
    ReportPrefill(false, false, "",
                  absl::StrCat(http::ToString(end.failure_), " ", end.detail_));
    return;
  }
  if (!IsSuccess(*answer_)) {
    ReportPrefill(false, facts_.not_run_, "",
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

void Exchange::EndRun(const http::CallEnd& end) {
  if (end.failure_ != http::CallFailure::kNone) {
    Report(AttemptOutcome::kFailed,
           end.sent_ ? RunState::kMayHaveRun : RunState::kNotRun,
           end.sent_ ? Reason::kConnectionLost : Reason::kConnectFailed,
           absl::StrCat(http::ToString(end.failure_), " ", end.detail_));
    return;
  }
  if (facts_.not_run_) {
    Report(AttemptOutcome::kRefused, RunState::kNotRun, Reason::kServerRefused,
           "");
    return;
  }
  if (IsStreaming() || answer_begun_) {
    if (!events_.partial_.empty()) {
      Report(AttemptOutcome::kFailed, RunState::kMayHaveRun, Reason::kBadAnswer,
             "the stream ended within an event");
      return;
    }
    if (!answer_begun_) {
      BeginAnswer();
    }
    done_ = true;
    Observe(telemetry::Timing::kRequest);
    caller_->RespondPiece(body_);
    caller_->RespondEnd();
    Report(AttemptOutcome::kDelivered, RunState::kRan, Reason::kNone, "");
    return;
  }
  const bool is_error = answer_->status_ >= 500;
  if (PromisesNotRun(answer_->status_)) {
    Report(AttemptOutcome::kFailed, RunState::kMayHaveRun, Reason::kBadAnswer,
           "a promise that the server did not make");
    return;
  }
  if (is_error) {
    kept_ = KeptAnswer{*answer_, body_};
    Report(AttemptOutcome::kServerError, RunState::kRan, Reason::kServerError,
           "");
    return;
  }
  done_ = true;
  Observe(start_.stage_ == Stage::kPlain ? telemetry::Timing::kPlainCall
                                         : telemetry::Timing::kRequest);
  caller_->Respond(*answer_, body_);
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
  done.misdirected_ = facts_.misdirected_;
  context_.post_(std::move(done));
}

void Exchange::ReportPrefill(bool ok,
                             bool refused,
                             const std::string& handle,
                             const std::string& detail) {
  context_.post_(dispatch::PrefillDone{id_, start_.attempt_, ok, refused,
                                       handle, detail, facts_.misdirected_});
}

void Exchange::ReportReserve(bool ok,
                             bool refused,
                             const std::string& hold,
                             const std::string& detail) {
  context_.post_(dispatch::ReserveDone{id_, start_.attempt_, ok, refused, hold,
                                       detail, facts_.misdirected_});
}

void Exchange::Refuse(const core::Verdict& verdict) {
  if (done_) {
    return;
  }
  done_ = true;
  attempt_open_ = false;
  call_.Cancel();
  if (answer_begun_) {
    caller_->Abort();
    return;
  }
  caller_->Respond(context_.dialect_.refusal_(verdict, label_), "");
}

void Exchange::DeliverKept() {
  if (done_) {
    return;
  }
  done_ = true;
  attempt_open_ = false;
  call_.Cancel();
  caller_->Respond(kept_->head_, kept_->body_);
}

void Exchange::Abandon() {
  done_ = true;
  attempt_open_ = false;
  call_.Cancel();
}

void Exchange::Sweep(core::TimePoint now) {
  if (!attempt_open_ || done_ || paused_) {
    return;
  }
  const core::Milliseconds limit =
      answer_begun_ ? start_.event_patience_ : start_.patience_;
  if (limit.count() == 0 || now - quiet_since_ < limit) {
    return;
  }
  FailAttempt(Reason::kDeadline, "no answer in time");
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
