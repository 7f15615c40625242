#include "siskindrum/hedge/latency.h"

#include <algorithm>
#include <cmath>

#include <boost/histogram/algorithm/sum.hpp>

#include "siskindrum/core/fade.h"

namespace siskindrum::hedge {

namespace {

namespace bh = boost::histogram;

constexpr double kShortestMs = 1;
constexpr double kLongestMs = 60'000;
// Neighbouring bins differ by about an eighth.
constexpr unsigned kBinCount = 96;
// Long enough for a class with one request a second to be known.
constexpr Milliseconds kHalfLife{30'000};

double ToMs(Nanoseconds duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

LatencyBins MakeLatencyBins() {
  return {std::make_tuple(LatencyAxis(kBinCount, kShortestMs, kLongestMs)),
          bh::dense_storage<double>()};
}

void RecordLatency(LatencyStats& stats, Nanoseconds took, TimePoint now) {
  stats.bins_ *= core::Fade(1, stats.decayed_at_, kHalfLife, now);
  stats.decayed_at_ = now;
  stats.bins_(std::clamp(ToMs(took), kShortestMs, kLongestMs - 1));
  stats.weight_ = bh::algorithm::sum(stats.bins_);
}

double CountLatencies(const LatencyStats& stats, TimePoint now) {
  return core::Fade(stats.weight_, stats.decayed_at_, kHalfLife, now);
}

std::optional<Milliseconds> LatencyQuantile(const LatencyStats& stats,
                                            double quantile) {
  if (stats.weight_ <= 0) {
    return std::nullopt;
  }
  const LatencyAxis& axis = stats.bins_.axis();
  double below = 0;
  int bin = 0;
  for (; bin + 1 < axis.size(); ++bin) {
    below += stats.bins_.at(bin);
    if (below >= quantile * stats.weight_) {
      break;
    }
  }
  return Milliseconds(
      static_cast<std::int64_t>(std::ceil(axis.bin(bin).upper())));
}

}  // namespace siskindrum::hedge
