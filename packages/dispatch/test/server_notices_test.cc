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

}  // namespace
}  // namespace siskindrum::dispatch
