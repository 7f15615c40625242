#include "caller_server_p.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace siskindrum::entry {

namespace {

constexpr int kPollSliceMs = 100;
constexpr std::size_t kRequestsPerConnection = 1000;
// Answer to a connection that finds no thread.
const std::string& OverflowAnswer() {
  static const std::string kBody =
      R"({"error":{"message":"too many connections","type":"overloaded",)"
      R"("param":null,"code":"overloaded"}})";
  static const std::string kAnswer = absl::StrCat(
      "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
      "X-Siskindrum-Verdict: not_run\r\nContent-Type: application/json\r\n"
      "Content-Length: ",
      kBody.size(), "\r\nConnection: close\r\n\r\n", kBody);
  return kAnswer;
}

thread_local int current_socket = -1;
// Set when the request of this thread frames its body in two ways, so that
// whoever reads it next might see another end of it.
thread_local bool framed_twice = false;
// Set while a connection beyond the pool's bounds is handled.
thread_local bool overflowing = false;

bool IsFramedTwice(const httplib::Request& request) {
  const std::size_t lengths = request.get_header_value_count("Content-Length");
  const std::size_t encodings =
      request.get_header_value_count("Transfer-Encoding");
  return lengths + encodings > 1;
}

bool PollFor(int socket, short events, core::Milliseconds limit) {
  pollfd row{socket, events, 0};
  return poll(&row, 1, static_cast<int>(limit.count())) > 0;
}

// A blocking socket with time limits.
class SocketStream : public httplib::Stream {
 public:
  SocketStream(int socket, const settings::CallerSettings& settings)
      : socket_(socket), settings_(settings) {}

  bool is_readable() const override {  // NOLINT
    return PollFor(socket_, POLLIN, settings_.read_timeout_);
  }
  bool is_writable() const override {  // NOLINT
    return PollFor(socket_, POLLOUT, settings_.write_timeout_);
  }

  ssize_t read(char* data, std::size_t size) override {  // NOLINT
    if (begin_ == end_) {
      if (!is_readable()) {
        return -1;
      }
      const ssize_t count = recv(socket_, buffer_, sizeof(buffer_), 0);
      if (count <= 0) {
        return count;
      }
      begin_ = 0;
      end_ = static_cast<std::size_t>(count);
    }
    const std::size_t count = std::min(size, end_ - begin_);
    std::copy_n(buffer_ + begin_, count, data);
    begin_ += count;
    return static_cast<ssize_t>(count);
  }

  ssize_t write(const char* data, std::size_t size) override {  // NOLINT
    if (!is_writable()) {
      return -1;
    }
    return send(socket_, data, size, MSG_NOSIGNAL);
  }

  void get_remote_ip_and_port(std::string& ip, int& port) const override {
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    getpeername(socket_, reinterpret_cast<sockaddr*>(&address), &length);
    Describe(address, ip, port);
  }
  void get_local_ip_and_port(std::string& ip, int& port) const override {
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &length);
    Describe(address, ip, port);
  }
  socket_t socket() const override { return socket_; }  // NOLINT

  bool HasBuffered() const { return begin_ != end_; }

 private:
  static void Describe(const sockaddr_in& address, std::string& ip, int& port) {
    char text[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text));
    ip = text;
    port = ntohs(address.sin_port);
  }

  const int socket_;
  const settings::CallerSettings& settings_;
  char buffer_[4096];
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
};

}  // namespace

CallerPool::CallerPool(std::size_t max_threads, std::size_t max_waiting)
    : max_threads_(max_threads), max_waiting_(max_waiting) {}

void CallerPool::enqueue(std::function<void()> job) {  // NOLINT
  {
    absl::MutexLock lock(&mutex_);
    if (jobs_.size() < idle_ + max_waiting_ || threads_.size() < max_threads_) {
      jobs_.push_back(std::move(job));
      if (jobs_.size() > idle_ && threads_.size() < max_threads_) {
        threads_.emplace_back([this] { Work(); });
      }
      available_.Signal();
      return;
    }
  }
  overflowing = true;
  job();
  overflowing = false;
}

void CallerPool::shutdown() {  // NOLINT
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    available_.SignalAll();
  }
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void CallerPool::Work() {
  while (true) {
    std::function<void()> job;
    {
      absl::MutexLock lock(&mutex_);
      ++idle_;
      while (jobs_.empty() && !stopping_) {
        available_.Wait(&mutex_);
      }
      --idle_;
      if (jobs_.empty()) {
        return;
      }
      job = std::move(jobs_.front());
      jobs_.pop_front();
    }
    job();
  }
}

CallerServer::CallerServer(const settings::CallerSettings& settings)
    : settings_(settings) {
  new_task_queue = [this] {
    return new CallerPool(settings_.max_requests_, settings_.max_waiting_);
  };
  set_tcp_nodelay(true);
  set_payload_max_length(settings_.max_body_bytes_);
  set_read_timeout(settings_.read_timeout_);
  set_write_timeout(settings_.write_timeout_);
  set_pre_routing_handler(
      [](const httplib::Request& request, httplib::Response& response) {
        framed_twice = IsFramedTwice(request);
        if (!framed_twice) {
          return HandlerResponse::Unhandled;
        }
        constexpr int kBadRequest = 400;
        response.status = kBadRequest;
        response.set_header("Connection", "close");
        return HandlerResponse::Handled;
      });
}

int CallerServer::CurrentSocket() {
  return current_socket;
}

void CallerServer::StopKeepingAlive() {
  closing_ = true;
}

std::uint64_t CallerServer::Overflows() const {
  return overflows_;
}

bool CallerServer::process_and_close_socket(socket_t socket) {  // NOLINT
  if (overflowing) {
    ++overflows_;
    const std::string& answer = OverflowAnswer();
    send(socket, answer.data(), answer.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    ::shutdown(socket, SHUT_RDWR);
    close(socket);
    return false;
  }
  current_socket = socket;
  SocketStream stream(socket, settings_);
  bool good = true;
  for (std::size_t served = 0; good && served < kRequestsPerConnection;
       ++served) {
    core::Milliseconds waited{0};
    bool readable = stream.HasBuffered();
    while (!readable && !closing_ && waited < settings_.idle_timeout_) {
      readable = PollFor(socket, POLLIN, core::Milliseconds(kPollSliceMs));
      waited += core::Milliseconds(kPollSliceMs);
    }
    if (!readable) {
      break;
    }
    const bool last = closing_ || served + 1 == kRequestsPerConnection;
    bool closed = false;
    good = process_request(stream, last, closed, nullptr);
    good = good && !closed && !framed_twice;
    framed_twice = false;
  }
  current_socket = -1;
  ::shutdown(socket, SHUT_RDWR);
  close(socket);
  return good;
}

}  // namespace siskindrum::entry
