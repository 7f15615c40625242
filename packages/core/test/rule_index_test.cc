#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "siskindrum/core/rule.h"

namespace siskindrum::core {
namespace {

BOOST_AUTO_TEST_SUITE(RuleIndexes)

// Guards against an index that changes which rule comes first.
BOOST_AUTO_TEST_CASE(MatchRule_WhenIndexed_ReturnsTheFirstMatchInOrder) {
  BOOST_TEST(rc::check([] {
    const std::vector<std::string> hosts = {"", "*", "a", "b", "a*", "*b"};
    const std::vector<std::string> paths = {"", "/x*", "/y"};
    RuleSet rules;
    const int count = *rc::gen::inRange(0, 12);
    for (int i = 0; i < count; ++i) {
      Rule rule;
      rule.match_.host_ = *rc::gen::elementOf(hosts);
      rule.match_.path_ = *rc::gen::elementOf(paths);
      rules.rules_.push_back(rule);
    }
    RequestShape shape;
    shape.host_ = *rc::gen::elementOf(
        std::vector<std::string>{"a", "b", "ab", "c", "", "*"});
    shape.path_ =
        *rc::gen::elementOf(std::vector<std::string>{"/x1", "/y", ""});
    const Rule* expected = MatchRule(rules, shape);
    IndexRules(rules);
    RC_ASSERT(MatchRule(rules, shape) == expected);
    // A rule added later is found although it is not indexed.
    rules.rules_.emplace_back();
    RC_ASSERT(MatchRule(rules, shape) != nullptr);
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::core
