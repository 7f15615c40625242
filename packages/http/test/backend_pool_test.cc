#include <boost/test/unit_test.hpp>

#include <atomic>
#include <future>
#include <optional>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "absl/strings/str_cat.h"
#include "loopback.h"
#include "siskindrum/http/backend_pool.h"
#include "siskindrum/http/clock.h"

namespace siskindrum::http {
namespace {

struct Outcome {
  std::optional<CallResult> end_;
  int status_ = 0;
  std::string body_;
};

// Runs calls against a scripted server on the test's own thread.
struct PoolFixture {
  static constexpr char kRequest[] =
      "GET / HTTP/1.1\r\nHost: h\r\nId: 7\r\n\r\n";

  BackendCall MakeCall(const std::string& address, Outcome& outcome) {
    BackendCall call;
    call.address_ = address;
    call.bytes_ = kRequest;
    call.on_head_ = [&outcome](const Head& head) {
      const std::string* id = FindField(head, "Id");
      if (id == nullptr) {
        return AnswerDecision::kFail;
      }
      if (*id != "7") {
        return AnswerDecision::kSkip;
      }
      outcome.status_ = head.status_;
      return AnswerDecision::kAccept;
    };
    call.on_body_ = [&outcome](std::string_view data) {
      outcome.body_.append(data);
    };
    call.on_end_ = [&outcome](const CallResult& end) { outcome.end_ = end; };
    return call;
  }
  Outcome Run(const std::string& address) {
    Outcome outcome;
    pool_.Send(MakeCall(address, outcome));
    RunUntil([&outcome] { return outcome.end_.has_value(); });
    return outcome;
  }
  template <class Condition>
  void RunUntil(Condition condition) {
    const core::TimePoint limit =
        MonotonicNow() + core::Milliseconds(test::kWaitMs);
    while (!condition() && MonotonicNow() < limit) {
      context_.restart();
      context_.run_for(core::Milliseconds(5));
      pool_.Sweep(MonotonicNow());
    }
  }
  // Script of a server that sends the same bytes in reply to each request.
  static test::ScriptedServer::Script Sends(const std::string& bytes) {
    return [bytes](test::Peer& peer, int) {
      while (!peer.ReadUntil("\r\n\r\n").empty()) {
        peer.Send(bytes);
      }
    };
  }

  boost::asio::io_context context_{1};
  BackendPool pool_{context_};
};

BOOST_FIXTURE_TEST_SUITE(Pool, PoolFixture)

BOOST_AUTO_TEST_CASE(Send_WhenTheAnswerIsComplete_ReusesTheConnection) {
  test::ScriptedServer server(
      Sends("HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 2\r\n\r\nok"));
  BOOST_TEST(Run(server.Address()).body_ == "ok");
  BOOST_TEST(Run(server.Address()).body_ == "ok");
  BOOST_TEST(pool_.Counters().opened_ == 1U);
  BOOST_TEST(pool_.Counters().reused_ == 1U);
}

BOOST_AUTO_TEST_CASE(Send_WhenAnAnswerToAnotherRequestComesFirst_SkipsIt) {
  test::ScriptedServer server(
      Sends("HTTP/1.1 200 OK\r\nId: 6\r\nContent-Length: 5\r\n\r\nother"
            "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 2\r\n\r\nok"));
  const Outcome outcome = Run(server.Address());
  BOOST_TEST(outcome.body_ == "ok");
  BOOST_TEST(pool_.Counters().mismatched_answers_ == 1U);
}

BOOST_AUTO_TEST_CASE(Send_WhenBytesFollowTheAnswer_DoesNotReuseTheConnection) {
  test::ScriptedServer server(
      Sends("HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 2\r\n\r\nok"
            "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 5\r\n\r\nagain"));
  BOOST_TEST(Run(server.Address()).body_ == "ok");
  BOOST_TEST(Run(server.Address()).body_ == "ok");
  BOOST_TEST(pool_.Counters().opened_ == 2U);
}

BOOST_AUTO_TEST_CASE(Send_WhenTheAnswerIsTruncated_ReportsTheRequestAsSent) {
  const char* answers[] = {
      "", "HTTP/1.1 200 O",
      "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 9\r\n\r\nok",
      "HTTP/1.1 200 OK\r\nId: 7\r\nTransfer-Encoding: "
      "chunked\r\n\r\n2\r\nok\r\n"};
  for (const char* answer : answers) {
    test::ScriptedServer server([answer](test::Peer& peer, int) {
      peer.ReadUntil("\r\n\r\n");
      peer.Send(answer);
    });
    const Outcome outcome = Run(server.Address());
    BOOST_TEST((outcome.end_->failure_ == CallFailure::kConnectionLost));
    BOOST_TEST(outcome.end_->sent_);
  }
}

BOOST_AUTO_TEST_CASE(Send_WhenAKeptConnectionEndsWithinTheHead_Fails) {
  const std::string whole =
      "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 0\r\n\r\n";
  for (std::size_t cut = 0; cut < whole.size(); ++cut) {
    test::ScriptedServer server([&](test::Peer& peer, int) {
      peer.ReadUntil("\r\n\r\n");
      peer.Send(whole);
      peer.ReadUntil("\r\n\r\n");
      peer.Send(whole.substr(0, cut));
    });
    BOOST_TEST((Run(server.Address()).end_->failure_ == CallFailure::kNone));
    const Outcome outcome = Run(server.Address());
    BOOST_TEST_INFO(whole.substr(0, cut));
    BOOST_TEST((outcome.end_->failure_ == CallFailure::kConnectionLost));
    BOOST_TEST(outcome.end_->sent_);
    BOOST_TEST(outcome.status_ == 0);
  }
  BOOST_TEST(pool_.Counters().reused_ == whole.size());
}

BOOST_AUTO_TEST_CASE(Send_WhenTheConnectionEndDelimitsTheBody_Succeeds) {
  test::ScriptedServer server([](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    peer.Send("HTTP/1.1 200 OK\r\nId: 7\r\n\r\nwhole");
  });
  const Outcome outcome = Run(server.Address());
  BOOST_TEST((outcome.end_->failure_ == CallFailure::kNone));
  BOOST_TEST(outcome.body_ == "whole");
}

BOOST_AUTO_TEST_CASE(Send_WhenAnAnswerWithoutLengthIsReset_Fails) {
  test::ScriptedServer server([](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    peer.Send("HTTP/1.1 200 OK\r\nId: 7\r\n\r\npart");
    std::this_thread::sleep_for(core::Milliseconds(50));
    peer.Reset();
  });
  const Outcome outcome = Run(server.Address());
  BOOST_TEST((outcome.end_->failure_ == CallFailure::kConnectionLost));
}

// A server that answers while the request is being written: the error of a
// reset may reach the pending write in place of the pending read.
struct EarlyAnswerFixture : PoolFixture {
  static constexpr int kReceiveBufferBytes = 64 * 1024;
  static constexpr std::size_t kUploadBytes = 16 * 1024 * 1024;

  // Sends `answer`, waits until the upload is stuck and then calls `end` while
  // the caller does not run: it finds all that has happened at once.
  test::ScriptedServer::Script AnswersEarly(const std::string& answer,
                                            void (*end)(test::Peer& peer)) {
    return [this, answer, end](test::Peer& peer, int) {
      peer.ReadUntil("\r\n\r\n");
      peer.Send(answer);
      peer.AwaitFullReceiveBuffer();
      is_stuck_ = true;
      caller_stands_still_.get_future().wait();
      end(peer);
      has_ended_.set_value();
    };
  }
  static void Reset(test::Peer& peer) { peer.Reset(); }
  // Ends the answer in an orderly way and then resets the connection.
  static void EndAndReset(test::Peer& peer) {
    peer.ShutDownSending();
    std::this_thread::sleep_for(core::Milliseconds(50));
    peer.Reset();
  }
  Outcome Upload(const test::ScriptedServer& server) {
    Outcome outcome;
    BackendCall call = MakeCall(server.Address(), outcome);
    call.bytes_ = absl::StrCat(
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ", kUploadBytes,
        "\r\n\r\n", std::string(kUploadBytes, 'x'));
    pool_.Send(std::move(call));
    RunUntil([this] { return is_stuck_.load(); });
    caller_stands_still_.set_value();
    has_ended_.get_future().wait();
    RunUntil([&outcome] { return outcome.end_.has_value(); });
    BOOST_REQUIRE(outcome.end_.has_value());
    return outcome;
  }

  std::atomic<bool> is_stuck_{false};
  std::promise<void> caller_stands_still_;
  std::promise<void> has_ended_;
};

BOOST_FIXTURE_TEST_CASE(Send_WhenAnUnframedAnswerIsResetDuringTheUpload_Fails,
                        EarlyAnswerFixture) {
  test::ScriptedServer server(
      AnswersEarly("HTTP/1.1 200 OK\r\nId: 7\r\n\r\npart", Reset),
      kReceiveBufferBytes);
  const Outcome outcome = Upload(server);
  BOOST_TEST((outcome.end_->failure_ == CallFailure::kConnectionLost));
  BOOST_TEST(outcome.end_->sent_);
}

BOOST_FIXTURE_TEST_CASE(
    Send_WhenAnUnframedAnswerEndsBeforeTheUploadIsReset_Succeeds,
    EarlyAnswerFixture) {
  test::ScriptedServer server(
      AnswersEarly("HTTP/1.1 200 OK\r\nId: 7\r\n\r\nwhole", EndAndReset),
      kReceiveBufferBytes);
  const Outcome outcome = Upload(server);
  BOOST_TEST((outcome.end_->failure_ == CallFailure::kNone));
  BOOST_TEST(outcome.body_ == "whole");
}

BOOST_FIXTURE_TEST_CASE(Send_WhenAWholeAnswerComesBeforeTheReset_Succeeds,
                        EarlyAnswerFixture) {
  test::ScriptedServer server(AnswersEarly("HTTP/1.1 413 Too Large\r\nId: 7\r\n"
                                           "Content-Length: 5\r\n\r\nwhole",
                                           Reset),
                              kReceiveBufferBytes);
  const Outcome outcome = Upload(server);
  BOOST_TEST((outcome.end_->failure_ == CallFailure::kNone));
  BOOST_TEST(outcome.status_ == 413);
  BOOST_TEST(outcome.body_ == "whole");
}

BOOST_AUTO_TEST_CASE(Send_WhenTheConnectionIsRefused_ReportsNothingSent) {
  std::string address;
  {
    test::ScriptedServer server([](test::Peer&, int) {});
    address = server.Address();
  }
  const Outcome outcome = Run(address);
  BOOST_TEST((outcome.end_->failure_ == CallFailure::kConnectFailed));
  BOOST_TEST(!outcome.end_->sent_);
}

BOOST_AUTO_TEST_CASE(Send_WhenTheWriteDeadlineHasPassed_SendsNothing) {
  test::ScriptedServer server(
      [](test::Peer& peer, int) { BOOST_TEST(peer.ReadAll().empty()); });
  Outcome outcome;
  BackendCall call = MakeCall(server.Address(), outcome);
  call.write_deadline_ = MonotonicNow() - core::Milliseconds(1);
  pool_.Send(std::move(call));
  RunUntil([&outcome] { return outcome.end_.has_value(); });
  BOOST_TEST((outcome.end_->failure_ == CallFailure::kExpired));
  BOOST_TEST(!outcome.end_->sent_);
}

BOOST_AUTO_TEST_CASE(Send_WhenAnIdleConnectionWasClosed_OpensAnother) {
  test::ScriptedServer server([](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    peer.Send("HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 2\r\n\r\nok");
  });
  BOOST_TEST(Run(server.Address()).body_ == "ok");
  std::this_thread::sleep_for(core::Milliseconds(50));
  BOOST_TEST(Run(server.Address()).body_ == "ok");
  BOOST_TEST(pool_.Counters().opened_ == 2U);
}

BOOST_AUTO_TEST_CASE(Cancel_WhenTheConnectionServesAnotherCall_HasNoEffect) {
  test::ScriptedServer server(
      Sends("HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 2\r\n\r\nok"));
  Outcome first;
  CallHandle handle = pool_.Send(MakeCall(server.Address(), first));
  RunUntil([&first] { return first.end_.has_value(); });
  Outcome second;
  pool_.Send(MakeCall(server.Address(), second));
  handle.Cancel();
  RunUntil([&second] { return second.end_.has_value(); });
  BOOST_TEST(second.body_ == "ok");
}

BOOST_AUTO_TEST_CASE(Send_WhenAnsweredBeforeTheBodyIsSent_DoesNotReuse) {
  test::ScriptedServer server([](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    peer.Send("HTTP/1.1 429 Too Many\r\nId: 7\r\nContent-Length: 0\r\n\r\n");
    std::this_thread::sleep_for(core::Milliseconds(200));
  });
  Outcome outcome;
  BackendCall call = MakeCall(server.Address(), outcome);
  constexpr std::size_t kLarge = 16 * 1024 * 1024;
  call.bytes_ = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                std::to_string(kLarge) + "\r\n\r\n" + std::string(kLarge, 'x');
  pool_.Send(std::move(call));
  RunUntil([&outcome] { return outcome.end_.has_value(); });
  BOOST_TEST(outcome.status_ == 429);
  Outcome next;
  pool_.Send(MakeCall(server.Address(), next));
  RunUntil([&next] { return next.end_.has_value(); });
  BOOST_TEST(pool_.Counters().opened_ == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::http
