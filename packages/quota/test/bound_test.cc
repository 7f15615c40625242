#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "quota_fleet.h"

namespace siskindrum::quota {
namespace {

core::Quota Requests(double rate, double burst) {
  return {rate, burst, core::QuotaUnit::kRequests, 0};
}

// Steps in which every entry spends all that it gets.
void SpendAll(QuotaFleet& fleet, Milliseconds time, std::size_t entries) {
  for (const TimePoint end = fleet.now_ + time; fleet.now_ < end;) {
    fleet.Step();
    for (std::size_t i = 0; i < entries; ++i) {
      while (fleet.entries_[i].running_ && fleet.Spend(i, 1)) {
      }
    }
  }
}

double SpentSince(const QuotaFleet& fleet, TimePoint since) {
  double sum = 0;
  for (const auto& spent : fleet.spent_) {
    sum += spent.at_ >= since ? spent.cost_ : 0;
  }
  return sum;
}

BOOST_AUTO_TEST_SUITE(Bound)

// The bound is that of one bucket, with a debt of one request an entry. Slack
// beyond that, and overshoot, are left out so that any doubled share shows.
BOOST_AUTO_TEST_CASE(Spending_UnderAnyFaults_StaysWithinOneBucket) {
  BOOST_TEST(rc::check("spending in any window", [] {
    const auto entries = *rc::gen::inRange<std::size_t>(2, 6);
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    QuotaFleet fleet(entries, Requests(50, 100));
    fleet.bounds_ = {Milliseconds(8000), 0, static_cast<double>(entries)};
    for (std::size_t i = 0; i < entries; ++i) {
      fleet.Start(i, true);
      SetEntryCount(fleet.entries_[i].state_, entries, fleet.now_);
    }
    std::mt19937 random(seed);
    const auto draw = [&random](std::size_t below) {
      return std::uniform_int_distribution<std::size_t>(0, below - 1)(random);
    };
    bool cut = false;
    fleet.copies_ = [&](std::size_t a, std::size_t b) {
      return cut && a % 2 != b % 2 ? 0 : static_cast<int>(draw(3));
    };
    // Some messages are delivered after every term has ended.
    fleet.delay_ = [&] {
      return Milliseconds(draw(8) == 0 ? draw(9000) : draw(20));
    };
    std::vector<TimePoint> owns_at(entries, TimePoint{});
    for (int step = 0; step < 60; ++step) {
      const std::size_t who = draw(entries);
      switch (draw(6)) {
        case 0:  // Killed and started again.
          fleet.Start(who, false);
          owns_at[who] = fleet.now_ + Milliseconds(8000);
          break;
        case 1:  // Paused, or woken.
          fleet.entries_[who].running_ = !fleet.entries_[who].running_;
          break;
        case 2:
          cut = !cut;
          break;
        default:
          break;
      }
      const std::size_t busy = draw(entries);
      for (const TimePoint end = fleet.now_ + Milliseconds(400);
           fleet.now_ < end;) {
        fleet.Step();
        for (std::size_t i = 0; i < entries; ++i) {
          if (fleet.entries_[i].running_ && owns_at[i] != TimePoint{} &&
              fleet.now_ >= owns_at[i]) {
            SetEntryCount(fleet.entries_[i].state_, entries, fleet.now_);
          }
        }
        QuotaState& state = fleet.entries_[busy].state_;
        if (fleet.entries_[busy].running_) {
          fleet.Spend(busy, 1);
          while (fleet.Spend(busy, 1, false)) {
          }
          AddWaiting(state, QuotaFleet::kName, 1);
          fleet.Ask(busy);
          AddWaiting(state, QuotaFleet::kName, -1);
        }
      }
      RC_ASSERT(fleet.SharesInUse() <= kWholePpm);
    }
    // What is on its way when a window begins comes on top of the bucket: at
    // most what entries gain in the term of a short loan.
    const double moving =
        fleet.quota_.rate_per_second_ * kShortLoanTerm.count() / 1000.0;
    RC_ASSERT(fleet.MostInAWindow() <= fleet.Bound() + moving);
  }));
}

// Spends all that entry 0 gets, with a request that waits all the time.
void DrainAtOne(QuotaFleet& fleet, Milliseconds time) {
  for (const TimePoint end = fleet.now_ + time; fleet.now_ < end;) {
    fleet.Step();
    while (fleet.Spend(0, 1)) {
    }
    AddWaiting(fleet.entries_[0].state_, QuotaFleet::kName, 1);
    fleet.Ask(0);
    AddWaiting(fleet.entries_[0].state_, QuotaFleet::kName, -1);
    BOOST_REQUIRE(fleet.SharesInUse() <= kWholePpm);
  }
}

QuotaFleet WithoutSlack(std::size_t entries) {
  QuotaFleet fleet(entries, Requests(100, 100));
  fleet.bounds_ = {Milliseconds(8000), 0, 0};
  for (std::size_t i = 0; i < entries; ++i) {
    fleet.Start(i, true);
    SetEntryCount(fleet.entries_[i].state_, entries, fleet.now_);
  }
  return fleet;
}

BOOST_AUTO_TEST_CASE(Loans_WhenDeliveredTwice_CountOnce) {
  QuotaFleet fleet = WithoutSlack(4);
  fleet.copies_ = [](std::size_t, std::size_t) { return 2; };
  DrainAtOne(fleet, Milliseconds(10'000));
  BOOST_TEST(fleet.MostInAWindow() <= fleet.Bound() + 4);
}

BOOST_AUTO_TEST_CASE(Loans_WhenTheyArriveLate_EndWithTheTermOfTheirAsk) {
  QuotaFleet fleet = WithoutSlack(4);
  fleet.delay_ = [] { return Milliseconds(2000); };
  DrainAtOne(fleet, Milliseconds(30'000));
  BOOST_TEST(fleet.MostInAWindow() <= fleet.Bound() + 4);
}

// Both processes number their asks from one.
BOOST_AUTO_TEST_CASE(Loan_ForAnEarlierProcess_IsDropped) {
  QuotaFleet fleet = WithoutSlack(2);
  fleet.delay_ = [] { return Milliseconds(500); };
  DrainAtOne(fleet, Milliseconds(900));
  fleet.Start(0, false);
  for (int i = 0; i < 100; ++i) {
    fleet.Spend(0, 1);
  }
  fleet.Ask(0);
  BOOST_REQUIRE(fleet.entries_[0].state_.pending_.contains(1));
  for (int ms = 0; ms < 300; ++ms) {
    fleet.Step();
  }
  BOOST_TEST(fleet.entries_[0].state_.counters_.loans_late_ >= 1U);
  BOOST_TEST(
      FindAccount(fleet.entries_[0].state_, QuotaFleet::kName)->taken_.empty());
}

// The quota of a part is what its entries own; nothing is used twice.
BOOST_AUTO_TEST_CASE(Fleet_WhenCutInTwo_KeepsTheBoundAndServesBothParts) {
  QuotaFleet fleet(6, Requests(60, 60));
  fleet.bounds_.slack_ = 0;
  SpendAll(fleet, Milliseconds(10'000), 1);
  fleet.copies_ = [](std::size_t a, std::size_t b) {
    return (a < 3) == (b < 3) ? 1 : 0;
  };
  SpendAll(fleet, Milliseconds(8'000), 6);
  const TimePoint parted = fleet.now_;
  SpendAll(fleet, Milliseconds(10'000), 6);
  BOOST_TEST(SpentSince(fleet, parted) >= 0.97 * 600);
  BOOST_TEST(fleet.MostInAWindow() <= fleet.Bound() + 6);
}

// A lender that was restarted has forgotten its loans.
BOOST_AUTO_TEST_CASE(Entry_WhenRestarted_BorrowsBeforeItOwnsItsShare) {
  QuotaFleet fleet(4, Requests(40, 40));
  SpendAll(fleet, Milliseconds(10'000), 1);
  fleet.Start(0, false);
  BOOST_TEST(!fleet.Spend(0, 1));
  SpendAll(fleet, Milliseconds(7'000), 1);
  const TimePoint borrowed = fleet.now_;
  SpendAll(fleet, Milliseconds(1'000), 1);
  BOOST_TEST(SpentSince(fleet, borrowed) >= 20);
  BOOST_TEST(fleet.SharesInUse() <= kWholePpm);
}

// Failure: a lender is restarted while its loan runs. The loan must have ended
// when the lender owns its share again, and none of it may be taken later.
BOOST_AUTO_TEST_CASE(Loan_WhenItsLenderIsRestarted_EndsBeforeTheRelease) {
  QuotaFleet fleet(4, Requests(40, 40));
  for (int step = 0; step < 10'000; ++step) {
    fleet.Step();
    if (step % 50 == 0) {
      fleet.Spend(1, 1);
    }
  }
  const auto loans_of_restarted = [&fleet] {
    std::size_t count = 0;
    for (const auto& [key, account] : fleet.entries_[1].state_.accounts_) {
      for (const auto& [lender, loan] : account.taken_) {
        count += lender.first == QuotaFleet::NameOf(0) ? 1 : 0;
      }
    }
    return count;
  };
  BOOST_REQUIRE(loans_of_restarted() > 0U);
  fleet.Start(0, false);
  QuotaState& restarted = fleet.entries_[0].state_;
  BOOST_TEST(!IsReleased(restarted, 4));
  const std::vector<std::string> peers = {
      QuotaFleet::NameOf(1), QuotaFleet::NameOf(2), QuotaFleet::NameOf(3)};
  for (OutgoingAsk& asked : PlanReleaseAsks(restarted, peers, fleet.now_)) {
    fleet.Send(0, asked.lender_, std::move(asked.ask_));
  }
  for (int step = 0; step < 100 && !IsReleased(restarted, 4); ++step) {
    fleet.Step();
  }
  BOOST_TEST(IsReleased(restarted, 4));
  BOOST_TEST(loans_of_restarted() == 0U);
  BOOST_TEST(fleet.SharesInUse() <= kWholePpm);
}

BOOST_AUTO_TEST_CASE(Limit_WhenLoweredAndRaised_BindsAtOnce) {
  QuotaFleet fleet(4, Requests(400, 400));
  SpendAll(fleet, Milliseconds(5'000), 1);
  fleet.Limit(Requests(40, 40));
  const TimePoint lowered = fleet.now_;
  SpendAll(fleet, Milliseconds(8'000), 4);
  BOOST_TEST(SpentSince(fleet, lowered) <=
             fleet.Bound() - fleet.bounds_.slack_);
  fleet.Limit(Requests(400, 400));
  const TimePoint raised = fleet.now_;
  SpendAll(fleet, Milliseconds(8'000), 4);
  BOOST_TEST(SpentSince(fleet, raised) >= 0.97 * 3200);
}

// Each entry could else owe the whole slack.
BOOST_AUTO_TEST_CASE(Debt_OfAllEntries_StaysWithinTheSlack) {
  QuotaFleet fleet(4, {1000, 1000, core::QuotaUnit::kTokens, 0});
  fleet.bounds_ = {Milliseconds(8000), 0, 8000};
  for (std::size_t i = 0; i < 4; ++i) {
    fleet.Start(i, true);
    SetEntryCount(fleet.entries_[i].state_, 4, fleet.now_);
    fleet.Spend(i, 5000);
    fleet.Spend(i, 2000);
  }
  BOOST_TEST(fleet.spent_.size() == 4U);
  BOOST_TEST(fleet.MostInAWindow() <= 9000);
}

BOOST_AUTO_TEST_CASE(Charge_WhenRefunded_CanBeUsedAgain) {
  QuotaFleet fleet(1, Requests(1, 3));
  fleet.bounds_ = {};
  fleet.Start(0, true);
  SetEntryCount(fleet.entries_[0].state_, 1, fleet.now_);
  while (fleet.Spend(0, 1)) {
  }
  Refund(fleet.entries_[0].state_, QuotaFleet::kName, 1, fleet.now_);
  BOOST_TEST(fleet.Spend(0, 1));
  BOOST_TEST(!fleet.Spend(0, 1));
}

// A rest of the sum would keep this entry from lending for good.
BOOST_AUTO_TEST_CASE(WaitingCosts_WhenAllAreFractionalAndLeave_AddUpToNone) {
  QuotaFleet fleet(1, Requests(1, 3));
  fleet.bounds_ = {};
  fleet.Start(0, true);
  QuotaState& state = fleet.entries_[0].state_;
  SetEntryCount(state, 1, fleet.now_);
  fleet.Spend(0, 1);
  for (const double cost : {0.1, 0.7, 0.2}) {
    AddWaiting(state, QuotaFleet::kName, cost);
  }
  BOOST_TEST(state.urgent_.size() == 1U);
  for (const double cost : {0.1, 0.7, 0.2}) {
    AddWaiting(state, QuotaFleet::kName, -cost);
  }
  BOOST_TEST(state.urgent_.empty());
}

// Such a request fits no base share.
BOOST_AUTO_TEST_CASE(Request_AsLargeAsTheBurst_IsAdmittedAtALoneEntry) {
  QuotaFleet fleet(26, {1000, 30'000, core::QuotaUnit::kTokens, 0});
  fleet.bounds_ = {Milliseconds(8000), 0, 0};
  for (std::size_t i = 0; i < 26; ++i) {
    fleet.Start(i, true);
    SetEntryCount(fleet.entries_[i].state_, 26, fleet.now_);
  }
  bool admitted = false;
  for (int attempt = 0; attempt < 100 && !admitted; ++attempt) {
    admitted = fleet.Spend(0, 30'000, attempt == 0);
    AddWaiting(fleet.entries_[0].state_, QuotaFleet::kName, 30'000);
    for (int ms = 0; ms < 50 && !admitted; ++ms) {
      fleet.Ask(0);
      fleet.Step();
      admitted = fleet.Spend(0, 30'000, false);
    }
    AddWaiting(fleet.entries_[0].state_, QuotaFleet::kName, -30'000);
    for (int ms = 0; ms < 1000; ++ms) {
      fleet.Step();
    }
  }
  BOOST_TEST(admitted);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::quota
