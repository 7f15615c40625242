#define BOOST_TEST_MODULE access
#include "siskindrum/access/access.h"

#include <boost/test/unit_test.hpp>

#include "siskindrum/rules/rules.h"

namespace siskindrum::access {
namespace {

using core::Milliseconds;
using core::Reason;

// An entry whose store confirmed the configuration at `confirmed_at_`, under a
// revocation limit of 5 s. Organisation a holds k1 and k2, b holds k3.
struct AccessFixture {
  AccessFixture() {
    view_.rules_ = &configuration_->rules_;
    view_.revocation_limit_ = Milliseconds(5000);
    view_.confirmation_.at_ = confirmed_at_;
  }
  Decision After(int ms, const std::string& key, bool is_public = false) const {
    return Decide(view_, key, is_public, confirmed_at_ + Milliseconds(ms));
  }
  Reason ReasonAfter(int ms, const std::string& key) const {
    return After(ms, key).reason_;
  }

  std::shared_ptr<const core::Configuration> configuration_ =
      *rules::MakeConfiguration(1,
                                "organisation a keys=k1,k2 # asked by Ann\n"
                                "organisation b keys=k3 # asked by Ann\n"
                                "default then refuse # asked by Bo\n");
  core::TimePoint confirmed_at_{std::chrono::hours(1)};
  View view_;
};

BOOST_FIXTURE_TEST_SUITE(Access, AccessFixture)

BOOST_AUTO_TEST_CASE(Decide_WhenKeyIsHeld_NamesItsOrganisation) {
  BOOST_TEST(After(0, "k2").organisation_->name_ == "a");
  BOOST_TEST(After(0, "k3").organisation_->name_ == "b");
}

BOOST_AUTO_TEST_CASE(Decide_WhenKeyIsNotExactlyHeld_IsUnauthorised) {
  for (const std::string key : {"", "k", "k1 ", "K1", "k11"}) {
    BOOST_TEST((ReasonAfter(0, key) == Reason::kUnauthorised), key);
  }
}

// Failure: cut from the store. K5: serves for 3 s after the last contact, which
// may be 1.3 s after the last confirmation; K4: not longer than the limit; K6:
// then 503 and not 401.
BOOST_AUTO_TEST_CASE(Decide_WhenCutFromTheStore_ServesUntilTheLimitThenWaits) {
  BOOST_TEST((ReasonAfter(4299, "k1") == Reason::kNone));
  BOOST_TEST((ReasonAfter(4300, "k1") == Reason::kNotReady));
  BOOST_TEST((ReasonAfter(4299, "kx") == Reason::kUnauthorised));
  BOOST_TEST((ReasonAfter(4300, "kx") == Reason::kNotReady));
  BOOST_TEST(After(4300, "k1").retry_after_.count() > 0);
}

// Failure: an entry that was paused still has its configuration from before.
BOOST_AUTO_TEST_CASE(Decide_WhenPausedForLong_WaitsForAConfirmation) {
  BOOST_TEST((ReasonAfter(3'600'000, "k1") == Reason::kNotReady));
  view_.confirmation_.at_ = confirmed_at_ + Milliseconds(3'600'000);
  BOOST_TEST((ReasonAfter(3'600'000, "k1") == Reason::kNone));
}

// Failure: a new process has its configuration from a peer, which may be old.
BOOST_AUTO_TEST_CASE(Decide_WhenFreshlyStarted_WaitsForAConfirmation) {
  view_.confirmation_ = {};
  BOOST_TEST((ReasonAfter(0, "k1") == Reason::kNotReady));
  BOOST_TEST((ReasonAfter(0, "kx") == Reason::kNotReady));
  view_.rules_ = nullptr;
  BOOST_TEST((ReasonAfter(0, "k1") == Reason::kNotReady));
}

BOOST_AUTO_TEST_CASE(Decide_WhenRuleIsPublic_AdmitsAnyKey) {
  BOOST_TEST((After(0, "", true).reason_ == Reason::kNone));
  BOOST_TEST(After(0, "k1", true).organisation_->name_ == "a");
  BOOST_TEST((After(9000, "k1", true).reason_ == Reason::kNone));
  // The organisation of a key that may be revoked is not stated.
  BOOST_TEST((After(9000, "k1", true).organisation_ == nullptr));
}

// Without a limit, known keys are served for any time, but an unknown one may
// be new.
BOOST_AUTO_TEST_CASE(Decide_WhenNoLimitIsSet_ServesKnownKeysForAnyTime) {
  view_.revocation_limit_ = {};
  BOOST_TEST((ReasonAfter(3'600'000, "k1") == Reason::kNone));
  BOOST_TEST((ReasonAfter(1000, "kx") == Reason::kUnauthorised));
  BOOST_TEST((ReasonAfter(3'600'000, "kx") == Reason::kNotReady));
}

// Failure: the newest configuration is invalid, and its author may have revoked
// k1 and added k9.
BOOST_AUTO_TEST_CASE(Decide_WhenNewestIsInvalid_ServesKeysThatBothList) {
  view_.confirmation_.partly_at_ = confirmed_at_ + Milliseconds(60'000);
  view_.confirmation_.partly_keys_ =
      std::make_shared<const KeySet>(KeySet{"k2", "k3", "k9"});
  BOOST_TEST((ReasonAfter(60'000, "k2") == Reason::kNone));
  BOOST_TEST((ReasonAfter(60'000, "k1") == Reason::kNotReady));
  BOOST_TEST((ReasonAfter(60'000, "k9") == Reason::kNotReady));
  BOOST_TEST((ReasonAfter(60'000, "kx") == Reason::kUnauthorised));
  BOOST_TEST((ReasonAfter(64'300, "k2") == Reason::kNotReady));
}

BOOST_AUTO_TEST_CASE(Decide_WhenThereAreNoOrganisations_AdmitsAll) {
  const auto open =
      *rules::MakeConfiguration(2, "default then refuse # asked by Bo\n");
  view_.rules_ = &open->rules_;
  view_.confirmation_ = {};
  BOOST_TEST((ReasonAfter(0, "") == Reason::kNone));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::access
