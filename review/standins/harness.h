#ifndef REVIEW_STANDINS_HARNESS_H_
#define REVIEW_STANDINS_HARNESS_H_

// Stand-ins and helpers that the review's scripts share: the platform's store,
// servers with scripted answers, callers, and the project's program as a
// separate process. All addresses are loopback addresses.

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Milliseconds = std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCannotRun = 2;

void SleepFor(Milliseconds time);

// Writes record.txt: one line an event, with milliseconds since the start.
// Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path);
  void Add(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point start_ = Clock::now();
};

// A blocking TCP connection.
class Channel {
 public:
  explicit Channel(int fd) : fd_(fd) {}
  Channel(Channel&& other) noexcept : fd_(other.fd_) { other.fd_ = -1; }
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;
  ~Channel() { Close(); }

  // Returns an unusable channel when the address refuses it.
  static Channel Connect(const std::string& address);
  bool IsOpen() const { return fd_ >= 0; }
  // Returns false when the peer has closed or reset the channel.
  bool Send(const std::string& bytes) const;
  // Returns what has arrived; empty: end, reset or timeout.
  std::string Receive(Milliseconds limit) const;
  // Returns whether the peer has closed or reset the channel.
  bool IsClosedByPeer() const;
  void Close();
  // Ends both directions; the thread that uses the channel closes it.
  void Shutdown() const;
  int Fd() const { return fd_; }

 private:
  int fd_;
};

// One HTTP message as text.
struct Message {
  std::string head_;  // With its empty line.
  std::string body_;
  bool complete_ = false;
};

// Reads one message that has a Content-Length, chunks or no body. `rest` keeps
// what follows it.
Message ReadMessage(const Channel& channel,
                    std::string& rest,
                    Milliseconds limit);
// Returns the value of a header field; empty: not there.
std::string FieldOf(const std::string& head, const std::string& name);
int StatusOf(const std::string& head);

// A free port of a loopback address.
std::uint16_t FreePort(const std::string& ip);
// A loopback address that no other run uses, with `last` as its last byte.
std::string LoopbackIp(int last);

// Accepts channels and serves each by `serve` in a thread of its own.
class Listener {
 public:
  using Serve = std::function<void(Channel&)>;
  Listener(const std::string& ip, Serve serve);
  ~Listener();
  const std::string& Address() const { return address_; }
  // Refuses new channels, as when no process listens. Open ones stay.
  void Stop();
  // Listens again at the same address.
  void Start();

 private:
  std::string address_;
  Serve serve_;
  int fd_ = -1;
  std::thread thread_;
};

// The platform's store, with reads and watches only.
class Store {
 public:
  explicit Store(const std::string& ip);
  const std::string& Address() const { return listener_->Address(); }
  // Writes an item, as the operator or a server does.
  void Put(const std::string& key, const std::string& value);

 private:
  struct Item {
    std::string value_;
    std::uint64_t revision_ = 0;
  };
  void Serve(Channel& channel);
  std::string Page();
  std::string Watch(std::uint64_t after, Milliseconds wait);
  static std::string Format(const std::string& key, const Item& item);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::uint64_t revision_ = 10;
  std::unique_ptr<Listener> listener_;
};

// An entry of a server in the store.
std::string ServerEntry(const std::string& service,
                        const std::string& address,
                        const std::string& zone,
                        int slots,
                        const std::string& stage);

struct EntryOptions {
  std::string name_;
  std::string ip_;
  std::string zone_;
  std::string store_;
  std::vector<std::string> seeds_;
  std::string control_;  // Its own address for other entries.
  int memory_mb_ = 165;
  // Whether the whole system starts for the first time.
  bool bootstrap_ = true;
};

// One process of the project, started by the command of the deploy file.
class Entry {
 public:
  Entry(const EntryOptions& options, const std::string& directory);
  ~Entry();
  bool AwaitReady(Milliseconds limit) const;
  bool HasEnded();
  // How it ended; empty: it runs.
  const std::string& EndedHow() const { return ended_how_; }
  void Kill();
  // Sends SIGTERM.
  void Terminate() const;
  std::string Front() const { return front_; }
  std::string Operators() const { return options_.ip_ + ":7390"; }
  // Resident memory in MB; zero: the process has ended.
  double MemoryMb() const;
  std::string LastLogLines(std::size_t count) const;

 private:
  EntryOptions options_;
  std::string front_;
  std::string ready_;
  std::string log_;
  pid_t pid_ = -1;
  std::string ended_how_;
};

// Sends GET and returns the status; zero: no whole answer.
int Get(const std::string& address,
        const std::string& path,
        Milliseconds limit);

// Options of a case, from its command line: DIRECTORY TROUBLE.
struct CaseOptions {
  std::string directory_;
  bool trouble_ = true;
};
CaseOptions ParseOptions(int count, char** words);

// A private directory under the system's temporary one, removed at the end.
class TemporaryDirectory {
 public:
  TemporaryDirectory();
  ~TemporaryDirectory();
  const std::string& Path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_HARNESS_H_
