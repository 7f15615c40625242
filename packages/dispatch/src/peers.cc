#include "siskindrum/dispatch/peers.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "dispatcher_p.h"
#include "siskindrum/core/overloaded.h"

namespace siskindrum::dispatch {

namespace {

using core::MemberRow;

std::uint64_t OwnRevision(const Dispatcher& dispatcher) {
  const auto& current = dispatcher.configuration_.current_;
  return current == nullptr ? 0 : current->revision_;
}

bool LacksRulesOrList(const Dispatcher& dispatcher) {
  return OwnRevision(dispatcher) == 0 || !dispatcher.list_read_;
}

void UpdateOwnRow(Step& step) {
  Dispatcher& dispatcher = step.dispatcher_;
  MemberRow& self = dispatcher.peers_.membership_.self_;
  self.role_changing_servers_.clear();
  for (const auto& [name, server] : dispatcher.pool_.servers_) {
    if (dispatcher.election_.elected_ &&
        server.role_change_until_ > step.now_) {
      self.role_changing_servers_.push_back(name);
    }
  }
  ++self.counter_;
  self.revision_ = OwnRevision(dispatcher);
  self.list_version_ = dispatcher.list_version_;
  self.leaving_ = dispatcher.drain_.has_value();
  self.domain_entries_ =
      core::CountDomainEntries(dispatcher.peers_.membership_);
}

// Returns the seed addresses that belong to no entry that was heard lately.
std::vector<std::string> UnresolvedSeeds(const Peers& peers, TimePoint now) {
  std::vector<std::string> unknown;
  for (const std::string& seed : peers.seeds_) {
    const bool known = std::any_of(
        peers.membership_.members_.begin(), peers.membership_.members_.end(),
        [&](const auto& entry) {
          return entry.second.row_.address_ == seed &&
                 core::IsHeard(peers.membership_, entry.second, now);
        });
    if (!known && seed != peers.membership_.self_.address_) {
      unknown.push_back(seed);
    }
  }
  return unknown;
}

// Returns the seed that was told longest ago, so that one that is down delays
// the others by a round only. Of those never told, a random one, since entries
// start together. Requires: `seeds` is not empty.
std::string NextSeed(Step& step, std::vector<std::string> seeds) {
  auto& told_at = step.dispatcher_.peers_.seeds_told_at_;
  const auto first =
      static_cast<std::ptrdiff_t>(step.dispatcher_.random_() % seeds.size());
  std::rotate(seeds.begin(), seeds.begin() + first, seeds.end());
  const auto next =
      std::min_element(seeds.begin(), seeds.end(),
                       [&told_at](const std::string& a, const std::string& b) {
                         return told_at[a] < told_at[b];
                       });
  told_at[*next] = step.now_;
  return *next;
}

void SendGossip(Step& step,
                const std::string& name,
                const std::string& address) {
  SendToPeer(step, address,
             core::Gossip{core::GossipRows(step.dispatcher_.peers_.membership_,
                                           name, step.now_)});
}

// Delays the ends of quarantines by this entry's part of the fleet.
void UpdateReleaseDelay(Dispatcher& dispatcher) {
  const auto entries = static_cast<double>(KnownEntryCount(dispatcher.peers_));
  dispatcher.quarantine_.release_delay_ =
      std::chrono::duration_cast<core::Nanoseconds>(dispatcher.release_draw_ *
                                                    entries * kReleaseSpacing);
}

// Tells a peer all that matters of the quarantine, so that it knows also what
// it missed.
void SendQuarantine(Step& step, const std::string& address) {
  core::QuarantineReport report =
      MakeReport(step.dispatcher_.quarantine_, step.now_);
  if (!report.suspects_.empty() || !report.harmless_.empty() ||
      !report.quarantined_.empty()) {
    SendToPeer(step, address, std::move(report));
  }
}

void SendGossipRound(Step& step) {
  Dispatcher& dispatcher = step.dispatcher_;
  Peers& peers = dispatcher.peers_;
  UpdateOwnRow(step);
  std::vector<std::string> targets =
      core::GossipTargets(peers.membership_, step.now_, dispatcher.random_);
  targets.resize(std::min(targets.size(), kPeerGossipFanOut));
  for (const std::string& name : targets) {
    SendGossip(step, name, peers.membership_.members_.at(name).row_.address_);
  }
  if (!targets.empty()) {
    SendQuarantine(
        step, peers.membership_.members_.at(targets.front()).row_.address_);
  }
  UpdateReleaseDelay(dispatcher);
  // An entry without rules or a server list gossips to all its seeds; others
  // try one per round.
  const std::vector<std::string> seeds = UnresolvedSeeds(peers, step.now_);
  if (LacksRulesOrList(dispatcher)) {
    for (const std::string& seed : seeds) {
      SendGossip(step, "", seed);
    }
  } else if (!seeds.empty()) {
    SendGossip(step, "", NextSeed(step, seeds));
  }
}

// Requests newer rules or a newer server list from a peer that has them. Waits
// for kPeerPullDelay first, since the platform's store usually delivers them by
// then.
void RequestNewerData(Step& step) {
  Dispatcher& dispatcher = step.dispatcher_;
  Peers& peers = dispatcher.peers_;
  const std::uint64_t own = OwnRevision(dispatcher);
  const core::Member* newer_rules = nullptr;
  const core::Member* newer_list = nullptr;
  for (const auto& [name, member] : peers.membership_.members_) {
    if (!core::IsHeard(peers.membership_, member, step.now_)) {
      continue;
    }
    if (member.row_.revision_ >
        (newer_rules == nullptr ? own : newer_rules->row_.revision_)) {
      newer_rules = &member;
    }
    if (member.row_.list_version_ > (newer_list == nullptr
                                         ? dispatcher.list_version_
                                         : newer_list->row_.list_version_)) {
      newer_list = &member;
    }
  }
  if (newer_rules == nullptr && newer_list == nullptr) {
    peers.behind_since_ = {};
    return;
  }
  if (peers.behind_since_ == TimePoint{}) {
    peers.behind_since_ = step.now_;
  }
  const bool urgent = LacksRulesOrList(dispatcher);
  if (step.now_ < peers.next_request_at_ ||
      (!urgent && step.now_ - peers.behind_since_ < kPeerPullDelay)) {
    return;
  }
  peers.next_request_at_ = step.now_ + kPeerPullInterval;
  if (newer_rules != nullptr) {
    SendToPeer(step, newer_rules->row_.address_,
               core::ConfigurationRequest{own});
  }
  if (newer_list != nullptr) {
    SendToPeer(step, newer_list->row_.address_,
               core::ListRequest{dispatcher.list_version_});
  }
  step.actions_.emplace_back(core::LogEvent{
      "peer_asked",
      {{"rules_of", newer_rules == nullptr ? "" : newer_rules->row_.name_},
       {"list_of", newer_list == nullptr ? "" : newer_list->row_.name_},
       {"revision", std::to_string(own)},
       {"list_version", core::ToString(dispatcher.list_version_)},
       {"behind_ms", FormatMs(step.now_ - peers.behind_since_)}}});
}

// Removes the record of an earlier process of the sender with a higher
// incarnation once that process has timed out. This happens when the wall clock
// was set back between the two starts.
void RemoveEarlierProcess(Step& step,
                          const std::string& from,
                          const MemberRow& row) {
  core::Membership& membership = step.dispatcher_.peers_.membership_;
  const auto known = membership.members_.find(from);
  if (known != membership.members_.end() &&
      known->second.row_.incarnation_ > row.incarnation_ &&
      !core::IsHeard(membership, known->second, step.now_)) {
    membership.members_.erase(known);
  }
}

// Excludes from prefill the engines that another entry is converting, before
// the server list shows their new role.
void ApplyRoleChanges(Step& step, const std::vector<MemberRow>& rows) {
  for (const MemberRow& row : rows) {
    for (const std::string& name : row.role_changing_servers_) {
      ServerState* server = FindServer(step.dispatcher_.pool_, name);
      if (server != nullptr &&
          server->info_.role_ == core::ServerRole::kPrefill) {
        server->role_change_until_ =
            step.now_ + step.dispatcher_.peers_.membership_.suspect_timeout_;
      }
    }
  }
}

void OnGossip(Step& step, const std::string& from, const core::Gossip& gossip) {
  Dispatcher& dispatcher = step.dispatcher_;
  core::Membership& membership = dispatcher.peers_.membership_;
  if (gossip.rows_.empty() || gossip.rows_.front().name_ != from) {
    return;
  }
  const MemberRow& sender = gossip.rows_.front();
  RemoveEarlierProcess(step, from, sender);
  const bool is_new = !membership.members_.contains(from);
  if (core::MergeRows(membership, gossip.rows_, step.now_)) {
    step.actions_.emplace_back(core::LogEvent{
        "membership_changed",
        {{"heard_from", from},
         {"entries",
          std::to_string(core::LiveEntries(membership, step.now_).size())}}});
  }
  const std::size_t entries = KnownEntryCount(dispatcher.peers_);
  if (entries > dispatcher.peers_.max_entries_seen_) {
    dispatcher.peers_.max_entries_seen_ = entries;
    dispatcher.peers_.entry_count_grew_at_ = step.now_;
  }
  ApplyRoleChanges(step, gossip.rows_);
  // A new peer may not know this entry either.
  if (is_new || (sender.revision_ == 0 && OwnRevision(dispatcher) != 0)) {
    UpdateOwnRow(step);
    SendGossip(step, from, sender.address_);
    SendQuarantine(step, sender.address_);
  }
  RequestNewerData(step);
}

void OnConfigurationRequest(Step& step,
                            const std::string& from,
                            const core::ConfigurationRequest& request) {
  const auto& current = step.dispatcher_.configuration_.current_;
  const std::string address = AddressOf(step.dispatcher_, from);
  if (!address.empty() && current != nullptr &&
      current->revision_ > request.have_revision_) {
    SendToPeer(
        step, address,
        core::ConfigurationBody{current->revision_, current->rules_.text_});
  }
}

void OnListRequest(Step& step,
                   const std::string& from,
                   const core::ListRequest& request) {
  const Dispatcher& dispatcher = step.dispatcher_;
  const std::string address = AddressOf(dispatcher, from);
  if (address.empty() || dispatcher.list_version_ <= request.have_version_) {
    return;
  }
  core::ListBody body;
  body.version_ = dispatcher.list_version_;
  for (const auto& [name, server] : dispatcher.pool_.servers_) {
    if (server.listing_ != Listing::kUnlisted) {
      body.servers_.push_back(server.info_);
      body.servers_.back().leaving_ = server.listing_ == Listing::kDraining;
    }
  }
  SendToPeer(step, address, std::move(body));
}

void OnUsageReport(Step& step,
                   const core::PeerMessage& message,
                   const core::EngineUseReport& report) {
  Dispatcher& dispatcher = step.dispatcher_;
  RecordPeerUsage(dispatcher.use_, message.from_, message.from_incarnation_,
                  report, step.now_);
  ApplyPeerUsage(dispatcher.use_, dispatcher.pool_, step.now_);
}

// Returns at most `limit` random peers that were heard lately, of all failure
// domains or only of this entry's.
std::vector<const MemberRow*> RandomPeers(Step& step,
                                          bool own_domain_only,
                                          std::size_t limit) {
  const core::Membership& membership = step.dispatcher_.peers_.membership_;
  std::vector<const MemberRow*> peers;
  for (const auto& [name, member] : membership.members_) {
    const bool in_domain = member.row_.domain_ == membership.self_.domain_;
    if ((in_domain || !own_domain_only) &&
        core::IsHeard(membership, member, step.now_)) {
      peers.push_back(&member.row_);
    }
  }
  std::shuffle(peers.begin(), peers.end(), step.dispatcher_.random_);
  peers.resize(std::min(peers.size(), limit));
  return peers;
}

}  // namespace

void SendToPeer(Step& step, const std::string& address, core::PeerBody body) {
  const MemberRow& self = step.dispatcher_.peers_.membership_.self_;
  step.actions_.emplace_back(SendPeerMessage{
      address,
      core::PeerMessage{self.name_, self.incarnation_, std::move(body)}});
}

std::string AddressOf(const Dispatcher& dispatcher, const std::string& name) {
  const auto& members = dispatcher.peers_.membership_.members_;
  const auto found = members.find(name);
  return found == members.end() ? "" : found->second.row_.address_;
}

void SendUsage(Step& step) {
  Dispatcher& dispatcher = step.dispatcher_;
  Peers& peers = dispatcher.peers_;
  if (peers.membership_.self_.address_.empty() ||
      step.now_ < peers.next_usage_report_at_) {
    return;
  }
  const std::vector<const MemberRow*> domain_peers =
      RandomPeers(step, true, kUsageFanOut);
  const auto round = std::chrono::duration<double>(
      static_cast<double>(domain_peers.size()) / kUsageMessagesPerSecond);
  peers.next_usage_report_at_ =
      step.now_ + std::max<core::Nanoseconds>(
                      kMinUsageInterval,
                      std::chrono::duration_cast<core::Nanoseconds>(round));
  ApplyPeerUsage(dispatcher.use_, dispatcher.pool_, step.now_);
  std::vector<core::ServerUse> used = OwnUsage(dispatcher.pool_);
  const bool repeat =
      !used.empty() && ++peers.usage_rounds_skipped_ >= kUsageRepeatRounds;
  if (used == peers.last_reported_usage_ && !repeat) {
    return;
  }
  peers.usage_rounds_skipped_ = 0;
  peers.last_reported_usage_ = used;
  const core::EngineUseReport report{++peers.usage_counter_, std::move(used)};
  for (const MemberRow* row : domain_peers) {
    SendToPeer(step, row->address_, report);
  }
}

std::size_t SendQuarantineReport(Step& step,
                                 const core::QuarantineReport& report) {
  const std::vector<const MemberRow*> peers =
      RandomPeers(step, false, kNewsFanOut);
  for (const MemberRow* row : peers) {
    SendToPeer(step, row->address_, report);
  }
  return peers.size();
}

std::size_t KnownEntryCount(const Peers& peers) {
  return core::CountEntries(peers.membership_);
}

void OnPeerMessage(Step& step, const PeerMessageReceived& event) {
  const core::PeerMessage& message = event.message_;
  std::visit(
      core::Overloaded{
          [&](const core::Gossip& body) {
            OnGossip(step, message.from_, body);
          },
          [&](const core::ConfigurationRequest& body) {
            OnConfigurationRequest(step, message.from_, body);
          },
          [&](const core::ListRequest& body) {
            OnListRequest(step, message.from_, body);
          },
          [&](const core::ListBody& body) {
            // The store may have delivered the same version meanwhile.
            if (body.version_ > step.dispatcher_.list_version_) {
              OnListChanges(step, {body.servers_, {}, true, body.version_},
                            message.from_);
            }
          },
          [&](const core::EngineUseReport& body) {
            OnUsageReport(step, message, body);
          },
          [&](const core::QuarantineReport& body) {
            OnQuarantineReport(step, message.from_, body);
          },
          [&](const core::StreamReport& body) { OnStreamReport(step, body); },
          [&](const core::StreamQuery& body) {
            OnStreamQuery(step, message.from_, body);
          },
          [&](const core::StreamReply& body) { OnStreamReply(step, body); },
          [&](const core::QuotaAsk& body) { OnQuotaAsk(step, message, body); },
          [&](const core::QuotaLoan& body) {
            OnQuotaLoan(step, message, body);
          },
          [&](const core::QuotaReturn& body) {
            OnQuotaReturn(step, message, body);
          },
          [&](const core::VoteRequest& body) {
            OnVoteRequest(step, message.from_, body);
          },
          [&](const core::VoteReply& body) {
            OnVoteReply(step, message.from_, body);
          },
          [&](const auto&) {
            step.actions_.emplace_back(core::LogEvent{
                "peer_message_ignored", {{"from", message.from_}}});
          },
      },
      message.body_);
}

void GossipWithPeers(Step& step) {
  Peers& peers = step.dispatcher_.peers_;
  if (peers.membership_.self_.address_.empty() ||
      step.now_ < peers.next_round_at_) {
    return;
  }
  std::uniform_int_distribution<std::int64_t> jitter(80, 120);
  peers.next_round_at_ =
      step.now_ + kPeerGossipInterval * jitter(step.dispatcher_.random_) / 100;
  core::RemoveStaleMembers(peers.membership_, step.now_);
  SendGossipRound(step);
  RequestNewerData(step);
}

}  // namespace siskindrum::dispatch
