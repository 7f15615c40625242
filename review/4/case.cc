// A part of a prompt crashes each engine that begins to write an answer on it:
// the engine writes the first event and ends.

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
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

constexpr int kDecodeEngines = 8;
constexpr Milliseconds kStableWindow{3000};  // stableWindowMs of the site.
constexpr std::size_t kCrashesBefore = 5;    // "after the fifth crash"
constexpr int kAllowedArrivals = 3;          // "More than three requests"
constexpr Milliseconds kDownTime{3000};      // "back after some seconds"
constexpr Milliseconds kPoisonTime{22000};   // for_s of the day on the pages.
constexpr int kPoisonEvery = 20;             // share 0.05 of that day.
constexpr Milliseconds kRequestGap{100};     // Ten requests a second.
constexpr int kEvents = 20;
constexpr Milliseconds kEventGap{40};
constexpr char kSharedPart[] = "5c1e07a2";
constexpr char kDeadlyPart[] = "dead0001";

constexpr char kConfiguration[] =
    R"({"version":7,"routes":[{"name":"stock-opinion","host":"desk.example",
"pathPrefix":"/stock/","kind":"streaming","timeoutMs":14000,
"targetLatencyMs":900,"priority":1,"service":"opinion-writers",
"maxAttempts":2,"sticky":true,"resumable":true,"targetGapMs":300}],
"services":[{"name":"opinion-writers","healthPath":"/health",
"maxConnections":360,"protocol":"h1","tls":false,"engine":{"slots":64,
"kvCapacityTokens":59496,"kvTokenBytes":18432,"linkMbps":240000.0,"stride":11,
"most":12,"kvHoldS":0.5,"switchS":6.0,"pinMs":4000.0,"holdMs":2000.0,
"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,
"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

std::string Answer(const std::string& id,
                   const std::string& fields,
                   const std::string& body) {
  return "HTTP/1.1 200 OK\r\n" + (id.empty() ? "" : "Request-Id: " + id) +
         (id.empty() ? "" : "\r\n") + fields +
         "Keep-Alive: timeout=15\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// What the engines saw of requests with the deadly part.
struct Poison {
  std::mutex mutex_;
  std::vector<Clock::time_point> crashes_;
  std::vector<Clock::time_point> arrivals_;  // At decode engines.
};

// One process of an engine after the other, at one address and under one id.
class Engine {
 public:
  Engine(const std::string& name,
         const std::string& ip,
         const std::string& stage,
         review::Store& store,
         Poison& poison,
         Record& record,
         bool crash_early)
      : name_(name),
        stage_(stage),
        store_(store),
        poison_(poison),
        record_(record),
        crash_early_(crash_early),
        listener_(ip, [this](Channel& channel) { Serve(channel); }) {
    Register();
  }

 private:
  void Register() {
    store_.Put("servers/" + name_,
               review::ServerEntry("opinion-writers", listener_.Address(),
                                   "umea-a", 64, stage_));
  }

  // Ends the process: all its channels close, and none is accepted until it
  // starts again.
  void Crash() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (down_) {
        return;
      }
      down_ = true;
      for (Channel* channel : channels_) {
        channel->Shutdown();
      }
    }
    {
      const std::lock_guard<std::mutex> lock(poison_.mutex_);
      poison_.crashes_.push_back(Clock::now());
      record_.Add("engine " + name_ + " crashes, crash " +
                  std::to_string(poison_.crashes_.size()));
    }
    std::thread([this] {
      listener_.Stop();
      review::SleepFor(kDownTime);
      listener_.Start();
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        down_ = false;
      }
      Register();
    }).detach();
  }

  bool Enter(Channel& channel) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!down_) {
      channels_.push_back(&channel);
    }
    return !down_;
  }

  void Serve(Channel& channel) {
    if (!Enter(channel)) {
      return;  // Closed at once: the process does not run.
    }
    std::string rest;
    while (HandleRequest(
        channel,
        review::ReadMessage(channel, rest, std::chrono::seconds(60)))) {
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    std::erase(channels_, &channel);
  }

  bool HandleRequest(Channel& channel, const Message& request) {
    if (!request.complete_) {
      return false;
    }
    const std::string id = review::FieldOf(request.head_, "Request-Id");
    if (request.head_.rfind("POST /hold-take", 0) == 0) {
      return channel.Send(
          Answer("", "", R"({"hold":"h)" + std::to_string(++next_) + R"("})"));
    }
    if (request.head_.rfind("DELETE ", 0) == 0) {
      return channel.Send(Answer("", "", "{}"));
    }
    if (review::FieldOf(request.head_, "Stage") == "prefill") {
      review::SleepFor(Milliseconds(90));
      return channel.Send(Answer(id, "",
                                 R"({"kvHandle":"k)" + name_ +
                                     std::to_string(++next_) +
                                     R"(","tokens":5000,"version":1})"));
    }
    return Decode(channel, request, id);
  }

  bool Decode(Channel& channel, const Message& request, const std::string& id) {
    const bool deadly =
        review::FieldOf(request.head_, "Prompt-Prefix").find(kDeadlyPart) !=
        std::string::npos;
    if (deadly) {
      const std::lock_guard<std::mutex> lock(poison_.mutex_);
      poison_.arrivals_.push_back(Clock::now());
      record_.Add("request " + id + " with the deadly part reaches engine " +
                  name_);
    }
    const std::string last = review::FieldOf(request.head_, "Last-Event-Id");
    int event = last.empty() ? 0 : std::atoi(last.c_str());
    review::SleepFor(Milliseconds(30));
    if (!channel.Send("HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                      "\r\nServer-Stamp: s\r\nContent-Type: text/event-stream"
                      "\r\nKeep-Alive: timeout=15\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n")) {
      return false;
    }
    if (deadly && crash_early_) {
      review::SleepFor(Milliseconds(20));
      Crash();
      return false;
    }
    while (event < kEvents) {
      const std::string text =
          "id: " + std::to_string(++event) + "\ndata: token\n\n";
      char size[16];
      snprintf(size, sizeof size, "%zx\r\n", text.size());
      if (!channel.Send(size + text + "\r\n")) {
        return false;
      }
      if (deadly) {
        review::SleepFor(Milliseconds(20));
        Crash();
        return false;
      }
      review::SleepFor(kEventGap);
    }
    return channel.Send("0\r\n\r\n");
  }

  std::string name_;
  std::string stage_;
  review::Store& store_;
  Poison& poison_;
  Record& record_;
  bool crash_early_;
  std::mutex mutex_;
  bool down_ = false;
  std::vector<Channel*> channels_;
  std::atomic<int> next_{0};
  review::Listener listener_;
};

struct Callers {
  std::atomic<int> whole_{0};
  std::atomic<int> refused_{0};
  std::atomic<int> cut_{0};
};

void CallOnce(const std::string& front,
              int number,
              bool deadly,
              Callers& callers,
              Record& record) {
  const Channel channel = Channel::Connect(front);
  std::string rest;
  const std::string id = (deadly ? "p" : "s") + std::to_string(number);
  char own[16];
  snprintf(own, sizeof own, "%08x", 0x10000000 + number);
  channel.Send(
      "POST /stock/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id +
      "\r\nModel: m\r\nToken-Count: 5000,240\r\nPrompt-Prefix: " + kSharedPart +
      ":200," + (deadly ? std::string(kDeadlyPart) + ":300," : "") + own +
      ":4500\r\nDeadline-Ms: 14000\r\nContent-Length: 2\r\n\r\nhi");
  const Message answer =
      review::ReadMessage(channel, rest, std::chrono::seconds(15));
  const bool whole = answer.complete_ && review::StatusOf(answer.head_) == 200;
  if (!deadly) {
    ++(whole              ? callers.whole_
       : answer.complete_ ? callers.refused_
                          : callers.cut_);
  }
  if (deadly || !whole) {
    record.Add("caller of " + id + " got " +
               (answer.complete_
                    ? std::to_string(review::StatusOf(answer.head_))
                    : "a stream that was cut"));
  }
}

int Run(const review::CaseOptions& options) {
  // Their threads run until the end of the process.
  Record& record = *new Record(options.directory_ + "/record.txt");
  review::Store& store = *new review::Store(review::LoopbackIp(1));
  Poison& poison = *new Poison();
  auto& engines = *new std::vector<std::unique_ptr<Engine>>();
  const review::TemporaryDirectory temporary;
  const bool early = std::getenv("EARLY") != nullptr;
  for (int i = 0; i <= kDecodeEngines; ++i) {
    engines.push_back(std::make_unique<Engine>(
        "i-writer" + std::to_string(i), review::LoopbackIp(40 + i),
        i == 0 ? "prefill" : "decode", store, poison, record, early));
  }
  store.Put("op/config", kConfiguration);
  const std::string control = review::LoopbackIp(10) + ":7381";
  // Its control address is not the first seed, so it orders no engine.
  Entry entry({"front-1",
               review::LoopbackIp(10),
               "umea-a",
               store.Address(),
               {review::LoopbackIp(9) + ":7381", control},
               control,
               260},
              temporary.Path());
  if (!entry.AwaitReady(std::chrono::seconds(10))) {
    record.Add("cannot run: the entry is not ready" + entry.LastLogLines(5));
    return review::kCannotRun;
  }
  // The machine is in touch once it has run for stableWindowMs.
  review::SleepFor(kStableWindow + Milliseconds(1000));
  Callers& callers = *new Callers();
  std::vector<std::thread> threads;
  const auto began = Clock::now();
  for (int i = 0; Clock::now() - began < kPoisonTime; ++i) {
    const bool deadly =
        options.trouble_ && i % kPoisonEvery == kPoisonEvery / 2;
    threads.emplace_back(CallOnce, entry.Front(), i, deadly, std::ref(callers),
                         std::ref(record));
    review::SleepFor(kRequestGap);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  int late = 0;
  if (poison.crashes_.size() >= kCrashesBefore) {
    const auto since = poison.crashes_[kCrashesBefore - 1] + kStableWindow;
    late = static_cast<int>(std::count_if(
        poison.arrivals_.begin(), poison.arrivals_.end(),
        [since](Clock::time_point arrival) { return arrival > since; }));
  }
  record.Add("sound requests: " + std::to_string(callers.whole_) + " whole, " +
             std::to_string(callers.refused_) + " refused or failed, " +
             std::to_string(callers.cut_) + " cut");
  record.Add(
      std::to_string(poison.crashes_.size()) + " crashes; " +
      std::to_string(late) +
      " requests with the part reached engines later than 3,000 ms after "
      "the fifth, allowed 3");
  return late > kAllowedArrivals ? review::kBroken : review::kHeld;
}

}  // namespace

int main(int count, char** words) {
  const int result = Run(review::ParseOptions(count, words));
  std::_Exit(result);
}
