// Text from a caller, a server, a peer and the list, taken from the head of a
// request, and all that an operator can read while the request is in progress:
// dump, metrics, log lines and explanation must be well-formed.

#include <cstdint>
#include <cstdlib>
#include <string>

#include <nlohmann/json.hpp>

#include "dialect.h"
#include "operators_p.h"
#include "siskindrum/core/text.h"
#include "siskindrum/http/parser.h"
#include "siskindrum/rules/rules.h"
#include "siskindrum/telemetry/log.h"

namespace {

namespace core = siskindrum::core;
namespace dispatch = siskindrum::dispatch;
namespace gateway = siskindrum::gateway;
namespace http = siskindrum::http;

constexpr char kRules[] =
    "default then pool=desk plain repeat=never retries=0 timeout=5s "
    "# asked by Ann\n";
constexpr core::TimePoint kNow{core::Milliseconds(1000)};
constexpr core::RequestId kRequest{1, 1};

void Check(bool holds) {
  if (!holds) {
    std::abort();
  }
}

bool IsPrintable(const std::string& text) {
  return core::IsUtf8(text) && text.find('\n') == std::string::npos &&
         text.find('\x1B') == std::string::npos;
}

// Splits bytes that are not a request with an id, so that they serve too.
dispatch::CallerCall MakeCall(const std::string& text) {
  dispatch::CallerCall call;
  call.label_ = text.substr(0, text.size() / 2);
  call.shape_.path_ = text.substr(text.size() / 2);
  call.shape_.model_ = text;
  call.shape_.organisation_ = call.label_;
  return call;
}

dispatch::CallerCall ReadCall(const std::string& text) {
  static const gateway::Dialect dialect = siskindrum::adapter::MakeDialect();
  http::MessageParser parser(http::MessageParser::Kind::kRequest, {}, {});
  parser.Feed(text);
  if (parser.Error() != http::ParseError::kNone || !parser.IsHeadDone()) {
    return MakeCall(text);
  }
  auto call = dialect.read_call_(parser.GetHead());
  return call.has_value() ? *call : MakeCall(text);
}

core::ServerInfo MakeServer(const std::string& text) {
  core::ServerInfo info;
  info.name_ = "desk-" + text;
  info.address_ = text;
  info.service_ = "desk";
  info.domain_ = text;
  info.role_ = core::ServerRole::kPlain;
  return info;
}

void Handle(dispatch::Dispatcher& dispatcher, const dispatch::Event& event) {
  std::vector<dispatch::Action> actions;
  dispatch::HandleEvent(dispatcher, event, kNow, actions);
  for (const dispatch::Action& action : actions) {
    if (const auto* log = std::get_if<core::LogEvent>(&action)) {
      Check(IsPrintable(siskindrum::telemetry::FormatEvent(*log)));
    }
  }
}

void ReadPages(const dispatch::Dispatcher& dispatcher,
               const std::string& label) {
  static const siskindrum::telemetry::Metrics metrics;
  static const siskindrum::memory::Budget budget(0);
  Check(nlohmann::json::accept(gateway::DumpText(dispatcher, kNow)));
  Check(core::IsUtf8(
      gateway::MetricsText(metrics, dispatcher, {}, {}, budget, 0)));
  Check(core::IsUtf8(gateway::ExplainText(dispatcher, label)));
  Check(core::IsUtf8(gateway::ExplainText(dispatcher, label + "-unknown")));
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  static const auto configuration =
      *siskindrum::rules::MakeConfiguration(1, kRules);
  const std::string text(reinterpret_cast<const char*>(data), size);
  dispatch::Dispatcher dispatcher = dispatch::MakeDispatcher({});
  dispatcher.peers_.membership_.members_[text].row_.address_ = text;
  const core::ServerInfo server = MakeServer(text);
  const dispatch::CallerCall call = ReadCall(text);
  Handle(dispatcher, dispatch::ConfigurationRead{configuration, text});
  Handle(dispatcher, dispatch::ListSeen{{{server}, {text}, false}});
  Handle(dispatcher, dispatch::CallArrived{kRequest, call, kNow});
  ReadPages(dispatcher, call.label_);
  Handle(dispatcher, dispatch::ServerNoticeReceived{
                         server.name_, 0, true, core::Milliseconds(10), text});
  dispatch::AttemptDone done;
  done.request_ = kRequest;
  done.attempt_ = 1;
  done.detail_ = text;
  Handle(dispatcher, done);
  ReadPages(dispatcher, call.label_);
  return 0;
}
