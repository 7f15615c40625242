#include <boost/test/unit_test.hpp>

#include <cmath>
#include <random>

#include "siskindrum/dispatch/answer_length.h"

namespace siskindrum::dispatch {
namespace {

// Answers with log-normally distributed lengths. The callers' expectations are
// unbiased but scatter widely around the actual lengths.
struct AnswerLengthFixture {
  static constexpr double kMedian = 5000;
  static constexpr double kSpread = 0.5;  // Deviation of both logarithms.

  std::uint32_t Draw(double median) {
    std::normal_distribution<double> offset(0, kSpread);
    return static_cast<std::uint32_t>(median * std::exp(offset(random_)));
  }
  void Learn(int answers) {
    for (int i = 0; i < answers; ++i) {
      const std::uint32_t actual = Draw(kMedian);
      RecordAnswerLength(lengths_, Draw(actual), actual);
    }
  }
  // Returns the share of new answers that stay within the estimate.
  double Within(double deviations) {
    constexpr int kAnswers = 4000;
    int within = 0;
    for (int i = 0; i < kAnswers; ++i) {
      const std::uint32_t actual = Draw(kMedian);
      const std::uint32_t expected = Draw(actual);
      within +=
          actual <= EstimateLength(lengths_, expected, deviations) ? 1 : 0;
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

BOOST_AUTO_TEST_CASE(Length_WhenCallersAreOftenFarOff_IsPulledToTheMedian) {
  Learn(300);
  BOOST_TEST(EstimateLength(lengths_, 1500, 0) > 2000U);
  BOOST_TEST(EstimateLength(lengths_, 15000, 0) < 11000U);
  const std::uint32_t median = EstimateLength(lengths_, 5000, 0);
  BOOST_TEST(median > 4200U);
  BOOST_TEST(median < 5800U);
}

BOOST_AUTO_TEST_CASE(Length_WithADeviation_CoversFiveAnswersOfSix) {
  Learn(300);
  BOOST_TEST(Within(0) > 0.42);
  BOOST_TEST(Within(0) < 0.58);
  BOOST_TEST(Within(1) > 0.79);
}

BOOST_AUTO_TEST_CASE(Length_WhenCallersAreRight_IsWhatTheyExpect) {
  for (int i = 0; i < 300; ++i) {
    const std::uint32_t actual = Draw(kMedian);
    RecordAnswerLength(lengths_, actual, actual);
  }
  for (const std::uint32_t expected : {1500U, 5000U, 15000U}) {
    const std::uint32_t likely = EstimateLength(lengths_, expected, 0);
    BOOST_TEST(likely > 0.95 * expected);
    BOOST_TEST(likely < 1.05 * expected);
  }
}

BOOST_AUTO_TEST_CASE(Length_WhenCallersAlwaysExpectTheSame_IsTheMean) {
  for (int i = 0; i < 100; ++i) {
    RecordAnswerLength(lengths_, 1000, 2000);
  }
  BOOST_TEST(EstimateLength(lengths_, 1000, 0) > 1700U);
  BOOST_TEST(EstimateLength(lengths_, 1000, 0) <= 2100U);
}

BOOST_AUTO_TEST_CASE(Length_WhenUnknown_IsNotRecorded) {
  RecordAnswerLength(lengths_, 0, 100);
  RecordAnswerLength(lengths_, 100, 0);
  BOOST_TEST(lengths_.count_ == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::dispatch
