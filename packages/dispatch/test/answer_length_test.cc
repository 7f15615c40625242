#include <boost/test/unit_test.hpp>

#include <cmath>
#include <random>

#include "siskindrum/dispatch/answer_length.h"

namespace siskindrum::dispatch {
namespace {

// Answers whose lengths scatter about a middle, told ahead by callers that are
// right in the middle and often far off.
struct AnswerLengthFixture {
  static constexpr double kMiddle = 5000;
  static constexpr double kSpread = 0.5;  // Of the logarithm, of both.

  std::uint32_t Draw(double middle) {
    std::normal_distribution<double> part(0, kSpread);
    return static_cast<std::uint32_t>(middle * std::exp(part(random_)));
  }
  void Learn(int answers) {
    for (int i = 0; i < answers; ++i) {
      const std::uint32_t actual = Draw(kMiddle);
      RecordAnswerLength(lengths_, Draw(actual), actual);
    }
  }
  // Part of new answers that stay within what is expected.
  double Within(double deviations) {
    constexpr int kAnswers = 4000;
    int within = 0;
    for (int i = 0; i < kAnswers; ++i) {
      const std::uint32_t actual = Draw(kMiddle);
      const std::uint32_t told = Draw(actual);
      within += actual <= EstimateLength(lengths_, told, deviations) ? 1 : 0;
    }
    return static_cast<double>(within) / kAnswers;
  }

  std::mt19937_64 random_{7};
  AnswerLengthStats lengths_;
};

BOOST_FIXTURE_TEST_SUITE(AnswerLength, AnswerLengthFixture)

BOOST_AUTO_TEST_CASE(Length_BeforeAnyAnswer_IsWhatTheCallerExpects) {
  BOOST_TEST(EstimateLength(lengths_, 700, 0) == 700U);
  BOOST_TEST(EstimateLength(lengths_, 700, 1) == 700U);
  BOOST_TEST(EstimateLength(lengths_, 0, 1) == 0U);
}

BOOST_AUTO_TEST_CASE(Length_WhenCallersAreOftenFarOff_IsDrawnToTheMiddle) {
  Learn(300);
  BOOST_TEST(EstimateLength(lengths_, 1500, 0) > 2000U);
  BOOST_TEST(EstimateLength(lengths_, 15000, 0) < 11000U);
  const std::uint32_t middle = EstimateLength(lengths_, 5000, 0);
  BOOST_TEST(middle > 4200U);
  BOOST_TEST(middle < 5800U);
}

BOOST_AUTO_TEST_CASE(Length_WithADeviation_CoversFiveAnswersOfSix) {
  Learn(300);
  BOOST_TEST(Within(0) > 0.42);
  BOOST_TEST(Within(0) < 0.58);
  BOOST_TEST(Within(1) > 0.79);
}

BOOST_AUTO_TEST_CASE(Length_WhenCallersAreRight_StaysTheirs) {
  for (int i = 0; i < 300; ++i) {
    const std::uint32_t actual = Draw(kMiddle);
    RecordAnswerLength(lengths_, actual, actual);
  }
  for (const std::uint32_t told : {1500U, 5000U, 15000U}) {
    const std::uint32_t likely = EstimateLength(lengths_, told, 0);
    BOOST_TEST(likely > 0.95 * told);
    BOOST_TEST(likely < 1.05 * told);
  }
}

BOOST_AUTO_TEST_CASE(Length_WhenCallersAlwaysSayTheSame_IsTheMean) {
  for (int i = 0; i < 100; ++i) {
    RecordAnswerLength(lengths_, 1000, 2000);
  }
  BOOST_TEST(EstimateLength(lengths_, 1000, 0) > 1700U);
  BOOST_TEST(EstimateLength(lengths_, 1000, 0) <= 2100U);
}

BOOST_AUTO_TEST_CASE(Length_WhenAnAnswerIsUnknown_ChangesNothing) {
  RecordAnswerLength(lengths_, 0, 100);
  RecordAnswerLength(lengths_, 100, 0);
  BOOST_TEST(lengths_.count_ == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::dispatch
