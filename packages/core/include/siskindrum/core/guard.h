#ifndef SISKINDRUM_CORE_GUARD_H_
#define SISKINDRUM_CORE_GUARD_H_

#include <exception>
#include <functional>

#include "siskindrum/core/event.h"

namespace siskindrum::core {

// Logs the exception that is being handled as "exception_caught"; `where` names
// the activity that threw it. Never throws. Requires: called from a handler.
// Thread-safe: yes, if `log` is.
void LogCaughtException(const char* where,
                        const std::function<void(LogEvent)>& log) noexcept;

// Runs one step of a thread. An exception is logged and goes no further, so
// that one bad message cannot end the process. Returns false if the step threw.
// Thread-safe: yes, if `log` is.
template <class Step>
bool RunGuarded(const char* where,
                const std::function<void(LogEvent)>& log,
                Step&& step) noexcept {
  try {
    step();
    return true;
  } catch (...) {
    LogCaughtException(where, log);
    return false;
  }
}

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_GUARD_H_
