#define BOOST_TEST_MODULE dispatch
#include <boost/test/unit_test.hpp>

#include "dispatcher_fixture.h"
#include "siskindrum/dispatch/limits.h"

namespace siskindrum::dispatch {
namespace {

BOOST_FIXTURE_TEST_SUITE(PlainCalls, DispatcherFixture)

BOOST_AUTO_TEST_CASE(Booking_WhenItMayHaveRun_IsNeverSentAgain) {
  const RequestId id = Arrive("/book/1");
  Done(id, AttemptOutcome::kFailed, RunState::kMayHaveRun);
  BOOST_TEST(Starts(id, Stage::kPlain) == 1U);
  BOOST_TEST((Verdict(id).run_state_ == RunState::kMayHaveRun));
}

BOOST_AUTO_TEST_CASE(Booking_WhenNothingWasSent_GoesToAnotherServer) {
  const RequestId id = Arrive("/book/1");
  const std::string first = Last(id).server_;
  Done(id, AttemptOutcome::kFailed, RunState::kNotRun);
  BOOST_TEST(Starts(id, Stage::kPlain) == 2U);
  BOOST_TEST(Last(id).server_ != first);
}

BOOST_AUTO_TEST_CASE(Booking_WhenTheServerRefusesIt_IsNotRunWithRetryAfter) {
  const RequestId id = Arrive("/book/1");
  Done(id, AttemptOutcome::kRefused, RunState::kNotRun);
  BOOST_TEST((Verdict(id).run_state_ == RunState::kNotRun));
  BOOST_TEST(Verdict(id).retry_after_.count() > 0);
}

BOOST_AUTO_TEST_CASE(Booking_WhenTheRuleLeavesAnAttempt_UsesItOnlyIfNotRun) {
  const RequestId lost = Arrive("/book2/1");
  Done(lost, AttemptOutcome::kFailed, RunState::kMayHaveRun);
  BOOST_TEST(Starts(lost, Stage::kPlain) == 1U);
  BOOST_TEST((Verdict(lost).run_state_ == RunState::kMayHaveRun));
  const RequestId refused = Arrive("/book2/1");
  const std::string first = Last(refused).server_;
  Done(refused, AttemptOutcome::kRefused, RunState::kNotRun);
  BOOST_TEST(Starts(refused, Stage::kPlain) == 2U);
  BOOST_TEST(Last(refused).server_ != first);
  const RequestId error = Arrive("/book2/1");
  Done(error, AttemptOutcome::kServerError, RunState::kRan);
  BOOST_TEST(Starts(error, Stage::kPlain) == 1U);
  BOOST_TEST(server_errors_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(Booking_WhenItsDeadlinePasses_MayHaveRun) {
  const RequestId id = Arrive("/book/1");
  Pass(Milliseconds(900));
  BOOST_TEST((Verdict(id).run_state_ == RunState::kMayHaveRun));
  BOOST_TEST((Verdict(id).reason_ == core::Reason::kDeadline));
}

BOOST_AUTO_TEST_CASE(Booking_WhenTheServerReturnsAnError_DeliversIt) {
  const RequestId id = Arrive("/book/1");
  Done(id, AttemptOutcome::kServerError, RunState::kRan);
  BOOST_TEST(server_errors_.size() == 1U);
  BOOST_TEST(!IsRefused(id));
}

BOOST_AUTO_TEST_CASE(Read_WhenTheAnswerIsLost_IsSentAgainAsTheRuleAllows) {
  const RequestId id = Arrive("/read/1");
  const std::string first = Last(id).server_;
  Done(id, AttemptOutcome::kFailed);
  BOOST_TEST(Last(id).server_ != first);
  Done(id, AttemptOutcome::kFailed);
  BOOST_TEST(Starts(id, Stage::kPlain) == 2U);
  BOOST_TEST((Verdict(id).run_state_ == RunState::kMayHaveRun));
}

BOOST_AUTO_TEST_CASE(Read_WhenRepeatedWithoutSuccess_GetsTheServersOwnError) {
  const RequestId id = Arrive("/read/1");
  Done(id, AttemptOutcome::kServerError, RunState::kRan);
  BOOST_TEST(server_errors_.empty());
  Done(id, AttemptOutcome::kFailed);
  BOOST_TEST(server_errors_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(Reads_WhenAllFail_RepeatWithinTheBudget) {
  std::size_t sends = 0;
  constexpr std::size_t kCalls = 200;
  for (std::size_t i = 0; i < kCalls; ++i) {
    const RequestId id = Arrive("/read/1");
    while (!IsRefused(id)) {
      Done(id, AttemptOutcome::kFailed);
    }
    sends += Starts(id, Stage::kPlain);
  }
  // All entries together may repeat a fifth of the calls.
  BOOST_TEST(sends - kCalls <= kCalls / 5);
  BOOST_TEST(sends - kCalls >= kCalls / 10);
}

BOOST_AUTO_TEST_CASE(Caller_WhenItLeaves_EndsTheRequest) {
  const RequestId id = Arrive("/read/1");
  Handle(CallerLeft{id});
  BOOST_TEST(dispatcher_.calls_.empty());
  BOOST_TEST(dispatcher_.pool_.servers_.at(Last(id).server_).calls_ == 0U);
}

BOOST_AUTO_TEST_CASE(Request_WhenNoRuleRoutesIt_IsRefusedByTheRule) {
  const RequestId id = Arrive("/nowhere/1");
  BOOST_TEST((Verdict(id).reason_ == core::Reason::kRefusedByRule));
}

BOOST_AUTO_TEST_CASE(Calls_WhenAServerDoesNotAnswer_GoToTheOthers) {
  const RequestId silent = Arrive("/book/1");
  const std::string silent_server = Last(silent).server_;
  Pass(Milliseconds(400));
  std::size_t to_silent = 0;
  for (int i = 0; i < 20; ++i) {
    const RequestId id = Arrive("/book/2");
    to_silent += Last(id).server_ == silent_server ? 1 : 0;
    Done(id, AttemptOutcome::kDelivered, RunState::kRan);
  }
  BOOST_TEST(to_silent == 0U);
}

// Simulates a steady load on three servers, of which s1 takes five times as
// long.
BOOST_AUTO_TEST_CASE(Reads_WhenAServerTurnsSlow_MostlyGoToTheOthers) {
  std::map<std::string, int> taken;
  std::map<RequestId, TimePoint> ends;
  for (int i = 0; i < 800; ++i) {
    const RequestId id = Arrive("/read/1");
    const std::string server = Last(id).server_;
    ++taken[server];
    ends[id] = now_ + Milliseconds(server == "s1" ? 250 : 50);
    now_ += Milliseconds(20);
    for (auto it = ends.begin(); it != ends.end();) {
      if (it->second <= now_) {
        Done(it->first, AttemptOutcome::kDelivered, RunState::kRan);
        it = ends.erase(it);
      } else {
        ++it;
      }
    }
  }
  BOOST_TEST(taken["s1"] * 10 <= 800);
  // The slow server is still tried at times, as it may have recovered.
  BOOST_TEST(taken["s1"] >= 3);
}

BOOST_AUTO_TEST_CASE(Reads_WhenABusyServerKeepsAnswering_StillGoThere) {
  Leave(Plain("s2"));
  Leave(Plain("s3"));
  std::vector<RequestId> open;
  for (int i = 0; i < 20; ++i) {
    open.push_back(Arrive("/read/1"));
    now_ += Milliseconds(50);
    if (open.size() > 2) {
      Done(open.front(), AttemptOutcome::kDelivered, RunState::kRan);
      open.erase(open.begin());
    }
  }
  BOOST_TEST((now_ - FindServer(dispatcher_.pool_, "s1")->silent_since_ <=
              Milliseconds(50)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Servers, DispatcherFixture)

BOOST_AUTO_TEST_CASE(Server_WhenItAnnouncesLeaving_GetsNoNewCalls) {
  Leave(Plain("s1"));
  Leave(Plain("s2"));
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(Last(Arrive("/book/1")).server_ == "s3");
  }
  Leave(Plain("s3"));
  BOOST_TEST((Verdict(Arrive("/book/1")).reason_ == core::Reason::kNoServer));
}

BOOST_AUTO_TEST_CASE(Server_WhenUnlisted_IsBrieflyUsedAsALastResort) {
  Remove("s1");
  BOOST_TEST(Last(Arrive("/book/1")).server_ != "s1");
  Remove("s2");
  Remove("s3");
  BOOST_TEST(!IsRefused(Arrive("/book/1")));
  // Two seconds after it left the list a server must get no new call.
  Pass(Milliseconds(1900));
  BOOST_TEST(IsRefused(Arrive("/book/1")));
}

BOOST_AUTO_TEST_CASE(Server_WhenItIsListedAgain_ServesAgain) {
  for (const char* name : {"s1", "s2", "s3"}) {
    Remove(name);
  }
  Pass(Milliseconds(3000));
  List({Plain("s2")}, false);
  BOOST_TEST(Last(Arrive("/book/1")).server_ == "s2");
}

BOOST_AUTO_TEST_CASE(Server_WhenDraining_IsNotUsedAfterItIsUnlisted) {
  Leave(Plain("s1"));
  Remove("s1");
  Remove("s2");
  Remove("s3");
  for (int i = 0; i < 9; ++i) {
    BOOST_TEST(Last(Arrive("/book/1")).server_ != "s1");
  }
}

BOOST_AUTO_TEST_CASE(Snapshot_WhenAServerIsMissing_CountsItAsUnlisted) {
  List({Plain("s1")}, true);
  for (int i = 0; i < 9; ++i) {
    BOOST_TEST(Last(Arrive("/book/1")).server_ == "s1");
  }
}

BOOST_AUTO_TEST_CASE(Entry_WhenItHasRulesAndAList_IsReadyUntilItDrains) {
  BOOST_TEST(ready_);
  Handle(DrainBegan{now_ + Milliseconds(2800), now_ + Milliseconds(7000)});
  BOOST_TEST(!ready_);
  BOOST_TEST(!IsRefused(Arrive("/book/1")));
}

BOOST_AUTO_TEST_CASE(Drain_WhenARequestComesLate_TakesItOnlyIfItEndsInTime) {
  Handle(DrainBegan{now_ + Milliseconds(2800), now_ + Milliseconds(7000)});
  BOOST_TEST(!IsRefused(Arrive("/resume/1")));
  Pass(Milliseconds(2900));
  BOOST_TEST(!IsRefused(Arrive("/book/1")));
  const RequestId late = Arrive("/resume/1");
  BOOST_TEST(starts_.count(late) == 0U);
  BOOST_REQUIRE(IsRefused(late));
  BOOST_TEST((Verdict(late).reason_ == core::Reason::kDraining));
  BOOST_TEST((Verdict(late).run_state_ == RunState::kNotRun));
  Pass(Milliseconds(3500));
  BOOST_TEST(IsRefused(Arrive("/book/1")));
}

BOOST_AUTO_TEST_CASE(Drain_AtItsEnd_FailsRequestsWithoutAnAnswer) {
  const RequestId begun = StartAnswer("/resume/1");
  const RequestId reserving = Arrive("/resume/1");
  const RequestId decoding = Arrive("/resume/1");
  Reserve(decoding, true);
  Prefill(decoding, true);
  Handle(DrainBegan{now_ + Milliseconds(1000), now_ + Milliseconds(2000)});
  Pass(Milliseconds(1900));
  BOOST_TEST(refused_.empty());
  Pass(Milliseconds(200));
  BOOST_TEST(!IsRefused(begun));
  BOOST_REQUIRE(IsRefused(reserving));
  BOOST_TEST((Verdict(reserving).run_state_ == RunState::kNotRun));
  BOOST_REQUIRE(IsRefused(decoding));
  BOOST_TEST((Verdict(decoding).run_state_ == RunState::kMayHaveRun));
}

BOOST_AUTO_TEST_CASE(Configuration_WhenOlder_ChangesNothing) {
  Configure(5, "default then refuse # asked by Ann\n");
  Configure(4, kRules);
  BOOST_TEST(
      (Verdict(Arrive("/book/1")).reason_ == core::Reason::kRefusedByRule));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::dispatch
