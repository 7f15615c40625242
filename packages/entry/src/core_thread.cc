#include "core_thread_p.h"

#include <memory>

#include "absl/cleanup/cleanup.h"
#include "absl/synchronization/notification.h"
#include "siskindrum/core/guard.h"
#include "siskindrum/core/limits.h"

namespace siskindrum::entry {

namespace {

constexpr absl::Duration kAskLimit = absl::Seconds(2);
// Forwarded calls take identities from the router; callers' take others.
constexpr std::uint64_t kCallerSequences = std::uint64_t{1} << 40;

}  // namespace

core::Now ReadClocks() {
  return {std::chrono::steady_clock::now(),
          std::chrono::time_point_cast<core::Milliseconds>(
              std::chrono::system_clock::now())};
}

CoreThread::CoreThread(const core::RouterOptions& options,
                       telemetry::Metrics& metrics)
    : router_(core::MakeRouter(options, ReadClocks())),
      metrics_(metrics),
      next_sequence_(kCallerSequences),
      incarnation_(options.incarnation_) {}

CoreThread::~CoreThread() {
  Stop();
}

void CoreThread::Start(Dispatch dispatch) {
  dispatch_ = std::move(dispatch);
  thread_ = std::thread([this] { Run(); });
}

void CoreThread::Stop() {
  stopping_ = true;
  inputs_.Close();
  if (thread_.joinable()) {
    thread_.join();
  }
}

bool CoreThread::Post(core::Event event) {
  if (inputs_.Push(std::move(event))) {
    return true;
  }
  metrics_.Add(telemetry::Counter::kRingFull);
  return false;
}

bool CoreThread::Ask(RouterQuery query) {
  struct Pending {
    RouterQuery query_;
    absl::Notification done_;
  };
  auto pending = std::make_shared<Pending>();
  pending->query_ = std::move(query);
  const bool posted = inputs_.Push(
      RouterQuery([pending](const core::Router& router, const core::Now& now) {
        // The asking thread goes on even if the query throws.
        const auto notify =
            absl::MakeCleanup([&pending] { pending->done_.Notify(); });
        pending->query_(router, now);
      }));
  return posted && pending->done_.WaitForNotificationWithTimeout(kAskLimit);
}

core::RequestId CoreThread::NextId() {
  return {incarnation_, ++next_sequence_};
}

void CoreThread::Handle(const core::Event& event) {
  const core::Now now = ReadClocks();
  core::HandleEvent(router_, event, now, actions_);
  metrics_.Observe(telemetry::Timing::kDecision,
                   std::chrono::steady_clock::now() - now.steady_);
  for (core::RouterAction& action : actions_) {
    dispatch_(std::move(action));
  }
  actions_.clear();
}

void CoreThread::Run() {
  const auto log = [this](core::LogEvent event) {
    dispatch_(std::move(event));
  };
  core::TimePoint next_tick = std::chrono::steady_clock::now();
  while (!stopping_) {
    const core::TimePoint now = std::chrono::steady_clock::now();
    if (now >= next_tick) {
      next_tick = now + core::kRouterTickInterval;
      core::RunGuarded("decision", log, [this] { Handle(core::Tick{}); });
    }
    std::optional<CoreInput> input =
        inputs_.Pop(std::max(core::Nanoseconds(0), next_tick - now));
    if (!input.has_value()) {
      continue;
    }
    core::RunGuarded("decision", log, [&] {
      if (const auto* event = std::get_if<core::Event>(&*input)) {
        Handle(*event);
      } else {
        std::get<RouterQuery> (*input)(router_, ReadClocks());
      }
    });
  }
}

}  // namespace siskindrum::entry
