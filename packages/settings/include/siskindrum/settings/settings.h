#ifndef SISKINDRUM_SETTINGS_SETTINGS_H_
#define SISKINDRUM_SETTINGS_SETTINGS_H_

#include <cstdint>
#include <string>

#include <tl/expected.hpp>

#include "siskindrum/core/types.h"

namespace siskindrum::settings {

// An IP address with a port.
struct Address {
  std::string host_;
  int port_ = 0;
};

// Returns "ip:port". Thread-safe: yes.
std::string ToString(const Address& address);

// Parses "ip:port" with an IPv4 number and a port from 1 to 65535.
// Thread-safe: yes.
bool ParseAddress(const std::string& text, Address* address);

struct CallerSettings {
  Address address_;
  std::uint32_t max_requests_ = 1200;  // Served at once; one thread each.
  std::uint32_t max_waiting_ = 200;    // Connections that wait for a thread.
  std::uint64_t max_body_bytes_ = 8 << 20;
  core::Milliseconds idle_timeout_{5000};  // Of a connection without a request.
  core::Milliseconds read_timeout_{5000};
  core::Milliseconds write_timeout_{5000};
};

struct PlatformSettings {
  Address configuration_;
  Address instances_;
  core::Milliseconds watch_wait_{10000};  // How long a watch may wait.
  core::Milliseconds list_poll_{1000};
  core::Milliseconds slow_poll_{60000};  // Of entries that do not watch.
};

// Settings of one entry process.
struct Settings {
  std::string name_;
  std::string domain_;
  CallerSettings callers_;
  Address operators_;
  Address peers_;
  std::string fleet_;  // Peers of another fleet are refused.
  PlatformSettings platform_;
  core::Milliseconds load_poll_{500};
  core::Milliseconds backend_timeout_{10000};  // Without a byte from an engine.
  core::Milliseconds drain_limit_{600000};
  std::uint64_t seed_ = 0;
  std::string log_level_ = "info";
};

// What is wrong with a settings file.
struct SettingsError {
  std::string file_;
  std::string field_;  // Path such as "callers.address"; empty: the whole file.
  std::string message_;
};

// Writes "FILE: FIELD: MESSAGE". Thread-safe: yes.
std::string Describe(const SettingsError& error);

// Parses the text of a settings file. An unknown field, a wrong type or a value
// out of range refuses the whole file. Thread-safe: yes.
tl::expected<Settings, SettingsError> ParseSettings(const std::string& text,
                                                    const std::string& file);

// Reads and parses a settings file. Thread-safe: yes.
tl::expected<Settings, SettingsError> LoadSettings(const std::string& file);

}  // namespace siskindrum::settings

#endif  // SISKINDRUM_SETTINGS_SETTINGS_H_
