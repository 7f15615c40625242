#include "siskindrum/dispatch/preview.h"

#include <algorithm>

#include "dispatcher_p.h"

namespace siskindrum::dispatch {

namespace {

// No request that came from a caller has it.
constexpr RequestId kPreviewId{0, 0};
// Stages of one request that are decided on before its answer.
constexpr int kMaxStages = 4;

// A copy of the dispatcher, with what a request does to it.
struct Trial {
  Dispatcher dispatcher_;
  TimePoint now_{};
  std::vector<WeighedChoice> trace_;
  std::vector<Action> actions_;  // Of the last event.
};

void Handle(Trial& trial, const Event& event) {
  trial.actions_.clear();
  HandleEvent(trial.dispatcher_, event, trial.now_, trial.actions_);
}

// Returns the last action of this kind about the request, or null.
template <class Kind>
const Kind* FindAction(const Trial& trial) {
  const Kind* found = nullptr;
  for (const Action& action : trial.actions_) {
    const auto* each = std::get_if<Kind>(&action);
    if (each != nullptr && each->request_ == kPreviewId) {
      found = each;
    }
  }
  return found;
}

std::optional<Milliseconds> AgeOf(TimePoint then, TimePoint now) {
  if (then == TimePoint{}) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Milliseconds>(now - then);
}

void AddCandidates(const Dispatcher& dispatcher,
                   const WeighedChoice& choice,
                   TimePoint now,
                   Preview& preview) {
  for (const WeighedServer& weighed : choice.servers_) {
    const ServerState& server = dispatcher.pool_.servers_.at(weighed.name_);
    PreviewCandidate candidate;
    candidate.weighed_ = weighed;
    candidate.role_ = choice.role_;
    candidate.chosen_ = weighed.name_ == choice.chosen_;
    candidate.calls_ = server.calls_;
    candidate.held_tokens_ = server.held_tokens_;
    candidate.peer_held_tokens_ = server.peer_held_tokens_;
    candidate.measured_age_ =
        AgeOf(std::max({server.measured_at_, server.prefill_delay_.measured_at_,
                        server.transfer_delay_.measured_at_}),
              now);
    preview.candidates_.push_back(std::move(candidate));
  }
}

// Adds the servers among which `chosen` was chosen last; with no server chosen,
// those of the last choice.
void AddLastChoice(const Dispatcher& dispatcher,
                   const Trial& trial,
                   core::ServerRole role,
                   const std::string& chosen,
                   Preview& preview) {
  const auto found =
      std::find_if(trial.trace_.rbegin(), trial.trace_.rend(),
                   [&](const WeighedChoice& choice) {
                     return choice.role_ == role &&
                            (chosen.empty() || choice.chosen_ == chosen);
                   });
  if (found != trial.trace_.rend()) {
    AddCandidates(dispatcher, *found, trial.now_, preview);
  }
}

// Follows the request until it is sent to the server that answers it, or is
// refused or waits. Returns the last send, or null.
const StartAttempt* Follow(Trial& trial, Preview& preview) {
  const StartAttempt* start = FindAction<StartAttempt>(trial);
  for (int stage = 0; stage < kMaxStages && start != nullptr; ++stage) {
    preview.outcome_ = PreviewOutcome::kSent;
    if (start->stage_ == Stage::kPrefill) {
      preview.prefill_ = start->server_;
      preview.server_ = trial.dispatcher_.calls_.at(kPreviewId).decode_server_;
      return start;
    }
    preview.server_ = start->server_;
    if (start->stage_ != Stage::kReserve) {
      return start;
    }
    const ReserveDone granted{
        kPreviewId, start->attempt_, true, false, "preview", "", false};
    Handle(trial, granted);
    start = FindAction<StartAttempt>(trial);
  }
  return start;
}

// Returns the field of the last log line of this name.
std::string FindLogField(const Trial& trial,
                         const std::string& event,
                         const std::string& key) {
  for (const Action& action : trial.actions_) {
    const auto* log = std::get_if<core::LogEvent>(&action);
    if (log == nullptr || log->event_ != event) {
      continue;
    }
    for (const core::LogField& field : log->fields_) {
      if (field.key_ == key) {
        return field.value_;
      }
    }
  }
  return "";
}

// Reads what became of a request that was not sent.
void ReadUnsent(const Trial& trial, Preview& preview) {
  preview.server_.clear();
  const Refuse* refuse = FindAction<Refuse>(trial);
  if (refuse != nullptr) {
    preview.outcome_ = PreviewOutcome::kRefused;
    preview.refusal_ = refuse->verdict_;
    preview.cause_ = FindLogField(trial, "request_done", "detail");
    return;
  }
  const auto call = trial.dispatcher_.calls_.find(kPreviewId);
  const bool for_quota = call != trial.dispatcher_.calls_.end() &&
                         call->second.quota_wait_until_ != TimePoint{};
  preview.outcome_ =
      for_quota ? PreviewOutcome::kWaitsForQuota : PreviewOutcome::kWaits;
}

void ReadAges(const Dispatcher& dispatcher, TimePoint now, Preview& preview) {
  preview.confirmed_age_ = AgeOf(dispatcher.confirmation_.at_, now);
  preview.list_age_ = AgeOf(dispatcher.list_changed_at_, now);
  for (const auto& [name, report] : dispatcher.use_.entries_) {
    const auto age = AgeOf(report.heard_at_, now);
    preview.peers_age_ = std::max(preview.peers_age_, age);
  }
}

void ReadQuota(const Dispatcher& dispatcher, TimePoint now, Preview& preview) {
  for (const auto& [key, account] : dispatcher.quota_.accounts_) {
    if (!preview.organisation_.empty() &&
        account.name_ == preview.organisation_) {
      preview.quota_left_ = quota::TokensLeft(dispatcher.quota_, account, now);
    }
  }
}

std::string KeyOf(const core::Configuration* configuration,
                  const std::string& organisation) {
  if (configuration == nullptr) {
    return "";
  }
  const core::RuleSet& rules = configuration->rules_;
  const auto found = rules.organisation_by_name_.find(organisation);
  if (found == rules.organisation_by_name_.end()) {
    return "";
  }
  const auto& keys = rules.organisations_[found->second].keys_;
  return keys.empty() ? "" : keys.front();
}

}  // namespace

const char* ToString(PreviewOutcome outcome) {
  switch (outcome) {
    case PreviewOutcome::kSent:
      return "sent";
    case PreviewOutcome::kWaits:
      return "waits";
    case PreviewOutcome::kWaitsForQuota:
      return "waits_for_quota";
    case PreviewOutcome::kRefused:
      return "refused";
    case PreviewOutcome::kCount:
      break;
  }
  return "unknown";
}

Preview PreviewCall(const Dispatcher& dispatcher,
                    CallerCall call,
                    const std::string& organisation,
                    TimePoint now) {
  Preview preview;
  preview.configuration_ = dispatcher.configuration_.current_;
  preview.waiting_ = dispatcher.waiting_.size();
  call.label_ = "preview";
  if (!organisation.empty()) {
    call.key_ = KeyOf(preview.configuration_.get(), organisation);
  }
  Trial trial{dispatcher, now, {}, {}};
  trial.dispatcher_.trace_ = &trial.trace_;
  Handle(trial, CallArrived{kPreviewId, std::move(call), now});
  const core::DecisionRecord* record =
      FindDecision(trial.dispatcher_, "preview");
  preview.rule_ = record == nullptr ? nullptr : record->rule_;
  const auto active = trial.dispatcher_.calls_.find(kPreviewId);
  if (active != trial.dispatcher_.calls_.end()) {
    preview.pool_ = active->second.pool_;
    preview.organisation_ = active->second.organisation_;
    preview.rank_ = active->second.urgency_;
    preview.quota_cost_ = active->second.quota_cost_;
  } else if (record != nullptr) {
    preview.pool_ = record->rule_->outcome_.pool_;
    preview.organisation_ = record->shape_.organisation_;
  }
  ReadAges(dispatcher, now, preview);
  ReadQuota(dispatcher, now, preview);
  const StartAttempt* start = Follow(trial, preview);
  const bool is_plain = start != nullptr && start->stage_ == Stage::kPlain;
  if (start == nullptr) {
    ReadUnsent(trial, preview);
  }
  if (!preview.prefill_.empty()) {
    AddLastChoice(dispatcher, trial, core::ServerRole::kPrefill,
                  preview.prefill_, preview);
  }
  const bool plain_rule =
      preview.rule_ != nullptr &&
      preview.rule_->outcome_.kind_ == core::BackendKind::kPlain;
  AddLastChoice(
      dispatcher, trial,
      plain_rule ? core::ServerRole::kPlain : core::ServerRole::kDecode,
      preview.server_, preview);
  if (is_plain) {
    trial.dispatcher_.trace_ = nullptr;
    Step step{trial.dispatcher_, now, trial.actions_};
    preview.hedge_ =
        ForecastHedge(step, trial.dispatcher_.calls_.at(kPreviewId));
  }
  return preview;
}

}  // namespace siskindrum::dispatch
