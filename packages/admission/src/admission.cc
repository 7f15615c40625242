#include "siskindrum/admission/admission.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <numbers>

#include "siskindrum/core/fade.h"

namespace siskindrum::admission {

namespace {

constexpr double kMsPerSecond = 1000;

double Current(const FadingSum& sum, Milliseconds half_life, TimePoint now) {
  return core::Fade(sum.sum_, sum.measured_at_, half_life, now);
}

void Add(FadingSum& sum, double value, Milliseconds half_life, TimePoint now) {
  sum.sum_ = Current(sum, half_life, now) + value;
  sum.measured_at_ = now;
}

// Mean rate per second of a sum with half-life kRateHalfLife.
double RatePerSecond(const FadingSum& sum, TimePoint now) {
  const double half_life_s =
      static_cast<double>(kRateHalfLife.count()) / kMsPerSecond;
  return Current(sum, kRateHalfLife, now) * std::numbers::ln2 / half_life_s;
}

// Adds up the requests that arrived with a rank more urgent than `rank`.
struct UrgentRates {
  double requests_ = 0;  // Per second.
  double size_ = 0;      // Per second.
};

UrgentRates MoreUrgent(const PoolAdmission& pool,
                       std::uint32_t rank,
                       TimePoint now) {
  UrgentRates rates;
  for (std::uint32_t r = 0; r < rank; ++r) {
    rates.requests_ += RatePerSecond(pool.ranks_[r].arrivals_, now);
    rates.size_ += RatePerSecond(pool.ranks_[r].arrived_, now);
  }
  return rates;
}

// Grants by rank and organisation, including those that an order under
// construction makes.
struct Grants {
  std::array<double, kRanks> ranks_{};
  std::array<double, kRanks> demand_{};
  std::map<std::string, double> organisations_;
  double total_ = 0;
  double total_demand_ = 0;
};

// Leaves out the organisations.
Grants CurrentRankGrants(const PoolAdmission& pool, TimePoint now) {
  Grants grants;
  for (std::uint32_t r = 0; r < kRanks; ++r) {
    grants.ranks_[r] = Current(pool.ranks_[r].granted_, kGrantHalfLife, now);
    grants.demand_[r] = Current(pool.ranks_[r].demanded_, kGrantHalfLife, now);
    grants.total_ += grants.ranks_[r];
    grants.total_demand_ += grants.demand_[r];
  }
  return grants;
}

Grants CurrentGrants(const PoolAdmission& pool, TimePoint now) {
  Grants grants = CurrentRankGrants(pool, now);
  for (const auto& [name, sum] : pool.organisations_) {
    grants.organisations_[name] = Current(sum, kGrantHalfLife, now);
  }
  return grants;
}

bool IsBelowLeastShare(const Grants& grants, std::uint32_t rank) {
  return grants.ranks_[rank] * grants.total_demand_ <
         kLeastRankShare * grants.demand_[rank] * grants.total_;
}

void Count(Grants& grants, const Demand& demand) {
  grants.ranks_[ClampRank(demand.rank_)] += demand.cost_;
  grants.organisations_[demand.organisation_] += demand.cost_;
  grants.total_ += demand.cost_;
}

// Requests of one rank and timeliness, each organisation's in its own order.
using OrganisationQueues = std::map<std::string, std::deque<std::size_t>>;

// Requests that have not begun and have no place in the order yet.
struct Unplaced {
  std::array<OrganisationQueues, kRanks> on_time_;
  std::array<OrganisationQueues, kRanks> late_;
  std::array<OrganisationQueues, kRanks> overdue_;
};

// Moves the next request of these queues to the order: of the organisation that
// was granted least.
void TakeNext(OrganisationQueues& queues,
              const std::vector<WaitingRequest>& waiting,
              Grants& grants,
              std::vector<std::size_t>& order) {
  const auto least = std::min_element(
      queues.begin(), queues.end(), [&grants](const auto& a, const auto& b) {
        return grants.organisations_[a.first] < grants.organisations_[b.first];
      });
  const std::size_t next = least->second.front();
  least->second.pop_front();
  if (least->second.empty()) {
    queues.erase(least);
  }
  Count(grants, waiting[next].demand_);
  order.push_back(next);
}

OrganisationQueues* NextQueues(Unplaced& unplaced, std::uint32_t rank) {
  return !unplaced.on_time_[rank].empty() ? &unplaced.on_time_[rank]
         : !unplaced.late_[rank].empty()  ? &unplaced.late_[rank]
                                          : nullptr;
}

// Returns the queues to serve next, or nullptr when only overdue requests are
// left.
OrganisationQueues* NextUseful(Unplaced& unplaced, const Grants& grants) {
  OrganisationQueues* most_urgent = nullptr;
  for (std::uint32_t rank = 0; rank < kRanks; ++rank) {
    OrganisationQueues* queues = NextQueues(unplaced, rank);
    if (queues != nullptr && IsBelowLeastShare(grants, rank)) {
      return queues;
    }
    most_urgent = most_urgent == nullptr ? queues : most_urgent;
  }
  return most_urgent;
}

// Sorts the requests into `unplaced` and appends those that have begun to
// `order`.
Unplaced SortByKind(const std::vector<WaitingRequest>& waiting,
                    Grants& grants,
                    std::vector<std::size_t>& order) {
  std::vector<std::size_t> by_cost(waiting.size());
  for (std::size_t i = 0; i < by_cost.size(); ++i) {
    by_cost[i] = i;
  }
  std::stable_sort(by_cost.begin(), by_cost.end(),
                   [&waiting](std::size_t a, std::size_t b) {
                     return waiting[a].demand_.cost_ < waiting[b].demand_.cost_;
                   });
  Unplaced unplaced;
  for (const std::size_t i : by_cost) {
    const WaitingRequest& request = waiting[i];
    const std::uint32_t rank = ClampRank(request.demand_.rank_);
    if (request.timeliness_ == Timeliness::kBegun) {
      Count(grants, request.demand_);
      order.push_back(i);
    } else if (request.timeliness_ == Timeliness::kOnTime) {
      unplaced.on_time_[rank][request.demand_.organisation_].push_back(i);
    } else if (request.timeliness_ == Timeliness::kLate) {
      unplaced.late_[rank][request.demand_.organisation_].push_back(i);
    }
  }
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    if (waiting[i].timeliness_ == Timeliness::kOverdue) {
      const Demand& demand = waiting[i].demand_;
      unplaced.overdue_[ClampRank(demand.rank_)][demand.organisation_]
          .push_back(i);
    }
  }
  return unplaced;
}

// Rate per second at which capacity comes free for a rank, after the more
// urgent ones. At least its least share.
double SpareRate(const PoolAdmission& pool, std::uint32_t rank, TimePoint now) {
  const double rate = RatePerSecond(pool.granted_size_, now);
  return std::max(rate - MoreUrgent(pool, rank, now).size_,
                  kLeastRankShare * rate);
}

// Returns true when any rank has been short for kObservedShortage.
bool IsShortageObserved(const PoolAdmission& pool, TimePoint now) {
  return std::any_of(pool.ranks_.begin(), pool.ranks_.end(),
                     [now](const RankState& rank) {
                       return now < rank.short_until_ &&
                              now - rank.short_since_ >= kObservedShortage;
                     });
}

// Number of independent arrivals that is exceeded in few intervals with this
// mean number.
double ArrivalsToExpect(double mean) {
  const double capped = std::min(mean, kMaxExpectedArrivals);
  double probability = std::exp(-capped);
  double sum = probability;
  double count = 0;
  while (sum < kHeadroomConfidence) {
    ++count;
    probability *= capped / count;
    sum += probability;
  }
  return count;
}

// Number of requests of this size for which the engines have room.
double CountPlaces(const Capacity& capacity, double size) {
  double places = 0;
  for (const double room : capacity.room_) {
    places += std::floor(room / size);
  }
  return places;
}

// Time until as much capacity comes free as a request of this size takes.
double ReleaseMs(const PoolAdmission& pool,
                 double size,
                 const Capacity& capacity) {
  const double release_ms =
      capacity.used_ > 0 ? pool.hold_ms_ * size / capacity.used_ : 0;
  return std::max(static_cast<double>(kShortestRelease.count()), release_ms);
}

void DropNegligible(PoolAdmission& pool, TimePoint now) {
  if (pool.organisations_.size() <= kRetainedOrganisations) {
    return;
  }
  std::erase_if(pool.organisations_, [now](const auto& organisation) {
    return Current(organisation.second, kGrantHalfLife, now) < kNegligibleGrant;
  });
}

}  // namespace

std::uint32_t ClampRank(std::uint32_t rank) {
  return std::min(rank, kRanks - 1);
}

void RecordArrival(PoolAdmission& pool, const Demand& demand, TimePoint now) {
  RankState& state = pool.ranks_[ClampRank(demand.rank_)];
  Add(state.arrivals_, 1, kRateHalfLife, now);
  Add(state.arrived_, demand.size_, kRateHalfLife, now);
  Add(state.demanded_, demand.cost_, kGrantHalfLife, now);
}

void RecordGrant(PoolAdmission& pool, const Demand& demand, TimePoint now) {
  RankState& state = pool.ranks_[ClampRank(demand.rank_)];
  Add(state.granted_, demand.cost_, kGrantHalfLife, now);
  Add(pool.organisations_[demand.organisation_], demand.cost_, kGrantHalfLife,
      now);
  Add(pool.granted_size_, demand.size_, kRateHalfLife, now);
  DropNegligible(pool, now);
}

void RecordHoldTime(PoolAdmission& pool, Milliseconds held) {
  const auto ms = static_cast<double>(held.count());
  pool.hold_ms_ = pool.hold_ms_ == 0
                      ? ms
                      : pool.hold_ms_ + kHoldTimeWeight * (ms - pool.hold_ms_);
}

void RecordShortage(PoolAdmission& pool, std::uint32_t rank, TimePoint now) {
  RankState& state = pool.ranks_[ClampRank(rank)];
  if (now >= state.short_until_) {
    state.short_since_ = now;
  }
  state.short_until_ = now + kShortageTime;
}

bool IsShort(const PoolAdmission& pool, std::uint32_t rank, TimePoint now) {
  const auto end = pool.ranks_.begin() + ClampRank(rank) + 1;
  return std::any_of(pool.ranks_.begin(), end, [now](const RankState& state) {
    return now < state.short_until_;
  });
}

std::vector<std::size_t> OrderWaiting(
    const PoolAdmission& pool,
    const std::vector<WaitingRequest>& waiting,
    TimePoint now) {
  std::vector<std::size_t> order;
  order.reserve(waiting.size());
  Grants grants = CurrentGrants(pool, now);
  Unplaced unplaced = SortByKind(waiting, grants, order);
  while (OrganisationQueues* queues = NextUseful(unplaced, grants)) {
    TakeNext(*queues, waiting, grants, order);
  }
  for (OrganisationQueues& queues : unplaced.overdue_) {
    while (!queues.empty()) {
      TakeNext(queues, waiting, grants, order);
    }
  }
  return order;
}

std::vector<std::size_t> FindHopeless(
    const PoolAdmission& pool,
    const std::vector<WaitingRequest>& waiting,
    const std::vector<std::size_t>& order,
    TimePoint now) {
  std::vector<std::size_t> hopeless;
  if (!IsShortageObserved(pool, now)) {
    return hopeless;
  }
  std::array<double, kRanks> rates{};
  for (std::uint32_t rank = 0; rank < kRanks; ++rank) {
    rates[rank] = SpareRate(pool, rank, now);
  }
  double ahead = 0;
  for (const std::size_t i : order) {
    const WaitingRequest& request = waiting[i];
    const bool can_be_hopeless = request.timeliness_ == Timeliness::kOnTime ||
                                 request.timeliness_ == Timeliness::kLate;
    const double useful_s = kHopelessFactor *
                            static_cast<double>(request.time_left_.count()) /
                            kMsPerSecond;
    const double rate = rates[ClampRank(request.demand_.rank_)];
    if (can_be_hopeless && ahead > rate * useful_s) {
      hopeless.push_back(i);
    } else {
      ahead += request.demand_.size_;
    }
  }
  std::reverse(hopeless.begin(), hopeless.end());
  return hopeless;
}

bool LeavesHeadroom(const PoolAdmission& pool,
                    std::uint32_t rank,
                    double size,
                    const Capacity& capacity,
                    TimePoint now) {
  const std::uint32_t clamped = ClampRank(rank);
  if (capacity.total_ <= 0 ||
      capacity.used_ <= kScarceShare * capacity.total_ ||
      IsBelowLeastShare(CurrentRankGrants(pool, now), clamped)) {
    return true;
  }
  const UrgentRates urgent = MoreUrgent(pool, clamped, now);
  const double expected = urgent.requests_ *
                          static_cast<double>(capacity.entries_) *
                          ReleaseMs(pool, size, capacity) / kMsPerSecond;
  const double needed = ArrivalsToExpect(expected);
  if (needed == 0 || urgent.size_ <= 0) {
    return true;
  }
  const double mean_size = urgent.size_ / urgent.requests_;
  const double taken = std::ceil(size / mean_size);
  return CountPlaces(capacity, mean_size) >= needed + taken;
}

Milliseconds RetryAfter(const PoolAdmission& pool,
                        std::uint32_t rank,
                        double backlog,
                        TimePoint now) {
  const double spare = SpareRate(pool, ClampRank(rank), now);
  if (spare <= 0) {
    return kLongestRetryAfter;
  }
  const double ms = std::min(kMsPerSecond * backlog / spare,
                             static_cast<double>(kLongestRetryAfter.count()));
  return std::max(kShortestRetryAfter,
                  Milliseconds(static_cast<std::int64_t>(ms)));
}

}  // namespace siskindrum::admission
