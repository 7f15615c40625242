#ifndef SISKINDRUM_HTTP_BACKEND_POOL_H_
#define SISKINDRUM_HTTP_BACKEND_POOL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "siskindrum/core/types.h"
#include "siskindrum/http/body.h"
#include "siskindrum/http/message.h"
#include "siskindrum/memory/budget.h"

namespace siskindrum::http {

// Why a call ended without a complete answer.
enum class CallFailure {
  kNone,
  kConnectFailed,
  kConnectTimeout,
  kConnectionLost,  // Closed or reset before the answer was complete.
  kMalformed,
  kExpired,   // `write_deadline_` passed before anything was written.
  kTimeout,   // `deadline_` passed before the answer was complete.
  kTooLarge,  // More than `max_answer_bytes_` arrived.
  kCount
};

// Returns the name of the failure as written to logs. Thread-safe: yes.
const char* ToString(CallFailure failure);

// Result of a call. The server may have received the request unless `sent_` is
// false.
struct CallResult {
  CallFailure failure_ = CallFailure::kNone;
  bool sent_ = false;  // Writing was started.
  std::string detail_;
  // The answer had neither a length nor chunks.
  bool ended_by_close_ = false;
};

// Returned by `on_head_`: what to do with an answer, by its head.
enum class AnswerDecision {
  kAccept,
  kSkip,  // It answers another request: discard it.
  kFail,
  kCount
};

// One request to a server. Callbacks run on the network thread and never after
// `on_end_` or a cancel.
struct BackendCall {
  std::string address_;  // "ip:port".
  std::string bytes_;    // The serialized request, without `body_`.
  // Written after `bytes_`; null: nothing more. Calls may share it.
  std::shared_ptr<const Body> body_;
  bool head_only_ = false;  // The answer has no body, as for HEAD.
  // Never reuse an idle connection.
  bool use_new_connection_ = false;
  // A request that is not yet being written at this time fails with kExpired.
  core::TimePoint write_deadline_ = core::TimePoint::max();
  // A call without a complete answer at this time fails with kTimeout. Set it
  // unless something else cancels the call in time.
  core::TimePoint deadline_ = core::TimePoint::max();
  // Limit of all bytes received for the call, skipped answers and framing
  // included; the call fails with kTooLarge above it. Zero: no limit.
  std::uint64_t max_answer_bytes_ = 0;
  core::Milliseconds connect_timeout_{300};
  std::function<AnswerDecision(const Head&)> on_head_;
  std::function<void(std::string_view)> on_body_;
  std::function<void(const CallResult&)> on_end_;
};

class BackendConnection;

// A call in progress.
class CallHandle {
 public:
  CallHandle() = default;
  CallHandle(std::weak_ptr<BackendConnection> connection, std::uint64_t call);

  // Aborts the call and closes its connection. Idempotent. Thread-safe: no.
  void Cancel();
  // Stops reading until Resume, which puts back pressure on the server.
  // Thread-safe: no.
  void Pause();
  void Resume();
  // Returns whether earlier calls used the connection, whose answers may still
  // arrive. Thread-safe: no.
  bool ReusesConnection() const { return call_ > 1; }

 private:
  std::weak_ptr<BackendConnection> connection_;
  std::uint64_t call_ = 0;  // Number of the call on its connection, from 1.
};

struct PoolCounters {
  std::uint64_t opened_ = 0;
  std::uint64_t reused_ = 0;
  std::uint64_t mismatched_answers_ = 0;
};

// Pool of keep-alive connections to servers. A connection carries one call at a
// time; idle connections are kept for the time that the server advertises.
// Owned by the network thread; no method is thread-safe.
class BackendPool {
 public:
  // `budget` counts what connections hold, and bounds the kernel's buffers if
  // it has a limit; it may be null. Requires: it outlives the pool.
  explicit BackendPool(boost::asio::io_context& context,
                       memory::Budget* budget = nullptr);
  ~BackendPool();
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  // Sends a call. Its callbacks never run before Send has returned.
  CallHandle Send(BackendCall call);

  // Closes idle connections that have expired, and fails connection attempts
  // and calls that have timed out. Call about every 20 ms.
  void Sweep(core::TimePoint now);

  const PoolCounters& Counters() const;

 private:
  friend class BackendConnection;
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace siskindrum::http

#endif  // SISKINDRUM_HTTP_BACKEND_POOL_H_
