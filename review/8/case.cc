// First start of a deployment. Are orders to engines given by one holder only,
// when one machine's list of seeds is stale?

#include <map>
#include <mutex>
#include <set>
#include <vector>

#include "../standins-2/scene.h"

namespace {

using scene::Json;

struct Order {
  std::string engine_;
  std::string holder_;
  std::int64_t fence_ = 0;
  std::int64_t at_ = 0;
  int answer_ = 0;
};

std::mutex mutex;
std::vector<Order> orders;

// An engine: it accepts one order at a time and changes its stage `switchS`
// later.
class Engine {
 public:
  Engine(scene::Store& store,
         const std::string& id,
         const std::string& zone,
         const std::string& stage)
      : store_(store), id_(id), zone_(zone), stage_(stage) {
    server_ = std::make_unique<scene::Server>(
        "127.0.0.1",
        [this](const scene::Message& request, scene::Message& answer) {
          return Handle(request, answer);
        });
    Write();
  }

  void Write() {
    store_.Put("servers/" + id_,
               Json{{"service", "order-reader"},
                    {"address", server_->Address()},
                    {"zone", zone_},
                    {"version", "v1"},
                    {"slots", 64},
                    {"state", "ready"},
                    {"coldRemainingMs", 0},
                    {"stage", stage_},
                    {"models", Json::array({{{"name", "m"},
                                             {"version", 1},
                                             {"adapters", Json::array()}}})},
                    {"sequence", ++sequence_},
                    {"born", 1700000000000}}
                   .dump());
  }

  bool Handle(const scene::Message& request, scene::Message& answer) {
    answer.fields_.push_back({"Instance-Id", id_});
    const std::string expected = request.Field("Expect-Instance");
    if (!expected.empty() && expected != id_) {
      answer.status_ = 421;
      return true;
    }
    if (request.target_ != "/order") {
      answer.status_ = request.target_ == "/health" ? 200 : 404;
      return true;
    }
    const Json body = Json::parse(request.body_, nullptr, false);
    if (!body.is_object() || !body.contains("holder") ||
        !body.contains("fence")) {
      answer.status_ = 400;
      return true;
    }
    const std::lock_guard lock(mutex);
    const auto fence = body["fence"].get<std::int64_t>();
    // `requireFence`: a lower number than one already seen is refused.
    answer.status_ = fence < fence_            ? 412
                     : busy_                   ? 409
                     : body["stage"] == stage_ ? 200
                                               : 202;
    if (fence >= fence_) {
      fence_ = fence;
    }
    busy_ = busy_ || answer.status_ == 202;
    orders.push_back({id_, body["holder"].get<std::string>(), fence,
                      scene::Now(), answer.status_});
    scene::Record("engine " + id_ + " gets order " + request.body_ +
                  ", answers " + std::to_string(answer.status_));
    return true;
  }

 private:
  scene::Store& store_;
  std::string id_;
  std::string zone_;
  std::string stage_;
  std::uint64_t sequence_ = 0;
  std::int64_t fence_ = 0;
  bool busy_ = false;
  std::unique_ptr<scene::Server> server_;
};

std::string Configuration() {
  return Json{{"version", 1},
              {"routes",
               {{{"name", "r-draft"},
                 {"host", "shop.example"},
                 {"pathPrefix", "/draft/"},
                 {"kind", "streaming"},
                 {"timeoutMs", 14000},
                 {"targetLatencyMs", 900},
                 {"priority", 1},
                 {"service", "order-reader"},
                 {"maxAttempts", 2},
                 {"sticky", true},
                 {"resumable", true},
                 {"targetGapMs", 300}}}},
              {"services",
               {{{"name", "order-reader"},
                 {"healthPath", "/health"},
                 {"maxConnections", 360},
                 {"protocol", "h1"},
                 {"tls", false},
                 {"engine",
                  {{"slots", 64},
                   {"kvCapacityTokens", 66635},
                   {"kvTokenBytes", 18432},
                   {"linkMbps", 240000.0},
                   {"stride", 11},
                   {"kvHoldS", 0.5},
                   {"switchS", 6.0},
                   {"pinMs", 4000.0},
                   {"holdMs", 2000.0},
                   {"models", {{{"name", "m"}}}}}}}}},
              {"limits",
               {{"maxHeaderBytes", 16384},
                {"maxBodyBytes", 4194304},
                {"headerTimeoutMs", 3000},
                {"idleTimeoutMs", 15000}}}}
      .dump();
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    return 2;
  }
  const std::string folder = argv[1];
  scene::OpenRecord(argv[2]);
  const bool trouble = scene::Trouble();
  scene::Record(trouble ? "with the disturbance" : "without the disturbance");
  scene::Store store("127.0.0.1");
  store.Put("op/config", Configuration());
  std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 0; i < 9; ++i) {
    engines.push_back(std::make_unique<Engine>(
        store, "i-engine-" + std::to_string(i),
        "zone-" + std::string(1, static_cast<char>('a' + i % 3)),
        i < 4 ? "prefill" : "decode"));
  }
  const int control = scene::FreePort("127.0.0.1");
  const auto address = [&](int i) {
    return "127.0.8." + std::to_string(1 + i) + ":" + std::to_string(control);
  };
  // The list as it is: the first three machines of the deployment. The stale
  // list lacks the first machine, which was added last.
  const std::vector<std::string> current = {address(0), address(1), address(2)};
  const std::vector<std::string> stale = {address(1), address(2)};
  std::vector<std::unique_ptr<scene::Entry>> entries;
  for (int i = 0; i < 3; ++i) {
    scene::EntryOptions options{
        "front-" + std::to_string(i + 1), "127.0.8." + std::to_string(1 + i),
        "zone-" + std::string(1, static_cast<char>('a' + i)), 260,
        scene::SmallBounds()};
    const bool is_stale = trouble && i == 1;
    entries.push_back(std::make_unique<scene::Entry>(
        options, store.Address(), is_stale ? stale : current, control, folder,
        "zone-a,zone-b,zone-c"));
    if (is_stale) {
      scene::Record("front-2 starts with the stale seeds " + stale[0] + ", " +
                    stale[1]);
    }
  }
  for (const auto& entry : entries) {
    entry->Start(true);
  }
  for (const auto& entry : entries) {
    if (!entry->AwaitReady(15000)) {
      scene::Record("an entry did not get ready: the case cannot run");
      return 2;
    }
  }
  scene::Sleep(10000);
  for (const auto& entry : entries) {
    entry->Kill();
  }
  const std::lock_guard lock(mutex);
  std::map<std::pair<std::string, std::int64_t>, std::set<std::string>> holders;
  for (const Order& order : orders) {
    holders[{order.engine_, order.fence_}].insert(order.holder_);
  }
  int broken = 0;
  for (const auto& [key, names] : holders) {
    broken += names.size() > 1 ? 1 : 0;
  }
  scene::Record(
      "ONE: " + std::to_string(orders.size()) + " orders; engines " +
      "with two holders of one epoch number: " + std::to_string(broken));
  if (orders.empty()) {
    return 2;
  }
  return broken > 0 ? 1 : 0;
}
