#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "dispatcher_p.h"

namespace siskindrum::dispatch {

namespace {

using origin::StreamKey;

// Time between two reports of new streams; it bounds the messages.
constexpr Milliseconds kReportInterval{500};
// Peers that are told of each new stream: one of this failure domain, whose
// callers come back here, and one that outlives it.
constexpr std::size_t kReportedPeers = 2;
// Peers that are asked for a stream.
constexpr std::size_t kMaxAskedPeers = 32;
constexpr Milliseconds kReplyTime{250};
// A caller may resume a stream as late as the rule's timeout, and again once.
constexpr int kLifetimeTimeouts = 2;
// Time in which engines tell what they retain.
constexpr Milliseconds kRetainedTime{600};
// An engine is asked again after this time.
constexpr Milliseconds kRetainedAskInterval{500};

bool CanDecode(const core::ServerInfo& info) {
  return info.role_ == core::ServerRole::kDecode ||
         info.role_ == core::ServerRole::kMixed;
}

// The caller's request that brought the first event; empty: not known.
const std::string& FirstLabel(const ActiveCall& call) {
  return call.call_.last_event_.has_value() ? call.call_.resumes_
                                            : call.call_.label_;
}

std::optional<StreamKey> KeyOf(const ActiveCall& call) {
  const std::string& label = FirstLabel(call);
  return label.empty() ? std::nullopt : std::optional(origin::KeyOf(label));
}

std::optional<std::string> RecordedVersion(const Step& step,
                                           const ActiveCall& call) {
  const std::optional<StreamKey> stream = KeyOf(call);
  return stream.has_value()
             ? origin::FindVersion(step.dispatcher_.streams_.origins_, *stream,
                                   step.now_)
             : std::nullopt;
}

// A stream may have begun at a server that this entry has not heard of, so what
// follows from the list counts once the store has confirmed it since the caller
// came back.
bool IsListConfirmed(const Step& step, const ActiveCall& call) {
  return step.dispatcher_.list_confirmed_at_ >= call.arrived_at_;
}

std::optional<std::string> ConfirmedOnlyVersion(const Step& step,
                                                const ActiveCall& call) {
  return IsListConfirmed(step, call)
             ? origin::OnlyVersion(step.dispatcher_.streams_.origins_,
                                   call.pool_, step.now_)
             : std::nullopt;
}

// Peers that were heard lately, in the order of their names after this entry's,
// so that the entries of a fleet tell different ones.
std::vector<const core::MemberRow*> PeersAfterSelf(const Step& step) {
  const core::Membership& membership = step.dispatcher_.peers_.membership_;
  std::vector<const core::MemberRow*> peers;
  std::vector<const core::MemberRow*> before;
  for (const auto& [name, member] : membership.members_) {
    if (core::IsHeard(membership, member, step.now_)) {
      (name < membership.self_.name_ ? before : peers).push_back(&member.row_);
    }
  }
  peers.insert(peers.end(), before.begin(), before.end());
  return peers;
}

std::vector<const core::MemberRow*> ReportedPeers(const Step& step) {
  const std::string& domain = step.dispatcher_.options_.domain_;
  std::vector<const core::MemberRow*> peers = PeersAfterSelf(step);
  const auto is_near = [&domain](const core::MemberRow* row) {
    return row->domain_ == domain;
  };
  const auto near = std::find_if(peers.begin(), peers.end(), is_near);
  const auto far = std::find_if_not(peers.begin(), peers.end(), is_near);
  if (near != peers.end() && far != peers.end()) {
    return {*near, *far};
  }
  peers.resize(std::min(peers.size(), kReportedPeers));
  return peers;
}

// Asks the peers, those of this failure domain first; an entry that has heard
// of none asks its seeds.
std::size_t AskPeers(Step& step, StreamKey stream) {
  const core::Membership& membership = step.dispatcher_.peers_.membership_;
  std::vector<const core::MemberRow*> peers = PeersAfterSelf(step);
  std::stable_partition(peers.begin(), peers.end(),
                        [&membership](const core::MemberRow* row) {
                          return row->domain_ == membership.self_.domain_;
                        });
  peers.resize(std::min(peers.size(), kMaxAskedPeers));
  std::vector<std::string> addresses;
  addresses.reserve(peers.size());
  for (const core::MemberRow* row : peers) {
    addresses.push_back(row->address_);
  }
  if (addresses.empty()) {
    addresses = step.dispatcher_.peers_.seeds_;
    std::erase(addresses, membership.self_.address_);
  }
  for (const std::string& address : addresses) {
    SendToPeer(step, address, core::StreamQuery{stream});
  }
  return addresses.size();
}

// Asks the engines that may have decoded the stream which prompts they retain.
void AskEngines(Step& step, const std::string& pool) {
  Dispatcher& dispatcher = step.dispatcher_;
  for (const auto& [name, server] : dispatcher.pool_.servers_) {
    if (server.info_.service_ != pool || !CanDecode(server.info_) ||
        IsPaused(dispatcher.pool_, server, step.now_)) {
      continue;
    }
    TimePoint& asked_at = dispatcher.streams_.retained_[name].asked_at_;
    if (step.now_ - asked_at < kRetainedAskInterval) {
      continue;
    }
    asked_at = step.now_;
    step.actions_.emplace_back(ListRetainedPrompts{name, server.info_.address_,
                                                   server.info_.incarnation_});
    QueryRuns(step, server);
  }
}

// What the engines of a pool say of a prompt.
struct RetainedWord {
  std::optional<std::string> version_;  // Of all that retain it.
  bool complete_ = true;                // All have answered.
};

RetainedWord ReadRetained(const Dispatcher& dispatcher,
                          const ActiveCall& call) {
  RetainedWord word;
  std::vector<std::string> versions;
  for (const auto& [name, server] : dispatcher.pool_.servers_) {
    if (server.info_.service_ != call.pool_ || !CanDecode(server.info_)) {
      continue;
    }
    const auto found = dispatcher.streams_.retained_.find(name);
    if (found == dispatcher.streams_.retained_.end() ||
        found->second.answered_at_ < found->second.asked_at_ ||
        found->second.answered_at_ == TimePoint{}) {
      word.complete_ = false;
    }
    if (found != dispatcher.streams_.retained_.end() &&
        found->second.incarnation_ == server.info_.incarnation_ &&
        found->second.prompts_.contains(call.call_.prompt_)) {
      versions.push_back(server.info_.software_version_);
    }
  }
  if (call.call_.prompt_ != 0) {
    word.version_ = origin::CommonVersion(versions);
  }
  return word;
}

// Time until which an engine may still come to retain the prompt. Engines
// notice late that an entry lost power.
TimePoint RetainedUntil(const Step& step) {
  const Dispatcher& dispatcher = step.dispatcher_;
  const TimePoint usual = step.now_ + kRetainedTime;
  const TimePoint last_round = dispatcher.first_prompt_query_ +
                               *std::rbegin(kRetainedPromptQueryTimes) +
                               kRetainedTime;
  return dispatcher.options_.restarted_ ? std::max(usual, last_round) : usual;
}

void TakeVersion(Step& step,
                 ActiveCall& call,
                 const std::string& version,
                 const char* source) {
  call.stream_version_ = version;
  call.version_search_.reset();
  step.actions_.emplace_back(
      core::LogEvent{"stream_version_found",
                     {{"request", call.call_.label_},
                      {"resumes", call.call_.resumes_},
                      {"software", version},
                      {"source", source},
                      {"ms", FormatMs(step.now_ - call.arrived_at_)}}});
}

// Returns true while the search goes on. Otherwise the request has a version,
// or was refused and `call` is destroyed.
bool SearchOn(Step& step, ActiveCall& call) {
  VersionSearch& search = *call.version_search_;
  const auto recorded = RecordedVersion(step, call);
  if (recorded.has_value()) {
    TakeVersion(step, call, *recorded, "peer_or_run");
    RouteToEngines(step, call);
    return false;
  }
  if (search.replies_missing_ > 0 && step.now_ < search.replies_until_) {
    return true;
  }
  const auto only = ConfirmedOnlyVersion(step, call);
  if (only.has_value()) {
    TakeVersion(step, call, *only, "only_version");
    RouteToEngines(step, call);
    return false;
  }
  const bool begins = search.retained_until_ == TimePoint{};
  if (begins) {
    search.retained_until_ = RetainedUntil(step);
    step.actions_.emplace_back(ConfirmList{});
  }
  if (begins || step.dispatcher_.list_changed_at_ > search.engines_asked_at_) {
    search.engines_asked_at_ = step.now_;
    AskEngines(step, call.pool_);
  }
  const bool ends = step.now_ >= search.retained_until_;
  if (!begins && !ends && !step.dispatcher_.streams_.answers_changed_) {
    return true;
  }
  const RetainedWord word = ReadRetained(step.dispatcher_, call);
  if (word.version_.has_value() && IsListConfirmed(step, call) &&
      (word.complete_ || ends)) {
    TakeVersion(step, call, *word.version_, "retained_prompt");
    RouteToEngines(step, call);
    return false;
  }
  if (!ends) {
    return true;
  }
  ++step.dispatcher_.counters_.versions_unknown_;
  FailCall(step, call, core::Reason::kVersionUnknown,
           "nobody knows which software version began the stream");
  return false;
}

}  // namespace

void RecordStreamVersion(Step& step, ActiveCall& call) {
  if (call.rule_->outcome_.kind_ == core::BackendKind::kPlain) {
    return;
  }
  if (!call.stream_version_.has_value()) {
    call.stream_version_ = call.attempt_version_;
  }
  const std::optional<StreamKey> stream = KeyOf(call);
  if (stream.has_value()) {
    StreamVersions& streams = step.dispatcher_.streams_;
    origin::RecordStream(streams.origins_, *stream, *call.stream_version_,
                         step.now_);
    streams.news_[*call.stream_version_].push_back(*stream);
  }
}

bool FindStreamVersion(Step& step, ActiveCall& call) {
  if (!call.last_event_.has_value() || call.stream_version_.has_value()) {
    return true;
  }
  Dispatcher& dispatcher = step.dispatcher_;
  ++dispatcher.counters_.taken_up_;
  const auto recorded = RecordedVersion(step, call);
  if (recorded.has_value()) {
    TakeVersion(step, call, *recorded, "entry");
    return true;
  }
  const std::optional<StreamKey> stream = KeyOf(call);
  VersionSearch search;
  search.replies_missing_ = stream.has_value() ? AskPeers(step, *stream) : 0;
  search.replies_until_ = step.now_ + kReplyTime;
  call.version_search_ = search;
  dispatcher.streams_.waiting_.push_back(call.id_);
  ResolveStreamVersions(step);
  return false;
}

void ResolveStreamVersions(Step& step) {
  Dispatcher& dispatcher = step.dispatcher_;
  std::vector<RequestId> waiting;
  waiting.swap(dispatcher.streams_.waiting_);
  for (const RequestId& id : waiting) {
    const auto found = dispatcher.calls_.find(id);
    if (found != dispatcher.calls_.end() &&
        found->second.version_search_.has_value() &&
        SearchOn(step, found->second)) {
      dispatcher.streams_.waiting_.push_back(id);
    }
  }
  dispatcher.streams_.answers_changed_ = false;
}

void ConfigureStreamVersions(Step& step) {
  Dispatcher& dispatcher = step.dispatcher_;
  Milliseconds longest = origin::kMinLifetime / kLifetimeTimeouts;
  for (const core::Rule& rule :
       dispatcher.configuration_.current_->rules_.rules_) {
    longest = std::max(longest, rule.outcome_.timeout_);
  }
  dispatcher.streams_.origins_.lifetime_ = kLifetimeTimeouts * longest;
}

void UpdateStreamVersions(Step& step) {
  StreamVersions& streams = step.dispatcher_.streams_;
  origin::RemoveExpired(streams.origins_, step.now_);
  std::erase_if(streams.retained_, [&step](const auto& entry) {
    return step.now_ - entry.second.asked_at_ >= kRetainedPromptLifetime;
  });
  if (streams.news_.empty() ||
      step.now_ - streams.news_sent_at_ < kReportInterval) {
    return;
  }
  streams.news_sent_at_ = step.now_;
  for (const core::MemberRow* row : ReportedPeers(step)) {
    for (const auto& [version, keys] : streams.news_) {
      SendToPeer(step, row->address_, core::StreamReport{version, keys});
    }
  }
  streams.news_.clear();
}

void RecordListedVersions(Step& step, const ListChanges& changes) {
  Dispatcher& dispatcher = step.dispatcher_;
  origin::Origins& origins = dispatcher.streams_.origins_;
  if (dispatcher.options_.restarted_ && origins.pools_.empty()) {
    origins.complete_since_ = step.now_;
  }
  std::map<std::string, std::set<std::string>> listed;
  for (const auto& [name, server] : dispatcher.pool_.servers_) {
    if (server.listing_ != Listing::kUnlisted && CanDecode(server.info_)) {
      listed[server.info_.service_].insert(server.info_.software_version_);
    }
  }
  std::map<std::string, std::set<std::string>> named = listed;
  for (const auto* servers : {&changes.seen_, &changes.passed_}) {
    for (const core::ServerInfo& info : *servers) {
      if (CanDecode(info)) {
        named[info.service_].insert(info.software_version_);
      }
    }
  }
  // What is named and no longer listed has just left.
  origin::RecordVersions(origins, named, step.now_);
  origin::RecordVersions(origins, listed, step.now_);
}

void OnStreamReport(Step& step, const core::StreamReport& report) {
  for (const StreamKey stream : report.streams_) {
    origin::RecordStream(step.dispatcher_.streams_.origins_, stream,
                         report.version_, step.now_);
  }
}

void OnStreamQuery(Step& step,
                   const std::string& from,
                   const core::StreamQuery& query) {
  const std::string address = AddressOf(step.dispatcher_, from);
  if (address.empty()) {
    return;
  }
  const auto known = origin::FindVersion(step.dispatcher_.streams_.origins_,
                                         query.stream_, step.now_);
  SendToPeer(
      step, address,
      core::StreamReply{query.stream_, known.has_value(), known.value_or("")});
}

void OnStreamReply(Step& step, const core::StreamReply& reply) {
  Dispatcher& dispatcher = step.dispatcher_;
  if (reply.known_) {
    origin::RecordStream(dispatcher.streams_.origins_, reply.stream_,
                         reply.version_, step.now_);
  }
  for (const RequestId& id : dispatcher.streams_.waiting_) {
    const auto found = dispatcher.calls_.find(id);
    if (found != dispatcher.calls_.end() &&
        found->second.version_search_.has_value() &&
        KeyOf(found->second) == reply.stream_) {
      std::size_t& missing = found->second.version_search_->replies_missing_;
      missing -= std::min<std::size_t>(missing, 1);
    }
  }
  ResolveStreamVersions(step);
}

void OnListConfirmed(Step& step, const ListConfirmed& event) {
  Dispatcher& dispatcher = step.dispatcher_;
  if (event.version_ < dispatcher.list_version_) {
    return;
  }
  dispatcher.list_confirmed_at_ =
      std::max(dispatcher.list_confirmed_at_, event.confirmed_at_);
  dispatcher.streams_.answers_changed_ = true;
  ResolveStreamVersions(step);
}

void QueryRuns(Step& step, const ServerState& engine) {
  if (CanDecode(engine.info_)) {
    step.actions_.emplace_back(ListRuns{
        engine.info_.name_, engine.info_.address_, engine.info_.incarnation_});
  }
}

void OnRunsListed(Step& step, const RunsListed& event) {
  Dispatcher& dispatcher = step.dispatcher_;
  const ServerState* server = FindServer(dispatcher.pool_, event.server_);
  if (server == nullptr) {
    return;
  }
  origin::Origins& origins = dispatcher.streams_.origins_;
  for (const std::string& label : event.labels_) {
    const StreamKey stream = origin::KeyOf(label);
    // What is known already is of the attempt that brought events.
    if (!origin::FindVersion(origins, stream, step.now_).has_value()) {
      origin::RecordStream(origins, stream, server->info_.software_version_,
                           step.now_);
    }
  }
  step.actions_.emplace_back(
      core::LogEvent{"runs_listed",
                     {{"server", event.server_},
                      {"runs", std::to_string(event.labels_.size())}}});
  ResolveStreamVersions(step);
}

void RecordRetainedPrompts(Step& step, const RetainedPromptsListed& event) {
  RetainedPrompts& retained =
      step.dispatcher_.streams_.retained_[event.server_];
  const ServerState* server = FindServer(step.dispatcher_.pool_, event.server_);
  const core::Incarnation incarnation =
      server == nullptr ? 0 : server->info_.incarnation_;
  if (retained.incarnation_ != incarnation) {
    retained.prompts_.clear();
    retained.incarnation_ = incarnation;
  }
  retained.answered_at_ = step.now_;
  // What it retained a moment ago it had decoded as well.
  retained.prompts_.insert(event.prompts_.begin(), event.prompts_.end());
  // Looked at with the next tick, together with the answers of other engines.
  step.dispatcher_.streams_.answers_changed_ = true;
}

}  // namespace siskindrum::dispatch
