#ifndef SISKINDRUM_DISPATCH_ANSWER_LENGTH_H_
#define SISKINDRUM_DISPATCH_ANSWER_LENGTH_H_

#include <cstdint>

namespace siskindrum::dispatch {

// Running sums of a linear regression of actual on expected answer length for
// one route, both as logarithms. The weight of older answers decays
// exponentially.
struct AnswerLengthStats {
  double count_ = 0;
  double expected_ = 0;
  double actual_ = 0;
  double expected_squared_ = 0;
  double product_ = 0;
  double actual_squared_ = 0;
};

// Adds one complete answer. Lengths are in tokens; a length of zero is unknown
// and the pair is ignored. Thread-safe: no.
void RecordAnswerLength(AnswerLengthStats& lengths,
                        std::uint32_t expected,
                        std::uint32_t actual);

// Estimates an upper bound for the length of an answer in tokens: the predicted
// length plus `deviations` standard deviations. Returns `expected` unchanged
// before any answer was recorded, and zero when `expected` is zero, which means
// that the caller stated no length. Thread-safe: no.
std::uint32_t EstimateLength(const AnswerLengthStats& lengths,
                             std::uint32_t expected,
                             double deviations);

}  // namespace siskindrum::dispatch

#endif  // SISKINDRUM_DISPATCH_ANSWER_LENGTH_H_
