#include <algorithm>
#include <cmath>

#include "account_p.h"
#include "siskindrum/core/hash.h"

namespace siskindrum::quota {

namespace {

constexpr double kMilli = 1000;  // Messages count tokens in thousandths.

std::int64_t ScalePpm(std::int64_t ppm, double factor) {
  return static_cast<std::int64_t>(static_cast<double>(ppm) * factor);
}

std::uint32_t ToRowPpm(std::int64_t ppm) {
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(ppm, 0, kWholePpm));
}

// Smallest part of a quota that is worth a loan.
std::int64_t MinPart(const QuotaState& state) {
  return std::clamp<std::int64_t>(ScalePpm(state.base_ppm_, kMinPartOfBase), 1,
                                  kMaxMinPartPpm);
}

double MessageBytes(std::size_t rows) {
  return kMessageBytes + kRowBytes * static_cast<double>(rows);
}

void Accrue(ByteBudget& budget, double per_second, TimePoint now) {
  if (budget.counted_at_ != TimePoint{}) {
    const std::chrono::duration<double> passed = now - budget.counted_at_;
    budget.left_ =
        std::min(kAskBytesBurst, budget.left_ + per_second * passed.count());
  }
  budget.counted_at_ = now;
}

// Takes `part` of the share `whole` that the account holds, as tokens in
// thousandths. Requires: the part is within the share.
std::int64_t TakeTokens(Account& account,
                        std::int64_t part,
                        std::int64_t whole) {
  if (account.tokens_ <= 0 || part <= 0) {
    return 0;
  }
  const double tokens =
      account.tokens_ * static_cast<double>(part) / static_cast<double>(whole);
  const double counted = std::floor(tokens * kMilli);
  account.tokens_ -= counted / kMilli;
  return static_cast<std::int64_t>(counted);
}

void PutTokens(const QuotaState& state,
               Account& account,
               std::int64_t thousandths,
               TimePoint now) {
  account.tokens_ +=
      static_cast<double>(std::max<std::int64_t>(0, thousandths)) / kMilli;
  ApplyCap(state, account, now);
}

// Share that the account wants for its demand, beyond what it keeps for longer
// than kRenewBefore.
std::int64_t NeededPpm(const QuotaState& state,
                       const Account& account,
                       TimePoint now) {
  const std::int64_t wanted =
      std::min(kWholePpm, ScalePpm(DemandPpm(account, now), kDemandHeadroom));
  return wanted - SharePpm(state, account, now + kRenewBefore);
}

// Tokens that the waiting requests lack.
double MissingTokens(const QuotaState& state,
                     const Account& account,
                     TimePoint now) {
  return account.waiting_ <= 0
             ? 0
             : NeededTokens(state, account.quota_, account.waiting_, now) -
                   TokensLeft(state, account, now);
}

// Plans the asks of one moment and kind.
struct Planner {
  QuotaState& state_;
  const std::vector<std::string>& peers_;
  TimePoint now_;
  LoanKind kind_ = LoanKind::kSteady;
  std::map<std::string, std::vector<core::QuotaAskRow>> rows_{};
};

bool CanAsk(const Planner& planner,
            const Account& account,
            const std::string& peer) {
  const auto lender = account.lenders_.find({peer, planner.kind_});
  const auto rows = planner.rows_.find(peer);
  return (lender == account.lenders_.end() ||
          planner.now_ >= lender->second.next_ask_at_) &&
         (rows == planner.rows_.end() || rows->second.size() < kMaxRows);
}

// Adds a row to the message for the peer, if the budget allows it.
bool AddRow(Planner& planner,
            Account& account,
            const std::string& peer,
            const core::QuotaAskRow& row,
            bool renews = false) {
  auto& rows = planner.rows_[peer];
  const double bytes = rows.empty() ? MessageBytes(1) : kRowBytes;
  QuotaState& state = planner.state_;
  const bool is_short = planner.kind_ == LoanKind::kShort;
  ByteBudget& budget = is_short ? state.short_bytes_ : state.steady_bytes_;
  const bool may_be_fruitless = !is_short && !renews;
  if (budget.left_ < bytes ||
      (may_be_fruitless && state.fruitless_bytes_.left_ < bytes)) {
    return false;
  }
  budget.left_ -= bytes;
  state.fruitless_bytes_.left_ -= is_short ? 0 : bytes;
  rows.push_back(row);
  LenderState& lender = account.lenders_[{peer, planner.kind_}];
  const Milliseconds most =
      planner.kind_ == LoanKind::kShort
          ? kMaxAskBackoff
          : std::max<Milliseconds>(kMaxAskBackoff,
                                   kAskBackoff * planner.peers_.size());
  const Milliseconds backoff = std::min<Milliseconds>(
      most, kAskBackoff * (1 << std::min(lender.failures_, 7)));
  lender.next_ask_at_ = planner.now_ + backoff;
  ++lender.failures_;
  return true;
}

// Number of asks of this kind that may still be answered.
std::int64_t UnansweredAsks(const Planner& planner, std::uint64_t key) {
  const auto& pending = planner.state_.pending_;
  return std::count_if(pending.begin(), pending.end(), [&](const auto& entry) {
    const PendingAsk& ask = entry.second;
    return planner.now_ - ask.sent_at_ < kAskTimeout &&
           ask.lender_.second == planner.kind_ &&
           ask.organisations_.contains(key);
  });
}

core::QuotaAskRow MakeRow(const Planner& planner,
                          const Account& account,
                          std::uint64_t key) {
  core::QuotaAskRow row;
  row.organisation_ = key;
  row.share_ppm_ = ToRowPpm(SharePpm(planner.state_, account, planner.now_));
  row.demand_ppm_ = ToRowPpm(DemandPpm(account, planner.now_));
  return row;
}

// Share that a peer lends if it is idle.
std::int64_t ExpectedPpm(const Planner& planner) {
  const std::int64_t base =
      planner.state_.base_ppm_ > 0
          ? planner.state_.base_ppm_
          : kWholePpm / static_cast<std::int64_t>(planner.peers_.size() + 1);
  return std::max<std::int64_t>(1, ScalePpm(base, kExpectedPartOfBase));
}

// Asks lenders whose loans end soon, then other peers.
void PlanSteady(Planner& planner, std::uint64_t key, Account& account) {
  const QuotaState& state = planner.state_;
  const TimePoint now = planner.now_;
  const std::int64_t per_ask = ExpectedPpm(planner);
  std::int64_t need =
      NeededPpm(state, account, now) - UnansweredAsks(planner, key) * per_ask;
  if (need < MinPart(state)) {
    return;
  }
  core::QuotaAskRow row = MakeRow(planner, account, key);
  for (const auto& [lender, loan] : account.taken_) {
    if (need > 0 && lender.second == LoanKind::kSteady &&
        loan.expires_at_ <= now + kRenewBefore &&
        CanAsk(planner, account, lender.first)) {
      row.want_ppm_ = ToRowPpm(std::max(need, loan.share_ppm_));
      need -= AddRow(planner, account, lender.first, row, true)
                  ? loan.share_ppm_
                  : 0;
    }
  }
  for (const std::string& peer : planner.peers_) {
    if (need <= 0) {
      return;
    }
    if (account.taken_.contains({peer, LoanKind::kSteady}) ||
        !CanAsk(planner, account, peer)) {
      continue;
    }
    row.want_ppm_ = ToRowPpm(need);
    if (!AddRow(planner, account, peer, row)) {
      return;
    }
    need -= per_ask;
  }
}

// Asks peers for the tokens that waiting requests lack. Wants little more than
// that from all of them together, since what is left over is lost when the
// loans end.
void PlanShort(Planner& planner, std::uint64_t key, Account& account) {
  const QuotaState& state = planner.state_;
  const double per_ask = WholeCap(state, account.quota_) * kExpectedPartFull *
                         static_cast<double>(ExpectedPpm(planner)) /
                         static_cast<double>(kWholePpm);
  double missing = MissingTokens(state, account, planner.now_) -
                   per_ask * static_cast<double>(UnansweredAsks(planner, key));
  core::QuotaAskRow row = MakeRow(planner, account, key);
  // The share that holds the tokens until they are spent.
  const double held =
      NeededTokens(state, account.quota_, account.waiting_, planner.now_) /
      WholeCap(state, account.quota_);
  row.want_ppm_ = ToRowPpm(ScalePpm(kWholePpm, std::min(1.0, held)) + 1 -
                           SharePpm(state, account, planner.now_));
  for (const std::string& peer : planner.peers_) {
    if (missing <= 0) {
      return;
    }
    // A peer that lends for long has little left.
    if (account.taken_.contains({peer, LoanKind::kSteady}) ||
        !CanAsk(planner, account, peer)) {
      continue;
    }
    row.want_milli_ = static_cast<std::int64_t>(std::ceil(
        kMilli * std::clamp(missing, per_ask, kShortWantFactor * per_ask)));
    if (!AddRow(planner, account, peer, row)) {
      return;
    }
    missing -= per_ask;
  }
}

// Moves the planned rows into messages.
void SendRows(Planner& planner, std::vector<OutgoingAsk>& asks) {
  QuotaState& state = planner.state_;
  const Milliseconds term =
      planner.kind_ == LoanKind::kShort ? kShortLoanTerm : kLoanTerm;
  for (auto& [peer, rows] : planner.rows_) {
    if (rows.empty()) {
      continue;
    }
    PendingAsk pending{
        {peer, planner.kind_}, planner.now_, MessageBytes(rows.size()), {}};
    for (const core::QuotaAskRow& row : rows) {
      pending.organisations_.insert(row.organisation_);
    }
    const std::uint64_t number = ++state.last_number_;
    state.pending_[number] = std::move(pending);
    asks.push_back({peer, {number, term, std::move(rows)}});
    ++state.counters_.asks_sent_;
  }
}

std::int64_t GivenPpm(const Account& account) {
  std::int64_t total = 0;
  for (const auto& [borrower, loan] : account.given_) {
    total += loan.share_ppm_;
  }
  return total;
}

// Terms under which a part can be lent.
struct Grant {
  std::int64_t share_ppm_ = 0;  // Including what the borrower has already.
  core::Nanoseconds told_{0};
  TimePoint expires_at_{};
};

// The own part is lent for the whole term. A part that was itself borrowed is
// lent until the first of those loans ends.
Grant ChooseGrant(const QuotaState& state,
                  const Account& account,
                  const LoanGiven& old,
                  std::int64_t share,
                  Milliseconds term,
                  TimePoint now) {
  const std::int64_t own =
      state.base_ppm_ - (GivenPpm(account) - old.share_ppm_);
  const auto kept =
      std::chrono::duration_cast<core::Nanoseconds>(term * kLenderTermFactor);
  if (share <= own || 2 * own >= share) {
    return {std::min(share, own), term, now + kept};
  }
  TimePoint end = now + kept;
  for (const auto& [lender, loan] : account.taken_) {
    end = std::min(end, loan.expires_at_);
  }
  const auto told = std::chrono::duration_cast<core::Nanoseconds>(
      (end - now) / kLenderTermFactor);
  if (told < std::min(kMinTermLentOn, term / 2)) {
    return {std::max<std::int64_t>(0, own), term, now + kept};
  }
  return {share, told, end};
}

// Share that the lender can spare, so that both have the same share for their
// demand.
std::int64_t SparePpm(const Account& account,
                      const core::QuotaAskRow& row,
                      std::int64_t share,
                      TimePoint now) {
  if (account.waiting_ > 0) {
    return 0;
  }
  const auto own = static_cast<double>(DemandPpm(account, now));
  const auto theirs = static_cast<double>(row.demand_ppm_);
  const double all = static_cast<double>(share) + row.share_ppm_;
  const double fair = own > 0 ? all * own / (own + theirs) : 0;
  return share - static_cast<std::int64_t>(std::ceil(fair));
}

// Moves tokens for a waiting request, and no more of the share than the
// borrower needs to hold them.
void LendTokens(QuotaState& state,
                Account& account,
                const Borrower& borrower,
                const core::QuotaAsk& ask,
                const core::QuotaAskRow& row,
                TimePoint now,
                core::QuotaLoan& loan) {
  const double wanted = static_cast<double>(row.want_milli_) / kMilli;
  const double tokens = std::min(wanted, account.tokens_);
  if (account.waiting_ > 0 || tokens < wanted * kMinPartOfWant) {
    const core::Nanoseconds time =
        RoomAt(state, account, wanted * kWorthwhilePart, now) - now;
    loan.rows_.push_back(
        {row.organisation_, 0,
         std::max(kAskBackoff, std::chrono::ceil<Milliseconds>(time)), 0});
    return;
  }
  const std::int64_t share = SharePpm(state, account, now);
  core::QuotaLoanRow given;
  given.organisation_ = row.organisation_;
  given.term_ = std::clamp(ask.term_, Milliseconds(0), kShortLoanTerm);
  const std::int64_t part = std::min<std::int64_t>(
      row.want_ppm_, ScalePpm(share, tokens / account.tokens_));
  if (part > 0) {
    const LoanGiven old = account.given_[borrower];
    const Grant grant = ChooseGrant(state, account, old, old.share_ppm_ + part,
                                    given.term_, now);
    if (grant.share_ppm_ > old.share_ppm_ &&
        grant.expires_at_ >= old.expires_at_ && ask.number_ > old.number_) {
      given.share_ppm_ = ToRowPpm(grant.share_ppm_);
      given.term_ = std::chrono::floor<Milliseconds>(grant.told_);
      account.given_[borrower] = {ask.number_, grant.share_ppm_,
                                  grant.expires_at_};
    }
  }
  given.tokens_milli_ = static_cast<std::int64_t>(tokens * kMilli);
  account.tokens_ -= static_cast<double>(given.tokens_milli_) / kMilli;
  ApplyCap(state, account, now);
  loan.rows_.push_back(given);
  ++state.counters_.loans_given_;
}

void LendShare(QuotaState& state,
               Account& account,
               const Borrower& borrower,
               const core::QuotaAsk& ask,
               const core::QuotaAskRow& row,
               TimePoint now,
               core::QuotaLoan& loan) {
  const auto known = account.given_.find(borrower);
  const LoanGiven old =
      known == account.given_.end() ? LoanGiven{} : known->second;
  if (ask.number_ <= old.number_) {
    return;  // Delivered twice, or overtaken by a later ask.
  }
  const std::int64_t share = SharePpm(state, account, now);
  const std::int64_t spare = SparePpm(account, row, share, now);
  const std::int64_t wanted =
      static_cast<std::int64_t>(row.want_ppm_) - old.share_ppm_;
  const std::int64_t added =
      std::clamp<std::int64_t>(std::min(spare, wanted), 0, share);
  if (spare < 0 || (old.share_ppm_ == 0 && added < MinPart(state))) {
    return;
  }
  const Milliseconds term = std::clamp(ask.term_, Milliseconds(0), kLoanTerm);
  const Grant grant =
      ChooseGrant(state, account, old, old.share_ppm_ + added, term, now);
  // The borrower may never learn of this loan and use the old one to its end.
  if (grant.share_ppm_ <= 0 || grant.share_ppm_ < old.share_ppm_ ||
      grant.expires_at_ < old.expires_at_) {
    return;
  }
  core::QuotaLoanRow given;
  given.organisation_ = row.organisation_;
  given.share_ppm_ = ToRowPpm(grant.share_ppm_);
  given.term_ = std::chrono::floor<Milliseconds>(grant.told_);
  given.tokens_milli_ =
      TakeTokens(account, grant.share_ppm_ - old.share_ppm_, share);
  account.given_[borrower] = {ask.number_, grant.share_ppm_, grant.expires_at_};
  ApplyCap(state, account, now);
  loan.rows_.push_back(given);
  ++state.counters_.loans_given_;
}

void LendRow(QuotaState& state,
             const std::string& from,
             Incarnation from_incarnation,
             const core::QuotaAsk& ask,
             const core::QuotaAskRow& row,
             TimePoint now,
             core::QuotaLoan& loan) {
  Account* account = UseAccount(state, row.organisation_, now);
  if (account == nullptr || row.want_ppm_ > kWholePpm) {
    return;
  }
  if (row.want_milli_ <= 0) {
    LendShare(state, *account, {from, from_incarnation, LoanKind::kSteady}, ask,
              row, now, loan);
    return;
  }
  // Whoever is short has no tokens to lend either.
  LenderState& asker = account->lenders_[{from, LoanKind::kShort}];
  asker.next_ask_at_ =
      std::max<TimePoint>(asker.next_ask_at_, now + kAskBackoff);
  LendTokens(state, *account, {from, from_incarnation, LoanKind::kShort}, ask,
             row, now, loan);
}

void TakeRow(QuotaState& state,
             const Lender& lender,
             Incarnation lender_incarnation,
             std::uint64_t number,
             TimePoint sent_at,
             const core::QuotaLoanRow& row,
             TimePoint now) {
  const Milliseconds term = std::clamp(row.term_, Milliseconds(0), kLoanTerm);
  // From the time of the ask: the lender counts from a later time.
  const TimePoint expires_at = sent_at + term;
  Account* account = UseAccount(state, row.organisation_, now);
  if (account != nullptr && row.share_ppm_ == 0 && row.tokens_milli_ <= 0) {
    // It has none before this time.
    LenderState& refusing = account->lenders_[lender];
    refusing.next_ask_at_ = std::max(refusing.next_ask_at_, now + term);
    return;
  }
  if (account == nullptr || row.share_ppm_ > kWholePpm || now >= expires_at) {
    ++state.counters_.loans_late_;
    return;
  }
  // A loan contains the earlier ones of the same lender.
  if (row.share_ppm_ > 0 && account->taken_[lender].number_ < number) {
    account->taken_[lender] = {number, lender_incarnation, row.share_ppm_,
                               expires_at};
  }
  PutTokens(state, *account, row.tokens_milli_, now);
  account->lenders_[lender] = {now, 0};
  state.active_.insert(row.organisation_);
  ++state.counters_.loans_taken_;
}

// Returns the lender of a loan that is not needed, or nullptr.
const Lender* FindIdleLoan(const QuotaState& state,
                           const Account& account,
                           TimePoint now) {
  // What was lent on belongs to loans that must not end before.
  if (account.waiting_ > 0 || GivenPpm(account) > state.base_ppm_) {
    return nullptr;
  }
  const std::int64_t used = ScalePpm(DemandPpm(account, now), kIdleHeadroom);
  const std::int64_t share = SharePpm(state, account, now);
  for (const auto& [lender, loan] : account.taken_) {
    const core::Nanoseconds left = loan.expires_at_ - now;
    if (lender.second == LoanKind::kSteady && share - loan.share_ppm_ >= used &&
        left >= kMinTermReturned && left <= kLoanTerm - kMinTermReturned) {
      return &lender;
    }
  }
  return nullptr;
}

// Ends the loans of earlier processes of a lender, since its present process
// does not know of them. Returns false while one must go on because it was lent
// on.
bool EndEarlierLoans(QuotaState& state,
                     const std::string& lender,
                     Incarnation incarnation,
                     TimePoint now) {
  Incarnation& known = state.peer_incarnations_[lender];
  if (incarnation < known) {
    return false;
  }
  known = incarnation;
  bool ended = true;
  for (auto& [key, account] : state.accounts_) {
    Refresh(state, account, now);
    const auto is_earlier = [&](const auto& entry) {
      return entry.first.first == lender &&
             entry.second.lender_incarnation_ != incarnation;
    };
    if (GivenPpm(account) <= state.base_ppm_) {
      std::erase_if(account.taken_, is_earlier);
      ApplyCap(state, account, now);
    } else if (std::any_of(account.taken_.begin(), account.taken_.end(),
                           is_earlier)) {
      ended = false;
    }
  }
  return ended;
}

}  // namespace

std::vector<OutgoingAsk> PlanReleaseAsks(QuotaState& state,
                                         const std::vector<std::string>& peers,
                                         TimePoint now) {
  std::vector<OutgoingAsk> asks;
  if (now < state.next_release_ask_at_) {
    return asks;
  }
  state.next_release_ask_at_ = now + kAskBackoff;
  for (const std::string& peer : peers) {
    if (!state.released_by_.contains(peer)) {
      const std::uint64_t number = ++state.last_number_;
      state.pending_[number] = {{peer, LoanKind::kSteady}, now, 0, {}};
      asks.push_back({peer, {number, Milliseconds(0), {}}});
      ++state.counters_.asks_sent_;
    }
  }
  return asks;
}

bool IsReleased(const QuotaState& state, std::size_t entries) {
  return state.released_by_.size() + 1 >= entries;
}

bool NeedsLoans(const QuotaState& state, TimePoint now) {
  return !state.urgent_.empty() ||
         (now >= state.next_plan_at_ && !state.active_.empty());
}

std::vector<OutgoingAsk> PlanAsks(QuotaState& state,
                                  std::vector<std::string> peers,
                                  TimePoint now,
                                  std::mt19937_64& random) {
  Accrue(state.short_bytes_, kShortBytesPerSecond, now);
  Accrue(state.steady_bytes_, kSteadyBytesPerSecond, now);
  Accrue(state.fruitless_bytes_, kFruitlessBytesPerSecond, now);
  std::shuffle(peers.begin(), peers.end(), random);
  std::vector<OutgoingAsk> asks;
  Planner urgent{state, peers, now, LoanKind::kShort};
  for (const std::uint64_t key : state.urgent_) {
    PlanShort(urgent, key, state.accounts_.at(key));
  }
  SendRows(urgent, asks);
  if (now >= state.next_plan_at_) {
    state.next_plan_at_ = now + kPlanInterval;
    Planner steady{state, peers, now, LoanKind::kSteady};
    for (const std::uint64_t key : state.active_) {
      const auto found = state.accounts_.find(key);
      if (found != state.accounts_.end()) {
        PlanSteady(steady, key, found->second);
      }
    }
    SendRows(steady, asks);
  }
  return asks;
}

std::vector<OutgoingReturn> PlanReturns(QuotaState& state, TimePoint now) {
  for (const std::uint64_t key : state.active_) {
    const auto found = state.accounts_.find(key);
    if (found == state.accounts_.end()) {
      continue;
    }
    Account& account = found->second;
    const Lender* lender = FindIdleLoan(state, account, now);
    if (lender == nullptr || state.steady_bytes_.left_ < MessageBytes(1)) {
      continue;
    }
    state.steady_bytes_.left_ -= MessageBytes(1);
    Refresh(state, account, now);
    const auto loan = account.taken_.find(*lender);
    const std::int64_t share = SharePpm(state, account, now);
    const std::int64_t tokens =
        TakeTokens(account, std::min(loan->second.share_ppm_, share), share);
    std::vector<OutgoingReturn> returns{
        {loan->first.first, {loan->second.number_, {{key, tokens}}}}};
    account.taken_.erase(loan);
    ApplyCap(state, account, now);
    ++state.counters_.returned_;
    return returns;
  }
  return {};
}

core::QuotaLoan HandleAsk(QuotaState& state,
                          const std::string& from,
                          Incarnation from_incarnation,
                          const core::QuotaAsk& ask,
                          TimePoint now) {
  core::QuotaLoan loan{ask.number_, from_incarnation, {}};
  loan.holds_no_earlier_ = EndEarlierLoans(state, from, from_incarnation, now);
  const std::size_t rows = std::min(ask.rows_.size(), kMaxRows);
  for (std::size_t i = 0; i < rows; ++i) {
    LendRow(state, from, from_incarnation, ask, ask.rows_[i], now, loan);
  }
  return loan;
}

void HandleLoan(QuotaState& state,
                const std::string& from,
                Incarnation from_incarnation,
                const core::QuotaLoan& loan,
                TimePoint now) {
  const auto found = state.pending_.find(loan.number_);
  if (found == state.pending_.end() || found->second.lender_.first != from ||
      loan.to_incarnation_ != state.options_.incarnation_ ||
      from_incarnation < state.peer_incarnations_[from]) {
    ++state.counters_.loans_late_;
    return;
  }
  state.peer_incarnations_[from] = from_incarnation;
  if (loan.holds_no_earlier_) {
    state.released_by_.insert(from);
  }
  PendingAsk pending = state.pending_.extract(found).mapped();
  for (const core::QuotaLoanRow& row : loan.rows_) {
    if (pending.organisations_.erase(row.organisation_) > 0) {
      TakeRow(state, pending.lender_, from_incarnation, loan.number_,
              pending.sent_at_, row, now);
    }
  }
  if (pending.lender_.second == LoanKind::kSteady && !loan.rows_.empty()) {
    state.fruitless_bytes_.left_ =
        std::min(kAskBytesBurst, state.fruitless_bytes_.left_ + pending.bytes_);
  }
}

void HandleReturn(QuotaState& state,
                  const std::string& from,
                  Incarnation from_incarnation,
                  const core::QuotaReturn& returned,
                  TimePoint now) {
  for (const core::QuotaReturnRow& row : returned.rows_) {
    Account* account = UseAccount(state, row.organisation_, now);
    if (account == nullptr) {
      continue;
    }
    const auto loan =
        account->given_.find({from, from_incarnation, LoanKind::kSteady});
    if (loan == account->given_.end() ||
        loan->second.number_ != returned.number_) {
      continue;
    }
    account->given_.erase(loan);
    PutTokens(state, *account, row.tokens_milli_, now);
  }
}

}  // namespace siskindrum::quota
