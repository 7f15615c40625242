#include "siskindrum/http/body.h"

#include <algorithm>

namespace siskindrum::http {

namespace {

// Small against the bodies whose memory matters, and below the size for which
// the allocator asks the system for pages of their own.
constexpr std::size_t kBlockBytes = 64 * 1024;

}  // namespace

void Body::Append(std::string_view bytes, std::size_t expected) {
  while (!bytes.empty()) {
    if (blocks_.empty() || blocks_.back().size() == kBlockBytes) {
      const std::size_t left = expected > size_ ? expected - size_ : 0;
      // Without a known size only a first block may turn out small.
      const std::size_t capacity =
          left > 0 || blocks_.empty() ? left : kBlockBytes;
      blocks_.emplace_back().reserve(std::min(capacity, kBlockBytes));
    }
    std::string& block = blocks_.back();
    const std::size_t count =
        std::min(bytes.size(), kBlockBytes - block.size());
    block.append(bytes.substr(0, count));
    bytes.remove_prefix(count);
    size_ += count;
  }
}

void Body::AppendBuffers(
    std::vector<boost::asio::const_buffer>& buffers) const {
  for (const std::string& block : blocks_) {
    buffers.emplace_back(block.data(), block.size());
  }
}

std::string Body::ToString() const {
  std::string text;
  for (const std::string& block : blocks_) {
    text += block;
  }
  return text;
}

}  // namespace siskindrum::http
