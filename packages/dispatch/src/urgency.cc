#include <algorithm>
#include <map>

#include "absl/strings/str_cat.h"
#include "dispatcher_p.h"

namespace siskindrum::dispatch {

namespace {

admission::PoolAdmission& AdmissionOf(Step& step, const ActiveCall& call) {
  return step.dispatcher_.admission_[call.pool_];
}

// Null before anything was recorded for the pool.
const admission::PoolAdmission* FindAdmission(const Step& step,
                                              const ActiveCall& call) {
  const auto found = step.dispatcher_.admission_.find(call.pool_);
  return found == step.dispatcher_.admission_.end() ? nullptr : &found->second;
}

// Capacity that the request takes, in the unit of DecodeCapacity().
double CapacitySize(const PlacementRequest& request) {
  const bool counts_tokens = request.pool_settings_ != nullptr &&
                             request.pool_settings_->memory_tokens_ > 0;
  return counts_tokens ? static_cast<double>(request.prompt_tokens_) +
                             request.answer_tokens_
                       : 1;
}

admission::Demand MakeDemand(const Step& step, const ActiveCall& call) {
  return {call.urgency_, call.organisation_,
          CapacitySize(MakePlacementRequest(step, call)), MemoryTime(call)};
}

bool IsOverdue(const Step& step, const ActiveCall& call) {
  const Milliseconds target = call.rule_->outcome_.first_token_;
  return target.count() > 0 && step.now_ >= call.arrived_at_ + target;
}

admission::WaitingRequest DescribeWaiting(const Step& step,
                                          const ActiveCall& call) {
  admission::WaitingRequest waiting;
  waiting.demand_ = MakeDemand(step, call);
  if (call.answer_begun_) {
    waiting.timeliness_ = admission::Timeliness::kBegun;
    return waiting;
  }
  if (IsOverdue(step, call)) {
    waiting.timeliness_ = admission::Timeliness::kOverdue;
    return waiting;
  }
  waiting.time_left_ = SlackToTarget(step, call);
  if (waiting.time_left_ <= Milliseconds(0)) {
    waiting.timeliness_ = admission::Timeliness::kLate;
    waiting.time_left_ = std::chrono::ceil<Milliseconds>(
        call.arrived_at_ + call.rule_->outcome_.first_token_ - step.now_);
  }
  return waiting;
}

// Size of the waiting requests of this rank and more urgent ones, including
// this one.
double Backlog(const Step& step, const ActiveCall& call) {
  double size = 0;
  for (const auto& [id, other] : step.dispatcher_.calls_) {
    if (other.waiting_ && other.pool_ == call.pool_ &&
        other.urgency_ <= call.urgency_) {
      size += MakeDemand(step, other).size_;
    }
  }
  return size;
}

// True when a request waits that goes before a new one of this rank.
bool MustQueue(const Step& step, const ActiveCall& call) {
  return std::any_of(step.dispatcher_.waiting_.begin(),
                     step.dispatcher_.waiting_.end(), [&](const RequestId& id) {
                       const auto found = step.dispatcher_.calls_.find(id);
                       return found != step.dispatcher_.calls_.end() &&
                              found->second.waiting_ &&
                              found->second.pool_ == call.pool_ &&
                              (found->second.answer_begun_ ||
                               (found->second.urgency_ <= call.urgency_ &&
                                !IsOverdue(step, found->second)));
                     });
}

UrgencyQueues CollectQueues(const Step& step,
                            const std::vector<RequestId>& order) {
  UrgencyQueues queues;
  for (std::size_t i = 0; i < order.size(); ++i) {
    const ActiveCall& call = step.dispatcher_.calls_.at(order[i]);
    if (UsesAdmission(step, call)) {
      queues[call.pool_].places_.push_back(i);
      queues[call.pool_].ids_.push_back(order[i]);
    }
  }
  for (auto& [pool, queue] : queues) {
    std::stable_sort(queue.ids_.begin(), queue.ids_.end(),
                     [&step](const RequestId& a, const RequestId& b) {
                       return step.dispatcher_.calls_.at(a).arrived_at_ <
                              step.dispatcher_.calls_.at(b).arrived_at_;
                     });
    for (const RequestId& id : queue.ids_) {
      queue.waiting_.push_back(
          DescribeWaiting(step, step.dispatcher_.calls_.at(id)));
    }
  }
  return queues;
}

}  // namespace

bool UsesAdmission(const Step& step, const ActiveCall& call) {
  return call.rule_ != nullptr &&
         call.rule_->outcome_.kind_ == core::BackendKind::kEngine &&
         admission::UsesAdmission(step.dispatcher_.ranked_pools_, call.pool_);
}

void AdmitEngineCall(Step& step, ActiveCall& call) {
  if (!UsesAdmission(step, call)) {
    AssignDecodeEngine(step, call);
    return;
  }
  admission::RecordArrival(AdmissionOf(step, call), MakeDemand(step, call),
                           step.now_);
  if (MustQueue(step, call)) {
    Enqueue(step, call);
  } else {
    AssignDecodeEngine(step, call);
  }
}

void RecordGrant(Step& step, ActiveCall& call) {
  if (!UsesAdmission(step, call) || call.granted_at_ != TimePoint{}) {
    return;
  }
  call.granted_at_ = step.now_;
  ++step.dispatcher_.counters_
        .granted_by_rank_[admission::ClampRank(call.urgency_)];
  admission::RecordGrant(AdmissionOf(step, call), MakeDemand(step, call),
                         step.now_);
}

void RecordCapacityRelease(Step& step, const ActiveCall& call) {
  if (call.granted_at_ == TimePoint{} || !call.answer_begun_ ||
      call.decode_server_.empty()) {
    return;
  }
  admission::RecordHoldTime(
      AdmissionOf(step, call),
      std::chrono::duration_cast<Milliseconds>(step.now_ - call.granted_at_));
}

void RecordShortage(Step& step, const ActiveCall& call) {
  if (UsesAdmission(step, call)) {
    admission::RecordShortage(AdmissionOf(step, call), call.urgency_,
                              step.now_);
  } else {
    step.dispatcher_.shortage_until_ = step.now_ + kShortageTime;
  }
}

bool IsCapacityShort(const Step& step, const ActiveCall& call) {
  if (!UsesAdmission(step, call)) {
    return step.now_ < step.dispatcher_.shortage_until_;
  }
  const admission::PoolAdmission* pool = FindAdmission(step, call);
  return pool != nullptr && admission::IsShort(*pool, call.urgency_, step.now_);
}

bool LeavesHeadroom(const Step& step,
                    const ActiveCall& call,
                    const PlacementRequest& request,
                    const ServerState& engine) {
  const admission::PoolAdmission* pool = FindAdmission(step, call);
  if (pool == nullptr || call.answer_begun_ || !UsesAdmission(step, call)) {
    return true;
  }
  admission::Capacity capacity =
      DecodeCapacity(step.dispatcher_.pool_, request, engine, step.now_);
  capacity.entries_ = 1 + step.dispatcher_.use_.entries_.size();
  return admission::LeavesHeadroom(*pool, call.urgency_, CapacitySize(request),
                                   capacity, step.now_);
}

UrgencyQueues OrderByUrgency(Step& step, std::vector<RequestId>& order) {
  UrgencyQueues queues = CollectQueues(step, order);
  for (auto& [pool, queue] : queues) {
    queue.sorted_ = admission::OrderWaiting(step.dispatcher_.admission_[pool],
                                            queue.waiting_, step.now_);
    for (std::size_t i = 0; i < queue.sorted_.size(); ++i) {
      order[queue.places_[i]] = queue.ids_[queue.sorted_[i]];
    }
  }
  return queues;
}

void RefuseHopeless(Step& step, UrgencyQueues& queues) {
  std::unordered_map<RequestId, ActiveCall, core::RequestIdHash>& calls =
      step.dispatcher_.calls_;
  for (auto& [pool, pool_queue] : queues) {
    UrgencyQueue& queue = pool_queue;
    std::erase_if(queue.sorted_, [&](std::size_t i) {
      const auto found = calls.find(queue.ids_[i]);
      return found == calls.end() || !found->second.waiting_;
    });
    for (const std::size_t i :
         admission::FindHopeless(step.dispatcher_.admission_[pool],
                                 queue.waiting_, queue.sorted_, step.now_)) {
      FailForCapacity(step, calls.at(queue.ids_[i]),
                      "those before it need it for longer than it can wait");
    }
  }
}

void FailForCapacity(Step& step, ActiveCall& call, const std::string& cause) {
  std::string detail =
      absl::StrCat("pool ", call.pool_, " has no free decode capacity");
  if (UsesAdmission(step, call)) {
    const std::uint32_t rank = admission::ClampRank(call.urgency_);
    ++step.dispatcher_.counters_.refused_by_rank_[rank];
    call.retry_after_ = admission::RetryAfter(AdmissionOf(step, call), rank,
                                              Backlog(step, call), step.now_);
    absl::StrAppend(&detail, " for rank ", rank, ": ", cause);
  }
  FailCall(step, call, core::Reason::kOverloaded, detail);
}

std::optional<std::uint32_t> EnginePriority(const Step& step,
                                            const ActiveCall& call) {
  const bool told =
      call.rule_->outcome_.kind_ == core::BackendKind::kEngine &&
      admission::HasSeveralRanks(step.dispatcher_.ranked_pools_, call.pool_);
  return told ? std::optional(admission::ClampRank(call.urgency_))
              : std::nullopt;
}

void AddUrgency(const Step& step, const ActiveCall& call, core::LogEvent& log) {
  if (UsesAdmission(step, call)) {
    log.fields_.push_back({"rank", std::to_string(call.urgency_)});
  }
}

}  // namespace siskindrum::dispatch
