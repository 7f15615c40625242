#ifndef SISKINDRUM_CORE_TEST_SIMULATED_CLUSTER_H_
#define SISKINDRUM_CORE_TEST_SIMULATED_CLUSTER_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "siskindrum/core/router.h"

namespace siskindrum::core {

// Several routers with fakes at their interfaces. Peer messages, plain calls
// and engine requests stay in flight until a test delivers, drops or duplicates
// them. Time advances only when a test advances it.
struct SimulatedCluster {
  struct InFlight {
    enum class Kind {
      kPeer,
      kPlain,
      kPlainReply,
      kPrefill,
      kPrefillReply,
      kDecode,
      kDecodeReply,
      kCancel,
      kCount
    };
    Kind kind_ = Kind::kPeer;
    std::size_t entry_ = 0;        // Sender, or receiver of a reply.
    Incarnation incarnation_ = 0;  // Of that entry at the time.
    bool sent_ = false;            // Bytes have left the process.
    SendPeerMessage peer_;
    SendPlain plain_;
    StartPrefill prefill_;
    StartDecode decode_;
    CancelOnServer cancel_;
    Event reply_;
  };

  struct Node {
    std::string name_;
    std::string domain_;
    std::string address_;
    Router router_;
    bool alive_ = true;
    bool paused_ = false;
    bool drained_ = false;
    std::size_t open_at_drain_ = 0;  // Open requests when it reported drained.
    // Range of the revisions that this process has applied.
    std::uint64_t highest_revision_ = 0;
    std::uint64_t lowest_revision_ = UINT64_MAX;
  };

  // Result that one caller received.
  struct CallerResult {
    std::size_t entry_ = 0;
    int answers_ = 0;  // Terminal answers.
    bool has_answer_ = false;
    bool repeated_ = false;
    Verdict verdict_;
    PlainAnswer plain_;
    std::string key_;
    int rule_line_ = 0;
  };

  std::vector<Node> nodes_;
  std::vector<InFlight> in_flight_;
  std::map<RequestId, CallerResult> results_;
  std::map<std::string, int> runs_by_key_;
  std::map<RequestId, int> runs_by_request_;         // At any backend server.
  std::map<std::string, std::set<RequestId>> held_;  // Requests by engine.
  std::set<std::string> partitioned_;                // Entries without network.
  std::vector<LogEvent> log_;
  std::vector<RouterAction> actions_;  // All actions emitted so far.
  std::vector<ServerInfo> servers_;
  std::vector<EntryInfo> entries_;
  std::string rules_text_;
  std::uint64_t revision_ = 1;
  std::uint64_t list_version_ = 1;
  Now now_;
  Incarnation next_incarnation_ = 100;
  std::map<Incarnation, std::string> owners_;  // Entry by incarnation.
  // Whether RunFor delivers load reports of all engines.
  bool load_reports_enabled_ = true;
  std::uint32_t total_pieces_ = UINT32_MAX;  // Of every engine.

  SimulatedCluster();

  void AddEntry(const std::string& name, const std::string& domain);
  void AddServer(const std::string& name,
                 const std::string& service,
                 const std::string& domain,
                 ServerRole role);
  // Starts all entries with rules and server list and runs until gossip has
  // converged.
  void StartAll(const std::string& rules);
  void StartEntry(std::size_t index);
  void Inject(std::size_t index, const Event& event);
  void Publish(std::size_t index,
               std::uint64_t revision,
               const std::string& rules);

  // Callers.
  RequestId SendRequest(std::size_t index,
                        RequestShape shape,
                        const std::string& body = "");
  RequestId SendBooking(std::size_t index, const std::string& key);

  // Time and delivery.
  void AdvanceTime(Milliseconds time);
  void Tick();
  bool DeliverOne(std::size_t flight);
  // Drops an item before it arrives. A request to a backend server ends for its
  // sender with `verdict`; a peer message vanishes; a reply is not dropped.
  void Drop(std::size_t flight, RunState verdict);
  // Delivers what is in flight, ticks all entries and advances the clock until
  // `time` has passed.
  void RunFor(Milliseconds time);
  void ReportLoads();

  // Faults.
  void Kill(std::size_t index);
  // Starts a new incarnation of the entry.
  void Replace(std::size_t index);
  void Pause(std::size_t index);
  void Resume(std::size_t index);

  std::size_t FindNode(const std::string& name_or_address) const;
  // Makes a UUIDv7 with the current time; `number` makes it unique.
  std::string MakeKey(std::uint64_t number) const;
  bool HasLog(const std::string& event) const;

 private:
  void HandleAction(std::size_t index, const RouterAction& action);
  void DeliverPeer(InFlight flight);
  void DeliverPlain(const InFlight& flight);
  void Reply(std::size_t index,
             Incarnation incarnation,
             const Event& event,
             InFlight::Kind kind);
};

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_TEST_SIMULATED_CLUSTER_H_
