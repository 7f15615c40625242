#include "siskindrum/dispatch/repeat_budget.h"

#include "siskindrum/dispatch/limits.h"

namespace siskindrum::dispatch {

namespace {

void RemoveExpired(std::deque<core::TimePoint>& times,
                   core::Milliseconds window,
                   core::TimePoint now) {
  while (!times.empty() && now - times.front() > window) {
    times.pop_front();
  }
}

// Consumes one repeat if at most `fraction` of the entry's share is used then.
bool TryConsume(RepeatBudget& budget,
                const RepeatLimits& limits,
                std::size_t sharers,
                const std::string& pool,
                double fraction,
                core::TimePoint now) {
  PoolTraffic& traffic = budget.pools_[pool];
  RemoveExpired(traffic.calls_, limits.window_, now);
  RemoveExpired(traffic.repeats_, limits.window_, now);
  const double slack =
      sharers == 0 ? 0 : limits.slack_ / static_cast<double>(sharers);
  const double allowed =
      fraction * kRepeatBoundFraction *
      (limits.ratio_ * static_cast<double>(traffic.calls_.size()) + slack);
  if (static_cast<double>(traffic.repeats_.size()) + 1 > allowed) {
    return false;
  }
  traffic.repeats_.push_back(now);
  return true;
}

}  // namespace

void RecordCall(RepeatBudget& budget,
                const RepeatLimits& limits,
                const std::string& pool,
                core::TimePoint now) {
  PoolTraffic& traffic = budget.pools_[pool];
  RemoveExpired(traffic.calls_, limits.window_, now);
  traffic.calls_.push_back(now);
}

bool TryConsumeRepeat(RepeatBudget& budget,
                      const RepeatLimits& limits,
                      std::size_t sharers,
                      const std::string& pool,
                      core::TimePoint now) {
  return TryConsume(budget, limits, sharers, pool, 1, now);
}

bool TryConsumeHedge(RepeatBudget& budget,
                     const RepeatLimits& limits,
                     std::size_t sharers,
                     const std::string& pool,
                     core::TimePoint now) {
  return TryConsume(budget, limits, sharers, pool, kHedgeBoundFraction, now);
}

}  // namespace siskindrum::dispatch
