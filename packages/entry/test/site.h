#ifndef SISKINDRUM_ENTRY_TEST_SITE_H_
#define SISKINDRUM_ENTRY_TEST_SITE_H_

#include <sys/types.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace siskindrum::entry {

// A small site of real processes on loopback: stand-ins and entries, each on
// ports of its own. Everything that was started is ended with the object.
class Site {
 public:
  using Json = nlohmann::json;

  struct Answer {
    int status_ = 0;
    std::map<std::string, std::string> headers_;
    std::string body_;
    bool complete_ = false;
  };

  // `entries` entries, one a failure domain; one prefill and one decode engine
  // and one plain server in each.
  explicit Site(int entries, std::vector<std::string> engine_options = {});
  ~Site();
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  void StartEntry(int index);
  void StartEngine(const std::string& name);
  void StartPlatform();
  // Waits until every entry is ready, sees the others and may vouch for keys.
  void AwaitReady();

  void Signal(const std::string& name, int signal);
  void Kill(const std::string& name);
  // Waits for the end of a process and returns its exit code, -1 by a signal.
  int AwaitExit(const std::string& name);

  int CallerPort(int entry) const { return base_ + 10 + entry; }
  int OperatorPort(int entry) const { return base_ + 20 + entry; }
  int PeerPort(int entry) const { return base_ + 30 + entry; }
  int PortOf(const std::string& name) const { return ports_.at(name); }
  static std::string EntryName(int entry);

  Answer Get(int port, const std::string& path) const;
  Answer Post(int port,
              const std::string& path,
              const std::string& body,
              const std::map<std::string, std::string>& headers = {}) const;
  Answer Put(int port, const std::string& path, const std::string& body) const;
  // Streams a completion; `on_text` is called for each token.
  Answer Complete(int entry,
                  const std::string& prompt,
                  int tokens,
                  const std::function<bool(const std::string&)>& on_text = {},
                  std::string* text = nullptr) const;
  Json Record(const std::string& name) const;
  Json Dump(int entry) const;
  void Control(const std::string& name, const Json& what) const;
  void PublishRules(std::uint64_t revision, const std::string& rules) const;
  void PublishList(const std::function<void(Json&)>& change);

  // Polls `holds` for up to 30 s.
  static bool Await(const std::function<bool()>& holds);

  // A new UUIDv7.
  static std::string Key();
  // Whole text that the engines answer to a prompt.
  static std::string Expected(const std::string& prompt, int tokens);

  const std::string& Rules() const { return rules_; }
  std::size_t HeldAnywhere() const;
  std::vector<std::string> Engines() const { return engines_; }
  std::string LogOf(const std::string& name) const;

 private:
  void Spawn(const std::string& name, std::vector<std::string> command);
  std::string InstanceList() const;
  // Prints the logs of all processes, also of killed ones, if the test case has
  // failed so far.
  void PrintLogsOfFailure() const;

  int base_;
  int entries_;
  std::string directory_;
  std::string rules_;
  std::vector<std::string> engine_options_;
  std::vector<std::string> engines_;
  Json list_;
  std::map<std::string, int> ports_;
  std::map<std::string, pid_t> pids_;
};

}  // namespace siskindrum::entry

#endif  // SISKINDRUM_ENTRY_TEST_SITE_H_
