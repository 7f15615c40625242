#ifndef SISKINDRUM_TELEMETRY_LOG_H_
#define SISKINDRUM_TELEMETRY_LOG_H_

#include <string>

#include "siskindrum/core/event.h"

namespace siskindrum::telemetry {

// Sends logs to standard output and never to a file. Call once, before any
// other thread starts. `level` is "info", "warning" or "error".
void StartLogging(const std::string& level);

// Writes one line of key=value pairs. Values with spaces or quotes are quoted.
// Requires: StartLogging was called. Thread-safe: yes.
void WriteEvent(const core::LogEvent& event);

// Formats the line that WriteEvent writes. Thread-safe: yes.
std::string FormatEvent(const core::LogEvent& event);

}  // namespace siskindrum::telemetry

#endif  // SISKINDRUM_TELEMETRY_LOG_H_
