#ifndef SISKINDRUM_HTTP_PARSER_H_
#define SISKINDRUM_HTTP_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "siskindrum/http/message.h"

namespace siskindrum::http {

enum class ParseError {
  kNone,
  kMalformed,  // Also a status out of range, or ambiguous framing of the body.
  kHeadTooLarge,
  kBodyTooLarge,
  kFramingTooLarge,  // A chunk header, or the trailers.
  kIncomplete,       // The connection closed within the message.
  kCount
};

// Returns the error in snake_case. Thread-safe: yes.
const char* ToString(ParseError error);

struct ParserLimits {
  std::uint32_t head_bytes_ = 16 * 1024;
  std::uint64_t body_bytes_ = 4 * 1024 * 1024;  // Zero: no limit.
  // Of one chunk header, and of all trailers.
  std::uint32_t framing_bytes_ = 16 * 1024;
};

// Callbacks of a parser. Both are optional.
struct ParserSink {
  std::function<void()> on_head_;
  std::function<void(std::string_view)> on_body_;
};

// Incremental parser of one HTTP/1 message. Does no I/O. Requires: all that the
// sink's callbacks refer to outlives the parser.
// Thread-safe: no.
class MessageParser {
 public:
  enum class Kind { kRequest, kResponse, kCount };

  MessageParser(Kind kind, const ParserLimits& limits, ParserSink sink);
  ~MessageParser();
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  // Parses bytes and returns how many were consumed. Remaining bytes belong to
  // the next message if IsDone(); otherwise pass them again, followed by more
  // input. Their number is bounded by the limits on the head and the framing.
  std::size_t Feed(std::string_view bytes);

  // Signals an orderly end of the connection. Completes an answer whose body is
  // delimited by the end of the connection; any other incomplete message fails.
  void FeedEof();

  // Call before the first byte of an answer without a body, as for HEAD.
  void ExpectNoBody();

  bool IsStarted() const;  // At least one byte was parsed.
  bool IsHeadDone() const;
  bool IsDone() const;
  // True when the end of the connection delimits the body. Requires:
  // IsHeadDone().
  bool EndsWithConnection() const;
  ParseError Error() const;
  const Head& GetHead() const;
  Head& GetHead();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace siskindrum::http

#endif  // SISKINDRUM_HTTP_PARSER_H_
