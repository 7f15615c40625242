#ifndef SISKINDRUM_RULES_ENCODING_H_
#define SISKINDRUM_RULES_ENCODING_H_

#include <optional>
#include <string>
#include <string_view>

namespace siskindrum::rules {

// Percent-encodes all bytes except ASCII letters, digits and those in `kept`.
// Thread-safe: yes.
std::string PercentEncode(std::string_view text, std::string_view kept);

// Encodes text so that it can stand in a word of the rules file. Thread-safe:
// yes.
std::string EncodeValue(std::string_view text);

// Decodes percent-encoded text; nothing when an escape is malformed.
// Thread-safe: yes.
std::optional<std::string> DecodeValue(const std::string& text);

// Returns the text of a rules file with the keys of organisations replaced, for
// display. Thread-safe: yes.
std::string HideKeys(const std::string& rules);

}  // namespace siskindrum::rules

#endif  // SISKINDRUM_RULES_ENCODING_H_
