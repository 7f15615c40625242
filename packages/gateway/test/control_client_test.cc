#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <future>

#include <boost/asio/io_context.hpp>

#include "control_client_p.h"
#include "endless_answer.h"
#include "gateway_fixture.h"
#include "siskindrum/http/clock.h"

namespace siskindrum::gateway {
namespace {

struct ControlClientFixture {
  boost::asio::io_context context_{1};
  Dialect dialect_ = TestDialect();
  http::BackendPool pool_{context_};
  std::vector<dispatch::Event> events_;
  std::vector<core::LogEvent> logs_;
  ControlClient client_{
      {dialect_, pool_, "entry",
       [this](dispatch::Event event) { events_.push_back(std::move(event)); },
       [this](core::LogEvent event) { logs_.push_back(std::move(event)); }}};

  // Runs the client until it has posted an event or written a log line.
  void RunUntilResult() {
    const core::TimePoint limit =
        http::MonotonicNow() + core::Milliseconds(test::kWaitMs);
    while (events_.empty() && logs_.empty() && http::MonotonicNow() < limit) {
      context_.restart();
      context_.run_for(core::Milliseconds(5));
      pool_.Sweep(http::MonotonicNow());
    }
  }
};

std::vector<test::EndlessAnswer> EndlessAnswersToLists() {
  std::vector<test::EndlessAnswer> answers = test::EndlessAnswers();
  answers.push_back({"malformed chunk header",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                     std::string(4096, 'x')});
  answers.push_back(
      {"answers to other requests", "",
       "HTTP/1.1 200 OK\r\nId: 6\r\nContent-Length: 5\r\n\r\nother"});
  return answers;
}

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
  RunUntilResult();
  BOOST_REQUIRE(events_.size() == 1U);
  const auto* listed =
      std::get_if<dispatch::RetainedPromptsListed>(&events_[0]);
  BOOST_REQUIRE(listed != nullptr);
  BOOST_TEST((listed->prompts_ == std::vector<std::uint64_t>{3}));
}

BOOST_AUTO_TEST_CASE(Runs_WhenTheEngineAnswers_ArePosted) {
  test::ScriptedServer server([](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nr7");
  });
  client_.Send(dispatch::ListRuns{"d", server.Address()});
  RunUntilResult();
  BOOST_REQUIRE(events_.size() == 1U);
  const auto* listed = std::get_if<dispatch::RunsListed>(&events_[0]);
  BOOST_REQUIRE(listed != nullptr);
  BOOST_TEST(listed->labels_.at(0) == "r7");
}

// Guards against an entry whose memory grows with what a faulty server sends.
BOOST_DATA_TEST_CASE(List_WhenTheAnswerDoesNotEnd_FailsAndClosesTheConnection,
                     boost::unit_test::data::make(EndlessAnswersToLists()),
                     answer) {
  constexpr std::size_t kMostBytes = 32 * 1024 * 1024;
  std::promise<bool> was_closed;
  test::ScriptedServer server([&](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    was_closed.set_value(test::SendUntilClosed(peer, answer, kMostBytes));
  });
  client_.Send(dispatch::ListRetainedPrompts{"d", server.Address()});
  RunUntilResult();
  BOOST_TEST(events_.empty());
  BOOST_REQUIRE(logs_.size() == 1U);
  BOOST_TEST(logs_[0].event_ == "prompts_not_listed");
  BOOST_TEST(was_closed.get_future().get());
}

BOOST_AUTO_TEST_CASE(List_WhenTheServerStaysSilent_FailsAfterATimeout) {
  test::ScriptedServer server([](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    peer.ReadAll();
  });
  client_.Send(dispatch::ListRetainedPrompts{"d", server.Address()});
  RunUntilResult();
  BOOST_REQUIRE(logs_.size() == 1U);
  BOOST_TEST(logs_[0].event_ == "prompts_not_listed");
}

BOOST_AUTO_TEST_CASE(Release_WhenTheServerStaysSilent_FailsAfterATimeout) {
  test::ScriptedServer server([](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    peer.ReadAll();
  });
  client_.Send(dispatch::ReleaseReservation{server.Address(), "hold", "d"});
  RunUntilResult();
  BOOST_REQUIRE(logs_.size() == 1U);
  BOOST_TEST(logs_[0].event_ == "hold_not_dropped");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::gateway
