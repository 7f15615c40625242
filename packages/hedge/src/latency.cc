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

double ToBinned(Nanoseconds took) {
  return std::clamp(ToMs(took), kShortestMs, kLongestMs - 1);
}

void Decay(LatencyStats& stats, TimePoint now) {
  stats.bins_ *= core::Fade(1, stats.decayed_at_, kHalfLife, now);
  stats.decayed_at_ = now;
}

Milliseconds UpperEdge(const LatencyAxis& axis, int bin) {
  return Milliseconds(
      static_cast<std::int64_t>(std::ceil(axis.bin(bin).upper())));
}

}  // namespace

LatencyBins MakeLatencyBins() {
  return {std::make_tuple(LatencyAxis(kBinCount, kShortestMs, kLongestMs)),
          bh::dense_storage<double>()};
}

void RecordLatency(LatencyStats& stats, Nanoseconds took, TimePoint now) {
  Decay(stats, now);
  stats.bins_(ToBinned(took));
  stats.weight_ = bh::algorithm::sum(stats.bins_);
}

void RecordLongerLatency(LatencyStats& stats, Nanoseconds took, TimePoint now) {
  Decay(stats, now);
  const LatencyAxis& axis = stats.bins_.axis();
  const int first = axis.index(ToBinned(took)) + 1;
  double longer = 0;
  for (int bin = first; bin < axis.size(); ++bin) {
    longer += stats.bins_.at(bin);
  }
  if (longer <= 0) {
    stats.bins_(ToBinned(took));
  }
  for (int bin = first; bin < axis.size() && longer > 0; ++bin) {
    stats.bins_.at(bin) *= 1 + 1 / longer;
  }
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
  return UpperEdge(axis, bin);
}

std::optional<SecondRequest> BestSecondRequest(const LatencyStats& stats,
                                               double sent,
                                               double slow) {
  const LatencyAxis& axis = stats.bins_.axis();
  double sum = 0;
  for (int bin = 0; bin < axis.size(); ++bin) {
    sum += stats.bins_.at(bin) * axis.bin(bin).center();
  }
  const double mean = sum / stats.weight_;
  std::optional<SecondRequest> best;
  double longer = 0;  // Weight and sum of times above the delay.
  double longer_sum = 0;
  for (int bin = axis.size() - 1; bin > 0; --bin) {
    longer += stats.bins_.at(bin);
    longer_sum += stats.bins_.at(bin) * axis.bin(bin).center();
    const double part = longer / stats.weight_;
    if (part > slow) {
      break;
    }
    if (longer <= 0) {
      continue;
    }
    const double left = longer_sum / longer - axis.bin(bin).lower();
    const double saves = std::min(sent, part) * (left - mean);
    if (saves > (best.has_value() ? best->saves_ms_ : 0)) {
      best = SecondRequest{UpperEdge(axis, bin - 1), saves};
    }
  }
  return best;
}

}  // namespace siskindrum::hedge
