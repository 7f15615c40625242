#include <boost/test/unit_test.hpp>

#include "dispatcher_fixture.h"
#include "siskindrum/dispatch/limits.h"
#include "siskindrum/dispatch/stage_plan.h"

namespace siskindrum::dispatch {
namespace {

// Servers whose first process has incarnation 100.
struct NoticesFixture : DispatcherFixture {
  static constexpr core::Incarnation kFirstStart = 100;

  NoticesFixture() {
    std::vector<core::ServerInfo> list;
    for (const auto& [name, server] : dispatcher_.pool_.servers_) {
      list.push_back(Started(server.info_, kFirstStart));
    }
    List(list, true);
  }

  static core::ServerInfo Started(core::ServerInfo info,
                                  core::Incarnation incarnation) {
    info.incarnation_ = incarnation;
    return info;
  }
  static core::ServerInfo Decode(const std::string& name) {
    return Started(Engine(name, core::ServerRole::kDecode), kFirstStart);
  }
  void AnnounceLeaving(const std::string& name,
                       core::Incarnation incarnation = kFirstStart) {
    Handle(ServerNoticeReceived{name, incarnation, true});
  }
  void AskForPause(const std::string& name,
                   Milliseconds pause,
                   core::Incarnation incarnation = kFirstStart) {
    Handle(ServerNoticeReceived{name, incarnation, false, pause, "text"});
  }
  void PauseAll(const std::vector<std::string>& names, Milliseconds pause) {
    for (const std::string& name : names) {
      AskForPause(name, pause);
    }
  }
  bool IsUsed(const std::string& name) {
    return AcceptsNewWork(dispatcher_.pool_,
                          *FindServer(dispatcher_.pool_, name), now_);
  }
  std::size_t Logged(const std::string& event) const {
    return static_cast<std::size_t>(std::count_if(
        logs_.begin(), logs_.end(),
        [&event](const core::LogEvent& one) { return one.event_ == event; }));
  }
};

BOOST_FIXTURE_TEST_SUITE(LeavingNotices, NoticesFixture)

BOOST_AUTO_TEST_CASE(Server_WhenItSaysThatItLeaves_GetsNoNewCalls) {
  AnnounceLeaving("s1");
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(Last(Arrive("/read/1")).server_ != "s1");
  }
  BOOST_TEST(Logged("server_said_leaving") == 1U);
}

BOOST_AUTO_TEST_CASE(Server_WhenItRepeatsThatItLeaves_IsLoggedOnce) {
  AnnounceLeaving("s1");
  Pass(Milliseconds(500));
  AnnounceLeaving("s1");
  BOOST_TEST(Logged("server_said_leaving") == 1U);
  BOOST_TEST(dispatcher_.counters_.leaving_announced_ == 1U);
}

BOOST_AUTO_TEST_CASE(LeavingServer_WhenItIsListedAsReadyAgain_GetsNothing) {
  AnnounceLeaving("s1");
  List({Started(Plain("s1"), kFirstStart)}, false);
  BOOST_TEST(!IsUsed("s1"));
  Remove("s1");
  List({Started(Plain("s1"), kFirstStart)}, false);
  BOOST_TEST(!IsUsed("s1"));
}

BOOST_AUTO_TEST_CASE(LeavingServer_WhenRemovedFromThePool_GetsNothingLater) {
  AnnounceLeaving("s1");
  Remove("s1");
  Pass(kUnlistedServerRetention + Milliseconds(100));
  BOOST_REQUIRE(FindServer(dispatcher_.pool_, "s1") == nullptr);
  List({Started(Plain("s1"), kFirstStart)}, false);
  BOOST_TEST(!IsUsed("s1"));
}

BOOST_AUTO_TEST_CASE(LeavingServer_WhenItStartsAnew_ServesAgain) {
  AnnounceLeaving("s1");
  List({Started(Plain("s1"), kFirstStart + 1)}, false);
  BOOST_TEST(IsUsed("s1"));
  // A late answer of the earlier process, and a list that is out of date.
  AnnounceLeaving("s1");
  BOOST_TEST(IsUsed("s1"));
  List({Started(Plain("s1"), kFirstStart)}, false);
  BOOST_TEST(!IsUsed("s1"));
}

BOOST_AUTO_TEST_CASE(LeavingServer_WhenAnEarlierProcessSaidSo_IsKnownAnew) {
  AnnounceLeaving("s1");
  List({Started(Plain("s1"), kFirstStart + 1)}, false);
  AnnounceLeaving("s1", kFirstStart + 1);
  BOOST_TEST(!IsUsed("s1"));
  BOOST_TEST(Logged("server_said_leaving") == 2U);
}

BOOST_AUTO_TEST_CASE(LeavingServer_WhenItsAddressIsReused_DoesNotBindTheOther) {
  AnnounceLeaving("s1");
  core::ServerInfo other = Started(Plain("s9"), kFirstStart);
  other.address_ = Plain("s1").address_;
  List({other}, false);
  BOOST_TEST(IsUsed("s9"));
}

BOOST_AUTO_TEST_CASE(LeavingNotice_WhenItsLifetimeHasPassed_IsDropped) {
  AnnounceLeaving("s1");
  now_ += kLeavingNoticeLifetime;
  Handle(Ticked{});
  BOOST_TEST(IsUsed("s1"));
  BOOST_TEST(dispatcher_.pool_.notices_.by_name_.empty());
}

BOOST_AUTO_TEST_CASE(LeavingNotices_WhenThereAreTooMany_LoseTheOldest) {
  for (std::size_t i = 0; i <= kMaxServerNotices; ++i) {
    now_ += Milliseconds(1);
    AnnounceLeaving("x" + std::to_string(i));
  }
  const auto& kept = dispatcher_.pool_.notices_.by_name_;
  BOOST_TEST(kept.size() == kMaxServerNotices);
  BOOST_TEST(!kept.contains("x0"));
  BOOST_TEST(kept.contains("x" + std::to_string(kMaxServerNotices)));
}

BOOST_AUTO_TEST_CASE(Calls_WhenAllServersOfAPoolLeave_AreRefusedAtOnce) {
  for (const char* name : {"s1", "s2", "s3"}) {
    AnnounceLeaving(name);
  }
  const RequestId id = Arrive("/read/1");
  BOOST_TEST((Verdict(id).reason_ == core::Reason::kNoServer));
  BOOST_TEST((Verdict(id).run_state_ == RunState::kNotRun));
}

BOOST_AUTO_TEST_CASE(Streams_WhenAllDecodeEnginesLeave_AreRefusedAtOnce) {
  for (const char* name : {"d1", "d2", "d3"}) {
    AnnounceLeaving(name);
  }
  BOOST_TEST((Verdict(Arrive("/stream/1")).reason_ == core::Reason::kNoServer));
}

BOOST_AUTO_TEST_CASE(Streams_WhenAllPrefillEnginesLeave_ArePrefilledByDecode) {
  AnnounceLeaving("p1");
  AnnounceLeaving("p2");
  const RequestId id = Arrive("/stream/1");
  Reserve(id, true);
  BOOST_TEST((Last(id).stage_ == Stage::kDecode));
}

BOOST_AUTO_TEST_CASE(Reservation_WhenItsAnswerSaysLeaving_IsMadeElsewhere) {
  const RequestId id = Arrive("/stream/1");
  const std::string leaving = Last(id).server_;
  AnnounceLeaving(leaving);
  Reserve(id, true);
  BOOST_TEST((Last(id).stage_ == Stage::kReserve));
  BOOST_TEST(Last(id).server_ != leaving);
  BOOST_TEST(released_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(Prefill_WhenTheDecodeEngineLeavesMeanwhile_GoesToAnother) {
  const RequestId id = Arrive("/stream/1");
  const std::string leaving = Last(id).server_;
  Reserve(id, true);
  AnnounceLeaving(leaving);
  Prefill(id, true);
  BOOST_TEST((Last(id).stage_ == Stage::kReserve));
  BOOST_TEST(Last(id).server_ != leaving);
  Reserve(id, true);
  BOOST_TEST((Last(id).stage_ == Stage::kDecode));
  BOOST_TEST(Last(id).handle_ == "kv");
}

BOOST_AUTO_TEST_CASE(Stream_WhenItResumes_AvoidsEnginesThatLeave) {
  const RequestId id = StartAnswer("/resume/1");
  const std::string broken = Last(id).server_;
  std::string remaining;
  for (const char* name : {"d1", "d2", "d3"}) {
    if (name != broken && remaining.empty()) {
      remaining = name;
    } else if (name != broken) {
      AnnounceLeaving(name);
    }
  }
  Done(id, AttemptOutcome::kFailed, RunState::kMayHaveRun, 17);
  BOOST_TEST(Last(id).server_ == remaining);
}

BOOST_AUTO_TEST_CASE(WaitingRequest_WhenAllEnginesLeave_IsRefused) {
  const RequestId id = Arrive("/stream/1");
  while (!dispatcher_.calls_.at(id).waiting_) {
    Reserve(id, false);
  }
  for (const char* name : {"d1", "d2", "d3"}) {
    AnnounceLeaving(name);
  }
  Pass(kTickInterval);
  BOOST_TEST((Verdict(id).reason_ == core::Reason::kNoServer));
}

BOOST_AUTO_TEST_CASE(LeavingServer_WhenACallRunsThere_LetsItFinish) {
  const RequestId id = Arrive("/read/1");
  AnnounceLeaving(Last(id).server_);
  Done(id, AttemptOutcome::kDelivered, RunState::kRan);
  BOOST_TEST(!IsRefused(id));
  BOOST_TEST(Starts(id, Stage::kPlain) == 1U);
}

BOOST_AUTO_TEST_CASE(PrefillEngines_WhenTheyLeave_AreNotConverted) {
  List({Started(Engine("p3", core::ServerRole::kPrefill), kFirstStart),
        Started(Engine("d4", core::ServerRole::kDecode), kFirstStart)},
       false);
  BOOST_TEST(PrefillEnginesToConvert(dispatcher_.pool_, now_).front() == "p3");
  AnnounceLeaving("p3");
  const std::vector<std::string> convert =
      PrefillEnginesToConvert(dispatcher_.pool_, now_);
  BOOST_TEST((convert == std::vector<std::string>{"p2"}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(PauseNotices, NoticesFixture)

BOOST_AUTO_TEST_CASE(Server_WhenItAsksForAPause_GetsNothingUntilItsEnd) {
  AskForPause("s1", Milliseconds(1500));
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(Last(Arrive("/read/1")).server_ != "s1");
  }
  Pass(Milliseconds(1480));
  BOOST_TEST(!IsUsed("s1"));
  Pass(Milliseconds(20));
  BOOST_TEST(IsUsed("s1"));
  BOOST_TEST(Logged("server_asked_pause") == 1U);
  BOOST_TEST(dispatcher_.counters_.pauses_asked_ == 1U);
}

BOOST_AUTO_TEST_CASE(Pause_WhenAShorterOneFollows_KeepsItsEnd) {
  AskForPause("s1", Milliseconds(2000));
  Pass(Milliseconds(500));
  AskForPause("s1", Milliseconds(100));
  Pass(Milliseconds(1400));
  BOOST_TEST(!IsUsed("s1"));
}

BOOST_AUTO_TEST_CASE(PausedServer_WhenRelistedOrRemoved_StaysPaused) {
  AskForPause("s1", Milliseconds(20000));
  List({Started(Plain("s1"), kFirstStart)}, false);
  BOOST_TEST(!IsUsed("s1"));
  Remove("s1");
  Pass(kUnlistedServerRetention + Milliseconds(100));
  BOOST_REQUIRE(FindServer(dispatcher_.pool_, "s1") == nullptr);
  List({Started(Plain("s1"), kFirstStart)}, false);
  BOOST_TEST(!IsUsed("s1"));
}

BOOST_AUTO_TEST_CASE(PausedServer_WhenItStartsAnew_ServesAgain) {
  AskForPause("s1", Milliseconds(20000));
  List({Started(Plain("s1"), kFirstStart + 1)}, false);
  BOOST_TEST(IsUsed("s1"));
}

BOOST_AUTO_TEST_CASE(PausedServer_WhenItAlsoLeaves_GetsNothingAfterThePause) {
  AskForPause("s1", Milliseconds(100));
  AnnounceLeaving("s1");
  Pass(Milliseconds(200));
  BOOST_TEST(!IsUsed("s1"));
}

BOOST_AUTO_TEST_CASE(Notices_WhenThePauseHasPassed_AreDropped) {
  AskForPause("s1", Milliseconds(100));
  Pass(Milliseconds(100));
  BOOST_TEST(dispatcher_.pool_.notices_.by_name_.empty());
}

BOOST_AUTO_TEST_CASE(Calls_WhenAllServersArePaused_AreRefusedUntilTheFirstEnd) {
  PauseAll({"s1", "s2"}, Milliseconds(3000));
  AskForPause("s3", Milliseconds(2000));
  Pass(Milliseconds(500));
  const RequestId id = Arrive("/read/1");
  BOOST_REQUIRE(IsRefused(id));
  BOOST_TEST((Verdict(id).run_state_ == RunState::kNotRun));
  BOOST_TEST((Verdict(id).reason_ == core::Reason::kOverloaded));
  BOOST_TEST(Verdict(id).retry_after_.count() >= 1500);
  BOOST_TEST(Verdict(id).retry_after_.count() <= 2250);
}

BOOST_AUTO_TEST_CASE(Calls_WhenTheOnlyPausedServerLeaves_HaveNoServer) {
  AnnounceLeaving("s1");
  AnnounceLeaving("s2");
  AskForPause("s3", Milliseconds(2000));
  AnnounceLeaving("s3");
  BOOST_TEST((Verdict(Arrive("/read/1")).reason_ == core::Reason::kNoServer));
}

BOOST_AUTO_TEST_CASE(Call_WhenItsServerRefusesWithAPause_GoesToAnother) {
  const RequestId id = Arrive("/read/1");
  const std::string busy = Last(id).server_;
  AskForPause(busy, Milliseconds(1000));
  Done(id, AttemptOutcome::kRefused, RunState::kNotRun);
  BOOST_TEST(Last(id).server_ != busy);
}

BOOST_AUTO_TEST_CASE(Stream_WhenAllEnginesPauseBriefly_WaitsForTheFirstEnd) {
  PauseAll({"d1", "d2", "d3"}, Milliseconds(300));
  const RequestId id = Arrive("/stream/1");
  Pass(Milliseconds(280));
  BOOST_TEST(!IsRefused(id));
  BOOST_TEST(Starts(id, Stage::kReserve) == 0U);
  Pass(Milliseconds(20));
  BOOST_TEST(Starts(id, Stage::kReserve) == 1U);
}

BOOST_AUTO_TEST_CASE(Stream_WhenAllEnginesPauseBeyondItsTarget_IsRefused) {
  PauseAll({"d1", "d2", "d3"}, Milliseconds(1000));
  const RequestId id = Arrive("/stream/1");
  BOOST_REQUIRE(IsRefused(id));
  BOOST_TEST((Verdict(id).reason_ == core::Reason::kOverloaded));
  BOOST_TEST(Verdict(id).retry_after_.count() >= 1000);
}

BOOST_AUTO_TEST_CASE(WaitingRequest_WhenAllEnginesPause_IsRefusedAtOnce) {
  const RequestId id = Arrive("/stream/1");
  while (!dispatcher_.calls_.at(id).waiting_) {
    Reserve(id, false);
  }
  PauseAll({"d1", "d2", "d3"}, Milliseconds(5000));
  Pass(kTickInterval);
  BOOST_REQUIRE(IsRefused(id));
  BOOST_TEST(Verdict(id).retry_after_.count() >= 4980);
}

BOOST_AUTO_TEST_CASE(Reservation_WhenRefusedWithAPause_IsNotMadeThereAgain) {
  const RequestId id = Arrive("/stream/1");
  const std::string busy = Last(id).server_;
  AskForPause(busy, Milliseconds(2000));
  Reserve(id, false);
  BOOST_TEST(Last(id).server_ != busy);
  for (int i = 0; i < 20; ++i) {
    Pass(Milliseconds(90));
    BOOST_TEST(Last(Arrive("/stream/1", 500, 50)).server_ != busy);
  }
}

BOOST_AUTO_TEST_CASE(ResumedStream_WhenAllEnginesPause_WaitsForTheFirstEnd) {
  const RequestId id = StartAnswer("/resume/1");
  PauseAll({"d1", "d2", "d3"}, Milliseconds(2000));
  Done(id, AttemptOutcome::kFailed, RunState::kMayHaveRun, 17);
  Pass(Milliseconds(1980));
  BOOST_TEST(!IsRefused(id));
  BOOST_TEST(Starts(id, Stage::kReserve) == 1U);
  Pass(Milliseconds(40));
  BOOST_TEST(Starts(id, Stage::kReserve) == 2U);
}

BOOST_AUTO_TEST_CASE(ResumedStream_WhenThePauseOutlastsItsDeadline_IsCut) {
  const RequestId id = StartAnswer("/resume/1");
  PauseAll({"d1", "d2", "d3"}, Milliseconds(20000));
  Done(id, AttemptOutcome::kFailed, RunState::kMayHaveRun, 17);
  BOOST_TEST(IsRefused(id));
}

BOOST_AUTO_TEST_CASE(Streams_WhenAllPrefillEnginesPause_ArePrefilledByDecode) {
  PauseAll({"p1", "p2"}, Milliseconds(2000));
  const RequestId id = Arrive("/stream/1");
  Reserve(id, true);
  BOOST_TEST((Last(id).stage_ == Stage::kDecode));
}

BOOST_AUTO_TEST_CASE(PausedEngines_WhenARequestEnds_GetNoReleaseOrFree) {
  const RequestId id = Arrive("/stream/1");
  Reserve(id, true);
  AskForPause(Last(id).server_, Milliseconds(2000));
  PauseAll({"d1", "d2", "d3"}, Milliseconds(2000));
  Prefill(id, true);
  BOOST_REQUIRE(IsRefused(id));
  BOOST_TEST(released_.empty());
  BOOST_TEST(freed_.empty());
}

BOOST_AUTO_TEST_CASE(
    PausedEngines_WhenTheEntryRestarted_AreNotAskedForPrompts) {
  dispatcher_.options_.restarted_ = true;
  AskForPause("d1", Milliseconds(20000));
  Pass(Milliseconds(3000));
  BOOST_TEST(!queried_engines_.empty());
  BOOST_TEST(
      std::count(queried_engines_.begin(), queried_engines_.end(), "d1") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::dispatch
