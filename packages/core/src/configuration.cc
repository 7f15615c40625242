#include "siskindrum/core/configuration.h"

namespace siskindrum::core {

OfferOutcome OfferConfiguration(ConfigurationState& state,
                                std::shared_ptr<const Configuration> offered,
                                TimePoint now) {
  if (state.current_ != nullptr) {
    const Configuration& current = *state.current_;
    if (offered->revision_ < current.revision_) {
      ++state.stale_offers_;
      return OfferOutcome::kOlder;
    }
    if (offered->revision_ == current.revision_) {
      if (offered->digest_ == current.digest_) {
        return OfferOutcome::kSame;
      }
      ++state.conflicts_;
      return OfferOutcome::kConflict;
    }
  }
  if (offered->revision_ < state.heard_revision_) {
    ++state.stale_offers_;
    return OfferOutcome::kBehindPeers;
  }
  state.current_ = std::move(offered);
  state.changed_at_ = now;
  return OfferOutcome::kTaken;
}

const char* ToString(OfferOutcome offer) {
  static constexpr const char* kNames[] = {"taken", "same", "older", "conflict",
                                           "behind_peers"};
  return kNames[static_cast<int>(offer)];
}

}  // namespace siskindrum::core
