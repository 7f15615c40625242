#define BOOST_TEST_MODULE hedge
#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "siskindrum/hedge/hedge.h"

namespace siskindrum::hedge {
namespace {

// A service whose class usually answers within 50 ms, and a request of it that
// meets every condition of a hedge.
struct HedgeFixture {
  HedgeFixture() {
    limits_.share_ = 0.05;
    Answer(95, Milliseconds(50));
    Answer(5, Milliseconds(400));
    Call(40, true);
    facts_.service_ = "desk";
    facts_.class_ = "/read/*";
    facts_.may_repeat_ = true;
    facts_.attempt_left_ = true;
    facts_.elapsed_ = Milliseconds(100);
    facts_.time_left_ = Milliseconds(400);
    facts_.places_ = 18;
    facts_.taken_ = 1;
    facts_.server_ = "s2";
  }

  void Answer(int count, Milliseconds took) {
    for (int i = 0; i < count; ++i) {
      RecordClassTime(state_, "desk", "/read/*", took, false, now_);
    }
  }
  void Call(int count, bool may_repeat) {
    for (int i = 0; i < count; ++i) {
      RecordCall(state_, limits_, "desk", may_repeat, now_);
    }
  }
  Verdict Decide() const { return DecideHedge(state_, limits_, facts_, now_); }
  std::optional<Milliseconds> Delay() const {
    return HedgeDelay(state_, limits_, "desk", "/read/*", now_);
  }

  TimePoint now_{std::chrono::hours(1)};
  HedgeLimits limits_;
  HedgeState state_;
  HedgeFacts facts_;
};

BOOST_FIXTURE_TEST_SUITE(Hedges, HedgeFixture)

BOOST_AUTO_TEST_CASE(Request_WhenSlowerThanItsClass_IsHedged) {
  BOOST_TEST((Decide() == Verdict::kSend));
}

BOOST_AUTO_TEST_CASE(Request_WhenNoLimitIsSet_IsNeverHedged) {
  limits_ = {};
  BOOST_TEST((Decide() == Verdict::kOff));
  BOOST_TEST(!Delay().has_value());
}

// Guards against a second run of a request that may run only once.
BOOST_AUTO_TEST_CASE(Request_WhenItMayRunOnlyOnce_IsNeverHedged) {
  facts_.may_repeat_ = false;
  BOOST_TEST((Decide() == Verdict::kNotRepeatable));
}

BOOST_AUTO_TEST_CASE(Request_WhenItsRuleAllowsNoFurtherServer_IsNotHedged) {
  facts_.attempt_left_ = false;
  BOOST_TEST((Decide() == Verdict::kNoAttemptLeft));
}

BOOST_AUTO_TEST_CASE(Request_WhenItsClassIsNotKnown_IsNotHedged) {
  facts_.class_ = "/other/*";
  BOOST_TEST((Decide() == Verdict::kUnknownTimes));
}

BOOST_AUTO_TEST_CASE(Request_WhenItsDeadlineIsNear_IsNotHedged) {
  facts_.time_left_ = Milliseconds(40);
  BOOST_TEST((Decide() == Verdict::kLittleTime));
}

BOOST_AUTO_TEST_CASE(Service_WhenHalfOfItsPlacesAreTaken_GetsNoHedges) {
  facts_.taken_ = 10;
  BOOST_TEST((Decide() == Verdict::kShortOfRoom));
}

BOOST_AUTO_TEST_CASE(Service_WhenAServerHadNoRoom_GetsNoHedgesForASecond) {
  RecordShortage(state_, "desk", now_);
  BOOST_TEST((Decide() == Verdict::kShortOfRoom));
  now_ += Milliseconds(1000);
  BOOST_TEST((Decide() == Verdict::kSend));
}

// More load does not help servers that are slow all together.
BOOST_AUTO_TEST_CASE(Service_WhenMostRequestsAreSlow_GetsNoHedges) {
  facts_.other_ages_ = {Milliseconds(100), Milliseconds(5)};
  BOOST_TEST((Decide() == Verdict::kAllSlow));
  facts_.other_ages_ = {Milliseconds(100), Milliseconds(5), Milliseconds(5)};
  BOOST_TEST((Decide() == Verdict::kSend));
}

BOOST_AUTO_TEST_CASE(Server_WhenItIsAsSlow_GetsNoHedge) {
  facts_.server_silence_ = Milliseconds(100);
  BOOST_TEST((Decide() == Verdict::kSlowServer));
  facts_.server_silence_ = Milliseconds(0);
  for (int i = 0; i < 5; ++i) {
    RecordServerTime(state_, "desk", "s2", Milliseconds(90), false, now_);
  }
  BOOST_TEST((Decide() == Verdict::kSlowServer));
}

BOOST_AUTO_TEST_CASE(Delay_WhenAFewAreMuchSlower_IsJustAboveTheOthers) {
  for (const double share : {0.01, 0.05, 0.2}) {
    limits_.share_ = share;
    BOOST_REQUIRE(Delay().has_value());
    BOOST_TEST(Delay()->count() >= 50);
    BOOST_TEST(Delay()->count() < 60);
  }
}

// Of many slow answers, the slowest gain most from a small limit.
BOOST_AUTO_TEST_CASE(Delay_WhenTheLimitIsSmall_LeavesItToTheSlowest) {
  state_ = {};
  Call(100, true);
  Answer(80, Milliseconds(50));
  Answer(18, Milliseconds(200));
  Answer(2, Milliseconds(2000));
  limits_.share_ = 0.01;
  BOOST_TEST(Delay()->count() > 190);
  limits_.share_ = 0.2;
  BOOST_TEST(Delay()->count() < 60);
}

// More work without use: a second answer would not come sooner.
BOOST_AUTO_TEST_CASE(Request_WhenSlowAnswersAreLittleSlower_IsNotHedged) {
  state_ = {};
  Call(100, true);
  Answer(90, Milliseconds(50));
  Answer(10, Milliseconds(70));
  BOOST_TEST((Decide() == Verdict::kNotSlow));
  // It is at a stuck server then.
  facts_.elapsed_ = Milliseconds(160);
  BOOST_TEST((Decide() == Verdict::kSend));
}

// The limit counts all requests of the service, most of which may not be sent
// again.
BOOST_AUTO_TEST_CASE(Delay_WhenFewRequestsMayRepeat_UsesTheWholeLimit) {
  state_ = {};
  Call(5, true);
  Call(95, false);
  Answer(80, Milliseconds(50));
  Answer(18, Milliseconds(200));
  Answer(2, Milliseconds(2000));
  limits_.share_ = 0.01;
  BOOST_TEST(Delay()->count() < 60);
}

// A class that has become slower must not be hedged by its former times.
BOOST_AUTO_TEST_CASE(Delay_WhenTheClassHasChanged_ForgetsTheEarlierTimes) {
  now_ += std::chrono::minutes(5);
  Call(40, true);
  Answer(38, Milliseconds(200));
  Answer(2, Milliseconds(2000));
  BOOST_REQUIRE(Delay().has_value());
  BOOST_TEST(Delay()->count() >= 200);
}

// Requests that are given up for their hedge hide how long they would have
// taken; their times must not look shorter for that.
BOOST_AUTO_TEST_CASE(Delay_WhenSlowRequestsAreGivenUp_Stays) {
  for (int i = 0; i < 10; ++i) {
    Answer(95, Milliseconds(50));
    for (int slow = 0; slow < 5; ++slow) {
      RecordClassTime(state_, "desk", "/read/*", Milliseconds(110), true, now_);
    }
  }
  BOOST_REQUIRE(Delay().has_value());
  BOOST_TEST(Delay()->count() < 60);
}

BOOST_AUTO_TEST_CASE(Limits_OfOneService_GoBeforeTheGeneralOne) {
  const auto limits = ParseHedgeLimits({"0.02", "desk=0.05", "post=0"});
  BOOST_REQUIRE(limits.has_value());
  BOOST_TEST(ShareOf(*limits, "desk") == 0.05);
  BOOST_TEST(ShareOf(*limits, "post") == 0.0);
  BOOST_TEST(ShareOf(*limits, "other") == 0.02);
}

BOOST_AUTO_TEST_CASE(Limits_WhenInvalid_AreRefused) {
  for (const char* text : {"", "x", "-0.1", "0.3", "nan", "=0.1", "desk="}) {
    BOOST_TEST(!ParseHedgeLimits({text}).has_value(), text);
  }
}

BOOST_AUTO_TEST_SUITE_END()

// The limit holds whatever the load: at each moment at most the share of all
// requests so far was hedged, and in any stretch not more than the credit more.
BOOST_AUTO_TEST_CASE(Hedges_UnderAnyLoad_StayWithinTheShare) {
  const bool holds = rc::check([] {
    HedgeFixture fixture;
    fixture.state_.services_.clear();
    fixture.limits_.share_ = *rc::gen::element(0.01, 0.05, 0.2);
    const double share = fixture.limits_.share_;
    double calls = 0;
    double hedges = 0;
    double least = 0;  // Of `hedges` - share x `calls`, so far.
    // Positive: a request; else requests in progress that are slow.
    const auto steps =
        *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(-3, 20));
    for (const int step : steps) {
      for (int i = 0; i < step; ++i) {
        fixture.Call(1, true);
        calls += 1;
      }
      for (int i = step; i < 0; ++i) {
        if (fixture.Decide() == Verdict::kSend) {
          RecordHedge(fixture.state_, "desk");
          hedges += 1;
        }
      }
      constexpr double kRounding = 1e-6;
      const double excess = hedges - share * calls;
      least = std::min(least, excess);
      RC_ASSERT(excess <= kRounding);
      RC_ASSERT(excess - least <= kMaxCredit + kRounding);
    }
    RC_CLASSIFY(hedges > 0, "hedged");
  });
  BOOST_TEST(holds);
}

}  // namespace
}  // namespace siskindrum::hedge
