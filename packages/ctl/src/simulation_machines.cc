// The clock, entries and engines of the simulation.

#include "simulation_p.h"

#include "absl/strings/str_cat.h"
#include "siskindrum/core/limits.h"

namespace siskindrum::ctl {

void Simulation::At(TimePoint at, std::function<void()> run) {
  agenda_.push({std::max(at, now_), next_order_++, std::move(run)});
}

void Simulation::In(Nanoseconds delay, std::function<void()> run) {
  At(now_ + delay, std::move(run));
}

core::Now Simulation::Clocks() const {
  return {now_, kWallStart + std::chrono::duration_cast<core::Milliseconds>(
                                 now_ - kStart)};
}

void Simulation::AddDomain(const DomainPlan& plan) {
  const std::string domain = trial_.oracle_ ? "all" : plan.name_;
  const auto add = [&](core::ServerRole role, std::uint32_t count) {
    for (std::uint32_t i = 0; i < count; ++i) {
      auto engine = std::make_unique<SimEngine>();
      engine->info_.name_ =
          absl::StrCat(plan.name_, "-", core::ToString(role), "-", i);
      engine->info_.address_ = engine->info_.name_ + ":1";
      engine->info_.service_ = scenario_.service_;
      engine->info_.domain_ = domain;
      engine->info_.role_ = role;
      engine->model_.settings_ = scenario_.engine_;
      engines_[engine->info_.name_] = std::move(engine);
    }
  };
  add(core::ServerRole::kPrefill, plan.prefill_);
  add(core::ServerRole::kDecode, plan.decode_);
  const std::uint32_t entries =
      trial_.oracle_ ? (entries_.empty() ? 1 : 0) : plan.entries_;
  for (std::uint32_t i = 0; i < entries; ++i) {
    auto entry = std::make_unique<SimEntry>();
    entry->name_ = absl::StrCat(plan.name_, "-", i + 1);
    entry->domain_ = domain;
    entry_list_.push_back(
        {entry->name_, entry->name_ + ":9", entry->domain_, false});
    entries_.push_back(std::move(entry));
  }
}

void Simulation::Build() {
  for (const DomainPlan& plan : scenario_.domains_) {
    AddDomain(plan);
  }
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    StartEntry(i);
  }
  for (const Fault& fault : scenario_.faults_) {
    const auto delay = std::chrono::duration_cast<Nanoseconds>(
        std::chrono::duration<double>(fault.at_seconds_));
    if (!trial_.oracle_ || fault.kind_ == FaultKind::kKillEngine ||
        fault.kind_ == FaultKind::kRestoreEngine ||
        fault.kind_ == FaultKind::kStallEngine) {
      At(kStart + delay, [this, &fault] { Inject(fault); });
    }
  }
}

void Simulation::StartEntry(std::size_t index) {
  SimEntry& entry = *entries_[index];
  ++entry.generation_;
  entry.dead_ = false;
  entry.frozen_ = false;
  entry.leaving_ = false;
  core::RouterOptions options;
  options.name_ = entry.name_;
  options.domain_ = entry.domain_;
  options.peer_address_ = entry.name_ + ":9";
  options.incarnation_ = next_incarnation_++;
  options.seed_ = seed_;
  options.policy_ = trial_.policy_;
  entry.router_ = core::MakeRouter(options, Clocks());
  std::vector<core::ServerInfo> servers;
  for (const auto& [name, engine] : engines_) {
    servers.push_back(engine->info_);
  }
  const std::uint64_t generation = entry.generation_;
  Give(index, generation, core::InstanceListArrived{1, servers, entry_list_});
  Give(index, generation,
       core::ConfigurationArrived{configuration_, "service"});
  TickEntry(index, generation);
  PollLoads(index, generation);
}

void Simulation::TickEntry(std::size_t index, std::uint64_t generation) {
  SimEntry& entry = *entries_[index];
  if (entry.dead_ || entry.generation_ != generation) {
    return;
  }
  if (!entry.frozen_) {
    Give(index, generation, core::Tick{});
  }
  In(core::kRouterTickInterval,
     [this, index, generation] { TickEntry(index, generation); });
}

void Simulation::PollLoads(std::size_t index, std::uint64_t generation) {
  SimEntry& entry = *entries_[index];
  if (entry.dead_ || entry.generation_ != generation) {
    return;
  }
  const bool all = trial_.policy_ != core::Policy::kCellHome;
  std::vector<std::string> names;
  if (all) {
    for (const auto& [name, engine] : engines_) {
      names.push_back(name);
    }
  } else {
    for (const core::ServerInfo& info : entry.polls_) {
      names.push_back(info.name_);
    }
  }
  const core::Milliseconds lag =
      trial_.oracle_ ? core::Milliseconds(0) : scenario_.load_lag_;
  for (const std::string& name : names) {
    const SimEngine* engine = FindEngine(name);
    core::LoadReportArrived seen;
    seen.server_ = name;
    if (Reaches(index, engine)) {
      seen.report_ = model::ReportLoad(engine->model_, now_);
    } else {
      seen.report_ = tl::unexpected(core::Verdict{core::RunState::kNotRun,
                                                  core::Reason::kConnectFailed,
                                                  "", core::Milliseconds(0)});
    }
    In(lag + scenario_.server_latency_,
       [this, index, generation, seen] { Give(index, generation, seen); });
  }
  const core::Milliseconds period =
      trial_.oracle_ ? core::Milliseconds(10) : scenario_.load_poll_;
  In(period, [this, index, generation] { PollLoads(index, generation); });
}

void Simulation::Give(std::size_t index,
                      std::uint64_t generation,
                      core::Event event) {
  SimEntry& entry = *entries_[index];
  if (entry.dead_ || entry.generation_ != generation) {
    return;
  }
  if (entry.frozen_) {
    entry.held_back_.push_back(std::move(event));
    return;
  }
  std::vector<core::RouterAction> actions;
  core::HandleEvent(entry.router_, event, Clocks(), actions);
  for (const core::RouterAction& action : actions) {
    Do(index, action);
  }
}

SimEngine* Simulation::FindEngine(const std::string& name) {
  const auto it = engines_.find(name);
  return it == engines_.end() ? nullptr : it->second.get();
}

bool Simulation::IsCut(const std::string& a, const std::string& b) const {
  return a != b && (cut_domains_.contains(a) || cut_domains_.contains(b));
}

bool Simulation::Reaches(std::size_t entry, const SimEngine* engine) const {
  return engine != nullptr && !engine->dead_ &&
         !IsCut(entries_[entry]->domain_, engine->info_.domain_);
}

void Simulation::Wake(SimEngine& engine) {
  const TimePoint next = model::NextTime(engine.model_);
  if (next == TimePoint::max() || next == engine.wake_at_) {
    return;
  }
  engine.wake_at_ = next;
  At(next, [this, &engine, next] {
    if (engine.wake_at_ == next) {
      engine.wake_at_ = TimePoint::max();
      RunEngine(engine);
    }
  });
}

void Simulation::RunEngine(SimEngine& engine) {
  if (engine.dead_) {
    return;
  }
  for (const model::ModelEvent& event : model::Advance(engine.model_, now_)) {
    const auto it = requests_.find(event.request_);
    if (it == requests_.end()) {
      continue;
    }
    SimRequest& request = it->second;
    if (event.kind_ != model::ModelEventKind::kPrefillDone) {
      TakeToken(event, engine);
      continue;
    }
    request.computed_ += event.computed_;
    if (request.ended_) {
      continue;
    }
    request.computed_useful_ =
        std::max<std::uint64_t>(request.computed_useful_, event.computed_);
    core::PrefillEnded ended;
    ended.request_ = event.request_;
    ended.attempt_ = event.attempt_;
    ended.ok_ = true;
    ended.hold_ = std::chrono::duration_cast<core::Milliseconds>(
        engine.model_.settings_.evict_after_);
    const std::size_t index = request.entry_;
    const std::uint64_t generation = request.generation_;
    In(scenario_.server_latency_,
       [this, index, generation, ended] { Give(index, generation, ended); });
  }
  Wake(engine);
}

}  // namespace siskindrum::ctl
