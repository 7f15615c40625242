#include "siskindrum/memory/decision.h"

namespace siskindrum::memory {

namespace {

// Percentages of the budget up to which each kind may be admitted. What is
// above kSmallPercent is left to requests in progress.
constexpr std::uint64_t kLargePercent = 60;
constexpr std::uint64_t kSmallPercent = 80;
constexpr std::uint64_t kAnswerPercent = 90;

// Returns whether `more` bytes fit into this percentage of the budget.
bool Fits(const Budget* budget, std::uint64_t more, std::uint64_t percent) {
  if (budget == nullptr || budget->Limit() == 0) {
    return true;
  }
  const std::uint64_t share = budget->Limit() / 100 * percent;
  const std::uint64_t used = budget->Used();
  return used <= share && more <= share - used;
}

}  // namespace

Decision DecideRequest(const Budget* budget,
                       std::uint64_t held,
                       std::uint64_t more) {
  const bool is_small = held <= kSmallBytes && more <= kSmallBytes - held;
  return Fits(budget, more, is_small ? kSmallPercent : kLargePercent)
             ? Decision::kAdmit
             : Decision::kRefuse;
}

Decision DecideAnswerRead(const Budget* budget, std::uint64_t backlog) {
  const bool is_scarce = !Fits(budget, 0, kAnswerPercent);
  return backlog > (is_scarce ? 0 : kMaxBacklogBytes) ? Decision::kPause
                                                      : Decision::kAdmit;
}

Decision DecideWholeAnswer(const Budget* budget,
                           std::uint64_t held,
                           std::uint64_t more) {
  const bool is_small = held <= kSmallBytes && more <= kSmallBytes - held;
  return is_small || Fits(budget, more, kAnswerPercent) ? Decision::kAdmit
                                                        : Decision::kRefuse;
}

}  // namespace siskindrum::memory
