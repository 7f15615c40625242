#ifndef SISKINDRUM_CORE_MEMBERSHIP_H_
#define SISKINDRUM_CORE_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "siskindrum/core/limits.h"
#include "siskindrum/core/types.h"

namespace siskindrum::core {

// An entry as the platform's list names it.
struct EntryInfo {
  std::string name_;
  std::string address_;  // Of the peers' interface, "ip:port".
  std::string domain_;
  bool leaving_ = false;
};

// Room in a cell, as its home says.
struct CellDigest {
  std::string cell_;
  std::int32_t free_slots_ = 0;
  std::uint32_t waiting_ = 0;
  std::uint32_t wait_ms_ = 0;       // Until a newcomer's prefill would begin.
  std::uint32_t prefill_rate_ = 0;  // Tokens a second of all its servers.
};

// What entries tell each other about one entry.
struct MemberRow {
  std::string name_;
  std::string address_;
  std::string domain_;
  Incarnation incarnation_ = 0;
  std::uint64_t counter_ = 0;   // Rises with each gossip round of that entry.
  std::uint64_t revision_ = 0;  // Of the configuration in force there.
  std::uint64_t list_version_ = 0;  // Of the instance list known there.
  bool leaving_ = false;
  std::vector<CellDigest> cells_;
  std::vector<std::string> leaving_servers_;
  std::vector<std::string>
      role_changing_servers_;  // It gave them another role.
  // Entries of its failure domain that it knows, itself included; zero: not
  // said.
  std::uint32_t domain_entries_ = 0;
};

struct Member {
  MemberRow row_;
  TimePoint advanced_at_{};  // When the counter last rose, by our clock.
  bool heard_ = false;
  TimePoint unreachable_until_{};  // A send to it failed shortly before.
  bool listed_ = false;
};

// View of the other entries. A wrong view costs efficiency, never safety.
struct Membership {
  MemberRow self_;
  std::map<std::string, Member> members_;
  bool replaced_ = false;  // A newer incarnation of this entry was heard.
  Milliseconds suspect_timeout_ = kSuspectTimeout;
  Milliseconds gossip_interval_ = kGossipInterval;
};

// Takes the platform's list of entries as a hint of whom to talk to.
// Thread-safe: no.
void UpdateEntries(Membership& membership,
                   const std::vector<EntryInfo>& list,
                   TimePoint now);

// Merges rows heard from a peer. Returns true when a member came to life, was
// replaced or left. Thread-safe: no.
bool MergeRows(Membership& membership,
               const std::vector<MemberRow>& rows,
               TimePoint now);

// True when the member can be reached, is not leaving, and was heard lately; in
// a large fleet the list's word is enough for other failure domains, of which
// little is heard. Thread-safe: no.
bool IsLive(const Membership& membership, const Member& member, TimePoint now);

// True when the member was heard lately, leaving or not. Thread-safe: no.
bool IsHeard(const Membership& membership, const Member& member, TimePoint now);

// Notes that a message could not be handed to a member: it counts as gone for a
// while, or until it is heard again. Thread-safe: no.
void MarkUnreachable(Membership& membership,
                     const std::string& name,
                     TimePoint now);

// Live entries, this one included unless it is leaving: name to failure
// domain. Thread-safe: no.
std::map<std::string, std::string> LiveEntries(const Membership& membership,
                                               TimePoint now);

// Rows to tell a target: this entry's and the freshest of the others; in a
// large fleet some of the target's failure domain, whose entries need each
// other most, and one of each further domain.
// Thread-safe: no.
std::vector<MemberRow> GossipRows(const Membership& membership,
                                  const std::string& target,
                                  TimePoint now);

// Entries of the whole fleet as far as it is known, this one included: those of
// its own failure domain by name, of another one as many as an entry there says
// or as are known by name. Thread-safe: no.
std::size_t CountEntries(const Membership& membership);

// Entries known in the own failure domain, this one included. Thread-safe: no.
std::uint32_t CountDomainEntries(const Membership& membership);

// Members to tell, own failure domain first with a few from the others.
// Thread-safe: no.
std::vector<std::string> GossipTargets(const Membership& membership,
                                       TimePoint now,
                                       std::mt19937_64& random);

// True when `incarnation` of `name` is proved to have been replaced.
// Thread-safe: no.
bool IsReplacedIncarnation(const Membership& membership,
                           const std::string& name,
                           Incarnation incarnation);

// Drops members that are neither listed nor heard for long, and fits the pace
// of gossip and suspicion to how many are left. Thread-safe: no.
void RemoveStaleMembers(Membership& membership, TimePoint now);

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_MEMBERSHIP_H_
