#define BOOST_TEST_MODULE peer
#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <thread>

#include "siskindrum/peer/codec.h"
#include "siskindrum/peer/node.h"

namespace siskindrum::peer {
namespace {

using namespace core;  // NOLINT: the messages live there.

constexpr std::chrono::seconds kBound{20};

bool Await(const std::function<bool()>& holds) {
  const auto end = std::chrono::steady_clock::now() + kBound;
  while (!holds() && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return holds();
}

int PortOf(int offset) {
  return 31000 + (getpid() % 300) * 5 + offset;
}

std::vector<PeerBody> OneOfEach() {
  MemberRow row;
  row.name_ = "a";
  row.address_ = "127.0.0.1:1";
  row.incarnation_ = UINT64_MAX;
  row.cells_ = {{"svc/0", -3, 4, 5, 6}};
  row.leaving_servers_ = {"s"};
  row.role_changing_servers_ = {"t"};
  row.domain_entries_ = 7;
  row.list_version_ = {3, 9};
  Requirements need;
  need.request_ = {1, 2};
  need.organisation_ = "o";
  need.avoid_ = {"x"};
  RequestShape shape;
  shape.path_ = std::string("/p\xff\x00", 4);  // Any bytes.
  Placement placement{"c", "p", "d", {{"d", "decode", "n"}}};
  return {
      Gossip{{row}},
      ConfigurationRequest{3},
      ConfigurationBody{4, "rules \xfe"},
      ListRequest{{3, 5}},
      ListBody{
          {3, 6},
          {{"s", "a:1", "svc", "dom", ServerRole::kPlain, true, 0, 8, "v1"}},
          {{"e", "a:2", "dom", false}}},
      LeaseRequest{"c", need, Milliseconds(70)},
      LeaseQueued{{1, 2}, {"c", 1, 2, 3, 4}},
      LeaseGrant{{1, 2}, placement, {"c", 1, 2, 3, 4}},
      LeaseRefusal{{1, 2}, Reason::kDeadline, Milliseconds(9), {}},
      LeaseRelease{{1, 2}, "c", "d", true},
      OwnerQuery{"s", {{1, 2}}},
      OwnerAnswer{"s", {{1, 2}}},
      CallForward{{1, 2}, shape, "text/plain", "body"},
      CallAnswer{{1, 2},
                 RunState::kRan,
                 Reason::kNone,
                 true,
                 true,
                 false,
                 true,
                 {200, "t", "b"},
                 "s"},
      SeatHandover{"seat",
                   {WallTime(Milliseconds(1)), WallTime(Milliseconds(2))},
                   {{"k", CallState::kAnswered, {200, "t", "b"}, true}}},
      SeatHandoverRequest{"seat"},
      EngineUseReport{8, {{"d1", 9000}, {"d2", 400}}},
      QuarantineReport{{{"d1", 9, Milliseconds(40), true, {1, UINT64_MAX}}},
                       {{3, Milliseconds(50)}},
                       {{{4, 5}, 2, Milliseconds(60)}}},
      QuotaAsk{9, Milliseconds(6000), {{UINT64_MAX, 500000, 6, 7, 8}}},
      QuotaLoan{9, 7, {{3, 40000, Milliseconds(5900), 1'000'000'000}}, true},
      QuotaReturn{9, {{3, 250}}},
      VoteRequest{VoteRound::kVote, "a:1"},
      VoteReply{VoteRound::kVote, Vote::kKnowsLowerSeed, "a:2", {"a:1"}},
      StreamReport{"v1", {7, UINT32_MAX}},
      StreamQuery{7},
      StreamReply{7, true, "v1"}};
}

BOOST_AUTO_TEST_SUITE(Peer)

BOOST_AUTO_TEST_CASE(Encode_OfEveryKind_IsReadBackTheSame) {
  const auto bodies = OneOfEach();
  BOOST_TEST(bodies.size() == std::variant_size_v<PeerBody>);
  for (const PeerBody& body : bodies) {
    const std::string bytes = Encode({"me", 7, body});
    const auto read = Decode(bytes);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->from_ == "me");
    BOOST_TEST(read->body_.index() == body.index());
    BOOST_TEST(Encode(*read) == bytes);
  }
}

BOOST_AUTO_TEST_CASE(Decode_WhenCutOrChanged_RefusesWithoutHarm) {
  for (const PeerBody& body : OneOfEach()) {
    const std::string bytes = Encode({"me", 7, body});
    for (std::size_t i = 0; i < bytes.size(); ++i) {
      BOOST_TEST(!Decode(bytes.substr(0, i)).has_value());
      std::string changed = bytes;
      changed[i] = static_cast<char>(changed[i] ^ 0x55);
      (void)Decode(changed);
    }
  }
}

BOOST_AUTO_TEST_CASE(Decode_WhenNestedDeeply_Refuses) {
  BOOST_TEST(!Decode(std::string(1 << 20, '\x81')).has_value());
  BOOST_TEST(!Decode(std::string(kMaxMessageBytes + 1, '\x00')).has_value());
}

BOOST_AUTO_TEST_CASE(Decode_WhenANumberIsAFraction_Refuses) {
  // A revision of 1e300 in place of an integer fits no integer.
  const std::string good = Encode({"me", 7, ConfigurationRequest{5}});
  const std::string last = good.substr(good.size() - 1);
  BOOST_REQUIRE(last == std::string(1, '\x05'));
  const std::string huge("\xfb\x7e\x37\xe4\x3c\x88\x00\x75\x9c", 9);
  BOOST_TEST(Decode(good).has_value());
  BOOST_TEST(!Decode(good.substr(0, good.size() - 1) + huge).has_value());
}

BOOST_AUTO_TEST_CASE(Decode_WhenTheSenderKnowsNoEras_ReadsEraZero) {
  MemberRow row;
  row.name_ = "a";
  row.list_version_ = {0, 5};
  std::string gossip = Encode({"me", 7, Gossip{{row}}});
  // An array of 13 becomes one of 12, without the era at its end.
  gossip.replace(gossip.find("\x8d\x61\x61"), 1, "\x8c");
  gossip.pop_back();
  const auto read = Decode(gossip);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((std::get<Gossip>(read->body_).rows_.at(0).list_version_ ==
              StorePosition{0, 5}));
  std::string request = Encode({"me", 7, ListRequest{{0, 5}}});
  request.replace(request.size() - 3, 3, "\x81\x05");
  BOOST_REQUIRE(Decode(request).has_value());
  BOOST_TEST((std::get<ListRequest>(Decode(request)->body_).have_version_ ==
              StorePosition{0, 5}));
}

BOOST_AUTO_TEST_CASE(Decode_WhenOfAnotherVersion_Refuses) {
  std::string bytes = Encode({"me", 7, SeatHandoverRequest{"s"}});
  // The first element of the array is the version.
  bytes[1] = static_cast<char>(kProtocolVersion + 1);
  BOOST_TEST(Decode(bytes).error().find("version") != std::string::npos);
}

struct TwoNodes {
  std::atomic<int> received_{0};
  std::atomic<int> failed_{0};
  std::atomic<int> not_run_{0};
  std::string last_;
  bool accept_ = true;
  Node receiver_{{"127.0.0.1", PortOf(0), "fleet"},
                 {[this](std::string bytes) {
                    last_ = std::move(bytes);
                    ++received_;
                    return accept_;
                  },
                  [](std::uint64_t, Verdict) {}}};

  NodeHandlers SenderHandlers() {
    return {[](std::string) { return true; },
            [this](std::uint64_t, const Verdict& verdict) {
              ++failed_;
              not_run_ += verdict.run_state_ == RunState::kNotRun;
            }};
  }
  std::string Target() const {
    return "127.0.0.1:" + std::to_string(PortOf(0));
  }
};

BOOST_FIXTURE_TEST_CASE(Node_WhenMessagesAreSent_DeliversThemWhole, TwoNodes) {
  BOOST_REQUIRE(receiver_.Start().has_value());
  Node sender({"127.0.0.1", PortOf(1), "fleet"}, SenderHandlers());
  BOOST_REQUIRE(sender.Start().has_value());
  const std::string large(1 << 20, 'x');
  for (int i = 0; i < 50; ++i) {
    sender.Send(Target(), "small", 1);
  }
  BOOST_TEST(Await([&] { return received_ == 50; }));
  sender.Send(Target(), large, 1);
  BOOST_TEST(Await([&] { return received_ == 51; }));
  receiver_.Stop(Milliseconds(0));
  BOOST_TEST(last_.size() == large.size());
  BOOST_TEST(failed_ == 0);
}

BOOST_FIXTURE_TEST_CASE(Node_WhenPeerIsOfAnotherFleet_RefusesAndCounts,
                        TwoNodes) {
  BOOST_REQUIRE(receiver_.Start().has_value());
  Node stranger({"127.0.0.1", PortOf(2), "other"}, SenderHandlers());
  BOOST_REQUIRE(stranger.Start().has_value());
  stranger.Send(Target(), "hello", 1);
  BOOST_TEST(Await([&] { return receiver_.Counters().refused_ == 1; }));
  BOOST_TEST(received_ == 0);
}

BOOST_FIXTURE_TEST_CASE(Node_WhenNobodyListens_ReportsNotRun, TwoNodes) {
  Node sender({"127.0.0.1", PortOf(3), "fleet"}, SenderHandlers());
  BOOST_REQUIRE(sender.Start().has_value());
  sender.Send(Target(), "hello", 1);
  BOOST_TEST(Await([&] { return failed_ == 1; }));
  BOOST_TEST(not_run_ == 1);
}

// A peer whose kernel takes the connection and which never answers.
struct SilentPeer {
  SilentPeer() : socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    bind(socket_, reinterpret_cast<sockaddr*>(&address), length);
    listen(socket_, 8);
    getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &length);
    address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  }
  ~SilentPeer() { close(socket_); }
  SilentPeer(const SilentPeer&) = delete;
  SilentPeer& operator=(const SilentPeer&) = delete;

  int socket_;
  std::string address_;
};

BOOST_FIXTURE_TEST_CASE(Node_WhenAConnectionFallsSilent_ReportsMayHaveRun,
                        TwoNodes) {
  const SilentPeer silent;
  Node sender({"127.0.0.1", PortOf(4), "fleet"}, SenderHandlers());
  BOOST_REQUIRE(sender.Start().has_value());
  sender.Send(silent.address_, "hello", 1);
  BOOST_TEST(Await([&] { return failed_ == 1; }));
  BOOST_TEST(not_run_ == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::peer
