#ifndef SISKINDRUM_ENTRY_CORE_THREAD_P_H_
#define SISKINDRUM_ENTRY_CORE_THREAD_P_H_

#include <atomic>
#include <functional>
#include <thread>
#include <variant>
#include <vector>

#include "siskindrum/core/router.h"
#include "siskindrum/telemetry/metrics.h"
#include "siskindrum/telemetry/ring.h"

namespace siskindrum::entry {

inline constexpr std::size_t kCoreEvents = 65536;

// Work for the thread that owns the router.
using RouterQuery = std::function<void(const core::Router&, const core::Now&)>;
using CoreInput = std::variant<core::Event, RouterQuery>;

// Reads both clocks. Thread-safe: yes.
core::Now ReadClocks();

// Runs a router on a thread of its own.
class CoreThread {
 public:
  using Dispatch = std::function<void(core::RouterAction)>;

  CoreThread(const core::RouterOptions& options, telemetry::Metrics& metrics);
  ~CoreThread();

  // `dispatch` is called on the core's thread and must not wait.
  void Start(Dispatch dispatch);
  void Stop();

  // Hands an event over; false when the ring is full. Thread-safe: yes.
  bool Post(core::Event event);

  // Runs `query` on the core's thread and waits for it, up to a second; false
  // when it did not run. Thread-safe: yes.
  bool Ask(RouterQuery query);

  // Thread-safe: yes.
  core::RequestId NextId();

 private:
  void Run();
  void Handle(const core::Event& event);

  core::Router router_;  // Owned by the thread once it runs.
  telemetry::Metrics& metrics_;
  telemetry::Ring<CoreInput> inputs_{kCoreEvents};
  Dispatch dispatch_;
  std::vector<core::RouterAction> actions_;
  std::atomic<std::uint64_t> next_sequence_{0};
  core::Incarnation incarnation_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace siskindrum::entry

#endif  // SISKINDRUM_ENTRY_CORE_THREAD_P_H_
