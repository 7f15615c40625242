#include "siskindrum/dispatch/answer_length.h"

#include <algorithm>
#include <cmath>

#include "siskindrum/dispatch/limits.h"

namespace siskindrum::dispatch {

namespace {

// Upper limit for estimated lengths.
constexpr double kMaxTokens = 10e6;

// Regression line through the logarithms and the standard deviation around it.
struct Fit {
  double slope_ = 1;
  double offset_ = 0;
  double deviation_ = 0;
};

// Fits the line by least squares with a prior that pulls it towards actual
// length = expected length. With few answers the caller's expectation hardly
// changes.
Fit FitLine(const AnswerLengthStats& lengths) {
  Fit fit;
  const double n = lengths.count_;
  if (n <= 0) {
    return fit;
  }
  const double mean_x = lengths.expected_ / n;
  const double mean_y = lengths.actual_ / n;
  const double sum_xx = lengths.expected_squared_ - n * mean_x * mean_x;
  const double sum_xy = lengths.product_ - n * mean_x * mean_y;
  const double prior = kLengthPriorAnswers * kLengthPriorVariance;
  fit.slope_ = std::clamp((sum_xy + prior) / (sum_xx + prior), 0.0, 1.0);
  const double trust = n / (n + kLengthPriorAnswers);
  fit.offset_ = mean_y - fit.slope_ * mean_x;
  fit.slope_ = 1 + trust * (fit.slope_ - 1);
  fit.offset_ *= trust;
  const double sum_yy = lengths.actual_squared_ - n * mean_y * mean_y;
  const double residual = std::max(0.0, sum_yy - fit.slope_ * sum_xy);
  fit.deviation_ = std::sqrt((residual + prior) / (n + kLengthPriorAnswers));
  return fit;
}

}  // namespace

void RecordAnswerLength(AnswerLengthStats& lengths,
                        std::uint32_t expected,
                        std::uint32_t actual) {
  if (expected == 0 || actual == 0) {
    return;
  }
  const double x = std::log(static_cast<double>(expected));
  const double y = std::log(static_cast<double>(actual));
  const auto add = [](double& sum, double value) {
    sum = kLengthDecay * sum + value;
  };
  add(lengths.count_, 1);
  add(lengths.expected_, x);
  add(lengths.actual_, y);
  add(lengths.expected_squared_, x * x);
  add(lengths.product_, x * y);
  add(lengths.actual_squared_, y * y);
}

std::uint32_t EstimateLength(const AnswerLengthStats& lengths,
                             std::uint32_t expected,
                             double deviations) {
  if (expected == 0 || lengths.count_ <= 0) {
    return expected;
  }
  const Fit fit = FitLine(lengths);
  const double likely = fit.offset_ +
                        fit.slope_ * std::log(static_cast<double>(expected)) +
                        deviations * fit.deviation_;
  return static_cast<std::uint32_t>(
      std::clamp(std::exp(likely), 1.0, kMaxTokens));
}

}  // namespace siskindrum::dispatch
