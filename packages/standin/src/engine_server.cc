#include "siskindrum/standin/engine_server.h"

#include <atomic>
#include <deque>
#include <map>
#include <thread>

#include <httplib.h>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "siskindrum/backend/http_call.h"
#include "siskindrum/core/hash.h"

namespace siskindrum::standin {

namespace {

using Json = nlohmann::json;
using core::RequestId;
using core::TimePoint;

constexpr core::Milliseconds kStallLimit{120000};

TimePoint Clock() {
  return std::chrono::steady_clock::now();
}

// What the model says to one waiting handler.
struct Mailbox {
  std::deque<model::ModelEvent> events_;
  bool cancelled_ = false;
};

bool TakeId(const Json& json, RequestId* id) {
  return json.is_object() && json.contains("request") &&
         json["request"].is_string() &&
         core::ParseRequestId(json["request"].get<std::string>(), id);
}

void Refuse(httplib::Response& response, int status, const char* why) {
  response.status = status;
  response.set_content(Json{{"error", why}}.dump(), "application/json");
}

}  // namespace

struct EngineServer::State {
  EngineServerOptions options_;
  httplib::Server http_;
  absl::Mutex mutex_;
  model::Engine engine_;                    // Guarded by mutex_.
  std::map<RequestId, Mailbox> mailboxes_;  // Guarded by mutex_.
  std::deque<std::pair<TimePoint, core::LoadReport>> reports_;
  std::uint64_t prefills_ = 0;
  std::uint64_t decodes_ = 0;
  std::map<RequestId, std::uint32_t> runs_;  // Work begun for a request.
  std::atomic<bool> stopping_{false};
  std::thread clock_;

  void Tick() {
    absl::MutexLock lock(&mutex_);
    const TimePoint now = Clock();
    for (const model::ModelEvent& event : model::Advance(engine_, now)) {
      const auto it = mailboxes_.find(event.request_);
      if (it != mailboxes_.end()) {
        it->second.events_.push_back(event);
      }
    }
    reports_.emplace_back(now, model::ReportLoad(engine_, now));
    while (reports_.size() > 1 &&
           now - reports_[1].first >= options_.load_lag_) {
      reports_.pop_front();
    }
  }

  void RunClock() {
    while (!stopping_) {
      Tick();
      std::this_thread::sleep_for(core::Milliseconds(1));
    }
  }

  // Waits for an event of the request. Requires: mutex_ is held.
  bool Await(const RequestId& id,
             model::ModelEvent* event,
             core::Milliseconds limit) {
    const auto ready = [&] {
      const auto it = mailboxes_.find(id);
      return it == mailboxes_.end() || it->second.cancelled_ ||
             !it->second.events_.empty() || stopping_;
    };
    mutex_.AwaitWithTimeout(absl::Condition(&ready),
                            absl::Milliseconds(limit.count()));
    const auto it = mailboxes_.find(id);
    if (it == mailboxes_.end() || it->second.events_.empty()) {
      return false;
    }
    *event = it->second.events_.front();
    it->second.events_.pop_front();
    return true;
  }

  void OnPrefill(const httplib::Request& request, httplib::Response& response) {
    const Json json = Json::parse(request.body, nullptr, false);
    model::PrefillJob job;
    if (!TakeId(json, &job.request_)) {
      Refuse(response, 400, "expected a request");
      return;
    }
    job.attempt_ = json.value("attempt", 0U);
    job.owner_ = json.value("owner", "");
    job.tokens_ = json.value("prompt_tokens", 0U);
    job.prefix_hash_ = std::stoull("0" + json.value("prefix", std::string()));
    job.prefix_tokens_ = json.value("prefix_tokens", 0U);
    core::ParsePriority(json.value("priority", "normal"), &job.priority_);
    absl::MutexLock lock(&mutex_);
    if (!model::AddPrefill(engine_, job, Clock()).has_value()) {
      Refuse(response, 429, "no room for a prefill");
      return;
    }
    ++prefills_;
    ++runs_[job.request_];
    mailboxes_[job.request_] = Mailbox{};
    model::ModelEvent event;
    const bool done = Await(job.request_, &event, kStallLimit);
    mailboxes_.erase(job.request_);
    if (!done) {
      Refuse(response, 499, "cancelled");
      return;
    }
    response.set_content(
        Json{{"handle", core::ToString(job.request_)},
             {"hold_ms", std::chrono::duration_cast<core::Milliseconds>(
                             engine_.settings_.evict_after_)
                             .count()}}
            .dump(),
        "application/json");
  }

  void OnExport(const httplib::Request& request, httplib::Response& response) {
    RequestId id;
    if (!core::ParseRequestId(request.get_param_value("handle"), &id)) {
      Refuse(response, 400, "expected a handle");
      return;
    }
    TimePoint end;
    {
      absl::MutexLock lock(&mutex_);
      const auto begun = model::BeginExport(engine_, id, Clock());
      if (!begun.has_value()) {
        Refuse(response, 410, "evicted");
        return;
      }
      end = *begun;
    }
    std::this_thread::sleep_until(end);
    absl::MutexLock lock(&mutex_);
    model::EndExport(engine_, id);
    response.set_content("{}", "application/json");
  }

  // Imports the prefill result over the other engine's link.
  bool Import(const Json& json, const RequestId& id) {
    backend::HttpCall call;
    backend::HttpRequest http;
    http.address_ = json.value("source", "");
    http.method_ = "GET";
    http.path_ = absl::StrCat("/engine/export?handle=", core::ToString(id));
    const auto answer = call.Run(http);
    return answer.has_value() && answer->status_ == 200;
  }

  // Writes the stream's lines until it ends; false when the reader has gone.
  void WriteStream(const RequestId& id,
                   const std::string& seed,
                   httplib::DataSink& sink) {
    const auto write = [&](const std::string& line) {
      return sink.write(line.data(), line.size());
    };
    bool reading = write("{\"imported\":true}\n");
    while (reading) {
      model::ModelEvent event;
      {
        absl::MutexLock lock(&mutex_);
        if (!Await(id, &event, kStallLimit)) {
          break;
        }
      }
      if (event.kind_ == model::ModelEventKind::kFinished) {
        write("{\"finished\":\"length\"}\n");
        sink.done();
        break;
      }
      reading = write(Json{{"request", core::ToString(id)},
                           {"attempt", event.attempt_},
                           {"position", event.position_},
                           {"text", TokenText(seed, event.position_)}}
                          .dump() +
                      "\n");
    }
    absl::MutexLock lock(&mutex_);
    model::NoteReaderGone(engine_, id, Clock());
    mailboxes_.erase(id);
  }

  void OnDecode(const httplib::Request& request, httplib::Response& response) {
    const Json json = Json::parse(request.body, nullptr, false);
    model::Stream stream;
    if (!TakeId(json, &stream.request_)) {
      Refuse(response, 400, "expected a request");
      return;
    }
    const RequestId id = stream.request_;
    stream.attempt_ = json.value("attempt", 0U);
    stream.owner_ = json.value("owner", "");
    stream.position_ = json.value("from_position", 0U);
    stream.end_position_ = json.value("max_tokens", 16U);
    stream.pieces_ = core::PiecesFor(json.value("prompt_tokens", 0U) +
                                     json.value("max_tokens", 0U));
    {
      absl::MutexLock lock(&mutex_);
      const auto added = model::AddStream(engine_, stream, Clock());
      if (!added.has_value()) {
        Refuse(response, 429, "no slot or memory");
        return;
      }
      ++decodes_;
      ++runs_[id];
      mailboxes_[id] = Mailbox{};
    }
    if (!Import(json, id)) {
      absl::MutexLock lock(&mutex_);
      model::CancelRequest(engine_, id, Clock());
      mailboxes_.erase(id);
      Refuse(response, 410, "the prefill result is gone");
      return;
    }
    {
      absl::MutexLock lock(&mutex_);
      model::BeginDecode(engine_, id, Clock());
    }
    const std::string seed = json.value("seed_text", "");
    response.set_chunked_content_provider(
        "application/x-ndjson", [this, id, seed](std::size_t, auto& sink) {
          WriteStream(id, seed, sink);
          return false;
        });
  }

  void OnCancel(const httplib::Request& request, httplib::Response& response) {
    RequestId id;
    if (!TakeId(Json::parse(request.body, nullptr, false), &id)) {
      Refuse(response, 400, "expected a request");
      return;
    }
    absl::MutexLock lock(&mutex_);
    const std::size_t freed = model::CancelRequest(engine_, id, Clock());
    const auto it = mailboxes_.find(id);
    if (it != mailboxes_.end()) {
      it->second.cancelled_ = true;
      it->second.events_.clear();
    }
    response.set_content(Json{{"released", freed}}.dump(), "application/json");
  }

  void OnLoad(httplib::Response& response) {
    absl::MutexLock lock(&mutex_);
    const core::LoadReport report = reports_.empty()
                                        ? model::ReportLoad(engine_, Clock())
                                        : reports_.front().second;
    Json held = Json::array();
    for (const core::HeldRequest& row : report.held_) {
      held.push_back({{"request", core::ToString(row.request_)},
                      {"owner", row.owner_},
                      {"age_ms", row.age_.count()}});
    }
    response.set_content(
        Json{{"running", report.running_},
             {"slots", report.slots_},
             {"free_pieces", report.free_pieces_},
             {"total_pieces", report.total_pieces_},
             {"prefill_backlog_tokens", report.prefill_backlog_tokens_},
             {"prefill_tokens_per_second", report.prefill_tokens_per_second_},
             {"draining", report.draining_},
             {"held", held}}
            .dump(),
        "application/json");
  }

  void OnRecord(httplib::Response& response) {
    absl::MutexLock lock(&mutex_);
    Json runs = Json::object();
    for (const auto& [id, count] : runs_) {
      runs[core::ToString(id)] = count;
    }
    response.set_content(Json{{"prefills", prefills_},
                              {"decodes", decodes_},
                              {"evicted", engine_.evicted_},
                              {"streams", engine_.streams_.size()},
                              {"outputs", engine_.outputs_.size()},
                              {"queued", engine_.prefills_.size()},
                              {"runs", runs}}
                             .dump(),
                         "application/json");
  }

  void OnControl(const httplib::Request& request, httplib::Response& response) {
    const Json json = Json::parse(request.body, nullptr, false);
    if (!json.is_object()) {
      Refuse(response, 400, "expected an object");
      return;
    }
    absl::MutexLock lock(&mutex_);
    model::EngineFaults& faults = engine_.faults_;
    faults.stalled_ = json.value("stalled", faults.stalled_);
    faults.refusing_ = json.value("refusing", faults.refusing_);
    faults.slowness_ = json.value("slowness", faults.slowness_);
    engine_.draining_ = json.value("draining", engine_.draining_);
    response.set_content("{}", "application/json");
  }

  void Route() {
    http_.new_task_queue = [this] {
      return new httplib::ThreadPool(options_.threads_);
    };
    http_.set_tcp_nodelay(true);
    http_.set_keep_alive_max_count(1);
    http_.Post("/engine/prefill",
               [this](const auto& req, auto& res) { OnPrefill(req, res); });
    http_.Post("/engine/decode",
               [this](const auto& req, auto& res) { OnDecode(req, res); });
    http_.Post("/engine/cancel",
               [this](const auto& req, auto& res) { OnCancel(req, res); });
    http_.Get("/engine/export",
              [this](const auto& req, auto& res) { OnExport(req, res); });
    http_.Get("/engine/load", [this](const auto&, auto& res) { OnLoad(res); });
    http_.Get("/record", [this](const auto&, auto& res) { OnRecord(res); });
    http_.Post("/control",
               [this](const auto& req, auto& res) { OnControl(req, res); });
  }
};

EngineServer::EngineServer(EngineServerOptions options)
    : state_(std::make_unique<State>()) {
  state_->options_ = std::move(options);
  state_->engine_.settings_ = state_->options_.engine_;
  state_->Route();
}

EngineServer::~EngineServer() {
  Stop();
  if (state_->clock_.joinable()) {
    state_->clock_.join();
  }
}

bool EngineServer::Serve() {
  if (!state_->http_.bind_to_port(state_->options_.host_,
                                  state_->options_.port_)) {
    return false;
  }
  state_->clock_ = std::thread([this] { state_->RunClock(); });
  return state_->http_.listen_after_bind();
}

void EngineServer::Stop() {
  state_->stopping_ = true;
  state_->http_.stop();
}

std::string TokenText(const std::string& prompt, std::uint32_t position) {
  constexpr std::uint64_t kWords = 1000;
  return absl::StrCat("w", core::Hash64(prompt, position + 1) % kWords, " ");
}

}  // namespace siskindrum::standin
