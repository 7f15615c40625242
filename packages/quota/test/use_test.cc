#include <boost/test/unit_test.hpp>

#include "quota_fleet.h"

namespace siskindrum::quota {
namespace {

// Bytes on the wire of a message besides its content: HTTP/2 frames of request
// and response with indexed headers.
constexpr double kFrameBytes = 60;
constexpr double kMaxBytesPerSecond = 2000;

core::Quota Tokens(double rate, double burst) {
  return {rate, burst, core::QuotaUnit::kTokens, 200};
}

// Requests that wait for loans as in the dispatcher.
struct Load {
  QuotaFleet& fleet_;
  std::size_t active_ = 1;  // Entries with callers.
  double per_second_ = 0;   // Requests, over all entries.
  double cost_ = 0;
  double offered_ = 0;
  double admitted_ = 0;

  struct Waiting {
    std::size_t entry_ = 0;
    double cost_ = 0;
    TimePoint until_{};
  };
  std::vector<Waiting> waiting_{};

  void Arrive(std::size_t entry, double cost) {
    offered_ += cost;
    if (fleet_.Spend(entry, cost)) {
      admitted_ += cost;
      return;
    }
    AddWaiting(fleet_.entries_[entry].state_, QuotaFleet::kName, cost);
    fleet_.Ask(entry);
    waiting_.push_back({entry, cost, fleet_.now_ + Milliseconds(50)});
  }
  void RetryWaiting() {
    std::erase_if(waiting_, [this](const Waiting& waiting) {
      QuotaState& state = fleet_.entries_[waiting.entry_].state_;
      const bool done = fleet_.Spend(waiting.entry_, waiting.cost_, false);
      admitted_ += done ? waiting.cost_ : 0;
      if (done || fleet_.now_ >= waiting.until_) {
        AddWaiting(state, QuotaFleet::kName, -waiting.cost_);
        return true;
      }
      fleet_.Ask(waiting.entry_);
      return false;
    });
  }
  void Pass(Milliseconds time) {
    std::bernoulli_distribution arrives(per_second_ / 1000);
    std::uniform_int_distribution<std::size_t> entry(0, active_ - 1);
    // Costs differ as prompts do.
    std::uniform_real_distribution<double> cost(0.5 * cost_, 1.5 * cost_);
    for (const TimePoint end = fleet_.now_ + time; fleet_.now_ < end;) {
      fleet_.Step();
      RetryWaiting();
      if (arrives(fleet_.random_)) {
        Arrive(entry(fleet_.random_), cost(fleet_.random_));
      }
    }
  }
};

struct Measured {
  double of_quota_ = 0;
  double of_offered_ = 0;
  double bytes_per_second_ = 0;
};

// Offers `factor` times the quota from `active` of the entries.
Measured Measure(std::size_t entries, std::size_t active, double factor) {
  constexpr double kRate = 252'277;
  constexpr double kCost = 5272;
  QuotaFleet fleet(entries, Tokens(kRate, kRate));
  Load load{fleet, active, factor * kRate / kCost, kCost};
  load.Pass(Milliseconds(20'000));
  load.offered_ = load.admitted_ = 0;
  fleet.bytes_ = fleet.messages_ = 0;
  constexpr double kSeconds = 40;
  load.Pass(Milliseconds(40'000));
  Measured measured;
  measured.of_quota_ = load.admitted_ / (kRate * kSeconds);
  measured.of_offered_ = load.admitted_ / load.offered_;
  measured.bytes_per_second_ =
      (static_cast<double>(fleet.bytes_) +
       kFrameBytes * static_cast<double>(fleet.messages_)) /
      kSeconds / static_cast<double>(entries);
  BOOST_TEST_MESSAGE("entries " << entries << " active " << active << " factor "
                                << factor << " of quota " << measured.of_quota_
                                << " of offered " << measured.of_offered_
                                << " bytes/s " << measured.bytes_per_second_);
  BOOST_TEST(fleet.MostInAWindow() <= fleet.Bound());
  return measured;
}

BOOST_AUTO_TEST_SUITE(Use)

// A static division wastes most of a quota whose callers use few entries.
BOOST_AUTO_TEST_CASE(Quota_WhenCallersAreUneven_IsUsedWhole) {
  for (const std::size_t entries : {4, 26, 83}) {
    for (const std::size_t active :
         {std::size_t{1}, std::size_t{3}, entries / 2, entries}) {
      for (const double factor : {0.9, 1.3}) {
        const Measured measured = Measure(entries, active, factor);
        if (factor > 1) {
          BOOST_TEST(measured.of_quota_ >= 0.97);
        } else {
          BOOST_TEST(measured.of_offered_ >= 0.97);
        }
        BOOST_TEST(measured.bytes_per_second_ <= kMaxBytesPerSecond);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::quota
