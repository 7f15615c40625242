#include "siskindrum/http/backend_pool.h"

#include <map>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "backend_connection_p.h"

namespace siskindrum::http {

namespace {

using ConnectionPtr = std::shared_ptr<BackendConnection>;

}  // namespace

const char* ToString(CallFailure failure) {
  switch (failure) {
    case CallFailure::kNone:
      return "none";
    case CallFailure::kConnectFailed:
      return "connect_failed";
    case CallFailure::kConnectTimeout:
      return "connect_timeout";
    case CallFailure::kConnectionLost:
      return "connection_lost";
    case CallFailure::kMalformed:
      return "malformed_answer";
    case CallFailure::kExpired:
      return "decision_too_old";
    case CallFailure::kTimeout:
      return "timeout";
    case CallFailure::kTooLarge:
      return "answer_too_large";
    case CallFailure::kCount:
      break;
  }
  return "unknown";
}

CallHandle::CallHandle(std::weak_ptr<BackendConnection> connection,
                       std::uint64_t call)
    : connection_(std::move(connection)), call_(call) {}

void CallHandle::Cancel() {
  if (const auto connection = connection_.lock()) {
    connection->Cancel(call_);
  }
  connection_.reset();
}

void CallHandle::Pause() {
  if (const auto connection = connection_.lock()) {
    connection->Pause(call_);
  }
}

void CallHandle::Resume() {
  if (const auto connection = connection_.lock()) {
    connection->Resume(call_);
  }
}

struct BackendPool::State {
  explicit State(boost::asio::io_context& context) : context_(context) {}

  boost::asio::io_context& context_;
  ConnectionOwner owner_;
  PoolCounters counters_;
  std::unordered_map<BackendConnection*, ConnectionPtr> all_;
  // Idle connections by address, the most recently used at the back.
  std::map<std::string, std::vector<ConnectionPtr>> idle_;

  void OnClosed(BackendConnection& connection) {
    const auto found = idle_.find(connection.Address());
    if (found != idle_.end()) {
      std::erase_if(found->second, [&connection](const ConnectionPtr& one) {
        return one.get() == &connection;
      });
      if (found->second.empty()) {
        idle_.erase(found);
      }
    }
    all_.erase(&connection);
  }

  // Sends the call over an idle connection that is still open. Returns that
  // connection, or null when there is none.
  ConnectionPtr TakeIdle(BackendCall& call) {
    while (true) {
      const auto found = idle_.find(call.address_);
      if (found == idle_.end()) {
        return nullptr;
      }
      ConnectionPtr connection = found->second.back();
      found->second.pop_back();
      if (found->second.empty()) {
        idle_.erase(found);
      }
      if (connection->Reuse(call)) {
        return connection;
      }
    }
  }
};

BackendPool::BackendPool(boost::asio::io_context& context,
                         memory::Budget* budget)
    : state_(std::make_unique<State>(context)) {
  State* state = state_.get();
  state->owner_.counters_ = &state->counters_;
  state->owner_.budget_ = budget;
  state->owner_.on_idle_ = [state](const ConnectionPtr& connection) {
    state->idle_[connection->Address()].push_back(connection);
  };
  state->owner_.on_closed_ = [state](BackendConnection& connection) {
    state->OnClosed(connection);
  };
}

BackendPool::~BackendPool() {
  const auto all = state_->all_;
  for (const auto& [key, connection] : all) {
    connection->CloseSilently();
  }
}

CallHandle BackendPool::Send(BackendCall call) {
  State& state = *state_;
  if (!call.use_new_connection_) {
    if (ConnectionPtr idle = state.TakeIdle(call)) {
      ++state.counters_.reused_;
      return {idle, idle->CallNumber()};
    }
  }
  ++state.counters_.opened_;
  const std::string address = call.address_;
  auto connection = std::make_shared<BackendConnection>(state.context_, address,
                                                        state.owner_);
  state.all_[connection.get()] = connection;
  connection->Connect(std::move(call));
  return {connection, connection->CallNumber()};
}

void BackendPool::Sweep(core::TimePoint now) {
  std::vector<ConnectionPtr> expired;
  for (const auto& [address, connections] : state_->idle_) {
    for (const ConnectionPtr& connection : connections) {
      if (connection->IdleUntil() < now) {
        expired.push_back(connection);
      }
    }
  }
  for (const ConnectionPtr& connection : expired) {
    connection->CloseIdle();
  }
  std::vector<ConnectionPtr> all;
  for (const auto& [key, connection] : state_->all_) {
    all.push_back(connection);
  }
  for (const ConnectionPtr& connection : all) {
    connection->Sweep(now);
  }
}

const PoolCounters& BackendPool::Counters() const {
  return state_->counters_;
}

}  // namespace siskindrum::http
