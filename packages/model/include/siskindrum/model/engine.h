#ifndef SISKINDRUM_MODEL_ENGINE_H_
#define SISKINDRUM_MODEL_ENGINE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "siskindrum/core/fleet.h"
#include "siskindrum/core/types.h"

namespace siskindrum::model {

using core::Milliseconds;
using core::Nanoseconds;
using core::RequestId;
using core::TimePoint;

// How an engine behaves.
struct EngineSettings {
  std::uint32_t slots_ = 20;
  std::uint32_t total_pieces_ = 400;  // Of core::kPieceTokens each.
  Nanoseconds step_base_ = Milliseconds(18);
  Nanoseconds step_per_stream_ = std::chrono::microseconds(1000);
  double prefill_tokens_per_second_ = 20000;
  Nanoseconds prefill_overhead_ = Milliseconds(5);
  Nanoseconds evict_after_ = Milliseconds(800);
  double link_tokens_per_second_ = 200000;
  Nanoseconds reader_gone_hold_ = Milliseconds(3000);
  std::size_t prefix_entries_ = 32;
  std::size_t prefill_queue_ = 64;
};

// What an engine does wrong, on command.
struct EngineFaults {
  bool stalled_ = false;   // Nothing moves.
  bool refusing_ = false;  // Every new order is refused.
  double slowness_ = 1.0;  // Factor on every duration.
};

struct PrefillJob {
  RequestId request_;
  std::uint32_t attempt_ = 0;
  std::string owner_;
  std::uint32_t tokens_ = 0;
  std::uint64_t prefix_hash_ = 0;
  std::uint32_t prefix_tokens_ = 0;
  core::Priority priority_ = core::Priority::kNormal;
  TimePoint arrived_at_{};
};

struct PrefillOutput {
  RequestId request_;
  std::string owner_;
  std::uint32_t tokens_ = 0;
  TimePoint expires_at_{};
  TimePoint made_at_{};
  bool exporting_ = false;
};

struct Stream {
  RequestId request_;
  std::uint32_t attempt_ = 0;
  std::string owner_;
  std::uint32_t pieces_ = 0;
  std::uint32_t position_ = 0;  // Next to send.
  std::uint32_t end_position_ = 0;
  bool decoding_ = false;  // False while its import runs.
  TimePoint started_at_{};
  bool reader_gone_ = false;
  TimePoint reader_gone_at_{};
};

enum class ModelEventKind { kPrefillDone, kToken, kFinished, kCount };

struct ModelEvent {
  ModelEventKind kind_ = ModelEventKind::kToken;
  RequestId request_;
  std::uint32_t attempt_ = 0;
  std::uint32_t position_ = 0;
  std::uint32_t computed_ = 0;  // Tokens that a prefill did not find cached.
};

enum class Refusal { kFull, kRefusing, kEvicted, kCount };

// A model engine on the time that its caller gives: continuous batching,
// memory in pieces, a prefix cache, prefill results that are evicted, and an
// export link of limited rate.
struct Engine {
  EngineSettings settings_;
  EngineFaults faults_;
  bool draining_ = false;
  std::deque<PrefillJob> prefills_;  // The first one runs when prefilling_.
  bool prefilling_ = false;
  TimePoint prefill_ends_{};
  std::map<RequestId, PrefillOutput> outputs_;
  TimePoint link_free_{};
  std::map<RequestId, Stream> streams_;
  TimePoint next_step_{};
  bool stepping_ = false;
  std::deque<std::uint64_t> prefixes_;  // Most recent first.
  std::uint64_t prefill_tokens_done_ = 0;
  std::uint64_t evicted_ = 0;
};

// Queues a prefill. Thread-safe: no, as all functions here.
tl::expected<void, Refusal> AddPrefill(Engine& engine,
                                       const PrefillJob& job,
                                       TimePoint now);

// Starts to send a prefill result over the link; returns when the transfer
// ends. The result is not evicted meanwhile.
tl::expected<TimePoint, Refusal> BeginExport(Engine& engine,
                                             const RequestId& request,
                                             TimePoint now);

// Frees an exported result.
void EndExport(Engine& engine, const RequestId& request);

// Reserves a slot and memory for a stream whose import begins.
tl::expected<void, Refusal> AddStream(Engine& engine,
                                      Stream stream,
                                      TimePoint now);

// Lets an imported stream decode from the next step on.
void BeginDecode(Engine& engine, const RequestId& request, TimePoint now);

// Frees everything that the request holds; returns how many things it held.
std::size_t CancelRequest(Engine& engine,
                          const RequestId& request,
                          TimePoint now);

// Notes that nobody reads a stream any more; it is freed after the hold time.
void NoteReaderGone(Engine& engine, const RequestId& request, TimePoint now);

// Time of the next thing that happens; TimePoint::max() when nothing will.
TimePoint NextTime(const Engine& engine);

// Lets everything up to `now` happen, in order.
std::vector<ModelEvent> Advance(Engine& engine, TimePoint now);

// What the engine would report.
core::LoadReport ReportLoad(const Engine& engine, TimePoint now);

}  // namespace siskindrum::model

#endif  // SISKINDRUM_MODEL_ENGINE_H_
