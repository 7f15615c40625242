#ifndef SISKINDRUM_CTL_EXPERIMENT_H_
#define SISKINDRUM_CTL_EXPERIMENT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "siskindrum/core/router.h"
#include "siskindrum/ctl/scenario.h"

namespace siskindrum::ctl {

// What became of one group of requests.
struct GroupResult {
  std::uint64_t offered_ = 0;  // Without those that their callers cancelled.
  std::uint64_t good_ = 0;     // Whole, and within both targets.
  std::uint64_t whole_ = 0;
  std::uint64_t refused_ = 0;     // Told that they did not run.
  std::uint64_t failed_ = 0;      // Ended without a whole answer otherwise.
  std::uint64_t unfinished_ = 0;  // Never ended.
  std::uint64_t cancelled_ = 0;
};

struct ExperimentResult {
  GroupResult all_;
  std::map<std::string, GroupResult> by_organisation_;  // By class.
  std::map<std::string, GroupResult> by_priority_;
  std::uint64_t prefill_tokens_ = 0;  // Computed by the engines.
  std::uint64_t prefill_wasted_ = 0;
  std::uint64_t held_at_end_ = 0;  // Requests that engines still held.
  std::uint64_t refused_after_prefill_ = 0;
  std::uint64_t peer_messages_ = 0;
  std::vector<double> first_token_ms_;
  std::vector<double> between_ms_;  // Mean of each whole answer.
  double measured_seconds_ = 0;

  double GoodShare() const;
  double WastedShare() const;
};

// Which decisions are tried: a policy of the core, or the oracle, which is one
// entry that sees every engine without lag.
struct Trial {
  core::Policy policy_ = core::Policy::kCellHome;
  bool oracle_ = false;
};

// Parses a policy's name. Thread-safe: yes.
bool ParseTrial(const std::string& name, Trial* trial);

// Runs a scenario on virtual time. The same arguments give the same result.
// Requires: the scenario's rules are good, else the error names their line.
// Thread-safe: yes.
tl::expected<ExperimentResult, std::string>
RunExperiment(const Scenario& scenario, const Trial& trial, std::uint64_t seed);

// Adds the counts of `more` to `sum`. Thread-safe: no.
void AddResult(ExperimentResult& sum, const ExperimentResult& more);

// Value below which `share` of the sorted values lie. Thread-safe: yes.
double Percentile(std::vector<double> values, double share);

}  // namespace siskindrum::ctl

#endif  // SISKINDRUM_CTL_EXPERIMENT_H_
