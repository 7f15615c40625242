// Sends streamed completions to an entry, or to a stand-in engine directly,
// and measures what their callers see.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <iostream>
#include <random>
#include <thread>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"
#include "absl/synchronization/mutex.h"
#include "commands_p.h"
#include "siskindrum/backend/engine.h"
#include "siskindrum/backend/http_call.h"
#include "siskindrum/ctl/experiment.h"

namespace siskindrum::ctl {

namespace {

namespace po = boost::program_options;
using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;

struct LoadOptions {
  std::vector<std::string> addresses_;  // Of entries, or of engines.
  std::vector<std::string> engines_;    // Prefill engines of a direct run.
  bool direct_ = false;
  std::string model_ = "order-reader";
  double rate_ = 10;
  double seconds_ = 10;
  std::uint32_t prompt_ = 400;
  std::uint32_t answer_ = 100;
  std::uint64_t seed_ = 1;
  double first_target_ms_ = 370;
  double between_target_ms_ = 46;
};

struct LoadResult {
  absl::Mutex mutex_;
  std::vector<double> first_ms_;
  std::vector<double> between_ms_;  // Means of whole answers.
  std::uint64_t sent_ = 0;
  std::uint64_t whole_ = 0;
  std::uint64_t good_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t failed_ = 0;
  std::uint64_t tokens_ = 0;
};

// One answer as its caller saw it.
struct Seen {
  std::uint32_t tokens_ = 0;
  Clock::time_point first_{};
  Clock::time_point last_{};
  bool done_ = false;
};

std::string MakePrompt(std::uint64_t number, std::uint32_t tokens) {
  std::string prompt = absl::StrCat("load ", number, " ");
  prompt.resize(std::max<std::size_t>(prompt.size(), tokens * 4), 'x');
  return prompt;
}

void NoteToken(Seen& seen) {
  seen.last_ = Clock::now();
  if (seen.tokens_++ == 0) {
    seen.first_ = seen.last_;
  }
}

// Counts the tokens of a server-sent event stream.
void TakeEvents(std::string& pending, Seen& seen) {
  std::size_t end = 0;
  while ((end = pending.find("\n\n")) != std::string::npos) {
    const std::string event = pending.substr(0, end);
    pending.erase(0, end + 2);
    if (event == "data: [DONE]") {
      seen.done_ = true;
    } else if (event.find("\"finish_reason\":null") != std::string::npos) {
      NoteToken(seen);
    }
  }
}

bool AskEntry(const LoadOptions& options,
              std::uint64_t number,
              Seen& seen,
              bool* refused) {
  backend::HttpCall call;
  backend::HttpRequest http;
  http.address_ = options.addresses_[number % options.addresses_.size()];
  http.path_ = "/v1/completions";
  http.headers_ = {
      {"Siskindrum-Organisation", absl::StrCat("shop-", number % 50)}};
  http.body_ = Json{
      {"model", options.model_},
      {"prompt", MakePrompt(number, options.prompt_)},
      {"max_tokens", options.answer_},
      {"stream",
       true}}.dump();
  http.silence_timeout_ = std::chrono::seconds(30);
  std::string pending;
  const auto answer = call.Run(http, [&](const char* data, std::size_t size) {
    pending.append(data, size);
    TakeEvents(pending, seen);
    return true;
  });
  *refused = answer.has_value() && answer->status_ != 200;
  return seen.done_ && seen.tokens_ == options.answer_;
}

// Calls the engines as an entry would, with nothing between.
bool AskEngines(const LoadOptions& options, std::uint64_t number, Seen& seen) {
  const backend::EngineDialect& dialect = backend::LineEngine();
  backend::HttpCall call;
  backend::PrefillOrder prefill;
  prefill.address_ = options.engines_[number % options.engines_.size()];
  prefill.request_ = {options.seed_, number + 1};
  prefill.owner_ = "load";
  prefill.prompt_ = MakePrompt(number, options.prompt_);
  prefill.prompt_tokens_ = options.prompt_;
  const auto result = dialect.prefill_(call, prefill);
  if (!result.has_value()) {
    return false;
  }
  backend::DecodeOrder decode;
  decode.address_ = options.addresses_[number % options.addresses_.size()];
  decode.source_address_ = prefill.address_;
  decode.handle_ = result->handle_;
  decode.request_ = prefill.request_;
  decode.owner_ = "load";
  decode.prompt_tokens_ = options.prompt_;
  decode.max_tokens_ = options.answer_;
  decode.seed_text_ = prefill.prompt_;
  const backend::DecodeEnd end =
      dialect.decode_(call, decode, [&](const backend::DecodeLine& line) {
        if (line.kind_ == backend::DecodeLine::Kind::kToken) {
          NoteToken(seen);
        }
        return true;
      });
  return end.finished_ && seen.tokens_ == options.answer_;
}

double Ms(Clock::duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

void RunOne(const LoadOptions& options,
            std::uint64_t number,
            LoadResult& result) {
  Seen seen;
  bool refused = false;
  const Clock::time_point begun = Clock::now();
  const bool whole = options.direct_
                         ? AskEngines(options, number, seen)
                         : AskEntry(options, number, seen, &refused);
  absl::MutexLock lock(&result.mutex_);
  result.tokens_ += seen.tokens_;
  if (!whole) {
    ++(refused ? result.refused_ : result.failed_);
    return;
  }
  const double first = Ms(seen.first_ - begun);
  const double between =
      seen.tokens_ > 1 ? Ms(seen.last_ - seen.first_) / (seen.tokens_ - 1) : 0;
  ++result.whole_;
  result.first_ms_.push_back(first);
  result.between_ms_.push_back(between);
  result.good_ += first <= options.first_target_ms_ &&
                  between <= options.between_target_ms_;
}

// Starts requests at random moments, as many callers would. Bounded in count
// and time.
void RunAll(const LoadOptions& options, LoadResult& result) {
  std::mt19937_64 random(options.seed_);
  std::exponential_distribution<double> gap(options.rate_);
  std::vector<std::thread> threads;
  const Clock::time_point begun = Clock::now();
  double at = gap(random);
  while (at < options.seconds_) {
    std::this_thread::sleep_until(begun +
                                  std::chrono::duration_cast<Clock::duration>(
                                      std::chrono::duration<double>(at)));
    const std::uint64_t number = result.sent_++;
    threads.emplace_back(
        [&options, number, &result] { RunOne(options, number, result); });
    at += gap(random);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

void Print(const LoadOptions& options,
           const LoadResult& result,
           double seconds) {
  std::cout << absl::StrFormat(
      "sent %d whole %d good %d refused %d failed %d tokens/s %.0f\n"
      "first token ms: p50 %.2f p95 %.2f p99 %.2f\n"
      "between tokens ms: p50 %.2f p95 %.2f\n",
      result.sent_, result.whole_, result.good_, result.refused_,
      result.failed_, static_cast<double>(result.tokens_) / seconds,
      Percentile(result.first_ms_, 0.5), Percentile(result.first_ms_, 0.95),
      Percentile(result.first_ms_, 0.99), Percentile(result.between_ms_, 0.5),
      Percentile(result.between_ms_, 0.95));
  (void)options;
}

}  // namespace

int LoadCommand(const Arguments& arguments) {
  LoadOptions options;
  std::string addresses;
  std::string engines;
  po::options_description description(
      "siskindrumctl load --to IP:PORT,... [--direct --prefill IP:PORT,...]");
  description.add_options()("help", "show this text")(
      "to", po::value(&addresses)->required(),
      "entries, or decode engines with --direct")(
      "direct", po::bool_switch(&options.direct_), "call the engines directly")(
      "prefill", po::value(&engines), "prefill engines of a direct run")(
      "model", po::value(&options.model_), "model to ask for")(
      "rate", po::value(&options.rate_), "requests a second")(
      "seconds", po::value(&options.seconds_), "how long")(
      "prompt", po::value(&options.prompt_), "prompt tokens")(
      "answer", po::value(&options.answer_), "answer tokens")(
      "first-target-ms", po::value(&options.first_target_ms_), "target")(
      "between-target-ms", po::value(&options.between_target_ms_), "target")(
      "seed", po::value(&options.seed_), "of the arrivals");
  po::variables_map values;
  int exit_code = 0;
  if (!ParseOptions(arguments, description, {}, &values, &exit_code)) {
    return exit_code;
  }
  options.addresses_ = absl::StrSplit(addresses, ',');
  options.engines_ = absl::StrSplit(engines, ',');
  for (const std::string& address : options.addresses_) {
    // Load goes to this machine only.
    if (address.rfind("127.", 0) != 0) {
      std::cerr << "--to: only loopback addresses, not " << address << "\n";
      return kExitUsage;
    }
  }
  LoadResult result;
  const Clock::time_point begun = Clock::now();
  RunAll(options, result);
  Print(options, result,
        std::chrono::duration<double>(Clock::now() - begun).count());
  return result.failed_ == 0 ? kExitGood : kExitBad;
}

}  // namespace siskindrum::ctl
