// Tests servers that send more than the gateway buffers.

#include <boost/test/unit_test.hpp>

#include <atomic>

#include "absl/strings/match.h"
#include "gateway_fixture.h"
#include "loopback.h"
#include "siskindrum/http/clock.h"

namespace siskindrum::gateway {
namespace {

BOOST_FIXTURE_TEST_SUITE(Gateways, GatewayFixture)

// A server that keeps sending data after `head` until the connection is closed
// or kByteLimit was sent, which is far more than the gateway may buffer.
struct EndlessServer {
  static constexpr std::size_t kByteLimit = 64 * 1024 * 1024;

  explicit EndlessServer(const std::string& head)
      : server_([this, head](test::Peer& peer, int) {
          peer.ReadUntil("\r\n\r\n");
          peer.Send(head);
          const std::string piece(64 * 1024, 'x');
          while (sent_bytes_ < kByteLimit && peer.Send(piece)) {
            sent_bytes_ += piece.size();
          }
          ended_ = true;
        }) {}

  std::atomic<std::size_t> sent_bytes_{0};
  std::atomic<bool> ended_{false};
  test::ScriptedServer server_;
};

BOOST_AUTO_TEST_CASE(ErrorAnswer_WhenItsBodyExceedsTheLimit_IsAbortedWith502) {
  EndlessServer endless(
      "HTTP/1.1 500 X\r\nId: 7\r\nMark: m\r\n"
      "Content-Length: 1000000000000\r\n\r\n");
  AddServer("s", "plain", core::ServerRole::kPlain, endless.server_.Address());
  BOOST_TEST(absl::StartsWith(SendRequest("/once"), "HTTP/1.1 502"));
  BOOST_TEST(endless.sent_bytes_ < EndlessServer::kByteLimit);
}

BOOST_AUTO_TEST_CASE(Stream_WhenAnEventExceedsTheLimit_IsAborted) {
  EndlessServer endless(
      "HTTP/1.1 200 OK\r\nId: 7\r\nMark: m\r\n"
      "Content-Type: text/event-stream\r\n"
      "Content-Length: 1000000000000\r\n\r\n");
  AddServer("d", "engines", core::ServerRole::kDecode,
            endless.server_.Address());
  BOOST_TEST(!absl::StartsWith(SendRequest("/stream"), "HTTP/1.1 200"));
  BOOST_TEST(endless.sent_bytes_ < EndlessServer::kByteLimit);
}

BOOST_AUTO_TEST_CASE(Prefill_WhenItsResultExceedsTheLimit_IsDoneElsewhere) {
  EndlessServer endless(
      "HTTP/1.1 200 OK\r\nId: 7\r\n"
      "Content-Length: 1000000000000\r\n\r\n");
  test::ScriptedServer decode([](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    const std::string events = Events(1, 3);
    peer.Send(Answer("Content-Type: text/event-stream\r\n", events));
  });
  AddServer("p", "engines", core::ServerRole::kPrefill,
            endless.server_.Address());
  AddServer("d", "engines", core::ServerRole::kDecode, decode.Address());
  BOOST_TEST(absl::StrContains(SendRequest("/stream"), "id: 3"));
  BOOST_TEST(endless.sent_bytes_ < EndlessServer::kByteLimit);
}

BOOST_AUTO_TEST_CASE(
    Answer_WhenItsCallerDoesNotRead_AppliesBackpressureToTheServer) {
  EndlessServer endless(
      "HTTP/1.1 200 OK\r\nId: 7\r\nMark: m\r\n"
      "Content-Length: 1000000000000\r\n\r\n");
  AddServer("s", "plain", core::ServerRole::kPlain, endless.server_.Address());
  test::Peer caller = test::Peer::Connect(port_);
  caller.Send(
      "POST /once HTTP/1.1\r\nHost: h\r\nId: 7\r\n"
      "Content-Length: 0\r\n\r\n");
  // The server may send until the route's timeout, but the caller never reads.
  const core::TimePoint limit = http::MonotonicNow() + core::Milliseconds(1500);
  while (!endless.ended_ && http::MonotonicNow() < limit) {
    std::this_thread::sleep_for(core::Milliseconds(10));
  }
  BOOST_TEST(endless.sent_bytes_ < EndlessServer::kByteLimit);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::gateway
