#ifndef SISKINDRUM_HTTP_CLOCK_H_
#define SISKINDRUM_HTTP_CLOCK_H_

#include "siskindrum/core/types.h"

namespace siskindrum::http {

// Monotonic time that goes on while the machine is suspended, so that a
// process that wakes up sees how old its beliefs are. Thread-safe: yes.
core::TimePoint MonotonicNow();

}  // namespace siskindrum::http

#endif  // SISKINDRUM_HTTP_CLOCK_H_
