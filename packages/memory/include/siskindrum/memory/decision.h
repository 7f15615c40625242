#ifndef SISKINDRUM_MEMORY_DECISION_H_
#define SISKINDRUM_MEMORY_DECISION_H_

#include <cstdint>

#include "siskindrum/memory/budget.h"

namespace siskindrum::memory {

// A request or an answer up to this size counts as small.
inline constexpr std::uint64_t kSmallBytes = 64 * 1024;

// Upper bound of the bytes that wait for one caller before reading from its
// server is paused.
inline constexpr std::uint64_t kMaxBacklogBytes = 128 * 1024;

enum class Decision {
  kAdmit,
  kPause,   // Read no more until some of what is held has been taken.
  kRefuse,  // Refuse the request, or fail the attempt, without holding it.
  kCount
};

// A budget that is null has no limit.

// Decides whether a request may be held of which `held` bytes are already
// charged and `more` bytes are announced or have arrived. Large requests leave
// part of the budget to small ones, and both leave part of it to requests in
// progress. Returns kAdmit or kRefuse. Thread-safe: yes.
Decision DecideRequest(const Budget* budget,
                       std::uint64_t held,
                       std::uint64_t more);

// Decides whether more of an answer may be read from its server while `backlog`
// bytes of it wait for the caller. Without backlog it may always be read, so
// that no answer is stopped by what is held for others. Returns kAdmit or
// kPause. Thread-safe: yes.
Decision DecideAnswerRead(const Budget* budget, std::uint64_t backlog);

// Decides whether `more` bytes may be added to an answer of `held` bytes that
// has to be buffered whole. Small answers are always admitted. Returns kAdmit
// or kRefuse. Thread-safe: yes.
Decision DecideWholeAnswer(const Budget* budget,
                           std::uint64_t held,
                           std::uint64_t more);

}  // namespace siskindrum::memory

#endif  // SISKINDRUM_MEMORY_DECISION_H_
