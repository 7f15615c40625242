#ifndef SISKINDRUM_DISPATCH_DISPATCHER_P_H_
#define SISKINDRUM_DISPATCH_DISPATCHER_P_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "siskindrum/dispatch/dispatcher.h"
#include "siskindrum/dispatch/limits.h"
#include "siskindrum/dispatch/preview.h"

namespace siskindrum::dispatch {

// Context of the handling of one event: dispatcher, current time and the
// actions produced so far.
struct Step {
  Dispatcher& dispatcher_;
  TimePoint now_{};
  std::vector<Action>& actions_;
};

// call_end.cc: completion of requests, and retries after failed attempts.

bool IsRepeatable(const ActiveCall& call);
PlacementRequest MakePlacementRequest(const Step& step, const ActiveCall& call);
// Upper estimate of the answer length in tokens, capped by the caller's limit.
std::uint32_t AnswerTokensToReserve(const Step& step, const ActiveCall& call);
// Adds the length of a complete answer to the statistics of its route.
void RecordDeliveredLength(Step& step, const ActiveCall& call);
// Subtracts the request's prompt from the queued prefill tokens of its server.
// `server` is null when it is no longer in the pool.
void ReleasePrefill(ServerState* server, ActiveCall& call);
// Subtracts the current attempt from the load of its server.
void ReleaseAttempt(Step& step, ActiveCall& call);
// Subtracts the request from the load of its decode engine and releases an
// unused reservation there.
void ReleaseDecode(Step& step, ActiveCall& call);
// Frees a prefill result that was not fetched.
void ReleaseHandle(Step& step, ActiveCall& call);
// Ends the request with the server's stored error response if there is one and
// the answer has not begun, else with a refusal or failure that says whether
// the request may have run. Destroys `call`.
void FailCall(Step& step,
              ActiveCall& call,
              core::Reason reason,
              const std::string& detail);
// Ends a request whose caller did not read its answer until the server cut it
// off. Neither the server nor the repeat budget is charged. Destroys `call`.
void CutSlowCaller(Step& step, ActiveCall& call, const AttemptDone& event);
// Ends a request that needs no refusal; destroys `call`.
void EndCall(Step& step, ActiveCall& call, const std::string& outcome);
// Takes one repeat from the budget for the request's next send, unless it has
// one already. Returns whether it has one.
bool GrantRepeat(Step& step, ActiveCall& call);
// Returns true when the rule and the repeat budget allow another attempt, and
// consumes one repeat of the budget if the attempt is a repeat.
bool AllowAttempt(Step& step, ActiveCall& call, std::string* denied);
// Number of entries that share the fixed part of the repeat budget. Zero while
// the number is unknown, or while an earlier process may have used this entry's
// share: entries that all start or are killed at once would otherwise exceed
// the bound. Thread-safe: no.
std::size_t RepeatSharers(const Step& step);
// Returns the fields of an attempt that are common to all stages.
StartAttempt DescribeAttempt(const Step& step,
                             const ActiveCall& call,
                             Stage stage,
                             const ServerState& server,
                             std::uint32_t attempt);
// Counts an attempt, makes it the current one and describes it.
StartAttempt BeginAttempt(Step& step,
                          ActiveCall& call,
                          Stage stage,
                          ServerState& server);
void LogAttempt(Step& step,
                const ActiveCall& call,
                const StartAttempt& start,
                double expected_ms);

// Records that the server refused the current attempt. A busy server is
// suspended for a short time. A misdirected call marks the server as in
// RecordMisdirected().
void RecordRefusedAttempt(Step& step,
                          const ActiveCall& call,
                          ServerState& server,
                          bool misdirected);

// keys.cc: keys of callers.

// Sets the organisation and the rank of a new request by its key. Requires: the
// request has a configuration.
void ReadOrganisation(const Step& step, ActiveCall& call);
// Returns whether the request's key allows a new send.
bool MayServeKey(const Step& step, const ActiveCall& call);
// Refuses the request if its key must not be served now, or cannot be decided
// on; else updates its organisation and rank, which may have changed while it
// waited. Call before each send. Returns whether it was refused; `call` is then
// destroyed.
bool RefuseKey(Step& step, ActiveCall& call);
void OnConfirmed(Step& step, const ConfigurationConfirmed& event);
void OnRefusedAtHead(Step& step, const RefusedAtHead& event);
// Returns whether the current configuration has organisations.
bool HasOrganisations(const core::ConfigurationState& configuration);
// Reports to the network thread what decides on keys.
void ReportAccess(Step& step);

// plain_call.cc
void SendPlain(Step& step, ActiveCall& call);
void OnPlainDone(Step& step, ActiveCall& call, const AttemptDone& event);

// hedged_calls.cc: second sends of slow plain calls, as in
// siskindrum/hedge/hedge.h.

// Returns the kind of request whose response times are counted together; it is
// kept across revisions of the rules.
std::string LatencyClass(const ActiveCall& call);
// Sends slow calls to a second server, within the operators' limit.
void HedgeSlowCalls(Step& step);
// Returns what would become of the call if it stayed unanswered and nothing
// else changed. Counts an extra send; for copies of a dispatcher.
HedgeForecast ForecastHedge(Step& step, const ActiveCall& call);
// Records how long the current attempt has taken, when it is answered or given
// up as slow (`longer`).
void RecordCallTime(Step& step, const ActiveCall& call, bool longer);
// Records that the pool of the call had no room for it.
void RecordShortOfRoom(Step& step, const ActiveCall& call);
// Subtracts the call's second send from the load of its server.
void ReleaseHedge(Step& step, ActiveCall& call);
// Makes the second send the current attempt. Returns false if there is none.
// Requires: the current one was released.
bool PromoteHedge(ActiveCall& call);
// Handles the outcome of a second send. Requires: it is in progress.
void OnHedgeDone(Step& step, ActiveCall& call, const AttemptDone& event);

// engine_call.cc
// Chooses a decode engine with capacity and reserves it, or starts the next
// stage if the pool takes no reservations.
void AssignDecodeEngine(Step& step, ActiveCall& call);
void OnReserveDone(Step& step, ActiveCall& call, const ReserveDone& event);
void OnPrefillDone(Step& step, ActiveCall& call, const PrefillDone& event);
void OnDecodeDone(Step& step, ActiveCall& call, const AttemptDone& event);
void OnAnswerBegan(Step& step, ActiveCall& call);

// silence.cc
// Moves the request away from a silent server, if the rule and the repeat
// budget allow another send and another server can take it. Else the attempt
// goes on: a sound server may fall silent for a while.
void OnAttemptSilent(Step& step, ActiveCall& call);

// kept_prompts.cc: prompts that engines retain from before this process
// started.

// Queries all engines several times after a restart, once the list was read.
void QueryRetainedPrompts(Step& step);
void OnRetainedPrompts(Step& step, const RetainedPromptsListed& event);
// Lets the request fetch its prompt from an engine that retains it.
void UseRetainedPrompt(Step& step, ActiveCall& call);

// stream_versions.cc: streams go on only at the software version that began
// them.

// Records which version began the stream, or that it goes on. Call when the
// answer begins.
void RecordStreamVersion(Step& step, ActiveCall& call);
// Finds out which version began the stream that the caller resumes. Returns
// false if the request waits for the word of peers or engines.
bool FindStreamVersion(Step& step, ActiveCall& call);
// Continues the requests whose version is known now, and refuses those whose
// version nobody knows.
void ResolveStreamVersions(Step& step);
// Applies how long streams of the current configuration may last.
void ConfigureStreamVersions(Step& step);
// Tells peers of new streams and drops what is too old.
void UpdateStreamVersions(Step& step);
// Records the versions of the server list, and those that the changes name.
// Requires: the changes were applied to the list, or it is later.
void RecordListedVersions(Step& step, const ListChanges& changes);
void OnStreamReport(Step& step, const core::StreamReport& report);
void OnStreamQuery(Step& step,
                   const std::string& from,
                   const core::StreamQuery& query);
void OnStreamReply(Step& step, const core::StreamReply& reply);
// Records up to when the server list is complete.
void OnListConfirmed(Step& step, const ListConfirmed& event);
// Records which streams an engine runs.
void OnRunsListed(Step& step, const RunsListed& event);
// Asks the engine which streams it runs, if it may have begun any.
void QueryRuns(Step& step, const ServerState& engine);
// Records which prompts an engine retains.
void RecordRetainedPrompts(Step& step, const RetainedPromptsListed& event);

// waiting.cc: requests that wait for decode capacity.

// Mean memory of an answer in tokens times its duration, up to a constant
// factor.
double MemoryTime(const ActiveCall& call);
// Time that may still pass before the request could no longer meet its
// first-token target; negative when it cannot any more, the largest value when
// it has no target or has begun.
Milliseconds SlackToTarget(const Step& step, const ActiveCall& call);
// Adds the request to the queue. Logged and counted once for each request.
void Enqueue(Step& step, ActiveCall& call);

// True when the request would meet its first-token target if admitted now.
bool CanMeetTarget(const Step& step, const ActiveCall& call);
// False when the answer is expected to end after the caller's deadline, so that
// its capacity would be wasted. Happens in bursts, when callers retry late with
// long answers.
bool CanFinish(const Step& step, const ActiveCall& call);
// Adds the time of a complete answer to the mean time per token of its pool.
void RecordTokenTime(Step& step, const ActiveCall& call);
// Queues the request, or refuses it when capacity would come too late.
void WaitForCapacity(Step& step, ActiveCall& call);
// Retries placement of the waiting requests: first those that can still meet
// their target, by priority, then the others in arrival order.
void RetryWaiting(Step& step);

// urgency.cc: pools whose requests are served in order of urgency, as in
// siskindrum/admission/admission.h. Other pools behave as without it.

// True when the order of urgency applies to the pool of the request.
bool UsesAdmission(const Step& step, const ActiveCall& call);
// Places a new request, or queues it behind those that wait already.
void AdmitEngineCall(Step& step, ActiveCall& call);
// Records that the request got decode capacity, once for each request.
void RecordGrant(Step& step, ActiveCall& call);
// Records that the request's answer released its decode capacity.
void RecordCapacityRelease(Step& step, const ActiveCall& call);
// Records that the request found no capacity although it could still have met
// its target.
void RecordShortage(Step& step, const ActiveCall& call);
// True when late requests like this one are refused.
bool IsCapacityShort(const Step& step, const ActiveCall& call);
// True when the request may take capacity of `engine`; false when more urgent
// requests are expected to need it.
bool LeavesHeadroom(const Step& step,
                    const ActiveCall& call,
                    const PlacementRequest& request,
                    const ServerState& engine);
// Waiting requests of one pool with priorities, in order of arrival.
struct UrgencyQueue {
  std::vector<std::size_t> places_;  // Indices in the order of all pools.
  std::vector<RequestId> ids_;
  std::vector<admission::WaitingRequest> waiting_;  // Of `ids_`.
  std::vector<std::size_t> sorted_;  // Indices of `ids_`, the first to serve.
};
using UrgencyQueues = std::map<std::string, UrgencyQueue>;  // By pool.

// Sorts waiting requests of pools with priorities within their places of
// `order`.
UrgencyQueues OrderByUrgency(Step& step, std::vector<RequestId>& order);
// Refuses those that still wait after all were tried in this order and would
// not be served in time.
void RefuseHopeless(Step& step, UrgencyQueues& queues);
// Refuses the request for lack of capacity; destroys `call`.
void FailForCapacity(Step& step, ActiveCall& call, const std::string& cause);
// The rank that engines are told; none in pools with a single rank.
std::optional<std::uint32_t> EnginePriority(const Step& step,
                                            const ActiveCall& call);
// Adds the rank to a log event of a pool with priorities.
void AddUrgency(const Step& step, const ActiveCall& call, core::LogEvent& log);

// Handles a request for which no server of its pool with this role accepts new
// work. When only pauses are the reason, it waits for the earliest end if that
// comes in time, else it is refused with that end as retry-after advice.
void HandleNoServer(Step& step, ActiveCall& call, core::ServerRole role);

// quota_calls.cc: quotas of organisations.

// Charges a new request to its organisation. Returns false if it waits for a
// loan or was refused; `call` is destroyed in the second case.
bool AdmitByQuota(Step& step, ActiveCall& call);
// Ends the request's wait, and gives back its charge unless it may have run.
// Call before its attempt is released.
void SettleQuota(Step& step, ActiveCall& call);
void OnQuotaAsk(Step& step,
                const core::PeerMessage& message,
                const core::QuotaAsk& ask);
void OnQuotaLoan(Step& step,
                 const core::PeerMessage& message,
                 const core::QuotaLoan& loan);
void OnQuotaReturn(Step& step,
                   const core::PeerMessage& message,
                   const core::QuotaReturn& returned);
// Applies the quotas of the current configuration.
void ConfigureQuotas(Step& step);
// Periodic work: entry count, requests that wait too long, asks and returns.
void UpdateQuotas(Step& step);

// quarantined_calls.cc: requests whose prompt may crash engines.

// Refuses a new request whose prompt parts are quarantined. Returns true if so;
// `call` is then destroyed.
bool RefuseNewQuarantined(Step& step, ActiveCall& call);
// The same before each later stage of a request.
bool RefuseQuarantined(Step& step, ActiveCall& call);
// Records that the engine may have crashed by this request, if that is what
// `event` means. Call before the attempt's result is stored in `call`.
void RecordCrashSuspect(Step& step,
                        const ActiveCall& call,
                        const AttemptDone& event);
// Records that an answer of the request was written.
void RecordHarmlessCall(Step& step, ActiveCall& call);
void OnQuarantineReport(Step& step,
                        const std::string& from,
                        const core::QuarantineReport& report);
// Sends news to peers and drops what is too old.
void UpdateQuarantine(Step& step);

// role_changes.cc: changes of engine roles, by the entry that is elected to
// make them, as in siskindrum/election/election.h.

// Changes prefill engines to decode once this entry is elected. Does so once,
// soon after the first start, when the server list has settled.
void ChangeEngineRoles(Step& step);
void OnVoteRequest(Step& step,
                   const std::string& from,
                   const core::VoteRequest& request);
void OnVoteReply(Step& step,
                 const std::string& from,
                 const core::VoteReply& reply);

// peers.cc: messages between entries.

// Sends the report to random peers. Returns how many.
std::size_t SendQuarantineReport(Step& step,
                                 const core::QuarantineReport& report);

void OnPeerMessage(Step& step, const PeerMessageReceived& event);
void SendToPeer(Step& step, const std::string& address, core::PeerBody body);
// Returns the address of a peer by its name, or an empty string.
std::string AddressOf(const Dispatcher& dispatcher, const std::string& name);
// Sends gossip to some peers once per round, and requests newer versions from a
// peer that has them.
void GossipWithPeers(Step& step);
// Reports this entry's engine usage to entries of the same failure domain.
// Needed where each entry sends too few requests to infer from its own load
// which engines are full.
void SendUsage(Step& step);

// dispatcher.cc
// Keeps a record of the request for explanations.
void AddDecision(Dispatcher& dispatcher, const ActiveCall& call);
// Sends an admitted request to its pool.
void RouteCall(Step& step, ActiveCall& call);
// Sends a request whose stream may go on, or is new, to the engines.
void RouteToEngines(Step& step, ActiveCall& call);
// Reports whether the entry can serve, when that has changed.
void UpdateReady(Step& step);

// server_list.cc
inline constexpr char kStoreSource[] = "store";  // Of a list; else a peer.
// Applies changes of the server list unless the known version is newer.
void OnListChanges(Step& step,
                   const ListChanges& changes,
                   const std::string& source);

std::string FormatMs(core::Nanoseconds duration);
// Formats prompt parts as hexadecimal numbers with commas.
std::string FormatParts(const std::vector<std::uint64_t>& parts);

}  // namespace siskindrum::dispatch

#endif  // SISKINDRUM_DISPATCH_DISPATCHER_P_H_
