// Unit tests of the smaller components of the core.

#include <boost/test/unit_test.hpp>

#include "siskindrum/core/configuration.h"
#include "siskindrum/core/delivery.h"
#include "siskindrum/core/fleet.h"
#include "siskindrum/core/hash.h"
#include "siskindrum/core/limit.h"
#include "siskindrum/core/limits.h"
#include "siskindrum/core/membership.h"
#include "siskindrum/core/queue.h"
#include "siskindrum/core/rule.h"
#include "siskindrum/core/verdict.h"

namespace siskindrum::core {
namespace {

constexpr TimePoint kNow = TimePoint{} + std::chrono::hours(1);

BOOST_AUTO_TEST_SUITE(Parts)

BOOST_AUTO_TEST_CASE(MaxState_WhenAnySideMayHaveRun_NeverMovesBack) {
  BOOST_TEST((MaxState(RunState::kNotRun, RunState::kMayHaveRun) ==
              RunState::kMayHaveRun));
  BOOST_TEST((MaxState(RunState::kRan, RunState::kNotRun) == RunState::kRan));
}

BOOST_AUTO_TEST_CASE(MatchesPattern_WhenStarsAtEnds_CoversTheRest) {
  BOOST_TEST(MatchesPattern("", "x"));
  BOOST_TEST(MatchesPattern("*", ""));
  BOOST_TEST(MatchesPattern("shop-*", "shop-1"));
  BOOST_TEST(!MatchesPattern("shop-*", "store-1"));
  BOOST_TEST(MatchesPattern("*-desk", "order-desk"));
  BOOST_TEST(MatchesPattern("*book*", "/desk/bookings"));
  BOOST_TEST(!MatchesPattern("exact", "exactly"));
}

BOOST_AUTO_TEST_CASE(ParseRequestId_WhenWritten_ReadsItBack) {
  const RequestId id{0xABCDEF0123456789ULL, 42};
  RequestId read;
  BOOST_TEST(ParseRequestId(ToString(id), &read));
  BOOST_TEST((read == id));
  for (const char* bad : {"", "-", "12", "12-", "-12", "xy-1", "1-1x"}) {
    BOOST_TEST(!ParseRequestId(bad, &read), bad);
  }
}

BOOST_AUTO_TEST_CASE(AcceptToken_WhenLateDoubledOrCrossed_DropsAndCounts) {
  DeliveryCursor cursor;
  cursor.request_ = {1, 1};
  cursor.attempt_ = 2;
  cursor.next_position_ = 5;
  const auto accept = [&](RequestId id, std::uint32_t attempt,
                          std::uint32_t position) {
    return AcceptToken(cursor, {id, attempt, position});
  };
  BOOST_TEST((accept({1, 2}, 2, 5) == DeliveryDecision::kDrop));
  BOOST_TEST((accept({1, 1}, 1, 5) == DeliveryDecision::kDrop));
  BOOST_TEST((accept({1, 1}, 2, 4) == DeliveryDecision::kDrop));
  BOOST_TEST((accept({1, 1}, 2, 6) == DeliveryDecision::kGap));
  BOOST_TEST((accept({1, 1}, 2, 5) == DeliveryDecision::kDeliver));
  BOOST_TEST((accept({1, 1}, 2, 5) == DeliveryDecision::kDrop));
  BOOST_TEST(cursor.dropped_other_request_ == 1U);
  BOOST_TEST(cursor.dropped_other_attempt_ == 1U);
  BOOST_TEST(cursor.dropped_duplicate_ == 2U);
}

BOOST_AUTO_TEST_CASE(RendezvousPick_WhenOneLeaves_MovesOnlyItsKeys) {
  const std::vector<std::string> all = {"a", "b", "c", "d", "e"};
  const std::vector<std::string> left = {"a", "b", "d", "e"};
  int moved = 0;
  for (int i = 0; i < 1000; ++i) {
    const std::string key = "cell" + std::to_string(i);
    const std::string& before =
        all[static_cast<std::size_t>(RendezvousPick(key, all))];
    const std::string& after =
        left[static_cast<std::size_t>(RendezvousPick(key, left))];
    moved += before != after ? 1 : 0;
    BOOST_TEST((before == after || before == "c"));
  }
  BOOST_TEST(moved > 100);
  BOOST_TEST(moved < 300);
}

BOOST_AUTO_TEST_CASE(TryAcquireRetry_WhenAllRequestsFail_StaysUnderATenth) {
  RetryBudget budget;
  int retries = 0;
  for (int i = 0; i < 10000; ++i) {
    CreditRetryBudget(budget);
    retries += TryAcquireRetry(budget) ? 1 : 0;
  }
  BOOST_TEST(retries <= 1000 + kRetryBudgetBurst);
  BOOST_TEST(budget.denied_ > 8000U);
}

BOOST_AUTO_TEST_CASE(TryAcquireRequest_WhenSharedByFour_GivesAQuarter) {
  OrganisationRateLimits limits;
  int taken = 0;
  for (int ms = 0; ms < 10000; ms += 5) {
    taken += TryAcquireRequest(limits, "shop", 40, 4, kNow + Milliseconds(ms));
  }
  BOOST_TEST(taken >= 100);
  BOOST_TEST(taken <= 111);
}

QueuedRequest MakeWaiting(std::uint64_t number,
                          const std::string& organisation,
                          Priority priority = Priority::kNormal) {
  QueuedRequest waiting;
  waiting.need_.request_ = {1, number};
  waiting.need_.organisation_ = organisation;
  waiting.need_.priority_ = priority;
  waiting.since_ = kNow;
  return waiting;
}

BOOST_AUTO_TEST_CASE(NextWaiting_WhenOneOrganisationFloods_ServesOthersFairly) {
  WaitQueue queue;
  std::uint64_t number = 0;
  for (int i = 0; i < 100; ++i) {
    Enqueue(queue, MakeWaiting(++number, "flood"));
  }
  for (int i = 0; i < 5; ++i) {
    Enqueue(queue, MakeWaiting(++number, "small"));
  }
  int small = 0;
  for (int i = 0; i < 11; ++i) {
    small +=
        Dequeue(queue, NextWaiting(queue, kNow)).need_.organisation_ == "small";
  }
  BOOST_TEST(small == 5);
}

BOOST_AUTO_TEST_CASE(NextWaiting_WhenLowPriorityIsOld_DoesNotStarve) {
  WaitQueue queue;
  Enqueue(queue, MakeWaiting(1, "a", Priority::kLow));
  Enqueue(queue, MakeWaiting(2, "b", Priority::kHigh));
  BOOST_TEST(NextWaiting(queue, kNow) == 1);
  Dequeue(queue, 1);
  const TimePoint later = kNow + std::chrono::seconds(10);
  QueuedRequest newer = MakeWaiting(3, "b", Priority::kHigh);
  newer.since_ = later;
  Enqueue(queue, newer);
  BOOST_TEST(NextWaiting(queue, later) == 0);
}

struct FleetFixture {
  Fleet fleet_;
  std::string cell_;

  FleetFixture() {
    UpdateServers(fleet_,
                  {{"p", "p:1", "svc", "d", ServerRole::kPrefill, false},
                   {"x", "x:1", "svc", "d", ServerRole::kDecode, false},
                   {"y", "y:1", "svc", "d", ServerRole::kDecode, false}});
    AssignHomes(fleet_, {{"me", "d"}});
    cell_ = fleet_.cells_.begin()->first;
    LoadReport report;
    report.slots_ = 2;
    report.total_pieces_ = 10;
    for (const char* name : {"p", "x", "y"}) {
      ApplyLoadReport(fleet_, name, report, kNow);
    }
  }
  Requirements MakeNeed(std::uint64_t number) const {
    Requirements need;
    need.request_ = {1, number};
    need.prompt_tokens_ = 100;
    need.pieces_ = 1;
    need.prefer_ = Preference::kWaste;
    need.deadline_ = kNow + std::chrono::seconds(10);
    return need;
  }
};

BOOST_FIXTURE_TEST_CASE(Place_WhenEverySlotIsHeld_ReturnsNoDecodeSlot,
                        FleetFixture) {
  std::map<std::string, int> used;
  for (std::uint64_t i = 1; i <= 4; ++i) {
    const auto placement = Place(fleet_, cell_, MakeNeed(i), kNow);
    BOOST_REQUIRE(placement.has_value());
    ++used[placement->decode_];
  }
  BOOST_TEST(used["x"] == 2);
  BOOST_TEST(used["y"] == 2);
  const auto full = Place(fleet_, cell_, MakeNeed(5), kNow);
  BOOST_REQUIRE(!full.has_value());
  BOOST_TEST((full.error() == PlacementError::kNoDecodeSlot));
  ReleaseSlot(fleet_, "x", {1, 1}, kNow);
  ReleaseSlot(fleet_, "y", {1, 1}, kNow);
  BOOST_TEST(Place(fleet_, cell_, MakeNeed(5), kNow).has_value());
}

BOOST_FIXTURE_TEST_CASE(Place_WhenMemoryIsShort_LooksElsewhere, FleetFixture) {
  Requirements large = MakeNeed(1);
  large.pieces_ = 9;
  const auto first = Place(fleet_, cell_, large, kNow);
  large.request_ = {1, 2};
  const auto second = Place(fleet_, cell_, large, kNow);
  BOOST_REQUIRE(first.has_value() && second.has_value());
  BOOST_TEST(first->decode_ != second->decode_);
  large.request_ = {1, 3};
  BOOST_TEST(!Place(fleet_, cell_, large, kNow).has_value());
}

BOOST_FIXTURE_TEST_CASE(Place_WhenTargetCannotBeMet_ReturnsTooLate,
                        FleetFixture) {
  Requirements need = MakeNeed(1);
  need.prompt_tokens_ = 2'000'000;
  const auto placement = Place(fleet_, cell_, need, kNow);
  BOOST_REQUIRE(!placement.has_value());
  BOOST_TEST((placement.error() == PlacementError::kTooLate));
}

BOOST_FIXTURE_TEST_CASE(Place_WhenServerIsLeaving_GivesItNothing,
                        FleetFixture) {
  LoadReport report;
  report.slots_ = 2;
  report.draining_ = true;
  ApplyLoadReport(fleet_, "x", report, kNow);
  for (std::uint64_t i = 1; i <= 2; ++i) {
    const auto placement = Place(fleet_, cell_, MakeNeed(i), kNow);
    BOOST_REQUIRE(placement.has_value());
    BOOST_TEST(placement->decode_ == "y");
  }
  BOOST_TEST(!Place(fleet_, cell_, MakeNeed(3), kNow).has_value());
}

BOOST_FIXTURE_TEST_CASE(UpdateServers_WhenListIsEmpty_KeepsWhatIsKnown,
                        FleetFixture) {
  BOOST_TEST(!UpdateServers(fleet_, {}));
  BOOST_TEST(fleet_.servers_.size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(
    ApplyLoadReport_WhenReportIsLate_DoesNotCountReleasedHolds,
    FleetFixture) {
  Place(fleet_, cell_, MakeNeed(1), kNow);
  const std::string server = fleet_.servers_.at("x").holds_.empty() ? "y" : "x";
  ReleaseSlot(fleet_, server, {1, 1}, kNow);
  LoadReport report;
  report.slots_ = 2;
  report.running_ = 2;
  report.held_ = {{{1, 1}, "me", {}}, {{9, 9}, "other", {}}};
  ApplyLoadReport(fleet_, server, report, kNow);
  BOOST_TEST(FreeSlots(fleet_.servers_.at(server)) == 1);
}

BOOST_AUTO_TEST_CASE(OfferConfiguration_WhenOlder_NeverReverts) {
  const auto make = [](std::uint64_t revision, std::uint64_t digest) {
    auto made = std::make_shared<Configuration>();
    made->revision_ = revision;
    made->digest_ = digest;
    return made;
  };
  ConfigurationState state;
  BOOST_TEST(
      (OfferConfiguration(state, make(5, 1), kNow) == OfferOutcome::kTaken));
  BOOST_TEST(
      (OfferConfiguration(state, make(4, 1), kNow) == OfferOutcome::kOlder));
  BOOST_TEST(
      (OfferConfiguration(state, make(5, 1), kNow) == OfferOutcome::kSame));
  BOOST_TEST(
      (OfferConfiguration(state, make(5, 2), kNow) == OfferOutcome::kConflict));
  state.heard_revision_ = 8;
  BOOST_TEST((OfferConfiguration(state, make(7, 1), kNow) ==
              OfferOutcome::kBehindPeers));
  BOOST_TEST(
      (OfferConfiguration(state, make(8, 1), kNow) == OfferOutcome::kTaken));
  BOOST_TEST(state.current_->revision_ == 8U);
}

BOOST_AUTO_TEST_CASE(MergeRows_WhenAnOlderIncarnationSpeaks_IgnoresIt) {
  Membership membership;
  membership.self_.name_ = "me";
  membership.self_.incarnation_ = 50;
  MemberRow row;
  row.name_ = "other";
  row.incarnation_ = 20;
  row.counter_ = 1;
  BOOST_TEST(MergeRows(membership, {row}, kNow));
  BOOST_TEST(IsReplacedIncarnation(membership, "other", 19));
  BOOST_TEST(!IsReplacedIncarnation(membership, "other", 20));
  row.incarnation_ = 19;
  row.counter_ = 100;
  BOOST_TEST(!MergeRows(membership, {row}, kNow));
  row.name_ = "me";
  row.incarnation_ = 51;
  MergeRows(membership, {row}, kNow);
  BOOST_TEST(membership.replaced_);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::core
