#ifndef SISKINDRUM_CORE_LIMITS_H_
#define SISKINDRUM_CORE_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "siskindrum/core/types.h"

namespace siskindrum::core {

// Tunables of the decisions, in one place.

// Tokens a memory piece holds.
inline constexpr std::uint32_t kPieceTokens = 2000;
// Decode slots before a report.
inline constexpr std::uint32_t kDefaultSlots = 20;
inline constexpr std::uint32_t kCellServers = 12;  // Servers in one cell.

inline constexpr Milliseconds kInitialSuspension{500};
inline constexpr Milliseconds kMaxSuspension{8000};
// Before a hold may be dropped.
inline constexpr Milliseconds kHoldCheckAge{3000};
inline constexpr int kHoldMissedPolls = 3;
// Beyond any lag of load.
inline constexpr Milliseconds kReleasedHoldRetention{10000};
// What a server in the caller's entry's own failure domain is worth.
inline constexpr Milliseconds kLocalPrefillBonus{30};
inline constexpr double kLocalSlotBonus = 4.0;
inline constexpr Milliseconds kPrefixHintRetention{20000};
inline constexpr std::size_t kMaxPrefixHintsPerServer = 256;

// Without a first token target.
inline constexpr Milliseconds kDefaultFirstTokenWait{30000};
// Until a silent home is passed over.
inline constexpr Milliseconds kLeaseReplyTimeout{250};
inline constexpr Milliseconds kPlacementRetryDelay{
    20};  // After a home that left.
inline constexpr Milliseconds kRouterTickInterval{10};
inline constexpr std::size_t kMaxQueueLength =
    4096;  // Waiting requests per cell.

inline constexpr Milliseconds kCancelRetry{250};
inline constexpr Milliseconds kCancelTimeout{30000};
inline constexpr Milliseconds kSweepInterval{500};
inline constexpr Milliseconds kUnclaimedHoldGrace{
    1500};  // Age of an unclaimed hold.

inline constexpr double kRetryBudgetRatio = 0.1;  // Retries per request.
inline constexpr double kRetryBudgetBurst = 5.0;

// A small fleet tells everything to everyone often; a large one tells a few
// rows to a few, so that an entry's control traffic does not grow with it.
inline constexpr std::size_t kSmallFleetEntries = 8;  // Other entries.
inline constexpr Milliseconds kGossipInterval{500};
inline constexpr std::size_t kGossipFanOut = 4;
inline constexpr std::size_t kMaxGossipRows = 16;
inline constexpr Milliseconds kLargeFleetGossipInterval{1000};
inline constexpr std::size_t kLargeFleetGossipFanOut = 2;
inline constexpr std::size_t kLargeFleetMaxGossipRows = 10;
inline constexpr Milliseconds kSuspectTimeout{2500};
inline constexpr Milliseconds kSuspectTimeoutPerMember{
    600};  // Of the failure domain.
inline constexpr Milliseconds kMaxSuspectTimeout{45000};
inline constexpr Milliseconds kUnreachableTime{
    10000};  // After a send that failed.
inline constexpr Milliseconds kMemberRetention{120000};

// Skew between entries' clocks.
inline constexpr Milliseconds kMaxClockSkew{500};
// From decision to first byte.
inline constexpr Milliseconds kSendMaxAge{1000};
inline constexpr Milliseconds kForwardRetry{300};
inline constexpr Milliseconds kCallRecordRetention{600000};
inline constexpr std::size_t kMaxClosedIntervals = 8;
inline constexpr std::size_t kMaxCallRecords = 100000;
inline constexpr std::size_t kMaxStoredAnswerBytes = 64 * 1024;

inline constexpr Milliseconds kPrefillHold{
    900};                                // Asked of the prefill engine.
inline constexpr int kMaxReimports = 2;  // Per prefill result.
inline constexpr Milliseconds kRelayInterval{300};  // Between asks for a body.
inline constexpr std::size_t kWatchersPerDomain = 2;
inline constexpr Milliseconds kSettleTimeAfterPause{1000};
inline constexpr Milliseconds kPauseThreshold{
    1500};  // Tick gap that means a pause.
// For peers' revisions at start.
inline constexpr Milliseconds kStartupPeerWait{1500};
inline constexpr std::size_t kMaxExplainRecords = 2000;

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_LIMITS_H_
