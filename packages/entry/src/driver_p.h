#ifndef SISKINDRUM_ENTRY_DRIVER_P_H_
#define SISKINDRUM_ENTRY_DRIVER_P_H_

#include <functional>
#include <memory>
#include <string>

#include "channel_p.h"
#include "core_thread_p.h"
#include "siskindrum/backend/engine.h"
#include "siskindrum/core/delivery.h"
#include "siskindrum/settings/settings.h"
#include "siskindrum/telemetry/metrics.h"

namespace siskindrum::entry {

// What drivers share.
struct DriverContext {
  CoreThread& core_;
  telemetry::Metrics& metrics_;
  const backend::EngineDialect& dialect_;
  const settings::Settings& settings_;
};

// A prompt to be answered.
struct PromptWork {
  std::string prompt_;
  std::uint32_t prompt_tokens_ = 0;
  std::uint32_t max_tokens_ = 0;
  std::uint64_t prefix_hash_ = 0;
  std::uint32_t prefix_tokens_ = 0;
};

// Receives the answer piece by piece; false when the caller has gone.
using TextSink = std::function<bool(const std::string& text)>;

// How a driven request ended.
struct DriveEnd {
  bool whole_ = false;
  std::string finish_reason_;
  core::Verdict verdict_;  // When it is not whole.
};

// Carries out the core's actions for one request to a model engine, on the
// thread that serves its caller.
class PromptDriver {
 public:
  PromptDriver(DriverContext context,
               std::shared_ptr<Channel> channel,
               PromptWork work);

  // Runs until a decode is to be started: false when the request failed first,
  // with the reason in `end`.
  bool RunToDecode(DriveEnd* end);

  // Runs to the end, handing each token to `sink`.
  DriveEnd RunToEnd(const TextSink& sink);

  std::uint32_t Delivered() const { return cursor_.next_position_; }

 private:
  // Waits for the core's next action; false when the request has ended.
  bool NextAction(core::RouterAction* action);
  void Prefill(const core::StartPrefill& order);
  bool Decode(const core::StartDecode& order,
              const TextSink& sink,
              DriveEnd* end);
  bool Deliver(const backend::DecodeLine& line,
               const TextSink& sink,
               core::Verdict* verdict);

  DriverContext context_;
  std::shared_ptr<Channel> channel_;
  PromptWork work_;
  std::string answered_;  // What the caller already has.
  core::DeliveryCursor cursor_;
  core::RouterAction pending_;
  bool has_pending_ = false;
  core::TimePoint arrived_at_;
  core::TimePoint last_token_at_{};
};

// Carries out the core's actions for one call to a plain service.
struct PlainEnd {
  bool answered_ = false;
  bool repeated_ = false;
  core::PlainAnswer answer_;
  std::string server_;
  core::Verdict verdict_;
};
PlainEnd DrivePlain(DriverContext context,
                    const std::shared_ptr<Channel>& channel);

}  // namespace siskindrum::entry

#endif  // SISKINDRUM_ENTRY_DRIVER_P_H_
