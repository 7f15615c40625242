#include <algorithm>
#include <atomic>

#include <boost/test/unit_test.hpp>

#include "absl/strings/match.h"
#include "absl/strings/str_replace.h"
#include "gateway_fixture.h"

namespace siskindrum::gateway {
namespace {

constexpr core::Milliseconds kUnreadTime{1500};

// Sends a request and returns its connection, on which nothing is read yet.
test::Peer Ask(std::uint16_t port, const std::string& path, int id = 7) {
  test::Peer peer = test::Peer::Connect(port);
  peer.Send(absl::StrCat("POST ", path, " HTTP/1.1\r\nHost: h\r\nId: ", id,
                         "\r\nConnection: close\r\nContent-Length: 0\r\n"
                         "\r\n"));
  return peer;
}

// Sends `parts` times `part`, and notes how much was written.
void SendMany(test::Peer& peer,
              const std::string& part,
              int parts,
              std::atomic<int>& sent) {
  for (int i = 0; i < parts && peer.Send(part); ++i) {
    ++sent;
  }
}

BOOST_FIXTURE_TEST_SUITE(Memory, GatewayFixture)

// Each attempt used to hold a copy of the body of its own.
BOOST_AUTO_TEST_CASE(Body_WhenSentToTwoServers_IsHeldOnce) {
  const std::string body(1024 * 1024, 'b');
  std::atomic<std::uint64_t> held{0};
  const auto read_whole = [&](test::Peer& peer) {
    std::string text;
    while (text.size() < body.size() || !text.ends_with(body)) {
      const std::string more = peer.ReadSome();
      if (more.empty()) {
        return false;
      }
      text += more;
    }
    held = std::max<std::uint64_t>(
        held, gateway_->MemoryBudget().Used(memory::Use::kCallerRequest));
    return true;
  };
  std::atomic<int> failures{0};
  test::ScriptedServer failing([&](test::Peer& peer, int) {
    read_whole(peer);
    ++failures;
  });
  test::ScriptedServer sound([&](test::Peer& peer, int) {
    if (read_whole(peer)) {
      peer.Send(Answer("Connection: close\r\n", "fine"));
    }
  });
  AddServer("a", "plain", core::ServerRole::kPlain, failing.Address());
  AddServer("b", "plain", core::ServerRole::kPlain, sound.Address());
  for (int i = 0; i < 20 && failures == 0; ++i) {
    BOOST_TEST(SendRequest("/read", body).ends_with("fine"));
  }
  BOOST_TEST(failures > 0);
  BOOST_TEST(held >= body.size());
  BOOST_TEST(held < body.size() * 5 / 4);
}

// Without back pressure the whole answer would be held here.
BOOST_AUTO_TEST_CASE(Answer_WhenItsCallerReadsNothing_StopsAtItsServer) {
  constexpr int kParts = 400;
  const std::string part(64 * 1024, 'x');
  std::atomic<int> sent{0};
  test::ScriptedServer server([&](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    peer.Send(absl::StrCat("HTTP/1.1 200 OK\r\nId: 7\r\nMark: m\r\n",
                           "Content-Length: ", kParts * part.size(),
                           "\r\n\r\n"));
    SendMany(peer, part, kParts, sent);
  });
  AddServer("a", "plain", core::ServerRole::kPlain, server.Address());
  test::Peer peer = Ask(port_, "/once");
  std::this_thread::sleep_for(kUnreadTime);
  BOOST_TEST(sent < kParts);
  BOOST_TEST(gateway_->MemoryBudget().Peak() < 1024U * 1024U);
  const std::string answer = peer.ReadAll();
  BOOST_TEST(answer.size() > kParts * part.size());
  BOOST_TEST(sent == kParts);
}

// The server cuts off the stream that stays unread. Other streams of the same
// server go on, and it gets further requests.
BOOST_AUTO_TEST_CASE(Stream_WhenCutForItsSlowCaller_LeavesTheOthersAlone) {
  constexpr int kParts = 400;
  std::string part;
  for (int i = 0; i < 64; ++i) {
    absl::StrAppend(&part, "data: ", std::string(1000, 'x'), "\n\n");
  }
  std::atomic<int> sent{0};
  test::ScriptedServer server([&](test::Peer& peer, int) {
    const std::string head = peer.ReadUntil("\r\n\r\n");
    if (!absl::StrContains(head, "Id: 7")) {
      peer.Send(absl::StrReplaceAll(kStreamHead, {{"Id: 7", "Id: 8"}}) +
                http::FormatChunk(Events(1, 2)) +
                std::string(http::kLastChunk));
      return;
    }
    std::thread writer([&] {
      peer.Send(kStreamHead);
      SendMany(peer, http::FormatChunk(part), kParts, sent);
    });
    std::this_thread::sleep_for(kUnreadTime);
    peer.Abort();
    writer.join();
  });
  AddServer("e", "engines", core::ServerRole::kDecode, server.Address());
  test::Peer slow = Ask(port_, "/stream");
  std::this_thread::sleep_for(kUnreadTime + core::Milliseconds(200));
  BOOST_TEST(sent < kParts);
  const std::string cut = slow.ReadAll();
  BOOST_TEST(!cut.ends_with(std::string(http::kLastChunk)));
  BOOST_TEST(AwaitOperatorText("/metrics", "siskindrum_cut_total 1"));
  test::Peer other = Ask(port_, "/stream", 8);
  BOOST_TEST(other.ReadAll().ends_with(std::string(http::kLastChunk)));
  BOOST_TEST(AwaitOperatorText("/dump", "\"failures\": 0"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::gateway
