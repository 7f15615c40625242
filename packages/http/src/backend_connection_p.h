#ifndef SISKINDRUM_HTTP_BACKEND_CONNECTION_P_H_
#define SISKINDRUM_HTTP_BACKEND_CONNECTION_P_H_

#include <utility>

#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "siskindrum/http/backend_pool.h"
#include "siskindrum/http/parser.h"

namespace siskindrum::http {

// Callbacks and counters of the pool that owns a connection.
struct ConnectionOwner {
  std::function<void(const std::shared_ptr<BackendConnection>&)> on_idle_;
  std::function<void(BackendConnection&)> on_closed_;
  PoolCounters* counters_ = nullptr;
  memory::Budget* budget_ = nullptr;  // Null: nothing is counted.
};

// One connection to a server: connects, writes a request and reads its answer.
// It may then be reused for further calls.
class BackendConnection
    : public std::enable_shared_from_this<BackendConnection> {
 public:
  BackendConnection(boost::asio::io_context& context,
                    const std::string& address,
                    const ConnectionOwner& owner);

  // Connects and then sends the call. Call once.
  void Connect(BackendCall call);
  // Sends a call over an idle connection. Returns false when the server has
  // closed it or has sent unexpected bytes.
  bool Reuse(BackendCall& call);
  // These have no effect unless `call` is the number of the current call.
  void Cancel(std::uint64_t call);
  void Pause(std::uint64_t call);
  void Resume(std::uint64_t call);
  // Closes the connection without calling `on_end_` of a call in progress.
  void CloseSilently();
  void Sweep(core::TimePoint now);
  void CloseIdle();

  const std::string& Address() const { return address_; }
  std::uint64_t CallNumber() const { return call_number_; }
  core::TimePoint IdleUntil() const { return idle_until_; }

 private:
  enum class State { kConnecting, kInCall, kIdle, kClosed, kCount };

  void SetCall(BackendCall call);
  void OnConnected(const boost::system::error_code& error);
  void BeginCall();
  void Write();
  void OnWritten(const boost::system::error_code& error);
  void Read();
  void OnRead(const boost::system::error_code& error, std::size_t count);
  void OnReadEnd(const boost::system::error_code& error);
  void Parse();
  void ResetParser();
  void OnHead();
  void FinishAnswer();
  void End(CallFailure failure, const std::string& detail);
  void Close();
  core::Milliseconds KeepAliveTime() const;

  boost::asio::ip::tcp::socket socket_;
  std::string address_;
  const ConnectionOwner& owner_;
  State state_ = State::kConnecting;
  BackendCall call_;
  std::uint64_t call_number_ = 1;
  std::unique_ptr<MessageParser> parser_;
  std::string pending_;
  std::uint64_t answer_bytes_ = 0;  // Received in the current call.
  std::unique_ptr<char[]> read_buffer_;
  memory::Charge connection_charge_;
  memory::Charge request_charge_;
  bool reading_ = false;
  bool paused_ = false;
  bool sent_ = false;
  bool written_ = false;
  // Loss of the connection that a write got in place of the read.
  boost::system::error_code write_error_;
  bool skipping_ = false;
  bool rejected_ = false;
  core::TimePoint connect_until_{};
  core::TimePoint idle_until_{};
};

}  // namespace siskindrum::http

#endif  // SISKINDRUM_HTTP_BACKEND_CONNECTION_P_H_
