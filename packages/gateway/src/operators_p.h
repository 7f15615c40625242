#ifndef SISKINDRUM_GATEWAY_OPERATORS_P_H_
#define SISKINDRUM_GATEWAY_OPERATORS_P_H_

#include <cstdint>
#include <functional>
#include <string>

#include "siskindrum/dispatch/dispatcher.h"
#include "siskindrum/http/backend_pool.h"
#include "siskindrum/memory/budget.h"
#include "siskindrum/peer/node.h"
#include "siskindrum/telemetry/metrics.h"

namespace siskindrum::gateway {

// Counters of the dispatcher and the connections in the metrics text format.
// Thread-safe: no.
std::string MetricsText(const telemetry::Metrics& metrics,
                        const dispatch::Dispatcher& dispatcher,
                        const http::PoolCounters& pool,
                        const peer::NodeCounters& peers,
                        const memory::Budget& budget,
                        std::uint64_t memory_refusals);

// State of the dispatcher as JSON; times are given as ages. Thread-safe: no.
std::string DumpText(const dispatch::Dispatcher& dispatcher,
                     core::TimePoint now);

// Explains how a request was routed, with the line of the rules file that
// matched. Thread-safe: no.
std::string ExplainText(const dispatch::Dispatcher& dispatcher,
                        const std::string& label);

// An answer to an operator.
struct OperatorPage {
  int status_ = 0;
  std::string text_;
};

// Returns the page that `write` writes, or 404 if its text is empty. If it
// throws, the page is a 500 and the failure is logged. Thread-safe: yes, if
// `write` and `log` are.
OperatorPage MakeOperatorPage(
    const std::string& target,
    const std::function<std::string(const std::string&)>& write,
    const std::function<void(core::LogEvent)>& log);

}  // namespace siskindrum::gateway

#endif  // SISKINDRUM_GATEWAY_OPERATORS_P_H_
