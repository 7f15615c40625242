#ifndef SISKINDRUM_HTTP_SOCKET_P_H_
#define SISKINDRUM_HTTP_SOCKET_P_H_

#include <boost/asio/ip/tcp.hpp>

#include "siskindrum/core/types.h"

namespace siskindrum::http {

// Sets the common socket options: TCP_NODELAY, non-blocking mode and a limit on
// how long sent data may stay unacknowledged or the peer's receive window
// closed (TCP_USER_TIMEOUT). Thread-safe: no.
void PrepareSocket(boost::asio::ip::tcp::socket& socket,
                   core::Milliseconds unacknowledged_time);

// Bounds the kernel's buffers of a socket, which would otherwise grow to
// several megabytes and count against the same memory limit. Thread-safe: no.
void BoundKernelBuffers(boost::asio::ip::tcp::socket& socket);

// Closes a socket. With `reset` it sends a TCP reset, so that the peer detects
// a truncated message. Thread-safe: no.
void CloseSocket(boost::asio::ip::tcp::socket& socket, bool reset);

}  // namespace siskindrum::http

#endif  // SISKINDRUM_HTTP_SOCKET_P_H_
