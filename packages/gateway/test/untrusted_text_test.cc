#include <boost/test/unit_test.hpp>

#include <stdexcept>

#include <nlohmann/json.hpp>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "gateway_fixture.h"
#include "loopback.h"
#include "operators_p.h"
#include "siskindrum/rules/explain.h"
#include "siskindrum/telemetry/log.h"

namespace siskindrum::gateway {
namespace {

BOOST_FIXTURE_TEST_SUITE(UntrustedText, GatewayFixture)

// Guards against an id that ended the process through /dump.
BOOST_AUTO_TEST_CASE(Dump_WhenAnIdInProgressIsNotUtf8_ShowsItsBytes) {
  test::ScriptedServer server([](test::Peer& peer, int) { peer.ReadAll(); });
  AddServer("s", "plain", core::ServerRole::kPlain, server.Address());
  const test::Peer caller = test::Peer::Connect(port_);
  caller.Send(
      "POST /once HTTP/1.1\r\nHost: h\r\nId: caf\xE9\r\n"
      "Content-Length: 0\r\n\r\n");
  BOOST_TEST(AwaitOperatorText("/dump", "\"request\": \"caf\\\\xE9\""));
  BOOST_TEST(AwaitOperatorText("/explain?request=caf\xE9", "Line 1 decides"));
  BOOST_TEST(AwaitOperatorText("/explain?request=\xE9", "\\xE9 is not known"));
  BOOST_TEST(AwaitOperatorText("/metrics", "requests_total 1"));
}

BOOST_AUTO_TEST_CASE(Dump_WhenNamesOfPeersAndServersAreNotUtf8_IsJson) {
  dispatch::Dispatcher dispatcher = dispatch::MakeDispatcher({});
  core::Member& member = dispatcher.peers_.membership_.members_["entry-\xFF"];
  member.row_.address_ = "\xFE:80";
  core::ServerInfo info;
  info.name_ = "s\xC0";
  info.service_ = "\x80pool";
  std::vector<dispatch::Action> actions;
  dispatch::HandleEvent(dispatcher, dispatch::ListSeen{{{info}, {}, false}},
                        core::TimePoint(core::Milliseconds(1)), actions);
  const auto dump = nlohmann::json::parse(
      DumpText(dispatcher, core::TimePoint(core::Milliseconds(1))));
  BOOST_TEST(dump["entries"]["entry-\\xFF"]["address"] == "\\xFE:80");
  BOOST_TEST(dump["servers"]["s\\xC0"]["pool"] == "\\x80pool");
}

// Guards against a request that ends the process, whatever throws.
BOOST_AUTO_TEST_CASE(Request_WhenItsHandlingThrows_EndsOnlyItsConnection) {
  test::Peer caller = test::Peer::Connect(port_);
  caller.Send(
      "GET /once HTTP/1.1\r\nHost: h\r\nId: 1\r\nThrow: 1\r\n"
      "Content-Length: 0\r\n\r\n");
  BOOST_TEST(caller.ReadAll().empty());
  BOOST_TEST(absl::StartsWith(SendRequest("/unknown"), "HTTP/1.1 503"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OperatorPages)

BOOST_AUTO_TEST_CASE(OperatorPage_WhenWritingThrows_Is500AndLogged) {
  std::vector<std::string> logged;
  const OperatorPage page = MakeOperatorPage(
      "/dump",
      [](const std::string&) -> std::string {
        throw std::runtime_error("no page");
      },
      [&logged](const core::LogEvent& event) {
        logged.push_back(telemetry::FormatEvent(event));
      });
  BOOST_TEST(page.status_ == 500);
  BOOST_TEST(logged.size() == 2U);
  BOOST_TEST(logged.at(0) ==
             "event=exception_caught where=operator_call error=\"no page\"");
  BOOST_TEST(logged.at(1) == "event=operator_call_failed target=/dump");
}

BOOST_AUTO_TEST_CASE(LogLine_WhenAValueIsNotPrintable_ShowsItsBytes) {
  BOOST_TEST(telemetry::FormatEvent({"e", {{"id", "caf\xE9"}}}) ==
             "event=e id=\"caf\\xE9\"");
  BOOST_TEST(telemetry::FormatEvent({"e", {{"id", "caf\xC3\xA9"}}}) ==
             "event=e id=caf\xC3\xA9");
  BOOST_TEST(telemetry::FormatEvent({"e", {{"id", "a\x1B\x7F"}}}) ==
             "event=e id=\"a\\x1B\\x7F\"");
}

BOOST_AUTO_TEST_CASE(Explanation_WhenNamesAreNotUtf8_ShowsTheirBytes) {
  core::Rule rule;
  core::Configuration configuration;
  core::DecisionRecord record;
  record.configuration_ =
      std::make_shared<const core::Configuration>(configuration);
  record.rule_ = &rule;
  record.shape_.organisation_ = "acm\xE9\nLine 9 decides";
  record.decode_ = "s\xFF";
  const std::string text = rules::ExplainDecision(record);
  BOOST_TEST(absl::StrContains(text, "of acm\\xE9\\x0ALine 9 decides ("));
  BOOST_TEST(absl::StrContains(text, "ran on s\\xFF,"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::gateway
