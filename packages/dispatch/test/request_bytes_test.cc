#include <boost/test/unit_test.hpp>

#include <map>

#include "dispatcher_fixture.h"
#include "siskindrum/dispatch/limits.h"

namespace siskindrum::dispatch {
namespace {

constexpr std::uint64_t kLargestBody = 4 * 1024 * 1024;

struct RequestBytesFixture : DispatcherFixture {
  RequestId ArriveWithBody(const std::string& path, std::uint64_t bytes) {
    CallArrived arrived;
    arrived.request_ = {1, ++requests_};
    arrived.call_.shape_.path_ = path;
    arrived.call_.request_bytes_ = bytes;
    arrived.call_.label_ = "r" + std::to_string(requests_);
    arrived.arrived_at_ = now_;
    Handle(arrived);
    return arrived.request_;
  }
  std::uint64_t BytesAt(const std::string& server) {
    return FindServer(dispatcher_.pool_, server)->request_bytes_;
  }
};

BOOST_FIXTURE_TEST_SUITE(RequestBytes, RequestBytesFixture)

// A server process ends when the requests that it holds exceed its memory, so a
// burst of long bodies must not go to servers beyond what their slots suggest.
BOOST_AUTO_TEST_CASE(Burst_OfLargestBodies_IsBoundedAtEachServerBySize) {
  constexpr int kSlots = 6;  // Of the fixture's plain servers.
  std::vector<RequestId> ids;
  for (int i = 0; i < 3 * kSlots + 5; ++i) {
    ids.push_back(ArriveWithBody("/book/1", kLargestBody));
  }
  for (const char* server : {"s1", "s2", "s3"}) {
    BOOST_TEST(BytesAt(server) == kSlots * kLargestBody);
  }
  const RequestId last = ids.back();
  BOOST_REQUIRE(IsRefused(last));
  BOOST_TEST((Verdict(last).run_state_ == RunState::kNotRun));
  BOOST_TEST((Verdict(last).reason_ == core::Reason::kOverloaded));
  BOOST_TEST(Verdict(last).retry_after_.count() > 0);
  Done(ids.front(), AttemptOutcome::kDelivered, RunState::kRan);
  BOOST_TEST(!IsRefused(ArriveWithBody("/book/1", kLargestBody)));
}

// The bound is on bytes: many small requests may queue at a server.
BOOST_AUTO_TEST_CASE(Burst_OfSmallBodies_IsNotBoundedByNumber) {
  for (int i = 0; i < 200; ++i) {
    BOOST_TEST(!IsRefused(ArriveWithBody("/book/1", 5000)));
  }
}

// Bytes that stay counted after their request would close a server for good.
BOOST_AUTO_TEST_CASE(Bytes_WhenRequestsEndInAnyWay_AreReturned) {
  const RequestId failed = ArriveWithBody("/read/1", 1000);
  Done(failed, AttemptOutcome::kFailed);
  Done(failed, AttemptOutcome::kDelivered, RunState::kRan);
  Handle(CallerLeft{ArriveWithBody("/book/1", 1000)});
  ArriveWithBody("/book/1", 1000);
  Pass(Milliseconds(20000));
  for (const char* server : {"s1", "s2", "s3"}) {
    BOOST_TEST(BytesAt(server) == 0U);
  }
}

// A server that cuts off an answer which its caller does not read is sound.
BOOST_AUTO_TEST_CASE(Stream_WhenCutForItsSlowCaller_EndsAlone) {
  const RequestId slow = StartAnswer("/resume/1");
  const std::string engine = Last(slow).server_;
  AttemptDone done;
  done.request_ = slow;
  done.attempt_ = Last(slow).attempt_;
  done.reason_ = core::Reason::kConnectionLost;
  done.last_event_ = 3;
  done.connection_lost_ = true;
  done.wrote_events_ = true;
  done.caller_was_slow_ = true;
  Handle(done);
  BOOST_TEST(IsRefused(slow));
  const ServerState& server = *FindServer(dispatcher_.pool_, engine);
  BOOST_TEST(server.failures_ == 0U);
  BOOST_TEST((server.suspended_until_ <= now_));
  BOOST_TEST((server.connection_lost_at_ == TimePoint{}));
  BOOST_TEST(server.calls_ == 0U);
  BOOST_TEST(dispatcher_.counters_.repeats_ == 0U);
  BOOST_TEST(dispatcher_.counters_.suspicions_ == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::dispatch
