#ifndef SISKINDRUM_HTTP_ENDPOINT_H_
#define SISKINDRUM_HTTP_ENDPOINT_H_

#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <tl/expected.hpp>

namespace siskindrum::http {

// Reads "ip:port"; the error repeats the text. Port zero stands for any free
// one. Thread-safe: yes.
tl::expected<boost::asio::ip::tcp::endpoint, std::string> ParseEndpoint(
    const std::string& text);

}  // namespace siskindrum::http

#endif  // SISKINDRUM_HTTP_ENDPOINT_H_
