#ifndef SISKINDRUM_QUOTA_TEST_QUOTA_FLEET_H_
#define SISKINDRUM_QUOTA_TEST_QUOTA_FLEET_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "siskindrum/peer/codec.h"
#include "siskindrum/quota/quota.h"

namespace siskindrum::quota {

using core::Milliseconds;

// Entries that exchange quota messages on virtual time, one millisecond a step.
struct QuotaFleet {
  struct Entry {
    QuotaState state_;
    TimePoint started_at_{};
    bool running_ = true;  // Else paused or killed.
    std::deque<std::pair<TimePoint, core::PeerMessage>> arriving_;
  };
  struct Spent {
    TimePoint at_{};
    double cost_ = 0;
  };

  static constexpr Milliseconds kDelay{2};  // One way.
  static constexpr Milliseconds kTick{20};
  static constexpr char kName[] = "acme";

  QuotaFleet(std::size_t entries, const core::Quota& quota) {
    Limit(quota);
    for (std::size_t i = 0; i < entries; ++i) {
      entries_.emplace_back();
      Start(i, true);
      SetEntryCount(entries_[i].state_, entries, now_);
    }
  }

  static std::string NameOf(std::size_t i) {
    return "entry-" + std::to_string(i);
  }
  void Limit(const core::Quota& quota) {
    quota_ = quota;
    core::Organisation organisation;
    organisation.name_ = kName;
    organisation.quota_ = quota;
    organisations_ = {organisation};
    for (Entry& entry : entries_) {
      SetQuotas(entry.state_, organisations_, now_);
    }
  }
  void Start(std::size_t i, bool is_first) {
    Entry& entry = entries_[i];
    entry.state_ = MakeQuotaState({bounds_, ++incarnations_, is_first});
    entry.running_ = true;
    entry.started_at_ = now_;
    SetQuotas(entry.state_, organisations_, now_);
  }

  void Send(std::size_t from, const std::string& to, core::PeerBody body) {
    const std::size_t target = std::stoul(to.substr(6));
    const core::PeerMessage message{NameOf(from),
                                    entries_[from].state_.options_.incarnation_,
                                    std::move(body)};
    ++messages_;
    bytes_ += peer::Encode(message).size();
    for (int copies = copies_(from, target); copies > 0; --copies) {
      entries_[target].arriving_.emplace_back(now_ + delay_(), message);
    }
  }
  void Receive(std::size_t i, const core::PeerMessage& message) {
    QuotaState& state = entries_[i].state_;
    if (const auto* ask = std::get_if<core::QuotaAsk>(&message.body_)) {
      Send(i, message.from_,
           HandleAsk(state, message.from_, message.from_incarnation_, *ask,
                     now_));
    } else if (const auto* loan =
                   std::get_if<core::QuotaLoan>(&message.body_)) {
      HandleLoan(state, message.from_, message.from_incarnation_, *loan, now_);
    } else if (const auto* returned =
                   std::get_if<core::QuotaReturn>(&message.body_)) {
      HandleReturn(state, message.from_, message.from_incarnation_, *returned,
                   now_);
    }
  }
  void Deliver(std::size_t i) {
    Entry& entry = entries_[i];
    std::vector<core::PeerMessage> due;
    std::erase_if(entry.arriving_, [&](const auto& arriving) {
      if (arriving.first > now_) {
        return false;
      }
      due.push_back(arriving.second);
      return true;
    });
    for (const core::PeerMessage& message : due) {
      Receive(i, message);
    }
  }
  void Ask(std::size_t i) {
    std::vector<std::string> peers;
    for (std::size_t other = 0; other < entries_.size(); ++other) {
      if (other != i) {
        peers.push_back(NameOf(other));
      }
    }
    for (OutgoingAsk& asked :
         PlanAsks(entries_[i].state_, peers, now_, random_)) {
      Send(i, asked.lender_, std::move(asked.ask_));
    }
  }
  void TickEntry(std::size_t i) {
    QuotaState& state = entries_[i].state_;
    Tick(state, now_);
    if (NeedsLoans(state, now_)) {
      Ask(i);
    }
    for (OutgoingReturn& returned : PlanReturns(state, now_)) {
      Send(i, returned.lender_, std::move(returned.return_));
    }
  }
  void Step() {
    now_ += Milliseconds(1);
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      if (!entries_[i].running_) {
        continue;
      }
      Deliver(i);
      if ((now_.time_since_epoch() / Milliseconds(1) +
           static_cast<std::int64_t>(i)) %
              kTick.count() ==
          0) {
        TickEntry(i);
      }
    }
  }

  // One request, without a wait.
  bool Spend(std::size_t i, double cost, bool is_new = true) {
    QuotaState& state = entries_[i].state_;
    const bool admitted =
        TryAcquire(state, kName, cost, is_new, now_).outcome_ ==
        Outcome::kAdmitted;
    if (admitted) {
      spent_.push_back({now_, cost});
    }
    return admitted;
  }
  // Largest cost of the requests admitted in any window.
  double MostInAWindow() const {
    double sum = 0;
    double most = 0;
    std::size_t first = 0;
    for (const Spent& spent : spent_) {
      sum += spent.cost_;
      while (spent.at_ - spent_[first].at_ > bounds_.window_) {
        sum -= spent_[first++].cost_;
      }
      most = std::max(most, sum);
    }
    return most;
  }
  double Bound() const {
    const double seconds =
        std::chrono::duration<double>(bounds_.window_).count();
    return (quota_.rate_per_second_ * seconds + quota_.burst_) *
               (1 + bounds_.overshoot_) +
           bounds_.slack_;
  }
  // All shares in use, in parts per million.
  std::int64_t SharesInUse() const {
    std::int64_t total = 0;
    for (const Entry& entry : entries_) {
      const Account* account = FindAccount(entry.state_, kName);
      total += account == nullptr ? entry.state_.base_ppm_
                                  : SharePpm(entry.state_, *account, now_);
    }
    return total;
  }

  core::QuotaBounds bounds_{Milliseconds(8000), 0.25, 190'000};
  core::Quota quota_;
  std::vector<core::Organisation> organisations_;
  TimePoint now_{std::chrono::hours(1)};
  std::vector<Entry> entries_;
  std::vector<Spent> spent_;
  std::mt19937_64 random_{1};
  Incarnation incarnations_ = 0;
  std::size_t messages_ = 0;
  std::size_t bytes_ = 0;
  // Faults of the network.
  std::function<int(std::size_t, std::size_t)> copies_ =
      [](std::size_t, std::size_t) { return 1; };
  std::function<Milliseconds()> delay_ = [] { return kDelay; };
};

}  // namespace siskindrum::quota

#endif  // SISKINDRUM_QUOTA_TEST_QUOTA_FLEET_H_
