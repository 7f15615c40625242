#ifndef SISKINDRUM_ADMISSION_RANKED_POOLS_H_
#define SISKINDRUM_ADMISSION_RANKED_POOLS_H_

#include <map>
#include <string>

#include "siskindrum/core/rule.h"

namespace siskindrum::admission {

// Which pools of a configuration serve requests in order of urgency.
struct RankedPools {
  bool has_organisations_ = false;
  bool has_organisation_ranks_ = false;
  // The rank of the pool's rules, and whether they have more than one.
  struct Ranks {
    std::uint32_t first_ = 0;
    bool differ_ = false;
  };
  std::map<std::string, Ranks> pools_;
};

// Reads the rules once, in time linear in their number. Thread-safe: yes.
RankedPools FindRankedPools(const core::RuleSet& rules);

// Returns true when requests of the pool differ in urgency: its rules have
// several ranks, or an organisation has one. Engines are then told the rank.
// Thread-safe: yes, for constant pools.
bool HasSeveralRanks(const RankedPools& pools, const std::string& pool);

// Returns true when waiting requests of the pool are ordered and refused as in
// admission.h: it has several ranks, or the configuration has organisations.
// Thread-safe: yes, for constant pools.
bool UsesAdmission(const RankedPools& pools, const std::string& pool);

}  // namespace siskindrum::admission

#endif  // SISKINDRUM_ADMISSION_RANKED_POOLS_H_
