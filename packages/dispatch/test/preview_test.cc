#include "siskindrum/dispatch/preview.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <set>

#include <boost/test/unit_test.hpp>

#include "dispatcher_fixture.h"

namespace siskindrum::dispatch {
namespace {

struct PreviewFixture : DispatcherFixture {
  CallerCall MakeCall(const std::string& path) const {
    CallerCall call;
    call.shape_.path_ = path;
    call.shape_.prompt_tokens_ = 5000;
    call.answer_tokens_ = 700;
    call.time_left_ = Milliseconds(14000);
    return call;
  }
  Preview Ask(const std::string& path,
              const std::string& organisation = "") const {
    return PreviewCall(dispatcher_, MakeCall(path), organisation, now_);
  }
  // Asks, then sends the same request, and requires that both agree.
  void AskAndSend(const std::string& path) {
    const Preview preview = Ask(path);
    const RequestId id = Arrive(path);
    if (preview.outcome_ == PreviewOutcome::kRefused) {
      BOOST_REQUIRE(IsRefused(id));
      BOOST_TEST((Verdict(id).reason_ == preview.refusal_.reason_));
      BOOST_TEST(Verdict(id).retry_after_.count() ==
                 preview.refusal_.retry_after_.count());
      return;
    }
    if (preview.outcome_ == PreviewOutcome::kWaits) {
      BOOST_TEST(!IsRefused(id));
      BOOST_TEST(dispatcher_.calls_.at(id).waiting_);
      return;
    }
    BOOST_REQUIRE((preview.outcome_ == PreviewOutcome::kSent));
    BOOST_REQUIRE_EQUAL(Last(id).server_, preview.server_);
    if (Last(id).stage_ == Stage::kReserve) {
      Reserve(id, true);
      BOOST_TEST(
          Last(id).server_ ==
          (preview.prefill_.empty() ? preview.server_ : preview.prefill_));
      BOOST_TEST(dispatcher_.calls_.at(id).decode_server_ == preview.server_);
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(Previews, PreviewFixture)

// Load: bursts of all kinds beside engines that fill up, refuse and leave.
BOOST_AUTO_TEST_CASE(Preview_UnderRandomLoad_IsWhatHappensNext) {
  std::mt19937 random(1);
  const char* paths[] = {"/resume/1", "/stream/1", "/read/1", "/book/1",
                         "/none"};
  std::set<PreviewOutcome> seen;
  for (int i = 0; i < 600; ++i) {
    const std::string path = paths[random() % 5];
    seen.insert(Ask(path).outcome_);
    AskAndSend(path);
    if (random() % 4 == 0) {
      Pass(Milliseconds(random() % 200));
    }
    if (random() % 40 == 0) {
      Leave(Plain("s" + std::to_string(1 + random() % 3)));
      List({Plain("s1"), Plain("s2")}, false);
    }
    std::vector<RequestId> open;
    for (const auto& [id, call] : dispatcher_.calls_) {
      if (call.stage_ == Stage::kPlain && !call.server_.empty()) {
        open.push_back(id);
      }
    }
    std::sort(open.begin(), open.end());
    if (!open.empty() && random() % 2 == 0) {
      Done(open[random() % open.size()],
           random() % 5 == 0 ? AttemptOutcome::kFailed
                             : AttemptOutcome::kDelivered,
           RunState::kRan);
    }
  }
  BOOST_TEST(seen.contains(PreviewOutcome::kSent));
  BOOST_TEST(seen.contains(PreviewOutcome::kRefused));
  BOOST_TEST(seen.contains(PreviewOutcome::kWaits));
}

BOOST_AUTO_TEST_CASE(Preview_LeavesTheStateAsItIs) {
  const std::uint64_t arrived = dispatcher_.counters_.arrived_;
  const auto random = dispatcher_.random_;
  Ask("/resume/1");
  Ask("/read/1");
  BOOST_TEST(dispatcher_.calls_.empty());
  BOOST_TEST(dispatcher_.counters_.arrived_ == arrived);
  BOOST_TEST((dispatcher_.random_ == random));
  BOOST_TEST(starts_.empty());
  for (const auto& [name, server] : dispatcher_.pool_.servers_) {
    BOOST_TEST(server.calls_ == 0U);
    BOOST_TEST(server.held_tokens_ == 0U);
  }
}

BOOST_AUTO_TEST_CASE(Preview_OfAStream_NamesRuleEnginesAndCosts) {
  const Preview preview = Ask("/resume/1");
  BOOST_REQUIRE(preview.rule_ != nullptr);
  BOOST_TEST(preview.rule_->line_ == 2);
  BOOST_TEST(preview.pool_ == "engines");
  BOOST_TEST(!preview.prefill_.empty());
  BOOST_TEST(preview.candidates_.size() == 5U);
  const auto chosen =
      std::count_if(preview.candidates_.begin(), preview.candidates_.end(),
                    [](const auto& each) { return each.chosen_; });
  BOOST_TEST(chosen == 2);
  for (const PreviewCandidate& candidate : preview.candidates_) {
    BOOST_TEST(candidate.weighed_.cost_.Total() > 0);
  }
}

BOOST_AUTO_TEST_CASE(Preview_OfAServerThatLeaves_SaysWhyItIsNotConsidered) {
  Leave(Plain("s2"));
  const Preview preview = Ask("/read/1");
  const auto found = std::find_if(
      preview.candidates_.begin(), preview.candidates_.end(),
      [](const auto& each) { return each.weighed_.name_ == "s2"; });
  BOOST_REQUIRE(found != preview.candidates_.end());
  BOOST_REQUIRE(found->weighed_.excluded_ != nullptr);
  BOOST_TEST(std::string(found->weighed_.excluded_) == "leaving or gone");
}

BOOST_AUTO_TEST_CASE(Preview_WithoutARule_IsARefusal) {
  const Preview preview = Ask("/none");
  BOOST_TEST((preview.outcome_ == PreviewOutcome::kRefused));
  BOOST_TEST((preview.refusal_.reason_ == core::Reason::kRefusedByRule));
}

BOOST_AUTO_TEST_CASE(Preview_ForAnOrganisation_ShowsItsQuotaAndLeavesIt) {
  Configure(
      2, "organisation lab keys=key-of-lab rate=1 burst=80 # asked by Ann\n" +
             std::string(kRules));
  Pass(Milliseconds(5000));
  const RequestId id = ArriveFrom("lab", "/read/1");
  Done(id, AttemptOutcome::kDelivered, RunState::kRan);
  const Preview preview = Ask("/read/1", "lab");
  BOOST_TEST((preview.outcome_ == PreviewOutcome::kSent));
  BOOST_TEST(preview.organisation_ == "lab");
  BOOST_TEST(preview.quota_cost_ == 1.0);
  BOOST_REQUIRE(preview.quota_left_.has_value());
  BOOST_TEST(*Ask("/read/1", "lab").quota_left_ == *preview.quota_left_);
  // Its key is not certainly unknown, since no store has confirmed the rules.
  const Preview foreign = Ask("/read/1", "nobody");
  BOOST_TEST((foreign.refusal_.reason_ == core::Reason::kNotReady));
}

BOOST_AUTO_TEST_CASE(Preview_ForecastsTheHedgeThatFollows) {
  BOOST_TEST((Ask("/read/1").hedge_->verdict_ == hedge::Verdict::kOff));
  dispatcher_.options_.hedges_.share_ = 0.05;
  for (int i = 0; i < 60; ++i) {
    const RequestId id = Arrive("/read/1");
    now_ += Milliseconds(i % 20 == 19 ? 240 : 40);
    Done(id, AttemptOutcome::kDelivered, RunState::kRan);
  }
  BOOST_TEST(
      (Ask("/book/1").hedge_->verdict_ == hedge::Verdict::kNotRepeatable));
  const Preview preview = Ask("/read/1");
  BOOST_REQUIRE((preview.hedge_->verdict_ == hedge::Verdict::kSend));
  const RequestId id = Arrive("/read/1");
  now_ += preview.hedge_->delay_;
  Handle(Ticked{});
  BOOST_REQUIRE_EQUAL(Starts(id, Stage::kPlain), 2U);
  BOOST_TEST(Last(id).server_ == preview.hedge_->server_);
}

// The decision thread serves no request meanwhile. Size: the largest pools.
BOOST_AUTO_TEST_CASE(Preview_At140Engines_TakesUnder5Milliseconds) {
  std::vector<core::ServerInfo> list;
  for (int i = 0; i < 140; ++i) {
    list.push_back(Engine(
        "e" + std::to_string(i),
        i % 4 == 0 ? core::ServerRole::kPrefill : core::ServerRole::kDecode));
  }
  List(list, true);
  for (int i = 0; i < 400; ++i) {
    Arrive("/resume/1");
  }
  for (int i = 0; i < 3000; ++i) {
    Arrive("/none");
  }
  std::vector<double> times;
  for (int i = 0; i < 21; ++i) {
    const auto begin = std::chrono::steady_clock::now();
    Ask("/resume/1");
    times.push_back(std::chrono::duration<double, std::milli>(
                        std::chrono::steady_clock::now() - begin)
                        .count());
  }
  std::sort(times.begin(), times.end());
  BOOST_TEST_MESSAGE("median " << times[times.size() / 2] << " ms, longest "
                               << times.back() << " ms");
  BOOST_TEST(times[times.size() / 2] < 5);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::dispatch
