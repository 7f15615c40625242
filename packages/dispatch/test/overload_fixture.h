#ifndef SISKINDRUM_DISPATCH_TEST_OVERLOAD_FIXTURE_H_
#define SISKINDRUM_DISPATCH_TEST_OVERLOAD_FIXTURE_H_

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "dispatcher_fixture.h"

namespace siskindrum::dispatch {

// Simulates a burst: three decode engines with ten slots each, answers of 3 s,
// prefills of 100 ms, streams of requests with constant rates.
struct OverloadFixture : DispatcherFixture {
  static constexpr std::size_t kSlotsPerEngine = 10;
  static constexpr Milliseconds kAnswerTime{3000};
  static constexpr Milliseconds kTarget{900};

  // Requests of one class or organisation.
  struct Stream {
    std::string path_;
    double per_second_ = 0;
    std::string organisation_{};  // Empty: none.
    Milliseconds target_ = kTarget;
  };
  struct Request {
    std::size_t stream_ = 0;
    TimePoint arrived_at_{};
  };

  struct RunningAnswer {
    RequestId id_;
    std::string server_;
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
    double Share() const { return 1.0 * in_time_ / arrived_; }
  };

  // Slots in use, by engine; several entries may share it.
  std::shared_ptr<std::map<std::string, std::size_t>> used_ =
      std::make_shared<std::map<std::string, std::size_t>>();
  std::map<RequestId, Request> arrivals_;
  std::map<RequestId, std::size_t> seen_starts_;
  std::vector<RunningAnswer> running_;
  Milliseconds answer_time_spread_{0};
  std::mt19937 random_{1};
  std::vector<Stream> streams_;
  std::vector<Result> results_;  // Of each stream.

  // A mean of kAnswerTime. With spread, capacity comes free evenly rather than
  // in the rhythm in which a burst took it.
  Milliseconds AnswerTime() {
    if (answer_time_spread_.count() == 0) {
      return kAnswerTime;
    }
    std::uniform_int_distribution<std::int64_t> spread(
        -answer_time_spread_.count(), answer_time_spread_.count());
    return kAnswerTime + Milliseconds(spread(random_));
  }
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
        const bool granted = (*used_)[server] < kSlotsPerEngine;
        if (granted) {
          ++(*used_)[server];
          running_.push_back({id, server, now_ + Milliseconds(100),
                              now_ + Milliseconds(100) + AnswerTime()});
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
        const Request& request = arrivals_.at(one.id_);
        const bool in_time =
            now_ - request.arrived_at_ <= streams_[request.stream_].target_;
        Result& result = results_[request.stream_];
        ++(in_time ? result.in_time_ : result.late_);
      }
    }
    for (std::size_t i = 0; i < running_.size();) {
      if (now_ >= running_[i].ends_at_) {
        const RunningAnswer ended = running_[i];
        running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(i));
        --(*used_)[ended.server_];
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
        Result& result = results_[it->second.stream_];
        ++result.refused_;
        result.longest_wait_for_refusal_ =
            std::max(result.longest_wait_for_refusal_,
                     std::chrono::duration_cast<Milliseconds>(
                         now_ - it->second.arrived_at_));
        it = arrivals_.erase(it);
      } else {
        ++it;
      }
    }
  }
  // Sends the requests of a stream that are due.
  void Send(std::size_t stream, TimePoint& next, TimePoint until) {
    const Stream& one = streams_[stream];
    while (now_ < until && next <= now_) {
      ++results_[stream].arrived_;
      const RequestId id = ArriveFrom(one.organisation_, one.path_);
      arrivals_[id] = {stream, now_};
      next += std::chrono::duration_cast<core::Nanoseconds>(
          std::chrono::duration<double>(1.0 / one.per_second_));
    }
  }
  void BeginLoad(const std::vector<Stream>& streams,
                 std::chrono::seconds length) {
    streams_ = streams;
    results_.assign(streams.size(), {});
    until_ = now_ + length;
    next_.assign(streams.size(), now_);
  }
  bool IsLoadOver() const { return now_ >= until_ + std::chrono::seconds(5); }
  void AdvanceLoad() {
    for (std::size_t i = 0; i < streams_.size(); ++i) {
      Send(i, next_[i], until_);
    }
    AnswerReservations();
    AdvanceAnswers();
    AnswerReservations();
    CountRefusals();
    now_ += Milliseconds(10);
    Handle(Ticked{});
  }
  void SimulateLoad(const std::vector<Stream>& streams,
                    std::chrono::seconds length) {
    BeginLoad(streams, length);
    while (!IsLoadOver()) {
      AdvanceLoad();
    }
  }

  TimePoint until_{};
  std::vector<TimePoint> next_;
};

}  // namespace siskindrum::dispatch

#endif  // SISKINDRUM_DISPATCH_TEST_OVERLOAD_FIXTURE_H_
