#include "siskindrum/dispatch/server_pool.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <utility>

#include "siskindrum/dispatch/limits.h"

namespace siskindrum::dispatch {

namespace {

void SetListing(ServerState& server, Listing listing, TimePoint now) {
  if (server.listing_ != listing) {
    server.listing_ = listing;
    server.changed_at_ = now;
  }
}

void ApplySeen(ServerPool& pool, const core::ServerInfo& info, TimePoint now) {
  ServerState& server = pool.servers_[info.name_];
  const bool is_new = server.info_.name_.empty();
  if (!is_new && server.info_.address_ != info.address_) {
    server.failures_ = 0;
    server.suspended_until_ = {};
  }
  if (server.info_.role_ != info.role_) {
    server.role_change_until_ = {};
  }
  server.info_ = info;
  server.misdirected_ = false;
  if (is_new) {
    server.changed_at_ = now;
  }
  SetListing(server, info.leaving_ ? Listing::kDraining : Listing::kListed,
             now);
}

void ApplyRemoved(ServerPool& pool, const std::string& name, TimePoint now) {
  ServerState* server = FindServer(pool, name);
  if (server != nullptr && server->listing_ == Listing::kListed) {
    SetListing(*server, Listing::kUnlisted, now);
  }
}

}  // namespace

void AddSeen(ListChanges& changes, const core::ServerInfo& info) {
  std::erase(changes.removed_, info.name_);
  changes.seen_.push_back(info);
}

void AddRemoved(ListChanges& changes, const std::string& name) {
  const auto stays = [&name](const core::ServerInfo& info) {
    return info.name_ != name;
  };
  const auto passed =
      std::stable_partition(changes.seen_.begin(), changes.seen_.end(), stays);
  std::move(passed, changes.seen_.end(), std::back_inserter(changes.passed_));
  changes.seen_.erase(passed, changes.seen_.end());
  changes.removed_.push_back(name);
}

void ApplyListChanges(ServerPool& pool,
                      const ListChanges& changes,
                      TimePoint now) {
  std::set<std::string> seen;
  for (const core::ServerInfo& info : changes.seen_) {
    ApplySeen(pool, info, now);
    seen.insert(info.name_);
  }
  for (const std::string& name : changes.removed_) {
    ApplyRemoved(pool, name, now);
  }
  if (!changes.is_snapshot_) {
    return;
  }
  for (auto& [name, server] : pool.servers_) {
    if (!seen.contains(name)) {
      ApplyRemoved(pool, name, now);
    }
  }
}

std::size_t RemoveUnlistedServers(ServerPool& pool, TimePoint now) {
  return std::erase_if(pool.servers_, [now](const auto& entry) {
    const ServerState& server = entry.second;
    return server.listing_ != Listing::kListed && server.calls_ == 0 &&
           now - server.changed_at_ > kUnlistedServerRetention;
  });
}

ServerState* FindServer(ServerPool& pool, const std::string& name) {
  const auto found = pool.servers_.find(name);
  return found == pool.servers_.end() ? nullptr : &found->second;
}

bool IsInService(const ServerPool& pool,
                 const ServerState& server,
                 TimePoint now) {
  if (server.misdirected_ ||
      HasAnnouncedLeaving(pool.notices_, server.info_, now)) {
    return false;
  }
  switch (server.listing_) {
    case Listing::kListed:
      return true;
    case Listing::kUnlisted:
      return now - server.changed_at_ < kUnlistedServerGrace;
    default:
      return false;
  }
}

bool IsPaused(const ServerPool& pool,
              const ServerState& server,
              TimePoint now) {
  return now < PausedUntil(pool.notices_, server.info_);
}

bool AcceptsNewWork(const ServerPool& pool,
                    const ServerState& server,
                    TimePoint now) {
  return IsInService(pool, server, now) && !IsPaused(pool, server, now);
}

double CurrentDelayMs(const MeasuredDelay& delay, TimePoint now) {
  return Fade(delay.ms_, delay.measured_at_, kDelayHalfLife, now);
}

void RecordDelay(MeasuredDelay& delay,
                 double expected_ms,
                 double took_ms,
                 TimePoint now) {
  const double known = CurrentDelayMs(delay, now);
  const double sample = std::max(0.0, known + took_ms - expected_ms);
  delay.ms_ = known + kDelayWeight * (sample - known);
  delay.measured_at_ = now;
}

void RecordCallStart(ServerState& server, TimePoint now) {
  if (server.calls_ == 0) {
    server.silent_since_ = now;
  }
  ++server.calls_;
}

void RecordCallEnd(ServerState& server) {
  if (server.calls_ > 0) {
    --server.calls_;
  }
}

void RecordResponse(ServerState& server) {
  server.failures_ = 0;
  server.suspended_until_ = {};
}

void RecordAnswer(ServerState& server, bool error, TimePoint now) {
  RecordResponse(server);
  server.silent_since_ = now;
  server.error_share_ = kErrorShareDecay * server.error_share_ +
                        (1 - kErrorShareDecay) * (error ? 1.0 : 0.0);
}

void RecordRefusal(ServerState& server, TimePoint now) {
  server.failures_ = 0;
  server.suspended_until_ =
      std::max(server.suspended_until_, now + kRefusalBackoff);
}

void RecordMisdirected(ServerState& server) {
  if (server.info_.role_ == core::ServerRole::kPrefill) {
    server.info_.role_ = core::ServerRole::kDecode;
  } else {
    server.misdirected_ = true;
  }
}

void RecordFailure(ServerState& server, TimePoint now) {
  Milliseconds pause = kInitialSuspension;
  for (std::uint32_t i = 0; i < server.failures_ && pause < kMaxSuspension;
       ++i) {
    pause *= 2;
  }
  ++server.failures_;
  server.suspended_until_ = now + std::min(pause, kMaxSuspension);
}

double ToMs(core::Nanoseconds duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

double Smooth(double mean, double sample, double weight) {
  return mean == 0 ? sample : mean + weight * (sample - mean);
}

}  // namespace siskindrum::dispatch
