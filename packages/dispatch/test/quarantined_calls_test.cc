#include <boost/test/unit_test.hpp>

#include "dispatcher_fixture.h"
#include "siskindrum/dispatch/limits.h"

namespace siskindrum::dispatch {
namespace {

const core::PromptParts kDeadly{10, 20};
const core::PromptParts kSound{10, 30};

struct QuarantinedCallsFixture : DispatcherFixture {
  RequestId ArriveWith(const core::PromptParts& parts) {
    return Arrive("/resume/1", 5000, 700, parts);
  }
  // Brings a request to its decode engine.
  RequestId StartDecode(const core::PromptParts& parts) {
    const RequestId id = ArriveWith(parts);
    Reserve(id, true);
    Prefill(id, true);
    return id;
  }
  // The engine of the request's last attempt crashes before its first event.
  void Crash(const RequestId& id, int status = 200) {
    AttemptDone done;
    done.request_ = id;
    done.attempt_ = Last(id).attempt_;
    done.connection_lost_ = true;
    done.status_ = status;
    Handle(done);
  }
  // Crashes two engines with the parts.
  void Quarantine(const core::PromptParts& parts) {
    const RequestId id = StartDecode(parts);
    Crash(id);
    Reserve(id, true);
    Crash(id);
  }
  // The engine of the request's last attempt crashes after its first event.
  void CrashAfterFirstEvent(const RequestId& id) {
    Begin(id);
    Pass(Milliseconds(60));
    Done(id, AttemptOutcome::kFailed, RunState::kMayHaveRun, 0);
  }
};

BOOST_FIXTURE_TEST_SUITE(QuarantinedCalls, QuarantinedCallsFixture)

BOOST_AUTO_TEST_CASE(Request_WhenItsPartsAreQuarantined_IsRefusedAtOnceNotRun) {
  Quarantine(kDeadly);
  const RequestId id = ArriveWith({10, 20, 40});
  BOOST_TEST(starts_.count(id) == 0U);
  BOOST_REQUIRE(IsRefused(id));
  BOOST_TEST((Verdict(id).reason_ == core::Reason::kQuarantined));
  BOOST_TEST((Verdict(id).run_state_ == RunState::kNotRun));
  BOOST_TEST((Verdict(id).retry_after_ > Milliseconds(1000)));
  BOOST_TEST(dispatcher_.counters_.quarantined_ == 1U);
}

BOOST_AUTO_TEST_CASE(Request_WhenItCrashedTwoEngines_IsNotContinued) {
  const RequestId id = StartDecode(kDeadly);
  Crash(id);
  BOOST_TEST(!IsRefused(id));
  Reserve(id, true);
  Crash(id);
  BOOST_REQUIRE(IsRefused(id));
  BOOST_TEST((Verdict(id).run_state_ == RunState::kMayHaveRun));
}

BOOST_AUTO_TEST_CASE(Request_WhenOnlyItsFirstPartIsShared_IsSent) {
  Quarantine(kDeadly);
  const RequestId id = StartDecode(kSound);
  BOOST_TEST((Last(id).stage_ == Stage::kDecode));
}

BOOST_AUTO_TEST_CASE(Request_WhenQuarantinedDuringItsPrefill_IsNotDecoded) {
  const RequestId id = ArriveWith(kDeadly);
  Reserve(id, true);
  Quarantine(kDeadly);
  BOOST_REQUIRE(IsRefused(id));
  BOOST_TEST((Verdict(id).run_state_ == RunState::kNotRun));
  BOOST_TEST(Starts(id, Stage::kDecode) == 0U);
}

BOOST_AUTO_TEST_CASE(Request_WhenQuarantinedWhileItWaits_IsRefusedNotRun) {
  const RequestId id = ArriveWith(kDeadly);
  for (int i = 0; i < 3; ++i) {
    Reserve(id, false);
  }
  BOOST_REQUIRE(dispatcher_.waiting_.size() == 1U);
  Pass(Milliseconds(60));
  Quarantine(kDeadly);
  BOOST_REQUIRE(IsRefused(id));
  BOOST_TEST((Verdict(id).run_state_ == RunState::kNotRun));
}

BOOST_AUTO_TEST_CASE(Request_WhenQuarantinedBeforeItsFirstEvent_IsCancelled) {
  const RequestId id = StartDecode(kDeadly);
  Quarantine(kDeadly);
  BOOST_REQUIRE(IsRefused(id));
  BOOST_TEST((Verdict(id).run_state_ == RunState::kMayHaveRun));
}

// Guards against a part that crashes engines after the first event and is sent
// again and again.
BOOST_AUTO_TEST_CASE(Part_WhenItsEnginesCrashAfterTheFirstEvent_IsRefused) {
  for (int i = 0; i < 2; ++i) {
    const RequestId id = StartDecode(kDeadly);
    CrashAfterFirstEvent(id);
    BOOST_TEST(!IsRefused(id));
    Reserve(id, true);
    CrashAfterFirstEvent(id);
    BOOST_TEST(IsRefused(id));
    Pass(Milliseconds(1500));
  }
  const RequestId next = ArriveWith(kDeadly);
  BOOST_REQUIRE(IsRefused(next));
  BOOST_TEST((Verdict(next).run_state_ == RunState::kNotRun));
}

BOOST_AUTO_TEST_CASE(Answer_WhenCutOnceAfterItsFirstEvent_IsNoCertainCrash) {
  CrashAfterFirstEvent(StartDecode(kSound));
  BOOST_REQUIRE(dispatcher_.quarantine_.suspicions_.size() == 1U);
  BOOST_TEST(!dispatcher_.quarantine_.suspicions_.front().confirmed_);
  BOOST_TEST(!IsRefused(ArriveWith(kSound)));
}

BOOST_AUTO_TEST_CASE(Answer_WhenItWasSustained_IsNeitherBlamedNorCut) {
  const RequestId id = StartDecode(kSound);
  Begin(id);
  Sustain(id);
  Done(id, AttemptOutcome::kFailed, RunState::kMayHaveRun, 7);
  BOOST_TEST(dispatcher_.quarantine_.suspicions_.empty());
  const RequestId begun = StartDecode(kDeadly);
  Begin(begun);
  Quarantine(kDeadly);
  BOOST_TEST(!IsRefused(begun));
}

BOOST_AUTO_TEST_CASE(Answer_WhenItIsWrittenForAWhile_AcquitsItsParts) {
  StartDecode(kSound);
  Quarantine({10});
  const RequestId refused = ArriveWith({10, 40});
  BOOST_TEST(IsRefused(refused));
  const RequestId writing = [this] {
    dispatcher_.quarantine_.sets_.clear();
    const RequestId id = StartDecode(kSound);
    Begin(id);
    return id;
  }();
  Quarantine({10});
  Sustain(writing);
  BOOST_TEST(!IsRefused(writing));
  BOOST_TEST(!IsRefused(ArriveWith({10, 40})));
}

BOOST_AUTO_TEST_CASE(Answer_WhenItFallsSilentAfterItBegan_DoesNotAcquit) {
  Quarantine(kDeadly);
  dispatcher_.quarantine_.sets_.clear();
  Begin(StartDecode(kDeadly));
  Pass(2 * kHarmlessWritingTime);
  BOOST_TEST(dispatcher_.quarantine_.suspicions_.size() == 2U);
}

BOOST_AUTO_TEST_CASE(Answer_WhenItMayBeCutOff_DoesNotAcquit) {
  const RequestId id = StartDecode(kDeadly);
  Begin(id);
  AttemptDone done;
  done.request_ = id;
  done.attempt_ = Last(id).attempt_;
  done.outcome_ = AttemptOutcome::kDelivered;
  done.run_state_ = RunState::kRan;
  done.status_ = 200;
  done.wrote_events_ = true;
  done.ended_by_close_ = true;
  Handle(done);
  Quarantine(kDeadly);
  BOOST_TEST(IsRefused(ArriveWith(kDeadly)));
}

BOOST_AUTO_TEST_CASE(Connection_WhenLostBeforeAnyAnswer_IsNoCertainCrash) {
  for (int i = 0; i < 3; ++i) {
    Crash(StartDecode(kSound), 0);
    Pass(Milliseconds(1500));
    BOOST_TEST(!dispatcher_.quarantine_.suspicions_.back().confirmed_);
    BOOST_TEST(!IsRefused(ArriveWith(kSound)));
  }
}

BOOST_AUTO_TEST_CASE(Answer_WhenItIsMalformed_IsNoCrash) {
  for (int i = 0; i < 3; ++i) {
    const RequestId id = StartDecode(kSound);
    AttemptDone done;
    done.request_ = id;
    done.attempt_ = Last(id).attempt_;
    done.reason_ = core::Reason::kConnectionLost;
    done.status_ = 200;
    Handle(done);
    Pass(Milliseconds(1500));
  }
  BOOST_TEST(dispatcher_.quarantine_.suspicions_.empty());
}

BOOST_AUTO_TEST_CASE(Connections_WhenLostTogether_AreACrash) {
  const RequestId writing = StartDecode(kSound);
  Begin(writing);
  Sustain(writing);
  RequestId waiting = StartDecode(kDeadly);
  while (Last(waiting).server_ != Last(writing).server_) {
    waiting = StartDecode(kDeadly);
  }
  Done(writing, AttemptOutcome::kFailed, RunState::kMayHaveRun, 9);
  Crash(waiting, 0);
  BOOST_REQUIRE(dispatcher_.quarantine_.suspicions_.size() == 1U);
  BOOST_TEST(dispatcher_.quarantine_.suspicions_.front().confirmed_);
}

BOOST_AUTO_TEST_CASE(Engine_WhenItRefusesOrFailsOtherwise_IsNoCrash) {
  const RequestId refused = StartDecode(kDeadly);
  Done(refused, AttemptOutcome::kRefused, RunState::kNotRun);
  const RequestId failed = StartDecode(kDeadly);
  Done(failed, AttemptOutcome::kServerError, RunState::kRan);
  BOOST_TEST(dispatcher_.quarantine_.suspicions_.empty());
}

BOOST_AUTO_TEST_CASE(Stream_WhenClosedBeforeItsFirstEvent_IsACrash) {
  for (int i = 0; i < 2; ++i) {
    const RequestId id = StartDecode(kDeadly);
    AttemptDone done;
    done.request_ = id;
    done.attempt_ = Last(id).attempt_;
    done.outcome_ = AttemptOutcome::kFailed;
    done.reason_ = core::Reason::kBadAnswer;
    done.connection_lost_ = true;
    done.run_state_ = RunState::kMayHaveRun;
    done.status_ = 200;
    Handle(done);
    Pass(Milliseconds(1500));
  }
  const RequestId id = ArriveWith(kDeadly);
  BOOST_TEST(IsRefused(id));
}

BOOST_AUTO_TEST_CASE(EmptyStream_WhenDelivered_DoesNotAcquit) {
  const RequestId empty = StartDecode(kDeadly);
  Handle(AnswerBegan{empty, Last(empty).attempt_});
  AttemptDone done;
  done.request_ = empty;
  done.attempt_ = Last(empty).attempt_;
  done.outcome_ = AttemptOutcome::kDelivered;
  done.run_state_ = RunState::kRan;
  done.status_ = 200;
  Handle(done);
  Quarantine(kDeadly);
  BOOST_TEST(IsRefused(ArriveWith(kDeadly)));
}

BOOST_AUTO_TEST_CASE(Part_WhenItsEnginesCloseBeforeAnyHead_IsRefused) {
  for (int i = 0; i < 4; ++i) {
    Crash(StartDecode(kDeadly), 0);
    Pass(Milliseconds(1500));
  }
  BOOST_TEST(IsRefused(ArriveWith(kDeadly)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::dispatch
