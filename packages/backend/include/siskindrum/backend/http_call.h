#ifndef SISKINDRUM_BACKEND_HTTP_CALL_H_
#define SISKINDRUM_BACKEND_HTTP_CALL_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "siskindrum/core/types.h"
#include "siskindrum/core/verdict.h"

namespace siskindrum::backend {

struct Header {
  std::string name_;
  std::string value_;
};

struct HttpRequest {
  std::string address_;  // "ip:port".
  std::string method_ = "POST";
  std::string path_;
  std::vector<Header> headers_;
  std::string content_type_ = "application/json";
  std::string body_;
  core::Milliseconds connect_timeout_{1000};
  // Without progress: a byte written, the head of the answer, a byte of its
  // body.
  core::Milliseconds silence_timeout_{10000};
  // Of a body that is returned with the answer; the call fails above it.
  std::size_t max_body_bytes_ = 16 * 1024 * 1024;
};

struct HttpAnswer {
  int status_ = 0;
  std::string content_type_;
  std::string body_;
  bool not_run_ = false;   // The server says it refused before acting.
  bool draining_ = false;  // The server says it is leaving.
};

// Receives pieces of a streamed body; false stops the call.
using BodySink = std::function<bool(const char* data, std::size_t size)>;

// One HTTP exchange after another, each on a connection of its own, that
// another thread can stop. A failure to connect is kNotRun; any failure after
// that is kMayHaveRun, since bytes may have reached the server. Bytes that are
// no answer in HTTP fail with kBadAnswer, and so does a head of more than 64
// KiB or a body above its limit. An answer without a length is whole only if
// its connection ended in an orderly way.
class HttpCall {
 public:
  HttpCall();
  ~HttpCall();
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;

  // Runs one exchange. With a sink, the body of a 200 goes to it instead of the
  // answer, and its size is the sink's to limit. Thread-safe: one Run at a
  // time.
  tl::expected<HttpAnswer, core::Verdict> Run(const HttpRequest& request,
                                              const BodySink& sink = nullptr);

  // Stops the exchange in progress and refuses later ones. Thread-safe: yes.
  void Stop();

  // True after Stop. Thread-safe: yes.
  bool IsStopped() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace siskindrum::backend

#endif  // SISKINDRUM_BACKEND_HTTP_CALL_H_
