#include <boost/test/unit_test.hpp>

#include "siskindrum/core/call.h"
#include "siskindrum/core/limits.h"

namespace siskindrum::core {
namespace {

struct CallLedgerFixture {
  CallLedger ledger_;
  Now now_{TimePoint{} + std::chrono::hours(1),
           WallTime(std::chrono::seconds(1'700'000'000))};
  RequestId first_{1, 1};
  RequestId second_{1, 2};

  CallLedgerFixture() {
    ledger_.seat_ = "seat";
    ledger_.floor_ = now_.wall_;
    AdvanceTime(Milliseconds(5000));
  }
  void AdvanceTime(Milliseconds time) {
    now_.steady_ += time;
    now_.wall_ += time;
  }
  std::string KeyCreatedAt(WallTime created) const {
    const auto ms =
        static_cast<unsigned long long>(created.time_since_epoch().count());
    char buffer[64];
    std::snprintf(buffer, sizeof(buffer),
                  "%08llx-%04llx-7abc-8000-000000000001", ms >> 16,
                  ms & 0xFFFFULL);
    return buffer;
  }
  CallDecision Admit(const std::string& key, const RequestId& request) {
    return AdmitCall(ledger_, key, request, now_).decision_;
  }
};

BOOST_FIXTURE_TEST_SUITE(CallLedgerTest, CallLedgerFixture)

BOOST_AUTO_TEST_CASE(ParseKeyTimestamp_WhenNotVersionSeven_IsRefused) {
  WallTime created;
  BOOST_TEST(!ParseKeyTimestamp("", &created));
  BOOST_TEST(!ParseKeyTimestamp("booking-17", &created));
  BOOST_TEST(
      !ParseKeyTimestamp("018bcfe5-6800-4abc-8000-000000000001", &created));
  BOOST_TEST(
      !ParseKeyTimestamp("018bcfe5x6800-7abc-8000-000000000001", &created));
  BOOST_TEST(ParseKeyTimestamp(KeyCreatedAt(now_.wall_), &created));
  BOOST_TEST((created == now_.wall_));
}

BOOST_AUTO_TEST_CASE(AdmitCall_WhenKeyIsNew_SendsOnce) {
  const std::string key = KeyCreatedAt(now_.wall_);
  BOOST_TEST((Admit(key, first_) == CallDecision::kSend));
  BOOST_TEST((Admit(key, second_) == CallDecision::kWait));
}

BOOST_AUTO_TEST_CASE(AdmitCall_WhenKeyWasAnswered_ReplaysFirstAnswer) {
  const std::string key = KeyCreatedAt(now_.wall_);
  Admit(key, first_);
  const PlainAnswer answer{201, "text/plain", "booked"};
  FinishCall(ledger_, key, first_, RunState::kRan, &answer, now_.steady_);
  const CallAdmission repeat = AdmitCall(ledger_, key, second_, now_);
  BOOST_TEST((repeat.decision_ == CallDecision::kReplayAnswer));
  BOOST_TEST(repeat.record_->answer_.body_ == "booked");
}

BOOST_AUTO_TEST_CASE(AdmitCall_WhenOutcomeIsUnknown_NeverSendsAgain) {
  const std::string key = KeyCreatedAt(now_.wall_);
  Admit(key, first_);
  FinishCall(ledger_, key, first_, RunState::kMayHaveRun, nullptr,
             now_.steady_);
  BOOST_TEST((Admit(key, second_) == CallDecision::kRefuseMayHaveRun));
}

BOOST_AUTO_TEST_CASE(AdmitCall_WhenFirstSendProvedNotRun_SendsAgain) {
  const std::string key = KeyCreatedAt(now_.wall_);
  Admit(key, first_);
  FinishCall(ledger_, key, first_, RunState::kNotRun, nullptr, now_.steady_);
  BOOST_TEST((Admit(key, second_) == CallDecision::kSend));
}

BOOST_AUTO_TEST_CASE(AdmitCall_WhenKeyIsOlderThanFloor_NeverSends) {
  const CallAdmission admission =
      AdmitCall(ledger_, KeyCreatedAt(ledger_.floor_), first_, now_);
  BOOST_TEST((admission.decision_ == CallDecision::kRefuseMayHaveRun));
  BOOST_TEST((admission.reason_ == Reason::kKeyUnknownPast));
}

BOOST_AUTO_TEST_CASE(AdmitCall_WhenKeyIsFromTheFuture_NeverSends) {
  const std::string near =
      KeyCreatedAt(now_.wall_ + kMaxClockSkew + Milliseconds(1));
  BOOST_TEST((Admit(near, first_) == CallDecision::kRefuseMayHaveRun));
  const std::string far =
      KeyCreatedAt(now_.wall_ + 2 * kMaxClockSkew + Milliseconds(1));
  BOOST_TEST((Admit(far, first_) == CallDecision::kRefuseNotRun));
}

BOOST_AUTO_TEST_CASE(AdmitCall_WhenEarlierHolderClosedItsSeat_TellsNotRun) {
  const WallTime from = ledger_.floor_ - std::chrono::minutes(2);
  const WallTime until = ledger_.floor_ - std::chrono::minutes(1);
  const std::string run = KeyCreatedAt(from + Milliseconds(10));
  const std::string fresh = KeyCreatedAt(from + Milliseconds(20));
  MergeSeatHandover(ledger_, {from, until},
                    {{run, CallState::kAnswered, {200, "", "first"}, true}},
                    now_.steady_);
  BOOST_TEST((Admit(run, first_) == CallDecision::kReplayAnswer));
  const CallAdmission admission = AdmitCall(ledger_, fresh, first_, now_);
  BOOST_TEST((admission.decision_ == CallDecision::kRefuseNotRun));
  BOOST_TEST((admission.reason_ == Reason::kKeyClosed));
  const std::string between = KeyCreatedAt(until + Milliseconds(1));
  BOOST_TEST((Admit(between, first_) == CallDecision::kRefuseMayHaveRun));
}

BOOST_AUTO_TEST_CASE(TrimCalls_WhenRecordsAreOld_RaisesTheFloorPastThem) {
  const std::string key = KeyCreatedAt(now_.wall_);
  Admit(key, first_);
  const PlainAnswer answer{200, "", ""};
  FinishCall(ledger_, key, first_, RunState::kRan, &answer, now_.steady_);
  AdvanceTime(kCallRecordRetention + Milliseconds(1));
  TrimCalls(ledger_, now_);
  BOOST_TEST(ledger_.records_.empty());
  BOOST_TEST((Admit(key, second_) == CallDecision::kRefuseMayHaveRun));
}

BOOST_AUTO_TEST_CASE(TrimCalls_WhenACallIsOpen_KeepsIt) {
  const std::string key = KeyCreatedAt(now_.wall_);
  Admit(key, first_);
  AdvanceTime(kCallRecordRetention * 2);
  TrimCalls(ledger_, now_);
  BOOST_TEST(ledger_.records_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(SeatHandoverRecords_WhenACallIsOpen_ListsItAsUnknown) {
  Admit(KeyCreatedAt(now_.wall_), first_);
  const auto rows = SeatHandoverRecords(ledger_);
  BOOST_REQUIRE(rows.size() == 1U);
  BOOST_TEST((rows[0].state_ == CallState::kUnknown));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::core
