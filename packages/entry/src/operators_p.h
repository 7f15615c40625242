#ifndef SISKINDRUM_ENTRY_OPERATORS_P_H_
#define SISKINDRUM_ENTRY_OPERATORS_P_H_

#include <functional>
#include <thread>

#include <httplib.h>

#include "driver_p.h"
#include "siskindrum/peer/node.h"

namespace siskindrum::entry {

// The interface towards operators, on an address of its own: /healthz,
// /readyz, /metrics, /dump and /explain?request=ID.
class Operators {
 public:
  Operators(DriverContext context, const peer::Node& node);

  tl::expected<void, std::string> Start();
  void Stop();

 private:
  void Route();
  void Metrics(httplib::Response& response);
  void Explain(const httplib::Request& request, httplib::Response& response);
  // Answers with what `write` makes of the router, or 503.
  void Answer(httplib::Response& response,
              const char* content_type,
              const std::function<std::string(const core::Router&,
                                              const core::Now&)>& write);

  DriverContext context_;
  const peer::Node& node_;
  httplib::Server server_;
  std::thread thread_;
};

}  // namespace siskindrum::entry

#endif  // SISKINDRUM_ENTRY_OPERATORS_P_H_
