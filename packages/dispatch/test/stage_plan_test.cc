#include <boost/test/unit_test.hpp>

#include "dispatcher_fixture.h"
#include "siskindrum/dispatch/limits.h"
#include "siskindrum/dispatch/stage_plan.h"

namespace siskindrum::dispatch {
namespace {

struct StagePlanFixture {
  // Adds engines of one role to a failure domain.
  void Add(const std::string& domain, core::ServerRole role, int count) {
    for (int i = 0; i < count; ++i) {
      ServerState server;
      server.info_ = DispatcherFixture::Engine(
          domain + "-" + core::ToString(role) + std::to_string(i), role);
      server.info_.domain_ = domain;
      pool_.servers_[server.info_.name_] = server;
    }
  }

  ServerPool pool_;
  TimePoint now_{std::chrono::hours(1)};
};

BOOST_FIXTURE_TEST_SUITE(StagePlan, StagePlanFixture)

BOOST_AUTO_TEST_CASE(
    PrefillEnginesToConvert_WhenAThirdPrefills_ConvertsToAQuarter) {
  for (const char* domain : {"a", "b", "c"}) {
    Add(domain, core::ServerRole::kPrefill, 1);
    Add(domain, core::ServerRole::kDecode, 2);
  }
  BOOST_TEST(PrefillEnginesToConvert(pool_, now_).size() == 1U);
}

BOOST_AUTO_TEST_CASE(
    PrefillEnginesToConvert_WhenDomainsDiffer_ConvertsFromTheLargestGroup) {
  Add("a", core::ServerRole::kPrefill, 3);
  Add("b", core::ServerRole::kPrefill, 1);
  Add("b", core::ServerRole::kDecode, 5);
  const std::vector<std::string> convert = PrefillEnginesToConvert(pool_, now_);
  BOOST_REQUIRE(convert.size() == 2U);
  BOOST_TEST(convert[0].starts_with("a-"));
  BOOST_TEST(convert[1].starts_with("a-"));
}

BOOST_AUTO_TEST_CASE(PrefillEnginesToConvert_WhenThePoolIsSmall_ConvertsNone) {
  Add("a", core::ServerRole::kPrefill, 3);
  Add("a", core::ServerRole::kDecode, 2);
  BOOST_TEST(PrefillEnginesToConvert(pool_, now_).empty());
}

BOOST_AUTO_TEST_CASE(PrefillEnginesToConvert_WhenOnlyOnePrefills_KeepsIt) {
  Add("a", core::ServerRole::kPrefill, 1);
  Add("a", core::ServerRole::kDecode, 6);
  BOOST_TEST(PrefillEnginesToConvert(pool_, now_).empty());
}

BOOST_AUTO_TEST_SUITE_END()

struct RoleChangeFixture {
  // Starts a dispatcher whose pool has two prefill engines to convert.
  void Start(bool may_change_roles) {
    DispatcherOptions options;
    options.may_change_roles_ = may_change_roles;
    dispatcher_ = MakeDispatcher(options);
    List({"p1", "p2", "p3", "p4"}, core::ServerRole::kPrefill);
    List({"d1", "d2", "d3", "d4", "d5"}, core::ServerRole::kDecode);
  }
  void List(const std::vector<std::string>& names, core::ServerRole role) {
    ListChanges changes;
    for (const std::string& name : names) {
      changes.seen_.push_back(DispatcherFixture::Engine(name, role));
    }
    Handle(ListSeen{changes});
  }
  void Handle(const Event& event) {
    std::vector<Action> actions;
    HandleEvent(dispatcher_, event, now_, actions);
    for (const Action& action : actions) {
      role_changes_ += std::holds_alternative<SwitchToDecode>(action) ? 1 : 0;
    }
  }
  void Pass(Milliseconds time) {
    for (const TimePoint until = now_ + time; now_ < until;) {
      now_ += Milliseconds(20);
      Handle(Ticked{});
    }
  }

  Dispatcher dispatcher_;
  TimePoint now_{std::chrono::hours(1)};
  int role_changes_ = 0;
};

BOOST_FIXTURE_TEST_SUITE(RoleChanges, RoleChangeFixture)

BOOST_AUTO_TEST_CASE(Entry_WhenTheListIsSettled_ChangesRolesOnlyOnce) {
  Start(true);
  Pass(Milliseconds(1000));
  BOOST_TEST(role_changes_ == 0);
  Pass(Milliseconds(1000));
  BOOST_TEST(role_changes_ == 2);
  List({"p5", "p6"}, core::ServerRole::kPrefill);
  Pass(Milliseconds(20000));
  BOOST_TEST(role_changes_ == 2);
}

BOOST_AUTO_TEST_CASE(Entry_WhenTheListSettlesTooLate_ChangesNoRoles) {
  Start(true);
  for (int i = 0; i < 9; ++i) {
    Pass(Milliseconds(1000));
    List({"d1"}, core::ServerRole::kDecode);
  }
  Pass(Milliseconds(5000));
  BOOST_TEST(role_changes_ == 0);
}

BOOST_AUTO_TEST_CASE(Entry_WithoutPermission_ChangesNoRoles) {
  Start(false);
  Pass(Milliseconds(20000));
  BOOST_TEST(role_changes_ == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::dispatch
