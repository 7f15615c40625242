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

// Answer of a plain backend server, as handed to callers.
struct PlainAnswer {
  int status_ = 0;
  std::string content_type_;
  std::string body_;
};

enum class CallState {
  kSending,   // Decided to send; the outcome is not known yet.
  kAnswered,  // The backend answered.
  kUnknown,   // It may have run; never sent again.
  kNotSent,   // Proved not to have run; may be sent again by this incarnation.
  kCount
};

// What the home knows of one idempotency key.
struct CallRecord {
  CallState state_ = CallState::kSending;
  RequestId request_;  // The request that is sending it.
  PlainAnswer answer_;
  bool answer_kept_ = false;
  TimePoint changed_at_{};
};

// Birth times of keys that an earlier holder of the seat accounted for when it
// left.
struct ClosedInterval {
  WallTime from_{};   // Exclusive.
  WallTime until_{};  // Inclusive.
};

// One finished key in a closing statement.
struct SeatRecord {
  std::string key_;
  CallState state_ = CallState::kUnknown;
  PlainAnswer answer_;
  bool answer_kept_ = false;
};

// Calls that may not be repeated and that this incarnation decides alone.
// It vouches only for keys born after `floor_`: for those, a key without a
// record was never sent by any holder of the seat.
struct CallLedger {
  std::string seat_;  // Seat held by this entry; empty: none.
  WallTime floor_{};
  std::vector<ClosedInterval> closed_;
  std::map<std::string, CallRecord> records_;
};

enum class CallDecision {
  kSend,              // First time: send it, the record is written.
  kWait,              // Another request is sending it.
  kReplayAnswer,      // Finished: give the first answer.
  kRefuseNotRun,      // Proved: the key was never used and will not be.
  kRefuseMayHaveRun,  // Unknown; never send.
  kCount
};

struct CallAdmission {
  CallDecision decision_ = CallDecision::kRefuseNotRun;
  Reason reason_ = Reason::kNone;
  const CallRecord* record_ = nullptr;  // Valid until the ledger changes.
};

// Birth time of a UUIDv7 key; false for any other text. Thread-safe: yes.
bool ParseKeyTimestamp(const std::string& key, WallTime* birth);

// Decides whether this incarnation, as the key's home, sends the call.
// Requires: the ledger's seat is the key's home. Thread-safe: no.
CallAdmission AdmitCall(CallLedger& ledger,
                        const std::string& key,
                        const RequestId& request,
                        const Now& now);

// Records the end of the request that was sending the key. kNotRun lets the
// same key be sent again; any other failure is final. Thread-safe: no.
void FinishCall(CallLedger& ledger,
                const std::string& key,
                const RequestId& request,
                RunState state,
                const PlainAnswer* answer,
                TimePoint now);

// Drops the oldest finished records above the size limit, raising the floor to
// their birth so that a dropped key is never taken for a new one.
// Thread-safe: no.
void TrimCalls(CallLedger& ledger, const Now& now);

// Takes the closing statement of an earlier holder: its finished keys and its
// interval. Thread-safe: no.
void MergeSeatHandover(CallLedger& ledger,
                       const ClosedInterval& interval,
                       const std::vector<SeatRecord>& records,
                       TimePoint now);

// Records for the closing statement of this holder. Keys whose outcome is open
// are listed as unknown. Thread-safe: no.
std::vector<SeatRecord> SeatHandoverRecords(const CallLedger& ledger);

// Seat that decides `key`, or nullptr without seats. The pointer lives as long
// as `rules`. Thread-safe: yes.
const Seat* HomeSeat(const RuleSet& rules, const std::string& key);

// Floor of an incarnation that starts, or takes a changed seat table, now.
// Thread-safe: yes.
WallTime InitialFloor(WallTime now);

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_CALL_H_
