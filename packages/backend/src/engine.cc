#include "siskindrum/backend/engine.h"

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace siskindrum::backend {

namespace {

using Json = nlohmann::json;
using core::Reason;
using core::RunState;
using core::Verdict;

constexpr int kOk = 200;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;
constexpr int kGone = 410;  // The prefill result was evicted.
constexpr std::size_t kMaxLineBytes = 64 * 1024;
constexpr core::Milliseconds kControlTimeout{1000};

// Turns an answer other than 200 into a verdict, by the engine contract.
Verdict VerdictOf(const HttpAnswer& answer, const std::string& address) {
  Verdict verdict;
  verdict.detail_ = absl::StrCat(address, " answered ", answer.status_);
  if (answer.status_ == kGone) {
    verdict.run_state_ = RunState::kNotRun;
    verdict.reason_ = Reason::kEvicted;
  } else if (answer.status_ == kTooMany || answer.status_ == kUnavailable ||
             answer.not_run_) {
    verdict.run_state_ = RunState::kNotRun;
    verdict.reason_ = Reason::kServerRefused;
  } else {
    verdict.run_state_ = RunState::kMayHaveRun;
    verdict.reason_ = Reason::kServerError;
  }
  return verdict;
}

Verdict BadAnswer(const std::string& address, const std::string& what) {
  return {RunState::kMayHaveRun, Reason::kBadAnswer,
          absl::StrCat(address, ": ", what), core::Milliseconds(0)};
}

Json Parse(const std::string& text) {
  return Json::parse(text, nullptr, /*allow_exceptions=*/false);
}

// Takes a field when it has the right type and leaves `out` as it is otherwise.
bool TakeUnsigned(const Json& json, const char* key, std::uint32_t* out) {
  const auto it = json.find(key);
  if (it == json.end() || !it->is_number_unsigned() ||
      it->get<std::uint64_t>() > UINT32_MAX) {
    return false;
  }
  *out = it->get<std::uint32_t>();
  return true;
}

bool TakeString(const Json& json, const char* key, std::string* out) {
  const auto it = json.find(key);
  if (it == json.end() || !it->is_string()) {
    return false;
  }
  *out = it->get<std::string>();
  return true;
}

bool TakeRequest(const Json& json, core::RequestId* out) {
  std::string text;
  return TakeString(json, "request", &text) && core::ParseRequestId(text, out);
}

std::string Write(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

tl::expected<PrefillResult, Verdict> Prefill(HttpCall& call,
                                             const PrefillOrder& order) {
  HttpRequest http;
  http.address_ = order.address_;
  http.path_ = "/engine/prefill";
  http.silence_timeout_ = order.silence_timeout_;
  http.body_ = Write({{"request", core::ToString(order.request_)},
                      {"attempt", order.attempt_},
                      {"owner", order.owner_},
                      {"prompt", order.prompt_},
                      {"prompt_tokens", order.prompt_tokens_},
                      {"prefix", absl::StrCat(order.prefix_hash_)},
                      {"prefix_tokens", order.prefix_tokens_},
                      {"priority", core::ToString(order.priority_)},
                      {"hold_ms", order.hold_.count()}});
  auto answer = call.Run(http);
  if (!answer.has_value()) {
    return tl::unexpected(answer.error());
  }
  if (answer->status_ != kOk) {
    return tl::unexpected(VerdictOf(*answer, order.address_));
  }
  auto result = ParsePrefill(answer->body_);
  if (!result.has_value()) {
    return tl::unexpected(BadAnswer(order.address_, result.error()));
  }
  return *result;
}

// Cuts a byte stream into lines and hands each to `sink`.
struct LineReader {
  const LineSink& sink_;
  DecodeEnd& end_;
  std::string pending_{};
};

bool TakeLine(LineReader& reader, const std::string& text) {
  const auto line = ParseDecodeLine(text);
  if (!line.has_value()) {
    reader.end_.verdict_ = {RunState::kMayHaveRun, Reason::kBadAnswer,
                            line.error(), core::Milliseconds(0)};
    return false;
  }
  switch (line->kind_) {
    case DecodeLine::Kind::kImported:
      reader.end_.imported_ = true;
      break;
    case DecodeLine::Kind::kFinished:
      reader.end_.finished_ = true;
      reader.end_.finish_reason_ = line->finish_reason_;
      break;
    case DecodeLine::Kind::kEvicted:
      reader.end_.verdict_ = {RunState::kMayHaveRun, Reason::kEvicted,
                              "the prefill result was evicted",
                              core::Milliseconds(0)};
      return false;
    default:
      break;
  }
  return reader.sink_(*line);
}

bool TakeBytes(LineReader& reader, const char* data, std::size_t size) {
  reader.pending_.append(data, size);
  std::size_t start = 0;
  while (true) {
    const std::size_t end = reader.pending_.find('\n', start);
    if (end == std::string::npos) {
      break;
    }
    if (!TakeLine(reader, reader.pending_.substr(start, end - start))) {
      return false;
    }
    start = end + 1;
  }
  reader.pending_.erase(0, start);
  return reader.pending_.size() <= kMaxLineBytes;
}

DecodeEnd Decode(HttpCall& call,
                 const DecodeOrder& order,
                 const LineSink& sink) {
  HttpRequest http;
  http.address_ = order.address_;
  http.path_ = "/engine/decode";
  http.silence_timeout_ = order.silence_timeout_;
  http.body_ = Write({{"request", core::ToString(order.request_)},
                      {"attempt", order.attempt_},
                      {"owner", order.owner_},
                      {"source", order.source_address_},
                      {"handle", order.handle_},
                      {"prompt_tokens", order.prompt_tokens_},
                      {"max_tokens", order.max_tokens_},
                      {"from_position", order.from_position_},
                      {"seed_text", order.seed_text_},
                      {"priority", core::ToString(order.priority_)}});
  DecodeEnd end;
  LineReader reader{sink, end};
  auto answer = call.Run(http, [&](const char* data, std::size_t size) {
    return TakeBytes(reader, data, size);
  });
  if (end.finished_ || end.verdict_.reason_ != Reason::kNone) {
    return end;
  }
  if (!answer.has_value()) {
    end.verdict_ = answer.error();
  } else if (answer->status_ != kOk) {
    end.verdict_ = VerdictOf(*answer, order.address_);
  } else {
    end.verdict_ = {RunState::kMayHaveRun, Reason::kConnectionLost,
                    "the stream ended before its last line",
                    core::Milliseconds(0)};
  }
  return end;
}

bool Cancel(const std::string& address, const core::RequestId& request) {
  HttpCall call;
  HttpRequest http;
  http.address_ = address;
  http.path_ = "/engine/cancel";
  http.connect_timeout_ = kControlTimeout;
  http.silence_timeout_ = kControlTimeout;
  http.body_ = Write({{"request", core::ToString(request)}});
  const auto answer = call.Run(http);
  return answer.has_value() && answer->status_ == kOk;
}

tl::expected<core::LoadReport, Verdict> Load(const std::string& address) {
  HttpCall call;
  HttpRequest http;
  http.address_ = address;
  http.method_ = "GET";
  http.path_ = "/engine/load";
  http.connect_timeout_ = kControlTimeout;
  http.silence_timeout_ = kControlTimeout;
  const auto answer = call.Run(http);
  if (!answer.has_value()) {
    return tl::unexpected(answer.error());
  }
  if (answer->status_ != kOk) {
    return tl::unexpected(VerdictOf(*answer, address));
  }
  auto report = ParseLoad(answer->body_);
  if (!report.has_value()) {
    return tl::unexpected(BadAnswer(address, report.error()));
  }
  return *report;
}

}  // namespace

tl::expected<PrefillResult, std::string> ParsePrefill(const std::string& text) {
  const Json json = Parse(text);
  PrefillResult result;
  std::uint32_t hold = 0;
  if (!json.is_object() || !TakeString(json, "handle", &result.handle_) ||
      !TakeUnsigned(json, "hold_ms", &hold)) {
    return tl::unexpected(
        std::string("expected {\"handle\": TEXT, \"hold_ms\": NUMBER}"));
  }
  result.hold_ = core::Milliseconds(hold);
  return result;
}

tl::expected<DecodeLine, std::string> ParseDecodeLine(const std::string& text) {
  const Json json = Parse(text);
  DecodeLine line;
  if (!json.is_object()) {
    return tl::unexpected(std::string("expected one JSON object a line"));
  }
  if (json.contains("imported")) {
    line.kind_ = DecodeLine::Kind::kImported;
    return line;
  }
  if (json.contains("evicted")) {
    line.kind_ = DecodeLine::Kind::kEvicted;
    return line;
  }
  if (TakeString(json, "finished", &line.finish_reason_)) {
    line.kind_ = DecodeLine::Kind::kFinished;
    return line;
  }
  if (!TakeRequest(json, &line.stamp_.request_) ||
      !TakeUnsigned(json, "attempt", &line.stamp_.attempt_) ||
      !TakeUnsigned(json, "position", &line.stamp_.position_) ||
      !TakeString(json, "text", &line.text_)) {
    return tl::unexpected(
        std::string("expected a token with request, attempt, position, text"));
  }
  return line;
}

tl::expected<core::LoadReport, std::string> ParseLoad(const std::string& text) {
  const Json json = Parse(text);
  core::LoadReport report;
  if (!json.is_object() || !TakeUnsigned(json, "running", &report.running_) ||
      !TakeUnsigned(json, "slots", &report.slots_)) {
    return tl::unexpected(
        std::string("expected an object with running and slots"));
  }
  TakeUnsigned(json, "free_pieces", &report.free_pieces_);
  TakeUnsigned(json, "total_pieces", &report.total_pieces_);
  TakeUnsigned(json, "prefill_backlog_tokens", &report.prefill_backlog_tokens_);
  TakeUnsigned(json, "prefill_tokens_per_second",
               &report.prefill_tokens_per_second_);
  const auto draining = json.find("draining");
  report.draining_ =
      draining != json.end() && draining->is_boolean() && draining->get<bool>();
  const auto held = json.find("held");
  if (held == json.end() || !held->is_array()) {
    return report;
  }
  for (const Json& row : *held) {
    core::HeldRequest request;
    std::uint32_t age = 0;
    if (!row.is_object() || !TakeRequest(row, &request.request_) ||
        !TakeString(row, "owner", &request.owner_)) {
      continue;  // Another client's request: not ours to judge.
    }
    TakeUnsigned(row, "age_ms", &age);
    request.age_ = core::Milliseconds(age);
    report.held_.push_back(std::move(request));
  }
  return report;
}

const EngineDialect& LineEngine() {
  static constexpr EngineDialect kDialect = {"line", Prefill, Decode, Cancel,
                                             Load};
  return kDialect;
}

}  // namespace siskindrum::backend
