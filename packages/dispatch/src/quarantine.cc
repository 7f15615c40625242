#include "siskindrum/dispatch/quarantine.h"

#include <algorithm>
#include <utility>

#include "crash_evidence_p.h"
#include "siskindrum/dispatch/limits.h"

namespace siskindrum::dispatch {

namespace {

using core::TimePoint;

bool IsSorted(const PromptParts& parts) {
  return std::is_sorted(parts.begin(), parts.end());
}

Milliseconds AgeOf(TimePoint time, TimePoint now) {
  return std::chrono::duration_cast<Milliseconds>(now - time);
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

core::CrashSuspect ToReport(const Suspicion& suspicion, TimePoint now) {
  return {suspicion.server_, suspicion.incarnation_,
          AgeOf(suspicion.crashed_at_, now), suspicion.confirmed_,
          suspicion.parts_};
}

core::QuarantinedParts ToReport(const QuarantinedSet& set, TimePoint now) {
  return {set.parts_, set.crashes_, AgeOf(set.last_crash_at_, now)};
}

// Returns false when all quarantines that fit are later ones.
bool Impose(Quarantine& quarantine,
            QuarantinedSet set,
            TimePoint now,
            QuarantineChange& change) {
  // Sets with further parts say no more.
  std::erase_if(quarantine.sets_, [&](const QuarantinedSet& other) {
    return Contains(other.parts_, set.parts_);
  });
  if (quarantine.sets_.size() >= kMaxQuarantinedSets) {
    const auto oldest =
        std::min_element(quarantine.sets_.begin(), quarantine.sets_.end(),
                         [](const QuarantinedSet& a, const QuarantinedSet& b) {
                           return a.last_crash_at_ < b.last_crash_at_;
                         });
    if (oldest->last_crash_at_ >= set.last_crash_at_) {
      return false;
    }
    quarantine.sets_.erase(oldest);
  }
  change.imposed_.push_back(set);
  change.news_.quarantined_.push_back(ToReport(set, now));
  quarantine.sets_.push_back(std::move(set));
  return true;
}

void ImposeNew(Quarantine& quarantine,
               TimePoint now,
               QuarantineChange& change) {
  bool imposed = true;
  while (imposed) {
    const auto culprit = FindCulprit(quarantine);
    imposed = culprit.has_value() && Impose(quarantine,
                                            {culprit->parts_,
                                             culprit->evidence_.crashes_,
                                             culprit->evidence_.last_crash_at_,
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

// Requires: harmless parts are removed from `suspicion`.
void AddSuspicion(Quarantine& quarantine,
                  Suspicion suspicion,
                  TimePoint now,
                  QuarantineChange& change) {
  if (suspicion.parts_.empty() || IsKnown(quarantine, suspicion) ||
      now - suspicion.crashed_at_ > kSuspicionLifetime) {
    return;
  }
  change.news_.suspects_.push_back(ToReport(suspicion, now));
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

void EraseOldHarmless(Quarantine& quarantine,
                      core::Nanoseconds lifetime,
                      TimePoint now) {
  std::erase_if(quarantine.harmless_, [&](const auto& entry) {
    return now - entry.second > lifetime;
  });
}

// Remembers when an answer was last written with the part.
void KeepHarmless(Quarantine& quarantine,
                  std::uint64_t part,
                  TimePoint written_at,
                  TimePoint now) {
  const auto found = quarantine.harmless_.find(part);
  if (found != quarantine.harmless_.end()) {
    found->second = std::max(found->second, written_at);
    return;
  }
  if (quarantine.harmless_.size() >= kMaxHarmlessParts) {
    EraseOldHarmless(quarantine, kHarmlessLifetime / 2, now);
  }
  if (quarantine.harmless_.size() < kMaxHarmlessParts) {
    quarantine.harmless_[part] = written_at;
  }
}

// Tells the peers that the part is harmless, unless they were told just now.
void Tell(Quarantine& quarantine,
          std::uint64_t part,
          TimePoint written_at,
          TimePoint now,
          QuarantineChange& change) {
  const auto [found, is_new] = quarantine.acquitted_.try_emplace(part);
  Acquittal& acquittal = found->second;
  acquittal.written_at_ = std::max(acquittal.written_at_, written_at);
  if (is_new || now - acquittal.told_at_ >= kAcquittalInterval) {
    acquittal.told_at_ = now;
    change.news_.harmless_.push_back({part, AgeOf(written_at, now)});
  }
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
    Tell(quarantine, part, quarantine.harmless_.at(part), now, change);
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
  if (!IsQuarantined(quarantine, set.parts_)) {
    Impose(quarantine, std::move(set), now, change);
  }
}

TimePoint EndOf(const Quarantine& quarantine, const QuarantinedSet& set) {
  return set.last_crash_at_ + QuarantineTerm(set.crashes_) +
         quarantine.release_delay_;
}

std::vector<core::HarmlessPart> LatestAcquittals(const Quarantine& quarantine,
                                                 TimePoint now) {
  std::vector<core::HarmlessPart> rows;
  for (const auto& [part, acquittal] : quarantine.acquitted_) {
    rows.push_back({part, AgeOf(acquittal.written_at_, now)});
  }
  std::sort(rows.begin(), rows.end(),
            [](const core::HarmlessPart& a, const core::HarmlessPart& b) {
              return a.age_ < b.age_;
            });
  rows.resize(std::min(rows.size(), kMaxReportRows));
  return rows;
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
                             Suspicion suspicion,
                             TimePoint now) {
  suspicion.parts_ = RemoveHarmless(quarantine, std::move(suspicion.parts_),
                                    suspicion.crashed_at_);
  QuarantineChange change;
  AddSuspicion(quarantine, std::move(suspicion), now, change);
  return change;
}

QuarantineChange RecordHarmless(Quarantine& quarantine,
                                const PromptParts& parts,
                                TimePoint written_at,
                                TimePoint now) {
  QuarantineChange change;
  for (const std::uint64_t part : parts) {
    KeepHarmless(quarantine, part, written_at, now);
    const auto acquitted = quarantine.acquitted_.find(part);
    if (acquitted != quarantine.acquitted_.end()) {
      acquitted->second.written_at_ = written_at;
    }
    if (Acquit(quarantine, part, written_at)) {
      Tell(quarantine, part, written_at, now, change);
    }
  }
  return change;
}

QuarantineChange MergeReport(Quarantine& quarantine,
                             const core::QuarantineReport& report,
                             TimePoint now) {
  QuarantineChange change;
  for (const core::HarmlessPart& row : report.harmless_) {
    if (row.age_ < Milliseconds(0) || row.age_ > kSuspicionLifetime) {
      continue;
    }
    const TimePoint written_at = now - row.age_;
    KeepHarmless(quarantine, row.part_, written_at, now);
    const bool is_known = quarantine.acquitted_.contains(row.part_);
    if (Acquit(quarantine, row.part_, written_at) || !is_known) {
      Tell(quarantine, row.part_, written_at, now, change);
    }
  }
  for (const core::CrashSuspect& row : report.suspects_) {
    if (IsPlausible(row.age_) && IsSorted(row.parts_)) {
      const TimePoint crashed_at = now - row.age_;
      AddSuspicion(
          quarantine,
          {row.server_, row.incarnation_, crashed_at, row.confirmed_,
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
  report.harmless_ = LatestAcquittals(quarantine, now);
  for (auto it = quarantine.suspicions_.rbegin();
       it != quarantine.suspicions_.rend() &&
       report.suspects_.size() < kMaxReportRows;
       ++it) {
    report.suspects_.push_back(ToReport(*it, now));
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
  EraseOldHarmless(quarantine, kHarmlessLifetime, now);
  std::erase_if(quarantine.acquitted_, [&](const auto& entry) {
    return now - entry.second.told_at_ > kSuspicionLifetime;
  });
  std::erase_if(quarantine.suspicions_, [&](const Suspicion& suspicion) {
    return now - suspicion.crashed_at_ > kSuspicionLifetime;
  });
  std::erase_if(quarantine.sets_, [&](const QuarantinedSet& set) {
    return now > EndOf(quarantine, set) + QuarantineTerm(set.crashes_);
  });
}

}  // namespace siskindrum::dispatch
