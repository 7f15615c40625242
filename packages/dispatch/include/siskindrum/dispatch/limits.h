#ifndef SISKINDRUM_DISPATCH_LIMITS_H_
#define SISKINDRUM_DISPATCH_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "siskindrum/core/types.h"

namespace siskindrum::dispatch {

// Tunables of the decisions, in one place.

using core::Milliseconds;

// How long a server that vanished from the list may still be used when no
// listed one is left. Below the time within which a leaving server must get no
// new work (two seconds on the platforms known).
inline constexpr Milliseconds kUnlistedServerGrace{1500};
// A server that nobody lists or uses is forgotten after this.
inline constexpr Milliseconds kUnlistedServerRetention{5000};

inline constexpr Milliseconds kInitialSuspension{
    250};  // Doubles with each failure.
inline constexpr Milliseconds kMaxSuspension{4000};
inline constexpr Milliseconds kRefusalBackoff{
    100};                                        // After "not run" of a server.
inline constexpr double kErrorShareDecay = 0.9;  // Weight of the past errors.

// Expectations before anything was measured.
inline constexpr double kPrefillTokensPerMs = 50.0;
inline constexpr Milliseconds kPlainTime{60};
// Weight of one plain answer in the mean time of its server.
inline constexpr double kPlainTimeWeight = 0.2;
// A plain server counts as slow from this many times the time of the fastest.
// Half of that is forgotten in the time given, so that it is tried again.
inline constexpr double kSlowFactor = 1.5;
inline constexpr Milliseconds kSlowHalfLife{1000};
inline constexpr double kPrefillOverheadMs = 20.0;
inline constexpr double kTransferMs = 12.0;
// A decode engine that prefills itself does so at about half the speed.
inline constexpr double kDirectPrefillFactor = 2.0;
// Its own prefill also holds up every answer in progress there, so that waiting
// this much longer behind a prefill engine is preferred.
inline constexpr double kDirectPrefillPenaltyMs = 300.0;

// What a server in another failure domain must be better by.
inline constexpr double kRemotePlainPenaltyMs = 15.0;
inline constexpr double kRemotePrefillPenaltyMs = 25.0;
// Entries of other failure domains do not tell what they take of their engines.
inline constexpr double kRemoteDecodePenaltyMs = 210.0;

// A decision older than this is not sent.
inline constexpr Milliseconds kMaxDecisionAge{400};
inline constexpr Milliseconds kServerConnectTimeout{300};

// Patience before an idempotent call goes to another server.
inline constexpr Milliseconds kPlainFirstByteTimeout{260};
// Patience with a prefill: a multiple of what it should take, and no less than.
inline constexpr double kPrefillTimeoutFactor = 3.0;
inline constexpr Milliseconds kMinPrefillTimeout{350};
// Patience with the first event, beyond what the prefill should take.
inline constexpr Milliseconds kFirstEventTimeout{700};
// Between two events of a stream that may go on elsewhere.
inline constexpr Milliseconds kNextEventTimeout{900};

// Part of the bound on repeats that entries use: windows of different entries
// begin at different moments.
inline constexpr double kRepeatBoundFraction = 0.75;
// The entries known must not have grown in number for this long before an
// entry counts on its share of the bound.
inline constexpr Milliseconds kEntryCountSettleTime{3000};
// Entries that share the bound, as long as an entry knows no other.
inline constexpr std::size_t kDefaultRepeatSharers = 8;

// Reservation of a decode engine's place and memory: longer than a prefill
// takes, and how long the engine may take to say yes or no.
inline constexpr Milliseconds kMaxHoldTime{1200};
inline constexpr Milliseconds kReserveTimeout{120};
// A reservation this close to its end is not relied on.
inline constexpr Milliseconds kHoldExpiryMargin{100};
// After an engine had no room, unless an answer of this entry ends there.
inline constexpr Milliseconds kFullBackoff{60};
// After a request that could still be in time found no room, those that are
// late anyway get none.
inline constexpr Milliseconds kShortageTime{500};
// Longest wait for room; callers give up on a stream that has not begun soon
// afterwards.
inline constexpr Milliseconds kMaxCapacityWait{2500};
inline constexpr std::size_t kMaxReserveAttempts =
    8;  // In a row for one request.
// While room is scarce, an answer that is expected to take more than this part
// of its caller's time is denied room; expected lengths err on both sides.
inline constexpr double kAnswerTimeSlack = 1.1;
// Weight of one answer in the mean time of a token.
inline constexpr double kTokenTimeWeight = 0.05;
// Standard deviations by which an answer may turn out longer than likely before
// it outgrows its reservation. One that does may be stopped midway and read
// again; what it does not need is lost to others until its end.
inline constexpr double kReservedLengthDeviations = 1.5;
// Weight of the past answers' lengths when another one is taken.
inline constexpr double kLengthDecay = 0.99;
// Answers, and variance of their logarithm, that speak for the caller's own
// expectation.
inline constexpr double kLengthPriorAnswers = 4;
inline constexpr double kLengthPriorVariance = 0.1;
// From the end of a prefill to the first event, beside the transfer.
inline constexpr Milliseconds kFirstDecodeStepTime{60};

inline constexpr int kMaxConnectAttempts =
    3;  // For one request; nothing is sent.

// Advice to callers that are refused.
inline constexpr Milliseconds kRetryAfterNoServer{600};
inline constexpr Milliseconds kRetryAfterBusy{150};
// About as long as an answer holds its room.
inline constexpr Milliseconds kRetryAfterOverload{3500};

// Share of a pool's engines that should prefill; a smaller pool keeps what it
// has.
inline constexpr double kPrefillEngineRatio = 0.25;
inline constexpr std::size_t kRoleChangeMinEngines = 6;
// The list must not have changed for this long before engines are turned.
inline constexpr Milliseconds kRoleChangeSettleTime{1500};
// Until a turned engine is listed in its new role, at most.
inline constexpr Milliseconds kRoleChangeTimeout{12000};
// Orders are given this soon after the start or not at all.
inline constexpr Milliseconds kRoleChangeWindow{8000};

// After a start, prompts that engines kept from before are looked for this
// long.
inline constexpr Milliseconds kRetainedPromptLifetime{8000};
// When engines are asked after a start. An engine notices late that an entry
// which lost power reads no more, and keeps the prompt only from then on.
inline constexpr Milliseconds kRetainedPromptQueryTimes[] = {
    Milliseconds(0), Milliseconds(700), Milliseconds(2000)};

// Between two rounds of talk with other entries, and how many are told in each.
inline constexpr Milliseconds kPeerGossipInterval{1000};
inline constexpr std::size_t kPeerGossipFanOut = 2;
// An entry that learns no newer version by itself for this long asks a peer,
// and again after the pause.
inline constexpr Milliseconds kPeerPullDelay{1000};
inline constexpr Milliseconds kPeerPullInterval{500};

// Statements of the engines' use that this entry sends, over all peers: they
// come more rarely the more peers there are.
inline constexpr double kUsageMessagesPerSecond = 15;
inline constexpr Milliseconds kMinUsageInterval{
    100};  // At least between two rounds.
// An unchanged statement is repeated after this many rounds, and counts at its
// receiver for the time given.
inline constexpr int kUsageRepeatRounds = 2;
inline constexpr Milliseconds kUsageLifetime{4000};
// Entries of the own failure domain that are told in one round.
inline constexpr std::size_t kUsageFanOut = 16;

inline constexpr Milliseconds kTickInterval{20};
inline constexpr std::size_t kMaxDecisionRecords = 2000;
// Servers that an explanation lists beside the chosen one.
inline constexpr std::size_t kMaxExplainedCandidates = 16;

}  // namespace siskindrum::dispatch

#endif  // SISKINDRUM_DISPATCH_LIMITS_H_
