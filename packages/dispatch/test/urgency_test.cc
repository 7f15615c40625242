// Pools whose requests are served in order of urgency.

#include <boost/test/unit_test.hpp>

#include "overload_fixture.h"
#include "siskindrum/dispatch/limits.h"

namespace siskindrum::dispatch {
namespace {

struct UrgencyFixture : OverloadFixture {
  static constexpr char kRankedRules[] =
      "pool engines slots=64 memory=60000 hold=2000ms # asked by Ann\n"
      "when path=/urgent/* then pool=engines resume=never retries=0 rank=0 "
      "first_token=800ms timeout=14s # asked by Bo\n"
      "when path=/usual/* then pool=engines resume=never retries=0 rank=1 "
      "first_token=1000ms timeout=14s # asked by Cy\n"
      "when path=/slack/* then pool=engines resume=never retries=0 rank=2 "
      "first_token=2000ms timeout=14s # asked by Di\n"
      "default then refuse # asked by Ed\n";
  static constexpr char kOneRank[] =
      "pool engines slots=64 memory=60000 hold=2000ms # asked by Ann\n"
      "when path=/stream/* then pool=engines resume=never retries=0 rank=1 "
      "first_token=900ms timeout=14s # asked by Bo\n"
      "default then refuse # asked by Ed\n";

  UrgencyFixture() { answer_time_spread_ = Milliseconds(2000); }

  static Stream Urgent(double per_second) {
    return {"/urgent/1", per_second, "", Milliseconds(800)};
  }
  static Stream Usual(double per_second) {
    return {"/usual/1", per_second, "", Milliseconds(1000)};
  }
  static Stream Slack(double per_second) {
    return {"/slack/1", per_second, "", Milliseconds(2000)};
  }
  // Refuses all further attempts of the request to get capacity.
  void RefuseUntilWaiting(const RequestId& id) {
    while (!dispatcher_.calls_.at(id).waiting_) {
      Reserve(id, false);
    }
  }
  void KeepRefusing(const RequestId& id, Milliseconds time) {
    for (const TimePoint end = now_ + time; now_ < end && !IsRefused(id);) {
      RefuseUntilWaiting(id);
      Pass(kTickInterval);
    }
  }
  // Requests in the order in which they were tried at the next opportunity.
  std::vector<RequestId> NextOrder() {
    order_.clear();
    Pass(kFullBackoff + kTickInterval);
    std::vector<RequestId> order;
    for (const RequestId& id : order_) {
      if (std::find(order.begin(), order.end(), id) == order.end()) {
        order.push_back(id);
      }
    }
    return order;
  }
  double TotalInTime() const {
    double total = 0;
    for (const Result& result : results_) {
      total += static_cast<double>(result.in_time_);
    }
    return total;
  }
};

BOOST_FIXTURE_TEST_SUITE(Urgency, UrgencyFixture)

// A burst at twice the capacity of 9.7 answers a second, with the mix of three
// classes of different targets.
BOOST_AUTO_TEST_CASE(Burst_WithThreeRanks_ServesTheMoreUrgentMore) {
  Configure(2, kRankedRules);
  SimulateLoad({Urgent(5), Usual(7), Slack(8)}, std::chrono::seconds(20));
  BOOST_TEST(results_[0].Share() >= 0.95);
  BOOST_TEST(results_[1].Share() >= results_[2].Share());
  BOOST_TEST(results_[2].in_time_ > 0U);
  BOOST_TEST(TotalInTime() >= 0.85 * 9.7 * 20);
}

// The most urgent class alone exceeds the capacity. The others get their least
// share, a tenth of what they would get without ranks: a tenth of 9.7 of 27
// requests.
BOOST_AUTO_TEST_CASE(Burst_WhenUrgentExceedsCapacity_LeavesOthersLeastShare) {
  Configure(2, kRankedRules);
  SimulateLoad({Urgent(12), Usual(7), Slack(8)}, std::chrono::seconds(20));
  BOOST_TEST(results_[0].Share() >= 0.6);
  BOOST_TEST(results_[1].Share() >= 0.036);
  BOOST_TEST(results_[2].Share() >= 0.036);
  BOOST_TEST(results_[0].Share() >= results_[1].Share());
}

// Callers that will not be served learn it early enough to go elsewhere.
BOOST_AUTO_TEST_CASE(Burst_WithThreeRanks_RefusesLeastUrgentWellBeforeTarget) {
  Configure(2, kRankedRules);
  SimulateLoad({Urgent(12), Usual(7), Slack(8)}, std::chrono::seconds(20));
  BOOST_TEST(results_[2].longest_wait_for_refusal_.count() <= 1000);
  const auto& counted = dispatcher_.counters_.refused_by_rank_;
  for (std::size_t rank = 0; rank < 3; ++rank) {
    BOOST_TEST(counted[rank] == results_[rank].refused_);
  }
}

// One organisation sends 5.8 times its load beside a burst.
BOOST_AUTO_TEST_CASE(Burst_OfOneOrganisation_DoesNotHoldUpOthers) {
  Configure(2, kOneRank, {"hot", "a", "b", "c"});
  SimulateLoad({{"/stream/1", 17.4, "hot"},
                {"/stream/1", 2, "a"},
                {"/stream/1", 2, "b"},
                {"/stream/1", 1, "c"}},
               std::chrono::seconds(20));
  for (const std::size_t other : {1U, 2U, 3U}) {
    BOOST_TEST(results_[other].Share() >= 0.95);
  }
  BOOST_TEST(TotalInTime() >= 0.9 * 9.7 * 20);
}

// Two entries without contact share the engines. One gets urgent requests and
// others, one only less urgent ones, for which it keeps no headroom. The urgent
// ones must still be served more than the others at the same entry, and at
// least half of them in time.
BOOST_AUTO_TEST_CASE(Burst_AtTwoEntriesWithoutContact_StillServesUrgentMore) {
  UrgencyFixture other;
  other.used_ = used_;
  Configure(2, kRankedRules);
  other.Configure(2, kRankedRules);
  BeginLoad({Urgent(4), Slack(6)}, std::chrono::seconds(20));
  other.BeginLoad({Slack(10)}, std::chrono::seconds(20));
  while (!IsLoadOver()) {
    AdvanceLoad();
    other.AdvanceLoad();
  }
  BOOST_TEST(results_[0].Share() >= 0.5);
  BOOST_TEST(results_[0].Share() > results_[1].Share());
  BOOST_TEST(results_[1].in_time_ > 0U);
  BOOST_TEST(TotalInTime() + other.TotalInTime() >= 0.8 * 9.7 * 20);
}

BOOST_AUTO_TEST_CASE(Load_WithThreeRanks_WhenItFits_IsServedWithoutRefusals) {
  Configure(2, kRankedRules);
  SimulateLoad({Urgent(1), Usual(2), Slack(3)}, std::chrono::seconds(20));
  BOOST_TEST(TotalInTime() == 120.0);
}

BOOST_AUTO_TEST_CASE(Waiting_WhenRanksDiffer_IsTriedByRank) {
  Configure(2, kRankedRules);
  const RequestId slack = Arrive("/slack/1");
  RefuseUntilWaiting(slack);
  const RequestId usual = Arrive("/usual/1");
  RefuseUntilWaiting(usual);
  const RequestId urgent = Arrive("/urgent/1");
  RefuseUntilWaiting(urgent);
  BOOST_TEST((NextOrder() == std::vector<RequestId>{urgent, usual, slack}));
}

// A new request must not take what those that wait already are about to get.
BOOST_AUTO_TEST_CASE(Request_WhenMoreUrgentOneWaits_DoesNotGetAhead) {
  Configure(2, kRankedRules);
  const RequestId urgent = Arrive("/urgent/1");
  RefuseUntilWaiting(urgent);
  now_ += kFullBackoff;
  const RequestId slack = Arrive("/slack/1");
  BOOST_TEST(Starts(slack, Stage::kReserve) == 0U);
  BOOST_TEST((NextOrder() == std::vector<RequestId>{urgent, slack}));
}

BOOST_AUTO_TEST_CASE(Engines_WhenRanksDiffer_AreToldTheRank) {
  Configure(2, kRankedRules);
  const RequestId id = Arrive("/slack/1");
  BOOST_TEST((Last(id).stage_ == Stage::kReserve));
  BOOST_TEST(Last(id).priority_.value_or(99) == 2U);
  Reserve(id, true);
  BOOST_TEST((Last(id).stage_ == Stage::kPrefill));
  BOOST_TEST(Last(id).priority_.value_or(99) == 2U);
  Prefill(id, true);
  BOOST_TEST((Last(id).stage_ == Stage::kDecode));
  BOOST_TEST(Last(id).priority_.value_or(99) == 2U);
}

BOOST_AUTO_TEST_CASE(Refusal_NamesRankAndCause) {
  Configure(2, kRankedRules);
  const RequestId id = Arrive("/slack/1");
  KeepRefusing(id, kMaxCapacityWait + kFullBackoff);
  BOOST_TEST(IsRefused(id));
  BOOST_TEST(Verdict(id).detail_ ==
             "pool engines has no free decode capacity for rank 2: it would "
             "begin late, and others can still begin in time");
  BOOST_TEST(FindDecision(dispatcher_, "r1")->reason_ ==
             "overloaded: " + Verdict(id).detail_);
}

// Deployments with one rank and no organisations are served as before.
BOOST_AUTO_TEST_CASE(Pool_WithOneRankAndNoOrganisations_UsesNoAdmission) {
  Configure(2, kOneRank);
  SimulateLoad({{"/stream/1", 20}}, std::chrono::seconds(20));
  BOOST_TEST(dispatcher_.admission_.empty());
  BOOST_TEST(dispatcher_.counters_.refused_by_rank_[1] == 0U);
  for (const auto& [id, starts] : starts_) {
    for (const StartAttempt& start : starts) {
      BOOST_TEST(!start.priority_.has_value());
    }
  }
  for (const core::LogEvent& log : logs_) {
    for (const core::LogField& field : log.fields_) {
      BOOST_TEST(field.key_ != "rank");
    }
  }
}

// The shortest first among those that can meet their target, whatever their
// order of arrival; new ones try at once although others wait; a shortage
// refuses late requests with the usual advice.
BOOST_AUTO_TEST_CASE(Pool_WithOneRankAndNoOrganisations_KeepsOrderAndRefusals) {
  Configure(2, kOneRank);
  const RequestId longer = Arrive("/stream/1", 5000, 900);
  RefuseUntilWaiting(longer);
  now_ += kFullBackoff;
  const RequestId shorter = Arrive("/stream/1", 1000, 50);
  BOOST_TEST(Starts(shorter, Stage::kReserve) == 1U);
  RefuseUntilWaiting(shorter);
  BOOST_TEST((NextOrder() == std::vector<RequestId>{shorter, longer}));
  RefuseUntilWaiting(shorter);
  KeepRefusing(longer, Milliseconds(900));
  BOOST_TEST(IsRefused(longer));
  BOOST_TEST(Verdict(longer).detail_ ==
             "pool engines has no free decode capacity");
  BOOST_TEST(Verdict(longer).retry_after_ >= kRetryAfterOverload * 3 / 4);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::dispatch
