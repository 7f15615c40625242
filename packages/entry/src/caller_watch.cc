#include "caller_watch_p.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <array>

namespace siskindrum::entry {

namespace {
constexpr int kWaitMs = 100;
constexpr std::size_t kEvents = 64;
}  // namespace

CallerWatch::CallerWatch() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {}

CallerWatch::~CallerWatch() {
  Stop();
  close(epoll_);
}

void CallerWatch::Start(Gone gone) {
  gone_ = std::move(gone);
  thread_ = std::thread([this] { Run(); });
}

void CallerWatch::Stop() {
  stopping_ = true;
  if (thread_.joinable()) {
    thread_.join();
  }
}

void CallerWatch::Add(int socket, const core::RequestId& request) {
  absl::MutexLock lock(&mutex_);
  watched_[socket] = request;
  epoll_event event{};
  event.events = EPOLLRDHUP | EPOLLONESHOT;
  event.data.fd = socket;
  epoll_ctl(epoll_, EPOLL_CTL_ADD, socket, &event);
}

void CallerWatch::Remove(int socket) {
  absl::MutexLock lock(&mutex_);
  watched_.erase(socket);
  epoll_ctl(epoll_, EPOLL_CTL_DEL, socket, nullptr);
}

void CallerWatch::Run() {
  std::array<epoll_event, kEvents> events;
  while (!stopping_) {
    const int count =
        epoll_wait(epoll_, events.data(), static_cast<int>(kEvents), kWaitMs);
    for (int i = 0; i < count; ++i) {
      core::RequestId request;
      {
        absl::MutexLock lock(&mutex_);
        const auto it =
            watched_.find(events[static_cast<std::size_t>(i)].data.fd);
        if (it == watched_.end()) {
          continue;
        }
        request = it->second;
        watched_.erase(it);
      }
      gone_(request);
    }
  }
}

}  // namespace siskindrum::entry
