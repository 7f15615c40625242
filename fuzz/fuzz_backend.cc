#include <cstdint>
#include <string>

#include "siskindrum/backend/engine.h"
#include "siskindrum/registry/registry.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  (void)siskindrum::backend::ParseDecodeLine(text);
  (void)siskindrum::backend::ParseLoad(text);
  (void)siskindrum::backend::ParsePrefill(text);
  (void)siskindrum::registry::ParseInstances(text);
  (void)siskindrum::registry::ParsePublished(text);
  return 0;
}
