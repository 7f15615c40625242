#include <boost/test/unit_test.hpp>

#include <set>
#include <string>
#include <vector>

#include "fleet.h"
#include "siskindrum/dispatch/limits.h"

namespace siskindrum::dispatch {
namespace {

// Entries in front of four prefill and five decode engines, of which two are to
// be converted. Entry 0 has the lowest address.
struct RoleChangeFixture : Fleet {
  static constexpr Milliseconds kLongerThanTheWindow{20000};

  static std::vector<core::ServerInfo> Engines(
      const std::vector<std::string>& names,
      core::ServerRole role) {
    std::vector<core::ServerInfo> engines;
    engines.reserve(names.size());
    for (const std::string& name : names) {
      engines.push_back(DispatcherFixture::Engine(name, role));
    }
    return engines;
  }
  void StartWithEngines(std::size_t entries, bool restarted = false) {
    Start(entries, 1, restarted);
    ListAllEngines();
  }
  void ListAllEngines() {
    Feed(Engines({"p1", "p2", "p3", "p4"}, core::ServerRole::kPrefill));
    const std::vector<core::ServerInfo> decode =
        Engines({"d1", "d2", "d3", "d4", "d5"}, core::ServerRole::kDecode);
    HandleAll(ListSeen{{decode}});
  }
  Dispatcher& At(std::size_t number) {
    return entries_.at(AddressOf(number)).dispatcher_;
  }
  void SetSeeds(std::size_t entry, const std::vector<std::size_t>& numbers) {
    At(entry).peers_.seeds_.clear();
    for (const std::size_t number : numbers) {
      At(entry).peers_.seeds_.push_back(AddressOf(number));
    }
  }
  // Number of orders that an entry has given.
  std::size_t Orders(std::size_t entry) {
    std::size_t orders = 0;
    for (const Action& action : entries_.at(AddressOf(entry)).actions_) {
      orders += std::holds_alternative<SwitchToDecode>(action) ? 1 : 0;
    }
    return orders;
  }
  std::set<std::uint64_t> FencingNumbers(std::size_t entry) {
    std::set<std::uint64_t> numbers;
    for (const Action& action : entries_.at(AddressOf(entry)).actions_) {
      if (const auto* order = std::get_if<SwitchToDecode>(&action)) {
        numbers.insert(order->fencing_number_);
      }
    }
    return numbers;
  }
  bool HasLogged(std::size_t entry, const std::string& name) {
    for (const Action& action : entries_.at(AddressOf(entry)).actions_) {
      const auto* log = std::get_if<core::LogEvent>(&action);
      if (log != nullptr && log->event_ == name) {
        return true;
      }
    }
    return false;
  }
};

BOOST_FIXTURE_TEST_SUITE(RoleChanges, RoleChangeFixture)

BOOST_AUTO_TEST_CASE(Entry_WhenTheListIsSettled_ChangesRolesOnlyOnce) {
  StartWithEngines(1);
  SetSeeds(0, {0});
  Pass(Milliseconds(1000));
  BOOST_TEST(Orders(0) == 0U);
  Pass(Milliseconds(1000));
  BOOST_TEST(Orders(0) == 2U);
  HandleAll(ListSeen{{Engines({"p5", "p6"}, core::ServerRole::kPrefill)}});
  Pass(kLongerThanTheWindow);
  BOOST_TEST(Orders(0) == 2U);
}

BOOST_AUTO_TEST_CASE(Entry_WhenTheListSettlesTooLate_ChangesNoRoles) {
  StartWithEngines(1);
  SetSeeds(0, {0});
  for (int i = 0; i < 9; ++i) {
    Pass(Milliseconds(1000));
    HandleAll(ListSeen{{Engines({"d1"}, core::ServerRole::kDecode)}});
  }
  Pass(Milliseconds(5000));
  BOOST_TEST(Orders(0) == 0U);
}

BOOST_AUTO_TEST_CASE(Entry_WhenItIsRestarted_ChangesNoRoles) {
  StartWithEngines(1, /*restarted=*/true);
  SetSeeds(0, {0});
  Pass(kLongerThanTheWindow);
  BOOST_TEST(Orders(0) == 0U);
}

BOOST_AUTO_TEST_CASE(Entry_WhenNoSeedNamesIt_ChangesNoRoles) {
  StartWithEngines(1);
  SetSeeds(0, {});
  Pass(kLongerThanTheWindow);
  BOOST_TEST(Orders(0) == 0U);
}

BOOST_AUTO_TEST_CASE(Entries_WhenAllNameTheSameSeeds_LeaveItToTheLowest) {
  for (const std::size_t entries : {4U, 34U}) {
    StartWithEngines(entries);
    Pass(Milliseconds(2000));
    BOOST_TEST(Orders(0) == 2U);
    BOOST_TEST(HasLogged(0, "elected"));
    Pass(kLongerThanTheWindow);
    for (std::size_t i = 1; i < entries; ++i) {
      BOOST_TEST(Orders(i) == 0U);
    }
  }
}

// Guards against orders of two entries to one engine, which began when one
// entry's seeds lacked the address that all others named first.
BOOST_AUTO_TEST_CASE(Entries_WhenOneListIsStale_LeaveItToOneOfThem) {
  StartWithEngines(3);
  SetSeeds(1, {1, 2});
  Pass(kLongerThanTheWindow);
  BOOST_TEST(Orders(0) == 2U);
  BOOST_TEST(Orders(1) == 0U);
  BOOST_TEST(Orders(2) == 0U);
}

// Guards against orders of two entries that engines cannot tell apart, where no
// entry can know of the other.
BOOST_AUTO_TEST_CASE(Entries_WhenTheirGroupsNeverMeet_OrderWithOwnNumbers) {
  StartWithEngines(2);
  SetSeeds(0, {0});
  SetSeeds(1, {1});
  Pass(kLongerThanTheWindow);
  BOOST_TEST(Orders(0) == 2U);
  BOOST_TEST(Orders(1) == 2U);
  BOOST_TEST(FencingNumbers(0).size() == 1U);
  BOOST_TEST(FencingNumbers(1).size() == 1U);
  BOOST_TEST((FencingNumbers(0) != FencingNumbers(1)));
}

// Lists without a common address are joined by what the entries hear of each
// other.
BOOST_AUTO_TEST_CASE(Entries_WhenOnlyGossipJoinsTheirSeeds_ChangeNoRolesTwice) {
  StartWithEngines(4);
  SetSeeds(0, {0, 1});
  SetSeeds(1, {0, 1});
  SetSeeds(2, {2});
  SetSeeds(3, {0, 2});
  Pass(kLongerThanTheWindow);
  std::size_t holders = 0;
  for (std::size_t i = 0; i < 4; ++i) {
    holders += Orders(i) > 0 ? 1 : 0;
  }
  BOOST_TEST(holders <= 1U);
}

BOOST_AUTO_TEST_CASE(Entry_WhenASeedIsDown_ChangesNoRolesAndSaysSo) {
  StartWithEngines(2);
  Pass(kLongerThanTheWindow);
  BOOST_TEST(Orders(0) == 0U);
  BOOST_TEST(Orders(1) == 0U);
  BOOST_TEST(HasLogged(0, "not_elected"));
}

BOOST_AUTO_TEST_CASE(Entry_WhenASeedWasRestarted_ChangesNoRolesAndSaysSo) {
  StartWithEngines(3);
  Add(2, "domain-0", /*restarted=*/true);
  ListAllEngines();
  Pass(kLongerThanTheWindow);
  BOOST_TEST(Orders(0) == 0U);
  BOOST_TEST(HasLogged(0, "vote_refused"));
  BOOST_TEST(HasLogged(2, "vote_requested"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::dispatch
