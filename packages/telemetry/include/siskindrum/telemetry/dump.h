#ifndef SISKINDRUM_TELEMETRY_DUMP_H_
#define SISKINDRUM_TELEMETRY_DUMP_H_

#include <string>

#include "siskindrum/core/router.h"

namespace siskindrum::telemetry {

// Writes the whole state of a router as JSON, with the age of each belief.
// Thread-safe: no; call it on the thread that owns the router.
std::string DumpRouter(const core::Router& router, const core::Now& now);

}  // namespace siskindrum::telemetry

#endif  // SISKINDRUM_TELEMETRY_DUMP_H_
