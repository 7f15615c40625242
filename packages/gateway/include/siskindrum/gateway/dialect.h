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

// Data of one attempt that is added to the caller's request for a server.
struct AttemptFields {
  dispatch::Stage stage_ = dispatch::Stage::kPlain;
  std::string server_;               // Name of the server in the server list.
  core::Milliseconds time_left_{0};  // Remaining time until the deadline.
  // Server and handle of a prefill result; empty: none.
  std::string source_address_;
  std::string handle_;
  // Server that may have the prompt in its cache; empty: none.
  std::string fetch_address_;
  std::string hold_;  // ID of a memory reservation; empty: none.
  // Organisation of the caller; empty: none.
  std::string organisation_;
  // The deployment has organisations: their keys are not passed on.
  bool removes_key_ = false;
  std::optional<std::uint32_t> priority_;  // For engines; lowest is first.
  // ID of the last event that the caller has, when a stream is resumed.
  std::optional<std::uint64_t> resume_after_;
};

// A request that the gateway itself makes of a server, as opposed to a caller's
// request that it forwards.
struct ControlRequest {
  http::Head head_;
  std::string body_;
};

// Which request an answer belongs to, by the request ID in its head.
enum class AnswerMatch {
  kThisRequest,
  kOtherRequest,  // The ID of another request.
  kUnknown,       // The head has no request ID.
  kCount
};

// The fields of an answer's head that the gateway needs.
struct AnswerFields {
  AnswerMatch match_ = AnswerMatch::kUnknown;
  bool not_run_ = false;  // The server states that it did not run the request.
  bool authentic_ = false;  // The answer has the server's signature.
  // The server states that the request was meant for another server.
  bool misdirected_ = false;
  bool leaving_ = false;  // The server announces its shutdown.
  // How long a server that refuses wants no requests, and its own words for it;
  // zero: it asks for no pause.
  core::Milliseconds pause_{0};
  std::string pause_text_;
};

// Functions that translate between the gateway's structures and the HTTP
// headers and bodies of one platform. Only the platform's adapter knows its
// protocol. All functions are thread-safe.
struct Dialect {
  // Reads the fields that decisions need; the error names the invalid field.
  tl::expected<dispatch::CallerCall, std::string> (*read_call_)(
      const http::Head& head) = nullptr;
  // Reads the key of the caller's organisation; empty: none. Null: callers send
  // no keys.
  std::string (*read_key_)(const http::Head& head) = nullptr;
  // Makes the head for a server, without the fields that frame the body.
  http::Head (*make_server_head_)(const http::Head& caller_head,
                                  const AttemptFields& fields) = nullptr;
  AnswerFields (*read_answer_)(const http::Head& head,
                               const std::string& label) = nullptr;
  // Reads the handle of a prefill result.
  tl::expected<std::string, std::string> (*read_prefill_)(
      std::string_view body) = nullptr;
  // Makes the answer for a request that no server has answered.
  http::Head (*make_refusal_)(const core::Verdict& verdict,
                              const std::string& label) = nullptr;
  // Makes the request that frees a prefill result on its engine.
  ControlRequest (*make_free_handle_request_)(const std::string& handle) =
      nullptr;
  // Make the request that reserves memory on an engine, read its answer, and
  // make the request that releases the reservation.
  ControlRequest (*make_reserve_request_)(const std::string& server,
                                          std::uint32_t tokens,
                                          core::Milliseconds time) = nullptr;
  tl::expected<std::string, std::string> (*read_reservation_)(
      std::string_view body) = nullptr;
  ControlRequest (*make_release_request_)(const std::string& hold) = nullptr;
  // Make the request for the prompts in an engine's cache, and read the prompt
  // IDs in its answer.
  ControlRequest (*make_list_prompts_request_)(const std::string& server) =
      nullptr;
  tl::expected<std::vector<std::uint64_t>, std::string> (*read_prompt_list_)(
      std::string_view body) = nullptr;
  // Make the request for the requests that an engine runs, and read their
  // callers' labels in its answer.
  ControlRequest (*make_list_runs_request_)(const std::string& server) =
      nullptr;
  tl::expected<std::vector<std::string>, std::string> (*read_run_list_)(
      std::string_view body) = nullptr;
  // Makes the order that switches a prefill engine to decode. `holder` is the
  // name of the sender, `fence` its fencing number.
  ControlRequest (*make_decode_order_)(const std::string& server,
                                       const std::string& holder,
                                       std::uint64_t fence) = nullptr;
};

}  // namespace siskindrum::gateway

#endif  // SISKINDRUM_GATEWAY_DIALECT_H_
