#include "siskindrum/http/caller_connection.h"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include "siskindrum/http/clock.h"
#include "socket_p.h"

namespace siskindrum::http {

namespace {

constexpr std::size_t kReadBytes = 16 * 1024;
constexpr core::Milliseconds kLingerTime{1000};

using boost::system::error_code;

Head StatusHead(int status) {
  Head head;
  head.status_ = status;
  return head;
}

}  // namespace

CallerConnection::CallerConnection(boost::asio::ip::tcp::socket socket,
                                   const CallerLimits& limits,
                                   const CallerHandlers& handlers)
    : socket_(std::move(socket)),
      limits_(limits),
      handlers_(handlers),
      read_buffer_(std::make_unique<char[]>(kReadBytes)),
      last_activity_(MonotonicNow()) {}

void CallerConnection::Start() {
  PrepareSocket(socket_);
  Read();
}

void CallerConnection::Read() {
  if (reading_ || read_ended_ || state_ == State::kClosed ||
      pending_.size() >= limits_.max_pending_bytes_) {
    return;
  }
  reading_ = true;
  socket_.async_read_some(
      boost::asio::buffer(read_buffer_.get(), kReadBytes),
      [self = shared_from_this()](const error_code& error, std::size_t count) {
        self->reading_ = false;
        if (self->state_ == State::kClosed) {
          return;
        }
        if (error) {
          self->OnReadEnd();
        } else {
          self->OnRead(count);
        }
      });
}

void CallerConnection::OnRead(std::size_t count) {
  if (state_ == State::kLingering) {
    Read();
    return;
  }
  pending_.append(read_buffer_.get(), count);
  if (state_ == State::kReading) {
    last_activity_ = MonotonicNow();
    ParsePending();
  }
  Read();
}

void CallerConnection::OnReadEnd() {
  read_ended_ = true;
  if (state_ == State::kInRequest) {
    handlers_.on_disconnect_(*this);
  }
  Close(false);
}

void CallerConnection::ParsePending() {
  if (parsing_) {
    return;
  }
  parsing_ = true;
  while (state_ == State::kReading && !pending_.empty()) {
    if (parser_ == nullptr) {
      BeginRequest();
    }
    const std::size_t used = parser_->Feed(pending_);
    pending_.erase(0, used);
    if (parser_->Error() != ParseError::kNone) {
      FailRequest(parser_->Error());
      break;
    }
    if (refusal_.has_value()) {
      RefuseAtHead(*std::exchange(refusal_, std::nullopt));
      continue;
    }
    if (!parser_->IsDone()) {
      break;
    }
    if (IsCallerGone()) {
      Close(false);
      break;
    }
    EnterRequest();
    CallerRequest request = std::move(request_);
    request_ = CallerRequest();
    request_.head_.version_ = request.head_.version_;
    request_.head_.method_ = request.head_.method_;
    handlers_.on_request_(shared_from_this(), std::move(request));
  }
  parsing_ = false;
}

// Makes the request that was read completely the one in progress.
void CallerConnection::EnterRequest() {
  request_.head_ = std::move(parser_->GetHead());
  parser_.reset();
  state_ = State::kInRequest;
  answer_begun_ = false;
  chunked_ = false;
  close_after_answer_ = draining_ || !AllowsKeepAlive(request_.head_);
}

// Refuses a request by its head. The connection stays open only if the whole
// request has arrived.
void CallerConnection::RefuseAtHead(Head refusal) {
  if (parser_->IsDone()) {
    EnterRequest();
    Respond(std::move(refusal), "");
  } else {
    RefuseAndClose(std::move(refusal));
  }
}

void CallerConnection::BeginRequest() {
  request_ = CallerRequest();
  refusal_.reset();
  request_.arrived_at_ = MonotonicNow();
  request_began_ = request_.arrived_at_;
  ParserSink sink;
  sink.on_head_ = [this] {
    if (handlers_.on_head_) {
      refusal_ = handlers_.on_head_(parser_->GetHead());
    }
    if (!refusal_.has_value() &&
        HasListToken(parser_->GetHead(), "Expect", "100-continue")) {
      Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
  };
  sink.on_body_ = [this](std::string_view data) {
    if (refusal_.has_value()) {
      return;
    }
    request_.body_.append(data);
  };
  parser_ = std::make_unique<MessageParser>(MessageParser::Kind::kRequest,
                                            limits_.parser_, std::move(sink));
}

// Returns whether the caller has already disconnected. After a pause of this
// process, a request and the end of its connection may be read together.
bool CallerConnection::IsCallerGone() {
  if (reading_) {
    return false;
  }
  error_code error;
  const std::size_t count = socket_.read_some(
      boost::asio::buffer(read_buffer_.get(), kReadBytes), error);
  if (!error) {
    pending_.append(read_buffer_.get(), count);
    return false;
  }
  return error != boost::asio::error::would_block &&
         error != boost::asio::error::try_again;
}

// Returns whether bytes of the caller wait in the socket. A busy process may
// look at its time limits before it reads a request that arrived in time.
bool CallerConnection::HasUnreadBytes() const {
  error_code error;
  return socket_.available(error) > 0 && !error;
}

void CallerConnection::FailRequest(ParseError error) {
  if (error == ParseError::kHeadTooLarge) {
    RefuseAndClose(StatusHead(431));
  } else if (error == ParseError::kBodyTooLarge) {
    RefuseAndClose(StatusHead(413));
  } else {
    RefuseAndClose(StatusHead(400));
  }
}

// Rejects a request that was not read completely.
void CallerConnection::RefuseAndClose(Head head) {
  RemoveConnectionFields(head);
  head.fields_.push_back({"Content-Length", "0"});
  head.fields_.push_back({"Connection", "close"});
  answer_begun_ = true;
  parser_.reset();
  pending_.clear();
  state_ = State::kLingering;
  last_activity_ = MonotonicNow();
  Write(FormatResponseHead(head));
}

bool CallerConnection::KeepsOpen() const {
  return !close_after_answer_ && !draining_;
}

void CallerConnection::Respond(Head head, std::string_view body) {
  if (state_ != State::kInRequest) {
    return;
  }
  answer_begun_ = true;
  RemoveConnectionFields(head);
  const bool allows_body = AllowsBody(request_.head_.method_, head.status_);
  if (allows_body) {
    head.fields_.push_back({"Content-Length", std::to_string(body.size())});
  }
  if (!KeepsOpen()) {
    close_after_answer_ = true;
    head.fields_.push_back({"Connection", "close"});
  }
  std::string text = FormatResponseHead(head);
  if (allows_body) {
    text.append(body);
  }
  Write(std::move(text));
  FinishAnswer();
}

void CallerConnection::RespondHead(Head head) {
  if (state_ != State::kInRequest) {
    return;
  }
  answer_begun_ = true;
  RemoveConnectionFields(head);
  allows_body_ = AllowsBody(request_.head_.method_, head.status_);
  chunked_ = allows_body_ && request_.head_.version_ >= 11;
  if (chunked_) {
    head.fields_.push_back({"Transfer-Encoding", "chunked"});
  }
  if (!KeepsOpen() || (allows_body_ && !chunked_)) {
    close_after_answer_ = true;
    head.fields_.push_back({"Connection", "close"});
  }
  Write(FormatResponseHead(head));
}

void CallerConnection::RespondData(std::string_view data) {
  if (state_ != State::kInRequest || data.empty() || !allows_body_) {
    return;
  }
  Write(chunked_ ? FormatChunk(data) : std::string(data));
}

void CallerConnection::RespondEnd() {
  if (state_ != State::kInRequest) {
    return;
  }
  if (chunked_) {
    Write(std::string(kLastChunk));
  }
  FinishAnswer();
}

void CallerConnection::FinishAnswer() {
  last_activity_ = MonotonicNow();
  if (close_after_answer_ || no_more_requests_) {
    state_ = State::kLingering;
    pending_.clear();
    if (!writing_) {
      Linger();
    }
    return;
  }
  state_ = State::kReading;
  ParsePending();
  Read();
}

void CallerConnection::Write(std::string data) {
  if (state_ == State::kClosed) {
    return;
  }
  backlog_ += data.size();
  writes_.push_back(std::move(data));
  WriteNext();
}

void CallerConnection::WriteNext() {
  if (writing_ || state_ == State::kClosed) {
    return;
  }
  if (writes_.empty()) {
    if (state_ == State::kLingering) {
      Linger();
    } else if (state_ == State::kInRequest && answer_begun_) {
      handlers_.on_writable_(*this);
    }
    return;
  }
  writing_ = true;
  boost::asio::async_write(socket_, boost::asio::buffer(writes_.front()),
                           [self = shared_from_this()](const error_code& error,
                                                       std::size_t /*count*/) {
                             self->writing_ = false;
                             if (self->state_ == State::kClosed) {
                               return;
                             }
                             if (error) {
                               self->OnReadEnd();
                               return;
                             }
                             self->backlog_ -= self->writes_.front().size();
                             self->writes_.pop_front();
                             self->WriteNext();
                           });
}

// Lingering close: shuts down sending and waits for the caller to close.
// Closing at once would reset the connection if unread bytes were still
// arriving, and the caller could lose the answer.
void CallerConnection::Linger() {
  error_code ignored;
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  last_activity_ = MonotonicNow();
  Read();
}

void CallerConnection::Abort() {
  Close(true);
}

void CallerConnection::Close(bool reset) {
  if (state_ == State::kClosed) {
    return;
  }
  const auto self = shared_from_this();
  state_ = State::kClosed;
  CloseSocket(socket_, reset);
  handlers_.on_closed_(*this);
}

void CallerConnection::Drain(bool close_idle) {
  draining_ = true;
  no_more_requests_ = no_more_requests_ || close_idle;
  const bool idle = state_ == State::kReading && parser_ == nullptr;
  if (idle && close_idle && !HasUnreadBytes()) {
    state_ = State::kLingering;
    Linger();
  }
}

void CallerConnection::Sweep(core::TimePoint now) {
  if (state_ == State::kLingering) {
    if (now - last_activity_ > kLingerTime) {
      Close(backlog_ > 0);
    }
    return;
  }
  if (state_ != State::kReading) {
    return;
  }
  const bool in_head = parser_ != nullptr && !parser_->IsHeadDone();
  const bool expired = in_head ? now - request_began_ > limits_.head_time_
                               : now - last_activity_ > limits_.idle_time_;
  if (!expired || HasUnreadBytes()) {
    return;
  }
  if (parser_ != nullptr) {
    RefuseAndClose(StatusHead(408));
  } else {
    state_ = State::kLingering;
    Linger();
  }
}

}  // namespace siskindrum::http
