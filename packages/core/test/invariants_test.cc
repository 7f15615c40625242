// Tests that the core keeps its eight invariants under crashes, pauses, network
// partitions and lost messages. The numbered headings below state them.

#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "simulated_cluster.h"
#include "siskindrum/core/limits.h"

namespace siskindrum::core {
namespace {

constexpr char kRules[] =
    "seat one at a:1 # asked by the test\n"
    "seat two at b:1 # asked by the test\n"
    "seat three at c:1 # asked by the test\n"
    "when service=desk path=/desk/bookings* then pool=desk plain repeat=never "
    "timeout=5s # asked by the test\n"
    "when service=desk then pool=desk plain retries=2 # asked by the test\n"
    "when model=m then pool=engines first_token=2s retries=2 # asked by the "
    "test\n"
    "default then refuse # asked by the test\n";

struct InvariantsFixture : SimulatedCluster {
  InvariantsFixture() {
    AddEntry("a", "north");
    AddEntry("b", "south");
    AddEntry("c", "east");
    for (const char* name : {"p1", "p2"}) {
      AddServer(name, "engines", "north", ServerRole::kPrefill);
    }
    for (const char* name : {"d1", "d2"}) {
      AddServer(name, "engines", "south", ServerRole::kDecode);
    }
    AddServer("s1", "desk", "north", ServerRole::kPlain);
    AddServer("s2", "desk", "south", ServerRole::kPlain);
    StartAll(kRules);
  }

  RequestShape ModelShape() const {
    RequestShape shape;
    shape.model_ = "m";
    shape.prompt_tokens_ = 100;
    shape.max_tokens_ = 100;
    return shape;
  }

  // Delivers items of other kinds until one of `kind` is in flight; returns its
  // index.
  std::size_t AwaitInFlight(InFlight::Kind kind) {
    for (int round = 0; round < 200; ++round) {
      for (std::size_t i = 0; i < in_flight_.size(); ++i) {
        if (in_flight_[i].kind_ == kind) {
          return i;
        }
      }
      const std::size_t count = in_flight_.size();
      for (std::size_t i = 0; i < count; ++i) {
        DeliverOne(0);
      }
      Tick();
      AdvanceTime(Milliseconds(10));
    }
    return in_flight_.size();
  }

  std::size_t TotalHeld() const {
    std::size_t count = 0;
    for (const auto& [engine, requests] : held_) {
      count += requests.size();
    }
    return count;
  }

  // Returns a key whose seat is held by the entry at `index`.
  std::string KeyDecidedBy(std::size_t index) {
    for (std::uint64_t number = 1;; ++number) {
      const std::string key = MakeKey(number);
      const Seat* seat =
          SeatForKey(nodes_[0].router_.configuration_.current_->rules_, key);
      if (seat->address_ == nodes_[index].address_) {
        return key;
      }
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(Invariants, InvariantsFixture)

// --- 1. A request whose caller has gone holds no engine memory.

BOOST_AUTO_TEST_CASE(CallerGone_AtEachStep_FreesAllEngineMemory) {
  using Kind = InFlight::Kind;
  for (const Kind step : {Kind::kPeer, Kind::kPrefill, Kind::kPrefillReply,
                          Kind::kDecode, Kind::kDecodeReply}) {
    for (std::size_t entry = 0; entry < nodes_.size(); ++entry) {
      const RequestId id = SendRequest(entry, ModelShape());
      AwaitInFlight(step);
      Inject(entry, CallerGone{id});
      RunFor(Milliseconds(2000));
      BOOST_TEST(TotalHeld() == 0U);
      for (const Node& node : nodes_) {
        BOOST_TEST(node.router_.requests_.empty());
        for (const auto& [name, server] : node.router_.fleet_.servers_) {
          BOOST_TEST(server.holds_.empty());
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(CallerGone_WhenEnginesDoNotReport_IsCancelledAtOnce) {
  load_reports_enabled_ = false;
  for (const auto step :
       {InFlight::Kind::kPrefillReply, InFlight::Kind::kDecodeReply}) {
    const RequestId id = SendRequest(0, ModelShape());
    AwaitInFlight(step);
    BOOST_TEST(TotalHeld() == 1U);
    Inject(0, CallerGone{id});
    for (std::size_t left = in_flight_.size(); left > 0; --left) {
      DeliverOne(0);
    }
    BOOST_TEST(TotalHeld() == 0U);
    RunFor(Milliseconds(100));
  }
}

BOOST_AUTO_TEST_CASE(Sweep_WhenOwnerWasReplaced_FreesItsHolds) {
  const RequestId id = SendRequest(1, ModelShape());
  const std::size_t reply = AwaitInFlight(InFlight::Kind::kDecodeReply);
  BOOST_REQUIRE(reply < in_flight_.size());
  in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(reply));
  BOOST_TEST(TotalHeld() == 1U);
  Kill(1);
  RunFor(Milliseconds(5000));
  BOOST_TEST(TotalHeld() == 1U);  // The owner may be alive but unreachable.
  Replace(1);
  RunFor(Milliseconds(3000));
  BOOST_TEST(TotalHeld() == 0U);
  BOOST_TEST(results_[id].answers_ == 0);
}

BOOST_AUTO_TEST_CASE(Sweep_WhenOwnerLives_NeverTakesItsRequest) {
  SendRequest(2, ModelShape());
  const std::size_t reply = AwaitInFlight(InFlight::Kind::kDecodeReply);
  BOOST_REQUIRE(reply < in_flight_.size());
  const InFlight kept = in_flight_[reply];
  in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(reply));
  // The answer takes long, and the cell's home is not the owner.
  RunFor(Milliseconds(15000));
  BOOST_TEST(TotalHeld() == 1U);
  BOOST_TEST(!HasLog("hold_swept"));
  in_flight_.push_back(kept);
  RunFor(Milliseconds(1000));
  BOOST_TEST(TotalHeld() == 0U);
}

BOOST_AUTO_TEST_CASE(Sweep_WhenOwnerIsCutOff_LeavesItsRequest) {
  SendRequest(2, ModelShape());
  const std::size_t reply = AwaitInFlight(InFlight::Kind::kDecodeReply);
  BOOST_REQUIRE(reply < in_flight_.size());
  in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(reply));
  partitioned_.insert("c");
  RunFor(Milliseconds(10000));
  BOOST_TEST(TotalHeld() == 1U);
}

// --- 2. and 3. Each request gets exactly one complete answer.

BOOST_AUTO_TEST_CASE(Decode_WhenItsEngineDiesBeforeImport_ReusesThePrefill) {
  const RequestId id = SendRequest(0, ModelShape());
  const std::size_t at = AwaitInFlight(InFlight::Kind::kDecode);
  BOOST_REQUIRE(at < in_flight_.size());
  const StartDecode lost = in_flight_[at].decode_;
  in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(at));
  DecodeEnded ended;
  ended.request_ = id;
  ended.attempt_ = lost.attempt_;
  ended.verdict_ = {RunState::kNotRun, Reason::kConnectFailed, "",
                    Milliseconds(0)};
  Inject(0, ended);
  const std::size_t again = AwaitInFlight(InFlight::Kind::kDecode);
  BOOST_REQUIRE(again < in_flight_.size());
  BOOST_TEST(in_flight_[again].decode_.server_ != lost.server_);
  BOOST_TEST(in_flight_[again].decode_.handle_ == lost.handle_);
  RunFor(Milliseconds(1000));
  BOOST_TEST(results_[id].answers_ == 1);
  BOOST_TEST(nodes_[0].router_.counters_.prefill_tokens_ == 100U);
}

BOOST_AUTO_TEST_CASE(Decode_WhenItsEngineDiesInMidAnswer_ContinuesElsewhere) {
  const RequestId id = SendRequest(0, ModelShape());
  const std::size_t at = AwaitInFlight(InFlight::Kind::kDecode);
  BOOST_REQUIRE(at < in_flight_.size());
  const StartDecode lost = in_flight_[at].decode_;
  in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(at));
  DecodeEnded ended;
  ended.request_ = id;
  ended.attempt_ = lost.attempt_;
  ended.delivered_ = 4;
  ended.imported_ = true;
  ended.verdict_ = {RunState::kMayHaveRun, Reason::kConnectionLost, "",
                    Milliseconds(0)};
  Inject(0, ended);
  const std::size_t again = AwaitInFlight(InFlight::Kind::kDecode);
  BOOST_REQUIRE(again < in_flight_.size());
  BOOST_TEST(in_flight_[again].decode_.from_position_ == 4U);
  BOOST_TEST(in_flight_[again].decode_.attempt_ > lost.attempt_);
  RunFor(Milliseconds(1000));
  BOOST_TEST(results_[id].answers_ == 1);
  BOOST_TEST(results_[id].has_answer_);
}

BOOST_AUTO_TEST_CASE(Replies_WhenOfAnEarlierAttempt_AreIgnored) {
  const RequestId id = SendRequest(0, ModelShape());
  AwaitInFlight(InFlight::Kind::kPrefillReply);
  PrefillEnded late;
  late.request_ = id;
  late.attempt_ = 7;
  late.ok_ = true;
  Inject(0, late);
  BOOST_TEST(
      (nodes_[0].router_.requests_.at(id).state_ == RequestState::kPrefilling));
  DecodeEnded crossed;
  crossed.request_ = id;
  crossed.attempt_ = 7;
  crossed.ok_ = true;
  Inject(0, crossed);
  BOOST_TEST(nodes_[0].router_.requests_.contains(id));
  RunFor(Milliseconds(1000));
  BOOST_TEST(results_[id].answers_ == 1);
}

// --- 4. and 5. A request reported as "not run" has not run; a call that may
// not be repeated runs at most once.

BOOST_AUTO_TEST_CASE(Call_WhenSentThroughEveryEntryAtOnce_RunsOnce) {
  const std::string key = MakeKey(1);
  std::vector<RequestId> ids;
  for (std::size_t entry = 0; entry < nodes_.size(); ++entry) {
    ids.push_back(SendBooking(entry, key));
  }
  RunFor(Milliseconds(2000));
  BOOST_TEST(runs_by_key_[key] == 1);
  for (const RequestId& id : ids) {
    BOOST_TEST(results_[id].answers_ == 1);
    BOOST_TEST(results_[id].has_answer_);
    BOOST_TEST(results_[id].plain_.body_ == results_[ids[0]].plain_.body_);
  }
}

BOOST_AUTO_TEST_CASE(Call_WhenItsHomeIsKilledAfterSending_IsNeverSentAgain) {
  const std::string key = KeyDecidedBy(1);
  const RequestId first = SendBooking(0, key);
  const std::size_t at = AwaitInFlight(InFlight::Kind::kPlain);
  DeliverOne(at);
  Kill(1);
  RunFor(Milliseconds(500));
  Replace(1);
  RunFor(Milliseconds(8000));
  const RequestId again = SendBooking(0, key);
  RunFor(Milliseconds(8000));
  BOOST_TEST(runs_by_key_[key] == 1);
  for (const RequestId& id : {first, again}) {
    BOOST_TEST(results_[id].answers_ == 1);
    BOOST_TEST((results_[id].verdict_.run_state_ == RunState::kMayHaveRun),
               ToString(results_[id].verdict_.reason_));
  }
}

BOOST_AUTO_TEST_CASE(Call_WhenItsHomeIsDead_IsToldNotRunAndHasNotRun) {
  const std::string key = KeyDecidedBy(1);
  Kill(1);
  const RequestId id = SendBooking(0, key);
  RunFor(Milliseconds(2000));
  BOOST_TEST(results_[id].answers_ == 1);
  BOOST_TEST((results_[id].verdict_.run_state_ == RunState::kNotRun));
  BOOST_TEST((results_[id].verdict_.reason_ == Reason::kKeyHomeUnreachable));
  BOOST_TEST(runs_by_key_[key] == 0);
}

BOOST_AUTO_TEST_CASE(Call_WhenItsHomeWasFrozenBeforeSending_DoesNotSendLate) {
  const std::string key = KeyDecidedBy(1);
  const RequestId id = SendBooking(1, key);
  Pause(1);
  AdvanceTime(Milliseconds(10000));
  Resume(1);
  RunFor(Milliseconds(3000));
  BOOST_TEST(runs_by_key_[key] == 0);
  BOOST_TEST(results_[id].answers_ == 1);
  BOOST_TEST((results_[id].verdict_.run_state_ == RunState::kNotRun));
}

BOOST_AUTO_TEST_CASE(Call_WhenWokenEntryWasReplaced_IsNotDecidedThere) {
  const std::string key = KeyDecidedBy(1);
  MemberRow row = nodes_[1].router_.membership_.self_;
  row.incarnation_ += 1000;
  Inject(1, PeerMessageArrived{{"a", 1, Gossip{{row}}}});
  const RequestId id = SendBooking(1, key);
  RunFor(Milliseconds(1000));
  BOOST_TEST(runs_by_key_[key] == 0);
  BOOST_TEST((results_[id].verdict_.run_state_ == RunState::kNotRun));
}

BOOST_AUTO_TEST_CASE(Call_WhenBackendCannotBeReached_TriesAnother) {
  const std::string key = KeyDecidedBy(0);
  const RequestId id = SendBooking(0, key);
  const std::size_t at = AwaitInFlight(InFlight::Kind::kPlain);
  const std::string first = in_flight_[at].plain_.server_;
  Drop(at, RunState::kNotRun);
  RunFor(Milliseconds(1000));
  BOOST_TEST(runs_by_key_[key] == 1);
  BOOST_TEST(results_[id].has_answer_);
}

BOOST_AUTO_TEST_CASE(Call_WhenConnectionBrokeAfterSending_IsNotRetried) {
  const std::string key = KeyDecidedBy(0);
  const RequestId id = SendBooking(0, key);
  Drop(AwaitInFlight(InFlight::Kind::kPlain), RunState::kMayHaveRun);
  RunFor(Milliseconds(1000));
  const RequestId again = SendBooking(2, key);
  RunFor(Milliseconds(1000));
  BOOST_TEST(runs_by_key_[key] == 0);
  for (const RequestId& each : {id, again}) {
    BOOST_TEST((results_[each].verdict_.run_state_ == RunState::kMayHaveRun));
  }
}

BOOST_AUTO_TEST_CASE(Call_WhenCallerLeftAndAsksAgain_GetsTheFirstAnswer) {
  const std::string key = KeyDecidedBy(2);
  const RequestId first = SendBooking(2, key);
  const std::size_t at = AwaitInFlight(InFlight::Kind::kPlain);
  BOOST_REQUIRE(at < in_flight_.size());
  Inject(2, CallerGone{first});
  RunFor(Milliseconds(500));
  const RequestId again = SendBooking(0, key);
  RunFor(Milliseconds(1000));
  BOOST_TEST(runs_by_key_[key] == 1);
  BOOST_TEST(results_[again].has_answer_);
  BOOST_TEST(results_[again].repeated_);
}

BOOST_AUTO_TEST_CASE(Call_WhenItsHomeWasReplacedGracefully_RepeatsTheAnswer) {
  const std::string key = KeyDecidedBy(1);
  const std::string unused = KeyDecidedBy(1).substr(0, 35) + "f";
  SendBooking(1, key);
  RunFor(Milliseconds(1000));
  Inject(1, DrainRequested{});
  RunFor(Milliseconds(500));
  BOOST_REQUIRE(nodes_[1].drained_);
  Kill(1);
  Replace(1);
  RunFor(Milliseconds(6000));
  const RequestId again = SendBooking(1, key);
  RunFor(Milliseconds(1000));
  BOOST_TEST(runs_by_key_[key] == 1);
  BOOST_TEST(results_[again].has_answer_);
}

BOOST_AUTO_TEST_CASE(Call_WhenKeyIsMalformed_IsRefusedNotRun) {
  const RequestId id = SendBooking(0, "booking-17");
  BOOST_TEST(results_[id].answers_ == 1);
  BOOST_TEST((results_[id].verdict_.reason_ == Reason::kKeyMalformed));
  BOOST_TEST((results_[id].verdict_.run_state_ == RunState::kNotRun));
}

BOOST_AUTO_TEST_CASE(Call_WhenSeatTableChanges_IsNotDecidedForOlderKeys) {
  const std::string key = KeyDecidedBy(1);
  // Seat two is replaced by seat six: its keys move to other seats.
  std::string changed = kRules;
  changed.replace(changed.find("seat two at b:1"), 15, "seat six at b:1");
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    Publish(i, 2, changed);
  }
  const RequestId id = SendBooking(0, key);
  RunFor(Milliseconds(6000));
  BOOST_TEST(runs_by_key_[key] == 0);
  BOOST_TEST(results_[id].answers_ == 1);
}

// --- 6. A leaving backend server receives no new work.

BOOST_AUTO_TEST_CASE(LeavingServer_WhenTheListLags_GetsNoNewWork) {
  LoadReport report;
  report.slots_ = kDefaultSlots;
  report.draining_ = true;
  load_reports_enabled_ = false;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    // Only the cell's home gets the report; gossip tells the others.
    const auto& cells = nodes_[i].router_.fleet_.cells_;
    if (cells.at("engines/0").home_ == nodes_[i].name_) {
      Inject(i, LoadReportArrived{"d1", report});
    }
  }
  RunFor(Milliseconds(3000));
  actions_.clear();
  for (int i = 0; i < 30; ++i) {
    SendRequest(static_cast<std::size_t>(i % 3), ModelShape());
    RunFor(Milliseconds(20));
  }
  for (const RouterAction& action : actions_) {
    if (const auto* decode = std::get_if<StartDecode>(&action)) {
      BOOST_TEST(decode->server_ != "d1");
    }
  }
  for (const Node& node : nodes_) {
    BOOST_TEST(node.router_.fleet_.servers_.at("d1").info_.leaving_);
  }
}

// --- 7. A graceful shutdown completes all requests in progress.

BOOST_AUTO_TEST_CASE(Drain_AtEachStepOfARequest_EndsItWhole) {
  using Kind = InFlight::Kind;
  for (const Kind step :
       {Kind::kPeer, Kind::kPrefill, Kind::kDecode, Kind::kDecodeReply}) {
    const RequestId id = SendRequest(1, ModelShape());
    AwaitInFlight(step);
    Inject(1, DrainRequested{});
    RunFor(Milliseconds(4000));
    BOOST_TEST(results_[id].answers_ == 1);
    BOOST_TEST(results_[id].has_answer_);
    BOOST_TEST(nodes_[1].drained_);
    BOOST_TEST(nodes_[1].open_at_drain_ == 0U);
    Replace(1);
    RunFor(Milliseconds(4000));
  }
}

BOOST_AUTO_TEST_CASE(Drain_WhenItIsTheHome_MovesItsCellsAndWaitingRequests) {
  const std::string home =
      nodes_[0].router_.fleet_.cells_.at("engines/0").home_;
  const std::size_t index = FindNode(home);
  const std::size_t other = (index + 1) % nodes_.size();
  std::vector<RequestId> ids;
  for (int i = 0; i < 46; ++i) {  // More than the decode slots.
    ids.push_back(SendRequest(other, ModelShape()));
  }
  Inject(index, DrainRequested{});
  RunFor(Milliseconds(6000));
  for (const RequestId& id : ids) {
    BOOST_TEST(results_[id].answers_ == 1);
    BOOST_TEST(results_[id].has_answer_,
               ToString(results_[id].verdict_.reason_));
  }
}

BOOST_AUTO_TEST_CASE(Drain_WhenANewRequestComes_RefusesItNotRun) {
  Inject(0, DrainRequested{});
  const RequestId id = SendRequest(0, ModelShape());
  BOOST_TEST((results_[id].verdict_.reason_ == Reason::kDraining));
  BOOST_TEST((results_[id].verdict_.run_state_ == RunState::kNotRun));
}

// --- 8. An accepted configuration is in force everywhere and never reverts.

BOOST_AUTO_TEST_CASE(Configuration_WhenOneEntryHearsIt_IsInForceEverywhere) {
  Publish(0, 9, std::string(kRules) + "\n");
  RunFor(Milliseconds(5000));
  for (const Node& node : nodes_) {
    BOOST_TEST(node.router_.configuration_.current_->revision_ == 9U);
  }
}

BOOST_AUTO_TEST_CASE(Configuration_WhenServiceIsStale_RestartedEntryAsksPeers) {
  Publish(0, 9, std::string(kRules) + "\n");
  RunFor(Milliseconds(5000));
  revision_ = 3;  // The service offers the new process an older revision.
  Kill(2);
  Replace(2);
  RunFor(Milliseconds(5000));
  BOOST_TEST(nodes_[2].router_.configuration_.current_->revision_ == 9U);
  BOOST_TEST(nodes_[2].lowest_revision_ == 9U);
}

BOOST_AUTO_TEST_CASE(Configuration_WhenOneLineIsBad_KeepsTheOldAndNamesIt) {
  Publish(0, 9, std::string("nonsense # asked by x\n") + kRules);
  RunFor(Milliseconds(1000));
  const ConfigurationState& state = nodes_[0].router_.configuration_;
  BOOST_TEST(state.current_->revision_ == 1U);
  BOOST_TEST(state.refused_revision_ == 9U);
  BOOST_TEST(state.refused_error_.find("rules:1:1") == 0U);
}

BOOST_AUTO_TEST_CASE(Configuration_WhenTwoOperatorsRace_TheHigherWins) {
  Publish(0, 9, std::string(kRules) + "\n");
  Publish(2, 10, std::string(kRules) + "\n\n");
  RunFor(Milliseconds(5000));
  for (const Node& node : nodes_) {
    BOOST_TEST(node.router_.configuration_.current_->revision_ == 10U);
  }
}

// --- Overload and outage.

BOOST_AUTO_TEST_CASE(Overload_WhenTargetsCannotBeMet_RefusesBeforePrefill) {
  std::vector<RequestId> ids;
  RequestShape shape = ModelShape();
  shape.prompt_tokens_ = 20000;
  for (int i = 0; i < 40; ++i) {
    ids.push_back(SendRequest(0, shape));
  }
  RunFor(Milliseconds(6000));
  int refused = 0;
  for (const RequestId& id : ids) {
    BOOST_TEST(results_[id].answers_ == 1);
    if (!results_[id].has_answer_) {
      ++refused;
      BOOST_TEST((results_[id].verdict_.run_state_ == RunState::kNotRun));
      BOOST_TEST(runs_by_request_[id] == 0);
    }
  }
  BOOST_TEST(refused > 0);
}

BOOST_AUTO_TEST_CASE(Prompt_WhenNoEngineCouldEverHoldIt_IsToldSoAtOnce) {
  total_pieces_ = 10;
  RunFor(Milliseconds(2000));
  RequestShape shape = ModelShape();
  shape.prompt_tokens_ = 60000;
  for (std::size_t entry = 0; entry < nodes_.size(); ++entry) {
    const RequestId id = SendRequest(entry, shape);
    RunFor(Milliseconds(100));
    BOOST_TEST(results_[id].answers_ == 1);
    const Verdict& verdict = results_[id].verdict_;
    BOOST_TEST((verdict.reason_ == Reason::kTooLarge));
    BOOST_TEST((verdict.run_state_ == RunState::kNotRun));
    BOOST_TEST(verdict.retry_after_.count() == 0);
    BOOST_TEST(verdict.detail_.find("20000 tokens") != std::string::npos);
    BOOST_TEST(runs_by_request_[id] == 0);
  }
  shape.prompt_tokens_ = 10000;
  const RequestId fits = SendRequest(0, shape);
  RunFor(Milliseconds(3000));
  BOOST_TEST(results_[fits].has_answer_);
}

BOOST_AUTO_TEST_CASE(Outage_WhenAPoolIsDown_KeepsRetriesUnderATenth) {
  RequestShape shape;
  shape.service_ = "desk";
  shape.path_ = "/desk/status";
  std::size_t sends = 0;
  constexpr std::size_t kCalls = 500;
  for (std::size_t i = 0; i < kCalls; ++i) {
    SendRequest(0, shape);
    while (AwaitInFlight(InFlight::Kind::kPlain) < in_flight_.size()) {
      ++sends;
      Drop(AwaitInFlight(InFlight::Kind::kPlain), RunState::kMayHaveRun);
    }
  }
  BOOST_TEST(sends <= kCalls + kCalls / 10 + kRetryBudgetBurst);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::core
