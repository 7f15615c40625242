#include "siskindrum/gateway/gateway.h"

#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "absl/strings/match.h"
#include "absl/strings/strip.h"
#include "control_client_p.h"
#include "exchange_p.h"
#include "listener_p.h"
#include "operators_p.h"
#include "peer_link_p.h"
#include "siskindrum/core/guard.h"
#include "siskindrum/gateway/decision_thread.h"
#include "siskindrum/http/clock.h"
#include "siskindrum/peer/incarnation.h"
#include "siskindrum/telemetry/log_writer.h"
#include "where_p.h"

namespace siskindrum::gateway {

namespace {

constexpr core::Milliseconds kSweepInterval{20};
// Connections of callers are swept once in this many sweeps.
constexpr int kSweepsPerCallerSweep = 5;
// A drain keeps accepting connections for this long, so that all load balancers
// have seen that this entry is not ready. Idle connections are closed after it.
constexpr core::Milliseconds kDrainListenTime{2800};
// The last part of a drain, in which requests that cannot be served any more
// are answered and connections close.
constexpr core::Milliseconds kLastAnswersTime{200};

// Least advice on when to come back after a refusal for lack of memory. Most
// requests end within it.
constexpr core::Milliseconds kMemoryRetryAfter{700};
// The advice of consecutive refusals differs by up to this, so that the callers
// do not return together.
constexpr std::uint64_t kMemoryRetrySpreadMs = 600;
constexpr std::uint64_t kMemoryRetryStepMs = 170;
// Refusals for lack of memory are logged once in this time.
constexpr core::Milliseconds kMemoryLogInterval{1000};
constexpr auto kMemoryUses = static_cast<std::size_t>(memory::Use::kCount);
// Key of the caller that an operator asks about. Not a parameter, since targets
// are logged.
constexpr char kWhereKeyHeader[] = "Where-Key";
// Probes and operators send no bodies worth mentioning.
constexpr std::uint64_t kMaxOperatorBody = 4 * 1024;

GatewayOptions WithNewIncarnation(GatewayOptions options) {
  options.decisions_.incarnation_ = peer::MakeIncarnation();
  options.decisions_.seed_ = options.decisions_.incarnation_;
  return options;
}

http::Head TextHead(int status) {
  http::Head head;
  head.status_ = status;
  head.fields_ = {{"Content-Type", "text/plain; charset=utf-8"}};
  return head;
}

}  // namespace

struct Gateway::State {
  explicit State(const GatewayOptions& options)
      : options_(WithNewIncarnation(options)),
        budget_(memory::BudgetFor(options.memory_limit_)),
        pool_(context_, &budget_),
        decisions_(options_.decisions_),
        logs_(metrics_),
        log_([this](core::LogEvent event) { logs_.Add(std::move(event)); }),
        peers_(
            {options_.decisions_.peers_address_, options_.fleet_},
            {[this](dispatch::Event event) { Post(std::move(event)); }, log_}),
        exchange_context_{
            options_.dialect_, pool_, metrics_,
            [this](dispatch::Event event) { Post(std::move(event)); },
            &budget_},
        control_client_(
            {options_.dialect_, pool_, options_.decisions_.name_,
             [this](dispatch::Event event) { Post(std::move(event)); }, log_}),
        callers_(context_, CallerHandlers()),
        probes_(context_, ProbeHandlers()),
        operators_(context_, OperatorHandlers()),
        timer_(context_) {
    http::CallerLimits limits;
    limits.budget_ = &budget_;
    callers_.SetLimits(limits);
    limits = {};
    limits.parser_.body_bytes_ = kMaxOperatorBody;
    probes_.SetLimits(limits);
    operators_.SetLimits(limits);
  }

  GatewayOptions options_;
  memory::Budget budget_;  // Outlives all that is charged to it.
  boost::asio::io_context context_{1};
  http::BackendPool pool_;
  telemetry::Metrics metrics_;
  DecisionThread decisions_;
  telemetry::LogWriter logs_;
  const std::function<void(core::LogEvent)> log_;
  PeerLink peers_;
  ExchangeContext exchange_context_;
  ControlClient control_client_;
  Listener callers_;
  Listener probes_;
  Listener operators_;
  boost::asio::steady_timer timer_;
  std::unordered_map<http::CallerConnection*, std::shared_ptr<Exchange>>
      by_caller_;
  std::unordered_map<core::RequestId,
                     std::weak_ptr<Exchange>,
                     core::RequestIdHash>
      by_id_;
  std::uint64_t next_sequence_ = 0;
  dispatch::AccessChanged access_;  // Last one of the dispatcher.
  std::uint64_t memory_refusals_ = 0;
  std::uint64_t logged_memory_refusals_ = 0;
  core::TimePoint memory_logged_at_{};
  int sweeps_ = 0;
  bool ready_ = false;
  bool draining_ = false;
  core::TimePoint drain_began_{};

  void Post(dispatch::Event event) {
    if (!decisions_.Post(std::move(event))) {
      metrics_.Add(telemetry::Counter::kRingFull);
      logs_.Add({"ring_full", {{"ring", "decisions"}}});
    }
  }

  http::CallerHandlers CallerHandlers() {
    http::CallerHandlers handlers;
    handlers.on_head_ = [this](const http::Head& head) {
      return RefuseByHead(head);
    };
    handlers.on_request_ =
        [this](const std::shared_ptr<http::CallerConnection>& caller,
               http::CallerRequest request) {
          const bool done = core::RunGuarded(
              "request", log_, [&] { OnRequest(caller, std::move(request)); });
          if (!done) {
            caller->Abort();
          }
        };
    handlers.on_no_memory_ = [this](const http::Head& head) {
      return RefuseForMemory(head);
    };
    handlers.on_disconnect_ = [this](http::CallerConnection& caller) {
      OnCallerGone(caller);
    };
    handlers.on_writable_ = [this](http::CallerConnection& caller) {
      const auto found = by_caller_.find(&caller);
      if (found != by_caller_.end()) {
        found->second->OnCallerWritable();
      }
    };
    return handlers;
  }

  http::CallerHandlers ProbeHandlers() {
    http::CallerHandlers handlers;
    handlers.on_request_ =
        [this](const std::shared_ptr<http::CallerConnection>& caller,
               const http::CallerRequest& /*request*/) {
          caller->Respond(TextHead(ready_ ? 200 : 503), "");
        };
    handlers.on_disconnect_ = [](http::CallerConnection&) {};
    handlers.on_writable_ = [](http::CallerConnection&) {};
    return handlers;
  }

  http::CallerHandlers OperatorHandlers() {
    http::CallerHandlers handlers = ProbeHandlers();
    handlers.on_request_ =
        [this](const std::shared_ptr<http::CallerConnection>& caller,
               const http::CallerRequest& request) {
          OnOperatorRequest(*caller, request.head_);
        };
    return handlers;
  }

  // Returns the page that an operator asked for; empty: there is none.
  std::string OperatorText(const std::string& target) {
    std::string text;
    absl::string_view label = target;
    decisions_.Read([&](const dispatch::Dispatcher& dispatcher) {
      if (target == "/metrics") {
        text = MetricsText(metrics_, dispatcher, pool_.Counters(),
                           peers_.Counters(), budget_, memory_refusals_);
      } else if (target == "/dump") {
        text = DumpText(dispatcher, http::MonotonicNow());
      } else if (absl::ConsumePrefix(&label, "/explain?request=")) {
        text = ExplainText(dispatcher, std::string(label));
      }
    });
    return text;
  }

  std::string WhereAnswer(const WhereQuestion& question) {
    std::string text;
    decisions_.Read([&](const dispatch::Dispatcher& dispatcher) {
      text = WhereText(dispatcher, question, http::MonotonicNow());
    });
    return text;
  }

  void OnOperatorRequest(http::CallerConnection& caller,
                         const http::Head& head) {
    const std::string& target = head.target_;
    if (target == "/where" || absl::StartsWith(target, "/where?")) {
      const std::string* key = http::FindField(head, kWhereKeyHeader);
      const auto question = ParseWhere(target, key == nullptr ? "" : *key);
      if (!question.has_value()) {
        caller.Respond(TextHead(400), question.error() + "\n");
        return;
      }
      const OperatorPage page = MakeOperatorPage(
          "/where",
          [&](const std::string& /*target*/) { return WhereAnswer(*question); },
          log_);
      caller.Respond(TextHead(page.status_), page.text_);
      return;
    }
    const OperatorPage page = MakeOperatorPage(
        target, [this](const std::string& each) { return OperatorText(each); },
        log_);
    caller.Respond(TextHead(page.status_), page.text_);
  }

  // Refuses a request that certainly needs a key that it does not have. The
  // dispatcher decides on all others.
  std::optional<http::Head> RefuseByHead(const http::Head& head) {
    const auto& configuration = access_.configuration_;
    if (configuration == nullptr ||
        configuration->rules_.organisations_.empty() ||
        options_.dialect_.read_key_ == nullptr ||
        access::FindOrganisation(configuration->rules_,
                                 options_.dialect_.read_key_(head)) !=
            nullptr) {
      return std::nullopt;
    }
    const auto call = options_.dialect_.read_call_(head);
    const core::Rule* rule =
        call.has_value() ? core::MatchRule(configuration->rules_, call->shape_)
                         : nullptr;
    if (rule == nullptr || rule->outcome_.action_ == core::Action::kRefuse) {
      return std::nullopt;
    }
    const core::TimePoint now = http::MonotonicNow();
    const access::Decision decision =
        access::Decide({&configuration->rules_, access_.confirmation_,
                        options_.decisions_.revocation_limit_},
                       call->key_, rule->outcome_.public_, now);
    if (decision.reason_ != core::Reason::kUnauthorised) {
      return std::nullopt;
    }
    const core::RequestId id{options_.decisions_.incarnation_,
                             ++next_sequence_};
    Post(dispatch::RefusedAtHead{id, *call, now, configuration, rule,
                                 decision.reason_, decision.detail_});
    core::Verdict verdict;
    verdict.reason_ = decision.reason_;
    return options_.dialect_.make_refusal_(verdict, call->label_);
  }

  // Returns the answer to a request that is not read for lack of memory.
  http::Head RefuseForMemory(const http::Head& head) {
    ++memory_refusals_;
    const auto call = options_.dialect_.read_call_(head);
    core::Verdict verdict;
    verdict.reason_ = core::Reason::kOverloaded;
    verdict.retry_after_ =
        kMemoryRetryAfter +
        core::Milliseconds(memory_refusals_ * kMemoryRetryStepMs %
                           kMemoryRetrySpreadMs);
    return call.has_value()
               ? options_.dialect_.make_refusal_(verdict, call->label_)
               : TextHead(400);
  }

  void LogMemoryRefusals(core::TimePoint now) {
    const std::uint64_t count = memory_refusals_ - logged_memory_refusals_;
    if (count == 0 || now - memory_logged_at_ < kMemoryLogInterval) {
      return;
    }
    logged_memory_refusals_ = memory_refusals_;
    memory_logged_at_ = now;
    core::LogEvent log{"memory_short",
                       {{"refused", std::to_string(count)},
                        {"limit", std::to_string(budget_.Limit())},
                        {"used", std::to_string(budget_.Used())}}};
    for (std::size_t i = 0; i < kMemoryUses; ++i) {
      const auto use = static_cast<memory::Use>(i);
      log.fields_.push_back(
          {memory::ToString(use), std::to_string(budget_.Used(use))});
    }
    logs_.Add(std::move(log));
  }

  void OnRequest(const std::shared_ptr<http::CallerConnection>& caller,
                 http::CallerRequest request) {
    by_caller_.erase(caller.get());
    const auto call = options_.dialect_.read_call_(request.head_);
    if (!call.has_value()) {
      logs_.Add({"request_malformed", {{"error", call.error()}}});
      caller->Respond(TextHead(400), call.error() + "\n");
      return;
    }
    const core::RequestId id{options_.decisions_.incarnation_,
                             ++next_sequence_};
    dispatch::CallArrived arrived{id, *call, request.arrived_at_};
    arrived.call_.request_bytes_ = request.body_.Size();
    if (call->time_left_.count() > 0) {
      caller->KeepAnswerUntil(request.arrived_at_ + call->time_left_);
    }
    auto exchange = std::make_shared<Exchange>(
        id, call->label_, caller, std::move(request), exchange_context_);
    by_caller_[caller.get()] = exchange;
    by_id_[id] = exchange;
    if (!decisions_.Post(std::move(arrived))) {
      metrics_.Add(telemetry::Counter::kRingFull);
      core::Verdict verdict;
      verdict.reason_ = core::Reason::kOverloaded;
      verdict.detail_ = "the event queue of the dispatcher is full";
      verdict.retry_after_ = core::Milliseconds(1000);
      exchange->Refuse(verdict);
    }
  }

  void OnCallerGone(http::CallerConnection& caller) {
    const auto found = by_caller_.find(&caller);
    if (found == by_caller_.end()) {
      return;
    }
    const std::shared_ptr<Exchange> exchange = found->second;
    by_caller_.erase(found);
    if (!exchange->IsDone()) {
      exchange->Cancel();
      Post(dispatch::CallerLeft{exchange->Id()});
    }
  }

  std::shared_ptr<Exchange> FindExchange(const core::RequestId& id) {
    const auto found = by_id_.find(id);
    return found == by_id_.end() ? nullptr : found->second.lock();
  }

  void Execute(const dispatch::StartAttempt& start) {
    if (const auto exchange = FindExchange(start.request_)) {
      exchange->Start(start);
    }
  }
  void Execute(const dispatch::AbandonAttempt& abandon) {
    if (const auto exchange = FindExchange(abandon.request_)) {
      exchange->Abandon(abandon);
    }
  }
  void Execute(const dispatch::Refuse& refuse) {
    if (const auto exchange = FindExchange(refuse.request_)) {
      exchange->Refuse(refuse.verdict_);
    }
  }
  void Execute(const dispatch::DeliverServerError& deliver) {
    if (const auto exchange = FindExchange(deliver.request_)) {
      exchange->DeliverStoredError();
    }
  }
  void Execute(const dispatch::FreeHandle& free) { control_client_.Send(free); }
  void Execute(const dispatch::ReleaseReservation& release) {
    control_client_.Send(release);
  }
  void Execute(const dispatch::SwitchToDecode& order) {
    control_client_.Send(order);
  }
  void Execute(const dispatch::ListRetainedPrompts& list) {
    control_client_.Send(list);
  }
  void Execute(const dispatch::ListRuns& list) { control_client_.Send(list); }
  void Execute(const dispatch::ConfirmList&) {
    if (options_.confirm_list_) {
      options_.confirm_list_();
    }
  }
  void Execute(const dispatch::SetCallerLimits& change) {
    http::CallerLimits limits;
    limits.parser_.head_bytes_ = change.settings_.head_bytes_;
    limits.parser_.body_bytes_ = change.settings_.body_bytes_;
    limits.head_time_ = change.settings_.head_time_;
    limits.idle_time_ = change.settings_.idle_time_;
    limits.budget_ = &budget_;
    callers_.SetLimits(limits);
  }
  void Execute(const dispatch::AccessChanged& changed) { access_ = changed; }
  void Execute(const dispatch::ReadyChanged& changed) {
    ready_ = changed.ready_;
  }
  void Execute(const dispatch::SendPeerMessage& send) { peers_.Send(send); }
  void Execute(const core::LogEvent& event) { logs_.Add(event); }

  void ExecuteAll(std::vector<dispatch::Action> actions) {
    // Log lines and messages to peers do not need the network thread.
    std::vector<dispatch::Action> rest;
    for (dispatch::Action& action : actions) {
      if (auto* log = std::get_if<core::LogEvent>(&action)) {
        logs_.Add(std::move(*log));
      } else if (const auto* send =
                     std::get_if<dispatch::SendPeerMessage>(&action)) {
        peers_.Send(*send);
      } else {
        rest.push_back(std::move(action));
      }
    }
    if (rest.empty()) {
      return;
    }
    boost::asio::post(context_, [this, rest = std::move(rest)] {
      for (const dispatch::Action& action : rest) {
        core::RunGuarded("action", log_, [&] {
          std::visit([this](const auto& each) { Execute(each); }, action);
        });
      }
    });
  }

  void ArmTimer() {
    timer_.expires_after(kSweepInterval);
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        core::RunGuarded("sweep", log_, [this] { Sweep(); });
        ArmTimer();
      }
    });
  }

  void Sweep() {
    const core::TimePoint now = http::MonotonicNow();
    pool_.Sweep(now);
    std::vector<std::shared_ptr<Exchange>> open;
    std::erase_if(by_caller_, [&open](const auto& entry) {
      if (!entry.second->IsDone()) {
        open.push_back(entry.second);
      }
      return entry.second->IsDone();
    });
    for (const auto& exchange : open) {
      exchange->Sweep(now);
    }
    if (++sweeps_ % kSweepsPerCallerSweep == 0) {
      callers_.Sweep(now);
      probes_.Sweep(now);
      operators_.Sweep(now);
      LogMemoryRefusals(now);
      std::erase_if(by_id_,
                    [](const auto& entry) { return entry.second.expired(); });
    }
    if (draining_) {
      AdvanceDrain(now);
    }
  }

  void AdvanceDrain(core::TimePoint now) {
    const core::Nanoseconds age = now - drain_began_;
    if (age < kDrainListenTime) {
      return;
    }
    callers_.Close();
    callers_.Drain(true);
    const bool ended = by_caller_.empty() && callers_.Connections() == 0;
    if (ended || age > options_.drain_limit_) {
      logs_.Add({"drain_ended",
                 {{"requests_cut", std::to_string(by_caller_.size())}}});
      context_.stop();
    }
  }
};

Gateway::Gateway(const GatewayOptions& options)
    : state_(std::make_unique<State>(options)) {}

Gateway::~Gateway() {
  state_->decisions_.Stop();
  state_->peers_.Stop();
  state_->logs_.Stop();
}

tl::expected<void, std::string> Gateway::Start() {
  State& state = *state_;
  const GatewayOptions& options = state.options_;
  auto opened = state.callers_.Open(options.callers_address_);
  if (opened.has_value() && !options.ready_address_.empty()) {
    opened = state.probes_.Open(options.ready_address_);
  }
  if (opened.has_value() && !options.operators_address_.empty()) {
    opened = state.operators_.Open(options.operators_address_);
  }
  if (opened.has_value()) {
    opened = state.peers_.Start();
  }
  if (!opened.has_value()) {
    return opened;
  }
  state.logs_.Start();
  state.logs_.Add(
      {"entry_started",
       {{"name", options.decisions_.name_},
        {"domain", options.decisions_.domain_},
        {"incarnation", std::to_string(options.decisions_.incarnation_)},
        {"callers", options.callers_address_}}});
  state.decisions_.Start(
      [&state](std::vector<dispatch::Action> actions) {
        state.ExecuteAll(std::move(actions));
      },
      state.log_);
  state.ArmTimer();
  return {};
}

void Gateway::Run() {
  // A handler that throws ends run(), although more work is waiting.
  while (!core::RunGuarded("network", state_->log_,
                           [this] { state_->context_.run(); })) {
  }
  state_->decisions_.Stop();
  state_->peers_.Stop();
  state_->logs_.Add(
      {"entry_stopped", {{"name", state_->options_.decisions_.name_}}});
  state_->logs_.Stop();
}

void Gateway::Drain() {
  State& state = *state_;
  if (state.draining_) {
    return;
  }
  state.draining_ = true;
  state.drain_began_ = http::MonotonicNow();
  state.logs_.Add(
      {"drain_began", {{"requests", std::to_string(state.by_caller_.size())}}});
  state.Post(dispatch::DrainBegan{
      state.drain_began_ + kDrainListenTime,
      state.drain_began_ + state.options_.drain_limit_ - kLastAnswersTime});
  state.callers_.Drain(false);
}

boost::asio::io_context& Gateway::Context() {
  return state_->context_;
}

http::BackendPool& Gateway::Pool() {
  return state_->pool_;
}

memory::Budget& Gateway::MemoryBudget() {
  return state_->budget_;
}

void Gateway::Post(dispatch::Event event) {
  state_->Post(std::move(event));
}

void Gateway::Log(core::LogEvent event) {
  state_->logs_.Add(std::move(event));
}

}  // namespace siskindrum::gateway
