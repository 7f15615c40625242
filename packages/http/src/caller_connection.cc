#include "siskindrum/http/caller_connection.h"

#include <algorithm>
#include <cerrno>
#include <utility>

#include <sys/socket.h>

#include <boost/asio/buffer.hpp>

#include "absl/strings/numbers.h"
#include "siskindrum/http/clock.h"
#include "siskindrum/memory/decision.h"
#include "socket_p.h"

namespace siskindrum::http {

namespace {

constexpr std::size_t kReadBytes = 16 * 1024;
constexpr core::Milliseconds kLingerTime{1000};
// An answer of which a caller reads nothing for this long is dropped, whatever
// time the caller has left.
constexpr core::Milliseconds kMaxUnreadTime{30000};
// The kernel drops a caller's connection when bytes stay unacknowledged, or its
// receive window stays closed, for this long. Above the time for which sound
// callers stop reading.
constexpr core::Milliseconds kUnacknowledgedTime{15000};
// Larger bodies are not copied behind the head of their answer.
constexpr std::size_t kMaxCopiedBody = 4 * 1024;
// Memory of a connection beside its read buffer.
constexpr std::size_t kConnectionBytes = 2 * 1024;

using boost::system::error_code;

Head StatusHead(int status) {
  Head head;
  head.status_ = status;
  return head;
}

std::uint64_t ContentLength(const Head& head) {
  const std::string* value = FindField(head, "Content-Length");
  std::uint64_t length = 0;
  return value != nullptr && absl::SimpleAtoi(*value, &length) ? length : 0;
}

}  // namespace

CallerConnection::CallerConnection(boost::asio::ip::tcp::socket socket,
                                   const CallerLimits& limits,
                                   const CallerHandlers& handlers)
    : socket_(std::move(socket)),
      limits_(limits),
      handlers_(handlers),
      read_buffer_(std::make_unique<char[]>(kReadBytes)),
      connection_charge_(limits.budget_,
                         memory::Use::kConnection,
                         kReadBytes + kConnectionBytes),
      backlog_charge_(limits.budget_, memory::Use::kCallerAnswer),
      last_activity_(MonotonicNow()) {}

void CallerConnection::Start() {
  PrepareSocket(socket_, kUnacknowledgedTime);
  if (limits_.budget_ != nullptr && limits_.budget_->Limit() > 0) {
    BoundKernelBuffers(socket_);
  }
  Read();
}

void CallerConnection::Read() {
  if (reading_ || read_ended_ || state_ == State::kClosed ||
      pending_.size() >= limits_.max_pending_bytes_) {
    return;
  }
  reading_ = true;
  if (unread_body_ > 0) {
    DiscardBody();
    return;
  }
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

// Drops bytes of a refused body without parsing them, which would delay all
// other requests when many callers send long bodies. They are read into a
// buffer, since not every platform accepts MSG_TRUNC without one.
void CallerConnection::DiscardBody() {
  socket_.async_wait(
      boost::asio::ip::tcp::socket::wait_read,
      [self = shared_from_this()](const error_code& error) {
        self->reading_ = false;
        if (self->state_ == State::kClosed) {
          return;
        }
        const ssize_t count =
            error
                ? 0
                : recv(self->socket_.native_handle(), self->read_buffer_.get(),
                       std::min<std::size_t>(self->unread_body_, kReadBytes),
                       MSG_DONTWAIT);
        const bool is_early = count < 0 && errno == EAGAIN;
        if (count <= 0 && !is_early) {
          self->OnReadEnd();
          return;
        }
        self->unread_body_ -= is_early ? 0 : static_cast<std::size_t>(count);
        self->last_activity_ = MonotonicNow();
        if (self->unread_body_ == 0 && self->discarding_) {
          self->EndDiscard();
        }
        self->Read();
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
  while (state_ == State::kReading && !pending_.empty() && MayQueueAnswer()) {
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
      RefuseEarly(*std::exchange(refusal_, std::nullopt));
      continue;
    }
    if (!parser_->IsDone()) {
      break;
    }
    if (discarding_) {
      EndDiscard();
      continue;
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
  answer_until_ = {};
  close_after_answer_ = draining_ || !AllowsKeepAlive(request_.head_);
}

// Returns whether another answer may be queued behind those that the caller has
// not read yet.
bool CallerConnection::MayQueueAnswer() const {
  return memory::DecideAnswerRead(limits_.budget_, backlog_) ==
         memory::Decision::kAdmit;
}

// Refuses a request that may not have been read completely. The connection
// stays open, and the rest of the request is discarded, because many callers
// read an answer only after they have sent the whole request.
void CallerConnection::RefuseEarly(Head refusal) {
  request_.body_ = Body();
  if (parser_->IsDone()) {
    EnterRequest();
    Respond(std::move(refusal), "");
  } else if (!CanDiscardRest()) {
    RefuseAndClose(std::move(refusal));
  } else {
    discarding_ = true;
    unread_body_ = announced_ - std::min(announced_, body_seen_);
    answer_until_ = MonotonicNow() + limits_.idle_time_;
    RemoveConnectionFields(refusal);
    refusal.fields_.push_back({"Content-Length", "0"});
    Write(FormatResponseHead(refusal));
  }
}

// Returns false when it is not certain that the rest of the request will come.
bool CallerConnection::CanDiscardRest() const {
  const Head& head = parser_->GetHead();
  return KeepsOpen() && AllowsKeepAlive(head) &&
         FindField(head, "Expect") == nullptr;
}

// Makes the connection ready for the next request after a refused one.
void CallerConnection::EndDiscard() {
  discarding_ = false;
  parser_.reset();
  if (no_more_requests_) {
    CloseAfterWrites();
  }
}

// Closes the connection in an orderly way once all answers are written.
void CallerConnection::CloseAfterWrites() {
  state_ = State::kLingering;
  discarding_ = false;
  unread_body_ = 0;
  parser_.reset();
  pending_.clear();
  last_activity_ = MonotonicNow();
  if (!writing_) {
    Linger();
  }
}

void CallerConnection::BeginRequest() {
  request_ = CallerRequest();
  refusal_.reset();
  request_.arrived_at_ = MonotonicNow();
  request_began_ = request_.arrived_at_;
  request_.body_ =
      Body(memory::Charge(limits_.budget_, memory::Use::kCallerRequest));
  ParserSink sink;
  sink.on_head_ = [this] { OnRequestHead(); };
  sink.on_body_ = [this](std::string_view data) { OnRequestBody(data); };
  parser_ = std::make_unique<MessageParser>(MessageParser::Kind::kRequest,
                                            limits_.parser_, std::move(sink));
}

void CallerConnection::OnRequestHead() {
  const Head& head = parser_->GetHead();
  if (handlers_.on_head_) {
    refusal_ = handlers_.on_head_(head);
  }
  announced_ = ContentLength(head);
  body_seen_ = 0;
  if (!refusal_.has_value()) {
    Hold(HeadBytes(head) + announced_);
  }
  if (!refusal_.has_value() && HasListToken(head, "Expect", "100-continue")) {
    Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void CallerConnection::OnRequestBody(std::string_view data) {
  body_seen_ += data.size();
  if (discarding_) {
    // A read that began before the refusal delivers part of the body.
    unread_body_ = announced_ - std::min(announced_, body_seen_);
    return;
  }
  if (refusal_.has_value()) {
    return;
  }
  if (announced_ == 0) {
    Hold(data.size());
  }
  if (!refusal_.has_value()) {
    request_.body_.Append(data, announced_);
  }
}

void CallerConnection::Hold(std::uint64_t more) {
  memory::Charge& charge = request_.body_.Charge();
  if (memory::DecideRequest(limits_.budget_, charge.Size(), more) ==
      memory::Decision::kAdmit) {
    charge.Resize(charge.Size() + more);
  } else {
    refusal_ = handlers_.on_no_memory_(parser_->GetHead());
  }
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
  if (discarding_) {
    CloseAfterWrites();
  } else if (error == ParseError::kHeadTooLarge) {
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
  request_.body_ = Body();
  pending_.clear();
  state_ = State::kLingering;
  last_activity_ = MonotonicNow();
  Write(FormatResponseHead(head));
}

bool CallerConnection::KeepsOpen() const {
  return !close_after_answer_ && !draining_;
}

void CallerConnection::Respond(Head head, std::string body) {
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
  if (!allows_body) {
    body.clear();
  }
  if (body.size() <= kMaxCopiedBody) {
    text.append(body);
    body.clear();
  }
  Write(std::move(text));
  if (!body.empty()) {
    Write(std::move(body));
  }
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
  last_write_ = last_activity_;
  if (answer_until_ == core::TimePoint{}) {
    answer_until_ = last_activity_ + limits_.idle_time_;
  }
  if (close_after_answer_ || no_more_requests_) {
    CloseAfterWrites();
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
  if (backlog_ == 0) {
    last_write_ = MonotonicNow();
  }
  backlog_ += data.size();
  backlog_charge_.Resize(backlog_);
  writes_.push_back(std::move(data));
  WriteNext();
}

void CallerConnection::WriteNext() {
  if (writing_ || state_ == State::kClosed) {
    return;
  }
  if (writes_.empty()) {
    OnAllWritten();
    return;
  }
  writing_ = true;
  const auto rest = boost::asio::buffer(writes_.front()) + front_written_;
  socket_.async_write_some(
      rest,
      [self = shared_from_this()](const error_code& error, std::size_t count) {
        self->writing_ = false;
        if (self->state_ == State::kClosed) {
          return;
        }
        if (error) {
          self->OnReadEnd();
          return;
        }
        self->OnWritten(count);
        self->WriteNext();
      });
}

void CallerConnection::OnWritten(std::size_t count) {
  last_write_ = MonotonicNow();
  backlog_ -= count;
  backlog_charge_.Resize(backlog_);
  front_written_ += count;
  if (front_written_ == writes_.front().size()) {
    writes_.pop_front();
    front_written_ = 0;
  }
}

void CallerConnection::OnAllWritten() {
  if (state_ == State::kLingering) {
    Linger();
  } else if (state_ == State::kInRequest && answer_begun_) {
    handlers_.on_writable_(*this);
  } else if (state_ == State::kReading && !parsing_) {
    last_activity_ = MonotonicNow();
    ParsePending();
    Read();
  }
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
    CloseAfterWrites();
  }
}

void CallerConnection::Sweep(core::TimePoint now) {
  const bool is_answered =
      state_ == State::kLingering || state_ == State::kReading;
  if (is_answered && backlog_ > 0) {
    if (IsAnswerUnread(now)) {
      Close(true);
    }
    return;
  }
  if (state_ == State::kLingering && now - last_activity_ > kLingerTime) {
    Close(false);
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
  if (parser_ != nullptr && !discarding_) {
    RefuseAndClose(StatusHead(408));
  } else {
    CloseAfterWrites();
  }
}

// Returns whether the caller has stopped reading complete answers and has no
// time left to read on.
bool CallerConnection::IsAnswerUnread(core::TimePoint now) const {
  const core::Nanoseconds unread = now - last_write_;
  return unread > kMaxUnreadTime ||
         (unread > kLingerTime && now > answer_until_);
}

}  // namespace siskindrum::http
