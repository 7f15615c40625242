#include "siskindrum/backend/plain.h"

#include "absl/strings/str_cat.h"
#include "siskindrum/core/limits.h"

namespace siskindrum::backend {

namespace {

using core::Reason;
using core::RunState;
using core::Verdict;

bool IsGatewayError(int status) {
  return status == 502 || status == 503 || status == 504;
}

}  // namespace

tl::expected<core::PlainAnswer, Verdict> CallPlain(
    HttpCall& call,
    const core::SendPlain& order) {
  HttpRequest http;
  http.address_ = order.address_;
  http.method_ = order.shape_.method_;
  http.path_ = order.shape_.path_;
  http.content_type_ = order.content_type_;
  http.body_ = order.body_;
  http.silence_timeout_ = order.timeout_;
  http.headers_ = {{"X-Request-Id", core::ToString(order.request_)},
                   {"X-Organisation", order.shape_.organisation_}};
  if (!order.shape_.idempotency_key_.empty()) {
    http.headers_.push_back({"Idempotency-Key", order.shape_.idempotency_key_});
  }
  if (order.fence_ != 0) {
    http.headers_.push_back({"X-Fencing-Number", absl::StrCat(order.fence_)});
  }
  const auto age = std::chrono::steady_clock::now() - order.decided_at_;
  if (order.once_ && age > core::kMaxSendAge) {
    return tl::unexpected(Verdict{RunState::kNotRun, Reason::kSendTooOld,
                                  "the decision to send it was too old",
                                  core::Milliseconds(0)});
  }
  auto answer = call.Run(http);
  if (!answer.has_value()) {
    return tl::unexpected(answer.error());
  }
  if (answer->not_run_) {
    return tl::unexpected(
        Verdict{RunState::kNotRun, Reason::kServerRefused,
                absl::StrCat(order.address_, " refused it before acting"),
                core::Milliseconds(0)});
  }
  if (IsGatewayError(answer->status_) && !order.once_) {
    return tl::unexpected(
        Verdict{RunState::kMayHaveRun, Reason::kServerError,
                absl::StrCat(order.address_, " answered ", answer->status_),
                core::Milliseconds(0)});
  }
  return core::PlainAnswer{answer->status_, answer->content_type_,
                           std::move(answer->body_)};
}

}  // namespace siskindrum::backend
