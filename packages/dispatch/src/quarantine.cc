#include "siskindrum/dispatch/quarantine.h"

#include <algorithm>
#include <iterator>
#include <optional>

#include "siskindrum/dispatch/limits.h"

namespace siskindrum::dispatch {

namespace {

using core::TimePoint;

// Requires: both in ascending order.
bool Contains(const PromptParts& parts, const PromptParts& subset) {
  return std::includes(parts.begin(), parts.end(), subset.begin(),
                       subset.end());
}

bool IsSorted(const PromptParts& parts) {
  return std::is_sorted(parts.begin(), parts.end());
}

PromptParts Intersect(const PromptParts& a, const PromptParts& b) {
  PromptParts common;
  std::set_intersection(a.begin(), a.end(), b.begin(), b.end(),
                        std::back_inserter(common));
  return common;
}

Milliseconds AgeOf(TimePoint time, TimePoint now) {
  return std::chrono::duration_cast<Milliseconds>(now - time);
}

bool IsSameCrash(const Suspicion& a, const Suspicion& b) {
  return a.server_ == b.server_ &&
         std::chrono::abs(a.crashed_at_ - b.crashed_at_) <= kSameCrashTime;
}

// An answer says nothing of a much later crash: a new version of the engine's
// software may crash by a part that was harmless before.
bool Acquits(TimePoint written_at, TimePoint crashed_at) {
  return crashed_at - written_at < kHarmlessLifetime;
}

PromptParts RemoveHarmless(const Quarantine& quarantine,
                           PromptParts parts,
                           TimePoint crashed_at) {
  std::erase_if(parts, [&](std::uint64_t part) {
    const auto found = quarantine.harmless_.find(part);
    return found != quarantine.harmless_.end() &&
           Acquits(found->second, crashed_at);
  });
  return parts;
}

// Number of crashes in which a request with all of `parts` was waiting.
std::uint32_t CountCrashes(const std::vector<const Suspicion*>& suspicions,
                           const PromptParts& parts) {
  std::vector<const Suspicion*> counted;
  for (const Suspicion* suspicion : suspicions) {
    const bool is_new = std::none_of(counted.begin(), counted.end(),
                                     [&](const Suspicion* other) {
                                       return IsSameCrash(*other, *suspicion);
                                     });
    if (is_new && Contains(suspicion->parts_, parts)) {
      counted.push_back(suspicion);
    }
  }
  return static_cast<std::uint32_t>(counted.size());
}

// Returns the suspicions of crashes in which no request with quarantined parts
// was waiting.
std::vector<const Suspicion*> UnexplainedSuspicions(
    const Quarantine& quarantine) {
  std::vector<const Suspicion*> explained;
  for (const Suspicion& suspicion : quarantine.suspicions_) {
    for (const QuarantinedSet& set : quarantine.sets_) {
      if (Contains(suspicion.parts_, set.parts_)) {
        explained.push_back(&suspicion);
        break;
      }
    }
  }
  std::vector<const Suspicion*> open;
  for (const Suspicion& suspicion : quarantine.suspicions_) {
    const bool is_explained = std::any_of(
        explained.begin(), explained.end(),
        [&](const Suspicion* other) { return IsSameCrash(*other, suspicion); });
    if (!is_explained) {
      open.push_back(&suspicion);
    }
  }
  return open;
}

struct Candidate {
  PromptParts parts_;
  std::uint32_t crashes_ = 0;
};

// Keeps the candidate with the most crashes and, of these, with the most parts.
void Consider(std::optional<Candidate>& best,
              const std::vector<const Suspicion*>& suspicions,
              const PromptParts& parts,
              std::uint32_t min_crashes) {
  const std::uint32_t crashes = CountCrashes(suspicions, parts);
  if (crashes < min_crashes) {
    return;
  }
  if (!best.has_value() || crashes > best->crashes_ ||
      (crashes == best->crashes_ && parts.size() > best->parts_.size())) {
    best = Candidate{parts, crashes};
  }
}

// Returns the set of parts that explains the most crashes, if they are enough.
std::optional<Candidate> FindCulprit(
    const std::vector<const Suspicion*>& suspicions) {
  std::optional<Candidate> best;
  for (const Suspicion* suspicion : suspicions) {
    Consider(best, suspicions, suspicion->parts_, kMinCrashes);
  }
  if (best.has_value()) {
    return best;
  }
  for (std::size_t i = 0; i < suspicions.size(); ++i) {
    for (std::size_t j = i + 1; j < suspicions.size(); ++j) {
      const PromptParts common =
          Intersect(suspicions[i]->parts_, suspicions[j]->parts_);
      if (!common.empty()) {
        Consider(best, suspicions, common, kMinCrashesOfCommonParts);
      }
    }
  }
  return best;
}

TimePoint LastCrash(const std::vector<const Suspicion*>& suspicions,
                    const PromptParts& parts) {
  TimePoint last{};
  for (const Suspicion* suspicion : suspicions) {
    if (Contains(suspicion->parts_, parts)) {
      last = std::max(last, suspicion->crashed_at_);
    }
  }
  return last;
}

core::QuarantinedParts ToReport(const QuarantinedSet& set, TimePoint now) {
  return {set.parts_, set.crashes_, AgeOf(set.last_crash_at_, now)};
}

void Impose(Quarantine& quarantine,
            QuarantinedSet set,
            TimePoint now,
            QuarantineChange& change) {
  if (quarantine.sets_.size() >= kMaxQuarantinedSets) {
    quarantine.sets_.erase(
        std::min_element(quarantine.sets_.begin(), quarantine.sets_.end(),
                         [](const QuarantinedSet& a, const QuarantinedSet& b) {
                           return a.last_crash_at_ < b.last_crash_at_;
                         }));
  }
  change.imposed_.push_back(set);
  change.news_.quarantined_.push_back(ToReport(set, now));
  quarantine.sets_.push_back(std::move(set));
}

void ImposeNew(Quarantine& quarantine,
               TimePoint now,
               QuarantineChange& change) {
  while (true) {
    const auto open = UnexplainedSuspicions(quarantine);
    const auto culprit = FindCulprit(open);
    if (!culprit.has_value()) {
      return;
    }
    Impose(quarantine,
           {culprit->parts_,
            culprit->crashes_,
            LastCrash(open, culprit->parts_),
            {}},
           now, change);
  }
}

// Renews the quarantines that the crash confirms.
void RenewConfirmed(Quarantine& quarantine,
                    const Suspicion& suspicion,
                    TimePoint now,
                    QuarantineChange& change) {
  for (QuarantinedSet& set : quarantine.sets_) {
    if (Contains(suspicion.parts_, set.parts_) &&
        suspicion.crashed_at_ > set.last_crash_at_ + kSameCrashTime) {
      ++set.crashes_;
      set.last_crash_at_ = suspicion.crashed_at_;
      change.renewed_.push_back(set);
      change.news_.quarantined_.push_back(ToReport(set, now));
    }
  }
}

bool IsKnown(const Quarantine& quarantine, const Suspicion& suspicion) {
  return std::any_of(quarantine.suspicions_.begin(),
                     quarantine.suspicions_.end(), [&](const Suspicion& known) {
                       return IsSameCrash(known, suspicion) &&
                              known.parts_ == suspicion.parts_;
                     });
}

void AddSuspicion(Quarantine& quarantine,
                  Suspicion suspicion,
                  TimePoint now,
                  QuarantineChange& change) {
  suspicion.parts_ = RemoveHarmless(quarantine, std::move(suspicion.parts_),
                                    suspicion.crashed_at_);
  if (suspicion.parts_.empty() || IsKnown(quarantine, suspicion) ||
      now - suspicion.crashed_at_ > kSuspicionLifetime) {
    return;
  }
  change.news_.suspects_.push_back(
      {suspicion.server_, AgeOf(suspicion.crashed_at_, now), suspicion.parts_});
  RenewConfirmed(quarantine, suspicion, now, change);
  if (quarantine.suspicions_.size() >= kMaxSuspicions) {
    quarantine.suspicions_.pop_front();
  }
  quarantine.suspicions_.push_back(std::move(suspicion));
  ImposeNew(quarantine, now, change);
}

// Removes the part from what it acquits. Returns whether it was suspected.
bool Acquit(Quarantine& quarantine, std::uint64_t part, TimePoint written_at) {
  std::size_t erased = 0;
  for (Suspicion& suspicion : quarantine.suspicions_) {
    if (Acquits(written_at, suspicion.crashed_at_)) {
      erased += std::erase(suspicion.parts_, part);
    }
  }
  for (QuarantinedSet& set : quarantine.sets_) {
    if (Acquits(written_at, set.last_crash_at_)) {
      erased += std::erase(set.parts_, part);
    }
  }
  std::erase_if(quarantine.suspicions_, [](const Suspicion& suspicion) {
    return suspicion.parts_.empty();
  });
  std::erase_if(quarantine.sets_,
                [](const QuarantinedSet& set) { return set.parts_.empty(); });
  return erased > 0;
}

void EraseOlder(auto& times, core::Nanoseconds lifetime, TimePoint now) {
  std::erase_if(
      times, [&](const auto& entry) { return now - entry.second > lifetime; });
}

// Remembers when an answer was last written with the part. Returns whether that
// is later than known before.
bool KeepHarmless(Quarantine& quarantine,
                  std::uint64_t part,
                  TimePoint written_at,
                  TimePoint now) {
  const auto found = quarantine.harmless_.find(part);
  if (found != quarantine.harmless_.end()) {
    const bool is_later = found->second < written_at;
    found->second = std::max(found->second, written_at);
    return is_later;
  }
  if (quarantine.harmless_.size() >= kMaxHarmlessParts) {
    EraseOlder(quarantine.harmless_, kHarmlessLifetime / 2, now);
  }
  if (quarantine.harmless_.size() < kMaxHarmlessParts) {
    quarantine.harmless_[part] = written_at;
  }
  return true;
}

// Removes parts that this entry knows to be harmless from a peer's row, and
// tells the peers of them.
PromptParts AnswerPeer(Quarantine& quarantine,
                       const PromptParts& parts,
                       TimePoint crashed_at,
                       TimePoint now,
                       QuarantineChange& change) {
  PromptParts left = RemoveHarmless(quarantine, parts, crashed_at);
  for (const std::uint64_t part : parts) {
    if (std::binary_search(left.begin(), left.end(), part)) {
      continue;
    }
    const TimePoint written_at = quarantine.harmless_.at(part);
    if (quarantine.acquitted_.emplace(part, written_at).second) {
      change.news_.harmless_.push_back({part, AgeOf(written_at, now)});
    }
  }
  return left;
}

void MergeQuarantined(Quarantine& quarantine,
                      const core::QuarantinedParts& row,
                      TimePoint now,
                      QuarantineChange& change) {
  QuarantinedSet set;
  set.crashes_ = row.crashes_;
  set.last_crash_at_ = now - row.age_;
  set.parts_ =
      AnswerPeer(quarantine, row.parts_, set.last_crash_at_, now, change);
  if (set.parts_.empty() || row.age_ > 2 * QuarantineTerm(row.crashes_)) {
    return;
  }
  for (QuarantinedSet& known : quarantine.sets_) {
    if (known.parts_ != set.parts_) {
      continue;
    }
    if (set.last_crash_at_ > known.last_crash_at_ + kSameCrashTime) {
      known.last_crash_at_ = set.last_crash_at_;
      known.crashes_ = std::max(known.crashes_, set.crashes_);
      change.renewed_.push_back(known);
      change.news_.quarantined_.push_back(ToReport(known, now));
    }
    return;
  }
  Impose(quarantine, std::move(set), now, change);
}

TimePoint EndOf(const Quarantine& quarantine, const QuarantinedSet& set) {
  return set.last_crash_at_ + QuarantineTerm(set.crashes_) +
         quarantine.release_delay_;
}

// Returns whether a peer may state this age. Ages come over the network.
bool IsPlausible(Milliseconds age) {
  return age >= Milliseconds(0) && age <= 2 * kMaxQuarantineTerm;
}

}  // namespace

Milliseconds QuarantineTerm(std::uint32_t crashes) {
  Milliseconds term = kBaseQuarantineTerm;
  for (std::uint32_t i = 0; i < crashes && term < kMaxQuarantineTerm; ++i) {
    term *= 2;
  }
  return std::min(term, kMaxQuarantineTerm);
}

QuarantineChange RecordCrash(Quarantine& quarantine,
                             const std::string& server,
                             const PromptParts& parts,
                             TimePoint crashed_at,
                             TimePoint now) {
  QuarantineChange change;
  AddSuspicion(quarantine, {server, crashed_at, parts}, now, change);
  return change;
}

QuarantineChange RecordHarmless(Quarantine& quarantine,
                                const PromptParts& parts,
                                TimePoint written_at,
                                TimePoint now) {
  QuarantineChange change;
  for (const std::uint64_t part : parts) {
    KeepHarmless(quarantine, part, written_at, now);
    if (Acquit(quarantine, part, written_at)) {
      quarantine.acquitted_[part] = written_at;
      change.news_.harmless_.push_back({part, AgeOf(written_at, now)});
    }
  }
  return change;
}

QuarantineChange MergeReport(Quarantine& quarantine,
                             const core::QuarantineReport& report,
                             TimePoint now) {
  QuarantineChange change;
  for (const core::HarmlessPart& row : report.harmless_) {
    if (!IsPlausible(row.age_)) {
      continue;
    }
    const TimePoint written_at = now - row.age_;
    KeepHarmless(quarantine, row.part_, written_at, now);
    const bool was_suspected = Acquit(quarantine, row.part_, written_at);
    if (quarantine.acquitted_.emplace(row.part_, written_at).second ||
        was_suspected) {
      change.news_.harmless_.push_back(row);
    }
  }
  for (const core::CrashSuspect& row : report.suspects_) {
    if (IsPlausible(row.age_) && IsSorted(row.parts_)) {
      const TimePoint crashed_at = now - row.age_;
      AddSuspicion(
          quarantine,
          {row.server_, crashed_at,
           AnswerPeer(quarantine, row.parts_, crashed_at, now, change)},
          now, change);
    }
  }
  for (const core::QuarantinedParts& row : report.quarantined_) {
    if (IsPlausible(row.age_) && IsSorted(row.parts_)) {
      MergeQuarantined(quarantine, row, now, change);
    }
  }
  return change;
}

core::QuarantineReport MakeReport(const Quarantine& quarantine, TimePoint now) {
  core::QuarantineReport report;
  for (const auto& [part, written_at] : quarantine.acquitted_) {
    if (report.harmless_.size() < kMaxReportRows) {
      report.harmless_.push_back({part, AgeOf(written_at, now)});
    }
  }
  for (auto it = quarantine.suspicions_.rbegin();
       it != quarantine.suspicions_.rend() &&
       report.suspects_.size() < kMaxReportRows;
       ++it) {
    report.suspects_.push_back(
        {it->server_, AgeOf(it->crashed_at_, now), it->parts_});
  }
  for (auto it = quarantine.sets_.rbegin();
       it != quarantine.sets_.rend() &&
       report.quarantined_.size() < kMaxReportRows;
       ++it) {
    report.quarantined_.push_back(ToReport(*it, now));
  }
  return report;
}

const QuarantinedSet* FindQuarantine(const Quarantine& quarantine,
                                     const PromptParts& parts,
                                     TimePoint now) {
  for (const QuarantinedSet& set : quarantine.sets_) {
    if (now < EndOf(quarantine, set) && Contains(parts, set.parts_)) {
      return &set;
    }
  }
  return nullptr;
}

const QuarantinedSet* AdmitParts(Quarantine& quarantine,
                                 const PromptParts& parts,
                                 TimePoint now) {
  const QuarantinedSet* active = FindQuarantine(quarantine, parts, now);
  if (active != nullptr) {
    return active;
  }
  for (QuarantinedSet& set : quarantine.sets_) {
    if (!Contains(parts, set.parts_)) {
      continue;
    }
    if (now < set.trial_until_) {
      return &set;
    }
    set.trial_until_ = now + kTrialTime;
  }
  return nullptr;
}

Milliseconds TimeUntilRelease(const Quarantine& quarantine,
                              const QuarantinedSet& set,
                              TimePoint now) {
  const TimePoint release = std::max(EndOf(quarantine, set), set.trial_until_);
  return std::max(Milliseconds(0), AgeOf(now, release));
}

void ExpireQuarantine(Quarantine& quarantine, TimePoint now) {
  if (now < quarantine.next_expiry_) {
    return;
  }
  quarantine.next_expiry_ = now + kQuarantineExpiryInterval;
  EraseOlder(quarantine.harmless_, kHarmlessLifetime, now);
  EraseOlder(quarantine.acquitted_, kSuspicionLifetime, now);
  std::erase_if(quarantine.suspicions_, [&](const Suspicion& suspicion) {
    return now - suspicion.crashed_at_ > kSuspicionLifetime;
  });
  std::erase_if(quarantine.sets_, [&](const QuarantinedSet& set) {
    return now > EndOf(quarantine, set) + QuarantineTerm(set.crashes_);
  });
}

}  // namespace siskindrum::dispatch
