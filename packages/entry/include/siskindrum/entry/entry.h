#ifndef SISKINDRUM_ENTRY_ENTRY_H_
#define SISKINDRUM_ENTRY_ENTRY_H_

#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "siskindrum/core/types.h"
#include "siskindrum/settings/settings.h"

namespace siskindrum::entry {

// One entry instance: the core on a thread of its own, and a thread or a small
// pool for each duty around it, joined by bounded rings.
class Entry {
 public:
  explicit Entry(settings::Settings settings);
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  // Binds all addresses and starts all threads; the error names the address.
  // Call once.
  tl::expected<void, std::string> Start();

  // Refuses new requests and lets those in progress end. Thread-safe: yes.
  void Drain();

  // True when a drain was asked and every request has ended.
  // Thread-safe: yes.
  bool IsDrained() const;

  // Requests in progress. Thread-safe: yes.
  std::size_t RequestsInProgress() const;

  // Ends all threads; requests still in progress are cut. Call once.
  void Stop();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace siskindrum::entry

#endif  // SISKINDRUM_ENTRY_ENTRY_H_
