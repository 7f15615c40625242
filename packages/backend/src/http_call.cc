#include "siskindrum/backend/http_call.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <cstring>

#include <netinet/tcp.h>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "exchange_p.h"
#include "siskindrum/http/endpoint.h"

namespace siskindrum::backend {

namespace {

// Closes its file descriptor with the object.
class Socket {
 public:
  explicit Socket(int fd) : fd_(fd) {}
  ~Socket() {
    if (fd_ >= 0) {
      close(fd_);
    }
  }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  int Get() const { return fd_; }

 private:
  int fd_;
};

core::Verdict NotRun(core::Reason reason, const std::string& detail) {
  return {core::RunState::kNotRun, reason, detail, core::Milliseconds(0)};
}

// Waits for a connection attempt. Returns zero, or the error of the attempt.
int AwaitConnected(int socket, core::Milliseconds timeout) {
  pollfd polled{socket, POLLOUT, 0};
  const core::TimePoint until = std::chrono::steady_clock::now() + timeout;
  while (true) {
    const auto left = std::chrono::ceil<core::Milliseconds>(
        until - std::chrono::steady_clock::now());
    if (left.count() <= 0) {
      return ETIMEDOUT;
    }
    const int ready = poll(&polled, 1, static_cast<int>(left.count()));
    if (ready > 0) {
      break;
    }
    if (ready < 0 && errno != EINTR) {
      return errno;
    }
  }
  int error = 0;
  socklen_t size = sizeof error;
  getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
  return error;
}

// Connects a non-blocking socket. Returns zero, or the error of the attempt.
int Connect(int socket,
            const boost::asio::ip::tcp::endpoint& endpoint,
            core::Milliseconds timeout) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect(socket, endpoint.data(),
              static_cast<socklen_t>(endpoint.size())) == 0) {
    return 0;
  }
  return errno == EINPROGRESS ? AwaitConnected(socket, timeout) : errno;
}

}  // namespace

struct HttpCall::State {
  absl::Mutex mutex_;
  int socket_ = -1;  // Of the exchange in progress. Guarded by mutex_.
  std::atomic<bool> stopped_{false};

  // Makes Stop end what happens on this socket. Returns false after Stop.
  bool Register(int socket) {
    absl::MutexLock lock(&mutex_);
    if (!stopped_) {
      socket_ = socket;
    }
    return !stopped_;
  }
  void Unregister() {
    absl::MutexLock lock(&mutex_);
    socket_ = -1;
  }
};

HttpCall::HttpCall() : state_(std::make_unique<State>()) {}
HttpCall::~HttpCall() = default;

tl::expected<HttpAnswer, core::Verdict> HttpCall::Run(
    const HttpRequest& request,
    const BodySink& sink) {
  const auto endpoint = http::ParseEndpoint(request.address_);
  if (!endpoint.has_value()) {
    return tl::unexpected(
        NotRun(core::Reason::kConnectFailed, endpoint.error()));
  }
  const Socket socket(::socket(endpoint->protocol().family(),
                               SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (socket.Get() < 0) {
    return tl::unexpected(
        NotRun(core::Reason::kConnectFailed,
               absl::StrCat(request.address_, ": ", std::strerror(errno))));
  }
  if (!state_->Register(socket.Get())) {
    return tl::unexpected(
        NotRun(core::Reason::kCallerGone, "stopped before it was sent"));
  }
  const int error = Connect(socket.Get(), *endpoint, request.connect_timeout_);
  if (error != 0) {
    state_->Unregister();
    return tl::unexpected(
        NotRun(core::Reason::kConnectFailed,
               absl::StrCat(request.address_, ": ", std::strerror(error))));
  }
  auto answer = Exchange(socket.Get(), request, sink, state_->stopped_).Run();
  state_->Unregister();
  if (!answer.has_value()) {
    return tl::unexpected(core::Verdict{
        core::RunState::kMayHaveRun, answer.error().reason_,
        absl::StrCat(request.address_, ": ", answer.error().detail_),
        core::Milliseconds(0)});
  }
  return std::move(*answer);
}

void HttpCall::Stop() {
  absl::MutexLock lock(&state_->mutex_);
  state_->stopped_ = true;
  if (state_->socket_ >= 0) {
    shutdown(state_->socket_, SHUT_RDWR);
  }
}

bool HttpCall::IsStopped() const {
  return state_->stopped_;
}

}  // namespace siskindrum::backend
