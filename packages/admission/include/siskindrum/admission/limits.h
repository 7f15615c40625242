#ifndef SISKINDRUM_ADMISSION_LIMITS_H_
#define SISKINDRUM_ADMISSION_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "siskindrum/core/types.h"

namespace siskindrum::admission {

using core::Milliseconds;

// Ranks are 0 (most urgent) to 9.
inline constexpr std::uint32_t kRanks = 10;

// Half-life of what ranks and organisations were granted. Longer than an answer
// holds its memory, so that a grant counts until the memory is free again.
inline constexpr Milliseconds kGrantHalfLife{4000};
// Least share of the granted memory-time of a pool for a rank that has waiting
// requests. Ten ranks together leave half to the order by rank.
inline constexpr double kLeastRankShare = 0.05;
// Organisations whose grants are kept per pool at least. Above this number,
// those that were granted almost nothing recently are dropped.
inline constexpr std::size_t kRetainedOrganisations = 64;
inline constexpr double kNegligibleGrant = 1.0;

// Half-life of arrival and grant rates. Bounds the time for which headroom is
// kept after urgent traffic stopped.
inline constexpr Milliseconds kRateHalfLife{2000};
// Smoothing weight of one answer in the mean time that answers hold memory.
inline constexpr double kHoldTimeWeight = 0.05;

// Headroom is kept only above this share of use of the pool's memory.
inline constexpr double kScarceShare = 0.75;
// Shortest time until capacity comes free: a refused reservation is tried again
// after the back-off of its engine and one tick.
inline constexpr Milliseconds kShortestRelease{80};
// Arrivals vary by the square root of their expected number. Two deviations
// cover all but a few percent of the intervals.
inline constexpr double kHeadroomDeviations = 2.0;
// Fewer urgent arrivals than this within the time of a release need no
// headroom.
inline constexpr double kNegligibleArrivals = 0.05;

// After a request of a rank that can still meet its target found no capacity,
// late requests of that rank and of less urgent ones are refused for this long.
inline constexpr Milliseconds kShortageTime{500};
// A shortage must have lasted this long before the rate of grants counts as the
// capacity. Before, it reflects the demand.
inline constexpr Milliseconds kObservedShortage{500};
// A waiting request is refused when the requests before it need the capacity
// for longer than its remaining time by this factor. Grants vary, and callers
// lose more by a wrong refusal than by a short wait.
inline constexpr double kHopelessFactor = 2.0;

// Limits of retry-after advice.
inline constexpr Milliseconds kShortestRetryAfter{500};
inline constexpr Milliseconds kLongestRetryAfter{3500};

}  // namespace siskindrum::admission

#endif  // SISKINDRUM_ADMISSION_LIMITS_H_
