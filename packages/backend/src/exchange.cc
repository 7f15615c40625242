#include "exchange_p.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace siskindrum::backend {

namespace {

using core::Reason;

constexpr int kOk = 200;
constexpr std::size_t kReadBytes = 16 * 1024;
constexpr std::uint32_t kMaxHeadBytes = 64 * 1024;
constexpr std::size_t kMaxInterimBytes = 64 * 1024;  // Of all in one exchange.
constexpr char kSilent[] = "no data from the server in time";

core::TimePoint Clock() {
  return std::chrono::steady_clock::now();
}

// Encodes the bytes that may not stand in a request line, which could end it.
std::string EncodeTarget(std::string_view path) {
  std::string target;
  for (const char c : path) {
    const auto byte = static_cast<unsigned char>(c);
    if (absl::ascii_isgraph(byte)) {
      target += c;
    } else {
      absl::StrAppend(&target, "%", absl::Hex(byte, absl::kZeroPad2));
    }
  }
  return target;
}

std::string FormatRequest(const HttpRequest& request) {
  http::Head head;
  head.method_ = request.method_;
  head.target_ = EncodeTarget(request.path_);
  head.fields_ = {{"Host", request.address_}, {"Connection", "close"}};
  for (const Header& header : request.headers_) {
    head.fields_.push_back({header.name_, header.value_});
  }
  const bool has_type = http::FindField(head, "Content-Type") != nullptr;
  if (!request.body_.empty() && !has_type) {
    head.fields_.push_back({"Content-Type", request.content_type_});
  }
  const bool announces_body = !request.body_.empty() ||
                              head.method_ == "POST" || head.method_ == "PUT" ||
                              head.method_ == "PATCH";
  if (announces_body) {
    head.fields_.push_back(
        {"Content-Length", absl::StrCat(request.body_.size())});
  }
  return http::FormatRequestHead(head) + request.body_;
}

std::string FieldText(const http::Head& head, std::string_view name) {
  const std::string* value = http::FindField(head, name);
  return value == nullptr ? "" : *value;
}

}  // namespace

Exchange::Exchange(int socket,
                   const HttpRequest& request,
                   const BodySink& sink,
                   const std::atomic<bool>& stopped)
    : socket_(socket),
      request_(request),
      sink_(sink),
      stopped_(stopped),
      bytes_(FormatRequest(request)),
      silent_since_(Clock()) {
  ResetParser();
}

tl::expected<HttpAnswer, ExchangeFailure> Exchange::Run() {
  while (!done_ && !failed_) {
    Step();
  }
  if (failed_) {
    return tl::unexpected(std::move(failure_));
  }
  return std::move(answer_);
}

// Waits until the socket can be read or written, and does so.
void Exchange::Step() {
  const auto left = std::chrono::ceil<core::Milliseconds>(
      silent_since_ + request_.silence_timeout_ - Clock());
  if (left.count() <= 0) {
    Fail(Reason::kConnectionLost, kSilent);
    return;
  }
  const auto events = static_cast<short>(POLLIN | (IsWritten() ? 0 : POLLOUT));
  pollfd polled{socket_, events, 0};
  if (poll(&polled, 1, static_cast<int>(left.count())) < 0 && errno != EINTR) {
    Fail(Reason::kConnectionLost, std::strerror(errno));
    return;
  }
  if (stopped_) {
    Fail(Reason::kConnectionLost, "stopped");
    return;
  }
  if ((polled.revents & ~POLLOUT) != 0) {
    ReadSome();
  }
  if (!done_ && !failed_ && (polled.revents & POLLOUT) != 0) {
    WriteSome();
  }
}

void Exchange::ReadSome() {
  char buffer[kReadBytes];
  const ssize_t count = recv(socket_, buffer, sizeof buffer, MSG_DONTWAIT);
  if (count < 0) {
    if (errno != EAGAIN && errno != EINTR) {
      Fail(Reason::kConnectionLost, std::strerror(errno));
    }
    return;
  }
  if (count == 0) {
    OnEndOfConnection();
    return;
  }
  pending_.append(buffer, static_cast<std::size_t>(count));
  Parse();
}

void Exchange::WriteSome() {
  const ssize_t count =
      send(socket_, bytes_.data() + written_, bytes_.size() - written_,
           MSG_DONTWAIT | MSG_NOSIGNAL);
  if (count >= 0) {
    written_ += static_cast<std::size_t>(count);
    silent_since_ = Clock();
    return;
  }
  if (errno == EAGAIN || errno == EINTR) {
    return;
  }
  // EPIPE follows an orderly end of the answer, which is still read.
  if (errno != EPIPE) {
    write_error_ = std::strerror(errno);
  }
  bytes_.clear();
  written_ = 0;
}

void Exchange::OnEndOfConnection() {
  if (stopped_ || !write_error_.empty()) {
    Fail(Reason::kConnectionLost, stopped_ ? "stopped" : write_error_);
    return;
  }
  parser_->FeedEof();
  if (parser_->IsDone()) {
    done_ = true;
  } else {
    Fail(Reason::kConnectionLost, "the connection ended within the answer");
  }
}

void Exchange::Parse() {
  while (!done_ && !failed_ && !pending_.empty()) {
    const std::size_t used = parser_->Feed(pending_);
    pending_.erase(0, used);
    parsed_ += used;
    if (failed_) {
      return;
    }
    if (parser_->Error() != http::ParseError::kNone) {
      Fail(Reason::kBadAnswer, http::ToString(parser_->Error()));
      return;
    }
    if (!parser_->IsDone()) {
      return;
    }
    if (parser_->GetHead().status_ / 100 != 1) {
      done_ = true;
    } else if (parsed_ > kMaxInterimBytes) {
      Fail(Reason::kBadAnswer, "the interim answers exceed the size limit");
    } else {
      ResetParser();
    }
  }
}

void Exchange::ResetParser() {
  http::ParserSink sink;
  sink.on_head_ = [this] { OnHead(); };
  sink.on_body_ = [this](std::string_view data) { OnBody(data); };
  parser_ = std::make_unique<http::MessageParser>(
      http::MessageParser::Kind::kResponse,
      http::ParserLimits{kMaxHeadBytes, 0}, std::move(sink));
  if (request_.method_ == "HEAD") {
    parser_->ExpectNoBody();
  }
}

void Exchange::OnHead() {
  const http::Head& head = parser_->GetHead();
  if (head.status_ / 100 == 1) {
    return;
  }
  silent_since_ = Clock();
  answer_.status_ = head.status_;
  answer_.content_type_ = FieldText(head, "Content-Type");
  answer_.not_run_ = FieldText(head, "X-Not-Run") == "true";
  answer_.draining_ = FieldText(head, "X-Draining") == "true";
}

void Exchange::OnBody(std::string_view data) {
  silent_since_ = Clock();
  if (failed_) {
    return;
  }
  if (sink_ && answer_.status_ == kOk) {
    if (!sink_(data.data(), data.size())) {
      Fail(Reason::kConnectionLost, "stopped by the reader of the body");
    }
    return;
  }
  if (data.size() > request_.max_body_bytes_ - answer_.body_.size()) {
    Fail(Reason::kBadAnswer, "the body exceeds the size limit");
    return;
  }
  answer_.body_.append(data);
}

void Exchange::Fail(Reason reason, const std::string& detail) {
  failed_ = true;
  failure_ = {reason, detail};
}

}  // namespace siskindrum::backend
