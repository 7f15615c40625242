#ifndef SISKINDRUM_CORE_CALL_H_
#define SISKINDRUM_CORE_CALL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "siskindrum/core/rule.h"
#include "siskindrum/core/types.h"
#include "siskindrum/core/verdict.h"

namespace siskindrum::core {

// Response of a plain backend server, as returned to the caller.
struct PlainAnswer {
  int status_ = 0;
  std::string content_type_;
  std::string body_;
};

enum class CallState {
  kSending,   // In flight; the outcome is not known yet.
  kAnswered,  // The backend server answered.
  kUnknown,   // It may have run; it is never sent again.
  kNotSent,   // Known not to have run; this incarnation may send it again.
  kCount
};

// State of one idempotency key at the holder of its seat.
struct CallRecord {
  CallState state_ = CallState::kSending;
  RequestId request_;  // The request that is sending it.
  PlainAnswer answer_;
  bool answer_kept_ = false;
  TimePoint changed_at_{};
};

// Range of key creation times for which an earlier holder of the seat handed
// over its complete records when it shut down.
struct ClosedInterval {
  WallTime from_{};   // Exclusive.
  WallTime until_{};  // Inclusive.
};

// One key in the records that a seat holder hands over when it shuts down.
struct SeatRecord {
  std::string key_;
  CallState state_ = CallState::kUnknown;
  PlainAnswer answer_;
  bool answer_kept_ = false;
};

// Non-repeatable calls that only this incarnation may decide to send. The
// records are complete only for keys created after `floor_`: such a key without
// a record was never sent by any holder of the seat.
struct CallLedger {
  std::string seat_;  // Seat held by this entry; empty if none.
  WallTime floor_{};
  std::vector<ClosedInterval> closed_;
  std::map<std::string, CallRecord> records_;
};

enum class CallDecision {
  kSend,              // Send it; the record has been written.
  kWait,              // Another request is sending it.
  kReplayAnswer,      // Finished; return the stored answer.
  kRefuseNotRun,      // The key was never used and never will be.
  kRefuseMayHaveRun,  // The outcome is unknown; it must not be sent.
  kCount
};

struct CallAdmission {
  CallDecision decision_ = CallDecision::kRefuseNotRun;
  Reason reason_ = Reason::kNone;
  const CallRecord* record_ = nullptr;  // Invalidated by ledger changes.
};

// Extracts the creation time of a UUIDv7 key; returns false for any other text.
// Thread-safe: yes.
bool ParseKeyTimestamp(const std::string& key, WallTime* created);

// Decides whether this incarnation, as the holder of the key's seat, sends the
// call, and records the key if so. Requires: `key` belongs to the ledger's
// seat. Thread-safe: no.
CallAdmission AdmitCall(CallLedger& ledger,
                        const std::string& key,
                        const RequestId& request,
                        const Now& now);

// Records the outcome of the request that was sending the key. After kNotRun
// the same key may be sent again; any other failure is final. Thread-safe: no.
void FinishCall(CallLedger& ledger,
                const std::string& key,
                const RequestId& request,
                RunState state,
                const PlainAnswer* answer,
                TimePoint now);

// Evicts the oldest finished records that exceed the age or size limit. Raises
// the floor to their creation time so that an evicted key is never mistaken for
// a new one.
// Thread-safe: no.
void TrimCalls(CallLedger& ledger, const Now& now);

// Merges what an earlier holder of the seat handed over: the records of its
// keys and the interval they cover. Thread-safe: no.
void MergeSeatHandover(CallLedger& ledger,
                       const ClosedInterval& interval,
                       const std::vector<SeatRecord>& records,
                       TimePoint now);

// Returns the records that this holder hands over when it shuts down. Keys
// whose outcome is still open are listed as unknown. Thread-safe: no.
std::vector<SeatRecord> SeatHandoverRecords(const CallLedger& ledger);

// Returns the seat that `key` hashes to, or nullptr if the rules define no
// seats. The pointer is valid as long as `rules`. Thread-safe: yes.
const Seat* SeatForKey(const RuleSet& rules, const std::string& key);

// Returns the ledger floor of an incarnation that starts, or applies a changed
// seat table, at `now`.
// Thread-safe: yes.
WallTime InitialFloor(WallTime now);

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_CALL_H_
