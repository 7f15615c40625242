// Running an experiment and adding up what became of its requests.

#include "siskindrum/ctl/experiment.h"

#include <algorithm>

#include "simulation_p.h"
#include "siskindrum/rules/rules.h"

namespace siskindrum::ctl {

namespace {

void CountIn(GroupResult& group, const SimRequest& request, bool good) {
  if (request.cancelled_) {
    ++group.cancelled_;
    return;
  }
  ++group.offered_;
  group.good_ += good ? 1 : 0;
  group.whole_ += request.whole_ ? 1 : 0;
  group.refused_ += request.refused_ ? 1 : 0;
  group.unfinished_ += request.ended_ ? 0 : 1;
  group.failed_ += request.ended_ && !request.whole_ && !request.refused_;
}

void AddGroup(GroupResult& sum, const GroupResult& more) {
  sum.offered_ += more.offered_;
  sum.good_ += more.good_;
  sum.whole_ += more.whole_;
  sum.refused_ += more.refused_;
  sum.failed_ += more.failed_;
  sum.unfinished_ += more.unfinished_;
  sum.cancelled_ += more.cancelled_;
}

double Share(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

}  // namespace

void Simulation::Count(const SimRequest& request, ExperimentResult& result) {
  const double first = std::chrono::duration<double, std::milli>(
                           request.first_at_ - request.arrived_)
                           .count();
  const double between = request.delivered_ > 1
                             ? std::chrono::duration<double, std::milli>(
                                   request.last_at_ - request.first_at_)
                                       .count() /
                                   (request.delivered_ - 1)
                             : 0;
  const auto within = [](double value, core::Milliseconds target) {
    return target.count() == 0 || value <= static_cast<double>(target.count());
  };
  const bool good = request.whole_ && within(first, request.first_target_) &&
                    within(between, request.between_target_);
  if (request.whole_) {
    result.first_token_ms_.push_back(first);
    result.between_ms_.push_back(between);
  }
  CountIn(result.all_, request, good);
  CountIn(result.by_organisation_[request.traffic_->organisation_], request,
          good);
  CountIn(result.by_priority_[core::ToString(request.traffic_->priority_)],
          request, good);
}

ExperimentResult Simulation::Summarise() {
  ExperimentResult result;
  result.measured_seconds_ =
      scenario_.duration_seconds_ - scenario_.warmup_seconds_;
  for (const auto& [id, request] : requests_) {
    if (!request.counted_) {
      continue;
    }
    Count(request, result);
    result.prefill_tokens_ += request.computed_;
    const bool useful = request.whole_ || request.cancelled_;
    result.prefill_wasted_ +=
        request.computed_ - (useful ? request.computed_useful_ : 0);
  }
  for (const auto& [name, engine] : engines_) {
    result.held_at_end_ += model::ReportLoad(engine->model_, now_).held_.size();
  }
  for (const auto& entry : entries_) {
    result.peer_messages_ += entry->router_.counters_.peer_messages_;
  }
  result.refused_after_prefill_ = refused_after_prefill_;
  return result;
}

ExperimentResult Simulation::Run() {
  Build();
  ScheduleArrivals();
  const TimePoint end =
      kStart + kDrainTime +
      std::chrono::duration_cast<Nanoseconds>(
          std::chrono::duration<double>(scenario_.duration_seconds_));
  while (!agenda_.empty() && agenda_.top().at_ <= end) {
    const Happening next = agenda_.top();
    agenda_.pop();
    now_ = next.at_;
    next.run_();
  }
  for (const auto& [name, engine] : engines_) {
    model::Advance(engine->model_, now_);
  }
  return Summarise();
}

double ExperimentResult::GoodShare() const {
  return Share(all_.good_, all_.offered_);
}

double ExperimentResult::WastedShare() const {
  return Share(prefill_wasted_, prefill_tokens_);
}

bool ParseTrial(const std::string& name, Trial* trial) {
  *trial = Trial{};
  if (name == "oracle") {
    trial->oracle_ = true;
    return true;
  }
  for (int i = 0; i < static_cast<int>(core::Policy::kCount); ++i) {
    if (name == core::ToString(static_cast<core::Policy>(i))) {
      trial->policy_ = static_cast<core::Policy>(i);
      return true;
    }
  }
  return false;
}

tl::expected<ExperimentResult, std::string> RunExperiment(
    const Scenario& scenario,
    const Trial& trial,
    std::uint64_t seed) {
  auto configuration = rules::MakeConfiguration(1, scenario.rules_);
  if (!configuration.has_value()) {
    return tl::unexpected(configuration.error());
  }
  Scenario seen = scenario;
  if (trial.oracle_) {
    seen.peer_latency_ = std::chrono::microseconds(0);
    seen.load_lag_ = core::Milliseconds(0);
  }
  Simulation simulation(seen, trial, seed, *configuration);
  return simulation.Run();
}

void AddResult(ExperimentResult& sum, const ExperimentResult& more) {
  AddGroup(sum.all_, more.all_);
  for (const auto& [name, group] : more.by_organisation_) {
    AddGroup(sum.by_organisation_[name], group);
  }
  for (const auto& [name, group] : more.by_priority_) {
    AddGroup(sum.by_priority_[name], group);
  }
  sum.prefill_tokens_ += more.prefill_tokens_;
  sum.prefill_wasted_ += more.prefill_wasted_;
  sum.held_at_end_ += more.held_at_end_;
  sum.refused_after_prefill_ += more.refused_after_prefill_;
  sum.peer_messages_ += more.peer_messages_;
  sum.measured_seconds_ += more.measured_seconds_;
  sum.first_token_ms_.insert(sum.first_token_ms_.end(),
                             more.first_token_ms_.begin(),
                             more.first_token_ms_.end());
  sum.between_ms_.insert(sum.between_ms_.end(), more.between_ms_.begin(),
                         more.between_ms_.end());
}

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  const auto at =
      static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(at),
                   values.end());
  return values[at];
}

}  // namespace siskindrum::ctl
