// Changes of engine roles, by the one entry that is elected to make them.

#include "absl/strings/str_join.h"
#include "dispatcher_p.h"
#include "siskindrum/dispatch/stage_plan.h"

namespace siskindrum::dispatch {

namespace {

std::vector<std::string> MemberAddresses(const core::Membership& membership) {
  std::vector<std::string> addresses;
  addresses.reserve(membership.members_.size());
  for (const auto& [name, member] : membership.members_) {
    addresses.push_back(member.row_.address_);
  }
  return addresses;
}

// Asks for the votes that are missing. Elects this entry if none is.
void RequestVotes(Step& step) {
  Dispatcher& dispatcher = step.dispatcher_;
  const Peers& peers = dispatcher.peers_;
  const election::Campaign campaign = election::ContinueCampaign(
      dispatcher.election_, {peers.seeds_, MemberAddresses(peers.membership_)},
      step.now_);
  for (const std::string& address : campaign.voters_) {
    SendToPeer(step, address, campaign.request_);
  }
  if (dispatcher.election_.elected_) {
    step.actions_.emplace_back(core::LogEvent{
        "elected",
        {{"votes", std::to_string(dispatcher.election_.voters_.size() + 1)},
         {"after_ms", FormatMs(step.now_ - dispatcher.started_at_)}}});
  }
}

void ChangeRole(Step& step, const std::string& name) {
  Dispatcher& dispatcher = step.dispatcher_;
  ++dispatcher.counters_.orders_;
  ServerState* server = FindServer(dispatcher.pool_, name);
  server->role_change_until_ = step.now_ + kRoleChangeTimeout;
  dispatcher.peers_.next_round_at_ = step.now_;
  step.actions_.emplace_back(
      SwitchToDecode{name, server->info_.address_, server->info_.incarnation_,
                     election::FencingNumber(dispatcher.election_)});
  step.actions_.emplace_back(core::LogEvent{
      "engine_turned",
      {{"server", name},
       {"pool", server->info_.service_},
       {"domain", server->info_.domain_},
       {"list_age_ms", FormatMs(step.now_ - dispatcher.list_changed_at_)}}});
}

// Ends the attempt to change roles after kRoleChangeWindow.
void GiveUp(Step& step) {
  Dispatcher& dispatcher = step.dispatcher_;
  dispatcher.roles_changed_ = true;
  const std::vector<std::string> missing =
      election::MissingVoters(dispatcher.election_);
  if (!missing.empty()) {
    step.actions_.emplace_back(core::LogEvent{
        "not_elected", {{"missing", absl::StrJoin(missing, ",")}}});
  }
}

}  // namespace

void ChangeEngineRoles(Step& step) {
  Dispatcher& dispatcher = step.dispatcher_;
  if (dispatcher.roles_changed_ || !dispatcher.list_read_ ||
      step.now_ - dispatcher.list_changed_at_ < kRoleChangeSettleTime ||
      !election::IsCandidate(dispatcher.election_, dispatcher.peers_.seeds_)) {
    return;
  }
  if (step.now_ - dispatcher.started_at_ > kRoleChangeWindow) {
    GiveUp(step);
    return;
  }
  const std::vector<std::string> convert =
      PrefillEnginesToConvert(dispatcher.pool_, step.now_);
  if (!convert.empty()) {
    RequestVotes(step);
  }
  if (convert.empty() || dispatcher.election_.elected_) {
    dispatcher.roles_changed_ = true;
    for (const std::string& name : convert) {
      ChangeRole(step, name);
    }
  }
}

void OnVoteRequest(Step& step,
                   const std::string& from,
                   const core::VoteRequest& request) {
  Dispatcher& dispatcher = step.dispatcher_;
  const core::VoteReply reply = election::HandleVoteRequest(
      dispatcher.election_, dispatcher.peers_.seeds_, request);
  step.actions_.emplace_back(
      core::LogEvent{"vote_requested",
                     {{"candidate", from},
                      {"address", request.candidate_},
                      {"round", election::ToString(request.round_)},
                      {"vote", election::ToString(reply.vote_)}}});
  SendToPeer(step, request.candidate_, reply);
}

void OnVoteReply(Step& step,
                 const std::string& from,
                 const core::VoteReply& reply) {
  election::Election& election = step.dispatcher_.election_;
  const bool was_withdrawn = election.withdrawn_;
  election::HandleVoteReply(election, reply);
  if (election.withdrawn_ && !was_withdrawn) {
    step.actions_.emplace_back(
        core::LogEvent{"vote_refused",
                       {{"voter", from},
                        {"address", reply.voter_},
                        {"round", election::ToString(reply.round_)},
                        {"vote", election::ToString(reply.vote_)}}});
  }
  // An idle entry ticks too rarely to wait for the next tick in each round.
  ChangeEngineRoles(step);
}

}  // namespace siskindrum::dispatch
