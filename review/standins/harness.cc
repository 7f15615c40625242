#include "harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <memory>
#include <random>
#include <sstream>

namespace review {

namespace {

constexpr int kBacklog = 512;

bool FillAddress(const std::string& text, sockaddr_in* out) {
  const std::size_t colon = text.rfind(':');
  std::memset(out, 0, sizeof *out);
  out->sin_family = AF_INET;
  out->sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
  return inet_pton(AF_INET, text.substr(0, colon).c_str(), &out->sin_addr) == 1;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string Base64(const std::string& bytes) {
  constexpr char kAlphabet[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 |
              (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                    : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text +=
          i + j <= bytes.size() ? kAlphabet[group >> (18 - 6 * j) & 63] : '=';
    }
  }
  return text;
}

std::string QueryValue(const std::string& head, const std::string& name) {
  const std::string line = head.substr(0, head.find("\r\n"));
  const std::size_t at = line.find(name + "=");
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t begin = at + name.size() + 1;
  return line.substr(begin, line.find_first_of("& ", begin) - begin);
}

std::string JsonAnswer(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
         "Keep-Alive: timeout=30\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Reads a chunked body. Returns false when it does not end.
bool ReadChunks(const Channel& channel,
                std::string& rest,
                std::string& body,
                Milliseconds limit) {
  while (true) {
    std::size_t end = rest.find("\r\n");
    while (end == std::string::npos) {
      const std::string more = channel.Receive(limit);
      if (more.empty()) {
        return false;
      }
      rest += more;
      end = rest.find("\r\n");
    }
    const std::size_t size = std::stoul(rest.substr(0, end), nullptr, 16);
    while (rest.size() < end + 2 + size + 2) {
      const std::string more = channel.Receive(limit);
      if (more.empty()) {
        return false;
      }
      rest += more;
    }
    body += rest.substr(end + 2, size);
    rest.erase(0, end + 2 + size + 2);
    if (size == 0) {
      return true;
    }
  }
}

}  // namespace

void SleepFor(Milliseconds time) {
  std::this_thread::sleep_for(time);
}

Record::Record(const std::string& path) : file_(path) {}

void Record::Add(const std::string& line) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto age =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - start_);
  file_ << age.count() << " ms  " << line << "\n" << std::flush;
}

Channel Channel::Connect(const std::string& address) {
  sockaddr_in target{};
  FillAddress(address, &target);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect(fd, reinterpret_cast<sockaddr*>(&target), sizeof target) != 0) {
    close(fd);
    return Channel(-1);
  }
  return Channel(fd);
}

bool Channel::Send(const std::string& bytes) const {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

std::string Channel::Receive(Milliseconds limit) const {
  pollfd wait{fd_, POLLIN, 0};
  if (poll(&wait, 1, static_cast<int>(limit.count())) <= 0) {
    return "";
  }
  char buffer[16384];
  const ssize_t count = recv(fd_, buffer, sizeof buffer, 0);
  return count <= 0 ? "" : std::string(buffer, static_cast<std::size_t>(count));
}

bool Channel::IsClosedByPeer() const {
  char byte = 0;
  const ssize_t count = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Channel::Shutdown() const {
  shutdown(fd_, SHUT_RDWR);
}

void Channel::Close() {
  if (fd_ >= 0) {
    close(fd_);
  }
  fd_ = -1;
}

Message ReadMessage(const Channel& channel,
                    std::string& rest,
                    Milliseconds limit) {
  Message message;
  while (rest.find("\r\n\r\n") == std::string::npos) {
    const std::string more = channel.Receive(limit);
    if (more.empty()) {
      return message;
    }
    rest += more;
  }
  const std::size_t end = rest.find("\r\n\r\n") + 4;
  message.head_ = rest.substr(0, end);
  rest.erase(0, end);
  if (Lower(FieldOf(message.head_, "Transfer-Encoding")) == "chunked") {
    message.complete_ = ReadChunks(channel, rest, message.body_, limit);
    return message;
  }
  const std::string length = FieldOf(message.head_, "Content-Length");
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (rest.size() < size) {
    const std::string more = channel.Receive(limit);
    if (more.empty()) {
      return message;
    }
    rest += more;
  }
  message.body_ = rest.substr(0, size);
  rest.erase(0, size);
  message.complete_ = true;
  return message;
}

std::string FieldOf(const std::string& head, const std::string& name) {
  const std::string wanted = "\r\n" + Lower(name) + ":";
  const std::size_t at = Lower(head).find(wanted);
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t begin = head.find_first_not_of(' ', at + wanted.size());
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

int StatusOf(const std::string& head) {
  const std::size_t space = head.find(' ');
  return space == std::string::npos ? 0 : std::atoi(head.c_str() + space + 1);
}

std::uint16_t FreePort(const std::string& ip) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  FillAddress(ip + ":0", &address);
  bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
  socklen_t length = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  close(fd);
  return ntohs(address.sin_port);
}

std::string LoopbackIp(int last) {
  const int run = static_cast<int>(getpid());
  return "127." + std::to_string(1 + run / 250 % 250) + "." +
         std::to_string(1 + run % 250) + "." + std::to_string(last);
}

Listener::Listener(const std::string& ip, Serve serve)
    : address_(ip + ":0"), serve_(std::move(serve)) {
  Start();
}

Listener::~Listener() {
  Stop();
}

void Listener::Start() {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  FillAddress(address_, &address);
  if (bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd_, kBacklog) != 0) {
    std::_Exit(kCannotRun);
  }
  socklen_t length = sizeof address;
  getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &length);
  address_ = address_.substr(0, address_.rfind(':') + 1) +
             std::to_string(ntohs(address.sin_port));
  thread_ = std::thread([this] {
    while (true) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([fd, serve = serve_] {
        Channel channel(fd);
        serve(channel);
      }).detach();
    }
  });
}

void Listener::Stop() {
  if (fd_ >= 0) {
    shutdown(fd_, SHUT_RDWR);
    thread_.join();
    close(fd_);
  }
  fd_ = -1;
}

Store::Store(const std::string& ip)
    : listener_(std::make_unique<Listener>(ip, [this](Channel& channel) {
        Serve(channel);
      })) {}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  items_[key] = {value, ++revision_};
  changed_.notify_all();
}

std::string Store::Format(const std::string& key, const Item& item) {
  return R"({"key":")" + key + R"(","value":")" + Base64(item.value_) +
         R"(","revision":)" + std::to_string(item.revision_) +
         R"(,"createRevision":)" + std::to_string(item.revision_) +
         R"(,"lease":0})";
}

std::string Store::Page() {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::string items;
  for (const auto& [key, item] : items_) {
    items += (items.empty() ? "" : ",") + Format(key, item);
  }
  return R"({"items":[)" + items + R"(],"truncated":false,"asOf":)" +
         std::to_string(revision_) + "}";
}

std::string Store::Watch(std::uint64_t after, Milliseconds wait) {
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait_for(lock, wait, [&] { return revision_ > after; });
  std::string events;
  for (const auto& [key, item] : items_) {
    if (item.revision_ > after) {
      events += (events.empty() ? "" : ",") + Format(key, item);
    }
  }
  return R"({"events":[)" + events + R"(],"asOf":)" +
         std::to_string(revision_) + "}";
}

void Store::Serve(Channel& channel) {
  std::string rest;
  while (true) {
    const Message request =
        ReadMessage(channel, rest, std::chrono::seconds(60));
    if (!request.complete_) {
      return;
    }
    const bool watches = request.head_.rfind("GET /kv-watch", 0) == 0;
    const std::string body =
        watches ? Watch(std::stoull("0" + QueryValue(request.head_, "after")),
                        Milliseconds(std::stoi(
                            "0" + QueryValue(request.head_, "waitMs"))))
                : Page();
    if (!channel.Send(JsonAnswer(body))) {
      return;
    }
  }
}

std::string ServerEntry(const std::string& service,
                        const std::string& address,
                        const std::string& zone,
                        int slots,
                        const std::string& stage) {
  const auto now = std::chrono::duration_cast<Milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return R"({"service":")" + service + R"(","address":")" + address +
         R"(","zone":")" + zone + R"(","version":"v1","slots":)" +
         std::to_string(slots) + R"(,"state":"ready","coldRemainingMs":0,)" +
         (stage.empty() ? "" : R"("stage":")" + stage + R"(",)") +
         R"("sequence":1,"born":)" + std::to_string(now.count()) + "}";
}

Entry::Entry(const EntryOptions& options, const std::string& directory)
    : options_(options),
      front_(options.ip_ + ":" + std::to_string(FreePort(options.ip_))),
      ready_(options.ip_ + ":" + std::to_string(FreePort(options.ip_))),
      log_(directory + "/" + options.name_ + ".log") {
  const std::string settings = directory + "/" + options.name_ + ".json";
  std::string seeds;
  for (const std::string& seed : options.seeds_) {
    seeds += (seeds.empty() ? "\"" : ",\"") + seed + "\"";
  }
  std::ofstream(settings)
      << R"({"nodeName":")" << options.name_ << R"(","role":"entry",)"
      << R"("machineClass":"front","serves":["front","control"],"ip":")"
      << options.ip_ << R"(","zone":")" << options.zone_
      << R"(","region":"r","zones":{")" << options.zone_
      << R"(":"r"},"listen":{"front":")" << front_ << R"(","ready":")" << ready_
      << R"(","control":")" << options.control_
      << R"("},"internalPorts":[7380,7395],"seeds":[)" << seeds
      << R"(],"bootstrap":)" << (options.bootstrap_ ? "true" : "false")
      << R"(,"limits":{"cpuShare":0.5,"cores":1,"memoryMb":)"
      << options.memory_mb_
      << R"(,"maxFds":6150,"linkMbps":1500.0,"diskMb":0},"dataDir":null,)"
      << R"("discovery":"platform","entry":"vip","heartbeatMs":1200,)"
      << R"("bounds":{"stableWindowMs":3000,"drainMs":2000,"graceS":8,)"
      << R"("lossSlackMs":200,"configApplyMs":2000,"retryBudgetRatio":0.2,)"
      << R"("budgetWindowS":10,"budgetSlack":54,"recoverS":12},)"
      << R"("platform":{"address":")" << options.store_
      << R"(","form":"read","readsPerS":2000,"historyS":20,)"
      << R"("valueBytes":1048576}})";
  pid_ = fork();
  if (pid_ == 0) {
    const int out = open(log_.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    setenv("SISKINDRUM_SETTINGS", settings.c_str(), 1);
    execl("target/siskindrum", "target/siskindrum", "--on-platform",
          "--operators-port", "7390", nullptr);
    _exit(127);
  }
}

Entry::~Entry() {
  Kill();
}

bool Entry::AwaitReady(Milliseconds limit) const {
  const auto until = Clock::now() + limit;
  while (Clock::now() < until) {
    if (Get(ready_, "/ready", Milliseconds(500)) == 200) {
      return true;
    }
    SleepFor(Milliseconds(50));
  }
  return false;
}

bool Entry::HasEnded() {
  int status = 0;
  if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_) {
    pid_ = -1;
    ended_how_ = WIFSIGNALED(status)
                     ? "signal " + std::to_string(WTERMSIG(status))
                     : "exit code " + std::to_string(WEXITSTATUS(status));
  }
  return pid_ <= 0;
}

void Entry::Kill() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
    ended_how_ = "killed by this script";
  }
}

void Entry::Terminate() const {
  kill(pid_, SIGTERM);
}

double Entry::MemoryMb() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
  double size = 0;
  double resident = 0;
  file >> size >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
}

std::string Entry::LastLogLines(std::size_t count) const {
  std::ifstream file(log_);
  std::vector<std::string> lines;
  for (std::string line; std::getline(file, line);) {
    std::replace_if(
        line.begin(), line.end(),
        [](unsigned char c) { return c < 0x20 || c > 0x7e; }, '?');
    lines.push_back(line);
  }
  std::string text;
  for (std::size_t i = lines.size() - std::min(count, lines.size());
       i < lines.size(); ++i) {
    text += "\n    " + lines[i];
  }
  return text;
}

int Get(const std::string& address,
        const std::string& path,
        Milliseconds limit) {
  const Channel channel = Channel::Connect(address);
  std::string rest;
  if (!channel.IsOpen() ||
      !channel.Send("GET " + path + " HTTP/1.1\r\nHost: " + address +
                    "\r\nConnection: close\r\n\r\n")) {
    return 0;
  }
  const Message answer = ReadMessage(channel, rest, limit);
  return answer.complete_ ? StatusOf(answer.head_) : 0;
}

CaseOptions ParseOptions(int count, char** words) {
  signal(SIGPIPE, SIG_IGN);
  CaseOptions options;
  options.directory_ = count > 1 ? words[1] : ".";
  const char* trouble = std::getenv("TROUBLE");
  options.trouble_ = trouble == nullptr || std::string(trouble) != "0";
  return options;
}

TemporaryDirectory::TemporaryDirectory() {
  std::string name =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  path_ = mkdtemp(name.data());
}

TemporaryDirectory::~TemporaryDirectory() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

}  // namespace review
