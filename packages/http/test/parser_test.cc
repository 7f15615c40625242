#define BOOST_TEST_MODULE http
#include <boost/test/unit_test.hpp>

#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "siskindrum/http/message.h"
#include "siskindrum/http/parser.h"

namespace siskindrum::http {
namespace {

struct ParserFixture {
  std::string body_;
  ParserLimits limits_{256, 32};

  std::unique_ptr<MessageParser> Make(MessageParser::Kind kind) {
    ParserSink sink;
    sink.on_body_ = [this](std::string_view data) { body_.append(data); };
    return std::make_unique<MessageParser>(kind, limits_, std::move(sink));
  }
  std::unique_ptr<MessageParser> Request(const std::string& text) {
    auto parser = Make(MessageParser::Kind::kRequest);
    parser->Feed(text);
    return parser;
  }
  std::unique_ptr<MessageParser> Response(const std::string& text) {
    auto parser = Make(MessageParser::Kind::kResponse);
    parser->Feed(text);
    return parser;
  }
};

BOOST_FIXTURE_TEST_SUITE(Parser, ParserFixture)

BOOST_AUTO_TEST_CASE(Feed_WhenGivenByteByByte_ParsesTheRequest) {
  const std::string text =
      "POST /a/b?c=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";
  auto parser = Make(MessageParser::Kind::kRequest);
  std::string pending;
  for (const char c : text) {
    pending += c;
    pending.erase(0, parser->Feed(pending));
  }
  BOOST_TEST(parser->IsDone());
  BOOST_TEST(parser->GetHead().target_ == "/a/b?c=1");
  BOOST_TEST(body_ == "body");
}

// Guards against a buffer that grows with a chunk header that does not end.
BOOST_AUTO_TEST_CASE(Feed_WhenTheFramingDoesNotEnd_FailsAtItsLimit) {
  const std::string head =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  limits_.framing_bytes_ = 64;
  for (const char* begin : {"", "5;x=", "5\r\nhello\r\n", "0\r\n"}) {
    auto parser = Make(MessageParser::Kind::kRequest);
    const std::string text = head + begin;
    std::string pending = text.substr(parser->Feed(text));
    while (parser->Error() == ParseError::kNone && pending.size() < 1000) {
      pending += 'x';
      pending.erase(0, parser->Feed(pending));
    }
    BOOST_TEST_INFO("after " << begin);
    BOOST_TEST((parser->Error() == ParseError::kFramingTooLarge ||
                parser->Error() == ParseError::kMalformed));
    BOOST_TEST(pending.size() <= limits_.framing_bytes_ + 1);
  }
}

// Guards against an assertion of the library that ends a debug build.
BOOST_AUTO_TEST_CASE(Feed_WhenChunksComeByteByByte_ParsesTheBody) {
  const std::pair<std::string, std::string> cases[] = {
      {"0\r\n\r\n", ""},
      {"0\r\nT: x\r\n\r\n", ""},
      {"1\r\na\r\n0\r\n\r\n", "a"},
      {"1\r\na\r\n2;x=y\r\nbc\r\n0\r\n\r\n", "abc"}};
  for (const auto& [chunks, body] : cases) {
    const std::string text =
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
        chunks;
    body_.clear();
    auto parser = Make(MessageParser::Kind::kRequest);
    std::string pending;
    for (const char c : text) {
      pending += c;
      pending.erase(0, parser->Feed(pending));
    }
    BOOST_TEST_INFO(chunks);
    BOOST_TEST(parser->IsDone());
    BOOST_TEST(pending.empty());
    BOOST_TEST(body_ == body);
  }
}

BOOST_AUTO_TEST_CASE(Feed_WhenALongChunkHeaderIsWithinTheLimit_Succeeds) {
  auto parser = Request(
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5;x=" +
      std::string(1000, 'x') +
      "\r\nhello\r\n0\r\nT: " + std::string(1000, 'x') + "\r\n\r\n");
  BOOST_TEST(parser->IsDone());
  BOOST_TEST(body_ == "hello");
}

BOOST_AUTO_TEST_CASE(Feed_WhenASecondRequestFollows_LeavesItsBytes) {
  const std::string first = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
  auto parser = Make(MessageParser::Kind::kRequest);
  BOOST_TEST(parser->Feed(first + "GET /2 HTTP/1.1\r\n") == first.size());
  BOOST_TEST(parser->IsDone());
}

BOOST_AUTO_TEST_CASE(Feed_WhenTheFramingIsAmbiguous_Fails) {
  const char* heads[] = {
      "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
      "Content-Length: 3\r\nContent-Length: 4\r\n",
      "Content-Length: 3\r\nContent-Length: 3\r\n",
      "Content-Length: 3, 4\r\n",
      "Content-Length: +3\r\n",
      "Content-Length: 0x3\r\n",
      "Transfer-Encoding: chunked, identity\r\n",
      "Transfer-Encoding: xchunked\r\n",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
  };
  for (const char* head : heads) {
    const auto parser = Request(std::string("POST / HTTP/1.1\r\nHost: h\r\n") +
                                head + "\r\n3\r\nabc\r\n0\r\n\r\n");
    BOOST_TEST_INFO(head);
    BOOST_TEST((parser->Error() == ParseError::kMalformed));
  }
}

// Statuses range from 100 to 599 (RFC 9110, 15).
BOOST_AUTO_TEST_CASE(Feed_WhenTheStatusIsOutOfRange_Fails) {
  for (const char* status : {"000", "001", "099", "600", "999", "20", "2000",
                             "-20", "2 0", "abc", ""}) {
    const auto parser = Response(absl::StrCat(
        "HTTP/1.1 ", status, " Oops\r\nContent-Length: 2\r\n\r\nno"));
    BOOST_TEST_INFO(status);
    BOOST_TEST((parser->Error() == ParseError::kMalformed));
    BOOST_TEST(!parser->IsHeadDone());
    BOOST_TEST(body_.empty());
  }
  for (const char* status : {"100", "200", "299", "418", "599"}) {
    const auto parser = Response(absl::StrCat(
        "HTTP/1.1 ", status, " Fine\r\nContent-Length: 0\r\n\r\n"));
    BOOST_TEST_INFO(status);
    BOOST_TEST(parser->IsDone());
  }
}

// Names of fields with a blank or a control byte, also in names that would
// determine the length of the body.
const std::string kBadNames[] = {
    "X Y",
    "X ",
    " X",
    "X\t",
    "\tX",
    std::string("X\0Y", 3),
    "X\x01",
    "X\rY",
    "X\x1f",
    "X\x7f",
    "",
    "Content-Length ",
    " Content-Length",
    "Content-Length\x01",
    "Content -Length",
    "Transfer-Encoding ",
    "Transfer-Encoding\t",
};

BOOST_AUTO_TEST_CASE(Feed_WhenTheNameOfAFieldIsInvalid_Fails) {
  for (const std::string& name : kBadNames) {
    const std::string heads[] = {
        absl::StrCat(name, ": 2\r\nContent-Length: 2\r\n\r\n"),
        absl::StrCat("Content-Length: 2\r\n", name, ": 2\r\n\r\n"),
        absl::StrCat(name, ": chunked\r\n\r\n"),
    };
    for (const std::string& head : heads) {
      body_.clear();
      const auto parser = Response("HTTP/1.1 200 OK\r\n" + head + "no");
      BOOST_TEST_INFO(head);
      BOOST_TEST((parser->Error() == ParseError::kMalformed));
      BOOST_TEST(!parser->IsHeadDone());
      BOOST_TEST(body_.empty());
    }
  }
}

BOOST_AUTO_TEST_CASE(Feed_WhenTheNameOfATrailerIsInvalid_Fails) {
  for (const std::string& name : kBadNames) {
    const auto parser = Response(absl::StrCat(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n",
        name, ": 2\r\n\r\n"));
    BOOST_TEST_INFO(name);
    BOOST_TEST((parser->Error() == ParseError::kMalformed));
    BOOST_TEST(!parser->IsDone());
  }
}

BOOST_AUTO_TEST_CASE(Feed_WhenTheHeadIsTooLarge_Fails) {
  const auto parser = Request(
      "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(300, 'x') + "\r\n\r\n");
  BOOST_TEST((parser->Error() == ParseError::kHeadTooLarge));
}

BOOST_AUTO_TEST_CASE(Feed_WhenTheBodyIsTooLarge_FailsWithAnyFraming) {
  const auto sized =
      Request("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 33\r\n\r\n");
  BOOST_TEST((sized->Error() == ParseError::kBodyTooLarge));
  const auto chunked = Request(
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n21\r\n" +
      std::string(33, 'x') + "\r\n0\r\n\r\n");
  BOOST_TEST((chunked->Error() == ParseError::kBodyTooLarge));
}

BOOST_AUTO_TEST_CASE(FeedEof_WhenABodyHasNoLength_CompletesIt) {
  const auto parser = Response("HTTP/1.1 200 OK\r\n\r\nsome");
  BOOST_TEST(!parser->IsDone());
  BOOST_TEST(parser->EndsWithConnection());
  parser->FeedEof();
  BOOST_TEST(parser->IsDone());
  BOOST_TEST(body_ == "some");
}

BOOST_AUTO_TEST_CASE(FeedEof_WhenTheBodyIsTruncated_Fails) {
  const char* answers[] = {
      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsome",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nsome\r\n",
      "HTTP/1.1 200 OK\r\nContent-Le",
  };
  for (const char* answer : answers) {
    const auto parser = Response(answer);
    parser->FeedEof();
    BOOST_TEST((parser->Error() == ParseError::kIncomplete));
  }
}

BOOST_AUTO_TEST_CASE(FeedEof_WhenAnAnswerIsCutAtAnyByte_DoesNotCompleteIt) {
  const std::string answers[] = {
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\ntwelve bytes",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "4\r\nsome\r\n10;x=y\r\n0123456789abcdef\r\n0\r\n\r\n",
      "HTTP/1.1 204 No Content\r\n\r\n",
      // Only the heads of these: the end of the connection ends their bodies.
      "HTTP/1.1 200 OK\r\nServer: s\r\n\r\n",
      "HTTP/1.0 200 OK\r\n\r\n",
  };
  for (const std::string& answer : answers) {
    for (std::size_t cut = 0; cut <= answer.size(); ++cut) {
      const auto parser = Response(answer.substr(0, cut));
      parser->FeedEof();
      BOOST_TEST_INFO(answer.substr(0, cut));
      const bool complete = cut == answer.size();
      BOOST_TEST(parser->IsDone() == complete);
      BOOST_TEST((parser->Error() == ParseError::kIncomplete) == !complete);
    }
  }
}

BOOST_AUTO_TEST_CASE(Answer_WhenItMayHaveNoBody_IsCompleteAfterItsHead) {
  for (const char* status : {"204 No Content", "304 Not Modified"}) {
    const auto parser =
        Response(std::string("HTTP/1.1 ") + status + "\r\n\r\nmore");
    BOOST_TEST(parser->IsDone());
    BOOST_TEST(!parser->EndsWithConnection());
    BOOST_TEST(body_.empty());
  }
  const auto head = Make(MessageParser::Kind::kResponse);
  head->ExpectNoBody();
  head->Feed("HTTP/1.1 200 OK\r\n\r\n");
  BOOST_TEST(head->IsDone());
  BOOST_TEST(!head->EndsWithConnection());
}

BOOST_AUTO_TEST_CASE(Feed_WhenNoBodyLimitIsSet_AcceptsALargeAnswer) {
  limits_.body_bytes_ = 0;
  const auto parser = Response("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n" +
                               std::string(90, 'x'));
  BOOST_TEST(parser->IsDone());
}

BOOST_AUTO_TEST_CASE(RemoveConnectionFields_WhenConnectionNamesOne_RemovesIt) {
  Head head;
  head.fields_ = {{"Connection", "close, X-Hop"}, {"x-hop", "1"},
                  {"Keep-Alive", "timeout=5"},    {"Transfer-Encoding", "c"},
                  {"Content-Length", "3"},        {"X-End", "2"}};
  RemoveConnectionFields(head);
  BOOST_TEST(head.fields_.size() == 1U);
  BOOST_TEST(head.fields_[0].name_ == "X-End");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::http
