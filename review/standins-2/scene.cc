#include "scene.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <sstream>

namespace scene {

namespace {

const Clock::time_point kStart = Clock::now();
constexpr std::int64_t kHistoryMs = 20000;
constexpr std::size_t kPageBytes = 1000 * 1000;
constexpr std::size_t kPageItems = 500;

std::mutex record_mutex;
std::ofstream record_file;

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string Base64(const std::string& text) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  out.reserve((text.size() + 2) / 3 * 4);
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      bits =
          bits << 8 |
          (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0u);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out += i + k > text.size() ? '=' : kDigits[bits >> (18 - 6 * k) & 63];
    }
  }
  return out;
}

std::string PercentDecode(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

std::map<std::string, std::string> Query(const std::string& target) {
  std::map<std::string, std::string> query;
  const std::size_t mark = target.find('?');
  if (mark == std::string::npos) {
    return query;
  }
  std::stringstream parts(target.substr(mark + 1));
  for (std::string part; std::getline(parts, part, '&');) {
    const std::size_t equals = part.find('=');
    query[part.substr(0, equals)] =
        equals == std::string::npos ? ""
                                    : PercentDecode(part.substr(equals + 1));
  }
  return query;
}

std::uint64_t Number(const std::map<std::string, std::string>& query,
                     const std::string& name) {
  const auto found = query.find(name);
  return found == query.end() || found->second.empty()
             ? 0
             : std::strtoull(found->second.c_str(), nullptr, 10);
}

sockaddr_in SocketAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

bool SendAll(int socket, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t count =
        send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

// Reads more bytes, at most until `until`. Returns 1, 0 at the end of the
// connection and -1 after an error or the time.
int ReadSome(int socket, std::string& buffer, Clock::time_point until) {
  const auto left =
      std::chrono::duration_cast<Ms>(until - Clock::now()).count();
  pollfd poller{socket, POLLIN, 0};
  if (left <= 0 || poll(&poller, 1, static_cast<int>(left)) <= 0) {
    return -1;
  }
  char bytes[65536];
  const ssize_t count = recv(socket, bytes, sizeof bytes, 0);
  if (count > 0) {
    buffer.append(bytes, static_cast<std::size_t>(count));
  }
  return count > 0 ? 1 : count == 0 ? 0 : -1;
}

// Parses the head at the begin of `buffer` and removes it. Returns false if it
// is not whole yet.
bool TakeHead(std::string& buffer, Message& message, std::string& first) {
  const std::size_t end = buffer.find("\r\n\r\n");
  if (end == std::string::npos) {
    return false;
  }
  std::stringstream lines(buffer.substr(0, end));
  buffer.erase(0, end + 4);
  std::getline(lines, first);
  if (!first.empty() && first.back() == '\r') {
    first.pop_back();
  }
  for (std::string line; std::getline(lines, line);) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::string value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      message.fields_.push_back({line.substr(0, colon), value});
    }
  }
  return true;
}

std::string Format(const Message& answer) {
  std::string text = "HTTP/1.1 " + std::to_string(answer.status_) + " X\r\n";
  for (const auto& [name, value] : answer.fields_) {
    text += name + ": " + value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(answer.body_.size()) + "\r\n\r\n";
  return text + answer.body_;
}

int Connect(const std::string& address, std::int64_t limit_ms) {
  const std::size_t colon = address.rfind(':');
  const sockaddr_in target = SocketAddress(
      address.substr(0, colon), std::stoi(address.substr(colon + 1)));
  const int socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  connect(socket, reinterpret_cast<const sockaddr*>(&target), sizeof target);
  pollfd poller{socket, POLLOUT, 0};
  int error = 0;
  socklen_t length = sizeof error;
  if (poll(&poller, 1, static_cast<int>(limit_ms)) <= 0 ||
      getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &length) != 0 ||
      error != 0) {
    close(socket);
    return -1;
  }
  const int flags = fcntl(socket, F_GETFL);
  fcntl(socket, F_SETFL, flags & ~O_NONBLOCK);
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return socket;
}

}  // namespace

std::int64_t Now() {
  return std::chrono::duration_cast<Ms>(Clock::now() - kStart).count();
}

void Sleep(std::int64_t ms) {
  std::this_thread::sleep_for(Ms(ms));
}

void OpenRecord(const std::string& path) {
  record_file.open(path);
}

void Record(const std::string& line) {
  const std::lock_guard lock(record_mutex);
  char time[32];
  std::snprintf(time, sizeof time, "%9.3f  ", static_cast<double>(Now()) / 1e3);
  record_file << time << line << "\n" << std::flush;
}

bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

std::string Message::Field(const std::string& name) const {
  for (const auto& [key, value] : fields_) {
    if (Lower(key) == Lower(name)) {
      return value;
    }
  }
  return "";
}

Server::Server(const std::string& ip, Handler handler)
    : handler_(std::move(handler)) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = SocketAddress(ip, 0);
  socklen_t length = sizeof address;
  if (bind(listener_, reinterpret_cast<sockaddr*>(&address), length) != 0 ||
      listen(listener_, 256) != 0 ||
      getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length) !=
          0) {
    std::perror("server");
    std::exit(2);
  }
  address_ = ip + ":" + std::to_string(ntohs(address.sin_port));
  acceptor_ = std::thread([this] { Accept(); });
}

Server::~Server() {
  Stop();
}

void Server::Stop() {
  if (stopping_.exchange(true)) {
    return;
  }
  shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  close(listener_);
  std::vector<std::thread> threads;
  {
    const std::lock_guard lock(mutex_);
    for (const int socket : sockets_) {
      shutdown(socket, SHUT_RDWR);
    }
    threads.swap(threads_);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

void Server::Accept() {
  while (!stopping_) {
    const int socket = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      if (stopping_) {
        return;
      }
      continue;
    }
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const std::lock_guard lock(mutex_);
    sockets_.insert(socket);
    threads_.emplace_back([this, socket] {
      Serve(socket);
      const std::lock_guard inner(mutex_);
      sockets_.erase(socket);
      close(socket);
    });
  }
}

void Server::Serve(int socket) {
  std::string buffer;
  while (!stopping_) {
    Message request;
    std::string first;
    const auto idle_until = Clock::now() + Ms(20000);
    while (!TakeHead(buffer, request, first)) {
      if (ReadSome(socket, buffer, idle_until) != 1) {
        return;
      }
    }
    std::stringstream words(first);
    words >> request.method_ >> request.target_;
    const std::string text = request.Field("Content-Length");
    const std::size_t length = text.empty() ? 0 : std::stoull(text);
    while (buffer.size() < length) {
      if (ReadSome(socket, buffer, idle_until) != 1) {
        return;
      }
    }
    request.body_ = buffer.substr(0, length);
    buffer.erase(0, length);
    Message answer;
    answer.status_ = 200;
    if (!handler_(request, answer) || !SendAll(socket, Format(answer)) ||
        Lower(answer.Field("Connection")) == "close") {
      return;
    }
  }
}

Store::Store(const std::string& ip) {
  server_ = std::make_unique<Server>(
      ip, [this](const Message& request, Message& answer) {
        return Handle(request, answer);
      });
}

Store::~Store() {
  stopping_ = true;
  changed_.notify_all();
  server_->Stop();
}

std::uint64_t Store::Put(const std::string& key, const std::string& value) {
  const std::string encoded = Base64(value);
  const std::lock_guard lock(mutex_);
  ++revision_;
  Item& item = items_[key];
  item.value_ = encoded;
  item.revision_ = revision_;
  item.created_ = item.created_ == 0 ? revision_ : item.created_;
  history_.push_back(
      {key, encoded, revision_, item.created_, false, Clock::now()});
  changed_.notify_all();
  return revision_;
}

void Store::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  if (items_.erase(key) == 0) {
    return;
  }
  ++revision_;
  history_.push_back({key, "", revision_, 0, true, Clock::now()});
  changed_.notify_all();
}

bool Store::Handle(const Message& request, Message& answer) {
  const std::string path = request.target_.substr(0, request.target_.find('?'));
  const auto query = Query(request.target_);
  answer.fields_.push_back({"Content-Type", "application/json"});
  if (path == "/kv-range") {
    Sleep(answer_ms_);
    answer.body_ = Range(query);
    return true;
  }
  if (path == "/kv-watch") {
    return Watch(query, answer);
  }
  answer.status_ = 404;
  return true;
}

std::string Store::Range(const std::map<std::string, std::string>& query) {
  const std::lock_guard lock(mutex_);
  const auto prefix = query.find("pathPrefix");
  const std::string start = prefix == query.end() ? "" : prefix->second;
  const auto after = query.find("after");
  Json items = Json::array();
  bool truncated = false;
  std::size_t bytes = 0;
  for (const auto& [key, item] : items_) {
    if (key.compare(0, start.size(), start) != 0 ||
        (after != query.end() && key <= after->second)) {
      continue;
    }
    if (!items.empty() && (items.size() >= kPageItems ||
                           bytes + item.value_.size() > kPageBytes)) {
      truncated = true;
      break;
    }
    bytes += item.value_.size();
    items.push_back({{"key", key},
                     {"value", item.value_},
                     {"revision", item.revision_},
                     {"createRevision", item.created_},
                     {"lease", 0}});
  }
  return Json{{"items", items}, {"truncated", truncated}, {"asOf", revision_}}
      .dump();
}

bool Store::Watch(const std::map<std::string, std::string>& query,
                  Message& answer) {
  const std::uint64_t after = Number(query, "after");
  const auto wait = Ms(std::min<std::uint64_t>(30000, Number(query, "waitMs")));
  {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, wait,
                      [&] { return revision_ > after || stopping_; });
  }
  Sleep(answer_ms_);
  const std::lock_guard lock(mutex_);
  while (!history_.empty() &&
         Clock::now() - history_.front().at_ > Ms(kHistoryMs)) {
    dropped_ = history_.front().revision_;
    history_.pop_front();
  }
  if (after < dropped_) {
    ++gone_;
    answer.status_ = 410;
    return true;
  }
  Json events = Json::array();
  for (const Event& event : history_) {
    if (event.revision_ <= after) {
      continue;
    }
    if (event.tombstone_) {
      events.push_back({{"key", event.key_},
                        {"revision", event.revision_},
                        {"tombstone", true}});
    } else {
      events.push_back({{"key", event.key_},
                        {"value", event.value_},
                        {"revision", event.revision_},
                        {"createRevision", event.created_},
                        {"lease", 0}});
    }
  }
  answer.body_ = Json{{"events", events}, {"asOf", revision_}}.dump();
  largest_ = std::max<std::size_t>(largest_, answer.body_.size());
  return true;
}

Runner::Runner(Store& store,
               const std::string& ip,
               const std::string& id,
               const std::string& service,
               const std::string& zone,
               std::int64_t work_ms)
    : store_(store),
      id_(id),
      service_(service),
      zone_(zone),
      work_ms_(work_ms),
      born_(std::chrono::duration_cast<Ms>(
                std::chrono::system_clock::now().time_since_epoch())
                .count()) {
  server_ = std::make_unique<Server>(
      ip, [this](const Message& request, Message& answer) {
        return Handle(request, answer);
      });
  WriteEntry();
}

Runner::~Runner() {
  Leave();
}

Json Runner::Entry() const {
  const std::lock_guard lock(beat_mutex_);
  return {{"service", service_},  {"address", server_->Address()},
          {"zone", zone_},        {"version", "v1"},
          {"slots", 6},           {"state", draining_ ? "draining" : "ready"},
          {"coldRemainingMs", 0}, {"sequence", sequence_},
          {"born", born_}};
}

void Runner::WriteEntry() {
  {
    const std::lock_guard lock(beat_mutex_);
    if (stopping_) {
      return;
    }
    ++sequence_;
  }
  store_.Put("servers/" + id_, Entry().dump());
}

void Runner::Drain() {
  draining_ = true;
  WriteEntry();
}

void Runner::Leave() {
  if (stopping_.exchange(true)) {
    return;
  }
  server_->Stop();
  store_.Remove("servers/" + id_);
}

std::vector<Run> Runner::Runs() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

bool Runner::Handle(const Message& request, Message& answer) {
  const std::string id = request.Field("Request-Id");
  if (!id.empty()) {
    answer.fields_.push_back({"Request-Id", id});
  }
  answer.fields_.push_back({"Instance-Id", id_});
  if (draining_) {
    answer.fields_.push_back({"Connection", "close"});
    answer.fields_.push_back({"Server-Leaving", "1"});
  }
  if (request.target_ == "/health") {
    answer.status_ = draining_ ? 503 : 200;
    return true;
  }
  const std::string expected = request.Field("Expect-Instance");
  if (id.empty() || (!expected.empty() && expected != id_)) {
    answer.status_ = id.empty() ? 400 : 421;
    answer.fields_.push_back({"Not-Executed", "1"});
    return true;
  }
  {
    const std::lock_guard lock(mutex_);
    runs_.push_back({id, request.target_, Now()});
  }
  Sleep(work_ms_);
  answer.fields_.push_back({"Server-Stamp", "stamp-" + id_});
  answer.body_ = id_;
  return true;
}

Answer Call(const std::string& address,
            const std::string& method,
            const std::string& host,
            const std::string& path,
            const std::string& id,
            std::int64_t deadline_ms) {
  Answer result;
  const int socket = Connect(address, 1000);
  result.sent_at_ = Now();
  result.ended_at_ = result.sent_at_;
  if (socket < 0) {
    return result;
  }
  result.connected_ = true;
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                     "\r\nRequest-Id: " + id +
                     "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
  if (method == "POST") {
    text += "Content-Length: 0\r\n";
  }
  SendAll(socket, text + "\r\n");
  result.sent_at_ = Now();
  const auto until = Clock::now() + Ms(deadline_ms + 500);
  std::string buffer;
  Message answer;
  std::string first;
  bool open = true;
  while (open && !TakeHead(buffer, answer, first)) {
    open = ReadSome(socket, buffer, until) == 1;
  }
  if (open && first.size() >= 12) {
    result.status_ = std::atoi(first.substr(9, 3).c_str());
    const std::size_t length =
        std::strtoull(answer.Field("Content-Length").c_str(), nullptr, 10);
    while (open && buffer.size() < length) {
      open = ReadSome(socket, buffer, until) == 1;
    }
    result.complete_ = buffer.size() >= length;
    result.runner_ = buffer.substr(0, length);
  }
  result.ended_at_ = Now();
  close(socket);
  return result;
}

Answer CallStream(const std::string& address,
                  const std::string& host,
                  const std::string& path,
                  const std::string& id,
                  const std::string& prompt_prefix,
                  std::int64_t deadline_ms) {
  Answer result;
  const int socket = Connect(address, 1000);
  result.sent_at_ = Now();
  result.ended_at_ = result.sent_at_;
  if (socket < 0) {
    return result;
  }
  result.connected_ = true;
  SendAll(socket, "POST " + path + " HTTP/1.1\r\nHost: " + host +
                      "\r\nRequest-Id: " + id +
                      "\r\nModel: m\r\nToken-Count: 750,80\r\n"
                      "Prompt-Prefix: " +
                      prompt_prefix +
                      "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
                      "\r\nContent-Length: 0\r\n\r\n");
  const auto until = Clock::now() + Ms(deadline_ms + 500);
  std::string buffer;
  Message answer;
  std::string first;
  bool open = true;
  while (open && !TakeHead(buffer, answer, first)) {
    open = ReadSome(socket, buffer, until) == 1;
  }
  if (open && first.size() >= 12) {
    result.status_ = std::atoi(first.substr(9, 3).c_str());
    const bool chunked = !answer.Field("Transfer-Encoding").empty();
    const auto ends = [&] {
      return !chunked ||
             (buffer.size() >= 5 &&
              buffer.compare(buffer.size() - 5, 5, "0\r\n\r\n") == 0);
    };
    while (open && !ends()) {
      open = ReadSome(socket, buffer, until) == 1;
    }
    result.complete_ = ends();
  }
  result.ended_at_ = Now();
  close(socket);
  return result;
}

int FreePort(const std::string& ip) {
  const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = SocketAddress(ip, 0);
  socklen_t length = sizeof address;
  bind(probe, reinterpret_cast<sockaddr*>(&address), length);
  getsockname(probe, reinterpret_cast<sockaddr*>(&address), &length);
  close(probe);
  return ntohs(address.sin_port);
}

Entry::Entry(const EntryOptions& options,
             const std::string& store,
             const std::vector<std::string>& seeds,
             int control_port,
             const std::string& folder,
             const std::string& zones)
    : options_(options),
      store_(store),
      seeds_(seeds),
      control_port_(control_port),
      folder_(folder),
      zones_(zones) {
  front_ = options_.ip_ + ":" + std::to_string(FreePort(options_.ip_));
  ready_ = options_.ip_ + ":" + std::to_string(FreePort(options_.ip_));
}

Entry::~Entry() {
  Kill();
}

void Entry::Start(bool first_start) {
  Json zones = Json::object();
  std::stringstream names(zones_);
  for (std::string name; std::getline(names, name, ',');) {
    zones[name] = "region";
  }
  const Json settings = {
      {"nodeName", options_.name_},
      {"role", "entry"},
      {"machineClass", "front"},
      {"serves", {"front", "control"}},
      {"ip", options_.ip_},
      {"zone", options_.zone_},
      {"region", "region"},
      {"zones", zones},
      {"listen",
       {{"front", front_},
        {"ready", ready_},
        {"control", options_.ip_ + ":" + std::to_string(control_port_)}}},
      {"internalPorts", {7380, 7395}},
      {"seeds", seeds_},
      {"bootstrap", first_start},
      {"inFaultBudget", false},
      {"limits",
       {{"cpuShare", 0.5},
        {"cores", 1},
        {"memoryMb", options_.memory_mb_},
        {"maxFds", 4100},
        {"linkMbps", 1000.0},
        {"diskMb", 0}}},
      {"dataDir", nullptr},
      {"discovery", "platform"},
      {"entry", "vip"},
      {"heartbeatMs", 1200},
      {"faultTolerance", {{"machines", 2}, {"zones", 1}, {"regions", 0}}},
      {"bounds", options_.bounds_},
      {"platform",
       {{"address", store_},
        {"form", "read"},
        {"writesPerS", 400},
        {"readsPerS", 2000},
        {"historyS", 20},
        {"valueBytes", 1048576},
        {"ttlMinMs", 1000}}}};
  const std::string file = folder_ + "/" + options_.name_ + ".json";
  std::ofstream(file) << settings.dump(1);
  const std::string log = folder_ + "/" + options_.name_ + ".log";
  pid_ = fork();
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // Ends with the case.
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    setenv("SISKINDRUM_SETTINGS", file.c_str(), 1);
    execl("target/siskindrum", "target/siskindrum", "--on-platform",
          "--operators-port", "7390", static_cast<char*>(nullptr));
    _exit(127);
  }
}

void Entry::Signal(int signal) {
  if (pid_ > 0) {
    kill(pid_, signal);
  }
}

void Entry::Kill() {
  if (pid_ > 0) {
    kill(pid_, SIGCONT);
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
}

bool Entry::IsRunning() {
  if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
    pid_ = -1;
  }
  return pid_ > 0;
}

std::uint64_t Entry::Resident() const {
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmRSS:", 0) == 0) {
      return std::strtoull(line.c_str() + 6, nullptr, 10) * 1024;
    }
  }
  return 0;
}

int Entry::Ready() const {
  return Call(ready_, "GET", "probe", "/ready", "probe", 500).status_;
}

bool Entry::AwaitReady(std::int64_t limit_ms) const {
  const std::int64_t until = Now() + limit_ms;
  while (Now() < until) {
    if (Ready() == 200) {
      return true;
    }
    Sleep(100);
  }
  return false;
}

Json SmallBounds() {
  return {{"seedLagS", 3},
          {"reuseAfterS", 2},
          {"stableWindowMs", 3000},
          {"ackMs", 4000},
          {"catchUpS", 4},
          {"drainMs", 2000},
          {"graceS", 8},
          {"lossSlackMs", 200},
          {"configApplyMs", 2000},
          {"downgradeSlackMs", 250},
          {"maxStretchMs", 5000},
          {"retryBudgetRatio", 0.2},
          {"budgetWindowS", 10},
          {"budgetSlack", 54},
          {"recoverS", 12},
          {"transitMs", 120},
          {"reuseWindowS", 6.4},
          {"requireFence", true},
          {"leaseMs", 3000},
          {"thawSlackMs", 300}};
}

}  // namespace scene
