#include <cstdint>
#include <cstdlib>
#include <string>

#include "siskindrum/peer/codec.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string bytes(reinterpret_cast<const char*>(data), size);
  const auto message = siskindrum::peer::Decode(bytes);
  if (message.has_value() &&
      !siskindrum::peer::Decode(siskindrum::peer::Encode(*message))
           .has_value()) {
    std::abort();  // What was read must be writable.
  }
  return 0;
}
