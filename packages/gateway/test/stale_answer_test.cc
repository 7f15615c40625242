#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>

#include "gateway_fixture.h"

namespace siskindrum::gateway {
namespace {

// Refusals without the ID of the request that they answer.
constexpr const char* kRefusalsWithoutId[] = {
    "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 429 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 421 Other\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 408 Late\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
};
// Statuses that promise the caller that the request did not run, unconfirmed by
// the server.
constexpr const char* kUnconfirmedRefusals[] = {
    "HTTP/1.1 503 Busy\r\nId: 7\r\nMark: m\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 429 Busy\r\nId: 7\r\nMark: m\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 421 Other\r\nId: 7\r\nMark: m\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 408 Late\r\nId: 7\r\nMark: m\r\nContent-Length: 0\r\n\r\n",
};

BOOST_FIXTURE_TEST_SUITE(StaleAnswers, GatewayFixture)

BOOST_DATA_TEST_CASE(Refusal_WhenItProvesNothing_IsReportedAsMayHaveRun,
                     boost::unit_test::data::make(kRefusalsWithoutId) +
                         boost::unit_test::data::make(kUnconfirmedRefusals),
                     refusal) {
  std::atomic<int> requests{0};
  test::ScriptedServer server([&](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    ++requests;
    peer.Send(refusal);
  });
  AddServer("s", "plain", core::ServerRole::kPlain, server.Address());
  BOOST_TEST(SendRequest("/order").starts_with("HTTP/1.1 502 "));
  BOOST_TEST(requests == 1);
}

BOOST_DATA_TEST_CASE(EarlierRefusal_WhenItComesAgainWithoutId_IsSkipped,
                     boost::unit_test::data::make(kRefusalsWithoutId),
                     refusal) {
  test::ScriptedServer server([&](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    peer.Send(
        "HTTP/1.1 503 Busy\r\nId: 6\r\nNot-Run: 1\r\n"
        "Content-Length: 0\r\n\r\n");
    peer.ReadUntil("\r\n\r\n");
    peer.Send(refusal + Answer("", "done"));
  });
  AddServer("s", "plain", core::ServerRole::kPlain, server.Address());
  BOOST_TEST(SendRequest("/once", "", 6).starts_with("HTTP/1.1 503 "));
  BOOST_TEST(SendRequest("/once").ends_with("\r\n\r\ndone"));
}

BOOST_AUTO_TEST_CASE(EarlierRefusal_WhenTheSameRequestIsSentAgain_IsNotTaken) {
  std::atomic<int> runs{0};
  test::ScriptedServer server([&](test::Peer& peer, int connection) {
    const std::string refusal =
        "HTTP/1.1 503 Busy\r\nId: 7\r\nNot-Run: 1\r\n"
        "Content-Length: 0\r\n\r\n";
    peer.ReadUntil("\r\n\r\n");
    if (connection == 0) {
      peer.Send(refusal);
      if (peer.ReadUntil("\r\n\r\n").empty()) {
        return;
      }
      peer.Send(refusal);
    }
    ++runs;
    peer.Send(Answer("", "done"));
  });
  AddServer("s", "plain", core::ServerRole::kPlain, server.Address());
  BOOST_TEST(SendRequest("/order").ends_with("\r\n\r\ndone"));
  BOOST_TEST(runs == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::gateway
