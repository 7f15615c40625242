#ifndef SISKINDRUM_DISPATCH_REPEAT_BUDGET_H_
#define SISKINDRUM_DISPATCH_REPEAT_BUDGET_H_

#include <deque>
#include <map>
#include <string>

#include "siskindrum/core/types.h"

namespace siskindrum::dispatch {

// Repeats that all entries together may send to a pool within any window: a
// part of the calls for it, and some besides.
struct RepeatLimits {
  double ratio_ = 0.2;
  double slack_ = 54;
  core::Milliseconds window_{10000};
};

// Calls and repeats of one pool within the last window.
struct PoolTraffic {
  std::deque<core::TimePoint> calls_;
  std::deque<core::TimePoint> repeats_;
};

// Keeps this entry to its share of the repeats that all entries may send
// together, without a counter that they share: the part of the calls that this
// entry itself sees, and an equal share of the rest.
struct RepeatBudget {
  std::map<std::string, PoolTraffic> pools_;
};

// A caller's request for the pool arrived. Thread-safe: no.
void RecordCall(RepeatBudget& budget,
                const RepeatLimits& bounds,
                const std::string& pool,
                core::TimePoint now);

// Takes one repeat; false when the budget is spent. `sharers` are the entries
// that share what is allowed besides the calls, this one included; zero: this
// entry may take no part of that. Thread-safe: no.
bool TryConsumeRepeat(RepeatBudget& budget,
                      const RepeatLimits& bounds,
                      std::size_t sharers,
                      const std::string& pool,
                      core::TimePoint now);

}  // namespace siskindrum::dispatch

#endif  // SISKINDRUM_DISPATCH_REPEAT_BUDGET_H_
