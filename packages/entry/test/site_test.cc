// The processes of Site.

#define BOOST_TEST_MODULE entry
#include <boost/test/unit_test.hpp>

#include <boost/test/results_collector.hpp>

#include "site.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <thread>

#include <httplib.h>

#include "siskindrum/core/hash.h"

extern char** environ;  // NOLINT

namespace siskindrum::entry {

namespace {

constexpr std::chrono::seconds kBound{30};
constexpr std::chrono::milliseconds kPoll{10};
constexpr int kPortsOfASite = 100;

bool IsFree(int port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
  const bool free =
      bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(socket);
  return free;
}

// A range of ports below the ephemeral ones, none of which is in use.
int PickBase() {
  static int next = 10000 + (getpid() % 100) * kPortsOfASite;
  while (true) {
    const int base = next;
    next = next >= 30000 ? 10000 : next + kPortsOfASite;
    bool free = true;
    for (int port = base; free && port < base + kPortsOfASite; ++port) {
      free = IsFree(port);
    }
    if (free) {
      return base;
    }
  }
}

Site::Answer FromResult(const httplib::Result& result) {
  Site::Answer answer;
  if (result) {
    answer.complete_ = true;
    answer.status_ = result->status;
    answer.body_ = result->body;
    for (const auto& [name, value] : result->headers) {
      answer.headers_[name] = value;
    }
  }
  return answer;
}

httplib::Client ClientOf(int port) {
  httplib::Client client("127.0.0.1", port);
  client.set_read_timeout(kBound);
  return client;
}

}  // namespace

std::string Site::EntryName(int entry) {
  return "entry-" + std::to_string(entry);
}

Site::Site(int entries, std::vector<std::string> engine_options)
    : base_(PickBase()),
      entries_(entries),
      engine_options_(std::move(engine_options)) {
  char name[] = "/tmp/siskindrum-test-XXXXXX";
  directory_ = mkdtemp(name);
  list_ = {{"version", 1}, {"instances", Json::array()}};
  ports_["platform"] = base_;
  rules_ = "";
  for (int i = 0; i < entries; ++i) {
    const std::string n = std::to_string(i);
    const std::string domain = "domain-" + n;
    rules_ += "seat seat-" + n +
              " at 127.0.0.1:" + std::to_string(PeerPort(i)) +
              "  # asked by the test\n";
    const auto add = [&](const std::string& what, const char* kind,
                         const char* role, const char* service, int port) {
      ports_[what] = port;
      list_["instances"].push_back(
          {{"name", what},
           {"kind", kind},
           {"role", role},
           {"service", service},
           {"domain", domain},
           {"state", "live"},
           {"address", "127.0.0.1:" + std::to_string(port)}});
    };
    add(EntryName(i), "entry", "", "", PeerPort(i));
    add("prefill-" + n, "engine", "prefill", "reader", base_ + 40 + i);
    add("decode-" + n, "engine", "decode", "reader", base_ + 50 + i);
    add("desk-" + n, "plain", "plain", "desk", base_ + 60 + i);
    engines_.push_back("prefill-" + n);
    engines_.push_back("decode-" + n);
  }
  rules_ +=
      "when service=desk path=/desk/bookings* then pool=desk plain "
      "repeat=never timeout=8s retries=1  # asked by the test\n"
      "when service=desk then pool=desk plain timeout=5s retries=2  # asked by "
      "the test\n"
      "when model=reader then pool=reader first_token=20s retries=2  # asked "
      "by the test\n"
      "default then refuse  # asked by the test\n";
  StartPlatform();
  for (const std::string& engine : engines_) {
    StartEngine(engine);
  }
  for (int i = 0; i < entries; ++i) {
    const std::string name_of = "desk-" + std::to_string(i);
    Spawn(name_of, {"standin_plain", "--port", std::to_string(ports_[name_of]),
                    "--name", name_of});
  }
  for (int i = 0; i < entries; ++i) {
    StartEntry(i);
  }
}

Site::~Site() {
  for (const auto& [name, pid] : pids_) {
    kill(pid, SIGCONT);
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  PrintLogsOfFailure();
  std::filesystem::remove_all(directory_);
}

void Site::PrintLogsOfFailure() const {
  namespace test = boost::unit_test;
  const auto& result = test::results_collector.results(
      test::framework::current_test_case().p_id);
  if (result.p_assertions_failed == 0U) {
    return;
  }
  for (const auto& file : std::filesystem::directory_iterator(directory_)) {
    if (file.path().extension() == ".log") {
      const std::string name = file.path().stem();
      std::fprintf(stderr, "log of %s:\n%s\n", name.c_str(),
                   LogOf(name).c_str());
    }
  }
}

void Site::Spawn(const std::string& name, std::vector<std::string> command) {
  command[0] = std::string(SISKINDRUM_BINARY_DIR) + "/" + command[0];
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (std::string& word : command) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  const std::string log = directory_ + "/" + name + ".log";
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  pid_t pid = 0;
  BOOST_REQUIRE(posix_spawn(&pid, arguments[0], &actions, nullptr,
                            arguments.data(), environ) == 0);
  posix_spawn_file_actions_destroy(&actions);
  pids_[name] = pid;
}

void Site::StartPlatform() {
  std::ofstream(directory_ + "/rules.txt") << rules_;
  std::ofstream(directory_ + "/instances.json") << list_.dump();
  Spawn("platform", {"standin_platform", "--port", std::to_string(base_),
                     "--rules", directory_ + "/rules.txt", "--instances",
                     directory_ + "/instances.json"});
}

void Site::StartEngine(const std::string& name) {
  std::vector<std::string> command = {"standin_engine", "--port",
                                      std::to_string(ports_[name]), "--threads",
                                      "64"};
  command.insert(command.end(), engine_options_.begin(), engine_options_.end());
  Spawn(name, std::move(command));
}

void Site::StartEntry(int index) {
  const auto at = [](int port) { return "127.0.0.1:" + std::to_string(port); };
  const Json settings = {
      {"name", EntryName(index)},
      {"domain", "domain-" + std::to_string(index)},
      {"callers", {{"address", at(CallerPort(index))}}},
      {"operators", {{"address", at(OperatorPort(index))}}},
      {"peers", {{"address", at(PeerPort(index))}, {"fleet", "test"}}},
      {"platform",
       {{"configuration", at(base_)},
        {"instances", at(base_)},
        {"watch_wait_ms", 500},
        {"list_poll_ms", 200}}},
      {"load_poll_ms", 100}};
  const std::string file = directory_ + "/" + EntryName(index) + ".json";
  std::ofstream(file) << settings.dump(2);
  Spawn(EntryName(index), {"siskindrum", "--settings", file});
}

bool Site::Await(const std::function<bool()>& holds) {
  const auto end = std::chrono::steady_clock::now() + kBound;
  while (std::chrono::steady_clock::now() < end) {
    if (holds()) {
      return true;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return false;
}

void Site::AwaitReady() {
  BOOST_REQUIRE(Await([&] {
    for (int i = 0; i < entries_; ++i) {
      if (Get(OperatorPort(i), "/readyz").status_ != 200) {
        return false;
      }
      const Json dump = Dump(i);
      const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
      if (!dump.is_object() || dump["live_entries"] != entries_ ||
          dump["calls"]["floor_unix_ms"].get<std::int64_t>() >= now) {
        return false;
      }
    }
    return true;
  }));
}

void Site::Signal(const std::string& name, int signal) {
  kill(pids_.at(name), signal);
}

void Site::Kill(const std::string& name) {
  Signal(name, SIGKILL);
  waitpid(pids_.at(name), nullptr, 0);
  pids_.erase(name);
}

int Site::AwaitExit(const std::string& name) {
  int status = 0;
  const pid_t pid = pids_.at(name);
  const bool ended =
      Await([&] { return waitpid(pid, &status, WNOHANG) == pid; });
  if (ended) {
    pids_.erase(name);
  }
  return ended && WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

Site::Answer Site::Get(int port, const std::string& path) const {
  return FromResult(ClientOf(port).Get(path));
}

Site::Answer Site::Post(
    int port,
    const std::string& path,
    const std::string& body,
    const std::map<std::string, std::string>& headers) const {
  httplib::Headers sent(headers.begin(), headers.end());
  return FromResult(ClientOf(port).Post(path, sent, body, "application/json"));
}

Site::Answer Site::Put(int port,
                       const std::string& path,
                       const std::string& body) const {
  return FromResult(ClientOf(port).Put(path, body, "text/plain"));
}

Site::Answer Site::Complete(
    int entry,
    const std::string& prompt,
    int tokens,
    const std::function<bool(const std::string&)>& on_text,
    std::string* text) const {
  httplib::Client client = ClientOf(CallerPort(entry));
  httplib::Request request;
  request.method = "POST";
  request.path = "/v1/completions";
  request.body = Json{
      {"model", "reader"},
      {"prompt", prompt},
      {"max_tokens", tokens},
      {"stream",
       true}}.dump();
  std::string pending;
  bool done = false;
  request.content_receiver = [&](const char* data, std::size_t size,
                                 std::uint64_t, std::uint64_t) {
    pending.append(data, size);
    std::size_t end = 0;
    while ((end = pending.find("\n\n")) != std::string::npos) {
      const std::string event = pending.substr(0, end);
      pending.erase(0, end + 2);
      done = done || event == "data: [DONE]";
      const Json json = Json::parse(event.substr(6), nullptr, false);
      if (json.is_object() && json.contains("choices")) {
        const std::string piece = json["choices"][0].value("text", "");
        if (text != nullptr) {
          *text += piece;
        }
        if (on_text && !piece.empty() && !on_text(piece)) {
          return false;
        }
      }
    }
    return true;
  };
  Answer answer = FromResult(client.send(request));
  answer.complete_ = answer.complete_ && done;
  return answer;
}

Site::Json Site::Record(const std::string& name) const {
  return Json::parse(Get(ports_.at(name), "/record").body_, nullptr, false);
}

Site::Json Site::Dump(int entry) const {
  return Json::parse(Get(OperatorPort(entry), "/dump").body_, nullptr, false);
}

void Site::Control(const std::string& name, const Json& what) const {
  BOOST_REQUIRE(Post(ports_.at(name), "/control", what.dump()).status_ == 200);
}

void Site::PublishRules(std::uint64_t revision,
                        const std::string& rules) const {
  Put(base_, "/rules?revision=" + std::to_string(revision), rules);
}

void Site::PublishList(const std::function<void(Json&)>& change) {
  list_["version"] = list_["version"].get<int>() + 1;
  for (Json& row : list_["instances"]) {
    change(row);
  }
  Put(base_, "/instances", list_.dump());
}

std::size_t Site::HeldAnywhere() const {
  std::size_t held = 0;
  for (const std::string& engine : engines_) {
    const Json record = Record(engine);
    if (record.is_object()) {
      held += record["streams"].get<std::size_t>() +
              record["outputs"].get<std::size_t>() +
              record["queued"].get<std::size_t>();
    }
  }
  return held;
}

std::string Site::Key() {
  static std::mt19937_64 random(std::random_device{}());
  const auto ms = static_cast<unsigned long long>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  char buffer[64];
  std::snprintf(buffer, sizeof(buffer), "%08llx-%04llx-7000-8000-%012llx",
                ms >> 16, ms & 0xFFFFULL,
                static_cast<unsigned long long>(random() >> 16));
  return buffer;
}

std::string Site::Expected(const std::string& prompt, int tokens) {
  std::string text;
  for (int i = 0; i < tokens; ++i) {
    text +=
        "w" +
        std::to_string(core::Hash64(prompt, static_cast<std::uint64_t>(i) + 1) %
                       1000) +
        " ";
  }
  return text;
}

std::string Site::LogOf(const std::string& name) const {
  std::ifstream stream(directory_ + "/" + name + ".log");
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

}  // namespace siskindrum::entry
