#ifndef SISKINDRUM_TELEMETRY_METRICS_H_
#define SISKINDRUM_TELEMETRY_METRICS_H_

#include <memory>
#include <string>
#include <vector>

#include "siskindrum/core/router.h"
#include "siskindrum/core/types.h"

namespace siskindrum::telemetry {

// Durations that the metrics keep as histograms.
enum class Timing {
  kFirstToken,     // Arrival to first token.
  kBetweenTokens,  // Between two tokens of one answer.
  kRequest,        // Arrival to end.
  kPrefill,
  kDecision,   // One event handled by the core.
  kPlainCall,  // Arrival to end of a plain call.
  kCount
};

// Counts that are not the core's own.
enum class Counter {
  kTokens,
  kRingFull,
  kDroppedTokens,
  kPeerFramesRefused,
  kPlatformCalls,
  kCount
};

// Types of metrics in the text format.
inline constexpr char kCounter[] = "counter";
inline constexpr char kGauge[] = "gauge";

// A counter or gauge that its owner keeps.
struct NamedCount {
  const char* name_ = "";  // Without the prefix "siskindrum_".
  std::uint64_t value_ = 0;
  const char* type_ = kCounter;
};

// Histograms and counters of one process.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Adds one duration. Thread-safe: yes.
  void Observe(Timing timing, core::Nanoseconds duration);

  // Adds to a counter. Thread-safe: yes.
  void Add(Counter counter, std::uint64_t count = 1);

  // Value of a counter. Thread-safe: yes.
  std::uint64_t Get(Counter counter) const;

  // Writes all in the text format of Prometheus, with the router's counters.
  // Thread-safe: yes, as long as nothing changes `counters` meanwhile.
  std::string ToText(const core::RouterCounters& counters) const;
  // The same with counters of another owner. Thread-safe: yes.
  std::string ToText(const std::vector<NamedCount>& counters) const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace siskindrum::telemetry

#endif  // SISKINDRUM_TELEMETRY_METRICS_H_
