#ifndef SISKINDRUM_GATEWAY_GATEWAY_H_
#define SISKINDRUM_GATEWAY_GATEWAY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include "siskindrum/dispatch/dispatcher.h"
#include "siskindrum/gateway/dialect.h"
#include "siskindrum/http/backend_pool.h"
#include "siskindrum/memory/budget.h"

namespace siskindrum::gateway {

struct GatewayOptions {
  // Options of the dispatcher; the gateway sets the incarnation and the seed.
  dispatch::DispatcherOptions decisions_;
  std::string callers_address_;    // "ip:port" of the callers' listener.
  std::string ready_address_;      // Readiness probes; empty: no listener.
  std::string operators_address_;  // Metrics, dump, explain; empty: none.
  // ID of the deployment; messages from peers with another value are rejected.
  std::string fleet_;
  // Maximum duration of a drain. Shortly before, requests whose answer has not
  // begun are refused or failed; answers still in progress are then aborted.
  core::Milliseconds drain_limit_{7000};
  // Bytes of memory above which the platform ends this process; zero: unknown,
  // and what is held for requests is counted but not bounded.
  std::uint64_t memory_limit_ = 0;
  Dialect dialect_;
  // Asks for a confirmation of the server list, which is then posted as
  // dispatch::ListConfirmed; null: nobody can confirm it. Called on the network
  // thread, while Run runs.
  std::function<void()> confirm_list_;
};

// A streaming reverse proxy. Each gateway process is one entry of a deployment;
// the other entries are its peers. One network thread serves all connections
// of callers and servers; the dispatcher, the log writer and the link to the
// peers have threads of their own.
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

  // Reports not ready, keeps accepting connections until load balancers have
  // had time to notice, waits for requests in progress, and ends Run. Later
  // requests are refused, unless they end in time. Network thread only.
  void Drain();

  // Event loop and connection pool of the network thread, for the platform
  // adapter's own calls.
  boost::asio::io_context& Context();
  http::BackendPool& Pool();
  // Counts what this process holds for requests. Thread-safe: yes.
  memory::Budget& MemoryBudget();

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
