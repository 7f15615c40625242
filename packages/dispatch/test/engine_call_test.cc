#include <boost/test/unit_test.hpp>

#include "dispatcher_fixture.h"
#include "siskindrum/dispatch/limits.h"

namespace siskindrum::dispatch {
namespace {

BOOST_FIXTURE_TEST_SUITE(EngineCalls, DispatcherFixture)

BOOST_AUTO_TEST_CASE(
    Request_WhenThereIsCapacity_ReservesThenPrefillsThenDecodes) {
  const RequestId id = Arrive("/stream/1");
  BOOST_TEST((Last(id).stage_ == Stage::kReserve));
  const std::string decode = Last(id).server_;
  BOOST_TEST(Last(id).hold_tokens_ == 5700U);
  Reserve(id, true);
  BOOST_TEST((Last(id).stage_ == Stage::kPrefill));
  const std::string prefill = Last(id).address_;
  Prefill(id, true);
  BOOST_TEST((Last(id).stage_ == Stage::kDecode));
  BOOST_TEST(Last(id).server_ == decode);
  BOOST_TEST(Last(id).source_address_ == prefill);
  BOOST_TEST(Last(id).handle_ == "kv");
  BOOST_TEST(Last(id).hold_ == "hold");
}

BOOST_AUTO_TEST_CASE(Reservation_WhenItExpiresSoon_IsNotUsed) {
  // The pool's limit is shorter than the lifetime that the entry would request.
  std::string rules = kRules;
  rules.replace(rules.find("hold=2000ms"), 11, "hold=300ms");
  Configure(2, rules);
  const RequestId id = Arrive("/stream/1");
  BOOST_TEST(Last(id).hold_time_.count() == 300);
  Reserve(id, true);
  Pass(Milliseconds(260));
  Prefill(id, true);
  BOOST_TEST((Last(id).stage_ == Stage::kDecode));
  BOOST_TEST(Last(id).hold_.empty());
}

BOOST_AUTO_TEST_CASE(Request_WhenNoEngineHasCapacity_IsNotPrefilled) {
  const RequestId id = Arrive("/stream/1");
  for (int i = 0; i < 3; ++i) {
    Reserve(id, false);
  }
  BOOST_TEST(Starts(id, Stage::kPrefill) == 0U);
  BOOST_TEST(!IsRefused(id));
  BOOST_TEST(dispatcher_.waiting_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(Prefill_WhenItFails_IsDoneByTheDecodeEngine) {
  const RequestId id = Arrive("/stream/1");
  Reserve(id, true);
  Prefill(id, false);
  BOOST_TEST((Last(id).stage_ == Stage::kDecode));
  BOOST_TEST(Last(id).handle_.empty());
  BOOST_TEST(Last(id).hold_ == "hold");
}

BOOST_AUTO_TEST_CASE(Prefill_WhenRefused_CountsAsTheOnlyAttempt) {
  const RequestId id = Arrive("/stream/1");
  Reserve(id, true);
  Prefill(id, false, true);
  BOOST_TEST((Verdict(id).run_state_ == RunState::kNotRun));
  BOOST_TEST(released_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(Handle_WhenItIsLost_IsReplacedByADirectPrefill) {
  const RequestId id = Arrive("/resume/1");
  Reserve(id, true);
  Prefill(id, true);
  Done(id, AttemptOutcome::kRefused, RunState::kNotRun);
  Reserve(id, true);
  BOOST_TEST((Last(id).stage_ == Stage::kDecode));
  BOOST_TEST(Last(id).handle_.empty());
  BOOST_TEST(Starts(id, Stage::kPrefill) == 1U);
}

BOOST_AUTO_TEST_CASE(Stream_WhenItMayNotResume_IsCutAndNotRunTwice) {
  const RequestId id = StartAnswer("/stream/1");
  Done(id, AttemptOutcome::kFailed, RunState::kMayHaveRun, 3);
  BOOST_TEST(Starts(id, Stage::kDecode) == 1U);
  BOOST_TEST((Verdict(id).run_state_ == RunState::kRan));
}

BOOST_AUTO_TEST_CASE(Stream_WhenTheRuleLeavesAnAttempt_UsesItOnlyIfNotRun) {
  const RequestId lost = Arrive("/stream2/1");
  Reserve(lost, true);
  Prefill(lost, true);
  Done(lost, AttemptOutcome::kFailed, RunState::kMayHaveRun);
  BOOST_TEST(Starts(lost, Stage::kDecode) == 1U);
  BOOST_TEST((Verdict(lost).run_state_ == RunState::kMayHaveRun));
  const RequestId refused = Arrive("/stream2/1");
  Reserve(refused, true);
  Prefill(refused, true);
  Done(refused, AttemptOutcome::kRefused, RunState::kNotRun);
  Reserve(refused, true);
  BOOST_TEST(Starts(refused, Stage::kDecode) == 2U);
}

BOOST_AUTO_TEST_CASE(Stream_WhenItMayResume_ResumesAfterTheLastEvent) {
  const RequestId id = StartAnswer("/resume/1");
  const std::string first = Last(id).server_;
  Done(id, AttemptOutcome::kFailed, RunState::kMayHaveRun, 17);
  Reserve(id, true);
  BOOST_TEST((Last(id).stage_ == Stage::kDecode));
  BOOST_TEST(Last(id).server_ != first);
  BOOST_TEST(Last(id).resume_after_.value() == 17U);
}

BOOST_AUTO_TEST_CASE(Stream_WhenItFailsAsOftenAsTheRuleAllows_IsCut) {
  const RequestId id = StartAnswer("/resume/1");
  Done(id, AttemptOutcome::kFailed, RunState::kMayHaveRun, 17);
  Reserve(id, true);
  Begin(id);
  Done(id, AttemptOutcome::kFailed, RunState::kMayHaveRun, 20);
  BOOST_TEST(Starts(id, Stage::kDecode) == 2U);
  BOOST_TEST(IsRefused(id));
}

BOOST_AUTO_TEST_CASE(Stream_WhenTheCallerResumes_StartsAfterItsEvent) {
  CallArrived arrived;
  arrived.request_ = {1, 99};
  arrived.call_.shape_.path_ = "/resume/1";
  arrived.call_.last_event_ = 12;
  arrived.arrived_at_ = now_;
  Handle(arrived);
  Handle(ListConfirmed{now_, dispatcher_.list_version_});
  Reserve({1, 99}, true);
  Prefill({1, 99}, true);
  BOOST_TEST(Last({1, 99}).resume_after_.value() == 12U);
}

BOOST_AUTO_TEST_CASE(Caller_WhenItLeavesDuringThePrefill_ReleasesAll) {
  const RequestId id = Arrive("/stream/1");
  Reserve(id, true);
  Handle(CallerLeft{id});
  BOOST_TEST(released_.size() == 1U);
  BOOST_TEST(dispatcher_.calls_.empty());
  for (const auto& [name, server] : dispatcher_.pool_.servers_) {
    BOOST_TEST(server.calls_ == 0U);
    BOOST_TEST(server.held_tokens_ == 0U);
    BOOST_TEST(server.prefill_tokens_ == 0U);
  }
}

BOOST_AUTO_TEST_CASE(Engine_WhenItsReservationFails_IsAvoided) {
  const RequestId id = Arrive("/stream/1");
  const std::string failed = Last(id).server_;
  Handle(ReserveDone{id, Last(id).attempt_, false, false, "", "silent"});
  BOOST_TEST(Last(id).server_ != failed);
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(Last(Arrive("/stream/1")).server_ != failed);
  }
}

BOOST_AUTO_TEST_CASE(Prefills_WhenAllPrefillEnginesAreGone_RunAtDecodeEngines) {
  Leave(Engine("p1", core::ServerRole::kPrefill));
  Leave(Engine("p2", core::ServerRole::kPrefill));
  const RequestId id = Arrive("/stream/1");
  Reserve(id, true);
  BOOST_TEST((Last(id).stage_ == Stage::kDecode));
}

BOOST_AUTO_TEST_CASE(Prefill_WhenItsEngineDecodesNow_IsNotSentThereAgain) {
  const RequestId first = Arrive("/resume/1");
  Reserve(first, true);
  const std::string converted = Last(first).server_;
  Handle(PrefillDone{first, Last(first).attempt_, false, true, "", "", true});
  BOOST_TEST((Last(first).stage_ == Stage::kDecode));
  for (int i = 0; i < 6; ++i) {
    const RequestId id = Arrive("/stream/1");
    Reserve(id, true);
    BOOST_TEST(
        !(Last(id).stage_ == Stage::kPrefill && Last(id).server_ == converted));
  }
  // The list overrides the role learned from refusals.
  List({Engine(converted, core::ServerRole::kPrefill)}, false);
  BOOST_TEST((FindServer(dispatcher_.pool_, converted)->info_.role_ ==
              core::ServerRole::kPrefill));
}

BOOST_AUTO_TEST_CASE(Reservation_WhenAnotherServerAnswers_AvoidsTheServer) {
  const RequestId id = Arrive("/stream/1");
  const std::string gone = Last(id).server_;
  Handle(ReserveDone{id, Last(id).attempt_, false, false, "", "", true});
  BOOST_TEST(Last(id).server_ != gone);
  Pass(Milliseconds(10000));
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST(Last(Arrive("/stream/1")).server_ != gone);
  }
  List({Engine(gone, core::ServerRole::kDecode)}, false);
  BOOST_TEST(AcceptsNewWork(dispatcher_.pool_,
                            *FindServer(dispatcher_.pool_, gone), now_));
}

BOOST_AUTO_TEST_CASE(Prefills_WhenManyTimeOut_StayWithinTheRepeatBudget) {
  // Each abandoned prefill reached its engine, so that the send which follows
  // is a repeat.
  constexpr int kRequests = 60;
  for (int i = 0; i < kRequests; ++i) {
    for (const char* name : {"p1", "p2"}) {
      RecordResponse(*FindServer(dispatcher_.pool_, name));
    }
    const RequestId id = Arrive("/resume/1", 100, 10);
    Reserve(id, true);
    if (Last(id).stage_ == Stage::kPrefill) {
      Prefill(id, false);
    }
    Handle(CallerLeft{id});
  }
  const RepeatLimits limits;
  BOOST_TEST(static_cast<double>(dispatcher_.counters_.repeats_) <=
             limits.ratio_ * kRequests + limits.slack_);
  BOOST_TEST(dispatcher_.counters_.repeats_ > 0U);
  BOOST_TEST(dispatcher_.counters_.repeats_denied_ > 0U);
}

BOOST_AUTO_TEST_CASE(Prefill_WhenItsConnectionFails_IsNoRepeat) {
  const RequestId id = Arrive("/stream/1");
  Reserve(id, true);
  Handle(PrefillDone{id, Last(id).attempt_, false, false, "", "", false,
                     /*sent_=*/false});
  BOOST_TEST((Last(id).stage_ == Stage::kDecode));
  BOOST_TEST(dispatcher_.counters_.repeats_ == 0U);
}

BOOST_AUTO_TEST_CASE(Prefill_WhenOtherEntriesFillTheQueue_IsGivenMoreTime) {
  const RequestId slow = Arrive("/stream/1");
  Reserve(slow, true);
  const Milliseconds first = Last(slow).first_byte_timeout_;
  Pass(Milliseconds(320));
  Prefill(slow, true);
  const RequestId next = Arrive("/stream/1");
  Reserve(next, true);
  ServerState* busy = FindServer(dispatcher_.pool_, "p1");
  ServerState* other = FindServer(dispatcher_.pool_, "p2");
  BOOST_TEST(std::max(EstimatePrefillMs(*busy, 5000, now_),
                      EstimatePrefillMs(*other, 5000, now_)) >
             static_cast<double>(first.count()) / 3);
  Pass(Milliseconds(10000));
  BOOST_TEST(EstimatePrefillMs(*busy, 5000, now_) <
             static_cast<double>(first.count()));
}

BOOST_AUTO_TEST_CASE(Prefill_WhenItsEngineWasDelayed_TimesOutLaterForAWhile) {
  Leave(Engine("p2", core::ServerRole::kPrefill));
  const auto prefill_timeout = [this](Milliseconds took) {
    const RequestId id = Arrive("/stream/1");
    Reserve(id, true);
    BOOST_TEST(Last(id).server_ == "p1");
    const Milliseconds timeout = Last(id).first_byte_timeout_;
    Pass(took);
    Prefill(id, true);
    return timeout;
  };
  prefill_timeout(Milliseconds(100));
  prefill_timeout(Milliseconds(320));
  const Milliseconds delayed = prefill_timeout(Milliseconds(100));
  Pass(Milliseconds(10000));
  const Milliseconds later = prefill_timeout(Milliseconds(100));
  BOOST_TEST(delayed.count() > later.count() + 100);
}

BOOST_AUTO_TEST_CASE(Answer_WhenItsAttemptIsOver_IsIgnored) {
  const RequestId id = StartAnswer("/resume/1");
  const std::uint32_t old_attempt = Last(id).attempt_;
  Done(id, AttemptOutcome::kFailed, RunState::kMayHaveRun, 17);
  AttemptDone late;
  late.request_ = id;
  late.attempt_ = old_attempt;
  late.outcome_ = AttemptOutcome::kDelivered;
  Handle(late);
  BOOST_TEST(dispatcher_.calls_.contains(id));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::dispatch
