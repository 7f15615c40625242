#ifndef SISKINDRUM_CORE_JSON_TEXT_H_
#define SISKINDRUM_CORE_JSON_TEXT_H_

#include <string>

#include <nlohmann/json_fwd.hpp>

namespace siskindrum::core {

// Serializes JSON; strings and member names that are not UTF-8 follow the rule
// in text.h. Members whose names become equal are merged. `indent` is the
// number of spaces per level, -1 for a single line. Use this in place of
// json::dump(), which throws on such strings. Thread-safe: yes.
std::string ToJsonText(nlohmann::json value, int indent = -1);

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_JSON_TEXT_H_
