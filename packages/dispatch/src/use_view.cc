#include "siskindrum/dispatch/use_view.h"

#include "siskindrum/dispatch/limits.h"

namespace siskindrum::dispatch {

namespace {

void AddUse(const HeardUse& heard, ServerPool& pool) {
  for (const core::ServerUse& use : heard.servers_) {
    KnownServer* server = FindServer(pool, use.server_);
    if (server != nullptr) {
      server->told_held_tokens_ += use.held_tokens_;
      server->told_prefill_tokens_ += use.prefill_tokens_;
    }
  }
}

void ForgetSilent(std::map<std::string, HeardUse>& heard, TimePoint now) {
  std::erase_if(heard, [now](const auto& entry) {
    return now - entry.second.heard_at_ > kUseMemory;
  });
}

}  // namespace

void TakeUse(UseView& view,
             const std::string& from,
             core::Incarnation incarnation,
             const std::string& domain,
             const core::UseTold& told,
             TimePoint now) {
  // Any entry of a domain may speak for it: the last one heard counts.
  HeardUse& heard =
      told.of_domain_ ? view.domains_[domain] : view.entries_[from];
  const bool older = !told.of_domain_ && heard.incarnation_ == incarnation &&
                     told.counter_ <= heard.counter_;
  if (!older) {
    heard = {incarnation, told.counter_, now, told.servers_};
  }
}

void ApplyUse(UseView& view, ServerPool& pool, TimePoint now) {
  ForgetSilent(view.entries_, now);
  ForgetSilent(view.domains_, now);
  for (auto& [name, server] : pool.servers_) {
    server.told_held_tokens_ = 0;
    server.told_prefill_tokens_ = 0;
  }
  for (const auto& [name, heard] : view.entries_) {
    AddUse(heard, pool);
  }
  for (const auto& [name, heard] : view.domains_) {
    AddUse(heard, pool);
  }
}

std::vector<core::ServerUse> OwnUse(const ServerPool& pool) {
  std::vector<core::ServerUse> used;
  for (const auto& [name, server] : pool.servers_) {
    if (server.held_tokens_ > 0 || server.prefill_tokens_ > 0) {
      used.push_back({name, server.held_tokens_, server.prefill_tokens_});
    }
  }
  return used;
}

std::vector<core::ServerUse> DomainUse(const UseView& view,
                                       const ServerPool& pool) {
  std::map<std::string, core::ServerUse> sums;
  const auto add = [&sums](const core::ServerUse& use) {
    core::ServerUse& sum = sums[use.server_];
    sum.server_ = use.server_;
    sum.held_tokens_ += use.held_tokens_;
    sum.prefill_tokens_ += use.prefill_tokens_;
  };
  for (const core::ServerUse& use : OwnUse(pool)) {
    add(use);
  }
  for (const auto& [name, heard] : view.entries_) {
    for (const core::ServerUse& use : heard.servers_) {
      add(use);
    }
  }
  std::vector<core::ServerUse> used;
  for (auto& [name, sum] : sums) {
    used.push_back(std::move(sum));
  }
  return used;
}

}  // namespace siskindrum::dispatch
