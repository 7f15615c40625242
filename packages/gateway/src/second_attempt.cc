#include <utility>

#include "absl/strings/str_cat.h"
#include "exchange_p.h"
#include "siskindrum/http/clock.h"
#include "siskindrum/memory/decision.h"

namespace siskindrum::gateway {

using core::Reason;
using core::RunState;
using dispatch::AttemptOutcome;

void Exchange::StartSecond(const dispatch::StartAttempt& start) {
  if (done_ || answer_begun_ || second_.open_ ||
      start.attempt_ <= start_.attempt_) {
    return;
  }
  second_ = SecondAttempt{};
  second_.start_ = start;
  second_.open_ = true;
  second_.charge_ =
      memory::Charge(context_.budget_, memory::Use::kCallerAnswer);
  second_.started_at_ = http::MonotonicNow();
  http::BackendCall call = MakeCall(start);
  const auto self = shared_from_this();
  const std::uint32_t attempt = start.attempt_;
  call.on_head_ = [self, attempt](const http::Head& head) {
    return self->OnSecondHead(attempt, head);
  };
  call.on_body_ = [self, attempt](std::string_view data) {
    self->OnSecondBody(attempt, data);
  };
  call.on_end_ = [self, attempt](const http::CallResult& end) {
    self->OnSecondEnd(attempt, end);
  };
  second_.call_ = context_.pool_.Send(std::move(call));
  sent_to_.push_back(start.address_);
}

http::AnswerDecision Exchange::OnSecondHead(std::uint32_t attempt,
                                            const http::Head& head) {
  if (attempt != second_.start_.attempt_ || !second_.open_) {
    return http::AnswerDecision::kFail;
  }
  const CheckedHead checked = CheckHead(second_.start_, second_.call_, head);
  if (checked.decision_ == http::AnswerDecision::kAccept) {
    second_.answer_ = head;
    second_.fields_ = checked.fields_;
  }
  return checked.decision_;
}

void Exchange::OnSecondBody(std::uint32_t attempt, std::string_view data) {
  if (attempt != second_.start_.attempt_ || !second_.open_) {
    return;
  }
  second_.body_.append(data);
  const std::uint64_t charged = second_.charge_.Size();
  const std::uint64_t held = second_.body_.capacity();
  if (held > kMaxBodyBytes ||
      (held > charged &&
       memory::DecideWholeAnswer(context_.budget_, charged, held - charged) !=
           memory::Decision::kAdmit)) {
    FailSecond(Reason::kBadAnswer, "no memory is left to buffer the body");
    return;
  }
  second_.charge_.Resize(held);
}

void Exchange::OnSecondEnd(std::uint32_t attempt, const http::CallResult& end) {
  if (attempt != second_.start_.attempt_ || !second_.open_) {
    return;
  }
  if (end.failure_ != http::CallFailure::kNone) {
    second_.open_ = false;
    ReportSecond(AttemptOutcome::kFailed,
                 end.sent_ ? RunState::kMayHaveRun : RunState::kNotRun,
                 end.sent_ ? Reason::kConnectionLost : Reason::kConnectFailed,
                 absl::StrCat(http::ToString(end.failure_), " ", end.detail_));
    return;
  }
  if (second_.fields_.not_run_) {
    second_.open_ = false;
    ReportSecond(AttemptOutcome::kRefused, RunState::kNotRun,
                 Reason::kServerRefused, "");
    return;
  }
  const int status = second_.answer_->status_;
  if (ImpliesNotRun(status)) {
    second_.open_ = false;
    ReportSecond(AttemptOutcome::kFailed, RunState::kMayHaveRun,
                 Reason::kBadAnswer,
                 "the status implies that the request did not run, but the "
                 "server did not confirm it");
    return;
  }
  if (status >= 500) {
    second_.open_ = false;
    stored_error_ =
        StoredAnswer{*second_.answer_, std::exchange(second_.body_, {})};
    second_.charge_.Resize(0);
    HoldAnswer();
    ReportSecond(AttemptOutcome::kServerError, RunState::kRan,
                 Reason::kServerError, "");
    return;
  }
  DeliverSecond();
}

void Exchange::DeliverSecond() {
  second_.open_ = false;
  attempt_open_ = false;
  call_.Cancel();
  body_.clear();
  Finish();
  RecordTiming(telemetry::Timing::kPlainCall);
  second_.charge_.Resize(0);
  RespondWhole(*second_.answer_, std::move(second_.body_));
  ReportSecond(AttemptOutcome::kDelivered, RunState::kRan, Reason::kNone, "");
}

void Exchange::ReportSecond(AttemptOutcome outcome,
                            RunState run_state,
                            Reason reason,
                            const std::string& detail) {
  dispatch::AttemptDone done;
  done.request_ = id_;
  done.attempt_ = second_.start_.attempt_;
  done.outcome_ = outcome;
  done.run_state_ = run_state;
  done.reason_ = reason;
  done.status_ = second_.answer_.has_value() ? second_.answer_->status_ : 0;
  done.detail_ = detail;
  done.misdirected_ = second_.fields_.misdirected_;
  context_.post_(std::move(done));
}

void Exchange::FailSecond(Reason reason, const std::string& detail) {
  second_.call_.Cancel();
  second_.open_ = false;
  second_.body_ = {};
  second_.charge_.Resize(0);
  ReportSecond(AttemptOutcome::kFailed, RunState::kMayHaveRun, reason, detail);
}

void Exchange::CancelSecond() {
  if (second_.open_) {
    second_.open_ = false;
    second_.call_.Cancel();
    second_.body_ = {};
    second_.charge_.Resize(0);
  }
}

bool Exchange::IsSecondSilent(core::TimePoint now) const {
  const core::Milliseconds limit = second_.start_.first_byte_timeout_;
  return second_.open_ && !attempt_open_ && limit.count() > 0 &&
         now - second_.started_at_ >= limit;
}

}  // namespace siskindrum::gateway
