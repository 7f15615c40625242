#include "siskindrum/settings/settings.h"

#include <arpa/inet.h>

#include <fstream>
#include <set>
#include <sstream>

#include <nlohmann/json.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace siskindrum::settings {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxNameLength = 100;
constexpr std::int64_t kHourMs = 3'600'000;

// Reads the fields of one JSON object and keeps the first error.
struct Reader {
  const Json& object_;
  std::string path_;
  SettingsError& error_;
  std::set<std::string> read_{};
};

void Report(Reader& reader, const std::string& key, std::string message) {
  if (reader.error_.message_.empty()) {
    reader.error_.field_ = reader.path_ + key;
    reader.error_.message_ = std::move(message);
  }
}

// Returns the field's value, or nullptr when it is absent.
const Json* Find(Reader& reader, const std::string& key, bool required) {
  reader.read_.insert(key);
  const auto it = reader.object_.find(key);
  if (it == reader.object_.end()) {
    if (required) {
      Report(reader, key, "is missing");
    }
    return nullptr;
  }
  return &*it;
}

void ReadName(Reader& reader, const std::string& key, std::string* out) {
  const Json* value = Find(reader, key, true);
  if (value == nullptr) {
    return;
  }
  const bool good =
      value->is_string() && !value->get_ref<const std::string&>().empty() &&
      value->get_ref<const std::string&>().size() <= kMaxNameLength &&
      value->get_ref<const std::string&>().find_first_of(" \t\r\n=\"/") ==
          std::string::npos;
  if (!good) {
    Report(reader, key,
           "expected a name of 1 to 100 characters without spaces");
    return;
  }
  *out = value->get<std::string>();
}

void ReadAddress(Reader& reader, const std::string& key, Address* out) {
  const Json* value = Find(reader, key, true);
  if (value != nullptr &&
      (!value->is_string() || !ParseAddress(value->get<std::string>(), out))) {
    Report(reader, key,
           "expected an address \"IP:PORT\", an IPv4 number and a port from 1 "
           "to 65535");
  }
}

template <class Integer>
void ReadCount(Reader& reader,
               const std::string& key,
               std::int64_t least,
               std::int64_t most,
               Integer* out) {
  const Json* value = Find(reader, key, false);
  if (value == nullptr) {
    return;
  }
  if (!value->is_number_integer() || value->get<std::int64_t>() < least ||
      value->get<std::int64_t>() > most) {
    Report(reader, key,
           absl::StrCat("expected a whole number from ", least, " to ", most));
    return;
  }
  *out = static_cast<Integer>(value->get<std::int64_t>());
}

void ReadMilliseconds(Reader& reader,
                      const std::string& key,
                      std::int64_t least,
                      std::int64_t most,
                      core::Milliseconds* out) {
  std::int64_t count = out->count();
  ReadCount(reader, key, least, most, &count);
  *out = core::Milliseconds(count);
}

void ReadLevel(Reader& reader, const std::string& key, std::string* out) {
  const Json* value = Find(reader, key, false);
  if (value == nullptr) {
    return;
  }
  if (*value != "info" && *value != "warning" && *value != "error") {
    Report(reader, key, "expected \"info\", \"warning\" or \"error\"");
    return;
  }
  *out = value->get<std::string>();
}

void CheckUnknown(Reader& reader) {
  for (const auto& [key, value] : reader.object_.items()) {
    if (!reader.read_.contains(key)) {
      Report(reader, key, "is not a known field");
      return;
    }
  }
}

// Reads a required object by `read`.
template <class Read>
void ReadObject(Reader& reader, const std::string& key, const Read& read) {
  const Json* value = Find(reader, key, true);
  if (value == nullptr) {
    return;
  }
  if (!value->is_object()) {
    Report(reader, key, "expected an object");
    return;
  }
  Reader inner{*value, reader.path_ + key + ".", reader.error_};
  read(inner);
  CheckUnknown(inner);
}

void ReadCallers(Reader& reader, CallerSettings* out) {
  ReadAddress(reader, "address", &out->address_);
  ReadCount(reader, "max_requests", 1, 20000, &out->max_requests_);
  ReadCount(reader, "max_waiting", 0, 20000, &out->max_waiting_);
  ReadCount(reader, "max_body_bytes", 1024, 1 << 30, &out->max_body_bytes_);
  ReadMilliseconds(reader, "idle_timeout_ms", 100, kHourMs,
                   &out->idle_timeout_);
  ReadMilliseconds(reader, "read_timeout_ms", 100, kHourMs,
                   &out->read_timeout_);
  ReadMilliseconds(reader, "write_timeout_ms", 100, kHourMs,
                   &out->write_timeout_);
}

void ReadPlatform(Reader& reader, PlatformSettings* out) {
  ReadAddress(reader, "configuration", &out->configuration_);
  ReadAddress(reader, "instances", &out->instances_);
  ReadMilliseconds(reader, "watch_wait_ms", 100, 60000, &out->watch_wait_);
  ReadMilliseconds(reader, "list_poll_ms", 100, kHourMs, &out->list_poll_);
  ReadMilliseconds(reader, "slow_poll_ms", 1000, kHourMs, &out->slow_poll_);
}

void ReadAll(Reader& reader, Settings* out) {
  ReadName(reader, "name", &out->name_);
  ReadName(reader, "domain", &out->domain_);
  ReadObject(reader, "callers",
             [&](Reader& inner) { ReadCallers(inner, &out->callers_); });
  ReadObject(reader, "operators", [&](Reader& inner) {
    ReadAddress(inner, "address", &out->operators_);
  });
  ReadObject(reader, "peers", [&](Reader& inner) {
    ReadAddress(inner, "address", &out->peers_);
    ReadName(inner, "fleet", &out->fleet_);
  });
  ReadObject(reader, "platform",
             [&](Reader& inner) { ReadPlatform(inner, &out->platform_); });
  ReadMilliseconds(reader, "load_poll_ms", 20, 60000, &out->load_poll_);
  ReadMilliseconds(reader, "backend_timeout_ms", 100, kHourMs,
                   &out->backend_timeout_);
  ReadMilliseconds(reader, "drain_limit_ms", 0, 24 * kHourMs,
                   &out->drain_limit_);
  ReadCount(reader, "seed", 0, INT64_MAX, &out->seed_);
  ReadLevel(reader, "log_level", &out->log_level_);
  CheckUnknown(reader);
}

void CheckDistinct(const Settings& settings, SettingsError& error) {
  const std::string callers = ToString(settings.callers_.address_);
  const std::string operators = ToString(settings.operators_);
  const std::string peers = ToString(settings.peers_);
  if (error.message_.empty() &&
      (callers == operators || callers == peers || operators == peers)) {
    error.field_ = "callers.address";
    error.message_ = "callers, operators and peers need addresses of their own";
  }
}

}  // namespace

std::string ToString(const Address& address) {
  return absl::StrCat(address.host_, ":", address.port_);
}

bool ParseAddress(const std::string& text, Address* address) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  const std::string host = text.substr(0, colon);
  in_addr parsed{};
  int port = 0;
  if (inet_pton(AF_INET, host.c_str(), &parsed) != 1 ||
      !absl::SimpleAtoi(text.substr(colon + 1), &port) || port < 1 ||
      port > 65535) {
    return false;
  }
  *address = {host, port};
  return true;
}

std::string Describe(const SettingsError& error) {
  return error.field_.empty() ? absl::StrCat(error.file_, ": ", error.message_)
                              : absl::StrCat(error.file_, ": ", error.field_,
                                             ": ", error.message_);
}

tl::expected<Settings, SettingsError> ParseSettings(const std::string& text,
                                                    const std::string& file) {
  SettingsError error;
  error.file_ = file;
  const Json json = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (json.is_discarded() || !json.is_object()) {
    error.message_ = "expected one JSON object";
    return tl::unexpected(error);
  }
  Settings settings;
  Reader reader{json, "", error};
  ReadAll(reader, &settings);
  CheckDistinct(settings, error);
  if (!error.message_.empty()) {
    return tl::unexpected(error);
  }
  return settings;
}

tl::expected<Settings, SettingsError> LoadSettings(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) {
    return tl::unexpected(SettingsError{file, "", "the file cannot be opened"});
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return ParseSettings(text.str(), file);
}

}  // namespace siskindrum::settings
