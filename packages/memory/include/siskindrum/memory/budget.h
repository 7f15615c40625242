#ifndef SISKINDRUM_MEMORY_BUDGET_H_
#define SISKINDRUM_MEMORY_BUDGET_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace siskindrum::memory {

// What bytes are held for.
enum class Use {
  kCallerRequest,  // Heads and bodies of callers' requests.
  kCallerAnswer,   // Answers, buffered or waiting to be read by callers.
  kServerRequest,  // Heads of requests waiting to be read by servers.
  kConnection,     // Buffers of open connections.
  kPeerMessage,
  kStoreAnswer,  // Answers of the store, including their parsed form.
  kCount
};

// Returns the use in snake_case, as in names of metrics. Thread-safe: yes.
const char* ToString(Use use);

// Counts the bytes that one process holds for requests, against one limit. It
// only counts: decision.h says what may be held, and holders charge what they
// hold:
//
//   memory::Budget budget(memory::BudgetFor(memory_limit_bytes));
//   memory::Charge charge(&budget, memory::Use::kCallerRequest);
//   if (memory::DecideRequest(&budget, 0, length) == memory::Decision::kAdmit)
//   {
//     charge.Resize(length);  // Returned when `charge` is destroyed.
//   }
//
// A budget without a limit still counts. All methods are thread-safe.
class Budget {
 public:
  // Zero: no limit.
  explicit Budget(std::uint64_t limit = 0) : limit_(limit) {}
  Budget(const Budget&) = delete;
  Budget& operator=(const Budget&) = delete;

  std::uint64_t Limit() const { return limit_; }
  std::uint64_t Used() const { return used_; }
  std::uint64_t Used(Use use) const {
    return by_use_[static_cast<std::size_t>(use)];
  }
  // Highest value of Used() so far.
  std::uint64_t Peak() const { return peak_; }

 private:
  friend class Charge;
  void Add(Use use, std::uint64_t bytes);
  void Remove(Use use, std::uint64_t bytes);

  const std::uint64_t limit_;
  std::atomic<std::uint64_t> used_{0};
  std::atomic<std::uint64_t> peak_{0};
  std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(Use::kCount)>
      by_use_{};
};

// Bytes that one holder has charged to a budget. They are returned when the
// charge is destroyed. Requires: the budget outlives the charge.
// Thread-safe: no.
class Charge {
 public:
  Charge() = default;
  // `budget` may be null; nothing is then counted.
  Charge(Budget* budget, Use use, std::uint64_t bytes = 0);
  Charge(Charge&& other) noexcept;
  Charge& operator=(Charge&& other) noexcept;
  ~Charge();

  // Sets the number of bytes. Never fails.
  void Resize(std::uint64_t bytes);
  std::uint64_t Size() const { return bytes_; }

 private:
  Budget* budget_ = nullptr;
  Use use_ = Use::kCallerRequest;
  std::uint64_t bytes_ = 0;
};

// Returns the limit of the budget of a process that is killed when it uses more
// than `memory_limit` bytes: what remains beside the fixed part of its memory
// and the loss of the allocator. Zero, for no limit, yields zero.
// Thread-safe: yes.
std::uint64_t BudgetFor(std::uint64_t memory_limit);

}  // namespace siskindrum::memory

#endif  // SISKINDRUM_MEMORY_BUDGET_H_
