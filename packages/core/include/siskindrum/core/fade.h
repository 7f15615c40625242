#ifndef SISKINDRUM_CORE_FADE_H_
#define SISKINDRUM_CORE_FADE_H_

#include "siskindrum/core/types.h"

namespace siskindrum::core {

// Returns what is left of `value`, measured at `measured_at`, when it halves
// with each `half_life`. Thread-safe: yes.
double Fade(double value,
            TimePoint measured_at,
            Nanoseconds half_life,
            TimePoint now);

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_FADE_H_
