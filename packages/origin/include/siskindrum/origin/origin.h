#ifndef SISKINDRUM_ORIGIN_ORIGIN_H_
#define SISKINDRUM_ORIGIN_ORIGIN_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "siskindrum/core/types.h"

// Which software version of a pool's servers began a stream. A stream may go on
// only at that version; servers do not check it. Pure: no I/O, no clock.
namespace siskindrum::origin {

using core::TimePoint;

// Identifies a stream by the label of the caller's request that brought its
// first event.
using StreamKey = std::uint32_t;

// Least time after its first event in which a stream may be resumed.
inline constexpr core::Milliseconds kMinLifetime{30000};
// Streams known at a time; the oldest are forgotten first.
inline constexpr std::size_t kMaxStreams = 65536;

// Returns the key of the stream that this request began. Thread-safe: yes.
StreamKey KeyOf(std::string_view label);

struct StreamOrigin {
  std::string version_;
  TimePoint recorded_at_{};
};

// Versions of one pool's servers.
struct PoolVersions {
  std::set<std::string> listed_;
  std::map<std::string, TimePoint> left_at_;  // Of those listed no more.
};

// What one process knows.
struct Origins {
  // No stream is resumed later than this after its first event.
  core::Milliseconds lifetime_ = kMinLifetime;
  std::unordered_map<StreamKey, StreamOrigin> streams_;
  std::deque<std::pair<TimePoint, StreamKey>> order_;  // As recorded.
  std::map<std::string, PoolVersions> pools_;
  // Since when the process has seen all versions of the pools. The start of the
  // clock: since the first start of the deployment.
  TimePoint complete_since_{};
};

// Records that the version began the stream, or that the stream goes on.
// Thread-safe: no.
void RecordStream(Origins& origins,
                  StreamKey stream,
                  const std::string& version,
                  TimePoint now);

// Returns the version that began the stream; nothing: not known. Thread-safe:
// no.
std::optional<std::string> FindVersion(const Origins& origins,
                                       StreamKey stream,
                                       TimePoint now);

// Records which versions the list has of each pool now. Thread-safe: no.
void RecordVersions(Origins& origins,
                    const std::map<std::string, std::set<std::string>>& listed,
                    TimePoint now);

// Returns the version of the pool if it has had no other for so long that each
// stream in progress was begun at it; nothing: there were several, or this
// process does not know for long enough. Thread-safe: no.
std::optional<std::string> OnlyVersion(const Origins& origins,
                                       const std::string& pool,
                                       TimePoint now);

// Returns the version that all have in common; nothing: there are several, or
// none. Thread-safe: yes.
std::optional<std::string> CommonVersion(
    const std::vector<std::string>& versions);

// Forgets the streams that can no longer be resumed. Thread-safe: no.
void RemoveExpired(Origins& origins, TimePoint now);

}  // namespace siskindrum::origin

#endif  // SISKINDRUM_ORIGIN_ORIGIN_H_
