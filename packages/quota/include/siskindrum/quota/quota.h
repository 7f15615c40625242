#ifndef SISKINDRUM_QUOTA_QUOTA_H_
#define SISKINDRUM_QUOTA_QUOTA_H_

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "siskindrum/core/organisation.h"
#include "siskindrum/core/peer_message.h"
#include "siskindrum/core/types.h"
#include "siskindrum/quota/limits.h"

// Quotas of organisations over all entries, without a shared counter. Each
// entry owns an equal base share of every quota and lends idle parts of it to
// entries that run short. All shares together never exceed the whole, and
// tokens move with the share they belong to, so all entries together admit no
// more than one bucket would, plus the bounded debt.
//
// Use, by one thread:
//
//   QuotaState state = MakeQuotaState({bounds, incarnation, is_first_start});
//   SetQuotas(state, organisations, now);       // on each configuration
//   SetEntryCount(state, entries, now);         // zero until it has settled
//   Acquired a = TryAcquire(state, "org", cost, /*is_new=*/true, now);
//   if (a.outcome_ == Outcome::kShort) {
//     AddWaiting(state, "org", cost);
//     // Send PlanAsks(). While MayBorrow(), try again when a loan arrives;
//     // else end the wait and refuse the request with AdviseRetry().
//   }
//   Refund(state, "org", cost, now);            // it has not run
//
// Every few ten milliseconds: Tick(), then send the results of PlanAsks() and
// PlanReturns(). Pass messages of peers to HandleAsk(), HandleLoan() and
// HandleReturn(). No function reads a clock; `now` must not decrease and must
// include the time in which the process was paused.
namespace siskindrum::quota {

using core::Incarnation;
using core::TimePoint;

struct QuotaOptions {
  core::QuotaBounds bounds_;
  Incarnation incarnation_ = 0;  // Of this process.
  // No earlier process of the deployment can have spent or lent anything, so
  // buckets start full.
  bool is_first_start_ = false;
};

// Share lent to a peer; this entry does not use it until `expires_at_`.
struct LoanGiven {
  std::uint64_t number_ = 0;  // Of the peer's ask.
  std::int64_t share_ppm_ = 0;
  TimePoint expires_at_{};
};

// Share borrowed from a peer, usable until `expires_at_`.
struct LoanTaken {
  std::uint64_t number_ = 0;  // Of this entry's ask.
  Incarnation lender_incarnation_ = 0;
  std::int64_t share_ppm_ = 0;
  TimePoint expires_at_{};
};

// What is known of a peer as a lender for one organisation.
struct LenderState {
  TimePoint next_ask_at_{};
  int failures_ = 0;  // Asks since its last loan.
};

// A loan is for the demand of some seconds or, for a short term, for the
// requests that wait. A lender has at most one of each kind with a borrower.
enum class LoanKind { kSteady, kShort, kCount };

// Key of a borrower. A process that was restarted is another borrower, since
// the loans of the earlier one still count.
struct Borrower {
  std::string name_;
  Incarnation incarnation_ = 0;
  LoanKind kind_ = LoanKind::kSteady;
  auto operator<=>(const Borrower&) const = default;  // NOLINT
};

using Lender = std::pair<std::string, LoanKind>;

// Cost of recent requests, each decaying with two time constants.
struct Demand {
  double fast_ = 0;
  double slow_ = 0;
  double fast_requests_ = 0;  // Their number, decaying like `fast_`.
  TimePoint begun_at_{};      // First request.
  TimePoint counted_at_{};
};

// This entry's part in the quota of one organisation.
struct Account {
  std::string name_;
  core::Quota quota_;
  double tokens_ = 0;  // Below zero: debt.
  TimePoint refilled_at_{};
  TimePoint used_at_{};
  std::map<Borrower, LoanGiven> given_;
  std::map<Lender, LoanTaken> taken_;
  std::map<Lender, LenderState> lenders_;
  Demand demand_;
  double waiting_ = 0;  // Cost of the requests that wait for loans.
  // Room up to then is promised to refused callers.
  TimePoint advised_until_{};
  std::uint64_t admitted_ = 0;
  std::uint64_t refused_ = 0;
};

struct PendingAsk {
  Lender lender_;
  TimePoint sent_at_{};
  double bytes_ = 0;
  std::set<std::uint64_t> organisations_;  // Without a loan so far.
};

// Limit on bytes sent.
struct ByteBudget {
  double left_ = 0;
  TimePoint counted_at_{};
};

struct QuotaCounters {
  std::uint64_t admitted_ = 0;
  std::uint64_t short_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t refunded_ = 0;
  std::uint64_t asks_sent_ = 0;  // Messages.
  std::uint64_t loans_given_ = 0;
  std::uint64_t loans_taken_ = 0;
  std::uint64_t loans_late_ = 0;  // Expired, repeated or meant for another.
  std::uint64_t returned_ = 0;
};

// State of one entry for all organisations with a limit.
struct QuotaState {
  QuotaOptions options_;
  std::size_t entries_ = 0;  // Zero: not settled.
  TimePoint started_at_{};   // First call of SetEntryCount.
  // Time from the start until the base share was owned. Bounds the debt in the
  // first window, since an earlier process may have left one.
  core::Nanoseconds time_without_base_{0};
  // Latest known process of each peer; loans of earlier ones are not taken.
  std::map<std::string, Incarnation> peer_incarnations_;
  // Peers that hold no loan of an earlier process of this entry.
  std::set<std::string> released_by_;
  TimePoint next_release_ask_at_{};
  TimePoint base_since_{};  // This entry owns its base share since then.
  std::int64_t base_ppm_ = 0;
  // By hash of the name: the limits, and the accounts in use.
  std::unordered_map<std::uint64_t, core::Quota> quotas_;
  std::unordered_map<std::uint64_t, Account> accounts_;
  std::set<std::uint64_t> active_;  // Accounts that may need loans.
  std::set<std::uint64_t> urgent_;  // Those whose requests wait.
  TimePoint next_plan_at_{};        // Of the others.
  std::map<std::uint64_t, PendingAsk> pending_;  // By number.
  std::uint64_t last_number_ = 0;
  ByteBudget short_bytes_{kAskBytesBurst, {}};
  ByteBudget steady_bytes_{kAskBytesBurst, {}};
  ByteBudget fruitless_bytes_{kAskBytesBurst, {}};
  TimePoint next_cleaning_at_{};
  QuotaCounters counters_;
};

enum class Outcome { kAdmitted, kShort, kCount };

struct Acquired {
  Outcome outcome_ = Outcome::kAdmitted;
  // If short: time at which there is room without a loan.
  TimePoint room_at_{};
};

// Message to a peer, given by its name.
struct OutgoingAsk {
  std::string lender_;
  core::QuotaAsk ask_;
};
struct OutgoingReturn {
  std::string lender_;
  core::QuotaReturn return_;
};

// Returns a state without quotas or shares. Thread-safe: yes. All functions
// below: thread-safe: no.
QuotaState MakeQuotaState(const QuotaOptions& options);

// Applies the limits of a configuration. Buckets are capped at once; loans keep
// their part of the changed quota.
void SetQuotas(QuotaState& state,
               const std::vector<core::Organisation>& organisations,
               TimePoint now);

// Sets the number of entries that share each quota. Requires: zero until the
// number has settled and no loan of an earlier process of this entry can still
// run, because of its age or IsReleased(); afterwards it never decreases.
void SetEntryCount(QuotaState& state, std::size_t entries, TimePoint now);

// Charges a request of the organisation. Admits everything of an organisation
// without a limit. `is_new` is false for a request that was short before and
// tries again.
Acquired TryAcquire(QuotaState& state,
                    const std::string& organisation,
                    double cost,
                    bool is_new,
                    TimePoint now);

// Gives back what TryAcquire() charged for a request that has not run.
void Refund(QuotaState& state,
            const std::string& organisation,
            double cost,
            TimePoint now);

// Records the cost of a request that waits for loans; a negative cost ends its
// wait.
void AddWaiting(QuotaState& state,
                const std::string& organisation,
                double cost);

// Returns true while an ask for the organisation may still be answered.
bool MayBorrow(const QuotaState& state,
               const std::string& organisation,
               TimePoint now);

// Returns when a refused request should be sent again, and sets that room
// aside: others that are refused are told later times.
TimePoint AdviseRetry(QuotaState& state,
                      const std::string& organisation,
                      double cost,
                      TimePoint room_at,
                      TimePoint now);

// Removes expired loans and idle accounts.
void Tick(QuotaState& state, TimePoint now);

// Returns true if PlanAsks() could ask for something. Cheaper than planning.
bool NeedsLoans(const QuotaState& state, TimePoint now);

// Returns the asks to send now, at most one of each kind for each peer. `peers`
// are the names of reachable peers.
std::vector<OutgoingAsk> PlanAsks(QuotaState& state,
                                  std::vector<std::string> peers,
                                  TimePoint now,
                                  std::mt19937_64& random);

// After a restart: asks the peers that may still hold loans of an earlier
// process of this entry to end them. Repeated until each has answered.
std::vector<OutgoingAsk> PlanReleaseAsks(QuotaState& state,
                                         const std::vector<std::string>& peers,
                                         TimePoint now);

// Returns true when none of `entries` entries holds a loan of an earlier
// process of this one.
bool IsReleased(const QuotaState& state, std::size_t entries);

// Returns the loans to give back because they are idle, at most one a call.
std::vector<OutgoingReturn> PlanReturns(QuotaState& state, TimePoint now);

// Returns the answer to an ask; it has no rows if nothing is lent. What it
// lends is given up already.
core::QuotaLoan HandleAsk(QuotaState& state,
                          const std::string& from,
                          Incarnation from_incarnation,
                          const core::QuotaAsk& ask,
                          TimePoint now);

// Takes what a peer lends. Ignores a loan that answers no ask of this process,
// has been taken before or has expired.
void HandleLoan(QuotaState& state,
                const std::string& from,
                Incarnation from_incarnation,
                const core::QuotaLoan& loan,
                TimePoint now);

// Takes back a loan that ends early.
void HandleReturn(QuotaState& state,
                  const std::string& from,
                  Incarnation from_incarnation,
                  const core::QuotaReturn& returned,
                  TimePoint now);

// Returns the share of the account that this entry may use now.
std::int64_t SharePpm(const QuotaState& state,
                      const Account& account,
                      TimePoint now);

// Returns the tokens in the bucket now, below zero for a debt.
double TokensLeft(const QuotaState& state,
                  const Account& account,
                  TimePoint now);

// Returns the limits of the organisation, or nullptr if it has none.
const core::Quota* FindQuota(const QuotaState& state,
                             const std::string& organisation);

// Returns the account of the organisation, or nullptr if it has no limit or was
// not used.
const Account* FindAccount(const QuotaState& state,
                           const std::string& organisation);

}  // namespace siskindrum::quota

#endif  // SISKINDRUM_QUOTA_QUOTA_H_
