#ifndef SISKINDRUM_REGISTRY_REGISTRY_H_
#define SISKINDRUM_REGISTRY_REGISTRY_H_

#include <cstdint>
#include <string>

#include <tl/expected.hpp>

#include "siskindrum/backend/http_call.h"
#include "siskindrum/core/event.h"
#include "siskindrum/core/types.h"

namespace siskindrum::registry {

// A rules file as the configuration service publishes it.
struct Published {
  std::uint64_t revision_ = 0;
  std::string rules_;
};

// Parse the services' answers; the error says what was expected.
// Thread-safe: yes.
tl::expected<Published, std::string> ParsePublished(const std::string& text);
tl::expected<core::InstanceListArrived, std::string> ParseInstances(
    const std::string& text);

// Asks the configuration service for a revision above `after` and waits there
// up to `wait`; a revision of zero means that there was none. One call to the
// service. Thread-safe: yes, with a `call` of its own.
tl::expected<Published, std::string> FetchConfiguration(
    backend::HttpCall& call,
    const std::string& address,
    std::uint64_t after,
    core::Milliseconds wait);

// Reads the instance list. One call to the service. Thread-safe: yes, with a
// `call` of its own.
tl::expected<core::InstanceListArrived, std::string> FetchInstances(
    backend::HttpCall& call,
    const std::string& address);

}  // namespace siskindrum::registry

#endif  // SISKINDRUM_REGISTRY_REGISTRY_H_
