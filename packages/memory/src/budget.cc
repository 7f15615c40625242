#include "siskindrum/memory/budget.h"

#include <algorithm>
#include <utility>

namespace siskindrum::memory {

namespace {

// Memory of a process beside what it charges. 11 MB are resident when idle, and
// 33 MB were with 200 callers of which each holds 5 KB
// (tools/memory_benchmark.sh, 165 MB).
constexpr std::uint64_t kFixedBytes = 32'000'000;
// The allocator's loss, and small objects that are not charged: one part in
// this many of what remains.
constexpr std::uint64_t kLossDivisor = 5;
// Least share of the memory limit, so that an entry with very little memory
// still serves small requests.
constexpr std::uint64_t kLeastDivisor = 8;

}  // namespace

const char* ToString(Use use) {
  switch (use) {
    case Use::kCallerRequest:
      return "caller_request";
    case Use::kCallerAnswer:
      return "caller_answer";
    case Use::kServerRequest:
      return "server_request";
    case Use::kConnection:
      return "connection";
    case Use::kPeerMessage:
      return "peer_message";
    case Use::kStoreAnswer:
      return "store_answer";
    case Use::kCount:
      break;
  }
  return "unknown";
}

void Budget::Add(Use use, std::uint64_t bytes) {
  by_use_[static_cast<std::size_t>(use)] += bytes;
  const std::uint64_t used = used_ += bytes;
  std::uint64_t peak = peak_;
  while (used > peak && !peak_.compare_exchange_weak(peak, used)) {
  }
}

void Budget::Remove(Use use, std::uint64_t bytes) {
  by_use_[static_cast<std::size_t>(use)] -= bytes;
  used_ -= bytes;
}

Charge::Charge(Budget* budget, Use use, std::uint64_t bytes)
    : budget_(budget), use_(use) {
  Resize(bytes);
}

Charge::Charge(Charge&& other) noexcept
    : budget_(other.budget_),
      use_(other.use_),
      bytes_(std::exchange(other.bytes_, 0)) {}

Charge& Charge::operator=(Charge&& other) noexcept {
  if (this != &other) {
    Resize(0);
    budget_ = other.budget_;
    use_ = other.use_;
    bytes_ = std::exchange(other.bytes_, 0);
  }
  return *this;
}

Charge::~Charge() {
  Resize(0);
}

void Charge::Resize(std::uint64_t bytes) {
  if (budget_ == nullptr) {
    return;
  }
  if (bytes > bytes_) {
    budget_->Add(use_, bytes - bytes_);
  } else if (bytes < bytes_) {
    budget_->Remove(use_, bytes_ - bytes);
  }
  bytes_ = bytes;
}

std::uint64_t BudgetFor(std::uint64_t memory_limit) {
  const std::uint64_t variable =
      memory_limit > kFixedBytes ? memory_limit - kFixedBytes : 0;
  return std::max(variable - variable / kLossDivisor,
                  memory_limit / kLeastDivisor);
}

}  // namespace siskindrum::memory
