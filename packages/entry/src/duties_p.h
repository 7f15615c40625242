#ifndef SISKINDRUM_ENTRY_DUTIES_P_H_
#define SISKINDRUM_ENTRY_DUTIES_P_H_

#include <atomic>
#include <thread>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "core_thread_p.h"
#include "driver_p.h"
#include "siskindrum/telemetry/log_writer.h"
#include "siskindrum/telemetry/ring.h"

namespace siskindrum::entry {

// Reads the load of the engines whose cells are homed here.
class LoadPoller {
 public:
  explicit LoadPoller(DriverContext context);
  ~LoadPoller();
  void Start();
  void Stop();
  // Replaces the set of engines to read. Thread-safe: yes.
  void Set(std::vector<core::ServerInfo> servers);

 private:
  void Run(std::size_t part);

  DriverContext context_;
  absl::Mutex mutex_;
  std::vector<core::ServerInfo> servers_;  // Guarded by mutex_.
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> threads_;
};

// Sends cancels to engines.
class Canceller {
 public:
  explicit Canceller(DriverContext context);
  ~Canceller();
  void Start();
  void Stop();
  // Thread-safe: yes. A full ring drops it: the core sends it again.
  void Add(core::CancelOnServer cancel);

 private:
  void Run();

  DriverContext context_;
  telemetry::Ring<core::CancelOnServer> ring_;
  std::vector<std::thread> threads_;
};

// Sends the calls that peers forwarded to this entry.
class ForwardedCalls {
 public:
  explicit ForwardedCalls(DriverContext context);
  ~ForwardedCalls();
  void Start();
  void Stop();
  // Thread-safe: yes. With a full ring the call ends as not run.
  void Add(core::SendPlain order);

 private:
  void Run();

  DriverContext context_;
  telemetry::Ring<core::SendPlain> ring_;
  std::vector<std::thread> threads_;
};

// Reads the configuration service and the instance list, often while this
// entry watches for its failure domain and seldom otherwise.
class PlatformReader {
 public:
  explicit PlatformReader(DriverContext context);
  ~PlatformReader();
  void Start();
  void Stop();
  // Thread-safe: yes.
  void SetWatch(bool watch);
  // Revision in force, below which nothing is asked for. Thread-safe: yes.
  void SetRevision(std::uint64_t revision);

 private:
  void ReadConfiguration();
  void ReadInstances();
  // Waits for `limit` or until stopped or set to watch; false when stopped.
  bool Pause(core::Milliseconds limit, bool until_watch);

  DriverContext context_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> watch_{false};
  std::atomic<std::uint64_t> revision_{0};
  backend::HttpCall configuration_call_;
  backend::HttpCall instances_call_;
  std::vector<std::thread> threads_;
};

}  // namespace siskindrum::entry

#endif  // SISKINDRUM_ENTRY_DUTIES_P_H_
