#include "crash_evidence_p.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "siskindrum/dispatch/limits.h"

namespace siskindrum::dispatch {

namespace {

using Suspicions = std::vector<const Suspicion*>;

PromptParts Intersect(const PromptParts& a, const PromptParts& b) {
  PromptParts common;
  std::set_intersection(a.begin(), a.end(), b.begin(), b.end(),
                        std::back_inserter(common));
  return common;
}

std::uint32_t Weight(const Suspicion& suspicion) {
  return suspicion.confirmed_ ? kConfirmedCrashWeight : kUnconfirmedCrashWeight;
}

Evidence CollectEvidence(const Suspicions& suspicions,
                         const PromptParts& parts) {
  Evidence evidence;
  Suspicions counted;
  std::set<PromptParts> sets;
  for (const Suspicion* suspicion : suspicions) {
    if (!Contains(suspicion->parts_, parts)) {
      continue;
    }
    evidence.last_crash_at_ =
        std::max(evidence.last_crash_at_, suspicion->crashed_at_);
    const bool is_new = std::none_of(counted.begin(), counted.end(),
                                     [&](const Suspicion* other) {
                                       return IsSameCrash(*other, *suspicion);
                                     });
    if (is_new) {
      counted.push_back(suspicion);
      sets.insert(suspicion->parts_);
      ++evidence.crashes_;
      evidence.weight_ += Weight(*suspicion);
    }
  }
  evidence.different_sets_ = sets.size();
  return evidence;
}

// Returns the suspicions of crashes in which no suspected request had parts for
// which `explains` holds.
template <class Explains>
Suspicions UnexplainedSuspicions(const Quarantine& quarantine,
                                 Explains explains) {
  Suspicions open;
  for (const Suspicion& suspicion : quarantine.suspicions_) {
    const bool is_explained =
        std::any_of(quarantine.suspicions_.begin(),
                    quarantine.suspicions_.end(), [&](const Suspicion& other) {
                      return IsSameCrash(other, suspicion) &&
                             explains(quarantine, other.parts_);
                    });
    if (!is_explained) {
      open.push_back(&suspicion);
    }
  }
  return open;
}

// Keeps the candidate with the most crashes and, of these, with the most parts.
void KeepBetter(std::optional<Candidate>& best, Candidate candidate) {
  const std::uint32_t crashes = candidate.evidence_.crashes_;
  if (!best.has_value() || crashes > best->evidence_.crashes_ ||
      (crashes == best->evidence_.crashes_ &&
       candidate.parts_.size() > best->parts_.size())) {
    best = std::move(candidate);
  }
}

// Returns the best of the candidates with more parts than `best` that explain
// at least `min_crashes`. Such a set is preferred: a part that every prompt
// shares is there in each crash.
std::optional<Candidate> FindLarger(const std::vector<Candidate>& candidates,
                                    const Candidate& best,
                                    std::uint32_t min_crashes) {
  std::optional<Candidate> larger;
  for (const Candidate& candidate : candidates) {
    if (candidate.parts_ != best.parts_ &&
        Contains(candidate.parts_, best.parts_) &&
        candidate.evidence_.crashes_ >= min_crashes) {
      KeepBetter(larger, candidate);
    }
  }
  return larger;
}

// Returns the whole set of parts that explains the most crashes, if they are
// enough. Returns nothing while a larger set that explains most of them may
// turn out to be the cause.
std::optional<Candidate> FindSameParts(const Quarantine& quarantine) {
  const Suspicions suspicions =
      UnexplainedSuspicions(quarantine, IsQuarantined);
  std::vector<Candidate> candidates;
  std::optional<Candidate> best;
  for (const Suspicion* suspicion : suspicions) {
    candidates.push_back(
        {suspicion->parts_, CollectEvidence(suspicions, suspicion->parts_)});
    if (candidates.back().evidence_.weight_ >= kMinCrashWeight) {
      KeepBetter(best, candidates.back());
    }
  }
  if (!best.has_value()) {
    return std::nullopt;
  }
  const std::uint32_t most = best->evidence_.crashes_ / 2 + 1;
  const std::optional<Candidate> larger = FindLarger(candidates, *best, most);
  if (!larger.has_value()) {
    return best;
  }
  return larger->evidence_.weight_ >= kMinCrashWeight ? larger : std::nullopt;
}

// Returns whether some but not all of the parts are quarantined.
bool IsPartlyQuarantined(const Quarantine& quarantine,
                         const PromptParts& parts) {
  return std::any_of(quarantine.sets_.begin(), quarantine.sets_.end(),
                     [&](const QuarantinedSet& set) {
                       return set.parts_ != parts &&
                              Contains(parts, set.parts_);
                     });
}

// Returns the sets that any two suspicions have in common.
std::set<PromptParts> CommonParts(const Quarantine& quarantine,
                                  const Suspicions& suspicions) {
  std::set<PromptParts> sets;
  for (std::size_t i = 0; i < suspicions.size(); ++i) {
    for (std::size_t j = i + 1; j < suspicions.size(); ++j) {
      PromptParts common =
          Intersect(suspicions[i]->parts_, suspicions[j]->parts_);
      if (!common.empty() && !IsQuarantined(quarantine, common)) {
        sets.insert(std::move(common));
      }
    }
  }
  return sets;
}

// Returns the parts that different sets have in common and that explain the
// most crashes, if they are enough.
std::optional<Candidate> FindCommonParts(const Quarantine& quarantine) {
  // Crashes that a whole set explains count too, since a request that is
  // continued ends two engines by itself.
  const Suspicions suspicions =
      UnexplainedSuspicions(quarantine, IsPartlyQuarantined);
  std::vector<Candidate> candidates;
  std::optional<Candidate> best;
  for (const PromptParts& parts : CommonParts(quarantine, suspicions)) {
    Candidate candidate{parts, CollectEvidence(suspicions, parts)};
    const Evidence& evidence = candidate.evidence_;
    if (evidence.weight_ >= kMinCommonCrashWeight &&
        evidence.different_sets_ >= kMinDifferentSets) {
      KeepBetter(best, candidate);
    }
    if (evidence.weight_ >= kMinCrashWeight) {
      candidates.push_back(std::move(candidate));
    }
  }
  if (!best.has_value()) {
    return std::nullopt;
  }
  const std::uint32_t half = (best->evidence_.crashes_ + 1) / 2;
  const std::optional<Candidate> larger = FindLarger(candidates, *best, half);
  return larger.has_value() ? larger : best;
}

}  // namespace

bool Contains(const PromptParts& parts, const PromptParts& subset) {
  return std::includes(parts.begin(), parts.end(), subset.begin(),
                       subset.end());
}

bool IsSameCrash(const Suspicion& a, const Suspicion& b) {
  if (a.server_ != b.server_ || a.incarnation_ != b.incarnation_) {
    return false;
  }
  return a.incarnation_ != 0 ||
         std::chrono::abs(a.crashed_at_ - b.crashed_at_) <= kSameCrashTime;
}

bool IsQuarantined(const Quarantine& quarantine, const PromptParts& parts) {
  return std::any_of(
      quarantine.sets_.begin(), quarantine.sets_.end(),
      [&](const QuarantinedSet& set) { return Contains(parts, set.parts_); });
}

std::optional<Candidate> FindCulprit(const Quarantine& quarantine) {
  std::optional<Candidate> culprit = FindSameParts(quarantine);
  return culprit.has_value() ? culprit : FindCommonParts(quarantine);
}

}  // namespace siskindrum::dispatch
