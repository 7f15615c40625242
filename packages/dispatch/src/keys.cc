#include <algorithm>

#include "dispatcher_p.h"

namespace siskindrum::dispatch {

namespace {

static_assert(access::kMaxConfirmationMargin >=
                  kMaxDecisionAge + kServerConnectTimeout,
              "a request must be written to its server within the margin");

access::View MakeView(const Dispatcher& dispatcher) {
  const core::Configuration* configuration =
      dispatcher.configuration_.current_.get();
  return {configuration == nullptr ? nullptr : &configuration->rules_,
          dispatcher.confirmation_, dispatcher.options_.revocation_limit_};
}

access::Decision DecideKey(const Step& step, const ActiveCall& call) {
  return access::Decide(MakeView(step.dispatcher_), call.call_.key_,
                        call.rule_->outcome_.public_, step.now_);
}

void SetOrganisation(ActiveCall& call, const core::Organisation* organisation) {
  call.organisation_ = organisation == nullptr ? "" : organisation->name_;
  const std::uint32_t rank =
      call.rule_ == nullptr ? 0 : call.rule_->outcome_.rank_;
  call.urgency_ =
      organisation == nullptr ? rank : organisation->rank_.value_or(rank);
}

// Returns whether the confirmation is about the configuration in use or an
// older one. It is not when the store's configuration was not taken, or was
// lost on its way here.
bool IsAbout(const ConfigurationConfirmed& event,
             const core::Configuration& current) {
  return event.revision_ < current.revision_ ||
         (event.revision_ == current.revision_ &&
          event.digest_ == current.digest_);
}

}  // namespace

bool HasOrganisations(const core::ConfigurationState& configuration) {
  return configuration.current_ != nullptr &&
         !configuration.current_->rules_.organisations_.empty();
}

void ReadOrganisation(const Step& step, ActiveCall& call) {
  if (HasOrganisations(step.dispatcher_.configuration_)) {
    const core::Organisation* organisation =
        access::FindOrganisation(call.configuration_->rules_, call.call_.key_);
    call.call_.shape_.organisation_ =
        organisation == nullptr ? "" : organisation->name_;
  }
}

bool MayServeKey(const Step& step, const ActiveCall& call) {
  return DecideKey(step, call).reason_ == core::Reason::kNone;
}

bool RefuseKey(Step& step, ActiveCall& call) {
  const access::Decision decision = DecideKey(step, call);
  if (decision.reason_ == core::Reason::kNone) {
    // A request without an organisation on arrival was charged to none.
    const bool stays_without =
        !call.pool_.empty() && call.organisation_.empty();
    SetOrganisation(call, stays_without ? nullptr : decision.organisation_);
    return false;
  }
  call.retry_after_ = decision.retry_after_;
  FailCall(step, call, decision.reason_, decision.detail_);
  return true;
}

void OnConfirmed(Step& step, const ConfigurationConfirmed& event) {
  const auto& current = step.dispatcher_.configuration_.current_;
  if (current == nullptr || !IsAbout(event, *current)) {
    return;
  }
  access::Confirmation& confirmation = step.dispatcher_.confirmation_;
  if (event.only_keys_ == nullptr) {
    confirmation.at_ = std::max(confirmation.at_, event.confirmed_at_);
    confirmation.partly_keys_.reset();
  } else {
    confirmation.partly_at_ = event.confirmed_at_;
    confirmation.partly_keys_ = event.only_keys_;
  }
  if (HasOrganisations(step.dispatcher_.configuration_)) {
    ReportAccess(step);
  }
}

void OnRefusedAtHead(Step& step, const RefusedAtHead& event) {
  ++step.dispatcher_.counters_.arrived_;
  ActiveCall call;
  call.id_ = event.request_;
  call.call_ = event.call_;
  call.arrived_at_ = event.arrived_at_;
  call.configuration_ = event.configuration_;
  call.rule_ = event.rule_;
  AddDecision(step.dispatcher_, call);
  FailCall(step, call, event.reason_, event.detail_);
}

void ReportAccess(Step& step) {
  step.actions_.emplace_back(
      AccessChanged{step.dispatcher_.configuration_.current_,
                    step.dispatcher_.confirmation_});
}

}  // namespace siskindrum::dispatch
