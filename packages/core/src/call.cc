#include "siskindrum/core/call.h"

#include <algorithm>
#include <charconv>

#include "siskindrum/core/hash.h"
#include "siskindrum/core/limits.h"

namespace siskindrum::core {

namespace {

constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kUuidVersionIndex = 14;

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

CallAdmission AdmitKnownKey(CallRecord& record,
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

bool ParseKeyTimestamp(const std::string& key, WallTime* created) {
  if (key.size() != kUuidLength || key[kUuidVersionIndex] != '7' ||
      !IsUuidText(key)) {
    return false;
  }
  const std::string digits = key.substr(0, 8) + key.substr(9, 4);
  std::uint64_t value = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
  *created = WallTime(Milliseconds(static_cast<std::int64_t>(value)));
  return true;
}

CallAdmission AdmitCall(CallLedger& ledger,
                        const std::string& key,
                        const RequestId& request,
                        const Now& now) {
  WallTime created;
  if (!ParseKeyTimestamp(key, &created)) {
    return {CallDecision::kRefuseNotRun, Reason::kKeyMalformed, nullptr};
  }
  const auto known = ledger.records_.find(key);
  if (known != ledger.records_.end()) {
    return AdmitKnownKey(known->second, request, now.steady_);
  }
  if (created <= ledger.floor_) {
    for (const ClosedInterval& closed : ledger.closed_) {
      if (created > closed.from_ && created <= closed.until_) {
        return {CallDecision::kRefuseNotRun, Reason::kKeyClosed, nullptr};
      }
    }
    return {CallDecision::kRefuseMayHaveRun, Reason::kKeyUnknownPast, nullptr};
  }
  // A key dated in the future is rejected: a later incarnation's floor could
  // lie below it. An entry whose clock is ahead may have sent it, unless the
  // date is beyond the maximum clock skew.
  if (created > now.wall_ + 2 * kMaxClockSkew) {
    return {CallDecision::kRefuseNotRun, Reason::kKeyMalformed, nullptr};
  }
  if (created > now.wall_ + kMaxClockSkew) {
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
  // Keys sort by creation time, since a UUIDv7 starts with its timestamp.
  auto it = ledger.records_.begin();
  while (it != ledger.records_.end()) {
    const CallRecord& record = it->second;
    const bool old = now.steady_ - record.changed_at_ > kCallRecordRetention;
    if (record.state_ == CallState::kSending ||
        (!old && ledger.records_.size() <= kMaxCallRecords)) {
      break;
    }
    WallTime created;
    if (ParseKeyTimestamp(it->first, &created)) {
      ledger.floor_ = std::max(ledger.floor_, created);
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

const Seat* SeatForKey(const RuleSet& rules, const std::string& key) {
  std::vector<std::string> names;
  names.reserve(rules.seats_.size());
  for (const Seat& seat : rules.seats_) {
    names.push_back(seat.name_);
  }
  const int pick = RendezvousPick(key, names);
  return pick < 0 ? nullptr : &rules.seats_[static_cast<std::size_t>(pick)];
}

WallTime InitialFloor(WallTime now) {
  // Allows for the skew of the predecessor's clock and that of this one.
  return now + 2 * kMaxClockSkew;
}

}  // namespace siskindrum::core
