#ifndef SISKINDRUM_HTTP_BODY_H_
#define SISKINDRUM_HTTP_BODY_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>

#include "siskindrum/memory/budget.h"

namespace siskindrum::http {

// The body of a request, with the charge for the whole request. Held in blocks
// so that it grows without being copied. Attempts at servers share one body
// and write its blocks. Thread-safe: no, except for constant bodies.
class Body {
 public:
  Body() = default;
  explicit Body(memory::Charge charge) : charge_(std::move(charge)) {}

  // Appends bytes. Buffers returned earlier become invalid. `expected` is the
  // final size if it is known, else zero.
  void Append(std::string_view bytes, std::size_t expected = 0);

  std::size_t Size() const { return size_; }
  memory::Charge& Charge() { return charge_; }
  // Appends the body's blocks for a gathering write; they are valid as long as
  // the body is neither changed nor destroyed.
  void AppendBuffers(std::vector<boost::asio::const_buffer>& buffers) const;
  std::string ToString() const;

 private:
  std::vector<std::string> blocks_;
  std::size_t size_ = 0;
  memory::Charge charge_;
};

}  // namespace siskindrum::http

#endif  // SISKINDRUM_HTTP_BODY_H_
