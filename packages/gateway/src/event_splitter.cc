#include "siskindrum/gateway/event_splitter.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace siskindrum::gateway {

namespace {

// Length of the first complete event with its terminating empty line; zero:
// none. Each line ends in LF or CRLF.
std::size_t EventLength(std::string_view text) {
  std::size_t begin = 0;
  std::size_t end = text.find('\n');
  while (end != std::string_view::npos) {
    const std::string_view line = text.substr(begin, end - begin);
    if (line.empty() || line == "\r") {
      return end + 1;
    }
    begin = end + 1;
    end = text.find('\n', begin);
  }
  return 0;
}

std::optional<std::uint64_t> EventId(std::string_view event) {
  for (absl::string_view line :
       absl::StrSplit(absl::string_view(event.data(), event.size()), '\n')) {
    if (!absl::ConsumePrefix(&line, "id:")) {
      continue;
    }
    std::uint64_t id = 0;
    if (absl::SimpleAtoi(absl::StripAsciiWhitespace(line), &id)) {
      return id;
    }
  }
  return std::nullopt;
}

}  // namespace

std::string ExtractEvents(EventSplitter& splitter, std::string_view bytes) {
  splitter.partial_.append(bytes);
  std::string whole;
  std::size_t taken = 0;
  while (true) {
    const std::string_view rest =
        std::string_view(splitter.partial_).substr(taken);
    const std::size_t length = EventLength(rest);
    if (length == 0) {
      break;
    }
    taken += length;
    const std::optional<std::uint64_t> id = EventId(rest.substr(0, length));
    const bool is_duplicate = id.has_value() &&
                              splitter.last_event_.has_value() &&
                              *id <= *splitter.last_event_;
    if (is_duplicate) {
      continue;
    }
    if (id.has_value()) {
      splitter.last_event_ = id;
    }
    whole.append(rest.substr(0, length));
  }
  splitter.partial_.erase(0, taken);
  return whole;
}

void DiscardPartial(EventSplitter& splitter) {
  splitter.partial_.clear();
}

}  // namespace siskindrum::gateway
