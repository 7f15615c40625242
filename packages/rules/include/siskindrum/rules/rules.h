#ifndef SISKINDRUM_RULES_RULES_H_
#define SISKINDRUM_RULES_RULES_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "siskindrum/core/configuration.h"
#include "siskindrum/core/rule.h"

namespace siskindrum::rules {

// One error or warning of a rules file.
struct Problem {
  int line_ = 0;    // One-based.
  int column_ = 0;  // One-based, in bytes.
  std::string message_;
};

struct ParsedRules {
  core::RuleSet rules_;
  std::vector<Problem> warnings_;
};

// Largest rules file that is read, in bytes. A platform's configuration of 1
// MiB comes to at most 9 times its size: the shortest description of a service
// is 13 bytes, its pool line about 110.
inline constexpr std::size_t kMaxRulesBytes = 10 * 1024 * 1024;

// Longest time in a rules file, in milliseconds.
inline constexpr std::int64_t kMaxDurationMs = 3'600'000;

// Largest limit of a caller's head or body, in bytes.
inline constexpr std::uint32_t kMaxCallerBytes = 1'000'000'000;

// Largest rate or burst of a quota, in its unit.
inline constexpr double kMaxQuotaAmount = 1e12;

// Returns whether an organisation can have this name: not empty and without
// control characters. Thread-safe: yes.
bool IsOrganisationName(std::string_view name);

// Parses a rules file. One bad line refuses the whole file; every bad line is
// reported. Thread-safe: yes.
tl::expected<ParsedRules, std::vector<Problem>> ParseRules(
    const std::string& text);

// Parses a published rules file into a configuration; the error names line and
// column. Leaves out the checks that only warn, whose time grows with the
// square of the number of rules. Thread-safe: yes.
tl::expected<std::shared_ptr<const core::Configuration>, std::string>
MakeConfiguration(std::uint64_t revision, const std::string& text);

// Writes "FILE:LINE:COLUMN: MESSAGE". Thread-safe: yes.
std::string Describe(const std::string& file, const Problem& problem);

}  // namespace siskindrum::rules

#endif  // SISKINDRUM_RULES_RULES_H_
