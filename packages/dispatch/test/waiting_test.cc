#include <boost/test/unit_test.hpp>

#include "dispatcher_fixture.h"
#include "siskindrum/dispatch/limits.h"

namespace siskindrum::dispatch {
namespace {

struct WaitingFixture : DispatcherFixture {
  // Refuses reservations until the request waits.
  void RefuseUntilWaiting(const RequestId& id) {
    while (!dispatcher_.calls_.at(id).waiting_) {
      Reserve(id, false);
    }
  }
  std::size_t Logged(const std::string& event) const {
    return static_cast<std::size_t>(std::count_if(
        logs_.begin(), logs_.end(),
        [&event](const core::LogEvent& one) { return one.event_ == event; }));
  }
  // Completes answers of 700 tokens that take seven seconds each.
  void RecordSlowAnswers() {
    for (int i = 0; i < 3; ++i) {
      const RequestId id = StartAnswer("/stream/1");
      Pass(Milliseconds(7000));
      Done(id, AttemptOutcome::kDelivered, RunState::kRan);
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(Waiting, WaitingFixture)

BOOST_AUTO_TEST_CASE(Capacity_WhenAStreamInProgressWaits_GoesToItFirst) {
  const RequestId broken = StartAnswer("/resume/1");
  const RequestId shorter = Arrive("/stream/1", 1000, 50);
  RefuseUntilWaiting(shorter);
  Done(broken, AttemptOutcome::kFailed, RunState::kMayHaveRun, 17);
  RefuseUntilWaiting(broken);
  const std::size_t before = Starts(broken, Stage::kReserve);
  const std::size_t before_shorter = Starts(shorter, Stage::kReserve);
  // One slot is free; the first reservation gets it.
  order_.clear();
  Pass(kFullBackoff + kTickInterval);
  BOOST_TEST(Starts(broken, Stage::kReserve) > before);
  BOOST_TEST(Starts(shorter, Stage::kReserve) > before_shorter);
  BOOST_TEST((order_.front() == broken));
}

BOOST_AUTO_TEST_CASE(Request_WhenItWaitsLong_IsLoggedOnce) {
  const RequestId id = Arrive("/stream/1");
  for (int i = 0; i < 5; ++i) {
    RefuseUntilWaiting(id);
    Pass(kFullBackoff);
  }
  BOOST_TEST(Logged("request_waits") == 1U);
  BOOST_TEST(dispatcher_.counters_.waits_ == 1U);
}

BOOST_AUTO_TEST_CASE(
    Answer_WhenItCannotEndInTime_IsRefusedWhenCapacityIsShort) {
  RecordSlowAnswers();
  RefuseUntilWaiting(Arrive("/stream/1", 1000, 50));
  const RequestId too_long = Arrive("/stream/1", 5000, 2000);
  BOOST_TEST(IsRefused(too_long));
  BOOST_TEST((Verdict(too_long).run_state_ == RunState::kNotRun));
  BOOST_TEST(Starts(too_long, Stage::kReserve) == 0U);
  BOOST_TEST(!IsRefused(Arrive("/stream/1", 5000, 700)));
}

BOOST_AUTO_TEST_CASE(Answer_WhenThereIsCapacityForAll_IsAdmittedHoweverLong) {
  RecordSlowAnswers();
  const RequestId id = Arrive("/stream/1", 5000, 2000);
  BOOST_TEST((Last(id).stage_ == Stage::kReserve));
}

// During a burst, each prefill engine already has a queued prompt and the
// decode engines are answering others. A prefill on a decode engine would stall
// those answers.
BOOST_AUTO_TEST_CASE(Prompts_WhenPrefillEnginesHaveAShortQueue_GoThere) {
  for (int i = 0; i < 6; ++i) {
    const RequestId id = Arrive("/stream/1");
    Reserve(id, true);
    BOOST_TEST((Last(id).stage_ == Stage::kPrefill));
  }
}

BOOST_AUTO_TEST_CASE(Prompts_WhenPrefillQueuesAreLong_ArePrefilledByDecode) {
  std::size_t direct = 0;
  for (int i = 0; i < 20; ++i) {
    const RequestId id = Arrive("/stream/1");
    Reserve(id, true);
    direct += Last(id).stage_ == Stage::kDecode ? 1 : 0;
  }
  BOOST_TEST(direct > 0U);
}

BOOST_AUTO_TEST_CASE(Stream_WhenItResumesOnAnotherEngine_FetchesItsPrompt) {
  const RequestId id = Arrive("/resume/1");
  Reserve(id, true);
  const std::string prefill = Last(id).address_;
  Prefill(id, true);
  BOOST_TEST(Last(id).fetch_address_.empty());
  Begin(id);
  Done(id, AttemptOutcome::kFailed, RunState::kMayHaveRun, 17);
  Reserve(id, true);
  BOOST_TEST((Last(id).stage_ == Stage::kDecode));
  BOOST_TEST(Last(id).fetch_address_ == prefill);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::dispatch
