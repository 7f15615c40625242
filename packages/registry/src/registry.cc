#include "siskindrum/registry/registry.h"

#include <set>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace siskindrum::registry {

namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr core::Milliseconds kConnectTimeout{1000};
constexpr core::Milliseconds kAnswerTimeout{3000};

tl::expected<backend::HttpAnswer, std::string> Get(backend::HttpCall& call,
                                                   const std::string& address,
                                                   const std::string& path,
                                                   core::Milliseconds timeout) {
  backend::HttpRequest request;
  request.address_ = address;
  request.method_ = "GET";
  request.path_ = path;
  request.connect_timeout_ = kConnectTimeout;
  request.silence_timeout_ = timeout;
  auto answer = call.Run(request);
  if (!answer.has_value()) {
    return tl::unexpected(answer.error().detail_);
  }
  return *answer;
}

std::string Text(const Json& row, const char* key) {
  const auto it = row.find(key);
  return it != row.end() && it->is_string() ? it->get<std::string>() : "";
}

bool ParseRole(const std::string& text, core::ServerRole* role) {
  for (int i = 0; i < static_cast<int>(core::ServerRole::kCount); ++i) {
    if (text == core::ToString(static_cast<core::ServerRole>(i))) {
      *role = static_cast<core::ServerRole>(i);
      return true;
    }
  }
  return false;
}

// Returns an error text, empty when the row was taken.
std::string TakeRow(const Json& row, core::InstanceListArrived& list) {
  if (!row.is_object()) {
    return "an instance is not an object";
  }
  const std::string name = Text(row, "name");
  const std::string address = Text(row, "address");
  const std::string kind = Text(row, "kind");
  if (name.empty() || address.find(':') == std::string::npos) {
    return "an instance needs name and address";
  }
  const bool leaving = Text(row, "state") == "leaving";
  if (kind == "entry") {
    list.entries_.push_back({name, address, Text(row, "domain"), leaving});
    return "";
  }
  core::ServerInfo info;
  info.name_ = name;
  info.address_ = address;
  info.service_ = Text(row, "service");
  info.domain_ = Text(row, "domain");
  info.leaving_ = leaving;
  if (info.service_.empty() || !ParseRole(Text(row, "role"), &info.role_)) {
    return absl::StrCat("instance ", name, " needs a service and a known role");
  }
  list.servers_.push_back(std::move(info));
  return "";
}

}  // namespace

tl::expected<Published, std::string> ParsePublished(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object() || !json.contains("revision") ||
      !json["revision"].is_number_unsigned() || !json.contains("rules") ||
      !json["rules"].is_string()) {
    return tl::unexpected(
        std::string("expected {\"revision\": NUMBER, \"rules\": TEXT}"));
  }
  return Published{json["revision"].get<std::uint64_t>(),
                   json["rules"].get<std::string>()};
}

tl::expected<core::InstanceListArrived, std::string> ParseInstances(
    const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object() || !json.contains("version") ||
      !json["version"].is_number_unsigned() || !json.contains("instances") ||
      !json["instances"].is_array()) {
    return tl::unexpected(
        std::string("expected {\"version\": NUMBER, \"instances\": [...]}"));
  }
  core::InstanceListArrived list;
  list.version_ = json["version"].get<std::uint64_t>();
  std::set<std::string> names;
  for (const Json& row : json["instances"]) {
    const std::string error = TakeRow(row, list);
    if (!error.empty()) {
      return tl::unexpected(error);
    }
    if (!names.insert(Text(row, "name")).second) {
      return tl::unexpected(
          absl::StrCat("instance ", Text(row, "name"), " stands twice"));
    }
  }
  return list;
}

tl::expected<Published, std::string> FetchConfiguration(
    backend::HttpCall& call,
    const std::string& address,
    std::uint64_t after,
    core::Milliseconds wait) {
  const std::string path =
      absl::StrCat("/configuration?after=", after, "&wait_ms=", wait.count());
  auto answer = Get(call, address, path, wait + kAnswerTimeout);
  if (!answer.has_value()) {
    return tl::unexpected(answer.error());
  }
  if (answer->status_ == kNoContent) {
    return Published{};
  }
  if (answer->status_ != kOk) {
    return tl::unexpected(absl::StrCat(address, " answered ", answer->status_));
  }
  return ParsePublished(answer->body_);
}

tl::expected<core::InstanceListArrived, std::string> FetchInstances(
    backend::HttpCall& call,
    const std::string& address) {
  auto answer = Get(call, address, "/instances", kAnswerTimeout);
  if (!answer.has_value()) {
    return tl::unexpected(answer.error());
  }
  if (answer->status_ != kOk) {
    return tl::unexpected(absl::StrCat(address, " answered ", answer->status_));
  }
  return ParseInstances(answer->body_);
}

}  // namespace siskindrum::registry
