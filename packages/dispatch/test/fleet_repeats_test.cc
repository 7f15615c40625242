#include <boost/test/unit_test.hpp>

#include "fleet.h"
#include "siskindrum/dispatch/limits.h"

namespace siskindrum::dispatch {
namespace {

// Simulates entries in front of a plain service that fails every call, so that
// each entry repeats as often as its budget allows.
struct FleetRepeatsFixture : Fleet {
  static constexpr std::size_t kEntries = 34;
  static constexpr std::size_t kDomains = 5;

  FleetRepeatsFixture() { repeats_ = {0.2, 210, Milliseconds(10000)}; }

  void StartAll(bool restarted) {
    Start(kEntries, kDomains, restarted);
    Feed({DispatcherFixture::Plain("s1"), DispatcherFixture::Plain("s2")});
  }
  // Sends one request to an entry and fails its first attempt.
  void FailOne(const std::string& address) {
    Dispatcher& dispatcher = entries_.at(address).dispatcher_;
    CallArrived arrived;
    arrived.request_ = {dispatcher.options_.incarnation_, ++requests_};
    arrived.call_.shape_.path_ = "/read/1";
    arrived.call_.label_ = "r" + std::to_string(requests_);
    arrived.call_.time_left_ = Milliseconds(800);
    arrived.arrived_at_ = now_;
    Handle(address, arrived);
    ++calls_;
    const std::uint64_t before = dispatcher.counters_.repeats_;
    AttemptDone failed;
    failed.request_ = arrived.request_;
    failed.attempt_ = 1;
    failed.outcome_ = AttemptOutcome::kFailed;
    failed.run_state_ = RunState::kMayHaveRun;
    failed.reason_ = core::Reason::kConnectionLost;
    Handle(address, failed);
    repeated_ += dispatcher.counters_.repeats_ - before;
    Handle(address, CallerLeft{arrived.request_});
  }
  void FailMany(std::size_t each) {
    for (std::size_t i = 0; i < each; ++i) {
      for (auto& [address, entry] : entries_) {
        FailOne(address);
      }
    }
  }
  double Bound() const {
    return repeats_.ratio_ * static_cast<double>(calls_) + repeats_.slack_;
  }

  std::uint64_t requests_ = 0;
  std::uint64_t calls_ = 0;
  std::uint64_t repeated_ = 0;
};

BOOST_FIXTURE_TEST_SUITE(FleetRepeats, FleetRepeatsFixture)

BOOST_AUTO_TEST_CASE(Entries_WhenManyStartTogether_KnowTheirNumber) {
  StartAll(false);
  Pass(Milliseconds(10000));
  for (const auto& [address, entry] : entries_) {
    BOOST_TEST(KnownEntryCount(entry.dispatcher_.peers_) == kEntries);
  }
}

BOOST_AUTO_TEST_CASE(Repeats_WhenManyEntriesHaveSettled_StayWithinTheBound) {
  StartAll(false);
  Pass(Milliseconds(12000));
  FailMany(40);
  BOOST_TEST(static_cast<double>(repeated_) <= Bound());
  // At least half of the allowed repeats are used.
  BOOST_TEST(static_cast<double>(repeated_) >= Bound() / 2);
}

BOOST_AUTO_TEST_CASE(Repeats_WhenEntriesHaveJustStarted_StayWithinTheBound) {
  StartAll(false);
  Pass(Milliseconds(100));
  FailMany(40);
  BOOST_TEST(static_cast<double>(repeated_) <= Bound());
}

BOOST_AUTO_TEST_CASE(Repeats_WhenAllEntriesAreKilled_StayWithinTheBound) {
  StartAll(false);
  Pass(Milliseconds(12000));
  FailMany(40);
  // The repeats before and after the restart fall into the same window.
  StartAll(true);
  Pass(Milliseconds(4000));
  FailMany(40);
  BOOST_TEST(static_cast<double>(repeated_) <= Bound());
}

BOOST_AUTO_TEST_CASE(Repeats_WhenEntriesAreAdded_StayWithinTheBound) {
  StartAll(false);
  Pass(Milliseconds(12000));
  for (std::size_t i = kEntries; i < 2 * kEntries; ++i) {
    Add(i, "domain-" + std::to_string(i % kDomains), true);
  }
  Feed({DispatcherFixture::Plain("s1"), DispatcherFixture::Plain("s2")});
  FailMany(40);
  BOOST_TEST(static_cast<double>(repeated_) <= Bound());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::dispatch
