#ifndef SISKINDRUM_GATEWAY_DECISION_THREAD_H_
#define SISKINDRUM_GATEWAY_DECISION_THREAD_H_

#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "siskindrum/dispatch/dispatcher.h"
#include "siskindrum/telemetry/ring.h"

namespace siskindrum::gateway {

// Runs a dispatcher on its own thread. Events arrive through a bounded ring
// buffer; actions are passed to a sink, which must be thread-safe and must not
// block. An event whose handling throws is logged and dropped.
class DecisionThread {
 public:
  using Sink = std::function<void(std::vector<dispatch::Action>)>;

  explicit DecisionThread(const dispatch::DispatcherOptions& options);
  ~DecisionThread();
  DecisionThread(const DecisionThread&) = delete;
  DecisionThread& operator=(const DecisionThread&) = delete;

  // `log` must be thread-safe.
  void Start(Sink sink, std::function<void(core::LogEvent)> log);
  void Stop();

  // Queues an event; returns false when the ring buffer is full.
  // Thread-safe: yes.
  bool Post(dispatch::Event event);

  // Calls `reader` with the dispatcher while its lock is held. Thread-safe:
  // yes.
  void Read(const std::function<void(const dispatch::Dispatcher&)>& reader);

 private:
  void Run();
  void Handle(const dispatch::Event& event);

  telemetry::Ring<dispatch::Event> ring_;
  absl::Mutex mutex_;
  dispatch::Dispatcher dispatcher_;  // Guarded by mutex_.
  Sink sink_;
  std::function<void(core::LogEvent)> log_;
  std::thread thread_;
};

}  // namespace siskindrum::gateway

#endif  // SISKINDRUM_GATEWAY_DECISION_THREAD_H_
