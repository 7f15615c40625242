#include "operators_p.h"

#include <optional>

#include "absl/strings/str_cat.h"
#include "siskindrum/rules/explain.h"
#include "siskindrum/telemetry/dump.h"

namespace siskindrum::entry {

namespace {
constexpr std::size_t kThreads = 4;
constexpr char kText[] = "text/plain; charset=utf-8";
}  // namespace

Operators::Operators(DriverContext context, const peer::Node& node)
    : context_(context), node_(node) {
  Route();
}

tl::expected<void, std::string> Operators::Start() {
  const settings::Address& address = context_.settings_.operators_;
  if (!server_.bind_to_port(address.host_, address.port_)) {
    return tl::unexpected(absl::StrCat("cannot listen for operators on ",
                                       settings::ToString(address)));
  }
  thread_ = std::thread([this] { server_.listen_after_bind(); });
  return {};
}

void Operators::Stop() {
  server_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void Operators::Answer(
    httplib::Response& response,
    const char* content_type,
    const std::function<std::string(const core::Router&, const core::Now&)>&
        write) {
  auto text = std::make_shared<std::optional<std::string>>();
  const bool asked = context_.core_.Ask(
      [text, write](const core::Router& router, const core::Now& now) {
        *text = write(router, now);
      });
  if (!asked) {
    response.status = 503;
    response.set_content("the core did not answer\n", kText);
    return;
  }
  if (!text->has_value()) {
    response.status = 500;
    response.set_content("the page cannot be written; see the log\n", kText);
    return;
  }
  response.set_content(**text, content_type);
}

void Operators::Metrics(httplib::Response& response) {
  const peer::NodeCounters peers = node_.Counters();
  Answer(response, "text/plain; version=0.0.4",
         [this, peers](const core::Router& router, const core::Now&) {
           return absl::StrCat(
               context_.metrics_.ToText(router.counters_),
               "siskindrum_peer_messages_sent_total ", peers.sent_, "\n",
               "siskindrum_peer_messages_failed_total ", peers.failed_, "\n",
               "siskindrum_peer_messages_refused_total ", peers.refused_, "\n",
               "siskindrum_peer_wire_bytes_out_total ", peers.bytes_out_, "\n",
               "siskindrum_peer_wire_bytes_in_total ", peers.bytes_in_, "\n",
               "siskindrum_requests_in_progress ", router.requests_.size(),
               "\nsiskindrum_live_entries ", router.live_entries_, "\n",
               "siskindrum_configuration_revision ",
               router.configuration_.current_ == nullptr
                   ? 0
                   : router.configuration_.current_->revision_,
               "\n");
         });
}

void Operators::Explain(const httplib::Request& request,
                        httplib::Response& response) {
  core::RequestId id;
  if (!core::ParseRequestId(request.get_param_value("request"), &id)) {
    response.status = 400;
    response.set_content(
        "request: expected the identity that an answer "
        "carries in X-Siskindrum-Request\n",
        kText);
    return;
  }
  Answer(response, kText, [id](const core::Router& router, const core::Now&) {
    const core::DecisionRecord* record = core::FindDecision(router, id);
    return record == nullptr
               ? std::string("this entry does not remember that request\n")
               : rules::ExplainDecision(*record);
  });
}

void Operators::Route() {
  server_.new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
  server_.set_keep_alive_max_count(1);
  server_.Get("/healthz",
              [](const auto&, auto& res) { res.set_content("ok\n", kText); });
  server_.Get("/readyz", [this](const auto&, auto& res) {
    bool ready = false;
    const bool asked =
        context_.core_.Ask([&](const core::Router& router, const core::Now&) {
          ready = core::IsReady(router);
        });
    res.status = asked && ready ? 200 : 503;
    res.set_content(asked && ready ? "ready\n" : "not ready\n", kText);
  });
  server_.Get("/metrics", [this](const auto&, auto& res) { Metrics(res); });
  server_.Get("/dump", [this](const auto&, auto& res) {
    Answer(res, "application/json",
           [](const core::Router& router, const core::Now& now) {
             return telemetry::DumpRouter(router, now);
           });
  });
  server_.Get("/explain",
              [this](const auto& req, auto& res) { Explain(req, res); });
}

}  // namespace siskindrum::entry
