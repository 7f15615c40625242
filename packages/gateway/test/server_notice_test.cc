// Tests what servers say about themselves in answers.

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <future>

#include "absl/strings/match.h"
#include "gateway_fixture.h"
#include "loopback.h"
#include "siskindrum/http/clock.h"

namespace siskindrum::gateway {
namespace {

BOOST_FIXTURE_TEST_SUITE(Gateways, GatewayFixture)

BOOST_AUTO_TEST_CASE(Server_WhenAnAnswerSaysThatItLeaves_GetsNoMoreCalls) {
  std::atomic<int> requests{0};
  test::ScriptedServer server([&requests](test::Peer& peer, int) {
    if (!peer.ReadUntil("\r\n\r\n").empty()) {
      ++requests;
      peer.Send(Answer("Leaving: 1\r\n", "done"));
    }
  });
  AddServer("s", "plain", core::ServerRole::kPlain, server.Address());
  BOOST_TEST(SendRequest("/once").ends_with("done"));
  AddServer("s", "plain", core::ServerRole::kPlain, server.Address());
  BOOST_TEST(SendRequest("/once").starts_with("HTTP/1.1 503 "));
  BOOST_TEST(requests == 1);
}

BOOST_AUTO_TEST_CASE(Server_WhenAStreamInProgressSaysLeaving_GetsNoMoreCalls) {
  std::atomic<int> requests{0};
  std::promise<void> end;
  std::shared_future<void> ended = end.get_future().share();
  test::ScriptedServer engine([&requests, ended](test::Peer& peer, int) {
    if (!peer.ReadUntil("\r\n\r\n").empty()) {
      ++requests;
      std::string head = kStreamHead;
      head.insert(head.find("\r\n") + 2, "Leaving: 1\r\n");
      peer.Send(head + http::FormatChunk(Events(1, 3)));
      ended.wait();
    }
  });
  AddServer("d", "engines", core::ServerRole::kDecode, engine.Address());
  test::Peer caller = test::Peer::Connect(port_);
  caller.Send(
      "POST /stream HTTP/1.1\r\nHost: h\r\nId: 7\r\n"
      "Content-Length: 0\r\n\r\n");
  BOOST_TEST(absl::StrContains(caller.ReadUntil("id: 3"), "id: 3"));
  BOOST_TEST(SendRequest("/stream").starts_with("HTTP/1.1 503 "));
  BOOST_TEST(requests == 1);
  end.set_value();
}

// The decode engine leaves during the prefill, so that the gateway frees the
// result; the prefill engine's answer to that says that it leaves, too.
BOOST_AUTO_TEST_CASE(Server_WhenAControlAnswerSaysLeaving_GetsNoMorePrefills) {
  std::atomic<int> prefills{0};
  test::ScriptedServer decode([](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    peer.Send(Answer("Content-Type: text/event-stream\r\n", Events(1, 3)));
  });
  test::ScriptedServer prefill([&](test::Peer& peer, int) {
    for (;;) {
      const std::string request = peer.ReadUntil("\r\n\r\n");
      if (request.empty()) {
        return;
      }
      const bool frees = absl::StartsWith(request, "DELETE /free/kv ");
      if (!frees) {
        ++prefills;
        AddServer("d", "engines", core::ServerRole::kDecode, decode.Address(),
                  true);
      }
      peer.Send(frees ? "HTTP/1.1 200 OK\r\nLeaving: 1\r\n"
                        "Content-Length: 0\r\n\r\n"
                      : Answer("", "kv"));
    }
  });
  AddServer("p", "engines", core::ServerRole::kPrefill, prefill.Address());
  AddServer("d", "engines", core::ServerRole::kDecode, decode.Address());
  BOOST_TEST(SendRequest("/stream").starts_with("HTTP/1.1 503 "));
  BOOST_TEST(AwaitOperatorText("/dump", "\"said_leaving\": true"));
  AddServer("d", "engines", core::ServerRole::kDecode, decode.Address());
  BOOST_TEST(absl::StrContains(SendRequest("/stream"), "id: 3"));
  BOOST_TEST(prefills == 1);
}

BOOST_AUTO_TEST_CASE(Server_WhenItRefusesWithAPause_GetsNothingUntilItsEnd) {
  std::atomic<int> requests{0};
  test::ScriptedServer server([&requests](test::Peer& peer, int) {
    while (!peer.ReadUntil("\r\n\r\n").empty()) {
      peer.Send(++requests > 1
                    ? Answer("", "done")
                    : "HTTP/1.1 503 Busy\r\nId: 7\r\nNot-Run: 1\r\nPause: 1\r\n"
                      "Content-Length: 0\r\n\r\n");
    }
  });
  AddServer("s", "plain", core::ServerRole::kPlain, server.Address());
  const core::TimePoint start = http::MonotonicNow();
  BOOST_TEST(SendRequest("/once").starts_with("HTTP/1.1 503 "));
  while (requests == 1 &&
         http::MonotonicNow() < start + core::Milliseconds(test::kWaitMs)) {
    SendRequest("/once");
  }
  BOOST_TEST((http::MonotonicNow() - start >= core::Milliseconds(1500)));
  BOOST_TEST(requests == 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::gateway
