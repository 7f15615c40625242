#ifndef SISKINDRUM_BACKEND_PLAIN_H_
#define SISKINDRUM_BACKEND_PLAIN_H_

#include <tl/expected.hpp>

#include "siskindrum/backend/http_call.h"
#include "siskindrum/core/call.h"
#include "siskindrum/core/event.h"

namespace siskindrum::backend {

// Sends one call to a plain service, method, path and body as the caller gave
// them. A call that may not be repeated and was decided longer ago than
// core::kMaxSendAge is not sent: the process may have been paused meanwhile.
// Thread-safe: one call at a time for each `call`.
tl::expected<core::PlainAnswer, core::Verdict> CallPlain(
    HttpCall& call,
    const core::SendPlain& order);

}  // namespace siskindrum::backend

#endif  // SISKINDRUM_BACKEND_PLAIN_H_
