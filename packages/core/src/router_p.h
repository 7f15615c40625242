#ifndef SISKINDRUM_CORE_ROUTER_P_H_
#define SISKINDRUM_CORE_ROUTER_P_H_

#include <string>
#include <vector>

#include "siskindrum/core/router.h"

namespace siskindrum::core {

// One event being handled: the router, the time and what is to be done.
struct Step {
  Router& router_;
  const Now& now_;
  std::vector<RouterAction>& actions_;
};

// --- lifecycle.cc: requests to model engines, and the ends of all requests.
void OnArrived(Step& step, const RequestArrived& event);
void OnCallerGone(Step& step, const CallerGone& event);
void OnPrefillEnded(Step& step, const PrefillEnded& event);
void OnFirstToken(Step& step, const FirstToken& event);
void OnDecodeEnded(Step& step, const DecodeEnded& event);
void OnGranted(Step& step,
               Request& request,
               const Placement& placement,
               const std::string& home,
               const std::string& home_cell);
Request* FindRequest(Router& router, const RequestId& id);
void FailRequest(Step& step, Request& request, Verdict verdict);
void EndRequest(Step& step, Request& request, const std::string& outcome);
DecisionRecord* MutableDecision(Router& router, const RequestId& id);
Request& AddRequest(Step& step, const RequestArrived& event, const Rule& rule);

// --- lease.cc: decode slots, asked of and granted by the homes of cells.
CellDigest DigestCell(const Step& step, const Cell& cell);
void SeekCell(Step& step, Request& request);
void PumpCell(Step& step, const std::string& cell);
void PumpAll(Step& step);
void WithdrawAll(Step& step);
void GiveBack(Step& step, Request& request, bool server_failed);
void CheckAsked(Step& step);
void OnLeaseRequest(Step& step, const std::string& from, const LeaseRequest& m);
void OnLeaseQueued(Step& step, const LeaseQueued& message);
void OnLeaseGrant(Step& step, const std::string& from, const LeaseGrant& m);
void OnLeaseRefuse(Step& step, const LeaseRefusal& message);
void OnLeaseRelease(Step& step, const LeaseRelease& message);
void OnLeaseSendFailed(Step& step, const LeaseRequest& message);

// --- baseline.cc: the simple policies, for comparison.
void PlaceByBaseline(Step& step, Request& request);

// --- plain.cc: calls to plain services.
void BeginPlain(Step& step, Request& request);
void OnPlainEnded(Step& step, const PlainEnded& event);
void OnCallForward(Step& step, const std::string& from, const CallForward& m);
void OnCallAnswer(Step& step, const CallAnswer& message);
void OnForwardFailed(Step& step, const CallForward& message, const Verdict& v);
void CheckForwards(Step& step);
void CloseSeat(Step& step);
void OnSeatClosing(Step& step, const SeatHandover& message);
void OnSeatQuery(Step& step,
                 const std::string& from,
                 const SeatHandoverRequest& message);
void AskClosings(Step& step);
void TakeSeat(Step& step, const Configuration* before);

// --- relay.cc: membership, homes, configuration and the instance list.
void OnListSeen(Step& step,
                const InstanceListArrived& event,
                const std::string& source);
void OnConfigurationSeen(Step& step, const ConfigurationArrived& event);
void OnGossip(Step& step, const std::string& from, const Gossip& message);
void OnConfigurationRequest(Step& step,
                            const std::string& from,
                            const ConfigurationRequest& message);
void OnListRequest(Step& step, const std::string& from, const ListRequest& m);
void OnListBody(Step& step, const std::string& from, const ListBody& message);
void GossipNow(Step& step);
void RelayNow(Step& step);
void RefreshHomes(Step& step);
void EndStart(Step& step);

// --- sweep.cc: engine memory of requests that are gone.
void CancelRequestAt(Step& step,
                     const RequestId& request,
                     const std::string& server);
void OnCancelEnded(Step& step, const CancelEnded& event);
void RepeatCancels(Step& step);
void OnLoadSeen(Step& step, const LoadReportArrived& event);
void OnOwnerQuery(Step& step, const std::string& from, const OwnerQuery& m);
void OnOwnerAnswer(Step& step, const OwnerAnswer& message);
void SweepHolds(Step& step);

// --- router.cc: shared by all.
void Emit(Step& step, RouterAction action);
void Log(Step& step, const std::string& event, std::vector<LogField> fields);
bool IsSettling(const Step& step);
// Sends to a member by name; a member without an address is passed over.
void Tell(Step& step, const std::string& peer, PeerBody body);

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_ROUTER_P_H_
