#ifndef SISKINDRUM_CORE_ROUTER_P_H_
#define SISKINDRUM_CORE_ROUTER_P_H_

#include <string>
#include <vector>

#include "siskindrum/core/router.h"

namespace siskindrum::core {

// Context of the event being handled: router, time and resulting actions.
struct EventContext {
  Router& router_;
  const Now& now_;
  std::vector<RouterAction>& actions_;
};

// --- lifecycle.cc: requests to model engines; end of every request.
void OnRequestArrived(EventContext& context, const RequestArrived& event);
void OnCallerGone(EventContext& context, const CallerGone& event);
void OnPrefillEnded(EventContext& context, const PrefillEnded& event);
void OnFirstToken(EventContext& context, const FirstToken& event);
void OnDecodeEnded(EventContext& context, const DecodeEnded& event);
void OnGranted(EventContext& context,
               Request& request,
               const Placement& placement,
               const std::string& home,
               const std::string& home_cell);
Request* FindRequest(Router& router, const RequestId& id);
void FailRequest(EventContext& context, Request& request, Verdict verdict);
void EndRequest(EventContext& context,
                Request& request,
                const std::string& outcome);
DecisionRecord* MutableDecision(Router& router, const RequestId& id);
Request& AddRequest(EventContext& context,
                    const RequestArrived& event,
                    const Rule& rule);

// --- lease.cc: decode slots, requested from and granted by the homes of cells.
CellDigest DigestCell(const EventContext& context, const Cell& cell);
void TryNextCell(EventContext& context, Request& request);
void ServeQueue(EventContext& context, const std::string& cell);
void ServeAllQueues(EventContext& context);
void RerouteWaiting(EventContext& context);
void ReleaseLease(EventContext& context, Request& request, bool server_failed);
void CheckPendingLeases(EventContext& context);
void OnLeaseRequest(EventContext& context,
                    const std::string& from,
                    const LeaseRequest& m);
void OnLeaseQueued(EventContext& context, const LeaseQueued& message);
void OnLeaseGrant(EventContext& context,
                  const std::string& from,
                  const LeaseGrant& m);
void OnLeaseRefusal(EventContext& context, const LeaseRefusal& message);
void OnLeaseRelease(EventContext& context, const LeaseRelease& message);
void OnLeaseSendFailed(EventContext& context, const LeaseRequest& message);

// --- baseline.cc: baseline policies for comparison.
void PlaceByBaseline(EventContext& context, Request& request);

// --- plain.cc: calls to plain services.
void BeginPlain(EventContext& context, Request& request);
void OnPlainEnded(EventContext& context, const PlainEnded& event);
void OnCallForward(EventContext& context,
                   const std::string& from,
                   const CallForward& m);
void OnCallAnswer(EventContext& context, const CallAnswer& message);
void OnForwardFailed(EventContext& context,
                     const CallForward& message,
                     const Verdict& v);
void CheckForwards(EventContext& context);
void SendSeatHandover(EventContext& context);
void OnSeatHandover(EventContext& context, const SeatHandover& message);
void OnSeatHandoverRequest(EventContext& context,
                           const std::string& from,
                           const SeatHandoverRequest& message);
void RequestSeatHandovers(EventContext& context);
void UpdateSeat(EventContext& context, const Configuration* before);

// --- relay.cc: membership, homes, and the exchange of configuration and
// instance list between entries.
void OnInstanceListArrived(EventContext& context,
                           const InstanceListArrived& event,
                           const std::string& source);
void OnConfigurationArrived(EventContext& context,
                            const ConfigurationArrived& event);
void OnGossip(EventContext& context,
              const std::string& from,
              const Gossip& message);
void OnConfigurationRequest(EventContext& context,
                            const std::string& from,
                            const ConfigurationRequest& message);
void OnListRequest(EventContext& context,
                   const std::string& from,
                   const ListRequest& m);
void OnListBody(EventContext& context,
                const std::string& from,
                const ListBody& message);
void SendGossip(EventContext& context);
void RequestNewerState(EventContext& context);
void RefreshHomes(EventContext& context);
void FinishStartup(EventContext& context);

// --- sweep.cc: freeing engine memory of requests that have ended.
void CancelRequestAt(EventContext& context,
                     const RequestId& request,
                     const std::string& server);
void OnCancelEnded(EventContext& context, const CancelEnded& event);
void RetryCancels(EventContext& context);
void OnLoadReportArrived(EventContext& context, const LoadReportArrived& event);
void OnOwnerQuery(EventContext& context,
                  const std::string& from,
                  const OwnerQuery& m);
void OnOwnerAnswer(EventContext& context, const OwnerAnswer& message);
void ReleaseOrphanedHolds(EventContext& context);

// --- router.cc: helpers shared by the files above.
void Emit(EventContext& context, RouterAction action);
void Log(EventContext& context,
         const std::string& event,
         std::vector<LogField> fields);
bool IsSettling(const EventContext& context);
// Sends a message to a member by name; does nothing if the member is unknown or
// has no address.
void SendToPeer(EventContext& context, const std::string& peer, PeerBody body);

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_ROUTER_P_H_
