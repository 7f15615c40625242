#ifndef SISKINDRUM_HTTP_SOCKET_P_H_
#define SISKINDRUM_HTTP_SOCKET_P_H_

#include <boost/asio/ip/tcp.hpp>

namespace siskindrum::http {

// Sets the common socket options: TCP_NODELAY, non-blocking mode and a limit on
// how long sent data may stay unacknowledged (TCP_USER_TIMEOUT). Thread-safe:
// no.
void PrepareSocket(boost::asio::ip::tcp::socket& socket);

// Closes a socket. With `reset` it sends a TCP reset, so that the peer detects
// a truncated message. Thread-safe: no.
void CloseSocket(boost::asio::ip::tcp::socket& socket, bool reset);

}  // namespace siskindrum::http

#endif  // SISKINDRUM_HTTP_SOCKET_P_H_
