#ifndef SISKINDRUM_DISPATCH_EVENT_H_
#define SISKINDRUM_DISPATCH_EVENT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "siskindrum/access/access.h"
#include "siskindrum/core/configuration.h"
#include "siskindrum/core/event.h"
#include "siskindrum/core/peer_message.h"
#include "siskindrum/core/types.h"
#include "siskindrum/core/verdict.h"
#include "siskindrum/dispatch/repeat_budget.h"
#include "siskindrum/dispatch/server_pool.h"

namespace siskindrum::dispatch {

using core::RequestId;
using core::RunState;

// Stage of a request that one attempt sends to a server.
enum class Stage {
  kPlain,
  kReserve,  // Reserves a slot and memory of a decode engine.
  kPrefill,
  kDecode,  // Uses a prefill result or prefills itself.
  kCount
};

// Returns the lower-case name of the stage. Thread-safe: yes.
const char* ToString(Stage stage);

// The parts of a caller's request that decisions need.
struct CallerCall {
  core::RequestShape shape_;
  std::string label_;  // The caller's id, for logs and decision records.
  Milliseconds time_left_{0};        // Until the caller's deadline; zero: none.
  std::uint32_t answer_tokens_ = 0;  // Expected; zero: unknown.
  std::uint64_t request_bytes_ = 0;  // Size of its body.
  std::uint64_t prompt_ = 0;         // Identity of the prompt; zero: unknown.
  // Parts of the prompt that other requests may share.
  core::PromptParts shared_parts_;
  // The caller resumes after this event.
  std::optional<std::uint64_t> last_event_;
  // Label of the caller's request that brought the first event of the stream
  // that it resumes; empty: not stated.
  std::string resumes_;
  std::string key_;  // Secret, never logged or shown; empty: none.
};

// Events: the inputs of a dispatcher. The time of each is passed with it to
// HandleEvent.

struct CallArrived {
  RequestId request_;
  CallerCall call_;
  TimePoint arrived_at_{};
};

struct CallerLeft {
  RequestId request_;
};

// Result of a prefill.
struct PrefillDone {
  RequestId request_;
  std::uint32_t attempt_ = 0;
  bool ok_ = false;
  bool refused_ = false;  // The server reports that it did not run it.
  std::string handle_;
  std::string detail_;
  // Refused because it was meant for another server or role.
  bool misdirected_ = false;
  bool sent_ = true;  // The request may have reached the server.
};

// Result of a reservation.
struct ReserveDone {
  RequestId request_;
  std::uint32_t attempt_ = 0;
  bool ok_ = false;
  bool refused_ = false;  // The engine has no capacity.
  std::string hold_;
  std::string detail_;
  bool misdirected_ = false;  // As in PrefillDone.
};

// The first part of the answer was sent to the caller.
struct AnswerBegan {
  RequestId request_;
  std::uint32_t attempt_ = 0;
};

// The current attempt has brought parts of the answer for
// kHarmlessWritingTime. Comes once an attempt.
struct AnswerSustained {
  RequestId request_;
  std::uint32_t attempt_ = 0;
};

enum class AttemptOutcome {
  kDelivered,  // The caller received the complete answer.
  // Complete error response of the server, stored for the caller.
  kServerError,
  kRefused,  // The server reports that it did not run the call.
  // No complete answer; `run_state_` says whether the call may have run.
  kFailed,
  kCount
};

struct AttemptDone {
  RequestId request_;
  std::uint32_t attempt_ = 0;
  AttemptOutcome outcome_ = AttemptOutcome::kFailed;
  RunState run_state_ = RunState::kMayHaveRun;
  core::Reason reason_ = core::Reason::kNone;
  int status_ = 0;
  std::string detail_;
  // Last event delivered to the caller.
  std::optional<std::uint64_t> last_event_;
  bool misdirected_ = false;  // As in PrefillDone.
  // The server closed or reset the connection before the answer was whole.
  bool connection_lost_ = false;
  bool wrote_events_ = false;  // This attempt brought part of the answer.
  // The answer had neither a length nor chunks: an answer that was cut off
  // looks the same.
  bool ended_by_close_ = false;
  // Another attempt can complete the answer without repeating any part of it.
  bool can_resume_ = true;
  // The server cut off an answer that the caller did not read for a while,
  // which is no sign of trouble at the server.
  bool caller_was_slow_ = false;
  // Longest time between two events of the whole answer so far, including
  // earlier attempts.
  Milliseconds longest_gap_{0};
};

// The server has sent no data for the attempt's timeout. Repeated while the
// silence lasts.
struct AttemptSilent {
  RequestId request_;
  std::uint32_t attempt_ = 0;
};

struct ListSeen {
  ListChanges changes_;
};

// The store confirmed that the lists reported before have all changes up to
// `confirmed_at_`. Not applied while the dispatcher uses a later list, of a
// peer.
struct ListConfirmed {
  TimePoint confirmed_at_{};
  core::StorePosition version_;  // Of the last list reported.
};

// A message of another entry. Configurations arrive as ConfigurationRead.
struct PeerMessageReceived {
  core::PeerMessage message_;
};

struct ConfigurationRead {
  std::shared_ptr<const core::Configuration> configuration_;
  std::string source_;
};

// The store confirmed that no configuration newer than the ones reported before
// was in force at `confirmed_at_`. Not applied while the dispatcher uses
// another configuration than the last one reported, and none newer.
struct ConfigurationConfirmed {
  TimePoint confirmed_at_{};
  // Of the last valid configuration that the store reported; zero: any.
  std::uint64_t revision_ = 0;
  std::uint64_t digest_ = 0;
  // The newest configuration was refused: the confirmation holds only for keys
  // that it lists. Null: all are confirmed.
  std::shared_ptr<const access::KeySet> only_keys_;
};

// A request was refused by its head, before the dispatcher knew of it.
struct RefusedAtHead {
  RequestId request_;
  CallerCall call_;
  TimePoint arrived_at_{};
  std::shared_ptr<const core::Configuration> configuration_;  // Owns `rule_`.
  const core::Rule* rule_ = nullptr;
  core::Reason reason_ = core::Reason::kNone;
  std::string detail_;
};

// Prompts that an engine retains.
struct RetainedPromptsListed {
  std::string server_;
  std::vector<std::uint64_t> prompts_;
};

// Requests that an engine runs, by the labels of their callers.
struct RunsListed {
  std::string server_;
  std::vector<std::string> labels_;
};

// What a server said about itself in the head of an answer. Comes before the
// outcome of the attempt or of the entry's own request that was answered.
struct ServerNoticeReceived {
  std::string server_;
  core::Incarnation incarnation_ = 0;  // Of the process that was asked.
  bool leaving_ = false;               // It announced its shutdown.
  Milliseconds pause_{0};              // It wants no requests for this time.
  std::string pause_text_;  // The pause in the server's own words, for logs.
};

// Settings that can be reloaded while the process runs.
struct SettingsRead {
  std::vector<std::string> seeds_;  // Addresses of other entries.
  RepeatLimits repeats_;
};

// The process shuts down.
struct DrainBegan {
  // From then on a request is taken only if its deadline is before the end.
  TimePoint accept_until_{};
  // Time by which every request must have its answer.
  TimePoint ends_at_{};
};
struct Ticked {};

using Event = std::variant<CallArrived,
                           CallerLeft,
                           PrefillDone,
                           ReserveDone,
                           AnswerBegan,
                           AnswerSustained,
                           AttemptDone,
                           AttemptSilent,
                           ListSeen,
                           ListConfirmed,
                           ConfigurationRead,
                           ConfigurationConfirmed,
                           RefusedAtHead,
                           PeerMessageReceived,
                           RetainedPromptsListed,
                           RunsListed,
                           ServerNoticeReceived,
                           SettingsRead,
                           DrainBegan,
                           Ticked>;

// Actions: the outputs of a dispatcher.

// Sends the request to a server, after cancelling an attempt of the same
// request that is still in progress, unless it is sent beside that one.
struct StartAttempt {
  RequestId request_;
  std::uint32_t attempt_ = 0;
  Stage stage_ = Stage::kPlain;
  std::string server_;
  std::string address_;
  core::Incarnation incarnation_ = 0;  // Of the server, as listed.
  TimePoint decided_at_{};
  TimePoint deadline_{};  // Passed to the server as the remaining time.
  // Time without data after which the server counts as silent: until the first
  // relevant byte, and between events. Zero: never. A reservation fails then;
  // any other attempt is reported with AttemptSilent.
  Milliseconds first_byte_timeout_{0};
  Milliseconds event_timeout_{0};
  // Engine that has the prefill result; empty: none.
  std::string source_address_;
  std::string handle_;
  // Engine that may still hold the prompt; empty: none.
  std::string fetch_address_;
  std::string hold_;               // Reservation id; empty: none.
  std::uint32_t hold_tokens_ = 0;  // Tokens to reserve.
  Milliseconds hold_time_{0};
  std::optional<std::uint64_t> resume_after_;
  std::string organisation_;               // Of the caller; empty: none.
  bool removes_key_ = false;               // As in gateway::AttemptFields.
  std::optional<std::uint32_t> priority_;  // For engines; none: not stated.
  // A second send of a plain call: the first whole answer that is no error is
  // delivered, and ends the other attempt.
  bool beside_ = false;
};

// Cancels the attempt if its server is still silent, and reports that it
// failed.
struct AbandonAttempt {
  RequestId request_;
  std::uint32_t attempt_ = 0;
};

// Ends the request with a refusal or failure. An answer that has begun is cut
// off.
struct Refuse {
  RequestId request_;
  core::Verdict verdict_;
};

// Ends the request with the stored error response of the server.
struct DeliverServerError {
  RequestId request_;
};

// Frees a prefill result that will not be fetched.
struct FreeHandle {
  std::string address_;
  std::string handle_;
  std::string server_;
  core::Incarnation incarnation_ = 0;
};

// Releases a reservation that will not be used.
struct ReleaseReservation {
  std::string address_;
  std::string hold_;
  std::string server_;
  core::Incarnation incarnation_ = 0;
};

// Changes the role of a prefill engine to decode.
struct SwitchToDecode {
  std::string server_;
  std::string address_;
  core::Incarnation incarnation_ = 0;
  std::uint64_t fencing_number_ = 0;  // The same in all orders of an entry.
};

// Queries an engine for its retained prompts. A missing answer counts as none.
struct ListRetainedPrompts {
  std::string server_;
  std::string address_;
  core::Incarnation incarnation_ = 0;
};

// Queries an engine for the requests that it runs. A missing answer counts as
// none.
struct ListRuns {
  std::string server_;
  std::string address_;
  core::Incarnation incarnation_ = 0;
};

// Asks the store at once for what it has changed; answered by ListConfirmed, as
// soon as the store answers.
struct ConfirmList {};

// Sends a message to another entry, without guarantee of delivery.
struct SendPeerMessage {
  std::string address_;
  core::PeerMessage message_;
};

// Applies new limits for callers' requests and connections.
struct SetCallerLimits {
  core::CallerSettings settings_;
};

// What decides on keys has changed. The network thread refuses by it what is
// certain by the head of a request.
struct AccessChanged {
  std::shared_ptr<const core::Configuration> configuration_;
  access::Confirmation confirmation_;
};

// The entry became ready to accept requests, or is no longer ready.
struct ReadyChanged {
  bool ready_ = false;
};

using Action = std::variant<StartAttempt,
                            AbandonAttempt,
                            Refuse,
                            DeliverServerError,
                            FreeHandle,
                            ReleaseReservation,
                            SwitchToDecode,
                            ListRetainedPrompts,
                            ListRuns,
                            ConfirmList,
                            SendPeerMessage,
                            SetCallerLimits,
                            AccessChanged,
                            ReadyChanged,
                            core::LogEvent>;

}  // namespace siskindrum::dispatch

#endif  // SISKINDRUM_DISPATCH_EVENT_H_
