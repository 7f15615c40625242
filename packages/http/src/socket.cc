#include <netinet/tcp.h>
#include <sys/socket.h>

#include "socket_p.h"

namespace siskindrum::http {

namespace {

constexpr unsigned kUserTimeoutMs = 3000;

}  // namespace

void PrepareSocket(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.non_blocking(true, ignored);
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
             &kUserTimeoutMs, sizeof kUserTimeoutMs);
}

void CloseSocket(boost::asio::ip::tcp::socket& socket, bool reset) {
  boost::system::error_code ignored;
  if (reset) {
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  }
  socket.close(ignored);
}

}  // namespace siskindrum::http
