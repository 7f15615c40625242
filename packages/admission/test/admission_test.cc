#define BOOST_TEST_MODULE admission
#include "siskindrum/admission/admission.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "siskindrum/admission/ranked_pools.h"
#include "siskindrum/rules/rules.h"

namespace siskindrum::admission {
namespace {

constexpr double kSize = 5000;
constexpr double kCost = 5e5;

struct AdmissionFixture {
  WaitingRequest Waiting(std::uint32_t rank,
                         Timeliness timeliness = Timeliness::kOnTime,
                         const std::string& organisation = "") {
    WaitingRequest request;
    request.demand_ = {rank, organisation, kSize, kCost};
    request.timeliness_ = timeliness;
    request.time_left_ = Milliseconds(500);
    return request;
  }
  void Grant(std::uint32_t rank, const std::string& organisation = "") {
    RecordGrant(pool_, {rank, organisation, kSize, kCost}, now_);
  }
  std::vector<std::size_t> Order() const {
    return OrderWaiting(pool_, waiting_, now_);
  }
  void Arrive(std::uint32_t rank, double size = kSize) {
    RecordArrival(pool_, {rank, "", size, kCost}, now_);
  }
  // Serves one request each 20 ms from a queue that always holds all of
  // `waiting_`, of which one more arrives each time. Returns how often each was
  // served.
  std::vector<std::size_t> ServeWithFullQueue(std::size_t rounds) {
    std::vector<std::size_t> served(waiting_.size());
    for (std::size_t i = 0; i < rounds; ++i) {
      now_ += Milliseconds(20);
      for (const WaitingRequest& request : waiting_) {
        RecordArrival(pool_, request.demand_, now_);
      }
      const std::size_t first = Order().front();
      ++served[first];
      RecordGrant(pool_, waiting_[first].demand_, now_);
    }
    return served;
  }
  // One hundred requests of rank 0 a second.
  void SendUrgentFor(Milliseconds time) {
    for (const TimePoint end = now_ + time; now_ < end;
         now_ += Milliseconds(10)) {
      Arrive(0);
    }
  }
  // Two engines, nearly full, each with room for `places` requests.
  static Capacity Engines(double places) {
    return {120000, 100000, {places * kSize, places * kSize}, 1};
  }

  PoolAdmission pool_;
  TimePoint now_{std::chrono::hours(1)};
  std::vector<WaitingRequest> waiting_;
};

using Indices = std::vector<std::size_t>;

BOOST_FIXTURE_TEST_SUITE(Admission, AdmissionFixture)

BOOST_AUTO_TEST_CASE(Order_WhenRanksWait_ServesBegunThenMostUrgent) {
  waiting_ = {Waiting(2), Waiting(0), Waiting(9, Timeliness::kBegun),
              Waiting(1)};
  BOOST_TEST(Order() == (Indices{2, 1, 3, 0}),
             boost::test_tools::per_element());
}

// A late answer of an urgent class is worth little, an on-time answer of a less
// urgent class much.
BOOST_AUTO_TEST_CASE(Order_WhenUrgentIsOverdue_ServesLessUrgentOnTimeFirst) {
  waiting_ = {Waiting(0, Timeliness::kOverdue), Waiting(2)};
  BOOST_TEST(Order() == (Indices{1, 0}), boost::test_tools::per_element());
}

// Where engines are too slow for the target of an urgent class, all of its
// requests are late as they come. They must not be served after all others.
BOOST_AUTO_TEST_CASE(Order_WhenUrgentTargetCannotBeMet_KeepsItsPrecedence) {
  Grant(2);  // Above its least share.
  waiting_ = {Waiting(2), Waiting(0, Timeliness::kLate), Waiting(0)};
  BOOST_TEST(Order() == (Indices{2, 1, 0}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(Order_WhenUrgentRankTakesAll_GivesEachRankItsLeastShare) {
  waiting_ = {Waiting(0), Waiting(1), Waiting(2)};
  const Indices served = ServeWithFullQueue(2000);
  // A tenth of a third each, less rounding.
  BOOST_TEST(served[1] >= 63U);
  BOOST_TEST(served[2] >= 63U);
  BOOST_TEST(served[0] >= 1800U);
}

// One organisation sends 5.8 times its load and fills the queue.
BOOST_AUTO_TEST_CASE(Order_WhenOneOrganisationFillsQueue_ServesOthersFirst) {
  for (int i = 0; i < 58; ++i) {
    waiting_.push_back(Waiting(1, Timeliness::kOnTime, "hot"));
  }
  waiting_.push_back(Waiting(1, Timeliness::kOnTime, "a"));
  waiting_.push_back(Waiting(1, Timeliness::kOnTime, "b"));
  for (int i = 0; i < 10; ++i) {
    Grant(1, "hot");
  }
  Grant(1, "a");
  const Indices order = Order();
  BOOST_TEST((order[0] == 59U && order[1] == 58U));
}

// No organisation is held up without bound, whatever the others send.
BOOST_AUTO_TEST_CASE(Order_WhenOrganisationsCompete_GivesEachAnEqualShare) {
  for (const char* name : {"hot", "hot", "hot", "hot", "a", "b", "c"}) {
    waiting_.push_back(Waiting(1, Timeliness::kOnTime, name));
  }
  const Indices served = ServeWithFullQueue(1000);
  const std::size_t hot = served[0] + served[1] + served[2] + served[3];
  for (const std::size_t share : {hot, served[4], served[5], served[6]}) {
    BOOST_TEST(share >= 245U);
    BOOST_TEST(share <= 255U);
  }
}

BOOST_AUTO_TEST_CASE(Shortage_WhenOfOneRank_DoesNotHoldBackMoreUrgent) {
  RecordShortage(pool_, 1, now_);
  BOOST_TEST(!IsShort(pool_, 0, now_));
  BOOST_TEST(IsShort(pool_, 1, now_));
  BOOST_TEST(IsShort(pool_, 2, now_));
  BOOST_TEST(!IsShort(pool_, 2, now_ + kShortageTime));
}

struct RefusalFixture : AdmissionFixture {
  // Ten grants a second during a shortage.
  RefusalFixture() {
    for (int i = 0; i < 100; ++i) {
      now_ += Milliseconds(100);
      Grant(0);
      RecordShortage(pool_, 0, now_);
    }
  }
};

// The queue holds more than the five requests that are served within the time
// left.
BOOST_FIXTURE_TEST_CASE(Refusal_WhenQueueIsTooLong_TakesLeastUrgentLast,
                        RefusalFixture) {
  for (const std::uint32_t rank : {2U, 0U}) {
    for (int i = 0; i < 4; ++i) {
      waiting_.push_back(Waiting(rank));
    }
  }
  const Indices order = Order();
  const Indices hopeless = FindHopeless(pool_, waiting_, order, now_);
  BOOST_TEST(!hopeless.empty());
  BOOST_TEST(hopeless.size() < 4U);
  BOOST_TEST(hopeless.front() == order.back());
  for (const std::size_t i : hopeless) {
    BOOST_TEST(waiting_[i].demand_.rank_ == 2U);
  }
}

BOOST_FIXTURE_TEST_CASE(Refusal_WhenQueueIsShort_TakesNone, RefusalFixture) {
  waiting_ = {Waiting(0), Waiting(2), Waiting(2, Timeliness::kBegun)};
  BOOST_TEST(FindHopeless(pool_, waiting_, Order(), now_).empty());
}

// Before a shortage, few grants mean little demand.
BOOST_AUTO_TEST_CASE(Refusal_WhenNoShortageWasObserved_TakesNone) {
  waiting_.assign(50, Waiting(2));
  RecordShortage(pool_, 2, now_);
  BOOST_TEST(FindHopeless(pool_, waiting_, Order(), now_).empty());
}

BOOST_FIXTURE_TEST_CASE(RetryAfter_WhenLessUrgent_IsLater, RefusalFixture) {
  for (int i = 0; i < 50; ++i) {
    Arrive(0, kSize / 10);
  }
  const Milliseconds urgent = RetryAfter(pool_, 0, 8 * kSize, now_);
  BOOST_TEST(urgent.count() >= 700);  // Eight requests at ten a second.
  BOOST_TEST(urgent.count() <= 900);
  BOOST_TEST(RetryAfter(pool_, 1, 8 * kSize, now_).count() > urgent.count());
  BOOST_TEST((RetryAfter({}, 0, kSize, now_) == kLongestRetryAfter));
}

BOOST_AUTO_TEST_CASE(Headroom_WhenUrgentRequestsAreExpected_IsKept) {
  SendUrgentFor(Milliseconds(4000));
  Grant(1);
  BOOST_TEST(!LeavesHeadroom(pool_, 1, kSize, Engines(2), now_));
  BOOST_TEST(LeavesHeadroom(pool_, 1, kSize, Engines(20), now_));
  BOOST_TEST(LeavesHeadroom(pool_, 0, kSize, Engines(2), now_));
}

BOOST_AUTO_TEST_CASE(Headroom_WhenCapacityIsNotScarce_IsNotKept) {
  SendUrgentFor(Milliseconds(4000));
  Grant(1);
  Capacity half = Engines(2);
  half.used_ = half.total_ / 2;
  BOOST_TEST(LeavesHeadroom(pool_, 1, kSize, half, now_));
}

// Urgent traffic that stops must not keep others out.
BOOST_AUTO_TEST_CASE(Headroom_WhenUrgentTrafficStops_IsReleased) {
  SendUrgentFor(Milliseconds(4000));
  Grant(1);
  now_ += Milliseconds(16000);  // Eight half-lives of the rate.
  BOOST_TEST(LeavesHeadroom(pool_, 1, kSize, Engines(2), now_));
}

BOOST_AUTO_TEST_CASE(Headroom_WhenRankIsBelowItsLeastShare_IsNotKept) {
  SendUrgentFor(Milliseconds(4000));
  Grant(0);
  Arrive(1);
  BOOST_TEST(LeavesHeadroom(pool_, 1, kSize, Engines(2), now_));
}

// Two entries that do not see each other keep headroom only for what each of
// them expects; entries in contact keep it for both.
BOOST_AUTO_TEST_CASE(Headroom_WhenPeersAreKnown_CountsTheirUrgentRequests) {
  SendUrgentFor(Milliseconds(4000));
  Grant(1);
  Capacity alone = Engines(9);
  Capacity both = alone;
  both.entries_ = 2;
  BOOST_TEST(LeavesHeadroom(pool_, 1, kSize, alone, now_));
  BOOST_TEST(!LeavesHeadroom(pool_, 1, kSize, both, now_));
}

BOOST_AUTO_TEST_CASE(Organisations_WhenManyCome_AreForgotten) {
  for (int i = 0; i < 10000; ++i) {
    now_ += Milliseconds(1000);
    Grant(1, "organisation-" + std::to_string(i));
  }
  BOOST_TEST(pool_.organisations_.size() <= 2 * kRetainedOrganisations);
}

BOOST_AUTO_TEST_CASE(Pools_WhenRulesDiffer_AreRankedEachForItself) {
  const RankedPools pools = FindRankedPools(
      (*rules::MakeConfiguration(
           1,
           "when path=/a/* then pool=one rank=0 # asked by Ann\n"
           "when path=/b/* then pool=one rank=2 # asked by Bo\n"
           "when path=/c/* then pool=two rank=1 # asked by Cy\n"
           "default then pool=two rank=1 # asked by Di\n"))
          ->rules_);
  BOOST_TEST(HasSeveralRanks(pools, "one"));
  BOOST_TEST(UsesAdmission(pools, "one"));
  BOOST_TEST(!HasSeveralRanks(pools, "two"));
  BOOST_TEST(!UsesAdmission(pools, "two"));
}

BOOST_AUTO_TEST_CASE(Pools_WhenThereAreOrganisations_UseAdmission) {
  core::RuleSet rules;
  rules.rules_.resize(1);
  rules.rules_[0].outcome_.pool_ = "one";
  rules.organisations_.resize(1);
  BOOST_TEST(UsesAdmission(FindRankedPools(rules), "one"));
  BOOST_TEST(!HasSeveralRanks(FindRankedPools(rules), "one"));
  rules.organisations_[0].rank_ = 1;
  BOOST_TEST(HasSeveralRanks(FindRankedPools(rules), "one"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::admission
