#include <boost/test/unit_test.hpp>

#include "dispatcher_fixture.h"
#include "siskindrum/dispatch/limits.h"

namespace siskindrum::dispatch {
namespace {

struct SilenceFixture : DispatcherFixture {
  void FallSilent(const RequestId& id) {
    Handle(AttemptSilent{id, Last(id).attempt_});
  }
  void SetBudget(double ratio, double slack) {
    Handle(SettingsRead{{}, {ratio, slack, Milliseconds(10000)}});
  }
};

BOOST_FIXTURE_TEST_SUITE(Silence, SilenceFixture)

BOOST_AUTO_TEST_CASE(Stream_WhenARepeatIsLeft_MovesAndCountsItOnce) {
  const RequestId id = StartAnswer("/resume/1");
  const std::string silent = Last(id).server_;
  FallSilent(id);
  FallSilent(id);
  BOOST_TEST(abandoned_.size() == 2U);
  Done(id, AttemptOutcome::kFailed, RunState::kMayHaveRun, 3);
  Reserve(id, true);
  BOOST_TEST((Last(id).stage_ == Stage::kDecode));
  BOOST_TEST(Last(id).server_ != silent);
  BOOST_TEST(dispatcher_.counters_.repeats_ == 1U);
  BOOST_TEST(dispatcher_.budget_.pools_["engines"].repeats_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(Stream_WhenTheBudgetIsUsedUp_StaysAndIsNotCut) {
  SetBudget(0, 0);
  const RequestId id = StartAnswer("/resume/1");
  FallSilent(id);
  BOOST_TEST(abandoned_.empty());
  BOOST_TEST(!IsRefused(id));
  BOOST_TEST(dispatcher_.counters_.silences_endured_ == 1U);
}

BOOST_AUTO_TEST_CASE(Streams_WhenManyFallSilent_AreAbandonedAsTheBudgetAllows) {
  constexpr double kRepeats = 8;
  SetBudget(0, kRepeats * static_cast<double>(kDefaultRepeatSharers) /
                   kRepeatBoundFraction);
  std::vector<RequestId> streams;
  for (int i = 0; i < 20; ++i) {
    streams.push_back(StartAnswer("/resume/1"));
  }
  for (const RequestId& id : streams) {
    FallSilent(id);
  }
  BOOST_TEST(static_cast<double>(abandoned_.size()) == kRepeats);
  const std::vector<RequestId> abandoned = abandoned_;
  for (const RequestId& id : abandoned) {
    Done(id, AttemptOutcome::kFailed, RunState::kMayHaveRun, 3);
  }
  BOOST_TEST(refused_.empty());
  BOOST_TEST(dispatcher_.counters_.repeats_denied_ == 0U);
}

BOOST_AUTO_TEST_CASE(Stream_WhenNoOtherEngineHasRoom_StaysAndIsNotCut) {
  const RequestId id = StartAnswer("/resume/1");
  for (auto& [name, server] : dispatcher_.pool_.servers_) {
    server.full_until_ = now_ + Milliseconds(1000);
  }
  FallSilent(id);
  BOOST_TEST(abandoned_.empty());
  Pass(Milliseconds(1100));
  FallSilent(id);
  BOOST_TEST(abandoned_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(Stream_WhenItsAttemptsAreUsedUp_Stays) {
  const RequestId id = StartAnswer("/resume/1");
  Done(id, AttemptOutcome::kFailed, RunState::kMayHaveRun, 3);
  Reserve(id, true);
  FallSilent(id);
  BOOST_TEST(abandoned_.empty());
}

BOOST_AUTO_TEST_CASE(Read_WhenItsServerIsTheOnlyOne_Stays) {
  Leave(Plain("s2"));
  Leave(Plain("s3"));
  const RequestId id = Arrive("/read/1");
  FallSilent(id);
  BOOST_TEST(abandoned_.empty());
  List({Plain("s4")}, false);
  FallSilent(id);
  BOOST_TEST(abandoned_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(Prefill_WhenNoRepeatIsLeft_Stays) {
  SetBudget(0, 0);
  const RequestId id = Arrive("/stream/1");
  Reserve(id, true);
  BOOST_TEST((Last(id).stage_ == Stage::kPrefill));
  FallSilent(id);
  BOOST_TEST(abandoned_.empty());
  Prefill(id, true);
  BOOST_TEST((Last(id).stage_ == Stage::kDecode));
}

BOOST_AUTO_TEST_CASE(SilentServer_WhileItsRequestStays_GetsNoNewRequests) {
  SetBudget(0, 0);
  const RequestId id = Arrive("/read/1");
  const std::string silent = Last(id).server_;
  FallSilent(id);
  for (int i = 0; i < 6; ++i) {
    BOOST_TEST(Last(Arrive("/read/1")).server_ != silent);
  }
}

BOOST_AUTO_TEST_CASE(Silence_OfAnAttemptThatIsOver_IsIgnored) {
  const RequestId id = StartAnswer("/resume/1");
  const AttemptSilent late{id, Last(id).attempt_};
  Done(id, AttemptOutcome::kFailed, RunState::kMayHaveRun, 3);
  Handle(late);
  BOOST_TEST(abandoned_.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::dispatch
