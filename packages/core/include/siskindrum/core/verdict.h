#ifndef SISKINDRUM_CORE_VERDICT_H_
#define SISKINDRUM_CORE_VERDICT_H_

#include <string>

#include "siskindrum/core/types.h"

namespace siskindrum::core {

// Whether a request may have run on a backend server. kNotRun is set only when
// that is certain. A state only ever changes to a later one in this order.
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
  kTooLarge,      // Exceeds the memory of every engine.
  kQuarantined,   // Parts of its prompt crash engines.
  kUnauthorised,  // No organisation holds its key.
  // Nobody knows which software version began the stream that it resumes.
  kVersionUnknown,
  kCount
};

// Failure of a request or of one attempt.
struct Verdict {
  RunState run_state_ = RunState::kNotRun;
  Reason reason_ = Reason::kNone;
  std::string detail_;
  Milliseconds retry_after_{0};  // Zero if not known.
  // No request has run with this idempotency key and none ever will, so the
  // caller must retry with a new key. If false, the caller must retry with the
  // same key, since `run_state_` covers this request only.
  bool key_unused_ = false;
};

// Returns "not_run", "may_have_run" or "ran". Thread-safe: yes.
const char* ToString(RunState state);

// Returns the reason in snake_case, as written in logs. Thread-safe: yes.
const char* ToString(Reason reason);

// Returns the later of two run states, so that a combined state never goes
// back. Thread-safe: yes.
RunState MaxState(RunState a, RunState b);

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_VERDICT_H_
