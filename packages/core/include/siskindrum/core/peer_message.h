#ifndef SISKINDRUM_CORE_PEER_MESSAGE_H_
#define SISKINDRUM_CORE_PEER_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "siskindrum/core/call.h"
#include "siskindrum/core/fleet.h"
#include "siskindrum/core/membership.h"
#include "siskindrum/core/store_position.h"
#include "siskindrum/core/verdict.h"

namespace siskindrum::core {

// Messages between entries. All are one-way; a lost message is made up for by
// the next gossip round or by a retry.

struct Gossip {
  std::vector<MemberRow> rows_;
};

// Requests the rules file if the peer's revision is above `have_revision_`.
struct ConfigurationRequest {
  std::uint64_t have_revision_ = 0;
};

struct ConfigurationBody {
  std::uint64_t revision_ = 0;
  std::string text_;
};

struct ListRequest {
  StorePosition have_version_;
};

struct ListBody {
  StorePosition version_;
  std::vector<ServerInfo> servers_;
  std::vector<EntryInfo> entries_;
};

// Requests a decode slot and, unless `need_` is decode only, a prefill server
// from a cell's home.
struct LeaseRequest {
  std::string cell_;
  Requirements need_;  // Its deadline is sent as `time_left_`.
  Milliseconds time_left_{0};
};

struct LeaseQueued {
  RequestId request_;
  CellDigest digest_;  // More recent than gossip; also in other replies.
};

struct LeaseGrant {
  RequestId request_;
  Placement placement_;
  CellDigest digest_;
};

struct LeaseRefusal {
  RequestId request_;
  Reason reason_ = Reason::kOverloaded;
  Milliseconds retry_after_{0};
  CellDigest digest_;
  std::uint32_t max_pieces_ = 0;  // Of the largest engine, for kTooLarge.
};

// Releases a slot, or withdraws a queued request.
struct LeaseRelease {
  RequestId request_;
  std::string cell_;
  std::string decode_;  // Empty if it was still queued.
  bool server_failed_ = false;
};

// Asks an entry whether it still owns the requests that an engine holds for it.
struct OwnerQuery {
  std::string server_;
  std::vector<RequestId> requests_;
};

// Lists the queried requests that the entry does not own.
struct OwnerAnswer {
  std::string server_;
  std::vector<RequestId> denied_;
};

// Forwards a non-repeatable call to the holder of its key's seat.
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
  bool repeated_ = false;           // Stored answer of an earlier request.
  bool key_unused_ = false;         // As in Verdict.
  bool decided_by_ledger_ = false;  // Taken from the seat's call ledger.
  PlainAnswer answer_;
  std::string server_;
};

// Call records that a seat's holder hands over when it shuts down. It was the
// only sender of keys created in (from_, until_]: those without a record were
// never sent, and no later holder will send them. Entries may therefore pass
// the message on, and may receive it more than once.
struct SeatHandover {
  std::string seat_;
  ClosedInterval interval_;
  std::vector<SeatRecord> records_;
};

// Requests the call records that a seat's earlier holders handed over.
struct SeatHandoverRequest {
  std::string seat_;
};

// Memory reserved on one engine by answers in progress, up to their maximum
// length.
struct ServerUse {
  std::string server_;
  std::uint32_t held_tokens_ = 0;

  bool operator==(const ServerUse&) const = default;
};

// Memory that the sender's requests reserve on all engines. Replaces the
// sender's previous report: engines that are not listed are unused.
struct EngineUseReport {
  std::uint64_t counter_ = 0;  // Increases with each report of a process.
  std::vector<ServerUse> servers_;
};

// Identities of the parts of a prompt, in ascending order.
using PromptParts = std::vector<std::uint64_t>;

// An engine crashed when it was about to begin a request with these parts.
// Parts that are known to be harmless are left out.
struct CrashSuspect {
  std::string server_;
  Incarnation incarnation_ = 0;  // Of the server; zero: unknown.
  Milliseconds age_{0};          // Since the crash.
  bool confirmed_ = false;  // The lost connection is certain to be a crash.
  PromptParts parts_;
};

// A part with which an answer has been written without harm.
struct HarmlessPart {
  std::uint64_t part_ = 0;
  Milliseconds age_{0};  // Since the latest such answer.
};

// Requests with all of these parts crash their engine and are not sent.
struct QuarantinedParts {
  PromptParts parts_;
  std::uint32_t crashes_ = 0;
  Milliseconds age_{0};  // Since the last crash.
};

// What the sender knows of prompt parts that crash engines, or what it has just
// learned. Adds to what the receiver knows.
struct QuarantineReport {
  std::vector<CrashSuspect> suspects_;
  std::vector<HarmlessPart> harmless_;
  std::vector<QuarantinedParts> quarantined_;
};

// Wish for a larger share of the quota of an organisation, given by the hash of
// its name. Shares and demand are parts per million of the quota.
struct QuotaAskRow {
  std::uint64_t organisation_ = 0;
  std::uint32_t want_ppm_ = 0;  // Including what the receiver lends already.
  // Tokens that waiting requests lack, in thousandths; zero: the sender wants a
  // share and not tokens.
  std::int64_t want_milli_ = 0;
  std::uint32_t share_ppm_ = 0;   // That the sender has.
  std::uint32_t demand_ppm_ = 0;  // Of the requests that the sender gets.
};

// Asks a peer to lend idle shares. Every ask is answered with a QuotaLoan.
struct QuotaAsk {
  std::uint64_t number_ = 0;  // Increases with each ask of a process.
  Milliseconds term_{0};      // Counted by the sender from the ask.
  std::vector<QuotaAskRow> rows_;
};

// A share that the sender has given up until the term ends, and tokens. A share
// replaces the sender's earlier loan of the kind to the same process. A row
// with neither says that there are no tokens until the term ends.
struct QuotaLoanRow {
  std::uint64_t organisation_ = 0;
  std::uint32_t share_ppm_ = 0;
  Milliseconds term_{0};           // From the time of the ask.
  std::int64_t tokens_milli_ = 0;  // In thousandths.
};

// Answers an ask; organisations without a row get nothing.
struct QuotaLoan {
  std::uint64_t number_ = 0;  // Of the ask.
  Incarnation to_incarnation_ = 0;
  std::vector<QuotaLoanRow> rows_;
  // The sender holds no loan of an earlier process of the receiver, and will
  // take none.
  bool holds_no_earlier_ = false;
};

struct QuotaReturnRow {
  std::uint64_t organisation_ = 0;
  std::int64_t tokens_milli_ = 0;
};

// Ends loans early. The sender has given up share and tokens.
struct QuotaReturn {
  std::uint64_t number_ = 0;  // Of the ask that they answered.
  std::vector<QuotaReturnRow> rows_;
};

// Rounds of the election of the entry that changes engine roles, in order. A
// pre-vote binds nobody.
enum class VoteRound : std::uint8_t { kPreVote, kVote, kCount };

// Asks the receiver to vote for the sender.
struct VoteRequest {
  VoteRound round_ = VoteRound::kPreVote;
  std::string candidate_;  // Peer address of the sender.
};

enum class Vote : std::uint8_t {
  kGranted,
  kRestarted,        // An earlier process at this address may have voted.
  kVotedForAnother,  // A vote is never taken back.
  kKnowsLowerSeed,   // Its own seeds name a lower address.
  kCount,
};

struct VoteReply {
  VoteRound round_ = VoteRound::kPreVote;  // Of the request.
  Vote vote_ = Vote::kGranted;
  std::string voter_;               // Peer address of the sender.
  std::vector<std::string> seeds_;  // Of the sender.
};

// Streams that servers of this software version have begun, by the hash of the
// label of the caller's request (origin::KeyOf).
struct StreamReport {
  std::string version_;
  std::vector<std::uint32_t> streams_;
};

// Asks which software version began a stream.
struct StreamQuery {
  std::uint32_t stream_ = 0;
};

struct StreamReply {
  std::uint32_t stream_ = 0;
  bool known_ = false;
  std::string version_;
};

using PeerBody = std::variant<Gossip,
                              ConfigurationRequest,
                              ConfigurationBody,
                              ListRequest,
                              ListBody,
                              LeaseRequest,
                              LeaseQueued,
                              LeaseGrant,
                              LeaseRefusal,
                              LeaseRelease,
                              OwnerQuery,
                              OwnerAnswer,
                              CallForward,
                              CallAnswer,
                              SeatHandover,
                              SeatHandoverRequest,
                              EngineUseReport,
                              QuarantineReport,
                              QuotaAsk,
                              QuotaLoan,
                              QuotaReturn,
                              VoteRequest,
                              VoteReply,
                              StreamReport,
                              StreamQuery,
                              StreamReply>;

struct PeerMessage {
  std::string from_;
  Incarnation from_incarnation_ = 0;
  PeerBody body_;
};

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_PEER_MESSAGE_H_
