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

// What happens to a router. Every event is handled at a time given with it.

struct RequestArrived {
  RequestId request_;
  RequestShape shape_;
  std::string content_type_;
  std::string body_;  // Of a plain call.
};

struct CallerGone {
  RequestId request_;
};

struct PrefillEnded {
  RequestId request_;
  std::uint32_t attempt_ = 0;
  std::string handle_;  // Of the result, when it succeeded.
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
  std::uint32_t delivered_ = 0;  // Positions the caller has.
  bool imported_ = false;        // The engine had taken the prefill result.
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
  std::string source_;  // "service" or the peer's name.
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

// What a router wants done. Request actions go to the thread of the request,
// the others to the duty that carries them out.

// The rule that decides a request, known before anything else is done.
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
  bool once_ = false;        // May not be repeated.
  std::uint64_t fence_ = 0;  // Fencing number; zero: none is sent.
  TimePoint decided_at_{};
};

// Ends a request at its caller with an error.
struct AnswerError {
  RequestId request_;
  Verdict verdict_;
};

// Ends a plain request at its caller with an answer.
struct AnswerPlain {
  RequestId request_;
  PlainAnswer answer_;
  bool repeated_ = false;
};

// Stops whatever the request's thread is doing; the caller has gone.
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

// The servers whose load this entry reads, as the home of their cells.
struct PollServers {
  std::vector<ServerInfo> servers_;
};

// Whether this entry watches the platform's services for its failure domain.
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

// All requests have ended after a drain was asked.
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
