#ifndef SISKINDRUM_DISPATCH_DISPATCHER_P_H_
#define SISKINDRUM_DISPATCH_DISPATCHER_P_H_

#include <string>
#include <vector>

#include "siskindrum/dispatch/dispatcher.h"
#include "siskindrum/dispatch/limits.h"

namespace siskindrum::dispatch {

// One event being handled.
struct Step {
  Dispatcher& dispatcher_;
  TimePoint now_{};
  std::vector<Action>& actions_;
};

// call_end.cc: how requests end, and what a failed attempt allows.

bool IsRepeatable(const ActiveCall& call);
PlacementNeed NeedOf(const Step& step, const ActiveCall& call);
// Length of the request's answer that is exceeded by few, in tokens, no more
// than the caller allows.
std::uint32_t AnswerToReserve(const Step& step, const ActiveCall& call);
// Takes the length of a whole answer into what is expected of its route.
void NoteLength(Step& step, const ActiveCall& call);
// Takes back the prompt that the request counts for at its server, which may be
// null when it is known no longer.
void ReleasePrefill(KnownServer* server, ActiveCall& call);
// Takes back what the attempt in progress counts for at its server.
void ReleaseAttempt(Step& step, ActiveCall& call);
// Takes back what the request counts for at its decode engine, and gives back
// the reservation there unless it was used.
void ReleaseDecode(Step& step, ActiveCall& call);
// Frees a prefill result that was not taken.
void DropHandle(Step& step, ActiveCall& call);
// Ends the request with the strongest true verdict; `call` is gone afterwards.
void FailCall(Step& step,
              ActiveCall& call,
              core::Reason reason,
              const std::string& detail);
void EndCall(Step& step, ActiveCall& call, const std::string& outcome);
// True when the rule and the budget let the request go to one more server.
bool TakeAttempt(Step& step, ActiveCall& call, std::string* denied);
// Entries that share the repeats allowed besides a part of the calls; zero
// while this entry cannot tell how many they are, or what was taken before its
// start. The load it answers: fleets whose entries all start, or are all
// killed, at once. Thread-safe: no.
std::size_t RepeatSharers(const Step& step);
// Counts and fills in what all attempts share.
StartAttempt BeginAttempt(Step& step,
                          ActiveCall& call,
                          Stage stage,
                          KnownServer& server);
void LogAttempt(Step& step,
                const ActiveCall& call,
                const StartAttempt& start,
                double expected_ms);

// Notes a refusal at its server: a full one gets nothing for a moment, one that
// was not meant nothing of the kind until the list names it anew.
void NoteRefusedAttempt(Step& step,
                        const ActiveCall& call,
                        KnownServer& server,
                        bool misdirected);

// plain_call.cc
void SendPlain(Step& step, ActiveCall& call);
void OnPlainDone(Step& step, ActiveCall& call, const AttemptDone& event);

// engine_call.cc
// Looks for a decode engine with room, reserves it, and goes on from there.
void SeekDecode(Step& step, ActiveCall& call);
void OnReserveDone(Step& step, ActiveCall& call, const ReserveDone& event);
void OnPrefillDone(Step& step, ActiveCall& call, const PrefillDone& event);
void OnDecodeDone(Step& step, ActiveCall& call, const AttemptDone& event);
void OnAnswerBegan(Step& step, ActiveCall& call);

// kept_prompts.cc: prompts that engines keep from before this process started.

// Asks all engines a few times after a restart, from when the list was read.
void QueryRetainedPrompts(Step& step);
void OnRetainedPrompts(Step& step, const RetainedPromptsListed& event);
// Lets a request whose prompt an engine keeps be read from there.
void UseRetainedPrompt(Step& step, ActiveCall& call);

// waiting.cc: requests that wait for room at a decode engine.

// True when a request that gets room now would still meet its target.
bool IsInTime(const Step& step, const ActiveCall& call);
// False when the answer is expected to last longer than its caller waits: room
// given to it would be lost to others. The load it answers: callers that come
// back late in a burst with long answers.
bool CanFinish(const Step& step, const ActiveCall& call);
// Takes the time of a whole answer into the mean of its pool.
void NoteAnswerTime(Step& step, const ActiveCall& call);
// Lets the request wait, or refuses it when its turn would come too late.
void Wait(Step& step, ActiveCall& call);
// Looks again for room for those that wait, those first that can still be
// answered in time, the oldest first.
void PumpWaiting(Step& step);

// peers.cc: what entries tell each other.

void OnPeerMessage(Step& step, const PeerMessageReceived& event);
// Tells some peers what this entry knows, once a round, and asks one that knows
// something newer.
void GossipWithPeers(Step& step);
// Tells entries of the own failure domain what this entry takes of the engines.
// The load it answers: fleets whose entries each send too few requests to tell
// from their own which engines are full.
void SendUsage(Step& step);

// dispatcher.cc
// Takes changes of the list unless what is known is newer.
void ApplyListChanges(Step& step,
                      const ListChanges& changes,
                      const std::string& source);

std::string FormatMs(core::Nanoseconds duration);

}  // namespace siskindrum::dispatch

#endif  // SISKINDRUM_DISPATCH_DISPATCHER_P_H_
