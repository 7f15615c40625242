#define BOOST_TEST_MODULE memory
#include <boost/test/unit_test.hpp>

#include <utility>
#include <vector>

#include "siskindrum/memory/budget.h"
#include "siskindrum/memory/decision.h"

namespace siskindrum::memory {
namespace {

constexpr std::uint64_t kMegabyte = 1'000'000;
constexpr std::uint64_t kLimit = 100 * kMegabyte;
constexpr std::uint64_t kLongBody = 4 * 1024 * 1024;

BOOST_AUTO_TEST_SUITE(Memory)

// A charge that is lost or returned twice would make the budget drift.
BOOST_AUTO_TEST_CASE(Charges_WhenMovedAndDestroyed_AreReturnedOnce) {
  Budget budget(kLimit);
  {
    Charge first(&budget, Use::kCallerRequest, 10);
    Charge second = std::move(first);
    second.Resize(30);
    Charge third(&budget, Use::kStoreAnswer, 5);
    third = std::move(second);
    BOOST_TEST(budget.Used() == 30);
    BOOST_TEST(budget.Used(Use::kCallerRequest) == 30);
    BOOST_TEST(budget.Used(Use::kStoreAnswer) == 0);
  }
  BOOST_TEST(budget.Used() == 0);
  BOOST_TEST(budget.Peak() == 35U);
}

BOOST_AUTO_TEST_CASE(BudgetFor_WhenThereIsALimit_LeavesTheFixedPart) {
  BOOST_TEST(BudgetFor(0) == 0);
  std::uint64_t last = 0;
  for (std::uint64_t megabytes = 1; megabytes <= 1024; ++megabytes) {
    const std::uint64_t limit = BudgetFor(megabytes * kMegabyte);
    BOOST_TEST(limit > 0);
    BOOST_TEST(limit >= last);
    BOOST_TEST(limit < megabytes * kMegabyte);
    last = limit;
  }
}

// Long requests must not displace the short ones beside them.
BOOST_AUTO_TEST_CASE(Request_WhenLongOnesFillTheirPart_IsTakenIfShort) {
  Budget budget(kLimit);
  std::vector<Charge> held;
  while (DecideRequest(&budget, 0, kLongBody) == Decision::kAdmit) {
    held.emplace_back(&budget, Use::kCallerRequest, kLongBody);
  }
  BOOST_TEST(held.size() > 1);
  BOOST_TEST((DecideRequest(&budget, 0, kSmallBytes) == Decision::kAdmit));
  while (DecideRequest(&budget, 0, kSmallBytes) == Decision::kAdmit) {
    held.emplace_back(&budget, Use::kCallerRequest, kSmallBytes);
  }
  BOOST_TEST(budget.Used() < kLimit);
  BOOST_TEST(
      (DecideWholeAnswer(&budget, 0, kMaxBacklogBytes) == Decision::kAdmit));
}

// A body in chunks announces no length, so it must not pass as a short one.
BOOST_AUTO_TEST_CASE(Request_WhenItGrowsPastASmallOne_CountsAsLong) {
  Budget budget(kLimit);
  const Charge others(&budget, Use::kCallerRequest, 70 * kMegabyte);
  BOOST_TEST((DecideRequest(&budget, kSmallBytes - 1, 1) == Decision::kAdmit));
  BOOST_TEST((DecideRequest(&budget, kSmallBytes, 1) == Decision::kRefuse));
}

BOOST_AUTO_TEST_CASE(Request_WhenItsLengthOverflows_IsRefused) {
  Budget budget(kLimit);
  BOOST_TEST((DecideRequest(&budget, 0, UINT64_MAX) == Decision::kRefuse));
  BOOST_TEST((DecideRequest(&budget, UINT64_MAX, kLimit) == Decision::kRefuse));
}

// An answer without backlog has to go on, or nothing held is ever returned.
BOOST_AUTO_TEST_CASE(Answer_WhenTheBudgetIsUsedUp_IsReadOnlyWithoutBacklog) {
  Budget budget(kLimit);
  BOOST_TEST((DecideAnswerRead(&budget, kMaxBacklogBytes) == Decision::kAdmit));
  BOOST_TEST(
      (DecideAnswerRead(&budget, kMaxBacklogBytes + 1) == Decision::kPause));
  const Charge others(&budget, Use::kCallerAnswer, 2 * kLimit);
  BOOST_TEST((DecideAnswerRead(&budget, 0) == Decision::kAdmit));
  BOOST_TEST((DecideAnswerRead(&budget, 1) == Decision::kPause));
  BOOST_TEST((DecideWholeAnswer(&budget, 0, kSmallBytes) == Decision::kAdmit));
  BOOST_TEST((DecideWholeAnswer(&budget, kSmallBytes, 1) == Decision::kRefuse));
}

BOOST_AUTO_TEST_CASE(Decisions_WithoutALimit_AdmitAllButALongBacklog) {
  Budget budget;
  const Charge others(&budget, Use::kCallerRequest, 1ULL << 40U);
  BOOST_TEST((DecideRequest(&budget, 0, 1ULL << 40U) == Decision::kAdmit));
  BOOST_TEST((DecideAnswerRead(&budget, kMaxBacklogBytes) == Decision::kAdmit));
  BOOST_TEST((DecideWholeAnswer(&budget, 1ULL << 40U, 1) == Decision::kAdmit));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::memory
