#ifndef SISKINDRUM_ENTRY_CALLER_WATCH_P_H_
#define SISKINDRUM_ENTRY_CALLER_WATCH_P_H_

#include <atomic>
#include <functional>
#include <thread>
#include <unordered_map>

#include "absl/synchronization/mutex.h"
#include "siskindrum/core/types.h"

namespace siskindrum::entry {

// Notices that a caller closed its connection, also while nothing is written
// to it. A caller that closes only its sending half counts as gone.
class CallerWatch {
 public:
  using Gone = std::function<void(const core::RequestId&)>;

  CallerWatch();
  ~CallerWatch();

  // Starts the thread; `gone` is called on it once for each request.
  void Start(Gone gone);
  void Stop();

  // Watches a connection on behalf of one request. Thread-safe: yes.
  void Add(int socket, const core::RequestId& request);

  // Ends the watch before the socket is closed or reused. Thread-safe: yes.
  void Remove(int socket);

 private:
  void Run();

  int epoll_ = -1;
  Gone gone_;
  std::atomic<bool> stopping_{false};
  absl::Mutex mutex_;
  std::unordered_map<int, core::RequestId> watched_;  // Guarded by mutex_.
  std::thread thread_;
};

}  // namespace siskindrum::entry

#endif  // SISKINDRUM_ENTRY_CALLER_WATCH_P_H_
