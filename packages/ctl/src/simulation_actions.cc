// What the simulation does with the actions of routers.

#include "simulation_p.h"

namespace siskindrum::ctl {

void Simulation::Do(std::size_t entry, const core::RouterAction& action) {
  if (const auto* prefill = std::get_if<core::StartPrefill>(&action)) {
    DoPrefill(entry, *prefill);
  } else if (const auto* decode = std::get_if<core::StartDecode>(&action)) {
    DoDecode(entry, *decode);
  } else if (const auto* cancel = std::get_if<core::CancelOnServer>(&action)) {
    DoCancel(entry, *cancel);
  } else if (const auto* send = std::get_if<core::SendPeerMessage>(&action)) {
    DoPeer(entry, *send);
  } else if (const auto* fail = std::get_if<core::AnswerError>(&action)) {
    DoFail(*fail);
  } else if (const auto* polls = std::get_if<core::PollServers>(&action)) {
    entries_[entry]->polls_ = polls->servers_;
  } else if (std::holds_alternative<core::Drained>(action)) {
    entries_[entry]->dead_ = true;
    In(kLeaveTime, [this, entry] { StartEntry(entry); });
  }
}

void Simulation::FailPrefill(const RequestId& id,
                             std::uint32_t attempt,
                             core::RunState state,
                             core::Reason reason) {
  const SimRequest& request = requests_.at(id);
  core::PrefillEnded ended;
  ended.request_ = id;
  ended.attempt_ = attempt;
  ended.verdict_ = {state, reason, "", core::Milliseconds(0)};
  Give(request.entry_, request.generation_, ended);
}

void Simulation::FailDecode(const RequestId& id,
                            std::uint32_t attempt,
                            bool imported,
                            core::RunState state,
                            core::Reason reason) {
  SimRequest& request = requests_.at(id);
  if (request.attempt_ != attempt || request.ended_) {
    return;
  }
  core::DecodeEnded ended;
  ended.request_ = id;
  ended.attempt_ = attempt;
  ended.delivered_ = request.delivered_;
  ended.imported_ = imported;
  ended.verdict_ = {state, reason, "", core::Milliseconds(0)};
  Give(request.entry_, request.generation_, ended);
}

void Simulation::DoPrefill(std::size_t entry,
                           const core::StartPrefill& action) {
  SimEngine* engine = FindEngine(action.server_);
  if (!Reaches(entry, engine)) {
    const bool cut = engine != nullptr && !engine->dead_;
    In(cut ? Nanoseconds(kConnectTimeout)
           : Nanoseconds(scenario_.server_latency_),
       [this, action] {
         FailPrefill(action.request_, action.attempt_, core::RunState::kNotRun,
                     core::Reason::kConnectFailed);
       });
    return;
  }
  In(scenario_.server_latency_, [this, entry, action, engine] {
    const SimRequest& request = requests_.at(action.request_);
    if (request.ended_) {
      return;
    }
    model::PrefillJob job;
    job.request_ = action.request_;
    job.attempt_ = action.attempt_;
    job.owner_ = entries_[entry]->name_;
    job.tokens_ = request.prompt_ + request.delivered_;
    job.prefix_hash_ = request.prefix_;
    job.prefix_tokens_ = request.traffic_->prefix_tokens_;
    job.priority_ = action.priority_;
    if (engine->dead_ ||
        !model::AddPrefill(engine->model_, job, now_).has_value()) {
      FailPrefill(action.request_, action.attempt_, core::RunState::kNotRun,
                  core::Reason::kServerRefused);
      return;
    }
    Wake(*engine);
  });
}

void Simulation::DoDecode(std::size_t entry, const core::StartDecode& action) {
  SimEngine* engine = FindEngine(action.server_);
  SimRequest& request = requests_.at(action.request_);
  request.attempt_ = action.attempt_;
  request.decode_ = action.server_;
  if (!Reaches(entry, engine)) {
    In(scenario_.server_latency_, [this, action] {
      FailDecode(action.request_, action.attempt_, false,
                 core::RunState::kNotRun, core::Reason::kConnectFailed);
    });
    return;
  }
  In(scenario_.server_latency_, [this, entry, action, engine] {
    const SimRequest& asked = requests_.at(action.request_);
    if (asked.ended_) {
      return;
    }
    model::Stream stream;
    stream.request_ = action.request_;
    stream.attempt_ = action.attempt_;
    stream.owner_ = entries_[entry]->name_;
    stream.pieces_ =
        core::PiecesFor(asked.prompt_ + asked.traffic_->max_tokens_);
    stream.position_ = action.from_position_;
    stream.end_position_ = asked.answer_;
    if (engine->dead_ ||
        !model::AddStream(engine->model_, stream, now_).has_value()) {
      FailDecode(action.request_, action.attempt_, false,
                 core::RunState::kNotRun, core::Reason::kServerRefused);
      return;
    }
    Import(action.request_, action.attempt_, FindEngine(action.prefill_server_),
           engine);
  });
}

void Simulation::Import(const RequestId& id,
                        std::uint32_t attempt,
                        SimEngine* source,
                        SimEngine* target) {
  const bool lost = source == nullptr || source->dead_ ||
                    IsCut(source->info_.domain_, target->info_.domain_);
  const auto end = lost ? tl::unexpected(model::Refusal::kEvicted)
                        : model::BeginExport(source->model_, id, now_);
  if (!end.has_value()) {
    model::CancelRequest(target->model_, id, now_);
    FailDecode(id, attempt, false, core::RunState::kNotRun,
               core::Reason::kEvicted);
    return;
  }
  At(*end, [this, id, source, target] {
    model::EndExport(source->model_, id);
    if (!target->dead_) {
      model::BeginDecode(target->model_, id, now_);
      Wake(*target);
    }
  });
}

void Simulation::DoCancel(std::size_t entry,
                          const core::CancelOnServer& action) {
  SimEngine* engine = FindEngine(action.server_);
  const std::uint64_t generation = entries_[entry]->generation_;
  In(scenario_.server_latency_, [this, entry, generation, action, engine] {
    const bool reached = Reaches(entry, engine);
    if (reached) {
      model::CancelRequest(engine->model_, action.request_, now_);
      Wake(*engine);
    }
    Give(entry, generation,
         core::CancelEnded{action.request_, action.server_, reached});
  });
}

void Simulation::DoPeer(std::size_t entry,
                        const core::SendPeerMessage& action) {
  const int target = FindEntry(action.peer_);
  if (target < 0) {
    return;
  }
  const auto index = static_cast<std::size_t>(target);
  const std::uint64_t from_generation = entries_[entry]->generation_;
  core::PeerMessage message{entries_[entry]->name_,
                            entries_[entry]->router_.options_.incarnation_,
                            action.body_};
  In(scenario_.peer_latency_,
     [this, entry, index, from_generation, message = std::move(message)] {
       SimEntry& peer = *entries_[index];
       if (IsCut(entries_[entry]->domain_, peer.domain_)) {
         return;  // Lost without a word.
       }
       if (peer.dead_) {
         core::PeerSendFailed failed;
         failed.peer_ = peer.name_;
         failed.body_ = message.body_;
         failed.verdict_.reason_ = core::Reason::kConnectFailed;
         Give(entry, from_generation, failed);
         return;
       }
       Give(index, peer.generation_, core::PeerMessageArrived{message});
     });
}

void Simulation::DoFail(const core::AnswerError& action) {
  const auto it = requests_.find(action.request_);
  if (it == requests_.end() || it->second.ended_) {
    return;
  }
  SimRequest& request = it->second;
  request.ended_ = true;
  request.refused_ = action.verdict_.run_state_ == core::RunState::kNotRun;
  if (request.refused_ && request.computed_ > 0) {
    ++refused_after_prefill_;
  }
}

}  // namespace siskindrum::ctl
