#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "fleet.h"
#include "siskindrum/dispatch/limits.h"

namespace siskindrum::dispatch {
namespace {

// Simulates streams over many entries, each of which receives few of them.
// Engines grant every reservation, and answers hold theirs for three seconds.
struct FleetUsageFixture : Fleet {
  static constexpr Milliseconds kPrefillTime{100};
  static constexpr Milliseconds kAnswerTime{3000};
  static constexpr std::size_t kEngines = 9;
  static constexpr std::uint32_t kPrompt = 5000;
  static constexpr std::uint32_t kAnswer = 6000;
  // Answers that fill an engine's memory when each is half done.
  static constexpr int kMaxAnswersPerEngine = 60000 / (kPrompt + kAnswer / 2);
  static constexpr int kFullLengthAnswersPerEngine =
      5;  // Full-length answers per engine.

  struct Attempt {
    std::string entry_;
    RequestId id_;
    std::string engine_;
    std::uint32_t attempt_ = 0;
    Stage stage_ = Stage::kReserve;
    TimePoint due_{};
  };

  void StartFleet(std::size_t entries) {
    Start(entries, 1);
    std::vector<core::ServerInfo> engines;
    for (std::size_t i = 0; i < kEngines + 3; ++i) {
      const bool decodes = i < kEngines;
      engines.push_back(DispatcherFixture::Engine(
          (decodes ? "d" : "p") + std::to_string(i),
          decodes ? core::ServerRole::kDecode : core::ServerRole::kPrefill));
      engines.back().domain_ = "domain-0";
    }
    Feed(engines);
    Pass(Milliseconds(4000));
  }
  void SendRequest() {
    auto entry = entries_.begin();
    std::advance(entry,
                 static_cast<std::ptrdiff_t>(random_() % entries_.size()));
    CallArrived arrived;
    arrived.request_ = {entry->second.dispatcher_.options_.incarnation_,
                        ++requests_};
    arrived.call_.shape_.path_ = "/resume/1";
    arrived.call_.shape_.prompt_tokens_ = kPrompt;
    arrived.call_.answer_tokens_ = kAnswer;
    arrived.call_.label_ = "r" + std::to_string(requests_);
    arrived.call_.time_left_ = Milliseconds(14000);
    arrived.arrived_at_ = now_;
    Handle(entry->first, arrived);
  }
  // Handles the attempts that entries started since the last call.
  void HandleStarts() {
    for (auto& [address, entry] : entries_) {
      std::vector<Action> actions;
      actions.swap(entry.actions_);
      for (const Action& action : actions) {
        if (const auto* start = std::get_if<StartAttempt>(&action)) {
          HandleStart(address, *start);
        }
      }
    }
  }
  void HandleStart(const std::string& address, const StartAttempt& start) {
    const Milliseconds time = start.stage_ == Stage::kReserve ? Milliseconds(1)
                              : start.stage_ == Stage::kPrefill ? kPrefillTime
                                                                : kAnswerTime;
    open_.push_back({address, start.request_, start.server_, start.attempt_,
                     start.stage_, now_ + time});
    if (start.stage_ == Stage::kDecode) {
      Handle(address, AnswerBegan{start.request_, start.attempt_});
      ++running_[start.server_];
      ++begun_;
      overfull_ += running_[start.server_] > kMaxAnswersPerEngine ? 1 : 0;
    }
  }
  void FinishDue() {
    std::vector<Attempt> due;
    std::erase_if(open_, [&](const Attempt& one) {
      if (one.due_ <= now_) {
        due.push_back(one);
      }
      return one.due_ <= now_;
    });
    for (const Attempt& one : due) {
      if (one.stage_ == Stage::kReserve) {
        Handle(one.entry_,
               ReserveDone{one.id_, one.attempt_, true, false, "hold", ""});
      } else if (one.stage_ == Stage::kPrefill) {
        Handle(one.entry_,
               PrefillDone{one.id_, one.attempt_, true, false, "kv", ""});
      } else {
        --running_[one.engine_];
        AttemptDone done;
        done.request_ = one.id_;
        done.attempt_ = one.attempt_;
        done.outcome_ = AttemptOutcome::kDelivered;
        done.run_state_ = RunState::kRan;
        Handle(one.entry_, done);
      }
    }
  }
  void SimulateLoad(double per_second, std::chrono::seconds length) {
    const TimePoint until = now_ + length;
    std::exponential_distribution<double> gap(per_second);
    TimePoint next = now_;
    while (now_ < until) {
      while (next <= now_) {
        SendRequest();
        next += std::chrono::duration_cast<core::Nanoseconds>(
            std::chrono::duration<double>(gap(random_)));
      }
      HandleStarts();
      FinishDue();
      HandleStarts();
      Pass(kTick);
    }
  }

  std::mt19937_64 random_{11};
  std::uint64_t requests_ = 0;
  std::vector<Attempt> open_;
  std::map<std::string, int> running_;
  int begun_ = 0;
  int overfull_ = 0;  // Answers begun on an engine that was full.
};

BOOST_FIXTURE_TEST_SUITE(FleetUsage, FleetUsageFixture)

BOOST_AUTO_TEST_CASE(Answers_OfManyEntries_AreSpreadOverTheEngines) {
  // On average 27 answers are in progress; 63 would fill all engines.
  for (const std::size_t entries : {4U, 9U, 16U}) {
    BOOST_TEST_CONTEXT(entries << " entries") {
      open_.clear();
      running_.clear();
      begun_ = 0;
      overfull_ = 0;
      StartFleet(entries);
      SimulateLoad(9.0, std::chrono::seconds(30));
      BOOST_TEST(begun_ > 200);
      BOOST_TEST(overfull_ * 100 <= begun_);
    }
  }
}

BOOST_AUTO_TEST_CASE(Entry_WhenAPeerStopsReporting_DropsItsReport) {
  StartFleet(3);
  SimulateLoad(20.0, std::chrono::seconds(4));
  Dispatcher& first = entries_.begin()->second.dispatcher_;
  const auto peer_held_tokens = [&first] {
    std::uint64_t sum = 0;
    for (const auto& [name, server] : first.pool_.servers_) {
      sum += server.peer_held_tokens_;
    }
    return sum;
  };
  BOOST_TEST(peer_held_tokens() > 0U);
  while (entries_.size() > 1) {
    entries_.erase(std::prev(entries_.end()));
  }
  Pass(kUsageLifetime + Milliseconds(3000));
  BOOST_TEST(peer_held_tokens() == 0U);
}

BOOST_AUTO_TEST_CASE(UsageMessages_WhenTheDomainGrows_StayWithinTheRate) {
  for (const std::size_t entries : {4U, 16U, 40U}) {
    open_.clear();
    StartFleet(entries);
    messages_ = 0;
    constexpr int kSeconds = 10;
    SimulateLoad(2.0 * static_cast<double>(entries),
                 std::chrono::seconds(kSeconds));
    const double each =
        static_cast<double>(messages_) / static_cast<double>(entries);
    // Allows 4 messages per second for gossip besides the usage reports.
    BOOST_TEST(each <= (kUsageMessagesPerSecond + 4) * kSeconds);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::dispatch
