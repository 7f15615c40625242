#include <boost/test/unit_test.hpp>

#include "overload_fixture.h"

namespace siskindrum::dispatch {
namespace {

BOOST_FIXTURE_TEST_SUITE(Overload, OverloadFixture)

BOOST_AUTO_TEST_CASE(Burst_AtTwiceTheCapacity_ServesTheCapacityInTime) {
  SimulateLoad({{"/stream/1", 20.0}}, std::chrono::seconds(12));
  // Thirty slots for 3.1 s each serve 9.7 answers a second.
  const double capacity = 9.7 * 12;
  BOOST_TEST(static_cast<double>(results_[0].in_time_) >= 0.9 * capacity);
  // Slots go to callers that can meet their target; few others get one.
  BOOST_TEST(results_[0].late_ * 10 <= results_[0].in_time_);
}

BOOST_AUTO_TEST_CASE(Burst_WhenItCannotBeServed_IsRefusedSoon) {
  SimulateLoad({{"/stream/1", 20.0}}, std::chrono::seconds(12));
  BOOST_TEST(results_[0].refused_ > 0U);
  // No caller waits for its refusal beyond the first-token target.
  BOOST_TEST((results_[0].longest_wait_for_refusal_ <= kTarget));
  for (const auto& [id, verdict] : refused_) {
    BOOST_TEST((verdict.run_state_ == RunState::kNotRun));
    BOOST_TEST(verdict.retry_after_.count() > 0);
  }
}

BOOST_AUTO_TEST_CASE(Load_WhenItFits_IsServedInTimeWithoutRefusals) {
  SimulateLoad({{"/stream/1", 8.0}}, std::chrono::seconds(20));
  BOOST_TEST(results_[0].in_time_ == results_[0].arrived_);
  BOOST_TEST(results_[0].refused_ == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::dispatch
