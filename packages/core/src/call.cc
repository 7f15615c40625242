#include "siskindrum/core/call.h"

#include <algorithm>
#include <charconv>

#include "siskindrum/core/hash.h"
#include "siskindrum/core/limits.h"

namespace siskindrum::core {

namespace {

constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kVersionIndex = 14;

bool IsUuidText(const std::string& key) {
  for (std::size_t i = 0; i < key.size(); ++i) {
    const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
    const bool hex = (key[i] >= '0' && key[i] <= '9') ||
                     (key[i] >= 'a' && key[i] <= 'f') ||
                     (key[i] >= 'A' && key[i] <= 'F');
    if (dash ? key[i] != '-' : !hex) {
      return false;
    }
  }
  return true;
}

CallAdmission JudgeKnown(CallRecord& record,
                         const RequestId& request,
                         TimePoint now) {
  switch (record.state_) {
    case CallState::kSending:
      return {CallDecision::kWait, Reason::kKeyInProgress, &record};
    case CallState::kAnswered:
      if (record.answer_kept_) {
        return {CallDecision::kReplayAnswer, Reason::kNone, &record};
      }
      return {CallDecision::kRefuseMayHaveRun, Reason::kKeyAnswerDropped,
              &record};
    case CallState::kNotSent:
      record.state_ = CallState::kSending;
      record.request_ = request;
      record.changed_at_ = now;
      return {CallDecision::kSend, Reason::kNone, &record};
    default:
      return {CallDecision::kRefuseMayHaveRun, Reason::kConnectionLost,
              &record};
  }
}

}  // namespace

bool ParseKeyTimestamp(const std::string& key, WallTime* birth) {
  if (key.size() != kUuidLength || key[kVersionIndex] != '7' ||
      !IsUuidText(key)) {
    return false;
  }
  const std::string digits = key.substr(0, 8) + key.substr(9, 4);
  std::uint64_t value = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
  *birth = WallTime(Milliseconds(static_cast<std::int64_t>(value)));
  return true;
}

CallAdmission AdmitCall(CallLedger& ledger,
                        const std::string& key,
                        const RequestId& request,
                        const Now& now) {
  WallTime birth;
  if (!ParseKeyTimestamp(key, &birth)) {
    return {CallDecision::kRefuseNotRun, Reason::kKeyMalformed, nullptr};
  }
  const auto known = ledger.records_.find(key);
  if (known != ledger.records_.end()) {
    return JudgeKnown(known->second, request, now.steady_);
  }
  if (birth <= ledger.floor_) {
    for (const ClosedInterval& closed : ledger.closed_) {
      if (birth > closed.from_ && birth <= closed.until_) {
        return {CallDecision::kRefuseNotRun, Reason::kKeyClosed, nullptr};
      }
    }
    return {CallDecision::kRefuseMayHaveRun, Reason::kKeyUnknownPast, nullptr};
  }
  // A key from the future would outlive this incarnation's floor. Another clock
  // may have taken it, unless it is beyond any.
  if (birth > now.wall_ + 2 * kMaxClockSkew) {
    return {CallDecision::kRefuseNotRun, Reason::kKeyMalformed, nullptr};
  }
  if (birth > now.wall_ + kMaxClockSkew) {
    return {CallDecision::kRefuseMayHaveRun, Reason::kKeyMalformed, nullptr};
  }
  CallRecord& record = ledger.records_[key];
  record.request_ = request;
  record.changed_at_ = now.steady_;
  return {CallDecision::kSend, Reason::kNone, &record};
}

void FinishCall(CallLedger& ledger,
                const std::string& key,
                const RequestId& request,
                RunState state,
                const PlainAnswer* answer,
                TimePoint now) {
  const auto it = ledger.records_.find(key);
  if (it == ledger.records_.end() || it->second.request_ != request ||
      it->second.state_ != CallState::kSending) {
    return;
  }
  CallRecord& record = it->second;
  record.changed_at_ = now;
  if (state == RunState::kNotRun) {
    record.state_ = CallState::kNotSent;
  } else if (state == RunState::kRan && answer != nullptr) {
    record.state_ = CallState::kAnswered;
    record.answer_kept_ = answer->body_.size() <= kMaxStoredAnswerBytes;
    if (record.answer_kept_) {
      record.answer_ = *answer;
    }
  } else {
    record.state_ = CallState::kUnknown;
  }
}

void TrimCalls(CallLedger& ledger, const Now& now) {
  // Keys sort by birth: a UUIDv7 starts with its time.
  auto it = ledger.records_.begin();
  while (it != ledger.records_.end()) {
    const CallRecord& record = it->second;
    const bool old = now.steady_ - record.changed_at_ > kCallRecordRetention;
    if (record.state_ == CallState::kSending ||
        (!old && ledger.records_.size() <= kMaxCallRecords)) {
      break;
    }
    WallTime birth;
    if (ParseKeyTimestamp(it->first, &birth)) {
      ledger.floor_ = std::max(ledger.floor_, birth);
    }
    it = ledger.records_.erase(it);
  }
}

void MergeSeatHandover(CallLedger& ledger,
                       const ClosedInterval& interval,
                       const std::vector<SeatRecord>& records,
                       TimePoint now) {
  const auto same = [&](const ClosedInterval& known) {
    return known.from_ == interval.from_ && known.until_ == interval.until_;
  };
  if (std::any_of(ledger.closed_.begin(), ledger.closed_.end(), same)) {
    return;
  }
  for (const SeatRecord& row : records) {
    const auto [it, is_new] = ledger.records_.try_emplace(row.key_);
    if (is_new) {
      CallRecord& record = it->second;
      record.state_ = row.state_;
      record.answer_ = row.answer_;
      record.answer_kept_ = row.answer_kept_;
      record.changed_at_ = now;
    }
  }
  ledger.closed_.push_back(interval);
  if (ledger.closed_.size() > kMaxClosedIntervals) {
    ledger.closed_.erase(ledger.closed_.begin());
  }
}

std::vector<SeatRecord> SeatHandoverRecords(const CallLedger& ledger) {
  std::vector<SeatRecord> rows;
  for (const auto& [key, record] : ledger.records_) {
    if (record.state_ == CallState::kNotSent) {
      continue;
    }
    const bool open = record.state_ == CallState::kSending;
    rows.push_back({key, open ? CallState::kUnknown : record.state_,
                    record.answer_, record.answer_kept_});
  }
  return rows;
}

const Seat* HomeSeat(const RuleSet& rules, const std::string& key) {
  std::vector<std::string> names;
  names.reserve(rules.seats_.size());
  for (const Seat& seat : rules.seats_) {
    names.push_back(seat.name_);
  }
  const int pick = RendezvousPick(key, names);
  return pick < 0 ? nullptr : &rules.seats_[static_cast<std::size_t>(pick)];
}

WallTime InitialFloor(WallTime now) {
  // Once for a predecessor's clock, once for ours.
  return now + 2 * kMaxClockSkew;
}

}  // namespace siskindrum::core
