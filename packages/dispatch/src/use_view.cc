#include "siskindrum/dispatch/use_view.h"

#include "siskindrum/dispatch/limits.h"

namespace siskindrum::dispatch {

void TakeUse(UseView& view,
             const std::string& from,
             core::Incarnation incarnation,
             const core::UseTold& told,
             TimePoint now) {
  HeardUse& heard = view.entries_[from];
  const bool older =
      heard.incarnation_ == incarnation && told.counter_ <= heard.counter_;
  if (!older) {
    heard = {incarnation, told.counter_, now, told.servers_};
  }
}

void ApplyUse(UseView& view, ServerPool& pool, TimePoint now) {
  std::erase_if(view.entries_, [now](const auto& entry) {
    return now - entry.second.heard_at_ > kUsageLifetime;
  });
  for (auto& [name, server] : pool.servers_) {
    server.told_held_tokens_ = 0;
  }
  for (const auto& [entry, heard] : view.entries_) {
    for (const core::ServerUse& use : heard.servers_) {
      KnownServer* server = FindServer(pool, use.server_);
      if (server != nullptr) {
        server->told_held_tokens_ += use.held_tokens_;
      }
    }
  }
}

std::vector<core::ServerUse> OwnUse(const ServerPool& pool) {
  std::vector<core::ServerUse> used;
  for (const auto& [name, server] : pool.servers_) {
    if (server.held_tokens_ > 0) {
      used.push_back({name, server.held_tokens_});
    }
  }
  return used;
}

}  // namespace siskindrum::dispatch
