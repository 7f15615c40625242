#include "siskindrum/core/guard.h"

namespace siskindrum::core {

namespace {

std::string DescribeCurrentException() {
  try {
    throw;
  } catch (const std::exception& error) {
    return error.what();
  } catch (...) {
    return "an exception of unknown type";
  }
}

}  // namespace

void LogCaughtException(const char* where,
                        const std::function<void(LogEvent)>& log) noexcept {
  try {
    log({"exception_caught",
         {{"where", where}, {"error", DescribeCurrentException()}}});
  } catch (...) {
    // Memory for the log line is short. The exception stays unreported.
    return;
  }
}

}  // namespace siskindrum::core
