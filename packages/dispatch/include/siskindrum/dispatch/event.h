#ifndef SISKINDRUM_DISPATCH_EVENT_H_
#define SISKINDRUM_DISPATCH_EVENT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

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

// What one attempt asks of a server.
enum class Stage {
  kPlain,
  kReserve,  // Asks a decode engine for a place and memory.
  kPrefill,
  kDecode,  // With a prefill's result, or with a prefill of its own.
  kCount
};

// Returns the stage in lower case. Thread-safe: yes.
const char* ToString(Stage stage);

// A caller's request, as far as decisions need it.
struct CallerCall {
  core::RequestShape shape_;
  std::string label_;                // The caller's own id, for logs.
  Milliseconds time_left_{0};        // The caller's deadline; zero: none.
  std::uint32_t answer_tokens_ = 0;  // Expected; zero: unknown.
  std::uint64_t prompt_ = 0;         // Identity of its prompt; zero: unknown.
  std::optional<std::uint64_t> last_event_;  // The caller resumes behind it.
};

// What happens to a dispatcher. Every event is handled at a time given with it.

struct CallArrived {
  RequestId request_;
  CallerCall call_;
  TimePoint arrived_at_{};
};

struct CallerLeft {
  RequestId request_;
};

// A prefill has ended.
struct PrefillDone {
  RequestId request_;
  std::uint32_t attempt_ = 0;
  bool ok_ = false;
  bool refused_ = false;  // The server says that it did nothing.
  std::string handle_;
  std::string detail_;
  bool misdirected_ = false;  // Refused as not meant for this server.
};

// A reservation was made, or was not.
struct ReserveDone {
  RequestId request_;
  std::uint32_t attempt_ = 0;
  bool ok_ = false;
  bool refused_ = false;  // The engine has no room.
  std::string hold_;
  std::string detail_;
  bool misdirected_ = false;  // As in PrefillDone.
};

// The first part of the answer was passed on to the caller.
struct AnswerBegan {
  RequestId request_;
  std::uint32_t attempt_ = 0;
};

enum class AttemptOutcome {
  kDelivered,    // The caller has the whole answer.
  kServerError,  // The server's own error, whole, kept for the caller.
  kRefused,      // The server says that it did not run the call.
  kFailed,       // No whole answer; `run_state_` says what that means.
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
  std::optional<std::uint64_t> last_event_;  // That the caller has.
  bool misdirected_ = false;                 // As in PrefillDone.
};

struct ListSeen {
  ListChanges changes_;
};

// Another entry sent it; a configuration comes as ConfigurationRead.
struct PeerMessageReceived {
  core::PeerMessage message_;
};

struct ConfigurationRead {
  std::shared_ptr<const core::Configuration> configuration_;
  std::string source_;
};

// An engine said which prompts it keeps.
struct RetainedPromptsListed {
  std::string server_;
  std::vector<std::uint64_t> prompts_;
};

// Settings that may change while the process runs.
struct SettingsRead {
  std::vector<std::string> seeds_;  // Addresses of other entries.
  RepeatBounds repeats_;
};

struct DrainBegan {};
struct Ticked {};

using Event = std::variant<CallArrived,
                           CallerLeft,
                           PrefillDone,
                           ReserveDone,
                           AnswerBegan,
                           AttemptDone,
                           ListSeen,
                           ConfigurationRead,
                           PeerMessageReceived,
                           RetainedPromptsListed,
                           SettingsRead,
                           DrainBegan,
                           Ticked>;

// What a dispatcher wants done.

// Sends the request to a server. An attempt of the same request that is still
// in progress ends first.
struct StartAttempt {
  RequestId request_;
  std::uint32_t attempt_ = 0;
  Stage stage_ = Stage::kPlain;
  std::string server_;
  std::string address_;
  TimePoint decided_at_{};
  TimePoint deadline_{};  // Handed on to the server as what is left.
  Milliseconds first_byte_timeout_{0};  // Until the first byte that counts.
  Milliseconds event_timeout_{0};       // Between events; zero: no limit.
  std::string source_address_;          // Of the prefill result; empty: none.
  std::string handle_;
  std::string fetch_address_;      // May still keep the prompt; empty: none.
  std::string hold_;               // Of the reservation; empty: none.
  std::uint32_t hold_tokens_ = 0;  // To reserve.
  Milliseconds hold_time_{0};
  std::optional<std::uint64_t> resume_after_;
};

// Ends the request with a refusal or a failure; what was begun is cut.
struct Refuse {
  RequestId request_;
  core::Verdict verdict_;
};

// Ends the request with the server's error that was kept.
struct DeliverServerError {
  RequestId request_;
};

// Frees a prefill result that nobody will take.
struct FreeHandle {
  std::string address_;
  std::string handle_;
};

// Gives back a reservation that nobody will use.
struct ReleaseReservation {
  std::string address_;
  std::string hold_;
};

// Orders a prefill engine to become a decode engine.
struct SwitchToDecode {
  std::string server_;
  std::string address_;
};

// Asks an engine which prompts it keeps; no answer is as good as none kept.
struct ListRetainedPrompts {
  std::string server_;
  std::string address_;
};

// Sends a message to another entry; it may get lost.
struct SendPeerMessage {
  std::string address_;
  core::PeerMessage message_;
};

// The bounds of callers have changed.
struct SetCallerBounds {
  core::CallerBounds bounds_;
};

// Requests may be taken, or not.
struct ReadyChanged {
  bool ready_ = false;
};

using Action = std::variant<StartAttempt,
                            Refuse,
                            DeliverServerError,
                            FreeHandle,
                            ReleaseReservation,
                            SwitchToDecode,
                            ListRetainedPrompts,
                            SendPeerMessage,
                            SetCallerBounds,
                            ReadyChanged,
                            core::LogEvent>;

}  // namespace siskindrum::dispatch

#endif  // SISKINDRUM_DISPATCH_EVENT_H_
