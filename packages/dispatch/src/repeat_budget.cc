#include "siskindrum/dispatch/repeat_budget.h"

#include "siskindrum/dispatch/limits.h"

namespace siskindrum::dispatch {

namespace {

void DropOld(std::deque<core::TimePoint>& times, core::TimePoint now) {
  while (!times.empty() && now - times.front() > kRepeatWindow) {
    times.pop_front();
  }
}

}  // namespace

void NoteCall(RepeatBudget& budget,
              const std::string& pool,
              core::TimePoint now) {
  PoolTraffic& traffic = budget.pools_[pool];
  DropOld(traffic.calls_, now);
  traffic.calls_.push_back(now);
}

bool TakeRepeat(RepeatBudget& budget,
                const std::string& pool,
                core::TimePoint now) {
  PoolTraffic& traffic = budget.pools_[pool];
  DropOld(traffic.calls_, now);
  DropOld(traffic.repeats_, now);
  const double allowed =
      kRepeatRatio * static_cast<double>(traffic.calls_.size()) + kRepeatBurst;
  if (static_cast<double>(traffic.repeats_.size()) + 1 > allowed) {
    return false;
  }
  traffic.repeats_.push_back(now);
  return true;
}

}  // namespace siskindrum::dispatch
