#include "channel_p.h"

namespace siskindrum::entry {

void ChannelTable::Add(const std::shared_ptr<Channel>& channel) {
  absl::MutexLock lock(&mutex_);
  channels_[channel->request_] = channel;
}

void ChannelTable::Remove(const core::RequestId& request) {
  absl::MutexLock lock(&mutex_);
  channels_.erase(request);
}

std::shared_ptr<Channel> ChannelTable::Find(
    const core::RequestId& request) const {
  absl::MutexLock lock(&mutex_);
  const auto it = channels_.find(request);
  return it == channels_.end() ? nullptr : it->second;
}

std::size_t ChannelTable::Size() const {
  absl::MutexLock lock(&mutex_);
  return channels_.size();
}

void ChannelTable::StopAll() {
  absl::MutexLock lock(&mutex_);
  for (const auto& [id, channel] : channels_) {
    channel->gone_ = true;
    channel->call_.Stop();
    channel->actions_.Close();
  }
}

}  // namespace siskindrum::entry
