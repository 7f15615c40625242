#ifndef SISKINDRUM_HTTP_ENDPOINT_H_
#define SISKINDRUM_HTTP_ENDPOINT_H_

#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <tl/expected.hpp>

namespace siskindrum::http {

// Parses "ip:port". The error message contains the text. Port zero selects any
// free port. Thread-safe: yes.
tl::expected<boost::asio::ip::tcp::endpoint, std::string> ParseEndpoint(
    const std::string& text);

}  // namespace siskindrum::http

#endif  // SISKINDRUM_HTTP_ENDPOINT_H_
