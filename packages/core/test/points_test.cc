// The eight points that must always hold, on the core, under failure.

#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "siskindrum/core/limits.h"
#include "world.h"

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

struct PointsFixture : World {
  PointsFixture() {
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
    Begin(kRules);
  }

  RequestShape ModelShape() const {
    RequestShape shape;
    shape.model_ = "m";
    shape.prompt_tokens_ = 100;
    shape.max_tokens_ = 100;
    return shape;
  }

  // Delivers flights of other kinds until one of `kind` is in flight.
  std::size_t AwaitFlight(Flight::Kind kind) {
    for (int round = 0; round < 200; ++round) {
      for (std::size_t i = 0; i < flights_.size(); ++i) {
        if (flights_[i].kind_ == kind) {
          return i;
        }
      }
      const std::size_t count = flights_.size();
      for (std::size_t i = 0; i < count; ++i) {
        DeliverOne(0);
      }
      Tick();
      Pass(Milliseconds(10));
    }
    return flights_.size();
  }

  std::size_t HeldAnywhere() const {
    std::size_t count = 0;
    for (const auto& [engine, requests] : held_) {
      count += requests.size();
    }
    return count;
  }

  // A key that the entry at `index` decides.
  std::string KeyOf(std::size_t index) {
    for (std::uint64_t number = 1;; ++number) {
      const std::string key = Key(number);
      const Seat* seat =
          HomeSeat(nodes_[0].router_.configuration_.current_->rules_, key);
      if (seat->address_ == nodes_[index].address_) {
        return key;
      }
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(Points, PointsFixture)

// --- 1. No engine memory stays held by a request whose caller has gone.

BOOST_AUTO_TEST_CASE(CallerGone_AtEachStep_FreesAllEngineMemory) {
  using Kind = Flight::Kind;
  for (const Kind step : {Kind::kPeer, Kind::kPrefill, Kind::kPrefillReply,
                          Kind::kDecode, Kind::kDecodeReply}) {
    for (std::size_t entry = 0; entry < nodes_.size(); ++entry) {
      const RequestId id = Ask(entry, ModelShape());
      AwaitFlight(step);
      Give(entry, CallerGone{id});
      Settle(Milliseconds(2000));
      BOOST_TEST(HeldAnywhere() == 0U);
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
  reports_ = false;
  for (const auto step :
       {Flight::Kind::kPrefillReply, Flight::Kind::kDecodeReply}) {
    const RequestId id = Ask(0, ModelShape());
    AwaitFlight(step);
    BOOST_TEST(HeldAnywhere() == 1U);
    Give(0, CallerGone{id});
    for (std::size_t left = flights_.size(); left > 0; --left) {
      DeliverOne(0);
    }
    BOOST_TEST(HeldAnywhere() == 0U);
    Settle(Milliseconds(100));
  }
}

BOOST_AUTO_TEST_CASE(Sweep_WhenOwnerWasReplaced_FreesItsHolds) {
  const RequestId id = Ask(1, ModelShape());
  const std::size_t reply = AwaitFlight(Flight::Kind::kDecodeReply);
  BOOST_REQUIRE(reply < flights_.size());
  flights_.erase(flights_.begin() + static_cast<std::ptrdiff_t>(reply));
  BOOST_TEST(HeldAnywhere() == 1U);
  Kill(1);
  Settle(Milliseconds(5000));
  BOOST_TEST(HeldAnywhere() == 1U);  // Dead is not proved yet.
  Replace(1);
  Settle(Milliseconds(3000));
  BOOST_TEST(HeldAnywhere() == 0U);
  BOOST_TEST(told_[id].answers_ == 0);
}

BOOST_AUTO_TEST_CASE(Sweep_WhenOwnerLives_NeverTakesItsRequest) {
  Ask(2, ModelShape());
  const std::size_t reply = AwaitFlight(Flight::Kind::kDecodeReply);
  BOOST_REQUIRE(reply < flights_.size());
  const Flight kept = flights_[reply];
  flights_.erase(flights_.begin() + static_cast<std::ptrdiff_t>(reply));
  Settle(Milliseconds(15000));  // A long answer; the home is another entry.
  BOOST_TEST(HeldAnywhere() == 1U);
  BOOST_TEST(!HasLog("hold_swept"));
  flights_.push_back(kept);
  Settle(Milliseconds(1000));
  BOOST_TEST(HeldAnywhere() == 0U);
}

BOOST_AUTO_TEST_CASE(Sweep_WhenOwnerIsCutOff_LeavesItsRequest) {
  Ask(2, ModelShape());
  const std::size_t reply = AwaitFlight(Flight::Kind::kDecodeReply);
  BOOST_REQUIRE(reply < flights_.size());
  flights_.erase(flights_.begin() + static_cast<std::ptrdiff_t>(reply));
  cut_.insert("c");
  Settle(Milliseconds(10000));
  BOOST_TEST(HeldAnywhere() == 1U);
}

// --- 2. and 3. One whole answer.

BOOST_AUTO_TEST_CASE(Decode_WhenItsEngineDiesBeforeImport_ReusesThePrefill) {
  const RequestId id = Ask(0, ModelShape());
  const std::size_t at = AwaitFlight(Flight::Kind::kDecode);
  BOOST_REQUIRE(at < flights_.size());
  const StartDecode lost = flights_[at].decode_;
  flights_.erase(flights_.begin() + static_cast<std::ptrdiff_t>(at));
  DecodeEnded ended;
  ended.request_ = id;
  ended.attempt_ = lost.attempt_;
  ended.verdict_ = {RunState::kNotRun, Reason::kConnectFailed, "",
                    Milliseconds(0)};
  Give(0, ended);
  const std::size_t again = AwaitFlight(Flight::Kind::kDecode);
  BOOST_REQUIRE(again < flights_.size());
  BOOST_TEST(flights_[again].decode_.server_ != lost.server_);
  BOOST_TEST(flights_[again].decode_.handle_ == lost.handle_);
  Settle(Milliseconds(1000));
  BOOST_TEST(told_[id].answers_ == 1);
  BOOST_TEST(nodes_[0].router_.counters_.prefill_tokens_ == 100U);
}

BOOST_AUTO_TEST_CASE(Decode_WhenItsEngineDiesInMidAnswer_ContinuesElsewhere) {
  const RequestId id = Ask(0, ModelShape());
  const std::size_t at = AwaitFlight(Flight::Kind::kDecode);
  BOOST_REQUIRE(at < flights_.size());
  const StartDecode lost = flights_[at].decode_;
  flights_.erase(flights_.begin() + static_cast<std::ptrdiff_t>(at));
  DecodeEnded ended;
  ended.request_ = id;
  ended.attempt_ = lost.attempt_;
  ended.delivered_ = 4;
  ended.imported_ = true;
  ended.verdict_ = {RunState::kMayHaveRun, Reason::kConnectionLost, "",
                    Milliseconds(0)};
  Give(0, ended);
  const std::size_t again = AwaitFlight(Flight::Kind::kDecode);
  BOOST_REQUIRE(again < flights_.size());
  BOOST_TEST(flights_[again].decode_.from_position_ == 4U);
  BOOST_TEST(flights_[again].decode_.attempt_ > lost.attempt_);
  Settle(Milliseconds(1000));
  BOOST_TEST(told_[id].answers_ == 1);
  BOOST_TEST(told_[id].has_answer_);
}

BOOST_AUTO_TEST_CASE(Replies_WhenOfAnEarlierAttempt_AreIgnored) {
  const RequestId id = Ask(0, ModelShape());
  AwaitFlight(Flight::Kind::kPrefillReply);
  PrefillEnded late;
  late.request_ = id;
  late.attempt_ = 7;
  late.ok_ = true;
  Give(0, late);
  BOOST_TEST(
      (nodes_[0].router_.requests_.at(id).state_ == RequestState::kPrefilling));
  DecodeEnded crossed;
  crossed.request_ = id;
  crossed.attempt_ = 7;
  crossed.ok_ = true;
  Give(0, crossed);
  BOOST_TEST(nodes_[0].router_.requests_.contains(id));
  Settle(Milliseconds(1000));
  BOOST_TEST(told_[id].answers_ == 1);
}

// --- 4. and 5. "Not run" is proof; calls that may not be repeated.

BOOST_AUTO_TEST_CASE(Call_WhenSentThroughEveryEntryAtOnce_RunsOnce) {
  const std::string key = Key(1);
  std::vector<RequestId> ids;
  for (std::size_t entry = 0; entry < nodes_.size(); ++entry) {
    ids.push_back(Call(entry, key));
  }
  Settle(Milliseconds(2000));
  BOOST_TEST(runs_by_key_[key] == 1);
  for (const RequestId& id : ids) {
    BOOST_TEST(told_[id].answers_ == 1);
    BOOST_TEST(told_[id].has_answer_);
    BOOST_TEST(told_[id].plain_.body_ == told_[ids[0]].plain_.body_);
  }
}

BOOST_AUTO_TEST_CASE(Call_WhenItsHomeIsKilledAfterSending_IsNeverSentAgain) {
  const std::string key = KeyOf(1);
  const RequestId first = Call(0, key);
  const std::size_t at = AwaitFlight(Flight::Kind::kPlain);
  DeliverOne(at);
  Kill(1);
  Settle(Milliseconds(500));
  Replace(1);
  Settle(Milliseconds(8000));
  const RequestId again = Call(0, key);
  Settle(Milliseconds(8000));
  BOOST_TEST(runs_by_key_[key] == 1);
  for (const RequestId& id : {first, again}) {
    BOOST_TEST(told_[id].answers_ == 1);
    BOOST_TEST((told_[id].verdict_.run_state_ == RunState::kMayHaveRun),
               ToString(told_[id].verdict_.reason_));
  }
}

BOOST_AUTO_TEST_CASE(Call_WhenItsHomeIsDead_IsToldNotRunAndHasNotRun) {
  const std::string key = KeyOf(1);
  Kill(1);
  const RequestId id = Call(0, key);
  Settle(Milliseconds(2000));
  BOOST_TEST(told_[id].answers_ == 1);
  BOOST_TEST((told_[id].verdict_.run_state_ == RunState::kNotRun));
  BOOST_TEST((told_[id].verdict_.reason_ == Reason::kKeyHomeUnreachable));
  BOOST_TEST(runs_by_key_[key] == 0);
}

BOOST_AUTO_TEST_CASE(Call_WhenItsHomeWasFrozenBeforeSending_DoesNotSendLate) {
  const std::string key = KeyOf(1);
  const RequestId id = Call(1, key);
  Freeze(1);
  Pass(Milliseconds(10000));
  Thaw(1);
  Settle(Milliseconds(3000));
  BOOST_TEST(runs_by_key_[key] == 0);
  BOOST_TEST(told_[id].answers_ == 1);
  BOOST_TEST((told_[id].verdict_.run_state_ == RunState::kNotRun));
}

BOOST_AUTO_TEST_CASE(Call_WhenWokenEntryWasReplaced_IsNotDecidedThere) {
  const std::string key = KeyOf(1);
  MemberRow row = nodes_[1].router_.membership_.self_;
  row.incarnation_ += 1000;
  Give(1, PeerMessageArrived{{"a", 1, Gossip{{row}}}});
  const RequestId id = Call(1, key);
  Settle(Milliseconds(1000));
  BOOST_TEST(runs_by_key_[key] == 0);
  BOOST_TEST((told_[id].verdict_.run_state_ == RunState::kNotRun));
}

BOOST_AUTO_TEST_CASE(Call_WhenBackendCannotBeReached_TriesAnother) {
  const std::string key = KeyOf(0);
  const RequestId id = Call(0, key);
  const std::size_t at = AwaitFlight(Flight::Kind::kPlain);
  const std::string first = flights_[at].plain_.server_;
  Lose(at, RunState::kNotRun);
  Settle(Milliseconds(1000));
  BOOST_TEST(runs_by_key_[key] == 1);
  BOOST_TEST(told_[id].has_answer_);
}

BOOST_AUTO_TEST_CASE(Call_WhenConnectionBrokeAfterSending_IsNotRetried) {
  const std::string key = KeyOf(0);
  const RequestId id = Call(0, key);
  Lose(AwaitFlight(Flight::Kind::kPlain), RunState::kMayHaveRun);
  Settle(Milliseconds(1000));
  const RequestId again = Call(2, key);
  Settle(Milliseconds(1000));
  BOOST_TEST(runs_by_key_[key] == 0);
  for (const RequestId& each : {id, again}) {
    BOOST_TEST((told_[each].verdict_.run_state_ == RunState::kMayHaveRun));
  }
}

BOOST_AUTO_TEST_CASE(Call_WhenCallerLeftAndAsksAgain_GetsTheFirstAnswer) {
  const std::string key = KeyOf(2);
  const RequestId first = Call(2, key);
  const std::size_t at = AwaitFlight(Flight::Kind::kPlain);
  BOOST_REQUIRE(at < flights_.size());
  Give(2, CallerGone{first});
  Settle(Milliseconds(500));
  const RequestId again = Call(0, key);
  Settle(Milliseconds(1000));
  BOOST_TEST(runs_by_key_[key] == 1);
  BOOST_TEST(told_[again].has_answer_);
  BOOST_TEST(told_[again].repeated_);
}

BOOST_AUTO_TEST_CASE(Call_WhenItsHomeWasReplacedGracefully_RepeatsTheAnswer) {
  const std::string key = KeyOf(1);
  const std::string unused = KeyOf(1).substr(0, 35) + "f";
  Call(1, key);
  Settle(Milliseconds(1000));
  Give(1, DrainRequested{});
  Settle(Milliseconds(500));
  BOOST_REQUIRE(nodes_[1].drained_);
  Kill(1);
  Replace(1);
  Settle(Milliseconds(6000));
  const RequestId again = Call(1, key);
  Settle(Milliseconds(1000));
  BOOST_TEST(runs_by_key_[key] == 1);
  BOOST_TEST(told_[again].has_answer_);
}

BOOST_AUTO_TEST_CASE(Call_WhenKeyIsMalformed_IsRefusedNotRun) {
  const RequestId id = Call(0, "booking-17");
  BOOST_TEST(told_[id].answers_ == 1);
  BOOST_TEST((told_[id].verdict_.reason_ == Reason::kKeyMalformed));
  BOOST_TEST((told_[id].verdict_.run_state_ == RunState::kNotRun));
}

BOOST_AUTO_TEST_CASE(Call_WhenSeatTableChanges_IsNotDecidedForOlderKeys) {
  const std::string key = KeyOf(1);
  // Seat two moves to another address: its keys have a new home.
  std::string changed = kRules;
  changed.replace(changed.find("seat two at b:1"), 15, "seat six at b:1");
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    Publish(i, 2, changed);
  }
  const RequestId id = Call(0, key);
  Settle(Milliseconds(6000));
  BOOST_TEST(runs_by_key_[key] == 0);
  BOOST_TEST(told_[id].answers_ == 1);
}

// --- 6. A leaving backend server receives no new work.

BOOST_AUTO_TEST_CASE(LeavingServer_WhenTheListLags_GetsNoNewWork) {
  LoadReport report;
  report.slots_ = kDefaultSlots;
  report.draining_ = true;
  reports_ = false;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    // Only the home hears it; the others learn it by gossip.
    const auto& cells = nodes_[i].router_.fleet_.cells_;
    if (cells.at("engines/0").home_ == nodes_[i].name_) {
      Give(i, LoadReportArrived{"d1", report});
    }
  }
  Settle(Milliseconds(3000));
  actions_.clear();
  for (int i = 0; i < 30; ++i) {
    Ask(static_cast<std::size_t>(i % 3), ModelShape());
    Settle(Milliseconds(20));
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

// --- 7. A graceful shutdown cuts no request in progress.

BOOST_AUTO_TEST_CASE(Drain_AtEachStepOfARequest_EndsItWhole) {
  using Kind = Flight::Kind;
  for (const Kind step :
       {Kind::kPeer, Kind::kPrefill, Kind::kDecode, Kind::kDecodeReply}) {
    const RequestId id = Ask(1, ModelShape());
    AwaitFlight(step);
    Give(1, DrainRequested{});
    Settle(Milliseconds(4000));
    BOOST_TEST(told_[id].answers_ == 1);
    BOOST_TEST(told_[id].has_answer_);
    BOOST_TEST(nodes_[1].drained_);
    BOOST_TEST(nodes_[1].open_at_drain_ == 0U);
    Replace(1);
    Settle(Milliseconds(4000));
  }
}

BOOST_AUTO_TEST_CASE(Drain_WhenItIsTheHome_MovesItsCellsAndWaitingRequests) {
  const std::string home =
      nodes_[0].router_.fleet_.cells_.at("engines/0").home_;
  const std::size_t index = FindNode(home);
  const std::size_t other = (index + 1) % nodes_.size();
  std::vector<RequestId> ids;
  for (int i = 0; i < 46; ++i) {  // More than there are slots.
    ids.push_back(Ask(other, ModelShape()));
  }
  Give(index, DrainRequested{});
  Settle(Milliseconds(6000));
  for (const RequestId& id : ids) {
    BOOST_TEST(told_[id].answers_ == 1);
    BOOST_TEST(told_[id].has_answer_, ToString(told_[id].verdict_.reason_));
  }
}

BOOST_AUTO_TEST_CASE(Drain_WhenANewRequestComes_RefusesItNotRun) {
  Give(0, DrainRequested{});
  const RequestId id = Ask(0, ModelShape());
  BOOST_TEST((told_[id].verdict_.reason_ == Reason::kDraining));
  BOOST_TEST((told_[id].verdict_.run_state_ == RunState::kNotRun));
}

// --- 8. An accepted configuration is in force everywhere and never reverts.

BOOST_AUTO_TEST_CASE(Configuration_WhenOneEntryHearsIt_IsInForceEverywhere) {
  Publish(0, 9, std::string(kRules) + "\n");
  Settle(Milliseconds(5000));
  for (const Node& node : nodes_) {
    BOOST_TEST(node.router_.configuration_.current_->revision_ == 9U);
  }
}

BOOST_AUTO_TEST_CASE(Configuration_WhenServiceIsStale_RestartedEntryAsksPeers) {
  Publish(0, 9, std::string(kRules) + "\n");
  Settle(Milliseconds(5000));
  revision_ = 3;  // What the stale service says to the new process.
  Kill(2);
  Replace(2);
  Settle(Milliseconds(5000));
  BOOST_TEST(nodes_[2].router_.configuration_.current_->revision_ == 9U);
  BOOST_TEST(nodes_[2].lowest_revision_ == 9U);
}

BOOST_AUTO_TEST_CASE(Configuration_WhenOneLineIsBad_KeepsTheOldAndNamesIt) {
  Publish(0, 9, std::string("nonsense # asked by x\n") + kRules);
  Settle(Milliseconds(1000));
  const ConfigurationState& state = nodes_[0].router_.configuration_;
  BOOST_TEST(state.current_->revision_ == 1U);
  BOOST_TEST(state.refused_revision_ == 9U);
  BOOST_TEST(state.refused_error_.find("rules:1:1") == 0U);
}

BOOST_AUTO_TEST_CASE(Configuration_WhenTwoOperatorsRace_TheHigherWins) {
  Publish(0, 9, std::string(kRules) + "\n");
  Publish(2, 10, std::string(kRules) + "\n\n");
  Settle(Milliseconds(5000));
  for (const Node& node : nodes_) {
    BOOST_TEST(node.router_.configuration_.current_->revision_ == 10U);
  }
}

// --- Beside the points: overload and outage.

BOOST_AUTO_TEST_CASE(Overload_WhenTargetsCannotBeMet_RefusesBeforePrefill) {
  std::vector<RequestId> ids;
  RequestShape shape = ModelShape();
  shape.prompt_tokens_ = 20000;
  for (int i = 0; i < 40; ++i) {
    ids.push_back(Ask(0, shape));
  }
  Settle(Milliseconds(6000));
  int refused = 0;
  for (const RequestId& id : ids) {
    BOOST_TEST(told_[id].answers_ == 1);
    if (!told_[id].has_answer_) {
      ++refused;
      BOOST_TEST((told_[id].verdict_.run_state_ == RunState::kNotRun));
      BOOST_TEST(runs_by_request_[id] == 0);
    }
  }
  BOOST_TEST(refused > 0);
}

BOOST_AUTO_TEST_CASE(Prompt_WhenNoEngineCouldEverHoldIt_IsToldSoAtOnce) {
  total_pieces_ = 10;
  Settle(Milliseconds(2000));
  RequestShape shape = ModelShape();
  shape.prompt_tokens_ = 60000;
  for (std::size_t entry = 0; entry < nodes_.size(); ++entry) {
    const RequestId id = Ask(entry, shape);
    Settle(Milliseconds(100));
    BOOST_TEST(told_[id].answers_ == 1);
    const Verdict& verdict = told_[id].verdict_;
    BOOST_TEST((verdict.reason_ == Reason::kTooLarge));
    BOOST_TEST((verdict.run_state_ == RunState::kNotRun));
    BOOST_TEST(verdict.retry_after_.count() == 0);
    BOOST_TEST(verdict.detail_.find("20000 tokens") != std::string::npos);
    BOOST_TEST(runs_by_request_[id] == 0);
  }
  shape.prompt_tokens_ = 10000;
  const RequestId fits = Ask(0, shape);
  Settle(Milliseconds(3000));
  BOOST_TEST(told_[fits].has_answer_);
}

BOOST_AUTO_TEST_CASE(Outage_WhenAPoolIsDown_KeepsRetriesUnderATenth) {
  RequestShape shape;
  shape.service_ = "desk";
  shape.path_ = "/desk/status";
  std::size_t sends = 0;
  constexpr std::size_t kCalls = 500;
  for (std::size_t i = 0; i < kCalls; ++i) {
    Ask(0, shape);
    while (AwaitFlight(Flight::Kind::kPlain) < flights_.size()) {
      ++sends;
      Lose(AwaitFlight(Flight::Kind::kPlain), RunState::kMayHaveRun);
    }
  }
  BOOST_TEST(sends <= kCalls + kCalls / 10 + kRetryBudgetBurst);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::core
