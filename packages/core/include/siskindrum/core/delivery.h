#ifndef SISKINDRUM_CORE_DELIVERY_H_
#define SISKINDRUM_CORE_DELIVERY_H_

#include <cstdint>

#include "siskindrum/core/types.h"

namespace siskindrum::core {

// Tracks how much of its answer a caller has received, and the tokens dropped
// by cause. Owned by the thread that writes to the caller.
struct DeliveryCursor {
  RequestId request_;
  std::uint32_t attempt_ = 0;
  std::uint32_t next_position_ = 0;
  std::uint32_t dropped_other_attempt_ = 0;
  std::uint32_t dropped_duplicate_ = 0;
  std::uint32_t dropped_other_request_ = 0;
};

// Identifies one token that an engine sent.
struct TokenId {
  RequestId request_;
  std::uint32_t attempt_ = 0;
  std::uint32_t position_ = 0;
};

enum class DeliveryDecision { kDeliver, kDrop, kGap, kCount };

// Decides whether a token is delivered to the caller. Only the next position of
// the current attempt of the same request is delivered; a later position is a
// gap, which ends the attempt. Thread-safe: no.
DeliveryDecision AcceptToken(DeliveryCursor& cursor, const TokenId& token);

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_DELIVERY_H_
