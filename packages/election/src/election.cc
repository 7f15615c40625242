#include "siskindrum/election/election.h"

#include <algorithm>

#include "siskindrum/core/hash.h"

namespace siskindrum::election {

namespace {

using core::Vote;
using core::VoteRound;

// A request that got no reply is sent again after this time.
constexpr core::Milliseconds kRequestRepeatInterval{250};
// The platform names at most three seeds; a longer list is not plausible.
constexpr std::size_t kMaxReportedSeeds = 64;

bool KnowsLower(const std::vector<std::string>& seeds,
                const std::string& address) {
  return std::any_of(
      seeds.begin(), seeds.end(),
      [&address](const std::string& seed) { return seed < address; });
}

void AddVoters(Election& election, const std::vector<std::string>& addresses) {
  for (const std::string& address : addresses) {
    if (!address.empty() && address != election.options_.address_) {
      election.voters_.try_emplace(address);
    }
  }
}

bool AllGranted(const Election& election, VoteRound round) {
  return std::all_of(
      election.voters_.begin(), election.voters_.end(),
      [round](const auto& entry) { return entry.second.granted_ >= round; });
}

// Returns whether this entry has not voted for another one.
bool VoteForSelf(Election& election) {
  if (election.voted_for_.empty()) {
    election.voted_for_ = election.options_.address_;
  }
  return election.voted_for_ == election.options_.address_;
}

Vote Decide(const Election& election,
            const std::vector<std::string>& seeds,
            const std::string& candidate) {
  if (!election.options_.first_start_) {
    return Vote::kRestarted;
  }
  if (!election.voted_for_.empty() && election.voted_for_ != candidate) {
    return Vote::kVotedForAnother;
  }
  return KnowsLower(seeds, candidate) ? Vote::kKnowsLowerSeed : Vote::kGranted;
}

}  // namespace

Election MakeElection(const ElectionOptions& options) {
  Election election;
  election.options_ = options;
  return election;
}

bool IsCandidate(const Election& election,
                 const std::vector<std::string>& seeds) {
  const std::string& self = election.options_.address_;
  return election.options_.first_start_ && !self.empty() &&
         !election.withdrawn_ &&
         std::find(seeds.begin(), seeds.end(), self) != seeds.end() &&
         !KnowsLower(seeds, self);
}

Campaign ContinueCampaign(Election& election,
                          const KnownEntries& known,
                          TimePoint now) {
  AddVoters(election, known.seeds_);
  AddVoters(election, known.members_);
  Campaign campaign;
  const VoteRound round = AllGranted(election, VoteRound::kPreVote)
                              ? VoteRound::kVote
                              : VoteRound::kPreVote;
  campaign.request_ = {round, election.options_.address_};
  if (round == VoteRound::kVote) {
    election.withdrawn_ = !VoteForSelf(election);
    election.elected_ =
        !election.withdrawn_ && AllGranted(election, VoteRound::kVote);
  }
  if (election.withdrawn_) {
    return campaign;
  }
  for (auto& [address, voter] : election.voters_) {
    const bool waits =
        voter.requested_ >= round && now < voter.repeat_request_at_;
    if (voter.granted_ < round && !waits) {
      voter.requested_ = round;
      voter.repeat_request_at_ = now + kRequestRepeatInterval;
      campaign.voters_.push_back(address);
    }
  }
  return campaign;
}

core::VoteReply HandleVoteRequest(Election& election,
                                  const std::vector<std::string>& seeds,
                                  const core::VoteRequest& request) {
  core::VoteReply reply;
  reply.round_ = request.round_;
  reply.vote_ = Decide(election, seeds, request.candidate_);
  reply.voter_ = election.options_.address_;
  reply.seeds_ = seeds;
  if (reply.vote_ == Vote::kGranted && request.round_ == VoteRound::kVote) {
    election.voted_for_ = request.candidate_;
  }
  return reply;
}

void HandleVoteReply(Election& election, const core::VoteReply& reply) {
  const auto voter = election.voters_.find(reply.voter_);
  if (voter == election.voters_.end()) {
    return;
  }
  if (reply.vote_ != Vote::kGranted ||
      reply.seeds_.size() > kMaxReportedSeeds) {
    election.withdrawn_ = true;
    return;
  }
  voter->second.granted_ =
      std::max(voter->second.granted_, std::optional(reply.round_));
  AddVoters(election, reply.seeds_);
}

std::uint64_t FencingNumber(const Election& election) {
  constexpr int kBits = 53;
  const std::uint64_t hash = core::Hash64(election.options_.address_);
  return std::max<std::uint64_t>(hash >> (64 - kBits), 1);
}

std::vector<std::string> MissingVoters(const Election& election) {
  std::vector<std::string> missing;
  for (const auto& [address, voter] : election.voters_) {
    if (voter.granted_ < VoteRound::kVote) {
      missing.push_back(address);
    }
  }
  return missing;
}

const char* ToString(VoteRound round) {
  return round == VoteRound::kVote ? "vote" : "pre_vote";
}

const char* ToString(Vote vote) {
  switch (vote) {
    case Vote::kGranted:
      return "granted";
    case Vote::kRestarted:
      return "restarted";
    case Vote::kVotedForAnother:
      return "voted_for_another";
    case Vote::kKnowsLowerSeed:
      return "knows_lower_seed";
    case Vote::kCount:
      break;
  }
  return "unknown";
}

}  // namespace siskindrum::election
