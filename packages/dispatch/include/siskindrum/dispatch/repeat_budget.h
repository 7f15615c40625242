#ifndef SISKINDRUM_DISPATCH_REPEAT_BUDGET_H_
#define SISKINDRUM_DISPATCH_REPEAT_BUDGET_H_

#include <deque>
#include <map>
#include <string>

#include "siskindrum/core/types.h"

namespace siskindrum::dispatch {

// Limits on the repeats (retries) that all entries together may send to a pool
// within any window: `ratio_` times the calls to the pool, plus `slack_`.
struct RepeatLimits {
  double ratio_ = 0.2;
  double slack_ = 54;
  core::Milliseconds window_{10000};
};

// Times of the calls to one pool and of their repeats in the last window.
struct PoolTraffic {
  std::deque<core::TimePoint> calls_;
  std::deque<core::TimePoint> repeats_;
};

// Limits this entry to its share of the repeats that all entries may send
// together, without a shared counter: `ratio_` times the calls that this entry
// receives, plus an equal share of `slack_`.
struct RepeatBudget {
  std::map<std::string, PoolTraffic> pools_;
};

// Records a caller's request for the pool. Thread-safe: no.
void RecordCall(RepeatBudget& budget,
                const RepeatLimits& limits,
                const std::string& pool,
                core::TimePoint now);

// Consumes one repeat, or returns false when the budget is exhausted. `sharers`
// is the number of entries that share `slack_`, including this one; zero: this
// entry uses none of it. Thread-safe: no.
bool TryConsumeRepeat(RepeatBudget& budget,
                      const RepeatLimits& limits,
                      std::size_t sharers,
                      const std::string& pool,
                      core::TimePoint now);

// The same for a repeat that no failure asks for. It leaves part of the budget
// to failures. Thread-safe: no.
bool TryConsumeHedge(RepeatBudget& budget,
                     const RepeatLimits& limits,
                     std::size_t sharers,
                     const std::string& pool,
                     core::TimePoint now);

}  // namespace siskindrum::dispatch

#endif  // SISKINDRUM_DISPATCH_REPEAT_BUDGET_H_
