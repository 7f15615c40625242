#ifndef SISKINDRUM_GATEWAY_EVENT_SPLITTER_H_
#define SISKINDRUM_GATEWAY_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace siskindrum::gateway {

// Splits a text/event-stream into whole events and tracks the last event that
// the caller received, so that a stream resumed at another server repeats none.
struct EventSplitter {
  std::string partial_;  // Bytes of an incomplete event.
  // ID of the last event returned by ExtractEvents.
  std::optional<std::uint64_t> last_event_;
};

// Appends bytes of the stream and returns the events that they complete,
// unchanged. Skips events whose ID is not above `last_event_`. Thread-safe: no.
std::string ExtractEvents(EventSplitter& splitter, std::string_view bytes);

// Discards an incomplete event after its stream was interrupted.
// Thread-safe: no.
void DiscardPartial(EventSplitter& splitter);

}  // namespace siskindrum::gateway

#endif  // SISKINDRUM_GATEWAY_EVENT_SPLITTER_H_
