// Properties of the core over random event orders with faults.

#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>

#include "simulated_cluster.h"
#include "siskindrum/core/limits.h"

namespace siskindrum::core {
namespace {

constexpr char kRules[] =
    "seat one at a:1 # asked by the test\n"
    "seat two at b:1 # asked by the test\n"
    "when service=desk then pool=desk plain repeat=never timeout=3s "
    "retries=1 # asked by the test\n"
    "when model=m then pool=engines first_token=2s retries=2 # asked by the "
    "test\n"
    "default then refuse # asked by the test\n";

constexpr int kKeys = 4;

enum class Move {
  kCall,
  kAsk,
  kDeliver,
  kDouble,  // A message or reply that arrives twice.
  kLoseBefore,
  kLoseAfter,  // It arrived, but its sender never hears.
  kGone,
  kKill,
  kReplace,
  kFreeze,
  kThaw,
  kCut,
  kHeal,
  kDrain,
  kPublish,
  kPass,
  kLongPass,
  kCount
};

struct Step {
  Move move_;
  unsigned argument_;
};

void showValue(const Step& step, std::ostream& out) {  // NOLINT
  out << "{Move(" << static_cast<int>(step.move_) << "), " << step.argument_
      << "}";
}

struct PropertyWorld : SimulatedCluster {
  std::vector<RequestId> asked_;
  std::vector<std::string> keys_;
  std::uint64_t published_ = 1;
  std::uint64_t next_key_ = 1;

  PropertyWorld() {
    AddEntry("a", "north");
    AddEntry("b", "south");
    AddServer("p1", "engines", "north", ServerRole::kPrefill);
    AddServer("d1", "engines", "north", ServerRole::kDecode);
    AddServer("d2", "engines", "south", ServerRole::kDecode);
    AddServer("s1", "desk", "north", ServerRole::kPlain);
    AddServer("s2", "desk", "south", ServerRole::kPlain);
    StartAll(kRules);
    for (int i = 0; i < kKeys; ++i) {
      keys_.push_back(MakeKey(next_key_++));
    }
  }

  void LoseAfter(std::size_t at) {
    if (at >= in_flight_.size()) {
      return;
    }
    if (in_flight_[at].kind_ != InFlight::Kind::kPlain) {
      Drop(at, RunState::kMayHaveRun);
      return;
    }
    // It runs, and the connection breaks before the answer.
    InFlight flight = in_flight_[at];
    const SendPlain& plain = flight.plain_;
    if (now_.steady_ - plain.decided_at_ <= kSendMaxAge) {
      ++runs_by_key_[plain.shape_.idempotency_key_];
      ++runs_by_request_[plain.request_];
    }
    Drop(at, RunState::kMayHaveRun);
  }

  void Do(const Step& step) {
    const std::size_t entry = step.argument_ % nodes_.size();
    const std::size_t flight =
        in_flight_.empty() ? 0 : step.argument_ % in_flight_.size();
    RequestShape shape;
    shape.model_ = "m";
    shape.prompt_tokens_ = 100;
    shape.max_tokens_ = 50;
    switch (step.move_) {
      case Move::kCall:
        // Now and then a fresh key is born.
        if (step.argument_ % 3 == 0) {
          keys_[step.argument_ % kKeys] = MakeKey(next_key_++);
        }
        if (nodes_[entry].alive_) {
          asked_.push_back(SendBooking(entry, keys_[step.argument_ % kKeys]));
        }
        break;
      case Move::kAsk:
        if (nodes_[entry].alive_) {
          asked_.push_back(SendRequest(entry, shape));
        }
        break;
      case Move::kDeliver:
        DeliverOne(flight);
        break;
      case Move::kDouble:
        if (!in_flight_.empty() &&
            in_flight_[flight].kind_ == InFlight::Kind::kPeer) {
          in_flight_.push_back(InFlight(in_flight_[flight]));
        }
        break;
      case Move::kLoseBefore:
        Drop(flight, RunState::kNotRun);
        break;
      case Move::kLoseAfter:
        LoseAfter(flight);
        break;
      case Move::kGone:
        if (!asked_.empty()) {
          const RequestId id = asked_[step.argument_ % asked_.size()];
          Inject(results_[id].entry_, CallerGone{id});
        }
        break;
      case Move::kKill:
        Kill(entry);
        break;
      case Move::kReplace:
        if (!nodes_[entry].alive_ || nodes_[entry].drained_) {
          Kill(entry);
          Replace(entry);
        }
        break;
      case Move::kFreeze:
        Pause(entry);
        break;
      case Move::kThaw:
        Resume(entry);
        break;
      case Move::kCut:
        partitioned_.insert(nodes_[entry].name_);
        break;
      case Move::kHeal:
        partitioned_.clear();
        break;
      case Move::kDrain:
        Inject(entry, DrainAsked{});
        break;
      case Move::kPublish:
        ++published_;
        Publish(entry, published_, kRules + std::string(published_, '\n'));
        break;
      case Move::kPass:
        AdvanceTime(Milliseconds(step.argument_ % 200));
        Tick();
        break;
      default:
        AdvanceTime(Milliseconds(step.argument_ % 4000));
        Tick();
    }
  }

  // Heals everything and lets all that is open come to an end.
  void Finish() {
    partitioned_.clear();
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      Resume(i);
      if (!nodes_[i].alive_ || nodes_[i].drained_) {
        Kill(i);
        Replace(i);
      }
    }
    // The service has caught up; until then nothing older may be in force.
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      Publish(i, published_, kRules + std::string(published_, '\n'));
    }
    RunFor(Milliseconds(45000));
  }
};

void CheckAll(PropertyWorld& world) {
  for (const auto& [key, runs] : world.runs_by_key_) {
    RC_ASSERT((key.empty() || runs <= 1));
  }
  for (const auto& [id, told] : world.results_) {
    RC_ASSERT((told.answers_ <= 1));
    const bool told_not_run = told.answers_ == 1 && !told.has_answer_ &&
                              told.verdict_.run_state_ == RunState::kNotRun;
    if (told_not_run) {
      RC_ASSERT((world.runs_by_request_[id] == 0));
      RC_ASSERT(
          (!told.verdict_.key_unused_ || world.runs_by_key_[told.key_] == 0));
    }
  }
  for (const auto& node : world.nodes_) {
    const auto& current = node.router_.configuration_.current_;
    RC_ASSERT(
        (current == nullptr || current->revision_ >= node.highest_revision_));
  }
}

void CheckEnd(PropertyWorld& world) {
  for (const auto& [engine, requests] : world.held_) {
    RC_ASSERT((requests.empty()));
  }
  std::uint64_t highest = 0;
  for (const auto& node : world.nodes_) {
    RC_ASSERT((node.router_.requests_.empty()));
    RC_ASSERT((node.router_.timed_requests_.empty()));
    for (const auto& [name, queue] : node.router_.queues_) {
      RC_ASSERT((queue.waiting_.empty()));
    }
    for (const auto& [name, server] : node.router_.fleet_.servers_) {
      RC_ASSERT((server.holds_.empty()));
    }
    RC_ASSERT((node.router_.configuration_.current_ != nullptr));
    highest =
        std::max(highest, node.router_.configuration_.current_->revision_);
  }
  for (const auto& node : world.nodes_) {
    RC_ASSERT((node.router_.configuration_.current_->revision_ == highest));
  }
}

rc::Gen<Step> AnyStep() {
  return rc::gen::map(
      rc::gen::pair(rc::gen::weightedElement<Move>({{6, Move::kCall},
                                                    {6, Move::kAsk},
                                                    {40, Move::kDeliver},
                                                    {2, Move::kDouble},
                                                    {3, Move::kLoseBefore},
                                                    {3, Move::kLoseAfter},
                                                    {2, Move::kGone},
                                                    {1, Move::kKill},
                                                    {2, Move::kReplace},
                                                    {1, Move::kFreeze},
                                                    {2, Move::kThaw},
                                                    {1, Move::kCut},
                                                    {1, Move::kHeal},
                                                    {1, Move::kDrain},
                                                    {2, Move::kPublish},
                                                    {10, Move::kPass},
                                                    {1, Move::kLongPass}}),
                    rc::gen::inRange(0U, 100000U)),
      [](const std::pair<Move, unsigned>& pair) {
        return Step{pair.first, pair.second};
      });
}

BOOST_AUTO_TEST_SUITE(Properties)

// The seed and the number of cases are set by RC_PARAMS; a failing case prints
// its own.
BOOST_AUTO_TEST_CASE(Core_WhenEventsComeInAnyOrderWithFaults_KeepsItsPromises) {
  const bool held = rc::check("promises hold after every step", [] {
    const auto steps =
        *rc::gen::scale(3.0, rc::gen::container<std::vector<Step>>(AnyStep()));
    PropertyWorld world;
    for (const Step& step : steps) {
      world.Do(step);
      CheckAll(world);
    }
    world.Finish();
    CheckAll(world);
    CheckEnd(world);
  });
  BOOST_TEST(held);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::core
