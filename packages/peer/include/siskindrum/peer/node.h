#ifndef SISKINDRUM_PEER_NODE_H_
#define SISKINDRUM_PEER_NODE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "siskindrum/core/event.h"
#include "siskindrum/core/verdict.h"

namespace siskindrum::peer {

struct NodeOptions {
  std::string host_;
  int port_ = 0;
  std::string fleet_;  // Frames of another fleet are refused.
};

// Called on the node's thread.
struct NodeHandlers {
  // A message came in; false refuses it.
  std::function<bool(std::string bytes)> received_;
  // A message could not be delivered, or may not have been.
  std::function<void(std::uint64_t tag, core::Verdict verdict)> failed_;
  // Receives the exceptions of the node's thread. Optional.
  std::function<void(core::LogEvent)> log_ = nullptr;
};

struct NodeCounters {
  std::uint64_t sent_ = 0;
  std::uint64_t received_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t failed_ = 0;
  std::uint64_t bytes_out_ = 0;
  std::uint64_t bytes_in_ = 0;
};

// Carries messages between entries over HTTP/2, one stream a message, on one
// thread. Delivery is not promised: a message that failed before it was handed
// to a connection is reported kNotRun, a later failure kMayHaveRun.
class Node {
 public:
  Node(NodeOptions options, NodeHandlers handlers);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Binds the address and starts the thread. Call once.
  tl::expected<void, std::string> Start();

  // Hands a message over; false when the ring to the thread is full.
  // Thread-safe: yes.
  bool Send(const std::string& address, std::string bytes, std::uint64_t tag);

  // Tries for up to `limit` to send what is queued, then ends the thread.
  // Thread-safe: no.
  void Stop(core::Milliseconds limit);

  // Thread-safe: yes.
  NodeCounters Counters() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace siskindrum::peer

#endif  // SISKINDRUM_PEER_NODE_H_
