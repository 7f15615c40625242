#ifndef SISKINDRUM_CORE_MEMBERSHIP_H_
#define SISKINDRUM_CORE_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "siskindrum/core/limits.h"
#include "siskindrum/core/store_position.h"
#include "siskindrum/core/types.h"

namespace siskindrum::core {

// An entry as given by the platform's instance list.
struct EntryInfo {
  std::string name_;
  std::string address_;  // Of its peer interface, "ip:port".
  std::string domain_;
  bool leaving_ = false;
};

// Free capacity and queue of a cell, as reported by its home.
struct CellDigest {
  std::string cell_;
  std::int32_t free_slots_ = 0;
  std::uint32_t waiting_ = 0;
  std::uint32_t wait_ms_ = 0;       // Expected, of a new request.
  std::uint32_t prefill_rate_ = 0;  // Tokens per second, all servers.
};

// State of one entry as exchanged by gossip.
struct MemberRow {
  std::string name_;
  std::string address_;
  std::string domain_;
  Incarnation incarnation_ = 0;
  std::uint64_t counter_ = 0;   // Increases with each gossip round.
  std::uint64_t revision_ = 0;  // Of its current configuration.
  StorePosition list_version_;  // Of its instance list.
  bool leaving_ = false;
  std::vector<CellDigest> cells_;
  std::vector<std::string> leaving_servers_;
  // Servers whose role this entry is changing.
  std::vector<std::string> role_changing_servers_;
  // Number of entries that it knows in its failure domain, itself included;
  // zero if not reported.
  std::uint32_t domain_entries_ = 0;
};

struct Member {
  MemberRow row_;
  TimePoint advanced_at_{};        // Local time of the last counter increase.
  bool heard_ = false;             // A gossip row about it has arrived.
  TimePoint unreachable_until_{};  // Set when a send to it fails.
  bool listed_ = false;            // In the current instance list.
};

// Local view of the other entries. An incorrect view reduces efficiency but
// never affects correctness.
struct Membership {
  MemberRow self_;
  std::map<std::string, Member> members_;
  bool replaced_ = false;  // A newer incarnation of this entry exists.
  Milliseconds suspect_timeout_ = kSuspectTimeout;
  Milliseconds gossip_interval_ = kGossipInterval;
};

// Adds the entries of the platform's list as gossip candidates.
// Thread-safe: no.
void UpdateEntries(Membership& membership,
                   const std::vector<EntryInfo>& list,
                   TimePoint now);

// Merges rows received from a peer. Returns true if a member became live, was
// replaced by a newer incarnation, or changed its leaving flag. Thread-safe:
// no.
bool MergeRows(Membership& membership,
               const std::vector<MemberRow>& rows,
               TimePoint now);

// Returns true if the member is reachable, not leaving and recently heard from.
// In a large fleet, members of other failure domains only need to be listed,
// since little gossip about them arrives. Thread-safe: no.
bool IsLive(const Membership& membership, const Member& member, TimePoint now);

// Returns true if the member was heard from within the suspect timeout, whether
// or not it is leaving. Thread-safe: no.
bool IsHeard(const Membership& membership, const Member& member, TimePoint now);

// Records that a message could not be sent to a member. The member is not live
// for kUnreachableTime, or until newer gossip about it arrives. Thread-safe:
// no.
void MarkUnreachable(Membership& membership,
                     const std::string& name,
                     TimePoint now);

// Returns the live entries as a map from name to failure domain. Includes this
// entry unless it is leaving while others are live. Thread-safe: no.
std::map<std::string, std::string> LiveEntries(const Membership& membership,
                                               TimePoint now);

// Returns the rows to send to a target: this entry's and the most recently
// updated of the others. In a large fleet the others are members of the
// target's failure domain, whose entries depend on each other most, and one
// member of each further domain. Thread-safe: no.
std::vector<MemberRow> GossipRows(const Membership& membership,
                                  const std::string& target,
                                  TimePoint now);

// Estimates the number of entries in the fleet, this one included. Other
// failure domains count with the larger of the number of members known by name
// and the number that one of their entries reports. Thread-safe: no.
std::size_t CountEntries(const Membership& membership);

// Returns the number of entries known in this entry's failure domain, itself
// included. Thread-safe: no.
std::uint32_t CountDomainEntries(const Membership& membership);

// Picks random members for a gossip round, most of them from this entry's
// failure domain.
// Thread-safe: no.
std::vector<std::string> GossipTargets(const Membership& membership,
                                       TimePoint now,
                                       std::mt19937_64& random);

// Returns true if a newer incarnation of `name` than `incarnation` is known, so
// that this one is certain to have ended.
// Thread-safe: no.
bool IsReplacedIncarnation(const Membership& membership,
                           const std::string& name,
                           Incarnation incarnation);

// Removes members that are no longer listed and have not been heard from for
// kMemberRetention, then adapts the gossip interval and the suspect timeout to
// the number of members left. Thread-safe: no.
void RemoveStaleMembers(Membership& membership, TimePoint now);

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_MEMBERSHIP_H_
