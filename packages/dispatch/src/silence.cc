#include <algorithm>

#include "dispatcher_p.h"

namespace siskindrum::dispatch {

namespace {

// Returns whether a server that the request has not used could take it now.
bool HasOtherServer(const Step& step, const ActiveCall& call) {
  PlacementRequest request = MakePlacementRequest(step, call);
  request.avoid_.push_back(call.server_);
  const ServerPool& pool = step.dispatcher_.pool_;
  std::string other;
  if (call.stage_ == Stage::kPlain) {
    other = PlacePlain(pool, request, step.now_);
  } else {
    const EnginePlacement plan = PlaceDecode(pool, request, true, step.now_);
    other = plan.full_ ? "" : plan.decode_;
  }
  return !other.empty() &&
         std::find(request.avoid_.begin(), request.avoid_.end(), other) ==
             request.avoid_.end();
}

// Returns why the request has to stay where it is, or null when it may move.
const char* FindObstacle(Step& step, ActiveCall& call) {
  if (call.hedge_.has_value()) {
    return "hedged";
  }
  // After an abandoned prefill the decode engine prefills, and no retry of the
  // rule is used.
  const bool prefills = call.stage_ == Stage::kPrefill;
  if (!prefills && call.sends_ >= call.rule_->outcome_.retries_) {
    return "no_retry";
  }
  if (!prefills && !HasOtherServer(step, call)) {
    return "no_server";
  }
  if (!MayServeKey(step, call)) {
    return "no_key";
  }
  return GrantRepeat(step, call) ? nullptr : "no_repeat";
}

}  // namespace

void OnAttemptSilent(Step& step, ActiveCall& call) {
  const char* obstacle = FindObstacle(step, call);
  if (obstacle == nullptr) {
    step.actions_.emplace_back(AbandonAttempt{call.id_, call.attempt_});
    return;
  }
  if (call.silence_recorded_) {
    return;
  }
  call.silence_recorded_ = true;
  ++step.dispatcher_.counters_.silences_endured_;
  ServerState* server = FindServer(step.dispatcher_.pool_, call.server_);
  if (server != nullptr) {
    RecordFailure(*server, step.now_);
  }
  step.actions_.emplace_back(
      core::LogEvent{"attempt_silent",
                     {{"request", call.call_.label_},
                      {"attempt", std::to_string(call.attempt_)},
                      {"stage", ToString(call.stage_)},
                      {"server", call.server_},
                      {"ms", FormatMs(step.now_ - call.sent_at_)},
                      {"stays", obstacle}}});
}

}  // namespace siskindrum::dispatch
