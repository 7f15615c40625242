#include "siskindrum/core/store_position.h"

namespace siskindrum::core {

std::string ToString(const StorePosition& position) {
  const std::string revision = std::to_string(position.revision_);
  return position.era_ == 0 ? revision
                            : std::to_string(position.era_) + "." + revision;
}

}  // namespace siskindrum::core
