#include "siskindrum/core/text.h"

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "siskindrum/core/json_text.h"

namespace siskindrum::core {
namespace {

using namespace std::string_literals;

BOOST_AUTO_TEST_SUITE(Text)

BOOST_AUTO_TEST_CASE(ToUtf8_WhenBytesAreNotUtf8_ShowsThemAsHex) {
  BOOST_TEST(ToUtf8("caf\xE9") == "caf\\xE9");
  BOOST_TEST(ToUtf8("caf\xC3\xA9\n\xF0\x9F\x8D\xB5") ==
             "caf\xC3\xA9\n\xF0\x9F\x8D\xB5");
  // Truncated, overlong, a surrogate, above U+10FFFF.
  BOOST_TEST(ToUtf8("\xE2\x82") == "\\xE2\\x82");
  BOOST_TEST(ToUtf8("\xC0\xAF") == "\\xC0\\xAF");
  BOOST_TEST(ToUtf8("\xED\xA0\x80") == "\\xED\\xA0\\x80");
  BOOST_TEST(ToUtf8("\xF4\x90\x80\x80") == "\\xF4\\x90\\x80\\x80");
}

BOOST_AUTO_TEST_CASE(ToLine_WhenTextHasControlCharacters_StaysOnOneLine) {
  BOOST_TEST(ToLine("a\r\n\x1B[1m\0z\xC2\x85"s) ==
             "a\\x0D\\x0A\\x1B[1m\\x00z\\xC2\\x85");
}

BOOST_AUTO_TEST_CASE(ToQuoted_WhenTextHasQuotes_EscapesThem) {
  BOOST_TEST(ToQuoted("a \"b\\\n\xE9") == "a \\\"b\\\\\\n\\xE9");
}

BOOST_AUTO_TEST_CASE(ToJsonText_WhenNamesAndValuesAreNotUtf8_KeepsBoth) {
  nlohmann::json value = {{"a", "\xE9"}};
  value["x\xFF"]["list"] = {"\xFE", 1};
  const auto read = nlohmann::json::parse(ToJsonText(value));
  BOOST_TEST(read["a"] == "\\xE9");
  BOOST_TEST(read["x\\xFF"]["list"][0] == "\\xFE");
}

BOOST_AUTO_TEST_CASE(AnyBytes_AfterConversion_AreUtf8AndReadableAsJson) {
  BOOST_TEST(rc::check([](const std::string& text) {
    RC_ASSERT(IsUtf8(ToUtf8(text)));
    RC_ASSERT(ToUtf8(ToUtf8(text)) == ToUtf8(text));
    RC_ASSERT(ToLine(text).find('\n') == std::string::npos);
    RC_ASSERT(IsUtf8(text) == (ToUtf8(text) == text));
    const auto read = nlohmann::json::parse(ToJsonText({text}));
    RC_ASSERT(read[0] == ToUtf8(text));
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::core
