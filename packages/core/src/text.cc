#include "siskindrum/core/text.h"

#include <cstdint>

namespace siskindrum::core {

namespace {

enum class Form { kUtf8, kLine, kQuoted, kCount };

// One well-formed sequence at the start of a text. Length zero: there is none.
struct Sequence {
  std::size_t length_ = 0;
  char32_t code_point_ = 0;
};

std::uint8_t ByteAt(std::string_view text, std::size_t at) {
  return static_cast<std::uint8_t>(text[at]);
}

// Returns the length that the first byte announces; zero: it cannot be first.
std::size_t AnnouncedLength(std::uint8_t first) {
  if (first < 0x80) {
    return 1;
  }
  if (first >= 0xC2 && first <= 0xDF) {
    return 2;
  }
  if (first >= 0xE0 && first <= 0xEF) {
    return 3;
  }
  return first >= 0xF0 && first <= 0xF4 ? 4 : 0;
}

Sequence ReadSequence(std::string_view text) {
  // Lowest code point that needs a sequence of this length.
  constexpr char32_t kLowest[] = {0, 0, 0x80, 0x800, 0x10000};
  constexpr std::uint8_t kFirstMask[] = {0, 0x7F, 0x1F, 0x0F, 0x07};
  const std::size_t length = AnnouncedLength(ByteAt(text, 0));
  if (length == 0 || length > text.size()) {
    return {};
  }
  char32_t code_point = ByteAt(text, 0) & kFirstMask[length];
  for (std::size_t i = 1; i < length; ++i) {
    const std::uint8_t next = ByteAt(text, i);
    if ((next & 0xC0) != 0x80) {
      return {};
    }
    code_point = (code_point << 6) | (next & 0x3F);
  }
  const bool surrogate = code_point >= 0xD800 && code_point <= 0xDFFF;
  if (code_point < kLowest[length] || code_point > 0x10FFFF || surrogate) {
    return {};
  }
  return {length, code_point};
}

// Includes the separators of lines and paragraphs, which some viewers show as
// the start of a line.
bool IsControl(char32_t code_point) {
  return code_point < 0x20 || (code_point >= 0x7F && code_point <= 0x9F) ||
         code_point == 0x2028 || code_point == 0x2029;
}

void AppendHex(std::string& out, std::string_view bytes) {
  constexpr char kDigits[] = "0123456789ABCDEF";
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const std::uint8_t byte = ByteAt(bytes, i);
    out += "\\x";
    out += kDigits[byte >> 4];
    out += kDigits[byte & 0x0F];
  }
}

// Returns the letter that follows the backslash of a short escape, or zero.
char ShortEscape(char32_t code_point) {
  switch (code_point) {
    case '\n':
      return 'n';
    case '\r':
      return 'r';
    case '\t':
      return 't';
    case '"':
    case '\\':
      return static_cast<char>(code_point);
    default:
      return 0;
  }
}

std::string Convert(std::string_view text, Form form) {
  std::string out;
  out.reserve(text.size());
  while (!text.empty()) {
    const Sequence sequence = ReadSequence(text);
    const std::string_view bytes =
        text.substr(0, sequence.length_ == 0 ? 1 : sequence.length_);
    text.remove_prefix(bytes.size());
    const char escape =
        form == Form::kQuoted ? ShortEscape(sequence.code_point_) : '\0';
    if (sequence.length_ > 0 && escape != 0) {
      out += '\\';
      out += escape;
    } else if (sequence.length_ == 0 ||
               (form != Form::kUtf8 && IsControl(sequence.code_point_))) {
      AppendHex(out, bytes);
    } else {
      out += bytes;
    }
  }
  return out;
}

}  // namespace

bool IsUtf8(std::string_view text) {
  while (!text.empty()) {
    const Sequence sequence = ReadSequence(text);
    if (sequence.length_ == 0) {
      return false;
    }
    text.remove_prefix(sequence.length_);
  }
  return true;
}

std::string ToUtf8(std::string_view text) {
  return Convert(text, Form::kUtf8);
}

std::string ToLine(std::string_view text) {
  return Convert(text, Form::kLine);
}

std::string ToQuoted(std::string_view text) {
  return Convert(text, Form::kQuoted);
}

}  // namespace siskindrum::core
