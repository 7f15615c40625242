#include <algorithm>
#include <atomic>

#include <boost/test/unit_test.hpp>

#include <boost/asio/io_context.hpp>

#include "absl/strings/match.h"
#include "exchange_p.h"
#include "gateway_fixture.h"
#include "siskindrum/dispatch/limits.h"
#include "siskindrum/http/clock.h"

namespace siskindrum::gateway {
namespace {

// One exchange on the test's own thread, between a caller and scripted servers.
// The test takes the dispatcher's place.
struct ExchangeFixture {
  ExchangeFixture() {
    handlers_.on_request_ =
        [this](const std::shared_ptr<http::CallerConnection>& caller,
               http::CallerRequest request) {
          exchange_ = std::make_shared<Exchange>(core::RequestId{}, "7", caller,
                                                 std::move(request), shared_);
        };
    handlers_.on_disconnect_ = [](http::CallerConnection&) {};
    handlers_.on_writable_ = [](http::CallerConnection&) {};
    handlers_.on_closed_ = [](http::CallerConnection&) {};
    boost::asio::ip::tcp::acceptor acceptor(
        context_, {boost::asio::ip::address_v4::loopback(), 0});
    peer_ = std::make_unique<test::Peer>(
        test::Peer::Connect(acceptor.local_endpoint().port()));
    caller_ = std::make_shared<http::CallerConnection>(acceptor.accept(),
                                                       limits_, handlers_);
    caller_->Start();
    peer_->Send(
        "POST /resume HTTP/1.1\r\nHost: h\r\nId: 7\r\n"
        "Content-Length: 0\r\n\r\n");
    RunUntil([this] { return exchange_ != nullptr; });
  }
  template <class Condition>
  void RunUntil(Condition condition) {
    const core::TimePoint limit =
        http::MonotonicNow() + core::Milliseconds(test::kWaitMs);
    while (!condition() && http::MonotonicNow() < limit) {
      context_.restart();
      context_.run_for(core::Milliseconds(5));
    }
  }
  // Starts the next attempt and waits for an event of the given type.
  template <class Event>
  Event Attempt(const test::ScriptedServer& server, dispatch::Stage stage) {
    events_.clear();
    dispatch::StartAttempt start;
    start.attempt_ = ++attempts_;
    start.stage_ = stage;
    start.address_ = server.Address();
    start.decided_at_ = http::MonotonicNow();
    start.deadline_ = start.decided_at_ + core::Milliseconds(test::kWaitMs);
    exchange_->Start(start);
    RunUntil([this] { return Find<Event>() != nullptr; });
    BOOST_REQUIRE(Find<Event>() != nullptr);
    return *Find<Event>();
  }
  template <class Event>
  const Event* Find() const {
    for (const dispatch::Event& event : events_) {
      if (const auto* found = std::get_if<Event>(&event)) {
        return found;
      }
    }
    return nullptr;
  }
  // Starts an attempt without waiting for its outcome.
  std::uint32_t Send(const test::ScriptedServer& server, bool beside) {
    dispatch::StartAttempt start;
    start.attempt_ = ++attempts_;
    start.stage_ = dispatch::Stage::kPlain;
    start.address_ = server.Address();
    start.decided_at_ = http::MonotonicNow();
    start.deadline_ = start.decided_at_ + core::Milliseconds(test::kWaitMs);
    start.beside_ = beside;
    exchange_->Start(start);
    return attempts_;
  }
  std::size_t CountDone(dispatch::AttemptOutcome outcome) const {
    return static_cast<std::size_t>(std::count_if(
        events_.begin(), events_.end(), [outcome](const auto& event) {
          const auto* done = std::get_if<dispatch::AttemptDone>(&event);
          return done != nullptr && done->outcome_ == outcome;
        }));
  }
  // Ends the exchange's side of the connection and returns what the caller got.
  std::string CallerText() {
    context_.restart();
    context_.run_for(core::Milliseconds(50));
    caller_->Abort();
    return peer_->ReadAll();
  }

  boost::asio::io_context context_{1};
  Dialect dialect_ = TestDialect();
  http::BackendPool pool_{context_};
  telemetry::Metrics metrics_;
  std::vector<dispatch::Event> events_;
  ExchangeContext shared_{
      dialect_, pool_, metrics_,
      [this](dispatch::Event event) { events_.push_back(std::move(event)); }};
  http::CallerLimits limits_;
  http::CallerHandlers handlers_;
  std::unique_ptr<test::Peer> peer_;
  std::shared_ptr<http::CallerConnection> caller_;
  std::shared_ptr<Exchange> exchange_;
  std::uint32_t attempts_ = 0;
};

// Script of a server that keeps its connection open after `bytes`.
test::ScriptedServer::Script Sends(const std::string& bytes) {
  return [bytes](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    peer.Send(bytes);
    peer.ReadAll();
  };
}

// Script of a server that sends two parts of a stream with a pause between.
test::ScriptedServer::Script SendsWithPause(core::Milliseconds pause) {
  return [pause](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    peer.Send(kStreamHead + http::FormatChunk(Events(1, 1)));
    std::this_thread::sleep_for(pause);
    peer.Send(http::FormatChunk(Events(2, 2)) + std::string(http::kLastChunk));
  };
}

std::string PlainAnswer(int status, const std::string& body) {
  return absl::StrCat("HTTP/1.1 ", status, " S\r\nId: 7\r\nMark: m\r\n",
                      "Connection: close\r\nContent-Length: ", body.size(),
                      "\r\n\r\n", body);
}

// Script of a server that answers once `go` is set, and sets `closed` when its
// caller closes the connection.
test::ScriptedServer::Script Answers(const std::string& bytes,
                                     std::atomic<bool>& go,
                                     std::atomic<bool>& closed) {
  return [bytes, &go, &closed](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    for (int ms = 0; !go && ms < test::kWaitMs; ++ms) {
      std::this_thread::sleep_for(core::Milliseconds(1));
    }
    peer.Send(bytes);
    peer.ReadAll();
    closed = true;
  };
}

// A request at two servers at once.
struct HedgedFixture : ExchangeFixture {
  void StartBoth() {
    Send(first_, false);
    Send(second_, true);
  }
  void AwaitDone() {
    RunUntil([this] { return Find<dispatch::AttemptDone>() != nullptr; });
    BOOST_REQUIRE(Find<dispatch::AttemptDone>() != nullptr);
  }

  std::atomic<bool> first_go_{false};
  std::atomic<bool> second_go_{false};
  std::atomic<bool> first_closed_{false};
  std::atomic<bool> second_closed_{false};
  std::string second_answer_ = PlainAnswer(200, "two");
  test::ScriptedServer first_{
      Answers(PlainAnswer(200, "one"), first_go_, first_closed_)};
  test::ScriptedServer second_{[this](test::Peer& peer, int connection) {
    Answers(second_answer_, second_go_, second_closed_)(peer, connection);
  }};
};

BOOST_FIXTURE_TEST_SUITE(Exchanges, ExchangeFixture)

// The dispatcher may decide on the error before it has learned of the stream.
BOOST_AUTO_TEST_CASE(StoredError_WhenAStreamHasBegun_IsNotWrittenIntoIt) {
  test::ScriptedServer failing(
      Sends("HTTP/1.1 500 Oops\r\nId: 7\r\nMark: m\r\nContent-Length: 4\r\n"
            "\r\noops"));
  test::ScriptedServer streaming(
      Sends(kStreamHead + http::FormatChunk(Events(1, 3))));
  Attempt<dispatch::AttemptDone>(failing, dispatch::Stage::kDecode);
  Attempt<dispatch::AnswerBegan>(streaming, dispatch::Stage::kDecode);
  exchange_->DeliverStoredError();
  const std::string text = CallerText();
  BOOST_TEST_INFO(text);
  BOOST_TEST(!absl::StrContains(text, "oops"));
  BOOST_TEST(exchange_->IsDone());
  BOOST_TEST(peer_->WasReset());
}

BOOST_AUTO_TEST_CASE(Reservation_WhenAnotherRequestsRefusalComesFirst_IsTaken) {
  test::ScriptedServer server(
      Sends("HTTP/1.1 503 Busy\r\nId: 6\r\nNot-Run: 1\r\n"
            "Content-Length: 0\r\n\r\n"
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh1"));
  const auto done =
      Attempt<dispatch::ReserveDone>(server, dispatch::Stage::kReserve);
  BOOST_TEST(done.ok_);
  BOOST_TEST(done.hold_ == "h1");
}

BOOST_AUTO_TEST_CASE(Stream_WhenWrittenForAWhile_IsReportedAsSustained) {
  test::ScriptedServer server(
      SendsWithPause(dispatch::kHarmlessWritingTime + core::Milliseconds(50)));
  Attempt<dispatch::AnswerSustained>(server, dispatch::Stage::kDecode);
  RunUntil([this] { return Find<dispatch::AttemptDone>() != nullptr; });
  const auto is_sustained = [](const dispatch::Event& event) {
    return std::holds_alternative<dispatch::AnswerSustained>(event);
  };
  BOOST_TEST(std::count_if(events_.begin(), events_.end(), is_sustained) == 1);
}

BOOST_AUTO_TEST_CASE(Stream_WhenItIsShort_IsNotReportedAsSustained) {
  test::ScriptedServer server(SendsWithPause(core::Milliseconds(10)));
  const auto done =
      Attempt<dispatch::AttemptDone>(server, dispatch::Stage::kDecode);
  BOOST_TEST((done.outcome_ == dispatch::AttemptOutcome::kDelivered));
  BOOST_TEST(done.wrote_events_);
  BOOST_TEST(!done.ended_by_close_);
  BOOST_TEST(Find<dispatch::AnswerSustained>() == nullptr);
}

BOOST_AUTO_TEST_CASE(Stream_WhenTheConnectionEndDelimitsIt_IsReportedSo) {
  test::ScriptedServer server([](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    peer.Send(
        "HTTP/1.1 200 OK\r\nId: 7\r\nMark: m\r\n"
        "Content-Type: text/event-stream\r\n\r\n" +
        Events(1, 1));
  });
  const auto done =
      Attempt<dispatch::AttemptDone>(server, dispatch::Stage::kDecode);
  BOOST_TEST((done.outcome_ == dispatch::AttemptOutcome::kDelivered));
  BOOST_TEST(done.ended_by_close_);
}

BOOST_AUTO_TEST_CASE(Prefill_WhenItsAnswerNamesNoRequest_Fails) {
  test::ScriptedServer server(
      Sends("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nk1"));
  const auto done =
      Attempt<dispatch::PrefillDone>(server, dispatch::Stage::kPrefill);
  BOOST_TEST(!done.ok_);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(HedgedExchanges, HedgedFixture)

BOOST_AUTO_TEST_CASE(Answer_WhenTheSecondServerIsFirst_IsItsOwn) {
  StartBoth();
  second_go_ = true;
  AwaitDone();
  BOOST_TEST(Find<dispatch::AttemptDone>()->attempt_ == 2U);
  BOOST_TEST(CountDone(dispatch::AttemptOutcome::kDelivered) == 1U);
  // The loser is told by the end of its connection.
  first_go_ = true;
  RunUntil([this] { return first_closed_.load(); });
  BOOST_TEST(first_closed_.load());
  const std::string text = CallerText();
  BOOST_TEST(absl::StrContains(text, "two"));
  BOOST_TEST(!absl::StrContains(text, "one"));
}

BOOST_AUTO_TEST_CASE(Answer_WhenTheFirstServerIsFirst_EndsTheSecond) {
  StartBoth();
  first_go_ = true;
  AwaitDone();
  BOOST_TEST(Find<dispatch::AttemptDone>()->attempt_ == 1U);
  second_go_ = true;
  RunUntil([this] { return second_closed_.load(); });
  BOOST_TEST(second_closed_.load());
  BOOST_TEST(!absl::StrContains(CallerText(), "two"));
}

// Guards against a mixture of two answers, or two answers on one connection.
BOOST_AUTO_TEST_CASE(Answers_WhenBothComeAtOnce_AreDeliveredOnce) {
  StartBoth();
  first_go_ = true;
  second_go_ = true;
  // Both have arrived before either is read.
  std::this_thread::sleep_for(core::Milliseconds(50));
  AwaitDone();
  const std::string text = CallerText();
  BOOST_TEST(CountDone(dispatch::AttemptOutcome::kDelivered) == 1U);
  BOOST_TEST(absl::StrContains(text, "one") != absl::StrContains(text, "two"));
  BOOST_TEST(text.find("HTTP/1.1") == text.rfind("HTTP/1.1"));
}

BOOST_AUTO_TEST_CASE(Answer_WhenTheSecondServerErrs_IsAwaitedFromTheFirst) {
  second_answer_ = PlainAnswer(500, "oops");
  StartBoth();
  second_go_ = true;
  AwaitDone();
  BOOST_TEST((Find<dispatch::AttemptDone>()->outcome_ ==
              dispatch::AttemptOutcome::kServerError));
  BOOST_TEST(!exchange_->IsDone());
  first_go_ = true;
  RunUntil([this] { return exchange_->IsDone(); });
  const std::string text = CallerText();
  BOOST_TEST(absl::StrContains(text, "one"));
  BOOST_TEST(!absl::StrContains(text, "oops"));
}

// An answer to another request proves that the connection is not ours.
BOOST_AUTO_TEST_CASE(Answer_WhenTheSecondServersIsForeign_IsNotDelivered) {
  second_answer_ =
      "HTTP/1.1 200 OK\r\nId: 8\r\nMark: m\r\nContent-Length: 3\r\n\r\ntwo";
  StartBoth();
  second_go_ = true;
  context_.restart();
  context_.run_for(core::Milliseconds(100));
  BOOST_TEST(!exchange_->IsDone());
  first_go_ = true;
  RunUntil([this] { return exchange_->IsDone(); });
  BOOST_TEST(!absl::StrContains(CallerText(), "two"));
}

BOOST_AUTO_TEST_CASE(Answer_WhenTheSecondServersIsCut_IsNotDelivered) {
  test::ScriptedServer cut([](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    peer.Send(
        "HTTP/1.1 200 OK\r\nId: 7\r\nMark: m\r\n"
        "Content-Length: 9\r\n\r\ntwo");
  });
  Send(first_, false);
  Send(cut, true);
  AwaitDone();
  BOOST_TEST((Find<dispatch::AttemptDone>()->outcome_ ==
              dispatch::AttemptOutcome::kFailed));
  first_go_ = true;
  RunUntil([this] { return exchange_->IsDone(); });
  BOOST_TEST(absl::StrContains(CallerText(), "one"));
}

BOOST_AUTO_TEST_CASE(Caller_WhenItLeaves_EndsBothAttempts) {
  StartBoth();
  context_.restart();
  context_.run_for(core::Milliseconds(50));
  exchange_->Cancel();
  first_go_ = true;
  second_go_ = true;
  RunUntil([this] { return first_closed_ && second_closed_; });
  BOOST_TEST(first_closed_.load());
  BOOST_TEST(second_closed_.load());
  BOOST_TEST(CountDone(dispatch::AttemptOutcome::kDelivered) == 0U);
}

BOOST_AUTO_TEST_CASE(Attempt_WhenTheFirstIsLost_GoesOnAtTheSecond) {
  test::ScriptedServer lost(
      [](test::Peer& peer, int) { peer.ReadUntil("\r\n\r\n"); });
  Send(lost, false);
  Send(second_, true);
  AwaitDone();
  BOOST_TEST((Find<dispatch::AttemptDone>()->outcome_ ==
              dispatch::AttemptOutcome::kFailed));
  BOOST_TEST(!exchange_->IsDone());
  second_go_ = true;
  RunUntil([this] { return exchange_->IsDone(); });
  BOOST_TEST(absl::StrContains(CallerText(), "two"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::gateway
