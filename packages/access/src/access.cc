#include "siskindrum/access/access.h"

#include <algorithm>

namespace siskindrum::access {

namespace {

using core::Reason;

bool IsRecent(core::TimePoint confirmed_at,
              core::Milliseconds max_age,
              core::TimePoint now) {
  return confirmed_at != core::TimePoint{} && now - confirmed_at < max_age;
}

// Returns whether the key was certainly not revoked within the limit.
bool IsConfirmed(const View& view,
                 const std::string& key,
                 core::TimePoint now) {
  if (view.revocation_limit_.count() == 0) {
    return true;
  }
  const core::Milliseconds max_age = MaxConfirmationAge(view.revocation_limit_);
  const Confirmation& confirmation = view.confirmation_;
  return IsRecent(confirmation.at_, max_age, now) ||
         (confirmation.partly_keys_ != nullptr &&
          confirmation.partly_keys_->contains(key) &&
          IsRecent(confirmation.partly_at_, max_age, now));
}

// Returns whether a key that the configuration lacks is certainly unknown.
bool IsCertainlyUnknown(const View& view,
                        const std::string& key,
                        core::TimePoint now) {
  const core::Milliseconds max_age =
      view.revocation_limit_.count() == 0
          ? kDefaultConfirmationAge
          : MaxConfirmationAge(view.revocation_limit_);
  const Confirmation& confirmation = view.confirmation_;
  return IsRecent(confirmation.at_, max_age, now) ||
         (confirmation.partly_keys_ != nullptr &&
          !confirmation.partly_keys_->contains(key) &&
          IsRecent(confirmation.partly_at_, max_age, now));
}

Decision NotReady(const char* detail) {
  return {Reason::kNotReady, nullptr, kRetryAfterUnconfirmed, detail};
}

}  // namespace

const core::Organisation* FindOrganisation(const core::RuleSet& rules,
                                           const std::string& key) {
  const auto found = rules.organisation_by_key_.find(key);
  return found == rules.organisation_by_key_.end()
             ? nullptr
             : &rules.organisations_[found->second];
}

core::Milliseconds MaxConfirmationAge(core::Milliseconds revocation_limit) {
  return revocation_limit -
         std::min(kMaxConfirmationMargin, revocation_limit / kMarginDivisor);
}

Decision Decide(const View& view,
                const std::string& key,
                bool is_public,
                core::TimePoint now) {
  if (view.rules_ == nullptr) {
    return NotReady("no configuration yet");
  }
  if (view.rules_->organisations_.empty()) {
    return {};
  }
  const core::Organisation* organisation = FindOrganisation(*view.rules_, key);
  const bool is_confirmed =
      organisation != nullptr && IsConfirmed(view, key, now);
  if (is_confirmed) {
    return {Reason::kNone, organisation, {}, ""};
  }
  if (is_public) {
    return {};
  }
  if (organisation != nullptr || !IsCertainlyUnknown(view, key, now)) {
    return NotReady("the store has not confirmed the keys recently");
  }
  return {Reason::kUnauthorised,
          nullptr,
          {},
          key.empty() ? "no key" : "no organisation holds the key"};
}

}  // namespace siskindrum::access
