#include "siskindrum/http/clock.h"

#include <ctime>

namespace siskindrum::http {

core::TimePoint MonotonicNow() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return core::TimePoint(std::chrono::seconds(time.tv_sec) +
                         core::Nanoseconds(time.tv_nsec));
}

core::Now ReadClocks() {
  return {MonotonicNow(), std::chrono::time_point_cast<core::Milliseconds>(
                              std::chrono::system_clock::now())};
}

}  // namespace siskindrum::http
