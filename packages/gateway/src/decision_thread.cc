#include "siskindrum/gateway/decision_thread.h"

#include <utility>

#include "siskindrum/core/guard.h"
#include "siskindrum/dispatch/limits.h"
#include "siskindrum/http/clock.h"

namespace siskindrum::gateway {

namespace {

constexpr std::size_t kEventRingSize = 16384;
constexpr core::Milliseconds kIdleTickInterval{
    200};  // While no request is in progress.

}  // namespace

DecisionThread::DecisionThread(const dispatch::DispatcherOptions& options)
    : ring_(kEventRingSize), dispatcher_(dispatch::MakeDispatcher(options)) {}

DecisionThread::~DecisionThread() {
  Stop();
}

void DecisionThread::Start(Sink sink, std::function<void(core::LogEvent)> log) {
  sink_ = std::move(sink);
  log_ = std::move(log);
  thread_ = std::thread([this] { Run(); });
}

void DecisionThread::Stop() {
  ring_.Close();
  if (thread_.joinable()) {
    thread_.join();
  }
}

bool DecisionThread::Post(dispatch::Event event) {
  return ring_.Push(std::move(event));
}

void DecisionThread::Read(
    const std::function<void(const dispatch::Dispatcher&)>& reader) {
  absl::MutexLock lock(&mutex_);
  reader(dispatcher_);
}

void DecisionThread::Handle(const dispatch::Event& event) {
  std::vector<dispatch::Action> actions;
  core::RunGuarded("decision", log_, [&] {
    absl::MutexLock lock(&mutex_);
    dispatch::HandleEvent(dispatcher_, event, http::MonotonicNow(), actions);
  });
  if (!actions.empty()) {
    core::RunGuarded("actions", log_, [&] { sink_(std::move(actions)); });
  }
}

void DecisionThread::Run() {
  core::TimePoint next_tick = http::MonotonicNow();
  bool busy = false;
  while (!ring_.IsClosed()) {
    const core::TimePoint now = http::MonotonicNow();
    if (now >= next_tick) {
      Handle(dispatch::Ticked{});
      next_tick = now + (busy ? dispatch::kTickInterval : kIdleTickInterval);
    }
    const auto event =
        ring_.Pop(std::max(core::Nanoseconds(0), next_tick - now));
    if (event.has_value()) {
      Handle(*event);
    }
    absl::MutexLock lock(&mutex_);
    const bool was_busy = busy;
    busy = !dispatcher_.calls_.empty();
    if (busy && !was_busy) {
      next_tick = std::min(next_tick, now + dispatch::kTickInterval);
    }
  }
}

}  // namespace siskindrum::gateway
