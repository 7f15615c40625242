// The entry instance: siskindrum --settings FILE, or on the users' platform
// siskindrum --on-platform [--settings FILE].

#include <csignal>
#include <cstdint>
#include <iostream>
#include <string>
#include <vector>

#include <boost/program_options.hpp>

#include "platform/adapter.h"
#include "siskindrum/entry/entry.h"
#include "siskindrum/settings/settings.h"
#include "siskindrum/telemetry/log.h"

namespace {

namespace po = boost::program_options;

constexpr int kExitUsage = 2;
constexpr int kExitFailure = 1;
constexpr char kVersion[] = "siskindrum 0.1.0";
constexpr long kPollNs = 50'000'000;

// Waits for a signal for one poll period; 0 when none came.
int AwaitSignal(const sigset_t& signals) {
  const timespec period{0, kPollNs};
  const int signal = sigtimedwait(&signals, nullptr, &period);
  return signal > 0 ? signal : 0;
}

// Serves until SIGTERM or SIGINT, then drains; a second signal or the drain
// limit ends it at once.
void Serve(siskindrum::entry::Entry& entry,
           const siskindrum::settings::Settings& settings,
           const sigset_t& signals) {
  while (AwaitSignal(signals) == 0) {
  }
  entry.Drain();
  const auto limit = std::chrono::steady_clock::now() + settings.drain_limit_;
  while (!entry.IsDrained() && AwaitSignal(signals) == 0 &&
         std::chrono::steady_clock::now() < limit) {
  }
  entry.Stop();
}

int Run(const std::string& file, bool check_only) {
  const auto settings = siskindrum::settings::LoadSettings(file);
  if (!settings.has_value()) {
    std::cerr << siskindrum::settings::Describe(settings.error()) << "\n";
    return kExitUsage;
  }
  if (check_only) {
    std::cout << file << ": settings are good\n";
    return 0;
  }
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  siskindrum::telemetry::StartLogging(settings->log_level_);
  siskindrum::entry::Entry entry(*settings);
  const auto started = entry.Start();
  if (!started.has_value()) {
    std::cerr << started.error() << "\n";
    std::_Exit(kExitFailure);
  }
  Serve(entry, *settings, signals);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::string file;
  std::uint16_t operators_port = 0;
  std::vector<std::string> hedge_limits;
  po::options_description description("Entry instance of siskindrum");
  description.add_options()("help", "show this text")(
      "version", "show the version")("settings", po::value(&file),
                                     "settings file in JSON")(
      "check", "check the settings file and exit")(
      "on-platform", "serve on the platform that wrote the settings file")(
      "operators-port", po::value(&operators_port),
      "with --on-platform: port of metrics, dump and explanations")(
      "hedge", po::value(&hedge_limits)->composing(),
      "with --on-platform: SHARE or SERVICE=SHARE, extra sends of slow "
      "requests as a fraction of all (0 to 0.2; default: none); repeatable");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n" << description;
    return kExitUsage;
  }
  if (values.contains("help")) {
    std::cout << description;
    return 0;
  }
  if (values.contains("version")) {
    std::cout << kVersion << "\n";
    return 0;
  }
  if (values.contains("on-platform")) {
    return siskindrum::adapter::RunOnPlatform(
        {file, operators_port, hedge_limits});
  }
  if (file.empty()) {
    std::cerr << "--settings FILE is needed\n" << description;
    return kExitUsage;
  }
  return Run(file, values.contains("check"));
}
