#include <cstdint>
#include <string>

#include "siskindrum/rules/encoding.h"
#include "siskindrum/rules/explain.h"
#include "siskindrum/rules/rules.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  const auto parsed = siskindrum::rules::ParseRules(text);
  siskindrum::rules::HideKeys(text);
  if (parsed.has_value()) {
    siskindrum::rules::ExplainShape(parsed->rules_, {});
  }
  return 0;
}
