#include "dispatcher_p.h"

namespace siskindrum::dispatch {

namespace {

// Logs new, changed and removed servers. Requires: `changes` are not yet
// applied to the pool.
void LogChanges(Step& step,
                const ListChanges& changes,
                const std::string& source) {
  const std::string version = core::ToString(changes.version_);
  for (const core::ServerInfo& info : changes.seen_) {
    const ServerState* known = FindServer(step.dispatcher_.pool_, info.name_);
    if (known != nullptr && known->info_ == info &&
        known->listing_ != Listing::kUnlisted) {
      continue;
    }
    step.actions_.emplace_back(
        core::LogEvent{"server_listed",
                       {{"server", info.name_},
                        {"address", info.address_},
                        {"pool", info.service_},
                        {"role", core::ToString(info.role_)},
                        {"domain", info.domain_},
                        {"software", info.software_version_},
                        {"leaving", info.leaving_ ? "yes" : "no"},
                        {"version", version},
                        {"source", source}}});
  }
  for (const std::string& name : changes.removed_) {
    step.actions_.emplace_back(core::LogEvent{
        "server_vanished",
        {{"server", name}, {"version", version}, {"source", source}}});
  }
}

// A server that leaves does not come back before it starts again. A list that
// says so is of an older copy of the store.
void KeepLeaving(ServerPool& pool, ListChanges& changes) {
  for (core::ServerInfo& info : changes.seen_) {
    const ServerState* known = FindServer(pool, info.name_);
    if (known != nullptr && known->info_.leaving_ && info.incarnation_ != 0 &&
        info.incarnation_ <= known->info_.incarnation_) {
      info = known->info_;
    }
  }
}

}  // namespace

void OnListChanges(Step& step,
                   const ListChanges& changes,
                   const std::string& source) {
  Dispatcher& dispatcher = step.dispatcher_;
  // A list that the store reads out anew says nothing of what came and left
  // before.
  if (changes.is_snapshot_ && dispatcher.list_read_ && source == kStoreSource) {
    dispatcher.streams_.origins_.complete_since_ = step.now_;
  }
  const bool older = changes.version_ != core::StorePosition{} &&
                     changes.version_ < dispatcher.list_version_;
  if (older) {
    step.actions_.emplace_back(
        core::LogEvent{"list_not_taken",
                       {{"version", core::ToString(changes.version_)},
                        {"known", core::ToString(dispatcher.list_version_)},
                        {"source", source}}});
    // A peer told of a later list; the store, of what led there.
    if (source == kStoreSource) {
      RecordListedVersions(step, changes);
    }
    return;
  }
  dispatcher.list_version_ =
      std::max(dispatcher.list_version_, changes.version_);
  if (!changes.is_snapshot_ && changes.seen_.empty() &&
      changes.removed_.empty()) {
    return;
  }
  ListChanges kept = changes;
  KeepLeaving(dispatcher.pool_, kept);
  LogChanges(step, kept, source);
  ApplyListChanges(dispatcher.pool_, kept, step.now_);
  dispatcher.list_read_ = true;
  dispatcher.list_changed_at_ = step.now_;
  RecordListedVersions(step, kept);
  UpdateReady(step);
}

}  // namespace siskindrum::dispatch
