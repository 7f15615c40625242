#ifndef SISKINDRUM_HEDGE_HEDGE_H_
#define SISKINDRUM_HEDGE_HEDGE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "siskindrum/hedge/latency.h"

// Whether and when a request whose answer is slower than usual is sent to a
// second server. Pure: the caller passes the time and carries the decisions
// out.
//
// Keep one HedgeState for an entry and report to it what happens:
//
//   RecordCall(state, limits, service, may_repeat, now);  // a request came
//   RecordClassTime(state, service, class, took, now);  // an answer came
//   RecordServerTime(state, service, server, took, now);
//   RecordShortage(state, service, now);             // a server had no room
//
// and for each request in progress:
//
//   if (HedgeDelay(state, limits, service, class, now) has passed and
//       DecideHedge(state, limits, facts, now) == Verdict::kSend) {
//     RecordHedge(state, service);  // and send it
//   }

namespace siskindrum::hedge {

// Highest share of extra sends that may be set.
inline constexpr double kMaxShare = 0.2;
// Hedges that an entry may send at once after a time without any.
inline constexpr double kMaxCredit = 2;

// The operators' limit: extra sends as a fraction of the requests of a service.
// Zero: no hedges.
struct HedgeLimits {
  double share_ = 0;
  std::map<std::string, double> share_by_service_;  // Instead of `share_`.
};

// Reads limits written as "0.02" (all services) or "SERVICE=0.02". Returns what
// is wrong otherwise. Thread-safe: yes.
tl::expected<HedgeLimits, std::string> ParseHedgeLimits(
    const std::vector<std::string>& texts);

// Returns the limit of a service. Thread-safe: yes, for constant limits.
double ShareOf(const HedgeLimits& limits, const std::string& service);

// What the decision on a hedge came to.
enum class Verdict {
  kSend,
  kOff,            // The limit of the service is zero.
  kNotRepeatable,  // The request may run only once.
  kNoAttemptLeft,  // The rule allows no further server.
  kUnknownTimes,   // Too few response times are known.
  kNotSlow,        // The answer is not late yet.
  kLittleTime,     // The caller's deadline is too near for a second answer.
  kShortOfRoom,    // The service has no room to spare.
  kAllSlow,        // Most of its requests in progress are as slow.
  kNoServer,       // No other server takes the request.
  kSlowServer,     // The other server is as slow.
  kNoCredit,       // The limit is used up.
  kNoRepeat,       // Failures need the rest of the repeat budget.
  kCount
};

// Returns the name of the verdict as written to logs. Thread-safe: yes.
const char* ToString(Verdict verdict);

// Requests for one service.
struct ServiceLoad {
  // Recent ones, and those among them that may be repeated. Both fade.
  double calls_ = 0;
  double repeatable_ = 0;
  TimePoint counted_at_{};
  double credit_ = 0;  // Extra sends that the limit still allows.
  TimePoint short_until_{};
};

// State of one entry. Owned by one thread.
struct HedgeState {
  std::map<std::string, LatencyStats> classes_;
  std::map<std::string, LatencyStats> servers_;
  std::map<std::string, ServiceLoad> services_;
};

// Records a request for the service, which earns credit for hedges.
// Thread-safe: no.
void RecordCall(HedgeState& state,
                const HedgeLimits& limits,
                const std::string& service,
                bool may_repeat,
                TimePoint now);

// Record the time of an answer, or the least time of one that was given up as
// slow (`longer`): for requests of its class, and for the server. Without the
// second kind hedges would hide the slow answers that they replace.
// Thread-safe: no.
void RecordClassTime(HedgeState& state,
                     const std::string& service,
                     const std::string& request_class,
                     Nanoseconds took,
                     bool longer,
                     TimePoint now);
void RecordServerTime(HedgeState& state,
                      const std::string& service,
                      const std::string& server,
                      Nanoseconds took,
                      bool longer,
                      TimePoint now);

// Records that a server of the service had no room, or that none took a
// request. Thread-safe: no.
void RecordShortage(HedgeState& state,
                    const std::string& service,
                    TimePoint now);

// Spends the credit of one hedge. Requires: DecideHedge returned kSend.
// Thread-safe: no.
void RecordHedge(HedgeState& state, const std::string& service);

// Returns the time without an answer after which a request is slow: the one
// with which the second sends that the limit allows save most time; if none
// would save any by what is known, twice the longest time known, since a longer
// one is that of a stuck server. None while it is unknown, and for a service
// without hedges. Thread-safe: no.
std::optional<Milliseconds> HedgeDelay(const HedgeState& state,
                                       const HedgeLimits& limits,
                                       const std::string& service,
                                       const std::string& request_class,
                                       TimePoint now);

// One request in progress and its service, as this entry knows them.
struct HedgeFacts {
  std::string service_;
  std::string class_;
  bool may_repeat_ = false;
  bool attempt_left_ = false;  // The rule allows a further server.
  Nanoseconds elapsed_{0};     // Since it was sent.
  Nanoseconds time_left_{0};   // Until its deadline.
  // Places of the service's servers, and those that this entry takes.
  std::size_t places_ = 0;
  std::size_t taken_ = 0;
  // Ages of the entry's other requests in progress at the service.
  std::vector<Nanoseconds> other_ages_;
  std::string server_;  // That would get the hedge; empty: none.
  // For how long that server has left requests unanswered.
  Nanoseconds server_silence_{0};
};

// Decides on a hedge of the request. Thread-safe: no.
Verdict DecideHedge(const HedgeState& state,
                    const HedgeLimits& limits,
                    const HedgeFacts& facts,
                    TimePoint now);

}  // namespace siskindrum::hedge

#endif  // SISKINDRUM_HEDGE_HEDGE_H_
