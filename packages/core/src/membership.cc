#include "siskindrum/core/membership.h"

#include <algorithm>

#include "siskindrum/core/limits.h"

namespace siskindrum::core {

namespace {

// Gossip targets in other failure domains.
constexpr std::size_t kOtherDomainTargets = 1;

bool IsSmall(const Membership& membership) {
  return membership.members_.size() <= kSmallFleetEntries;
}

// Returns true if the change can affect the assignment of homes.
bool MergeRow(const Membership& membership,
              Member& member,
              const MemberRow& row,
              TimePoint now) {
  const MemberRow& old = member.row_;
  if (row.incarnation_ < old.incarnation_ ||
      (row.incarnation_ == old.incarnation_ && row.counter_ <= old.counter_)) {
    return false;
  }
  const bool replaced = row.incarnation_ != old.incarnation_;
  const bool changed = replaced || row.leaving_ != old.leaving_ ||
                       !IsLive(membership, member, now);
  member.row_ = row;
  member.advanced_at_ = now;
  member.heard_ = true;
  member.unreachable_until_ = TimePoint{};
  return changed;
}

void MoveRandom(std::vector<std::string>& from,
                std::size_t count,
                std::mt19937_64& random,
                std::vector<std::string>& into) {
  for (std::size_t i = 0; i < count && !from.empty(); ++i) {
    const std::size_t pick = random() % from.size();
    into.push_back(from[pick]);
    from.erase(from.begin() + static_cast<std::ptrdiff_t>(pick));
  }
}

}  // namespace

void UpdateEntries(Membership& membership,
                   const std::vector<EntryInfo>& list,
                   TimePoint now) {
  for (auto& [name, member] : membership.members_) {
    member.listed_ = false;
  }
  for (const EntryInfo& info : list) {
    if (info.name_ == membership.self_.name_) {
      continue;
    }
    const auto [it, is_new] = membership.members_.try_emplace(info.name_);
    Member& member = it->second;
    member.listed_ = true;
    // The entry's own gossip is more recent than the list.
    if (!member.heard_) {
      member.row_.name_ = info.name_;
      member.row_.address_ = info.address_;
      member.row_.domain_ = info.domain_;
    }
    if (is_new) {
      member.advanced_at_ = now;
    }
  }
}

bool MergeRows(Membership& membership,
               const std::vector<MemberRow>& rows,
               TimePoint now) {
  bool changed = false;
  for (const MemberRow& row : rows) {
    if (row.name_ == membership.self_.name_) {
      membership.replaced_ = membership.replaced_ ||
                             row.incarnation_ > membership.self_.incarnation_;
      continue;
    }
    if (row.name_.empty()) {
      continue;
    }
    changed = MergeRow(membership, membership.members_[row.name_], row, now) ||
              changed;
  }
  return changed;
}

bool IsHeard(const Membership& membership,
             const Member& member,
             TimePoint now) {
  return member.heard_ &&
         now - member.advanced_at_ < membership.suspect_timeout_;
}

bool IsLive(const Membership& membership, const Member& member, TimePoint now) {
  if (member.row_.leaving_ || now < member.unreachable_until_) {
    return false;
  }
  const bool far = member.row_.domain_ != membership.self_.domain_;
  return far && !IsSmall(membership) ? member.listed_
                                     : IsHeard(membership, member, now);
}

void MarkUnreachable(Membership& membership,
                     const std::string& name,
                     TimePoint now) {
  const auto it = membership.members_.find(name);
  if (it != membership.members_.end()) {
    it->second.unreachable_until_ = now + kUnreachableTime;
  }
}

std::map<std::string, std::string> LiveEntries(const Membership& membership,
                                               TimePoint now) {
  std::map<std::string, std::string> live;
  if (!membership.self_.leaving_) {
    live[membership.self_.name_] = membership.self_.domain_;
  }
  for (const auto& [name, member] : membership.members_) {
    if (IsLive(membership, member, now)) {
      live[name] = member.row_.domain_;
    }
  }
  if (live.empty()) {
    // The last entry to leave still serves its own requests until they end.
    live[membership.self_.name_] = membership.self_.domain_;
  }
  return live;
}

std::vector<MemberRow> GossipRows(const Membership& membership,
                                  const std::string& target,
                                  TimePoint now) {
  const bool small = IsSmall(membership);
  const auto to = membership.members_.find(target);
  const std::string domain =
      to == membership.members_.end() ? "" : to->second.row_.domain_;
  std::vector<const Member*> others;
  std::map<std::string, const Member*> foreign;  // The freshest of each domain.
  for (const auto& [name, member] : membership.members_) {
    if (name == target || !IsHeard(membership, member, now)) {
      continue;
    }
    if (small || member.row_.domain_ == domain) {
      others.push_back(&member);
    } else if (member.row_.domain_ != membership.self_.domain_) {
      const Member*& freshest = foreign[member.row_.domain_];
      if (freshest == nullptr || freshest->advanced_at_ < member.advanced_at_) {
        freshest = &member;
      }
    }
  }
  std::sort(others.begin(), others.end(), [](const Member* a, const Member* b) {
    return a->advanced_at_ > b->advanced_at_;
  });
  const std::size_t max_rows =
      small ? kMaxGossipRows : kLargeFleetMaxGossipRows;
  others.resize(std::min(others.size(), max_rows - 1));
  for (const auto& [domain, member] : foreign) {
    others.push_back(member);
  }
  std::vector<MemberRow> rows{membership.self_};
  for (const Member* member : others) {
    rows.push_back(member->row_);
  }
  return rows;
}

std::uint32_t CountDomainEntries(const Membership& membership) {
  const auto others = std::count_if(
      membership.members_.begin(), membership.members_.end(),
      [&membership](const auto& entry) {
        return entry.second.row_.domain_ == membership.self_.domain_;
      });
  return static_cast<std::uint32_t>(others) + 1;
}

std::size_t CountEntries(const Membership& membership) {
  struct Count {
    std::size_t named_ = 0;
    std::size_t reported_ = 0;
  };
  std::map<std::string, Count> foreign;
  for (const auto& [name, member] : membership.members_) {
    if (member.row_.domain_ != membership.self_.domain_) {
      Count& count = foreign[member.row_.domain_];
      ++count.named_;
      count.reported_ =
          std::max<std::size_t>(count.reported_, member.row_.domain_entries_);
    }
  }
  std::size_t total = CountDomainEntries(membership);
  for (const auto& [domain, count] : foreign) {
    total += std::max(count.named_, count.reported_);
  }
  return total;
}

std::vector<std::string> GossipTargets(const Membership& membership,
                                       TimePoint now,
                                       std::mt19937_64& random) {
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const auto& [name, member] : membership.members_) {
    const bool known = member.listed_ || (IsHeard(membership, member, now) &&
                                          now >= member.unreachable_until_ &&
                                          !member.row_.leaving_);
    if (known && !member.row_.address_.empty()) {
      const bool same = member.row_.domain_ == membership.self_.domain_;
      (same ? near : far).push_back(name);
    }
  }
  const bool small = IsSmall(membership);
  const std::size_t fan_out = small ? kGossipFanOut : kLargeFleetGossipFanOut;
  // In a large fleet, one round in four also goes to another failure domain.
  const bool foreign = small || random() % 4 == 0;
  std::vector<std::string> targets;
  const std::size_t near_count =
      std::min(near.size(), fan_out - (foreign ? kOtherDomainTargets : 0));
  MoveRandom(near, near_count, random, targets);
  if (foreign) {
    MoveRandom(far, fan_out - targets.size(), random, targets);
  }
  return targets;
}

bool IsReplacedIncarnation(const Membership& membership,
                           const std::string& name,
                           Incarnation incarnation) {
  if (name == membership.self_.name_) {
    return incarnation < membership.self_.incarnation_;
  }
  const auto it = membership.members_.find(name);
  return it != membership.members_.end() && it->second.heard_ &&
         incarnation < it->second.row_.incarnation_;
}

void RemoveStaleMembers(Membership& membership, TimePoint now) {
  std::erase_if(membership.members_, [&](const auto& entry) {
    return !entry.second.listed_ &&
           now - entry.second.advanced_at_ > kMemberRetention;
  });
  const std::uint32_t near = CountDomainEntries(membership) - 1;
  const bool small = IsSmall(membership);
  membership.gossip_interval_ =
      small ? kGossipInterval : kLargeFleetGossipInterval;
  membership.suspect_timeout_ =
      small ? kSuspectTimeout
            : std::clamp<Milliseconds>(kSuspectTimeoutPerMember * near,
                                       2 * kSuspectTimeout, kMaxSuspectTimeout);
}

}  // namespace siskindrum::core
