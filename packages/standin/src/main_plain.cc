// Stand-in for a plain service: counts each call by its key and by its path.

#include <cstdint>
#include <iostream>
#include <map>
#include <string>
#include <thread>

#include <httplib.h>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include "absl/synchronization/mutex.h"
#include "siskindrum/standin/options.h"

namespace {

using Json = nlohmann::json;

struct Service {
  absl::Mutex mutex_;
  std::map<std::string, int> by_key_;      // Runs of each idempotency key.
  std::map<std::string, int> by_request_;  // Runs of each request identity.
  int calls_ = 0;
  int delay_ms_ = 0;
  int next_delay_ms_ = 0;    // Of the next call only.
  bool refusing_ = false;    // Answers 503 before acting.
  bool dropping_ = false;    // Acts, then drops the connection.
  std::uint64_t fence_ = 0;  // Highest fencing number seen.
  bool checks_fence_ = false;
  std::string name_;
};

void OnCall(Service& service,
            const httplib::Request& request,
            httplib::Response& response) {
  int delay = 0;
  bool dropping = false;
  int run = 0;
  {
    absl::MutexLock lock(&service.mutex_);
    if (service.refusing_) {
      response.status = 503;
      response.set_header("X-Not-Run", "true");
      return;
    }
    const std::string fence = request.get_header_value("X-Fencing-Number");
    if (service.checks_fence_ && !fence.empty()) {
      const std::uint64_t number = std::stoull(fence);
      if (number < service.fence_) {
        response.status = 409;
        response.set_header("X-Not-Run", "true");
        return;
      }
      service.fence_ = number;
    }
    run = ++service.calls_;
    const std::string key = request.get_header_value("Idempotency-Key");
    if (!key.empty()) {
      ++service.by_key_[key];
    }
    ++service.by_request_[request.get_header_value("X-Request-Id")];
    delay =
        service.next_delay_ms_ > 0 ? service.next_delay_ms_ : service.delay_ms_;
    service.next_delay_ms_ = 0;
    dropping = service.dropping_;
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(delay));
  if (dropping) {
    response.set_content_provider(
        1, "text/plain",
        [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
    return;
  }
  response.set_content(Json{{"service", service.name_},
                            {"run", run},
                            {"method", request.method},
                            {"path", request.path},
                            {"bytes", request.body.size()}}
                           .dump(),
                       "application/json");
}

void OnRecord(Service& service, httplib::Response& response) {
  absl::MutexLock lock(&service.mutex_);
  response.set_content(Json{{"calls", service.calls_},
                            {"by_key", service.by_key_},
                            {"by_request", service.by_request_}}
                           .dump(),
                       "application/json");
}

void OnControl(Service& service,
               const httplib::Request& request,
               httplib::Response& response) {
  const Json json = Json::parse(request.body, nullptr, false);
  if (!json.is_object()) {
    response.status = 400;
    return;
  }
  absl::MutexLock lock(&service.mutex_);
  service.delay_ms_ = json.value("delay_ms", service.delay_ms_);
  service.next_delay_ms_ = json.value("next_delay_ms", service.next_delay_ms_);
  service.refusing_ = json.value("refusing", service.refusing_);
  service.dropping_ = json.value("dropping", service.dropping_);
  service.checks_fence_ = json.value("checks_fence", service.checks_fence_);
  response.set_content("{}", "application/json");
}

}  // namespace

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  int port = 0;
  Service service;
  po::options_description description("Stand-in for a plain service");
  description.add_options()("help", "show this text")(
      "port", po::value(&port)->required(), "port on 127.0.0.1")(
      "name", po::value(&service.name_)->default_value("plain"), "its name")(
      "delay-ms", po::value(&service.delay_ms_), "duration of a call");
  int exit_code = 0;
  if (!siskindrum::standin::ParseOptions(argc, argv, description, &exit_code)) {
    return exit_code;
  }
  httplib::Server http;
  http.new_task_queue = [] { return new httplib::ThreadPool(64); };
  http.set_keep_alive_max_count(1);
  http.Get("/record", [&](const auto&, auto& res) { OnRecord(service, res); });
  http.Post("/control",
            [&](const auto& req, auto& res) { OnControl(service, req, res); });
  const auto call = [&](const auto& req, auto& res) {
    OnCall(service, req, res);
  };
  http.Get(".*", call);
  http.Post(".*", call);
  http.Put(".*", call);
  http.Patch(".*", call);
  http.Delete(".*", call);
  if (!http.listen("127.0.0.1", port)) {
    std::cerr << "port " << port << " is taken\n";
    return 1;
  }
  return 0;
}
