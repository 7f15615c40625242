#ifndef SISKINDRUM_GATEWAY_EVENT_SPLITTER_H_
#define SISKINDRUM_GATEWAY_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace siskindrum::gateway {

// Cuts a text/event-stream into whole events and keeps the place of the caller
// in it, so that a stream that goes on at another server repeats nothing.
struct EventSplitter {
  std::string partial_;  // Of an event that is not whole yet.
  std::optional<std::uint64_t> last_event_;  // Passed on.
};

// Takes bytes of the stream and returns the whole events among them that the
// caller does not have yet, byte for byte. Thread-safe: no.
std::string ExtractEvents(EventSplitter& splitter, std::string_view bytes);

// Forgets what was read of an event when its server broke off.
// Thread-safe: no.
void DropPartial(EventSplitter& splitter);

}  // namespace siskindrum::gateway

#endif  // SISKINDRUM_GATEWAY_EVENT_SPLITTER_H_
