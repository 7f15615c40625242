// Stand-in for the platform: configuration service and instance list. What it
// publishes is set by PUT /rules?revision=N and PUT /instances; its faults by
// POST /control. Every call is counted.

#include <cstdint>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <thread>

#include <httplib.h>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "siskindrum/standin/options.h"

namespace {

using Json = nlohmann::json;

struct Platform {
  absl::Mutex mutex_;
  std::uint64_t revision_ = 0;
  std::string rules_;
  std::string instances_ = R"({"version":0,"instances":[]})";
  bool down_ = false;
  int delay_ms_ = 0;
  std::uint64_t configuration_calls_ = 0;
  std::uint64_t instance_calls_ = 0;
};

// Applies the faults; false when the call is refused.
bool Allow(Platform& platform, httplib::Response& response) {
  int delay = 0;
  bool down = false;
  {
    absl::MutexLock lock(&platform.mutex_);
    delay = platform.delay_ms_;
    down = platform.down_;
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(delay));
  if (down) {
    response.status = 503;
  }
  return !down;
}

std::uint64_t Number(const httplib::Request& request, const char* name) {
  const std::string text = request.get_param_value(name);
  return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
}

void OnConfiguration(Platform& platform,
                     const httplib::Request& request,
                     httplib::Response& response) {
  {
    absl::MutexLock lock(&platform.mutex_);
    ++platform.configuration_calls_;
  }
  if (!Allow(platform, response)) {
    return;
  }
  const std::uint64_t after = Number(request, "after");
  const auto wait = static_cast<std::int64_t>(Number(request, "wait_ms"));
  absl::MutexLock lock(&platform.mutex_);
  const auto newer = [&] {
    return platform.revision_ > after || platform.down_;
  };
  platform.mutex_.AwaitWithTimeout(absl::Condition(&newer),
                                   absl::Milliseconds(wait));
  if (platform.down_ || platform.revision_ <= after) {
    response.status = platform.down_ ? 503 : 204;
    return;
  }
  response.set_content(
      Json{{"revision", platform.revision_}, {"rules", platform.rules_}}.dump(),
      "application/json");
}

void OnControl(Platform& platform,
               const httplib::Request& request,
               httplib::Response& response) {
  const Json json = Json::parse(request.body, nullptr, false);
  if (!json.is_object()) {
    response.status = 400;
    return;
  }
  absl::MutexLock lock(&platform.mutex_);
  platform.down_ = json.value("down", platform.down_);
  platform.delay_ms_ = json.value("delay_ms", platform.delay_ms_);
  response.set_content("{}", "application/json");
}

std::string ReadFile(const std::string& path) {
  std::ifstream stream(path);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

}  // namespace

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  int port = 0;
  std::string rules;
  std::string instances;
  Platform platform;
  po::options_description description(
      "Stand-in for the configuration service and the instance list");
  description.add_options()("help", "show this text")(
      "port", po::value(&port)->required(), "port on 127.0.0.1")(
      "rules", po::value(&rules), "rules file, published as revision 1")(
      "instances", po::value(&instances), "instance list in JSON");
  int exit_code = 0;
  if (!siskindrum::standin::ParseOptions(argc, argv, description, &exit_code)) {
    return exit_code;
  }
  if (!rules.empty()) {
    platform.rules_ = ReadFile(rules);
    platform.revision_ = 1;
  }
  if (!instances.empty()) {
    platform.instances_ = ReadFile(instances);
  }
  httplib::Server http;
  http.new_task_queue = [] { return new httplib::ThreadPool(256); };
  http.set_keep_alive_max_count(1);
  http.Get("/configuration", [&](const auto& req, auto& res) {
    OnConfiguration(platform, req, res);
  });
  http.Get("/instances", [&](const auto&, auto& res) {
    {
      absl::MutexLock lock(&platform.mutex_);
      ++platform.instance_calls_;
    }
    if (Allow(platform, res)) {
      absl::MutexLock lock(&platform.mutex_);
      res.set_content(platform.instances_, "application/json");
    }
  });
  http.Put("/rules", [&](const auto& req, auto& res) {
    absl::MutexLock lock(&platform.mutex_);
    platform.revision_ = Number(req, "revision");
    platform.rules_ = req.body;
    res.set_content("{}", "application/json");
  });
  http.Put("/instances", [&](const auto& req, auto& res) {
    absl::MutexLock lock(&platform.mutex_);
    platform.instances_ = req.body;
    res.set_content("{}", "application/json");
  });
  http.Get("/record", [&](const auto&, auto& res) {
    absl::MutexLock lock(&platform.mutex_);
    res.set_content(Json{{"configuration_calls", platform.configuration_calls_},
                         {"instance_calls", platform.instance_calls_},
                         {"revision", platform.revision_}}
                        .dump(),
                    "application/json");
  });
  http.Post("/control",
            [&](const auto& req, auto& res) { OnControl(platform, req, res); });
  if (!http.listen("127.0.0.1", port)) {
    std::cerr << "port " << port << " is taken\n";
    return 1;
  }
  return 0;
}
