#include "siskindrum/dispatch/use_view.h"

#include "siskindrum/dispatch/limits.h"

namespace siskindrum::dispatch {

void RecordPeerUsage(PeerUsage& view,
                     const std::string& from,
                     core::Incarnation incarnation,
                     const core::EngineUseReport& report,
                     TimePoint now) {
  PeerUsageReport& known = view.entries_[from];
  const bool older =
      known.incarnation_ == incarnation && report.counter_ <= known.counter_;
  if (!older) {
    known = {incarnation, report.counter_, now, report.servers_};
  }
}

void ApplyPeerUsage(PeerUsage& view, ServerPool& pool, TimePoint now) {
  std::erase_if(view.entries_, [now](const auto& entry) {
    return now - entry.second.heard_at_ > kUsageLifetime;
  });
  for (auto& [name, server] : pool.servers_) {
    server.peer_held_tokens_ = 0;
  }
  for (const auto& [entry, known] : view.entries_) {
    for (const core::ServerUse& use : known.servers_) {
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
