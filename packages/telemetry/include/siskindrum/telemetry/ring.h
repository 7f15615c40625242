#ifndef SISKINDRUM_TELEMETRY_RING_H_
#define SISKINDRUM_TELEMETRY_RING_H_

#include <optional>
#include <utility>

#include <boost/circular_buffer.hpp>

#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "siskindrum/core/types.h"

namespace siskindrum::telemetry {

// A bounded queue between threads. A full ring refuses; it never makes the
// writer wait.
template <class Item>
class Ring {
 public:
  explicit Ring(std::size_t capacity) : items_(capacity) {}

  // Adds an item; false when the ring is full or closed. Thread-safe: yes.
  bool Push(Item item) {
    absl::MutexLock lock(&mutex_);
    if (closed_ || items_.full()) {
      return false;
    }
    items_.push_back(std::move(item));
    available_.Signal();
    return true;
  }

  // Takes the oldest item, waiting up to `limit` for one; nothing when none
  // came or the ring was closed. Thread-safe: yes.
  std::optional<Item> Pop(core::Nanoseconds limit) {
    const absl::Time deadline = absl::Now() + absl::Nanoseconds(limit.count());
    absl::MutexLock lock(&mutex_);
    while (items_.empty() && !closed_) {
      if (available_.WaitWithDeadline(&mutex_, deadline)) {
        break;
      }
    }
    if (items_.empty()) {
      return std::nullopt;
    }
    std::optional<Item> item = std::move(items_.front());
    items_.pop_front();
    return item;
  }

  // Refuses further items and wakes all waiting threads. Thread-safe: yes.
  void Close() {
    absl::MutexLock lock(&mutex_);
    closed_ = true;
    available_.SignalAll();
  }

  // Thread-safe: yes.
  bool IsClosed() const {
    absl::MutexLock lock(&mutex_);
    return closed_;
  }

 private:
  mutable absl::Mutex mutex_;
  absl::CondVar available_;
  boost::circular_buffer<Item> items_;
  bool closed_ = false;
};

}  // namespace siskindrum::telemetry

#endif  // SISKINDRUM_TELEMETRY_RING_H_
