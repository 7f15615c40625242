#ifndef SISKINDRUM_DISPATCH_LIMITS_H_
#define SISKINDRUM_DISPATCH_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "siskindrum/core/types.h"

namespace siskindrum::dispatch {

// Limits, timeouts and weights of the dispatcher.

using core::Milliseconds;

// How long an unlisted server may still be used when no listed server is left.
// Must stay below the time after which a departing server may receive no new
// work: two seconds on the known platforms.
inline constexpr Milliseconds kUnlistedServerGrace{1500};
// An unlisted server without calls is removed from the pool after this time.
inline constexpr Milliseconds kUnlistedServerRetention{5000};
// How long a server process that announced its shutdown in an answer gets no
// new work. Longer than any server takes to leave.
inline constexpr Milliseconds kLeavingNoticeLifetime{600000};
// Servers whose notices are kept at a time.
inline constexpr std::size_t kMaxServerNotices = 4096;

// Suspension of a server after a failure. Doubles with each consecutive failure
// up to the maximum.
inline constexpr Milliseconds kInitialSuspension{250};
inline constexpr Milliseconds kMaxSuspension{4000};
// A server that refused a call as busy is suspended for this long.
inline constexpr Milliseconds kRefusalBackoff{100};
// Weight of the previous value in the moving average of a server's error share.
inline constexpr double kErrorShareDecay = 0.9;

// Defaults used until measurements are available.
inline constexpr double kDefaultPrefillTokensPerMs = 50.0;
inline constexpr Milliseconds kDefaultPlainTime{60};
// Smoothing weight of one sample in a server's mean response time.
inline constexpr double kPlainTimeWeight = 0.2;
// A plain server counts as slow when its mean response time exceeds that of the
// fastest by this factor. The excess decays with the half-life below, so that a
// slow server is tried again.
inline constexpr double kSlowFactor = 1.5;
inline constexpr Milliseconds kSlowHalfLife{1000};
// Part of the prefill time that does not depend on the prompt length.
inline constexpr double kPrefillOverheadMs = 20.0;
// Smoothing weight of one sample in a measured delay, and the time after which
// an unconfirmed delay counts half.
inline constexpr double kDelayWeight = 0.3;
inline constexpr Milliseconds kDelayHalfLife{500};
// Part of the KV transfer's time that does not depend on its size, and the
// factor of a transfer to another failure domain.
inline constexpr double kTransferOverheadMs = 12.0;
inline constexpr double kRemoteTransferFactor = 2.0;
// A decode engine prefills at about half the speed of a prefill engine.
inline constexpr double kDirectPrefillFactor = 2.0;
// A prefill on a decode engine also stalls every answer in progress there, so
// queueing this much longer at a prefill engine is preferred.
inline constexpr double kDirectPrefillPenaltyMs = 300.0;

// Penalties for servers in another failure domain.
inline constexpr double kRemotePlainPenaltyMs = 15.0;
inline constexpr double kRemotePrefillPenaltyMs = 25.0;
// Higher, because entries do not report engine usage across failure domains.
inline constexpr double kRemoteDecodePenaltyMs = 210.0;

// A request is not sent when its placement decision is older than this.
inline constexpr Milliseconds kMaxDecisionAge{400};
inline constexpr Milliseconds kServerConnectTimeout{300};

// First-byte timeout after which an idempotent call is sent to another server.
inline constexpr Milliseconds kPlainFirstByteTimeout{260};
// Prefill timeout: a multiple of the expected time, with a lower bound.
inline constexpr double kPrefillTimeoutFactor = 3.0;
inline constexpr Milliseconds kMinPrefillTimeout{350};
// Timeout of the first event, added to twice the expected prefill time.
inline constexpr Milliseconds kFirstEventTimeout{700};
// Timeout between two events of a stream that can resume on another engine.
inline constexpr Milliseconds kNextEventTimeout{900};

// Fraction of the repeat bound that entries use. Their windows are not aligned,
// so using all of it could exceed the bound.
inline constexpr double kRepeatBoundFraction = 0.75;
// Fraction of that which hedges may use, together with all other repeats.
inline constexpr double kHedgeBoundFraction = 0.5;
// The number of known entries must not have grown for this long before an entry
// uses its share of the bound.
inline constexpr Milliseconds kEntryCountSettleTime{3000};
// Number of entries assumed to share the bound while no other entry is known.
inline constexpr std::size_t kDefaultRepeatSharers = 8;

// Maximum lifetime of a reservation of a decode engine's slot and memory;
// longer than a prefill takes.
inline constexpr Milliseconds kMaxReservationTime{1200};
// Timeout of the reservation request.
inline constexpr Milliseconds kReserveTimeout{120};
// A reservation this close to its expiry is not used.
inline constexpr Milliseconds kReservationExpiryMargin{100};
// An engine that refused a reservation gets no further one for this long,
// unless an answer of this entry ends there.
inline constexpr Milliseconds kFullBackoff{60};
// After a request that can still meet its first-token target found no capacity,
// requests that would miss theirs are not admitted for this long.
inline constexpr Milliseconds kShortageTime{500};
// Longest wait for decode capacity; callers abandon a stream that has not begun
// soon afterwards.
inline constexpr Milliseconds kMaxCapacityWait{2500};
// Consecutive reservation attempts of one request before it waits for capacity.
inline constexpr std::size_t kMaxReserveAttempts = 8;
// While capacity is short, an answer whose expected duration exceeds the
// remaining time by more than this factor is not admitted. The slack allows for
// errors of the expected length in both directions.
inline constexpr double kAnswerTimeSlack = 1.1;
// Smoothing weight of one answer in the mean time per token.
inline constexpr double kTokenTimeWeight = 0.05;
// Margin of a reservation above the likely answer length, in standard
// deviations. An answer that outgrows its reservation may be preempted and
// prefilled again; unused reserved memory is unavailable to others until the
// answer ends.
inline constexpr double kReservedLengthDeviations = 2.0;
// Weight kept by earlier answer lengths when a new one is recorded.
inline constexpr double kLengthDecay = 0.99;
// Prior of the length estimate, centred on the caller's expected length: its
// weight in answers and the variance of the log length.
inline constexpr double kLengthPriorAnswers = 4;
inline constexpr double kLengthPriorVariance = 0.1;
// From the end of a prefill to the first event, without the KV transfer.
inline constexpr Milliseconds kFirstDecodeStepTime{60};

// A request fails after this many failed connects. They do not count as
// retries, because no byte was sent.
inline constexpr int kMaxConnectAttempts = 3;

// Retry-after advice to refused callers, before jitter.
inline constexpr Milliseconds kRetryAfterNoServer{600};
inline constexpr Milliseconds kRetryAfterBusy{150};
// About as long as an answer occupies a decode engine.
inline constexpr Milliseconds kRetryAfterOverload{3500};

// Fraction of a pool's engines that should prefill. Pools with fewer engines
// than the minimum keep their roles.
inline constexpr double kPrefillEngineRatio = 0.25;
inline constexpr std::size_t kRoleChangeMinEngines = 6;
// The list must not have changed for this long before roles are changed.
inline constexpr Milliseconds kRoleChangeSettleTime{1500};
// Longest time until an engine is listed in its new role.
inline constexpr Milliseconds kRoleChangeTimeout{12000};
// Roles are changed within this time after the start or not at all.
inline constexpr Milliseconds kRoleChangeWindow{8000};

// How long after a restart requests look for prompts retained by engines.
inline constexpr Milliseconds kRetainedPromptLifetime{8000};
// Times after a restart at which engines are asked for retained prompts.
// Several, because an engine retains a prompt only once it notices that the
// entry stopped reading, which is late when the entry lost power.
inline constexpr Milliseconds kRetainedPromptQueryTimes[] = {
    Milliseconds(0), Milliseconds(700), Milliseconds(2000)};

// Interval of gossip rounds, and the number of peers contacted in each.
inline constexpr Milliseconds kPeerGossipInterval{1000};
inline constexpr std::size_t kPeerGossipFanOut = 2;
// An entry that has lagged behind a peer's rules or server list for this long
// requests them from the peer, and repeats the request at the interval below.
inline constexpr Milliseconds kPeerPullDelay{1000};
inline constexpr Milliseconds kPeerPullInterval{500};

// Rate limit of engine usage reports sent by this entry to all peers together:
// the more peers, the less often each gets one.
inline constexpr double kUsageMessagesPerSecond = 15;
inline constexpr Milliseconds kMinUsageInterval{100};  // Between two rounds.
// An unchanged report is repeated after this many rounds. The receiver discards
// a report after the lifetime below.
inline constexpr int kUsageRepeatRounds = 2;
inline constexpr Milliseconds kUsageLifetime{4000};
// Entries of the same failure domain that get a report in one round.
inline constexpr std::size_t kUsageFanOut = 16;

// Weights of a confirmed crash and of a lost connection that may have had
// another cause.
inline constexpr std::uint32_t kConfirmedCrashWeight = 2;
inline constexpr std::uint32_t kUnconfirmedCrashWeight = 1;
// Weight of crashes with which the parts of a suspected request are
// quarantined, if it was the same set of parts each time.
inline constexpr std::uint32_t kMinCrashWeight = 4;
// The same for common parts of different sets, and the number of such sets.
inline constexpr std::uint32_t kMinCommonCrashWeight = 6;
inline constexpr std::size_t kMinDifferentSets = 3;
// Two reports of one crash of a server whose incarnation is unknown differ by
// less; an engine takes longer to start again.
inline constexpr Milliseconds kSameCrashTime{1000};
// A crash is evidence for this long.
inline constexpr Milliseconds kSuspicionLifetime{180000};
// An answer acquits its parts of crashes up to this much later.
inline constexpr Milliseconds kHarmlessLifetime{30000};
// An answer that was written for this long proves its parts harmless.
inline constexpr Milliseconds kHarmlessWritingTime{500};
// A lost connection counts as a crash if others to the same server were lost
// within this time, or if the answer's head had arrived and no event.
inline constexpr Milliseconds kCrashConfirmTime{250};
// A quarantine lasts this long after its last crash, doubled for each crash, up
// to the maximum.
inline constexpr Milliseconds kBaseQuarantineTerm{15000};
inline constexpr Milliseconds kMaxQuarantineTerm{3600000};
// After the end of a quarantine, one request in this time is sent on trial.
inline constexpr Milliseconds kTrialTime{10000};
// The ends of a quarantine at different entries are this far apart on average,
// longer than the result of a trial takes to reach the others.
inline constexpr Milliseconds kReleaseSpacing{2000};
inline constexpr Milliseconds kQuarantineExpiryInterval{1000};
inline constexpr std::size_t kMaxSuspicions = 64;
inline constexpr std::size_t kMaxQuarantinedSets = 32;
inline constexpr std::size_t kMaxHarmlessParts = 8192;
// Rows of each kind in one report to a peer.
inline constexpr std::size_t kMaxReportRows = 6;
// Peers that still blame a harmless part are told again after this time.
inline constexpr Milliseconds kAcquittalInterval{1000};
// Entries that get news of crashes at once, and the mean rate and largest burst
// of such messages.
inline constexpr std::size_t kNewsFanOut = 6;
inline constexpr double kNewsMessagesPerSecond = 6;
inline constexpr double kNewsBurst = 60;

// Longest wait of a request for a share of its organisation's quota that other
// entries lend: two round trips between failure domains, and a margin for busy
// entries; and the same as a fraction of the request's target.
inline constexpr Milliseconds kMaxQuotaWait{50};
inline constexpr int kQuotaWaitDivisor = 10;

inline constexpr Milliseconds kTickInterval{20};
inline constexpr std::size_t kMaxDecisionRecords = 2000;
// Candidate servers listed in a decision record.
inline constexpr std::size_t kMaxExplainedCandidates = 16;

}  // namespace siskindrum::dispatch

#endif  // SISKINDRUM_DISPATCH_LIMITS_H_
