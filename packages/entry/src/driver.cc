#include "driver_p.h"

#include "siskindrum/backend/plain.h"

namespace siskindrum::entry {

namespace {

// Longer than any request may take; the core ends requests earlier.
constexpr std::chrono::minutes kActionLimit{70};

core::TimePoint Clock() {
  return std::chrono::steady_clock::now();
}

core::Verdict GoneVerdict() {
  return {core::RunState::kMayHaveRun, core::Reason::kCallerGone,
          "the caller has gone", core::Milliseconds(0)};
}

}  // namespace

PromptDriver::PromptDriver(DriverContext context,
                           std::shared_ptr<Channel> channel,
                           PromptWork work)
    : context_(context),
      channel_(std::move(channel)),
      work_(std::move(work)),
      arrived_at_(Clock()) {
  cursor_.request_ = channel_->request_;
}

bool PromptDriver::NextAction(core::RouterAction* action) {
  if (has_pending_) {
    has_pending_ = false;
    *action = std::move(pending_);
    return true;
  }
  auto next = channel_->actions_.Pop(kActionLimit);
  if (!next.has_value()) {
    return false;
  }
  *action = std::move(*next);
  return true;
}

bool PromptDriver::RunToDecode(DriveEnd* end) {
  core::RouterAction action;
  while (NextAction(&action)) {
    if (const auto* accepted = std::get_if<core::RequestAccepted>(&action)) {
      channel_->rule_line_ = accepted->rule_line_;
      channel_->revision_ = accepted->revision_;
    } else if (const auto* prefill = std::get_if<core::StartPrefill>(&action)) {
      Prefill(*prefill);
    } else if (const auto* fail = std::get_if<core::AnswerError>(&action)) {
      end->verdict_ = fail->verdict_;
      return false;
    } else if (std::holds_alternative<core::StartDecode>(action)) {
      pending_ = std::move(action);
      has_pending_ = true;
      return true;
    }
  }
  end->verdict_ = GoneVerdict();
  return false;
}

DriveEnd PromptDriver::RunToEnd(const TextSink& sink) {
  DriveEnd end;
  while (RunToDecode(&end)) {
    core::RouterAction action;
    NextAction(&action);
    if (Decode(std::get<core::StartDecode>(action), sink, &end)) {
      return end;
    }
  }
  return end;
}

void PromptDriver::Prefill(const core::StartPrefill& order) {
  backend::PrefillOrder call;
  call.address_ = order.address_;
  call.request_ = channel_->request_;
  call.attempt_ = order.attempt_;
  call.owner_ = context_.settings_.name_;
  call.prompt_ = work_.prompt_ + answered_;
  call.prompt_tokens_ = work_.prompt_tokens_ + cursor_.next_position_;
  call.prefix_hash_ = work_.prefix_hash_;
  call.prefix_tokens_ = work_.prefix_tokens_;
  call.priority_ = order.priority_;
  call.hold_ = order.hold_;
  call.silence_timeout_ = context_.settings_.backend_timeout_;
  const core::TimePoint begun = Clock();
  auto result = context_.dialect_.prefill_(channel_->call_, call);
  context_.metrics_.Observe(telemetry::Timing::kPrefill, Clock() - begun);
  core::PrefillEnded ended;
  ended.request_ = channel_->request_;
  ended.attempt_ = order.attempt_;
  ended.ok_ = result.has_value();
  if (result.has_value()) {
    ended.handle_ = result->handle_;
    ended.hold_ = result->hold_;
  } else {
    ended.verdict_ = result.error();
  }
  context_.core_.Post(std::move(ended));
}

bool PromptDriver::Deliver(const backend::DecodeLine& line,
                           const TextSink& sink,
                           core::Verdict* verdict) {
  if (line.kind_ != backend::DecodeLine::Kind::kToken) {
    return true;
  }
  switch (core::AcceptToken(cursor_, line.stamp_)) {
    case core::DeliveryDecision::kDrop:
      context_.metrics_.Add(telemetry::Counter::kDroppedTokens);
      return true;
    case core::DeliveryDecision::kGap:
      *verdict = {core::RunState::kMayHaveRun, core::Reason::kBadAnswer,
                  "the stream left out a position", core::Milliseconds(0)};
      return false;
    default:
      break;
  }
  const core::TimePoint now = Clock();
  if (cursor_.next_position_ == 1) {
    context_.metrics_.Observe(telemetry::Timing::kFirstToken,
                              now - arrived_at_);
    context_.core_.Post(core::FirstToken{channel_->request_, cursor_.attempt_});
  } else {
    context_.metrics_.Observe(telemetry::Timing::kBetweenTokens,
                              now - last_token_at_);
  }
  last_token_at_ = now;
  context_.metrics_.Add(telemetry::Counter::kTokens);
  answered_ += line.text_;
  if (!sink(line.text_)) {
    context_.core_.Post(core::CallerGone{channel_->request_});
    *verdict = GoneVerdict();
    return false;
  }
  return true;
}

bool PromptDriver::Decode(const core::StartDecode& order,
                          const TextSink& sink,
                          DriveEnd* end) {
  backend::DecodeOrder call;
  call.address_ = order.address_;
  call.source_address_ = order.prefill_address_;
  call.handle_ = order.handle_;
  call.request_ = channel_->request_;
  call.attempt_ = order.attempt_;
  call.owner_ = context_.settings_.name_;
  call.prompt_tokens_ = work_.prompt_tokens_;
  call.max_tokens_ = work_.max_tokens_;
  call.from_position_ = order.from_position_;
  call.seed_text_ = work_.prompt_;
  call.priority_ = order.priority_;
  call.silence_timeout_ = context_.settings_.backend_timeout_;
  cursor_.attempt_ = order.attempt_;
  core::Verdict verdict;
  const backend::DecodeEnd result = context_.dialect_.decode_(
      channel_->call_, call, [&](const backend::DecodeLine& line) {
        return Deliver(line, sink, &verdict);
      });
  core::DecodeEnded ended;
  ended.request_ = channel_->request_;
  ended.attempt_ = order.attempt_;
  ended.delivered_ = cursor_.next_position_;
  ended.imported_ = result.imported_;
  ended.ok_ = result.finished_;
  ended.verdict_ =
      verdict.reason_ != core::Reason::kNone ? verdict : result.verdict_;
  context_.core_.Post(ended);
  if (result.finished_) {
    context_.metrics_.Observe(telemetry::Timing::kRequest,
                              Clock() - arrived_at_);
    end->whole_ = true;
    end->finish_reason_ = result.finish_reason_;
    return true;
  }
  if (verdict.reason_ == core::Reason::kCallerGone || channel_->gone_) {
    end->verdict_ = GoneVerdict();
    return true;
  }
  return false;
}

PlainEnd DrivePlain(DriverContext context,
                    const std::shared_ptr<Channel>& channel) {
  PlainEnd end;
  while (true) {
    auto action = channel->actions_.Pop(kActionLimit);
    if (!action.has_value()) {
      end.verdict_ = GoneVerdict();
      return end;
    }
    if (const auto* accepted = std::get_if<core::RequestAccepted>(&*action)) {
      channel->rule_line_ = accepted->rule_line_;
      channel->revision_ = accepted->revision_;
    } else if (const auto* send = std::get_if<core::SendPlain>(&*action)) {
      end.server_ = send->server_;
      core::PlainEnded ended;
      ended.request_ = channel->request_;
      ended.attempt_ = send->attempt_;
      ended.result_ = backend::CallPlain(channel->call_, *send);
      context.core_.Post(std::move(ended));
    } else if (const auto* fail = std::get_if<core::AnswerError>(&*action)) {
      end.verdict_ = fail->verdict_;
      return end;
    } else if (const auto* answer = std::get_if<core::AnswerPlain>(&*action)) {
      end.answered_ = true;
      end.repeated_ = answer->repeated_;
      end.answer_ = answer->answer_;
      return end;
    }
  }
}

}  // namespace siskindrum::entry
