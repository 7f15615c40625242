#include "callers_p.h"

#include "absl/strings/str_cat.h"
#include "siskindrum/core/hash.h"
#include "siskindrum/entry/openai.h"

namespace siskindrum::entry {

namespace {

constexpr std::size_t kPrefixBytes = 1024;  // Of a prompt, for the cache hint.
constexpr std::size_t kMaxHeaderValue = 200;
constexpr std::uint32_t kBytesPerToken = 4;
constexpr char kJson[] = "application/json";

// A header's value, cut to a sane length and without control characters.
std::string HeaderText(const httplib::Request& request, const char* name) {
  std::string text = request.get_header_value(name).substr(0, kMaxHeaderValue);
  std::erase_if(text, [](unsigned char c) { return c < 0x20 || c == 0x7f; });
  return text;
}

std::string OrganisationOf(const httplib::Request& request) {
  const std::string own = HeaderText(request, "Siskindrum-Organisation");
  return own.empty() ? HeaderText(request, "OpenAI-Organization") : own;
}

// First segment of a path: "/order-desk/bookings" names "order-desk".
std::string ServiceOf(const std::string& path) {
  const std::size_t end = path.find_first_of("/?", 1);
  return path.size() < 2
             ? ""
             : path.substr(
                   1, end == std::string::npos ? std::string::npos : end - 1);
}

std::string HostWithoutPort(const std::string& host) {
  return host.substr(0, host.rfind(':'));
}

core::RequestShape ShapeOf(const httplib::Request& request,
                           const settings::Settings& settings) {
  core::RequestShape shape;
  shape.organisation_ = OrganisationOf(request);
  shape.method_ = request.method;
  shape.host_ = HostWithoutPort(HeaderText(request, "Host"));
  shape.path_ = request.target;
  shape.domain_ = settings.domain_;
  core::ParsePriority(HeaderText(request, "Siskindrum-Priority"),
                      &shape.priority_);
  shape.idempotency_key_ = HeaderText(request, "Idempotency-Key");
  return shape;
}

void SetTraceHeaders(const Channel& channel, httplib::Response& response) {
  response.set_header("X-Siskindrum-Request", core::ToString(channel.request_));
  response.set_header("X-Siskindrum-Rule-Line",
                      std::to_string(channel.rule_line_));
  response.set_header("X-Siskindrum-Revision",
                      std::to_string(channel.revision_));
}

void SetError(const core::Verdict& verdict, httplib::Response& response) {
  response.status = StatusOf(verdict);
  response.set_header("X-Siskindrum-Verdict",
                      core::ToString(verdict.run_state_));
  if (verdict.key_unused_) {
    response.set_header("X-Siskindrum-Key", "unused");
  }
  response.set_header("X-Siskindrum-Reason", core::ToString(verdict.reason_));
  if (verdict.run_state_ == core::RunState::kNotRun &&
      (response.status == 503 || response.status == 429)) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(
        std::max(verdict.retry_after_, core::Milliseconds(1)));
    response.set_header("Retry-After", std::to_string(seconds.count()));
  }
  response.set_content(FormatError(verdict), kJson);
}

AnswerIdentity IdentityOf(const core::RequestId& id,
                          const CompletionRequest& request) {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return {
      absl::StrCat(request.chat_ ? "chatcmpl-" : "cmpl-", core::ToString(id)),
      request.model_,
      std::chrono::duration_cast<std::chrono::seconds>(now).count(),
      request.chat_};
}

}  // namespace

struct Callers::Session {
  Callers& callers_;
  std::shared_ptr<Channel> channel_;
  int socket_ = -1;
  CompletionRequest request_{};
  std::uint32_t prompt_tokens_ = 0;
  std::unique_ptr<PromptDriver> driver_{};

  Session(Callers& callers, std::shared_ptr<Channel> channel, int socket)
      : callers_(callers), channel_(std::move(channel)), socket_(socket) {}
  ~Session() {
    callers_.watch_.Remove(socket_);
    callers_.channels_.Remove(channel_->request_);
  }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;
};

Callers::Callers(DriverContext context,
                 ChannelTable& channels,
                 CallerWatch& watch)
    : context_(context),
      channels_(channels),
      watch_(watch),
      server_(context.settings_.callers_) {
  Route();
}

tl::expected<void, std::string> Callers::Start() {
  const settings::Address& address = context_.settings_.callers_.address_;
  if (!server_.bind_to_port(address.host_, address.port_)) {
    return tl::unexpected(absl::StrCat("cannot listen for callers on ",
                                       settings::ToString(address)));
  }
  thread_ = std::thread([this] { server_.listen_after_bind(); });
  return {};
}

void Callers::Stop() {
  server_.StopKeepingAlive();
  server_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void Callers::Route() {
  server_.Post("/v1/completions", [this](const auto& req, auto& res) {
    Complete(req, res, false);
  });
  server_.Post("/v1/chat/completions", [this](const auto& req, auto& res) {
    Complete(req, res, true);
  });
  server_.Get("/v1/models", [this](const auto&, auto& res) { Models(res); });
  const auto plain = [this](const auto& req, auto& res) { Plain(req, res); };
  server_.Get(".*", plain);
  server_.Post(".*", plain);
  server_.Put(".*", plain);
  server_.Patch(".*", plain);
  server_.Delete(".*", plain);
}

std::shared_ptr<Callers::Session> Callers::Open(core::RequestShape shape,
                                                std::string content_type,
                                                std::string body) {
  auto channel = std::make_shared<Channel>();
  channel->request_ = context_.core_.NextId();
  channels_.Add(channel);
  auto session =
      std::make_shared<Session>(*this, channel, CallerServer::CurrentSocket());
  core::RequestArrived arrived{channel->request_, std::move(shape),
                               std::move(content_type), std::move(body)};
  if (!context_.core_.Post(std::move(arrived))) {
    // The ring to the core is full: the request goes no further.
    channel->actions_.Push(core::AnswerError{
        channel->request_,
        {core::RunState::kNotRun, core::Reason::kOverloaded,
         "this entry is overloaded", core::Milliseconds(1000)}});
    return session;
  }
  watch_.Add(session->socket_, channel->request_);
  return session;
}

void Callers::Complete(const httplib::Request& request,
                       httplib::Response& response,
                       bool chat) {
  auto parsed = ParseCompletion(request.body, chat);
  if (!parsed.has_value()) {
    response.status = 400;
    response.set_content(FormatBodyError(parsed.error()), kJson);
    return;
  }
  core::RequestShape shape = ShapeOf(request, context_.settings_);
  shape.service_ = HeaderText(request, "Siskindrum-Service");
  shape.model_ = parsed->model_;
  shape.prompt_tokens_ = EstimateTokens(parsed->prompt_);
  shape.max_tokens_ = parsed->max_tokens_;
  if (!request.has_header("Siskindrum-Priority")) {
    shape.priority_ = parsed->priority_;
  }
  if (parsed->prompt_.size() >= kPrefixBytes) {
    shape.prefix_hash_ =
        core::Hash64(std::string_view(parsed->prompt_).substr(0, kPrefixBytes));
    shape.prefix_tokens_ = kPrefixBytes / kBytesPerToken;
  }
  PromptWork work;
  work.prompt_ = parsed->prompt_;
  work.prompt_tokens_ = shape.prompt_tokens_;
  work.max_tokens_ = shape.max_tokens_;
  work.prefix_hash_ = shape.prefix_hash_;
  work.prefix_tokens_ = shape.prefix_tokens_;
  const std::shared_ptr<Session> session = Open(std::move(shape), "", "");
  session->request_ = std::move(*parsed);
  session->prompt_tokens_ = work.prompt_tokens_;
  session->driver_ = std::make_unique<PromptDriver>(context_, session->channel_,
                                                    std::move(work));
  DriveEnd end;
  if (!session->driver_->RunToDecode(&end)) {
    SetTraceHeaders(*session->channel_, response);
    SetError(end.verdict_, response);
    return;
  }
  SetTraceHeaders(*session->channel_, response);
  if (session->request_.stream_) {
    Stream(session, response);
  } else {
    Whole(*session, response);
  }
}

void Callers::Stream(const std::shared_ptr<Session>& session,
                     httplib::Response& response) {
  response.set_chunked_content_provider(
      "text/event-stream", [session](std::size_t, httplib::DataSink& sink) {
        const AnswerIdentity identity =
            IdentityOf(session->channel_->request_, session->request_);
        const auto write = [&](const std::string& text) {
          return sink.write(text.data(), text.size());
        };
        const DriveEnd end =
            session->driver_->RunToEnd([&](const std::string& text) {
              return write(FormatChunk(identity, text, ""));
            });
        if (end.whole_) {
          write(FormatChunk(identity, "", end.finish_reason_) + FormatDone());
        } else {
          write(FormatStreamError(end.verdict_));
        }
        sink.done();
        return true;
      });
}

void Callers::Whole(Session& session, httplib::Response& response) {
  std::string text;
  const DriveEnd end = session.driver_->RunToEnd([&](const std::string& piece) {
    text += piece;
    return true;
  });
  if (!end.whole_) {
    SetError(end.verdict_, response);
    return;
  }
  response.set_content(
      FormatWhole(IdentityOf(session.channel_->request_, session.request_),
                  text, end.finish_reason_, session.prompt_tokens_,
                  session.driver_->Delivered()),
      kJson);
}

void Callers::Plain(const httplib::Request& request,
                    httplib::Response& response) {
  core::RequestShape shape = ShapeOf(request, context_.settings_);
  shape.service_ = ServiceOf(request.path);
  const std::shared_ptr<Session> session = Open(
      std::move(shape), request.get_header_value("Content-Type"), request.body);
  const PlainEnd end = DrivePlain(context_, session->channel_);
  SetTraceHeaders(*session->channel_, response);
  if (!end.answered_) {
    SetError(end.verdict_, response);
    return;
  }
  response.status = end.answer_.status_;
  if (end.repeated_) {
    response.set_header("X-Siskindrum-Repeated", "true");
  }
  response.set_content(end.answer_.body_, end.answer_.content_type_.empty()
                                              ? "application/octet-stream"
                                              : end.answer_.content_type_);
}

void Callers::Models(httplib::Response& response) {
  std::string text;
  const bool asked = context_.core_.Ask([&](const core::Router& router,
                                            const core::Now&) {
    const auto& current = router.configuration_.current_;
    text = FormatModels(current == nullptr ? core::RuleSet{} : current->rules_);
  });
  response.status = asked ? 200 : 503;
  response.set_content(text, kJson);
}

}  // namespace siskindrum::entry
