#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <nghttp2/nghttp2.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "endless_answer.h"
#include "loopback.h"
#include "siskindrum/peer/codec.h"
#include "siskindrum/peer/node.h"

namespace siskindrum::peer {
namespace {

using core::Milliseconds;
using core::Verdict;

constexpr std::size_t kStreams = 64;
// Below the limit of one message, which is refused by itself.
constexpr std::size_t kBytesPerStream = kMaxMessageBytes - 1024;
constexpr int kQuietMs = 1000;

// A faulty peer: begins many messages over one connection and ends none.
class EndlessPeer {
 public:
  explicit EndlessPeer(std::uint16_t port)
      : socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    connect(socket_, reinterpret_cast<const sockaddr*>(&address),
            sizeof address);
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_client_new(&session_, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, nullptr, 0);
    for (std::size_t& sent : sent_) {
      Begin(&sent);
    }
  }
  ~EndlessPeer() {
    nghttp2_session_del(session_);
    close(socket_);
  }
  EndlessPeer(const EndlessPeer&) = delete;
  EndlessPeer& operator=(const EndlessPeer&) = delete;

  // Sends until nothing more may be sent, or the other side closes the
  // connection.
  void Run() {
    while (WriteAll()) {
      pollfd polled{socket_, POLLIN, 0};
      if (poll(&polled, 1, kQuietMs) <= 0 || !ReadSome()) {
        return;
      }
    }
  }

 private:
  static ssize_t Fill(nghttp2_session*,
                      std::int32_t,
                      std::uint8_t* buffer,
                      std::size_t length,
                      std::uint32_t*,
                      nghttp2_data_source* source,
                      void*) {
    auto& sent = *static_cast<std::size_t*>(source->ptr);
    const std::size_t count = std::min(length, kBytesPerStream - sent);
    if (count == 0) {
      return NGHTTP2_ERR_DEFERRED;
    }
    std::fill_n(buffer, count, 'x');
    sent += count;
    return static_cast<ssize_t>(count);
  }

  static nghttp2_nv MakeField(std::string& name, std::string& value) {
    return {reinterpret_cast<std::uint8_t*>(name.data()),
            reinterpret_cast<std::uint8_t*>(value.data()), name.size(),
            value.size(), NGHTTP2_NV_FLAG_NONE};
  }

  void Begin(std::size_t* sent) {
    std::string names[] = {":method", ":scheme", ":path", ":authority",
                           "x-siskindrum-fleet"};
    std::string values[] = {"POST", "http", "/peer/1", "h", "fleet"};
    nghttp2_nv fields[std::size(names)];
    for (std::size_t i = 0; i < std::size(names); ++i) {
      fields[i] = MakeField(names[i], values[i]);
    }
    nghttp2_data_provider provider{};
    provider.source.ptr = sent;
    provider.read_callback = Fill;
    nghttp2_submit_request(session_, nullptr, fields, std::size(fields),
                           &provider, nullptr);
  }

  bool WriteAll() {
    while (true) {
      const std::uint8_t* data = nullptr;
      const ssize_t length = nghttp2_session_mem_send(session_, &data);
      if (length <= 0) {
        return length == 0;
      }
      for (ssize_t done = 0; done < length;) {
        const ssize_t count =
            send(socket_, data + done, static_cast<std::size_t>(length - done),
                 MSG_NOSIGNAL);
        if (count <= 0) {
          return false;
        }
        done += count;
      }
    }
  }

  bool ReadSome() {
    std::uint8_t buffer[4096];
    const ssize_t count = recv(socket_, buffer, sizeof buffer, 0);
    return count > 0 &&
           nghttp2_session_mem_recv(session_, buffer,
                                    static_cast<std::size_t>(count)) >= 0;
  }

  int socket_;
  nghttp2_session* session_ = nullptr;
  std::size_t sent_[kStreams] = {};
};

struct EndlessPeerFixture {
  static constexpr std::size_t kMaxGrowth = 64 * 1024 * 1024;

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(receiver_port_);
  }
  bool AwaitReceived(int count) const {
    for (int tries = 0; tries < 500 && received_ < count; ++tries) {
      std::this_thread::sleep_for(Milliseconds(10));
    }
    return received_ == count;
  }

  std::uint16_t receiver_port_ = test::FreePort();
  std::atomic<int> received_{0};
  std::atomic<int> failed_{0};
  Node receiver_{{"127.0.0.1", receiver_port_, "fleet"},
                 {[this](std::string) {
                    ++received_;
                    return true;
                  },
                  [](std::uint64_t, const Verdict&) {}}};
  Node sound_{{"127.0.0.1", test::FreePort(), "fleet"},
              {[](std::string) { return true; },
               [this](std::uint64_t, const Verdict&) { ++failed_; }}};
};

BOOST_FIXTURE_TEST_SUITE(UnfinishedMessages, EndlessPeerFixture)

BOOST_AUTO_TEST_CASE(Node_WhenAPeerEndsNoMessage_KeepsAFewOfThem) {
  BOOST_REQUIRE(receiver_.Start().has_value());
  BOOST_REQUIRE(sound_.Start().has_value());
  const std::size_t before = test::ResidentBytes();
  EndlessPeer endless(receiver_port_);
  endless.Run();
  BOOST_TEST(test::ResidentBytes() - before < kMaxGrowth);
  sound_.Send(Address(), "sound", 1);
  BOOST_TEST(AwaitReceived(1));
  BOOST_TEST(failed_ == 0);
}

BOOST_AUTO_TEST_CASE(Node_WhenLargeMessagesCome_DeliversThem) {
  constexpr int kAtOnce = 8;
  BOOST_REQUIRE(receiver_.Start().has_value());
  BOOST_REQUIRE(sound_.Start().has_value());
  const std::string large(kMaxMessageBytes, 'x');
  // A second round needs the room of the first.
  for (int round = 1; round <= 2; ++round) {
    for (int i = 0; i < kAtOnce; ++i) {
      sound_.Send(Address(), large, 1);
    }
    BOOST_TEST(AwaitReceived(round * kAtOnce));
  }
  BOOST_TEST(failed_ == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::peer
