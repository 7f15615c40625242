#ifndef SISKINDRUM_CTL_SIMULATION_P_H_
#define SISKINDRUM_CTL_SIMULATION_P_H_

// The experiment on virtual time: several routers against model engines, with
// delays and faults at the interfaces between them.

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "siskindrum/core/router.h"
#include "siskindrum/ctl/experiment.h"
#include "siskindrum/model/engine.h"

namespace siskindrum::ctl {

using core::Nanoseconds;
using core::RequestId;
using core::TimePoint;

inline constexpr TimePoint kStart = TimePoint{} + std::chrono::seconds(1000);
inline constexpr core::WallTime kWallStart{std::chrono::seconds(1'700'000'000)};
inline constexpr std::chrono::seconds kDrainTime{
    40};  // After the last arrival.
inline constexpr core::Milliseconds kConnectTimeout{1000};
inline constexpr core::Milliseconds kLeaveTime{
    300};  // From drained to a new start.

struct SimEngine {
  core::ServerInfo info_;
  model::Engine model_;
  bool dead_ = false;
  TimePoint wake_at_ = TimePoint::max();
};

struct SimEntry {
  std::string name_;
  std::string domain_;
  core::Router router_;
  bool frozen_ = false;
  bool dead_ = false;
  bool leaving_ = false;
  std::uint64_t generation_ = 0;        // Of the process behind the name.
  std::vector<core::Event> held_back_;  // While frozen.
  std::vector<core::ServerInfo> polls_;
};

// One request as its caller sees it.
struct SimRequest {
  RequestId id_;
  std::size_t entry_ = 0;
  std::uint64_t generation_ = 0;
  const TrafficClass* traffic_ = nullptr;
  std::string organisation_;
  std::uint32_t prompt_ = 0;
  std::uint32_t answer_ = 0;
  std::uint64_t prefix_ = 0;
  TimePoint arrived_{};
  bool counted_ = false;
  bool first_ = false;
  TimePoint first_at_{};
  TimePoint last_at_{};
  std::uint32_t delivered_ = 0;
  std::uint32_t attempt_ = 0;  // Of the stream that may deliver.
  std::string decode_;         // Engine of that stream.
  bool ended_ = false;
  bool whole_ = false;
  bool refused_ = false;
  bool cancelled_ = false;
  std::uint64_t computed_ = 0;  // Prefill tokens spent on it.
  std::uint64_t computed_useful_ = 0;
  core::Milliseconds first_target_{0};
  core::Milliseconds between_target_{0};
};

struct Happening {
  TimePoint at_{};
  std::uint64_t order_ = 0;
  std::function<void()> run_;
  bool operator<(const Happening& other) const {
    return at_ != other.at_ ? at_ > other.at_ : order_ > other.order_;
  }
};

class Simulation {
 public:
  Simulation(const Scenario& scenario,
             const Trial& trial,
             std::uint64_t seed,
             std::shared_ptr<const core::Configuration> configuration)
      : scenario_(scenario),
        trial_(trial),
        random_(seed),
        seed_(seed),
        configuration_(std::move(configuration)) {}

  ExperimentResult Run();

 private:
  // --- the clock
  void At(TimePoint at, std::function<void()> run);
  void In(Nanoseconds delay, std::function<void()> run);
  core::Now Clocks() const;

  // --- machines
  void Build();
  void AddDomain(const DomainPlan& plan);
  void StartEntry(std::size_t index);
  void TickEntry(std::size_t index, std::uint64_t generation);
  void PollLoads(std::size_t index, std::uint64_t generation);
  void Give(std::size_t index, std::uint64_t generation, core::Event event);
  void Wake(SimEngine& engine);
  void RunEngine(SimEngine& engine);
  SimEngine* FindEngine(const std::string& name);
  bool IsCut(const std::string& a, const std::string& b) const;
  bool Reaches(std::size_t entry, const SimEngine* engine) const;

  // --- traffic
  void ScheduleArrivals();
  void Arrive();
  std::size_t PickEntry();
  void CancelLater(const RequestId& id);
  void TakeToken(const model::ModelEvent& event, SimEngine& engine);

  // --- actions of routers
  void Do(std::size_t entry, const core::RouterAction& action);
  void DoPrefill(std::size_t entry, const core::StartPrefill& action);
  void DoDecode(std::size_t entry, const core::StartDecode& action);
  void Import(const RequestId& id,
              std::uint32_t attempt,
              SimEngine* source,
              SimEngine* target);
  void DoCancel(std::size_t entry, const core::CancelOnServer& action);
  void DoPeer(std::size_t entry, const core::SendPeerMessage& action);
  void DoFail(const core::AnswerError& action);
  void FailPrefill(const RequestId& id,
                   std::uint32_t attempt,
                   core::RunState state,
                   core::Reason reason);
  void FailDecode(const RequestId& id,
                  std::uint32_t attempt,
                  bool imported,
                  core::RunState state,
                  core::Reason reason);

  // --- faults
  void Inject(const Fault& fault);
  void KillEngine(const std::string& name);
  void CutStreams(const std::string& domain);
  void KillEntry(std::size_t index);
  void ReplaceEntry(std::size_t index);
  int FindEntry(const std::string& name) const;

  ExperimentResult Summarise();
  void Count(const SimRequest& request, ExperimentResult& result);

  const Scenario& scenario_;
  const Trial trial_;
  std::mt19937_64 random_;
  const std::uint64_t seed_;
  std::shared_ptr<const core::Configuration> configuration_;
  TimePoint now_ = kStart;
  std::uint64_t next_order_ = 0;
  std::priority_queue<Happening> agenda_;
  std::vector<std::unique_ptr<SimEntry>> entries_;
  std::map<std::string, std::unique_ptr<SimEngine>> engines_;
  std::map<RequestId, SimRequest> requests_;
  std::set<std::string> cut_domains_;
  std::vector<core::EntryInfo> entry_list_;
  std::size_t next_entry_ = 0;
  std::uint64_t next_incarnation_ = 1;
  std::uint64_t refused_after_prefill_ = 0;
};

}  // namespace siskindrum::ctl

#endif  // SISKINDRUM_CTL_SIMULATION_P_H_
