// What goes wrong in the simulation, on command.

#include "simulation_p.h"

namespace siskindrum::ctl {

int Simulation::FindEntry(const std::string& name) const {
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (entries_[i]->name_ == name) {
      return static_cast<int>(i);
    }
  }
  return -1;
}

void Simulation::KillEngine(const std::string& name) {
  SimEngine* engine = FindEngine(name);
  if (engine == nullptr) {
    return;
  }
  engine->dead_ = true;
  const model::Engine old = engine->model_;
  engine->model_ = model::Engine{};
  engine->model_.settings_ = old.settings_;
  engine->wake_at_ = TimePoint::max();
  for (const model::PrefillJob& job : old.prefills_) {
    In(scenario_.server_latency_, [this, job] {
      FailPrefill(job.request_, job.attempt_, core::RunState::kMayHaveRun,
                  core::Reason::kConnectionLost);
    });
  }
  for (const auto& [id, stream] : old.streams_) {
    In(scenario_.server_latency_, [this, stream = stream] {
      FailDecode(stream.request_, stream.attempt_, stream.decoding_,
                 core::RunState::kMayHaveRun, core::Reason::kConnectionLost);
    });
  }
}

void Simulation::CutStreams(const std::string& domain) {
  for (const auto& [name, engine] : engines_) {
    for (const auto& [id, stream] : engine->model_.streams_) {
      const auto it = requests_.find(id);
      if (it == requests_.end()) {
        continue;
      }
      const std::string& owner = entries_[it->second.entry_]->domain_;
      if (owner == engine->info_.domain_ ||
          (owner != domain && engine->info_.domain_ != domain)) {
        continue;
      }
      model::Stream cut = stream;
      model::NoteReaderGone(engine->model_, id, now_);
      In(kConnectTimeout, [this, cut] {
        FailDecode(cut.request_, cut.attempt_, cut.decoding_,
                   core::RunState::kMayHaveRun, core::Reason::kConnectionLost);
      });
    }
  }
}

void Simulation::KillEntry(std::size_t index) {
  SimEntry& entry = *entries_[index];
  entry.dead_ = true;
  for (const auto& [name, engine] : engines_) {
    std::vector<RequestId> orphans;
    for (const auto& [id, stream] : engine->model_.streams_) {
      if (stream.owner_ == entry.name_) {
        orphans.push_back(id);
      }
    }
    for (const RequestId& id : orphans) {
      model::NoteReaderGone(engine->model_, id, now_);
    }
  }
}

void Simulation::ReplaceEntry(std::size_t index) {
  SimEntry& entry = *entries_[index];
  entry.leaving_ = true;
  Give(index, entry.generation_, core::DrainRequested{});
}

void Simulation::Inject(const Fault& fault) {
  const int entry = FindEntry(fault.target_);
  SimEngine* engine = FindEngine(fault.target_);
  switch (fault.kind_) {
    case FaultKind::kKillEngine:
      KillEngine(fault.target_);
      break;
    case FaultKind::kRestoreEngine:
      if (engine != nullptr) {
        engine->dead_ = false;
        engine->model_.faults_ = model::EngineFaults{};
        Wake(*engine);
      }
      break;
    case FaultKind::kStallEngine:
      if (engine != nullptr) {
        engine->model_.faults_.stalled_ = true;
      }
      break;
    case FaultKind::kCutDomain:
      cut_domains_.insert(fault.target_);
      CutStreams(fault.target_);
      break;
    case FaultKind::kHealDomain:
      cut_domains_.erase(fault.target_);
      break;
    case FaultKind::kFreezeEntry:
      if (entry >= 0) {
        entries_[static_cast<std::size_t>(entry)]->frozen_ = true;
      }
      break;
    case FaultKind::kThawEntry:
      if (entry >= 0) {
        SimEntry& thawed = *entries_[static_cast<std::size_t>(entry)];
        thawed.frozen_ = false;
        const std::vector<core::Event> events = std::move(thawed.held_back_);
        thawed.held_back_.clear();
        for (const core::Event& event : events) {
          Give(static_cast<std::size_t>(entry), thawed.generation_, event);
        }
      }
      break;
    case FaultKind::kKillEntry:
      if (entry >= 0) {
        KillEntry(static_cast<std::size_t>(entry));
        In(std::chrono::seconds(5),
           [this, entry] { StartEntry(static_cast<std::size_t>(entry)); });
      }
      break;
    case FaultKind::kReplaceEntry:
      if (entry >= 0) {
        ReplaceEntry(static_cast<std::size_t>(entry));
      }
      break;
    case FaultKind::kCount:
      break;
  }
}

}  // namespace siskindrum::ctl
