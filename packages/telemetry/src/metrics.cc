#include "siskindrum/telemetry/metrics.h"

#include <array>
#include <atomic>

#include <boost/histogram.hpp>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"

namespace siskindrum::telemetry {

namespace {

namespace bh = boost::histogram;

using Axis = bh::axis::variable<>;
using Histogram = decltype(bh::make_histogram(std::declval<Axis>()));

constexpr std::size_t kTimings = static_cast<std::size_t>(Timing::kCount);
constexpr std::size_t kCounters = static_cast<std::size_t>(Counter::kCount);

const char* NameOf(std::size_t timing) {
  static constexpr const char* kNames[kTimings] = {
      "first_token_seconds", "between_tokens_seconds", "request_seconds",
      "prefill_seconds",     "decision_seconds",       "plain_call_seconds"};
  return kNames[timing];
}

const char* NameOfCounter(std::size_t counter) {
  static constexpr const char* kNames[kCounters] = {
      "tokens_total", "ring_full_total", "dropped_tokens_total",

      "peer_frames_refused_total",

      "platform_calls_total"};
  return kNames[counter];
}

Histogram MakeHistogram() {
  return bh::make_histogram(
      Axis({0.0, 1e-6, 1e-5, 1e-4, 1e-3, 0.005, 0.01, 0.02, 0.046, 0.1, 0.2,
            0.37, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0}));
}

struct Series {
  mutable absl::Mutex mutex_;
  Histogram histogram_ = MakeHistogram();
  double sum_ = 0;
};

void AppendHistogram(std::string& text,
                     const char* name,
                     const Series& series) {
  absl::MutexLock lock(&series.mutex_);
  absl::StrAppend(&text, "# TYPE siskindrum_", name, " histogram\n");
  double total = 0;
  const auto& axis = series.histogram_.axis();
  for (int i = 0; i < axis.size(); ++i) {
    total += series.histogram_.at(i);
    absl::StrAppend(&text, "siskindrum_", name, "_bucket{le=\"",
                    axis.bin(i).upper(), "\"} ", total, "\n");
  }
  total += series.histogram_.at(axis.size());
  absl::StrAppend(&text, "siskindrum_", name, "_bucket{le=\"+Inf\"} ", total,
                  "\nsiskindrum_", name, "_sum ", series.sum_, "\nsiskindrum_",
                  name, "_count ", total, "\n");
}

void AppendCount(std::string& text, const NamedCount& count) {
  absl::StrAppend(&text, "# TYPE siskindrum_", count.name_, " ", count.type_,
                  "\nsiskindrum_", count.name_, " ", count.value_, "\n");
}

std::vector<NamedCount> CountsOf(const core::RouterCounters& counters) {
  return {
      {"requests_total", counters.arrived_},
      {"answered_total", counters.answered_},
      {"failed_not_run_total", counters.failed_not_run_},
      {"failed_may_have_run_total", counters.failed_may_have_run_},
      {"caller_gone_total", counters.caller_gone_},
      {"prefill_tokens_total", counters.prefill_tokens_},
      {"prefill_tokens_wasted_total", counters.prefill_tokens_wasted_},
      {"placed_home_total", counters.placed_home_},
      {"placed_remote_total", counters.placed_remote_},
      {"placed_alone_total", counters.placed_alone_},
      {"reimports_total", counters.reimports_},
      {"continued_total", counters.continued_},
      {"cancels_sent_total", counters.cancels_sent_},
      {"holds_swept_total", counters.swept_},
      {"calls_repeated_total", counters.calls_repeated_},
      {"homes_moved_total", counters.homes_moved_},
      {"freezes_total", counters.pauses_},
      {"peer_messages_total", counters.peer_messages_},
  };
}

}  // namespace

struct Metrics::State {
  std::array<Series, kTimings> series_;
  std::array<std::atomic<std::uint64_t>, kCounters> counters_{};
};

Metrics::Metrics() : state_(std::make_unique<State>()) {}
Metrics::~Metrics() = default;

void Metrics::Observe(Timing timing, core::Nanoseconds duration) {
  Series& series = state_->series_[static_cast<std::size_t>(timing)];
  const double seconds = std::chrono::duration<double>(duration).count();
  absl::MutexLock lock(&series.mutex_);
  series.histogram_(seconds);
  series.sum_ += seconds;
}

void Metrics::Add(Counter counter, std::uint64_t count) {
  state_->counters_[static_cast<std::size_t>(counter)] += count;
}

std::uint64_t Metrics::Get(Counter counter) const {
  return state_->counters_[static_cast<std::size_t>(counter)];
}

std::string Metrics::ToText(const core::RouterCounters& counters) const {
  return ToText(CountsOf(counters));
}

std::string Metrics::ToText(const std::vector<NamedCount>& counters) const {
  std::string text;
  for (std::size_t i = 0; i < kTimings; ++i) {
    AppendHistogram(text, NameOf(i), state_->series_[i]);
  }
  for (std::size_t i = 0; i < kCounters; ++i) {
    AppendCount(text, {NameOfCounter(i), state_->counters_[i]});
  }
  for (const NamedCount& count : counters) {
    AppendCount(text, count);
  }
  return text;
}

}  // namespace siskindrum::telemetry
