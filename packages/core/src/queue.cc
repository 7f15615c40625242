#include "siskindrum/core/queue.h"

#include <algorithm>

#include "siskindrum/core/limits.h"

namespace siskindrum::core {

namespace {

// A request gains one priority level each time it has waited this long.
constexpr Milliseconds kAgingInterval{2000};

int EffectivePriority(const QueuedRequest& waiting, TimePoint now) {
  const auto raises = (now - waiting.since_) / kAgingInterval;
  return static_cast<int>(waiting.need_.priority_) + static_cast<int>(raises);
}

}  // namespace

bool Enqueue(WaitQueue& queue, QueuedRequest waiting) {
  if (queue.waiting_.size() >= kMaxQueueLength) {
    return false;
  }
  const Requirements& need = waiting.need_;
  double& finish = queue.finish_tags_[need.organisation_];
  const double cost = 1.0 / std::max(1U, need.share_);
  waiting.start_tag_ = std::max(queue.virtual_time_, finish);
  finish = waiting.start_tag_ + cost;
  waiting.order_ = queue.next_order_++;
  queue.waiting_.push_back(std::move(waiting));
  return true;
}

int NextWaiting(const WaitQueue& queue, TimePoint now) {
  int best = -1;
  for (std::size_t i = 0; i < queue.waiting_.size(); ++i) {
    if (best < 0) {
      best = static_cast<int>(i);
      continue;
    }
    const QueuedRequest& a = queue.waiting_[i];
    const QueuedRequest& b = queue.waiting_[static_cast<std::size_t>(best)];
    const int priority_a = EffectivePriority(a, now);
    const int priority_b = EffectivePriority(b, now);
    const bool before = priority_a != priority_b ? priority_a > priority_b
                        : a.start_tag_ != b.start_tag_
                            ? a.start_tag_ < b.start_tag_
                            : a.order_ < b.order_;
    if (before) {
      best = static_cast<int>(i);
    }
  }
  return best;
}

QueuedRequest Dequeue(WaitQueue& queue, int index) {
  const auto it = queue.waiting_.begin() + index;
  QueuedRequest taken = std::move(*it);
  queue.waiting_.erase(it);
  queue.virtual_time_ = std::max(queue.virtual_time_, taken.start_tag_);
  if (queue.waiting_.empty()) {
    queue.finish_tags_.clear();
    queue.virtual_time_ = 0;
  }
  return taken;
}

bool RemoveWaiting(WaitQueue& queue, const RequestId& request) {
  return std::erase_if(queue.waiting_, [&](const QueuedRequest& waiting) {
           return waiting.need_.request_ == request;
         }) > 0;
}

Nanoseconds ExpectedWait(const WaitQueue& queue,
                         const Requirements& need,
                         int free_slots,
                         double release_rate) {
  // A new request is served after those of its priority whose start tag is not
  // greater than its own.
  const auto finish = queue.finish_tags_.find(need.organisation_);
  const double tag = finish == queue.finish_tags_.end()
                         ? queue.virtual_time_
                         : std::max(queue.virtual_time_, finish->second);
  const auto ahead =
      std::count_if(queue.waiting_.begin(), queue.waiting_.end(),
                    [&](const QueuedRequest& w) {
                      if (w.need_.priority_ != need.priority_) {
                        return w.need_.priority_ > need.priority_;
                      }
                      return w.start_tag_ <= tag;
                    });
  const double missing = static_cast<double>(ahead) + 1.0 - free_slots;
  if (missing <= 0 || release_rate <= 0) {
    return Nanoseconds(0);
  }
  return std::chrono::duration_cast<Nanoseconds>(
      std::chrono::duration<double>(missing / release_rate));
}

}  // namespace siskindrum::core
