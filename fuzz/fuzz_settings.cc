#include <cstdint>
#include <string>

#include "siskindrum/settings/settings.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  (void)siskindrum::settings::ParseSettings(text, "fuzz");
  return 0;
}
