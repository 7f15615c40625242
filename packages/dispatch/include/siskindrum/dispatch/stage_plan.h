#ifndef SISKINDRUM_DISPATCH_STAGE_PLAN_H_
#define SISKINDRUM_DISPATCH_STAGE_PLAN_H_

#include <string>
#include <vector>

#include "siskindrum/dispatch/server_pool.h"

namespace siskindrum::dispatch {

// Returns the prefill engines of all pools that should become decode engines.
// An answer holds memory of a decode engine for seconds while a prompt occupies
// a prefill engine for a tenth of a second, so decode memory runs out while
// prefill engines are idle. Decode engines can take over prefills, but prefill
// engines cannot decode. Thread-safe: no.
std::vector<std::string> PrefillEnginesToConvert(const ServerPool& pool,
                                                 TimePoint now);

}  // namespace siskindrum::dispatch

#endif  // SISKINDRUM_DISPATCH_STAGE_PLAN_H_
