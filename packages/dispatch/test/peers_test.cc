#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <set>

#include "peers_fixture.h"
#include "siskindrum/core/limits.h"
#include "siskindrum/dispatch/limits.h"

namespace siskindrum::dispatch {
namespace {

BOOST_FIXTURE_TEST_SUITE(PeerMessages, PeersFixture)

BOOST_AUTO_TEST_CASE(Entry_WhenTheStoreIsUnreachableAtStart_GetsDataFromASeed) {
  Feed();
  Pass(Milliseconds(100));
  BOOST_TEST(At("east:2").ready_);
  BOOST_TEST(At("east:2").configuration_.current_->revision_ == 5U);
  BOOST_TEST(At("east:2").list_version_.revision_ == 5U);
  const ServerState* plain = FindServer(At("east:2").pool_, "s1");
  BOOST_REQUIRE(plain != nullptr);
  BOOST_TEST((plain->info_.role_ == core::ServerRole::kPlain));
  BOOST_TEST(plain->info_.slots_ == 6U);
}

BOOST_AUTO_TEST_CASE(Entry_WhenItsPeersAreUnreachable_ServesFromTheStore) {
  partitioned_ = true;
  Feed();
  Pass(Milliseconds(3000));
  BOOST_TEST(At("east:1").ready_);
  BOOST_TEST(!At("east:2").ready_);
}

BOOST_AUTO_TEST_CASE(Entry_WhenTheStoreIsCurrent_SendsNoListRequests) {
  Feed();
  Pass(Milliseconds(3000));
  const std::size_t before = entries_.at("east:2").list_requests_;
  for (std::uint64_t version = 6; version < 12; ++version) {
    for (const char* address : {"east:1", "east:2"}) {
      Configure(address, version);
      List(address, {DispatcherFixture::Plain("s1")}, version);
      Pass(Milliseconds(200));
    }
    Pass(Milliseconds(600));
  }
  BOOST_TEST(entries_.at("east:2").list_requests_ == before);
}

BOOST_AUTO_TEST_CASE(Entry_WhenItsStoreIsUnreachable_GetsUpdatesFromPeers) {
  Feed();
  Pass(Milliseconds(500));
  core::ServerInfo leaving = DispatcherFixture::Plain("s1");
  leaving.leaving_ = true;
  List("east:1", {leaving, DispatcherFixture::Plain("s2")}, 8);
  Configure("east:1", 7);
  Pass(Milliseconds(3500));
  BOOST_TEST(At("east:2").configuration_.current_->revision_ == 7U);
  Dispatcher& second = At("east:2");
  BOOST_TEST(
      !AcceptsNewWork(second.pool_, *FindServer(second.pool_, "s1"), now_));
  BOOST_TEST(
      AcceptsNewWork(second.pool_, *FindServer(second.pool_, "s2"), now_));
}

BOOST_AUTO_TEST_CASE(List_WhenAnOlderOneComesLate_ChangesNothing) {
  Feed();
  List("east:1", {DispatcherFixture::Plain("s2")}, 9);
  List("east:1", {DispatcherFixture::Plain("s1")}, 8);
  BOOST_TEST(At("east:1").list_version_.revision_ == 9U);
  BOOST_TEST(
      (FindServer(At("east:1").pool_, "s2")->listing_ == Listing::kListed));
  Configure("east:1", 3);
  BOOST_TEST(At("east:1").configuration_.current_->revision_ == 5U);
}

BOOST_AUTO_TEST_CASE(List_WhenItsEraIsLater_IsTakenAtALowerRevision) {
  List("east:1", {DispatcherFixture::Plain("s1")}, 90, 1);
  List("east:1", {DispatcherFixture::Plain("s2")}, 40, 2);
  BOOST_TEST(
      (FindServer(At("east:1").pool_, "s2")->listing_ == Listing::kListed));
  List("east:1", {DispatcherFixture::Plain("s1")}, 95, 1);
  BOOST_TEST((At("east:1").list_version_ == core::StorePosition{2, 40}));
}

// Guards against two entries of two eras that take each other's old list.
BOOST_AUTO_TEST_CASE(Entry_WhenAPeerIsInALaterEra_TakesItsListOnce) {
  Feed();
  Pass(Milliseconds(500));
  List("east:2", {DispatcherFixture::Plain("s1")}, 90, 1);
  List("east:1", {DispatcherFixture::Plain("s2")}, 40, 2);
  Pass(Milliseconds(3500));
  for (const char* address : {"east:1", "east:2"}) {
    BOOST_TEST((At(address).list_version_ == core::StorePosition{2, 40}));
    BOOST_TEST(
        (FindServer(At(address).pool_, "s2")->listing_ == Listing::kListed));
  }
  BOOST_TEST(entries_.at("east:1").list_requests_ == 0U);
}

// The peer lists the server in a later era, as it was before its draining.
BOOST_DATA_TEST_CASE_F(PeersFixture,
                       Server_WhenAPeerHasItFromBeforeItsDraining_GetsNothing,
                       boost::unit_test::data::make({7, 6}),
                       incarnation_at_peer) {
  Feed();
  Pass(Milliseconds(500));
  core::ServerInfo server = DispatcherFixture::Plain("s1");
  server.incarnation_ = static_cast<core::Incarnation>(incarnation_at_peer);
  List("east:1", {server}, 40, 2);
  server.incarnation_ = 7;
  server.leaving_ = true;
  List("east:2", {server}, 90, 1);
  Pass(Milliseconds(3500));
  Dispatcher& second = At("east:2");
  BOOST_TEST((second.list_version_ == core::StorePosition{2, 40}));
  BOOST_TEST(
      !AcceptsNewWork(second.pool_, *FindServer(second.pool_, "s1"), now_));
}

BOOST_AUTO_TEST_CASE(Server_WhenOnlyAPeerSawItsDraining_GetsNothingNewByACopy) {
  Feed();
  Pass(Milliseconds(500));
  core::ServerInfo server = DispatcherFixture::Plain("s1");
  server.incarnation_ = 7;
  server.leaving_ = true;
  List("east:1", {server}, 90, 1);
  Pass(Milliseconds(3500));
  Dispatcher& second = At("east:2");
  BOOST_TEST(
      !AcceptsNewWork(second.pool_, *FindServer(second.pool_, "s1"), now_));
  // The store's first word to the second entry is from before the draining.
  server.leaving_ = false;
  List("east:2", {server}, 40, 2);
  BOOST_TEST(
      !AcceptsNewWork(second.pool_, *FindServer(second.pool_, "s1"), now_));
}

BOOST_AUTO_TEST_CASE(
    Entry_WhenACutOutlastsTheSuspectTimeout_HearsItsPeersSoon) {
  Feed();
  Pass(Milliseconds(2000));
  partitioned_ = true;
  Pass(core::kSuspectTimeout + Milliseconds(500));
  partitioned_ = false;
  List("east:1", {DispatcherFixture::Plain("s1")}, 6);
  Pass(Milliseconds(6000));
  BOOST_TEST(At("east:2").list_version_.revision_ == 6U);
}

BOOST_AUTO_TEST_CASE(Entry_WhenItReturnsWithALowerIncarnation_IsKnownAgain) {
  Feed();
  Pass(Milliseconds(500));
  BOOST_TEST(KnownEntryCount(At("east:1").peers_) == 2U);
  Add("entry-2", "east:2", 1);
  partitioned_ = true;
  Pass(Milliseconds(3000));
  partitioned_ = false;
  Pass(Milliseconds(2500));
  const auto& members = At("east:1").peers_.membership_.members_;
  BOOST_TEST(members.at("entry-2").row_.incarnation_ == 1U);
  BOOST_TEST(At("east:2").ready_);
}

BOOST_AUTO_TEST_CASE(Engines_WhenTheyChangeRole_GetNoPrefillFromAnyEntry) {
  std::vector<core::ServerInfo> engines;
  for (const char* name : {"p1", "p2", "p3", "d1", "d2", "d3"}) {
    engines.push_back(DispatcherFixture::Engine(
        name, name[0] == 'p' ? core::ServerRole::kPrefill
                             : core::ServerRole::kDecode));
  }
  for (const char* address : {"east:1", "east:2"}) {
    At(address).peers_.seeds_ = {"east:1"};
  }
  for (const char* address : {"east:1", "east:2"}) {
    Configure(address, 5);
    List(address, engines, 5);
  }
  Pass(kRoleChangeSettleTime + kPeerGossipInterval + Milliseconds(300));
  // kPrefillEngineRatio leaves one prefill engine of six engines.
  for (const char* address : {"east:1", "east:2"}) {
    PlacementRequest request;
    request.pool_ = "engines";
    request.domain_ = "east";
    request.prompt_tokens_ = 5000;
    std::set<std::string> used;
    for (int i = 0; i < 4; ++i) {
      const EnginePlacement plan =
          PlaceEngines(At(address).pool_, request, now_);
      used.insert(plan.prefill_);
      FindServer(At(address).pool_, "p1")->prefill_tokens_ += 5000;
    }
    used.erase("");
    BOOST_TEST((used == std::set<std::string>{"p1"}));
  }
  // A converted engine is used as soon as the list shows its new role.
  engines[2].role_ = core::ServerRole::kDecode;
  List("east:2", engines, 6);
  BOOST_TEST((FindServer(At("east:2").pool_, "p3")->role_change_until_ ==
              TimePoint{}));
}

BOOST_AUTO_TEST_CASE(Repeats_WhenMoreEntriesAreKnown_AreSharedAmongThem) {
  const RepeatLimits limits{0.2, 54, Milliseconds(10000)};
  const auto taken = [&](std::size_t entries) {
    RepeatBudget budget;
    for (int i = 0; i < 50; ++i) {
      RecordCall(budget, limits, "desk", now_);
    }
    std::size_t count = 0;
    while (TryConsumeRepeat(budget, limits, entries, "desk", now_)) {
      ++count;
    }
    return count;
  };
  for (const std::size_t entries : {2U, 4U, 5U, 30U}) {
    const double all = static_cast<double>(entries * taken(entries));
    BOOST_TEST(all <= 0.2 * 50 * static_cast<double>(entries) + 54);
    BOOST_TEST(taken(entries) > 0U);
  }
  // An entry that does not know the number of sharers uses none of the slack.
  BOOST_TEST(taken(0) <= taken(30));
  BOOST_TEST(static_cast<double>(taken(0)) <= 0.2 * 50);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::dispatch
