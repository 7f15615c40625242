// Callers of the simulation: what they ask, and what they see.

#include "simulation_p.h"

#include <cmath>

#include "absl/strings/str_cat.h"
#include "siskindrum/core/hash.h"

namespace siskindrum::ctl {

namespace {

double Uniform(std::mt19937_64& random) {
  return static_cast<double>(random() >> 11) / 9007199254740992.0;
}

std::uint32_t Pick(std::mt19937_64& random, const Span& span) {
  return span.least_ +
         static_cast<std::uint32_t>(random() % (span.most_ - span.least_ + 1));
}

double MeanOf(const Span& span) {
  return (span.least_ + span.most_) / 2.0;
}

}  // namespace

void Simulation::ScheduleArrivals() {
  double weight = 0;
  double answer = 0;
  for (const TrafficClass& traffic : scenario_.classes_) {
    weight += traffic.weight_;
    answer += traffic.weight_ * MeanOf(traffic.answer_tokens_);
  }
  std::uint32_t decoders = 0;
  for (const DomainPlan& plan : scenario_.domains_) {
    decoders += plan.decode_;
  }
  const model::EngineSettings& engine = scenario_.engine_;
  const double step =
      std::chrono::duration<double>(engine.step_base_ +
                                    engine.step_per_stream_ * engine.slots_)
          .count();
  const double rate =
      scenario_.load_ * decoders * engine.slots_ / step / (answer / weight);
  double at = 0;
  while (true) {
    at += -std::log(1.0 - Uniform(random_)) / rate;
    if (at >= scenario_.duration_seconds_) {
      return;
    }
    At(kStart + std::chrono::duration_cast<Nanoseconds>(
                    std::chrono::duration<double>(at)),
       [this] { Arrive(); });
  }
}

std::size_t Simulation::PickEntry() {
  for (std::size_t tries = 0; tries < entries_.size(); ++tries) {
    const std::size_t index = next_entry_++ % entries_.size();
    // The balancer's health check sees dead, leaving and not yet ready
    // entries, but not frozen ones.
    const SimEntry& entry = *entries_[index];
    if (!entry.dead_ && !entry.leaving_ && core::IsReady(entry.router_)) {
      return index;
    }
  }
  return 0;
}

void Simulation::Arrive() {
  double total = 0;
  for (const TrafficClass& traffic : scenario_.classes_) {
    total += traffic.weight_;
  }
  double at = Uniform(random_) * total;
  const TrafficClass* traffic = &scenario_.classes_.back();
  for (const TrafficClass& candidate : scenario_.classes_) {
    if (at < candidate.weight_) {
      traffic = &candidate;
      break;
    }
    at -= candidate.weight_;
  }
  SimRequest request;
  request.traffic_ = traffic;
  request.organisation_ = absl::StrCat(traffic->organisation_, "-",
                                       random_() % traffic->organisations_);
  request.prompt_ = Pick(random_, traffic->prompt_tokens_);
  request.answer_ = Pick(random_, traffic->answer_tokens_);
  if (traffic->prefixes_ > 0) {
    request.prefix_ = core::Hash64(
        absl::StrCat(traffic->organisation_, random_() % traffic->prefixes_));
    request.prompt_ = std::max(request.prompt_, traffic->prefix_tokens_ + 1);
  }
  const bool cancels = Uniform(random_) < traffic->cancel_share_;
  request.entry_ = PickEntry();
  SimEntry& entry = *entries_[request.entry_];
  request.generation_ = entry.generation_;
  request.arrived_ = now_;
  request.counted_ =
      now_ - kStart >= std::chrono::duration<double>(scenario_.warmup_seconds_);
  request.id_ = core::NextRequestId(entry.router_);
  core::RequestArrived arrived;
  arrived.request_ = request.id_;
  core::RequestShape& shape = arrived.shape_;
  shape.organisation_ = request.organisation_;
  shape.model_ = scenario_.model_;
  shape.path_ = "/v1/completions";
  shape.domain_ = entry.domain_;
  shape.prompt_tokens_ = request.prompt_;
  shape.max_tokens_ = traffic->max_tokens_;
  shape.priority_ = traffic->priority_;
  shape.prefix_hash_ = request.prefix_;
  shape.prefix_tokens_ = traffic->prefix_tokens_;
  if (const core::Rule* rule = core::MatchRule(configuration_->rules_, shape)) {
    request.first_target_ = rule->outcome_.first_token_;
    request.between_target_ = rule->outcome_.between_tokens_;
  }
  const RequestId id = request.id_;
  const std::size_t index = request.entry_;
  const std::uint64_t generation = request.generation_;
  requests_[id] = std::move(request);
  if (cancels) {
    CancelLater(id);
  }
  Give(index, generation, std::move(arrived));
}

void Simulation::CancelLater(const RequestId& id) {
  constexpr double kLongestSeconds = 3.0;
  const auto delay = std::chrono::duration_cast<Nanoseconds>(
      std::chrono::duration<double>(Uniform(random_) * kLongestSeconds));
  In(delay, [this, id] {
    SimRequest& request = requests_.at(id);
    if (!request.ended_) {
      request.ended_ = true;
      request.cancelled_ = true;
      // What was spent before the caller went was spent in good faith.
      request.computed_useful_ = request.computed_;
      Give(request.entry_, request.generation_, core::CallerGone{id});
    }
  });
}

void Simulation::TakeToken(const model::ModelEvent& event, SimEngine& engine) {
  SimRequest& request = requests_.at(event.request_);
  const bool current = !request.ended_ && event.attempt_ == request.attempt_ &&
                       engine.info_.name_ == request.decode_;
  if (!current) {
    return;
  }
  const std::size_t index = request.entry_;
  const std::uint64_t generation = request.generation_;
  if (event.kind_ == model::ModelEventKind::kToken) {
    if (event.position_ != request.delivered_) {
      return;
    }
    ++request.delivered_;
    request.last_at_ = now_ + scenario_.server_latency_;
    if (!request.first_) {
      request.first_ = true;
      request.first_at_ = request.last_at_;
      const core::FirstToken first{event.request_, event.attempt_};
      In(scenario_.server_latency_,
         [this, index, generation, first] { Give(index, generation, first); });
    }
    return;
  }
  request.ended_ = true;
  request.whole_ = true;
  core::DecodeEnded ended;
  ended.request_ = event.request_;
  ended.attempt_ = event.attempt_;
  ended.delivered_ = request.delivered_;
  ended.imported_ = true;
  ended.ok_ = true;
  In(scenario_.server_latency_,
     [this, index, generation, ended] { Give(index, generation, ended); });
}

}  // namespace siskindrum::ctl
