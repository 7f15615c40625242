// Positions and lists of entries whose store comes back from older copies,
// under random orders of its answers, of messages, cuts and restarts.

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "peers_fixture.h"
#include "siskindrum/core/limits.h"

namespace siskindrum::dispatch {
namespace {

// Time in which entries that hear each other have what one of them has: gossip
// has told of it, and it was asked for.
constexpr Milliseconds kSettleTime{6000};
// Cuts in which entries go on counting each other as heard, and the time
// between two of them.
constexpr Milliseconds kBriefCut{800};
constexpr Milliseconds kBetweenBriefCuts{2400};

// Cuts in a history: of one entry at a time and brief, or of any entries for
// any time.
enum class Cuts { kBrief, kAny, kCount };

// What a server or the operators wrote at a revision.
struct Item {
  core::ServerInfo server_;
  bool removed_ = false;
  std::uint64_t configuration_ = 0;  // Version; zero: an item of a server.
  std::uint64_t revision_ = 0;
};

// The platform's store: the last item of each key.
struct Store {
  std::map<std::string, Item> items_;
  core::StorePosition position_;
};

// An answer of the store: a listing, or the changes since the reader's
// position.
struct Answer {
  std::vector<Item> items_;
  bool is_listing_ = false;
  core::StorePosition position_;
};

// What one process has read of the store, one call at a time.
struct Reader {
  std::optional<core::StorePosition> position_;
  std::optional<Answer> in_flight_;
  // What each server last said: a copy has older words.
  std::map<std::string, core::ServerInfo> words_;
};

// Names and starts of servers.
using ServerStarts = std::map<std::string, core::Incarnation>;

// What an entry had when it was checked last in the life of its process.
struct Checked {
  core::StorePosition list_;
  std::uint64_t configuration_ = 0;
  ServerStarts drained_;  // The latest start that it knew to leave.
};

std::uint64_t VersionInForce(const Dispatcher& dispatcher) {
  const auto& current = dispatcher.configuration_.current_;
  return current == nullptr ? 0 : current->revision_;
}

// Returns the servers that get new work.
ServerStarts ListedServers(const Dispatcher& dispatcher) {
  ServerStarts listed;
  for (const auto& [name, server] : dispatcher.pool_.servers_) {
    if (server.listing_ == Listing::kListed) {
      listed[name] = server.info_.incarnation_;
    }
  }
  return listed;
}

// Returns whether the same was written, at whatever revisions.
bool IsSame(const Item& a, const Item& b) {
  return a.configuration_ == b.configuration_ && a.removed_ == b.removed_ &&
         a.server_.incarnation_ == b.server_.incarnation_ &&
         a.server_.leaving_ == b.server_.leaving_;
}

struct ListErasFixture : PeersFixture {
  static constexpr const char* kAddresses[] = {"east:1", "east:2", "east:3",
                                               "east:4"};
  static constexpr const char* kServers[] = {"s1", "s2", "s3", "s4"};
  static constexpr char kConfigurationKey[] = "configuration";

  ListErasFixture(unsigned seed, Cuts cuts) : cuts_(cuts), random_(seed) {
    after_event_ = [this](const std::string& address) { CheckEntry(address); };
    for (const char* address : kAddresses) {
      Restart(address);
    }
    store_.position_ = {Pick(2), 0};
    Publish();
    for (const char* name : kServers) {
      ChangeServer(name);
    }
  }

  std::uint64_t Pick(std::uint64_t count) { return random_() % count; }
  std::string AnyAddress() { return kAddresses[Pick(std::size(kAddresses))]; }

  void CheckEntry(const std::string& address) {
    const Dispatcher& dispatcher = At(address);
    Checked& last = checked_[address];
    BOOST_TEST((dispatcher.list_version_ >= last.list_));
    BOOST_TEST(VersionInForce(dispatcher) >= last.configuration_);
    last.list_ = dispatcher.list_version_;
    last.configuration_ = VersionInForce(dispatcher);
    if (dispatcher.list_read_) {
      CheckServers(dispatcher);
    }
    if (checks_drained_) {
      CheckDrained(dispatcher, last.drained_);
    }
  }
  // The servers are those of the store at the list's position, but for newer
  // words that the entry knows.
  void CheckServers(const Dispatcher& dispatcher) {
    const auto& stored = contents_.at(dispatcher.list_version_);
    const ServerStarts listed = ListedServers(dispatcher);
    for (const auto& [name, start] : listed) {
      const auto found = stored.find(name);
      BOOST_TEST(
          (found != stored.end() &&
           (start > found->second.incarnation_ ||
            (start == found->second.incarnation_ && !found->second.leaving_))));
    }
    for (const auto& [name, said] : stored) {
      BOOST_TEST((listed.contains(name) || said.leaving_ ||
                  left_[name] >= said.incarnation_));
    }
  }
  // A server that is known to leave gets no new work until it starts again. One
  // that did, and was removed then, may come back as it was (store.md, Limits).
  static void CheckDrained(const Dispatcher& dispatcher,
                           ServerStarts& drained) {
    std::erase_if(drained, [&](const auto& server) {
      return !dispatcher.pool_.servers_.contains(server.first);
    });
    for (const auto& [name, server] : dispatcher.pool_.servers_) {
      const core::Incarnation start = server.info_.incarnation_;
      const bool is_known = drained.contains(name) && start <= drained[name];
      BOOST_TEST((server.listing_ != Listing::kListed || !is_known));
      if (server.listing_ == Listing::kDraining) {
        drained[name] = std::max(drained[name], start);
      } else if (!is_known) {
        drained.erase(name);
      }
    }
  }
  void Restart(const std::string& address) {
    checked_[address] = {};
    readers_[address] = {};
    Add("entry-" + address.substr(address.size() - 1), address,
        ++incarnations_);
  }

  // Keeps the state before the write as a copy.
  void Write(const std::string& key, Item item) {
    copies_.push_back(store_);
    item.revision_ = ++store_.position_.revision_;
    store_.items_[key] = item;
    RecordContent();
  }
  void RecordContent() {
    auto& content = contents_[store_.position_];
    for (const auto& [key, item] : store_.items_) {
      if (item.configuration_ == 0 && !item.removed_) {
        content[key] = item.server_;
      }
    }
  }
  void Publish() {
    Item& newest = written_[kConfigurationKey];
    ++newest.configuration_;
    Write(kConfigurationKey, newest);
  }
  // The server joins, drains or is removed.
  void ChangeServer(const std::string& name) {
    Item& newest = written_[name];
    if (newest.server_.name_.empty() || newest.removed_) {
      newest.server_ = DispatcherFixture::Plain(name);
      newest.server_.incarnation_ = ++server_starts_;
      newest.removed_ = false;
    } else if (Pick(2) == 0 && !newest.server_.leaving_) {
      newest.server_.leaving_ = true;
      left_[name] = newest.server_.incarnation_;
    } else {
      newest.removed_ = true;
    }
    Write(name, newest);
  }
  void RestoreStore() {
    const std::uint64_t era = store_.position_.era_ + 1;
    const std::size_t copy =
        copies_.size() - 1 - Pick(std::min<std::size_t>(copies_.size(), 8));
    store_ = copies_.at(copy);
    copies_.resize(copy);
    copies_.push_back(store_);
    store_.position_.era_ = era;
    RecordContent();
  }
  // Writes again one thing that was lost, if there is any.
  bool WriteAgain() {
    for (const auto& [key, newest] : written_) {
      const auto stored = store_.items_.find(key);
      if (stored == store_.items_.end() || !IsSame(stored->second, newest)) {
        Write(key, newest);
        return true;
      }
    }
    return false;
  }

  // The store answers the entry's next call; the answer arrives later.
  void Call(const std::string& address) {
    Reader& reader = readers_.at(address);
    if (reader.in_flight_.has_value()) {
      return;
    }
    Answer answer;
    answer.is_listing_ = !reader.position_.has_value() ||
                         reader.position_->era_ != store_.position_.era_;
    answer.position_ = store_.position_;
    for (const auto& [key, item] : store_.items_) {
      const bool is_new =
          answer.is_listing_ || item.revision_ > reader.position_->revision_;
      if (is_new && !(answer.is_listing_ && item.removed_)) {
        answer.items_.push_back(item);
      }
    }
    reader.in_flight_ = std::move(answer);
  }
  void ReadAnswer(const std::string& address) {
    Reader& reader = readers_.at(address);
    if (!reader.in_flight_.has_value()) {
      return;
    }
    const Answer answer = *std::exchange(reader.in_flight_, std::nullopt);
    reader.position_ = answer.position_;
    ListChanges changes;
    changes.is_snapshot_ = answer.is_listing_;
    changes.version_ = answer.position_;
    for (const Item& item : answer.items_) {
      if (item.configuration_ != 0) {
        Configure(address, item.configuration_);
      } else if (item.removed_) {
        changes.removed_.push_back(item.server_.name_);
      } else {
        changes.seen_.push_back(NewestWord(reader, item.server_));
      }
    }
    Handle(address, ListSeen{changes});
  }
  static core::ServerInfo NewestWord(Reader& reader,
                                     const core::ServerInfo& said) {
    core::ServerInfo& known = reader.words_[said.name_];
    const bool is_older =
        said.incarnation_ < known.incarnation_ ||
        (said.incarnation_ == known.incarnation_ && known.leaving_);
    if (!is_older) {
      known = said;
    }
    return known;
  }

  void DeliverOrLoseAny() {
    if (in_flight_.empty()) {
      return;
    }
    const std::size_t index = Pick(in_flight_.size());
    if (Pick(10) == 0) {
      in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(index));
    } else {
      DeliverOne(index);
    }
  }
  void Wait() {
    for (std::uint64_t ticks = Pick(40); ticks > 0; --ticks) {
      Tick();
      if (cuts_ == Cuts::kBrief && now_ >= heal_at_) {
        cut_off_.clear();
      }
      for (std::uint64_t messages = Pick(4); messages > 0; --messages) {
        DeliverOrLoseAny();
      }
    }
  }
  void CutOffAny() {
    if (cuts_ == Cuts::kAny) {
      cut_off_.insert(AnyAddress());
    } else if (now_ >= heal_at_ + kBetweenBriefCuts) {
      cut_off_.insert(AnyAddress());
      heal_at_ = now_ + kBriefCut;
    }
  }
  void RunRandomStep() {
    const std::uint64_t action = Pick(100);
    if (action < 30) {
      Call(AnyAddress());
    } else if (action < 55) {
      ReadAnswer(AnyAddress());
    } else if (action < 70) {
      Wait();
    } else if (action < 78) {
      ChangeServer(kServers[Pick(std::size(kServers))]);
    } else if (action < 82) {
      Publish();
    } else if (action < 89) {
      WriteAgain();
    } else if (action < 92) {
      RestoreStore();
    } else if (action < 94) {
      Restart(AnyAddress());
    } else if (action < 97) {
      CutOffAny();
    } else {
      cut_off_.erase(AnyAddress());
    }
  }

  // All are connected, nothing is lost any more, and one reads the store.
  void Settle(const std::string& reading) {
    cut_off_.clear();
    while (WriteAgain()) {
    }
    Publish();
    ChangeServer(kServers[0]);
    ReadAnswer(reading);
    Call(reading);
    ReadAnswer(reading);
    Pass(kSettleTime);
  }
  ServerStarts WrittenServers() const {
    ServerStarts written;
    for (const auto& [key, item] : written_) {
      if (item.configuration_ == 0 && !item.removed_ &&
          !item.server_.leaving_) {
        written[key] = item.server_.incarnation_;
      }
    }
    return written;
  }
  std::size_t ListRequests() const {
    std::size_t requests = 0;
    for (const auto& [address, entry] : entries_) {
      requests += entry.list_requests_;
    }
    return requests;
  }
  void CheckSettled() {
    for (const char* address : kAddresses) {
      BOOST_TEST_CONTEXT(address) {
        const Dispatcher& dispatcher = At(address);
        BOOST_TEST((dispatcher.list_version_ == store_.position_));
        BOOST_TEST((ListedServers(dispatcher) == WrittenServers()));
        BOOST_TEST(VersionInForce(dispatcher) ==
                   written_.at(kConfigurationKey).configuration_);
      }
    }
    const std::size_t requests = ListRequests();
    Pass(Milliseconds(3000));
    BOOST_TEST(ListRequests() == requests);
  }

  Cuts cuts_;
  bool checks_drained_ = false;  // Set before the first step.
  TimePoint heal_at_{};          // End of the last brief cut.
  std::mt19937 random_;
  Store store_;
  std::vector<Store> copies_;            // States before each write.
  std::map<std::string, Item> written_;  // The newest by key, lost or not.
  std::map<std::string, Reader> readers_;
  std::map<std::string, Checked> checked_;
  // What the store listed at each position that it had.
  std::map<core::StorePosition, std::map<std::string, core::ServerInfo>>
      contents_;
  ServerStarts left_;  // The latest start of each that said that it leaves.
  core::Incarnation incarnations_ = 0;
  core::Incarnation server_starts_ = 0;
};

void RunHistories(Cuts cuts, bool checks_drained = false) {
  constexpr unsigned kSeeds = 100;
  constexpr int kSteps = 150;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    ListErasFixture history(seed, cuts);
    history.checks_drained_ = checks_drained;
    BOOST_TEST_CONTEXT("seed " << seed) {
      for (int i = 0; i < kSteps; ++i) {
        history.RunRandomStep();
      }
      history.Settle(history.AnyAddress());
      history.CheckSettled();
    }
  }
}

BOOST_AUTO_TEST_SUITE(ListEras)

BOOST_AUTO_TEST_CASE(Entries_InHistoriesWithBriefCuts_HaveTheNewestListSoon) {
  RunHistories(Cuts::kBrief);
}

BOOST_AUTO_TEST_CASE(Entries_InHistoriesWithAnyCuts_HaveTheNewestListInTheEnd) {
  RunHistories(Cuts::kAny);
}

BOOST_AUTO_TEST_CASE(Server_InAnyHistoryOnceItIsKnownToLeave_GetsNothingNew) {
  RunHistories(Cuts::kAny, true);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::dispatch
