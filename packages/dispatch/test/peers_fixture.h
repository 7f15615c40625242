#ifndef SISKINDRUM_DISPATCH_TEST_PEERS_FIXTURE_H_
#define SISKINDRUM_DISPATCH_TEST_PEERS_FIXTURE_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "dispatcher_fixture.h"

namespace siskindrum::dispatch {

// Two connected entries. The first receives data from the store; the second
// starts with one live seed and one unreachable one.
struct PeersFixture {
  struct Entry {
    Dispatcher dispatcher_;
    std::vector<Action> actions_;
    std::size_t list_requests_ = 0;
  };

  PeersFixture() {
    Add("entry-1", "east:1", 1);
    Add("entry-2", "east:2", 2);
  }
  void Add(const std::string& name,
           const std::string& address,
           core::Incarnation incarnation) {
    DispatcherOptions options = DispatcherFixture::Options(name);
    options.peers_address_ = address;
    options.incarnation_ = incarnation;
    options.seeds_ = {"east:1", "east:9"};
    entries_[address].dispatcher_ = MakeDispatcher(options);
  }

  void Handle(const std::string& address, const Event& event) {
    std::vector<Action> actions;
    HandleEvent(entries_.at(address).dispatcher_, event, now_, actions);
    for (const Action& action : actions) {
      const auto* sent = std::get_if<SendPeerMessage>(&action);
      if (sent == nullptr) {
        continue;
      }
      const bool asks =
          std::holds_alternative<core::ListRequest>(sent->message_.body_);
      entries_.at(address).list_requests_ += asks ? 1 : 0;
      if (!partitioned_ && !cut_off_.contains(address) &&
          !cut_off_.contains(sent->address_) &&
          entries_.contains(sent->address_)) {
        in_flight_.push_back({sent->address_, sent->message_});
      }
    }
    after_event_(address);
  }
  // Delivers one message in flight. Parses rules as the gateway would.
  void DeliverOne(std::size_t index) {
    const SendPeerMessage next = in_flight_.at(index);
    in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(index));
    const auto* body =
        std::get_if<core::ConfigurationBody>(&next.message_.body_);
    if (body != nullptr) {
      Handle(next.address_, ConfigurationRead{*rules::MakeConfiguration(
                                                  body->revision_, body->text_),
                                              next.message_.from_});
    } else {
      Handle(next.address_, PeerMessageReceived{next.message_});
    }
  }
  // Delivers all messages in flight, and the answers to them.
  void Deliver() {
    while (!in_flight_.empty()) {
      DeliverOne(0);
    }
  }
  void Tick() {
    now_ += Milliseconds(20);
    for (auto& [address, entry] : entries_) {
      Handle(address, Ticked{});
    }
  }
  void Pass(Milliseconds time) {
    const TimePoint until = now_ + time;
    while (now_ < until) {
      Tick();
      Deliver();
    }
  }
  void Configure(const std::string& address, std::uint64_t revision) {
    Handle(address, ConfigurationRead{*rules::MakeConfiguration(
                                          revision, DispatcherFixture::kRules),
                                      "store"});
  }
  void List(const std::string& address,
            const std::vector<core::ServerInfo>& servers,
            std::uint64_t version,
            std::uint64_t era = 0) {
    Handle(address, ListSeen{{servers, {}, true, {era, version}}});
  }
  Dispatcher& At(const std::string& address) {
    return entries_.at(address).dispatcher_;
  }
  // Gives the first entry version 5 of the rules and the server list.
  void Feed() {
    Configure("east:1", 5);
    List("east:1",
         {DispatcherFixture::Engine("d1", core::ServerRole::kDecode),
          DispatcherFixture::Plain("s1")},
         5);
  }

  TimePoint now_{std::chrono::hours(1)};
  std::map<std::string, Entry> entries_;
  std::vector<SendPeerMessage> in_flight_;
  bool partitioned_ = false;
  std::set<std::string> cut_off_;  // Entries that no message leaves or reaches.
  // Called with the address of each entry that has handled an event.
  std::function<void(const std::string&)> after_event_ =
      [](const std::string&) {};
};

}  // namespace siskindrum::dispatch

#endif  // SISKINDRUM_DISPATCH_TEST_PEERS_FIXTURE_H_
