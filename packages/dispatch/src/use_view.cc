#include "siskindrum/dispatch/use_view.h"

#include "siskindrum/dispatch/limits.h"

namespace siskindrum::dispatch {

void RecordPeerUsage(PeerUsage& view,
                     const std::string& from,
                     core::Incarnation incarnation,
                     const core::EngineUseReport& told,
                     TimePoint now) {
  PeerUsageReport& heard = view.entries_[from];
  const bool older =
      heard.incarnation_ == incarnation && told.counter_ <= heard.counter_;
  if (!older) {
    heard = {incarnation, told.counter_, now, told.servers_};
  }
}

void ApplyPeerUsage(PeerUsage& view, ServerPool& pool, TimePoint now) {
  std::erase_if(view.entries_, [now](const auto& entry) {
    return now - entry.second.heard_at_ > kUsageLifetime;
  });
  for (auto& [name, server] : pool.servers_) {
    server.peer_held_tokens_ = 0;
  }
  for (const auto& [entry, heard] : view.entries_) {
    for (const core::ServerUse& use : heard.servers_) {
      ServerState* server = FindServer(pool, use.server_);
      if (server != nullptr) {
        server->peer_held_tokens_ += use.held_tokens_;
      }
    }
  }
}

std::vector<core::ServerUse> OwnUsage(const ServerPool& pool) {
  std::vector<core::ServerUse> used;
  for (const auto& [name, server] : pool.servers_) {
    if (server.held_tokens_ > 0) {
      used.push_back({name, server.held_tokens_});
    }
  }
  return used;
}

}  // namespace siskindrum::dispatch
