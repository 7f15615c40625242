#include "siskindrum/hedge/hedge.h"

#include <algorithm>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "siskindrum/core/fade.h"

namespace siskindrum::hedge {

namespace {

// Response times of a class, and of a server, that must be known.
constexpr double kMinClassAnswers = 10;
constexpr double kMinServerAnswers = 5;
// Distributions kept at a time, of classes and of servers.
constexpr std::size_t kMaxStats = 512;
// Requests are counted with weights that halve in this time.
constexpr Milliseconds kCallHalfLife{30'000};
// Requests of a class that are hedged at most, as a fraction: a request is not
// slow if many take longer.
constexpr double kMaxSlowShare = 0.25;
// A request that takes this many times as long as nearly all known ones is at a
// stuck server.
constexpr int kStuckFactor = 2;
constexpr double kNearlyAll = 0.999;
// No hedges for this long after a sign that room is short.
constexpr Milliseconds kShortageTime{1000};
// An entry that takes more of the places does not hedge. It sees only its own
// requests.
constexpr double kMaxTakenShare = 0.5;
// With this many other requests in progress, hedges stop when most are slow.
constexpr std::size_t kMinOthers = 2;

std::string StatsKey(const std::string& service, const std::string& name) {
  return absl::StrCat(service, "\n", name);
}

// Returns the distribution of that name, after room was made for a new one.
LatencyStats& FindOrAdd(std::map<std::string, LatencyStats>& all,
                        const std::string& name) {
  if (all.size() >= kMaxStats && !all.contains(name)) {
    all.erase(std::min_element(all.begin(), all.end(), [](auto& a, auto& b) {
      return a.second.decayed_at_ < b.second.decayed_at_;
    }));
  }
  return all[name];
}

void Record(LatencyStats& stats, Nanoseconds took, bool longer, TimePoint now) {
  if (longer) {
    RecordLongerLatency(stats, took, now);
  } else {
    RecordLatency(stats, took, now);
  }
}

// Returns the distribution if it has enough response times, else null.
const LatencyStats* FindKnown(const std::map<std::string, LatencyStats>& all,
                              const std::string& name,
                              double least,
                              TimePoint now) {
  const auto found = all.find(name);
  return found != all.end() && CountLatencies(found->second, now) >= least
             ? &found->second
             : nullptr;
}

bool IsShort(const HedgeState& state, const HedgeFacts& facts, TimePoint now) {
  const auto found = state.services_.find(facts.service_);
  return (found != state.services_.end() && now < found->second.short_until_) ||
         static_cast<double>(facts.taken_) >
             kMaxTakenShare * static_cast<double>(facts.places_);
}

// Returns the part of the repeatable requests that the limit, which counts all
// requests of the service, allows to send again.
double SentShare(const ServiceLoad& load, double share) {
  return load.repeatable_ <= 0
             ? 0
             : std::min(kMaxSlowShare, share * load.calls_ / load.repeatable_);
}

bool AreAllSlow(const HedgeFacts& facts, Nanoseconds delay) {
  const auto slow = static_cast<std::size_t>(
      std::count_if(facts.other_ages_.begin(), facts.other_ages_.end(),
                    [delay](Nanoseconds age) { return age >= delay; }));
  return facts.other_ages_.size() >= kMinOthers &&
         2 * slow >= facts.other_ages_.size();
}

bool IsServerSlow(const HedgeState& state,
                  const HedgeFacts& facts,
                  Nanoseconds delay,
                  TimePoint now) {
  const LatencyStats* known =
      FindKnown(state.servers_, StatsKey(facts.service_, facts.server_),
                kMinServerAnswers, now);
  return facts.server_silence_ >= delay ||
         (known != nullptr && LatencyQuantile(*known, 0.5) > delay);
}

}  // namespace

tl::expected<HedgeLimits, std::string> ParseHedgeLimits(
    const std::vector<std::string>& texts) {
  HedgeLimits limits;
  for (const std::string& text : texts) {
    const std::size_t equals = text.rfind('=');
    const bool is_for_all = equals == std::string::npos;
    double share = 0;
    if (!absl::SimpleAtod(is_for_all ? text : text.substr(equals + 1),
                          &share) ||
        !(share >= 0 && share <= kMaxShare) || equals == 0) {
      return tl::unexpected(absl::StrCat(
          "'", text, "': expected SHARE or SERVICE=SHARE, with a share from 0 ",
          "to ", kMaxShare));
    }
    if (is_for_all) {
      limits.share_ = share;
    } else {
      limits.share_by_service_[text.substr(0, equals)] = share;
    }
  }
  return limits;
}

double ShareOf(const HedgeLimits& limits, const std::string& service) {
  const auto found = limits.share_by_service_.find(service);
  return found == limits.share_by_service_.end() ? limits.share_
                                                 : found->second;
}

const char* ToString(Verdict verdict) {
  switch (verdict) {
    case Verdict::kSend:
      return "send";
    case Verdict::kOff:
      return "off";
    case Verdict::kNotRepeatable:
      return "not_repeatable";
    case Verdict::kNoAttemptLeft:
      return "no_attempt_left";
    case Verdict::kUnknownTimes:
      return "unknown_times";
    case Verdict::kNotSlow:
      return "not_slow";
    case Verdict::kLittleTime:
      return "little_time";
    case Verdict::kShortOfRoom:
      return "short_of_room";
    case Verdict::kAllSlow:
      return "all_slow";
    case Verdict::kNoServer:
      return "no_server";
    case Verdict::kSlowServer:
      return "slow_server";
    case Verdict::kNoCredit:
      return "no_credit";
    case Verdict::kNoRepeat:
      return "no_repeat";
    case Verdict::kCount:
      break;
  }
  return "unknown";
}

void RecordCall(HedgeState& state,
                const HedgeLimits& limits,
                const std::string& service,
                bool may_repeat,
                TimePoint now) {
  const double share = ShareOf(limits, service);
  if (share <= 0) {
    return;
  }
  ServiceLoad& load = state.services_[service];
  const double kept = core::Fade(1, load.counted_at_, kCallHalfLife, now);
  load.calls_ = load.calls_ * kept + 1;
  load.repeatable_ = load.repeatable_ * kept + (may_repeat ? 1 : 0);
  load.counted_at_ = now;
  load.credit_ = std::min(kMaxCredit, load.credit_ + share);
}

void RecordClassTime(HedgeState& state,
                     const std::string& service,
                     const std::string& request_class,
                     Nanoseconds took,
                     bool longer,
                     TimePoint now) {
  Record(FindOrAdd(state.classes_, StatsKey(service, request_class)), took,
         longer, now);
}

void RecordServerTime(HedgeState& state,
                      const std::string& service,
                      const std::string& server,
                      Nanoseconds took,
                      bool longer,
                      TimePoint now) {
  Record(FindOrAdd(state.servers_, StatsKey(service, server)), took, longer,
         now);
}

void RecordShortage(HedgeState& state,
                    const std::string& service,
                    TimePoint now) {
  state.services_[service].short_until_ = now + kShortageTime;
}

void RecordHedge(HedgeState& state, const std::string& service) {
  state.services_[service].credit_ -= 1;
}

std::optional<Milliseconds> HedgeDelay(const HedgeState& state,
                                       const HedgeLimits& limits,
                                       const std::string& service,
                                       const std::string& request_class,
                                       TimePoint now) {
  const auto load = state.services_.find(service);
  if (ShareOf(limits, service) <= 0 || load == state.services_.end()) {
    return std::nullopt;
  }
  const LatencyStats* known = FindKnown(
      state.classes_, StatsKey(service, request_class), kMinClassAnswers, now);
  if (known == nullptr) {
    return std::nullopt;
  }
  const auto best = BestSecondRequest(
      *known, SentShare(load->second, ShareOf(limits, service)), kMaxSlowShare);
  return best.has_value()
             ? best->delay_
             : kStuckFactor * LatencyQuantile(*known, kNearlyAll).value();
}

Verdict DecideHedge(const HedgeState& state,
                    const HedgeLimits& limits,
                    const HedgeFacts& facts,
                    TimePoint now) {
  if (ShareOf(limits, facts.service_) <= 0) {
    return Verdict::kOff;
  }
  if (!facts.may_repeat_) {
    return Verdict::kNotRepeatable;
  }
  if (!facts.attempt_left_) {
    return Verdict::kNoAttemptLeft;
  }
  const LatencyStats* times =
      FindKnown(state.classes_, StatsKey(facts.service_, facts.class_),
                kMinClassAnswers, now);
  const auto delay =
      HedgeDelay(state, limits, facts.service_, facts.class_, now);
  if (times == nullptr || !delay.has_value()) {
    return Verdict::kUnknownTimes;
  }
  if (facts.elapsed_ < *delay) {
    return Verdict::kNotSlow;
  }
  if (facts.time_left_ <= LatencyQuantile(*times, 0.5)) {
    return Verdict::kLittleTime;
  }
  if (IsShort(state, facts, now)) {
    return Verdict::kShortOfRoom;
  }
  if (AreAllSlow(facts, *delay)) {
    return Verdict::kAllSlow;
  }
  if (facts.server_.empty()) {
    return Verdict::kNoServer;
  }
  if (IsServerSlow(state, facts, *delay, now)) {
    return Verdict::kSlowServer;
  }
  const auto load = state.services_.find(facts.service_);
  return load != state.services_.end() && load->second.credit_ >= 1
             ? Verdict::kSend
             : Verdict::kNoCredit;
}

}  // namespace siskindrum::hedge
