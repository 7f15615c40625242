// Membership, homes of cells, and the exchange of the configuration and of the
// instance list between entries.

#include <algorithm>

#include "router_p.h"
#include "siskindrum/core/hash.h"
#include "siskindrum/core/limits.h"

namespace siskindrum::core {

namespace {

void FillSelfRow(EventContext& context) {
  Router& router = context.router_;
  MemberRow& self = router.membership_.self_;
  ++self.counter_;
  self.revision_ = router.configuration_.current_ == nullptr
                       ? 0
                       : router.configuration_.current_->revision_;
  self.list_version_ = router.list_version_;
  self.cells_.clear();
  self.leaving_servers_.clear();
  for (const auto& [name, cell] : router.fleet_.cells_) {
    if (cell.home_ != self.name_) {
      continue;
    }
    self.cells_.push_back(DigestCell(context, cell));
    for (const std::string& server : cell.servers_) {
      const Server& state = router.fleet_.servers_.at(server);
      if (state.load_.draining_) {
        self.leaving_servers_.push_back(server);
      }
    }
  }
}

// True when this entry must watch the platform's services. Only the
// kWatchersPerDomain live entries of a failure domain with the lowest name hash
// do, so that the load on the services does not grow with the fleet.
bool ShouldWatch(const EventContext& context,
                 const std::map<std::string, std::string>& live) {
  const Router& router = context.router_;
  const std::uint64_t own = Hash64(router.options_.name_);
  std::size_t before = 0;
  for (const auto& [name, domain] : live) {
    if (domain == router.options_.domain_ && Hash64(name) < own) {
      ++before;
    }
  }
  return before < kWatchersPerDomain;
}

void EmitPollList(EventContext& context) {
  Router& router = context.router_;
  PollServers polls;
  for (const auto& [name, cell] : router.fleet_.cells_) {
    if (cell.home_ != router.options_.name_) {
      continue;
    }
    for (const std::string& server : cell.servers_) {
      const ServerInfo& info = router.fleet_.servers_.at(server).info_;
      if (info.role_ != ServerRole::kPlain) {
        polls.servers_.push_back(info);
      }
    }
  }
  Emit(context, std::move(polls));
}

void ReassignHomes(EventContext& context) {
  Router& router = context.router_;
  const auto live = LiveEntries(router.membership_, context.now_.steady_);
  router.live_entries_ = std::max<std::size_t>(1, live.size());
  const std::size_t moved = AssignHomes(router.fleet_, live);
  const bool watch = router.draining_ ? false : ShouldWatch(context, live);
  if (watch != router.watching_) {
    router.watching_ = watch;
    Emit(context, WatchPlatform{watch});
  }
  if (moved == 0) {
    return;
  }
  router.counters_.homes_moved_ += moved;
  Log(context, "homes_moved",
      {{"cells", std::to_string(moved)},
       {"live_entries", std::to_string(live.size())}});
  EmitPollList(context);
  RerouteWaiting(context);
}

void ApplyList(EventContext& context,
               const StorePosition& version,
               const std::vector<ServerInfo>& servers,
               const std::vector<EntryInfo>& entries,
               const std::string& source) {
  Router& router = context.router_;
  if (version < router.list_version_) {
    Log(context, "list_not_taken",
        {{"version", ToString(version)},
         {"known", ToString(router.list_version_)},
         {"source", source}});
    return;
  }
  const bool is_new = version != router.list_version_;
  UpdateEntries(router.membership_, entries, context.now_.steady_);
  if (!UpdateServers(router.fleet_, servers)) {
    Log(context, "empty_list_ignored", {{"version", ToString(version)}});
    return;
  }
  router.list_version_ = version;
  router.listed_servers_ = servers;
  router.listed_entries_ = entries;
  if (is_new) {
    Log(context, "instance_list",
        {{"version", ToString(version)},
         {"servers", std::to_string(servers.size())},
         {"entries", std::to_string(entries.size())},
         {"source", source}});
    ReassignHomes(context);
    EmitPollList(context);
  }
}

void ApplyConfiguration(EventContext& context,
                        const std::shared_ptr<const Configuration>& offered,
                        const std::string& source) {
  Router& router = context.router_;
  const auto before = router.configuration_.current_;
  const OfferOutcome offer =
      OfferConfiguration(router.configuration_, offered, context.now_.steady_);
  if (offer == OfferOutcome::kSame) {
    return;
  }
  Log(context,
      offer == OfferOutcome::kTaken ? "configuration_taken"
                                    : "configuration_not_taken",
      {{"revision", std::to_string(offered->revision_)},
       {"source", source},
       {"outcome", ToString(offer)}});
  if (offer == OfferOutcome::kTaken) {
    UpdateSeat(context, before.get());
    SendGossip(context);
  }
}

// True while startup waits for listed peers, which may know a newer revision.
bool IsAwaitingPeers(const Router& router, TimePoint now) {
  if (now - router.started_at_ >= kStartupPeerWait) {
    return false;
  }
  return std::any_of(router.membership_.members_.begin(),
                     router.membership_.members_.end(), [](const auto& entry) {
                       return entry.second.listed_ && !entry.second.heard_;
                     });
}

void MarkLeavingServers(EventContext& context,
                        const std::vector<MemberRow>& rows) {
  for (const MemberRow& row : rows) {
    for (const std::string& name : row.leaving_servers_) {
      const auto it = context.router_.fleet_.servers_.find(name);
      if (it != context.router_.fleet_.servers_.end()) {
        it->second.info_.leaving_ = true;
        it->second.load_.draining_ = true;
      }
    }
  }
}

}  // namespace

void RefreshHomes(EventContext& context) {
  RemoveStaleMembers(context.router_.membership_, context.now_.steady_);
  ReassignHomes(context);
}

void OnInstanceListArrived(EventContext& context,
                           const InstanceListArrived& event,
                           const std::string& source) {
  ApplyList(context, {0, event.version_}, event.servers_, event.entries_,
            source);
}

void OnConfigurationArrived(EventContext& context,
                            const ConfigurationArrived& event) {
  Router& router = context.router_;
  const bool from_service = event.source_ == "service";
  if (router.starting_ && from_service) {
    // The service may offer an older revision than the one in force: wait for
    // the peers' revisions first.
    if (router.pending_offer_ == nullptr ||
        event.configuration_->revision_ > router.pending_offer_->revision_) {
      router.pending_offer_ = event.configuration_;
    }
    return;
  }
  ApplyConfiguration(context, event.configuration_, event.source_);
}

void FinishStartup(EventContext& context) {
  Router& router = context.router_;
  if (!router.starting_ || router.list_version_ == StorePosition{} ||
      IsAwaitingPeers(router, context.now_.steady_)) {
    return;
  }
  router.starting_ = false;
  if (router.pending_offer_ != nullptr) {
    const auto offer = std::move(router.pending_offer_);
    router.pending_offer_ = nullptr;
    ApplyConfiguration(context, offer, "service");
  }
}

void OnGossip(EventContext& context,
              const std::string& from,
              const Gossip& message) {
  Router& router = context.router_;
  const bool changed =
      MergeRows(router.membership_, message.rows_, context.now_.steady_);
  MarkLeavingServers(context, message.rows_);
  std::uint64_t& heard = router.configuration_.heard_revision_;
  bool behind = false;
  for (const MemberRow& row : message.rows_) {
    if (row.revision_ > heard) {
      heard = row.revision_;
      behind = true;
    }
    behind = behind || row.list_version_ > router.list_version_;
  }
  if (changed) {
    Log(context, "membership_changed", {{"heard_from", from}});
    ReassignHomes(context);
  }
  if (behind) {
    router.next_relay_ = context.now_.steady_;
    RequestNewerState(context);
  }
}

void OnConfigurationRequest(EventContext& context,
                            const std::string& from,
                            const ConfigurationRequest& message) {
  const auto& current = context.router_.configuration_.current_;
  if (current != nullptr && current->revision_ > message.have_revision_) {
    SendToPeer(context, from,
               ConfigurationBody{current->revision_, current->rules_.text_});
  }
}

void OnListRequest(EventContext& context,
                   const std::string& from,
                   const ListRequest& m) {
  const Router& router = context.router_;
  if (router.list_version_ > m.have_version_) {
    SendToPeer(context, from,
               ListBody{router.list_version_, router.listed_servers_,
                        router.listed_entries_});
  }
}

void OnListBody(EventContext& context,
                const std::string& from,
                const ListBody& message) {
  ApplyList(context, message.version_, message.servers_, message.entries_,
            from);
}

void SendGossip(EventContext& context) {
  Router& router = context.router_;
  const TimePoint now = context.now_.steady_;
  // Jitter keeps the entries from sending their gossip at the same time.
  const auto jitter = Milliseconds(router.random_() % 100);
  router.next_gossip_ =
      now + router.membership_.gossip_interval_ - Milliseconds(50) + jitter;
  FillSelfRow(context);
  for (const std::string& name :
       GossipTargets(router.membership_, now, router.random_)) {
    SendToPeer(context, name,
               Gossip{GossipRows(router.membership_, name, now)});
  }
}

void RequestNewerState(EventContext& context) {
  Router& router = context.router_;
  const TimePoint now = context.now_.steady_;
  if (now < router.next_relay_) {
    return;
  }
  router.next_relay_ = now + kRelayInterval;
  const std::uint64_t own = router.configuration_.current_ == nullptr
                                ? 0
                                : router.configuration_.current_->revision_;
  std::vector<std::string> newer;
  std::string list_peer;
  for (const auto& [name, member] : router.membership_.members_) {
    const bool fresh = IsHeard(router.membership_, member, now);
    if (fresh && member.row_.revision_ > own) {
      newer.push_back(name);
    }
    if (fresh && member.row_.list_version_ > router.list_version_) {
      list_peer = name;
    }
  }
  if (!newer.empty()) {
    SendToPeer(context, newer[router.random_() % newer.size()],
               ConfigurationRequest{own});
  }
  if (!list_peer.empty()) {
    SendToPeer(context, list_peer, ListRequest{router.list_version_});
  }
}

}  // namespace siskindrum::core
