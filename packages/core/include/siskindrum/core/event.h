#ifndef SISKINDRUM_CORE_EVENT_H_
#define SISKINDRUM_CORE_EVENT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <tl/expected.hpp>

#include "siskindrum/core/call.h"
#include "siskindrum/core/configuration.h"
#include "siskindrum/core/fleet.h"
#include "siskindrum/core/peer_message.h"
#include "siskindrum/core/verdict.h"

namespace siskindrum::core {

// Input events of a router. The current time is passed in with each event.

struct RequestArrived {
  RequestId request_;
  RequestShape shape_;
  std::string content_type_;
  std::string body_;  // Plain calls only.
};

struct CallerGone {
  RequestId request_;
};

struct PrefillEnded {
  RequestId request_;
  std::uint32_t attempt_ = 0;
  std::string handle_;  // Names the prefill result on the engine if `ok_`.
  Milliseconds hold_{0};
  bool ok_ = false;
  Verdict verdict_;
};

struct FirstToken {
  RequestId request_;
  std::uint32_t attempt_ = 0;
};

struct DecodeEnded {
  RequestId request_;
  std::uint32_t attempt_ = 0;
  std::uint32_t delivered_ = 0;  // Positions sent to the caller.
  bool imported_ = false;        // The engine had imported the prefill result.
  bool ok_ = false;
  Verdict verdict_;
};

struct PlainEnded {
  RequestId request_;
  std::uint32_t attempt_ = 0;
  tl::expected<PlainAnswer, Verdict> result_;
};

struct LoadReportArrived {
  std::string server_;
  tl::expected<LoadReport, Verdict> report_;
};

struct CancelEnded {
  RequestId request_;
  std::string server_;
  bool acknowledged_ = false;
};

struct InstanceListArrived {
  std::uint64_t version_ = 0;
  std::vector<ServerInfo> servers_;
  std::vector<EntryInfo> entries_;
};

struct ConfigurationArrived {
  std::shared_ptr<const Configuration> configuration_;
  std::string source_;  // "service", or a peer's name.
};

struct ConfigurationRefused {
  std::uint64_t revision_ = 0;
  std::string error_;
  std::string source_;
};

struct PeerMessageArrived {
  PeerMessage message_;
};

struct PeerSendFailed {
  std::string peer_;
  PeerBody body_;
  Verdict verdict_;
};

struct DrainRequested {};
struct Tick {};

using Event = std::variant<RequestArrived,
                           CallerGone,
                           PrefillEnded,
                           FirstToken,
                           DecodeEnded,
                           PlainEnded,
                           LoadReportArrived,
                           CancelEnded,
                           InstanceListArrived,
                           ConfigurationArrived,
                           ConfigurationRefused,
                           PeerMessageArrived,
                           PeerSendFailed,
                           DrainRequested,
                           Tick>;

// Output actions of a router. Actions on a request are sent to the thread that
// serves it, the others to the component that performs them.

// Reports the rule that applies to a request. Precedes its other actions.
struct RequestAccepted {
  RequestId request_;
  int rule_line_ = 0;
  std::uint64_t revision_ = 0;
};

struct StartPrefill {
  RequestId request_;
  std::uint32_t attempt_ = 0;
  std::string server_;
  std::string address_;
  Milliseconds hold_{0};
  Priority priority_ = Priority::kNormal;
};

struct StartDecode {
  RequestId request_;
  std::uint32_t attempt_ = 0;
  std::string server_;
  std::string address_;
  std::string prefill_server_;
  std::string prefill_address_;
  std::string handle_;
  std::uint32_t from_position_ = 0;
  Priority priority_ = Priority::kNormal;
};

struct SendPlain {
  RequestId request_;
  std::uint32_t attempt_ = 0;
  std::string server_;
  std::string address_;
  RequestShape shape_;
  std::string content_type_;
  std::string body_;
  Milliseconds timeout_{0};
  bool once_ = false;        // Must not be sent twice.
  std::uint64_t fence_ = 0;  // Fencing token; zero if none is sent.
  TimePoint decided_at_{};
};

// Completes a request by returning an error to its caller.
struct AnswerError {
  RequestId request_;
  Verdict verdict_;
};

// Completes a plain request by returning an answer to its caller.
struct AnswerPlain {
  RequestId request_;
  PlainAnswer answer_;
  bool repeated_ = false;
};

// Cancels the work of the request's thread after the caller disconnected.
struct AbortRequest {
  RequestId request_;
};

struct CancelOnServer {
  RequestId request_;
  std::string server_;
  std::string address_;
};

struct SendPeerMessage {
  std::string peer_;
  std::string address_;
  PeerBody body_;
};

// Replaces the set of servers whose load this entry polls because it is the
// home of their cells.
struct PollServers {
  std::vector<ServerInfo> servers_;
};

// Starts or stops watching the platform's services on behalf of this entry's
// failure domain.
struct WatchPlatform {
  bool watch_ = false;
};

struct LogField {
  std::string key_;
  std::string value_;
};

struct LogEvent {
  std::string event_;
  std::vector<LogField> fields_;
};

// Reports that all requests have ended after a drain was requested.
struct Drained {};

using RouterAction = std::variant<RequestAccepted,
                                  StartPrefill,
                                  StartDecode,
                                  SendPlain,
                                  AnswerError,
                                  AnswerPlain,
                                  AbortRequest,
                                  CancelOnServer,
                                  SendPeerMessage,
                                  PollServers,
                                  WatchPlatform,
                                  LogEvent,
                                  Drained>;

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_EVENT_H_
