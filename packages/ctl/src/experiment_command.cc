#include <unistd.h>

#include <fstream>
#include <future>
#include <iostream>

#include <boost/program_options.hpp>

#include "absl/strings/str_replace.h"
#include "absl/strings/str_split.h"
#include "commands_p.h"
#include "siskindrum/ctl/report.h"
#include "siskindrum/ctl/scenario.h"

namespace siskindrum::ctl {

namespace {

namespace po = boost::program_options;

struct ExperimentOptions {
  std::string scenario_;
  std::string policies_ = "cell_home";
  std::uint64_t seed_ = 1;
  std::uint64_t seeds_ = 1;
  std::size_t jobs_ = 4;
  std::string plot_;
  double load_ = 0;
  std::string prefer_;
  bool json_ = false;
  bool groups_ = false;
};

void ShowProgress(const std::string& policy,
                  std::uint64_t done,
                  std::uint64_t all) {
  if (isatty(STDERR_FILENO) != 0) {
    std::cerr << "\r" << policy << ": seed " << done << " of " << all << "   "
              << (done == all ? "\n" : "") << std::flush;
  }
}

// Runs all seeds of one policy, a few at a time; their order does not matter
// to the sum but is kept, so that the output is the same each time.
tl::expected<PolicyResult, std::string> RunSeeds(
    const Scenario& scenario,
    const std::string& policy,
    const ExperimentOptions& options) {
  Trial trial;
  if (!ParseTrial(policy, &trial)) {
    return tl::unexpected("--policy: unknown policy " + policy);
  }
  PolicyResult sum;
  sum.policy_ = policy;
  for (std::uint64_t first = 0; first < options.seeds_;
       first += options.jobs_) {
    std::vector<std::future<tl::expected<ExperimentResult, std::string>>> runs;
    for (std::uint64_t i = first;
         i < std::min(options.seeds_, first + options.jobs_); ++i) {
      runs.push_back(std::async(std::launch::async, [&, i] {
        return RunExperiment(scenario, trial, options.seed_ + i);
      }));
    }
    for (auto& run : runs) {
      const auto result = run.get();
      if (!result.has_value()) {
        return tl::unexpected(result.error());
      }
      AddResult(sum.result_, *result);
    }
    ShowProgress(policy, std::min(options.seeds_, first + options.jobs_),
                 options.seeds_);
  }
  return sum;
}

// Puts `word` in place of every prefer= of the rules.
void SetPreference(const std::string& word, std::string& rules) {
  const std::string wanted = std::string("prefer=").append(word);
  for (const char* old : {"prefer=goodput", "prefer=waste"}) {
    rules = absl::StrReplaceAll(rules, {{old, wanted}});
  }
}

int Print(const ExperimentOptions& options,
          const Scenario& scenario,
          const std::vector<PolicyResult>& results) {
  if (options.json_) {
    std::cout << FormatJson(scenario.name_, results);
  } else {
    std::cout << FormatTable(scenario.name_, results);
  }
  if (options.groups_) {
    for (const PolicyResult& result : results) {
      std::cout << FormatGroups(result);
    }
  }
  if (!options.plot_.empty()) {
    std::ofstream file(options.plot_);
    file << FormatPlot(scenario.name_, results);
    if (!file) {
      std::cerr << options.plot_ << ": cannot be written\n";
      return kExitUsage;
    }
  }
  return kExitGood;
}

}  // namespace

int ExperimentCommand(const Arguments& arguments) {
  ExperimentOptions options;
  po::options_description description(
      "siskindrumctl experiment --scenario FILE [--policy NAME,...]");
  description.add_options()("help", "show this text")(
      "scenario", po::value(&options.scenario_)->required(), "scenario file")(
      "policy", po::value(&options.policies_),
      "cell_home, round_robin, least_load, two_choices or oracle")(
      "seed", po::value(&options.seed_), "first seed")(
      "seeds", po::value(&options.seeds_), "how many seeds")(
      "jobs", po::value(&options.jobs_), "seeds run at once")(
      "load", po::value(&options.load_), "load in place of the scenario's")(
      "prefer", po::value(&options.prefer_),
      "goodput or waste, in place of the word in the rules")(
      "json", po::bool_switch(&options.json_), "print JSON")(
      "groups", po::bool_switch(&options.groups_),
      "print rows by organisation and priority")(
      "plot", po::value(&options.plot_), "SVG file to draw");
  po::variables_map values;
  int exit_code = 0;
  if (!ParseOptions(arguments, description, {}, &values, &exit_code)) {
    return exit_code;
  }
  auto scenario = LoadScenario(options.scenario_);
  if (!scenario.has_value()) {
    std::cerr << Describe(scenario.error()) << "\n";
    return kExitUsage;
  }
  if (options.load_ > 0) {
    scenario->load_ = options.load_;
  }
  if (options.prefer_ == "goodput" || options.prefer_ == "waste") {
    SetPreference(options.prefer_, scenario->rules_);
  } else if (!options.prefer_.empty()) {
    std::cerr << "--prefer: expected goodput or waste\n";
    return kExitUsage;
  }
  options.jobs_ = std::max<std::size_t>(1, options.jobs_);
  std::vector<PolicyResult> results;
  const std::vector<std::string> policies =
      absl::StrSplit(options.policies_, ',');
  for (const std::string& policy : policies) {
    auto result = RunSeeds(*scenario, policy, options);
    if (!result.has_value()) {
      std::cerr << result.error() << "\n";
      return kExitUsage;
    }
    results.push_back(std::move(*result));
  }
  return Print(options, *scenario, results);
}

}  // namespace siskindrum::ctl
