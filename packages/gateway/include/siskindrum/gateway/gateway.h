#ifndef SISKINDRUM_GATEWAY_GATEWAY_H_
#define SISKINDRUM_GATEWAY_GATEWAY_H_

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include "siskindrum/dispatch/dispatcher.h"
#include "siskindrum/gateway/dialect.h"
#include "siskindrum/http/backend_pool.h"

namespace siskindrum::gateway {

struct GatewayOptions {
  // Options of the dispatcher; the gateway sets the incarnation and the seed.
  dispatch::DispatcherOptions decisions_;
  std::string callers_address_;    // "ip:port" of the callers' listener.
  std::string ready_address_;      // Readiness probes; empty: no listener.
  std::string operators_address_;  // Metrics, dump, explain; empty: none.
  // Identifies the deployment; messages of peers with another value are
  // refused.
  std::string fleet_;
  // A drain stops at the latest after this time and cuts open requests.
  core::Milliseconds drain_limit_{7000};
  Dialect dialect_;
};

// A streaming reverse proxy for one entry. All connections are served by one
// network thread; the dispatcher and the log writer have a thread each.
class Gateway {
 public:
  explicit Gateway(const GatewayOptions& options);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Binds all addresses; the error names the one that failed. Call once.
  tl::expected<void, std::string> Start();

  // Runs the network event loop on the calling thread until a drain has ended.
  // Requires: Start succeeded.
  void Run();

  // Reports not ready, stops accepting connections once load balancers have had
  // time to notice, waits for requests in progress, and ends Run. Network
  // thread only.
  void Drain();

  // For clients of the platform that share the network thread.
  boost::asio::io_context& Context();
  http::BackendPool& Pool();

  // Queues an event for the dispatcher. Thread-safe: yes.
  void Post(dispatch::Event event);
  // Writes a log line without blocking. Thread-safe: yes.
  void Log(core::LogEvent event);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace siskindrum::gateway

#endif  // SISKINDRUM_GATEWAY_GATEWAY_H_
