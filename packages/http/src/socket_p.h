#ifndef SISKINDRUM_HTTP_SOCKET_P_H_
#define SISKINDRUM_HTTP_SOCKET_P_H_

#include <boost/asio/ip/tcp.hpp>

namespace siskindrum::http {

// Sets the options that all connections share: no delay, not blocking, and a
// limit on how long sent bytes may stay unacknowledged. Thread-safe: no.
void PrepareSocket(boost::asio::ip::tcp::socket& socket);

// Closes a socket, by a reset if asked, so that the peer sees that what it has
// read is not the end. Thread-safe: no.
void CloseSocket(boost::asio::ip::tcp::socket& socket, bool reset);

}  // namespace siskindrum::http

#endif  // SISKINDRUM_HTTP_SOCKET_P_H_
