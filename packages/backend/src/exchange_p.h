#ifndef SISKINDRUM_BACKEND_EXCHANGE_P_H_
#define SISKINDRUM_BACKEND_EXCHANGE_P_H_

#include <atomic>
#include <memory>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "siskindrum/backend/http_call.h"
#include "siskindrum/http/parser.h"

namespace siskindrum::backend {

// Why an exchange ended without a whole answer.
struct ExchangeFailure {
  core::Reason reason_ = core::Reason::kConnectionLost;
  std::string detail_;
};

// One request and its answer over a connected, non-blocking socket. The answer
// is read while the request is still being written: a server may answer early.
class Exchange {
 public:
  // Requires: `request`, `sink` and `stopped` outlive the exchange. The socket
  // stays the caller's. When `stopped` is set, the socket must be shut down.
  Exchange(int socket,
           const HttpRequest& request,
           const BodySink& sink,
           const std::atomic<bool>& stopped);

  // Blocks until the answer is whole or the exchange has failed. Call once.
  // Thread-safe: no.
  tl::expected<HttpAnswer, ExchangeFailure> Run();

 private:
  void Step();
  void ReadSome();
  void WriteSome();
  void Parse();
  void OnEndOfConnection();
  void ResetParser();
  void OnHead();
  void OnBody(std::string_view data);
  void Fail(core::Reason reason, const std::string& detail);
  bool IsWritten() const { return written_ == bytes_.size(); }

  int socket_ = -1;
  const HttpRequest& request_;
  const BodySink& sink_;
  const std::atomic<bool>& stopped_;
  std::string bytes_;  // The request; cleared when writing has failed.
  std::size_t written_ = 0;
  // The kernel reports an error of a connection once, to a read or to a write.
  // After one that a write got, the end of the connection ends no answer.
  std::string write_error_;
  std::unique_ptr<http::MessageParser> parser_;
  std::string pending_;  // Received, but not parsed yet.
  // Bytes parsed: of the answer and of the interim answers before it.
  std::size_t parsed_ = 0;
  HttpAnswer answer_;
  core::TimePoint silent_since_{};
  bool done_ = false;
  bool failed_ = false;
  ExchangeFailure failure_;
};

}  // namespace siskindrum::backend

#endif  // SISKINDRUM_BACKEND_EXCHANGE_P_H_
