#ifndef SISKINDRUM_HTTP_TEST_LOOPBACK_H_
#define SISKINDRUM_HTTP_TEST_LOOPBACK_H_

#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace siskindrum::test {

// Timeout of every wait in the tests, far above what any of them needs.
inline constexpr int kWaitMs = 10000;

inline sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// A blocking test connection, as a caller or as a server.
class Peer {
 public:
  explicit Peer(int fd) : fd_(fd) {}
  Peer(Peer&& other) noexcept : fd_(other.fd_) { other.fd_ = -1; }
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;
  ~Peer() { Close(); }

  static Peer Connect(std::uint16_t port) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = Loopback(port);
    connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    return Peer(fd);
  }

  // Returns false when the connection accepts no more data.
  bool Send(const std::string& text) const {
    std::size_t sent = 0;
    while (sent < text.size()) {
      const ssize_t count =
          send(fd_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }

  // Reads until the text contains `end`, the connection ends or a read times
  // out.
  std::string ReadUntil(const std::string& end) {
    std::string text;
    while (text.find(end) == std::string::npos) {
      const std::string more = ReadSome();
      if (more.empty()) {
        break;
      }
      text += more;
    }
    return text;
  }
  // Reads to the end of the connection.
  std::string ReadAll() {
    std::string text;
    for (std::string more = ReadSome(); !more.empty(); more = ReadSome()) {
      text += more;
    }
    return text;
  }
  // Returns the next data; empty at the end of the connection or on timeout.
  std::string ReadSome() {
    pollfd poll_fd{fd_, POLLIN, 0};
    if (poll(&poll_fd, 1, kWaitMs) <= 0) {
      timed_out_ = true;
      return "";
    }
    char buffer[4096];
    const ssize_t count = recv(fd_, buffer, sizeof buffer, 0);
    was_reset_ = count < 0;
    return count > 0 ? std::string(buffer, static_cast<std::size_t>(count))
                     : "";
  }

  // Waits until this side's full receive buffer stops the sender: the number of
  // unread bytes stays the same for a while. Returns at once when the
  // connection is lost. Requires: nothing else reads.
  void AwaitFullReceiveBuffer() const {
    constexpr int kCheckMs = 20;
    constexpr int kChecks = 10;
    int unread = 0;
    int same = 0;
    for (int waited = 0; waited < kWaitMs && same < kChecks;
         waited += kCheckMs) {
      pollfd lost{fd_, 0, 0};  // Errors are reported without being asked for.
      if (poll(&lost, 1, kCheckMs) > 0) {
        return;
      }
      int now_unread = 0;
      ioctl(fd_, FIONREAD, &now_unread);
      same = now_unread == unread && unread > 0 ? same + 1 : 0;
      unread = now_unread;
    }
  }

  // Ends the sending direction only.
  void ShutDownSending() const { shutdown(fd_, SHUT_WR); }
  // Closes the connection with a TCP reset.
  void Reset() {
    const linger hard{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    Close();
  }
  // Ends both directions, also for a thread that is just sending.
  void Abort() const { shutdown(fd_, SHUT_RDWR); }
  void Close() {
    if (fd_ >= 0) {
      close(fd_);
      fd_ = -1;
    }
  }
  bool WasReset() const { return was_reset_; }
  bool TimedOut() const { return timed_out_; }

 private:
  int fd_ = -1;
  bool was_reset_ = false;
  bool timed_out_ = false;
};

// A server that runs a function of the test for each connection.
class ScriptedServer {
 public:
  using Script = std::function<void(Peer&, int connection)>;

  // Zero bytes leave the size of the receive buffer to the kernel.
  explicit ScriptedServer(Script script, int receive_buffer_bytes = 0)
      : script_(std::move(script)) {
    fd_ = socket(AF_INET, SOCK_STREAM, 0);
    if (receive_buffer_bytes > 0) {
      setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                 sizeof receive_buffer_bytes);
    }
    sockaddr_in address = Loopback(0);
    bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    listen(fd_, 64);
    socklen_t size = sizeof address;
    getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { Run(); });
  }
  ~ScriptedServer() {
    shutdown(fd_, SHUT_RDWR);
    thread_.join();
    for (std::thread& thread : threads_) {
      thread.join();
    }
    close(fd_);
  }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  std::uint16_t Port() const { return port_; }
  std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  void Run() {
    for (int number = 0;; ++number) {
      const int fd = accept(fd_, nullptr, nullptr);
      if (fd < 0) {
        return;
      }
      threads_.emplace_back([this, fd, number] {
        Peer peer(fd);
        script_(peer, number);
      });
    }
  }

  Script script_;
  int fd_ = -1;
  std::uint16_t port_ = 0;
  std::thread thread_;
  std::vector<std::thread> threads_;
};

// Returns a port on which nothing currently listens.
inline std::uint16_t FreePort() {
  return ScriptedServer([](Peer&, int) {}).Port();
}

}  // namespace siskindrum::test

#endif  // SISKINDRUM_HTTP_TEST_LOOPBACK_H_
