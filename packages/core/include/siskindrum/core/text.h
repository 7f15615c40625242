#ifndef SISKINDRUM_CORE_TEXT_H_
#define SISKINDRUM_CORE_TEXT_H_

#include <string>
#include <string_view>

// Rule for text from callers, servers, peers and the store: requests and
// answers carry its bytes unchanged, and so do comparisons and lookups. Where
// it reaches an operator (JSON, log lines, metric labels, explanations), a byte
// that is not part of well-formed UTF-8 is shown as \xHH, with two upper-case
// hexadecimal digits. Unlike U+FFFD, this keeps different bytes apart and lets
// operators search for them.

namespace siskindrum::core {

// Returns true if the text is well-formed UTF-8: no overlong encodings,
// surrogates or code points above U+10FFFF. Thread-safe: yes.
bool IsUtf8(std::string_view text);

// Replaces the bytes that are not part of well-formed UTF-8 according to the
// rule above. For JSON, which escapes control characters itself.
// Thread-safe: yes.
std::string ToUtf8(std::string_view text);

// As ToUtf8; shows control characters as \xHH too, so that the text cannot
// begin a line of its own. Thread-safe: yes.
std::string ToLine(std::string_view text);

// As ToLine, with backslashes and double quotes escaped by a backslash, and
// with \n, \r and \t. For use within double quotes. Thread-safe: yes.
std::string ToQuoted(std::string_view text);

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_TEXT_H_
