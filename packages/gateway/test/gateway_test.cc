#define BOOST_TEST_MODULE gateway
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <future>

#include <boost/asio/post.hpp>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "gateway_fixture.h"
#include "loopback.h"
#include "siskindrum/http/clock.h"
#include "siskindrum/http/endpoint.h"

namespace siskindrum::gateway {
namespace {

BOOST_FIXTURE_TEST_SUITE(Gateways, GatewayFixture)

BOOST_AUTO_TEST_CASE(Call_WhenAnswered_ReturnsTheServersAnswer) {
  std::string request;
  test::ScriptedServer server([&request](test::Peer& peer, int) {
    request = peer.ReadUntil("tapes");
    peer.Send(Answer("X-Own: 1\r\n", "done"));
  });
  AddServer("s", "plain", core::ServerRole::kPlain, server.Address());
  const std::string answer = SendRequest("/once", "tapes");
  BOOST_TEST(answer.ends_with("\r\n\r\ndone"));
  BOOST_TEST(absl::StrContains(answer, "X-Own: 1"));
  BOOST_TEST(absl::StrContains(request, "POST /once HTTP/1.1"));
}

BOOST_AUTO_TEST_CASE(Explanation_NamesRuleLineRevisionAndServer) {
  test::ScriptedServer server([](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    peer.Send(Answer("", "done"));
  });
  AddServer("desk-3", "plain", core::ServerRole::kPlain, server.Address());
  SendRequest("/once");
  // The caller may have the answer before the dispatcher has processed its end.
  std::string text;
  const core::TimePoint limit =
      http::MonotonicNow() + core::Milliseconds(test::kWaitMs);
  while (!absl::StrContains(text, "Outcome: delivered") &&
         http::MonotonicNow() < limit) {
    test::Peer peer = test::Peer::Connect(operators_port_);
    peer.Send(
        "GET /explain?request=7 HTTP/1.1\r\nHost: h\r\nConnection: "
        "close\r\n\r\n");
    text = peer.ReadAll();
  }
  BOOST_TEST(absl::StrContains(text, "rules revision 1"));
  BOOST_TEST(absl::StrContains(text, "Line 1 decides (\"asked by Ann\")"));
  BOOST_TEST(absl::StrContains(text, "Server desk-3 received it"));
  BOOST_TEST(absl::StrContains(text, "weighed plain desk-3: 0 calls"));
  BOOST_TEST(absl::StrContains(text, "Outcome: delivered after 1 attempt"));
}

// K1, K2: a request without a valid key is refused before its body is read, and
// operators see why, but no key.
BOOST_AUTO_TEST_CASE(Head_WhenItsKeyIsUnknown_IsRefusedBeforeTheBody) {
  const auto configuration = *rules::MakeConfiguration(
      2,
      absl::StrCat("organisation one keys=secret1 # asked by Ann\n", kRules));
  gateway_->Post(dispatch::ConfigurationRead{configuration, "test"});
  // Does not expire during the test.
  const core::TimePoint confirmed_at =
      http::MonotonicNow() + std::chrono::hours(1);
  gateway_->Post(dispatch::ConfigurationConfirmed{
      confirmed_at, 2, configuration->digest_, nullptr});
  BOOST_REQUIRE(AwaitOperatorText("/dump", "\"confirmed_ms\": -3"));
  const auto send = [this](int id, const std::string& key) {
    test::Peer peer = test::Peer::Connect(port_);
    peer.Send(absl::StrCat("POST /once HTTP/1.1\r\nHost: h\r\nId: ", id,
                           "\r\nKey: ", key, "\r\nContent-Length: 4\r\n\r\n"));
    if (key == "secret1") {
      peer.Send("body");
    }
    return peer.ReadUntil("\r\n\r\n");
  };
  // A known key is decided on by the dispatcher, after the body. Its answer
  // comes after the network thread was told of the confirmation.
  BOOST_TEST(absl::StartsWith(send(8, "secret1"), "HTTP/1.1 503"));
  BOOST_TEST(absl::StartsWith(send(7, "secret2"), "HTTP/1.1 401"));
  BOOST_TEST(AwaitOperatorText("/explain?request=7",
                               "refused (unauthorised: no organisation"));
  BOOST_TEST(AwaitOperatorText("/metrics", "failed_unauthorised_total 1"));
  BOOST_TEST(AwaitOperatorText("/dump", "keys=(hidden)"));
  for (const char* page :
       {"/dump", "/metrics", "/explain?request=7", "/explain?request=8"}) {
    test::Peer peer = test::Peer::Connect(operators_port_);
    peer.Send(absl::StrCat("GET ", page, " HTTP/1.1\r\nHost: h\r\n",
                           "Connection: close\r\n\r\n"));
    BOOST_TEST(!absl::StrContains(peer.ReadAll(), "secret"));
  }
}

// An operator's question sends nothing, and names no key.
BOOST_AUTO_TEST_CASE(Where_TellsTheServerAndSendsNothing) {
  std::atomic<int> requests{0};
  test::ScriptedServer server([&requests](test::Peer& peer, int) {
    if (!peer.ReadUntil("\r\n\r\n").empty()) {
      ++requests;
      peer.Send(Answer("", "done"));
    }
  });
  const auto configuration = *rules::MakeConfiguration(
      2,
      absl::StrCat("organisation one keys=secret1 # asked by Ann\n", kRules));
  gateway_->Post(dispatch::ConfigurationRead{configuration, "test"});
  gateway_->Post(dispatch::ConfigurationConfirmed{
      http::MonotonicNow() + std::chrono::hours(1), 2, configuration->digest_,
      nullptr});
  AddServer("desk-1", "plain", core::ServerRole::kPlain, server.Address());
  BOOST_REQUIRE(AwaitOperatorText("/dump", "desk-1"));
  const auto ask = [this](const std::string& target, const std::string& key) {
    test::Peer peer = test::Peer::Connect(operators_port_);
    peer.Send(absl::StrCat("GET ", target, " HTTP/1.1\r\nHost: h\r\n",
                           key.empty() ? "" : "Where-Key: ", key,
                           key.empty() ? "" : "\r\n",
                           "Connection: close\r\n\r\n"));
    return peer.ReadAll();
  };
  const std::string text = ask("/where?path=%2fread%2f1", "secret1");
  BOOST_TEST_INFO(text);
  BOOST_TEST(absl::StrContains(text, "It would go to desk-1."));
  BOOST_TEST(absl::StrContains(text, "Organisation one"));
  BOOST_TEST(absl::StrContains(text, "No second send would follow: off."));
  BOOST_TEST(!absl::StrContains(text, "secret"));
  const std::string as_json =
      ask("/where?path=/read/1&organisation=one&format=json", "");
  BOOST_TEST(absl::StrContains(as_json, "\"server\": \"desk-1\""));
  BOOST_TEST(!absl::StrContains(as_json, "secret"));
  BOOST_TEST(
      absl::StrContains(ask("/where?path=/read/1", "wrong"), "unauthorised"));
  BOOST_TEST(absl::StrContains(ask("/where?path=/read/1&organisation=two", ""),
                               "no organisation"));
  for (const char* target :
       {"/where", "/where?path=", "/where?path=/a&x=1", "/where?path=%zz",
        "/where?path=/a&prompt=-1", "/where?path=/a&parts=x"}) {
    BOOST_TEST(absl::StartsWith(ask(target, ""), "HTTP/1.1 400"), target);
  }
  BOOST_TEST(requests == 0);
}

BOOST_AUTO_TEST_CASE(NonRepeatableCall_WhenTheConnectionIsLost_IsNotRetried) {
  std::atomic<int> requests{0};
  test::ScriptedServer server([&requests](test::Peer& peer, int) {
    if (!peer.ReadUntil("\r\n\r\n").empty()) {
      ++requests;
    }
  });
  AddServer("s", "plain", core::ServerRole::kPlain, server.Address());
  BOOST_TEST(SendRequest("/once").starts_with("HTTP/1.1 502 "));
  BOOST_TEST(requests == 1);
}

BOOST_AUTO_TEST_CASE(Answer_WhenItHasNoServerSignature_IsNotForwarded) {
  test::ScriptedServer server([](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    peer.Send("HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 4\r\n\r\nfake");
  });
  AddServer("s", "plain", core::ServerRole::kPlain, server.Address());
  BOOST_TEST(SendRequest("/once").starts_with("HTTP/1.1 502 "));
}

BOOST_AUTO_TEST_CASE(
    Refusal_WhenTheServerDoesNotConfirmNotRun_IsReportedAsMayHaveRun) {
  test::ScriptedServer server([](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    peer.Send(
        "HTTP/1.1 503 Busy\r\nId: 7\r\nMark: m\r\nContent-Length: 0\r\n\r\n");
  });
  AddServer("s", "plain", core::ServerRole::kPlain, server.Address());
  BOOST_TEST(SendRequest("/once").starts_with("HTTP/1.1 502 "));
}

BOOST_AUTO_TEST_CASE(Refusal_WhenTheServerConfirmsNotRun_IsReportedAsNotRun) {
  test::ScriptedServer server([](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    peer.Send(
        "HTTP/1.1 503 Busy\r\nId: 7\r\nNot-Run: 1\r\nContent-Length: "
        "0\r\n\r\n");
  });
  AddServer("s", "plain", core::ServerRole::kPlain, server.Address());
  BOOST_TEST(SendRequest("/once").starts_with("HTTP/1.1 503 "));
}

BOOST_AUTO_TEST_CASE(RepeatableCall_WhenAnAnswerIsTruncated_IsRetried) {
  test::ScriptedServer server([](test::Peer& peer, int connection) {
    peer.ReadUntil("\r\n\r\n");
    const std::string whole = Answer("", "whole");
    peer.Send(connection == 0 ? whole.substr(0, whole.size() - 2) : whole);
  });
  AddServer("s", "plain", core::ServerRole::kPlain, server.Address());
  BOOST_TEST(SendRequest("/read").ends_with("\r\n\r\nwhole"));
}

BOOST_AUTO_TEST_CASE(Stream_WhenItBreaksWithinAnEvent_ResumesAtAnotherServer) {
  std::string second;
  test::ScriptedServer other([&second](test::Peer& peer, int) {
    second = peer.ReadUntil("\r\n\r\n");
    peer.Send(kStreamHead);
    peer.Send(http::FormatChunk(Events(4, 6)));
    peer.Send(std::string(http::kLastChunk));
    peer.ReadAll();
  });
  // The first server sends three events and half of the fourth. The other one
  // is added once the first has the request: of two equal servers, the
  // dispatcher may choose either.
  test::ScriptedServer first([this, &other](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    AddServer("d2", "engines", core::ServerRole::kDecode, other.Address());
    peer.Send(kStreamHead);
    peer.Send(http::FormatChunk(Events(1, 3) + "id: 4\nda"));
    std::this_thread::sleep_for(core::Milliseconds(50));
    peer.Reset();
  });
  AddServer("d1", "engines", core::ServerRole::kDecode, first.Address());
  const std::string answer = SendRequest("/resume");
  std::size_t at = 0;
  for (int i = 1; i <= 6; ++i) {
    const std::size_t found = answer.find(absl::StrCat("id: ", i, "\n"), at);
    BOOST_TEST_INFO(answer);
    BOOST_TEST(found != std::string::npos);
    at = found;
  }
  BOOST_TEST(answer.ends_with(std::string(http::kLastChunk)));
  BOOST_TEST(absl::StrContains(second, "After: 3"));
}

BOOST_AUTO_TEST_CASE(Stream_WhenItCannotResume_EndsWithoutTheLastChunk) {
  test::ScriptedServer first([](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    peer.Send(kStreamHead);
    peer.Send(http::FormatChunk(Events(1, 3)));
    std::this_thread::sleep_for(core::Milliseconds(50));
    peer.Reset();
  });
  AddServer("d1", "engines", core::ServerRole::kDecode, first.Address());
  const std::string answer = SendRequest("/stream");
  BOOST_TEST(!answer.ends_with(std::string(http::kLastChunk)));
}

BOOST_AUTO_TEST_CASE(Caller_WhenItDisconnects_ClosesTheServerConnection) {
  std::promise<bool> ended;
  test::ScriptedServer server([&ended](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    peer.ReadAll();
    ended.set_value(!peer.TimedOut());
  });
  AddServer("s", "plain", core::ServerRole::kPlain, server.Address());
  {
    test::Peer peer = test::Peer::Connect(port_);
    peer.Send(
        "POST /once HTTP/1.1\r\nHost: h\r\nId: 7\r\n"
        "Content-Length: 0\r\n\r\n");
    std::this_thread::sleep_for(core::Milliseconds(100));
  }
  BOOST_TEST(ended.get_future().get());
}

BOOST_AUTO_TEST_CASE(Request_WhenMalformed_IsRefusedAndNotForwarded) {
  std::atomic<int> requests{0};
  test::ScriptedServer server([&requests](test::Peer& peer, int) {
    requests += peer.ReadUntil("\r\n\r\n").empty() ? 0 : 1;
  });
  AddServer("s", "plain", core::ServerRole::kPlain, server.Address());
  test::Peer peer = test::Peer::Connect(port_);
  peer.Send(
      "POST /once HTTP/1.1\r\nHost: h\r\nId: 7\r\nContent-Length: 5\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  BOOST_TEST(peer.ReadAll().starts_with("HTTP/1.1 400 "));
  BOOST_TEST(requests == 0);
}

BOOST_AUTO_TEST_CASE(Drain_WhenARequestIsInProgress_LetsItFinish) {
  test::ScriptedServer server([this](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    boost::asio::post(gateway_->Context(), [this] { gateway_->Drain(); });
    std::this_thread::sleep_for(core::Milliseconds(500));
    peer.Send(Answer("", "late"));
  });
  AddServer("s", "plain", core::ServerRole::kPlain, server.Address());
  const std::string answer = SendRequest("/once");
  BOOST_TEST(answer.ends_with("late"));
  BOOST_TEST(absl::StrContains(answer, "Connection: close"));
}

// Guards against a request that comes late in a drain, is passed on and then
// cut off by the end of the process.
BOOST_AUTO_TEST_CASE(Drain_WhenARequestComesLate_RefusesItNotRun) {
  std::atomic<int> requests{0};
  test::ScriptedServer server([&requests](test::Peer& peer, int) {
    requests += peer.ReadUntil("\r\n\r\n").empty() ? 0 : 1;
    peer.ReadAll();
  });
  AddServer("s", "plain", core::ServerRole::kPlain, server.Address());
  test::Peer caller = test::Peer::Connect(port_);
  caller.Send(
      "POST /once HTTP/1.1\r\nHost: h\r\nId: 7\r\nContent-Length: 2"
      "\r\n\r\n");
  std::this_thread::sleep_for(core::Milliseconds(100));
  boost::asio::post(gateway_->Context(), [this] { gateway_->Drain(); });
  std::this_thread::sleep_for(core::Milliseconds(3100));
  caller.Send("hi");
  BOOST_TEST(caller.ReadAll().starts_with("HTTP/1.1 503 "));
  BOOST_TEST(requests == 0);
}

// Guards against requests that the end of a drain cuts off without an answer.
BOOST_AUTO_TEST_CASE(Drain_WhenARequestOutlastsIt_AnswersBeforeTheEnd) {
  test::ScriptedServer server([this](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    boost::asio::post(gateway_->Context(), [this] { gateway_->Drain(); });
    peer.ReadAll();
  });
  AddServer("s", "plain", core::ServerRole::kPlain, server.Address());
  BOOST_TEST(SendRequest("/once").starts_with("HTTP/1.1 502 "));
}

BOOST_AUTO_TEST_CASE(Restart_AsksEnginesForTheirCachedPrompts) {
  std::promise<std::string> asked;
  test::ScriptedServer engine([&](test::Peer& peer, int connection) {
    const std::string request = peer.ReadUntil("\r\n\r\n");
    if (connection == 0) {
      asked.set_value(request);
    }
    peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
  });
  GatewayOptions options;
  options.decisions_.name_ = "again";
  options.callers_address_ = absl::StrCat("127.0.0.1:", test::FreePort());
  options.operators_address_ = absl::StrCat("127.0.0.1:", test::FreePort());
  options.decisions_.restarted_ = true;
  options.dialect_ = TestDialect();
  Gateway again(options);
  BOOST_REQUIRE(again.Start().has_value());
  std::thread thread([&] { again.Run(); });
  core::ServerInfo info;
  info.name_ = "d";
  info.address_ = engine.Address();
  info.service_ = "engines";
  info.role_ = core::ServerRole::kDecode;
  again.Post(dispatch::ListSeen{{{info}, {}, true, {0, 1}}});
  std::future<std::string> request = asked.get_future();
  const bool came =
      request.wait_for(std::chrono::milliseconds(test::kWaitMs)) ==
      std::future_status::ready;
  BOOST_TEST(came);
  if (came) {
    BOOST_TEST(absl::StartsWith(request.get(), "GET /kept/d "));
  }
  boost::asio::post(again.Context(), [&] { again.Context().stop(); });
  thread.join();
}

BOOST_AUTO_TEST_CASE(Peers_WhenAnEntryStartsWithoutTheStore_SendItTheirState) {
  const auto make_options = [](const std::string& name,
                               const std::string& peers,
                               const std::string& seed) {
    GatewayOptions options;
    options.decisions_.name_ = name;
    options.callers_address_ = absl::StrCat("127.0.0.1:", test::FreePort());
    options.ready_address_ = absl::StrCat("127.0.0.1:", test::FreePort());
    options.decisions_.peers_address_ = peers;
    options.decisions_.seeds_ = {seed};
    options.fleet_ = "test";
    options.dialect_ = TestDialect();
    return options;
  };
  const std::string address = absl::StrCat("127.0.0.1:", test::FreePort());
  const std::string other = absl::StrCat("127.0.0.1:", test::FreePort());
  const GatewayOptions options = make_options("b", other, address);
  Gateway first(make_options("a", address, address));
  Gateway second(options);
  BOOST_REQUIRE(first.Start().has_value());
  BOOST_REQUIRE(second.Start().has_value());
  std::thread first_thread([&] { first.Run(); });
  std::thread second_thread([&] { second.Run(); });
  first.Post(dispatch::ConfigurationRead{*rules::MakeConfiguration(4, kRules),
                                         "test"});
  core::ServerInfo info;
  info.name_ = "s";
  info.address_ = "127.0.0.1:1";
  info.service_ = "plain";
  info.role_ = core::ServerRole::kPlain;
  first.Post(dispatch::ListSeen{{{info}, {}, true, {0, 9}}});
  const std::uint16_t ready_port =
      http::ParseEndpoint(options.ready_address_)->port();
  std::string answer;
  const core::TimePoint limit =
      http::MonotonicNow() + core::Milliseconds(test::kWaitMs);
  while (!absl::StartsWith(answer, "HTTP/1.1 200") &&
         http::MonotonicNow() < limit) {
    test::Peer peer = test::Peer::Connect(ready_port);
    peer.Send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    answer = peer.ReadAll();
  }
  BOOST_TEST(absl::StartsWith(answer, "HTTP/1.1 200"));
  for (Gateway* gateway : {&first, &second}) {
    boost::asio::post(gateway->Context(),
                      [gateway] { gateway->Context().stop(); });
  }
  first_thread.join();
  second_thread.join();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::gateway
