#include "siskindrum/http/endpoint.h"

#include <cstdint>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace siskindrum::http {

tl::expected<boost::asio::ip::tcp::endpoint, std::string> ParseEndpoint(
    const std::string& text) {
  constexpr std::uint32_t kMaxPort = 65535;
  const std::size_t colon = text.rfind(':');
  std::uint32_t port = 0;
  boost::system::error_code error;
  if (colon == std::string::npos ||
      !absl::SimpleAtoi(text.substr(colon + 1), &port) || port > kMaxPort) {
    return tl::unexpected(absl::StrCat(text, ": expected ip:port"));
  }
  const auto ip = boost::asio::ip::make_address(text.substr(0, colon), error);
  if (error) {
    return tl::unexpected(absl::StrCat(text, ": expected ip:port"));
  }
  return boost::asio::ip::tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

}  // namespace siskindrum::http
