#include <algorithm>

#include "absl/strings/str_cat.h"
#include "dispatcher_p.h"

namespace siskindrum::dispatch {

namespace {

double CostOf(const ActiveCall& call, const core::Quota& quota) {
  if (quota.unit_ == core::QuotaUnit::kRequests) {
    return 1;
  }
  const core::RequestShape& shape = call.call_.shape_;
  const double tokens =
      static_cast<double>(shape.prompt_tokens_) + shape.max_tokens_;
  return tokens > 0 ? tokens : quota.plain_tokens_;
}

// Number of entries known. Seeds count as entries, since one that starts in a
// partition hears only a part.
std::size_t CountQuotaEntries(const Dispatcher& dispatcher) {
  const Peers& peers = dispatcher.peers_;
  const auto other_seeds = static_cast<std::size_t>(std::count_if(
      peers.seeds_.begin(), peers.seeds_.end(), [&peers](const auto& seed) {
        return seed != peers.membership_.self_.address_;
      }));
  return std::max({dispatcher.quota_.entries_, peers.max_entries_seen_,
                   KnownEntryCount(peers), other_seeds + 1});
}

// Returns whether peers may still use loans of an earlier process of this
// entry. No loan outlives its term, and peers that answered have none.
bool InheritsLoans(const Step& step) {
  const Dispatcher& dispatcher = step.dispatcher_;
  const core::Nanoseconds inherited = std::max<core::Nanoseconds>(
      std::chrono::duration_cast<core::Nanoseconds>(quota::kLoanTerm *
                                                    quota::kLenderTermFactor),
      dispatcher.options_.quota_bounds_.window_);
  return dispatcher.options_.restarted_ &&
         step.now_ - dispatcher.started_at_ < inherited &&
         !quota::IsReleased(dispatcher.quota_, CountQuotaEntries(dispatcher));
}

// Number of entries that share the quotas; zero while it is unknown, or while
// an earlier process of this entry may have lent its share.
std::size_t QuotaSharers(const Step& step) {
  const Dispatcher& dispatcher = step.dispatcher_;
  const Peers& peers = dispatcher.peers_;
  const bool settled = step.now_ - std::max(peers.entry_count_grew_at_,
                                            dispatcher.started_at_) >=
                       kEntryCountSettleTime;
  if (dispatcher.quota_.entries_ == 0 &&
      (InheritsLoans(step) || (!peers.seeds_.empty() && !settled))) {
    return 0;
  }
  return CountQuotaEntries(dispatcher);
}

std::vector<std::string> ReachablePeers(const Step& step) {
  const core::Membership& membership = step.dispatcher_.peers_.membership_;
  std::vector<std::string> names;
  for (const auto& [name, member] : membership.members_) {
    if (!member.row_.address_.empty() && !member.row_.leaving_ &&
        core::IsHeard(membership, member, step.now_)) {
      names.push_back(name);
    }
  }
  return names;
}

void AskForLoans(Step& step) {
  Dispatcher& dispatcher = step.dispatcher_;
  if (!quota::NeedsLoans(dispatcher.quota_, step.now_)) {
    return;
  }
  for (quota::OutgoingAsk& asked :
       quota::PlanAsks(dispatcher.quota_, ReachablePeers(step), step.now_,
                       dispatcher.random_)) {
    SendToPeer(step, AddressOf(dispatcher, asked.lender_),
               std::move(asked.ask_));
  }
}

// Asks peers to end loans of an earlier process, so that this one owns its
// share before they run out.
void AskForRelease(Step& step) {
  Dispatcher& dispatcher = step.dispatcher_;
  if (!dispatcher.options_.restarted_ || dispatcher.quota_.entries_ > 0) {
    return;
  }
  for (quota::OutgoingAsk& asked : quota::PlanReleaseAsks(
           dispatcher.quota_, ReachablePeers(step), step.now_)) {
    SendToPeer(step, AddressOf(dispatcher, asked.lender_),
               std::move(asked.ask_));
  }
}

void ReturnLoans(Step& step) {
  for (quota::OutgoingReturn& returned :
       quota::PlanReturns(step.dispatcher_.quota_, step.now_)) {
    const std::string address = AddressOf(step.dispatcher_, returned.lender_);
    if (!address.empty()) {
      SendToPeer(step, address, std::move(returned.return_));
    }
  }
}

bool TryCharge(Step& step, ActiveCall& call, bool is_new, TimePoint* room_at) {
  const quota::Acquired acquired =
      quota::TryAcquire(step.dispatcher_.quota_, call.quota_organisation_,
                        call.quota_cost_, is_new, step.now_);
  call.quota_charged_ = acquired.outcome_ == quota::Outcome::kAdmitted;
  *room_at = acquired.room_at_;
  return call.quota_charged_;
}

void EndWait(Step& step, ActiveCall& call) {
  if (call.quota_wait_until_ != TimePoint{}) {
    call.quota_wait_until_ = {};
    quota::AddWaiting(step.dispatcher_.quota_, call.quota_organisation_,
                      -call.quota_cost_);
  }
}

Milliseconds QuotaWait(const ActiveCall& call) {
  const core::RuleOutcome& outcome = call.rule_->outcome_;
  const Milliseconds target = outcome.first_token_.count() > 0
                                  ? outcome.first_token_
                                  : outcome.timeout_;
  return std::min(kMaxQuotaWait, target / kQuotaWaitDivisor);
}

// Destroys `call`.
void RefuseByQuota(Step& step, ActiveCall& call, TimePoint room_at) {
  quota::QuotaState& state = step.dispatcher_.quota_;
  const TimePoint advised = quota::AdviseRetry(
      state, call.quota_organisation_, call.quota_cost_, room_at, step.now_);
  call.retry_after_ = std::max(
      Milliseconds(1), std::chrono::ceil<Milliseconds>(advised - step.now_));
  const quota::Account* account =
      quota::FindAccount(state, call.quota_organisation_);
  const std::string detail =
      account == nullptr
          ? "over the quota of its organisation"
          : absl::StrCat("over the quota of its organisation, costs ",
                         call.quota_cost_, ", this entry has ",
                         quota::SharePpm(state, *account, step.now_),
                         " ppm of the quota and ",
                         static_cast<std::int64_t>(
                             quota::TokensLeft(state, *account, step.now_)),
                         " left");
  FailCall(step, call, core::Reason::kOrganisationLimit, detail);
}

// Tries a waiting request again; refuses it when no loan can come in time.
void RetryByQuota(Step& step, ActiveCall& call) {
  TimePoint room_at{};
  if (TryCharge(step, call, false, &room_at)) {
    EndWait(step, call);
    RouteCall(step, call);
    return;
  }
  const bool may_come = room_at <= call.quota_wait_until_ ||
                        quota::MayBorrow(step.dispatcher_.quota_,
                                         call.quota_organisation_, step.now_);
  if (may_come && step.now_ < call.quota_wait_until_) {
    step.dispatcher_.quota_waiting_.push_back(call.id_);
  } else {
    RefuseByQuota(step, call, room_at);
  }
}

void RetryQuotaWaiting(Step& step) {
  Dispatcher& dispatcher = step.dispatcher_;
  std::vector<RequestId> order;
  order.swap(dispatcher.quota_waiting_);
  for (const RequestId& id : order) {
    const auto found = dispatcher.calls_.find(id);
    if (found != dispatcher.calls_.end()) {
      RetryByQuota(step, found->second);
    }
  }
}

}  // namespace

bool AdmitByQuota(Step& step, ActiveCall& call) {
  call.quota_organisation_ = call.organisation_;
  const core::Quota* quota =
      quota::FindQuota(step.dispatcher_.quota_, call.quota_organisation_);
  if (quota == nullptr) {
    return true;
  }
  call.quota_cost_ = CostOf(call, *quota);
  TimePoint room_at{};
  if (TryCharge(step, call, true, &room_at)) {
    return true;
  }
  call.quota_wait_until_ = step.now_ + QuotaWait(call);
  quota::AddWaiting(step.dispatcher_.quota_, call.quota_organisation_,
                    call.quota_cost_);
  AskForLoans(step);
  RetryByQuota(step, call);
  return false;
}

void SettleQuota(Step& step, ActiveCall& call) {
  EndWait(step, call);
  const bool is_at_server =
      !call.server_.empty() &&
      (call.stage_ == Stage::kPlain || call.stage_ == Stage::kDecode);
  if (call.quota_charged_ && !is_at_server &&
      call.run_state_ == RunState::kNotRun && !call.answer_begun_) {
    quota::Refund(step.dispatcher_.quota_, call.quota_organisation_,
                  call.quota_cost_, step.now_);
  }
  call.quota_charged_ = false;
}

void OnQuotaAsk(Step& step,
                const core::PeerMessage& message,
                const core::QuotaAsk& ask) {
  const std::string address = AddressOf(step.dispatcher_, message.from_);
  if (!address.empty()) {
    SendToPeer(step, address,
               quota::HandleAsk(step.dispatcher_.quota_, message.from_,
                                message.from_incarnation_, ask, step.now_));
  }
}

void OnQuotaLoan(Step& step,
                 const core::PeerMessage& message,
                 const core::QuotaLoan& loan) {
  quota::HandleLoan(step.dispatcher_.quota_, message.from_,
                    message.from_incarnation_, loan, step.now_);
  RetryQuotaWaiting(step);
  AskForLoans(step);
}

void OnQuotaReturn(Step& step,
                   const core::PeerMessage& message,
                   const core::QuotaReturn& returned) {
  quota::HandleReturn(step.dispatcher_.quota_, message.from_,
                      message.from_incarnation_, returned, step.now_);
  RetryQuotaWaiting(step);
}

void ConfigureQuotas(Step& step) {
  const auto& configuration = step.dispatcher_.configuration_.current_;
  quota::SetQuotas(step.dispatcher_.quota_,
                   configuration->rules_.organisations_, step.now_);
}

void UpdateQuotas(Step& step) {
  Dispatcher& dispatcher = step.dispatcher_;
  if (dispatcher.quota_.quotas_.empty()) {
    return;
  }
  const std::size_t entries = QuotaSharers(step);
  if (entries != dispatcher.quota_.entries_) {
    step.actions_.emplace_back(core::LogEvent{
        "quota_share_changed",
        {{"entries", std::to_string(entries)},
         {"before", std::to_string(dispatcher.quota_.entries_)}}});
  }
  quota::SetEntryCount(dispatcher.quota_, entries, step.now_);
  quota::Tick(dispatcher.quota_, step.now_);
  AskForRelease(step);
  AskForLoans(step);
  ReturnLoans(step);
  RetryQuotaWaiting(step);
}

}  // namespace siskindrum::dispatch
