#include <boost/test/unit_test.hpp>

#include <atomic>
#include <mutex>
#include <set>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "loopback.h"
#include "siskindrum/http/caller_connection.h"
#include "siskindrum/http/clock.h"
#include "siskindrum/memory/budget.h"

namespace siskindrum::http {
namespace {

using boost::asio::ip::tcp;

// Accepts callers on its own network thread. Requests are answered with their
// body, except that /wait gets no answer, /slow a streamed answer that stays
// open and /stream one that is aborted.
struct CallerFixture {
  CallerFixture()
      : acceptor_(context_, tcp::endpoint(tcp::v4(), 0)), timer_(context_) {
    limits_.parser_ = {1024, 64};
    limits_.head_time_ = core::Milliseconds(200);
    limits_.idle_time_ = core::Milliseconds(400);
    handlers_.on_request_ =
        [this](const std::shared_ptr<CallerConnection>& caller,
               CallerRequest request) { OnRequest(caller, request); };
    handlers_.on_disconnect_ = [this](CallerConnection&) { ++disconnects_; };
    handlers_.on_writable_ = [](CallerConnection&) {};
    handlers_.on_closed_ = [this](CallerConnection& one) {
      std::erase_if(open_,
                    [&one](const auto& held) { return held.get() == &one; });
    };
    Accept();
    Tick();
    thread_ = std::thread([this] { context_.run(); });
  }
  ~CallerFixture() {
    context_.stop();
    thread_.join();
  }

  void OnRequest(const std::shared_ptr<CallerConnection>& caller,
                 const CallerRequest& request) {
    ++requests_;
    if (request.head_.target_ == "/wait") {
      return;
    }
    Head head;
    head.status_ = 200;
    if (request.head_.target_ == "/slow") {
      caller->RespondHead(head);
      caller->RespondData("one");
      return;
    }
    if (request.head_.target_ == "/empty") {
      head.status_ = request.head_.method_ == "HEAD" ? 200 : 204;
      caller->RespondHead(head);
      caller->RespondData("one");
      caller->RespondEnd();
      return;
    }
    if (request.head_.target_ == "/stream") {
      caller->RespondHead(head);
      caller->RespondData("one");
      caller->Abort();
      return;
    }
    caller->Respond(head, request.body_.ToString());
  }
  void Accept() {
    acceptor_.async_accept([this](const auto& error, tcp::socket socket) {
      if (!error) {
        auto connection = std::make_shared<CallerConnection>(
            std::move(socket), limits_, handlers_);
        open_.insert(connection);
        connection->Start();
        Accept();
      }
    });
  }
  void Tick() {
    timer_.expires_after(core::Milliseconds(20));
    timer_.async_wait([this](const auto& error) {
      if (!error) {
        const auto open = open_;
        for (const auto& connection : open) {
          connection->Sweep(MonotonicNow());
        }
        Tick();
      }
    });
  }
  test::Peer Connect() {
    return test::Peer::Connect(acceptor_.local_endpoint().port());
  }
  std::string Ask(const std::string& bytes) {
    test::Peer peer = Connect();
    peer.Send(bytes);
    return peer.ReadAll();
  }
  void AwaitDisconnect() const {
    for (int i = 0; i < test::kWaitMs && disconnects_ == 0; ++i) {
      std::this_thread::sleep_for(core::Milliseconds(1));
    }
  }

  boost::asio::io_context context_{1};
  tcp::acceptor acceptor_;
  boost::asio::steady_timer timer_;
  CallerLimits limits_;
  CallerHandlers handlers_;
  std::set<std::shared_ptr<CallerConnection>> open_;
  std::atomic<int> requests_{0};
  std::atomic<int> disconnects_{0};
  std::thread thread_;
};

BOOST_FIXTURE_TEST_SUITE(Callers, CallerFixture)

BOOST_AUTO_TEST_CASE(Request_WhenItsFramingIsAmbiguous_IsRefused) {
  const std::string answer =
      Ask("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
          "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n"
          "Host: h\r\n\r\n");
  BOOST_TEST(answer.starts_with("HTTP/1.1 400 "));
  BOOST_TEST(requests_ == 0);
}

BOOST_AUTO_TEST_CASE(Request_WhenTooLargeOrTooSlow_GetsTheMatchingStatus) {
  BOOST_TEST(Ask("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(2000, 'x') +
                 "\r\n\r\n")
                 .starts_with("HTTP/1.1 431 "));
  BOOST_TEST(Ask("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n")
                 .starts_with("HTTP/1.1 413 "));
  BOOST_TEST(Ask("GET / HTTP/1.1\r\nHo").starts_with("HTTP/1.1 408 "));
  BOOST_TEST(Ask("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab")
                 .starts_with("HTTP/1.1 408 "));
  BOOST_TEST(requests_ == 0);
}

// A refusal by the head must not wait for the body, nor leave the body to be
// read as the next request.
BOOST_AUTO_TEST_CASE(Request_WhenRefusedByItsHead_GetsNoFurther) {
  handlers_.on_head_ = [](const Head& head) -> std::optional<Head> {
    if (head.target_ != "/refused") {
      return std::nullopt;
    }
    Head refusal;
    refusal.status_ = 401;
    return refusal;
  };
  // The body is outstanding: refused at once, without 100 Continue, and closed.
  const core::TimePoint began = MonotonicNow();
  const std::string closed =
      Ask("POST /refused HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
          "Content-Length: 60\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n");
  BOOST_TEST(closed.starts_with("HTTP/1.1 401 "));
  BOOST_TEST(closed.find("Connection: close") != std::string::npos);
  BOOST_TEST(closed.find("HTTP/1.1", 1) == std::string::npos);
  BOOST_TEST((MonotonicNow() - began < core::Milliseconds(test::kWaitMs)));
  BOOST_TEST(requests_ == 0);
  // The whole request has arrived: the connection goes on with the next one.
  const std::string open =
      Ask("POST /refused HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"
          "POST /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
          "Content-Length: 4\r\n\r\nnext");
  BOOST_TEST(open.starts_with("HTTP/1.1 401 "));
  BOOST_TEST(open.ends_with("\r\n\r\nnext"));
  BOOST_TEST(requests_ == 1);
}

// Failure: a read is under way when a pipelined request is refused. The part of
// its body that this read brings must not be discarded a second time, from the
// requests that follow.
BOOST_AUTO_TEST_CASE(Refusal_WhenARequestWasPipelined_LeavesLaterOnesWhole) {
  handlers_.on_head_ = [](const Head& head) -> std::optional<Head> {
    if (head.target_ != "/refused") {
      return std::nullopt;
    }
    Head refusal;
    refusal.status_ = 401;
    return refusal;
  };
  const auto post = [](const std::string& path, const std::string& body) {
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  };
  const std::string refused = post("/refused", std::string(60, 'x'));
  test::Peer peer = Connect();
  peer.Send(post("/a", "first") + refused.substr(0, refused.size() - 50));
  std::string answers = peer.ReadUntil("first");
  peer.Send(refused.substr(refused.size() - 50) + post("/b", "third"));
  answers += peer.ReadUntil("third");
  BOOST_TEST(answers.find("HTTP/1.1 401 ") != std::string::npos);
  peer.Send(post("/c", "fourth"));
  BOOST_TEST(peer.ReadUntil("fourth").starts_with("HTTP/1.1 200 "));
}

BOOST_AUTO_TEST_CASE(Request_WhenAChunkHeaderDoesNotEnd_IsRefused) {
  const std::string answer =
      Ask("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
          "5;x=" +
          std::string(64 * 1024, 'x'));
  BOOST_TEST(answer.starts_with("HTTP/1.1 400 "));
  BOOST_TEST(requests_ == 0);
}

BOOST_AUTO_TEST_CASE(StreamedAnswer_WhenItMayHaveNoBody_IsOnlyAHead) {
  for (const char* method : {"HEAD", "GET"}) {
    test::Peer peer = Connect();
    peer.Send(std::string(method) +
              " /empty HTTP/1.1\r\nHost: h\r\n\r\n"
              "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
              "Content-Length: 4\r\n\r\nnext");
    const std::string answers = peer.ReadAll();
    BOOST_TEST_INFO(answers);
    const std::size_t end = answers.find("\r\n\r\n");
    BOOST_TEST(answers.substr(0, end).find("Encoding") == std::string::npos);
    BOOST_TEST(answers.substr(end + 4).starts_with("HTTP/1.1 200 "));
    BOOST_TEST(answers.ends_with("\r\n\r\nnext"));
  }
}

BOOST_AUTO_TEST_CASE(Connection_WhenIdleForTooLong_IsClosedWithoutAnAnswer) {
  test::Peer peer = Connect();
  BOOST_TEST(peer.ReadAll().empty());
  BOOST_TEST(!peer.TimedOut());
  BOOST_TEST(!peer.WasReset());
}

// The network thread is busy for longer than the idle limit, while a whole
// request waits in the socket.
BOOST_AUTO_TEST_CASE(Request_WhenItWaitsUnreadPastTheIdleLimit_IsAnswered) {
  for (const bool drain : {false, true}) {
    test::Peer peer = Connect();
    peer.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(!peer.ReadUntil("\r\n\r\n").empty());
    const int before = requests_;
    boost::asio::post(context_, [this, &peer, drain] {
      std::this_thread::sleep_for(limits_.idle_time_);
      peer.Send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
      std::this_thread::sleep_for(core::Milliseconds(50));
      const auto open = open_;
      for (const auto& connection : open) {
        if (drain) {
          connection->Drain(true);
        } else {
          connection->Sweep(MonotonicNow());
        }
      }
    });
    BOOST_TEST(peer.ReadUntil("\r\n\r\n").starts_with("HTTP/1.1 200 "));
    BOOST_TEST(requests_ == before + 1);
  }
}

BOOST_AUTO_TEST_CASE(Requests_WhenPipelined_AreAnsweredInOrder) {
  const std::string answers =
      Ask("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\none"
          "POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
          "3\r\ntwo\r\n0\r\n\r\n"
          "GET /3 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  const std::size_t one = answers.find("one");
  const std::size_t two = answers.find("two");
  BOOST_TEST(one != std::string::npos);
  BOOST_TEST(two != std::string::npos);
  BOOST_TEST(one < two);
  BOOST_TEST(requests_ == 3);
}

BOOST_AUTO_TEST_CASE(Caller_WhenItDisconnectsBeforeTheAnswer_IsDetected) {
  {
    test::Peer peer = Connect();
    peer.Send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
    for (int i = 0; i < test::kWaitMs && requests_ == 0; ++i) {
      std::this_thread::sleep_for(core::Milliseconds(1));
    }
  }
  AwaitDisconnect();
  BOOST_TEST(disconnects_ == 1);
}

BOOST_AUTO_TEST_CASE(Answer_WhenAborted_IsSeenAsTruncated) {
  const std::string answer = Ask("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_TEST(answer.find("0\r\n\r\n") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(Drain_WhenTheAnswerInProgressEnds_AcceptsNoRequest) {
  test::Peer peer = Connect();
  peer.Send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_TEST(!peer.ReadUntil("one").empty());
  // The head of this answer was sent without `Connection: close`.
  peer.Send("GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
  std::this_thread::sleep_for(core::Milliseconds(50));
  boost::asio::post(context_, [this] {
    const auto open = open_;
    for (const auto& connection : open) {
      connection->Drain(true);
      connection->RespondEnd();
    }
  });
  BOOST_TEST(peer.ReadAll().ends_with("0\r\n\r\n"));
  BOOST_TEST(requests_ == 1);
}

BOOST_AUTO_TEST_CASE(Answer_WhenTheMethodIsHead_HasNoBody) {
  const std::string answer =
      Ask("HEAD / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
          "Connection: close\r\n\r\nab");
  BOOST_TEST(answer.ends_with("\r\n\r\n"));
}

// With a budget, of which another holder can take nearly all.
struct BudgetFixture : CallerFixture {
  BudgetFixture() {
    limits_.parser_.body_bytes_ = kLongBody;
    limits_.idle_time_ = core::Milliseconds(3000);
    limits_.budget_ = &budget_;
    handlers_.on_no_memory_ = [](const Head&) {
      Head head;
      head.status_ = 503;
      head.fields_ = {{"Retry-After", "1"}};
      return head;
    };
  }
  static std::string Post(const std::string& framing) {
    return "POST /1 HTTP/1.1\r\nHost: h\r\n" + framing + "\r\n\r\n";
  }
  // Reads one answer without a body.
  static std::string ReadHead(test::Peer& peer) {
    return peer.ReadUntil("\r\n\r\n");
  }
  void AwaitEmptyBudget() const {
    for (int i = 0; i < test::kWaitMs && budget_.Used() > 0; ++i) {
      std::this_thread::sleep_for(core::Milliseconds(1));
    }
  }

  static constexpr std::size_t kLongBody = 1024 * 1024;
  memory::Budget budget_{kLongBody};
};

// The body must not be waited for, and the kept connection must not be lost.
BOOST_FIXTURE_TEST_CASE(Request_WhenItsBodyFindsNoRoom_IsRefusedUnread,
                        BudgetFixture) {
  test::Peer peer = Connect();
  peer.Send(Post("Content-Length: " + std::to_string(kLongBody)));
  BOOST_TEST(ReadHead(peer).starts_with("HTTP/1.1 503 "));
  BOOST_TEST(requests_ == 0);
  peer.Send(std::string(kLongBody, 'x') + Post("Content-Length: 2") + "ab");
  BOOST_TEST(peer.ReadUntil("ab").starts_with("HTTP/1.1 200 "));
  BOOST_TEST(requests_ == 1);
  peer.Close();
  AwaitEmptyBudget();
  BOOST_TEST(budget_.Used() == 0);
}

// Chunks announce no length, so that only their growth shows their size.
BOOST_FIXTURE_TEST_CASE(Request_WhenItsChunksFindNoRoom_IsRefused,
                        BudgetFixture) {
  test::Peer peer = Connect();
  const std::string chunk = FormatChunk(std::string(kLongBody * 3 / 4, 'x'));
  peer.Send(Post("Transfer-Encoding: chunked") + chunk);
  BOOST_TEST(ReadHead(peer).starts_with("HTTP/1.1 503 "));
  peer.Send(std::string(kLastChunk) + Post("Content-Length: 2") + "ab");
  BOOST_TEST(peer.ReadUntil("ab").starts_with("HTTP/1.1 200 "));
  BOOST_TEST(requests_ == 1);
}

// A caller that waits for 100 (Continue) sends no body after a refusal, so the
// next request could be taken for the body.
BOOST_FIXTURE_TEST_CASE(Refusal_WhenTheBodyMayNotCome_ClosesTheConnection,
                        BudgetFixture) {
  const std::string answer = Ask(Post(
      "Expect: 100-continue\r\nContent-Length: " + std::to_string(kLongBody)));
  BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
  BOOST_TEST(answer.find("Connection: close") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(Request_WhenOnlySmallOnesFindRoom_IsServedIfSmall,
                        BudgetFixture) {
  const memory::Charge others(&budget_, memory::Use::kCallerRequest,
                              kLongBody * 7 / 10);
  test::Peer peer = Connect();
  peer.Send(Post("Content-Length: 2") + "ab");
  BOOST_TEST(peer.ReadUntil("ab").starts_with("HTTP/1.1 200 "));
  peer.Send(Post("Content-Length: 70000"));
  BOOST_TEST(ReadHead(peer).starts_with("HTTP/1.1 503 "));
}

// A caller that sends requests without reading the answers must not make this
// process hold all of them.
BOOST_FIXTURE_TEST_CASE(Answers_WhenPipelinedAndUnread_AreBounded,
                        BudgetFixture) {
  constexpr int kRequests = 400;
  constexpr std::size_t kBody = 60 * 1024;
  test::Peer peer = Connect();
  std::thread sender([&peer] {
    const std::string request =
        Post("Content-Length: " + std::to_string(kBody)) +
        std::string(kBody, 'x');
    for (int i = 0; i < kRequests; ++i) {
      peer.Send(request);
    }
  });
  std::this_thread::sleep_for(core::Milliseconds(500));
  BOOST_TEST(requests_ < kRequests);
  BOOST_TEST(budget_.Peak() < kLongBody);
  std::size_t size = 0;
  while (size < kRequests * kBody) {
    const std::string text = peer.ReadSome();
    BOOST_REQUIRE(!text.empty());
    size += text.size();
  }
  sender.join();
  BOOST_TEST(requests_ == kRequests);
}

// A whole answer that waits for a slow caller, on a connection that is closed
// after it and on one that is kept. The caller's own time is set by KeepUntil.
struct UnreadFixture : CallerFixture {
  UnreadFixture() {
    handlers_.on_request_ = [this](
                                const std::shared_ptr<CallerConnection>& caller,
                                const CallerRequest&) {
      ++requests_;
      caller->KeepAnswerUntil(MonotonicNow() + time_left_);
      Head head;
      head.status_ = 200;
      caller->Respond(head, std::string(kBody, 'x'));
    };
  }
  // Asks, waits without reading, and returns how many bytes then arrive.
  std::size_t AskAndWait(const std::string& field, core::Milliseconds pause) {
    test::Peer peer = Connect();
    peer.Send("GET / HTTP/1.1\r\nHost: h\r\n" + field + "\r\n");
    std::this_thread::sleep_for(pause);
    std::size_t size = 0;
    while (size < kBody) {
      const std::string text = peer.ReadSome();
      if (text.empty()) {
        break;
      }
      size += text.size();
    }
    return size;
  }

  // More than the kernel's buffers take.
  static constexpr std::size_t kBody = 16 * 1024 * 1024;
  core::Milliseconds time_left_{5000};
};

BOOST_FIXTURE_TEST_CASE(Answer_WhenUnreadForTwoSeconds_IsDeliveredWhole,
                        UnreadFixture) {
  BOOST_TEST(AskAndWait("Connection: close\r\n", core::Milliseconds(2000)) >=
             kBody);
  BOOST_TEST(AskAndWait("", core::Milliseconds(2000)) >= kBody);
}

// Held answers are memory, so they go when nobody can use them any more.
BOOST_FIXTURE_TEST_CASE(Answer_WhenUnreadPastTheCallersTime_IsDropped,
                        UnreadFixture) {
  time_left_ = core::Milliseconds(500);
  BOOST_TEST(AskAndWait("Connection: close\r\n", core::Milliseconds(2500)) <
             kBody);
  BOOST_TEST(AskAndWait("", core::Milliseconds(2500)) < kBody);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::http
