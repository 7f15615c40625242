#include <boost/test/unit_test.hpp>

#include "absl/strings/match.h"
#include "dispatcher_fixture.h"

namespace siskindrum::dispatch {
namespace {

constexpr char kOne[] = "organisation one keys=k1 rank=2 # asked by Ann\n";
constexpr char kOther[] = "organisation other keys=k1 # asked by Ann\n";
constexpr char kNone[] = "organisation one # asked by Ann\n";

// An entry under a revocation limit of 5 s. Organisation one holds k1.
struct KeysFixture : DispatcherFixture {
  KeysFixture() {
    dispatcher_.options_.revocation_limit_ = Milliseconds(5000);
    Publish(2, kOne);
  }
  // Applies and confirms a configuration with these organisations.
  void Publish(std::uint64_t revision, const std::string& organisations) {
    const std::string text =
        organisations +
        "when path=/open/* then pool=desk plain access=public rank=4 "
        "# asked by Bo\n" +
        kRules;
    Configure(revision, text);
    Confirm(revision);
  }
  void Confirm(std::uint64_t revision) {
    const auto& current = *dispatcher_.configuration_.current_;
    Handle(ConfigurationConfirmed{now_, revision, current.digest_, nullptr});
  }
  RequestId ArriveWithKey(const std::string& path, const std::string& key) {
    CallArrived arrived;
    arrived.request_ = {1, ++requests_};
    arrived.call_.shape_.path_ = path;
    arrived.call_.shape_.prompt_tokens_ = 5000;
    arrived.call_.answer_tokens_ = 700;
    arrived.call_.label_ = "r" + std::to_string(requests_);
    arrived.call_.key_ = key;
    arrived.arrived_at_ = now_;
    Handle(arrived);
    return arrived.request_;
  }
  bool IsRefusedWith(const RequestId& id, core::Reason reason) const {
    return IsRefused(id) && Verdict(id).reason_ == reason;
  }
  std::size_t AllStarts(const RequestId& id) const {
    const auto found = starts_.find(id);
    return found == starts_.end() ? 0 : found->second.size();
  }
};

BOOST_FIXTURE_TEST_SUITE(Keys, KeysFixture)

BOOST_AUTO_TEST_CASE(Send_WhenKeyIsHeld_NamesOrganisationAndRemovesKey) {
  const RequestId id = ArriveWithKey("/read/1", "k1");
  BOOST_TEST(Last(id).organisation_ == "one");
  BOOST_TEST(Last(id).removes_key_);
  BOOST_TEST(dispatcher_.calls_.at(id).urgency_ == 2U);
  const RequestId open = ArriveWithKey("/open/1", "unknown");
  BOOST_TEST(Last(open).organisation_ == "");
  BOOST_TEST(Last(open).removes_key_);
  BOOST_TEST(dispatcher_.calls_.at(open).urgency_ == 4U);
}

BOOST_AUTO_TEST_CASE(Arrival_WhenKeyIsUnknown_IsUnauthorisedAndExplained) {
  const RequestId id = ArriveWithKey("/stream/1", "secret");
  BOOST_TEST(IsRefusedWith(id, core::Reason::kUnauthorised));
  BOOST_TEST(AllStarts(id) == 0U);
  BOOST_TEST(Verdict(id).retry_after_.count() == 0);
  const core::DecisionRecord& decision = *FindDecision(dispatcher_, "r1");
  BOOST_TEST(decision.outcome_ == "refused");
  BOOST_TEST(decision.reason_ == "unauthorised: no organisation holds the key");
  BOOST_TEST(dispatcher_.counters_.failed_by_reason_[static_cast<std::size_t>(
                 core::Reason::kUnauthorised)] == 1U);
  for (const core::LogEvent& log : logs_) {
    for (const core::LogField& field : log.fields_) {
      BOOST_TEST(!absl::StrContains(field.value_, "secret"));
    }
  }
}

// Load: a request waits for decode capacity. Failure: its key is revoked
// meanwhile. Nothing may be sent for it afterwards.
BOOST_AUTO_TEST_CASE(Wait_WhenKeyIsRevoked_StartsNothing) {
  const RequestId id = ArriveWithKey("/stream/1", "k1");
  while (!dispatcher_.calls_.at(id).waiting_) {
    Reserve(id, false);
  }
  const std::size_t before = AllStarts(id);
  Publish(3, kNone);
  Pass(Milliseconds(1000));
  BOOST_TEST(IsRefusedWith(id, core::Reason::kUnauthorised));
  BOOST_TEST(AllStarts(id) == before);
}

BOOST_AUTO_TEST_CASE(Wait_WhenKeyMovesToAnother_IsSentForItsNewHolder) {
  const RequestId id = ArriveWithKey("/stream/1", "k1");
  BOOST_TEST(Last(id).organisation_ == "one");
  Publish(3, kOther);
  Reserve(id, true);
  BOOST_TEST(Last(id).organisation_ == "other");
  BOOST_TEST(dispatcher_.calls_.at(id).urgency_ == 0U);
}

// Failure: the key is revoked between two stages of a request.
BOOST_AUTO_TEST_CASE(Stage_WhenKeyIsRevoked_DoesNotFollow) {
  const RequestId reserved = ArriveWithKey("/stream/1", "k1");
  const RequestId prefilled = ArriveWithKey("/stream/2", "k1");
  Reserve(prefilled, true);
  Publish(3, kNone);
  Reserve(reserved, true);
  Prefill(prefilled, true);
  BOOST_TEST(Starts(reserved, Stage::kPrefill) == 0U);
  BOOST_TEST(Starts(prefilled, Stage::kDecode) == 0U);
  BOOST_TEST(released_.size() == 2U);
  BOOST_TEST(freed_.size() == 1U);
}

// Failure: a key is revoked during an answer, then the engine dies. The answer
// goes on until then, and is not continued elsewhere.
BOOST_AUTO_TEST_CASE(Answer_WhenKeyIsRevoked_GoesOnButIsNotContinued) {
  const RequestId id = ArriveWithKey("/resume/1", "k1");
  Reserve(id, true);
  Prefill(id, true);
  Begin(id);
  Publish(3, kNone);
  Pass(Milliseconds(500));
  BOOST_TEST(!IsRefused(id));
  const std::size_t before = AllStarts(id);
  Done(id, AttemptOutcome::kFailed, RunState::kMayHaveRun, 17);
  BOOST_TEST(IsRefused(id));
  BOOST_TEST((Verdict(id).run_state_ == RunState::kRan));
  BOOST_TEST(AllStarts(id) == before);
}

// Failure: the engine falls silent for a while after the key was revoked. To
// leave it would cut the answer off, as nothing new may be sent.
BOOST_AUTO_TEST_CASE(SilentAnswer_WhenKeyIsRevoked_IsNotAbandoned) {
  const RequestId id = ArriveWithKey("/resume/1", "k1");
  Reserve(id, true);
  Prefill(id, true);
  Begin(id);
  Publish(3, kNone);
  Handle(AttemptSilent{id, Last(id).attempt_});
  BOOST_TEST(abandoned_.empty());
}

BOOST_AUTO_TEST_CASE(Retry_WhenKeyIsRevoked_IsNotSent) {
  const RequestId id = ArriveWithKey("/read/1", "k1");
  Publish(3, kNone);
  Done(id, AttemptOutcome::kFailed);
  BOOST_TEST(AllStarts(id) == 1U);
  BOOST_TEST((Verdict(id).run_state_ == RunState::kMayHaveRun));
}

// Failure: cut from the store, then in contact again.
BOOST_AUTO_TEST_CASE(Key_WhenStoreIsCutOffAndBack_IsServedAtOnceAgain) {
  Pass(Milliseconds(4200));
  BOOST_TEST(!IsRefused(ArriveWithKey("/read/1", "k1")));
  Pass(Milliseconds(200));
  const RequestId late = ArriveWithKey("/read/1", "k1");
  BOOST_TEST(IsRefusedWith(late, core::Reason::kNotReady));
  BOOST_TEST(Verdict(late).retry_after_.count() > 0);
  BOOST_TEST(!IsRefused(ArriveWithKey("/open/1", "")));
  Confirm(2);
  BOOST_TEST(!IsRefused(ArriveWithKey("/read/1", "k1")));
}

// Failure: the configuration that the store reported did not come into use, so
// its confirmation says nothing about the one in use.
BOOST_AUTO_TEST_CASE(Confirmation_WhenAboutAnotherConfiguration_IsNotApplied) {
  Pass(Milliseconds(4000));
  Confirm(3);
  Handle(ConfigurationConfirmed{now_, 2, 12345, nullptr});
  Pass(Milliseconds(1000));
  BOOST_TEST(
      IsRefusedWith(ArriveWithKey("/read/1", "k1"), core::Reason::kNotReady));
  Confirm(1);  // A peer reported a newer one before the store did.
  BOOST_TEST(!IsRefused(ArriveWithKey("/read/1", "k1")));
}

BOOST_AUTO_TEST_CASE(RequestRefusedAtHead_IsCountedAndExplained) {
  RefusedAtHead refused;
  refused.request_ = {1, 99};
  refused.call_.label_ = "head";
  refused.configuration_ = dispatcher_.configuration_.current_;
  refused.rule_ = &refused.configuration_->rules_.rules_[0];
  refused.reason_ = core::Reason::kUnauthorised;
  refused.detail_ = "no key";
  Handle(refused);
  BOOST_TEST(FindDecision(dispatcher_, "head")->reason_ ==
             "unauthorised: no key");
  BOOST_TEST(dispatcher_.calls_.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::dispatch
