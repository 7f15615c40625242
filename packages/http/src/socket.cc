#include <netinet/tcp.h>
#include <sys/socket.h>

#include "socket_p.h"

namespace siskindrum::http {

namespace {

// Large enough for the rate of any caller or server at the round-trip times
// within a site; the kernel doubles it for its own overhead.
constexpr int kKernelBufferBytes = 128 * 1024;

}  // namespace

void PrepareSocket(boost::asio::ip::tcp::socket& socket,
                   core::Milliseconds unacknowledged_time) {
  boost::system::error_code ignored;
  socket.non_blocking(true, ignored);
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  const auto timeout_ms = static_cast<unsigned>(unacknowledged_time.count());
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
             sizeof timeout_ms);
}

void BoundKernelBuffers(boost::asio::ip::tcp::socket& socket) {
  using boost::asio::socket_base;
  boost::system::error_code ignored;
  socket.set_option(socket_base::receive_buffer_size(kKernelBufferBytes),
                    ignored);
  socket.set_option(socket_base::send_buffer_size(kKernelBufferBytes), ignored);
}

void CloseSocket(boost::asio::ip::tcp::socket& socket, bool reset) {
  boost::system::error_code ignored;
  if (reset) {
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  }
  socket.close(ignored);
}

}  // namespace siskindrum::http
