// Tests that a stream goes on only at the software version that began it.

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "fleet.h"
#include "siskindrum/dispatch/limits.h"

namespace siskindrum::dispatch {
namespace {

constexpr std::uint64_t kPrompt = 0x91bd3f06;

core::ServerInfo VersionedEngine(const std::string& name,
                                 core::ServerRole role,
                                 const std::string& version) {
  core::ServerInfo info = DispatcherFixture::Engine(name, role);
  info.software_version_ = version;
  return info;
}

// Engines of two versions, with two decode engines each.
std::vector<core::ServerInfo> EnginesOfTwoVersions() {
  std::vector<core::ServerInfo> engines;
  for (const char* version : {"v1", "v2"}) {
    const std::string suffix = std::string("-") + version;
    engines.push_back(
        VersionedEngine("p" + suffix, core::ServerRole::kPrefill, version));
    engines.push_back(
        VersionedEngine("d1" + suffix, core::ServerRole::kDecode, version));
    engines.push_back(
        VersionedEngine("d2" + suffix, core::ServerRole::kDecode, version));
  }
  return engines;
}

std::string VersionOf(const std::string& engine) {
  return engine.substr(engine.find('-') + 1);
}

CallArrived TakeUp(std::uint64_t number,
                   const std::string& resumes,
                   TimePoint now) {
  CallArrived arrived;
  arrived.request_ = {2, number};
  arrived.call_.shape_.path_ = "/resume/1";
  arrived.call_.shape_.prompt_tokens_ = 5000;
  arrived.call_.answer_tokens_ = 700;
  arrived.call_.prompt_ = kPrompt + number;
  arrived.call_.label_ = "again" + std::to_string(number);
  arrived.call_.time_left_ = Milliseconds(10000);
  arrived.call_.last_event_ = 12;
  arrived.call_.resumes_ = resumes;
  arrived.arrived_at_ = now;
  return arrived;
}

struct StreamVersionsFixture : DispatcherFixture {
  StreamVersionsFixture() { List(EnginesOfTwoVersions(), true); }

  void Restart() {
    DispatcherOptions options = Options("entry-1");
    options.restarted_ = true;
    options.incarnation_ = 2;
    dispatcher_ = MakeDispatcher(options);
    Configure(1, kRules);
    List(EnginesOfTwoVersions(), true);
  }
  // Version of the server that was last asked for the answer.
  std::string LastVersion(const RequestId& id) const {
    return VersionOf(Last(id).server_);
  }
};

BOOST_FIXTURE_TEST_SUITE(StreamVersions, StreamVersionsFixture)

BOOST_AUTO_TEST_CASE(Stream_WhenItsServerFails_GoesOnAtTheVersionThatBeganIt) {
  for (int i = 0; i < 20; ++i) {
    const RequestId id = StartAnswer("/resume/1");
    const std::string version = LastVersion(id);
    Done(id, AttemptOutcome::kFailed, RunState::kMayHaveRun, 17);
    BOOST_TEST(LastVersion(id) == version);
    Handle(CallerLeft{id});
    Pass(Milliseconds(5000));
  }
}

// Guards against a report of the first event that was lost in a full ring.
BOOST_AUTO_TEST_CASE(Stream_WhenOnlyItsEndIsReported_GoesOnAtItsVersion) {
  for (int i = 0; i < 20; ++i) {
    const RequestId id = Arrive("/resume/1");
    Reserve(id, true);
    Prefill(id, true);
    const std::string version = LastVersion(id);
    Done(id, AttemptOutcome::kFailed, RunState::kMayHaveRun, 17);
    BOOST_TEST(LastVersion(id) == version);
    Handle(CallerLeft{id});
    Pass(Milliseconds(5000));
  }
}

// The server that brought the first event counts, not one that failed before.
BOOST_AUTO_TEST_CASE(Stream_WhenRepeatedBeforeItsFirstEvent_KeepsTheLater) {
  for (int i = 0; i < 20; ++i) {
    std::string rules = kRules;
    rules.replace(rules.find("retries=1"), 9, "retries=2");
    Configure(static_cast<std::uint64_t>(i) + 2, rules);
    const RequestId id = Arrive("/resume/1");
    Reserve(id, true);
    Prefill(id, true);
    Done(id, AttemptOutcome::kFailed, RunState::kMayHaveRun);
    Reserve(id, true);
    const std::string version = LastVersion(id);
    Begin(id);
    Done(id, AttemptOutcome::kFailed, RunState::kMayHaveRun, 17);
    BOOST_TEST(LastVersion(id) == version);
    Handle(CallerLeft{id});
    Pass(Milliseconds(5000));
  }
}

// Guards against an import at a server that started again meanwhile.
BOOST_AUTO_TEST_CASE(TakeUp_WhenItsServerChangesVersionMeanwhile_IsPlacedAnew) {
  const RequestId first = StartAnswer("/resume/1");
  const std::string version = LastVersion(first);
  const std::string label = "r" + std::to_string(requests_);
  Handle(CallerLeft{first});
  const CallArrived again = TakeUp(1, label, now_);
  Handle(again);
  const std::string engine = Last(again.request_).server_;
  Reserve(again.request_, true);
  BOOST_REQUIRE((Last(again.request_).stage_ == Stage::kPrefill));
  core::ServerInfo restarted =
      VersionedEngine(engine, core::ServerRole::kDecode, "v3");
  restarted.incarnation_ = 9;
  List({restarted}, false);
  Prefill(again.request_, true);
  BOOST_TEST(Last(again.request_).server_ != engine);
  BOOST_TEST(LastVersion(again.request_) == version);
}

BOOST_AUTO_TEST_CASE(Stream_WhenItsVersionHasLeft_IsCutAndNotJoined) {
  const RequestId id = StartAnswer("/resume/1");
  const std::string version = LastVersion(id);
  for (const core::ServerInfo& engine : EnginesOfTwoVersions()) {
    if (engine.software_version_ == version) {
      Leave(engine);
    }
  }
  Done(id, AttemptOutcome::kFailed, RunState::kMayHaveRun, 17);
  BOOST_TEST(Starts(id, Stage::kReserve) == 1U);
  BOOST_TEST(IsRefused(id));
}

BOOST_AUTO_TEST_CASE(TakeUp_WhenThisEntryBeganTheStream_GoesOnAtItsVersion) {
  for (std::uint64_t i = 0; i < 20; ++i) {
    const RequestId id = StartAnswer("/resume/1");
    const std::string version = LastVersion(id);
    Handle(CallerLeft{id});
    const CallArrived again = TakeUp(i, "r" + std::to_string(requests_), now_);
    Handle(again);
    BOOST_TEST(LastVersion(again.request_) == version);
    Handle(CallerLeft{again.request_});
    Pass(Milliseconds(1000));
  }
}

// Guards against joins after all entries were killed at once.
BOOST_AUTO_TEST_CASE(TakeUp_WhenNobodyKnowsWhoBeganTheStream_IsRefused) {
  Restart();
  Pass(Milliseconds(100));
  for (std::uint64_t i = 0; i < 5; ++i) {
    const CallArrived again = TakeUp(i, "lost" + std::to_string(i), now_);
    Handle(again);
    Pass(Milliseconds(3000));
    BOOST_TEST(Starts(again.request_, Stage::kReserve) == 0U);
    BOOST_REQUIRE(IsRefused(again.request_));
    BOOST_TEST((Verdict(again.request_).run_state_ == RunState::kNotRun));
  }
}

// An engine that decoded the stream retains its prompt.
BOOST_AUTO_TEST_CASE(
    TakeUp_AfterARestart_GoesOnAtTheVersionThatRetainsItsPrompt) {
  Restart();
  Handle(Ticked{});
  for (const core::ServerInfo& engine : EnginesOfTwoVersions()) {
    std::vector<std::uint64_t> prompts;
    if (engine.name_ == "d1-v2" || engine.role_ == core::ServerRole::kPrefill) {
      prompts = {kPrompt + 1, kPrompt + 2};
    }
    Handle(RetainedPromptsListed{engine.name_, prompts});
  }
  for (const std::uint64_t number : {1U, 2U}) {
    const CallArrived again = TakeUp(number, "lost", now_);
    Handle(again);
    Handle(ListConfirmed{now_, dispatcher_.list_version_});
    Pass(Milliseconds(300));
    BOOST_REQUIRE(starts_.contains(again.request_));
    BOOST_TEST(LastVersion(again.request_) == "v2");
  }
}

// Guards against what an engine retained before it started again elsewhere.
BOOST_AUTO_TEST_CASE(TakeUp_WhenTheEngineHasStartedAgain_IsNotTakenForItsOwn) {
  Restart();
  Handle(Ticked{});
  Handle(RetainedPromptsListed{"d1-v1", {kPrompt + 1}});
  core::ServerInfo again_started =
      VersionedEngine("d1-v1", core::ServerRole::kDecode, "v3");
  again_started.incarnation_ = 9;
  List({again_started}, false);
  const CallArrived again = TakeUp(1, "lost", now_);
  Handle(again);
  Pass(Milliseconds(4000));
  BOOST_TEST(!starts_.contains(again.request_));
  BOOST_TEST(IsRefused(again.request_));
}

// Engines go on for a while with streams of entries that lost power.
BOOST_AUTO_TEST_CASE(TakeUp_AfterARestart_GoesOnAtTheVersionThatStillRunsIt) {
  Restart();
  Handle(Ticked{});
  Handle(RunsListed{"d2-v1", {"first1", "other"}});
  const CallArrived again = TakeUp(1, "first1", now_);
  Handle(again);
  BOOST_REQUIRE(starts_.contains(again.request_));
  BOOST_TEST(LastVersion(again.request_) == "v1");
  const CallArrived later = TakeUp(2, "first2", now_);
  Handle(later);
  BOOST_TEST(!starts_.contains(later.request_));
  Handle(RunsListed{"d1-v2", {"first2"}});
  BOOST_REQUIRE(starts_.contains(later.request_));
  BOOST_TEST(LastVersion(later.request_) == "v2");
}

// Guards against take-ups that are refused as late while new streams begin.
BOOST_AUTO_TEST_CASE(TakeUp_WhenCapacityIsShort_WaitsAsAStreamInProgress) {
  const RequestId first = StartAnswer("/resume/1");
  const std::string label = "r" + std::to_string(requests_);
  Handle(CallerLeft{first});
  for (int i = 0; i < 8; ++i) {
    const RequestId id = Arrive("/stream/1");
    while (starts_.contains(id) && Last(id).stage_ == Stage::kReserve &&
           !dispatcher_.calls_.at(id).waiting_) {
      Reserve(id, false);
    }
  }
  Pass(Milliseconds(100));
  const CallArrived again = TakeUp(1, label, now_ - Milliseconds(1000));
  Handle(again);
  while (starts_.contains(again.request_) &&
         Last(again.request_).stage_ == Stage::kReserve &&
         !dispatcher_.calls_.at(again.request_).waiting_) {
    Reserve(again.request_, false);
  }
  const RequestId fresh = Arrive("/stream/1");
  BOOST_TEST(dispatcher_.calls_.contains(fresh));
  BOOST_TEST(!IsRefused(again.request_));
  BOOST_TEST(dispatcher_.calls_.at(again.request_).waiting_);
}

BOOST_AUTO_TEST_SUITE_END()

struct StreamVersionsFleetFixture : Fleet {
  // Starts an answer at an entry and returns its server's version.
  std::string StartAnswer(const std::string& address, std::uint64_t number) {
    CallArrived arrived = TakeUp(number, "", now_);
    arrived.request_ = {1, number};
    arrived.call_.last_event_.reset();
    arrived.call_.label_ = "first" + std::to_string(number);
    Handle(address, arrived);
    Handle(address, ReserveDone{arrived.request_, 1, true, false, "hold", ""});
    Handle(address, PrefillDone{arrived.request_, 2, true, false, "kv", ""});
    Handle(address, AnswerBegan{arrived.request_, 3});
    return VersionOf(LastServer(address, arrived.request_));
  }
  bool IsRefused(const std::string& address, const RequestId& id) {
    const std::vector<Action>& actions = entries_.at(address).actions_;
    return std::any_of(actions.begin(), actions.end(),
                       [&id](const Action& action) {
                         const auto* refuse = std::get_if<Refuse>(&action);
                         return refuse != nullptr && refuse->request_ == id;
                       });
  }
  bool AsksStore(const std::string& address) {
    const std::vector<Action>& actions = entries_.at(address).actions_;
    return std::any_of(actions.begin(), actions.end(),
                       [](const Action& action) {
                         return std::holds_alternative<ConfirmList>(action);
                       });
  }
  bool AsksEngine(const std::string& address, const std::string& engine) {
    const std::vector<Action>& actions = entries_.at(address).actions_;
    return std::any_of(actions.begin(), actions.end(),
                       [&engine](const Action& action) {
                         const auto* list = std::get_if<ListRuns>(&action);
                         return list != nullptr && list->server_ == engine;
                       });
  }
  // Server of the last attempt; empty: there was none.
  std::string LastServer(const std::string& address, const RequestId& id) {
    std::string server;
    for (const Action& action : entries_.at(address).actions_) {
      const auto* start = std::get_if<StartAttempt>(&action);
      if (start != nullptr && start->request_ == id) {
        server = start->server_;
      }
    }
    return server;
  }
};

BOOST_FIXTURE_TEST_SUITE(StreamVersionsFleet, StreamVersionsFleetFixture)

BOOST_AUTO_TEST_CASE(TakeUp_WhenTheEntryThatBeganItIsGone_GoesOnAtItsVersion) {
  for (const std::size_t entries : {2U, 5U, 12U}) {
    Start(entries, 2);
    Feed(EnginesOfTwoVersions());
    Pass(Milliseconds(4000));
    std::vector<std::string> versions;
    for (std::uint64_t i = 0; i < 12; ++i) {
      versions.push_back(StartAnswer(AddressOf(0), i));
    }
    Pass(Milliseconds(200));
    entries_.erase(AddressOf(0));
    for (std::uint64_t i = 0; i < 12; ++i) {
      const std::string address = AddressOf(1 + i % (entries - 1));
      const CallArrived again = TakeUp(i, "first" + std::to_string(i), now_);
      Handle(address, again);
      Pass(Milliseconds(300));
      BOOST_TEST(VersionOf(LastServer(address, again.request_)) == versions[i]);
      Handle(address, CallerLeft{again.request_});
    }
  }
}

// Guards against an entry that takes the only version of its list for that of a
// stream that began at a server it has not heard of yet.
BOOST_AUTO_TEST_CASE(
    TakeUp_WhenTheListIsFromBeforeTheOtherVersion_IsNotJoined) {
  Start(12, 2);
  const std::vector<core::ServerInfo> both = EnginesOfTwoVersions();
  Feed({both[0], both[1], both[2]});
  Pass(Milliseconds(4000));
  const std::string late = AddressOf(7);
  for (std::size_t i = 0; i < 12; ++i) {
    if (AddressOf(i) != late) {
      Handle(AddressOf(i), ListSeen{{both, {}, true, {0, 2}}});
    }
  }
  std::vector<std::string> versions;
  for (std::uint64_t i = 0; i < 12; ++i) {
    versions.push_back(StartAnswer(AddressOf(0), i));
  }
  BOOST_TEST(std::count(versions.begin(), versions.end(), "v2") > 0);
  Pass(Milliseconds(50));
  for (std::uint64_t i = 0; i < 12; ++i) {
    const CallArrived again = TakeUp(i, "first" + std::to_string(i), now_);
    Handle(late, again);
    Pass(kTick);
    const std::string server = LastServer(late, again.request_);
    BOOST_TEST((server.empty() || VersionOf(server) == versions[i]));
    Handle(late, CallerLeft{again.request_});
  }
}

// Peers know the version before this entry's list has a server of it.
BOOST_AUTO_TEST_CASE(TakeUp_WhenItsVersionIsListedAMomentLater_GoesOn) {
  for (const bool listed : {true, false}) {
    Start(12, 2);
    const std::vector<core::ServerInfo> both = EnginesOfTwoVersions();
    Feed({both[0], both[1], both[2]});
    Pass(Milliseconds(4000));
    const std::string late = AddressOf(7);
    Handle(AddressOf(0), ListSeen{{{both[3], both[4], both[5]},
                                   {"p-v1", "d1-v1", "d2-v1"},
                                   false,
                                   {0, 2}}});
    BOOST_REQUIRE(StartAnswer(AddressOf(0), 1) == "v2");
    const CallArrived again = TakeUp(1, "first1", now_);
    Handle(late, again);
    Pass(Milliseconds(100));
    BOOST_TEST(LastServer(late, again.request_) == "");
    if (listed) {
      Handle(late, ListSeen{{both, {}, true, {0, 2}}});
      Handle(late, ListConfirmed{now_, {0, 2}});
    }
    Pass(Milliseconds(3000));
    BOOST_TEST(LastServer(late, again.request_).empty() == !listed);
    BOOST_TEST(IsRefused(late, again.request_) == !listed);
    if (listed) {
      BOOST_TEST(VersionOf(LastServer(late, again.request_)) == "v2");
    }
  }
}

// The same, of an entry that hears of nobody: it has only its list, and that is
// as old as the store's last answer.
BOOST_AUTO_TEST_CASE(TakeUp_WhenTheEntryIsCutOff_IsNotJoined) {
  Start(1, 1);
  const std::vector<core::ServerInfo> both = EnginesOfTwoVersions();
  const std::string alone = AddressOf(0);
  Feed({both[0], both[1], both[2]});
  Pass(Milliseconds(4000));
  const CallArrived again = TakeUp(1, "begun elsewhere at v2", now_);
  Handle(alone, again);
  Pass(Milliseconds(5000));
  BOOST_TEST(LastServer(alone, again.request_) == "");
  BOOST_TEST(IsRefused(alone, again.request_));
}

// The store says at once whether there is another version.
BOOST_AUTO_TEST_CASE(TakeUp_WhenTheStoreConfirmsTheOnlyVersion_GoesOn) {
  Start(1, 1);
  const std::vector<core::ServerInfo> both = EnginesOfTwoVersions();
  const std::string alone = AddressOf(0);
  Feed({both[0], both[1], both[2]});
  Pass(Milliseconds(4000));
  const CallArrived again = TakeUp(1, "begun elsewhere", now_);
  Handle(alone, again);
  Pass(Milliseconds(300));  // Nobody answers.
  BOOST_TEST(AsksStore(alone));
  Handle(alone, ListConfirmed{again.arrived_at_ - Milliseconds(1), {0, 1}});
  BOOST_TEST(LastServer(alone, again.request_) == "");
  // Of a list before the one that it uses, as a copy of the store may have.
  Handle(alone, ListConfirmed{now_, {0, 0}});
  BOOST_TEST(LastServer(alone, again.request_) == "");
  Handle(alone, ListConfirmed{again.arrived_at_, {0, 1}});
  BOOST_TEST(VersionOf(LastServer(alone, again.request_)) == "v1");
}

// An engine of the listed version has decoded the same prompt before; the one
// that began the stream is not listed yet.
BOOST_AUTO_TEST_CASE(TakeUp_WhenAnEarlierListRetainsItsPrompt_IsNotJoined) {
  Start(1, 1);
  const std::vector<core::ServerInfo> both = EnginesOfTwoVersions();
  const std::string alone = AddressOf(0);
  Feed({both[0], both[1], both[2]});
  Pass(Milliseconds(4000));
  const CallArrived again = TakeUp(1, "begun at v2", now_);
  Handle(alone, again);
  Pass(Milliseconds(300));  // Nobody answers.
  for (const char* engine : {"d1-v1", "d2-v1"}) {
    Handle(alone, RetainedPromptsListed{engine, {kPrompt + 1}});
  }
  Pass(Milliseconds(5000));
  BOOST_TEST(LastServer(alone, again.request_) == "");
  BOOST_TEST(IsRefused(alone, again.request_));
}

// The list is a peer's; the store first answers long after the start.
BOOST_AUTO_TEST_CASE(TakeUp_WhenTheListWasNeverConfirmedBefore_IsNotJoined) {
  Start(1, 1);
  const std::vector<core::ServerInfo> both = EnginesOfTwoVersions();
  const std::string alone = AddressOf(0);
  Feed({both[0], both[1], both[2]});
  Pass(Milliseconds(20000));
  Handle(alone, ListSeen{{{both[0], both[1], both[2]}, {}, true, {0, 1}}});
  Handle(alone, ListConfirmed{now_, {0, 1}});
  const CallArrived again = TakeUp(1, "begun at v2", now_);
  Handle(alone, again);
  Pass(Milliseconds(300));
  Handle(alone, ListConfirmed{now_, {0, 1}});
  Pass(Milliseconds(5000));
  BOOST_TEST(LastServer(alone, again.request_) == "");
  BOOST_TEST(IsRefused(alone, again.request_));
}

// What the store has changed since the entry last heard of it, it says in
// order; what it lists anew says nothing of versions that came and left.
BOOST_AUTO_TEST_CASE(TakeUp_AfterTheListWasReadAnew_IsNotJoined) {
  const std::vector<core::ServerInfo> both = EnginesOfTwoVersions();
  const std::string alone = AddressOf(0);
  for (const bool anew : {true, false}) {
    Start(1, 1);
    Feed({both[0], both[1], both[2]});
    Handle(alone, ListConfirmed{now_, {0, 1}});
    Pass(Milliseconds(20000));
    if (anew) {
      Handle(alone, ListSeen{{{both[0], both[1], both[2]}, {}, true, {0, 3}}});
    }
    Handle(alone, ListConfirmed{now_, {0, 3}});
    const CallArrived again = TakeUp(1, "begun elsewhere", now_);
    Handle(alone, again);
    Pass(Milliseconds(300));
    Handle(alone, ListConfirmed{now_, {0, 3}});
    Pass(Milliseconds(5000));
    BOOST_TEST(LastServer(alone, again.request_).empty() == anew);
    BOOST_TEST(IsRefused(alone, again.request_) == anew);
  }
}

// The same, of a list that is from before the one that a peer told.
BOOST_AUTO_TEST_CASE(TakeUp_AfterAnEarlierListWasReadAnew_IsNotJoined) {
  Start(1, 1);
  const std::vector<core::ServerInfo> both = EnginesOfTwoVersions();
  const std::string alone = AddressOf(0);
  Feed({both[0], both[1], both[2]});
  Handle(alone, ListSeen{{{}, {}, false, {0, 5}}});
  Pass(Milliseconds(4000));
  Handle(alone, ListSeen{{{both[0], both[1], both[2]}, {}, true, {0, 3}}});
  const CallArrived again = TakeUp(1, "begun elsewhere", now_);
  Handle(alone, again);
  Pass(Milliseconds(300));
  Handle(alone, ListConfirmed{now_, {0, 5}});
  Pass(Milliseconds(5000));
  BOOST_TEST(LastServer(alone, again.request_) == "");
  BOOST_TEST(IsRefused(alone, again.request_));
}

// A version that came and left between two answers of the store.
BOOST_AUTO_TEST_CASE(TakeUp_WhenItsVersionCameAndLeftAtOnce_IsNotJoined) {
  Start(1, 1);
  const std::vector<core::ServerInfo> both = EnginesOfTwoVersions();
  const std::string alone = AddressOf(0);
  Feed({both[0], both[1], both[2]});
  Pass(Milliseconds(4000));
  ListChanges changes;
  for (const core::ServerInfo& engine : {both[3], both[4], both[5]}) {
    AddSeen(changes, engine);
    AddRemoved(changes, engine.name_);
  }
  changes.version_ = {0, 2};
  Handle(alone, ListSeen{changes});
  const CallArrived again = TakeUp(1, "begun at v2", now_);
  Handle(alone, again);
  Pass(Milliseconds(300));
  Handle(alone, ListConfirmed{now_, {0, 2}});
  Pass(Milliseconds(5000));
  BOOST_TEST(LastServer(alone, again.request_) == "");
  BOOST_TEST(IsRefused(alone, again.request_));
}

// Guards against engines that are listed during a search and never asked.
BOOST_AUTO_TEST_CASE(TakeUp_WhenTheStoreNamesAnotherVersion_AsksItsEngines) {
  Start(1, 1);
  const std::vector<core::ServerInfo> both = EnginesOfTwoVersions();
  const std::string alone = AddressOf(0);
  Feed({both[0], both[1], both[2]});
  Pass(Milliseconds(4000));
  const CallArrived again = TakeUp(1, "begun at v2", now_);
  Handle(alone, again);
  Pass(Milliseconds(300));  // Nobody answers.
  Handle(alone, ListSeen{{both, {}, true, {0, 2}}});
  Handle(alone, ListConfirmed{now_, {0, 2}});
  BOOST_TEST(LastServer(alone, again.request_) == "");
  BOOST_TEST(AsksEngine(alone, "d1-v2"));
  Handle(alone, RunsListed{"d1-v2", {"begun at v2"}});
  BOOST_TEST(VersionOf(LastServer(alone, again.request_)) == "v2");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::dispatch
