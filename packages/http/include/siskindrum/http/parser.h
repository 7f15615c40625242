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
  kMalformed,  // Also a body framed in two ways.
  kHeadTooLarge,
  kBodyTooLarge,
  kIncomplete,  // The connection ended inside the message.
  kCount
};

// Returns the error in snake_case. Thread-safe: yes.
const char* ToString(ParseError error);

struct ParserLimits {
  std::uint32_t head_bytes_ = 16 * 1024;
  std::uint64_t body_bytes_ = 4 * 1024 * 1024;  // Zero: no limit.
};

// What a parser tells while it reads. Both may be empty.
struct ParserSink {
  std::function<void()> on_head_;
  std::function<void(std::string_view)> on_body_;
};

// Incremental parser of one message: it takes bytes and does no input or
// output of its own. Requires: the sink outlives the parser.
// Thread-safe: no.
class MessageParser {
 public:
  enum class Kind { kRequest, kResponse, kCount };

  MessageParser(Kind kind, const ParserLimits& limits, ParserSink sink);
  ~MessageParser();
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  // Takes bytes and returns how many belong to this message; what is left
  // after IsDone() belongs to the next one, what is left before must be
  // offered again with more behind it.
  std::size_t Feed(std::string_view bytes);

  // Tells that the connection ended in order. Completes an answer whose body
  // has no length, and fails any other that is not done.
  void FeedEof();

  // Call before the first byte of an answer that has no body by its request.
  void ExpectNoBody();

  bool IsStarted() const;  // At least one byte was taken.
  bool IsHeadDone() const;
  bool IsDone() const;
  // True when the body ends with its connection. Requires: IsHeadDone().
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
