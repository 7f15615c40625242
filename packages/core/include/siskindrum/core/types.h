#ifndef SISKINDRUM_CORE_TYPES_H_
#define SISKINDRUM_CORE_TYPES_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace siskindrum::core {

using Milliseconds = std::chrono::milliseconds;
using Nanoseconds = std::chrono::nanoseconds;
// Monotonic time of one process; never compared across processes.
using TimePoint = std::chrono::steady_clock::time_point;
// Wall-clock time, used only to check the creation time of idempotency keys.
using WallTime = std::chrono::sys_time<Milliseconds>;

// Both clocks, read at the same moment. The core never reads a clock itself;
// its caller passes the time in.
struct Now {
  TimePoint steady_{};
  WallTime wall_{};
};

// Identifies one run of an entry process. A later run has a higher value.
using Incarnation = std::uint64_t;

// Identifies a request across the fleet.
struct RequestId {
  Incarnation incarnation_ = 0;
  std::uint64_t sequence_ = 0;
  auto operator<=>(const RequestId&) const = default;  // NOLINT
};

struct RequestIdHash {
  std::size_t operator()(const RequestId& id) const {
    return static_cast<std::size_t>(id.incarnation_ * 0x9E3779B97F4A7C15ULL ^
                                    id.sequence_);
  }
};

// Returns "<incarnation hex>-<sequence>". Thread-safe: yes.
std::string ToString(const RequestId& id);

// Parses the format written by ToString; returns false for any other text.
// Thread-safe: yes.
bool ParseRequestId(const std::string& text, RequestId* id);

// Rounds up to whole milliseconds for logs and reports. Thread-safe: yes.
std::int64_t ToMilliseconds(Nanoseconds duration);

enum class Priority : std::uint8_t { kLow, kNormal, kHigh, kCount };

// Returns "low", "normal" or "high". Thread-safe: yes.
const char* ToString(Priority priority);

// Parses a priority name; returns false for any other text. Thread-safe: yes.
bool ParsePriority(const std::string& text, Priority* priority);

// Attributes of a request that rules match and placement takes into account.
struct RequestShape {
  std::string service_;       // From the path or a header; may be empty.
  std::string organisation_;  // The caller's organisation.
  std::string model_;
  std::string method_ = "POST";
  std::string host_;  // Without the port.
  std::string path_;
  std::string domain_;               // Failure domain of the entry.
  std::uint32_t prompt_tokens_ = 0;  // Estimate.
  std::uint32_t max_tokens_ = 0;     // Upper bound of the answer.
  std::uint64_t prefix_hash_ = 0;    // Hash of the prompt's prefix; 0 for none.
  std::uint32_t prefix_tokens_ = 0;  // Length of that prefix.
  Priority priority_ = Priority::kNormal;
  std::string idempotency_key_;  // Empty if absent.
};

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_TYPES_H_
