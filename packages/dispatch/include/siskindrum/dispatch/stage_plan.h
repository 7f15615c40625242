#ifndef SISKINDRUM_DISPATCH_STAGE_PLAN_H_
#define SISKINDRUM_DISPATCH_STAGE_PLAN_H_

#include <string>
#include <vector>

#include "siskindrum/dispatch/server_pool.h"

namespace siskindrum::dispatch {

// Prefill engines that should become decode engines, in all pools. The load it
// answers: an answer keeps a decode engine's memory for seconds, a prompt keeps
// a prefill engine for a tenth of one, so that memory at the decode engines
// runs out while prefill engines are idle. What is left of a prompt's work can
// be done by decode engines, the reverse cannot. Thread-safe: no.
std::vector<std::string> PrefillEnginesToConvert(const ServerPool& pool);

}  // namespace siskindrum::dispatch

#endif  // SISKINDRUM_DISPATCH_STAGE_PLAN_H_
