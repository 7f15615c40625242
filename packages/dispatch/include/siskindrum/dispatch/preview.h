#ifndef SISKINDRUM_DISPATCH_PREVIEW_H_
#define SISKINDRUM_DISPATCH_PREVIEW_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "siskindrum/dispatch/dispatcher.h"

namespace siskindrum::dispatch {

// What would happen to a request at first.
enum class PreviewOutcome {
  kSent,           // To the servers named.
  kWaits,          // For decode capacity.
  kWaitsForQuota,  // For a loan of quota from other entries.
  kRefused,
  kCount
};

// Returns the outcome in snake_case. Thread-safe: yes.
const char* ToString(PreviewOutcome outcome);

// Whether a slow request would be sent to a second server.
struct HedgeForecast {
  hedge::Verdict verdict_ = hedge::Verdict::kOff;
  Milliseconds delay_{0};  // Without an answer; zero: unknown.
  std::string server_;     // Empty: none.
};

// A server that was considered, and how recent its state is.
struct PreviewCandidate {
  WeighedServer weighed_;
  core::ServerRole role_ = core::ServerRole::kPlain;
  bool chosen_ = false;
  std::uint32_t calls_ = 0;
  std::uint32_t held_tokens_ = 0;
  std::uint32_t peer_held_tokens_ = 0;
  // Since its last measured answer, prefill or transfer; none: not measured.
  std::optional<Milliseconds> measured_age_;
};

// What would happen to a request now, and why.
struct Preview {
  PreviewOutcome outcome_ = PreviewOutcome::kRefused;
  core::Verdict refusal_;  // Of kRefused.
  std::string cause_;      // Of a wait or refusal, as it would be logged.
  std::shared_ptr<const core::Configuration> configuration_;  // May be null.
  const core::Rule* rule_ = nullptr;  // Null: none matches.
  std::string pool_;
  std::string organisation_;  // Empty: none.
  std::uint32_t rank_ = 0;
  double quota_cost_ = 0;
  std::optional<double>
      quota_left_;           // Here, before the request; none: no quota.
  std::size_t waiting_ = 0;  // Requests that wait for decode capacity.
  // Ages of the state that was decided on; none: never.
  std::optional<Milliseconds> confirmed_age_;  // Of the configuration.
  std::optional<Milliseconds> list_age_;       // Of the server list.
  std::optional<Milliseconds> peers_age_;  // Of the oldest report of a peer.
  std::string prefill_;  // Empty: none, or the decode engine prefills.
  std::string server_;   // Decode engine or plain server; empty: none.
  std::vector<PreviewCandidate> candidates_;
  std::optional<HedgeForecast> hedge_;  // Of a plain call that is sent.
};

// Decides on the request as HandleEvent would now, on a copy of the state, and
// sends nothing. A reservation that it needs is taken as granted. If
// `organisation` is not empty, the request bears a key of that organisation.
// Thread-safe: no; no event may be handled meanwhile.
Preview PreviewCall(const Dispatcher& dispatcher,
                    CallerCall call,
                    const std::string& organisation,
                    TimePoint now);

}  // namespace siskindrum::dispatch

#endif  // SISKINDRUM_DISPATCH_PREVIEW_H_
