#ifndef SISKINDRUM_DISPATCH_DISPATCHER_H_
#define SISKINDRUM_DISPATCH_DISPATCHER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "siskindrum/admission/admission.h"
#include "siskindrum/admission/ranked_pools.h"
#include "siskindrum/core/router.h"
#include "siskindrum/dispatch/answer_length.h"
#include "siskindrum/dispatch/event.h"
#include "siskindrum/dispatch/limits.h"
#include "siskindrum/dispatch/peers.h"
#include "siskindrum/dispatch/placement.h"
#include "siskindrum/dispatch/quarantine.h"
#include "siskindrum/dispatch/repeat_budget.h"
#include "siskindrum/dispatch/server_pool.h"
#include "siskindrum/dispatch/use_view.h"
#include "siskindrum/election/election.h"
#include "siskindrum/hedge/hedge.h"
#include "siskindrum/origin/origin.h"
#include "siskindrum/quota/quota.h"

namespace siskindrum::dispatch {

// A second send of a plain call, beside its current attempt.
struct HedgeAttempt {
  std::uint32_t attempt_ = 0;
  std::string server_;
  TimePoint sent_at_{};
  std::uint64_t counted_bytes_ = 0;  // In `request_bytes_` of `server_`.
};

// The search for the software version that began a caller's stream.
struct VersionSearch {
  std::size_t replies_missing_ = 0;  // Of peers.
  TimePoint replies_until_{};
  // Of engines: what they retain of the stream's prompt.
  TimePoint retained_until_{};
  TimePoint engines_asked_at_{};
};

// One request in progress at this entry.
struct ActiveCall {
  RequestId id_;
  CallerCall call_;
  std::shared_ptr<const core::Configuration> configuration_;  // Owns `rule_`.
  const core::Rule* rule_ = nullptr;
  std::string pool_;
  TimePoint arrived_at_{};
  TimePoint deadline_{};
  std::uint64_t draw_ = 0;          // As in PlacementRequest.
  std::string organisation_;        // Holder of its key; empty: none.
  std::uint32_t urgency_ = 0;       // Rank; lowest is served first.
  std::string quota_organisation_;  // Charged, even if its key moves later.
  double quota_cost_ = 0;  // Charged to the organisation, or to be charged.
  bool quota_charged_ = false;
  TimePoint quota_wait_until_{};  // For loans; epoch: it does not wait.

  // Current attempt.
  std::uint32_t attempt_ = 0;
  Stage stage_ = Stage::kPlain;
  std::string server_;
  std::string attempt_version_;  // Software version of `server_` when sent.
  TimePoint sent_at_{};
  bool silence_recorded_ = false;      // The server was found silent.
  std::uint64_t counted_bytes_ = 0;    // In `request_bytes_` of `server_`.
  std::uint32_t counted_prefill_ = 0;  // Tokens counted at `server_`.
  double expected_prefill_ms_ = 0;     // Of the prefill at `prefill_server_`.
  std::string prefill_server_;         // Of the last prefill; empty: none.
  // Until the prefill result reaches the decode engine; zero: no transfer.
  double expected_transfer_ms_ = 0;
  // No other prefill of this entry was queued at `server_` when this one was
  // sent.
  bool prefill_was_unqueued_ = false;
  std::optional<HedgeAttempt> hedge_;
  hedge::Verdict hedge_verdict_ = hedge::Verdict::kNotSlow;  // Last one.

  // Whole request.
  std::uint32_t attempts_ = 0;  // Started so far.
  std::uint32_t sends_ = 0;     // Attempts counted against the rule's retries.
  int connect_failures_ = 0;
  bool sent_before_ = false;     // Another send counts as a repeat.
  bool repeat_granted_ = false;  // A repeat was taken from the budget for it.
  RunState run_state_ = RunState::kNotRun;
  bool answer_begun_ = false;
  TimePoint begun_at_{};
  TimePoint reserved_at_{};  // First granted reservation; epoch: none.
  TimePoint granted_at_{};   // First decode capacity; epoch: none yet.
  bool has_server_error_ = false;
  std::vector<std::string> avoid_;
  bool parts_harmless_ = false;  // Its answer proved that.
  Milliseconds retry_after_{0};  // Advice with a refusal; zero: by its reason.

  // Chosen decode engine.
  std::string decode_server_;
  std::uint32_t counted_decode_ = 0;  // Tokens counted in its `held_tokens_`.
  std::string hold_;                  // Reservation id there; empty: none.
  TimePoint reservation_expires_at_{};
  std::size_t reserves_ = 0;  // Consecutive reservation attempts.
  bool direct_ = false;       // The decode engine also prefills.
  bool waiting_ = false;      // For decode capacity.
  bool wait_logged_ = false;  // The wait was counted and logged.
  std::string handle_;        // KV handle of a prefill result not yet fetched.
  std::string handle_address_;
  // Engine that may still hold the prompt; empty: none.
  std::string prompt_address_;
  // Last event delivered to the caller.
  std::optional<std::uint64_t> last_event_;
  Milliseconds longest_gap_{0};  // Between two events of the answer.

  // Software version of the servers that may go on with the stream: the one
  // that began it. Nothing: it has not begun, or the version is not known.
  std::optional<std::string> stream_version_;
  std::optional<VersionSearch> version_search_;  // While it is looked for.
};

// What peers are still to be told of the quarantine, and how many messages may
// be sent.
struct QuarantineNews {
  core::QuarantineReport report_;
  TimePoint collected_since_{};  // When its first row was added.
  double messages_ = kNewsBurst;
  TimePoint counted_at_{};
};

struct DispatchCounters {
  std::uint64_t arrived_ = 0;
  std::uint64_t delivered_ = 0;
  std::uint64_t server_errors_ = 0;
  std::uint64_t refused_not_run_ = 0;
  std::uint64_t failed_may_have_run_ = 0;
  std::uint64_t caller_left_ = 0;
  // Requests that ended with a refusal or failure, by reason.
  std::array<std::uint64_t, static_cast<std::size_t>(core::Reason::kCount)>
      failed_by_reason_{};
  std::uint64_t attempts_ = 0;
  std::uint64_t repeats_ = 0;
  std::uint64_t repeats_denied_ = 0;
  std::uint64_t hedges_ = 0;  // Among the repeats.
  std::uint64_t hedges_won_ = 0;
  // Slow requests, by what was decided on a hedge.
  std::array<std::uint64_t, static_cast<std::size_t>(hedge::Verdict::kCount)>
      hedge_verdicts_{};
  std::uint64_t silences_endured_ = 0;  // Attempts that stayed where they were.
  std::uint64_t resumed_ = 0;
  std::uint64_t taken_up_ = 0;          // Streams that callers resumed.
  std::uint64_t versions_unknown_ = 0;  // Of those, refused.
  std::uint64_t cut_ = 0;
  std::uint64_t prefills_elsewhere_ = 0;
  std::uint64_t prefills_direct_ = 0;
  std::uint64_t handles_freed_ = 0;
  std::uint64_t reserves_ = 0;
  std::uint64_t reserves_refused_ = 0;
  std::uint64_t waits_ = 0;
  // By rank, in pools with priorities.
  std::array<std::uint64_t, admission::kRanks> waits_by_rank_{};
  std::array<std::uint64_t, admission::kRanks> refused_by_rank_{};
  std::array<std::uint64_t, admission::kRanks> granted_by_rank_{};
  std::uint64_t orders_ = 0;
  // Server processes that announced their shutdown in an answer.
  std::uint64_t leaving_announced_ = 0;
  std::uint64_t pauses_asked_ = 0;  // By servers that refused a request.
  std::uint64_t suspicions_ = 0;    // Own and reported by peers.
  std::uint64_t quarantines_ = 0;   // Imposed or renewed.
  std::uint64_t quarantined_ = 0;   // Refused requests.
};

struct DispatcherOptions {
  std::string name_;
  std::string domain_;
  core::Incarnation incarnation_ = 0;
  std::uint64_t seed_ = 0;
  // This is not the first start of the deployment: engines may retain prompts
  // from its earlier processes, and this process changes no engine roles.
  bool restarted_ = false;
  // Address of this entry for peers; empty: no peers.
  std::string peers_address_;
  std::vector<std::string> seeds_;  // Addresses of other entries.
  RepeatLimits repeats_;            // Shared by all entries.
  hedge::HedgeLimits hedges_;
  // A key that was taken away admits no request later than this after its
  // removal, even while this entry cannot reach the store; zero: no such bound.
  Milliseconds revocation_limit_{0};
  core::QuotaBounds quota_bounds_;  // Shared by all entries.
};

// Prompts that an engine retains.
struct RetainedPrompts {
  core::Incarnation incarnation_ = 0;  // Of the engine that answered.
  TimePoint asked_at_{};
  TimePoint answered_at_{};
  std::unordered_set<std::uint64_t> prompts_;
};

// Which software version began the streams of callers, as in
// siskindrum/origin/origin.h.
struct StreamVersions {
  origin::Origins origins_;
  // Streams that peers are still to be told of, by version.
  std::map<std::string, std::vector<origin::StreamKey>> news_;
  TimePoint news_sent_at_{};
  std::vector<RequestId> waiting_;  // Whose version is looked for.
  std::map<std::string, RetainedPrompts> retained_;  // By engine.
  // Engines or the store have answered since the waiting requests were last
  // looked at.
  bool answers_changed_ = false;
};

// Records of the last requests, for explanations. A copy is empty: copies of a
// dispatcher answer what-if questions and are short-lived.
struct DecisionLog {
  DecisionLog() = default;
  DecisionLog(const DecisionLog&) {}
  DecisionLog& operator=(const DecisionLog&) = delete;
  DecisionLog(DecisionLog&&) = default;
  DecisionLog& operator=(DecisionLog&&) = default;
  ~DecisionLog() = default;

  // By the caller's label.
  std::unordered_map<std::string, core::DecisionRecord> records_;
  std::deque<std::string> order_;  // Labels; the oldest first.
};

// State and decisions of one entry. Each entry chooses servers from the load
// that it sent itself and from usage reports of its peers; no entry owns a
// server. Owned by one thread.
struct Dispatcher {
  DispatcherOptions options_;
  std::mt19937_64 random_;
  core::ConfigurationState configuration_;
  // When the configuration was certainly the newest.
  access::Confirmation confirmation_;
  ServerPool pool_;
  RepeatBudget budget_;
  hedge::HedgeState hedge_;
  Peers peers_;
  PeerUsage use_;
  Quarantine quarantine_;
  QuarantineNews quarantine_news_;
  election::Election election_;  // Of the entry that changes engine roles.
  quota::QuotaState quota_;
  std::vector<RequestId> quota_waiting_;  // For loans, in arrival order.
  StreamVersions streams_;
  double release_draw_ = 0;  // In [0, 1); of this entry's release delay.
  // Addresses of engines that retained a prompt from before this process
  // started, by prompt identity.
  std::unordered_map<std::uint64_t, std::string> retained_prompts_;
  TimePoint first_prompt_query_{};  // First query for retained prompts.
  std::size_t retained_prompt_queries_ = 0;
  std::vector<RequestId> waiting_;  // For decode capacity, in arrival order.
  // Only requests that can meet their target are admitted until then, in pools
  // without priorities.
  TimePoint shortage_until_{};
  admission::RankedPools ranked_pools_;  // Of the current configuration.
  // By pool; only pools with priorities.
  std::map<std::string, admission::PoolAdmission> admission_;
  // Mean time per expected answer token in milliseconds, by pool.
  std::unordered_map<std::string, double> mean_token_ms_;
  // Keyed by pool, host and path of the rule.
  std::unordered_map<std::string, AnswerLengthStats> answer_lengths_;
  std::unordered_map<RequestId, ActiveCall, core::RequestIdHash> calls_;
  DecisionLog decisions_;
  // Records the choices of servers; null: they are not recorded.
  std::vector<WeighedChoice>* trace_ = nullptr;
  TimePoint started_at_{};       // First event.
  TimePoint list_changed_at_{};  // Last applied list change.
  // The list has all changes of the store up to then; epoch: not known.
  TimePoint list_confirmed_at_{};
  bool roles_changed_ = false;
  bool list_read_ = false;
  core::StorePosition list_version_;
  bool ready_ = false;
  std::optional<DrainBegan> drain_;  // Set once the process shuts down.
  DispatchCounters counters_;
};

// Creates a dispatcher without configuration or servers. Thread-safe: yes.
Dispatcher MakeDispatcher(const DispatcherOptions& options);

// Handles one event and appends the resulting actions. Thread-safe: no; one
// thread owns `dispatcher`. `now` must not decrease between calls.
void HandleEvent(Dispatcher& dispatcher,
                 const Event& event,
                 TimePoint now,
                 std::vector<Action>& actions);

// Returns the decision record of a request by its label, or nullptr.
// Thread-safe: no.
const core::DecisionRecord* FindDecision(const Dispatcher& dispatcher,
                                         const std::string& label);

}  // namespace siskindrum::dispatch

#endif  // SISKINDRUM_DISPATCH_DISPATCHER_H_
