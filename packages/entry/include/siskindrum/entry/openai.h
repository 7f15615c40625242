#ifndef SISKINDRUM_ENTRY_OPENAI_H_
#define SISKINDRUM_ENTRY_OPENAI_H_

#include <cstdint>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "siskindrum/core/rule.h"
#include "siskindrum/core/types.h"
#include "siskindrum/core/verdict.h"

namespace siskindrum::entry {

// A completion or chat completion as its caller asked for it.
struct CompletionRequest {
  bool chat_ = false;
  bool stream_ = false;
  std::string model_;
  std::string prompt_;  // Of a chat: its messages, one line each.
  std::uint32_t max_tokens_ = 256;
  core::Priority priority_ = core::Priority::kNormal;
};

// A field of a request body that cannot be used.
struct BodyError {
  std::string field_;
  std::string message_;
};

// Parses the body of /v1/completions or /v1/chat/completions. Unknown fields
// are accepted and ignored. Thread-safe: yes.
tl::expected<CompletionRequest, BodyError> ParseCompletion(
    const std::string& body,
    bool chat);

// Tokens of a text, estimated from its length. Thread-safe: yes.
std::uint32_t EstimateTokens(const std::string& text);

// Identity of an answer, the same in all of its parts.
struct AnswerIdentity {
  std::string id_;
  std::string model_;
  std::int64_t created_ = 0;  // Unix time in seconds.
  bool chat_ = false;
};

// One server-sent event with a piece of the answer; `finish_reason` is empty
// until the last. Thread-safe: yes.
std::string FormatChunk(const AnswerIdentity& identity,
                        const std::string& text,
                        const std::string& finish_reason);

// The event that ends a whole stream. Thread-safe: yes.
std::string FormatDone();

// The event that ends a stream which is not whole. Thread-safe: yes.
std::string FormatStreamError(const core::Verdict& verdict);

// A whole answer. Thread-safe: yes.
std::string FormatWhole(const AnswerIdentity& identity,
                        const std::string& text,
                        const std::string& finish_reason,
                        std::uint32_t prompt_tokens,
                        std::uint32_t completion_tokens);

// An error in the shape that clients of the API expect. Thread-safe: yes.
std::string FormatError(const core::Verdict& verdict);
std::string FormatBodyError(const BodyError& error);

// HTTP status for a verdict. Thread-safe: yes.
int StatusOf(const core::Verdict& verdict);

// The answer to /v1/models: the models that rules name. Thread-safe: yes.
std::string FormatModels(const core::RuleSet& rules);

}  // namespace siskindrum::entry

#endif  // SISKINDRUM_ENTRY_OPENAI_H_
