#ifndef SISKINDRUM_DISPATCH_REPEAT_BUDGET_H_
#define SISKINDRUM_DISPATCH_REPEAT_BUDGET_H_

#include <deque>
#include <map>
#include <string>

#include "siskindrum/core/types.h"

namespace siskindrum::dispatch {

// Calls and repeats of one pool within the last window.
struct PoolTraffic {
  std::deque<core::TimePoint> calls_;
  std::deque<core::TimePoint> repeats_;
};

// Keeps this entry to its share of the repeats that all entries may send
// together, without a counter that they share: a part of the calls that this
// entry itself sees, and a few besides.
struct RepeatBudget {
  std::map<std::string, PoolTraffic> pools_;
};

// A caller's request for the pool arrived. Thread-safe: no.
void NoteCall(RepeatBudget& budget,
              const std::string& pool,
              core::TimePoint now);

// Takes one repeat; false when the budget is spent. Thread-safe: no.
bool TakeRepeat(RepeatBudget& budget,
                const std::string& pool,
                core::TimePoint now);

}  // namespace siskindrum::dispatch

#endif  // SISKINDRUM_DISPATCH_REPEAT_BUDGET_H_
