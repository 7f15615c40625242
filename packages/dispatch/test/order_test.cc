// Events in any order: what must hold whatever comes when.

#include <boost/test/unit_test.hpp>

#include <random>
#include <set>

#include "dispatcher_fixture.h"
#include "siskindrum/dispatch/limits.h"

namespace siskindrum::dispatch {
namespace {

// What happened to one request, as its servers and its caller saw it.
struct Story {
  std::string path_;
  std::size_t seen_ = 0;  // Attempts looked at.
  bool may_have_run_ = false;
  bool begun_ = false;
  bool left_ = false;
  std::size_t ends_ = 0;
  std::optional<std::uint64_t> last_event_;
  bool open_ = false;  // Its last attempt is not answered.
};

// One entry whose servers, callers, list and clock do anything at any time.
struct OrderFixture : DispatcherFixture {
  std::mt19937 random_;
  std::map<RequestId, Story> stories_;
  std::map<std::string, core::ServerInfo> listed_;
  std::map<std::string, TimePoint> left_at_;
  std::uint64_t revision_ = 1;

  void Begin(unsigned seed) {
    random_.seed(seed);
    for (const auto& [name, server] : dispatcher_.pool_.servers_) {
      listed_[name] = server.info_;
    }
  }
  std::size_t Pick(std::size_t count) { return random_() % count; }
  bool Chance(int percent) {
    return Pick(100) < static_cast<unsigned>(percent);
  }

  static bool MayRepeat(const Story& story) {
    return story.path_ == "/resume/1" || story.path_ == "/read/1";
  }

  void Ask() {
    static constexpr const char* kPaths[] = {"/resume/1",  "/stream/1",
                                             "/stream2/1", "/book/1",
                                             "/book2/1",   "/read/1"};
    const std::string path = kPaths[Pick(std::size(kPaths))];
    const RequestId id =
        Arrive(path, static_cast<std::uint32_t>(100 + Pick(12000)),
               static_cast<std::uint32_t>(1 + Pick(1500)));
    stories_[id].path_ = path;
  }

  // Checks every attempt that was started since the last look.
  void Look() {
    for (auto& [id, story] : stories_) {
      const auto found = starts_.find(id);
      while (found != starts_.end() && story.seen_ < found->second.size()) {
        CheckStart(story, found->second[story.seen_]);
        ++story.seen_;
        story.open_ = true;
      }
    }
  }
  void CheckStart(Story& story, const StartAttempt& start) {
    BOOST_TEST(!story.left_);
    BOOST_TEST(story.ends_ == 0U);
    const bool runs =
        start.stage_ == Stage::kPlain || start.stage_ == Stage::kDecode;
    if (runs && story.may_have_run_) {
      BOOST_TEST(MayRepeat(story));
      BOOST_TEST((!story.begun_ || story.path_ == "/resume/1"));
    }
    if (start.stage_ == Stage::kDecode) {
      BOOST_TEST((start.resume_after_ == story.last_event_));
    }
    // A server that left gets nothing; one that vanished a little longer.
    const auto left = left_at_.find(start.server_);
    if (left != left_at_.end()) {
      BOOST_TEST((start.decided_at_ - left->second <= kUnlistedServerGrace));
    }
    BOOST_TEST((start.deadline_ > start.decided_at_));
  }

  std::vector<RequestId> Open() const {
    std::vector<RequestId> open;
    for (const auto& [id, story] : stories_) {
      if (story.open_ && story.ends_ == 0 && !story.left_) {
        open.push_back(id);
      }
    }
    return open;
  }
  void Answer(const RequestId& id) {
    Story& story = stories_.at(id);
    const StartAttempt start = Last(id);
    story.open_ = false;
    if (start.stage_ == Stage::kReserve) {
      const std::size_t kind = Pick(10);
      Handle(ReserveDone{id, start.attempt_, kind < 6, kind == 6 || kind == 7,
                         kind < 6 ? "hold" : "", "", kind == 8});
    } else if (start.stage_ == Stage::kPrefill) {
      const std::size_t kind = Pick(10);
      Handle(PrefillDone{id, start.attempt_, kind < 7, kind == 7 || kind == 8,
                         kind < 7 ? "kv" : "", "", kind == 8});
    } else {
      AnswerRun(id, story, start);
    }
  }
  void AnswerRun(const RequestId& id, Story& story, const StartAttempt& start) {
    if (start.stage_ == Stage::kDecode && Chance(50)) {
      Handle(AnswerBegan{id, start.attempt_});
      story.begun_ = true;
      story.may_have_run_ = true;
      story.last_event_ = story.last_event_.value_or(0) + 1 + Pick(5);
    }
    AttemptDone done;
    done.request_ = id;
    done.attempt_ = start.attempt_;
    done.last_event_ = story.last_event_;
    const std::size_t kind = Pick(6);
    if (kind < 2) {
      done.outcome_ = AttemptOutcome::kDelivered;
      done.run_state_ = RunState::kRan;
      story.may_have_run_ = true;
      ++story.ends_;
    } else if (kind == 2 && !story.begun_) {
      done.outcome_ = AttemptOutcome::kRefused;
      done.run_state_ = RunState::kNotRun;
      done.misdirected_ = Chance(50);
    } else if (kind == 3 && !story.begun_) {
      done.outcome_ = AttemptOutcome::kServerError;
      done.run_state_ = RunState::kRan;
      story.may_have_run_ = true;
    } else if (kind == 4 && !story.begun_) {
      done.run_state_ = RunState::kNotRun;
      done.reason_ = core::Reason::kConnectFailed;
    } else {
      done.reason_ = core::Reason::kConnectionLost;
      story.may_have_run_ = true;
    }
    Handle(done);
  }
  // An answer to an attempt that is over.
  void AnswerLate() {
    for (const auto& [id, starts] : starts_) {
      if (starts.size() > 1 && Chance(20)) {
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
        left_at_[name] = now_ - kUnlistedServerGrace;
        break;
      case 1:
        Remove(name);
        left_at_.try_emplace(name, now_);
        break;
      default:
        left_at_.erase(name);
        List({server->second}, false);
        break;
    }
  }
  void CountEnds() {
    for (auto& [id, story] : stories_) {
      const auto refused = refused_.find(id);
      if (refused != refused_.end() && story.ends_ == 0) {
        ++story.ends_;
        if (refused->second.run_state_ == RunState::kNotRun) {
          BOOST_TEST(!story.may_have_run_);
          // Handed to a server that has not said anything: not proved.
          const bool handed =
              story.open_ && (Last(id).stage_ == Stage::kPlain ||
                              Last(id).stage_ == Stage::kDecode);
          BOOST_TEST(!handed);
        }
      }
    }
    for (const RequestId& id : kept_) {
      BOOST_TEST(stories_.at(id).may_have_run_);
      stories_.at(id).ends_ = 1;
    }
  }

  void Step() {
    const std::vector<RequestId> open = Open();
    const std::size_t move = Pick(100);
    if (move < 25) {
      Ask();
    } else if (move < 70 && !open.empty()) {
      Answer(open[Pick(open.size())]);
    } else if (move < 75 && !open.empty()) {
      const RequestId id = open[Pick(open.size())];
      stories_.at(id).left_ = true;
      Handle(CallerLeft{id});
    } else if (move < 80) {
      AnswerLate();
    } else if (move < 86) {
      ChangeList();
    } else if (move < 88) {
      Configure(++revision_, kRules);
    } else {
      Pass(Milliseconds(20 * (1 + Pick(move < 98 ? 5 : 200))));
    }
    Look();
    CountEnds();
  }
  // All callers leave: nothing may be counted or held any more.
  void End() {
    for (auto& [id, story] : stories_) {
      if (dispatcher_.calls_.contains(id)) {
        story.left_ = true;
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

BOOST_AUTO_TEST_CASE(Promises_InRandomOrdersOfEvents_HoldAfterEveryStep) {
  constexpr unsigned kSeeds = 400;
  constexpr int kSteps = 150;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    OrderFixture order;
    BOOST_TEST_CONTEXT("seed " << seed) {
      order.Begin(seed);
      for (int i = 0; i < kSteps; ++i) {
        order.Step();
      }
      order.End();
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::dispatch
