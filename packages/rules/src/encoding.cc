#include "siskindrum/rules/encoding.h"

#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

namespace siskindrum::rules {

std::string PercentEncode(std::string_view text, std::string_view kept) {
  std::string encoded;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (absl::ascii_isalnum(byte) || kept.find(c) != std::string_view::npos) {
      encoded += c;
    } else {
      absl::StrAppend(&encoded, "%", absl::Hex(byte, absl::kZeroPad2));
    }
  }
  return encoded;
}

std::string EncodeValue(std::string_view text) {
  return PercentEncode(text, "-_.~");
}

std::optional<std::string> DecodeValue(const std::string& text) {
  constexpr std::size_t kDigits = 2;
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded += text[i];
      continue;
    }
    const std::string digits = text.substr(i + 1, kDigits);
    std::uint32_t byte = 0;
    if (digits.size() != kDigits ||
        !absl::ascii_isxdigit(static_cast<unsigned char>(digits[0])) ||
        !absl::ascii_isxdigit(static_cast<unsigned char>(digits[1])) ||
        !absl::SimpleHexAtoi(digits, &byte)) {
      return std::nullopt;
    }
    decoded += static_cast<char>(byte);
    i += kDigits;
  }
  return decoded;
}

std::string HideKeys(const std::string& rules) {
  std::vector<std::string> lines;
  for (const absl::string_view line : absl::StrSplit(rules, '\n')) {
    if (!absl::StartsWith(absl::StripLeadingAsciiWhitespace(line),
                          "organisation")) {
      lines.emplace_back(line);
      continue;
    }
    std::vector<absl::string_view> words =
        absl::StrSplit(line, absl::ByAnyChar(" \t\r\f\v"));
    for (absl::string_view& word : words) {
      word = absl::StartsWith(word, "keys=") ? "keys=(hidden)" : word;
    }
    lines.push_back(absl::StrJoin(words, " "));
  }
  return absl::StrJoin(lines, "\n");
}

}  // namespace siskindrum::rules
