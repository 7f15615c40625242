#ifndef SISKINDRUM_GATEWAY_LISTENER_P_H_
#define SISKINDRUM_GATEWAY_LISTENER_P_H_

#include <memory>
#include <string>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <tl/expected.hpp>

#include "siskindrum/http/caller_connection.h"

namespace siskindrum::gateway {

// Accepts connections on one address and owns them. Network thread only.
class Listener {
 public:
  // The listener replaces on_closed_ of `handlers` by its own.
  Listener(boost::asio::io_context& context, http::CallerHandlers handlers);

  // Binds the address; the error names it. Call once.
  tl::expected<void, std::string> Open(const std::string& address);
  // Stops accepting connections.
  void Close();
  void SetLimits(const http::CallerLimits& limits);
  void Drain(bool close_idle);
  void Sweep(core::TimePoint now);
  std::size_t Connections() const { return connections_.size(); }

 private:
  void Accept();

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  http::CallerHandlers handlers_;
  http::CallerLimits limits_;
  bool draining_ = false;
  std::unordered_map<http::CallerConnection*,
                     std::shared_ptr<http::CallerConnection>>
      connections_;
};

}  // namespace siskindrum::gateway

#endif  // SISKINDRUM_GATEWAY_LISTENER_P_H_
