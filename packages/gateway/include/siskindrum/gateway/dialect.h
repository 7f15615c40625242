#ifndef SISKINDRUM_GATEWAY_DIALECT_H_
#define SISKINDRUM_GATEWAY_DIALECT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "siskindrum/core/verdict.h"
#include "siskindrum/dispatch/event.h"
#include "siskindrum/http/message.h"

namespace siskindrum::gateway {

// What one attempt tells a server beside the caller's own request.
struct SendFacts {
  dispatch::Stage stage_ = dispatch::Stage::kPlain;
  std::string server_;               // Its identity in the list.
  core::Milliseconds time_left_{0};  // Until the deadline.
  std::string source_address_;       // Of a prefill result; empty: none.
  std::string handle_;
  std::string fetch_address_;  // Of a server that may keep the prompt.
  std::string hold_;           // Of a reservation; empty: none.
  std::optional<std::uint64_t> resume_after_;
};

// A request of this system's own to a server.
struct OwnRequest {
  http::Head head_;
  std::string body_;
};

// Whose answer it is, by its head.
enum class AnswerOwner {
  kOurs,
  kOther,    // It answers another request.
  kUnnamed,  // It does not say.
  kCount
};

// What an answer's head says.
struct AnswerFacts {
  AnswerOwner owner_ = AnswerOwner::kUnnamed;
  bool not_run_ = false;    // The server says that it did not run the request.
  bool authentic_ = false;  // It bears the server's own mark.
  bool misdirected_ = false;  // The request was not meant for the server.
};

// Names of one platform on the wire: plain functions, so that nothing outside
// the adapter knows them. All are thread-safe.
struct Dialect {
  // Reads what decisions need; the error says what is wrong with the request.
  tl::expected<dispatch::CallerCall, std::string> (*read_call_)(
      const http::Head& head) = nullptr;
  // Makes the head that a server gets, without the framing of the body.
  http::Head (*server_head_)(const http::Head& caller_head,
                             const SendFacts& facts) = nullptr;
  AnswerFacts (*read_answer_)(const http::Head& head,
                              const std::string& label) = nullptr;
  // Reads the handle of a prefill's result.
  tl::expected<std::string, std::string> (*read_prefill_)(
      std::string_view body) = nullptr;
  // Makes the answer for a request that has none from a server.
  http::Head (*refusal_)(const core::Verdict& verdict,
                         const std::string& label) = nullptr;
  // Makes the request that frees a prefill result.
  OwnRequest (*free_handle_)(const std::string& handle) = nullptr;
  // Makes the request that reserves memory, reads its answer, and makes the
  // request that gives the reservation back.
  OwnRequest (*take_hold_)(const std::string& server,
                           std::uint32_t tokens,
                           core::Milliseconds time) = nullptr;
  tl::expected<std::string, std::string> (*read_reservation_)(
      std::string_view body) = nullptr;
  OwnRequest (*drop_hold_)(const std::string& hold) = nullptr;
  // Makes the request for the prompts that an engine keeps, and reads the
  // identities in its answer.
  OwnRequest (*list_kept_)(const std::string& server) = nullptr;
  tl::expected<std::vector<std::uint64_t>, std::string> (*read_prompt_list_)(
      std::string_view body) = nullptr;
  // Makes the order that turns a prefill engine to decode. `holder` names who
  // gives it, `fence` its fencing number.
  OwnRequest (*turn_to_decode_)(const std::string& server,
                                const std::string& holder,
                                std::uint64_t fence) = nullptr;
};

}  // namespace siskindrum::gateway

#endif  // SISKINDRUM_GATEWAY_DIALECT_H_
