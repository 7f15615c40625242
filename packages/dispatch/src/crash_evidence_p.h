#ifndef SISKINDRUM_DISPATCH_CRASH_EVIDENCE_P_H_
#define SISKINDRUM_DISPATCH_CRASH_EVIDENCE_P_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "siskindrum/dispatch/quarantine.h"

namespace siskindrum::dispatch {

// Finds the parts of prompts that explain crashes which no quarantine explains.

// The crashes in which a request with certain parts is suspected.
struct Evidence {
  std::uint32_t crashes_ = 0;
  std::uint32_t weight_ = 0;
  // Of parts of the suspected requests, one set a crash.
  std::size_t different_sets_ = 0;
  core::TimePoint last_crash_at_{};
};

struct Candidate {
  PromptParts parts_;
  Evidence evidence_;
};

// Returns whether `parts` has all of `subset`. Requires: both in ascending
// order. Thread-safe: yes.
bool Contains(const PromptParts& parts, const PromptParts& subset);

// Returns whether both are of one crash. A process crashes once, however late
// its crash is reported again. Thread-safe: yes.
bool IsSameCrash(const Suspicion& a, const Suspicion& b);

// Returns whether a set of these parts is quarantined, at whatever time.
// Thread-safe: no.
bool IsQuarantined(const Quarantine& quarantine, const PromptParts& parts);

// Returns the parts to quarantine next, if the evidence is enough. Thread-safe:
// no.
std::optional<Candidate> FindCulprit(const Quarantine& quarantine);

}  // namespace siskindrum::dispatch

#endif  // SISKINDRUM_DISPATCH_CRASH_EVIDENCE_P_H_
