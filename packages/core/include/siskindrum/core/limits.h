#ifndef SISKINDRUM_CORE_LIMITS_H_
#define SISKINDRUM_CORE_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "siskindrum/core/types.h"

namespace siskindrum::core {

// Limits, timeouts and intervals of the core.

// Tokens per memory piece, the unit in which engines report memory.
inline constexpr std::uint32_t kPieceTokens = 2000;
// Decode slots assumed until a server first reports its load.
inline constexpr std::uint32_t kDefaultSlots = 20;
inline constexpr std::uint32_t kCellServers = 12;  // Servers in one cell.

// Suspension of a failed server; doubles with each consecutive failure.
inline constexpr Milliseconds kInitialSuspension{500};
inline constexpr Milliseconds kMaxSuspension{8000};
// A hold is dropped if the engine does not report it in kMaxMissedPolls
// consecutive polls, counted once the hold is older than kHoldCheckAge.
inline constexpr Milliseconds kHoldCheckAge{3000};
inline constexpr int kMaxMissedPolls = 3;
// How long a released hold is remembered, so that a load report taken before
// the release does not count it again. Longer than any lag of load reports.
inline constexpr Milliseconds kReleasedHoldRetention{10000};
// Advantage in placement of a server in the failure domain of the entry that
// received the request: earlier prefill completion, and extra free slots.
inline constexpr Milliseconds kLocalPrefillBonus{30};
inline constexpr double kLocalSlotBonus = 4.0;
// How long a server is assumed to cache a prefix that it has prefilled.
inline constexpr Milliseconds kCachedPrefixRetention{20000};
inline constexpr std::size_t kMaxCachedPrefixesPerServer = 256;

// Maximum wait of requests without a first token target.
inline constexpr Milliseconds kDefaultFirstTokenWait{30000};
// How long to wait for a cell's home to reply before trying another cell.
inline constexpr Milliseconds kLeaseReplyTimeout{250};
// Delay before a new attempt after a cell's home refused because it is draining
// or has not taken over the cell yet.
inline constexpr Milliseconds kPlacementRetryDelay{20};
inline constexpr Milliseconds kRouterTickInterval{10};
inline constexpr std::size_t kMaxQueueLength = 4096;  // Requests per cell.

inline constexpr Milliseconds kCancelRetryInterval{250};
inline constexpr Milliseconds kCancelTimeout{30000};
inline constexpr Milliseconds kSweepInterval{500};
// Minimum age of a hold before its owner is asked whether the request is still
// in progress.
inline constexpr Milliseconds kUnclaimedHoldGrace{1500};

inline constexpr double kRetryBudgetRatio = 0.1;  // Retries per request.
inline constexpr double kRetryBudgetBurst = 5.0;

// Gossip in a small fleet is frequent and complete. In a large fleet each round
// sends a few rows to a few entries, so that the control traffic of one entry
// does not grow with the size of the fleet.
inline constexpr std::size_t kSmallFleetEntries = 8;  // Other entries.
inline constexpr Milliseconds kGossipInterval{500};
inline constexpr std::size_t kGossipFanOut = 4;
inline constexpr std::size_t kMaxGossipRows = 16;
inline constexpr Milliseconds kLargeFleetGossipInterval{1000};
inline constexpr std::size_t kLargeFleetGossipFanOut = 2;
inline constexpr std::size_t kLargeFleetMaxGossipRows = 10;
inline constexpr Milliseconds kSuspectTimeout{2500};
// In a large fleet: suspect timeout per other entry of the failure domain.
inline constexpr Milliseconds kSuspectTimeoutPerMember{600};
inline constexpr Milliseconds kMaxSuspectTimeout{45000};
inline constexpr Milliseconds kUnreachableTime{10000};  // After a failed send.
inline constexpr Milliseconds kMemberRetention{120000};

// Maximum clock skew between entries.
inline constexpr Milliseconds kMaxClockSkew{500};
// Maximum time from the decision to send a non-repeatable call to its first
// byte.
inline constexpr Milliseconds kMaxSendAge{1000};
inline constexpr Milliseconds kForwardRetryInterval{300};
inline constexpr Milliseconds kCallRecordRetention{600000};
inline constexpr std::size_t kMaxClosedIntervals = 8;
inline constexpr std::size_t kMaxCallRecords = 100000;
inline constexpr std::size_t kMaxStoredAnswerBytes = 64 * 1024;

// How long the prefill engine is asked to keep its result.
inline constexpr Milliseconds kPrefillHold{900};
inline constexpr int kMaxReimports = 2;  // Per prefill result.
// Minimum time between two requests to peers for a newer configuration or
// instance list.
inline constexpr Milliseconds kRelayInterval{300};
inline constexpr std::size_t kWatchersPerDomain = 2;
inline constexpr Milliseconds kSettleTimeAfterPause{1000};
// A longer gap between two ticks means that the process was paused.
inline constexpr Milliseconds kPauseThreshold{1500};
// How long a starting entry waits for gossip with the revisions of its peers.
inline constexpr Milliseconds kStartupPeerWait{1500};
inline constexpr std::size_t kMaxExplainRecords = 2000;

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_LIMITS_H_
