#ifndef SISKINDRUM_CTL_SCENARIO_H_
#define SISKINDRUM_CTL_SCENARIO_H_

#include <cstdint>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "siskindrum/core/types.h"
#include "siskindrum/model/engine.h"

namespace siskindrum::ctl {

// Machines of one failure domain.
struct DomainPlan {
  std::string name_;
  std::uint32_t entries_ = 1;
  std::uint32_t prefill_ = 1;
  std::uint32_t decode_ = 2;
};

// Inclusive bounds of a uniform choice.
struct Span {
  std::uint32_t least_ = 0;
  std::uint32_t most_ = 0;
};

// One kind of request.
struct TrafficClass {
  std::string organisation_;  // Prefix of the organisations' names.
  std::uint32_t organisations_ = 1;
  double weight_ = 1.0;  // Share of all arrivals.
  Span prompt_tokens_{200, 2000};
  Span answer_tokens_{50, 150};
  std::uint32_t max_tokens_ = 256;  // As the caller states it.
  core::Priority priority_ = core::Priority::kNormal;
  std::uint32_t prefixes_ = 0;  // Shared prompt prefixes; zero: none.
  std::uint32_t prefix_tokens_ = 0;
  double cancel_share_ = 0.0;  // Of its requests, at a random moment.
};

enum class FaultKind {
  kKillEngine,
  kRestoreEngine,
  kStallEngine,
  kCutDomain,
  kHealDomain,
  kFreezeEntry,
  kThawEntry,
  kKillEntry,
  kReplaceEntry,  // Drains it and starts a new incarnation.
  kCount
};

struct Fault {
  double at_seconds_ = 0;
  FaultKind kind_ = FaultKind::kKillEngine;
  std::string target_;  // Name of an engine, domain or entry.
};

// An experiment: machines, traffic and what goes wrong.
struct Scenario {
  std::string name_;
  std::string rules_;  // Text of the rules.
  std::string service_;
  std::string model_;
  std::vector<DomainPlan> domains_;
  model::EngineSettings engine_;
  core::Milliseconds load_poll_{200};
  core::Milliseconds load_lag_{300};
  std::chrono::microseconds peer_latency_{1500};
  std::chrono::microseconds server_latency_{500};
  double duration_seconds_ = 60;
  double warmup_seconds_ = 10;
  double load_ = 0.8;  // Of the decode capacity.
  std::vector<TrafficClass> classes_;
  std::vector<Fault> faults_;
};

struct ScenarioError {
  std::string file_;
  std::string field_;
  std::string message_;
};

// Reads a scenario file. "rules" names a rules file and "base" a scenario to
// lay this one over, both relative to the file. Thread-safe: yes.
tl::expected<Scenario, ScenarioError> LoadScenario(const std::string& file);

// Writes "FILE: FIELD: MESSAGE". Thread-safe: yes.
std::string Describe(const ScenarioError& error);

}  // namespace siskindrum::ctl

#endif  // SISKINDRUM_CTL_SCENARIO_H_
