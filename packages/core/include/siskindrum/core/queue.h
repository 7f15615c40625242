#ifndef SISKINDRUM_CORE_QUEUE_H_
#define SISKINDRUM_CORE_QUEUE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "siskindrum/core/fleet.h"
#include "siskindrum/core/types.h"

namespace siskindrum::core {

// A request that waits at the home of a cell.
struct Waiting {
  Requirements need_;
  bool remote_ = false;      // Asked by a peer.
  std::string peer_;         // Name of that peer.
  double start_tag_ = 0;     // Of weighted fair queueing.
  std::uint64_t order_ = 0;  // Of arrival.
  TimePoint since_{};
};

// Requests that wait for one cell: priorities first, then organisations by
// weighted fair queueing, then order of arrival.
struct WaitQueue {
  std::vector<Waiting> waiting_;
  std::map<std::string, double> finish_tags_;  // By organisation.
  double virtual_time_ = 0;
  std::uint64_t next_order_ = 0;
};

// Adds a request; false when the queue is full. Thread-safe: no.
bool Enqueue(WaitQueue& queue, Waiting waiting);

// Index of the request to serve next, or -1 when the queue is empty.
// Low priorities are raised by age so that none starves. Thread-safe: no.
int NextWaiting(const WaitQueue& queue, TimePoint now);

// Removes and returns a request that was served. Requires: a valid index.
// Thread-safe: no.
Waiting TakeWaiting(WaitQueue& queue, int index);

// Removes a request wherever it stands; false when it is not there.
// Thread-safe: no.
bool RemoveWaiting(WaitQueue& queue, const RequestId& request);

// Time until a newcomer would be served, from the requests that go before it
// and the rate at which slots end. Thread-safe: no.
Nanoseconds ExpectedWait(const WaitQueue& queue,
                         const Requirements& need,
                         int free_slots,
                         double release_rate);

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_QUEUE_H_
