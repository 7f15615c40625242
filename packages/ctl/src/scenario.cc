#include "siskindrum/ctl/scenario.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace siskindrum::ctl {

namespace {

using Json = nlohmann::json;

struct Reader {
  const Json& object_;
  std::string path_;
  ScenarioError& error_;
  std::set<std::string> read_{};
};

void Report(Reader& reader, const std::string& key, std::string message) {
  if (reader.error_.message_.empty()) {
    reader.error_.field_ = reader.path_ + key;
    reader.error_.message_ = std::move(message);
  }
}

const Json* Find(Reader& reader, const std::string& key) {
  reader.read_.insert(key);
  const auto it = reader.object_.find(key);
  return it == reader.object_.end() ? nullptr : &*it;
}

void ReadText(Reader& reader, const std::string& key, std::string* out) {
  const Json* value = Find(reader, key);
  if (value == nullptr || !value->is_string()) {
    Report(reader, key, "expected text");
    return;
  }
  *out = value->get<std::string>();
}

template <class Number>
void ReadNumber(Reader& reader,
                const std::string& key,
                double most,
                Number* out) {
  const Json* value = Find(reader, key);
  if (value == nullptr) {
    return;
  }
  if (!value->is_number() || value->get<double>() < 0 ||
      value->get<double>() > most) {
    Report(reader, key, absl::StrCat("expected a number from 0 to ", most));
    return;
  }
  *out = static_cast<Number>(value->get<double>());
}

template <class Duration>
void ReadDuration(Reader& reader, const std::string& key, Duration* out) {
  auto count = out->count();
  ReadNumber(reader, key, 1e9, &count);
  *out = Duration(count);
}

void ReadSpan(Reader& reader, const std::string& key, Span* out) {
  const Json* value = Find(reader, key);
  if (value == nullptr) {
    return;
  }
  const bool good = value->is_array() && value->size() == 2 &&
                    value->at(0).is_number_unsigned() &&
                    value->at(1).is_number_unsigned() &&
                    value->at(0) <= value->at(1) && value->at(0) > 0;
  if (!good) {
    Report(reader, key, "expected [LEAST, MOST], whole numbers above zero");
    return;
  }
  *out = {value->at(0).get<std::uint32_t>(), value->at(1).get<std::uint32_t>()};
}

void CheckUnknown(Reader& reader) {
  for (const auto& [key, value] : reader.object_.items()) {
    if (!reader.read_.contains(key)) {
      Report(reader, key, "is not a known field");
    }
  }
}

template <class Read>
void ReadList(Reader& reader, const std::string& key, const Read& read) {
  const Json* value = Find(reader, key);
  if (value == nullptr) {
    return;
  }
  if (!value->is_array()) {
    Report(reader, key, "expected a list");
    return;
  }
  for (std::size_t i = 0; i < value->size(); ++i) {
    Reader inner{value->at(i), absl::StrCat(reader.path_, key, "[", i, "]."),
                 reader.error_};
    if (!value->at(i).is_object()) {
      Report(inner, "", "expected an object");
      return;
    }
    read(inner);
    CheckUnknown(inner);
  }
}

void ReadDomain(Reader& reader, Scenario& scenario) {
  DomainPlan plan;
  ReadText(reader, "name", &plan.name_);
  ReadNumber(reader, "entries", 1000, &plan.entries_);
  ReadNumber(reader, "prefill", 10000, &plan.prefill_);
  ReadNumber(reader, "decode", 10000, &plan.decode_);
  scenario.domains_.push_back(std::move(plan));
}

void ReadClass(Reader& reader, Scenario& scenario) {
  TrafficClass traffic;
  std::string priority = "normal";
  ReadText(reader, "organisation", &traffic.organisation_);
  ReadNumber(reader, "organisations", 100000, &traffic.organisations_);
  ReadNumber(reader, "weight", 1e6, &traffic.weight_);
  ReadSpan(reader, "prompt_tokens", &traffic.prompt_tokens_);
  ReadSpan(reader, "answer_tokens", &traffic.answer_tokens_);
  ReadNumber(reader, "max_tokens", 1e6, &traffic.max_tokens_);
  ReadNumber(reader, "prefixes", 1e6, &traffic.prefixes_);
  ReadNumber(reader, "prefix_tokens", 1e6, &traffic.prefix_tokens_);
  ReadNumber(reader, "cancel_share", 1, &traffic.cancel_share_);
  if (Find(reader, "priority") != nullptr) {
    ReadText(reader, "priority", &priority);
  }
  if (!core::ParsePriority(priority, &traffic.priority_)) {
    Report(reader, "priority", "expected low, normal or high");
  }
  traffic.organisations_ = std::max(1U, traffic.organisations_);
  scenario.classes_.push_back(std::move(traffic));
}

void ReadFault(Reader& reader, Scenario& scenario) {
  static constexpr const char* kNames[] = {
      "kill_engine", "restore_engine", "stall_engine",
      "cut_domain",  "heal_domain",    "freeze_entry",
      "thaw_entry",  "kill_entry",     "replace_entry"};
  static_assert(std::size(kNames) ==
                static_cast<std::size_t>(FaultKind::kCount));
  Fault fault;
  std::string kind;
  ReadNumber(reader, "at", 1e6, &fault.at_seconds_);
  ReadText(reader, "kind", &kind);
  ReadText(reader, "target", &fault.target_);
  const auto* found = std::find(std::begin(kNames), std::end(kNames), kind);
  if (found == std::end(kNames)) {
    Report(reader, "kind", "is not a known fault");
    return;
  }
  fault.kind_ = static_cast<FaultKind>(found - std::begin(kNames));
  scenario.faults_.push_back(std::move(fault));
}

void ReadEngine(Reader& reader, model::EngineSettings& engine) {
  auto base =
      std::chrono::duration_cast<std::chrono::microseconds>(engine.step_base_);
  auto per = std::chrono::duration_cast<std::chrono::microseconds>(
      engine.step_per_stream_);
  auto evict =
      std::chrono::duration_cast<core::Milliseconds>(engine.evict_after_);
  ReadNumber(reader, "slots", 1000, &engine.slots_);
  ReadNumber(reader, "pieces", 1e6, &engine.total_pieces_);
  ReadNumber(reader, "prefill_rate", 1e9, &engine.prefill_tokens_per_second_);
  ReadNumber(reader, "link_rate", 1e12, &engine.link_tokens_per_second_);
  ReadNumber(reader, "prefix_entries", 1e6, &engine.prefix_entries_);
  ReadDuration(reader, "step_base_us", &base);
  ReadDuration(reader, "step_per_stream_us", &per);
  ReadDuration(reader, "evict_ms", &evict);
  engine.step_base_ = base;
  engine.step_per_stream_ = per;
  engine.evict_after_ = evict;
}

bool ReadFile(const std::string& file, std::string* out) {
  std::ifstream stream(file);
  std::ostringstream text;
  text << stream.rdbuf();
  *out = text.str();
  return stream.good() || stream.eof();
}

void ReadScenario(Reader& reader, const std::string& file, Scenario& scenario) {
  std::string rules;
  ReadText(reader, "name", &scenario.name_);
  ReadText(reader, "rules", &rules);
  ReadText(reader, "service", &scenario.service_);
  ReadText(reader, "model", &scenario.model_);
  const auto path = std::filesystem::path(file).parent_path() / rules;
  if (!std::filesystem::is_regular_file(path) ||
      !ReadFile(path.string(), &scenario.rules_)) {
    Report(reader, "rules", absl::StrCat("cannot read ", path.string()));
  }
  ReadDuration(reader, "load_poll_ms", &scenario.load_poll_);
  ReadDuration(reader, "load_lag_ms", &scenario.load_lag_);
  ReadDuration(reader, "peer_latency_us", &scenario.peer_latency_);
  ReadDuration(reader, "server_latency_us", &scenario.server_latency_);
  ReadNumber(reader, "duration_s", 1e5, &scenario.duration_seconds_);
  ReadNumber(reader, "warmup_s", 1e5, &scenario.warmup_seconds_);
  ReadNumber(reader, "load", 100, &scenario.load_);
  ReadList(reader, "domains",
           [&](Reader& inner) { ReadDomain(inner, scenario); });
  ReadList(reader, "classes",
           [&](Reader& inner) { ReadClass(inner, scenario); });
  ReadList(reader, "faults",
           [&](Reader& inner) { ReadFault(inner, scenario); });
  if (const Json* engine = Find(reader, "engine")) {
    Reader inner{*engine, "engine.", reader.error_};
    if (!engine->is_object()) {
      Report(reader, "engine", "expected an object");
    } else {
      ReadEngine(inner, scenario.engine_);
      CheckUnknown(inner);
    }
  }
  CheckUnknown(reader);
  if (scenario.domains_.empty() || scenario.classes_.empty()) {
    Report(reader, "", "domains and classes must not be empty");
  }
}

// Lays a scenario over the one that it names as its base.
bool ApplyBase(const std::string& file, Json* json) {
  const auto named = json->find("base");
  if (named == json->end()) {
    return true;
  }
  if (!named->is_string()) {
    return false;
  }
  const auto path =
      std::filesystem::path(file).parent_path() / named->get<std::string>();
  std::string text;
  if (!std::filesystem::is_regular_file(path) ||
      !ReadFile(path.string(), &text)) {
    return false;
  }
  Json base = Json::parse(text, nullptr, false);
  if (!base.is_object() || base.contains("base")) {
    return false;
  }
  json->erase("base");
  base.merge_patch(*json);
  *json = std::move(base);
  return true;
}

}  // namespace

tl::expected<Scenario, ScenarioError> LoadScenario(const std::string& file) {
  ScenarioError error;
  error.file_ = file;
  std::string text;
  if (!std::filesystem::is_regular_file(file) || !ReadFile(file, &text)) {
    error.message_ = "the file cannot be read";
    return tl::unexpected(error);
  }
  Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) {
    error.message_ = "expected one JSON object";
    return tl::unexpected(error);
  }
  if (!ApplyBase(file, &json)) {
    error.field_ = "base";
    error.message_ = "expected the name of a scenario file beside this one";
    return tl::unexpected(error);
  }
  Scenario scenario;
  Reader reader{json, "", error};
  ReadScenario(reader, file, scenario);
  if (!error.message_.empty()) {
    return tl::unexpected(error);
  }
  return scenario;
}

std::string Describe(const ScenarioError& error) {
  return absl::StrCat(error.file_, ": ", error.field_,
                      error.field_.empty() ? "" : ": ", error.message_);
}

}  // namespace siskindrum::ctl
