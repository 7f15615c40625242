#ifndef SISKINDRUM_CORE_ROUTER_H_
#define SISKINDRUM_CORE_ROUTER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "siskindrum/core/call.h"
#include "siskindrum/core/configuration.h"
#include "siskindrum/core/event.h"
#include "siskindrum/core/fleet.h"
#include "siskindrum/core/limit.h"
#include "siskindrum/core/membership.h"
#include "siskindrum/core/queue.h"

namespace siskindrum::core {

enum class RequestState {
  kPlacing,  // Choosing a cell to request a slot from.
  kWaiting,  // Slot requested; queued at the cell's home.
  kPrefilling,
  kDecoding,
  kSendingPlain,
  kForwarded,    // Forwarded to the seat that owns its idempotency key.
  kWaitingCall,  // Another request with the same key is in progress.
  kCount
};

// How servers are chosen. The production policy is kCellHome; the others are
// baselines for the experiment command.
enum class Policy { kCellHome, kRoundRobin, kLeastLoad, kTwoChoices, kCount };

// Returns the policy's name on the command line. Thread-safe: yes.
const char* ToString(Policy policy);

// One request in progress at this entry, for a model engine or a plain service.
struct Request {
  RequestId id_;
  RequestShape shape_;
  std::shared_ptr<const Configuration> configuration_;  // Keeps `rule_` alive.
  const Rule* rule_ = nullptr;
  std::string pool_;  // Service chosen by the rule.
  RequestState state_ = RequestState::kPlacing;
  std::uint32_t attempt_ = 0;
  std::uint32_t retries_ = 0;
  int reimports_ = 0;
  TimePoint arrived_at_{};
  TimePoint first_token_at_{};
  bool has_first_token_ = false;
  TimePoint deadline_{};
  std::uint32_t delivered_ = 0;

  Requirements need_;
  Placement placement_;
  std::string home_;  // Peer that granted the slot; empty if this entry did.
  std::string requested_cell_;  // Cell of the last slot request.
  std::string requested_home_;
  bool request_acknowledged_ = false;
  TimePoint requested_at_{};
  TimePoint retry_at_{};  // While placing: when to try the next cell.
  std::vector<std::string> tried_cells_;
  bool may_fit_ = false;  // A cell refused for a reason other than size.
  // Memory of the largest engine that was too small.
  std::uint32_t max_pieces_ = 0;
  std::string handle_;
  TimePoint handle_expires_at_{};

  bool once_ = false;  // The call must run at most once.
  std::string content_type_;
  std::string body_;
  std::string plain_server_;
  bool for_peer_ = false;  // Forwarded here by the entry `peer_`.
  std::string peer_;
  RequestId peer_request_;
  std::string forwarded_to_seat_;  // Seat of the key.
  bool caller_gone_ = false;
  bool prefill_started_ = false;
  TimePoint forwarded_at_{};
  bool forward_retried_ = false;  // An earlier copy may have been accepted.
  RunState run_state_ = RunState::kNotRun;
};

// Routing decision for a request. The latest kMaxExplainRecords are kept to
// answer explain queries.
struct DecisionRecord {
  RequestId request_;
  std::shared_ptr<const Configuration> configuration_;  // Keeps `rule_` alive.
  const Rule* rule_ = nullptr;
  RequestShape shape_;
  std::string cell_;
  std::string home_;
  std::string prefill_;
  std::string decode_;
  std::vector<Candidate> candidates_;
  std::uint32_t attempts_ = 0;
  std::string outcome_ = "in_progress";
  std::string reason_;  // Of a refusal or failure; empty: none.
  Milliseconds first_token_{0};
  Milliseconds total_{0};
};

// A cancel that its server has not acknowledged yet; it is sent again.
struct PendingCancel {
  std::string address_;
  TimePoint first_{};
  TimePoint last_{};
};

struct CancelKey {
  RequestId request_;
  std::string server_;
  auto operator<=>(const CancelKey&) const = default;  // NOLINT
};

struct RouterCounters {
  std::uint64_t arrived_ = 0;
  std::uint64_t answered_ = 0;
  std::uint64_t failed_not_run_ = 0;
  std::uint64_t failed_may_have_run_ = 0;
  std::uint64_t caller_gone_ = 0;
  std::uint64_t prefill_tokens_ = 0;
  std::uint64_t prefill_tokens_wasted_ = 0;
  std::uint64_t placed_home_ = 0;
  std::uint64_t placed_remote_ = 0;
  std::uint64_t placed_alone_ = 0;
  std::uint64_t reimports_ = 0;
  std::uint64_t continued_ = 0;
  std::uint64_t cancels_sent_ = 0;
  std::uint64_t swept_ = 0;
  std::uint64_t calls_repeated_ = 0;
  std::uint64_t homes_moved_ = 0;
  std::uint64_t pauses_ = 0;
  std::uint64_t peer_messages_ = 0;
};

struct RouterOptions {
  std::string name_;
  std::string domain_;
  std::string peer_address_;
  Incarnation incarnation_ = 0;
  std::uint64_t seed_ = 0;
  Policy policy_ = Policy::kCellHome;
};

// Routing state of one entry: turns events into actions and does no I/O. Owned
// by one thread.
struct Router {
  RouterOptions options_;
  std::mt19937_64 random_;
  ConfigurationState configuration_;
  // Configuration offered by the service during startup; applied at its end.
  std::shared_ptr<const Configuration> pending_offer_;
  StorePosition list_version_;
  std::vector<ServerInfo> listed_servers_;
  std::vector<EntryInfo> listed_entries_;
  Membership membership_;
  Fleet fleet_;
  // By cell, for cells whose home is this entry.
  std::map<std::string, WaitQueue> queues_;
  OrganisationRateLimits limits_;
  RetryBudget retry_budget_;
  CallLedger calls_;
  // Handovers received for seats of other entries, by seat. Kept to answer
  // SeatHandoverRequest.
  std::map<std::string, std::vector<SeatHandover>> handovers_;
  TimePoint next_handover_request_{};
  std::unordered_map<RequestId, Request, RequestIdHash> requests_;
  // Requests whose timeout or retry is checked on every tick.
  std::set<RequestId> timed_requests_;
  std::map<CancelKey, PendingCancel> cancels_;
  // Calls forwarded here: the peer's request id to the local one.
  std::map<RequestId, RequestId> forwarded_;
  std::unordered_map<RequestId, DecisionRecord, RequestIdHash> decisions_;
  std::deque<RequestId> decision_order_;
  std::size_t live_entries_ = 1;  // Including this one.
  std::map<std::string, std::uint64_t> round_robin_;
  std::uint64_t next_sequence_ = 0;
  TimePoint started_at_{};
  TimePoint last_tick_{};
  TimePoint next_gossip_{};
  TimePoint next_sweep_{};
  TimePoint next_relay_{};
  TimePoint settle_until_{};
  bool starting_ = true;
  bool draining_ = false;
  bool drained_ = false;
  bool watching_ = false;
  RouterCounters counters_;
};

// Makes a router without configuration, servers or peers. Thread-safe: yes.
Router MakeRouter(const RouterOptions& options, const Now& now);

// Handles one event and appends the resulting actions. Thread-safe: no; one
// thread owns `router`. `now` must not go backwards between calls.
void HandleEvent(Router& router,
                 const Event& event,
                 const Now& now,
                 std::vector<RouterAction>& actions);

// Allocates the id of the next request. Thread-safe: no.
RequestId NextRequestId(Router& router);

// True when the entry can serve requests: it has rules and servers and is not
// draining. Thread-safe: no.
bool IsReady(const Router& router);

// Returns the decision record of a request, or nullptr if it is not kept.
// Thread-safe: no.
const DecisionRecord* FindDecision(const Router& router, const RequestId& id);

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_ROUTER_H_
