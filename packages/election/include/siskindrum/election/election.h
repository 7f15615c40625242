#ifndef SISKINDRUM_ELECTION_ELECTION_H_
#define SISKINDRUM_ELECTION_ELECTION_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "siskindrum/core/peer_message.h"
#include "siskindrum/core/types.h"

// Elects, once in the lifetime of a deployment, the entry that changes engine
// roles. Nothing is stored and there are no terms: an entry votes at most once,
// and a restarted one, which cannot know how its predecessor voted, not at all.
//
// A candidate needs the votes of all entries that it knows: its seeds, the
// seeds that voters report, and the entries that it has heard from. Two
// candidates with a common voter cannot both be elected, so settings may name
// different seeds to each entry. If an entry does not answer, none is elected.
//
// Use, by one thread:
//
//   Election election = MakeElection({peers_address, is_first_start});
//   // On each VoteRequest, send the reply to request.candidate_:
//   VoteReply reply = HandleVoteRequest(election, seeds, request);
//   // On each VoteReply:
//   HandleVoteReply(election, reply);
//   // To be elected, every few ten milliseconds:
//   if (IsCandidate(election, seeds)) {
//     Campaign campaign = ContinueCampaign(election, {seeds, members}, now);
//     // Send campaign.request_ to campaign.voters_.
//   }
//   if (election.elected_) ...
//
// No function reads a clock; `now` must not decrease.

namespace siskindrum::election {

using core::TimePoint;

struct ElectionOptions {
  // Peer address of this entry; empty: it neither votes nor is elected.
  std::string address_;
  bool first_start_ = false;  // This is the first start of the deployment.
};

// An entry whose vote a candidate needs.
struct Voter {
  std::optional<core::VoteRound> granted_;    // Last round; none: none yet.
  std::optional<core::VoteRound> requested_;  // Last request; none: none yet.
  TimePoint repeat_request_at_{};
};

// State of one entry, as voter and as candidate.
struct Election {
  ElectionOptions options_;
  std::string voted_for_;                // Empty: it has not voted.
  std::map<std::string, Voter> voters_;  // By address; without this entry.
  bool withdrawn_ = false;               // A voter has refused.
  bool elected_ = false;
};

// The entries that a candidate knows, by their peer addresses.
struct KnownEntries {
  std::vector<std::string> seeds_;
  std::vector<std::string> members_;  // Heard from directly or by gossip.
};

// What a candidate sends next.
struct Campaign {
  std::vector<std::string> voters_;
  core::VoteRequest request_;
};

// Thread-safe: yes.
Election MakeElection(const ElectionOptions& options);

// Returns whether this entry may be elected: it runs since the first start, its
// address is the lowest of its seeds, and no voter has refused. Thread-safe:
// no.
bool IsCandidate(const Election& election,
                 const std::vector<std::string>& seeds);

// Advances the campaign; `elected_` is set once all entries have voted for this
// one. Requires: IsCandidate(). Thread-safe: no.
Campaign ContinueCampaign(Election& election,
                          const KnownEntries& known,
                          TimePoint now);

// Votes on a request of another entry. `seeds` are those of this entry.
// Thread-safe: no.
core::VoteReply HandleVoteRequest(Election& election,
                                  const std::vector<std::string>& seeds,
                                  const core::VoteRequest& request);

// Counts a vote; replies that were not asked for change nothing. Thread-safe:
// no.
void HandleVoteReply(Election& election, const core::VoteReply& reply);

// Returns the fencing number of this entry's orders: positive, the same for its
// lifetime, and a hash of its address, so that engines do not take the orders
// of two entries for those of one. Fits in 53 bits, as readers of JSON may keep
// numbers as doubles. Thread-safe: yes.
std::uint64_t FencingNumber(const Election& election);

// Returns the addresses of the voters that have not voted for this entry.
// Thread-safe: no.
std::vector<std::string> MissingVoters(const Election& election);

// Thread-safe: yes.
const char* ToString(core::VoteRound round);
const char* ToString(core::Vote vote);

}  // namespace siskindrum::election

#endif  // SISKINDRUM_ELECTION_ELECTION_H_
