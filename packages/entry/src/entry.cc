#include "siskindrum/entry/entry.h"

#include <atomic>

#include "callers_p.h"
#include "core_thread_p.h"
#include "duties_p.h"
#include "operators_p.h"
#include "siskindrum/peer/codec.h"
#include "siskindrum/peer/incarnation.h"
#include "siskindrum/peer/node.h"
#include "siskindrum/rules/rules.h"

namespace siskindrum::entry {

namespace {

constexpr core::Milliseconds kPeerFlush{1000};

// Tags of messages whose failure the core wants to know.
enum class SendKind : std::uint64_t { kOther, kLease, kForward, kCount };

std::uint64_t MakeTag(SendKind kind, const core::RequestId& request) {
  return request.sequence_ << 2 | static_cast<std::uint64_t>(kind);
}

core::RouterOptions MakeOptions(const settings::Settings& settings) {
  core::RouterOptions options;
  options.name_ = settings.name_;
  options.domain_ = settings.domain_;
  options.peer_address_ = settings::ToString(settings.peers_);
  options.incarnation_ = peer::MakeIncarnation();
  options.seed_ = settings.seed_ != 0 ? settings.seed_ : options.incarnation_;
  return options;
}

}  // namespace

struct Entry::State {
  explicit State(settings::Settings settings)
      : settings_(std::move(settings)),
        options_(MakeOptions(settings_)),
        core_(options_, metrics_),
        context_{core_, metrics_, backend::LineEngine(), settings_},
        node_(
            {settings_.peers_.host_, settings_.peers_.port_, settings_.fleet_},
            {[this](const std::string& bytes) { return OnReceived(bytes); },
             [this](std::uint64_t tag, core::Verdict verdict) {
               OnSendFailed(tag, std::move(verdict));
             },
             [this](core::LogEvent event) { logs_.Add(std::move(event)); }}),
        poller_(context_),
        canceller_(context_),
        calls_(context_),
        platform_(context_),
        logs_(metrics_),
        callers_(context_, channels_, watch_),
        operators_(context_, node_) {}

  settings::Settings settings_;
  core::RouterOptions options_;
  telemetry::Metrics metrics_;
  CoreThread core_;
  DriverContext context_;
  ChannelTable channels_;
  CallerWatch watch_;
  peer::Node node_;
  LoadPoller poller_;
  Canceller canceller_;
  ForwardedCalls calls_;
  PlatformReader platform_;
  telemetry::LogWriter logs_;
  Callers callers_;
  Operators operators_;
  std::atomic<bool> drained_{false};

  bool OnReceived(const std::string& bytes) {
    auto message = peer::Decode(bytes);
    if (!message.has_value()) {
      metrics_.Add(telemetry::Counter::kPeerFramesRefused);
      return false;
    }
    const auto* body = std::get_if<core::ConfigurationBody>(&message->body_);
    if (body == nullptr) {
      return core_.Post(core::PeerMessageArrived{std::move(*message)});
    }
    auto made = rules::MakeConfiguration(body->revision_, body->text_);
    if (made.has_value()) {
      return core_.Post(core::ConfigurationArrived{*made, message->from_});
    }
    return core_.Post(core::ConfigurationRefused{body->revision_, made.error(),
                                                 message->from_});
  }

  void OnSendFailed(std::uint64_t tag, core::Verdict verdict) {
    const auto kind = static_cast<SendKind>(tag & 3);
    const core::RequestId request{options_.incarnation_, tag >> 2};
    core::PeerSendFailed failed;
    failed.verdict_ = std::move(verdict);
    if (kind == SendKind::kLease) {
      core::LeaseRequest lease;
      lease.need_.request_ = request;
      failed.body_ = std::move(lease);
    } else if (kind == SendKind::kForward) {
      core::CallForward forward;
      forward.request_ = request;
      failed.body_ = std::move(forward);
    } else {
      return;
    }
    core_.Post(std::move(failed));
  }

  void SendToPeer(const core::SendPeerMessage& send) {
    std::uint64_t tag = 0;
    if (const auto* lease = std::get_if<core::LeaseRequest>(&send.body_)) {
      tag = MakeTag(SendKind::kLease, lease->need_.request_);
    } else if (const auto* call = std::get_if<core::CallForward>(&send.body_)) {
      tag = MakeTag(SendKind::kForward, call->request_);
    }
    const std::string bytes =
        peer::Encode({options_.name_, options_.incarnation_, send.body_});
    if (!node_.Send(send.address_, bytes, tag)) {
      metrics_.Add(telemetry::Counter::kRingFull);
      OnSendFailed(
          tag, {core::RunState::kNotRun, core::Reason::kOverloaded,
                "the ring to the peer thread is full", core::Milliseconds(0)});
    }
  }

  // Hands an action to the thread that serves its request.
  template <class RequestAction>
  void ToChannel(RequestAction action) {
    const auto channel = channels_.Find(action.request_);
    if (channel != nullptr) {
      channel->actions_.Push(core::RouterAction(std::move(action)));
    }
  }

  void Do(core::SendPlain action) {
    const auto channel = channels_.Find(action.request_);
    if (channel != nullptr) {
      channel->actions_.Push(core::RouterAction(std::move(action)));
    } else {
      calls_.Add(std::move(action));
    }
  }
  void Do(const core::AbortRequest& action) {
    const auto channel = channels_.Find(action.request_);
    if (channel != nullptr) {
      channel->gone_ = true;
      channel->call_.Stop();
      channel->actions_.Close();
    }
  }
  void Do(const core::RequestAccepted& action) { ToChannel(action); }
  void Do(core::StartPrefill action) { ToChannel(std::move(action)); }
  void Do(core::StartDecode action) { ToChannel(std::move(action)); }
  void Do(core::AnswerError action) { ToChannel(std::move(action)); }
  void Do(core::AnswerPlain action) { ToChannel(std::move(action)); }
  void Do(core::CancelOnServer action) { canceller_.Add(std::move(action)); }
  void Do(const core::SendPeerMessage& action) { SendToPeer(action); }
  void Do(core::PollServers action) { poller_.Set(std::move(action.servers_)); }
  void Do(const core::WatchPlatform& action) {
    platform_.SetWatch(action.watch_);
  }
  void Do(core::LogEvent action) {
    if (action.event_ == "configuration_taken") {
      platform_.SetRevision(std::stoull(action.fields_.front().value_));
    }
    logs_.Add(std::move(action));
  }
  void Do(const core::Drained&) { drained_ = true; }

  void Dispatch(core::RouterAction action) {
    std::visit([this](auto&& one) { Do(std::forward<decltype(one)>(one)); },
               std::move(action));
  }
};

Entry::Entry(settings::Settings settings)
    : state_(std::make_unique<State>(std::move(settings))) {}

Entry::~Entry() = default;

tl::expected<void, std::string> Entry::Start() {
  State& state = *state_;
  if (auto started = state.node_.Start(); !started.has_value()) {
    return started;
  }
  if (auto started = state.operators_.Start(); !started.has_value()) {
    return started;
  }
  state.logs_.Start();
  state.logs_.Add(
      {"entry_started",
       {{"name", state.settings_.name_},
        {"domain", state.settings_.domain_},
        {"incarnation", std::to_string(state.options_.incarnation_)}}});
  state.canceller_.Start();
  state.calls_.Start();
  state.watch_.Start([&state](const core::RequestId& request) {
    state.core_.Post(core::CallerGone{request});
  });
  state.core_.Start([&state](core::RouterAction action) {
    state.Dispatch(std::move(action));
  });
  state.poller_.Start();
  state.platform_.Start();
  return state.callers_.Start();
}

void Entry::Drain() {
  state_->core_.Post(core::DrainRequested{});
}

bool Entry::IsDrained() const {
  return state_->drained_;
}

std::size_t Entry::RequestsInProgress() const {
  return state_->channels_.Size();
}

void Entry::Stop() {
  State& state = *state_;
  if (!state.drained_) {
    state.logs_.Add(
        {"drain_cut", {{"requests", std::to_string(state.channels_.Size())}}});
    state.channels_.StopAll();
  }
  state.callers_.Stop();
  state.platform_.Stop();
  state.poller_.Stop();
  state.core_.Stop();
  state.canceller_.Stop();
  state.calls_.Stop();
  state.watch_.Stop();
  state.node_.Stop(kPeerFlush);
  state.operators_.Stop();
  state.logs_.Add({"entry_stopped", {{"name", state.settings_.name_}}});
  state.logs_.Stop();
}

}  // namespace siskindrum::entry
