#ifndef SISKINDRUM_GATEWAY_WHERE_P_H_
#define SISKINDRUM_GATEWAY_WHERE_P_H_

#include <string>

#include <tl/expected.hpp>

#include "siskindrum/dispatch/preview.h"

namespace siskindrum::gateway {

// An operator's question where a request would go now.
struct WhereQuestion {
  dispatch::CallerCall call_;
  std::string organisation_;  // Empty: as the key says.
  bool as_json_ = false;
};

// Reads the target "/where?path=...&..."; `key` is the caller's, empty for
// none. Returns what is wrong with it otherwise. Thread-safe: yes.
tl::expected<WhereQuestion, std::string> ParseWhere(const std::string& target,
                                                    const std::string& key);

// Answers the question, as text or as JSON. No key is part of it. Thread-safe:
// no.
std::string WhereText(const dispatch::Dispatcher& dispatcher,
                      const WhereQuestion& question,
                      core::TimePoint now);

}  // namespace siskindrum::gateway

#endif  // SISKINDRUM_GATEWAY_WHERE_P_H_
