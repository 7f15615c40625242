#include "own_requests_p.h"

#include <memory>
#include <utility>

#include "absl/strings/str_cat.h"
#include "exchange_p.h"
#include "siskindrum/http/clock.h"

namespace siskindrum::gateway {

namespace {

constexpr core::Milliseconds kOwnRequestTime{2000};
// More of a list of prompts is not read.
constexpr std::size_t kMostListBytes = 1024 * 1024;

http::BackendCall MakeCall(const std::string& address, OwnRequest request) {
  http::BackendCall call;
  call.address_ = address;
  call.bytes_ = FormatOwnRequest(std::move(request));
  call.write_before_ = http::MonotonicNow() + kOwnRequestTime;
  return call;
}

// An answer that is gathered whole.
struct Gathered {
  int status_ = 0;
  std::string body_;
};

}  // namespace

OwnRequests::OwnRequests(OwnRequestContext context)
    : context_(std::move(context)) {}

void OwnRequests::Send(const dispatch::FreeHandle& free) {
  SendBlind(free.address_, context_.dialect_.free_handle_(free.handle_),
            "handle_not_freed");
}

void OwnRequests::Send(const dispatch::DropHold& drop) {
  SendBlind(drop.address_, context_.dialect_.drop_hold_(drop.hold_),
            "hold_not_dropped");
}

void OwnRequests::Send(const dispatch::TurnToDecode& turn) {
  // One process gives orders, and each one but once, so that any number that
  // rises in it will do.
  SendBlind(turn.address_,
            context_.dialect_.turn_to_decode_(turn.server_, context_.name_,
                                              ++last_fence_),
            "order_not_given");
}

void OwnRequests::Send(const dispatch::ListKept& list) {
  http::BackendCall call =
      MakeCall(list.address_, context_.dialect_.list_kept_(list.server_));
  const auto answer = std::make_shared<Gathered>();
  call.on_head_ = [answer](const http::Head& head) {
    answer->status_ = head.status_;
    return http::AnswerUse::kTake;
  };
  call.on_body_ = [answer](std::string_view data) {
    if (answer->body_.size() < kMostListBytes) {
      answer->body_.append(data);
    }
  };
  call.on_end_ = [this, list, answer](const http::CallEnd& end) {
    const bool whole =
        end.failure_ == http::CallFailure::kNone && answer->status_ == 200;
    const auto prompts =
        whole ? context_.dialect_.read_prompt_list_(answer->body_)
              : tl::unexpected(absl::StrCat("status ", answer->status_, " ",
                                            http::ToString(end.failure_)));
    if (prompts.has_value()) {
      context_.post_(dispatch::KeptListed{list.server_, *prompts});
    } else {
      context_.log_({"prompts_not_listed",
                     {{"server", list.server_}, {"detail", prompts.error()}}});
    }
  };
  context_.pool_.Send(std::move(call));
}

void OwnRequests::SendBlind(const std::string& address,
                            OwnRequest request,
                            const std::string& failure_event) {
  const std::string target = request.head_.target_;
  http::BackendCall call = MakeCall(address, std::move(request));
  call.on_head_ = [](const http::Head&) { return http::AnswerUse::kTake; };
  call.on_body_ = [](std::string_view) {};
  call.on_end_ = [this, address, target,
                  failure_event](const http::CallEnd& end) {
    if (end.failure_ != http::CallFailure::kNone) {
      context_.log_({failure_event,
                     {{"address", address},
                      {"target", target},
                      {"detail", end.detail_}}});
    }
  };
  context_.pool_.Send(std::move(call));
}

}  // namespace siskindrum::gateway
