#ifndef SISKINDRUM_CORE_DELIVERY_H_
#define SISKINDRUM_CORE_DELIVERY_H_

#include <cstdint>

#include "siskindrum/core/types.h"

namespace siskindrum::core {

// Position up to which a caller has received its answer. Owned by the thread
// that writes to the caller.
struct DeliveryCursor {
  RequestId request_;
  std::uint32_t attempt_ = 0;
  std::uint32_t next_position_ = 0;
  std::uint32_t dropped_other_attempt_ = 0;
  std::uint32_t dropped_duplicate_ = 0;
  std::uint32_t dropped_other_request_ = 0;
};

// One token as an engine sent it.
struct TokenId {
  RequestId request_;
  std::uint32_t attempt_ = 0;
  std::uint32_t position_ = 0;
};

enum class DeliveryDecision { kDeliver, kDrop, kGap, kCount };

// Decides whether a token goes to the caller: only the next position of the
// current attempt of this very request does; a token beyond it is a gap, which
// ends the attempt. Thread-safe: no.
DeliveryDecision AcceptToken(DeliveryCursor& cursor, const TokenId& token);

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_DELIVERY_H_
