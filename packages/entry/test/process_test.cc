// The points that must always hold, against running processes.

#include <boost/test/unit_test.hpp>

#include <signal.h>
#include <sys/socket.h>

#include <atomic>
#include <future>
#include <thread>

#include <httplib.h>

#include "loopback.h"
#include "siskindrum/core/hash.h"
#include "site.h"

namespace siskindrum::entry {
namespace {

using Json = nlohmann::json;

constexpr char kPrompt[] = "Draft a job ticket for two hundred cassettes.";

struct TwoEntries : Site {
  TwoEntries() : Site(2) { AwaitReady(); }

  // Runs of a key at all plain servers.
  int RunsOf(const std::string& key) const {
    int runs = 0;
    for (const char* name : {"desk-0", "desk-1"}) {
      runs += Record(name)["by_key"].value(key, 0);
    }
    return runs;
  }

  Answer Book(int entry, const std::string& key) const {
    return Post(CallerPort(entry), "/desk/bookings", "{}",
                {{"Idempotency-Key", key}});
  }

  // A fresh key that the entry decides.
  std::string KeyOf(int entry) const {
    std::string key = Key();
    while (core::RendezvousPick(key, {"seat-0", "seat-1"}) != entry) {
      key = Key();
    }
    return key;
  }
};

BOOST_FIXTURE_TEST_SUITE(Process, TwoEntries)

BOOST_AUTO_TEST_CASE(Stream_WhenRead_ComesTokenByTokenAndWhole) {
  std::vector<std::chrono::steady_clock::time_point> times;
  std::string text;
  const Answer answer = Complete(
      0, kPrompt, 20,
      [&](const std::string&) {
        times.push_back(std::chrono::steady_clock::now());
        return true;
      },
      &text);
  BOOST_TEST(answer.status_ == 200);
  BOOST_TEST(answer.complete_);
  BOOST_TEST(text == Expected(kPrompt, 20));
  BOOST_REQUIRE(times.size() == 20U);
  // Twenty steps of the engine lie between the first and the last.
  BOOST_TEST((times.back() - times.front() > std::chrono::milliseconds(200)));
  BOOST_TEST(answer.headers_.count("X-Siskindrum-Rule-Line") == 1U);
  BOOST_TEST(answer.headers_.count("X-Siskindrum-Revision") == 1U);
}

BOOST_AUTO_TEST_CASE(Body_WhenItHasUnknownFields_IsAccepted) {
  const Answer answer = Post(
      CallerPort(0), "/v1/chat/completions",
      R"({"model":"reader","messages":[{"role":"system","content":"be brief"},
          {"role":"user","content":[{"type":"text","text":"hello"}]}],
          "max_tokens":4,"temperature":0.7,"top_p":1,"n":1,"user":"u1",
          "response_format":{"type":"text"},"stream_options":null,"seed":3})");
  BOOST_REQUIRE(answer.status_ == 200);
  const Json json = Json::parse(answer.body_);
  BOOST_TEST(json["object"] == "chat.completion");
  BOOST_TEST(json["choices"][0]["finish_reason"] == "length");
  BOOST_TEST(json["usage"]["completion_tokens"] == 4);
}

BOOST_AUTO_TEST_CASE(Body_WhenItIsBad_NamesTheField) {
  const Answer answer =
      Post(CallerPort(0), "/v1/completions",
           R"({"model":"reader","max_tokens":0,"prompt":"x"})");
  BOOST_TEST(answer.status_ == 400);
  BOOST_TEST(Json::parse(answer.body_)["error"]["param"] == "max_tokens");
  BOOST_TEST(Post(CallerPort(0), "/v1/completions", "{").status_ == 400);
}

BOOST_AUTO_TEST_CASE(Limits_WhenExceeded_AreAnsweredClearly) {
  const std::string large(9 << 20, 'x');
  BOOST_TEST(Post(CallerPort(0), "/desk/status", large).status_ == 413);
  const Answer header = Post(CallerPort(0), "/desk/status", "{}",
                             {{"X-Long", std::string(20000, 'h')}});
  BOOST_TEST((header.status_ >= 400 || !header.complete_));
  BOOST_TEST(Get(CallerPort(0), "/desk/status").status_ == 200);
}

BOOST_AUTO_TEST_CASE(Body_WhenFramedInTwoWays_IsRefusedAndNothingGoesOn) {
  const char* framings[] = {
      "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
      "Content-Length: 3\r\nContent-Length: 4\r\n"};
  for (const char* framing : framings) {
    test::Peer caller =
        test::Peer::Connect(static_cast<std::uint16_t>(CallerPort(0)));
    caller.Send(std::string("POST /desk/orders HTTP/1.1\r\nHost: h\r\n") +
                framing + "\r\n0\r\n\r\nGET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    const std::string answers = caller.ReadAll();
    BOOST_TEST(answers.starts_with("HTTP/1.1 400 "));
    BOOST_TEST(answers.find("HTTP/1.1 ", 1) == std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(OperatorPaths_WhenAskedByCallers_AreNotServed) {
  for (const char* path : {"/dump", "/metrics", "/explain"}) {
    BOOST_TEST(Get(CallerPort(0), path).status_ == 403);
  }
}

BOOST_AUTO_TEST_CASE(CallerGone_WhileDecoding_FreesMemoryWithinTwoSeconds) {
  int seen = 0;
  Complete(0, kPrompt, 2000, [&](const std::string&) { return ++seen < 3; });
  const auto begun = std::chrono::steady_clock::now();
  BOOST_TEST(Await([&] { return HeldAnywhere() == 0; }));
  BOOST_TEST(
      (std::chrono::steady_clock::now() - begun < std::chrono::seconds(2)));
}

BOOST_AUTO_TEST_CASE(CallerGone_WhilePrefilling_FreesMemoryWithinTwoSeconds) {
  for (const std::string& engine : Engines()) {
    Control(engine, {{"stalled", true}});
  }
  httplib::Client client("127.0.0.1", CallerPort(0));
  client.set_read_timeout(std::chrono::seconds(30));
  auto asked = std::async(std::launch::async, [&] {
    return client.Post("/v1/completions",
                       R"({"model":"reader","prompt":"x","max_tokens":5})",
                       "application/json");
  });
  BOOST_REQUIRE(Await([&] { return HeldAnywhere() == 1; }));
  client.stop();
  const auto begun = std::chrono::steady_clock::now();
  BOOST_TEST(Await([&] { return HeldAnywhere() == 0; }));
  BOOST_TEST(
      (std::chrono::steady_clock::now() - begun < std::chrono::seconds(2)));
  asked.wait();
}

BOOST_AUTO_TEST_CASE(Orphans_WhenTheirEntryIsKilled_AreFreedByTheHoldLimit) {
  std::atomic<bool> streaming{false};
  auto asked = std::async(std::launch::async, [&] {
    Complete(0, kPrompt, 3000, [&](const std::string&) {
      streaming = true;
      return true;
    });
  });
  BOOST_REQUIRE(Await([&] { return streaming.load(); }));
  Kill("entry-0");
  BOOST_TEST(Await([&] { return HeldAnywhere() == 0; }));
  asked.wait();
}

BOOST_AUTO_TEST_CASE(DecodeEngine_WhenKilledInMidAnswer_IsContinuedWhole) {
  std::string text;
  int seen = 0;
  std::string victim;
  const Answer answer = Complete(
      0, kPrompt, 60,
      [&](const std::string&) {
        if (++seen == 10) {
          for (const char* name : {"decode-0", "decode-1"}) {
            if (Record(name)["streams"] == 1) {
              victim = name;
            }
          }
          Kill(victim);
        }
        return true;
      },
      &text);
  BOOST_TEST(!victim.empty());
  BOOST_TEST(answer.complete_);
  BOOST_TEST(text == Expected(kPrompt, 60));
}

BOOST_AUTO_TEST_CASE(DecodeEngine_WhenItRefuses_AnotherImportsTheResult) {
  Control("decode-0", {{"refusing", true}});
  std::string text;
  for (int i = 0; i < 4; ++i) {
    text.clear();
    BOOST_TEST(Complete(i % 2, kPrompt, 5, {}, &text).complete_);
    BOOST_TEST(text == Expected(kPrompt, 5));
  }
}

BOOST_AUTO_TEST_CASE(Prompt_WhenNoEngineCouldHoldIt_IsABadRequest) {
  const auto ask = [this] {
    return Post(CallerPort(0), "/v1/completions",
                R"({"model":"reader","prompt":"x","max_tokens":900000})");
  };
  // Until the engines have said how much memory they have, it may fit.
  BOOST_TEST(Await([&] { return ask().status_ == 400; }));
  const Answer answer = ask();
  BOOST_TEST(answer.headers_.at("X-Siskindrum-Verdict") == "not_run");
  BOOST_TEST(answer.headers_.at("X-Siskindrum-Reason") == "too_large");
  BOOST_TEST(!answer.headers_.contains("Retry-After"));
  BOOST_TEST(answer.body_.find(" tokens exceed the memory of pool ") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(Pool_WhenDown_IsToldNotRunAndDidNotRun) {
  Kill("prefill-0");
  Kill("prefill-1");
  const Answer answer = Post(CallerPort(0), "/v1/completions",
                             R"({"model":"reader","prompt":"x"})");
  BOOST_TEST(answer.status_ == 503);
  BOOST_TEST(answer.headers_.at("X-Siskindrum-Verdict") == "not_run");
  BOOST_TEST(Record("decode-0")["runs"].empty());
  BOOST_TEST(Record("decode-1")["runs"].empty());
}

BOOST_AUTO_TEST_CASE(Booking_WhenSentThroughAllEntriesAtOnce_RunsOnce) {
  const std::string key = Key();
  std::vector<std::future<Answer>> answers;
  for (int i = 0; i < 8; ++i) {
    answers.push_back(
        std::async(std::launch::async, [&, i] { return Book(i % 2, key); }));
  }
  std::string first;
  for (auto& answer : answers) {
    const Answer one = answer.get();
    BOOST_TEST(one.status_ == 200);
    first = first.empty() ? one.body_ : first;
    BOOST_TEST(one.body_ == first);
  }
  BOOST_TEST(RunsOf(key) == 1);
}

BOOST_AUTO_TEST_CASE(Booking_WhenItsHomeIsKilledMeanwhile_RunsAtMostOnce) {
  const std::string key = KeyOf(1);
  Control("desk-0", {{"delay_ms", 500}});
  Control("desk-1", {{"delay_ms", 500}});
  auto first = std::async(std::launch::async, [&] { return Book(0, key); });
  BOOST_REQUIRE(Await([&] { return RunsOf(key) == 1; }));
  Kill("entry-1");
  StartEntry(1);
  AwaitReady();
  const Answer told = first.get();
  const Answer again = Book(0, key);
  const Answer direct = Book(1, key);
  BOOST_TEST(RunsOf(key) == 1);
  for (const Answer& answer : {told, again, direct}) {
    BOOST_TEST(answer.status_ != 200);
    BOOST_TEST(answer.headers_.at("X-Siskindrum-Verdict") == "may_have_run");
  }
}

BOOST_AUTO_TEST_CASE(Booking_WhenItsHomeIsFrozen_RunsAtMostOnce) {
  const std::string key = KeyOf(1);
  Signal("entry-1", SIGSTOP);
  auto first = std::async(std::launch::async, [&] { return Book(0, key); });
  std::this_thread::sleep_for(std::chrono::seconds(2));
  Signal("entry-1", SIGCONT);
  const Answer told = first.get();
  const Answer again = Book(1, key);
  BOOST_TEST(RunsOf(key) <= 1);
  if (told.status_ == 200) {
    BOOST_TEST(again.status_ == 200);
    BOOST_TEST(again.body_ == told.body_);
  }
}

BOOST_AUTO_TEST_CASE(Booking_WhenItsHomeIsDown_IsToldNotRun) {
  const std::string key = KeyOf(1);
  Kill("entry-1");
  const Answer answer = Book(0, key);
  BOOST_TEST(answer.status_ == 503);
  BOOST_TEST(answer.headers_.at("X-Siskindrum-Verdict") == "not_run");
  BOOST_TEST(RunsOf(key) == 0);
}

BOOST_AUTO_TEST_CASE(Booking_WhenItsAnswerIsLost_IsNotSentAgain) {
  const std::string key = Key();
  Control("desk-0", {{"dropping", true}});
  Control("desk-1", {{"dropping", true}});
  const Answer first = Book(0, key);
  BOOST_TEST(first.headers_.at("X-Siskindrum-Verdict") == "may_have_run");
  Control("desk-0", {{"dropping", false}});
  Control("desk-1", {{"dropping", false}});
  const Answer again = Book(1, key);
  BOOST_TEST(again.headers_.at("X-Siskindrum-Verdict") == "may_have_run");
  BOOST_TEST(RunsOf(key) == 1);
}

BOOST_AUTO_TEST_CASE(Booking_WhenServersRefuseBeforeActing_IsToldNotRun) {
  const std::string key = Key();
  Control("desk-0", {{"refusing", true}});
  Control("desk-1", {{"refusing", true}});
  const Answer answer = Book(0, key);
  BOOST_TEST(answer.headers_.at("X-Siskindrum-Verdict") == "not_run");
  BOOST_TEST(RunsOf(key) == 0);
}

BOOST_AUTO_TEST_CASE(LeavingServer_WhenTheListLags_GetsNoNewWork) {
  Control("decode-0", {{"draining", true}});
  BOOST_REQUIRE(Await([&] {
    for (int i = 0; i < 2; ++i) {
      const Json dump = Dump(i);
      for (const Json& server : dump["servers"]) {
        if (server["name"] == "decode-0" && !server["leaving"].get<bool>()) {
          return false;
        }
      }
    }
    return true;
  }));
  const Json before = Record("decode-0")["decodes"];
  for (int i = 0; i < 6; ++i) {
    BOOST_TEST(Complete(i % 2, kPrompt, 3).complete_);
  }
  BOOST_TEST(Record("decode-0")["decodes"] == before);
}

BOOST_AUTO_TEST_CASE(Drain_UnderLoad_CutsNothing) {
  std::vector<std::future<bool>> streams;
  std::atomic<int> started{0};
  for (int i = 0; i < 10; ++i) {
    streams.push_back(std::async(std::launch::async, [&, i] {
      std::string text;
      bool counted = false;
      const std::string prompt = kPrompt + std::to_string(i);
      const Answer answer = Complete(
          0, prompt, 60,
          [&](const std::string&) {
            started += counted ? 0 : 1;
            counted = true;
            return true;
          },
          &text);
      return answer.complete_ && text == Expected(prompt, 60);
    }));
  }
  BOOST_REQUIRE(Await([&] { return started == 10; }));
  Signal("entry-0", SIGTERM);
  for (auto& stream : streams) {
    BOOST_TEST(stream.get());
  }
  BOOST_TEST(AwaitExit("entry-0") == 0);
  BOOST_TEST(LogOf("entry-0").find("event=drain_finished") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(Drain_WhenSignalledTwice_EndsAndSaysWhatWasCut) {
  std::atomic<bool> streaming{false};
  auto asked = std::async(std::launch::async, [&] {
    return Complete(0, kPrompt, 3000, [&](const std::string&) {
      streaming = true;
      return true;
    });
  });
  BOOST_REQUIRE(Await([&] { return streaming.load(); }));
  Signal("entry-0", SIGTERM);
  BOOST_REQUIRE(Await([&] {
    return LogOf("entry-0").find("event=drain_started") != std::string::npos;
  }));
  Signal("entry-0", SIGTERM);
  BOOST_TEST(AwaitExit("entry-0") == 0);
  BOOST_TEST(!asked.get().complete_);
  BOOST_TEST(LogOf("entry-0").find("event=drain_cut requests=1") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(Configuration_WhenPublished_IsInForceEverywhere) {
  const auto begun = std::chrono::steady_clock::now();
  PublishRules(5, Rules() + "\n");
  BOOST_TEST(Await([&] {
    return Dump(0)["configuration"]["revision"] == 5 &&
           Dump(1)["configuration"]["revision"] == 5;
  }));
  BOOST_TEST(
      (std::chrono::steady_clock::now() - begun < std::chrono::seconds(5)));
  // A bad file names its line and changes nothing.
  PublishRules(6, "when then\n" + Rules());
  BOOST_TEST(Await([&] {
    const Json state = Dump(0)["configuration"];
    return state["refused_revision"] == 6 && state["revision"] == 5 &&
           state["refused_error"].get<std::string>().find("rules:1:") == 0;
  }));
  // The service goes back in time; a restarted entry must not.
  PublishRules(3, Rules());
  Kill("entry-1");
  StartEntry(1);
  BOOST_TEST(
      Await([&] { return Get(OperatorPort(1), "/readyz").status_ == 200; }));
  BOOST_TEST(Dump(1)["configuration"]["revision"] == 5);
  BOOST_TEST(Dump(0)["configuration"]["revision"] == 5);
}

BOOST_AUTO_TEST_CASE(Platform_WhenItIsGone_TheSiteServesOn) {
  Kill("platform");
  std::this_thread::sleep_for(std::chrono::seconds(3));
  for (int i = 0; i < 2; ++i) {
    BOOST_TEST(Complete(i, kPrompt, 3).complete_);
    BOOST_TEST(Book(i, Key()).status_ == 200);
  }
  // A process that starts now learns everything from its peer.
  Kill("entry-1");
  StartEntry(1);
  AwaitReady();
  BOOST_TEST(Complete(1, kPrompt, 3).complete_);
}

BOOST_AUTO_TEST_CASE(List_WhenItIsEmpty_IsIgnored) {
  Put(PortOf("platform"), "/instances", R"({"version":9,"instances":[]})");
  std::this_thread::sleep_for(std::chrono::seconds(1));
  BOOST_TEST(Complete(0, kPrompt, 3).complete_);
}

BOOST_AUTO_TEST_CASE(Peers_WhenAStrangerSpeaks_RefuseAndCount) {
  const auto refused = [&] {
    const std::string text = Get(OperatorPort(0), "/metrics").body_;
    const std::string name = "siskindrum_peer_messages_refused_total ";
    const std::size_t at = text.find(name);
    return std::stoi(text.substr(at + name.size()));
  };
  const int before = refused();
  // Not HTTP/2 at all.
  const Answer answer = Get(PeerPort(0), "/peer/1");
  BOOST_TEST(answer.status_ != 200);
  BOOST_TEST(Await([&] { return refused() > before; }));
  BOOST_TEST(Complete(0, kPrompt, 3).complete_);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::entry
