// An entry that was restarted asks the engines which prompts they retain. Two
// of five answer with bytes that are no answer, without end.

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "../standins/harness.h"

namespace {

using review::Channel;
using review::Clock;
using review::Entry;
using review::Message;
using review::Milliseconds;
using review::Record;

constexpr int kKeptChannels = 8;
constexpr int kAllowedLosses = 3;  // "more than three times" breaks the rule.
constexpr int kEngines = 5;
constexpr int kFaultyEngines = 2;  // A share of 0.4.
constexpr int kMemoryMb = 165;     // Of the smallest machine of ntw-hq.
constexpr Milliseconds kWorkTime{250};
constexpr Milliseconds kAnswerLimit{5000};
constexpr Milliseconds kRunTime{95000};
// The faulty engine sends at most this much a millisecond: 1000 Mbit/s.
constexpr std::size_t kBytesPerMs = 125000;

constexpr char kConfiguration[] =
    R"({"version":7,"routes":[{"name":"booking","host":"desk.example",
"pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":1500,
"targetLatencyMs":300,"priority":2,"service":"order-desk","maxAttempts":1},
{"name":"draft","host":"desk.example","pathPrefix":"/draft/",
"kind":"streaming","timeoutMs":14000,"targetLatencyMs":900,"priority":1,
"service":"order-reader","maxAttempts":2,"sticky":true,"resumable":true,
"targetGapMs":300}],"services":[{"name":"order-desk","healthPath":"/health",
"maxConnections":100,"protocol":"h1","tls":false},{"name":"order-reader",
"healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false,
"engine":{"slots":64,"kvCapacityTokens":66635,"kvTokenBytes":18432,
"linkMbps":240000.0,"stride":11,"most":12,"kvHoldS":0.5,"switchS":6.0,
"pinMs":4000.0,"holdMs":2000.0,"models":[{"name":"m"}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

// A sound plain server.
void ServeDesk(Channel& channel) {
  std::string rest;
  while (true) {
    const Message request =
        review::ReadMessage(channel, rest, std::chrono::seconds(60));
    if (!request.complete_) {
      return;
    }
    review::SleepFor(kWorkTime);
    if (!channel.Send("HTTP/1.1 200 OK\r\nRequest-Id: " +
                      review::FieldOf(request.head_, "Request-Id") +
                      "\r\nServer-Stamp: s\r\nKeep-Alive: timeout=15\r\n"
                      "Content-Length: 4\r\n\r\ndone")) {
      return;
    }
  }
}

// Sends until the caller closes the channel.
void SendWithoutEnd(Channel& channel, Record& record) {
  const std::string bytes(kBytesPerMs, 'x');
  std::uint64_t sent = 0;
  if (channel.Send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n")) {
    while (channel.Send(bytes)) {
      sent += bytes.size();
      review::SleepFor(Milliseconds(1));
    }
  }
  record.Add("the entry has closed the channel of the endless answer after " +
             std::to_string(sent >> 20) + " MB");
}

// An engine that is sound but for its lists of prompts, if it is faulty.
void ServeEngine(Channel& channel, bool faulty, Record& record) {
  std::string rest;
  while (true) {
    const Message request =
        review::ReadMessage(channel, rest, std::chrono::seconds(60));
    if (!request.complete_) {
      return;
    }
    record.Add((faulty ? "faulty engine is asked: " : "engine is asked: ") +
               request.head_.substr(0, request.head_.find("\r\n")));
    if (faulty) {
      SendWithoutEnd(channel, record);
      return;
    }
    const std::string body = R"({"epoch":1,"next":1,"held":[]})";
    channel.Send(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        "Keep-Alive: timeout=15\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body);
  }
}

struct Callers {
  std::atomic<bool> stop_{false};
  std::atomic<int> answered_{0};
  std::atomic<int> failed_{0};   // Answered with a failure.
  std::atomic<int> lost_{0};     // Channel closed without an answer.
  std::atomic<int> slowest_{0};  // In milliseconds.
};

// Sends one request after the other over one kept channel.
void CallAgain(const std::string& front,
               int number,
               Callers& callers,
               Record& record) {
  const Channel channel = Channel::Connect(front);
  std::string rest;
  for (int i = 0; !callers.stop_; ++i) {
    const std::string id =
        "c" + std::to_string(number) + "-" + std::to_string(i);
    const auto began = Clock::now();
    const bool sent = channel.Send(
        "POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id +
        "\r\nDeadline-Ms: 1500\r\nContent-Length: 2\r\n\r\nhi");
    const Message answer =
        sent ? review::ReadMessage(channel, rest, kAnswerLimit) : Message();
    const auto took =
        std::chrono::duration_cast<Milliseconds>(Clock::now() - began);
    if (!answer.complete_) {
      ++callers.lost_;
      record.Add("caller " + id +
                 ": the channel ended without an answer after " +
                 std::to_string(took.count()) + " ms");
      return;
    }
    if (static_cast<int>(took.count()) > callers.slowest_) {
      callers.slowest_ = static_cast<int>(took.count());
    }
    ++(review::StatusOf(answer.head_) == 200 ? callers.answered_
                                             : callers.failed_);
  }
}

int Run(const review::CaseOptions& options) {
  // Their threads run until the end of the process.
  Record& record = *new Record(options.directory_ + "/record.txt");
  review::Store& store = *new review::Store(review::LoopbackIp(1));
  auto& servers = *new std::vector<std::unique_ptr<review::Listener>>();
  const review::TemporaryDirectory temporary;
  for (int i = 0; i < 3; ++i) {
    servers.push_back(std::make_unique<review::Listener>(
        review::LoopbackIp(20 + i), ServeDesk));
    store.Put("servers/i-desk" + std::to_string(i),
              review::ServerEntry("order-desk", servers.back()->Address(),
                                  "providence", 6, ""));
  }
  for (int i = 0; i < kEngines; ++i) {
    const bool faulty = options.trouble_ && i >= kEngines - kFaultyEngines;
    servers.push_back(std::make_unique<review::Listener>(
        review::LoopbackIp(40 + i), [faulty, &record](Channel& channel) {
          ServeEngine(channel, faulty, record);
        }));
    store.Put(
        "servers/i-reader" + std::to_string(i),
        review::ServerEntry("order-reader", servers.back()->Address(),
                            "providence", 64, i == 0 ? "prefill" : "decode"));
  }
  store.Put("op/config", kConfiguration);
  const std::string control = review::LoopbackIp(10) + ":7381";
  review::EntryOptions entry_options{"front-1",    review::LoopbackIp(10),
                                     "providence", store.Address(),
                                     {control},    control};
  entry_options.memory_mb_ = kMemoryMb;
  entry_options.bootstrap_ = false;
  Entry entry(entry_options, temporary.Path());
  if (!entry.AwaitReady(std::chrono::seconds(10))) {
    record.Add("cannot run: the entry is not ready" + entry.LastLogLines(5));
    return review::kCannotRun;
  }
  Callers& callers = *new Callers();
  std::vector<std::thread> threads;
  for (int i = 0; i < kKeptChannels; ++i) {
    threads.emplace_back(CallAgain, entry.Front(), i, std::ref(callers),
                         std::ref(record));
  }
  double peak = 0;
  const auto began = Clock::now();
  for (int i = 0; Clock::now() - began < kRunTime && !entry.HasEnded(); ++i) {
    review::SleepFor(Milliseconds(50));
    const double memory = entry.MemoryMb();
    peak = std::max(peak, memory);
    if (i % 40 == 0) {
      record.Add("memory of the entry " +
                 std::to_string(static_cast<int>(memory)) + " MB, answered " +
                 std::to_string(callers.answered_) + ", failures " +
                 std::to_string(callers.failed_) + ", slowest answer " +
                 std::to_string(callers.slowest_.exchange(0)) + " ms");
    }
    if (memory > kMemoryMb) {
      record.Add("memory " + std::to_string(static_cast<int>(memory)) +
                 " MB is over memoryMb: the platform kills the process");
      entry.Kill();
    }
  }
  callers.stop_ = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  record.Add("peak memory " + std::to_string(static_cast<int>(peak)) +
             " MB of " + std::to_string(kMemoryMb) + "; answered " +
             std::to_string(callers.answered_) + ", failures " +
             std::to_string(callers.failed_) +
             ", kept channels closed without an answer " +
             std::to_string(callers.lost_) + ", allowed 3");
  return callers.lost_ > kAllowedLosses ? review::kBroken : review::kHeld;
}

}  // namespace

int main(int count, char** words) {
  const int result = Run(review::ParseOptions(count, words));
  std::_Exit(result);
}
