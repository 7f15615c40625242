#ifndef SISKINDRUM_CTL_REPORT_H_
#define SISKINDRUM_CTL_REPORT_H_

#include <string>
#include <vector>

#include "siskindrum/ctl/experiment.h"

namespace siskindrum::ctl {

// The result of one policy, over all seeds that were run.
struct PolicyResult {
  std::string policy_;
  ExperimentResult result_;
};

// Writes one row a policy: goodput, wasted prefill, percentiles, refused,
// unfinished. Thread-safe: yes, as all functions here.
std::string FormatTable(const std::string& scenario,
                        const std::vector<PolicyResult>& results);

// Writes the rows of one policy by class of organisation and by priority.
std::string FormatGroups(const PolicyResult& result);

// Writes everything as JSON.
std::string FormatJson(const std::string& scenario,
                       const std::vector<PolicyResult>& results);

// Draws the time to first token of each policy as cumulative curves.
std::string FormatPlot(const std::string& scenario,
                       const std::vector<PolicyResult>& results);

}  // namespace siskindrum::ctl

#endif  // SISKINDRUM_CTL_REPORT_H_
