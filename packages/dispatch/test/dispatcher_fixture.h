#ifndef SISKINDRUM_DISPATCH_TEST_DISPATCHER_FIXTURE_H_
#define SISKINDRUM_DISPATCH_TEST_DISPATCHER_FIXTURE_H_

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "siskindrum/dispatch/dispatcher.h"
#include "siskindrum/rules/rules.h"

namespace siskindrum::dispatch {

// A dispatcher with virtual time, prefill engines p1 and p2, decode engines d1
// to d3 and plain servers s1 to s3.
struct DispatcherFixture {
  static constexpr char kRules[] =
      "pool engines slots=64 memory=60000 hold=2000ms # asked by Ann\n"
      "when path=/resume/* then pool=engines resume=allowed retries=1 "
      "first_token=900ms timeout=14s # asked by Bo\n"
      "when path=/stream/* then pool=engines resume=never retries=0 "
      "first_token=900ms timeout=14s # asked by Cy\n"
      "when path=/book/* then pool=desk plain repeat=never retries=0 "
      "timeout=800ms # asked by Di\n"
      "when path=/read/* then pool=desk plain repeat=allowed retries=1 "
      "timeout=800ms # asked by Ed\n"
      "when path=/book2/* then pool=desk plain repeat=never retries=1 "
      "timeout=800ms # asked by Gus\n"
      "when path=/stream2/* then pool=engines resume=never retries=1 "
      "first_token=900ms timeout=14s # asked by Ida\n"
      "default then refuse # asked by Flo\n";

  DispatcherFixture() : dispatcher_(MakeDispatcher(Options("entry-1"))) {
    Configure(1, kRules);
    std::vector<core::ServerInfo> list;
    for (const char* name : {"p1", "p2"}) {
      list.push_back(Engine(name, core::ServerRole::kPrefill));
    }
    for (const char* name : {"d1", "d2", "d3"}) {
      list.push_back(Engine(name, core::ServerRole::kDecode));
    }
    for (const char* name : {"s1", "s2", "s3"}) {
      list.push_back(Plain(name));
    }
    List(list, true);
  }

  static DispatcherOptions Options(const std::string& name) {
    DispatcherOptions options;
    options.name_ = name;
    options.domain_ = "east";
    options.incarnation_ = 1;
    options.seed_ = 1;
    return options;
  }
  static core::ServerInfo Engine(const std::string& name,
                                 core::ServerRole role) {
    core::ServerInfo info;
    info.name_ = name;
    info.address_ = name + ":1";
    info.service_ = "engines";
    info.domain_ = "east";
    info.role_ = role;
    info.slots_ = 64;
    return info;
  }
  static core::ServerInfo Plain(const std::string& name) {
    core::ServerInfo info = Engine(name, core::ServerRole::kPlain);
    info.service_ = "desk";
    info.slots_ = 6;
    return info;
  }

  void Configure(std::uint64_t revision, const std::string& rules) {
    Handle(
        ConfigurationRead{*rules::MakeConfiguration(revision, rules), "test"});
  }
  // The same with organisations of these names, each with a key.
  void Configure(std::uint64_t revision,
                 const std::string& rules,
                 const std::vector<std::string>& organisations) {
    std::string lines;
    for (const std::string& name : organisations) {
      lines +=
          "organisation " + name + " keys=" + KeyOf(name) + " # asked by Ann\n";
    }
    Configure(revision, lines + rules);
  }
  void List(const std::vector<core::ServerInfo>& seen, bool whole) {
    Handle(ListSeen{{seen, {}, whole}});
  }
  void Remove(const std::string& name) {
    Handle(ListSeen{{{}, {name}, false}});
  }
  void Leave(core::ServerInfo info) {
    info.leaving_ = true;
    List({info}, false);
  }

  void Handle(const Event& event) {
    std::vector<Action> actions;
    HandleEvent(dispatcher_, event, now_, actions);
    for (Action& action : actions) {
      Record(action);
    }
  }
  // Advances the virtual time in ticks of 20 ms.
  void Pass(Milliseconds time) {
    const TimePoint until = now_ + time;
    while (now_ < until) {
      now_ += std::min<core::Nanoseconds>(Milliseconds(20), until - now_);
      Handle(Ticked{});
    }
  }

  RequestId Arrive(const std::string& path,
                   std::uint32_t prompt = 5000,
                   std::uint32_t answer = 700,
                   const core::PromptParts& shared_parts = {},
                   const std::string& organisation = "") {
    CallArrived arrived;
    arrived.request_ = {1, ++requests_};
    arrived.call_.shape_.path_ = path;
    arrived.call_.shape_.prompt_tokens_ = prompt;
    arrived.call_.answer_tokens_ = answer;
    arrived.call_.shared_parts_ = shared_parts;
    arrived.call_.label_ = "r" + std::to_string(requests_);
    arrived.call_.time_left_ = Milliseconds(14000);
    arrived.arrived_at_ = now_;
    if (!organisation.empty()) {
      arrived.call_.key_ = KeyOf(organisation);
    }
    Handle(arrived);
    return arrived.request_;
  }
  RequestId ArriveFrom(const std::string& organisation,
                       const std::string& path) {
    return Arrive(path, 5000, 700, {}, organisation);
  }
  static std::string KeyOf(const std::string& organisation) {
    return "key-of-" + organisation;
  }

  // The last attempt of the request. Requires: one was started.
  const StartAttempt& Last(const RequestId& id) const {
    return starts_.at(id).back();
  }
  std::size_t Starts(const RequestId& id, Stage stage) const {
    const auto found = starts_.find(id);
    return found == starts_.end()
               ? 0
               : static_cast<std::size_t>(
                     std::count_if(found->second.begin(), found->second.end(),
                                   [stage](const StartAttempt& attempt) {
                                     return attempt.stage_ == stage;
                                   }));
  }
  bool IsRefused(const RequestId& id) const { return refused_.contains(id); }
  const core::Verdict& Verdict(const RequestId& id) const {
    return refused_.at(id);
  }

  void Reserve(const RequestId& id, bool ok) {
    Handle(ReserveDone{id, Last(id).attempt_, ok, !ok, ok ? "hold" : "", ""});
  }
  void Prefill(const RequestId& id, bool ok, bool refused = false) {
    Handle(PrefillDone{id, Last(id).attempt_, ok, refused, ok ? "kv" : "", ""});
  }
  void Begin(const RequestId& id) {
    Handle(AnswerBegan{id, Last(id).attempt_});
  }
  void Sustain(const RequestId& id) {
    Handle(AnswerSustained{id, Last(id).attempt_});
  }
  // Starts a request and its answer.
  RequestId StartAnswer(const std::string& path) {
    const RequestId id = Arrive(path);
    Reserve(id, true);
    Prefill(id, true);
    Begin(id);
    return id;
  }
  void Done(const RequestId& id,
            AttemptOutcome outcome,
            RunState run_state = RunState::kMayHaveRun,
            std::optional<std::uint64_t> last_event = std::nullopt) {
    AttemptDone done;
    done.request_ = id;
    done.attempt_ = Last(id).attempt_;
    done.outcome_ = outcome;
    done.run_state_ = run_state;
    done.reason_ = core::Reason::kConnectionLost;
    done.last_event_ = last_event;
    done.connection_lost_ =
        outcome == AttemptOutcome::kFailed && run_state != RunState::kNotRun;
    done.wrote_events_ =
        outcome == AttemptOutcome::kDelivered || last_event.has_value();
    Handle(done);
  }

  Dispatcher dispatcher_;
  TimePoint now_{std::chrono::hours(1)};
  std::uint64_t requests_ = 0;
  std::map<RequestId, std::vector<StartAttempt>> starts_;
  std::map<RequestId, core::Verdict> refused_;
  std::vector<RequestId> abandoned_;
  std::vector<RequestId> server_errors_;
  std::vector<std::string> freed_;     // Handles of freed prefill results.
  std::vector<std::string> released_;  // Released reservations.
  std::vector<RequestId> order_;  // Requests in the order of their attempts.
  std::vector<core::LogEvent> logs_;
  // Engines queried for retained prompts.
  std::vector<std::string> queried_engines_;
  bool ready_ = false;

 private:
  void Record(const Action& action) {
    if (const auto* start = std::get_if<StartAttempt>(&action)) {
      starts_[start->request_].push_back(*start);
      order_.push_back(start->request_);
    } else if (const auto* abandon = std::get_if<AbandonAttempt>(&action)) {
      abandoned_.push_back(abandon->request_);
    } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
      refused_[refuse->request_] = refuse->verdict_;
    } else if (const auto* error = std::get_if<DeliverServerError>(&action)) {
      server_errors_.push_back(error->request_);
    } else if (const auto* free = std::get_if<FreeHandle>(&action)) {
      freed_.push_back(free->handle_);
    } else if (const auto* release = std::get_if<ReleaseReservation>(&action)) {
      released_.push_back(release->hold_);
    } else if (const auto* ready = std::get_if<ReadyChanged>(&action)) {
      ready_ = ready->ready_;
    } else if (const auto* query = std::get_if<ListRetainedPrompts>(&action)) {
      queried_engines_.push_back(query->server_);
    } else if (const auto* log = std::get_if<core::LogEvent>(&action)) {
      logs_.push_back(*log);
    }
  }
};

}  // namespace siskindrum::dispatch

#endif  // SISKINDRUM_DISPATCH_TEST_DISPATCHER_FIXTURE_H_
