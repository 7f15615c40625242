#ifndef SISKINDRUM_CORE_QUEUE_H_
#define SISKINDRUM_CORE_QUEUE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "siskindrum/core/fleet.h"
#include "siskindrum/core/types.h"

namespace siskindrum::core {

// A request queued at the home of a cell.
struct QueuedRequest {
  Requirements need_;
  bool remote_ = false;      // Requested by a peer.
  std::string peer_;         // Name of that peer.
  double start_tag_ = 0;     // Virtual start time in fair queueing.
  std::uint64_t order_ = 0;  // Arrival order.
  TimePoint since_{};
};

// Requests queued for one cell. Served by priority, then by weighted fair
// queueing among organisations, then by order of arrival.
struct WaitQueue {
  std::vector<QueuedRequest> waiting_;
  std::map<std::string, double> finish_tags_;  // By organisation.
  double virtual_time_ = 0;
  std::uint64_t next_order_ = 0;
};

// Adds a request; returns false if the queue is full. Thread-safe: no.
bool Enqueue(WaitQueue& queue, QueuedRequest waiting);

// Returns the index of the request to serve next, or -1 if the queue is empty.
// A request gains priority with its waiting time, which prevents starvation.
// Thread-safe: no.
int NextWaiting(const WaitQueue& queue, TimePoint now);

// Removes and returns the request at `index`, which is about to be served, and
// advances virtual time. Requires: a valid index. Thread-safe: no.
QueuedRequest Dequeue(WaitQueue& queue, int index);

// Removes a request at any position; returns false if it is not queued.
// Thread-safe: no.
bool RemoveWaiting(WaitQueue& queue, const RequestId& request);

// Estimates how long a new request would wait, from the number of requests
// ahead of it and the rate (per second) at which slots are released. Zero if
// the rate is unknown. Thread-safe: no.
Nanoseconds ExpectedWait(const WaitQueue& queue,
                         const Requirements& need,
                         int free_slots,
                         double release_rate);

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_QUEUE_H_
