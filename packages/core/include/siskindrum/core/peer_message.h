#ifndef SISKINDRUM_CORE_PEER_MESSAGE_H_
#define SISKINDRUM_CORE_PEER_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "siskindrum/core/call.h"
#include "siskindrum/core/fleet.h"
#include "siskindrum/core/membership.h"
#include "siskindrum/core/verdict.h"

namespace siskindrum::core {

// Messages between entries. All are one-way; a lost one is made good by the
// next round or by asking again.

struct Gossip {
  std::vector<MemberRow> rows_;
};

// Asks for the rules file when the peer's revision is above `have_revision_`.
struct ConfigurationRequest {
  std::uint64_t have_revision_ = 0;
};

struct ConfigurationBody {
  std::uint64_t revision_ = 0;
  std::string text_;
};

struct ListRequest {
  std::uint64_t have_version_ = 0;
};

struct ListBody {
  std::uint64_t version_ = 0;
  std::vector<ServerInfo> servers_;
  std::vector<EntryInfo> entries_;
};

// Asks a cell's home for a decode slot and, unless decode only, a prefill
// server.
struct LeaseRequest {
  std::string cell_;
  Requirements need_;  // The deadline travels as `time_left_`.
  Milliseconds time_left_{0};
};

struct LeaseQueued {
  RequestId request_;
  CellDigest digest_;  // Fresher than gossip, as in the other answers.
};

struct LeaseGrant {
  RequestId request_;
  Placement placement_;
  CellDigest digest_;
};

struct LeaseRefuse {
  RequestId request_;
  Reason reason_ = Reason::kOverloaded;
  Milliseconds retry_after_{0};
  CellDigest digest_;
  std::uint32_t most_pieces_ = 0;  // Of the largest engine, when too large.
};

// Gives a slot back, or withdraws a request that waits.
struct LeaseRelease {
  RequestId request_;
  std::string cell_;
  std::string decode_;  // Empty: it was still waiting.
  bool server_failed_ = false;
};

// Asks the owner whether it still stands for requests that an engine holds.
struct OwnerQuery {
  std::string server_;
  std::vector<RequestId> requests_;
};

struct OwnerAnswer {
  std::string server_;
  std::vector<RequestId> denied_;
};

// Hands a call that may not be repeated to its home.
struct CallForward {
  RequestId request_;
  RequestShape shape_;
  std::string content_type_;
  std::string body_;
};

struct CallAnswer {
  RequestId request_;
  RunState run_state_ = RunState::kNotRun;
  Reason reason_ = Reason::kNone;
  bool has_answer_ = false;
  bool repeated_ = false;    // The answer of an earlier request.
  bool key_unused_ = false;  // As in Verdict.
  bool vouched_ = false;     // Decided from the seat's ledger.
  PlainAnswer answer_;
  std::string server_;
};

// What a leaving holder of a seat knows of its calls. It was the only sender of
// keys born in (from_, until_]: those without a record were never sent, and no
// later holder sends them either, so the statement may be copied freely.
struct SeatClosing {
  std::string seat_;
  ClosedInterval interval_;
  std::vector<SeatRecord> records_;
};

// Asks for the closing statements of a seat's earlier holders.
struct SeatQuery {
  std::string seat_;
};

// Memory that answers in progress take of one engine, with what they may grow
// to.
struct ServerUse {
  std::string server_;
  std::uint32_t held_tokens_ = 0;

  bool operator==(const ServerUse&) const = default;
};

// What the sender's requests take of the engines. A whole statement: engines
// that are not named are not used.
struct UseTold {
  std::uint64_t counter_ = 0;  // Rises with each statement of a process.
  std::vector<ServerUse> servers_;
};

using PeerBody = std::variant<Gossip,
                              ConfigurationRequest,
                              ConfigurationBody,
                              ListRequest,
                              ListBody,
                              LeaseRequest,
                              LeaseQueued,
                              LeaseGrant,
                              LeaseRefuse,
                              LeaseRelease,
                              OwnerQuery,
                              OwnerAnswer,
                              CallForward,
                              CallAnswer,
                              SeatClosing,
                              SeatQuery,
                              UseTold>;

struct PeerMessage {
  std::string from_;
  Incarnation from_incarnation_ = 0;
  PeerBody body_;
};

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_PEER_MESSAGE_H_
