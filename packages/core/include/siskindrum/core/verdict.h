#ifndef SISKINDRUM_CORE_VERDICT_H_
#define SISKINDRUM_CORE_VERDICT_H_

#include <string>

#include "siskindrum/core/types.h"

namespace siskindrum::core {

// Says whether a request may have run at a backend server. Only kNotRun is a
// proof; the order is the only direction in which a verdict may move.
enum class RunState { kNotRun, kMayHaveRun, kRan, kCount };

enum class Reason {
  kNone,
  kNoRule,
  kRefusedByRule,
  kNoServer,
  kOverloaded,
  kDeadline,
  kOrganisationLimit,
  kConnectFailed,
  kConnectionLost,
  kServerRefused,
  kServerError,
  kBadAnswer,
  kEvicted,
  kCallerGone,
  kDraining,
  kNotReady,
  kKeyMalformed,
  kKeyHomeUnreachable,
  kKeyUnknownPast,
  kKeyClosed,
  kKeyInProgress,
  kKeyAnswerDropped,
  kSendTooOld,
  kRetriesExhausted,
  kTooLarge,  // For the memory of any engine.
  kCount
};

// Failure of a request or of one attempt.
struct Verdict {
  RunState run_state_ = RunState::kNotRun;
  Reason reason_ = Reason::kNone;
  std::string detail_;
  Milliseconds retry_after_{0};  // Zero: no advice.
  // Proved that no request ran with this idempotency key, nor ever will: the
  // caller needs a new one. The run state speaks of this request alone; unless
  // the key is proved unused, the caller repeats it with the same key.
  bool key_unused_ = false;
};

// Returns "not_run", "may_have_run" or "ran". Thread-safe: yes.
const char* ToString(RunState state);

// Returns the reason in snake_case, as written in logs. Thread-safe: yes.
const char* ToString(Reason reason);

// Returns the later of two run states, so that a verdict never moves back.
// Thread-safe: yes.
RunState MaxState(RunState a, RunState b);

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_VERDICT_H_
