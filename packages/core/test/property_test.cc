// Checks invariants of the core under random event orders and injected faults.

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

enum class Operation {
  kPlainCall,
  kEngineRequest,
  kDeliver,
  kDuplicate,   // A peer message arrives twice.
  kLoseBefore,  // The message never arrives.
  kLoseAfter,   // The reply is lost; the request may have run.
  kCallerGone,
  kKill,
  kReplace,
  kPause,
  kResume,
  kPartition,
  kHealPartition,
  kDrain,
  kPublish,
  kAdvance,
  kLongAdvance,
  kCount
};

struct Step {
  Operation operation_;
  unsigned argument_;
};

void showValue(const Step& step, std::ostream& out) {  // NOLINT
  out << "{Operation(" << static_cast<int>(step.operation_) << "), "
      << step.argument_ << "}";
}

struct PropertyCluster : SimulatedCluster {
  std::vector<RequestId> sent_requests_;
  std::vector<std::string> keys_;
  std::uint64_t published_ = 1;
  std::uint64_t next_key_ = 1;

  PropertyCluster() {
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
    // The call runs, and the connection breaks before the answer.
    InFlight flight = in_flight_[at];
    const SendPlain& plain = flight.plain_;
    if (now_.steady_ - plain.decided_at_ <= kMaxSendAge) {
      ++runs_by_key_[plain.shape_.idempotency_key_];
      ++runs_by_request_[plain.request_];
    }
    Drop(at, RunState::kMayHaveRun);
  }

  void Execute(const Step& step) {
    const std::size_t entry = step.argument_ % nodes_.size();
    const std::size_t flight =
        in_flight_.empty() ? 0 : step.argument_ % in_flight_.size();
    RequestShape shape;
    shape.model_ = "m";
    shape.prompt_tokens_ = 100;
    shape.max_tokens_ = 50;
    switch (step.operation_) {
      case Operation::kPlainCall:
        // Replaces a key by a new one in a third of the calls.
        if (step.argument_ % 3 == 0) {
          keys_[step.argument_ % kKeys] = MakeKey(next_key_++);
        }
        if (nodes_[entry].alive_) {
          sent_requests_.push_back(
              SendBooking(entry, keys_[step.argument_ % kKeys]));
        }
        break;
      case Operation::kEngineRequest:
        if (nodes_[entry].alive_) {
          sent_requests_.push_back(SendRequest(entry, shape));
        }
        break;
      case Operation::kDeliver:
        DeliverOne(flight);
        break;
      case Operation::kDuplicate:
        if (!in_flight_.empty() &&
            in_flight_[flight].kind_ == InFlight::Kind::kPeer) {
          in_flight_.push_back(InFlight(in_flight_[flight]));
        }
        break;
      case Operation::kLoseBefore:
        Drop(flight, RunState::kNotRun);
        break;
      case Operation::kLoseAfter:
        LoseAfter(flight);
        break;
      case Operation::kCallerGone:
        if (!sent_requests_.empty()) {
          const RequestId id =
              sent_requests_[step.argument_ % sent_requests_.size()];
          Inject(results_[id].entry_, CallerGone{id});
        }
        break;
      case Operation::kKill:
        Kill(entry);
        break;
      case Operation::kReplace:
        if (!nodes_[entry].alive_ || nodes_[entry].drained_) {
          Kill(entry);
          Replace(entry);
        }
        break;
      case Operation::kPause:
        Pause(entry);
        break;
      case Operation::kResume:
        Resume(entry);
        break;
      case Operation::kPartition:
        partitioned_.insert(nodes_[entry].name_);
        break;
      case Operation::kHealPartition:
        partitioned_.clear();
        break;
      case Operation::kDrain:
        Inject(entry, DrainRequested{});
        break;
      case Operation::kPublish:
        ++published_;
        Publish(entry, published_, kRules + std::string(published_, '\n'));
        break;
      case Operation::kAdvance:
        AdvanceTime(Milliseconds(step.argument_ % 200));
        Tick();
        break;
      default:
        AdvanceTime(Milliseconds(step.argument_ % 4000));
        Tick();
    }
  }

  // Ends all faults and lets every open request finish.
  void Finish() {
    partitioned_.clear();
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      Resume(i);
      if (!nodes_[i].alive_ || nodes_[i].drained_) {
        Kill(i);
        Replace(i);
      }
    }
    // The configuration service offers the latest revision to every entry, so
    // that CheckEnd can require all entries to agree. The checks before this
    // verify that no entry applies an older revision.
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      Publish(i, published_, kRules + std::string(published_, '\n'));
    }
    RunFor(Milliseconds(45000));
  }
};

void CheckAll(PropertyCluster& cluster) {
  for (const auto& [key, runs] : cluster.runs_by_key_) {
    RC_ASSERT((key.empty() || runs <= 1));
  }
  for (const auto& [id, caller_result] : cluster.results_) {
    RC_ASSERT((caller_result.answers_ <= 1));
    const bool reported_not_run =
        caller_result.answers_ == 1 && !caller_result.has_answer_ &&
        caller_result.verdict_.run_state_ == RunState::kNotRun;
    if (reported_not_run) {
      RC_ASSERT((cluster.runs_by_request_[id] == 0));
      RC_ASSERT((!caller_result.verdict_.key_unused_ ||
                 cluster.runs_by_key_[caller_result.key_] == 0));
    }
  }
  for (const auto& node : cluster.nodes_) {
    const auto& current = node.router_.configuration_.current_;
    RC_ASSERT(
        (current == nullptr || current->revision_ >= node.highest_revision_));
  }
}

void CheckEnd(PropertyCluster& cluster) {
  for (const auto& [engine, requests] : cluster.held_) {
    RC_ASSERT((requests.empty()));
  }
  std::uint64_t highest = 0;
  for (const auto& node : cluster.nodes_) {
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
  for (const auto& node : cluster.nodes_) {
    RC_ASSERT((node.router_.configuration_.current_->revision_ == highest));
  }
}

rc::Gen<Step> GenerateStep() {
  return rc::gen::map(rc::gen::pair(rc::gen::weightedElement<Operation>(
                                        {{6, Operation::kPlainCall},
                                         {6, Operation::kEngineRequest},
                                         {40, Operation::kDeliver},
                                         {2, Operation::kDuplicate},
                                         {3, Operation::kLoseBefore},
                                         {3, Operation::kLoseAfter},
                                         {2, Operation::kCallerGone},
                                         {1, Operation::kKill},
                                         {2, Operation::kReplace},
                                         {1, Operation::kPause},
                                         {2, Operation::kResume},
                                         {1, Operation::kPartition},
                                         {1, Operation::kHealPartition},
                                         {1, Operation::kDrain},
                                         {2, Operation::kPublish},
                                         {10, Operation::kAdvance},
                                         {1, Operation::kLongAdvance}}),
                                    rc::gen::inRange(0U, 100000U)),
                      [](const std::pair<Operation, unsigned>& pair) {
                        return Step{pair.first, pair.second};
                      });
}

BOOST_AUTO_TEST_SUITE(Properties)

// The environment variable RC_PARAMS sets the seed and the number of cases. A
// failing case prints the value that reproduces it.
BOOST_AUTO_TEST_CASE(Core_WhenEventsComeInAnyOrderWithFaults_KeepsInvariants) {
  const bool held = rc::check("invariants hold after every step", [] {
    const auto steps = *rc::gen::scale(
        3.0, rc::gen::container<std::vector<Step>>(GenerateStep()));
    PropertyCluster cluster;
    for (const Step& step : steps) {
      cluster.Execute(step);
      CheckAll(cluster);
    }
    cluster.Finish();
    CheckAll(cluster);
    CheckEnd(cluster);
  });
  BOOST_TEST(held);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::core
