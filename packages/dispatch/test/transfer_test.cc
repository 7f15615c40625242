#include <boost/test/unit_test.hpp>

#include "dispatcher_fixture.h"
#include "siskindrum/dispatch/limits.h"

namespace siskindrum::dispatch {
namespace {

// Engines whose KV cache takes 160 KB a token, with links of a given rate.
struct TransferFixture : DispatcherFixture {
  static constexpr std::uint32_t kPrompt = 5000;

  void SetLinks(const std::string& mbps) {
    std::string rules = kRules;
    const std::string pool = "hold=2000ms";
    rules.replace(rules.find(pool), pool.size(),
                  pool + " token_bytes=160000 handle=100ms link=" + mbps);
    Configure(++revision_, rules);
  }
  // Sends a request up to its prefill or direct decode.
  RequestId Reserved() {
    const RequestId id = Arrive("/stream2/1", kPrompt);
    Reserve(id, true);
    return id;
  }
  // Serves requests at the same time whose transfers take `time`; returns how
  // many of the prompts were read on prefill engines.
  int ServeTogether(int requests, Milliseconds time) {
    std::vector<RequestId> split;
    for (int i = 0; i < requests; ++i) {
      const RequestId id = Reserved();
      if (Last(id).stage_ == Stage::kPrefill) {
        split.push_back(id);
      } else {
        Begin(id);
        Done(id, AttemptOutcome::kDelivered, RunState::kRan);
      }
    }
    Pass(Milliseconds(100));
    for (const RequestId& id : split) {
      Prefill(id, true);
    }
    Pass(time);
    for (const RequestId& id : split) {
      Begin(id);
      Done(id, AttemptOutcome::kDelivered, RunState::kRan);
    }
    return static_cast<int>(split.size());
  }

  std::uint64_t revision_ = 1;
};

BOOST_FIXTURE_TEST_SUITE(Transfers, TransferFixture)

BOOST_AUTO_TEST_CASE(Transfer_OverALinkOfKnownRate_TakesItsTime) {
  core::PoolSettings settings;
  BOOST_TEST(TransferMs(&settings, kPrompt, false) == kTransferOverheadMs);
  settings.token_bytes_ = 160000;
  settings.link_mbps_ = 64000;
  // 800 MB at 8 GB/s.
  BOOST_TEST(TransferMs(&settings, kPrompt, false) ==
             kTransferOverheadMs + 100);
  BOOST_TEST(TransferMs(&settings, kPrompt, true) == kTransferOverheadMs + 200);
}

BOOST_AUTO_TEST_CASE(Prompt_WhenItsResultWouldLapseOnItsWay_IsReadDirectly) {
  SetLinks("8800000");
  const RequestId fast = Reserved();
  BOOST_TEST((Last(fast).stage_ == Stage::kPrefill));
  // 800 MB at 6.25 GB/s take 128 ms; the result is kept for 100 ms.
  SetLinks("50000");
  const RequestId slow = Reserved();
  BOOST_TEST((Last(slow).stage_ == Stage::kDecode));
  BOOST_TEST(Last(slow).handle_.empty());
}

BOOST_AUTO_TEST_CASE(Prompts_WhenTransfersQueue_AreReadDirectlyForAWhile) {
  SetLinks("8800000");
  constexpr int kRequests = 4;
  BOOST_TEST(ServeTogether(kRequests, Milliseconds(60)) == kRequests);
  ServeTogether(kRequests, Milliseconds(1500));
  BOOST_TEST(ServeTogether(kRequests, Milliseconds(60)) < kRequests);
  Pass(Milliseconds(5000));
  BOOST_TEST(ServeTogether(kRequests, Milliseconds(60)) == kRequests);
}

BOOST_AUTO_TEST_CASE(Prompts_WhenTheirResultsLapse_AreReadDirectlyForAWhile) {
  SetLinks("8800000");
  int lost = 0;
  constexpr int kRequests = 12;
  for (int i = 0; i < kRequests; ++i) {
    const RequestId id = Reserved();
    if (Last(id).stage_ != Stage::kPrefill) {
      continue;
    }
    ++lost;
    Prefill(id, true);
    Done(id, AttemptOutcome::kRefused, RunState::kNotRun);
    Handle(CallerLeft{id});
  }
  BOOST_TEST(lost < kRequests);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::dispatch
