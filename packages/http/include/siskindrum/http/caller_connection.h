#ifndef SISKINDRUM_HTTP_CALLER_CONNECTION_H_
#define SISKINDRUM_HTTP_CALLER_CONNECTION_H_

#include <utility>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include "siskindrum/core/types.h"
#include "siskindrum/http/body.h"
#include "siskindrum/http/message.h"
#include "siskindrum/http/parser.h"
#include "siskindrum/memory/budget.h"

namespace siskindrum::http {

// Size and time limits for a caller's connection.
struct CallerLimits {
  ParserLimits parser_;
  core::Milliseconds head_time_{3000};   // From the first byte of a request.
  core::Milliseconds idle_time_{15000};  // Between requests, or within a body.
  // Limit of unparsed bytes that follow a request in progress.
  std::size_t max_pending_bytes_ = 64 * 1024;
  // Counts and bounds what connections hold; null: neither.
  memory::Budget* budget_ = nullptr;
};

struct CallerRequest {
  Head head_;
  Body body_;                     // Bears the charge for head and body.
  core::TimePoint arrived_at_{};  // Time when its first byte was parsed.
};

class CallerConnection;

// Callbacks to the owner; all run on the network thread.
struct CallerHandlers {
  // The head of a request was read. Returns the head of a refusal, which is
  // then sent before the rest of the request is read, or nothing. Optional.
  std::function<std::optional<Head>(const Head&)> on_head_;
  // The budget has no room for the request with this head. Returns the head of
  // the refusal, sent as above. Required if there is a budget.
  std::function<Head(const Head&)> on_no_memory_;
  // A complete request was read. Answer it with the Respond functions.
  std::function<void(const std::shared_ptr<CallerConnection>&, CallerRequest)>
      on_request_;
  // The caller disconnected while its request was in progress.
  std::function<void(CallerConnection&)> on_disconnect_;
  // All that was written has been handed to the kernel.
  std::function<void(CallerConnection&)> on_writable_;
  // The connection is closed; no callback follows.
  std::function<void(CallerConnection&)> on_closed_;
};

// Server side of one caller's connection. Processes one request at a time and
// keeps reading meanwhile to detect a disconnect. Owned by the network thread;
// no method is thread-safe.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  // Requires: `limits` and `handlers` outlive the connection.
  CallerConnection(boost::asio::ip::tcp::socket socket,
                   const CallerLimits& limits,
                   const CallerHandlers& handlers);

  // Starts reading. Call once.
  void Start();

  // Writes a complete answer. Requires: a request is in progress and no part of
  // its answer was written.
  void Respond(Head head, std::string body);

  // Starts a streamed answer of unknown length. Requires: as for Respond.
  void RespondHead(Head head);
  // Writes part of a streamed body; nothing when the answer may have no body.
  // Requires: RespondHead was called.
  void RespondData(std::string_view data);
  // Completes a streamed answer. Requires: RespondHead was called.
  void RespondEnd();

  // Sets the time until which the answer to the request in progress may wait
  // for the caller to read it. Without a call it waits for the idle time.
  void KeepAnswerUntil(core::TimePoint until) { answer_until_ = until; }

  // Resets the connection so that the caller detects a truncated answer.
  void Abort();

  // Finishes the request in progress and sends `Connection: close` with its
  // answer. With `close_idle` an idle connection is closed at once unless bytes
  // of a request wait in its socket, and a busy one after its answer even if
  // the head was already sent without that field.
  void Drain(bool close_idle);

  // Enforces the time limits. Call about every 100 ms.
  void Sweep(core::TimePoint now);

  bool IsInRequest() const { return state_ == State::kInRequest; }
  bool HasAnswerBegun() const { return answer_begun_; }
  std::size_t WriteBacklog() const { return backlog_; }

 private:
  enum class State { kReading, kInRequest, kLingering, kClosed, kCount };

  void Read();
  void OnRead(std::size_t count);
  void DiscardBody();
  void OnReadEnd();
  void ParsePending();
  void BeginRequest();
  void FailRequest(ParseError error);
  void RefuseAndClose(Head head);
  void EnterRequest();
  void RefuseEarly(Head refusal);
  bool CanDiscardRest() const;
  void EndDiscard();
  void CloseAfterWrites();
  void OnWritten(std::size_t count);
  void OnAllWritten();
  void OnRequestHead();
  void OnRequestBody(std::string_view data);
  // Charges more bytes to the request that is being read, or refuses it.
  void Hold(std::uint64_t more);
  bool MayQueueAnswer() const;
  bool IsAnswerUnread(core::TimePoint now) const;
  bool IsCallerGone();
  bool HasUnreadBytes() const;
  void FinishAnswer();
  void Write(std::string data);
  void WriteNext();
  void Linger();
  void Close(bool reset);
  bool KeepsOpen() const;

  boost::asio::ip::tcp::socket socket_;
  const CallerLimits& limits_;
  const CallerHandlers& handlers_;
  State state_ = State::kReading;
  std::unique_ptr<MessageParser> parser_;
  CallerRequest request_;
  std::optional<Head> refusal_;  // Of the request that is being read.
  // The request that is being read was refused; the rest of it is discarded.
  bool discarding_ = false;
  std::size_t unread_body_ = 0;  // Bytes of it that are known to follow.
  std::uint64_t body_seen_ = 0;  // Bytes of the body that were parsed.
  std::uint64_t announced_ = 0;  // Content-Length; zero: none.
  std::string pending_;          // Read but not yet parsed.
  std::unique_ptr<char[]> read_buffer_;
  bool reading_ = false;
  bool read_ended_ = false;
  bool parsing_ = false;
  bool answer_begun_ = false;
  bool allows_body_ = true;  // Of the streamed answer.
  bool chunked_ = false;
  bool close_after_answer_ = false;
  bool draining_ = false;
  bool no_more_requests_ = false;  // Close after the current answer.
  std::deque<std::string> writes_;
  std::size_t front_written_ = 0;  // Bytes of the first write.
  bool writing_ = false;
  std::size_t backlog_ = 0;
  memory::Charge connection_charge_;
  memory::Charge backlog_charge_;
  core::TimePoint answer_until_{};
  core::TimePoint last_write_{};  // The caller took bytes, or an answer ended.
  core::TimePoint last_activity_{};
  core::TimePoint request_began_{};
};

}  // namespace siskindrum::http

#endif  // SISKINDRUM_HTTP_CALLER_CONNECTION_H_
