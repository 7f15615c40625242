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
  // Of the decisions; the gateway itself makes the incarnation and the seed.
  dispatch::DispatcherOptions decisions_;
  std::string callers_address_;    // "ip:port" of the callers' listener.
  std::string ready_address_;      // Empty: none of its own.
  std::string operators_address_;  // Metrics, dump, explain; empty: none.
  std::string fleet_;              // Entries of another fleet are refused.
  core::Milliseconds drain_limit_{7000};
  Dialect dialect_;
};

// An entry that passes requests on as they come: one network thread for all
// connections, the decisions on a thread of their own, logs on a third.
class Gateway {
 public:
  explicit Gateway(const GatewayOptions& options);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Binds all addresses; the error names the one that failed. Call once.
  tl::expected<void, std::string> Start();

  // Runs the network thread's work on the calling thread until a drain has
  // ended. Requires: Start succeeded.
  void Run();

  // Lets requests in progress end, takes no new callers after a while, and
  // then ends Run. Network thread only.
  void Drain();

  // For readers of the platform that share the network thread.
  boost::asio::io_context& Context();
  http::BackendPool& Pool();

  // Hands an event to the decisions. Thread-safe: yes.
  void Post(dispatch::Event event);
  // Writes a log line without blocking. Thread-safe: yes.
  void Log(core::LogEvent event);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace siskindrum::gateway

#endif  // SISKINDRUM_GATEWAY_GATEWAY_H_
