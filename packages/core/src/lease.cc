// Leases of decode slots. The home of a cell grants all of its slots; other
// entries request them from it.

#include <algorithm>

#include "router_p.h"
#include "siskindrum/core/limits.h"

namespace siskindrum::core {

namespace {

constexpr std::size_t kMaxCellTries = 4;

// Added to the expected wait of a cell whose home is a peer, and of a cell in
// another failure domain.
constexpr Nanoseconds kPeerLatency = Milliseconds(4);
constexpr Nanoseconds kCrossDomainLatency = Milliseconds(4);
// Tokens per second, for a cell whose digest reports no rate.
constexpr std::uint32_t kAssumedPrefillRate = 20000;

struct CellView {
  const Cell* cell_ = nullptr;
  bool home_live_ = false;
  Nanoseconds wait_{0};  // Expected, of a new request.
};

CellDigest* FindDigest(MemberRow& row, const std::string& cell) {
  for (CellDigest& digest : row.cells_) {
    if (digest.cell_ == cell) {
      return &digest;
    }
  }
  return nullptr;
}

CellDigest* FindDigest(Router& router, const Cell& cell) {
  const auto member = router.membership_.members_.find(cell.home_);
  return member == router.membership_.members_.end()
             ? nullptr
             : FindDigest(member->second.row_, cell.name_);
}

// Replaces the gossiped digest of a cell by a newer one from its home.
void UpdateDigest(Router& router, const CellDigest& digest) {
  const auto cell = router.fleet_.cells_.find(digest.cell_);
  if (cell == router.fleet_.cells_.end()) {
    return;
  }
  if (CellDigest* known = FindDigest(router, cell->second)) {
    *known = digest;
  }
}

CellView ViewCell(const EventContext& context, const Cell& cell) {
  Router& router = context.router_;
  CellView view;
  view.cell_ = &cell;
  if (cell.home_ == router.options_.name_) {
    view.home_live_ = true;
    view.wait_ = Milliseconds(DigestCell(context, cell).wait_ms_);
  } else {
    const auto member = router.membership_.members_.find(cell.home_);
    view.home_live_ =
        member != router.membership_.members_.end() &&
        IsLive(router.membership_, member->second, context.now_.steady_);
    const CellDigest* digest = FindDigest(router, cell);
    view.wait_ =
        kPeerLatency + Milliseconds(digest == nullptr ? 0 : digest->wait_ms_);
  }
  const bool far =
      !cell.domain_.empty() && cell.domain_ != router.options_.domain_;
  view.wait_ += far ? kCrossDomainLatency : Nanoseconds(0);
  return view;
}

bool IsBetter(const CellView& a, const CellView& b) {
  return a.home_live_ != b.home_live_ ? a.home_live_ : a.wait_ < b.wait_;
}

const Cell* ChooseCell(const EventContext& context, const Request& request) {
  const std::string& pool = request.pool_;
  CellView best;
  for (const auto& [name, cell] : context.router_.fleet_.cells_) {
    const bool tried =
        std::find(request.tried_cells_.begin(), request.tried_cells_.end(),
                  name) != request.tried_cells_.end();
    if (cell.service_ != pool || tried) {
      continue;
    }
    const CellView view = ViewCell(context, cell);
    if (best.cell_ == nullptr || IsBetter(view, best)) {
      best = view;
    }
  }
  return best.cell_;
}

LeaseRefusal Refusal(const Requirements& need,
                     Reason reason,
                     Nanoseconds wait) {
  return {need.request_, reason, Milliseconds(ToMilliseconds(wait)), {}, 0};
}

void SendRefusal(EventContext& context,
                 const Cell& cell,
                 const QueuedRequest& waiting,
                 LeaseRefusal refusal) {
  if (waiting.remote_) {
    refusal.digest_ = DigestCell(context, cell);
    SendToPeer(context, waiting.peer_, std::move(refusal));
    return;
  }
  OnLeaseRefusal(context, refusal);
}

void SendGrant(EventContext& context,
               const Cell& cell,
               const QueuedRequest& waiting,
               const Placement& placement) {
  Router& router = context.router_;
  if (waiting.remote_) {
    ++router.counters_.placed_remote_;
    SendToPeer(context, waiting.peer_,
               LeaseGrant{waiting.need_.request_, placement,
                          DigestCell(context, cell)});
    return;
  }
  Request* request = FindRequest(router, waiting.need_.request_);
  if (request == nullptr) {
    ReleaseSlot(router.fleet_, placement.decode_, waiting.need_.request_,
                context.now_.steady_);
    return;
  }
  ++router.counters_.placed_home_;
  OnGranted(context, *request, placement, "", placement.cell_);
}

// Queues a request at this home, or refuses it at once: a request that cannot
// meet its deadline is refused before any prefill.
void Admit(EventContext& context, const Cell& cell, QueuedRequest waiting) {
  Router& router = context.router_;
  const TimePoint now = context.now_.steady_;
  WaitQueue& queue = router.queues_[cell.name_];
  const Requirements& need = waiting.need_;
  const std::uint32_t max_pieces = MaxEnginePieces(router.fleet_, cell);
  if (need.pieces_ > max_pieces) {
    LeaseRefusal refusal = Refusal(need, Reason::kTooLarge, Nanoseconds(0));
    refusal.max_pieces_ = max_pieces;
    SendRefusal(context, cell, waiting, refusal);
    return;
  }
  const Nanoseconds wait =
      ExpectedWait(queue, need, FreeSlotsOfCell(router.fleet_, cell, now),
                   SlotReleaseRate(router.fleet_, cell, now));
  if (now + wait > need.deadline_) {
    SendRefusal(context, cell, waiting,
                Refusal(need, Reason::kOverloaded, wait));
    return;
  }
  waiting.since_ = now;
  const std::string name = cell.name_;
  const RequestId id = need.request_;
  const bool remote = waiting.remote_;
  const std::string peer = waiting.peer_;
  const QueuedRequest copy = waiting;
  if (!Enqueue(queue, std::move(waiting))) {
    SendRefusal(context, cell, copy,
                Refusal(copy.need_, Reason::kOverloaded, wait));
    return;
  }
  ServeQueue(context, name);
  const auto& left = router.queues_[name].waiting_;
  const bool still = std::any_of(left.begin(), left.end(), [&](const auto& w) {
    return w.need_.request_ == id;
  });
  if (remote && still) {
    SendToPeer(context, peer, LeaseQueued{id, DigestCell(context, cell)});
  }
}

void SendLeaseRequest(EventContext& context,
                      Request& request,
                      const Cell& cell) {
  Router& router = context.router_;
  const TimePoint now = context.now_.steady_;
  request.state_ = RequestState::kWaiting;
  request.requested_cell_ = cell.name_;
  request.requested_home_ = cell.home_;
  request.request_acknowledged_ = false;
  request.requested_at_ = now;
  router.timed_requests_.insert(request.id_);
  LeaseRequest message;
  message.cell_ = cell.name_;
  message.need_ = request.need_;
  message.time_left_ =
      std::chrono::floor<Milliseconds>(request.need_.deadline_ - now);
  // Add this request's prefill to the digest, which the home has not updated
  // yet.
  if (CellDigest* digest = FindDigest(router, cell)) {
    const std::uint32_t rate = digest->prefill_rate_ == 0
                                   ? kAssumedPrefillRate
                                   : digest->prefill_rate_;
    digest->wait_ms_ += static_cast<std::uint32_t>(
        std::uint64_t{request.need_.prompt_tokens_} * 1000 / rate);
  }
  SendToPeer(context, cell.home_, std::move(message));
}

// Last resort when no home is reachable: places the request from local data,
// regardless of how many slots the home has granted.
bool PlaceWithoutHome(EventContext& context, Request& request) {
  Router& router = context.router_;
  Requirements need = request.need_;
  need.without_home_ = true;
  for (const auto& [name, cell] : router.fleet_.cells_) {
    if (cell.service_ != request.pool_) {
      continue;
    }
    auto placement = Place(router.fleet_, name, need, context.now_.steady_);
    if (placement.has_value()) {
      ++router.counters_.placed_alone_;
      OnGranted(context, request, *placement, "", name);
      return true;
    }
  }
  return false;
}

void FailPlacement(EventContext& context,
                   Request& request,
                   const LeaseRefusal& refusal) {
  Verdict verdict;
  verdict.run_state_ = request.run_state_;
  verdict.reason_ = refusal.reason_;
  verdict.retry_after_ = refusal.retry_after_;
  const bool too_large = request.max_pieces_ > 0 && !request.may_fit_;
  if (too_large) {
    verdict.reason_ = Reason::kTooLarge;
    verdict.detail_ =
        "prompt and answer of " +
        std::to_string(request.shape_.prompt_tokens_ +
                       request.shape_.max_tokens_) +
        " tokens exceed the memory of pool " + request.pool_ + ", about " +
        std::to_string(request.max_pieces_ * kPieceTokens) + " tokens";
  } else {
    verdict.detail_ = "pool " + request.pool_ +
                      " cannot serve it within the target of line " +
                      std::to_string(request.rule_->line_);
  }
  FailRequest(context, request, std::move(verdict));
}

}  // namespace

CellDigest DigestCell(const EventContext& context, const Cell& cell) {
  const Router& router = context.router_;
  const TimePoint now = context.now_.steady_;
  const auto queue = router.queues_.find(cell.name_);
  const std::size_t waiting =
      queue == router.queues_.end() ? 0 : queue->second.waiting_.size();
  const int free = FreeSlotsOfCell(router.fleet_, cell, now);
  CellDigest digest;
  digest.cell_ = cell.name_;
  digest.free_slots_ = free;
  digest.waiting_ = static_cast<std::uint32_t>(waiting);
  digest.prefill_rate_ = PrefillRate(router.fleet_, cell, now);
  const double missing = static_cast<double>(waiting) + 1.0 - free;
  const double rate = SlotReleaseRate(router.fleet_, cell, now);
  const double slot_ms =
      missing <= 0 || rate <= 0 ? 0 : 1000.0 * missing / rate;
  const auto prefill_ms = ToMilliseconds(PrefillWait(router.fleet_, cell, now));
  digest.wait_ms_ = static_cast<std::uint32_t>(
      std::max(slot_ms, static_cast<double>(prefill_ms)));
  return digest;
}

void TryNextCell(EventContext& context, Request& request) {
  if (context.router_.options_.policy_ != Policy::kCellHome) {
    PlaceByBaseline(context, request);
    return;
  }
  const Cell* cell = request.tried_cells_.size() < kMaxCellTries
                         ? ChooseCell(context, request)
                         : nullptr;
  if (cell == nullptr) {
    const Reason reason =
        request.tried_cells_.empty() ? Reason::kNoServer : Reason::kOverloaded;
    FailPlacement(context, request,
                  Refusal(request.need_, reason, Nanoseconds(0)));
    return;
  }
  request.tried_cells_.push_back(cell->name_);
  if (cell->home_ == context.router_.options_.name_) {
    request.state_ = RequestState::kWaiting;
    request.requested_cell_ = cell->name_;
    request.requested_home_.clear();
    QueuedRequest waiting;
    waiting.need_ = request.need_;
    Admit(context, *cell, std::move(waiting));
    return;
  }
  SendLeaseRequest(context, request, *cell);
}

void ServeQueue(EventContext& context, const std::string& cell) {
  Router& router = context.router_;
  const TimePoint now = context.now_.steady_;
  while (true) {
    const auto found = router.queues_.find(cell);
    if (found == router.queues_.end()) {
      return;
    }
    WaitQueue& queue = found->second;
    const int next = NextWaiting(queue, now);
    if (next < 0) {
      return;
    }
    const Requirements& need =
        queue.waiting_[static_cast<std::size_t>(next)].need_;
    const auto placement = Place(router.fleet_, cell, need, now);
    if (placement.has_value()) {
      const QueuedRequest taken = Dequeue(queue, next);
      SendGrant(context, router.fleet_.cells_.at(cell), taken, *placement);
      continue;
    }
    const bool expired = now >= need.deadline_;
    const bool may_wait = placement.error() == PlacementError::kNoDecodeSlot ||
                          placement.error() == PlacementError::kNoLoadReport;
    if (may_wait && !expired) {
      return;
    }
    const QueuedRequest taken = Dequeue(queue, next);
    const Reason reason = placement.error() == PlacementError::kNoServer
                              ? Reason::kNoServer
                              : Reason::kDeadline;
    const auto home = router.fleet_.cells_.find(cell);
    SendRefusal(context,
                home == router.fleet_.cells_.end() ? Cell{} : home->second,
                taken, Refusal(taken.need_, reason, Nanoseconds(0)));
  }
}

void ServeAllQueues(EventContext& context) {
  std::vector<std::string> names;
  for (const auto& [name, queue] : context.router_.queues_) {
    if (!queue.waiting_.empty()) {
      names.push_back(name);
    }
  }
  for (const std::string& name : names) {
    ServeQueue(context, name);
  }
}

void RerouteWaiting(EventContext& context) {
  Router& router = context.router_;
  std::vector<QueuedRequest> moved;
  for (auto& [name, queue] : router.queues_) {
    const auto cell = router.fleet_.cells_.find(name);
    const bool own = cell != router.fleet_.cells_.end() &&
                     cell->second.home_ == router.options_.name_;
    if (!own) {
      std::move(queue.waiting_.begin(), queue.waiting_.end(),
                std::back_inserter(moved));
      queue = WaitQueue{};
    }
  }
  for (const QueuedRequest& waiting : moved) {
    Request* request = FindRequest(router, waiting.need_.request_);
    if (waiting.remote_) {
      SendToPeer(context, waiting.peer_,
                 Refusal(waiting.need_, Reason::kDraining, Nanoseconds(0)));
    } else if (request != nullptr) {
      request->tried_cells_.clear();
      TryNextCell(context, *request);
    }
  }
}

void ReleaseLease(EventContext& context, Request& request, bool server_failed) {
  Router& router = context.router_;
  const bool waiting = request.state_ == RequestState::kWaiting;
  const bool plain = request.rule_->outcome_.kind_ == BackendKind::kPlain;
  const std::string decode =
      waiting ? ""
              : (plain ? request.plain_server_ : request.placement_.decode_);
  const std::string home = waiting ? request.requested_home_ : request.home_;
  if (plain || home.empty()) {
    ReleaseSlot(router.fleet_, decode, request.id_, context.now_.steady_);
    if (waiting) {
      RemoveWaiting(router.queues_[request.requested_cell_], request.id_);
    }
    if (!plain) {
      ServeQueue(context, request.requested_cell_);
    }
    return;
  }
  SendToPeer(context, home,
             LeaseRelease{request.id_, request.requested_cell_, decode,
                          server_failed});
}

void CheckPendingLeases(EventContext& context) {
  Router& router = context.router_;
  const TimePoint now = context.now_.steady_;
  const std::vector<RequestId> timed(router.timed_requests_.begin(),
                                     router.timed_requests_.end());
  for (const RequestId& id : timed) {
    Request* request = FindRequest(router, id);
    if (request == nullptr) {
      router.timed_requests_.erase(id);
    } else if (request->state_ == RequestState::kPlacing) {
      if (now >= request->retry_at_) {
        TryNextCell(context, *request);
      }
    } else if (request->state_ != RequestState::kWaiting ||
               request->requested_home_.empty()) {
      if (request->state_ != RequestState::kForwarded) {
        router.timed_requests_.erase(id);
      }
    } else if (!request->request_acknowledged_ &&
               now - request->requested_at_ > kLeaseReplyTimeout) {
      OnLeaseSendFailed(context, LeaseRequest{"", request->need_, {}});
    } else if (now >= request->need_.deadline_) {
      ReleaseLease(context, *request, false);
      FailPlacement(context, *request,
                    Refusal(request->need_, Reason::kDeadline, Nanoseconds(0)));
    }
  }
}

void OnLeaseRequest(EventContext& context,
                    const std::string& from,
                    const LeaseRequest& message) {
  Router& router = context.router_;
  const auto cell = router.fleet_.cells_.find(message.cell_);
  const bool own = cell != router.fleet_.cells_.end() &&
                   cell->second.home_ == router.options_.name_;
  if (!own || router.draining_) {
    SendToPeer(context, from,
               Refusal(message.need_, Reason::kDraining, Nanoseconds(0)));
    return;
  }
  QueuedRequest waiting;
  waiting.need_ = message.need_;
  waiting.need_.deadline_ = context.now_.steady_ + message.time_left_;
  waiting.remote_ = true;
  waiting.peer_ = from;
  Admit(context, cell->second, std::move(waiting));
}

void OnLeaseQueued(EventContext& context, const LeaseQueued& message) {
  UpdateDigest(context.router_, message.digest_);
  if (Request* request = FindRequest(context.router_, message.request_)) {
    request->request_acknowledged_ = true;
  }
}

void OnLeaseGrant(EventContext& context,
                  const std::string& from,
                  const LeaseGrant& message) {
  Router& router = context.router_;
  UpdateDigest(router, message.digest_);
  Request* request = FindRequest(router, message.request_);
  const Placement& placement = message.placement_;
  const bool wanted = request != nullptr &&
                      request->state_ == RequestState::kWaiting &&
                      request->requested_home_ == from;
  const bool known = router.fleet_.servers_.contains(placement.decode_) &&
                     (placement.prefill_.empty() ||
                      router.fleet_.servers_.contains(placement.prefill_));
  if (!wanted || !known) {
    SendToPeer(context, from,
               LeaseRelease{message.request_, placement.cell_,
                            placement.decode_, false});
    if (wanted) {
      TryNextCell(context, *request);
    }
    return;
  }
  OnGranted(context, *request, placement, from, placement.cell_);
}

void OnLeaseRefusal(EventContext& context, const LeaseRefusal& message) {
  UpdateDigest(context.router_, message.digest_);
  Request* request = FindRequest(context.router_, message.request_);
  if (request == nullptr || request->state_ != RequestState::kWaiting) {
    return;
  }
  if (message.reason_ == Reason::kDraining &&
      context.now_.steady_ < request->need_.deadline_) {
    // The home is draining or has not taken over the cell yet. Retry shortly:
    // gossip brings the entries to agree on the homes.
    std::erase(request->tried_cells_, request->requested_cell_);
    request->state_ = RequestState::kPlacing;
    request->retry_at_ = context.now_.steady_ + kPlacementRetryDelay;
    context.router_.timed_requests_.insert(request->id_);
    return;
  }
  if (message.reason_ == Reason::kTooLarge) {
    request->max_pieces_ = std::max(request->max_pieces_, message.max_pieces_);
  } else {
    request->may_fit_ = true;
  }
  const bool can_try_next = request->tried_cells_.size() < kMaxCellTries &&
                            ChooseCell(context, *request) != nullptr &&
                            context.now_.steady_ < request->need_.deadline_;
  if (can_try_next) {
    TryNextCell(context, *request);
    return;
  }
  FailPlacement(context, *request, message);
}

void OnLeaseRelease(EventContext& context, const LeaseRelease& message) {
  Router& router = context.router_;
  const auto queue = router.queues_.find(message.cell_);
  if (queue != router.queues_.end()) {
    RemoveWaiting(queue->second, message.request_);
  }
  if (!message.decode_.empty()) {
    ReleaseSlot(router.fleet_, message.decode_, message.request_,
                context.now_.steady_);
  }
  if (message.server_failed_) {
    RecordServerFailure(router.fleet_, message.decode_, context.now_.steady_);
  }
  ServeQueue(context, message.cell_);
}

void OnLeaseSendFailed(EventContext& context, const LeaseRequest& message) {
  Request* request = FindRequest(context.router_, message.need_.request_);
  if (request == nullptr || request->state_ != RequestState::kWaiting ||
      request->requested_home_.empty()) {
    return;
  }
  // Withdraw the request. OnLeaseGrant releases a grant that still arrives.
  SendToPeer(context, request->requested_home_,
             LeaseRelease{request->id_, request->requested_cell_, "", false});
  request->requested_home_.clear();
  const Cell* other = request->tried_cells_.size() < kMaxCellTries
                          ? ChooseCell(context, *request)
                          : nullptr;
  if (other != nullptr) {
    TryNextCell(context, *request);
    return;
  }
  if (!PlaceWithoutHome(context, *request)) {
    FailPlacement(context, *request,
                  Refusal(request->need_, Reason::kNoServer, Nanoseconds(0)));
  }
}

}  // namespace siskindrum::core
