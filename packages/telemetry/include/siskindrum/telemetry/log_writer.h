#ifndef SISKINDRUM_TELEMETRY_LOG_WRITER_H_
#define SISKINDRUM_TELEMETRY_LOG_WRITER_H_

#include <atomic>
#include <cstdint>
#include <thread>

#include "siskindrum/core/event.h"
#include "siskindrum/telemetry/metrics.h"
#include "siskindrum/telemetry/ring.h"

namespace siskindrum::telemetry {

// Writes log lines on a thread of its own, so that no other duty waits for the
// terminal. A full ring drops lines; how many is counted and logged.
class LogWriter {
 public:
  explicit LogWriter(Metrics& metrics);
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  void Start();
  // Writes what is in the ring and ends the thread.
  void Stop();
  // Thread-safe: yes. Never blocks on the output.
  void Add(core::LogEvent event);

 private:
  void Run();
  void ReportDropped();

  Metrics& metrics_;
  Ring<core::LogEvent> ring_;
  std::atomic<std::uint64_t> dropped_{0};
  std::uint64_t reported_ = 0;
  std::thread thread_;
};

}  // namespace siskindrum::telemetry

#endif  // SISKINDRUM_TELEMETRY_LOG_WRITER_H_
