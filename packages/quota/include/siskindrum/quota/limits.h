#ifndef SISKINDRUM_QUOTA_LIMITS_H_
#define SISKINDRUM_QUOTA_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "siskindrum/core/types.h"

namespace siskindrum::quota {

using core::Milliseconds;

// A whole quota, in the unit of shares.
inline constexpr std::int64_t kWholePpm = 1'000'000;

// Longest term of a loan. Long enough that renewals from 82 lenders stay within
// the control-traffic budget, short enough that an entry that was restarted
// soon owns its share again.
inline constexpr Milliseconds kLoanTerm{6000};
// Term of a loan for a waiting request: longer than its wait and the delivery
// at a busy entry, short so that the share is soon back where the next request
// may arrive.
inline constexpr Milliseconds kShortLoanTerm{400};
// A lender counts a term this much longer than the borrower, so that a
// difference between the speeds of their clocks does not double a share.
inline constexpr double kLenderTermFactor = 1.02;
// A loan is renewed this long before its end.
inline constexpr Milliseconds kRenewBefore{1000};
// A share that was itself borrowed is lent on only if at least this much of its
// term is left.
inline constexpr Milliseconds kMinTermLentOn{500};

// Time constants of the demand estimate. The fast one is used once it rests on
// enough requests: with fewer, chance would move shares between entries that
// have the same load.
inline constexpr Milliseconds kFastDemandTime{3000};
inline constexpr Milliseconds kSlowDemandTime{20000};
inline constexpr double kFastDemandRequests = 12;
// Factor between the demand estimate and the share that is asked for, so that
// arrivals above the mean find room.
inline constexpr double kDemandHeadroom = 1.2;
// A share is not moved in smaller parts than this fraction of a base share,
// except for a request that waits.
inline constexpr double kMinPartOfBase = 1.0;
// The same limit where base shares are large.
inline constexpr std::int64_t kMaxMinPartPpm = 20'000;
// Parts of the allowed overshoot by which buckets are larger than the burst,
// and by which they fill faster than the quota. The second makes up for tokens
// that are lost when loans end or a bucket overflows while another entry is
// short: up to a tenth, if all of many entries have a few callers each. The
// rest covers requests that are sent some time after they were charged.
inline constexpr double kOvershootInBuckets = 0.45;
inline constexpr double kOvershootInRate = 0.3;

// Interval at which accounts without waiting requests are planned for.
inline constexpr Milliseconds kPlanInterval{100};
// An ask without a loan in answer is repeated after this time, doubled with
// each failure up to the maximum; for steady loans the maximum is at least the
// first figure for each peer.
inline constexpr Milliseconds kAskBackoff{250};
inline constexpr Milliseconds kMaxAskBackoff{8000};
// An ask without any answer counts as unsuccessful after this time.
inline constexpr Milliseconds kAskTimeout{200};
// Part of a base share that an ask brings on average.
inline constexpr double kExpectedPartOfBase = 0.8;
// Part of a bucket that is expected to be full.
inline constexpr double kExpectedPartFull = 0.5;
// A lender with less than this part of what is wanted gives nothing.
inline constexpr double kMinPartOfWant = 0.05;
// It says when it will have this part.
inline constexpr double kWorthwhilePart = 0.5;
// Most that one peer is asked for a waiting request, as a multiple of what is
// expected of it.
inline constexpr double kShortWantFactor = 1.5;
// A loan is not needed if the rest exceeds the demand estimate by this factor.
inline constexpr double kIdleHeadroom = 1.8;
// Such a loan is returned if at least this much of its term has
// passed and at least this much is left.
inline constexpr Milliseconds kMinTermReturned{1000};

// Rows in one message. Messages with more organisations follow.
inline constexpr std::size_t kMaxRows = 32;
// Estimated size on the wire of a message without rows, with its HTTP/2 frames,
// and of a row.
inline constexpr double kMessageBytes = 130;
inline constexpr double kRowBytes = 28;
// Limits on the bytes of asks that this entry sends: of those for waiting
// requests, of those for steady loans, and of the latter of those that are no
// renewal and bring nothing. If all entries reach the first and third, they
// send just under 2 KB/s each with the answers. Only as many entries can reach
// the second as their peers have shares to lend.
inline constexpr double kShortBytesPerSecond = 1'000;
inline constexpr double kSteadyBytesPerSecond = 4'000;
inline constexpr double kFruitlessBytesPerSecond = 300;
inline constexpr double kAskBytesBurst = 14'000;

// Longest advice to a refused caller.
inline constexpr Milliseconds kMaxRetryAfter{10000};

// An account without loans is removed this long after its organisation left the
// configuration, or after its last use. Longer than any window and term, so
// that an organisation that comes back finds no second burst.
inline constexpr Milliseconds kAccountRetention{60000};

}  // namespace siskindrum::quota

#endif  // SISKINDRUM_QUOTA_LIMITS_H_
