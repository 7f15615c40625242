#include "backend_connection_p.h"

#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "siskindrum/http/clock.h"
#include "siskindrum/http/endpoint.h"
#include "socket_p.h"

namespace siskindrum::http {

namespace {

constexpr std::size_t kReadBytes = 16 * 1024;
// Idle time when the server sends no Keep-Alive timeout.
constexpr core::Milliseconds kDefaultKeepAlive{1000};
// Subtracted from the server's timeout, so that it does not close the
// connection while a request is being sent.
constexpr core::Milliseconds kKeepAliveMargin{700};
constexpr std::uint32_t kAnswerHeadBytes = 64 * 1024;
// The kernel drops a server's connection when sent bytes stay unacknowledged
// for this long.
constexpr core::Milliseconds kUnacknowledgedTime{3000};
// Memory of a connection beside its read buffer.
constexpr std::size_t kConnectionBytes = 2 * 1024;

using boost::system::error_code;

}  // namespace

BackendConnection::BackendConnection(boost::asio::io_context& context,
                                     const std::string& address,
                                     const ConnectionOwner& owner)
    : socket_(context),
      address_(address),
      owner_(owner),
      read_buffer_(std::make_unique<char[]>(kReadBytes)),
      connection_charge_(owner.budget_,
                         memory::Use::kConnection,
                         kReadBytes + kConnectionBytes),
      request_charge_(owner.budget_, memory::Use::kServerRequest) {}

void BackendConnection::Connect(BackendCall call) {
  SetCall(std::move(call));
  connect_until_ = MonotonicNow() + call_.connect_timeout_;
  const auto endpoint = ParseEndpoint(address_);
  if (!endpoint.has_value()) {
    boost::asio::post(socket_.get_executor(),
                      [self = shared_from_this(), reason = endpoint.error()] {
                        self->End(CallFailure::kConnectFailed, reason);
                      });
    return;
  }
  error_code error;
  socket_.open(endpoint->protocol(), error);
  if (error) {
    boost::asio::post(socket_.get_executor(),
                      [self = shared_from_this(), error] {
                        self->End(CallFailure::kConnectFailed, error.message());
                      });
    return;
  }
  PrepareSocket(socket_, kUnacknowledgedTime);
  if (owner_.budget_ != nullptr && owner_.budget_->Limit() > 0) {
    BoundKernelBuffers(socket_);
  }
  socket_.async_connect(*endpoint,
                        [self = shared_from_this()](const error_code& result) {
                          self->OnConnected(result);
                        });
}

void BackendConnection::SetCall(BackendCall call) {
  call_ = std::move(call);
  request_charge_.Resize(call_.bytes_.size());
}

void BackendConnection::OnConnected(const error_code& error) {
  if (state_ != State::kConnecting) {
    return;
  }
  if (error) {
    End(CallFailure::kConnectFailed, error.message());
    return;
  }
  BeginCall();
}

bool BackendConnection::Reuse(BackendCall& call) {
  if (state_ != State::kIdle) {
    return false;
  }
  char byte = 0;
  const ssize_t peeked =
      recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (peeked >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
    CloseIdle();
    return false;
  }
  SetCall(std::move(call));
  ++call_number_;
  paused_ = false;
  sent_ = false;
  parser_.reset();
  boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (self->state_ == State::kInCall) {
      self->BeginCall();
    }
  });
  state_ = State::kInCall;
  return true;
}

void BackendConnection::BeginCall() {
  state_ = State::kInCall;
  sent_ = false;
  written_ = false;
  write_error_ = {};
  skipping_ = false;
  rejected_ = false;
  answer_bytes_ = 0;
  if (MonotonicNow() > call_.write_deadline_) {
    End(CallFailure::kExpired,
        "the write deadline passed before the request was sent");
    return;
  }
  ResetParser();
  Write();
  if (state_ == State::kInCall) {
    Read();
  }
}

void BackendConnection::Write() {
  sent_ = true;
  std::vector<boost::asio::const_buffer> buffers{
      boost::asio::buffer(call_.bytes_)};
  if (call_.body_ != nullptr) {
    call_.body_->AppendBuffers(buffers);
  }
  boost::asio::async_write(socket_, buffers,
                           [self = shared_from_this(), body = call_.body_](
                               const error_code& error, std::size_t /*count*/) {
                             self->OnWritten(error);
                           });
}

// The read ends the call, also after a failed write: the server may have
// answered before it stopped reading. But the kernel reports the loss of a
// connection only once, and a read after a write that got the error sees
// nothing but an end. A broken pipe is no such loss: it follows an orderly end
// that the read sees too, or a loss that the read got.
void BackendConnection::OnWritten(const error_code& error) {
  if (!error) {
    written_ = true;
  } else if (error != boost::asio::error::broken_pipe) {
    write_error_ = error;
  }
}

void BackendConnection::Read() {
  if (reading_ || paused_ || state_ == State::kClosed) {
    return;
  }
  reading_ = true;
  socket_.async_read_some(
      boost::asio::buffer(read_buffer_.get(), kReadBytes),
      [self = shared_from_this()](const error_code& error, std::size_t count) {
        self->reading_ = false;
        self->OnRead(error, count);
      });
}

void BackendConnection::OnRead(const error_code& error, std::size_t count) {
  if (state_ == State::kClosed) {
    return;
  }
  if (state_ == State::kIdle) {
    CloseIdle();
    return;
  }
  if (parser_ == nullptr) {
    End(CallFailure::kConnectionLost,
        "the server closed the idle connection or sent unexpected bytes on it");
    return;
  }
  if (error) {
    OnReadEnd(write_error_ ? write_error_ : error);
    return;
  }
  answer_bytes_ += count;
  if (call_.max_answer_bytes_ > 0 && answer_bytes_ > call_.max_answer_bytes_) {
    End(CallFailure::kTooLarge,
        absl::StrCat("more than ", call_.max_answer_bytes_,
                     " bytes were received"));
    return;
  }
  pending_.append(read_buffer_.get(), count);
  Parse();
  if (state_ == State::kInCall || state_ == State::kIdle) {
    Read();
  }
}

// Ends the call at the end or the loss of its connection. Only an orderly end
// completes an answer without a length.
void BackendConnection::OnReadEnd(const error_code& error) {
  if (error == boost::asio::error::eof && !skipping_) {
    parser_->FeedEof();
    if (parser_->IsDone()) {
      FinishAnswer();
      return;
    }
  }
  End(CallFailure::kConnectionLost, error.message());
}

void BackendConnection::Parse() {
  const auto self = shared_from_this();
  while (state_ == State::kInCall && !pending_.empty()) {
    const std::string bytes = std::move(pending_);
    pending_.clear();
    const std::size_t used = parser_->Feed(bytes);
    if (state_ != State::kInCall) {
      return;
    }
    pending_.append(bytes, used);
    if (rejected_ || parser_->Error() != ParseError::kNone) {
      End(CallFailure::kMalformed, rejected_
                                       ? "the answer head failed validation"
                                       : ToString(parser_->Error()));
      return;
    }
    if (!parser_->IsDone()) {
      return;
    }
    if (skipping_ || parser_->GetHead().status_ / 100 == 1) {
      ResetParser();
      continue;
    }
    FinishAnswer();
  }
}

void BackendConnection::ResetParser() {
  skipping_ = false;
  ParserSink sink;
  sink.on_head_ = [this] { OnHead(); };
  sink.on_body_ = [this](std::string_view data) {
    if (!skipping_ && !rejected_ && state_ == State::kInCall) {
      call_.on_body_(data);
    }
  };
  parser_ = std::make_unique<MessageParser>(MessageParser::Kind::kResponse,
                                            ParserLimits{kAnswerHeadBytes, 0},
                                            std::move(sink));
  if (call_.head_only_) {
    parser_->ExpectNoBody();
  }
}

void BackendConnection::OnHead() {
  const Head& head = parser_->GetHead();
  if (head.status_ / 100 == 1) {
    return;
  }
  const AnswerDecision decision = call_.on_head_(head);
  if (decision == AnswerDecision::kSkip) {
    ++owner_.counters_->mismatched_answers_;
    skipping_ = true;
  } else if (decision == AnswerDecision::kFail) {
    rejected_ = true;
  }
}

core::Milliseconds BackendConnection::KeepAliveTime() const {
  const std::string* value = FindField(parser_->GetHead(), "Keep-Alive");
  const std::size_t at =
      value == nullptr ? std::string::npos : value->find("timeout=");
  if (at == std::string::npos) {
    return kDefaultKeepAlive;
  }
  const std::size_t begin = at + std::string_view("timeout=").size();
  const std::size_t end = value->find_first_not_of("0123456789", begin);
  std::int64_t seconds = 0;
  if (!absl::SimpleAtoi(value->substr(begin, end - begin), &seconds) ||
      seconds > 3600) {
    return kDefaultKeepAlive;
  }
  return core::Milliseconds(seconds * 1000) - kKeepAliveMargin;
}

void BackendConnection::FinishAnswer() {
  const Head& head = parser_->GetHead();
  const core::Milliseconds keep_alive = KeepAliveTime();
  const bool ended_by_close = parser_->EndsWithConnection();
  const bool reusable = AllowsKeepAlive(head) && written_ && pending_.empty() &&
                        !ended_by_close && keep_alive.count() > 0;
  const auto on_end = std::move(call_.on_end_);
  SetCall(BackendCall());
  const auto self = shared_from_this();
  if (reusable) {
    state_ = State::kIdle;
    idle_until_ = MonotonicNow() + keep_alive;
    owner_.on_idle_(self);
  } else {
    Close();
  }
  on_end({CallFailure::kNone, true, "", ended_by_close});
}

void BackendConnection::End(CallFailure failure, const std::string& detail) {
  if (state_ == State::kClosed) {
    return;
  }
  const auto on_end = std::move(call_.on_end_);
  const bool sent = sent_;
  SetCall(BackendCall());
  Close();
  on_end({failure, sent, detail, false});
}

void BackendConnection::Cancel(std::uint64_t call) {
  if (call == call_number_ && state_ != State::kIdle) {
    Close();
  }
}

void BackendConnection::CloseSilently() {
  Close();
}

void BackendConnection::Pause(std::uint64_t call) {
  paused_ = paused_ || call == call_number_;
}

void BackendConnection::Resume(std::uint64_t call) {
  if (paused_ && call == call_number_) {
    paused_ = false;
    Read();
  }
}

void BackendConnection::CloseIdle() {
  if (state_ == State::kIdle) {
    Close();
  }
}

void BackendConnection::Sweep(core::TimePoint now) {
  if (state_ == State::kConnecting && now > connect_until_) {
    End(CallFailure::kConnectTimeout, "the connection attempt timed out");
  } else if (state_ == State::kInCall && now > call_.deadline_) {
    End(CallFailure::kTimeout, "the answer was not complete in time");
  }
}

void BackendConnection::Close() {
  if (state_ == State::kClosed) {
    return;
  }
  const auto self = shared_from_this();
  state_ = State::kClosed;
  CloseSocket(socket_, false);
  owner_.on_closed_(*this);
}

}  // namespace siskindrum::http
