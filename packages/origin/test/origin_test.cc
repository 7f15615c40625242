#define BOOST_TEST_MODULE origin
#include <boost/test/unit_test.hpp>

#include "siskindrum/origin/origin.h"

namespace siskindrum::origin {
namespace {

struct OriginFixture {
  void Listed(const std::set<std::string>& versions) {
    RecordVersions(origins_, {{"pool", versions}}, now_);
  }
  std::optional<std::string> Only() const {
    return OnlyVersion(origins_, "pool", now_);
  }

  TimePoint now_{std::chrono::hours(1)};
  Origins origins_;
};

BOOST_FIXTURE_TEST_SUITE(StreamOrigins, OriginFixture)

BOOST_AUTO_TEST_CASE(Stream_WhenItWentOnLately_IsKnown) {
  RecordStream(origins_, KeyOf("a"), "v1", now_);
  now_ += kMinLifetime - core::Milliseconds(1);
  RecordStream(origins_, KeyOf("a"), "v1", now_);
  now_ += kMinLifetime - core::Milliseconds(1);
  RemoveExpired(origins_, now_);
  BOOST_TEST(FindVersion(origins_, KeyOf("a"), now_).value() == "v1");
  BOOST_TEST(!FindVersion(origins_, KeyOf("b"), now_).has_value());
  now_ += core::Milliseconds(1);
  BOOST_TEST(!FindVersion(origins_, KeyOf("a"), now_).has_value());
  RemoveExpired(origins_, now_);
  BOOST_TEST(origins_.streams_.empty());
  BOOST_TEST(origins_.order_.empty());
}

BOOST_AUTO_TEST_CASE(Streams_WhenThereAreTooMany_ForgetTheOldest) {
  for (std::size_t i = 0; i < kMaxStreams + 10; ++i) {
    RecordStream(origins_, static_cast<StreamKey>(i), "v1", now_);
  }
  BOOST_TEST(origins_.streams_.size() == kMaxStreams);
  BOOST_TEST(!FindVersion(origins_, 9, now_).has_value());
  BOOST_TEST(FindVersion(origins_, 10, now_).has_value());
}

BOOST_AUTO_TEST_CASE(OnlyVersion_WhenAnotherLeftLately_IsNotKnown) {
  Listed({"v1"});
  BOOST_TEST(Only().value() == "v1");
  Listed({"v1", "v2"});
  BOOST_TEST(!Only().has_value());
  Listed({"v2"});
  now_ += kMinLifetime - core::Milliseconds(1);
  BOOST_TEST(!Only().has_value());
  now_ += core::Milliseconds(1);
  BOOST_TEST(Only().value() == "v2");
  Listed({});
  BOOST_TEST(!Only().has_value());
}

// Guards against a restarted process that takes the versions of its first list
// for all that were in service before.
BOOST_AUTO_TEST_CASE(OnlyVersion_AfterARestart_IsKnownAfterALifetime) {
  origins_.complete_since_ = now_;
  Listed({"v1"});
  BOOST_TEST(!Only().has_value());
  now_ += kMinLifetime;
  BOOST_TEST(Only().value() == "v1");
}

BOOST_AUTO_TEST_CASE(CommonVersion_WhenThereAreSeveralOrNone_IsNotKnown) {
  BOOST_TEST(CommonVersion({"v1", "v1"}).value() == "v1");
  BOOST_TEST(!CommonVersion({"v1", "v2"}).has_value());
  BOOST_TEST(!CommonVersion({}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::origin
