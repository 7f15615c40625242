#include "siskindrum/entry/openai.h"

#include <algorithm>
#include <set>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace siskindrum::entry {

namespace {

using Json = nlohmann::json;
using core::Reason;
using core::RunState;

constexpr std::uint32_t kMaxAnswerTokens = 1'000'000;
constexpr std::size_t kBytesPerToken = 4;

std::string Write(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// Appends the text of a message's content, which may be a list of parts.
bool AppendContent(const Json& content, std::string* out) {
  if (content.is_null()) {
    return true;
  }
  if (content.is_string()) {
    absl::StrAppend(out, content.get_ref<const std::string&>(), "\n");
    return true;
  }
  if (!content.is_array()) {
    return false;
  }
  for (const Json& part : content) {
    const auto text = part.is_object() ? part.find("text") : part.end();
    if (part.is_object() && text != part.end() && text->is_string()) {
      absl::StrAppend(out, text->get_ref<const std::string&>(), "\n");
    }
  }
  return true;
}

tl::expected<void, BodyError> TakeMessages(const Json& json,
                                           std::string* prompt) {
  const auto messages = json.find("messages");
  if (messages == json.end() || !messages->is_array() || messages->empty()) {
    return tl::unexpected(BodyError{"messages", "expected a list of messages"});
  }
  for (const Json& message : *messages) {
    if (!message.is_object() || !message.contains("role") ||
        !message["role"].is_string()) {
      return tl::unexpected(
          BodyError{"messages", "every message needs a role"});
    }
    absl::StrAppend(prompt, message["role"].get_ref<const std::string&>(),
                    ": ");
    if (!AppendContent(message.value("content", Json()), prompt)) {
      return tl::unexpected(
          BodyError{"messages", "content must be text or a list of parts"});
    }
  }
  return {};
}

tl::expected<void, BodyError> TakePrompt(const Json& json,
                                         std::string* prompt) {
  const auto it = json.find("prompt");
  if (it == json.end()) {
    return tl::unexpected(BodyError{"prompt", "is missing"});
  }
  if (it->is_string()) {
    *prompt = it->get<std::string>();
    return {};
  }
  // A list with one text is one prompt; several would be several requests.
  if (it->is_array() && it->size() == 1 && it->at(0).is_string()) {
    *prompt = it->at(0).get<std::string>();
    return {};
  }
  return tl::unexpected(BodyError{"prompt", "expected one text"});
}

tl::expected<void, BodyError> TakeMaxTokens(const Json& json,
                                            std::uint32_t* out) {
  for (const char* key : {"max_completion_tokens", "max_tokens"}) {
    const auto it = json.find(key);
    if (it == json.end() || it->is_null()) {
      continue;
    }
    if (!it->is_number_unsigned() || it->get<std::uint64_t>() == 0 ||
        it->get<std::uint64_t>() > kMaxAnswerTokens) {
      return tl::unexpected(BodyError{
          key, absl::StrCat("expected a number from 1 to ", kMaxAnswerTokens)});
    }
    *out = it->get<std::uint32_t>();
    return {};
  }
  return {};
}

// The API calls its own class of errors by these names.
const char* ErrorType(const core::Verdict& verdict) {
  switch (verdict.reason_) {
    case Reason::kOrganisationLimit:
      return "rate_limit_error";
    case Reason::kKeyMalformed:
    case Reason::kNoRule:
      return "invalid_request_error";
    case Reason::kRefusedByRule:
      return "permission_error";
    default:
      return "server_error";
  }
}

std::string MessageOf(const core::Verdict& verdict) {
  const char* ran =
      verdict.run_state_ == RunState::kNotRun ? "the request did not run"
      : verdict.run_state_ == RunState::kRan  ? "the request ran"
                                              : "the request may have run";
  return absl::StrCat(core::ToString(verdict.reason_),
                      verdict.detail_.empty() ? "" : ": ", verdict.detail_,
                      "; ", ran);
}

Json ErrorJson(const core::Verdict& verdict) {
  return {{"error",
           {{"message", MessageOf(verdict)},
            {"type", ErrorType(verdict)},
            {"param", nullptr},
            {"code", core::ToString(verdict.reason_)},
            {"verdict", core::ToString(verdict.run_state_)}}}};
}

}  // namespace

tl::expected<CompletionRequest, BodyError> ParseCompletion(
    const std::string& body,
    bool chat) {
  const Json json = Json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) {
    return tl::unexpected(BodyError{"", "expected one JSON object"});
  }
  CompletionRequest request;
  request.chat_ = chat;
  const auto model = json.find("model");
  if (model == json.end() || !model->is_string()) {
    return tl::unexpected(BodyError{"model", "expected the name of a model"});
  }
  request.model_ = model->get<std::string>();
  auto taken = chat ? TakeMessages(json, &request.prompt_)
                    : TakePrompt(json, &request.prompt_);
  if (taken.has_value()) {
    taken = TakeMaxTokens(json, &request.max_tokens_);
  }
  if (!taken.has_value()) {
    return tl::unexpected(taken.error());
  }
  const auto stream = json.find("stream");
  if (stream != json.end() && !stream->is_boolean() && !stream->is_null()) {
    return tl::unexpected(BodyError{"stream", "expected true or false"});
  }
  request.stream_ =
      stream != json.end() && stream->is_boolean() && stream->get<bool>();
  const auto count = json.find("n");
  if (count != json.end() && !count->is_null() && *count != 1) {
    return tl::unexpected(BodyError{"n", "only one answer is given"});
  }
  const auto priority = json.find("priority");
  if (priority != json.end() && priority->is_string() &&
      !core::ParsePriority(priority->get<std::string>(), &request.priority_)) {
    return tl::unexpected(
        BodyError{"priority", "expected low, normal or high"});
  }
  return request;
}

std::uint32_t EstimateTokens(const std::string& text) {
  return static_cast<std::uint32_t>(
      std::max<std::size_t>(1, text.size() / kBytesPerToken));
}

std::string FormatChunk(const AnswerIdentity& identity,
                        const std::string& text,
                        const std::string& finish_reason) {
  Json choice = {{"index", 0},
                 {"finish_reason",
                  finish_reason.empty() ? Json(nullptr) : Json(finish_reason)}};
  if (identity.chat_) {
    choice["delta"] = text.empty() ? Json::object() : Json{{"content", text}};
  } else {
    choice["text"] = text;
  }
  const Json chunk = {
      {"id", identity.id_},
      {"object", identity.chat_ ? "chat.completion.chunk" : "text_completion"},
      {"created", identity.created_},
      {"model", identity.model_},
      {"choices", Json::array({choice})}};
  return absl::StrCat("data: ", Write(chunk), "\n\n");
}

std::string FormatDone() {
  return "data: [DONE]\n\n";
}

std::string FormatStreamError(const core::Verdict& verdict) {
  return absl::StrCat("data: ", Write(ErrorJson(verdict)), "\n\n");
}

std::string FormatWhole(const AnswerIdentity& identity,
                        const std::string& text,
                        const std::string& finish_reason,
                        std::uint32_t prompt_tokens,
                        std::uint32_t completion_tokens) {
  Json choice = {{"index", 0}, {"finish_reason", finish_reason}};
  if (identity.chat_) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  return Write(
      {{"id", identity.id_},
       {"object", identity.chat_ ? "chat.completion" : "text_completion"},
       {"created", identity.created_},
       {"model", identity.model_},
       {"choices", Json::array({choice})},
       {"usage",
        {{"prompt_tokens", prompt_tokens},
         {"completion_tokens", completion_tokens},
         {"total_tokens", prompt_tokens + completion_tokens}}}});
}

std::string FormatError(const core::Verdict& verdict) {
  return Write(ErrorJson(verdict));
}

std::string FormatBodyError(const BodyError& error) {
  return Write(
      {{"error",
        {{"message",
          absl::StrCat(error.field_, error.field_.empty() ? "" : ": ",
                       error.message_)},
         {"type", "invalid_request_error"},
         {"param", error.field_.empty() ? Json(nullptr) : Json(error.field_)},
         {"code", "invalid_body"},
         {"verdict", "not_run"}}}});
}

int StatusOf(const core::Verdict& verdict) {
  switch (verdict.reason_) {
    case Reason::kNoRule:
      return 404;
    case Reason::kRefusedByRule:
      return 403;
    case Reason::kOrganisationLimit:
      return 429;
    case Reason::kKeyMalformed:
    case Reason::kTooLarge:
      return 400;
    case Reason::kKeyClosed:
    case Reason::kKeyUnknownPast:
    case Reason::kKeyAnswerDropped:
      return 409;
    default:
      return verdict.run_state_ == RunState::kNotRun ? 503 : 502;
  }
}

std::string FormatModels(const core::RuleSet& rules) {
  std::set<std::string> names;
  for (const core::Rule& rule : rules.rules_) {
    const std::string& model = rule.match_.model_;
    if (!model.empty() && model.find('*') == std::string::npos) {
      names.insert(model);
    }
  }
  Json data = Json::array();
  for (const std::string& name : names) {
    data.push_back(
        {{"id", name}, {"object", "model"}, {"owned_by", "siskindrum"}});
  }
  return Write({{"object", "list"}, {"data", data}});
}

}  // namespace siskindrum::entry
