#include "control_client_p.h"

#include <memory>
#include <utility>

#include "absl/strings/str_cat.h"
#include "exchange_p.h"
#include "siskindrum/http/clock.h"

namespace siskindrum::gateway {

namespace {

constexpr core::Milliseconds kSendTimeout{2000};
// Longer than the silence of a sound server.
constexpr core::Milliseconds kAnswerTimeout{5000};
constexpr std::uint64_t kMaxAnswerBytes = 64 * 1024;
constexpr std::uint64_t kMaxPromptListBytes = 1024 * 1024;

http::BackendCall MakeCall(const std::string& address, ControlRequest request) {
  http::BackendCall call;
  call.address_ = address;
  call.bytes_ = FormatControlRequest(std::move(request));
  const core::TimePoint now = http::MonotonicNow();
  call.write_deadline_ = now + kSendTimeout;
  call.deadline_ = now + kAnswerTimeout;
  call.max_answer_bytes_ = kMaxAnswerBytes;
  return call;
}

// An answer that is buffered whole.
struct BufferedAnswer {
  int status_ = 0;
  std::string body_;
};

}  // namespace

ControlClient::ControlClient(ControlClientContext context)
    : context_(std::move(context)) {}

void ControlClient::Send(const dispatch::FreeHandle& free) {
  SendIgnoringAnswer({free.server_, free.address_, free.incarnation_},
                     context_.dialect_.make_free_handle_request_(free.handle_),
                     "handle_not_freed");
}

void ControlClient::Send(const dispatch::ReleaseReservation& release) {
  SendIgnoringAnswer({release.server_, release.address_, release.incarnation_},
                     context_.dialect_.make_release_request_(release.hold_),
                     "hold_not_dropped");
}

void ControlClient::Send(const dispatch::SwitchToDecode& order) {
  SendIgnoringAnswer({order.server_, order.address_, order.incarnation_},
                     context_.dialect_.make_decode_order_(
                         order.server_, context_.name_, order.fencing_number_),
                     "order_not_given");
}

void ControlClient::Send(const dispatch::ListRetainedPrompts& list) {
  SendForAnswer(
      {list.server_, list.address_, list.incarnation_},
      context_.dialect_.make_list_prompts_request_(list.server_),
      "prompts_not_listed",
      [this, list](const std::string& body) -> tl::expected<void, std::string> {
        auto prompts = context_.dialect_.read_prompt_list_(body);
        if (!prompts.has_value()) {
          return tl::unexpected(prompts.error());
        }
        context_.post_(
            dispatch::RetainedPromptsListed{list.server_, std::move(*prompts)});
        return {};
      });
}

void ControlClient::Send(const dispatch::ListRuns& list) {
  SendForAnswer(
      {list.server_, list.address_, list.incarnation_},
      context_.dialect_.make_list_runs_request_(list.server_),
      "runs_not_listed",
      [this, list](const std::string& body) -> tl::expected<void, std::string> {
        auto labels = context_.dialect_.read_run_list_(body);
        if (!labels.has_value()) {
          return tl::unexpected(labels.error());
        }
        context_.post_(dispatch::RunsListed{list.server_, std::move(*labels)});
        return {};
      });
}

void ControlClient::SendForAnswer(
    const Target& target,
    ControlRequest request,
    const std::string& failure_event,
    std::function<tl::expected<void, std::string>(const std::string& body)>
        read) {
  http::BackendCall call = MakeCall(target.address_, std::move(request));
  call.max_answer_bytes_ = kMaxPromptListBytes;
  const auto answer = std::make_shared<BufferedAnswer>();
  call.on_head_ = [this, target, answer](const http::Head& head) {
    answer->status_ = head.status_;
    return OnHead(target, head);
  };
  call.on_body_ = [answer](std::string_view data) {
    answer->body_.append(data);
  };
  call.on_end_ = [this, target, answer, failure_event,
                  read = std::move(read)](const http::CallResult& end) {
    const bool succeeded =
        end.failure_ == http::CallFailure::kNone && answer->status_ == 200;
    const tl::expected<void, std::string> done =
        succeeded ? read(answer->body_)
                  : tl::unexpected(absl::StrCat("status ", answer->status_, " ",
                                                http::ToString(end.failure_),
                                                " ", end.detail_));
    if (!done.has_value()) {
      context_.log_({failure_event,
                     {{"server", target.server_}, {"detail", done.error()}}});
    }
  };
  context_.pool_.Send(std::move(call));
}

http::AnswerDecision ControlClient::OnHead(const Target& target,
                                           const http::Head& head) {
  const AnswerFields fields = context_.dialect_.read_answer_(head, "");
  // Control requests bear no ID, so an answer with one belongs to a caller's
  // request that used the connection before.
  if (fields.match_ != AnswerMatch::kUnknown) {
    return http::AnswerDecision::kSkip;
  }
  const auto notice = ReadNotice(fields, target.server_, target.incarnation_);
  if (notice.has_value()) {
    context_.post_(*notice);
  }
  return http::AnswerDecision::kAccept;
}

void ControlClient::SendIgnoringAnswer(const Target& target,
                                       ControlRequest request,
                                       const std::string& failure_event) {
  const std::string path = request.head_.target_;
  http::BackendCall call = MakeCall(target.address_, std::move(request));
  call.on_head_ = [this, target](const http::Head& head) {
    return OnHead(target, head);
  };
  call.on_body_ = [](std::string_view) {};
  call.on_end_ = [this, address = target.address_, path,
                  failure_event](const http::CallResult& end) {
    if (end.failure_ != http::CallFailure::kNone) {
      context_.log_(
          {failure_event,
           {{"address", address}, {"target", path}, {"detail", end.detail_}}});
    }
  };
  context_.pool_.Send(std::move(call));
}

}  // namespace siskindrum::gateway
