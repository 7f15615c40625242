#ifndef SISKINDRUM_ADMISSION_ADMISSION_H_
#define SISKINDRUM_ADMISSION_ADMISSION_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "siskindrum/admission/limits.h"
#include "siskindrum/core/types.h"

// Who is served first, who is refused and who must leave room, when the decode
// capacity of a pool does not suffice. Pure: the caller passes the time and
// carries the decisions out.
//
// Keep one PoolAdmission for each pool that serves several ranks or
// organisations (see ranked_pools.h) and report to it what happens:
//
//   RecordArrival(pool, demand, now);            // a request came
//   RecordGrant(pool, grant, now);               // it got capacity
//   RecordHoldTime(pool, held);                  // its answer freed it
//   RecordShortage(pool, rank, now);             // it found none, still in
//   time
//
// Sizes are in any one unit of capacity, for example tokens of engine memory.
// Then, each time that capacity may have come free:
//
//   for (std::size_t i : OrderWaiting(pool, waiting, now)) { try waiting[i]; }
//   for (std::size_t i : FindHopeless(pool, waiting, order, now)) { refuse it;
//   }
//
// and before a request is placed:
//
//   if (!LeavesHeadroom(pool, rank, size, capacity, now)) { let it wait; }

namespace siskindrum::admission {

using core::TimePoint;

// A sum whose parts halve in weight with each half-life.
struct FadingSum {
  double sum_ = 0;
  TimePoint measured_at_{};
};

// Capacity that one request needs or was granted.
struct Demand {
  std::uint32_t rank_ = 0;
  std::string organisation_;  // Empty: none.
  double size_ = 0;           // Capacity that its answer holds.
  double cost_ = 0;           // Size multiplied by the expected time.
};

// What is known of one rank of a pool at this entry.
struct RankState {
  FadingSum granted_;   // Cost of grants.
  FadingSum demanded_;  // Cost of arrivals.
  FadingSum arrivals_;  // Number of requests.
  FadingSum arrived_;   // Their size.
  TimePoint short_until_{};
  TimePoint short_since_{};  // Start of the current or last shortage.
};

// What is known of one pool at this entry. Owned by one thread.
struct PoolAdmission {
  std::array<RankState, kRanks> ranks_;
  std::map<std::string, FadingSum> organisations_;  // Cost of grants.
  FadingSum granted_size_;
  double hold_ms_ = 0;  // Mean time for which answers hold memory; 0: unknown.
};

// Whether capacity now is still of use to a waiting request.
enum class Timeliness {
  kBegun,   // Its answer has begun and must go on.
  kOnTime,  // It would meet its first-event target.
  // It would begin after its target, but its target has not passed yet. A
  // request is late without having waited when the engines are too slow for the
  // target; it then keeps the precedence of its rank.
  kLate,
  kOverdue,  // Its target has passed while it waited.
  kCount
};

struct WaitingRequest {
  Demand demand_;
  Timeliness timeliness_ = Timeliness::kOnTime;
  // Until it stops being on time, or becomes overdue if it is late.
  Milliseconds time_left_{0};
};

// Capacity of a pool as this entry knows it.
struct Capacity {
  double total_ = 0;
  double used_ = 0;
  std::vector<double> room_;  // Free capacity of each engine that has any.
  // Entries that share the pool and are known, including this one. Each of them
  // expects as many urgent requests as this one.
  std::size_t entries_ = 1;
};

// Returns a rank that indexes RankState; ranks above 9 count as 9.
// Thread-safe: yes.
std::uint32_t ClampRank(std::uint32_t rank);

// Records a request, whether or not it will wait. Thread-safe: no.
void RecordArrival(PoolAdmission& pool, const Demand& demand, TimePoint now);

// Records that a request was given capacity. Thread-safe: no.
void RecordGrant(PoolAdmission& pool, const Demand& demand, TimePoint now);

// Records for how long an answer held its memory. Thread-safe: no.
void RecordHoldTime(PoolAdmission& pool, Milliseconds held);

// Records that a request of this rank found no capacity although it could still
// have met its target. Thread-safe: no.
void RecordShortage(PoolAdmission& pool, std::uint32_t rank, TimePoint now);

// Returns true when late requests of this rank are refused: during a shortage
// of this rank or of a more urgent one. Thread-safe: no.
bool IsShort(const PoolAdmission& pool, std::uint32_t rank, TimePoint now);

// Returns the indices of `waiting` in the order in which they should get
// capacity:
// - answers that have begun, since they hold capacity elsewhere;
// - requests that are not overdue, of a rank that was granted less than its
//   least share, see kLeastRankShare;
// - other requests that are not overdue, by rank; within a rank those on time,
//   then the late ones;
// - overdue requests by rank. An answer that begins after its target is of less
//   use to its caller than one on time to a less urgent caller.
// Among equals, the organisation that was granted least recently is first, so
// each of N organisations that have requests waiting gets at least 1/N. Within
// an organisation the lowest cost is first, or the longest wait if overdue.
// Requires: `waiting` in order of arrival. Thread-safe: no.
std::vector<std::size_t> OrderWaiting(
    const PoolAdmission& pool,
    const std::vector<WaitingRequest>& waiting,
    TimePoint now);

// Returns the indices of the requests that would not get capacity in time when
// it is given in this order and the most urgent ranks go on arriving as before,
// the last of the order first. Empty until a
// shortage was observed for kObservedShortage. Requires: `order` as returned by
// OrderWaiting. Thread-safe: no.
std::vector<std::size_t> FindHopeless(
    const PoolAdmission& pool,
    const std::vector<WaitingRequest>& waiting,
    const std::vector<std::size_t>& order,
    TimePoint now);

// Returns true when the request may take capacity. False when the pool is
// scarce and the engines would then lack room for the more urgent requests that
// are expected until capacity comes free, unless the rank was granted less than
// its least share. Thread-safe: no.
bool LeavesHeadroom(const PoolAdmission& pool,
                    std::uint32_t rank,
                    double size,
                    const Capacity& capacity,
                    TimePoint now);

// Returns when capacity is likely for a request of this rank, behind waiting
// requests of `backlog` size of the same and more urgent ranks. Thread-safe:
// no.
Milliseconds RetryAfter(const PoolAdmission& pool,
                        std::uint32_t rank,
                        double backlog,
                        TimePoint now);

}  // namespace siskindrum::admission

#endif  // SISKINDRUM_ADMISSION_ADMISSION_H_
