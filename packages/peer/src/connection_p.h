#ifndef SISKINDRUM_PEER_CONNECTION_P_H_
#define SISKINDRUM_PEER_CONNECTION_P_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

#include <nghttp2/nghttp2.h>

#include "siskindrum/core/types.h"
#include "siskindrum/peer/node.h"

namespace siskindrum::peer {

// A message on its way out.
struct Outgoing {
  std::string bytes_;
  std::uint64_t tag_ = 0;
  std::size_t offset_ = 0;  // Bytes the session has taken.
  core::TimePoint sent_at_{};
};

// A message on its way in.
struct Incoming {
  std::string bytes_;
  bool path_good_ = false;
  bool fleet_good_ = false;
  bool dropped_ = false;  // Too long, or one too many: its bytes are not kept.
};

// What connections share with their node.
struct Shared {
  const NodeOptions& options_;
  const NodeHandlers& handlers_;
  NodeCounters& counters_;
};

// One TCP connection with its HTTP/2 session; client side when `address_` is
// set. Used by the node's thread only.
struct Connection {
  Shared* shared_ = nullptr;
  int socket_ = -1;
  std::string address_;
  bool connecting_ = false;
  bool broken_ = false;
  core::TimePoint opened_at_{};
  nghttp2_session* session_ = nullptr;
  std::string unsent_;            // Bytes the kernel did not take.
  std::deque<Outgoing> waiting_;  // Until connected.
  std::map<std::int32_t, Outgoing> outgoing_;
  std::map<std::int32_t, Incoming> incoming_;
  std::size_t incoming_bytes_ = 0;  // Of all messages in `incoming_`.
};

// Makes the session; false when memory is short.
bool OpenSession(Connection& connection);

// Hands a message to the session as one request.
void SubmitMessage(Connection& connection, Outgoing message);

// Reads and handles what the socket has. Marks the connection broken on error.
void ReadSocket(Connection& connection);

// Writes what the session wants to say. Marks the connection broken on error.
void WriteSocket(Connection& connection);

// True when there is something to write.
bool WantsWrite(const Connection& connection);

// True when a message was handed over and not answered for so long that the
// connection must have fallen silent.
bool IsSilent(const Connection& connection, core::TimePoint now);

// Closes the socket and reports every message without an answer.
void CloseConnection(Connection& connection);

}  // namespace siskindrum::peer

#endif  // SISKINDRUM_PEER_CONNECTION_P_H_
