#include "siskindrum/dispatch/server_notices.h"

#include <algorithm>

#include "siskindrum/dispatch/limits.h"

namespace siskindrum::dispatch {

namespace {

// Returns the end of all that the notice says.
TimePoint ExpiresAt(const ServerNotice& notice) {
  return std::max(notice.leaving_until_, notice.paused_until_);
}

// Returns the notice of this process of the server, or nullptr when a notice of
// a newer process is known. Replaces that of an older one.
ServerNotice* FindOrAdd(ServerNotices& notices,
                        const std::string& name,
                        core::Incarnation incarnation) {
  ServerNotice& notice = notices.by_name_[name];
  if (incarnation < notice.incarnation_) {
    return nullptr;
  }
  if (incarnation > notice.incarnation_) {
    notice = {};
    notice.incarnation_ = incarnation;
  }
  return &notice;
}

// Removes the notice that expires first when there are too many.
void LimitCount(ServerNotices& notices) {
  auto& by_name = notices.by_name_;
  if (by_name.size() > kMaxServerNotices) {
    by_name.erase(std::min_element(
        by_name.begin(), by_name.end(), [](const auto& a, const auto& b) {
          return ExpiresAt(a.second) < ExpiresAt(b.second);
        }));
  }
}

// Returns what the listed process of the server said, or nullptr.
const ServerNotice* FindNotice(const ServerNotices& notices,
                               const core::ServerInfo& server) {
  const auto found = notices.by_name_.find(server.name_);
  const bool replaced = found == notices.by_name_.end() ||
                        server.incarnation_ > found->second.incarnation_;
  return replaced ? nullptr : &found->second;
}

}  // namespace

bool RecordLeaving(ServerNotices& notices,
                   const std::string& name,
                   core::Incarnation incarnation,
                   TimePoint now) {
  ServerNotice* notice = FindOrAdd(notices, name, incarnation);
  if (notice == nullptr) {
    return false;
  }
  const bool is_new = now >= notice->leaving_until_;
  notice->leaving_until_ = now + kLeavingNoticeLifetime;
  LimitCount(notices);
  return is_new;
}

bool HasAnnouncedLeaving(const ServerNotices& notices,
                         const core::ServerInfo& server,
                         TimePoint now) {
  const ServerNotice* notice = FindNotice(notices, server);
  return notice != nullptr && now < notice->leaving_until_;
}

void RecordPause(ServerNotices& notices,
                 const std::string& name,
                 core::Incarnation incarnation,
                 core::Milliseconds pause,
                 TimePoint now) {
  ServerNotice* notice = FindOrAdd(notices, name, incarnation);
  if (notice != nullptr) {
    notice->paused_until_ = std::max(notice->paused_until_, now + pause);
    LimitCount(notices);
  }
}

TimePoint PausedUntil(const ServerNotices& notices,
                      const core::ServerInfo& server) {
  const ServerNotice* notice = FindNotice(notices, server);
  return notice == nullptr ? TimePoint{} : notice->paused_until_;
}

void RemoveExpiredNotices(ServerNotices& notices, TimePoint now) {
  std::erase_if(notices.by_name_, [now](const auto& entry) {
    return now >= ExpiresAt(entry.second);
  });
}

}  // namespace siskindrum::dispatch
