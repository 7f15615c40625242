#ifndef SISKINDRUM_HTTP_CLOCK_H_
#define SISKINDRUM_HTTP_CLOCK_H_

#include "siskindrum/core/types.h"

namespace siskindrum::http {

// Returns monotonic time that includes time in system suspend, so that a
// resumed process detects outdated state. Thread-safe: yes.
core::TimePoint MonotonicNow();

}  // namespace siskindrum::http

#endif  // SISKINDRUM_HTTP_CLOCK_H_
