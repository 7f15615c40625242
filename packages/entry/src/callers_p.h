#ifndef SISKINDRUM_ENTRY_CALLERS_P_H_
#define SISKINDRUM_ENTRY_CALLERS_P_H_

#include <functional>
#include <memory>
#include <string>

#include "absl/synchronization/mutex.h"
#include "caller_server_p.h"
#include "caller_watch_p.h"
#include "channel_p.h"
#include "driver_p.h"

namespace siskindrum::entry {

// The interface towards callers: model answers in the OpenAI style under /v1,
// plain services under their own paths.
class Callers {
 public:
  Callers(DriverContext context, ChannelTable& channels, CallerWatch& watch);

  // Binds the address and serves on a thread of its own; the error names the
  // address.
  tl::expected<void, std::string> Start();

  // Accepts no further connections and waits for those that are served.
  void Stop();

 private:
  // One caller's request with its channel and its watched socket.
  struct Session;

  void Route();
  void Complete(const httplib::Request& request,
                httplib::Response& response,
                bool chat);
  void Stream(const std::shared_ptr<Session>& session,
              httplib::Response& response);
  void Whole(Session& session, httplib::Response& response);
  void Plain(const httplib::Request& request, httplib::Response& response);
  void Models(httplib::Response& response);
  std::shared_ptr<Session> Open(core::RequestShape shape,
                                std::string content_type,
                                std::string body);

  DriverContext context_;
  ChannelTable& channels_;
  CallerWatch& watch_;
  CallerServer server_;
  std::thread thread_;
};

}  // namespace siskindrum::entry

#endif  // SISKINDRUM_ENTRY_CALLERS_P_H_
