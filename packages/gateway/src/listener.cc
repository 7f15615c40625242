#include "listener_p.h"

#include <vector>

#include "absl/strings/str_cat.h"
#include "siskindrum/http/endpoint.h"

namespace siskindrum::gateway {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr int kBacklog = 512;

}  // namespace

Listener::Listener(boost::asio::io_context& context,
                   http::CallerHandlers handlers)
    : context_(context), acceptor_(context), handlers_(std::move(handlers)) {
  handlers_.on_closed_ = [this](http::CallerConnection& connection) {
    connections_.erase(&connection);
  };
}

tl::expected<void, std::string> Listener::Open(const std::string& address) {
  const auto endpoint = http::ParseEndpoint(address);
  if (!endpoint.has_value()) {
    return tl::unexpected(endpoint.error());
  }
  error_code error;
  acceptor_.open(endpoint->protocol(), error);
  if (!error) {
    acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    acceptor_.bind(*endpoint, error);
  }
  if (!error) {
    acceptor_.listen(kBacklog, error);
  }
  if (error) {
    return tl::unexpected(absl::StrCat(address, ": ", error.message()));
  }
  Accept();
  return {};
}

void Listener::Accept() {
  acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) {
      return;
    }
    if (!error) {
      auto connection = std::make_shared<http::CallerConnection>(
          std::move(socket), limits_, handlers_);
      connections_[connection.get()] = connection;
      if (draining_) {
        connection->Drain(false);
      }
      connection->Start();
    }
    if (acceptor_.is_open()) {
      Accept();
    }
  });
}

void Listener::Close() {
  error_code ignored;
  acceptor_.close(ignored);
}

void Listener::SetLimits(const http::CallerLimits& limits) {
  limits_ = limits;
}

void Listener::Drain(bool close_idle) {
  draining_ = true;
  std::vector<std::shared_ptr<http::CallerConnection>> all;
  for (const auto& [key, connection] : connections_) {
    all.push_back(connection);
  }
  for (const auto& connection : all) {
    connection->Drain(close_idle);
  }
}

void Listener::Sweep(core::TimePoint now) {
  std::vector<std::shared_ptr<http::CallerConnection>> all;
  all.reserve(connections_.size());
  for (const auto& [key, connection] : connections_) {
    all.push_back(connection);
  }
  for (const auto& connection : all) {
    connection->Sweep(now);
  }
}

}  // namespace siskindrum::gateway
