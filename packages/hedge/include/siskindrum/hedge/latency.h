#ifndef SISKINDRUM_HEDGE_LATENCY_H_
#define SISKINDRUM_HEDGE_LATENCY_H_

#include <optional>
#include <tuple>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include "siskindrum/core/types.h"

namespace siskindrum::hedge {

using core::Milliseconds;
using core::Nanoseconds;
using core::TimePoint;

using LatencyAxis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
using LatencyBins =
    boost::histogram::histogram<std::tuple<LatencyAxis>,
                                boost::histogram::dense_storage<double>>;

// Returns bins of equal width on a logarithmic scale of milliseconds.
// Thread-safe: yes.
LatencyBins MakeLatencyBins();

// Distribution of response times. Weights halve with each half-life, so that it
// follows the present load.
struct LatencyStats {
  LatencyBins bins_ = MakeLatencyBins();
  double weight_ = 0;  // Sum of all bins at `decayed_at_`.
  TimePoint decayed_at_{};
};

// Adds one response time. Thread-safe: no.
void RecordLatency(LatencyStats& stats, Nanoseconds took, TimePoint now);

// Adds a response that was given up after this time and would have taken
// longer. It counts as the known longer times do. Thread-safe: no.
void RecordLongerLatency(LatencyStats& stats, Nanoseconds took, TimePoint now);

// Returns how many recent response times are known. Thread-safe: no.
double CountLatencies(const LatencyStats& stats, TimePoint now);

// Returns the time within which the fraction `quantile` of the responses came,
// rounded up to a bin; none when nothing is known. Thread-safe: no.
std::optional<Milliseconds> LatencyQuantile(const LatencyStats& stats,
                                            double quantile);

// What a second request saves on average, if it takes as long as others do.
struct SecondRequest {
  Milliseconds delay_{0};  // After the first.
  double saves_ms_ = 0;    // For each request of the class.
};

// Returns the delay that saves most when at most the fraction `sent` of the
// requests gets a second one, among delays that at most the fraction `slow`
// exceed. None when no second request saves time, as when long times are
// little longer than usual. Thread-safe: no.
std::optional<SecondRequest> BestSecondRequest(const LatencyStats& stats,
                                               double sent,
                                               double slow);

}  // namespace siskindrum::hedge

#endif  // SISKINDRUM_HEDGE_LATENCY_H_
