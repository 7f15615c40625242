#ifndef SISKINDRUM_GATEWAY_OPERATORS_P_H_
#define SISKINDRUM_GATEWAY_OPERATORS_P_H_

#include <string>

#include "siskindrum/dispatch/dispatcher.h"
#include "siskindrum/http/backend_pool.h"
#include "siskindrum/peer/node.h"
#include "siskindrum/telemetry/metrics.h"

namespace siskindrum::gateway {

// Counters of the decisions and the connections as text. Thread-safe: no.
std::string MetricsText(const telemetry::Metrics& metrics,
                        const dispatch::Dispatcher& dispatcher,
                        const http::PoolCounters& pool,
                        const peer::NodeCounters& peers);

// Whole state of the decisions as JSON, with ages. Thread-safe: no.
std::string DumpText(const dispatch::Dispatcher& dispatcher,
                     core::TimePoint now);

// Why a request went where it did; the rule file's line included.
// Thread-safe: no.
std::string ExplainText(const dispatch::Dispatcher& dispatcher,
                        const std::string& label);

}  // namespace siskindrum::gateway

#endif  // SISKINDRUM_GATEWAY_OPERATORS_P_H_
