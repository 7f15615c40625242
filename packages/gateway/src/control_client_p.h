#ifndef SISKINDRUM_GATEWAY_CONTROL_CLIENT_P_H_
#define SISKINDRUM_GATEWAY_CONTROL_CLIENT_P_H_

#include <functional>
#include <string>

#include "siskindrum/dispatch/event.h"
#include "siskindrum/gateway/dialect.h"
#include "siskindrum/http/backend_pool.h"

namespace siskindrum::gateway {

// Dependencies of the control client.
struct ControlClientContext {
  const Dialect& dialect_;
  http::BackendPool& pool_;
  std::string name_;  // Name of this entry.
  std::function<void(dispatch::Event)> post_;
  std::function<void(core::LogEvent)> log_;
};

// Sends the gateway's own requests to servers. Network thread only.
class ControlClient {
 public:
  explicit ControlClient(ControlClientContext context);

  // Of the answers to these only the server's notices are used; a call that
  // fails is logged.
  void Send(const dispatch::FreeHandle& free);
  void Send(const dispatch::ReleaseReservation& release);
  void Send(const dispatch::SwitchToDecode& order);
  // The answer is posted to the dispatcher as an event.
  void Send(const dispatch::ListRetainedPrompts& list);
  void Send(const dispatch::ListRuns& list);

 private:
  // The server process that a request is meant for.
  struct Target {
    std::string server_;
    std::string address_;
    core::Incarnation incarnation_ = 0;
  };

  // Passes on what the server said about itself. Skips the answer to another
  // request.
  http::AnswerDecision OnHead(const Target& target, const http::Head& head);
  // Sends a request whose whole answer `read` parses and posts; the error it
  // returns is logged with `failure_event`.
  void SendForAnswer(
      const Target& target,
      ControlRequest request,
      const std::string& failure_event,
      std::function<tl::expected<void, std::string>(const std::string& body)>
          read);
  void SendIgnoringAnswer(const Target& target,
                          ControlRequest request,
                          const std::string& failure_event);

  ControlClientContext context_;
};

}  // namespace siskindrum::gateway

#endif  // SISKINDRUM_GATEWAY_CONTROL_CLIENT_P_H_
