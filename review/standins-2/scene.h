#ifndef REVIEW_STANDINS_2_SCENE_H_
#define REVIEW_STANDINS_2_SCENE_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

// Stand-ins of the platform's store, plain servers and clients, and control of
// real entry processes. All addresses are loopback addresses. All classes are
// thread-safe unless noted.
namespace scene {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;
using Json = nlohmann::json;

// Milliseconds since the start of this process.
std::int64_t Now();
void Sleep(std::int64_t ms);

// The case's record.txt; also tracks time.
void OpenRecord(const std::string& path);
void Record(const std::string& line);

// True unless TROUBLE=0 is set in the environment.
bool Trouble();

struct Message {
  std::string method_;
  std::string target_;
  int status_ = 0;
  std::vector<std::pair<std::string, std::string>> fields_;
  std::string body_;

  // Empty when the field is missing.
  std::string Field(const std::string& name) const;
};

// An HTTP/1.1 server with a thread for each connection.
class Server {
 public:
  // Returns false from the handler to close the connection without an answer.
  using Handler = std::function<bool(const Message& request, Message& answer)>;

  Server(const std::string& ip, Handler handler);
  ~Server();
  const std::string& Address() const { return address_; }
  void Stop();

 private:
  void Accept();
  void Serve(int socket);

  Handler handler_;
  std::string address_;
  int listener_ = -1;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::set<int> sockets_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

// The platform's store: kv-range, kv-watch and kv-key. History is dropped after
// 20 s.
class Store {
 public:
  explicit Store(const std::string& ip);
  ~Store();
  const std::string& Address() const { return server_->Address(); }
  // Writes a value and returns its revision: the store's confirmation.
  std::uint64_t Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // Each answer takes this long from now on.
  void SetAnswerTime(std::int64_t ms) { answer_ms_ = ms; }
  // Largest watch answer so far, in bytes of the body.
  std::size_t LargestWatchAnswer() const { return largest_; }
  std::uint64_t Gone() const { return gone_; }

 private:
  struct Item {
    std::string value_;  // Base64.
    std::uint64_t revision_ = 0;
    std::uint64_t created_ = 0;
  };
  struct Event {
    std::string key_;
    std::string value_;
    std::uint64_t revision_ = 0;
    std::uint64_t created_ = 0;
    bool tombstone_ = false;
    Clock::time_point at_;
  };

  bool Handle(const Message& request, Message& answer);
  std::string Range(const std::map<std::string, std::string>& query);
  bool Watch(const std::map<std::string, std::string>& query, Message& answer);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 10;
  std::map<std::string, Item> items_;
  std::deque<Event> history_;
  std::uint64_t dropped_ = 10;  // Highest revision that left the history.
  std::atomic<std::int64_t> answer_ms_{4};
  std::atomic<std::size_t> largest_{0};
  std::atomic<std::uint64_t> gone_{0};
  std::atomic<bool> stopping_{false};
  std::unique_ptr<Server> server_;
};

struct Run {
  std::string request_;
  std::string path_;
  std::int64_t at_ = 0;
};

// A plain server. It writes its entry to the store when more than `sequence`
// changes: at its start and when it drains.
class Runner {
 public:
  Runner(Store& store,
         const std::string& ip,
         const std::string& id,
         const std::string& service,
         const std::string& zone,
         std::int64_t work_ms);
  ~Runner();
  const std::string& Id() const { return id_; }
  // The entry that it would write now.
  Json Entry() const;
  // Writes its entry once more, as a heartbeat.
  void Beat() { WriteEntry(); }
  // Writes `draining` and says so in all answers. Returns when the store has
  // accepted that.
  void Drain();
  // Closes the server and removes its entry.
  void Leave();
  std::vector<Run> Runs() const;

 private:
  void WriteEntry();
  bool Handle(const Message& request, Message& answer);

  Store& store_;
  std::string id_;
  std::string service_;
  std::string zone_;
  std::int64_t work_ms_;
  std::atomic<bool> draining_{false};
  std::atomic<bool> stopping_{false};
  mutable std::mutex beat_mutex_;
  std::uint64_t sequence_ = 0;
  std::int64_t born_ = 0;
  mutable std::mutex mutex_;
  std::vector<Run> runs_;
  std::unique_ptr<Server> server_;
};

// One answer as a client saw it.
struct Answer {
  bool connected_ = false;
  bool complete_ = false;  // A whole answer came.
  int status_ = 0;
  std::string runner_;  // Runner-Id in the runner's body.
  std::int64_t sent_at_ = 0;
  std::int64_t ended_at_ = 0;
};

// Sends one request on a new connection.
Answer Call(const std::string& address,
            const std::string& method,
            const std::string& host,
            const std::string& path,
            const std::string& id,
            std::int64_t deadline_ms);

// Sends one request for an event stream on a new connection and reads it to its
// end. The answer is complete if its last chunk came.
Answer CallStream(const std::string& address,
                  const std::string& host,
                  const std::string& path,
                  const std::string& id,
                  const std::string& prompt_prefix,
                  std::int64_t deadline_ms);

// A free port on this address.
int FreePort(const std::string& ip);

struct EntryOptions {
  std::string name_;
  std::string ip_;
  std::string zone_;
  int memory_mb_ = 260;
  Json bounds_;
};

// A real entry process, started with the command of the deploy file.
class Entry {
 public:
  // `control_port` is the same for all entries.
  Entry(const EntryOptions& options,
        const std::string& store,
        const std::vector<std::string>& seeds,
        int control_port,
        const std::string& folder,
        const std::string& zones);
  ~Entry();
  void Start(bool first_start);
  // Sends a signal to the process.
  void Signal(int signal);
  void Kill();
  bool IsRunning();
  // Resident memory in bytes.
  std::uint64_t Resident() const;
  const std::string& Front() const { return front_; }
  // The status of one readiness probe; 0: no answer.
  int Ready() const;
  bool AwaitReady(std::int64_t limit_ms) const;

 private:
  EntryOptions options_;
  std::string store_;
  std::vector<std::string> seeds_;
  int control_port_;
  std::string folder_;
  std::string zones_;
  std::string front_;
  std::string ready_;
  pid_t pid_ = -1;
};

// The bounds of the users' small sites.
Json SmallBounds();

}  // namespace scene

#endif  // REVIEW_STANDINS_2_SCENE_H_
