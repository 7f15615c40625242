#include "siskindrum/admission/ranked_pools.h"

namespace siskindrum::admission {

namespace {

void AddRank(RankedPools& pools, const std::string& pool, std::uint32_t rank) {
  const auto [found, added] = pools.pools_.try_emplace(pool);
  if (added) {
    found->second.first_ = rank;
  }
  found->second.differ_ = found->second.differ_ || found->second.first_ != rank;
}

}  // namespace

RankedPools FindRankedPools(const core::RuleSet& rules) {
  RankedPools pools;
  for (const core::Organisation& organisation : rules.organisations_) {
    pools.has_organisations_ = true;
    pools.has_organisation_ranks_ =
        pools.has_organisation_ranks_ || organisation.rank_.has_value();
  }
  for (const core::Rule& rule : rules.rules_) {
    const core::RuleOutcome& outcome = rule.outcome_;
    if (outcome.action_ == core::Action::kRefuse) {
      continue;
    }
    AddRank(pools, outcome.pool_, outcome.rank_);
    for (const core::PoolShare& share : outcome.split_) {
      AddRank(pools, share.pool_, outcome.rank_);
    }
  }
  return pools;
}

bool HasSeveralRanks(const RankedPools& pools, const std::string& pool) {
  const auto found = pools.pools_.find(pool);
  return found != pools.pools_.end() &&
         (found->second.differ_ || pools.has_organisation_ranks_);
}

bool UsesAdmission(const RankedPools& pools, const std::string& pool) {
  return pools.has_organisations_ || HasSeveralRanks(pools, pool);
}

}  // namespace siskindrum::admission
