#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>

#include "endless_answer.h"
#include "gateway_fixture.h"

namespace siskindrum::gateway {
namespace {

// Answers to callers' requests that do not end until the gateway closes.
std::vector<test::EndlessAnswer> EndlessAnswersToCallers() {
  std::vector<test::EndlessAnswer> answers =
      test::EndlessAnswers("Id: 7\r\nMark: m\r\n");
  answers.push_back(
      {"answers to other requests", "",
       "HTTP/1.1 200 OK\r\nId: 6\r\nContent-Length: 5\r\n\r\nother"});
  return answers;
}

struct EndlessAnswerFixture : GatewayFixture {
  static constexpr std::size_t kMostBytes = std::size_t{1} << 34;
  static constexpr std::size_t kMaxGrowth = 64 * 1024 * 1024;

  // Reads and drops an answer.
  void SendAndDrop(const std::string& path) const {
    test::Peer peer = test::Peer::Connect(port_);
    peer.Send(absl::StrCat("POST ", path, " HTTP/1.1\r\nHost: h\r\nId: 7\r\n",
                           "Connection: close\r\nContent-Length: 0\r\n\r\n"));
    while (!peer.ReadSome().empty()) {
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(EndlessAnswers, EndlessAnswerFixture)

BOOST_DATA_TEST_CASE(Answer_WhenItDoesNotEnd_TakesNoMemoryFromOtherCallers,
                     boost::unit_test::data::make(EndlessAnswersToCallers()) *
                         boost::unit_test::data::make({"/once", "/stream"}),
                     answer,
                     path) {
  std::atomic<int> closed{0};
  test::ScriptedServer faulty([&](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    closed += test::SendUntilClosed(peer, answer, kMostBytes) ? 1 : 0;
  });
  test::ScriptedServer sound([](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    peer.Send(Answer("Content-Type: text/event-stream\r\n", Events(1, 1)));
  });
  const bool is_plain = std::string_view(path) == "/once";
  // The faulty server serves one pool, the sound one the other.
  const auto& plain = is_plain ? faulty : sound;
  const auto& engine = is_plain ? sound : faulty;
  AddServer("s", "plain", core::ServerRole::kPlain, plain.Address());
  AddServer("d", "engines", core::ServerRole::kDecode, engine.Address());
  const std::size_t before = test::ResidentBytes();
  std::size_t most = before;
  std::atomic<bool> ended{false};
  std::thread caller([&] {
    SendAndDrop(path);
    ended = true;
  });
  while (!ended) {
    BOOST_TEST(SendRequest(is_plain ? "/stream" : "/once")
                   .starts_with("HTTP/1.1 200 "));
    most = std::max(most, test::ResidentBytes());
    std::this_thread::sleep_for(core::Milliseconds(20));
  }
  caller.join();
  BOOST_TEST(most - before < kMaxGrowth);
  const core::TimePoint limit =
      http::MonotonicNow() + core::Milliseconds(test::kWaitMs);
  while (closed == 0 && http::MonotonicNow() < limit) {
    std::this_thread::sleep_for(core::Milliseconds(5));
  }
  BOOST_TEST(closed == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::gateway
