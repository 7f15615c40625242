// Invariants of the dispatcher under random orders of events.

#include <boost/test/unit_test.hpp>

#include <random>
#include <set>

#include "dispatcher_fixture.h"
#include "siskindrum/dispatch/limits.h"

namespace siskindrum::dispatch {
namespace {

// What the servers and the caller observed of one request.
struct RequestHistory {
  std::string path_;
  std::size_t checked_attempts_ = 0;  // Number of attempts already checked.
  bool may_have_run_ = false;
  bool begun_ = false;
  bool left_ = false;
  std::size_t ends_ = 0;
  std::optional<std::uint64_t> last_event_;
  bool open_ = false;  // Its last attempt has no result yet.
};

// Drives a dispatcher with random events of servers, callers, server list and
// clock.
struct OrderFixture : DispatcherFixture {
  std::mt19937 random_;
  std::map<RequestId, RequestHistory> histories_;
  std::map<std::string, core::ServerInfo> listed_;
  std::map<std::string, TimePoint> departed_at_;
  std::uint64_t revision_ = 1;

  void Seed(unsigned seed) {
    random_.seed(seed);
    for (const auto& [name, server] : dispatcher_.pool_.servers_) {
      listed_[name] = server.info_;
    }
  }
  std::size_t Pick(std::size_t count) { return random_() % count; }
  bool RandomBool(int percent) {
    return Pick(100) < static_cast<unsigned>(percent);
  }

  static bool MayRepeat(const RequestHistory& history) {
    return history.path_ == "/resume/1" || history.path_ == "/read/1";
  }

  void SendRequest() {
    static constexpr const char* kPaths[] = {"/resume/1",  "/stream/1",
                                             "/stream2/1", "/book/1",
                                             "/book2/1",   "/read/1"};
    const std::string path = kPaths[Pick(std::size(kPaths))];
    const RequestId id =
        Arrive(path, static_cast<std::uint32_t>(100 + Pick(12000)),
               static_cast<std::uint32_t>(1 + Pick(1500)));
    histories_[id].path_ = path;
  }

  // Checks every attempt started since the last check.
  void CheckNewAttempts() {
    for (auto& [id, history] : histories_) {
      const auto found = starts_.find(id);
      while (found != starts_.end() &&
             history.checked_attempts_ < found->second.size()) {
        CheckStart(history, found->second[history.checked_attempts_]);
        ++history.checked_attempts_;
        history.open_ = true;
      }
    }
  }
  void CheckStart(RequestHistory& history, const StartAttempt& start) {
    BOOST_TEST(!history.left_);
    BOOST_TEST(history.ends_ == 0U);
    const bool runs =
        start.stage_ == Stage::kPlain || start.stage_ == Stage::kDecode;
    if (runs && history.may_have_run_) {
      BOOST_TEST(MayRepeat(history));
      BOOST_TEST((!history.begun_ || history.path_ == "/resume/1"));
    }
    if (start.stage_ == Stage::kDecode) {
      BOOST_TEST((start.resume_after_ == history.last_event_));
    }
    // A draining server gets no attempt; an unlisted one may get some within
    // the grace time.
    const auto left = departed_at_.find(start.server_);
    if (left != departed_at_.end()) {
      BOOST_TEST((start.decided_at_ - left->second <= kUnlistedServerGrace));
    }
    BOOST_TEST((start.deadline_ > start.decided_at_));
  }

  std::vector<RequestId> OpenRequests() const {
    std::vector<RequestId> open;
    for (const auto& [id, history] : histories_) {
      if (history.open_ && history.ends_ == 0 && !history.left_) {
        open.push_back(id);
      }
    }
    return open;
  }
  void Answer(const RequestId& id) {
    RequestHistory& history = histories_.at(id);
    const StartAttempt start = Last(id);
    history.open_ = false;
    if (start.stage_ == Stage::kReserve) {
      const std::size_t kind = Pick(10);
      Handle(ReserveDone{id, start.attempt_, kind < 6, kind == 6 || kind == 7,
                         kind < 6 ? "hold" : "", "", kind == 8});
    } else if (start.stage_ == Stage::kPrefill) {
      const std::size_t kind = Pick(10);
      Handle(PrefillDone{id, start.attempt_, kind < 7, kind == 7 || kind == 8,
                         kind < 7 ? "kv" : "", "", kind == 8});
    } else {
      AnswerRun(id, history, start);
    }
  }
  void AnswerRun(const RequestId& id,
                 RequestHistory& history,
                 const StartAttempt& start) {
    if (start.stage_ == Stage::kDecode && RandomBool(50)) {
      Handle(AnswerBegan{id, start.attempt_});
      history.begun_ = true;
      history.may_have_run_ = true;
      history.last_event_ = history.last_event_.value_or(0) + 1 + Pick(5);
    }
    AttemptDone done;
    done.request_ = id;
    done.attempt_ = start.attempt_;
    done.last_event_ = history.last_event_;
    const std::size_t kind = Pick(6);
    if (kind < 2) {
      done.outcome_ = AttemptOutcome::kDelivered;
      done.run_state_ = RunState::kRan;
      history.may_have_run_ = true;
      ++history.ends_;
    } else if (kind == 2 && !history.begun_) {
      done.outcome_ = AttemptOutcome::kRefused;
      done.run_state_ = RunState::kNotRun;
      done.misdirected_ = RandomBool(50);
    } else if (kind == 3 && !history.begun_) {
      done.outcome_ = AttemptOutcome::kServerError;
      done.run_state_ = RunState::kRan;
      history.may_have_run_ = true;
    } else if (kind == 4 && !history.begun_) {
      done.run_state_ = RunState::kNotRun;
      done.reason_ = core::Reason::kConnectFailed;
    } else {
      done.reason_ = core::Reason::kConnectionLost;
      history.may_have_run_ = true;
    }
    Handle(done);
  }
  // Delivers a result of an attempt that is over.
  void AnswerLate() {
    for (const auto& [id, starts] : starts_) {
      if (starts.size() > 1 && RandomBool(20)) {
        const StartAttempt& old = starts[Pick(starts.size() - 1)];
        AttemptDone late;
        late.request_ = id;
        late.attempt_ = old.attempt_;
        late.outcome_ = AttemptOutcome::kDelivered;
        const bool was_open = dispatcher_.calls_.contains(id);
        Handle(late);
        BOOST_TEST(dispatcher_.calls_.contains(id) == was_open);
        return;
      }
    }
  }
  void ChangeList() {
    auto server = listed_.begin();
    std::advance(server, static_cast<std::ptrdiff_t>(Pick(listed_.size())));
    const std::string& name = server->first;
    switch (Pick(3)) {
      case 0:
        Leave(server->second);
        departed_at_[name] = now_ - kUnlistedServerGrace;
        break;
      case 1:
        Remove(name);
        departed_at_.try_emplace(name, now_);
        break;
      default:
        departed_at_.erase(name);
        List({server->second}, false);
        break;
    }
  }
  void CountEnds() {
    for (auto& [id, history] : histories_) {
      const auto refused = refused_.find(id);
      if (refused != refused_.end() && history.ends_ == 0) {
        ++history.ends_;
        if (refused->second.run_state_ == RunState::kNotRun) {
          BOOST_TEST(!history.may_have_run_);
          // A request in progress at a server may have run.
          const bool in_progress =
              history.open_ && (Last(id).stage_ == Stage::kPlain ||
                                Last(id).stage_ == Stage::kDecode);
          BOOST_TEST(!in_progress);
        }
      }
    }
    for (const RequestId& id : server_errors_) {
      BOOST_TEST(histories_.at(id).may_have_run_);
      histories_.at(id).ends_ = 1;
    }
  }

  void RunRandomStep() {
    const std::vector<RequestId> open = OpenRequests();
    const std::size_t action = Pick(100);
    if (action < 25) {
      SendRequest();
    } else if (action < 70 && !open.empty()) {
      Answer(open[Pick(open.size())]);
    } else if (action < 75 && !open.empty()) {
      const RequestId id = open[Pick(open.size())];
      histories_.at(id).left_ = true;
      Handle(CallerLeft{id});
    } else if (action < 80) {
      AnswerLate();
    } else if (action < 86) {
      ChangeList();
    } else if (action < 88) {
      Configure(++revision_, kRules);
    } else {
      Pass(Milliseconds(20 * (1 + Pick(action < 98 ? 5 : 200))));
    }
    CheckNewAttempts();
    CountEnds();
  }
  // After all callers left, no load may remain counted at any server.
  void CheckNothingHeld() {
    for (auto& [id, history] : histories_) {
      if (dispatcher_.calls_.contains(id)) {
        history.left_ = true;
        Handle(CallerLeft{id});
      }
    }
    BOOST_TEST(dispatcher_.calls_.empty());
    for (const auto& [name, server] : dispatcher_.pool_.servers_) {
      BOOST_TEST(server.calls_ == 0U);
      BOOST_TEST(server.held_tokens_ == 0U);
      BOOST_TEST(server.prefill_tokens_ == 0U);
    }
  }
};

BOOST_AUTO_TEST_SUITE(AnyOrder)

BOOST_AUTO_TEST_CASE(Invariants_InRandomOrdersOfEvents_HoldAfterEveryStep) {
  constexpr unsigned kSeeds = 400;
  constexpr int kSteps = 150;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    OrderFixture order;
    BOOST_TEST_CONTEXT("seed " << seed) {
      order.Seed(seed);
      for (int i = 0; i < kSteps; ++i) {
        order.RunRandomStep();
      }
      order.CheckNothingHeld();
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::dispatch
