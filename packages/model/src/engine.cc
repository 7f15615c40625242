#include "siskindrum/model/engine.h"

#include <algorithm>

namespace siskindrum::model {

namespace {

Nanoseconds Scaled(const Engine& engine, Nanoseconds duration) {
  return std::chrono::duration_cast<Nanoseconds>(duration *
                                                 engine.faults_.slowness_);
}

Nanoseconds Seconds(double seconds) {
  return std::chrono::duration_cast<Nanoseconds>(
      std::chrono::duration<double>(seconds));
}

std::uint32_t PiecesUsed(const Engine& engine) {
  std::uint32_t used = 0;
  for (const auto& [id, stream] : engine.streams_) {
    used += stream.pieces_;
  }
  for (const auto& [id, output] : engine.outputs_) {
    used += core::PiecesFor(output.tokens_);
  }
  return used;
}

// Tokens of a prefill that the prefix cache does not save.
std::uint32_t UncachedTokens(const Engine& engine, const PrefillJob& job) {
  const auto& prefixes = engine.prefixes_;
  const bool cached =
      job.prefix_hash_ != 0 && std::find(prefixes.begin(), prefixes.end(),
                                         job.prefix_hash_) != prefixes.end();
  return cached ? job.tokens_ - std::min(job.tokens_, job.prefix_tokens_)
                : job.tokens_;
}

void RememberPrefix(Engine& engine, std::uint64_t prefix) {
  if (prefix == 0) {
    return;
  }
  std::erase(engine.prefixes_, prefix);
  engine.prefixes_.push_front(prefix);
  if (engine.prefixes_.size() > engine.settings_.prefix_entries_) {
    engine.prefixes_.pop_back();
  }
}

void StartNextPrefill(Engine& engine, TimePoint now) {
  if (engine.prefilling_ || engine.prefills_.empty()) {
    return;
  }
  const auto first = std::max_element(
      engine.prefills_.begin(), engine.prefills_.end(),
      [](const PrefillJob& a, const PrefillJob& b) {
        return a.priority_ != b.priority_ ? a.priority_ < b.priority_
                                          : a.arrived_at_ > b.arrived_at_;
      });
  std::iter_swap(engine.prefills_.begin(), first);
  const PrefillJob& job = engine.prefills_.front();
  const double seconds =
      UncachedTokens(engine, job) / engine.settings_.prefill_tokens_per_second_;
  engine.prefilling_ = true;
  engine.prefill_ends_ =
      now +
      Scaled(engine, engine.settings_.prefill_overhead_ + Seconds(seconds));
}

void FinishPrefill(Engine& engine, std::vector<ModelEvent>& events) {
  const TimePoint at = engine.prefill_ends_;
  const PrefillJob job = engine.prefills_.front();
  const std::uint32_t computed = UncachedTokens(engine, job);
  engine.prefill_tokens_done_ += computed;
  engine.prefills_.pop_front();
  engine.prefilling_ = false;
  RememberPrefix(engine, job.prefix_hash_);
  engine.outputs_[job.request_] = PrefillOutput{
      job.request_, job.owner_, job.tokens_, at + engine.settings_.evict_after_,
      at,           false};
  events.push_back(
      {ModelEventKind::kPrefillDone, job.request_, job.attempt_, 0, computed});
  StartNextPrefill(engine, at);
}

std::size_t DecodingStreams(const Engine& engine) {
  return static_cast<std::size_t>(
      std::count_if(engine.streams_.begin(), engine.streams_.end(),
                    [](const auto& row) { return row.second.decoding_; }));
}

void ScheduleStep(Engine& engine, TimePoint now) {
  const std::size_t count = DecodingStreams(engine);
  engine.stepping_ = count > 0;
  if (engine.stepping_) {
    engine.next_step_ =
        now + Scaled(engine, engine.settings_.step_base_ +
                                 engine.settings_.step_per_stream_ *
                                     static_cast<std::int64_t>(count));
  }
}

void RunStep(Engine& engine, std::vector<ModelEvent>& events) {
  const TimePoint at = engine.next_step_;
  for (auto it = engine.streams_.begin(); it != engine.streams_.end();) {
    Stream& stream = it->second;
    if (!stream.decoding_) {
      ++it;
      continue;
    }
    if (stream.position_ < stream.end_position_) {
      events.push_back({ModelEventKind::kToken, stream.request_,
                        stream.attempt_, stream.position_, 0});
      ++stream.position_;
    }
    if (stream.position_ >= stream.end_position_) {
      events.push_back({ModelEventKind::kFinished, stream.request_,
                        stream.attempt_, stream.position_, 0});
      it = engine.streams_.erase(it);
    } else {
      ++it;
    }
  }
  ScheduleStep(engine, at);
}

void FreeExpired(Engine& engine, TimePoint now) {
  std::erase_if(engine.outputs_, [&](const auto& row) {
    const bool evict = !row.second.exporting_ && row.second.expires_at_ <= now;
    engine.evicted_ += evict ? 1 : 0;
    return evict;
  });
  std::erase_if(engine.streams_, [&](const auto& row) {
    const Stream& stream = row.second;
    return stream.reader_gone_ &&
           now - stream.reader_gone_at_ >= engine.settings_.reader_gone_hold_;
  });
}

}  // namespace

tl::expected<void, Refusal> AddPrefill(Engine& engine,
                                       const PrefillJob& job,
                                       TimePoint now) {
  if (engine.faults_.refusing_) {
    return tl::unexpected(Refusal::kRefusing);
  }
  if (engine.prefills_.size() >= engine.settings_.prefill_queue_) {
    return tl::unexpected(Refusal::kFull);
  }
  engine.prefills_.push_back(job);
  engine.prefills_.back().arrived_at_ = now;
  StartNextPrefill(engine, now);
  return {};
}

tl::expected<TimePoint, Refusal> BeginExport(Engine& engine,
                                             const RequestId& request,
                                             TimePoint now) {
  FreeExpired(engine, now);
  const auto it = engine.outputs_.find(request);
  if (it == engine.outputs_.end()) {
    return tl::unexpected(Refusal::kEvicted);
  }
  it->second.exporting_ = true;
  const double seconds =
      it->second.tokens_ / engine.settings_.link_tokens_per_second_;
  engine.link_free_ =
      std::max(engine.link_free_, now) + Scaled(engine, Seconds(seconds));
  return engine.link_free_;
}

void EndExport(Engine& engine, const RequestId& request) {
  engine.outputs_.erase(request);
}

tl::expected<void, Refusal> AddStream(Engine& engine,
                                      Stream stream,
                                      TimePoint now) {
  if (engine.faults_.refusing_) {
    return tl::unexpected(Refusal::kRefusing);
  }
  FreeExpired(engine, now);
  if (engine.streams_.size() >= engine.settings_.slots_ ||
      PiecesUsed(engine) + stream.pieces_ > engine.settings_.total_pieces_) {
    return tl::unexpected(Refusal::kFull);
  }
  stream.started_at_ = now;
  engine.streams_[stream.request_] = std::move(stream);
  return {};
}

void BeginDecode(Engine& engine, const RequestId& request, TimePoint now) {
  const auto it = engine.streams_.find(request);
  if (it == engine.streams_.end()) {
    return;
  }
  it->second.decoding_ = true;
  if (!engine.stepping_) {
    ScheduleStep(engine, now);
  }
}

std::size_t CancelRequest(Engine& engine,
                          const RequestId& request,
                          TimePoint now) {
  std::size_t freed = engine.outputs_.erase(request);
  freed += engine.streams_.erase(request);
  for (auto it = engine.prefills_.begin(); it != engine.prefills_.end();) {
    if (it->request_ != request) {
      ++it;
      continue;
    }
    ++freed;
    const bool running = engine.prefilling_ && it == engine.prefills_.begin();
    if (running) {
      // What was computed so far is lost work.
      const double left =
          std::chrono::duration<double>(
              std::max(engine.prefill_ends_ - now, Nanoseconds(0)))
              .count();
      const double all = UncachedTokens(engine, *it);
      const double undone = left * engine.settings_.prefill_tokens_per_second_;
      engine.prefill_tokens_done_ +=
          static_cast<std::uint64_t>(std::max(0.0, all - undone));
    }
    it = engine.prefills_.erase(it);
    if (running) {
      engine.prefilling_ = false;
      StartNextPrefill(engine, now);
      break;
    }
  }
  return freed;
}

void NoteReaderGone(Engine& engine, const RequestId& request, TimePoint now) {
  const auto it = engine.streams_.find(request);
  if (it != engine.streams_.end() && !it->second.reader_gone_) {
    it->second.reader_gone_ = true;
    it->second.reader_gone_at_ = now;
  }
}

TimePoint NextTime(const Engine& engine) {
  TimePoint next = TimePoint::max();
  if (engine.faults_.stalled_) {
    return next;
  }
  if (engine.prefilling_) {
    next = std::min(next, engine.prefill_ends_);
  }
  if (engine.stepping_) {
    next = std::min(next, engine.next_step_);
  }
  return next;
}

std::vector<ModelEvent> Advance(Engine& engine, TimePoint now) {
  std::vector<ModelEvent> events;
  if (engine.faults_.stalled_) {
    // Lost time is not made up for.
    engine.prefill_ends_ = std::max(engine.prefill_ends_, now);
    engine.next_step_ = std::max(engine.next_step_, now);
    FreeExpired(engine, now);
    return events;
  }
  while (NextTime(engine) <= now) {
    const bool prefill =
        engine.prefilling_ &&
        (!engine.stepping_ || engine.prefill_ends_ <= engine.next_step_);
    if (prefill) {
      FinishPrefill(engine, events);
    } else {
      RunStep(engine, events);
    }
  }
  FreeExpired(engine, now);
  return events;
}

core::LoadReport ReportLoad(const Engine& engine, TimePoint now) {
  core::LoadReport report;
  report.running_ = static_cast<std::uint32_t>(engine.streams_.size());
  report.slots_ = engine.settings_.slots_;
  report.total_pieces_ = engine.settings_.total_pieces_;
  const std::uint32_t used = PiecesUsed(engine);
  report.free_pieces_ =
      report.total_pieces_ - std::min(used, report.total_pieces_);
  for (const PrefillJob& job : engine.prefills_) {
    report.prefill_backlog_tokens_ += job.tokens_;
  }
  report.prefill_tokens_per_second_ =
      static_cast<std::uint32_t>(engine.settings_.prefill_tokens_per_second_);
  report.draining_ = engine.draining_;
  for (const PrefillJob& job : engine.prefills_) {
    report.held_.push_back(
        {job.request_, job.owner_,
         Milliseconds(core::ToMilliseconds(now - job.arrived_at_))});
  }
  for (const auto& [id, output] : engine.outputs_) {
    report.held_.push_back(
        {id, output.owner_,
         Milliseconds(core::ToMilliseconds(now - output.made_at_))});
  }
  for (const auto& [id, stream] : engine.streams_) {
    report.held_.push_back(
        {id, stream.owner_,
         Milliseconds(core::ToMilliseconds(now - stream.started_at_))});
  }
  return report;
}

}  // namespace siskindrum::model
