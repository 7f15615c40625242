#ifndef SISKINDRUM_HTTP_BACKEND_POOL_H_
#define SISKINDRUM_HTTP_BACKEND_POOL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "siskindrum/core/types.h"
#include "siskindrum/http/message.h"

namespace siskindrum::http {

// Why a call has no whole answer.
enum class CallFailure {
  kNone,
  kConnectFailed,
  kConnectTimeout,
  kConnectionLost,  // Closed or reset before the answer was whole.
  kMalformed,
  kExpired,  // Too old when it could have been written; nothing was.
  kCount
};

// Returns the failure in snake_case. Thread-safe: yes.
const char* ToString(CallFailure failure);

// How a call ended. Only `sent_` false proves that the server knows nothing.
struct CallResult {
  CallFailure failure_ = CallFailure::kNone;
  bool sent_ = false;  // A byte was handed to the kernel.
  std::string detail_;
};

// What the owner says of an answer's head.
enum class AnswerDecision {
  kAccept,
  kSkip,  // It answers another request: read past it.
  kFail,
  kCount
};

// One request to a server. Callbacks come on the network thread, and none
// after on_end_ or a cancel.
struct BackendCall {
  std::string address_;     // "ip:port".
  std::string bytes_;       // The whole request as sent.
  bool head_only_ = false;  // Its answer has no body.
  // Nothing is written later than this.
  core::TimePoint write_deadline_ = core::TimePoint::max();
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

  // Ends the call and its connection. Idempotent. Thread-safe: no.
  void Cancel();
  // Stops reading until Resume, so that the server is held back.
  // Thread-safe: no.
  void Pause();
  void Resume();

 private:
  std::weak_ptr<BackendConnection> connection_;
  std::uint64_t call_ = 0;  // A kept connection may serve another by now.
};

struct PoolCounters {
  std::uint64_t opened_ = 0;
  std::uint64_t reused_ = 0;
  std::uint64_t mismatched_answers_ = 0;
};

// Connections to servers. One call is in progress on a connection; idle ones
// are kept for as long as the server said. Owned by the network thread; no
// method is thread-safe.
class BackendPool {
 public:
  explicit BackendPool(boost::asio::io_context& context);
  ~BackendPool();
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  // Sends a call. Its callbacks never run before Send has returned.
  CallHandle Send(BackendCall call);

  // Closes idle connections whose time has passed, and ends connects that take
  // too long. Call it every 20 ms or so.
  void Sweep(core::TimePoint now);

  const PoolCounters& Counters() const;

 private:
  friend class BackendConnection;
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace siskindrum::http

#endif  // SISKINDRUM_HTTP_BACKEND_POOL_H_
