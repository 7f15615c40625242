#ifndef SISKINDRUM_ENTRY_CALLER_SERVER_P_H_
#define SISKINDRUM_ENTRY_CALLER_SERVER_P_H_

#include <atomic>
#include <deque>
#include <functional>
#include <thread>
#include <vector>

#include <httplib.h>

#include "absl/synchronization/mutex.h"
#include "siskindrum/settings/settings.h"

namespace siskindrum::entry {

// Threads for callers' connections: made on demand up to a bound, with a
// bounded queue before them. A connection beyond both is handed to `overflow`.
class CallerPool : public httplib::TaskQueue {
 public:
  CallerPool(std::size_t max_threads, std::size_t max_waiting);

  void enqueue(std::function<void()> job) override;  // NOLINT
  void shutdown() override;                          // NOLINT

 private:
  void Work();

  const std::size_t max_threads_;
  const std::size_t max_waiting_;
  absl::Mutex mutex_;
  absl::CondVar available_;
  std::deque<std::function<void()>> jobs_;  // Guarded by mutex_, as the rest.
  std::vector<std::thread> threads_;
  std::size_t idle_ = 0;
  bool stopping_ = false;
};

// The HTTP server towards callers. Lets a handler know the socket it serves,
// so that the caller's going can be watched.
class CallerServer : public httplib::Server {
 public:
  explicit CallerServer(const settings::CallerSettings& settings);

  // Socket of the connection that this thread serves, or -1.
  static int CurrentSocket();

  // Closes kept-alive connections after their present request.
  // Thread-safe: yes.
  void StopKeepingAlive();

  // Connections that were answered 503 for want of a thread.
  // Thread-safe: yes.
  std::uint64_t Overflows() const;

 private:
  bool process_and_close_socket(socket_t socket) override;  // NOLINT

  const settings::CallerSettings settings_;
  std::atomic<bool> closing_{false};
  std::atomic<std::uint64_t> overflows_{0};
};

}  // namespace siskindrum::entry

#endif  // SISKINDRUM_ENTRY_CALLER_SERVER_P_H_
