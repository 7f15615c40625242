#ifndef SISKINDRUM_DISPATCH_SERVER_NOTICES_H_
#define SISKINDRUM_DISPATCH_SERVER_NOTICES_H_

#include <map>
#include <string>

#include "siskindrum/core/fleet.h"
#include "siskindrum/core/types.h"

namespace siskindrum::dispatch {

using core::TimePoint;

// What one process of a backend server said about itself in its answers.
struct ServerNotice {
  core::Incarnation incarnation_ = 0;  // Of the server process.
  // Its announcement that it shuts down is kept until then.
  TimePoint leaving_until_{};
  TimePoint paused_until_{};  // It asked for no requests until then.
};

// Notices by server name. They hold for the process that sent them, whatever
// the server list says, and outlive the server's removal from the list.
struct ServerNotices {
  std::map<std::string, ServerNotice> by_name_;
};

// Records that a process of the server announced its shutdown. Returns true
// when that was not known. Thread-safe: no.
bool RecordLeaving(ServerNotices& notices,
                   const std::string& name,
                   core::Incarnation incarnation,
                   TimePoint now);

// Returns whether the listed process of the server announced its shutdown.
// Thread-safe: no.
bool HasAnnouncedLeaving(const ServerNotices& notices,
                         const core::ServerInfo& server,
                         TimePoint now);

// Records that a process of the server asked for no requests for this time. A
// longer pause that it asked for earlier still holds. Thread-safe: no.
void RecordPause(ServerNotices& notices,
                 const std::string& name,
                 core::Incarnation incarnation,
                 core::Milliseconds pause,
                 TimePoint now);

// Returns the end of the pause that the listed process of the server asked for;
// epoch: none. Thread-safe: no.
TimePoint PausedUntil(const ServerNotices& notices,
                      const core::ServerInfo& server);

// Removes the notices that no longer hold. Thread-safe: no.
void RemoveExpiredNotices(ServerNotices& notices, TimePoint now);

}  // namespace siskindrum::dispatch

#endif  // SISKINDRUM_DISPATCH_SERVER_NOTICES_H_
