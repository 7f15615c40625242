#define BOOST_TEST_MODULE rules
#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

#include "siskindrum/rules/explain.h"
#include "siskindrum/rules/rules.h"

namespace siskindrum::rules {
namespace {

struct RulesFixture {
  static constexpr char kDefault[] = "default then refuse # asked by Ann\n";

  std::vector<Problem> Errors(const std::string& text) const {
    const auto parsed = ParseRules(text + kDefault);
    return parsed.has_value() ? std::vector<Problem>{} : parsed.error();
  }
  std::vector<Problem> Warnings(const std::string& text) const {
    return ParseRules(text + kDefault)->warnings_;
  }
};

BOOST_FIXTURE_TEST_SUITE(Rules, RulesFixture)

BOOST_AUTO_TEST_CASE(ParseRules_WhenWhole_ReadsEveryWord) {
  const auto parsed = ParseRules(
      "# heading\n\n"
      "seat one at 10.0.0.1:70 # asked by Ann\n"
      "when service=s organisation=o-* model=m path=/p* method=POST "
      "domain=d prompt>=10 prompt<20 priority=high then pool=q "
      "first_token=370ms between_tokens=46ms retries=3 share=4 limit=5/s "
      "prefer=waste priority=low fencing=checked # asked by Bo: why\n"
      "when service=t then pool=t plain repeat=never timeout=2s # asked by Cy\n"
      "default then refuse # asked by Di\n");
  BOOST_REQUIRE(parsed.has_value());
  const core::Rule& rule = parsed->rules_.rules_[0];
  BOOST_TEST(rule.line_ == 4);
  BOOST_TEST(rule.comment_ == "asked by Bo: why");
  BOOST_TEST(rule.match_.prompt_at_least_ == 10U);
  BOOST_TEST(rule.match_.prompt_below_ == 20U);
  BOOST_TEST(rule.outcome_.first_token_.count() == 370);
  BOOST_TEST(rule.outcome_.limit_per_second_ == 5U);
  BOOST_TEST((rule.outcome_.prefer_ == core::Preference::kWaste));
  BOOST_TEST((rule.outcome_.priority_ == core::Priority::kLow));
  BOOST_TEST((rule.outcome_.fencing_ == core::Fencing::kChecked));
  const core::Rule& plain = parsed->rules_.rules_[1];
  BOOST_TEST((plain.outcome_.repeat_ == core::Repeat::kNever));
  BOOST_TEST(plain.outcome_.timeout_.count() == 2000);
  BOOST_TEST(parsed->rules_.seats_[0].address_ == "10.0.0.1:70");
}

BOOST_AUTO_TEST_CASE(ParseRules_WhenALineIsBad_NamesLineAndColumn) {
  const struct {
    const char* text_;
    int column_;
    const char* message_;
  } rows[] = {
      {"when service=s then pool=p\n", 27, "comment"},
      {"when colour=red then pool=p # a\n", 6, "unknown condition"},
      {"when service=s then pool=p speed=9 # a\n", 28, "unknown outcome"},
      {"when service=s pool=p # a\n", 16, "expected 'then'"},
      {"when service=a*b then pool=p # a\n", 6, "'*'"},
      {"when then pool=p # a\n", 6, "needs a condition"},
      {"when service=s then first_token=1s # a\n", 1, "pool=NAME"},
      {"when service=s then pool=p first_token=0ms # a\n", 28, "DURATION"},
      {"when service=s then pool=p retries=11 # a\n", 28, "retries"},
      {"when service=s then pool=p repeat=never # a\n", 1, "plain"},
      {"when service=s service=t then pool=p # a\n", 16, "twice"},
      {"seat x at nowhere # a\n", 11, "IP:PORT"},
      {"unless service=s then pool=p # a\n", 1, "expected 'when'"},
      {"default service=s then refuse # a\n", 9, "no conditions"},
  };
  for (const auto& row : rows) {
    const std::vector<Problem> errors = Errors(row.text_);
    BOOST_REQUIRE_MESSAGE(!errors.empty(), row.text_);
    BOOST_TEST(errors[0].line_ == 1);
    BOOST_TEST(errors[0].column_ == row.column_, row.text_);
    BOOST_TEST(errors[0].message_.find(row.message_) != std::string::npos,
               row.text_ << ": " << errors[0].message_);
  }
}

BOOST_AUTO_TEST_CASE(ParseRules_WhenSeveralLinesAreBad_NamesThemAll) {
  BOOST_TEST(Errors("nonsense # a\nwhen x then # a\n").size() >= 2U);
}

BOOST_AUTO_TEST_CASE(ParseRules_WithoutDefault_IsRefused) {
  BOOST_TEST(!ParseRules("when service=s then pool=p # a\n").has_value());
  BOOST_TEST(!ParseRules("").has_value());
}

BOOST_AUTO_TEST_CASE(ParseRules_WhenALineIsNeverReached_Warns) {
  const auto warnings = Warnings(
      "when service=a* then pool=p # a\n"
      "when service=abc model=m then pool=q # a\n"
      "when service=a* then pool=r # a\n"
      "when service=b* then pool=r # a\n");
  BOOST_REQUIRE(warnings.size() == 2U);
  BOOST_TEST(warnings[0].line_ == 2);
  BOOST_TEST(warnings[0].message_.find("never reached") != std::string::npos);
  BOOST_TEST(warnings[1].line_ == 3);
  BOOST_TEST(warnings[1].message_.find("repeats") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ExplainShape_WhenARuleMatches_NamesItsLineAndComment) {
  const auto parsed = ParseRules(
      "when service=a then pool=p # asked by Ann: first\n"
      "when model=m then pool=q # asked by Bo: second\n"
      "default then refuse # asked by Cy\n");
  core::RequestShape shape;
  shape.model_ = "m";
  const std::string text = ExplainShape(parsed->rules_, shape);
  BOOST_TEST(text.find("Line 1 does not apply: its service differs") == 0U);
  BOOST_TEST(text.find("Line 2 decides (\"asked by Bo: second\")") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(Examples_OfBothUsers_AreGoodWithoutWarnings) {
  for (const char* site : {"narragansett", "vattenbacka"}) {
    std::ifstream file(std::string(SISKINDRUM_SOURCE_DIR) + "/examples/" +
                       site + "/rules.txt");
    std::ostringstream text;
    text << file.rdbuf();
    const auto parsed = ParseRules(text.str());
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(parsed->warnings_.empty());
    BOOST_TEST(parsed->rules_.rules_.size() >= 7U);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::rules
