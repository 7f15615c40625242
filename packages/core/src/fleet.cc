#include "siskindrum/core/fleet.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "siskindrum/core/hash.h"
#include "siskindrum/core/limits.h"

namespace siskindrum::core {

namespace {

// Tokens per second, for a server that reports no rate.
constexpr std::uint32_t kAssumedPrefillRate = 20000;
// Time from the end of the prefill to the first token that Place allows for.
constexpr Nanoseconds kTransferAllowance = Milliseconds(40);
// Weight of the latest hold in the moving average of hold durations.
constexpr double kHoldSmoothing = 0.1;

bool HasRole(const Server& server, ServerRole role) {
  return server.info_.role_ == role || server.info_.role_ == ServerRole::kMixed;
}

// True when the server has the role and may take this request.
bool IsEligible(const Server& server,
                ServerRole role,
                const Requirements& need,
                TimePoint now) {
  const bool avoided = std::find(need.avoid_.begin(), need.avoid_.end(),
                                 server.info_.name_) != need.avoid_.end();
  return HasRole(server, role) && IsUsable(server, now) && !avoided &&
         (server.has_load_ || need.without_home_);
}

std::uint32_t SlotsOf(const Server& server) {
  return server.has_load_ && server.load_.slots_ != LoadReport::kUnknownSlots
             ? server.load_.slots_
             : kDefaultSlots;
}

std::uint32_t RateOf(const Server& server) {
  return server.load_.prefill_tokens_per_second_ != 0
             ? server.load_.prefill_tokens_per_second_
             : kAssumedPrefillRate;
}

std::uint32_t PiecesHeld(const Server& server) {
  std::uint32_t sum = 0;
  for (const auto& [id, hold] : server.holds_) {
    sum += hold.pieces_;
  }
  return sum;
}

bool HasPrefix(const Server& server, const Requirements& need, TimePoint now) {
  if (need.prefix_hash_ == 0) {
    return false;
  }
  const auto it = server.cached_prefixes_.find(need.prefix_hash_);
  return it != server.cached_prefixes_.end() &&
         now - it->second < kCachedPrefixRetention;
}

// Returns why no server of a role is eligible: none is usable, or a usable one
// has not reported its load yet.
PlacementError NoServerReason(const Fleet& fleet,
                              const Cell& cell,
                              ServerRole role,
                              TimePoint now) {
  for (const std::string& name : cell.servers_) {
    const Server& server = fleet.servers_.at(name);
    if (HasRole(server, role) && IsUsable(server, now) && !server.has_load_) {
      return PlacementError::kNoLoadReport;
    }
  }
  return PlacementError::kNoServer;
}

struct PrefillChoice {
  Server* server_ = nullptr;
  TimePoint done_{};
  TimePoint rank_{};  // Completion time with locality penalty; lowest wins.
};

bool IsLocal(const Server& server, const Requirements& need) {
  return server.info_.domain_ == need.owner_domain_;
}

PrefillChoice ChoosePrefill(Fleet& fleet,
                            const Cell& cell,
                            const Requirements& need,
                            TimePoint now,
                            std::vector<Candidate>& candidates) {
  PrefillChoice best;
  for (const std::string& name : cell.servers_) {
    Server& server = fleet.servers_.at(name);
    if (!IsEligible(server, ServerRole::kPrefill, need, now)) {
      continue;
    }
    const TimePoint start = std::max(now, server.prefill_free_at_);
    const TimePoint done = start + PrefillTime(server, need, now);
    candidates.push_back(
        {name, "prefill",
         "ready in " + std::to_string(ToMilliseconds(done - now)) + " ms" +
             (HasPrefix(server, need, now) ? ", prefix cached" : "")});
    const TimePoint rank =
        IsLocal(server, need) ? done : done + Nanoseconds(kLocalPrefillBonus);
    if (best.server_ == nullptr || rank < best.rank_) {
      best = {&server, done, rank};
    }
  }
  return best;
}

Server* ChooseDecode(Fleet& fleet,
                     const Cell& cell,
                     const Requirements& need,
                     TimePoint now,
                     std::vector<Candidate>& candidates) {
  Server* best = nullptr;
  double best_rank = 0;
  for (const std::string& name : cell.servers_) {
    Server& server = fleet.servers_.at(name);
    if (!IsEligible(server, ServerRole::kDecode, need, now)) {
      continue;
    }
    const bool memory =
        !server.has_load_ || server.load_.total_pieces_ == UINT32_MAX ||
        PiecesHeld(server) + need.pieces_ <= server.load_.total_pieces_;
    const int free = FreeSlots(server);
    candidates.push_back({name, "decode",
                          std::to_string(FreeSlots(server)) + " slots free" +
                              (memory ? "" : ", no memory")});
    const double rank = IsLocal(server, need) ? free + kLocalSlotBonus : free;
    if (memory && free >= 1 && (best == nullptr || rank > best_rank)) {
      best = &server;
      best_rank = rank;
    }
  }
  return best;
}

void RemoveUnlisted(Fleet& fleet, const std::set<std::string>& listed) {
  for (auto it = fleet.servers_.begin(); it != fleet.servers_.end();) {
    const bool gone = !listed.contains(it->first) && it->second.holds_.empty();
    it = gone ? fleet.servers_.erase(it) : std::next(it);
  }
}

// Groups the servers into cells. Leaving servers are included, so that a server
// that starts to leave does not move others between cells.
std::map<std::string, Cell> MakeCells(const Fleet& fleet) {
  std::map<std::string, std::vector<std::string>> services;
  for (const auto& [name, server] : fleet.servers_) {
    services[server.info_.service_].push_back(name);
  }
  // A small service is one cell, so that one home sees all its servers; a large
  // one is split by failure domain first.
  std::map<std::string, std::vector<std::string>> groups;
  for (const auto& [service, names] : services) {
    for (const std::string& name : names) {
      const std::string& domain = fleet.servers_.at(name).info_.domain_;
      std::string group = service;
      if (names.size() > kCellServers) {
        group.append("/").append(domain);
      }
      groups[group].push_back(name);
    }
  }
  std::map<std::string, Cell> cells;
  for (const auto& [group, names] : groups) {
    const std::size_t count = (names.size() + kCellServers - 1) / kCellServers;
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < count; ++i) {
      ids.push_back(group + "/" + std::to_string(i));
    }
    for (const std::string& name : names) {
      Cell& cell =
          cells[ids[static_cast<std::size_t>(RendezvousPick(name, ids))]];
      const ServerInfo& info = fleet.servers_.at(name).info_;
      cell.service_ = info.service_;
      cell.domain_ = cell.servers_.empty() || cell.domain_ == info.domain_
                         ? info.domain_
                         : "";
      cell.servers_.push_back(name);
    }
  }
  for (auto& [name, cell] : cells) {
    cell.name_ = name;
  }
  return cells;
}

}  // namespace

const char* ToString(ServerRole role) {
  static constexpr const char* kNames[] = {"prefill", "decode", "mixed",
                                           "plain"};
  return kNames[static_cast<int>(role)];
}

std::uint32_t MaxEnginePieces(const Fleet& fleet, const Cell& cell) {
  std::uint32_t max_pieces = 0;
  bool any = false;
  for (const std::string& name : cell.servers_) {
    const Server& server = fleet.servers_.at(name);
    const bool decodes = server.info_.role_ == ServerRole::kDecode ||
                         server.info_.role_ == ServerRole::kMixed;
    if (decodes) {
      any = true;
      max_pieces =
          std::max(max_pieces,
                   server.has_load_ ? server.load_.total_pieces_ : UINT32_MAX);
    }
  }
  return any ? max_pieces : UINT32_MAX;
}

std::uint32_t PiecesFor(std::uint32_t tokens) {
  return std::max(1U, (tokens + kPieceTokens - 1) / kPieceTokens);
}

bool UpdateServers(Fleet& fleet, const std::vector<ServerInfo>& list) {
  if (list.empty() && !fleet.servers_.empty()) {
    return false;
  }
  std::set<std::string> listed;
  for (const ServerInfo& info : list) {
    listed.insert(info.name_);
    Server& server = fleet.servers_[info.name_];
    if (server.info_.address_ != info.address_) {
      server = Server{};
    }
    // A drain reported by the server or by a peer is newer than the list.
    const bool was_leaving = server.info_.leaving_ && server.load_.draining_;
    server.info_ = info;
    server.info_.leaving_ = info.leaving_ || was_leaving;
  }
  for (auto& [name, server] : fleet.servers_) {
    if (!listed.contains(name)) {
      server.info_.leaving_ = true;
    }
  }
  RemoveUnlisted(fleet, listed);
  return true;
}

std::size_t AssignHomes(Fleet& fleet,
                        const std::map<std::string, std::string>& live) {
  std::map<std::string, std::vector<std::string>> by_domain;
  std::vector<std::string> everywhere;
  for (const auto& [name, domain] : live) {
    by_domain[domain].push_back(name);
    everywhere.push_back(name);
  }
  std::size_t moved = 0;
  std::map<std::string, Cell> cells = MakeCells(fleet);
  for (auto& [name, cell] : cells) {
    const auto local = by_domain.find(cell.domain_);
    const std::vector<std::string>& candidates =
        local == by_domain.end() ? everywhere : local->second;
    const int pick = RendezvousPick(name, candidates);
    cell.home_ = pick < 0 ? "" : candidates[static_cast<std::size_t>(pick)];
    const auto old = fleet.cells_.find(name);
    if (old == fleet.cells_.end() || old->second.home_ != cell.home_) {
      ++moved;
    }
  }
  fleet.cells_ = std::move(cells);
  return moved;
}

void ApplyLoadReport(Fleet& fleet,
                     const std::string& name,
                     const LoadReport& report,
                     TimePoint now) {
  Server& server = fleet.servers_.at(name);
  server.load_ = report;
  server.has_load_ = true;
  server.load_at_ = now;
  server.info_.leaving_ = server.info_.leaving_ || report.draining_;
  std::erase_if(server.recently_released_, [&](const auto& row) {
    return now - row.second > kReleasedHoldRetention;
  });
  std::uint32_t external = 0;
  std::set<RequestId> held;
  for (const HeldRequest& row : report.held_) {
    held.insert(row.request_);
    const bool known = server.holds_.contains(row.request_) ||
                       server.recently_released_.contains(row.request_);
    external += known ? 0 : 1;
  }
  server.external_requests_ = std::min(external, report.running_);
  for (auto it = server.holds_.begin(); it != server.holds_.end();) {
    Hold& hold = it->second;
    const bool absent =
        now - hold.since_ > kHoldCheckAge && !held.contains(it->first);
    hold.missed_polls_ = absent ? hold.missed_polls_ + 1 : 0;
    it = hold.missed_polls_ >= kMaxMissedPolls ? server.holds_.erase(it)
                                               : std::next(it);
  }
}

int FreeSlots(const Server& server) {
  return static_cast<int>(SlotsOf(server)) -
         static_cast<int>(server.holds_.size() + server.external_requests_);
}

bool IsUsable(const Server& server, TimePoint now) {
  return !server.info_.leaving_ && now >= server.suspended_until_;
}

Nanoseconds PrefillTime(const Server& server,
                        const Requirements& need,
                        TimePoint now) {
  std::uint32_t tokens = need.prompt_tokens_;
  if (HasPrefix(server, need, now)) {
    tokens -= std::min(tokens, need.prefix_tokens_);
  }
  const double seconds = static_cast<double>(tokens) / RateOf(server);
  return std::chrono::duration_cast<Nanoseconds>(
      std::chrono::duration<double>(seconds));
}

tl::expected<Placement, PlacementError> Place(Fleet& fleet,
                                              const std::string& cell_name,
                                              const Requirements& need,
                                              TimePoint now) {
  const auto found = fleet.cells_.find(cell_name);
  if (found == fleet.cells_.end()) {
    return tl::unexpected(PlacementError::kNoServer);
  }
  const Cell& cell = found->second;
  Placement placement;
  placement.cell_ = cell_name;
  PrefillChoice prefill;
  TimePoint ready = now;
  if (!need.decode_only_) {
    prefill = ChoosePrefill(fleet, cell, need, now, placement.candidates_);
    if (prefill.server_ == nullptr) {
      return tl::unexpected(
          NoServerReason(fleet, cell, ServerRole::kPrefill, now));
    }
    ready = prefill.done_;
  }
  if (ready + kTransferAllowance > need.deadline_ && !need.decode_only_) {
    return tl::unexpected(PlacementError::kTooLate);
  }
  Server* decode = ChooseDecode(fleet, cell, need, now, placement.candidates_);
  if (decode == nullptr) {
    return tl::unexpected(PlacementError::kNoDecodeSlot);
  }
  if (prefill.server_ != nullptr) {
    prefill.server_->prefill_free_at_ = prefill.done_;
    placement.prefill_ = prefill.server_->info_.name_;
  }
  decode->holds_[need.request_] =
      Hold{need.pieces_, now, need.request_.incarnation_, need.owner_name_, 0};
  placement.decode_ = decode->info_.name_;
  return placement;
}

void ReleaseSlot(Fleet& fleet,
                 const std::string& name,
                 const RequestId& request,
                 TimePoint now) {
  const auto it = fleet.servers_.find(name);
  if (it == fleet.servers_.end()) {
    return;
  }
  Server& server = it->second;
  const auto hold = server.holds_.find(request);
  if (hold == server.holds_.end()) {
    return;
  }
  const double seconds =
      std::chrono::duration<double>(now - hold->second.since_).count();
  server.mean_hold_seconds_ +=
      kHoldSmoothing * (std::max(seconds, 0.05) - server.mean_hold_seconds_);
  server.holds_.erase(hold);
  server.recently_released_[request] = now;
}

void RecordServerFailure(Fleet& fleet, const std::string& name, TimePoint now) {
  const auto it = fleet.servers_.find(name);
  if (it == fleet.servers_.end()) {
    return;
  }
  Server& server = it->second;
  const std::uint32_t doublings = std::min(server.failures_, 4U);
  const Milliseconds pause =
      std::min(kMaxSuspension, kInitialSuspension * (1U << doublings));
  ++server.failures_;
  server.suspended_until_ = now + pause;
}

void RecordServerSuccess(Fleet& fleet, const std::string& name) {
  const auto it = fleet.servers_.find(name);
  if (it != fleet.servers_.end()) {
    it->second.failures_ = 0;
    it->second.suspended_until_ = TimePoint{};
  }
}

void RecordCachedPrefix(Fleet& fleet,
                        const std::string& name,
                        std::uint64_t prefix_hash,
                        TimePoint now) {
  const auto it = fleet.servers_.find(name);
  if (it == fleet.servers_.end() || prefix_hash == 0) {
    return;
  }
  auto& prefixes = it->second.cached_prefixes_;
  if (prefixes.size() >= kMaxCachedPrefixesPerServer) {
    std::erase_if(prefixes, [&](const auto& prefix) {
      return now - prefix.second >= kCachedPrefixRetention / 2;
    });
  }
  if (prefixes.size() < kMaxCachedPrefixesPerServer) {
    prefixes[prefix_hash] = now;
  }
}

int FreeSlotsOfCell(const Fleet& fleet, const Cell& cell, TimePoint now) {
  int free = 0;
  for (const std::string& name : cell.servers_) {
    const Server& server = fleet.servers_.at(name);
    if (HasRole(server, ServerRole::kDecode) && IsUsable(server, now)) {
      free += std::max(0, FreeSlots(server));
    }
  }
  return free;
}

Nanoseconds PrefillWait(const Fleet& fleet, const Cell& cell, TimePoint now) {
  constexpr Nanoseconds kNoServerWait = std::chrono::minutes(1);
  Nanoseconds least = kNoServerWait;
  for (const std::string& name : cell.servers_) {
    const Server& server = fleet.servers_.at(name);
    if (HasRole(server, ServerRole::kPrefill) && IsUsable(server, now)) {
      const Nanoseconds wait = server.prefill_free_at_ - now;
      least = std::min(least, std::max(wait, Nanoseconds(0)));
    }
  }
  return least;
}

std::uint32_t PrefillRate(const Fleet& fleet, const Cell& cell, TimePoint now) {
  std::uint32_t rate = 0;
  for (const std::string& name : cell.servers_) {
    const Server& server = fleet.servers_.at(name);
    if (HasRole(server, ServerRole::kPrefill) && IsUsable(server, now)) {
      rate += RateOf(server);
    }
  }
  return rate;
}

double SlotReleaseRate(const Fleet& fleet, const Cell& cell, TimePoint now) {
  double rate = 0;
  for (const std::string& name : cell.servers_) {
    const Server& server = fleet.servers_.at(name);
    if (HasRole(server, ServerRole::kDecode) && IsUsable(server, now)) {
      rate += static_cast<double>(SlotsOf(server)) / server.mean_hold_seconds_;
    }
  }
  return rate;
}

}  // namespace siskindrum::core
