#include <boost/test/unit_test.hpp>

#include <deque>

#include "dispatcher_fixture.h"
#include "siskindrum/dispatch/limits.h"

namespace siskindrum::dispatch {
namespace {

// Simulates a burst: three decode engines with ten slots each, answers of 3 s,
// prefills of 100 ms, arrivals at a constant rate.
struct OverloadFixture : DispatcherFixture {
  static constexpr std::size_t kSlotsPerEngine = 10;
  static constexpr Milliseconds kAnswerTime{3000};
  static constexpr Milliseconds kTarget{900};

  struct RunningAnswer {
    RequestId id_;
    std::string server_;
    TimePoint arrived_at_{};
    TimePoint begins_at_{};
    TimePoint ends_at_{};
    bool prefilled_ = false;
    bool begun_ = false;
  };
  struct Result {
    std::size_t arrived_ = 0;
    std::size_t in_time_ = 0;
    std::size_t late_ = 0;
    std::size_t refused_ = 0;
    Milliseconds longest_wait_for_refusal_{0};
  };

  std::map<std::string, std::size_t> used_;
  std::map<RequestId, TimePoint> arrivals_;
  std::map<RequestId, std::size_t> seen_starts_;
  std::vector<RunningAnswer> running_;
  Result result_;

  // Grants reservations while slots are free.
  void AnswerReservations() {
    bool again = true;
    while (again) {
      again = false;
      for (const auto& [id, arrived] : arrivals_) {
        const auto found = starts_.find(id);
        if (found == starts_.end() ||
            seen_starts_[id] == found->second.size()) {
          continue;
        }
        seen_starts_[id] = found->second.size();
        if (found->second.back().stage_ != Stage::kReserve) {
          continue;
        }
        const std::string server = found->second.back().server_;
        const bool granted = used_[server] < kSlotsPerEngine;
        if (granted) {
          ++used_[server];
          running_.push_back({id, server, arrived, now_ + Milliseconds(100),
                              now_ + Milliseconds(100) + kAnswerTime});
        }
        Reserve(id, granted);
        again = true;
        break;
      }
    }
  }
  void AdvanceAnswers() {
    for (RunningAnswer& one : running_) {
      if (!one.prefilled_ && now_ >= one.begins_at_) {
        one.prefilled_ = true;
        Prefill(one.id_, true);
        Begin(one.id_);
        const bool in_time = now_ - one.arrived_at_ <= kTarget;
        ++(in_time ? result_.in_time_ : result_.late_);
      }
    }
    for (std::size_t i = 0; i < running_.size();) {
      if (now_ >= running_[i].ends_at_) {
        const RunningAnswer ended = running_[i];
        running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(i));
        --used_[ended.server_];
        arrivals_.erase(ended.id_);
        Done(ended.id_, AttemptOutcome::kDelivered, RunState::kRan);
      } else {
        ++i;
      }
    }
  }
  void CountRefusals() {
    for (auto it = arrivals_.begin(); it != arrivals_.end();) {
      if (IsRefused(it->first)) {
        ++result_.refused_;
        result_.longest_wait_for_refusal_ = std::max(
            result_.longest_wait_for_refusal_,
            std::chrono::duration_cast<Milliseconds>(now_ - it->second));
        it = arrivals_.erase(it);
      } else {
        ++it;
      }
    }
  }
  void SimulateLoad(double per_second, std::chrono::seconds length) {
    const TimePoint until = now_ + length;
    TimePoint next = now_;
    while (now_ < until + std::chrono::seconds(5)) {
      while (now_ < until && next <= now_) {
        ++result_.arrived_;
        arrivals_[Arrive("/stream/1")] = now_;
        next += std::chrono::duration_cast<core::Nanoseconds>(
            std::chrono::duration<double>(1.0 / per_second));
      }
      AnswerReservations();
      AdvanceAnswers();
      AnswerReservations();
      CountRefusals();
      now_ += Milliseconds(10);
      Handle(Ticked{});
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(Overload, OverloadFixture)

BOOST_AUTO_TEST_CASE(Burst_AtTwiceTheCapacity_ServesTheCapacityInTime) {
  SimulateLoad(20.0, std::chrono::seconds(12));
  // Thirty slots for 3.1 s each serve 9.7 answers a second.
  const double capacity = 9.7 * 12;
  BOOST_TEST(static_cast<double>(result_.in_time_) >= 0.9 * capacity);
  // Slots go to callers that can meet their target; few others get one.
  BOOST_TEST(result_.late_ * 10 <= result_.in_time_);
}

BOOST_AUTO_TEST_CASE(Burst_WhenItCannotBeServed_IsRefusedSoon) {
  SimulateLoad(20.0, std::chrono::seconds(12));
  BOOST_TEST(result_.refused_ > 0U);
  // No caller waits for its refusal beyond the first-token target.
  BOOST_TEST((result_.longest_wait_for_refusal_ <= kTarget));
  for (const auto& [id, verdict] : refused_) {
    BOOST_TEST((verdict.run_state_ == RunState::kNotRun));
    BOOST_TEST(verdict.retry_after_.count() > 0);
  }
}

BOOST_AUTO_TEST_CASE(Load_WhenItFits_IsServedInTimeWithoutRefusals) {
  SimulateLoad(8.0, std::chrono::seconds(20));
  BOOST_TEST(result_.in_time_ == result_.arrived_);
  BOOST_TEST(result_.refused_ == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::dispatch
