#ifndef SISKINDRUM_HTTP_CALLER_CONNECTION_H_
#define SISKINDRUM_HTTP_CALLER_CONNECTION_H_

#include <utility>

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

#include "siskindrum/core/types.h"
#include "siskindrum/http/message.h"
#include "siskindrum/http/parser.h"

namespace siskindrum::http {

// What a caller may send, and how long it may take or stay idle.
struct CallerLimits {
  ParserLimits parser_;
  core::Milliseconds head_time_{3000};   // From the first byte of a request.
  core::Milliseconds idle_time_{15000};  // Between requests, or within a body.
  // Of unread bytes behind a request in progress.
  std::size_t max_pending_bytes_ = 64 * 1024;
};

struct CallerRequest {
  Head head_;
  std::string body_;
  core::TimePoint arrived_at_{};  // When its first byte was read.
};

class CallerConnection;

// Reactions of the owner; all are called on the network thread.
struct CallerHandlers {
  // A whole request was read. It is answered with the Respond functions.
  std::function<void(const std::shared_ptr<CallerConnection>&, CallerRequest)>
      on_request_;
  // The caller left while its request was in progress.
  std::function<void(CallerConnection&)> on_disconnect_;
  // All that was written has been handed to the kernel.
  std::function<void(CallerConnection&)> on_writable_;
  // The connection has ended; it calls nothing afterwards.
  std::function<void(CallerConnection&)> on_closed_;
};

// One connection of a caller: it reads one request at a time, watches for the
// caller's leaving at every moment, and writes answers. Owned by the network
// thread; no method is thread-safe.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  // Requires: `limits` and `handlers` outlive the connection.
  CallerConnection(boost::asio::ip::tcp::socket socket,
                   const CallerLimits& limits,
                   const CallerHandlers& handlers);

  // Begins to read. Call once.
  void Start();

  // Writes a whole answer. Requires: a request is in progress and nothing of
  // its answer was written.
  void Respond(Head head, std::string_view body);

  // Begins an answer of unknown length. Requires: as for Respond.
  void RespondHead(Head head);
  // Writes a piece of it. Requires: RespondHead was called.
  void RespondData(std::string_view data);
  // Ends it as complete. Requires: RespondHead was called.
  void RespondEnd();

  // Ends the connection so that an answer in progress is seen to be cut.
  void Abort();

  // Lets the request in progress end and tells the caller that the connection
  // closes after it. With `close_idle` it closes at once when idle, and after
  // the request in progress whatever its answer said.
  void Drain(bool close_idle);

  // Enforces the time limits. Call it every 100 ms or so.
  void Sweep(core::TimePoint now);

  bool IsInRequest() const { return state_ == State::kInRequest; }
  bool HasAnswerBegun() const { return answer_begun_; }
  std::size_t WriteBacklog() const { return backlog_; }

 private:
  enum class State { kReading, kInRequest, kLingering, kClosed, kCount };

  void Read();
  void OnRead(std::size_t count);
  void OnReadEnd();
  void ParsePending();
  void BeginRequest();
  void FailRequest(ParseError error);
  void RefuseAndClose(int status);
  bool IsCallerGone();
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
  std::string pending_;  // Read and not parsed.
  std::unique_ptr<char[]> read_buffer_;
  bool reading_ = false;
  bool read_ended_ = false;
  bool parsing_ = false;
  bool answer_begun_ = false;
  bool chunked_ = false;
  bool close_after_answer_ = false;
  bool draining_ = false;
  bool no_more_requests_ = false;  // Requests; idle connections were let go.
  std::deque<std::string> writes_;
  bool writing_ = false;
  std::size_t backlog_ = 0;
  core::TimePoint last_activity_{};
  core::TimePoint request_began_{};
};

}  // namespace siskindrum::http

#endif  // SISKINDRUM_HTTP_CALLER_CONNECTION_H_
