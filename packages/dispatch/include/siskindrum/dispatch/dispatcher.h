#ifndef SISKINDRUM_DISPATCH_DISPATCHER_H_
#define SISKINDRUM_DISPATCH_DISPATCHER_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "siskindrum/core/router.h"
#include "siskindrum/dispatch/answer_length.h"
#include "siskindrum/dispatch/event.h"
#include "siskindrum/dispatch/peers.h"
#include "siskindrum/dispatch/placement.h"
#include "siskindrum/dispatch/repeat_budget.h"
#include "siskindrum/dispatch/server_pool.h"
#include "siskindrum/dispatch/use_view.h"

namespace siskindrum::dispatch {

// One request in progress at this entry.
struct ActiveCall {
  RequestId id_;
  CallerCall call_;
  std::shared_ptr<const core::Configuration> configuration_;  // Keeps `rule_`.
  const core::Rule* rule_ = nullptr;
  std::string pool_;
  TimePoint arrived_at_{};
  TimePoint deadline_{};
  std::uint64_t draw_ = 0;  // As in PlacementNeed.
  // Of the attempt in progress.
  std::uint32_t attempt_ = 0;
  Stage stage_ = Stage::kPlain;
  std::string server_;
  TimePoint sent_at_{};
  std::uint32_t counted_prefill_ = 0;  // Tokens counted at `server_`.
  bool prefill_was_alone_ = false;     // Nothing waited there before it.
  // Of the whole request.
  std::uint32_t sends_ = 0;  // That count as attempts of the rule.
  int connect_failures_ = 0;
  bool sent_before_ = false;  // A further send is a repeat.
  RunState run_state_ = RunState::kNotRun;
  bool answer_begun_ = false;
  TimePoint begun_at_{};
  TimePoint room_at_{};  // When a decode engine had room; epoch: not yet.
  bool error_kept_ = false;
  std::vector<std::string> avoid_;
  // Of the decode engine chosen for it.
  std::string decode_server_;
  std::uint32_t counted_held_ = 0;  // Tokens counted there.
  std::string hold_;                // The reservation there; empty: none.
  TimePoint hold_until_{};
  std::size_t reserves_ = 0;  // In a row.
  bool direct_ = false;       // The decode engine is to prefill.
  bool waiting_ = false;      // For room at a decode engine.
  bool wait_noted_ = false;   // Counted and logged once.
  std::string handle_;        // Not yet taken.
  std::string handle_address_;
  std::string prompt_address_;  // Of the engine that read the prompt first.
  std::optional<std::uint64_t> last_event_;  // That the caller has.
};

struct DispatchCounters {
  std::uint64_t arrived_ = 0;
  std::uint64_t delivered_ = 0;
  std::uint64_t server_errors_ = 0;
  std::uint64_t refused_not_run_ = 0;
  std::uint64_t failed_may_have_run_ = 0;
  std::uint64_t caller_left_ = 0;
  std::uint64_t attempts_ = 0;
  std::uint64_t repeats_ = 0;
  std::uint64_t repeats_denied_ = 0;
  std::uint64_t resumed_ = 0;
  std::uint64_t cut_ = 0;
  std::uint64_t prefills_elsewhere_ = 0;
  std::uint64_t prefills_direct_ = 0;
  std::uint64_t handles_freed_ = 0;
  std::uint64_t reserves_ = 0;
  std::uint64_t reserves_refused_ = 0;
  std::uint64_t waits_ = 0;
  std::uint64_t orders_ = 0;
};

struct DispatcherOptions {
  std::string name_;
  std::string domain_;
  core::Incarnation incarnation_ = 0;
  std::uint64_t seed_ = 0;
  // This process alone, of all that ever run in the deployment, may give orders
  // to engines.
  bool gives_orders_ = false;
  // Earlier processes of the deployment may have left prompts at the engines.
  bool restarted_ = false;
  std::string peers_address_;       // Of this entry; empty: it has no peers.
  std::vector<std::string> seeds_;  // Addresses of other entries.
  RepeatBounds repeats_;            // Over all entries.
};

// The decisions of an entry that counts alone, without a home for its servers:
// every entry weighs what it sent itself. Owned by one thread.
struct Dispatcher {
  DispatcherOptions options_;
  std::mt19937_64 random_;
  core::ConfigurationState configuration_;
  ServerPool pool_;
  RepeatBudget budget_;
  Peers peers_;
  UseView use_;
  // Addresses of engines that kept a prompt when this process started.
  std::unordered_map<std::uint64_t, std::string> retained_prompts_;
  TimePoint first_prompt_query_{};  // When the engines were first asked.
  std::size_t retained_prompt_queries_ = 0;
  std::vector<RequestId> waiting_;  // For room, as they came.
  TimePoint shortage_until_{};      // Room goes to requests in time only.
  // Mean time of an answer for each token expected of it, in milliseconds, by
  // pool.
  std::unordered_map<std::string, double> mean_token_ms_;
  // By pool, host and path of the rule.
  std::unordered_map<std::string, AnswerLengths> answer_lengths_;
  std::unordered_map<RequestId, ActiveCall, core::RequestIdHash> calls_;
  std::unordered_map<std::string, core::DecisionRecord>
      decisions_;  // By label.
  std::deque<std::string> decision_order_;
  TimePoint started_at_{};       // First event.
  TimePoint list_changed_at_{};  // Roles or members of it.
  bool orders_given_ = false;
  bool list_read_ = false;
  std::uint64_t list_version_ = 0;
  bool ready_ = false;
  bool draining_ = false;
  DispatchCounters counters_;
};

// Makes a dispatcher that knows nothing yet. Thread-safe: yes.
Dispatcher MakeDispatcher(const DispatcherOptions& options);

// Handles one event and appends what is to be done. Thread-safe: no; one
// thread owns `dispatcher`. Times must not go back between calls.
void HandleEvent(Dispatcher& dispatcher,
                 const Event& event,
                 TimePoint now,
                 std::vector<Action>& actions);

// Decision record of a caller's request, or nullptr. Thread-safe: no.
const core::DecisionRecord* FindDecision(const Dispatcher& dispatcher,
                                         const std::string& label);

}  // namespace siskindrum::dispatch

#endif  // SISKINDRUM_DISPATCH_DISPATCHER_H_
