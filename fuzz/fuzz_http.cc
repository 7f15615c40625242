// Connections' parser in both directions, in two pieces, and the cutting of
// event streams.

#include <cstdint>
#include <cstdlib>
#include <string>

#include "siskindrum/gateway/event_splitter.h"
#include "siskindrum/http/parser.h"

namespace {

using siskindrum::http::MessageParser;
using siskindrum::http::ParserLimits;
using siskindrum::http::ParserSink;

// Reads the text in one piece, or byte by byte; returns what came of it.
std::string Read(MessageParser::Kind kind,
                 const std::string& text,
                 std::size_t step) {
  std::string body;
  ParserSink sink;
  sink.on_body_ = [&body](std::string_view data) { body.append(data); };
  MessageParser parser(kind, ParserLimits{4096, 4096}, sink);
  std::string pending;
  for (std::size_t at = 0; at < text.size(); at += step) {
    pending += text.substr(at, step);
    pending.erase(0, parser.Feed(pending));
    if (parser.IsDone() ||
        parser.Error() != siskindrum::http::ParseError::kNone) {
      break;
    }
  }
  parser.FeedEof();
  if (parser.Error() != siskindrum::http::ParseError::kNone) {
    return "error";
  }
  return parser.GetHead().method_ + parser.GetHead().target_ + body;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  for (const auto kind :
       {MessageParser::Kind::kRequest, MessageParser::Kind::kResponse}) {
    const std::string whole = Read(kind, text, text.size() + 1);
    const std::string pieces = Read(kind, text, 1);
    // How bytes are cut must not change what is read.
    if (whole != pieces) {
      std::abort();
    }
  }
  siskindrum::gateway::EventSplitter splitter;
  const std::string passed = ExtractEvents(splitter, text);
  if (passed.size() + splitter.partial_.size() > text.size()) {
    std::abort();
  }
  return 0;
}
