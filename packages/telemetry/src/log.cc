#include "siskindrum/telemetry/log.h"

#include <easylogging++.h>

#include "absl/strings/str_cat.h"
#include "siskindrum/core/text.h"

INITIALIZE_EASYLOGGINGPP

namespace siskindrum::telemetry {

namespace {

bool NeedsQuotes(const std::string& value) {
  return value.empty() || value.find_first_of(" \"=\\") != std::string::npos ||
         core::ToLine(value) != value;
}

bool IsFailure(const std::string& event) {
  return event == "attempt_failed" || event == "configuration_refused" ||
         event == "process_was_paused" || event == "ring_full" ||
         event == "hold_swept" || event == "exception_caught" ||
         event == "operator_call_failed" || event == "drain_cut";
}

}  // namespace

void StartLogging(const std::string& level) {
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(
      el::ConfigurationType::Format,
      "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
  if (level != "info") {
    configuration.set(el::Level::Info, el::ConfigurationType::Enabled, "false");
  }
  if (level == "error") {
    configuration.set(el::Level::Warning, el::ConfigurationType::Enabled,
                      "false");
  }
  el::Loggers::reconfigureLogger("default", configuration);
}

std::string FormatEvent(const core::LogEvent& event) {
  std::string line = absl::StrCat("event=", event.event_);
  for (const core::LogField& field : event.fields_) {
    if (NeedsQuotes(field.value_)) {
      absl::StrAppend(&line, " ", field.key_, "=\"",
                      core::ToQuoted(field.value_), "\"");
    } else {
      absl::StrAppend(&line, " ", field.key_, "=", field.value_);
    }
  }
  return line;
}

void WriteEvent(const core::LogEvent& event) {
  if (IsFailure(event.event_)) {
    LOG(WARNING) << FormatEvent(event);
  } else {
    LOG(INFO) << FormatEvent(event);
  }
}

}  // namespace siskindrum::telemetry
