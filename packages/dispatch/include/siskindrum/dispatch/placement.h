#ifndef SISKINDRUM_DISPATCH_PLACEMENT_H_
#define SISKINDRUM_DISPATCH_PLACEMENT_H_

#include <string>
#include <vector>

#include "siskindrum/core/rule.h"
#include "siskindrum/dispatch/server_pool.h"

namespace siskindrum::dispatch {

// What a placement weighs about a request.
struct PlacementRequest {
  std::string pool_;
  std::string domain_;  // Of this entry: servers there are preferred.
  std::uint32_t prompt_tokens_ = 0;
  std::uint32_t answer_tokens_ = 0;         // Expected.
  const core::PoolFacts* facts_ = nullptr;  // May be null.
  std::vector<std::string> avoid_;          // Servers that failed this request.
  std::uint64_t draw_ = 0;  // Chooses among servers that are much alike.
};

// Where a request for a model goes first.
struct EnginePlacement {
  std::string prefill_;  // Empty: the decode engine prefills itself.
  std::string decode_;
  double expected_ms_ = 0;  // Until the first token.
  bool full_ = false;       // Even the best decode engine has no room.
};

// Chooses the server of a plain call: fewest calls for its places, near before
// far, silent and failing ones last. Empty when the pool has no usable server.
// The load it answers: a few calls a second on servers with few places, where
// one dead server would otherwise take its full share. Thread-safe: no.
std::string PlacePlain(const ServerPool& pool,
                       const PlacementRequest& need,
                       TimePoint now);

// Chooses prefill and decode engines together by the expected time to the
// first token. Empty `decode_` when the pool has no usable decode engine. The
// load it answers: bursts on what is left after engines died, where waiting
// behind a busy prefill engine costs more than a decode engine's own, slower
// prefill. Thread-safe: no.
EnginePlacement PlaceEngines(const ServerPool& pool,
                             const PlacementRequest& need,
                             TimePoint now);

// Chooses only the decode engine. `direct`: it has to prefill as well.
// Thread-safe: no.
EnginePlacement PlaceDecode(const ServerPool& pool,
                            const PlacementRequest& need,
                            bool direct,
                            TimePoint now);

// Expected time of a prefill there, behind what waits there already.
// Thread-safe: no.
double EstimatePrefillMs(const ServerState& server, std::uint32_t tokens);

}  // namespace siskindrum::dispatch

#endif  // SISKINDRUM_DISPATCH_PLACEMENT_H_
