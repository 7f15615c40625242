#include "siskindrum/telemetry/log_writer.h"

#include <string>
#include <utility>

#include "siskindrum/core/guard.h"
#include "siskindrum/telemetry/log.h"

namespace siskindrum::telemetry {

namespace {

constexpr std::size_t kLogRing = 16384;  // Lines.
constexpr core::Milliseconds kIdle{500};

}  // namespace

LogWriter::LogWriter(Metrics& metrics) : metrics_(metrics), ring_(kLogRing) {}

LogWriter::~LogWriter() {
  Stop();
}

void LogWriter::Start() {
  thread_ = std::thread([this] { Run(); });
}

void LogWriter::Stop() {
  ring_.Close();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void LogWriter::Add(core::LogEvent event) {
  if (!ring_.Push(std::move(event))) {
    ++dropped_;
    metrics_.Add(Counter::kRingFull);
  }
}

void LogWriter::Run() {
  while (true) {
    const auto event = ring_.Pop(kIdle);
    if (event.has_value()) {
      core::RunGuarded("log", WriteEvent, [&event] { WriteEvent(*event); });
      continue;
    }
    ReportDropped();
    if (ring_.IsClosed()) {
      return;
    }
  }
}

void LogWriter::ReportDropped() {
  const std::uint64_t dropped = dropped_;
  if (dropped != reported_) {
    WriteEvent({"log_lines_dropped",
                {{"lines", std::to_string(dropped - reported_)}}});
    reported_ = dropped;
  }
}

}  // namespace siskindrum::telemetry
