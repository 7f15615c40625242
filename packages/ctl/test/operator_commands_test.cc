#define BOOST_TEST_MODULE ctl
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <future>
#include <iostream>
#include <sstream>

#include "commands_p.h"
#include "endless_answer.h"
#include "loopback.h"

namespace siskindrum::ctl {
namespace {

// Replaces the buffer of a stream for its lifetime.
class Redirection {
 public:
  Redirection(std::ostream& stream, std::ostringstream& to)
      : stream_(stream), former_(stream.rdbuf(to.rdbuf())) {}
  ~Redirection() { stream_.rdbuf(former_); }
  Redirection(const Redirection&) = delete;
  Redirection& operator=(const Redirection&) = delete;

 private:
  std::ostream& stream_;
  std::streambuf* former_;
};

// Runs commands against a scripted entry and keeps what they print.
struct OperatorFixture {
  int RunDump(const std::string& address) {
    const Redirection output(std::cout, output_);
    const Redirection errors(std::cerr, errors_);
    return DumpCommand({"--entry", address});
  }
  static test::ScriptedServer::Script Sends(const std::string& bytes) {
    return [bytes](test::Peer& peer, int) {
      peer.ReadUntil("\r\n\r\n");
      peer.Send(bytes);
    };
  }

  std::ostringstream output_;
  std::ostringstream errors_;
};

BOOST_FIXTURE_TEST_SUITE(OperatorCommands, OperatorFixture)

BOOST_AUTO_TEST_CASE(Dump_WhenTheAnswerIsWhole_PrintsIt) {
  test::ScriptedServer entry(
      Sends("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"));
  BOOST_TEST(RunDump(entry.Address()) == kExitGood);
  BOOST_TEST(output_.str() == "whole");
}

BOOST_AUTO_TEST_CASE(Dump_WhenTheEntryRefuses_PrintsItsReason) {
  test::ScriptedServer entry(
      Sends("HTTP/1.1 404 Not Found\r\nContent-Length: 8\r\n\r\nno page\n"));
  BOOST_TEST(RunDump(entry.Address()) == kExitBad);
  BOOST_TEST(errors_.str() == entry.Address() + ": no page\n");
  BOOST_TEST(output_.str().empty());
}

BOOST_AUTO_TEST_CASE(Dump_WhenNobodyListens_SaysSo) {
  const std::string address = "127.0.0.1:" + std::to_string(test::FreePort());
  BOOST_TEST(RunDump(address) == kExitBad);
  BOOST_TEST(errors_.str() == address + ": Connection refused\n");
}

constexpr const char* kBrokenAnswers[] = {
    "HTTP/1.1 000 Oops\r\nContent-Length: 4\r\n\r\noops",
    "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 4\r\n\r\noops",
    "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\noops and more",
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\noops",
};

BOOST_DATA_TEST_CASE(Dump_WhenTheAnswerIsBroken_PrintsNoneOfIt,
                     boost::unit_test::data::make(kBrokenAnswers),
                     bytes) {
  test::ScriptedServer entry(Sends(bytes));
  BOOST_TEST(RunDump(entry.Address()) == kExitBad);
  BOOST_TEST(output_.str().empty());
  BOOST_TEST(errors_.str().find("oops") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(Dump_WhenAnAnswerWithoutLengthIsReset_PrintsNoneOfIt) {
  test::ScriptedServer entry([](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    peer.Send("HTTP/1.1 200 OK\r\n\r\npart");
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    peer.Reset();
  });
  BOOST_TEST(RunDump(entry.Address()) == kExitBad);
  BOOST_TEST(output_.str().empty());
}

BOOST_DATA_TEST_CASE(Dump_WhenTheAnswerDoesNotEnd_FailsAndClosesIt,
                     boost::unit_test::data::make(test::EndlessAnswers()),
                     answer) {
  constexpr std::size_t kMostBytes = 256 * 1024 * 1024;
  std::promise<bool> was_closed;
  test::ScriptedServer entry([&](test::Peer& peer, int) {
    peer.ReadUntil("\r\n\r\n");
    was_closed.set_value(test::SendUntilClosed(peer, answer, kMostBytes));
  });
  BOOST_TEST(RunDump(entry.Address()) == kExitBad);
  BOOST_TEST(output_.str().empty());
  BOOST_TEST(was_closed.get_future().get());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::ctl
