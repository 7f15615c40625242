#include "siskindrum/core/delivery.h"

namespace siskindrum::core {

DeliveryDecision AcceptToken(DeliveryCursor& cursor, const TokenId& token) {
  if (token.request_ != cursor.request_) {
    ++cursor.dropped_other_request_;
    return DeliveryDecision::kDrop;
  }
  if (token.attempt_ != cursor.attempt_) {
    ++cursor.dropped_other_attempt_;
    return DeliveryDecision::kDrop;
  }
  if (token.position_ < cursor.next_position_) {
    ++cursor.dropped_duplicate_;
    return DeliveryDecision::kDrop;
  }
  if (token.position_ > cursor.next_position_) {
    return DeliveryDecision::kGap;
  }
  ++cursor.next_position_;
  return DeliveryDecision::kDeliver;
}

}  // namespace siskindrum::core
