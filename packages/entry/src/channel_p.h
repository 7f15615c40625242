#ifndef SISKINDRUM_ENTRY_CHANNEL_P_H_
#define SISKINDRUM_ENTRY_CHANNEL_P_H_

#include <atomic>
#include <memory>
#include <unordered_map>

#include "absl/synchronization/mutex.h"
#include "siskindrum/backend/http_call.h"
#include "siskindrum/core/event.h"
#include "siskindrum/telemetry/ring.h"

namespace siskindrum::entry {

inline constexpr std::size_t kChannelActions = 64;

// Joins the thread that serves one caller with the core.
struct Channel {
  core::RequestId request_;
  telemetry::Ring<core::RouterAction> actions_{kChannelActions};
  backend::HttpCall call_;
  std::atomic<bool> gone_{false};
  int rule_line_ = 0;
  std::uint64_t revision_ = 0;
};

// The open channels by request.
class ChannelTable {
 public:
  // Thread-safe: yes, as all methods here.
  void Add(const std::shared_ptr<Channel>& channel);
  void Remove(const core::RequestId& request);
  std::shared_ptr<Channel> Find(const core::RequestId& request) const;
  std::size_t Size() const;

  // Stops what every request is doing.
  void StopAll();

 private:
  mutable absl::Mutex mutex_;
  std::unordered_map<core::RequestId,
                     std::shared_ptr<Channel>,
                     core::RequestIdHash>
      channels_;
};

}  // namespace siskindrum::entry

#endif  // SISKINDRUM_ENTRY_CHANNEL_P_H_
