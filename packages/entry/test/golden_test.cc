// Whole sessions against running processes, compared with kept transcripts in
// golden/. SISKINDRUM_REGENERATE=1 writes them anew
// (tools/regenerate_golden.sh).

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <fstream>
#include <future>
#include <regex>
#include <sstream>
#include <thread>

#include <httplib.h>

#include "site.h"

namespace siskindrum::entry {
namespace {

const char* const kShownHeaders[] = {
    "Content-Type",           "Retry-After",           "X-Siskindrum-Key",
    "X-Siskindrum-Reason",    "X-Siskindrum-Repeated", "X-Siskindrum-Revision",
    "X-Siskindrum-Rule-Line", "X-Siskindrum-Verdict"};

std::string Replace(const std::string& text,
                    const char* pattern,
                    const char* by) {
  return std::regex_replace(text, std::regex(pattern), by);
}

// Replaces what differs from run to run.
std::string Normalise(std::string text) {
  text = Replace(text, "[0-9a-f]{16}-[0-9]+", "REQUEST");
  text = Replace(text,
                 "[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[0-9a-f]{4}-"
                 "[0-9a-f]{12}",
                 "KEY");
  text = Replace(text, "\"created\":[0-9]+", "\"created\":TIME");
  text = Replace(text, "_ms=[0-9]+", "_ms=N");
  text = Replace(text, "time=[^ ]+ ", "");
  text = Replace(text, "127\\.0\\.0\\.1:[0-9]+", "ADDRESS");
  return text;
}

struct GoldenFixture : Site {
  std::string transcript_;

  GoldenFixture() : Site(1) { AwaitReady(); }

  void Say(const std::string& line) { transcript_ += line + "\n"; }

  Answer Exchange(const std::string& path,
                  const std::string& body,
                  const std::map<std::string, std::string>& headers = {}) {
    Say("> POST " + path);
    for (const auto& [name, value] : headers) {
      Say("> " + name + ": " + value);
    }
    Say("> " + body);
    const Answer answer = Post(CallerPort(0), path, body, headers);
    Say("< " + std::to_string(answer.status_));
    for (const char* name : kShownHeaders) {
      const auto it = answer.headers_.find(name);
      if (it != answer.headers_.end()) {
        Say("< " + it->first + ": " + it->second);
      }
    }
    std::istringstream lines(answer.body_);
    for (std::string line; std::getline(lines, line);) {
      Say("< " + line);
    }
    Say("");
    return answer;
  }

  // Adds the entry's log lines of one kind.
  void SayLog(const std::string& event) {
    std::istringstream lines(LogOf("entry-0"));
    for (std::string line; std::getline(lines, line);) {
      if (line.find("event=" + event + " ") != std::string::npos) {
        Say("log " + line);
      }
    }
  }

  void Compare(const std::string& name) {
    const std::string file = std::string(SISKINDRUM_SOURCE_DIR) +
                             "/packages/entry/test/golden/" + name + ".txt";
    const std::string seen = Normalise(transcript_);
    if (std::getenv("SISKINDRUM_REGENERATE") != nullptr) {
      std::ofstream(file) << seen;
      return;
    }
    std::ifstream stream(file);
    std::ostringstream kept;
    kept << stream.rdbuf();
    std::istringstream kept_lines(kept.str());
    std::istringstream seen_lines(seen);
    std::string kept_line;
    std::string seen_line;
    for (int number = 1;; ++number) {
      const bool more_kept = !!std::getline(kept_lines, kept_line);
      const bool more_seen = !!std::getline(seen_lines, seen_line);
      if (!more_kept && !more_seen) {
        break;
      }
      kept_line = more_kept ? kept_line : "(nothing)";
      seen_line = more_seen ? seen_line : "(nothing)";
      BOOST_TEST(kept_line == seen_line, name << ".txt:" << number << "\n- "
                                              << kept_line << "\n+ "
                                              << seen_line);
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(Golden, GoldenFixture)

BOOST_AUTO_TEST_CASE(Session_WhenStreamed_MatchesItsTranscript) {
  Exchange(
      "/v1/completions",
      R"({"model":"reader","prompt":"order sheet","max_tokens":4,"stream":true})");
  BOOST_TEST(Await([&] {
    return LogOf("entry-0").find("event=request_done") != std::string::npos;
  }));
  SayLog("request_done");
  Compare("streamed");
}

BOOST_AUTO_TEST_CASE(Session_WhenWhole_MatchesItsTranscript) {
  Exchange("/v1/completions",
           R"({"model":"reader","prompt":"order sheet","max_tokens":4})");
  Exchange(
      "/v1/chat/completions",
      R"({"model":"reader","messages":[{"role":"user","content":"order sheet"}],"max_tokens":3})");
  Compare("whole");
}

BOOST_AUTO_TEST_CASE(Session_WhenBooking_MatchesItsTranscript) {
  const std::string key = Key();
  Exchange("/desk/bookings", R"({"tapes":200})", {{"Idempotency-Key", key}});
  Exchange("/desk/bookings", R"({"tapes":200})", {{"Idempotency-Key", key}});
  Exchange("/desk/bookings", R"({"tapes":200})",
           {{"Idempotency-Key", "booking-17"}});
  Exchange("/desk/status", "{}");
  Compare("booking");
}

BOOST_AUTO_TEST_CASE(
    Session_WhenCancelledWhilePrefilling_MatchesItsTranscript) {
  Control("prefill-0", {{"stalled", true}});
  httplib::Client client("127.0.0.1", CallerPort(0));
  auto asked = std::async(std::launch::async, [&] {
    return client.Post("/v1/completions",
                       R"({"model":"reader","prompt":"x","max_tokens":4})",
                       "application/json");
  });
  BOOST_REQUIRE(Await([&] { return Record("prefill-0")["queued"] == 1; }));
  Say("caller closes its connection while the prefill runs");
  client.stop();
  asked.wait();
  BOOST_REQUIRE(Await([&] { return HeldAnywhere() == 0; }));
  Say("engines hold nothing");
  BOOST_REQUIRE(Await([&] {
    return LogOf("entry-0").find("event=request_done") != std::string::npos;
  }));
  SayLog("request_done");
  Compare("cancelled");
}

BOOST_AUTO_TEST_CASE(Session_WhenRefused_MatchesItsTranscript) {
  Exchange("/v1/completions", R"({"model":"nobody","prompt":"x"})");
  Exchange("/v1/completions", R"({"model":"reader"})");
  Kill("prefill-0");
  Exchange("/v1/completions", R"({"model":"reader","prompt":"x"})");
  Compare("refused");
}

BOOST_AUTO_TEST_CASE(Session_WhenRulesChange_MatchesItsTranscript) {
  const std::string body =
      R"({"model":"reader","prompt":"order sheet","max_tokens":2})";
  Exchange("/v1/completions", body);
  Say("operator publishes revision 2: readers are refused");
  PublishRules(
      2, "when model=reader then refuse  # asked by the test\n" + Rules());
  BOOST_REQUIRE(
      Await([&] { return Dump(0)["configuration"]["revision"] == 2; }));
  Exchange("/v1/completions", body);
  Say("operator publishes revision 3 with a bad line");
  PublishRules(3, "when model=reader\n");
  BOOST_REQUIRE(
      Await([&] { return Dump(0)["configuration"]["refused_revision"] == 3; }));
  Exchange("/v1/completions", body);
  SayLog("configuration_refused");
  Compare("rules-changed");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::entry
