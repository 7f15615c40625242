#ifndef SISKINDRUM_CORE_TEST_SIMULATED_CLUSTER_H_
#define SISKINDRUM_CORE_TEST_SIMULATED_CLUSTER_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "siskindrum/core/router.h"

namespace siskindrum::core {

// Several routers with small fakes at their interfaces: messages, plain calls
// and engine orders stay in flight until a test delivers, drops or doubles
// them. Time passes only when a test says so.
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
    Incarnation incarnation_ = 0;  // Of that entry then.
    bool sent_ = false;            // Bytes have left the process.
    SendPeer peer_;
    SendPlain plain_;
    StartPrefill prefill_;
    StartDecode decode_;
    CancelAt cancel_;
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
    std::size_t open_at_drain_ = 0;  // Requests when it said it was drained.
    std::uint64_t highest_revision_ = 0;
    std::uint64_t lowest_revision_ = UINT64_MAX;  // Ever in force.
  };

  // What one caller was told.
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
  std::map<std::string, std::set<RequestId>> held_;  // By engine.
  std::set<std::string> partitioned_;                // Entries cut off.
  std::vector<LogEvent> log_;
  std::vector<RouterAction> actions_;  // Everything that was asked for.
  std::vector<ServerInfo> servers_;
  std::vector<EntryInfo> entries_;
  std::string rules_text_;
  std::uint64_t revision_ = 1;
  std::uint64_t list_version_ = 1;
  Now now_;
  Incarnation next_incarnation_ = 100;
  std::map<Incarnation, std::string> owners_;  // Who ran under it.
  bool load_reports_enabled_ =
      true;  // Engines report their load with every Settle round.
  std::uint32_t total_pieces_ = UINT32_MAX;  // Of every engine.

  SimulatedCluster();

  void AddEntry(const std::string& name, const std::string& domain);
  void AddServer(const std::string& name,
                 const std::string& service,
                 const std::string& domain,
                 ServerRole role);
  // Starts every entry, gives it rules and list, and lets gossip settle.
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

  // Time and flights.
  void AdvanceTime(Milliseconds time);
  void Tick();
  bool DeliverOne(std::size_t flight);
  // Loses a flight: nothing arrived. An order to a backend server ends for its
  // sender with `verdict`, a message is just gone, a reply cannot be lost.
  void Drop(std::size_t flight, RunState verdict);
  // Delivers all flights, ticks, and lets time pass, until nothing is left or
  // the time is over.
  void RunFor(Milliseconds time);
  void ReportLoads();

  // Faults.
  void Kill(std::size_t index);
  void Replace(std::size_t index);
  void Pause(std::size_t index);
  void Resume(std::size_t index);

  std::size_t FindNode(const std::string& name_or_address) const;
  // A UUIDv7 born now, distinct by `number`.
  std::string MakeKey(std::uint64_t number) const;
  bool HasLog(const std::string& event) const;

 private:
  void Take(std::size_t index, const RouterAction& action);
  void DeliverPeer(InFlight flight);
  void DeliverPlain(const InFlight& flight);
  void Reply(std::size_t index,
             Incarnation incarnation,
             const Event& event,
             InFlight::Kind kind);
};

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_TEST_SIMULATED_CLUSTER_H_
