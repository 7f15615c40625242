#include "siskindrum/dispatch/stage_plan.h"

#include <algorithm>
#include <map>

#include "siskindrum/dispatch/limits.h"

namespace siskindrum::dispatch {

namespace {

// Engine counts of one pool and its prefill engines by failure domain.
struct PoolEngines {
  std::size_t engines_ = 0;
  std::size_t prefill_ = 0;
  std::map<std::string, std::vector<std::string>> prefill_by_domain_;
};

// Removes and returns one prefill engine of the failure domain that has most of
// them. Of equal domains, the last by name is used.
std::string RemovePrefillEngine(PoolEngines& engines) {
  auto most = engines.prefill_by_domain_.begin();
  for (auto it = most; it != engines.prefill_by_domain_.end(); ++it) {
    if (it->second.size() >= most->second.size()) {
      most = it;
    }
  }
  std::string name = most->second.back();
  most->second.pop_back();
  --engines.prefill_;
  return name;
}

}  // namespace

std::vector<std::string> PrefillEnginesToConvert(const ServerPool& pool,
                                                 TimePoint now) {
  std::map<std::string, PoolEngines> pools;
  for (const auto& [name, server] : pool.servers_) {
    const core::ServerInfo& info = server.info_;
    if (server.listing_ != Listing::kListed ||
        !AcceptsNewWork(pool, server, now) ||
        (info.role_ != core::ServerRole::kPrefill &&
         info.role_ != core::ServerRole::kDecode)) {
      continue;
    }
    PoolEngines& engines = pools[info.service_];
    ++engines.engines_;
    if (info.role_ == core::ServerRole::kPrefill) {
      ++engines.prefill_;
      engines.prefill_by_domain_[info.domain_].push_back(name);
    }
  }
  std::vector<std::string> convert;
  for (auto& [service, engines] : pools) {
    const auto target = std::max<std::size_t>(
        1, static_cast<std::size_t>(kPrefillEngineRatio *
                                    static_cast<double>(engines.engines_)));
    while (engines.engines_ >= kRoleChangeMinEngines &&
           engines.prefill_ > target) {
      convert.push_back(RemovePrefillEngine(engines));
    }
  }
  return convert;
}

}  // namespace siskindrum::dispatch
