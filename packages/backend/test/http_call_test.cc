#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <future>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "endless_answer.h"
#include "loopback.h"
#include "siskindrum/backend/http_call.h"
#include "siskindrum/backend/plain.h"

namespace siskindrum::backend {
namespace {

// Calls of a server that is scripted by each test.
struct HttpCallFixture {
  static test::ScriptedServer::Script Sends(const std::string& bytes) {
    return [bytes](test::Peer& peer, int) {
      peer.ReadUntil("\r\n\r\n");
      peer.Send(bytes);
    };
  }
  static HttpRequest MakeRequest(const test::ScriptedServer& server) {
    HttpRequest request;
    request.address_ = server.Address();
    request.path_ = "/";
    return request;
  }
  // Fails the test unless the call ended as one whose answer is not known.
  static void ExpectNoAnswer(
      const tl::expected<HttpAnswer, core::Verdict>& answer) {
    BOOST_REQUIRE(!answer.has_value());
    BOOST_TEST((answer.error().run_state_ == core::RunState::kMayHaveRun));
  }
};

// Bytes that are no answer in HTTP.
constexpr const char* kMalformedAnswers[] = {
    // A status out of range.
    "HTTP/1.1 000 Oops\r\nContent-Length: 4\r\n\r\noops",
    "HTTP/1.1 099 Oops\r\nContent-Length: 4\r\n\r\noops",
    "HTTP/1.1 600 Oops\r\nContent-Length: 4\r\n\r\noops",
    "HTTP/1.1 999 Oops\r\nContent-Length: 4\r\n\r\noops",
    // The name of a field with a blank or a control byte.
    "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 4\r\n\r\noops",
    "HTTP/1.1 200 OK\r\nX : 1\r\nContent-Length: 4\r\n\r\noops",
    "HTTP/1.1 200 OK\r\nX\t: 1\r\nContent-Length: 4\r\n\r\noops",
    "HTTP/1.1 200 OK\r\nX\x01Y: 1\r\nContent-Length: 4\r\n\r\noops",
    "HTTP/1.1 200 OK\r\nX\x7fY: 1\r\nContent-Length: 4\r\n\r\noops",
    "HTTP/1.1 200 OK\r\n X: 1\r\nContent-Length: 4\r\n\r\noops",
    "HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 4\r\n\r\noops",
    "HTTP/1.1 200 OK\r\nX\r\nContent-Length: 4\r\n\r\noops",
    // The same in the name of a field that determines the length.
    "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\noops and more",
    "HTTP/1.1 200 OK\r\nContent-Length\x01: 4\r\n\r\noops and more",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n"
    "4\r\noops\r\n0\r\n\r\n",
    // The same in the trailers.
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "4\r\noops\r\n0\r\nX Y: 1\r\n\r\n",
};

BOOST_FIXTURE_TEST_SUITE(HttpCalls, HttpCallFixture)

BOOST_AUTO_TEST_CASE(Run_WhenTheAnswerIsWhole_ReturnsIt) {
  const char* answers[] = {
      "HTTP/1.1 503 Busy\r\nContent-Type: a/b\r\nX-Not-Run: true\r\n"
      "Content-Length: 4\r\n\r\nbody",
      "HTTP/1.1 503 Busy\r\ncontent-type: a/b\r\nx-not-run: true\r\n"
      "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 503 Busy\r\nContent-Type: a/b\r\nX-Not-Run: true\r\n\r\nbody",
  };
  for (const char* bytes : answers) {
    test::ScriptedServer server(Sends(bytes));
    HttpCall call;
    const auto answer = call.Run(MakeRequest(server));
    BOOST_TEST_INFO(bytes);
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->status_ == 503);
    BOOST_TEST(answer->content_type_ == "a/b");
    BOOST_TEST(answer->body_ == "body");
    BOOST_TEST(answer->not_run_);
    BOOST_TEST(!answer->draining_);
  }
}

BOOST_AUTO_TEST_CASE(Run_WhenInterimAnswersAreWithinTheLimit_SkipsThem) {
  std::string bytes;
  while (bytes.size() < 60 * 1024) {
    bytes += "HTTP/1.1 102 Processing\r\n\r\n";
  }
  test::ScriptedServer server(
      Sends(bytes + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"));
  HttpCall call;
  const auto answer = call.Run(MakeRequest(server));
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(answer->body_ == "body");
}

BOOST_AUTO_TEST_CASE(Run_WhenGivenABodyAndHeaders_SendsThem) {
  std::promise<std::string> received;
  test::ScriptedServer server([&received](test::Peer& peer, int) {
    received.set_value(peer.ReadUntil("the body"));
    peer.Send("HTTP/1.1 204 No Content\r\n\r\n");
  });
  HttpCall call;
  HttpRequest request = MakeRequest(server);
  request.path_ = "/a?b=c";
  request.headers_ = {{"X-One", "1"}};
  request.body_ = "the body";
  const auto answer = call.Run(request);
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(answer->status_ == 204);
  const std::string text = received.get_future().get();
  BOOST_TEST(text.starts_with("POST /a?b=c HTTP/1.1\r\n"));
  for (const char* field : {"X-One: 1", "Content-Type: application/json",
                            "Content-Length: 8", "Connection: close"}) {
    BOOST_TEST(text.find(absl::StrCat("\r\n", field, "\r\n")) !=
               std::string::npos);
  }
  BOOST_TEST(text.find(absl::StrCat("\r\nHost: ", server.Address(), "\r\n")) !=
             std::string::npos);
}

// Guards against a path that ends the request line and adds a field or a
// request of its own.
BOOST_AUTO_TEST_CASE(Run_WhenThePathHoldsControlBytes_EncodesThem) {
  const std::pair<const char*, const char*> paths[] = {
      {"/a?b=c+d;e,%2F'f", "/a?b=c+d;e,%2F'f"},
      {"/a HTTP/1.1\r\nX: 1", "/a%20HTTP/1.1%0d%0aX:%201"},
      {"/\x01\x7f\xe9", "/%01%7f%e9"},
  };
  for (const auto& [path, target] : paths) {
    std::promise<std::string> received;
    test::ScriptedServer server([&received](test::Peer& peer, int) {
      received.set_value(peer.ReadUntil("\r\n\r\n"));
      peer.Send("HTTP/1.1 204 No Content\r\n\r\n");
    });
    HttpCall call;
    HttpRequest request = MakeRequest(server);
    request.path_ = path;
    BOOST_TEST(call.Run(request).has_value());
    BOOST_TEST(received.get_future().get().starts_with(
        absl::StrCat("POST ", target, " HTTP/1.1\r\nHost: ")));
  }
}

BOOST_DATA_TEST_CASE(Run_WhenTheAnswerIsMalformed_ReturnsNoAnswer,
                     boost::unit_test::data::make(kMalformedAnswers),
                     bytes) {
  test::ScriptedServer server(Sends(bytes));
  HttpCall call;
  ExpectNoAnswer(call.Run(MakeRequest(server)));
}

BOOST_DATA_TEST_CASE(CallPlain_WhenTheAnswerIsMalformed_ReturnsNoAnswer,
                     boost::unit_test::data::make(kMalformedAnswers),
                     bytes) {
  for (const bool once : {true, false}) {
    test::ScriptedServer server(Sends(bytes));
    HttpCall call;
    core::SendPlain order;
    order.address_ = server.Address();
    order.shape_.method_ = "POST";
    order.shape_.path_ = "/orders";
    order.timeout_ = core::Milliseconds(test::kWaitMs);
    order.once_ = once;
    order.decided_at_ = std::chrono::steady_clock::now();
    const auto answer = CallPlain(call, order);
    BOOST_REQUIRE(!answer.has_value());
    BOOST_TEST((answer.error().run_state_ == core::RunState::kMayHaveRun));
  }
}

BOOST_AUTO_TEST_CASE(Run_WhenAnUnframedAnswerIsReset_ReturnsNoAnswer) {
  test::ScriptedServer server([](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    peer.Send("HTTP/1.1 200 OK\r\n\r\npart");
    std::this_thread::sleep_for(core::Milliseconds(50));
    peer.Reset();
  });
  HttpCall call;
  ExpectNoAnswer(call.Run(MakeRequest(server)));
}

BOOST_AUTO_TEST_CASE(Run_WhenAnswerAndUploadAreReset_ReturnsNoAnswer) {
  constexpr int kReceiveBufferBytes = 64 * 1024;
  constexpr std::size_t kUploadBytes = 16 * 1024 * 1024;
  test::ScriptedServer server(
      [](test::Peer& peer, int) {
        peer.ReadUntil("\r\n\r\n");
        peer.Send("HTTP/1.1 200 OK\r\n\r\npart");
        peer.AwaitFullReceiveBuffer();
        peer.Reset();
      },
      kReceiveBufferBytes);
  HttpCall call;
  HttpRequest request = MakeRequest(server);
  request.body_ = std::string(kUploadBytes, 'x');
  ExpectNoAnswer(call.Run(request));
}

// A server whose answer does not end. Far more than a call may keep is sent at
// most.
struct EndlessServer {
  static constexpr std::size_t kMostBytes = 64 * 1024 * 1024;

  explicit EndlessServer(const test::EndlessAnswer& answer)
      : server_([this, answer](test::Peer& peer, int) {
          peer.ReadUntil("\r\n\r\n");
          was_closed_.set_value(
              test::SendUntilClosed(peer, answer, kMostBytes));
        }) {}
  HttpRequest MakeRequest() const {
    HttpRequest request = HttpCallFixture::MakeRequest(server_);
    request.silence_timeout_ = core::Milliseconds(1000);
    return request;
  }

  std::promise<bool> was_closed_;
  test::ScriptedServer server_;
};

// Guards against a process whose memory grows with what a faulty server sends.
BOOST_DATA_TEST_CASE(Run_WhenTheAnswerDoesNotEnd_FailsAndClosesTheConnection,
                     boost::unit_test::data::make(test::EndlessAnswers()),
                     answer) {
  EndlessServer server(answer);
  HttpCall call;
  ExpectNoAnswer(call.Run(server.MakeRequest()));
  BOOST_TEST(server.was_closed_.get_future().get());
}

// The body of a 200 is the sink's to limit; all else is the call's.
BOOST_DATA_TEST_CASE(RunWithSink_WhenTheAnswerDoesNotEnd_FailsAndClosesIt,
                     boost::unit_test::data::make(test::EndlessAnswers()),
                     answer) {
  constexpr std::size_t kSinkBytes = 1024 * 1024;
  EndlessServer server(answer);
  HttpCall call;
  std::size_t taken = 0;
  const auto sink = [&taken](const char*, std::size_t size) {
    taken += size;
    return taken < kSinkBytes;
  };
  ExpectNoAnswer(call.Run(server.MakeRequest(), sink));
  BOOST_TEST(server.was_closed_.get_future().get());
}

BOOST_AUTO_TEST_CASE(Run_WhenTheServerStaysSilent_FailsAfterTheTimeout) {
  test::ScriptedServer server([](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
    peer.ReadAll();
  });
  HttpCall call;
  HttpRequest request = MakeRequest(server);
  request.silence_timeout_ = core::Milliseconds(100);
  const core::TimePoint begun = std::chrono::steady_clock::now();
  ExpectNoAnswer(call.Run(request));
  BOOST_TEST(
      (std::chrono::steady_clock::now() - begun >= request.silence_timeout_));
}

BOOST_AUTO_TEST_CASE(Run_WhenStoppedByAnotherThread_EndsAtOnce) {
  std::promise<void> has_request;
  test::ScriptedServer server([&has_request](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    has_request.set_value();
    peer.ReadAll();
  });
  HttpCall call;
  std::thread stopper([&] {
    has_request.get_future().wait();
    call.Stop();
  });
  HttpRequest request = MakeRequest(server);
  request.silence_timeout_ = core::Milliseconds(test::kWaitMs);
  const core::TimePoint begun = std::chrono::steady_clock::now();
  ExpectNoAnswer(call.Run(request));
  stopper.join();
  BOOST_TEST((std::chrono::steady_clock::now() - begun <
              core::Milliseconds(test::kWaitMs)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::backend
