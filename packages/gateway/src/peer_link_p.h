#ifndef SISKINDRUM_GATEWAY_PEER_LINK_P_H_
#define SISKINDRUM_GATEWAY_PEER_LINK_P_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "siskindrum/dispatch/event.h"
#include "siskindrum/peer/node.h"

namespace siskindrum::gateway {

struct PeerLinkOptions {
  std::string address_;  // "ip:port" to listen on; empty: no peers.
  std::string fleet_;
};

// Called on the link's own thread, `log_` also on the threads that call Send.
// Both must be thread-safe.
struct PeerLinkHandlers {
  std::function<void(dispatch::Event)> post_;
  std::function<void(core::LogEvent)> log_;
};

// Exchanges messages between the dispatchers of this entry and its peers.
class PeerLink {
 public:
  PeerLink(PeerLinkOptions options, PeerLinkHandlers handlers);

  // Binds the address and starts the thread. Call once.
  tl::expected<void, std::string> Start();
  // Ends the thread. Thread-safe: no.
  void Stop();
  // Sends a message without a delivery guarantee. Thread-safe: yes.
  void Send(const dispatch::SendPeerMessage& send);
  // All zero when there are no peers. Thread-safe: yes.
  peer::NodeCounters Counters() const;

 private:
  bool OnMessage(const std::string& bytes);

  PeerLinkOptions options_;
  PeerLinkHandlers handlers_;
  std::unique_ptr<peer::Node> node_;
  std::atomic<bool> running_{false};
};

}  // namespace siskindrum::gateway

#endif  // SISKINDRUM_GATEWAY_PEER_LINK_P_H_
