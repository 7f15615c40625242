// Implementation of SimulatedCluster, used by the tests in this directory.

#include "simulated_cluster.h"

#include <cstdio>

#include "siskindrum/core/limits.h"
#include "siskindrum/rules/rules.h"

namespace siskindrum::core {

namespace {
constexpr Milliseconds kTickInterval{10};
constexpr Milliseconds kReportInterval{200};
constexpr std::size_t kNoNode = SIZE_MAX;
}  // namespace

SimulatedCluster::SimulatedCluster() {
  now_.steady_ = TimePoint{} + std::chrono::hours(1);
  now_.wall_ = WallTime(std::chrono::seconds(1'700'000'000));
}

void SimulatedCluster::AddEntry(const std::string& name,
                                const std::string& domain) {
  Node node;
  node.name_ = name;
  node.domain_ = domain;
  node.address_ = name + ":1";
  nodes_.push_back(std::move(node));
  entries_.push_back({name, name + ":1", domain, false});
}

void SimulatedCluster::AddServer(const std::string& name,
                                 const std::string& service,
                                 const std::string& domain,
                                 ServerRole role) {
  servers_.push_back({name, name + ":2", service, domain, role, false});
}

void SimulatedCluster::StartAll(const std::string& rules) {
  rules_text_ = rules;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    StartEntry(i);
  }
  RunFor(Milliseconds(4000));
  in_flight_.clear();
  log_.clear();
  actions_.clear();
}

void SimulatedCluster::StartEntry(std::size_t index) {
  Node& node = nodes_[index];
  RouterOptions options;
  options.name_ = node.name_;
  options.domain_ = node.domain_;
  options.peer_address_ = node.address_;
  options.incarnation_ = next_incarnation_++;
  options.seed_ = 7;
  owners_[options.incarnation_] = node.name_;
  node.router_ = MakeRouter(options, now_);
  node.alive_ = true;
  node.paused_ = false;
  node.drained_ = false;
  node.highest_revision_ = 0;
  node.lowest_revision_ = UINT64_MAX;
  Inject(index, InstanceListArrived{list_version_, servers_, entries_});
  Publish(index, revision_, rules_text_);
}

void SimulatedCluster::Publish(std::size_t index,
                               std::uint64_t revision,
                               const std::string& rules) {
  auto made = rules::MakeConfiguration(revision, rules);
  if (made.has_value()) {
    Inject(index, ConfigurationArrived{*made, "service"});
  } else {
    Inject(index, ConfigurationRefused{revision, made.error(), "service"});
  }
}

void SimulatedCluster::Inject(std::size_t index, const Event& event) {
  Node& node = nodes_[index];
  if (!node.alive_ || node.paused_) {
    return;
  }
  std::vector<RouterAction> actions;
  HandleEvent(node.router_, event, now_, actions);
  for (const RouterAction& action : actions) {
    HandleAction(index, action);
  }
  const auto& current = node.router_.configuration_.current_;
  if (current != nullptr) {
    node.highest_revision_ =
        std::max(node.highest_revision_, current->revision_);
    node.lowest_revision_ = std::min(node.lowest_revision_, current->revision_);
  }
}

void SimulatedCluster::HandleAction(std::size_t index,
                                    const RouterAction& action) {
  actions_.push_back(action);
  InFlight flight;
  flight.entry_ = index;
  flight.incarnation_ = nodes_[index].router_.options_.incarnation_;
  if (const auto* peer = std::get_if<SendPeerMessage>(&action)) {
    flight.kind_ = InFlight::Kind::kPeer;
    flight.peer_ = *peer;
    flight.sent_ = true;
  } else if (const auto* plain = std::get_if<SendPlain>(&action)) {
    flight.kind_ = InFlight::Kind::kPlain;
    flight.plain_ = *plain;
  } else if (const auto* prefill = std::get_if<StartPrefill>(&action)) {
    flight.kind_ = InFlight::Kind::kPrefill;
    flight.prefill_ = *prefill;
  } else if (const auto* decode = std::get_if<StartDecode>(&action)) {
    flight.kind_ = InFlight::Kind::kDecode;
    flight.decode_ = *decode;
  } else if (const auto* cancel = std::get_if<CancelOnServer>(&action)) {
    flight.kind_ = InFlight::Kind::kCancel;
    flight.cancel_ = *cancel;
  } else {
    if (const auto* fail = std::get_if<AnswerError>(&action)) {
      CallerResult& result = results_[fail->request_];
      ++result.answers_;
      result.verdict_ = fail->verdict_;
    } else if (const auto* answer = std::get_if<AnswerPlain>(&action)) {
      CallerResult& result = results_[answer->request_];
      ++result.answers_;
      result.has_answer_ = true;
      result.repeated_ = answer->repeated_;
      result.plain_ = answer->answer_;
    } else if (const auto* accepted = std::get_if<RequestAccepted>(&action)) {
      results_[accepted->request_].rule_line_ = accepted->rule_line_;
    } else if (const auto* log = std::get_if<LogEvent>(&action)) {
      log_.push_back(*log);
    } else if (std::holds_alternative<Drained>(action)) {
      nodes_[index].drained_ = true;
      nodes_[index].open_at_drain_ = nodes_[index].router_.requests_.size();
    }
    return;
  }
  in_flight_.push_back(std::move(flight));
}

RequestId SimulatedCluster::SendRequest(std::size_t index,
                                        RequestShape shape,
                                        const std::string& body) {
  Node& node = nodes_[index];
  RequestArrived arrived;
  arrived.request_ = NextRequestId(node.router_);
  shape.domain_ = node.domain_;
  arrived.body_ = body;
  arrived.shape_ = std::move(shape);
  CallerResult& result = results_[arrived.request_];
  result.entry_ = index;
  result.key_ = arrived.shape_.idempotency_key_;
  Inject(index, arrived);
  return arrived.request_;
}

RequestId SimulatedCluster::SendBooking(std::size_t index,
                                        const std::string& key) {
  RequestShape shape;
  shape.service_ = "desk";
  shape.path_ = "/desk/bookings";
  shape.idempotency_key_ = key;
  return SendRequest(index, std::move(shape), "booking");
}

void SimulatedCluster::AdvanceTime(Milliseconds time) {
  now_.steady_ += time;
  now_.wall_ += time;
}

void SimulatedCluster::Tick() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    Inject(i, core::Tick{});
  }
}

std::size_t SimulatedCluster::FindNode(
    const std::string& name_or_address) const {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].name_ == name_or_address ||
        nodes_[i].address_ == name_or_address) {
      return i;
    }
  }
  return kNoNode;
}

void SimulatedCluster::Reply(std::size_t index,
                             Incarnation incarnation,
                             const Event& event,
                             InFlight::Kind kind) {
  InFlight flight;
  flight.kind_ = kind;
  flight.entry_ = index;
  flight.incarnation_ = incarnation;
  flight.sent_ = true;
  flight.reply_ = event;
  in_flight_.push_back(std::move(flight));
}

void SimulatedCluster::DeliverPeer(InFlight flight) {
  const std::size_t to = FindNode(flight.peer_.address_);
  const Node& sender = nodes_[flight.entry_];
  const bool partitioned =
      to != kNoNode && (partitioned_.contains(sender.name_) ||
                        partitioned_.contains(nodes_[to].name_));
  if (to != kNoNode && nodes_[to].paused_ && !partitioned) {
    in_flight_.push_back(std::move(flight));  // Waits in the socket buffer.
    return;
  }
  if (to == kNoNode || partitioned || !nodes_[to].alive_) {
    PeerSendFailed failed;
    failed.peer_ = flight.peer_.peer_;
    failed.body_ = flight.peer_.body_;
    failed.verdict_.reason_ = Reason::kConnectFailed;
    Reply(flight.entry_, flight.incarnation_, failed,
          InFlight::Kind::kPlainReply);
    return;
  }
  if (const auto* body = std::get_if<ConfigurationBody>(&flight.peer_.body_)) {
    auto made = rules::MakeConfiguration(body->revision_, body->text_);
    Inject(to, ConfigurationArrived{*made, sender.name_});
    return;
  }
  Inject(to, PeerMessageArrived{
                 {sender.name_, flight.incarnation_, flight.peer_.body_}});
}

void SimulatedCluster::DeliverPlain(const InFlight& flight) {
  const SendPlain& plain = flight.plain_;
  PlainEnded ended;
  ended.request_ = plain.request_;
  ended.attempt_ = plain.attempt_;
  // As in production, the age of the decision is checked right before sending.
  if (plain.once_ && now_.steady_ - plain.decided_at_ > kMaxSendAge) {
    ended.result_ = tl::unexpected(
        Verdict{RunState::kNotRun, Reason::kSendTooOld, "", Milliseconds(0)});
  } else {
    const std::string& key = plain.shape_.idempotency_key_;
    const int run = ++runs_by_request_[plain.request_];
    if (!key.empty()) {
      ++runs_by_key_[key];
    }
    ended.result_ = PlainAnswer{
        200, "text/plain",
        "run " + std::to_string(run) + " of " + ToString(plain.request_)};
  }
  Reply(flight.entry_, flight.incarnation_, ended, InFlight::Kind::kPlainReply);
}

bool SimulatedCluster::DeliverOne(std::size_t at) {
  if (at >= in_flight_.size()) {
    return false;
  }
  InFlight flight = in_flight_[at];
  in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(at));
  const Node& node = nodes_[flight.entry_];
  const bool sender_alive =
      node.alive_ && node.router_.options_.incarnation_ == flight.incarnation_;
  if (sender_alive && node.paused_ && flight.kind_ != InFlight::Kind::kPeer) {
    in_flight_.push_back(std::move(flight));  // The process is paused.
    return false;
  }
  switch (flight.kind_) {
    case InFlight::Kind::kPeer:
      DeliverPeer(std::move(flight));
      break;
    case InFlight::Kind::kPlain:
      DeliverPlain(flight);
      break;
    case InFlight::Kind::kPrefill: {
      ++runs_by_request_[flight.prefill_.request_];
      held_[flight.prefill_.server_].insert(flight.prefill_.request_);
      PrefillEnded ended;
      ended.request_ = flight.prefill_.request_;
      ended.attempt_ = flight.prefill_.attempt_;
      ended.ok_ = true;
      ended.handle_ = "h";
      ended.hold_ = kPrefillHold;
      Reply(flight.entry_, flight.incarnation_, ended,
            InFlight::Kind::kPrefillReply);
      break;
    }
    case InFlight::Kind::kDecode: {
      ++runs_by_request_[flight.decode_.request_];
      held_[flight.decode_.prefill_server_].erase(flight.decode_.request_);
      held_[flight.decode_.server_].insert(flight.decode_.request_);
      DecodeEnded ended;
      ended.request_ = flight.decode_.request_;
      ended.attempt_ = flight.decode_.attempt_;
      ended.ok_ = true;
      ended.imported_ = true;
      ended.delivered_ = 10;
      Reply(flight.entry_, flight.incarnation_, ended,
            InFlight::Kind::kDecodeReply);
      break;
    }
    case InFlight::Kind::kCancel:
      held_[flight.cancel_.server_].erase(flight.cancel_.request_);
      if (sender_alive) {
        Inject(flight.entry_, CancelEnded{flight.cancel_.request_,
                                          flight.cancel_.server_, true});
      }
      break;
    default:
      if (const auto* ended = std::get_if<DecodeEnded>(&flight.reply_);
          ended != nullptr && ended->ok_) {
        for (auto& [engine, requests] : held_) {
          requests.erase(ended->request_);
        }
        if (sender_alive) {
          ++results_[ended->request_].answers_;
          results_[ended->request_].has_answer_ = true;
        }
      }
      if (sender_alive) {
        Inject(flight.entry_, flight.reply_);
      }
  }
  return true;
}

void SimulatedCluster::Drop(std::size_t at, RunState verdict) {
  if (at >= in_flight_.size()) {
    return;
  }
  const InFlight flight = in_flight_[at];
  const bool not_run = verdict == RunState::kNotRun;
  const Verdict lost{verdict,
                     not_run ? Reason::kConnectFailed : Reason::kConnectionLost,
                     "", Milliseconds(0)};
  Event event;
  if (flight.kind_ == InFlight::Kind::kPlain) {
    event = PlainEnded{flight.plain_.request_, flight.plain_.attempt_,
                       tl::unexpected(lost)};
  } else if (flight.kind_ == InFlight::Kind::kPrefill) {
    PrefillEnded ended;
    ended.request_ = flight.prefill_.request_;
    ended.attempt_ = flight.prefill_.attempt_;
    ended.verdict_ = lost;
    event = ended;
  } else if (flight.kind_ == InFlight::Kind::kDecode) {
    DecodeEnded ended;
    ended.request_ = flight.decode_.request_;
    ended.attempt_ = flight.decode_.attempt_;
    ended.verdict_ = lost;
    event = ended;
  } else if (flight.kind_ == InFlight::Kind::kCancel) {
    event = CancelEnded{flight.cancel_.request_, flight.cancel_.server_, false};
  } else if (flight.kind_ != InFlight::Kind::kPeer) {
    return;
  }
  in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(at));
  if (flight.kind_ != InFlight::Kind::kPeer) {
    Reply(flight.entry_, flight.incarnation_, event,
          InFlight::Kind::kPlainReply);
  }
}

void SimulatedCluster::ReportLoads() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    for (const ServerInfo& info : servers_) {
      if (info.role_ == ServerRole::kPlain) {
        continue;
      }
      LoadReport report;
      report.slots_ = kDefaultSlots;
      report.total_pieces_ = total_pieces_;
      report.running_ = static_cast<std::uint32_t>(held_[info.name_].size());
      for (const RequestId& id : held_[info.name_]) {
        report.held_.push_back({id, owners_[id.incarnation_], Milliseconds(0)});
      }
      Inject(i, LoadReportArrived{info.name_, report});
    }
  }
}

void SimulatedCluster::RunFor(Milliseconds time) {
  const TimePoint end = now_.steady_ + time;
  TimePoint next_report = now_.steady_;
  while (now_.steady_ < end) {
    if (load_reports_enabled_ && now_.steady_ >= next_report) {
      ReportLoads();
      next_report = now_.steady_ + kReportInterval;
    }
    for (std::size_t left = in_flight_.size(); left > 0; --left) {
      DeliverOne(0);
    }
    Tick();
    AdvanceTime(kTickInterval);
  }
}

void SimulatedCluster::Kill(std::size_t index) {
  nodes_[index].alive_ = false;
}

void SimulatedCluster::Replace(std::size_t index) {
  StartEntry(index);
}

void SimulatedCluster::Pause(std::size_t index) {
  nodes_[index].paused_ = true;
}

void SimulatedCluster::Resume(std::size_t index) {
  nodes_[index].paused_ = false;
}

std::string SimulatedCluster::MakeKey(std::uint64_t number) const {
  const auto ms =
      static_cast<unsigned long long>(now_.wall_.time_since_epoch().count());
  char buffer[64];
  std::snprintf(buffer, sizeof(buffer), "%08llx-%04llx-7000-8000-%012llx",
                ms >> 16, ms & 0xFFFFULL,
                static_cast<unsigned long long>(number));
  return buffer;
}

bool SimulatedCluster::HasLog(const std::string& event) const {
  for (const LogEvent& line : log_) {
    if (line.event_ == event) {
      return true;
    }
  }
  return false;
}

}  // namespace siskindrum::core
