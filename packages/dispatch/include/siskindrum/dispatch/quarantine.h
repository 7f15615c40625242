#ifndef SISKINDRUM_DISPATCH_QUARANTINE_H_
#define SISKINDRUM_DISPATCH_QUARANTINE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "siskindrum/core/peer_message.h"
#include "siskindrum/core/types.h"

namespace siskindrum::dispatch {

using core::PromptParts;

// Finds the parts of prompts that crash engines, and keeps requests with them
// from being sent. A crash by itself says little: the engine may have crashed
// for another reason, and had several requests whose answers were not or just
// begun. So a set of parts is quarantined once it was part of such a request in
// several crashes, and a part is acquitted by any answer written with it for
// kHarmlessWritingTime or to its end.

// A request whose answer was not or just begun when its engine crashed.
struct Suspicion {
  std::string server_;
  core::Incarnation incarnation_ = 0;  // Of the server; zero: unknown.
  core::TimePoint crashed_at_{};
  bool confirmed_ = false;  // The lost connection is certain to be a crash.
  PromptParts parts_;       // Without those known to be harmless; not empty.
};

// A harmless part that was suspected somewhere.
struct Acquittal {
  core::TimePoint written_at_{};  // When an answer was last written with it.
  core::TimePoint told_at_{};     // When peers were last told.
};

// Requests with all of `parts_` are not sent until the quarantine ends. Then
// each entry sends one at a time; the next crash renews the quarantine.
struct QuarantinedSet {
  PromptParts parts_;
  std::uint32_t crashes_ = 0;
  core::TimePoint last_crash_at_{};
  core::TimePoint trial_until_{};  // No other trial request before then.
};

struct Quarantine {
  std::deque<Suspicion> suspicions_;
  std::vector<QuarantinedSet> sets_;
  // When an answer was last written with the part.
  std::unordered_map<std::uint64_t, core::TimePoint> harmless_;
  std::map<std::uint64_t, Acquittal> acquitted_;
  // Quarantines end this much later at this entry, so that one entry of the
  // fleet sends the first trial request.
  core::Nanoseconds release_delay_{0};
  core::TimePoint next_expiry_{};
};

// What a function has changed.
struct QuarantineChange {
  core::QuarantineReport news_;  // For other entries.
  std::vector<QuarantinedSet> imposed_;
  std::vector<QuarantinedSet> renewed_;
};

// Returns the time from the last crash to the end of a quarantine. Doubles with
// each crash up to a maximum. Thread-safe: yes.
core::Milliseconds QuarantineTerm(std::uint32_t crashes);

// Records that a server crashed while a request's answer was not or just begun.
// Requires: its parts in ascending order. Thread-safe: no.
QuarantineChange RecordCrash(Quarantine& quarantine,
                             Suspicion suspicion,
                             core::TimePoint now);

// Records that an answer was written with `parts`. Thread-safe: no.
QuarantineChange RecordHarmless(Quarantine& quarantine,
                                const PromptParts& parts,
                                core::TimePoint written_at,
                                core::TimePoint now);

// Adds what another entry reports. The news exclude what was known before.
// Thread-safe: no.
QuarantineChange MergeReport(Quarantine& quarantine,
                             const core::QuarantineReport& report,
                             core::TimePoint now);

// Returns the most important of what this entry knows, in bounded size.
// Thread-safe: no.
core::QuarantineReport MakeReport(const Quarantine& quarantine,
                                  core::TimePoint now);

// Returns the quarantine that forbids to send a request with `parts`, or
// nullptr. The pointer is valid until the next change. Requires: `parts` in
// ascending order. Thread-safe: no.
const QuarantinedSet* FindQuarantine(const Quarantine& quarantine,
                                     const PromptParts& parts,
                                     core::TimePoint now);

// As FindQuarantine, for a new request. After the end of a quarantine the
// request counts as its trial request, and others are refused meanwhile.
// Thread-safe: no.
const QuarantinedSet* AdmitParts(Quarantine& quarantine,
                                 const PromptParts& parts,
                                 core::TimePoint now);

// Returns the time until the quarantine ends at this entry, or until the next
// trial request. Thread-safe: no.
core::Milliseconds TimeUntilRelease(const Quarantine& quarantine,
                                    const QuarantinedSet& set,
                                    core::TimePoint now);

// Drops what is too old to count. Thread-safe: no.
void ExpireQuarantine(Quarantine& quarantine, core::TimePoint now);

}  // namespace siskindrum::dispatch

#endif  // SISKINDRUM_DISPATCH_QUARANTINE_H_
