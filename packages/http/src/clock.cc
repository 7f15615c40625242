#include "siskindrum/http/clock.h"

#include <ctime>

namespace siskindrum::http {

core::TimePoint MonotonicNow() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return core::TimePoint(std::chrono::seconds(time.tv_sec) +
                         core::Nanoseconds(time.tv_nsec));
}

}  // namespace siskindrum::http
