#include "duties_p.h"

#include <random>

#include "siskindrum/backend/plain.h"
#include "siskindrum/registry/registry.h"
#include "siskindrum/rules/rules.h"
#include "siskindrum/telemetry/log.h"

namespace siskindrum::entry {

namespace {

constexpr std::size_t kPollThreads = 4;
constexpr std::size_t kCancelThreads = 4;
constexpr std::size_t kCancelRing = 4096;
constexpr std::size_t kCallThreads = 16;
constexpr std::size_t kCallRing = 256;
constexpr core::Milliseconds kSlice{50};
constexpr core::Milliseconds kAfterError{500};
constexpr std::chrono::seconds kIdle{1};

void JoinAll(std::vector<std::thread>& threads) {
  for (std::thread& thread : threads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
  threads.clear();
}

}  // namespace

LoadPoller::LoadPoller(DriverContext context) : context_(context) {}
LoadPoller::~LoadPoller() {
  Stop();
}

void LoadPoller::Start() {
  for (std::size_t part = 0; part < kPollThreads; ++part) {
    threads_.emplace_back([this, part] { Run(part); });
  }
}

void LoadPoller::Stop() {
  stopping_ = true;
  JoinAll(threads_);
}

void LoadPoller::Set(std::vector<core::ServerInfo> servers) {
  absl::MutexLock lock(&mutex_);
  servers_ = std::move(servers);
}

void LoadPoller::Run(std::size_t part) {
  while (!stopping_) {
    const core::TimePoint begun = std::chrono::steady_clock::now();
    std::vector<core::ServerInfo> servers;
    {
      absl::MutexLock lock(&mutex_);
      servers = servers_;
    }
    for (std::size_t i = part; i < servers.size() && !stopping_;
         i += kPollThreads) {
      context_.core_.Post(core::LoadReportArrived{
          servers[i].name_, context_.dialect_.load_(servers[i].address_)});
    }
    // A newly homed cell is read soon: its slots cannot be granted before.
    const core::Milliseconds period =
        servers.empty() ? kSlice : context_.settings_.load_poll_;
    std::this_thread::sleep_until(begun + period);
  }
}

Canceller::Canceller(DriverContext context)
    : context_(context), ring_(kCancelRing) {}
Canceller::~Canceller() {
  Stop();
}

void Canceller::Start() {
  for (std::size_t i = 0; i < kCancelThreads; ++i) {
    threads_.emplace_back([this] { Run(); });
  }
}

void Canceller::Stop() {
  ring_.Close();
  JoinAll(threads_);
}

void Canceller::Add(core::CancelOnServer cancel) {
  if (!ring_.Push(std::move(cancel))) {
    context_.metrics_.Add(telemetry::Counter::kRingFull);
  }
}

void Canceller::Run() {
  while (!ring_.IsClosed()) {
    const auto cancel = ring_.Pop(kIdle);
    if (cancel.has_value()) {
      const bool done =
          context_.dialect_.cancel_(cancel->address_, cancel->request_);
      context_.core_.Post(
          core::CancelEnded{cancel->request_, cancel->server_, done});
    }
  }
}

ForwardedCalls::ForwardedCalls(DriverContext context)
    : context_(context), ring_(kCallRing) {}
ForwardedCalls::~ForwardedCalls() {
  Stop();
}

void ForwardedCalls::Start() {
  for (std::size_t i = 0; i < kCallThreads; ++i) {
    threads_.emplace_back([this] { Run(); });
  }
}

void ForwardedCalls::Stop() {
  ring_.Close();
  JoinAll(threads_);
}

void ForwardedCalls::Add(core::SendPlain order) {
  core::PlainEnded refused;
  refused.request_ = order.request_;
  refused.attempt_ = order.attempt_;
  if (!ring_.Push(std::move(order))) {
    context_.metrics_.Add(telemetry::Counter::kRingFull);
    refused.result_ = tl::unexpected(
        core::Verdict{core::RunState::kNotRun, core::Reason::kOverloaded,
                      "too many forwarded calls", core::Milliseconds(0)});
    context_.core_.Post(std::move(refused));
  }
}

void ForwardedCalls::Run() {
  while (!ring_.IsClosed()) {
    const auto order = ring_.Pop(kIdle);
    if (order.has_value()) {
      backend::HttpCall call;
      core::PlainEnded ended;
      ended.request_ = order->request_;
      ended.attempt_ = order->attempt_;
      ended.result_ = backend::CallPlain(call, *order);
      context_.core_.Post(std::move(ended));
    }
  }
}

PlatformReader::PlatformReader(DriverContext context) : context_(context) {}
PlatformReader::~PlatformReader() {
  Stop();
}

void PlatformReader::Start() {
  threads_.emplace_back([this] { ReadConfiguration(); });
  threads_.emplace_back([this] { ReadInstances(); });
}

void PlatformReader::Stop() {
  stopping_ = true;
  configuration_call_.Stop();
  instances_call_.Stop();
  JoinAll(threads_);
}

void PlatformReader::SetWatch(bool watch) {
  watch_ = watch;
}

void PlatformReader::SetRevision(std::uint64_t revision) {
  revision_ = revision;
}

bool PlatformReader::Pause(core::Milliseconds limit, bool until_watch) {
  const core::TimePoint end = std::chrono::steady_clock::now() + limit;
  while (std::chrono::steady_clock::now() < end) {
    if (stopping_) {
      return false;
    }
    if (until_watch && watch_) {
      return true;
    }
    std::this_thread::sleep_for(kSlice);
  }
  return !stopping_;
}

// Spreads the slow polls of a fleet that started at once.
core::Milliseconds Jittered(core::Milliseconds period) {
  static thread_local std::minstd_rand random(std::random_device{}());
  return period / 2 + core::Milliseconds(random() % static_cast<std::uint64_t>(
                                                        period.count()));
}

void PlatformReader::ReadConfiguration() {
  const settings::PlatformSettings& platform = context_.settings_.platform_;
  const std::string address = settings::ToString(platform.configuration_);
  std::uint64_t refused = 0;
  while (!stopping_) {
    const core::Milliseconds wait =
        watch_ ? platform.watch_wait_ : core::Milliseconds(0);
    context_.metrics_.Add(telemetry::Counter::kPlatformCalls);
    const std::uint64_t after = std::max(revision_.load(), refused);
    auto published =
        registry::FetchConfiguration(configuration_call_, address, after, wait);
    if (!published.has_value()) {
      if (!Pause(Jittered(kAfterError), false)) {
        return;
      }
      continue;
    }
    if (published->revision_ != 0) {
      auto made =
          rules::MakeConfiguration(published->revision_, published->rules_);
      if (made.has_value()) {
        context_.core_.Post(core::ConfigurationArrived{*made, "service"});
      } else {
        refused = published->revision_;
        context_.core_.Post(core::ConfigurationRefused{
            published->revision_, made.error(), "service"});
      }
    }
    const core::Milliseconds pause =
        watch_ ? core::Milliseconds(100) : Jittered(platform.slow_poll_);
    if (!Pause(pause, !watch_)) {
      return;
    }
  }
}

void PlatformReader::ReadInstances() {
  const settings::PlatformSettings& platform = context_.settings_.platform_;
  const std::string address = settings::ToString(platform.instances_);
  while (!stopping_) {
    context_.metrics_.Add(telemetry::Counter::kPlatformCalls);
    auto list = registry::FetchInstances(instances_call_, address);
    if (list.has_value()) {
      context_.core_.Post(std::move(*list));
    }
    const core::Milliseconds pause = !list.has_value() ? Jittered(kAfterError)
                                     : watch_          ? platform.list_poll_
                                              : Jittered(platform.slow_poll_);
    if (!Pause(pause, !watch_)) {
      return;
    }
  }
}

}  // namespace siskindrum::entry
