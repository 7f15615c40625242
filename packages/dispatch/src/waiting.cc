#include <algorithm>

#include "absl/strings/str_cat.h"
#include "dispatcher_p.h"

namespace siskindrum::dispatch {

namespace {

// Time for which a take-up waits for a list that the store confirms. An entry
// that is cut off from it hears of new servers from peers within this time.
constexpr Milliseconds kListWait{1000};

// True when the caller has part of the answer, from this request or from an
// earlier one that it resumes.
bool IsInProgress(const ActiveCall& call) {
  return call.answer_begun_ || call.last_event_.has_value();
}

// Priority among requests that can still meet their target: answers in progress
// first, then the smallest memory-time product.
bool HasPriority(const ActiveCall& a, const ActiveCall& b) {
  if (IsInProgress(a) != IsInProgress(b)) {
    return IsInProgress(a);
  }
  return MemoryTime(a) < MemoryTime(b);
}

// Latest time at which capacity is still useful to the caller.
TimePoint WaitDeadline(const ActiveCall& call) {
  return std::min(call.arrived_at_ + kMaxCapacityWait, call.deadline_);
}

// A server of the version that began the stream may be listed in a moment: the
// list is from before the caller came back.
bool CanAwaitList(const Step& step, const ActiveCall& call) {
  return call.stream_version_.has_value() && !call.answer_begun_ &&
         step.dispatcher_.list_confirmed_at_ < call.arrived_at_ &&
         step.now_ < std::min(call.arrived_at_ + kListWait, call.deadline_);
}

// True when a pause that ends then still lets the request be served in time.
bool CanAwaitPauseEnd(const Step& step, const ActiveCall& call, TimePoint end) {
  if (call.answer_begun_) {
    return end < call.deadline_;
  }
  const Step then{step.dispatcher_, end, step.actions_};
  return end < WaitDeadline(call) && CanMeetTarget(then, call);
}

}  // namespace

double MemoryTime(const ActiveCall& call) {
  const double answer = std::max(1U, call.call_.answer_tokens_);
  return (call.call_.shape_.prompt_tokens_ + answer / 2) * answer;
}

void Enqueue(Step& step, ActiveCall& call) {
  if (!call.waiting_) {
    call.waiting_ = true;
    step.dispatcher_.waiting_.push_back(call.id_);
  }
  if (!call.wait_logged_) {
    call.wait_logged_ = true;
    ++step.dispatcher_.counters_.waits_;
    core::LogEvent log{
        "request_waits",
        {{"request", call.call_.label_},
         {"pool", call.pool_},
         {"organisation", call.organisation_},
         {"waiting", std::to_string(step.dispatcher_.waiting_.size())}}};
    if (UsesAdmission(step, call)) {
      ++step.dispatcher_.counters_
            .waits_by_rank_[admission::ClampRank(call.urgency_)];
    }
    AddUrgency(step, call, log);
    step.actions_.push_back(std::move(log));
  }
}

Milliseconds SlackToTarget(const Step& step, const ActiveCall& call) {
  const Milliseconds target = call.rule_->outcome_.first_token_;
  if (target.count() == 0 || IsInProgress(call)) {
    return Milliseconds::max();
  }
  const PlacementRequest request = MakePlacementRequest(step, call);
  const EnginePlacement plan =
      PlaceEngines(step.dispatcher_.pool_, request, step.now_);
  const ServerState* prefill =
      FindServer(step.dispatcher_.pool_, plan.prefill_);
  const double prefill_ms =
      prefill == nullptr
          ? kDirectPrefillFactor * kPrefillOverheadMs
          : EstimatePrefillMs(*prefill, call.call_.shape_.prompt_tokens_,
                              step.now_);
  const double transfer_ms =
      prefill == nullptr
          ? 0
          : TransferMs(request.pool_settings_, request.prompt_tokens_, false) +
                CurrentDelayMs(prefill->transfer_delay_, step.now_);
  const Milliseconds needed =
      Milliseconds(static_cast<std::int64_t>(prefill_ms + transfer_ms)) +
      kFirstDecodeStepTime;
  return std::chrono::ceil<Milliseconds>(call.arrived_at_ + target - step.now_ -
                                         needed);
}

bool CanMeetTarget(const Step& step, const ActiveCall& call) {
  return SlackToTarget(step, call) > Milliseconds(0);
}

bool CanFinish(const Step& step, const ActiveCall& call) {
  const auto mean = step.dispatcher_.mean_token_ms_.find(call.pool_);
  if (IsInProgress(call) || mean == step.dispatcher_.mean_token_ms_.end()) {
    return true;
  }
  const double left_ms = ToMs(call.deadline_ - step.now_);
  return mean->second * call.call_.answer_tokens_ <= kAnswerTimeSlack * left_ms;
}

void RecordTokenTime(Step& step, const ActiveCall& call) {
  if (call.call_.answer_tokens_ == 0 || call.sends_ > 0) {
    return;
  }
  const double ms =
      ToMs(step.now_ - call.begun_at_) / call.call_.answer_tokens_;
  double& mean = step.dispatcher_.mean_token_ms_[call.pool_];
  mean = Smooth(mean, ms, kTokenTimeWeight);
}

void HandleNoServer(Step& step, ActiveCall& call, core::ServerRole role) {
  const PlacementRequest request = MakePlacementRequest(step, call);
  if (LacksOnlyRequestRoom(step.dispatcher_.pool_, request, role, step.now_)) {
    if (role == core::ServerRole::kDecode) {
      WaitForCapacity(step, call);
      return;
    }
    FailCall(step, call, core::Reason::kOverloaded,
             absl::StrCat("the servers of pool ", call.pool_,
                          " hold too many bytes of requests"));
    return;
  }
  const TimePoint end =
      EarliestPauseEnd(step.dispatcher_.pool_, request, role, step.now_);
  const bool queues = role == core::ServerRole::kDecode;
  if (end == TimePoint{}) {
    if (queues && CanAwaitList(step, call)) {
      step.actions_.emplace_back(ConfirmList{});
      Enqueue(step, call);
      return;
    }
    FailCall(step, call, core::Reason::kNoServer,
             absl::StrCat("pool ", call.pool_, " has no usable ",
                          core::ToString(role), " server",
                          request.software_version_.has_value()
                              ? " of the version that began the stream: "
                              : "",
                          request.software_version_.value_or("")));
    return;
  }
  if (queues && CanAwaitPauseEnd(step, call, end)) {
    Enqueue(step, call);
    return;
  }
  call.retry_after_ = std::chrono::ceil<Milliseconds>(end - step.now_);
  FailCall(step, call, core::Reason::kOverloaded,
           absl::StrCat("all servers of pool ", call.pool_,
                        " asked for a pause, the first for ",
                        FormatMs(end - step.now_), " ms more"));
}

void WaitForCapacity(Step& step, ActiveCall& call) {
  Enqueue(step, call);
  const bool in_time = CanMeetTarget(step, call);
  if (in_time) {
    RecordShortage(step, call);
  }
  const char* cause =
      step.now_ >= WaitDeadline(call) ? "it waited for the longest time"
      : !CanFinish(step, call)        ? "it could not end by its deadline"
      : !in_time && IsCapacityShort(step, call)
          ? "it would begin late, and others can still begin in time"
          : nullptr;
  if (cause != nullptr && !call.answer_begun_) {
    FailForCapacity(step, call, cause);
  }
}

void RetryWaiting(Step& step) {
  Dispatcher& dispatcher = step.dispatcher_;
  if (dispatcher.waiting_.empty()) {
    return;
  }
  std::vector<RequestId> order;
  order.swap(dispatcher.waiting_);
  std::erase_if(order, [&dispatcher](const RequestId& id) {
    const auto found = dispatcher.calls_.find(id);
    return found == dispatcher.calls_.end() || !found->second.waiting_;
  });
  const auto late = std::stable_partition(
      order.begin(), order.end(), [&](const RequestId& id) {
        return CanMeetTarget(step, dispatcher.calls_.at(id));
      });
  std::stable_sort(
      order.begin(), late, [&](const RequestId& a, const RequestId& b) {
        return HasPriority(dispatcher.calls_.at(a), dispatcher.calls_.at(b));
      });
  UrgencyQueues queues = OrderByUrgency(step, order);
  for (const RequestId& id : order) {
    ActiveCall& call = dispatcher.calls_.at(id);
    call.waiting_ = false;
    call.reserves_ = 0;
    if (IsCapacityShort(step, call) && !CanMeetTarget(step, call)) {
      WaitForCapacity(step, call);
    } else {
      AssignDecodeEngine(step, call);
    }
  }
  RefuseHopeless(step, queues);
}

}  // namespace siskindrum::dispatch
