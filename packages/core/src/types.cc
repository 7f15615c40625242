#include "siskindrum/core/types.h"

#include <charconv>
#include <cstdio>

namespace siskindrum::core {

std::string ToString(const RequestId& id) {
  char buffer[48];
  std::snprintf(buffer, sizeof(buffer), "%016llx-%llu",
                static_cast<unsigned long long>(id.incarnation_),
                static_cast<unsigned long long>(id.sequence_));
  return buffer;
}

bool ParseRequestId(const std::string& text, RequestId* id) {
  const std::size_t dash = text.find('-');
  if (dash == std::string::npos || dash == 0) {
    return false;
  }
  const char* begin = text.data();
  const char* end = begin + text.size();
  const auto head = std::from_chars(begin, begin + dash, id->incarnation_, 16);
  const auto tail = std::from_chars(begin + dash + 1, end, id->sequence_, 10);
  return head.ec == std::errc() && head.ptr == begin + dash &&
         tail.ec == std::errc() && tail.ptr == end;
}

std::int64_t ToMilliseconds(Nanoseconds duration) {
  return std::chrono::ceil<Milliseconds>(duration).count();
}

const char* ToString(Priority priority) {
  static constexpr const char* kNames[] = {"low", "normal", "high"};
  return kNames[static_cast<int>(priority)];
}

bool ParsePriority(const std::string& text, Priority* priority) {
  for (int i = 0; i < static_cast<int>(Priority::kCount); ++i) {
    if (text == ToString(static_cast<Priority>(i))) {
      *priority = static_cast<Priority>(i);
      return true;
    }
  }
  return false;
}

}  // namespace siskindrum::core
