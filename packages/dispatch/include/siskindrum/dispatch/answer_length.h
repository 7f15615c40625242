#ifndef SISKINDRUM_DISPATCH_ANSWER_LENGTH_H_
#define SISKINDRUM_DISPATCH_ANSWER_LENGTH_H_

#include <cstdint>

namespace siskindrum::dispatch {

// How long the answers of one route turn out against what their callers expect:
// sums over pairs of logarithms, from which a line is fitted. Older answers
// count less and less.
struct AnswerLengthStats {
  double count_ = 0;
  double expected_ = 0;
  double actual_ = 0;
  double expected_squared_ = 0;
  double product_ = 0;
  double actual_squared_ = 0;
};

// Takes one whole answer. Lengths are in tokens; a length of zero is unknown
// and changes nothing. Thread-safe: no.
void RecordAnswerLength(AnswerLengthStats& lengths,
                        std::uint32_t expected,
                        std::uint32_t actual);

// Length that an answer is expected to stay within, in tokens. `deviations` is
// how many standard deviations it may turn out longer than likely; zero gives
// the likely length. Zero when `expected` is zero, which is no expectation.
// Until answers were seen it is what the caller expects. Thread-safe: no.
std::uint32_t EstimateLength(const AnswerLengthStats& lengths,
                             std::uint32_t expected,
                             double deviations);

}  // namespace siskindrum::dispatch

#endif  // SISKINDRUM_DISPATCH_ANSWER_LENGTH_H_
