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

}  // namespace

void RecordCall(RepeatBudget& budget,
                const RepeatLimits& bounds,
                const std::string& pool,
                core::TimePoint now) {
  PoolTraffic& traffic = budget.pools_[pool];
  RemoveExpired(traffic.calls_, bounds.window_, now);
  traffic.calls_.push_back(now);
}

bool TryConsumeRepeat(RepeatBudget& budget,
                      const RepeatLimits& bounds,
                      std::size_t sharers,
                      const std::string& pool,
                      core::TimePoint now) {
  PoolTraffic& traffic = budget.pools_[pool];
  RemoveExpired(traffic.calls_, bounds.window_, now);
  RemoveExpired(traffic.repeats_, bounds.window_, now);
  const double slack =
      sharers == 0 ? 0 : bounds.slack_ / static_cast<double>(sharers);
  const double allowed =
      kRepeatBoundFraction *
      (bounds.ratio_ * static_cast<double>(traffic.calls_.size()) + slack);
  if (static_cast<double>(traffic.repeats_.size()) + 1 > allowed) {
    return false;
  }
  traffic.repeats_.push_back(now);
  return true;
}

}  // namespace siskindrum::dispatch
