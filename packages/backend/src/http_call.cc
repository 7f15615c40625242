#include "siskindrum/backend/http_call.h"

#include <atomic>

#include <httplib.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"

namespace siskindrum::backend {

namespace {

constexpr int kOk = 200;

core::Verdict FailureOf(httplib::Error error, const std::string& address) {
  core::Verdict verdict;
  verdict.detail_ = absl::StrCat(address, ": ", httplib::to_string(error));
  const bool before_send = error == httplib::Error::Connection ||
                           error == httplib::Error::ConnectionTimeout ||
                           error == httplib::Error::BindIPAddress;
  verdict.run_state_ =
      before_send ? core::RunState::kNotRun : core::RunState::kMayHaveRun;
  verdict.reason_ = before_send ? core::Reason::kConnectFailed
                                : core::Reason::kConnectionLost;
  return verdict;
}

core::Verdict StoppedVerdict() {
  return {core::RunState::kNotRun, core::Reason::kCallerGone,
          "stopped before it was sent", core::Milliseconds(0)};
}

httplib::Request MakeRequest(const HttpRequest& request) {
  httplib::Request made;
  made.method = request.method_;
  made.path = request.path_;
  made.body = request.body_;
  for (const Header& header : request.headers_) {
    made.headers.emplace(header.name_, header.value_);
  }
  if (!request.body_.empty() && !made.has_header("Content-Type")) {
    made.headers.emplace("Content-Type", request.content_type_);
  }
  return made;
}

}  // namespace

struct HttpCall::State {
  absl::Mutex mutex_;
  httplib::Client* client_ = nullptr;  // Of the exchange in progress.
  std::atomic<bool> stopped_{false};
};

HttpCall::HttpCall() : state_(std::make_unique<State>()) {}
HttpCall::~HttpCall() = default;

tl::expected<HttpAnswer, core::Verdict> HttpCall::Run(
    const HttpRequest& request,
    const BodySink& sink) {
  const auto [host, port] = SplitAddress(request.address_);
  if (port == 0) {
    return tl::unexpected(
        core::Verdict{core::RunState::kNotRun, core::Reason::kConnectFailed,
                      "server has no address", core::Milliseconds(0)});
  }
  httplib::Client client(host, port);
  client.set_tcp_nodelay(true);
  client.set_connection_timeout(request.connect_timeout_);
  client.set_read_timeout(request.silence_timeout_);
  client.set_write_timeout(request.silence_timeout_);
  httplib::Request made = MakeRequest(request);
  int status = 0;
  std::string error_body;
  if (sink) {
    made.response_handler = [&](const httplib::Response& response) {
      status = response.status;
      return true;
    };
    made.content_receiver = [&](const char* data, std::size_t size,
                                std::uint64_t, std::uint64_t) {
      if (status == kOk) {
        return sink(data, size);
      }
      error_body.append(data, size);
      return true;
    };
  }
  {
    absl::MutexLock lock(&state_->mutex_);
    if (state_->stopped_) {
      return tl::unexpected(StoppedVerdict());
    }
    state_->client_ = &client;
  }
  httplib::Result result = client.send(made);
  {
    absl::MutexLock lock(&state_->mutex_);
    state_->client_ = nullptr;
  }
  if (!result) {
    return tl::unexpected(FailureOf(result.error(), request.address_));
  }
  HttpAnswer answer;
  answer.status_ = result->status;
  answer.content_type_ = result->get_header_value("Content-Type");
  answer.body_ = sink ? error_body : std::move(result->body);
  answer.not_run_ = result->get_header_value("X-Not-Run") == "true";
  answer.draining_ = result->get_header_value("X-Draining") == "true";
  return answer;
}

void HttpCall::Stop() {
  absl::MutexLock lock(&state_->mutex_);
  state_->stopped_ = true;
  if (state_->client_ != nullptr) {
    state_->client_->stop();
  }
}

bool HttpCall::IsStopped() const {
  return state_->stopped_;
}

std::pair<std::string, int> SplitAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  int port = 0;
  if (colon == std::string::npos ||
      !absl::SimpleAtoi(address.substr(colon + 1), &port)) {
    return {"", 0};
  }
  return {address.substr(0, colon), port};
}

}  // namespace siskindrum::backend
