#ifndef SISKINDRUM_BACKEND_ENGINE_H_
#define SISKINDRUM_BACKEND_ENGINE_H_

#include <cstdint>
#include <functional>
#include <string>

#include <tl/expected.hpp>

#include "siskindrum/backend/http_call.h"
#include "siskindrum/core/delivery.h"
#include "siskindrum/core/fleet.h"
#include "siskindrum/core/types.h"
#include "siskindrum/core/verdict.h"

namespace siskindrum::backend {

struct PrefillOrder {
  std::string address_;
  core::RequestId request_;
  std::uint32_t attempt_ = 0;
  std::string owner_;  // Name of this entry.
  std::string prompt_;
  std::uint32_t prompt_tokens_ = 0;
  std::uint64_t prefix_hash_ = 0;
  std::uint32_t prefix_tokens_ = 0;
  core::Priority priority_ = core::Priority::kNormal;
  core::Milliseconds hold_{0};
  core::Milliseconds silence_timeout_{10000};
};

struct PrefillResult {
  std::string handle_;
  core::Milliseconds hold_{0};  // How long the engine keeps the result.
};

struct DecodeOrder {
  std::string address_;
  std::string source_address_;  // Prefill engine that exports the result.
  std::string handle_;
  core::RequestId request_;
  std::uint32_t attempt_ = 0;
  std::string owner_;
  std::uint32_t prompt_tokens_ = 0;
  std::uint32_t max_tokens_ = 0;
  std::uint32_t from_position_ = 0;
  std::string seed_text_;  // The caller's prompt, without what was answered.
  core::Priority priority_ = core::Priority::kNormal;
  core::Milliseconds silence_timeout_{10000};
};

// One line of a decode stream.
struct DecodeLine {
  enum class Kind { kImported, kToken, kFinished, kEvicted, kCount };
  Kind kind_ = Kind::kToken;
  core::TokenId stamp_;
  std::string text_;
  std::string finish_reason_;
};

// How a decode stream ended.
struct DecodeEnd {
  bool imported_ = false;
  bool finished_ = false;
  std::string finish_reason_;
  core::Verdict verdict_;  // When it did not finish.
};

// Receives each line; false ends the stream.
using LineSink = std::function<bool(const DecodeLine& line)>;

// The functions of one engine dialect.
struct EngineDialect {
  const char* name_;
  tl::expected<PrefillResult, core::Verdict> (*prefill_)(HttpCall& call,
                                                         const PrefillOrder&);
  DecodeEnd (*decode_)(HttpCall& call, const DecodeOrder&, const LineSink&);
  // True when the engine holds nothing for the request any more.
  bool (*cancel_)(const std::string& address, const core::RequestId& request);
  tl::expected<core::LoadReport, core::Verdict> (*load_)(
      const std::string& address);
};

// The dialect described in docs/BACKENDS.md. Thread-safe: yes.
const EngineDialect& LineEngine();

// Parsers of the dialect's answers; the error says what was expected.
// Thread-safe: yes.
tl::expected<DecodeLine, std::string> ParseDecodeLine(const std::string& text);
tl::expected<core::LoadReport, std::string> ParseLoad(const std::string& text);
tl::expected<PrefillResult, std::string> ParsePrefill(const std::string& text);

}  // namespace siskindrum::backend

#endif  // SISKINDRUM_BACKEND_ENGINE_H_
