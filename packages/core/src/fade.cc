#include "siskindrum/core/fade.h"

#include <chrono>
#include <cmath>

namespace siskindrum::core {

double Fade(double value,
            TimePoint measured_at,
            Nanoseconds half_life,
            TimePoint now) {
  using Seconds = std::chrono::duration<double>;
  return value * std::exp2(-Seconds(now - measured_at).count() /
                           Seconds(half_life).count());
}

}  // namespace siskindrum::core
