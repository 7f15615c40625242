#include "siskindrum/origin/origin.h"

#include <algorithm>

#include "siskindrum/core/hash.h"

namespace siskindrum::origin {

namespace {

void ForgetOldest(Origins& origins) {
  const auto [recorded_at, stream] = origins.order_.front();
  origins.order_.pop_front();
  const auto found = origins.streams_.find(stream);
  // A later record of the same stream stands further back.
  if (found != origins.streams_.end() &&
      found->second.recorded_at_ == recorded_at) {
    origins.streams_.erase(found);
  }
}

}  // namespace

StreamKey KeyOf(std::string_view label) {
  return static_cast<StreamKey>(core::Hash64(label));
}

void RecordStream(Origins& origins,
                  StreamKey stream,
                  const std::string& version,
                  TimePoint now) {
  origins.streams_[stream] = {version, now};
  origins.order_.emplace_back(now, stream);
  while (origins.order_.size() > kMaxStreams) {
    ForgetOldest(origins);
  }
}

std::optional<std::string> FindVersion(const Origins& origins,
                                       StreamKey stream,
                                       TimePoint now) {
  const auto found = origins.streams_.find(stream);
  if (found == origins.streams_.end() ||
      now - found->second.recorded_at_ >= origins.lifetime_) {
    return std::nullopt;
  }
  return found->second.version_;
}

void RecordVersions(Origins& origins,
                    const std::map<std::string, std::set<std::string>>& listed,
                    TimePoint now) {
  for (auto& [pool, versions] : origins.pools_) {
    const auto found = listed.find(pool);
    for (const std::string& version : versions.listed_) {
      if (found == listed.end() || !found->second.contains(version)) {
        versions.left_at_[version] = now;
      }
    }
    versions.listed_.clear();
  }
  for (const auto& [pool, versions] : listed) {
    PoolVersions& known = origins.pools_[pool];
    known.listed_ = versions;
    for (const std::string& version : versions) {
      known.left_at_.erase(version);
    }
  }
}

std::optional<std::string> OnlyVersion(const Origins& origins,
                                       const std::string& pool,
                                       TimePoint now) {
  const auto found = origins.pools_.find(pool);
  const bool knows_all = origins.complete_since_ == TimePoint{} ||
                         now - origins.complete_since_ >= origins.lifetime_;
  if (!knows_all || found == origins.pools_.end() ||
      found->second.listed_.size() != 1) {
    return std::nullopt;
  }
  const PoolVersions& versions = found->second;
  const bool others = std::any_of(
      versions.left_at_.begin(), versions.left_at_.end(),
      [&](const auto& left) { return now - left.second < origins.lifetime_; });
  return others ? std::nullopt : std::optional(*versions.listed_.begin());
}

std::optional<std::string> CommonVersion(
    const std::vector<std::string>& versions) {
  const bool common =
      !versions.empty() &&
      std::all_of(versions.begin(), versions.end(),
                  [&](const std::string& v) { return v == versions.front(); });
  return common ? std::optional(versions.front()) : std::nullopt;
}

void RemoveExpired(Origins& origins, TimePoint now) {
  while (!origins.order_.empty() &&
         now - origins.order_.front().first >= origins.lifetime_) {
    ForgetOldest(origins);
  }
  for (auto& [pool, versions] : origins.pools_) {
    std::erase_if(versions.left_at_, [&](const auto& left) {
      return now - left.second >= origins.lifetime_;
    });
  }
}

}  // namespace siskindrum::origin
