#ifndef SISKINDRUM_QUOTA_ACCOUNT_P_H_
#define SISKINDRUM_QUOTA_ACCOUNT_P_H_

#include "siskindrum/quota/quota.h"

namespace siskindrum::quota {

// account.cc: buckets.

// Returns the account with this key, created if the organisation has a limit,
// or nullptr. It is up to date at `now`.
Account* UseAccount(QuotaState& state, std::uint64_t key, TimePoint now);

// Adds what the bucket has gained since the last call, removes expired loans
// and applies the cap.
void Refresh(const QuotaState& state, Account& account, TimePoint now);

// Drops tokens above the cap, as after a share was given up.
void ApplyCap(const QuotaState& state, Account& account, TimePoint now);

// Tokens that the bucket of the whole quota holds.
double WholeCap(const QuotaState& state, const core::Quota& quota);

// Cost of the recent requests per second, as parts per million of the rate.
std::int64_t DemandPpm(const Account& account, TimePoint now);

// Tokens that the bucket must hold before a request is admitted: the rest
// becomes debt. Never below zero, so that each entry owes one request at most.
double NeededTokens(const QuotaState& state,
                    const core::Quota& quota,
                    double cost,
                    TimePoint now);

// Time at which the bucket holds `needed` tokens, at the share it has now or,
// without any, once the loans it gave have ended.
TimePoint RoomAt(const QuotaState& state,
                 const Account& account,
                 double needed,
                 TimePoint now);

// Debt that this entry may take on for one organisation. Less in the first
// window after a restart.
double DebtLimit(const QuotaState& state,
                 const core::Quota& quota,
                 TimePoint now);

}  // namespace siskindrum::quota

#endif  // SISKINDRUM_QUOTA_ACCOUNT_P_H_
