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

inline constexpr Milliseconds kSuspendAfterFailure{500};
inline constexpr Milliseconds kSuspendMaximum{8000};
// Before a hold may be dropped.
inline constexpr Milliseconds kHoldCheckAge{3000};
inline constexpr int kHoldMissedPolls = 3;
// Beyond any lag of load.
inline constexpr Milliseconds kReleasedMemory{10000};
// What a server in the caller's entry's own failure domain is worth.
inline constexpr Milliseconds kNearPrefill{30};
inline constexpr double kNearSlots = 4.0;
inline constexpr Milliseconds kPrefixHintAge{20000};
inline constexpr std::size_t kPrefixHintsPerServer = 256;

// Without a first token target.
inline constexpr Milliseconds kDefaultWait{30000};
// Until a silent home is passed over.
inline constexpr Milliseconds kGrantTimeout{250};
inline constexpr Milliseconds kSeekAgain{20};  // After a home that left.
inline constexpr Milliseconds kPumpInterval{10};
inline constexpr std::size_t kQueueLimit = 4096;  // Waiting requests per cell.

inline constexpr Milliseconds kCancelRetry{250};
inline constexpr Milliseconds kCancelGiveUp{30000};
inline constexpr Milliseconds kSweepInterval{500};
inline constexpr Milliseconds kSweepGrace{1500};  // Age of an unclaimed hold.

inline constexpr double kRetryBudgetRatio = 0.1;  // Retries per request.
inline constexpr double kRetryBudgetBurst = 5.0;

// A small fleet tells everything to everyone often; a large one tells a few
// rows to a few, so that an entry's control traffic does not grow with it.
inline constexpr std::size_t kSmallFleet = 8;  // Other entries.
inline constexpr Milliseconds kGossipInterval{500};
inline constexpr std::size_t kGossipFanOut = 4;
inline constexpr std::size_t kGossipRows = 16;
inline constexpr Milliseconds kLargeGossipInterval{1000};
inline constexpr std::size_t kLargeGossipFanOut = 2;
inline constexpr std::size_t kLargeGossipRows = 10;
inline constexpr Milliseconds kMemberSuspect{2500};
inline constexpr Milliseconds kSuspectPerMember{600};  // Of the failure domain.
inline constexpr Milliseconds kMemberSuspectMost{45000};
inline constexpr Milliseconds kUnreachable{10000};  // After a send that failed.
inline constexpr Milliseconds kMemberForget{120000};

// Skew between entries' clocks.
inline constexpr Milliseconds kClockAllowance{500};
// From decision to first byte.
inline constexpr Milliseconds kSendMaxAge{1000};
inline constexpr Milliseconds kForwardRetry{300};
inline constexpr Milliseconds kCallRecordAge{600000};
inline constexpr std::size_t kClosedIntervals = 8;
inline constexpr std::size_t kCallRecords = 100000;
inline constexpr std::size_t kStoredAnswerBytes = 64 * 1024;

inline constexpr Milliseconds kPrefillHold{
    900};                                        // Asked of the prefill engine.
inline constexpr int kReimports = 2;             // Per prefill result.
inline constexpr Milliseconds kRelayRetry{300};  // Between asks for a body.
inline constexpr std::size_t kWatchersPerDomain = 2;
inline constexpr Milliseconds kSettleAfterFreeze{1000};
inline constexpr Milliseconds kFreezeGap{1500};  // Tick gap that means a pause.
// For peers' revisions at start.
inline constexpr Milliseconds kStartupPeerWait{1500};
inline constexpr std::size_t kExplainRecords = 2000;

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_LIMITS_H_
