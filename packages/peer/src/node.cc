#include "siskindrum/peer/node.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <cstring>
#include <list>
#include <thread>
#include <vector>

#include <boost/circular_buffer.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "connection_p.h"
#include "siskindrum/core/guard.h"

namespace siskindrum::peer {

namespace {

constexpr std::size_t kRingMessages = 8192;
constexpr std::size_t kWaitingMessages = 1024;  // Per connection.
constexpr std::size_t kMaxAccepted = 4096;
constexpr core::Milliseconds kConnectTimeout{500};
constexpr core::Milliseconds kReconnectPause{100};
constexpr int kPollMs = 50;
constexpr int kBacklog = 512;

struct Posted {
  std::string address_;
  Outgoing message_;
};

bool FillAddress(const std::string& host, int port, sockaddr_in* out) {
  std::memset(out, 0, sizeof(*out));
  out->sin_family = AF_INET;
  out->sin_port = htons(static_cast<std::uint16_t>(port));
  return inet_pton(AF_INET, host.c_str(), &out->sin_addr) == 1;
}

bool ParsePeerAddress(const std::string& text, sockaddr_in* out) {
  const std::size_t colon = text.rfind(':');
  int port = 0;
  return colon != std::string::npos &&
         absl::SimpleAtoi(text.substr(colon + 1), &port) && port > 0 &&
         port < 65536 && FillAddress(text.substr(0, colon), port, out);
}

void SetNoDelay(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

core::TimePoint Clock() {
  return std::chrono::steady_clock::now();
}

}  // namespace

struct Node::State {
  NodeOptions options_;
  NodeHandlers handlers_;
  NodeCounters counters_;
  Shared shared_{options_, handlers_, counters_};
  int listener_ = -1;
  int wake_ = -1;
  std::atomic<bool> stopping_{false};
  core::TimePoint stop_by_{};
  std::thread thread_;
  mutable absl::Mutex mutex_;
  boost::circular_buffer<Posted> ring_{kRingMessages};  // Guarded by mutex_.
  NodeCounters published_;                              // Guarded by mutex_.
  std::list<Connection> connections_;
  std::map<std::string, Connection*> by_address_;
  std::map<std::string, core::TimePoint> failed_at_;
};

// The functions of the node's thread, over the node's private state.
struct NodeLoop {
  static void Connect(Connection& connection) {
    sockaddr_in address{};
    connection.opened_at_ = Clock();
    if (!ParsePeerAddress(connection.address_, &address)) {
      connection.broken_ = true;
      return;
    }
    connection.socket_ =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (connection.socket_ < 0 || !OpenSession(connection)) {
      connection.broken_ = true;
      return;
    }
    SetNoDelay(connection.socket_);
    connection.connecting_ = true;
    if (connect(connection.socket_, reinterpret_cast<sockaddr*>(&address),
                sizeof(address)) != 0 &&
        errno != EINPROGRESS) {
      connection.broken_ = true;
    }
  }

  template <class State>
  static Connection* Reach(State& state, const std::string& address) {
    const auto known = state.by_address_.find(address);
    if (known != state.by_address_.end()) {
      return known->second;
    }
    const auto failed = state.failed_at_.find(address);
    if (failed != state.failed_at_.end() &&
        Clock() - failed->second < kReconnectPause) {
      return nullptr;
    }
    Connection& connection = state.connections_.emplace_back();
    connection.shared_ = &state.shared_;
    connection.address_ = address;
    state.by_address_[address] = &connection;
    Connect(connection);
    return &connection;
  }

  template <class State>
  static void Dispatch(State& state, Posted posted) {
    Connection* connection = Reach(state, posted.address_);
    if (connection == nullptr ||
        connection->waiting_.size() >= kWaitingMessages) {
      ++state.counters_.failed_;
      state.handlers_.failed_(
          posted.message_.tag_,
          {core::RunState::kNotRun, core::Reason::kConnectFailed,
           posted.address_, core::Milliseconds(0)});
      return;
    }
    if (connection->connecting_ || connection->broken_) {
      connection->waiting_.push_back(std::move(posted.message_));
    } else {
      SubmitMessage(*connection, std::move(posted.message_));
    }
  }

  template <class State>
  static bool TakePosted(State& state, Posted* posted) {
    absl::MutexLock lock(&state.mutex_);
    state.published_ = state.counters_;
    if (state.ring_.empty()) {
      return false;
    }
    *posted = std::move(state.ring_.front());
    state.ring_.pop_front();
    return true;
  }

  template <class State>
  static void Accept(State& state) {
    while (state.connections_.size() < kMaxAccepted) {
      const int socket = accept4(state.listener_, nullptr, nullptr,
                                 SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (socket < 0) {
        return;
      }
      SetNoDelay(socket);
      Connection& connection = state.connections_.emplace_back();
      connection.shared_ = &state.shared_;
      connection.socket_ = socket;
      connection.opened_at_ = Clock();
      connection.broken_ = !OpenSession(connection);
    }
  }

  static void FinishConnect(Connection& connection) {
    int error = 0;
    socklen_t length = sizeof(error);
    getsockopt(connection.socket_, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0) {
      connection.broken_ = true;
      return;
    }
    connection.connecting_ = false;
    std::deque<Outgoing> waiting = std::move(connection.waiting_);
    connection.waiting_.clear();
    for (Outgoing& message : waiting) {
      SubmitMessage(connection, std::move(message));
    }
  }

  static void Serve(Connection& connection, short events) {
    if (connection.connecting_) {
      if ((events & (POLLOUT | POLLERR | POLLHUP)) != 0) {
        FinishConnect(connection);
      } else if (Clock() - connection.opened_at_ > kConnectTimeout) {
        connection.broken_ = true;
      }
    }
    connection.broken_ = connection.broken_ || IsSilent(connection, Clock());
    if (!connection.connecting_ && !connection.broken_) {
      if ((events & (POLLIN | POLLHUP | POLLERR)) != 0) {
        ReadSocket(connection);
      }
      if (!connection.broken_) {
        WriteSocket(connection);
      }
    }
  }

  template <class State>
  static void RemoveBroken(State& state) {
    for (auto it = state.connections_.begin();
         it != state.connections_.end();) {
      const bool idle = !it->broken_ && !it->connecting_ &&
                        it->session_ != nullptr &&
                        nghttp2_session_want_read(it->session_) == 0 &&
                        nghttp2_session_want_write(it->session_) == 0;
      if (!it->broken_ && !idle) {
        ++it;
        continue;
      }
      if (!it->address_.empty()) {
        state.failed_at_[it->address_] = Clock();
        state.by_address_.erase(it->address_);
      }
      CloseConnection(*it);
      it = state.connections_.erase(it);
    }
  }

  template <class State>
  static bool IsQuiet(State& state) {
    for (const Connection& connection : state.connections_) {
      if (!connection.waiting_.empty() || !connection.outgoing_.empty() ||
          !connection.unsent_.empty()) {
        return false;
      }
    }
    absl::MutexLock lock(&state.mutex_);
    return state.ring_.empty();
  }

  template <class State>
  static void PollOnce(State& state) {
    std::vector<pollfd> polls;
    std::vector<Connection*> polled;
    polls.push_back({state.wake_, POLLIN, 0});
    polls.push_back({state.listener_, POLLIN, 0});
    for (Connection& connection : state.connections_) {
      if (connection.socket_ >= 0) {
        const short write = WantsWrite(connection) ? POLLOUT : 0;
        const auto events = static_cast<short>(POLLIN | write);
        polls.push_back({connection.socket_, events, 0});
        polled.push_back(&connection);
      }
    }
    poll(polls.data(), polls.size(), kPollMs);
    if ((polls[0].revents & POLLIN) != 0) {
      std::uint64_t count = 0;
      [[maybe_unused]] const ssize_t got =
          read(state.wake_, &count, sizeof(count));
    }
    for (std::size_t i = 0; i < polled.size(); ++i) {
      Serve(*polled[i], polls[i + 2].revents);
    }
    if ((polls[1].revents & POLLIN) != 0) {
      Accept(state);
    }
  }

  template <class State>
  static void RunOnce(State& state) {
    for (Posted posted; TakePosted(state, &posted); posted = Posted()) {
      Dispatch(state, std::move(posted));
    }
    PollOnce(state);
    RemoveBroken(state);
  }

  template <class State>
  static void Run(State& state) {
    while (!state.stopping_ || (Clock() < state.stop_by_ && !IsQuiet(state))) {
      core::RunGuarded("peers", state.handlers_.log_,
                       [&state] { RunOnce(state); });
    }
    for (Connection& connection : state.connections_) {
      CloseConnection(connection);
    }
    state.connections_.clear();
  }
};

Node::Node(NodeOptions options, NodeHandlers handlers)
    : state_(std::make_unique<State>()) {
  state_->options_ = std::move(options);
  state_->handlers_ = std::move(handlers);
}

Node::~Node() {
  Stop(core::Milliseconds(0));
  if (state_->listener_ >= 0) {
    close(state_->listener_);
  }
  if (state_->wake_ >= 0) {
    close(state_->wake_);
  }
}

tl::expected<void, std::string> Node::Start() {
  sockaddr_in address{};
  const std::string name =
      absl::StrCat(state_->options_.host_, ":", state_->options_.port_);
  if (!FillAddress(state_->options_.host_, state_->options_.port_, &address)) {
    return tl::unexpected(absl::StrCat("bad peers address ", name));
  }
  state_->wake_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  state_->listener_ =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(state_->listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(state_->listener_, reinterpret_cast<sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(state_->listener_, kBacklog) != 0) {
    return tl::unexpected(absl::StrCat("cannot listen for peers on ", name,
                                       ": ", std::strerror(errno)));
  }
  state_->thread_ = std::thread([this] { NodeLoop::Run(*state_); });
  return {};
}

bool Node::Send(const std::string& address,
                std::string bytes,
                std::uint64_t tag) {
  {
    absl::MutexLock lock(&state_->mutex_);
    if (state_->ring_.full() || state_->stopping_) {
      return false;
    }
    state_->ring_.push_back({address, {std::move(bytes), tag, 0}});
  }
  const std::uint64_t one = 1;
  [[maybe_unused]] const ssize_t put = write(state_->wake_, &one, sizeof(one));
  return true;
}

void Node::Stop(core::Milliseconds limit) {
  if (!state_->thread_.joinable()) {
    return;
  }
  state_->stop_by_ = Clock() + limit;
  state_->stopping_ = true;
  const std::uint64_t one = 1;
  [[maybe_unused]] const ssize_t put = write(state_->wake_, &one, sizeof(one));
  state_->thread_.join();
}

NodeCounters Node::Counters() const {
  absl::MutexLock lock(&state_->mutex_);
  return state_->published_;
}

}  // namespace siskindrum::peer
