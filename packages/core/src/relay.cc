// Membership, homes of cells, and the relay of the configuration and of the
// instance list between entries.

#include <algorithm>

#include "router_p.h"
#include "siskindrum/core/hash.h"
#include "siskindrum/core/limits.h"

namespace siskindrum::core {

namespace {

void FillSelfRow(Step& step) {
  Router& router = step.router_;
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
    self.cells_.push_back(DigestCell(step, cell));
    for (const std::string& server : cell.servers_) {
      const Server& state = router.fleet_.servers_.at(server);
      if (state.load_.draining_) {
        self.leaving_servers_.push_back(server);
      }
    }
  }
}

// Watchers are the first entries of the failure domain by hash, so that the
// calls to the service do not grow with the fleet.
bool ShouldWatch(const Step& step,
                 const std::map<std::string, std::string>& live) {
  const Router& router = step.router_;
  const std::uint64_t own = Hash64(router.options_.name_);
  std::size_t before = 0;
  for (const auto& [name, domain] : live) {
    if (domain == router.options_.domain_ && Hash64(name) < own) {
      ++before;
    }
  }
  return before < kWatchersPerDomain;
}

void TellPolls(Step& step) {
  Router& router = step.router_;
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
  Emit(step, std::move(polls));
}

void Reassign(Step& step) {
  Router& router = step.router_;
  const auto live = LiveEntries(router.membership_, step.now_.steady_);
  router.live_entries_ = std::max<std::size_t>(1, live.size());
  const std::size_t moved = AssignHomes(router.fleet_, live);
  const bool watch = router.draining_ ? false : ShouldWatch(step, live);
  if (watch != router.watching_) {
    router.watching_ = watch;
    Emit(step, WatchPlatform{watch});
  }
  if (moved == 0) {
    return;
  }
  router.counters_.homes_moved_ += moved;
  Log(step, "homes_moved",
      {{"cells", std::to_string(moved)},
       {"live_entries", std::to_string(live.size())}});
  TellPolls(step);
  WithdrawAll(step);
}

void ApplyList(Step& step,
               std::uint64_t version,
               const std::vector<ServerInfo>& servers,
               const std::vector<EntryInfo>& entries,
               const std::string& source) {
  Router& router = step.router_;
  if (version < router.list_version_) {
    return;
  }
  const bool is_new = version != router.list_version_;
  UpdateEntries(router.membership_, entries, step.now_.steady_);
  if (!UpdateServers(router.fleet_, servers)) {
    Log(step, "empty_list_ignored", {{"version", std::to_string(version)}});
    return;
  }
  router.list_version_ = version;
  router.listed_servers_ = servers;
  router.listed_entries_ = entries;
  if (is_new) {
    Log(step, "instance_list",
        {{"version", std::to_string(version)},
         {"servers", std::to_string(servers.size())},
         {"entries", std::to_string(entries.size())},
         {"source", source}});
    Reassign(step);
    TellPolls(step);
  }
}

void TakeConfiguration(Step& step,
                       const std::shared_ptr<const Configuration>& offered,
                       const std::string& source) {
  Router& router = step.router_;
  const auto before = router.configuration_.current_;
  const OfferOutcome offer =
      OfferConfiguration(router.configuration_, offered, step.now_.steady_);
  if (offer == OfferOutcome::kSame) {
    return;
  }
  Log(step,
      offer == OfferOutcome::kTaken ? "configuration_taken"
                                    : "configuration_not_taken",
      {{"revision", std::to_string(offered->revision_)},
       {"source", source},
       {"outcome", ToString(offer)}});
  if (offer == OfferOutcome::kTaken) {
    TakeSeat(step, before.get());
    GossipNow(step);
  }
}

// True while listed peers may still tell of a newer revision.
bool AwaitsPeers(const Router& router, TimePoint now) {
  if (now - router.started_at_ >= kStartupPeerWait) {
    return false;
  }
  return std::any_of(router.membership_.members_.begin(),
                     router.membership_.members_.end(), [](const auto& entry) {
                       return entry.second.listed_ && !entry.second.heard_;
                     });
}

void MarkLeavingServers(Step& step, const std::vector<MemberRow>& rows) {
  for (const MemberRow& row : rows) {
    for (const std::string& name : row.leaving_servers_) {
      const auto it = step.router_.fleet_.servers_.find(name);
      if (it != step.router_.fleet_.servers_.end()) {
        it->second.info_.leaving_ = true;
        it->second.load_.draining_ = true;
      }
    }
  }
}

}  // namespace

void RefreshHomes(Step& step) {
  RemoveStaleMembers(step.router_.membership_, step.now_.steady_);
  Reassign(step);
}

void OnListSeen(Step& step,
                const InstanceListArrived& event,
                const std::string& source) {
  ApplyList(step, event.version_, event.servers_, event.entries_, source);
}

void OnConfigurationSeen(Step& step, const ConfigurationArrived& event) {
  Router& router = step.router_;
  const bool from_service = event.source_ == "service";
  if (router.starting_ && from_service) {
    // The service may be behind what is in force: ask peers first.
    if (router.pending_offer_ == nullptr ||
        event.configuration_->revision_ > router.pending_offer_->revision_) {
      router.pending_offer_ = event.configuration_;
    }
    return;
  }
  TakeConfiguration(step, event.configuration_, event.source_);
}

void EndStart(Step& step) {
  Router& router = step.router_;
  if (!router.starting_ || router.list_version_ == 0 ||
      AwaitsPeers(router, step.now_.steady_)) {
    return;
  }
  router.starting_ = false;
  if (router.pending_offer_ != nullptr) {
    const auto offer = std::move(router.pending_offer_);
    router.pending_offer_ = nullptr;
    TakeConfiguration(step, offer, "service");
  }
}

void OnGossip(Step& step, const std::string& from, const Gossip& message) {
  Router& router = step.router_;
  const bool changed =
      MergeRows(router.membership_, message.rows_, step.now_.steady_);
  MarkLeavingServers(step, message.rows_);
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
    Log(step, "membership_changed", {{"heard_from", from}});
    Reassign(step);
  }
  if (behind) {
    router.next_relay_ = step.now_.steady_;
    RelayNow(step);
  }
}

void OnConfigurationRequest(Step& step,
                            const std::string& from,
                            const ConfigurationRequest& message) {
  const auto& current = step.router_.configuration_.current_;
  if (current != nullptr && current->revision_ > message.have_revision_) {
    Tell(step, from,
         ConfigurationBody{current->revision_, current->rules_.text_});
  }
}

void OnListRequest(Step& step, const std::string& from, const ListRequest& m) {
  const Router& router = step.router_;
  if (router.list_version_ > m.have_version_) {
    Tell(step, from,
         ListBody{router.list_version_, router.listed_servers_,
                  router.listed_entries_});
  }
}

void OnListBody(Step& step, const std::string& from, const ListBody& message) {
  ApplyList(step, message.version_, message.servers_, message.entries_, from);
}

void GossipNow(Step& step) {
  Router& router = step.router_;
  const TimePoint now = step.now_.steady_;
  // Jitter keeps the fleet from speaking all at once.
  const auto jitter = Milliseconds(router.random_() % 100);
  router.next_gossip_ =
      now + router.membership_.gossip_interval_ - Milliseconds(50) + jitter;
  FillSelfRow(step);
  for (const std::string& name :
       GossipTargets(router.membership_, now, router.random_)) {
    Tell(step, name, Gossip{GossipRows(router.membership_, name, now)});
  }
}

void RelayNow(Step& step) {
  Router& router = step.router_;
  const TimePoint now = step.now_.steady_;
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
    Tell(step, newer[router.random_() % newer.size()],
         ConfigurationRequest{own});
  }
  if (!list_peer.empty()) {
    Tell(step, list_peer, ListRequest{router.list_version_});
  }
}

}  // namespace siskindrum::core
