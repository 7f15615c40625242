#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "fleet.h"
#include "siskindrum/dispatch/limits.h"

namespace siskindrum::dispatch {
namespace {

constexpr std::uint64_t kCommonPart = 1;
constexpr std::uint64_t kDeadlyPart = 2;

// Simulates engines that crash when they begin a request with the deadly part,
// before or after its first event, and start again some seconds later. Sound
// requests share the common part.
struct FleetQuarantineFixture : Fleet {
  static constexpr std::size_t kEngines = 12;
  static constexpr Milliseconds kPrefillTime{60};
  static constexpr Milliseconds kFirstEventTime{100};
  static constexpr Milliseconds kAnswerTime{3000};
  // From the first event to the crash.
  static constexpr Milliseconds kCrashTime{50};
  static constexpr Milliseconds kRestartTime{3400};
  // From the fifth crash until all entries must know, and the requests that may
  // reach engines after that.
  static constexpr Milliseconds kStableTime{3000};
  static constexpr int kAllowedSends = 3;

  enum class Step { kAnswer, kSustain, kEnd };
  struct Attempt {
    std::string entry_;
    RequestId id_;
    std::string server_;
    std::uint32_t attempt_ = 0;
    Stage stage_ = Stage::kReserve;
    Step step_ = Step::kAnswer;
    bool deadly_ = false;
    TimePoint due_{};
  };

  void StartFleet(std::size_t entries, std::size_t domains) {
    Start(entries, domains);
    for (std::size_t i = 0; i < kEngines + 4; ++i) {
      const bool decodes = i < kEngines;
      engines_.push_back(DispatcherFixture::Engine(
          (decodes ? "d" : "p") + std::to_string(i),
          decodes ? core::ServerRole::kDecode : core::ServerRole::kPrefill));
      engines_.back().domain_ = "domain-" + std::to_string(i % domains);
    }
    Feed(engines_);
    Pass(Milliseconds(4000));
  }
  void Send(const std::string& address, bool deadly) {
    CallArrived arrived;
    arrived.request_ = {entries_.at(address).dispatcher_.options_.incarnation_,
                        ++requests_};
    arrived.call_.shape_.path_ = "/resume/1";
    arrived.call_.shape_.prompt_tokens_ = 2000;
    arrived.call_.answer_tokens_ = 300;
    arrived.call_.label_ = "r" + std::to_string(requests_);
    arrived.call_.time_left_ = Milliseconds(14000);
    arrived.call_.shared_parts_ = {kCommonPart};
    if (deadly) {
      arrived.call_.shared_parts_.push_back(kDeadlyPart);
    }
    if (own_parts_) {
      arrived.call_.shared_parts_.push_back(1000 + requests_);
    }
    arrived.arrived_at_ = now_;
    deadly_requests_.insert({arrived.request_, deadly});
    Handle(address, arrived);
  }
  bool IsUp(const std::string& server) const {
    const auto found = up_again_at_.find(server);
    return found == up_again_at_.end() || found->second <= now_;
  }
  void Fail(const Attempt& attempt, int status) {
    AttemptDone done;
    done.request_ = attempt.id_;
    done.attempt_ = attempt.attempt_;
    done.reason_ = status == 0 ? core::Reason::kConnectFailed
                               : core::Reason::kConnectionLost;
    done.run_state_ = status == 0 ? RunState::kNotRun : RunState::kMayHaveRun;
    done.status_ = status;
    done.connection_lost_ = status != 0;
    Handle(attempt.entry_, done);
  }
  void HandleStarts() {
    for (auto& [address, entry] : entries_) {
      std::vector<Action> actions;
      actions.swap(entry.actions_);
      for (const Action& action : actions) {
        if (const auto* start = std::get_if<StartAttempt>(&action)) {
          HandleStart(address, *start);
        } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
          EndRequest(*refuse);
        }
      }
    }
  }
  void EndRequest(const Refuse& refuse) {
    std::erase_if(open_, [&](const Attempt& attempt) {
      return attempt.id_ == refuse.request_;
    });
    sound_refused_ += deadly_requests_.at(refuse.request_) ? 0 : 1;
  }
  void HandleStart(const std::string& address, const StartAttempt& start) {
    std::erase_if(open_, [&](const Attempt& attempt) {
      return attempt.id_ == start.request_;
    });
    const bool deadly = deadly_requests_.at(start.request_);
    if (deadly && start.stage_ != Stage::kReserve &&
        now_ > fifth_crash_at_ + kStableTime) {
      ++late_sends_;
    }
    const Milliseconds time = start.stage_ == Stage::kReserve ? Milliseconds(1)
                              : start.stage_ == Stage::kPrefill
                                  ? kPrefillTime
                                  : kFirstEventTime;
    open_.push_back({address, start.request_, start.server_, start.attempt_,
                     start.stage_, Step::kAnswer, deadly, now_ + time});
  }
  void Crash(const std::string& server) {
    up_again_at_[server] = now_ + kRestartTime;
    if (++crashes_ == 5) {
      fifth_crash_at_ = now_;
    }
    std::vector<Attempt> lost;
    std::erase_if(open_, [&](const Attempt& attempt) {
      const bool is_lost =
          attempt.server_ == server && attempt.stage_ == Stage::kDecode;
      if (is_lost) {
        lost.push_back(attempt);
      }
      return is_lost;
    });
    for (const Attempt& attempt : lost) {
      if (attempt.step_ == Step::kAnswer) {
        Fail(attempt, 200);
      } else {
        EndBegunAnswer(attempt);
      }
    }
  }
  void EndBegunAnswer(const Attempt& attempt) {
    AttemptDone done;
    done.request_ = attempt.id_;
    done.attempt_ = attempt.attempt_;
    done.reason_ = core::Reason::kConnectionLost;
    done.status_ = 200;
    done.last_event_ = 5;
    done.connection_lost_ = true;
    done.wrote_events_ = true;
    Handle(attempt.entry_, done);
  }
  void Advance(Attempt attempt) {
    if (attempt.stage_ == Stage::kReserve) {
      Handle(attempt.entry_,
             ReserveDone{attempt.id_, attempt.attempt_, IsUp(attempt.server_),
                         false, "hold", ""});
    } else if (attempt.stage_ == Stage::kPrefill) {
      Handle(attempt.entry_,
             PrefillDone{attempt.id_, attempt.attempt_, true, false, "kv", ""});
    } else if (attempt.step_ == Step::kEnd) {
      AttemptDone done;
      done.request_ = attempt.id_;
      done.attempt_ = attempt.attempt_;
      done.outcome_ = AttemptOutcome::kDelivered;
      done.run_state_ = RunState::kRan;
      done.status_ = 200;
      done.wrote_events_ = true;
      Handle(attempt.entry_, done);
    } else if (attempt.step_ == Step::kSustain && attempt.deadly_) {
      open_.push_back(attempt);
      Crash(attempt.server_);
    } else if (attempt.step_ == Step::kSustain) {
      Handle(attempt.entry_, AnswerSustained{attempt.id_, attempt.attempt_});
      attempt.step_ = Step::kEnd;
      attempt.due_ = now_ + kAnswerTime - kHarmlessWritingTime;
      open_.push_back(attempt);
    } else if (!IsUp(attempt.server_)) {
      Fail(attempt, 0);
    } else if (attempt.deadly_ && !writes_before_crash_) {
      open_.push_back(attempt);
      Crash(attempt.server_);
    } else {
      Begin(attempt);
    }
  }
  void Begin(Attempt attempt) {
    Handle(attempt.entry_, AnswerBegan{attempt.id_, attempt.attempt_});
    sound_begun_ += attempt.deadly_ ? 0 : 1;
    attempt.step_ = Step::kSustain;
    attempt.due_ = now_ + (attempt.deadly_ ? kCrashTime : kHarmlessWritingTime);
    open_.push_back(attempt);
  }
  void AdvanceDue() {
    for (bool found = true; found;) {
      const auto due =
          std::find_if(open_.begin(), open_.end(),
                       [this](const Attempt& one) { return one.due_ <= now_; });
      found = due != open_.end();
      if (found) {
        const Attempt attempt = *due;
        open_.erase(due);
        Advance(attempt);
        HandleStarts();
      }
    }
  }
  void SimulateLoad(double per_second,
                    double deadly_share,
                    std::chrono::seconds length) {
    const TimePoint until = now_ + length;
    std::exponential_distribution<double> gap(per_second);
    std::bernoulli_distribution deadly(deadly_share);
    TimePoint next = now_;
    while (now_ < until) {
      while (next <= now_) {
        auto entry = entries_.begin();
        std::advance(entry,
                     static_cast<std::ptrdiff_t>(random_() % entries_.size()));
        Send(entry->first, deadly(random_));
        next += std::chrono::duration_cast<core::Nanoseconds>(
            std::chrono::duration<double>(gap(random_)));
      }
      HandleStarts();
      AdvanceDue();
      Pass(kTick);
    }
  }
  bool Refuses(const std::string& address) {
    return FindQuarantine(entries_.at(address).dispatcher_.quarantine_,
                          {kCommonPart, kDeadlyPart}, now_) != nullptr;
  }

  std::mt19937_64 random_{5};
  std::uint64_t requests_ = 0;
  std::vector<core::ServerInfo> engines_;
  std::vector<Attempt> open_;
  std::map<RequestId, bool> deadly_requests_;
  std::map<std::string, TimePoint> up_again_at_;
  TimePoint fifth_crash_at_ = TimePoint::max() - kStableTime;
  bool own_parts_ = false;  // Each request has a shared part of its own.
  bool writes_before_crash_ = false;  // Engines write the first event.
  int crashes_ = 0;
  int late_sends_ = 0;
  int sound_begun_ = 0;
  int sound_refused_ = 0;
};

BOOST_FIXTURE_TEST_SUITE(FleetQuarantine, FleetQuarantineFixture)

BOOST_DATA_TEST_CASE_F(FleetQuarantineFixture,
                       DeadlyPart_WhenSentThroughAllEntries_IsStoppedInTime,
                       boost::unit_test::data::make({false, true}),
                       writes_before_crash) {
  for (const double share : {0.05, 0.4}) {
    for (const std::size_t entries : {1U, 5U, 34U}) {
      BOOST_TEST_CONTEXT(share << " of the requests, " << entries
                               << " entries") {
        static_cast<FleetQuarantineFixture&>(*this) = FleetQuarantineFixture{};
        writes_before_crash_ = writes_before_crash;
        StartFleet(entries, 4);
        SimulateLoad(12, share, std::chrono::seconds(30));
        BOOST_TEST(crashes_ >= 2);
        BOOST_TEST(late_sends_ <= kAllowedSends);
        BOOST_TEST(sound_begun_ > 100);
        BOOST_TEST(sound_refused_ * 20 <= sound_begun_);
      }
    }
  }
}

BOOST_DATA_TEST_CASE_F(FleetQuarantineFixture,
                       DeadlyPart_WhenBesideADifferentPartEachTime_IsStopped,
                       boost::unit_test::data::make({false, true}),
                       writes_before_crash) {
  for (const double share : {0.02, 0.05, 0.4}) {
    for (const auto& [entries, seed] :
         {std::pair{1U, 5U}, {1U, 6U}, {5U, 5U}, {5U, 6U}, {5U, 7U}}) {
      BOOST_TEST_CONTEXT(share << " of the requests, " << entries
                               << " entries, seed " << seed) {
        static_cast<FleetQuarantineFixture&>(*this) = FleetQuarantineFixture{};
        own_parts_ = true;
        writes_before_crash_ = writes_before_crash;
        random_.seed(seed);
        StartFleet(entries, 4);
        SimulateLoad(12, share, std::chrono::seconds(60));
        BOOST_TEST_MESSAGE(crashes_ << " crashes, " << late_sends_ << " late");
        BOOST_TEST(late_sends_ <= kAllowedSends);
        BOOST_TEST(sound_refused_ * 20 <= sound_begun_);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(Entry_WhenItStartsLater_LearnsOfTheQuarantine) {
  StartFleet(5, 2);
  SimulateLoad(12, 0.3, std::chrono::seconds(5));
  const int crashes = crashes_;
  for (auto& [address, entry] : entries_) {
    entry.dispatcher_.quarantine_.suspicions_.clear();
  }
  Add(5, "domain-0", false);
  Feed(engines_);
  Pass(kStableTime);
  BOOST_TEST(Refuses(AddressOf(5)));
  BOOST_TEST(crashes_ == crashes);
}

BOOST_AUTO_TEST_CASE(Entry_WhenItIsCutOff_KeepsTheQuarantineForItself) {
  StartFleet(4, 2);
  while (entries_.size() > 1) {
    entries_.erase(std::prev(entries_.end()));
  }
  SimulateLoad(12, 0.4, std::chrono::seconds(20));
  BOOST_TEST(crashes_ >= 2);
  BOOST_TEST(late_sends_ <= kAllowedSends);
  BOOST_TEST(sound_begun_ > 50);
}

BOOST_AUTO_TEST_CASE(Messages_WhenManyEnginesCrash_StayWithinTheRate) {
  StartFleet(40, 4);
  constexpr int kSeconds = 20;
  messages_ = 0;
  for (int i = 0; i < 400; ++i) {
    for (auto& [address, entry] : entries_) {
      core::QuarantineReport report;
      report.suspects_ = {{"d" + std::to_string(i),
                           1,
                           Milliseconds(0),
                           true,
                           {static_cast<std::uint64_t>(i + 1)}}};
      Handle(address,
             PeerMessageReceived{core::PeerMessage{"entry-0", 1, report}});
    }
    Pass(Milliseconds(kSeconds * 1000 / 400));
  }
  const double each =
      static_cast<double>(messages_) / static_cast<double>(entries_.size());
  // Allows 24 messages a second for gossip and usage reports.
  BOOST_TEST(each <= kNewsBurst + (kNewsMessagesPerSecond + 24) * kSeconds);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::dispatch
