#ifndef SISKINDRUM_DISPATCH_TEST_FLEET_H_
#define SISKINDRUM_DISPATCH_TEST_FLEET_H_

#include <map>
#include <string>
#include <vector>

#include "dispatcher_fixture.h"

namespace siskindrum::dispatch {

// Simulates entries of several failure domains on virtual time. Messages
// between them are delivered at the next tick.
struct Fleet {
  struct Entry {
    Dispatcher dispatcher_;
    std::string domain_;
    std::vector<Action> actions_;  // Except messages to peers.
  };

  static constexpr Milliseconds kTick{20};

  // Starts the entries, spread evenly over the domains. The first three are the
  // seeds of all entries.
  void Start(std::size_t entries, std::size_t domains, bool restarted = false) {
    entries_.clear();
    in_flight_.clear();
    for (std::size_t i = 0; i < entries; ++i) {
      Add(i, "domain-" + std::to_string(i % domains), restarted);
    }
  }
  void Add(std::size_t number, const std::string& domain, bool restarted) {
    DispatcherOptions options =
        DispatcherFixture::Options("entry-" + std::to_string(number));
    options.domain_ = domain;
    options.seed_ = number + 1;
    options.incarnation_ = ++incarnations_;
    options.peers_address_ = AddressOf(number);
    options.seeds_ = {AddressOf(0), AddressOf(1), AddressOf(2)};
    options.restarted_ = restarted;
    options.repeats_ = repeats_;
    options.quota_bounds_ = quota_bounds_;
    Entry& entry = entries_[options.peers_address_];
    entry.dispatcher_ = MakeDispatcher(options);
    entry.domain_ = domain;
  }
  static std::string AddressOf(std::size_t number) {
    return "peer:" + std::to_string(number);
  }

  void Handle(const std::string& address, const Event& event) {
    std::vector<Action> actions;
    Entry& entry = entries_.at(address);
    HandleEvent(entry.dispatcher_, event, now_, actions);
    for (Action& action : actions) {
      if (auto* sent = std::get_if<SendPeerMessage>(&action)) {
        ++messages_;
        in_flight_.push_back(std::move(*sent));
      } else {
        entry.actions_.push_back(std::move(action));
      }
    }
  }
  void HandleAll(const Event& event) {
    for (auto& [address, entry] : entries_) {
      Handle(address, event);
    }
  }
  void Deliver() {
    std::vector<SendPeerMessage> arriving;
    arriving.swap(in_flight_);
    for (SendPeerMessage& sent : arriving) {
      if (entries_.contains(sent.address_)) {
        Handle(sent.address_, PeerMessageReceived{std::move(sent.message_)});
      }
    }
  }
  void Pass(Milliseconds time) {
    const TimePoint until = now_ + time;
    while (now_ < until) {
      now_ += kTick;
      Deliver();
      HandleAll(Ticked{});
    }
  }
  // Delivers the same rules and server list from the store to all entries.
  void Feed(const std::vector<core::ServerInfo>& servers) {
    HandleAll(ConfigurationRead{
        *rules::MakeConfiguration(1, DispatcherFixture::kRules), "store"});
    HandleAll(ListSeen{{servers, {}, true, {0, 1}}});
  }

  TimePoint now_{std::chrono::hours(1)};
  RepeatLimits repeats_{};
  core::QuotaBounds quota_bounds_{};
  std::map<std::string, Entry> entries_;
  std::vector<SendPeerMessage> in_flight_;
  std::size_t messages_ = 0;
  core::Incarnation incarnations_ = 0;
};

}  // namespace siskindrum::dispatch

#endif  // SISKINDRUM_DISPATCH_TEST_FLEET_H_
