#define BOOST_TEST_MODULE settings
#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

#include "siskindrum/settings/settings.h"

namespace siskindrum::settings {
namespace {

using Json = nlohmann::json;

struct SettingsFixture {
  Json good_ = Json::parse(R"({
    "name": "a", "domain": "north",
    "callers": {"address": "127.0.0.1:1001"},
    "operators": {"address": "127.0.0.1:1002"},
    "peers": {"address": "127.0.0.1:1003", "fleet": "f"},
    "platform": {"configuration": "127.0.0.1:1004",
                 "instances": "127.0.0.1:1004"}})");

  std::string FieldOf(const Json& json) const {
    const auto settings = ParseSettings(json.dump(), "file");
    return settings.has_value() ? "good" : settings.error().field_;
  }
};

BOOST_FIXTURE_TEST_SUITE(SettingsTest, SettingsFixture)

BOOST_AUTO_TEST_CASE(ParseSettings_WhenGood_FillsTheAggregate) {
  good_["load_poll_ms"] = 250;
  good_["callers"]["max_requests"] = 7;
  const auto settings = ParseSettings(good_.dump(), "file");
  BOOST_REQUIRE(settings.has_value());
  BOOST_TEST(settings->callers_.address_.port_ == 1001);
  BOOST_TEST(settings->callers_.max_requests_ == 7U);
  BOOST_TEST(settings->load_poll_.count() == 250);
  BOOST_TEST(settings->fleet_ == "f");
}

BOOST_AUTO_TEST_CASE(ParseSettings_WhenAFieldIsBad_NamesItsPath) {
  const struct {
    const char* path_;
    Json value_;
    const char* field_;
  } rows[] = {
      {"/name", "", "name"},
      {"/name", 5, "name"},
      {"/callers/address", "localhost:80", "callers.address"},
      {"/callers/address", "127.0.0.1:0", "callers.address"},
      {"/callers/address", "127.0.0.1:1002", "callers.address"},
      {"/callers/max_requests", 0, "callers.max_requests"},
      {"/callers/max_requests", 2.5, "callers.max_requests"},
      {"/callers/speed", 1, "callers.speed"},
      {"/peers", "x", "peers"},
      {"/platform/watch_wait_ms", 1, "platform.watch_wait_ms"},
      {"/log_level", "loud", "log_level"},
      {"/unknown", true, "unknown"},
  };
  for (const auto& row : rows) {
    Json bad = good_;
    bad[Json::json_pointer(row.path_)] = row.value_;
    BOOST_TEST(FieldOf(bad) == row.field_, row.path_);
  }
  Json missing = good_;
  missing["peers"].erase("fleet");
  BOOST_TEST(FieldOf(missing) == "peers.fleet");
}

BOOST_AUTO_TEST_CASE(LoadSettings_WhenFileIsMissing_SaysSo) {
  const auto settings = LoadSettings("/nonexistent/file.json");
  BOOST_REQUIRE(!settings.has_value());
  BOOST_TEST(Describe(settings.error()).find("/nonexistent/file.json") == 0U);
}

BOOST_AUTO_TEST_CASE(ParseSettings_WhenNotJson_SaysSo) {
  BOOST_TEST(ParseSettings("{", "f").error().message_ ==
             "expected one JSON object");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::settings
