#include "siskindrum/http/parser.h"

#include <limits>
#include <utility>
#include <variant>

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

namespace siskindrum::http {

namespace {

namespace beast = boost::beast;
using beast::error_code;

// Length of the shortest last chunk. Beast requires as many bytes when it
// parses an incomplete one again; at least as many follow the beginning of any
// chunk.
constexpr std::size_t kShortestLastChunk = 5;

// Statuses outside this range are invalid (RFC 9110, 15).
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;

// The part of a message parsed so far. Shared by the request and the response
// parser.
struct ParsedMessage {
  Head head_;
  ParserSink sink_;
  bool head_done_ = false;
};

// Returns false when more than one field determines the length of the body, or
// the transfer encoding is unknown. Another HTTP implementation might then see
// a different end of the body (request smuggling).
bool HasUnambiguousFraming(const Head& head) {
  int lengths = 0;
  int encodings = 0;
  for (const Field& field : head.fields_) {
    lengths += EqualsCaseInsensitive(field.name_, "Content-Length") ? 1 : 0;
    if (EqualsCaseInsensitive(field.name_, "Transfer-Encoding")) {
      ++encodings;
      if (!EqualsCaseInsensitive(field.value_, "chunked")) {
        return false;
      }
    }
  }
  return lengths + encodings <= 1;
}

// Stores what Boost.Beast's parser reads in a ParsedMessage.
template <bool kIsRequest>
class BeastParser : public beast::http::basic_parser<kIsRequest> {
 public:
  explicit BeastParser(ParsedMessage& message) : message_(message) {}

 private:
  using string_view = beast::string_view;

  void on_request_impl(beast::http::verb /*method*/,
                       string_view method,
                       string_view target,
                       int version,
                       error_code& /*error*/) override {
    message_.head_.method_ = std::string(method);
    message_.head_.target_ = std::string(target);
    message_.head_.version_ = version;
  }
  void on_response_impl(int status,
                        string_view reason,
                        int version,
                        error_code& error) override {
    if (status < kMinStatus || status > kMaxStatus) {
      error = beast::http::error::bad_status;
      return;
    }
    message_.head_.status_ = status;
    message_.head_.reason_ = std::string(reason);
    message_.head_.version_ = version;
  }
  void on_field_impl(beast::http::field /*name*/,
                     string_view name,
                     string_view value,
                     error_code& /*error*/) override {
    if (!message_.head_done_) {
      message_.head_.fields_.push_back({std::string(name), std::string(value)});
    }
  }
  void on_header_impl(error_code& error) override {
    if (!HasUnambiguousFraming(message_.head_)) {
      error = beast::http::error::bad_transfer_encoding;
      return;
    }
    message_.head_done_ = true;
    if (message_.sink_.on_head_) {
      message_.sink_.on_head_();
    }
  }
  void on_body_init_impl(boost::optional<std::uint64_t> const& /*length*/,
                         error_code& /*error*/) override {}
  std::size_t on_body_impl(string_view body, error_code& /*error*/) override {
    PassBody(body);
    return body.size();
  }
  void on_chunk_header_impl(std::uint64_t /*size*/,
                            string_view /*extensions*/,
                            error_code& /*error*/) override {}
  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/,
                                 string_view body,
                                 error_code& /*error*/) override {
    PassBody(body);
    return body.size();
  }
  void on_finish_impl(error_code& /*error*/) override {}

  void PassBody(string_view body) {
    if (message_.sink_.on_body_ && !body.empty()) {
      message_.sink_.on_body_({body.data(), body.size()});
    }
  }

  ParsedMessage& message_;
};

using RequestParser = BeastParser<true>;
using ResponseParser = BeastParser<false>;

ParseError ToParseError(const error_code& error) {
  if (error == beast::http::error::header_limit) {
    return ParseError::kHeadTooLarge;
  }
  if (error == beast::http::error::body_limit) {
    return ParseError::kBodyTooLarge;
  }
  if (error == beast::http::error::partial_message ||
      error == beast::http::error::end_of_stream) {
    return ParseError::kIncomplete;
  }
  return ParseError::kMalformed;
}

}  // namespace

const char* ToString(ParseError error) {
  switch (error) {
    case ParseError::kNone:
      return "none";
    case ParseError::kMalformed:
      return "malformed";
    case ParseError::kHeadTooLarge:
      return "head_too_large";
    case ParseError::kBodyTooLarge:
      return "body_too_large";
    case ParseError::kFramingTooLarge:
      return "framing_too_large";
    case ParseError::kIncomplete:
      return "incomplete";
    case ParseError::kCount:
      break;
  }
  return "unknown";
}

struct MessageParser::State {
  ParsedMessage message_;
  std::variant<std::monostate, RequestParser, ResponseParser> parser_;
  ParseError error_ = ParseError::kNone;
  std::size_t framing_bytes_ = 0;  // Limit.
  bool framing_left_ = false;      // The last input ended within framing.
  bool started_ = false;

  template <class Visitor>
  auto Visit(Visitor visitor) {
    if (auto* request = std::get_if<RequestParser>(&parser_)) {
      return visitor(*request);
    }
    return visitor(std::get<ResponseParser>(parser_));
  }
};

MessageParser::MessageParser(Kind kind,
                             const ParserLimits& limits,
                             ParserSink sink)
    : state_(std::make_unique<State>()) {
  state_->message_.sink_ = std::move(sink);
  state_->framing_bytes_ = limits.framing_bytes_;
  if (kind == Kind::kRequest) {
    state_->parser_.emplace<RequestParser>(state_->message_);
  } else {
    state_->parser_.emplace<ResponseParser>(state_->message_);
  }
  state_->Visit([&limits](auto& parser) {
    parser.eager(true);
    parser.header_limit(limits.head_bytes_);
    parser.body_limit(limits.body_bytes_ == 0
                          ? std::numeric_limits<std::uint64_t>::max()
                          : limits.body_bytes_);
    return 0;
  });
}

MessageParser::~MessageParser() = default;

std::size_t MessageParser::Feed(std::string_view bytes) {
  State& state = *state_;
  if (state.framing_left_ && bytes.size() < kShortestLastChunk) {
    return 0;
  }
  std::size_t used = 0;
  while (used < bytes.size() && !IsDone() &&
         state.error_ == ParseError::kNone) {
    error_code error;
    const std::size_t taken = state.Visit([&](auto& parser) {
      return parser.put(
          boost::asio::const_buffer(bytes.data() + used, bytes.size() - used),
          error);
    });
    state.started_ = true;
    used += taken;
    if (error == beast::http::error::need_more) {
      break;
    }
    if (error) {
      state.error_ = ToParseError(error);
    } else if (taken == 0) {
      break;
    }
  }
  // Within a body, the parser leaves only an incomplete chunk header or
  // incomplete trailers, and Beast limits neither.
  const std::size_t left = bytes.size() - used;
  state.framing_left_ = IsHeadDone() && !IsDone() && left > 0;
  if (state.framing_left_ && state.error_ == ParseError::kNone &&
      left > state.framing_bytes_) {
    state.error_ = ParseError::kFramingTooLarge;
  }
  return used;
}

void MessageParser::FeedEof() {
  State& state = *state_;
  if (IsDone() || state.error_ != ParseError::kNone) {
    return;
  }
  if (!IsHeadDone()) {
    state.error_ = ParseError::kIncomplete;
    return;
  }
  error_code error;
  state.Visit([&error](auto& parser) {
    parser.put_eof(error);
    return 0;
  });
  if (error) {
    state.error_ = ToParseError(error);
  }
}

void MessageParser::ExpectNoBody() {
  if (auto* response = std::get_if<ResponseParser>(&state_->parser_)) {
    response->skip(true);
  }
}

bool MessageParser::IsStarted() const {
  return state_->started_;
}
bool MessageParser::IsHeadDone() const {
  return state_->message_.head_done_;
}
bool MessageParser::IsDone() const {
  return state_->Visit([](auto& parser) { return parser.is_done(); });
}
bool MessageParser::EndsWithConnection() const {
  return state_->Visit([](auto& parser) { return parser.need_eof(); });
}
ParseError MessageParser::Error() const {
  return state_->error_;
}
const Head& MessageParser::GetHead() const {
  return state_->message_.head_;
}
Head& MessageParser::GetHead() {
  return state_->message_.head_;
}

}  // namespace siskindrum::http
