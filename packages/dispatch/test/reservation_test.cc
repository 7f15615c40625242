#include <boost/test/unit_test.hpp>

#include <cmath>
#include <random>

#include "dispatcher_fixture.h"

namespace siskindrum::dispatch {
namespace {

// Answers whose lengths scatter around their callers' expectation by a factor
// of about 1.6. An engine with full memory stops an answer that outgrows its
// reservation and reads its prompt again, which its caller sees as a pause.
struct ReservationFixture : DispatcherFixture {
  static constexpr std::uint32_t kExpected = 700;
  static constexpr std::uint32_t kEventTokens = 10;
  static constexpr double kLogDeviation = 0.5;

  ReservationFixture() {
    std::string rules = kRules;
    const std::string pool = "memory=60000";
    rules.replace(rules.find(pool), pool.size(), pool + " event=10");
    Configure(2, rules);
  }
  // Serves requests one after another; returns how many answers were longer
  // than the tokens reserved for them.
  int ServeAndCountOutgrown(int requests) {
    int outgrown = 0;
    for (int i = 0; i < requests; ++i) {
      const double tokens = kExpected * std::exp(scatter_(random_));
      const RequestId id = Arrive("/stream/1", kPrompt, kExpected);
      const std::uint32_t reserved = Last(id).hold_tokens_ - kPrompt;
      Reserve(id, true);
      Prefill(id, true);
      Begin(id);
      Done(id, AttemptOutcome::kDelivered, RunState::kRan,
           static_cast<std::uint64_t>(tokens / kEventTokens) + 1);
      outgrown += tokens > reserved ? 1 : 0;
    }
    return outgrown;
  }

  static constexpr std::uint32_t kPrompt = 5000;
  std::mt19937 random_{5};
  std::normal_distribution<double> scatter_{0, kLogDeviation};
};

BOOST_FIXTURE_TEST_SUITE(Reservations, ReservationFixture)

BOOST_AUTO_TEST_CASE(Answers_WhenTheirLengthsScatter_SeldomOutgrowTheirs) {
  ServeAndCountOutgrown(200);
  constexpr int kRequests = 2000;
  // At most 3 % of all prompts may be read twice.
  BOOST_TEST(ServeAndCountOutgrown(kRequests) < 0.03 * kRequests);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::dispatch
