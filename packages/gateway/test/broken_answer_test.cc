#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>

#include "absl/strings/match.h"
#include "gateway_fixture.h"
#include "siskindrum/http/message.h"

namespace siskindrum::gateway {
namespace {

// Servers whose answers break off, and servers that take over from them.
struct BrokenAnswerFixture : GatewayFixture {
  using GatewayFixture::GatewayFixture;

  static test::ScriptedServer::Script Sends(const std::string& bytes) {
    return [bytes](test::Peer& peer, int) {
      peer.ReadUntil("\r\n\r\n");
      peer.Send(bytes);
    };
  }
  // Begins an answer with `bytes` and breaks off. `other` is added once this
  // server has the request: the dispatcher may choose either.
  test::ScriptedServer::Script SendsAndBreaksOff(
      const std::string& bytes,
      const test::ScriptedServer& other) {
    return [this, bytes, &other](test::Peer& peer, int) {
      peer.ReadUntil("\r\n\r\n");
      AddServer("d2", "engines", core::ServerRole::kDecode, other.Address());
      peer.Send(bytes);
      std::this_thread::sleep_for(core::Milliseconds(50));
      peer.Reset();
    };
  }
  static std::string BeginOfStream() {
    return kStreamHead + http::FormatChunk(Events(1, 3));
  }
};

// Answers that cannot continue a stream that has begun.
constexpr const char* kForeignAnswers[] = {
    "HTTP/1.1 500 Oops\r\nId: 7\r\nMark: m\r\nContent-Length: 4\r\n\r\noops",
    "HTTP/1.1 503 Oops\r\nId: 7\r\nMark: m\r\nContent-Length: 4\r\n\r\noops",
    "HTTP/1.1 404 Oops\r\nId: 7\r\nMark: m\r\nContent-Length: 4\r\n\r\noops",
    "HTTP/1.1 302 Oops\r\nId: 7\r\nMark: m\r\nContent-Length: 4\r\n\r\noops",
    "HTTP/1.1 200 OK\r\nId: 7\r\nMark: m\r\nContent-Type: text/plain\r\n"
    "Content-Length: 4\r\n\r\noops",
    "HTTP/1.1 200 OK\r\nId: 7\r\nMark: m\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 204 No Content\r\nId: 7\r\nMark: m\r\n\r\n",
    "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Type: text/event-stream\r\n"
    "Content-Length: 4\r\n\r\noops",
    "HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\noops",
};

BOOST_FIXTURE_TEST_SUITE(BrokenAnswers, BrokenAnswerFixture)

BOOST_DATA_TEST_CASE(Stream_WhenTheNextServerFails_IsCutOff,
                     boost::unit_test::data::make(kForeignAnswers),
                     foreign) {
  test::ScriptedServer other(Sends(foreign));
  test::ScriptedServer first(SendsAndBreaksOff(BeginOfStream(), other));
  AddServer("d1", "engines", core::ServerRole::kDecode, first.Address());
  const std::string answer = SendRequest("/resume");
  BOOST_TEST_INFO(answer);
  BOOST_TEST(answer.ends_with(http::FormatChunk(Events(1, 3))));
}

BOOST_DATA_TEST_CASE(Stream_WhenTheNextServerFails_IsResumedAtAThird,
                     boost::unit_test::data::make(kForeignAnswers),
                     foreign) {
  std::string third_request;
  test::ScriptedServer third([&third_request](test::Peer& peer, int) {
    third_request = peer.ReadUntil("\r\n\r\n");
    peer.Send(kStreamHead + http::FormatChunk(Events(4, 6)) +
              std::string(http::kLastChunk));
  });
  test::ScriptedServer other([&](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    AddServer("d3", "engines", core::ServerRole::kDecode, third.Address());
    peer.Send(foreign);
  });
  test::ScriptedServer first(SendsAndBreaksOff(BeginOfStream(), other));
  AddServer("d1", "engines", core::ServerRole::kDecode, first.Address());
  const std::string answer = SendRequest("/resume-twice");
  BOOST_TEST_INFO(answer);
  BOOST_TEST(answer.ends_with(http::FormatChunk(Events(1, 3)) +
                              http::FormatChunk(Events(4, 6)) +
                              std::string(http::kLastChunk)));
  BOOST_TEST(absl::StrContains(third_request, "After: 3"));
}

// Beginnings of answers of which no server can send just the rest.
const std::string kUnresumableBeginnings[] = {
    "HTTP/1.1 200 OK\r\nId: 7\r\nMark: m\r\nContent-Type: text/plain\r\n"
    "Transfer-Encoding: chunked\r\n\r\n" +
        http::FormatChunk("some"),
    kStreamHead + http::FormatChunk("data: some\n\n"),
};

BOOST_DATA_TEST_CASE(AnswerWithoutEventIds_WhenItBreaksOff_IsNotRepeated,
                     boost::unit_test::data::make(kUnresumableBeginnings),
                     beginning) {
  std::atomic<int> requests{0};
  test::ScriptedServer other([&](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    ++requests;
    peer.Send(beginning + std::string(http::kLastChunk));
  });
  test::ScriptedServer first(SendsAndBreaksOff(beginning, other));
  AddServer("d1", "engines", core::ServerRole::kDecode, first.Address());
  const std::string answer = SendRequest("/resume");
  BOOST_TEST_INFO(answer);
  const std::string body = beginning.substr(beginning.find("\r\n\r\n"));
  BOOST_TEST(answer.ends_with(body));
  BOOST_TEST(requests == 0);
}

// Answers that end before they are complete.
constexpr const char* kCutAnswers[] = {
    "HTTP/1.1 200",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nId: 7\r\nMark: m\r\n",
    "HTTP/1.1 200 OK\r\nId: 7\r\nMark: m\r\nContent-Length: 0\r\n",
    "HTTP/1.1 200 OK\r\nId: 7\r\nMark: m\r\nContent-Length: 4\r\n\r\nsom",
    "HTTP/1.1 200 OK\r\nId: 7\r\nMark: m\r\nTransfer-Encoding: chunked\r\n"
    "\r\n4",
    "HTTP/1.1 200 OK\r\nId: 7\r\nMark: m\r\nTransfer-Encoding: chunked\r\n"
    "\r\n4\r\nsome\r\n",
    "HTTP/1.1 200 OK\r\nId: 7\r\nMark: m\r\nTransfer-Encoding: chunked\r\n"
    "\r\n4\r\nsome\r\n0\r\n",
};

BOOST_DATA_TEST_CASE(PlainAnswer_WhenItIsCut_IsNotDeliveredAsWhole,
                     boost::unit_test::data::make(kCutAnswers),
                     cut) {
  test::ScriptedServer server(Sends(cut));
  AddServer("s", "plain", core::ServerRole::kPlain, server.Address());
  BOOST_TEST(SendRequest("/once").starts_with("HTTP/1.1 502 "));
}

BOOST_DATA_TEST_CASE(StreamedAnswer_WhenItIsCut_IsNotDeliveredAsWhole,
                     boost::unit_test::data::make(kCutAnswers),
                     cut) {
  test::ScriptedServer server(Sends(cut));
  AddServer("d", "engines", core::ServerRole::kDecode, server.Address());
  const std::string answer = SendRequest("/stream");
  BOOST_TEST_INFO(answer);
  const bool is_cut_off =
      absl::StrContains(answer, "Transfer-Encoding: chunked") &&
      !answer.ends_with(http::kLastChunk);
  BOOST_TEST((is_cut_off || answer.starts_with("HTTP/1.1 502 ")));
}

// Answers whose status is out of HTTP's range, as servers in trouble send them.
constexpr const char* kAnswersWithInvalidStatus[] = {
    "HTTP/1.1 000 Oops\r\nId: 7\r\nMark: m\r\nContent-Length: 4\r\n\r\noops",
    "HTTP/1.1 000 Oops\r\nId: 7\r\nMark: m\r\nNot-Run: 1\r\n"
    "Content-Length: 0\r\n\r\n",
    "HTTP/1.1 000 \r\nId: 7\r\nMark: m\r\nContent-Type: text/event-stream\r\n"
    "\r\nid: 1\ndata: x\n\n",
    "HTTP/1.1 099 Oops\r\nId: 7\r\nMark: m\r\nContent-Length: 4\r\n\r\noops",
    "HTTP/1.1 600 Oops\r\nId: 7\r\nMark: m\r\nContent-Length: 4\r\n\r\noops",
    "HTTP/1.1 999 Oops\r\nId: 7\r\nMark: m\r\nContent-Length: 4\r\n\r\noops",
};

BOOST_DATA_TEST_CASE(Answer_WhenItsStatusIsOutOfRange_IsNotDelivered,
                     boost::unit_test::data::make(kAnswersWithInvalidStatus) *
                         boost::unit_test::data::make({"/once", "/read",
                                                       "/stream", "/resume"}),
                     answer,
                     path) {
  test::ScriptedServer server(Sends(answer));
  AddServer("s", "plain", core::ServerRole::kPlain, server.Address());
  AddServer("d", "engines", core::ServerRole::kDecode, server.Address());
  const std::string received = SendRequest(path);
  BOOST_TEST_INFO(received);
  BOOST_TEST(received.starts_with("HTTP/1.1 502 "));
}

// Answers with a blank or a control byte in the name of a field.
const std::string kAnswersWithInvalidNames[] = {
    "HTTP/1.1 200 OK\r\nId: 7\r\nMark: m\r\nX Y: 1\r\n"
    "Content-Length: 4\r\n\r\noops",
    "HTTP/1.1 200 OK\r\nId: 7\r\nMark: m\r\nX : 1\r\n"
    "Content-Length: 4\r\n\r\noops",
    "HTTP/1.1 200 OK\r\nX\x01Y: 1\r\nId: 7\r\nMark: m\r\n"
    "Content-Length: 4\r\n\r\noops",
    std::string("HTTP/1.1 200 OK\r\nX\0Y: 1\r\n", 26) +
        "Id: 7\r\nMark: m\r\nContent-Length: 4\r\n\r\noops",
    "HTTP/1.1 404 Oops\r\nId: 7\r\nMark: m\r\nX\x7f: 1\r\n"
    "Content-Length: 4\r\n\r\noops",
    "HTTP/1.1 200 OK\r\nId: 7\r\nMark: m\r\nContent-Length : 4\r\n\r\n"
    "oops and more",
    "HTTP/1.1 200 OK\r\nId: 7\r\nMark: m\r\nContent-Length\t: 4\r\n\r\n"
    "oops and more",
    "HTTP/1.1 200 OK\r\nId: 7\r\nMark: m\r\nTransfer-Encoding : chunked\r\n"
    "\r\n4\r\noops\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nId: 7\r\nMark: m\r\nTransfer-Encoding: chunked\r\n"
    "\r\n4\r\noops\r\n0\r\nX Y: 1\r\n\r\n",
};

BOOST_DATA_TEST_CASE(Answer_WhenTheNameOfAFieldIsInvalid_IsNotDelivered,
                     boost::unit_test::data::make(kAnswersWithInvalidNames) *
                         boost::unit_test::data::make({"/once", "/read"}),
                     answer,
                     path) {
  test::ScriptedServer server(Sends(answer));
  AddServer("s", "plain", core::ServerRole::kPlain, server.Address());
  const std::string received = SendRequest(path);
  BOOST_TEST_INFO(received);
  BOOST_TEST(received.starts_with("HTTP/1.1 502 "));
  BOOST_TEST(!absl::StrContains(received, "oops"));
}

BOOST_DATA_TEST_CASE(Stream_WhenTheNameOfAFieldIsInvalid_IsNotWhole,
                     boost::unit_test::data::make(kAnswersWithInvalidNames),
                     answer) {
  test::ScriptedServer server(Sends(answer));
  AddServer("d", "engines", core::ServerRole::kDecode, server.Address());
  const std::string received = SendRequest("/stream");
  BOOST_TEST_INFO(received);
  // Trailers come when the body has been passed on.
  const bool is_cut_off =
      absl::StrContains(answer, "0\r\nX Y") &&
      absl::StrContains(received, "Transfer-Encoding: chunked") &&
      !received.ends_with(http::kLastChunk);
  BOOST_TEST((is_cut_off || received.starts_with("HTTP/1.1 502 ")));
}

BOOST_AUTO_TEST_CASE(LargeAnswer_WhenItIsCut_EndsWithoutTheLastChunk) {
  test::ScriptedServer server(
      Sends("HTTP/1.1 200 OK\r\nId: 7\r\nMark: m\r\n"
            "Content-Length: 500000\r\n\r\n" +
            std::string(499999, 'x')));
  AddServer("s", "plain", core::ServerRole::kPlain, server.Address());
  const std::string answer = SendRequest("/once");
  BOOST_TEST(answer.starts_with("HTTP/1.1 200 "));
  BOOST_TEST(!answer.ends_with(http::kLastChunk));
}

// Heads of answers that end with their connection.
constexpr char kUnframedHead[] = "HTTP/1.1 200 OK\r\nId: 7\r\nMark: m\r\n\r\n";
constexpr char kUnframedStreamHead[] =
    "HTTP/1.1 200 OK\r\nId: 7\r\nMark: m\r\n"
    "Content-Type: text/event-stream\r\n\r\n";

BOOST_AUTO_TEST_CASE(UnframedAnswer_WhenItsConnectionIsClosed_IsWhole) {
  test::ScriptedServer server(Sends(std::string(kUnframedHead) + "whole"));
  AddServer("s", "plain", core::ServerRole::kPlain, server.Address());
  const std::string answer = SendRequest("/once");
  BOOST_TEST(absl::StrContains(answer, "Content-Length: 5\r\n"));
  BOOST_TEST(answer.ends_with("\r\n\r\nwhole"));
}

BOOST_AUTO_TEST_CASE(UnframedAnswer_WhenItsConnectionIsReset_IsLost) {
  test::ScriptedServer server([](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    peer.Send(std::string(kUnframedHead) + "part");
    std::this_thread::sleep_for(core::Milliseconds(50));
    peer.Reset();
  });
  AddServer("s", "plain", core::ServerRole::kPlain, server.Address());
  BOOST_TEST(SendRequest("/once").starts_with("HTTP/1.1 502 "));
}

// A server that answers at once, without a length, and resets its connection
// while the caller's upload is still being written to it.
struct EarlyResetFixture : BrokenAnswerFixture {
  static constexpr std::uint64_t kMemoryLimit = 256 * 1024 * 1024;
  // Less than a request may hold, more than the kernel's buffers.
  static constexpr std::size_t kUploadBytes = 4000 * 1000;
  static constexpr int kReceiveBufferBytes = 16 * 1024;

  EarlyResetFixture() : BrokenAnswerFixture(kMemoryLimit) {}

  static test::ScriptedServer::Script AnswersAndResets(
      const std::string& answer) {
    return [answer](test::Peer& peer, int) {
      peer.ReadUntil("\r\n\r\n");
      peer.Send(answer);
      peer.AwaitFullReceiveBuffer();
      peer.Reset();
    };
  }
};

BOOST_FIXTURE_TEST_CASE(UnframedAnswer_WhenItIsResetDuringTheUpload_IsLost,
                        EarlyResetFixture) {
  test::ScriptedServer server(
      AnswersAndResets(std::string(kUnframedHead) + "part"),
      kReceiveBufferBytes);
  AddServer("s", "plain", core::ServerRole::kPlain, server.Address());
  const std::string answer =
      SendRequest("/once", std::string(kUploadBytes, 'x'));
  BOOST_TEST_INFO(answer);
  BOOST_TEST(answer.starts_with("HTTP/1.1 502 "));
}

BOOST_FIXTURE_TEST_CASE(UnframedStream_WhenItIsResetDuringTheUpload_IsCutOff,
                        EarlyResetFixture) {
  test::ScriptedServer server(
      AnswersAndResets(kUnframedStreamHead + Events(1, 3)),
      kReceiveBufferBytes);
  AddServer("d", "engines", core::ServerRole::kDecode, server.Address());
  const std::string answer =
      SendRequest("/stream", std::string(kUploadBytes, 'x'));
  BOOST_TEST_INFO(answer);
  BOOST_TEST(absl::StrContains(answer, "id: 3\ndata: x\n\n"));
  BOOST_TEST(!answer.ends_with(http::kLastChunk));
}

BOOST_AUTO_TEST_CASE(UnframedStream_WhenItEndsBetweenEvents_IsWhole) {
  test::ScriptedServer server(Sends(kUnframedStreamHead + Events(1, 3)));
  AddServer("d", "engines", core::ServerRole::kDecode, server.Address());
  const std::string answer = SendRequest("/stream");
  BOOST_TEST(absl::StrContains(answer, "id: 3\ndata: x\n\n"));
  BOOST_TEST(answer.ends_with(http::kLastChunk));
}

BOOST_AUTO_TEST_CASE(UnframedStream_WhenItEndsWithinAnEvent_IsCutOff) {
  test::ScriptedServer server(
      Sends(kUnframedStreamHead + Events(1, 3) + "id: 4\nda"));
  AddServer("d", "engines", core::ServerRole::kDecode, server.Address());
  const std::string answer = SendRequest("/stream");
  BOOST_TEST(absl::StrContains(answer, "id: 3\ndata: x\n\n"));
  BOOST_TEST(!answer.ends_with(http::kLastChunk));
  BOOST_TEST(!absl::StrContains(answer, "id: 4"));
}

BOOST_AUTO_TEST_CASE(UnframedStream_WhenItEndsWithinAnEvent_IsResumed) {
  test::ScriptedServer other(Sends(kUnframedStreamHead + Events(4, 6)));
  test::ScriptedServer first([&](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    AddServer("d2", "engines", core::ServerRole::kDecode, other.Address());
    peer.Send(kUnframedStreamHead + Events(1, 3) + "id: 4\nda");
  });
  AddServer("d1", "engines", core::ServerRole::kDecode, first.Address());
  const std::string answer = SendRequest("/resume");
  BOOST_TEST_INFO(answer);
  BOOST_TEST(answer.ends_with(http::FormatChunk(Events(1, 3)) +
                              http::FormatChunk(Events(4, 6)) +
                              std::string(http::kLastChunk)));
}

BOOST_AUTO_TEST_CASE(UnframedStream_WhenItEndsBeforeAnyEvent_IsNotWhole) {
  test::ScriptedServer server(Sends(kUnframedStreamHead));
  AddServer("d", "engines", core::ServerRole::kDecode, server.Address());
  BOOST_TEST(SendRequest("/stream").starts_with("HTTP/1.1 502 "));
}

BOOST_AUTO_TEST_CASE(FramedStream_WhenItHasNoEvents_IsWhole) {
  test::ScriptedServer server(
      Sends(kStreamHead + std::string(http::kLastChunk)));
  AddServer("d", "engines", core::ServerRole::kDecode, server.Address());
  const std::string answer = SendRequest("/stream");
  BOOST_TEST(answer.starts_with("HTTP/1.1 200 "));
  BOOST_TEST(answer.ends_with("\r\n\r\n" + std::string(http::kLastChunk)));
}

// A caller that knows no chunks sees only by the connection's end whether the
// stream is whole.
BOOST_AUTO_TEST_CASE(Http10Caller_WhenAStreamBreaksOff_SeesAReset) {
  for (const char* rest : {"", "id: 4\nda"}) {
    test::ScriptedServer server(
        Sends(kUnframedStreamHead + Events(1, 3) + rest));
    const std::string name = absl::StrCat("d", server.Port());
    AddServer(name, "engines", core::ServerRole::kDecode, server.Address());
    test::Peer peer = test::Peer::Connect(port_);
    peer.Send("POST /stream HTTP/1.0\r\nId: 7\r\nContent-Length: 0\r\n\r\n");
    const std::string answer = peer.ReadAll();
    BOOST_TEST_INFO(answer);
    const bool is_whole = std::string_view(rest).empty();
    BOOST_TEST(peer.WasReset() == !is_whole);
    BOOST_TEST(answer.ends_with("\r\n\r\n" + Events(1, 3)));
    gateway_->Post(dispatch::ListSeen{{{}, {name}, false}});
  }
}

BOOST_AUTO_TEST_CASE(
    Stream_WhenItsConnectionEndsBeforeItsFirstEvent_SuspectsItsPrompt) {
  test::ScriptedServer engine([](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    peer.Send(
        "HTTP/1.1 200 OK\r\nId: 7\r\nMark: m\r\n"
        "Content-Type: text/event-stream\r\n\r\n");
  });
  AddServer("d", "engines", core::ServerRole::kDecode, engine.Address());
  BOOST_TEST(SendRequest("/stream").starts_with("HTTP/1.1 502 "));
  BOOST_TEST(AwaitOperatorText("/metrics", "crash_suspicions_total 1"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::gateway
