#include <boost/test/unit_test.hpp>

#include "dispatcher_fixture.h"
#include "siskindrum/dispatch/stage_plan.h"

namespace siskindrum::dispatch {
namespace {

struct StagePlanFixture {
  // Adds engines of one role to a failure domain.
  void Add(const std::string& domain, core::ServerRole role, int count) {
    for (int i = 0; i < count; ++i) {
      ServerState server;
      server.info_ = DispatcherFixture::Engine(
          domain + "-" + core::ToString(role) + std::to_string(i), role);
      server.info_.domain_ = domain;
      pool_.servers_[server.info_.name_] = server;
    }
  }

  ServerPool pool_;
  TimePoint now_{std::chrono::hours(1)};
};

BOOST_FIXTURE_TEST_SUITE(StagePlan, StagePlanFixture)

BOOST_AUTO_TEST_CASE(
    PrefillEnginesToConvert_WhenAThirdPrefills_ConvertsToAQuarter) {
  for (const char* domain : {"a", "b", "c"}) {
    Add(domain, core::ServerRole::kPrefill, 1);
    Add(domain, core::ServerRole::kDecode, 2);
  }
  BOOST_TEST(PrefillEnginesToConvert(pool_, now_).size() == 1U);
}

BOOST_AUTO_TEST_CASE(
    PrefillEnginesToConvert_WhenDomainsDiffer_ConvertsFromTheLargestGroup) {
  Add("a", core::ServerRole::kPrefill, 3);
  Add("b", core::ServerRole::kPrefill, 1);
  Add("b", core::ServerRole::kDecode, 5);
  const std::vector<std::string> convert = PrefillEnginesToConvert(pool_, now_);
  BOOST_REQUIRE(convert.size() == 2U);
  BOOST_TEST(convert[0].starts_with("a-"));
  BOOST_TEST(convert[1].starts_with("a-"));
}

BOOST_AUTO_TEST_CASE(PrefillEnginesToConvert_WhenThePoolIsSmall_ConvertsNone) {
  Add("a", core::ServerRole::kPrefill, 3);
  Add("a", core::ServerRole::kDecode, 2);
  BOOST_TEST(PrefillEnginesToConvert(pool_, now_).empty());
}

BOOST_AUTO_TEST_CASE(PrefillEnginesToConvert_WhenOnlyOnePrefills_KeepsIt) {
  Add("a", core::ServerRole::kPrefill, 1);
  Add("a", core::ServerRole::kDecode, 6);
  BOOST_TEST(PrefillEnginesToConvert(pool_, now_).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::dispatch
