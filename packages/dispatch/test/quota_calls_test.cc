#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"
#include "fleet.h"

namespace siskindrum::dispatch {
namespace {

constexpr char kName[] = "acme";
constexpr char kKey[] = "key-of-acme";

// The fixture's rules with one organisation, limited to `quota`.
std::shared_ptr<const core::Configuration> MakeRules(std::uint64_t revision,
                                                     const core::Quota& quota) {
  std::string line;
  absl::StrAppend(&line, "organisation ", kName, " keys=", kKey,
                  " rate=", quota.rate_per_second_, " burst=", quota.burst_,
                  " # asked by Ann\n");
  return *rules::MakeConfiguration(revision, line + DispatcherFixture::kRules);
}

// A request with the key of the organisation.
CallArrived MakeCall(std::uint64_t number, TimePoint now) {
  CallArrived arrived;
  arrived.request_ = {1, number};
  arrived.call_.shape_.path_ = "/book/1";
  arrived.call_.label_ = "r" + std::to_string(number);
  arrived.arrived_at_ = now;
  arrived.call_.key_ = kKey;
  return arrived;
}

struct QuotaFixture : DispatcherFixture {
  QuotaFixture() {
    Limit(2, {1, 2, core::QuotaUnit::kRequests, 0});
    Pass(Milliseconds(20));
  }
  void Limit(std::uint64_t revision, const core::Quota& quota) {
    Handle(ConfigurationRead{MakeRules(revision, quota), "test"});
  }
  RequestId Call() {
    const CallArrived arrived = MakeCall(++requests_, now_);
    Handle(arrived);
    return arrived.request_;
  }
};

struct QuotaFleetFixture : Fleet {
  // Four entries share 40 requests a second.
  explicit QuotaFleetFixture(bool restarted = false) {
    Start(4, 2, restarted);
    HandleAll(ConfigurationRead{
        MakeRules(1, {40, 40, core::QuotaUnit::kRequests, 0}), "store"});
    std::vector<core::ServerInfo> servers;
    for (const char* name : {"s1", "s2", "s3"}) {
      servers.push_back(DispatcherFixture::Plain(name));
    }
    HandleAll(ListSeen{{servers, {}, true, {0, 1}}});
  }
  void Calls(std::size_t entry, int count) {
    for (int i = 0; i < count; ++i) {
      Handle(AddressOf(entry), MakeCall(++requests_, now_));
    }
  }
  template <class Kind>
  std::vector<Kind> Actions(std::size_t entry) const {
    std::vector<Kind> found;
    for (const Action& action : entries_.at(AddressOf(entry)).actions_) {
      if (const auto* one = std::get_if<Kind>(&action)) {
        found.push_back(*one);
      }
    }
    return found;
  }
  std::uint64_t requests_ = 0;
};

BOOST_AUTO_TEST_SUITE(QuotaCalls)

// Without loans, an entry could use only its quarter of the quota.
BOOST_AUTO_TEST_CASE(Calls_WhenOneEntryRunsShort_UseTheTokensOfOthers) {
  QuotaFleetFixture fleet;
  fleet.Pass(Milliseconds(6000));
  fleet.Calls(0, 30);
  BOOST_TEST(fleet.Actions<StartAttempt>(0).size() == 10U);
  fleet.Pass(Milliseconds(60));
  const std::size_t started = fleet.Actions<StartAttempt>(0).size();
  const auto refused = fleet.Actions<Refuse>(0);
  BOOST_TEST(started >= 20U);
  BOOST_TEST(started + refused.size() == 30U);
  for (const Refuse& refuse : refused) {
    BOOST_TEST((refuse.verdict_.reason_ == core::Reason::kOrganisationLimit));
    BOOST_TEST((refuse.verdict_.run_state_ == RunState::kNotRun));
    BOOST_TEST(refuse.verdict_.retry_after_.count() > 0);
  }
}

// Failure: a restarted entry cannot reach the peers to which its earlier
// process may have lent its share.
BOOST_AUTO_TEST_CASE(Entry_WhenRestartedAlone_OwnsNoShareUntilOldLoansEnded) {
  QuotaFleetFixture fleet(true);
  std::erase_if(fleet.entries_, [](const auto& entry) {
    return entry.first != Fleet::AddressOf(0);
  });
  fleet.Pass(Milliseconds(7500));
  fleet.Calls(0, 1);
  fleet.Pass(Milliseconds(60));
  BOOST_TEST(fleet.Actions<StartAttempt>(0).empty());
  fleet.Pass(Milliseconds(2000));
  fleet.Calls(0, 1);
  BOOST_TEST(fleet.Actions<StartAttempt>(0).size() == 1U);
}

// Failure: power loss of all entries. None may refuse requests for as long as a
// loan can last, once all have said that they hold none.
BOOST_AUTO_TEST_CASE(Entries_WhenAllRestarted_OwnTheirSharesOnceAllAnswered) {
  QuotaFleetFixture fleet(true);
  fleet.Pass(Milliseconds(1000));
  fleet.Calls(0, 1);
  fleet.Pass(Milliseconds(60));
  BOOST_TEST(fleet.Actions<StartAttempt>(0).empty());
  fleet.Pass(kEntryCountSettleTime + Milliseconds(1000));
  fleet.Calls(0, 1);
  fleet.Pass(Milliseconds(60));
  BOOST_TEST(fleet.Actions<StartAttempt>(0).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(Call_WhenOverQuota_IsRefusedAtOnceWithATimeOfRoom,
                        QuotaFixture) {
  Call();
  Call();
  const RequestId over = Call();
  // No peer can lend and the next token comes after the longest wait.
  BOOST_REQUIRE(IsRefused(over));
  BOOST_TEST((Verdict(over).reason_ == core::Reason::kOrganisationLimit));
  BOOST_TEST(Verdict(over).retry_after_.count() >= 1000);
  Pass(Verdict(over).retry_after_);
  BOOST_TEST(!IsRefused(Call()));
}

BOOST_FIXTURE_TEST_CASE(Call_WhenItHasNotRun_GivesItsChargeBack, QuotaFixture) {
  Call();
  const RequestId failing = Call();
  for (int i = 0; i < kMaxConnectAttempts; ++i) {
    Done(failing, AttemptOutcome::kFailed, RunState::kNotRun);
  }
  BOOST_REQUIRE(IsRefused(failing));
  BOOST_TEST(!IsRefused(Call()));
  BOOST_TEST(IsRefused(Call()));
}

// Else callers could run more than their quota by leaving.
BOOST_FIXTURE_TEST_CASE(Call_WhenItsCallerLeavesAServer_KeepsItsCharge,
                        QuotaFixture) {
  Call();
  Handle(CallerLeft{Call()});
  BOOST_TEST(IsRefused(Call()));
}

BOOST_FIXTURE_TEST_CASE(Call_WhenTheLimitIsLifted_IsNotCharged, QuotaFixture) {
  Limit(3, {});
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(!IsRefused(Call()));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::dispatch
