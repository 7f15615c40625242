#include "siskindrum/core/verdict.h"

#include <algorithm>

namespace siskindrum::core {

const char* ToString(RunState state) {
  static constexpr const char* kNames[] = {"not_run", "may_have_run", "ran"};
  return kNames[static_cast<int>(state)];
}

const char* ToString(Reason reason) {
  static constexpr const char* kNames[] = {
      "none",
      "no_rule",
      "refused_by_rule",
      "no_server",
      "overloaded",
      "deadline",
      "organisation_limit",
      "connect_failed",
      "connection_lost",
      "server_refused",
      "server_error",
      "bad_answer",
      "evicted",
      "caller_gone",
      "draining",
      "not_ready",
      "key_malformed",
      "key_home_unreachable",
      "key_unknown_past",
      "key_closed",
      "key_in_progress",
      "key_answer_dropped",
      "send_too_old",
      "retries_exhausted",
      "too_large",
      "quarantined",
      "unauthorised",
      "version_unknown",
  };
  static_assert(std::size(kNames) == static_cast<std::size_t>(Reason::kCount));
  return kNames[static_cast<int>(reason)];
}

RunState MaxState(RunState a, RunState b) {
  return std::max(a, b);
}

}  // namespace siskindrum::core
