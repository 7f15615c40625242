#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

#include "siskindrum/dispatch/limits.h"
#include "siskindrum/dispatch/quarantine.h"

namespace siskindrum::dispatch {
namespace {

// Parts of prompts: a part that many requests share, parts that crash engines,
// and parts of other requests.
constexpr std::uint64_t kCommon = 10;
constexpr std::uint64_t kDeadly = 20;
constexpr std::uint64_t kOtherDeadly = 30;
constexpr std::uint64_t kBystander = 40;
constexpr std::uint64_t kOtherBystander = 50;

struct QuarantineFixture {
  Suspicion CrashOf(const std::string& server, const PromptParts& parts) const {
    return {server, 0, now_, true, parts};
  }
  void Crash(const std::string& server, const PromptParts& parts) {
    change_ = RecordCrash(quarantine_, CrashOf(server, parts), now_);
  }
  void Write(const PromptParts& parts) {
    change_ = RecordHarmless(quarantine_, parts, now_, now_);
  }
  void Pass(Milliseconds time) {
    now_ += time;
    ExpireQuarantine(quarantine_, now_);
  }
  bool IsRefused(const PromptParts& parts) {
    return FindQuarantine(quarantine_, parts, now_) != nullptr;
  }

  Quarantine quarantine_;
  QuarantineChange change_;
  core::TimePoint now_{std::chrono::hours(1)};
};

BOOST_FIXTURE_TEST_SUITE(QuarantineOfParts, QuarantineFixture)

BOOST_AUTO_TEST_CASE(Parts_WhenTwoEnginesCrashed_AreRefused) {
  Crash("d1", {kCommon, kDeadly});
  BOOST_TEST(!IsRefused({kCommon, kDeadly}));
  Pass(Milliseconds(150));
  Crash("d2", {kCommon, kDeadly});
  BOOST_TEST(IsRefused({kCommon, kDeadly}));
  BOOST_TEST(IsRefused({kCommon, kDeadly, kBystander}));
}

BOOST_AUTO_TEST_CASE(Parts_WhenOneCrashIsReportedTwice_ArePassed) {
  Crash("d1", {kCommon, kDeadly});
  Pass(Milliseconds(10));
  Crash("d1", {kCommon, kDeadly});
  BOOST_TEST(!IsRefused({kCommon, kDeadly}));
}

BOOST_AUTO_TEST_CASE(Parts_WhenOneEngineCrashedTwice_AreRefused) {
  Crash("d1", {kDeadly});
  Pass(Milliseconds(4000));
  Crash("d1", {kDeadly});
  BOOST_TEST(IsRefused({kDeadly}));
}

BOOST_AUTO_TEST_CASE(CommonPart_WhenItWasNeverWritten_IsPassedAlone) {
  Crash("d1", {kCommon, kDeadly});
  Crash("d2", {kCommon, kDeadly});
  BOOST_TEST(!IsRefused({kCommon}));
  BOOST_TEST(!IsRefused({kCommon, kBystander}));
}

BOOST_AUTO_TEST_CASE(CommonPart_WhenItIsWrittenAfterTheCrashes_IsAcquitted) {
  Crash("d1", {kCommon, kDeadly});
  Crash("d2", {kCommon, kDeadly});
  Write({kCommon, kBystander});
  // The part that is left is refused beside any other.
  BOOST_TEST(IsRefused({kDeadly, kOtherBystander}));
  BOOST_TEST(!IsRefused({kCommon, kOtherBystander}));
}

BOOST_AUTO_TEST_CASE(DeadlyPart_WhenBesideDifferentParts_IsRefused) {
  Write({kCommon});
  Crash("d1", {kCommon, kDeadly});
  Crash("d2", {kDeadly, kBystander});
  BOOST_TEST(IsRefused({kDeadly, kOtherBystander}));
  BOOST_TEST(!IsRefused({kCommon, kBystander}));
}

BOOST_AUTO_TEST_CASE(DeadlyParts_WhenTwoCrashAtOnce_AreBothFound) {
  Crash("d1", {kCommon, kDeadly});
  Crash("d2", {kCommon, kOtherDeadly});
  Pass(Milliseconds(100));
  Crash("d3", {kCommon, kOtherDeadly});
  Crash("d4", {kCommon, kDeadly});
  BOOST_TEST(IsRefused({kCommon, kDeadly}));
  BOOST_TEST(IsRefused({kCommon, kOtherDeadly}));
  BOOST_TEST(!IsRefused({kCommon, kBystander}));
}

BOOST_AUTO_TEST_CASE(Bystander_WhenACulpritIsKnown_IsNotBlamed) {
  Crash("d1", {kCommon, kDeadly});
  Crash("d2", {kCommon, kDeadly});
  Crash("d3", {kBystander});
  Crash("d3", {kCommon, kDeadly});
  Pass(Milliseconds(1500));
  Crash("d4", {kCommon, kDeadly});
  Crash("d4", {kBystander});
  BOOST_TEST(!IsRefused({kBystander}));
}

BOOST_AUTO_TEST_CASE(Bystander_WhenAnEngineEndsForAnotherReason_IsNotBlamed) {
  Crash("d1", {kCommon, kDeadly});
  Crash("d9", {kBystander});
  Crash("d2", {kCommon, kDeadly});
  BOOST_TEST(IsRefused({kCommon, kDeadly}));
  BOOST_TEST(!IsRefused({kBystander}));
}

BOOST_AUTO_TEST_CASE(Bystander_WhenItsRetryIsWritten_IsAcquitted) {
  Crash("d1", {kBystander});
  Write({kBystander});
  BOOST_TEST(change_.news_.harmless_.size() == 1U);
  Crash("d2", {kBystander});
  BOOST_TEST(!IsRefused({kBystander}));
}

BOOST_AUTO_TEST_CASE(Part_WhenItBecomesDeadlyLater_IsRefused) {
  Write({kDeadly});
  Pass(kHarmlessLifetime + Milliseconds(1));
  Crash("d1", {kDeadly});
  Crash("d2", {kDeadly});
  BOOST_TEST(IsRefused({kDeadly}));
}

BOOST_AUTO_TEST_CASE(Crashes_WhenFarApart_AreNotAdded) {
  Crash("d1", {kBystander});
  Pass(kSuspicionLifetime + Milliseconds(1000));
  Crash("d2", {kBystander});
  BOOST_TEST(!IsRefused({kBystander}));
}

BOOST_AUTO_TEST_CASE(Quarantine_WhenItsTermEnds_LetsOneRequestTry) {
  Crash("d1", {kDeadly});
  Crash("d2", {kDeadly});
  Pass(QuarantineTerm(2) - Milliseconds(1));
  BOOST_TEST(AdmitParts(quarantine_, {kDeadly}, now_) != nullptr);
  Pass(Milliseconds(1));
  BOOST_TEST(AdmitParts(quarantine_, {kDeadly}, now_) == nullptr);
  BOOST_TEST(AdmitParts(quarantine_, {kDeadly}, now_) != nullptr);
  Write({kDeadly});
  BOOST_TEST(AdmitParts(quarantine_, {kDeadly}, now_) == nullptr);
  BOOST_TEST(AdmitParts(quarantine_, {kDeadly}, now_) == nullptr);
}

BOOST_AUTO_TEST_CASE(Quarantine_WhenTheTrialCrashes_IsRenewedForLonger) {
  Crash("d1", {kDeadly});
  Crash("d2", {kDeadly});
  Pass(QuarantineTerm(2));
  BOOST_TEST(!IsRefused({kDeadly}));
  Crash("d3", {kCommon, kDeadly});
  BOOST_TEST(change_.renewed_.size() == 1U);
  Pass(2 * QuarantineTerm(2) - Milliseconds(1));
  BOOST_TEST(IsRefused({kDeadly}));
}

BOOST_AUTO_TEST_CASE(Quarantine_WhenNothingHappensForLong_IsForgotten) {
  Crash("d1", {kDeadly});
  Crash("d2", {kDeadly});
  Pass(kSuspicionLifetime + 3 * QuarantineTerm(2));
  BOOST_TEST(quarantine_.sets_.empty());
  BOOST_TEST(quarantine_.suspicions_.empty());
  BOOST_TEST((QuarantineTerm(100) == kMaxQuarantineTerm));
}

BOOST_AUTO_TEST_CASE(Report_WhenMerged_GivesTheSameQuarantineWithItsAge) {
  Crash("d1", {kCommon, kDeadly});
  Crash("d2", {kCommon, kDeadly});
  Pass(Milliseconds(40000));
  Quarantine other;
  MergeReport(other, MakeReport(quarantine_, now_), now_);
  BOOST_TEST(FindQuarantine(other, {kCommon, kDeadly}, now_) != nullptr);
  Pass(QuarantineTerm(2) - Milliseconds(40000));
  BOOST_TEST(FindQuarantine(other, {kCommon, kDeadly}, now_) == nullptr);
}

BOOST_AUTO_TEST_CASE(Report_WhenMergedAgain_BringsNoNews) {
  Crash("d1", {kCommon, kDeadly});
  Crash("d2", {kCommon, kDeadly});
  Write({kCommon});
  Quarantine other;
  const auto report = MakeReport(quarantine_, now_);
  const auto news = MergeReport(other, report, now_).news_;
  BOOST_TEST(!news.suspects_.empty());
  Pass(Milliseconds(300));
  const auto again =
      MergeReport(other, MakeReport(quarantine_, now_), now_).news_;
  BOOST_TEST(again.suspects_.empty());
  BOOST_TEST(again.harmless_.empty());
  BOOST_TEST(again.quarantined_.empty());
}

BOOST_AUTO_TEST_CASE(Report_WhenItBlamesAHarmlessPart_IsAnswered) {
  Write({kCommon});
  const core::QuarantineReport report{
      {}, {}, {{{kCommon}, 3, Milliseconds(100)}}};
  const auto news = MergeReport(quarantine_, report, now_).news_;
  BOOST_TEST(!IsRefused({kCommon}));
  BOOST_REQUIRE(news.harmless_.size() == 1U);
  BOOST_TEST(news.harmless_.front().part_ == kCommon);
}

BOOST_AUTO_TEST_CASE(Report_WhenMalformed_IsIgnored) {
  const core::QuarantineReport report{
      {{"d1", 1, Milliseconds(-5), true, {1}},
       {"d2", 1, Milliseconds(1), true, {3, 2}}},
      {{1, Milliseconds(-1)}},
      {{{2}, 2, Milliseconds(INT64_MAX)}, {{4, 3}, 2, Milliseconds(1)}}};
  MergeReport(quarantine_, report, now_);
  BOOST_TEST(quarantine_.suspicions_.empty());
  BOOST_TEST(quarantine_.sets_.empty());
  BOOST_TEST(quarantine_.harmless_.empty());
}

BOOST_AUTO_TEST_CASE(Memory_WhenManyPartsAreSeen_IsBounded) {
  for (std::uint64_t i = 1; i < 3 * kMaxHarmlessParts; ++i) {
    Write({i});
    Crash("d" + std::to_string(i), {UINT64_MAX - i});
  }
  BOOST_TEST(quarantine_.harmless_.size() <= kMaxHarmlessParts);
  BOOST_TEST(quarantine_.suspicions_.size() <= kMaxSuspicions);
  BOOST_TEST(MakeReport(quarantine_, now_).suspects_.size() <= kMaxReportRows);
}

BOOST_AUTO_TEST_CASE(DeadlyPart_WhenEachRequestCrashesTwoEngines_IsRefused) {
  for (std::uint64_t i = 0; i < 6; ++i) {
    const std::string server = "d" + std::to_string(2 * i);
    Crash(server, {kDeadly, 100 + i});
    Pass(Milliseconds(150));
    Crash(server + "b", {kDeadly, 100 + i});
    Pass(Milliseconds(2000));
  }
  BOOST_TEST(IsRefused({kDeadly, 200}));
}

BOOST_AUTO_TEST_CASE(Parts_WhenOneCrashIsReportedLateAgain_ArePassed) {
  core::QuarantineReport report;
  report.suspects_.push_back({"d1", 7, Milliseconds(0), true, {kBystander}});
  MergeReport(quarantine_, report, now_);
  Pass(Milliseconds(1500));
  // The same message, by a peer that was frozen.
  MergeReport(quarantine_, report, now_);
  BOOST_TEST(!IsRefused({kBystander}));
}

BOOST_AUTO_TEST_CASE(Report_WhenItBlamesAHarmlessPartOnceMore_IsAnswered) {
  core::QuarantineReport report;
  report.suspects_.push_back({"d1", 7, Milliseconds(0), true, {kCommon}});
  Write({kCommon});
  BOOST_TEST(MergeReport(quarantine_, report, now_).news_.harmless_.size() ==
             1U);
  Pass(Milliseconds(40000));
  Write({kCommon});
  report.suspects_.front().server_ = "d2";
  BOOST_TEST(MergeReport(quarantine_, report, now_).news_.harmless_.size() ==
             1U);
}

BOOST_AUTO_TEST_CASE(Entry_WhenItMissedTheAcquittal_LearnsItFromAReport) {
  Quarantine other;
  const core::PromptParts parts{kCommon};
  Write(parts);
  RecordCrash(other, CrashOf("d1", parts), now_);
  RecordCrash(other, CrashOf("d2", parts), now_);
  // The answer is lost on its way.
  MergeReport(quarantine_, MakeReport(other, now_), now_);
  for (int i = 0; i < 20; ++i) {
    Pass(Milliseconds(500));
    Write(parts);
    const auto change = MergeReport(quarantine_, MakeReport(other, now_), now_);
    MergeReport(other, change.news_, now_);
    // As gossip does: nothing is sent without suspicions or quarantines.
    const auto gossip = MakeReport(quarantine_, now_);
    if (!gossip.suspects_.empty() || !gossip.quarantined_.empty()) {
      MergeReport(other, gossip, now_);
    }
  }
  BOOST_TEST((FindQuarantine(other, parts, now_) == nullptr));
}

BOOST_AUTO_TEST_CASE(Report_WhenManyPartsWereAcquitted_HasTheLatest) {
  for (std::uint64_t part = 1; part <= 9; ++part) {
    Crash("d1", {part});
    Write({part});
    Pass(Milliseconds(10));
  }
  const auto report = MakeReport(quarantine_, now_);
  BOOST_TEST(std::any_of(report.harmless_.begin(), report.harmless_.end(),
                         [](const auto& row) { return row.part_ == 9; }));
}

BOOST_AUTO_TEST_CASE(Sets_WhenMoreThanFitAreSupported_AreChosenInBoundedTime,
                     *boost::unit_test::timeout(5)) {
  Crash("d1", {1});
  Crash("d2", {1});
  Pass(Milliseconds(2000));
  Crash("d3", {2});
  Crash("d4", {2});
  Pass(Milliseconds(2000));
  core::QuarantineReport report;
  for (std::uint64_t i = 0; i < kMaxQuarantinedSets; ++i) {
    report.quarantined_.push_back({{100 + i}, 2, Milliseconds(0)});
  }
  MergeReport(quarantine_, report, now_);
  Crash("d5", {3});
  BOOST_TEST(quarantine_.sets_.size() <= kMaxQuarantinedSets);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::dispatch
