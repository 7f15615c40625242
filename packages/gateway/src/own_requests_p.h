#ifndef SISKINDRUM_GATEWAY_OWN_REQUESTS_P_H_
#define SISKINDRUM_GATEWAY_OWN_REQUESTS_P_H_

#include <cstdint>
#include <functional>
#include <string>

#include "siskindrum/dispatch/event.h"
#include "siskindrum/gateway/dialect.h"
#include "siskindrum/http/backend_pool.h"

namespace siskindrum::gateway {

// What own requests share with the gateway.
struct OwnRequestContext {
  const Dialect& dialect_;
  http::BackendPool& pool_;
  std::string name_;  // Of this entry.
  std::function<void(dispatch::Event)> post_;
  std::function<void(core::LogEvent)> log_;
};

// Sends requests that are this system's own, on behalf of no caller. Network
// thread only.
class OwnRequests {
 public:
  explicit OwnRequests(OwnRequestContext context);

  // The answers of these change nothing; a failure is logged.
  void Send(const dispatch::FreeHandle& free);
  void Send(const dispatch::ReleaseReservation& drop);
  void Send(const dispatch::SwitchToDecode& turn);
  // The answer is posted to the decisions.
  void Send(const dispatch::ListRetainedPrompts& list);

 private:
  void SendBlind(const std::string& address,
                 OwnRequest request,
                 const std::string& failure_event);

  OwnRequestContext context_;
  std::uint64_t last_fence_ = 0;
};

}  // namespace siskindrum::gateway

#endif  // SISKINDRUM_GATEWAY_OWN_REQUESTS_P_H_
