#include <boost/test/unit_test.hpp>

#include <boost/asio/io_context.hpp>

#include "control_client_p.h"
#include "gateway_fixture.h"
#include "siskindrum/http/clock.h"

namespace siskindrum::gateway {
namespace {

struct ControlClientFixture {
  boost::asio::io_context context_{1};
  Dialect dialect_ = TestDialect();
  http::BackendPool pool_{context_};
  std::vector<dispatch::Event> events_;
  ControlClient client_{
      {dialect_, pool_, "entry",
       [this](dispatch::Event event) { events_.push_back(std::move(event)); },
       [](core::LogEvent) {}}};
};

BOOST_FIXTURE_TEST_SUITE(ControlClients, ControlClientFixture)

BOOST_AUTO_TEST_CASE(List_WhenAnotherRequestsAnswerComesFirst_IsTaken) {
  test::ScriptedServer server([](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    peer.Send(
        "HTTP/1.1 503 Busy\r\nId: 6\r\nNot-Run: 1\r\n"
        "Content-Length: 0\r\n\r\n"
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
  });
  client_.Send(dispatch::ListRetainedPrompts{"d", server.Address()});
  const core::TimePoint limit =
      http::MonotonicNow() + core::Milliseconds(test::kWaitMs);
  while (events_.empty() && http::MonotonicNow() < limit) {
    context_.restart();
    context_.run_for(core::Milliseconds(5));
  }
  BOOST_REQUIRE(events_.size() == 1U);
  const auto* listed =
      std::get_if<dispatch::RetainedPromptsListed>(&events_[0]);
  BOOST_REQUIRE(listed != nullptr);
  BOOST_TEST((listed->prompts_ == std::vector<std::uint64_t>{3}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::gateway
