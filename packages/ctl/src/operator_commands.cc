// Commands that look at rules and at running entries.

#include <chrono>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <utility>
#include <vector>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"
#include "commands_p.h"
#include "siskindrum/backend/http_call.h"
#include "siskindrum/rules/encoding.h"
#include "siskindrum/rules/explain.h"
#include "siskindrum/rules/rules.h"

namespace siskindrum::ctl {

namespace {

namespace po = boost::program_options;
using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr std::chrono::seconds kAnswerLimit{5};
constexpr std::size_t kMaxPageBytes = 64 * 1024 * 1024;

bool ReadFile(const std::string& file, std::string* out) {
  std::ifstream stream(file);
  if (!stream) {
    std::cerr << file << ": the file cannot be opened\n";
    return false;
  }
  std::ostringstream text;
  text << stream.rdbuf();
  *out = text.str();
  return true;
}

// Gets a page of an entry. Prints why to standard error, and returns false,
// when there is no whole answer of status 200.
bool Fetch(const std::string& address,
           const std::string& path,
           std::string* out,
           std::vector<backend::Header> headers = {}) {
  backend::HttpRequest request;
  request.address_ = address;
  request.method_ = "GET";
  request.path_ = path;
  request.headers_ = std::move(headers);
  request.silence_timeout_ = kAnswerLimit;
  request.max_body_bytes_ = kMaxPageBytes;
  backend::HttpCall call;
  auto answer = call.Run(request);
  if (!answer.has_value()) {
    std::cerr << answer.error().detail_ << "\n";
    return false;
  }
  *out = std::move(answer->body_);
  if (answer->status_ != kOk) {
    std::cerr << address << ": " << *out;
    return false;
  }
  return true;
}

int ExplainFile(const po::variables_map& values,
                const core::RequestShape& shape) {
  const auto file = values["rules"].as<std::string>();
  std::string text;
  if (!ReadFile(file, &text)) {
    return kExitUsage;
  }
  const auto parsed = rules::ParseRules(text);
  if (!parsed.has_value()) {
    for (const rules::Problem& problem : parsed.error()) {
      std::cerr << rules::Describe(file, problem) << "\n";
    }
    return kExitBad;
  }
  std::cout << rules::ExplainShape(parsed->rules_, shape);
  return kExitGood;
}

std::string StatusRow(const std::string& address, const Json& dump) {
  std::size_t waiting = 0;
  std::size_t homes = 0;
  for (const Json& cell : dump["cells"]) {
    waiting += cell["waiting"].get<std::size_t>();
    homes += cell["home"] == dump["name"] ? 1 : 0;
  }
  const std::string state = dump["draining"].get<bool>() ? "draining"
                            : dump["ready"].get<bool>()  ? "ready"
                                                         : "not ready";
  return absl::StrFormat("%-18s %-16s %-12s %-9s %8d %6d %8d %6d %7d %8d\n",
                         dump["name"].get<std::string>(), address,
                         dump["domain"].get<std::string>(), state,
                         dump["configuration"]["revision"].get<std::uint64_t>(),
                         dump["live_entries"].get<int>(),
                         dump["requests"].size(), homes, waiting,
                         dump["uptime_ms"].get<std::int64_t>() / 1000);
}

}  // namespace

int CheckCommand(const Arguments& arguments) {
  std::string file;
  po::options_description description("siskindrumctl check FILE");
  description.add_options()("help", "show this text")(
      "file", po::value(&file)->required(), "rules file");
  po::positional_options_description positional;
  positional.add("file", 1);
  po::variables_map values;
  int exit_code = 0;
  if (!ParseOptions(arguments, description, positional, &values, &exit_code)) {
    return exit_code;
  }
  std::string text;
  if (!ReadFile(file, &text)) {
    return kExitUsage;
  }
  const auto parsed = rules::ParseRules(text);
  if (!parsed.has_value()) {
    for (const rules::Problem& problem : parsed.error()) {
      std::cout << rules::Describe(file, problem) << "\n";
    }
    return kExitBad;
  }
  for (const rules::Problem& warning : parsed->warnings_) {
    std::cout << rules::Describe(file, warning) << " (warning)\n";
  }
  std::cout << file << ": " << parsed->rules_.rules_.size() << " rules, "
            << parsed->rules_.seats_.size() << " seats, good\n";
  return kExitGood;
}

int ExplainCommand(const Arguments& arguments) {
  std::string priority = "normal";
  std::string entry;
  std::string request;
  std::string rules;
  core::RequestShape shape;
  po::options_description description(
      "siskindrumctl explain --rules FILE [request] | --entry IP:PORT "
      "--request ID");
  description.add_options()("help", "show this text")(
      "rules", po::value(&rules), "rules file to ask")(
      "entry", po::value(&entry), "operators' address of a running entry")(
      "request", po::value(&request), "identity of a request")(
      "service", po::value(&shape.service_), "service of the request")(
      "organisation", po::value(&shape.organisation_), "its organisation")(
      "model", po::value(&shape.model_), "its model")(
      "method", po::value(&shape.method_), "its HTTP method")(
      "path", po::value(&shape.path_), "its path")(
      "domain", po::value(&shape.domain_), "failure domain of the entry")(
      "prompt", po::value(&shape.prompt_tokens_), "length of its prompt")(
      "priority", po::value(&priority), "low, normal or high");
  po::variables_map values;
  int exit_code = 0;
  if (!ParseOptions(arguments, description, {}, &values, &exit_code)) {
    return exit_code;
  }
  if (!core::ParsePriority(priority, &shape.priority_)) {
    std::cerr << "--priority: expected low, normal or high\n";
    return kExitUsage;
  }
  if (!rules.empty()) {
    return ExplainFile(values, shape);
  }
  if (entry.empty() || request.empty()) {
    std::cerr << description;
    return kExitUsage;
  }
  std::string text;
  if (!Fetch(entry, absl::StrCat("/explain?request=", request), &text)) {
    return kExitBad;
  }
  std::cout << text;
  return kExitGood;
}

int WhereCommand(const Arguments& arguments) {
  std::string entry;
  std::string key_file;
  po::options_description description(
      "siskindrumctl where --entry IP:PORT --path PATH [options]");
  description.add_options()("help", "show this text")(
      "entry", po::value(&entry)->required(), "operators' address")(
      "json", "print JSON")("key-file", po::value(&key_file),
                            "file with the caller's key");
  // Options that are passed on as parameters of the question.
  const struct {
    const char* name_;
    const char* help_;
  } parameters[] = {
      {"path", "path of the request"},
      {"method", "its HTTP method (POST)"},
      {"host", "its host"},
      {"model", "its model"},
      {"organisation", "its organisation, in place of a key"},
      {"prompt", "length of its prompt in tokens"},
      {"max_tokens", "most tokens of its answer"},
      {"answer", "expected tokens of its answer"},
      {"parts", "shared parts of its prompt, hexadecimal, with commas"},
      {"time_left", "milliseconds until its deadline"},
  };
  for (const auto& parameter : parameters) {
    description.add_options()(parameter.name_, po::value<std::string>(),
                              parameter.help_);
  }
  po::variables_map values;
  int exit_code = 0;
  if (!ParseOptions(arguments, description, {}, &values, &exit_code)) {
    return exit_code;
  }
  std::string target =
      values.contains("json") ? "/where?format=json" : "/where?format=text";
  for (const auto& parameter : parameters) {
    if (values.contains(parameter.name_)) {
      absl::StrAppend(
          &target, "&", parameter.name_, "=",
          rules::EncodeValue(values[parameter.name_].as<std::string>()));
    }
  }
  std::vector<backend::Header> headers;
  std::string key;
  if (!key_file.empty()) {
    if (!ReadFile(key_file, &key)) {
      return kExitUsage;
    }
    headers.push_back(
        {"Where-Key", std::string(absl::StripAsciiWhitespace(key))});
  }
  std::string text;
  if (!Fetch(entry, target, &text, headers)) {
    return kExitBad;
  }
  std::cout << text;
  return kExitGood;
}

int DumpCommand(const Arguments& arguments) {
  std::string entry;
  po::options_description description("siskindrumctl dump --entry IP:PORT");
  description.add_options()("help", "show this text")(
      "entry", po::value(&entry)->required(), "operators' address");
  po::positional_options_description positional;
  positional.add("entry", 1);
  po::variables_map values;
  int exit_code = 0;
  if (!ParseOptions(arguments, description, positional, &values, &exit_code)) {
    return exit_code;
  }
  std::string text;
  if (!Fetch(entry, "/dump", &text)) {
    return kExitBad;
  }
  std::cout << text;
  return kExitGood;
}

int StatusCommand(const Arguments& arguments) {
  std::string entries;
  po::options_description description(
      "siskindrumctl status --entries IP:PORT,IP:PORT,...");
  description.add_options()("help", "show this text")(
      "entries", po::value(&entries)->required(),
      "operators' addresses of the entries");
  po::variables_map values;
  int exit_code = 0;
  if (!ParseOptions(arguments, description, {}, &values, &exit_code)) {
    return exit_code;
  }
  std::cout << absl::StrFormat(
      "%-18s %-16s %-12s %-9s %8s %6s %8s %6s %7s %8s\n", "entry", "address",
      "domain", "state", "revision", "live", "requests", "homes", "waiting",
      "up s");
  bool all = true;
  const std::vector<std::string> addresses = absl::StrSplit(entries, ',');
  for (const std::string& address : addresses) {
    std::string text;
    const bool fetched = Fetch(address, "/dump", &text);
    const Json dump = Json::parse(text, nullptr, false);
    if (!fetched || !dump.is_object()) {
      std::cout << absl::StrFormat("%-18s %-16s no answer\n", "?", address);
      all = false;
      continue;
    }
    std::cout << StatusRow(address, dump);
  }
  return all ? kExitGood : kExitBad;
}

int KeyCommand(const Arguments&) {
  // A UUIDv7: 48 bits of time, then version, variant and random bits.
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
  std::random_device random;
  const auto word = [&] { return random() & 0xFFFFU; };
  std::cout << absl::StrFormat("%08x-%04x-7%03x-%04x-%04x%04x%04x\n",
                               static_cast<std::uint64_t>(now) >> 16,
                               static_cast<std::uint64_t>(now) & 0xFFFFU,
                               word() & 0xFFFU, 0x8000U | (word() & 0x3FFFU),
                               word(), word(), word());
  return kExitGood;
}

}  // namespace siskindrum::ctl
