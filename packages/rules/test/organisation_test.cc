#include <boost/test/unit_test.hpp>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "siskindrum/rules/encoding.h"
#include "siskindrum/rules/rules.h"

namespace siskindrum::rules {
namespace {

constexpr char kEnd[] = " # asked by Ann\ndefault then refuse # asked by Bo\n";

// The first error of a file; empty when it is valid.
std::string Error(const std::string& text) {
  const auto parsed = ParseRules(text + kEnd);
  return parsed.has_value() ? "" : Describe("f", parsed.error().front());
}

BOOST_AUTO_TEST_SUITE(Organisations)

BOOST_AUTO_TEST_CASE(Line_WhenWhole_IsReadWithDecodedNameAndKeys) {
  const auto parsed = ParseRules(
      absl::StrCat("organisation a%20b keys=k%2C1,k2 rank=3 unit=tokens "
                   "rate=252277 burst=1.5e3 plain_tokens=200",
                   kEnd));
  BOOST_REQUIRE(parsed.has_value());
  const core::RuleSet& rules = parsed->rules_;
  const core::Organisation& one = rules.organisations_.at(0);
  BOOST_TEST(one.name_ == "a b");
  BOOST_TEST((one.keys_ == std::vector<std::string>{"k,1", "k2"}));
  BOOST_TEST((one.rank_ == std::optional<std::uint32_t>(3)));
  BOOST_TEST(
      (one.quota_ == core::Quota{252277, 1500, core::QuotaUnit::kTokens, 200}));
  BOOST_TEST(rules.organisation_by_key_.at("k,1") == 0U);
}

// K7: each invalid line refuses the file and names its place.
BOOST_AUTO_TEST_CASE(Line_WhenInvalid_IsRefusedAtItsPlaceWithoutItsKey) {
  const struct {
    std::string text_;
    std::string place_;
  } cases[] = {
      {"organisation a keys=secret #x\norganisation b keys=k,secret",
       "f:2:23:"},
      {"organisation a #x\norganisation a", "f:2:14:"},
      {"organisation a keys=secret,,b", "f:1:28:"},
      {"organisation a keys=%zzsecret", "f:1:21:"},
      {"organisation a%0Ab", "f:1:14:"},
      {"organisation", "f:1:1:"},
      {"organisation a rate=-1", "f:1:16:"},
      {"organisation a burst=1.1e12", "f:1:16:"},
      {"organisation a plain_tokens=nan", "f:1:16:"},
      {"organisation a unit=bytes", "f:1:16:"},
      {"organisation a rank=10", "f:1:16:"},
      {"organisation a secret", "f:1:16:"},
      {"when path=/a then pool=p access=secret", "f:1:26:"},
  };
  for (const auto& one : cases) {
    const std::string error = Error(one.text_);
    BOOST_TEST(absl::StartsWith(error, one.place_), one.text_ << ": " << error);
    BOOST_TEST(!absl::StrContains(error, "secret"), error);
  }
}

BOOST_AUTO_TEST_CASE(Rule_WhenAccessIsPublic_NeedsNoKey) {
  const auto parsed = ParseRules(
      absl::StrCat("when path=/a then pool=p access=public # asked by Cy\n"
                   "when path=/b then pool=p access=key",
                   kEnd));
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST(parsed->rules_.rules_[0].outcome_.public_);
  BOOST_TEST(!parsed->rules_.rules_[1].outcome_.public_);
}

BOOST_AUTO_TEST_CASE(EncodeValue_WhenAnyBytes_IsOneWordThatDecodesToThem) {
  std::string bytes;
  for (int c = 1; c < 256; ++c) {
    bytes += static_cast<char>(c);
  }
  BOOST_TEST((DecodeValue(EncodeValue(bytes)) == bytes));
  BOOST_TEST(Error("organisation a keys=" + EncodeValue(bytes)) == "");
}

// K2: what operators are shown contains no key.
BOOST_AUTO_TEST_CASE(HideKeys_WhenLinesHaveKeys_ShowsAllElse) {
  BOOST_TEST(HideKeys("\torganisation a keys=s1,s2 rank=1\tkeys=s3 # x\nb") ==
             " organisation a keys=(hidden) rank=1 keys=(hidden) # x\nb");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::rules
