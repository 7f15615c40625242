#include <boost/test/unit_test.hpp>

#include "absl/strings/match.h"
#include "gateway_fixture.h"
#include "loopback.h"

namespace siskindrum::gateway {
namespace {

// Gateway without any repeat left, as in a burst that has used up the budget.
struct NoRepeatsFixture : GatewayFixture {
  NoRepeatsFixture() {
    gateway_->Post(
        dispatch::SettingsRead{{}, {0, 0, core::Milliseconds(10000)}});
  }
};

BOOST_FIXTURE_TEST_SUITE(NoRepeats, NoRepeatsFixture)

// Longer than any time without data after which an entry looks for another
// server, and shorter than a caller's patience.
constexpr core::Milliseconds kSilence{2000};

BOOST_AUTO_TEST_CASE(Stream_WhenASoundServerFallsSilent_IsNotCut) {
  test::ScriptedServer server([](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    peer.Send(kStreamHead);
    peer.Send(http::FormatChunk(Events(1, 3)));
    std::this_thread::sleep_for(kSilence);
    peer.Send(http::FormatChunk(Events(4, 6)));
    peer.Send(std::string(http::kLastChunk));
    peer.ReadAll();
  });
  for (const char* name : {"d1", "d2"}) {
    AddServer(name, "engines", core::ServerRole::kDecode, server.Address());
  }
  const std::string answer = SendRequest("/resume");
  BOOST_TEST(absl::StrContains(answer, "id: 6\n"));
  BOOST_TEST(answer.ends_with(std::string(http::kLastChunk)));
}

BOOST_AUTO_TEST_CASE(Read_WhenASoundServerFallsSilent_GetsItsAnswer) {
  test::ScriptedServer server([](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    std::this_thread::sleep_for(kSilence);
    peer.Send(Answer("", "late"));
  });
  for (const char* name : {"s1", "s2"}) {
    AddServer(name, "plain", core::ServerRole::kPlain, server.Address());
  }
  BOOST_TEST(SendRequest("/read").ends_with("\r\n\r\nlate"));
}

BOOST_AUTO_TEST_CASE(Prefill_WhenASoundServerFallsSilent_IsUsed) {
  test::ScriptedServer prefill([](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    std::this_thread::sleep_for(kSilence);
    peer.Send("HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 2\r\n\r\nkv");
  });
  std::string request;
  test::ScriptedServer decode([&request](test::Peer& peer, int) {
    request = peer.ReadUntil("\r\n\r\n");
    peer.Send(Answer("Content-Type: text/event-stream\r\n", Events(1, 3)));
  });
  AddServer("p", "engines", core::ServerRole::kPrefill, prefill.Address());
  AddServer("d", "engines", core::ServerRole::kDecode, decode.Address());
  BOOST_TEST(absl::StrContains(SendRequest("/stream"), "id: 3\n"));
  BOOST_TEST(absl::StrContains(request, "Handle: kv\r\n"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::gateway
