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
// A rank with waiting requests gets at least this part of the memory-time that
// it would get if it were granted in proportion to demand. The rest is granted
// by rank. In proportion to demand, because with an equal share for each rank a
// less urgent one with fewer requests would be served more often.
inline constexpr double kLeastRankShare = 0.1;
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
// Headroom suffices for the urgent requests of this part of all intervals. Each
// place kept free is lost to others: a burst on three engines of ten slots was
// answered in time 183 times without headroom, 176 times with 0.9 and 172 times
// with 0.98.
inline constexpr double kHeadroomConfidence = 0.9;
// Largest number of expected requests for which the distribution is summed up.
inline constexpr double kMaxExpectedArrivals = 100;

// After a request of a rank that can still meet its target found no capacity,
// late requests of that rank and of less urgent ones are refused for this long.
inline constexpr Milliseconds kShortageTime{500};
// A shortage must have lasted this long before the rate of grants counts as the
// capacity. Before, it reflects the demand.
inline constexpr Milliseconds kObservedShortage{500};
// A waiting request is refused when the requests before it need the capacity
// for longer than its remaining time by this factor. A request refused by a
// wrong estimate leaves its capacity to those before it, so that none is lost.
inline constexpr double kHopelessFactor = 1.0;

// Limits of retry-after advice.
inline constexpr Milliseconds kShortestRetryAfter{500};
inline constexpr Milliseconds kLongestRetryAfter{3500};

}  // namespace siskindrum::admission

#endif  // SISKINDRUM_ADMISSION_LIMITS_H_
