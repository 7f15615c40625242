#define BOOST_TEST_MODULE election
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <set>
#include <variant>

#include <rapidcheck.h>

#include "siskindrum/election/election.h"

namespace siskindrum::election {
namespace {

using core::Milliseconds;
using core::Vote;
using core::VoteRound;

// Entries that campaign on virtual time. Messages arrive at the next tick.
struct ElectionFixture {
  struct Entry {
    Election election_;
    std::vector<std::string> seeds_;
    std::vector<std::string> members_;
  };
  struct InFlight {
    std::string to_;
    std::variant<core::VoteRequest, core::VoteReply> body_;
  };

  void Add(const std::string& address,
           const std::vector<std::string>& seeds,
           bool first_start = true) {
    entries_[address] = {MakeElection({address, first_start}), seeds, {}};
  }
  void Restart(const std::string& address) {
    Add(address, entries_.at(address).seeds_, false);
  }

  void Campaign(const std::string& address) {
    Entry& entry = entries_.at(address);
    if (!IsCandidate(entry.election_, entry.seeds_)) {
      return;
    }
    const election::Campaign campaign =
        ContinueCampaign(entry.election_, {entry.seeds_, entry.members_}, now_);
    for (const std::string& voter : campaign.voters_) {
      in_flight_.push_back({voter, campaign.request_});
    }
    if (entry.election_.elected_) {
      elected_.insert(address);
    }
  }
  void Deliver(const InFlight& message) {
    const auto found = entries_.find(message.to_);
    if (found == entries_.end()) {
      return;
    }
    Entry& entry = found->second;
    if (const auto* request = std::get_if<core::VoteRequest>(&message.body_)) {
      in_flight_.push_back(
          {request->candidate_,
           HandleVoteRequest(entry.election_, entry.seeds_, *request)});
    } else {
      HandleVoteReply(entry.election_,
                      std::get<core::VoteReply>(message.body_));
    }
  }
  void Tick() {
    now_ += Milliseconds(20);
    std::vector<InFlight> arriving;
    arriving.swap(in_flight_);
    for (const InFlight& message : arriving) {
      Deliver(message);
    }
    for (const auto& [address, entry] : entries_) {
      Campaign(address);
    }
  }
  void Pass(Milliseconds time) {
    for (const TimePoint until = now_ + time; now_ < until;) {
      Tick();
    }
  }
  bool IsElected(const std::string& address) const {
    return elected_.contains(address);
  }

  TimePoint now_{std::chrono::hours(1)};
  std::map<std::string, Entry> entries_;
  std::vector<InFlight> in_flight_;
  std::set<std::string> elected_;  // Ever, of any process.
};

BOOST_FIXTURE_TEST_SUITE(Elections, ElectionFixture)

BOOST_AUTO_TEST_CASE(Campaign_WhenAllNameTheSameSeeds_ElectsTheLowest) {
  const std::vector<std::string> seeds = {"b", "a", "c"};
  for (const char* address : {"a", "b", "c", "d"}) {
    Add(address, seeds);
  }
  Pass(Milliseconds(200));
  BOOST_TEST((elected_ == std::set<std::string>{"a"}));
}

// Guards against two entries that each take themselves for the only one.
BOOST_AUTO_TEST_CASE(Campaign_WhenOneListLacksTheLowest_ElectsOnlyOne) {
  Add("a", {"a", "b", "c"});
  Add("b", {"b", "c"});
  Add("c", {"a", "b", "c"});
  Pass(Milliseconds(200));
  BOOST_TEST((elected_ == std::set<std::string>{"a"}));
}

BOOST_AUTO_TEST_CASE(Campaign_WhenItIsTheOnlyEntry_ElectsItAtOnce) {
  Add("a", {"a"});
  Tick();
  BOOST_TEST(IsElected("a"));
}

BOOST_AUTO_TEST_CASE(Campaign_WhenASeedDoesNotAnswer_AsksAgainAndElectsNone) {
  Add("a", {"a", "b", "c"});
  Add("b", {"a", "b", "c"});
  Pass(Milliseconds(1000));
  BOOST_TEST(elected_.empty());
  BOOST_TEST((MissingVoters(entries_.at("a").election_) ==
              std::vector<std::string>{"b", "c"}));
  Add("c", {"a", "b", "c"});
  Pass(Milliseconds(300));
  BOOST_TEST(IsElected("a"));
}

// The lists of two candidates have no common entry; that of a voter joins them.
BOOST_AUTO_TEST_CASE(Campaign_WhenAVoterReportsSeeds_NeedsTheirVotesToo) {
  Add("c", {"c", "z"});
  Add("z", {"c", "z"});
  Pass(Milliseconds(200));
  BOOST_TEST(IsElected("c"));
  Add("a", {"a", "m"});
  Add("m", {"c", "m"});
  Pass(Milliseconds(1000));
  BOOST_TEST(!IsElected("a"));
}

BOOST_AUTO_TEST_CASE(Campaign_WhenItHasVotedForAnother_IsNotElected) {
  Add("b", {"b"});
  Entry& b = entries_.at("b");
  const core::VoteReply reply =
      HandleVoteRequest(b.election_, b.seeds_, {VoteRound::kVote, "a"});
  BOOST_TEST((reply.vote_ == Vote::kGranted));
  Pass(Milliseconds(1000));
  BOOST_TEST(!IsElected("b"));
}

BOOST_AUTO_TEST_CASE(Campaign_WhenOthersWereHeardFrom_NeedsTheirVotesToo) {
  Add("a", {"a"});
  Add("b", {"b"});
  entries_.at("a").members_ = {"b"};
  entries_.at("b").members_ = {"a"};
  Pass(Milliseconds(1000));
  BOOST_TEST(elected_.size() <= 1U);
}

BOOST_AUTO_TEST_CASE(Campaign_WhenAnEntryWasRestarted_ElectsNone) {
  for (const char* restarted : {"a", "b"}) {
    elected_.clear();
    Add("a", {"a", "b"});
    Add("b", {"a", "b"});
    Restart(restarted);
    Pass(Milliseconds(1000));
    BOOST_TEST(elected_.empty());
  }
}

BOOST_AUTO_TEST_CASE(Vote_WhenItWasGranted_IsGrantedToNoOther) {
  Election voter = MakeElection({"v", true});
  const auto ask = [&voter](VoteRound round, const std::string& candidate) {
    return HandleVoteRequest(voter, {"m", "v"}, {round, candidate}).vote_;
  };
  BOOST_TEST((ask(VoteRound::kPreVote, "b") == Vote::kGranted));
  BOOST_TEST((ask(VoteRound::kVote, "a") == Vote::kGranted));
  BOOST_TEST((ask(VoteRound::kVote, "a") == Vote::kGranted));
  BOOST_TEST((ask(VoteRound::kPreVote, "b") == Vote::kVotedForAnother));
  BOOST_TEST((ask(VoteRound::kVote, "b") == Vote::kVotedForAnother));
  BOOST_TEST((ask(VoteRound::kVote, "n") == Vote::kVotedForAnother));
}

BOOST_AUTO_TEST_CASE(Vote_WhenALowerSeedIsKnown_IsRefused) {
  Election voter = MakeElection({"v", true});
  const core::VoteReply reply =
      HandleVoteRequest(voter, {"m", "v"}, {VoteRound::kVote, "n"});
  BOOST_TEST((reply.vote_ == Vote::kKnowsLowerSeed));
  BOOST_TEST((reply.seeds_ == std::vector<std::string>{"m", "v"}));
  BOOST_TEST(voter.voted_for_.empty());
}

BOOST_AUTO_TEST_CASE(Reply_WhenItWasNotAskedFor_ChangesNothing) {
  Add("a", {"a", "b"});
  Campaign("a");
  Election& election = entries_.at("a").election_;
  HandleVoteReply(election, {VoteRound::kVote, Vote::kGranted, "x", {}});
  HandleVoteReply(election, {VoteRound::kVote, Vote::kRestarted, "x", {}});
  BOOST_TEST(election.voters_.size() == 1U);
  BOOST_TEST(!election.withdrawn_);
}

BOOST_AUTO_TEST_CASE(Reply_WhenItsSeedsAreTooMany_EndsTheCampaign) {
  Add("a", {"a", "b"});
  Campaign("a");
  Election& election = entries_.at("a").election_;
  HandleVoteReply(election, {VoteRound::kPreVote, Vote::kGranted, "b",
                             std::vector<std::string>(1000, "b")});
  BOOST_TEST(election.withdrawn_);
}

BOOST_AUTO_TEST_SUITE_END()

// Whatever is lost, delayed, restarted or heard late: where every list leads to
// a common entry, at most one entry is ever elected.
BOOST_AUTO_TEST_CASE(Elections_UnderRandomFaults_ElectAtMostOne) {
  int elections = 0;
  const bool holds = rc::check([&elections] {
    std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
    const auto below = [&random](std::size_t limit) {
      return static_cast<std::size_t>(random() % limit);
    };
    ElectionFixture fixture;
    std::vector<std::string> addresses = {"a", "b", "c", "d", "e", "f"};
    std::shuffle(addresses.begin(), addresses.end(), random);
    addresses.resize(2 + below(5));
    for (std::size_t i = 0; i < addresses.size(); ++i) {
      std::vector<std::string> seeds = {addresses[i]};
      if (i > 0) {
        seeds.push_back(addresses[below(i)]);
      }
      if (below(3) == 0) {
        seeds.push_back(addresses[below(addresses.size())]);
      }
      fixture.Add(addresses[i], seeds);
    }
    for (int step = 0; step < 200; ++step) {
      const std::string& address = addresses[below(addresses.size())];
      const std::size_t fault = below(40);
      if (fault == 0) {
        fixture.Restart(address);
      } else if (fault < 4) {
        fixture.entries_.at(address).members_.push_back(
            addresses[below(addresses.size())]);
      } else if (fault < 20) {
        fixture.now_ += Milliseconds(below(300));
        fixture.Campaign(address);
      } else if (!fixture.in_flight_.empty()) {
        // Delivers in any order; some messages are lost, some come twice.
        const auto next =
            fixture.in_flight_.begin() +
            static_cast<std::ptrdiff_t>(below(fixture.in_flight_.size()));
        const ElectionFixture::InFlight message = *next;
        if (below(8) != 0) {
          fixture.in_flight_.erase(next);
        }
        if (below(8) != 0) {
          fixture.Deliver(message);
        }
      }
    }
    elections += static_cast<int>(fixture.elected_.size());
    RC_ASSERT(fixture.elected_.size() <= 1U);
  });
  BOOST_TEST(holds);
  BOOST_TEST(elections > 0);
}

}  // namespace
}  // namespace siskindrum::election
