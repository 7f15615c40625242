#include <algorithm>
#include <iterator>

#include "absl/strings/str_cat.h"
#include "dispatcher_p.h"

namespace siskindrum::dispatch {

namespace {

bool IsEmpty(const core::QuarantineReport& report) {
  return report.suspects_.empty() && report.harmless_.empty() &&
         report.quarantined_.empty();
}

template <class Row>
void MoveRows(std::vector<Row>& from, std::vector<Row>& to) {
  const std::size_t space =
      kMaxReportRows - std::min(kMaxReportRows, to.size());
  const std::size_t count = std::min(space, from.size());
  std::move(from.begin(), from.begin() + static_cast<std::ptrdiff_t>(count),
            std::back_inserter(to));
}

// Adds the time for which the report was held back.
void AddAge(core::QuarantineReport& report, Milliseconds held) {
  for (core::CrashSuspect& row : report.suspects_) {
    row.age_ += held;
  }
  for (core::HarmlessPart& row : report.harmless_) {
    row.age_ += held;
  }
  for (core::QuarantinedParts& row : report.quarantined_) {
    row.age_ += held;
  }
}

// Refills the allowance of messages for the time since it was last counted.
void RefillMessages(QuarantineNews& news, TimePoint now) {
  const double seconds = ToMs(now - news.counted_at_) / 1000;
  news.messages_ =
      std::min(kNewsBurst, news.messages_ + kNewsMessagesPerSecond * seconds);
  news.counted_at_ = now;
}

// Sends the collected news if the allowance permits; else a later call does.
void SendNews(Step& step) {
  QuarantineNews& news = step.dispatcher_.quarantine_news_;
  if (IsEmpty(news.report_)) {
    return;
  }
  RefillMessages(news, step.now_);
  if (news.messages_ < kNewsFanOut) {
    return;
  }
  AddAge(news.report_, std::chrono::duration_cast<Milliseconds>(
                           step.now_ - news.collected_since_));
  news.messages_ -=
      static_cast<double>(SendQuarantineReport(step, news.report_));
  news.report_ = {};
}

void LogSets(Step& step,
             const std::string& event,
             const std::vector<QuarantinedSet>& sets,
             const std::string& source) {
  for (const QuarantinedSet& set : sets) {
    ++step.dispatcher_.counters_.quarantines_;
    step.actions_.emplace_back(core::LogEvent{
        event,
        {{"parts", FormatParts(set.parts_)},
         {"crashes", std::to_string(set.crashes_)},
         {"last_crash_ms", FormatMs(step.now_ - set.last_crash_at_)},
         {"term_ms", std::to_string(QuarantineTerm(set.crashes_).count())},
         {"source", source}}});
  }
}

void LogChange(Step& step,
               const QuarantineChange& change,
               const std::string& source) {
  for (const core::CrashSuspect& row : change.news_.suspects_) {
    ++step.dispatcher_.counters_.suspicions_;
    step.actions_.emplace_back(
        core::LogEvent{"crash_suspected",
                       {{"server", row.server_},
                        {"parts", FormatParts(row.parts_)},
                        {"confirmed", row.confirmed_ ? "yes" : "no"},
                        {"age_ms", std::to_string(row.age_.count())},
                        {"source", source}}});
  }
  for (const core::HarmlessPart& row : change.news_.harmless_) {
    step.actions_.emplace_back(
        core::LogEvent{"prompt_part_acquitted",
                       {{"parts", FormatParts({row.part_})},
                        {"age_ms", std::to_string(row.age_.count())},
                        {"source", source}}});
  }
  LogSets(step, "prompt_quarantined", change.imposed_, source);
  LogSets(step, "prompt_quarantine_renewed", change.renewed_, source);
}

void FailQuarantined(Step& step, ActiveCall& call, const QuarantinedSet& set) {
  ++step.dispatcher_.counters_.quarantined_;
  call.retry_after_ =
      TimeUntilRelease(step.dispatcher_.quarantine_, set, step.now_);
  FailCall(step, call, core::Reason::kQuarantined,
           absl::StrCat("prompt parts ", FormatParts(set.parts_), " crashed ",
                        set.crashes_, " engines"));
}

// Refuses the requests in progress whose answer has not begun, so that those
// that wait at an engine do not crash it. `current` is the request whose event
// is being handled, which goes on by itself.
void RefuseInProgress(Step& step, const RequestId& current) {
  std::vector<RequestId> found;
  for (const auto& [id, call] : step.dispatcher_.calls_) {
    if (id != current && !call.answer_begun_ &&
        FindQuarantine(step.dispatcher_.quarantine_, call.call_.shared_parts_,
                       step.now_) != nullptr) {
      found.push_back(id);
    }
  }
  for (const RequestId& id : found) {
    ActiveCall& call = step.dispatcher_.calls_.at(id);
    // The engine may be about to run it.
    if (call.stage_ == Stage::kDecode && !call.server_.empty()) {
      call.run_state_ = core::MaxState(call.run_state_, RunState::kMayHaveRun);
    }
    RefuseQuarantined(step, call);
  }
}

void Apply(Step& step,
           QuarantineChange change,
           const std::string& source,
           const RequestId& current = {}) {
  LogChange(step, change, source);
  QuarantineNews& news = step.dispatcher_.quarantine_news_;
  core::QuarantineReport& report = news.report_;
  if (IsEmpty(report)) {
    news.collected_since_ = step.now_;
  }
  MoveRows(change.news_.suspects_, report.suspects_);
  MoveRows(change.news_.harmless_, report.harmless_);
  MoveRows(change.news_.quarantined_, report.quarantined_);
  SendNews(step);
  if (!change.imposed_.empty() || !change.renewed_.empty()) {
    RefuseInProgress(step, current);
  }
}

// Returns whether the attempt ended with its connection before its answer had
// proved the request's parts harmless.
bool IsLostEarly(const ActiveCall& call, const AttemptDone& event) {
  return event.outcome_ == AttemptOutcome::kFailed && event.connection_lost_ &&
         !call.parts_harmless_;
}

// A connection that is lost before the answer's head or within the answer may
// have had another cause than a crash.
bool IsCrashConfirmed(const ServerState& server,
                      const AttemptDone& event,
                      TimePoint now) {
  const bool others_lost =
      server.connection_lost_at_ != TimePoint{} &&
      now - server.connection_lost_at_ <= kCrashConfirmTime;
  const bool only_head_came = event.status_ / 100 == 2 && !event.wrote_events_;
  return only_head_came || others_lost;
}

}  // namespace

bool RefuseNewQuarantined(Step& step, ActiveCall& call) {
  const QuarantinedSet* set = AdmitParts(step.dispatcher_.quarantine_,
                                         call.call_.shared_parts_, step.now_);
  if (set != nullptr) {
    FailQuarantined(step, call, *set);
  }
  return set != nullptr;
}

bool RefuseQuarantined(Step& step, ActiveCall& call) {
  const QuarantinedSet* set =
      call.parts_harmless_
          ? nullptr
          : FindQuarantine(step.dispatcher_.quarantine_,
                           call.call_.shared_parts_, step.now_);
  if (set != nullptr) {
    FailQuarantined(step, call, *set);
  }
  return set != nullptr;
}

void RecordCrashSuspect(Step& step,
                        const ActiveCall& call,
                        const AttemptDone& event) {
  const ServerState* server = FindServer(step.dispatcher_.pool_, call.server_);
  if (!IsLostEarly(call, event) || server == nullptr) {
    return;
  }
  const Suspicion suspicion{call.server_, server->info_.incarnation_, step.now_,
                            IsCrashConfirmed(*server, event, step.now_),
                            call.call_.shared_parts_};
  Apply(step, RecordCrash(step.dispatcher_.quarantine_, suspicion, step.now_),
        "own", call.id_);
}

void RecordHarmlessCall(Step& step, ActiveCall& call) {
  call.parts_harmless_ = true;
  Apply(step,
        RecordHarmless(step.dispatcher_.quarantine_, call.call_.shared_parts_,
                       step.now_, step.now_),
        "own");
}

void OnQuarantineReport(Step& step,
                        const std::string& from,
                        const core::QuarantineReport& report) {
  Apply(step, MergeReport(step.dispatcher_.quarantine_, report, step.now_),
        from);
}

void UpdateQuarantine(Step& step) {
  ExpireQuarantine(step.dispatcher_.quarantine_, step.now_);
  SendNews(step);
}

}  // namespace siskindrum::dispatch
