#include <algorithm>
#include <map>
#include <random>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "dispatcher_fixture.h"
#include "siskindrum/dispatch/limits.h"

namespace siskindrum::dispatch {
namespace {

constexpr double kShare = 0.05;
// Rules of reads by organisations, of which each may send 100 at once.
constexpr char kQuotaRules[] =
    "organisation lab keys=key-of-lab rate=1 burst=100 # asked by Ann\n";

// A dispatcher that knows that reads take 40 ms and a few 240 ms, and has
// credit for hedges.
struct HedgeFixture : DispatcherFixture {
  HedgeFixture() {
    dispatcher_.options_.hedges_.share_ = kShare;
    WarmUp();
  }

  void WarmUp() {
    for (int i = 0; i < 60; ++i) {
      const RequestId id = Arrive("/read/1");
      now_ += Milliseconds(i % 20 == 19 ? 240 : 40);
      Done(id, AttemptOutcome::kDelivered, RunState::kRan);
    }
  }
  // A read that has been sent to two servers.
  RequestId StartHedged(const std::string& path = "/read/1") {
    const RequestId id = Arrive(path);
    Pass(Milliseconds(60));
    BOOST_REQUIRE_EQUAL(Starts(id, Stage::kPlain), 2U);
    return id;
  }
  void DoneAt(const RequestId& id,
              std::size_t start,
              AttemptOutcome outcome,
              RunState run_state = RunState::kMayHaveRun) {
    AttemptDone done;
    done.request_ = id;
    done.attempt_ = starts_.at(id).at(start).attempt_;
    done.outcome_ = outcome;
    done.run_state_ = run_state;
    done.reason_ = core::Reason::kConnectionLost;
    Handle(done);
  }
  std::uint32_t CallsInProgress() const {
    std::uint32_t calls = 0;
    for (const auto& [name, server] : dispatcher_.pool_.servers_) {
      calls += server.calls_ + (server.request_bytes_ > 0 ? 1 : 0);
    }
    return calls;
  }
  std::uint64_t Withheld(hedge::Verdict verdict) const {
    return dispatcher_.counters_
        .hedge_verdicts_[static_cast<std::size_t>(verdict)];
  }
};

// Reads at a steady rate. Each attempt takes 30 to 60 ms, and a few take 240
// ms, independently of each other.
struct SlowAnswersFixture : DispatcherFixture {
  static constexpr int kReads = 4000;

  // Returns the response times of all reads in milliseconds, sorted.
  std::vector<double> Play(double share) {
    dispatcher_.options_.hedges_.share_ = share;
    for (int i = 0; i < kReads; ++i) {
      const RequestId id = Arrive("/read/1");
      arrived_[id] = now_;
      for (int part = 0; part < 5; ++part) {
        Advance();
      }
    }
    for (int i = 0; i < 100; ++i) {
      Advance();
    }
    std::sort(times_.begin(), times_.end());
    return times_;
  }

 private:
  struct Answer {
    RequestId id_;
    std::size_t start_ = 0;
    TimePoint due_{};
  };

  // Advances by 10 ms.
  void Advance() {
    now_ += Milliseconds(10);
    for (; next_start_ < order_.size(); ++next_start_) {
      const RequestId id = order_[next_start_];
      const std::size_t start = starts_seen_[id]++;
      const Milliseconds takes(random_() % 33 == 0 ? 240 : 30 + random_() % 30);
      answers_.push_back(
          {id, start, starts_.at(id).at(start).decided_at_ + takes});
    }
    std::erase_if(answers_, [this](const Answer& answer) {
      if (answer.due_ > now_) {
        return false;
      }
      if (arrived_.contains(answer.id_)) {
        times_.push_back(ToMs(now_ - arrived_.at(answer.id_)));
        arrived_.erase(answer.id_);
        AttemptDone done;
        done.request_ = answer.id_;
        done.attempt_ = starts_.at(answer.id_).at(answer.start_).attempt_;
        done.outcome_ = AttemptOutcome::kDelivered;
        done.run_state_ = RunState::kRan;
        Handle(done);
      }
      return true;
    });
    Handle(Ticked{});
  }

  std::mt19937 random_{1};
  std::map<RequestId, TimePoint> arrived_;  // Not answered yet.
  std::size_t next_start_ = 0;              // In `order_`.
  std::map<RequestId, std::size_t> starts_seen_;
  std::vector<Answer> answers_;
  std::vector<double> times_;
};

BOOST_FIXTURE_TEST_SUITE(SlowAnswers, SlowAnswersFixture)

// Load: 20 reads a second, 3 % of whose answers miss a target of 200 ms.
BOOST_DATA_TEST_CASE(Reads_WhenSomeAnswersAreSlow_MeetTheirTargetIfHedged,
                     boost::unit_test::data::make({0.0, 0.01, 0.02, 0.05}),
                     share) {
  const std::vector<double> times = Play(share);
  BOOST_REQUIRE_EQUAL(times.size(), static_cast<std::size_t>(kReads));
  const auto at = [&times](double part) {
    return times[static_cast<std::size_t>(part * kReads)];
  };
  const auto hedges = static_cast<double>(dispatcher_.counters_.hedges_);
  BOOST_TEST_MESSAGE("share " << share << ": " << at(0.5) << ", " << at(0.99)
                              << ", " << at(0.999) << " ms, hedges "
                              << hedges / kReads);
  BOOST_TEST(hedges <= share * kReads);
  const double target_ms = 200;
  BOOST_TEST((at(0.99) <= target_ms) == (share >= 0.05));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(HedgedCalls, HedgeFixture)

BOOST_AUTO_TEST_CASE(Read_WhenSlowerThanUsual_IsSentBesideToAnotherServer) {
  const RequestId id = Arrive("/read/1");
  const std::string first = Last(id).server_;
  Pass(Milliseconds(40));
  BOOST_TEST(Starts(id, Stage::kPlain) == 1U);
  Pass(Milliseconds(20));
  BOOST_TEST(Starts(id, Stage::kPlain) == 2U);
  BOOST_TEST(Last(id).beside_);
  BOOST_TEST(Last(id).server_ != first);
  Pass(Milliseconds(400));
  BOOST_TEST(Starts(id, Stage::kPlain) == 2U);
}

BOOST_AUTO_TEST_CASE(Read_WhenNoLimitIsSet_IsSentOnce) {
  dispatcher_.options_.hedges_ = {};
  const RequestId id = Arrive("/read/1");
  Pass(Milliseconds(240));
  BOOST_TEST(Starts(id, Stage::kPlain) == 1U);
  BOOST_TEST(dispatcher_.counters_.hedges_ == 0U);
}

// Guards against a booking that runs twice.
BOOST_AUTO_TEST_CASE(Booking_WhenSlow_IsNeverHedged) {
  for (int i = 0; i < 60; ++i) {
    const RequestId id = Arrive("/book2/1");
    now_ += Milliseconds(i % 20 == 19 ? 240 : 40);
    Done(id, AttemptOutcome::kDelivered, RunState::kRan);
  }
  const RequestId id = Arrive("/book2/1");
  Pass(Milliseconds(700));
  BOOST_TEST(Starts(id, Stage::kPlain) == 1U);
  BOOST_TEST(Withheld(hedge::Verdict::kNotRepeatable) == 1U);
}

BOOST_AUTO_TEST_CASE(Read_WhenTheSecondAnswersFirst_EndsWithItsRoomGivenBack) {
  const RequestId id = StartHedged();
  DoneAt(id, 1, AttemptOutcome::kDelivered, RunState::kRan);
  BOOST_TEST(dispatcher_.calls_.empty());
  BOOST_TEST(CallsInProgress() == 0U);
  BOOST_TEST(dispatcher_.counters_.hedges_won_ == 1U);
}

// Both answers in the same instant: the second report finds no request.
BOOST_AUTO_TEST_CASE(Read_WhenBothAnswer_IsDeliveredOnce) {
  const RequestId id = StartHedged();
  const std::uint64_t delivered = dispatcher_.counters_.delivered_;
  DoneAt(id, 0, AttemptOutcome::kDelivered, RunState::kRan);
  DoneAt(id, 1, AttemptOutcome::kDelivered, RunState::kRan);
  BOOST_TEST(dispatcher_.counters_.delivered_ == delivered + 1);
  BOOST_TEST(dispatcher_.counters_.hedges_won_ == 0U);
  BOOST_TEST(CallsInProgress() == 0U);
}

BOOST_AUTO_TEST_CASE(Read_WhenItsFirstAttemptFails_WaitsForTheSecond) {
  const RequestId id = StartHedged();
  DoneAt(id, 0, AttemptOutcome::kFailed);
  BOOST_TEST(Starts(id, Stage::kPlain) == 2U);
  BOOST_TEST(!IsRefused(id));
  DoneAt(id, 1, AttemptOutcome::kDelivered, RunState::kRan);
  BOOST_TEST(dispatcher_.calls_.empty());
  BOOST_TEST(CallsInProgress() == 0U);
}

BOOST_AUTO_TEST_CASE(Read_WhenItsFirstAttemptIsRefused_WaitsForTheSecond) {
  const RequestId id = StartHedged();
  DoneAt(id, 0, AttemptOutcome::kRefused, RunState::kNotRun);
  BOOST_TEST(Starts(id, Stage::kPlain) == 2U);
  BOOST_TEST(CallsInProgress() == 1U);
  DoneAt(id, 1, AttemptOutcome::kDelivered, RunState::kRan);
  BOOST_TEST(dispatcher_.calls_.empty());
}

BOOST_AUTO_TEST_CASE(Read_WhenItsSecondAttemptFails_WaitsForTheFirst) {
  const RequestId id = StartHedged();
  DoneAt(id, 1, AttemptOutcome::kFailed);
  BOOST_TEST(!IsRefused(id));
  BOOST_TEST(CallsInProgress() == 1U);
  DoneAt(id, 0, AttemptOutcome::kDelivered, RunState::kRan);
  BOOST_TEST(dispatcher_.calls_.empty());
}

// The rule allows two servers, however they are used.
BOOST_AUTO_TEST_CASE(Read_WhenBothAttemptsFail_IsNotSentToAThirdServer) {
  const RequestId id = StartHedged();
  DoneAt(id, 1, AttemptOutcome::kFailed);
  DoneAt(id, 0, AttemptOutcome::kFailed);
  BOOST_TEST(Starts(id, Stage::kPlain) == 2U);
  BOOST_TEST((Verdict(id).run_state_ == RunState::kMayHaveRun));
}

BOOST_AUTO_TEST_CASE(Read_WhenTheSecondServerIsNotReached_MayStillRepeat) {
  const RequestId id = StartHedged();
  DoneAt(id, 1, AttemptOutcome::kFailed, RunState::kNotRun);
  DoneAt(id, 0, AttemptOutcome::kFailed);
  BOOST_TEST(Starts(id, Stage::kPlain) == 3U);
  BOOST_TEST(!IsRefused(id));
}

// The second server may still run it, so the refusal must not say otherwise.
BOOST_AUTO_TEST_CASE(Read_WhenOneRefusesAndOneIsLost_MayHaveRun) {
  const RequestId id = StartHedged();
  DoneAt(id, 1, AttemptOutcome::kFailed);
  DoneAt(id, 0, AttemptOutcome::kRefused, RunState::kNotRun);
  BOOST_TEST((Verdict(id).run_state_ == RunState::kMayHaveRun));
}

BOOST_AUTO_TEST_CASE(Read_WhenTheSecondServerErrs_IsAnsweredByTheFirst) {
  const RequestId id = StartHedged();
  DoneAt(id, 1, AttemptOutcome::kServerError, RunState::kRan);
  BOOST_TEST(server_errors_.empty());
  DoneAt(id, 0, AttemptOutcome::kDelivered, RunState::kRan);
  BOOST_TEST(server_errors_.empty());
  BOOST_TEST(dispatcher_.calls_.empty());
}

BOOST_AUTO_TEST_CASE(Read_WhenItsCallerLeaves_FreesBothServers) {
  const RequestId id = StartHedged();
  Handle(CallerLeft{id});
  BOOST_TEST(CallsInProgress() == 0U);
  const RequestId gone = Arrive("/read/1");
  Handle(CallerLeft{gone});
  Pass(Milliseconds(200));
  BOOST_TEST(Starts(gone, Stage::kPlain) == 1U);
}

BOOST_AUTO_TEST_CASE(Read_WhenItsAnswerHasBegun_IsNotHedged) {
  const RequestId id = Arrive("/read/1");
  Begin(id);
  Pass(Milliseconds(200));
  BOOST_TEST(Starts(id, Stage::kPlain) == 1U);
}

BOOST_AUTO_TEST_CASE(Read_WhenItsAnswerBeginsAfterTheHedge_FreesTheSecond) {
  const RequestId id = StartHedged();
  Handle(AnswerBegan{id, starts_.at(id).front().attempt_});
  BOOST_TEST(CallsInProgress() == 1U);
}

// Leaves and pauses bind the second send like the first.
BOOST_AUTO_TEST_CASE(Read_WhenTheOtherServersLeave_IsNotHedged) {
  const RequestId id = Arrive("/read/1");
  for (const char* name : {"s1", "s2", "s3"}) {
    if (name != Last(id).server_) {
      Leave(Plain(name));
    }
  }
  Pass(Milliseconds(200));
  BOOST_TEST(Starts(id, Stage::kPlain) == 1U);
  BOOST_TEST(Withheld(hedge::Verdict::kNoServer) == 1U);
}

// Overload: servers that refuse have no room for extra work.
BOOST_AUTO_TEST_CASE(Reads_WhenAServerHasNoRoom_AreNotHedged) {
  const RequestId refused = Arrive("/read/1");
  Done(refused, AttemptOutcome::kRefused, RunState::kNotRun);
  const RequestId slow = Arrive("/read/1");
  Pass(Milliseconds(200));
  BOOST_TEST(Starts(slow, Stage::kPlain) == 1U);
  BOOST_TEST(Withheld(hedge::Verdict::kShortOfRoom) > 0U);
}

// Errors of the servers' own are no sign that room is short.
BOOST_AUTO_TEST_CASE(Reads_WhenAServerErrs_AreHedged) {
  const RequestId failed = Arrive("/read/1");
  Done(failed, AttemptOutcome::kServerError, RunState::kRan);
  Done(failed, AttemptOutcome::kServerError, RunState::kRan);
  StartHedged();
}

// Load: more requests than places, as in a burst.
BOOST_AUTO_TEST_CASE(Reads_WhenAllPlacesAreTaken_AreNotHedged) {
  const std::uint64_t before = dispatcher_.counters_.hedges_;
  for (int i = 0; i < 18; ++i) {
    Arrive("/read/1");
  }
  Pass(Milliseconds(200));
  BOOST_TEST(dispatcher_.counters_.hedges_ == before);
}

// Hedges leave the repeat budget to failures.
BOOST_AUTO_TEST_CASE(Reads_WhenFailuresUseTheRepeats_AreNotHedged) {
  dispatcher_.options_.repeats_.ratio_ = 0;
  dispatcher_.options_.repeats_.slack_ = 32;  // Three for this entry.
  const RequestId first = Arrive("/read/1");
  Done(first, AttemptOutcome::kFailed);
  Done(first, AttemptOutcome::kDelivered, RunState::kRan);
  Pass(Milliseconds(1000));
  const RequestId slow = Arrive("/read/1");
  Pass(Milliseconds(200));
  BOOST_TEST(Starts(slow, Stage::kPlain) == 1U);
  BOOST_TEST(Withheld(hedge::Verdict::kNoRepeat) == 1U);
}

BOOST_AUTO_TEST_CASE(Read_WhenHedged_IsChargedToItsQuotaOnce) {
  Configure(2, std::string(kQuotaRules) + kRules);
  Pass(Milliseconds(5000));
  const auto left = [this] {
    const auto& accounts = dispatcher_.quota_.accounts_;
    return accounts.begin()->second.tokens_;
  };
  const RequestId warm = ArriveFrom("lab", "/read/1");
  Done(warm, AttemptOutcome::kDelivered, RunState::kRan);
  const double before = left();
  const RequestId id = ArriveFrom("lab", "/read/1");
  Pass(Milliseconds(60));
  BOOST_REQUIRE_EQUAL(Starts(id, Stage::kPlain), 2U);
  DoneAt(id, 1, AttemptOutcome::kDelivered, RunState::kRan);
  BOOST_TEST(before - left() <= 1.0);
  BOOST_TEST(before - left() > 0.8);
}

// Load: answers of random times up to the deadline, in random bursts. Guards
// the operators' limit, whatever the servers do.
BOOST_AUTO_TEST_CASE(Reads_UnderRandomLoad_AreHedgedWithinTheShare) {
  std::mt19937 random(1);
  std::vector<std::pair<TimePoint, RequestId>> due;
  double reads = 60;
  for (int step = 0; step < 4000; ++step) {
    const std::uint32_t burst = random() % 50 == 0 ? 8 : random() % 2;
    for (std::uint32_t i = 0; i < burst; ++i) {
      const RequestId id = Arrive("/read/1");
      reads += 1;
      const Milliseconds took(random() % 20 == 0 ? random() % 800
                                                 : 20 + random() % 30);
      due.emplace_back(now_ + took, id);
    }
    Pass(Milliseconds(20));
    std::erase_if(due, [this, &random](const auto& each) {
      if (each.first > now_) {
        return false;
      }
      const std::size_t start = random() % starts_.at(each.second).size();
      DoneAt(each.second, start,
             random() % 30 == 0 ? AttemptOutcome::kFailed
                                : AttemptOutcome::kDelivered,
             RunState::kRan);
      return true;
    });
  }
  const auto hedges = static_cast<double>(dispatcher_.counters_.hedges_);
  BOOST_TEST(hedges > 20);
  BOOST_TEST(hedges <= kShare * reads);
  BOOST_TEST(dispatcher_.counters_.hedges_won_ > 0U);
  Pass(Milliseconds(2000));
  BOOST_TEST(CallsInProgress() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::dispatch
