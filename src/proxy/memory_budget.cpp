#include "proxy/memory_budget.h"

#include <algorithm>

namespace database_proxy::proxy {
namespace {

// What the program uses without any of these buffers.
constexpr std::size_t kProgramBytes = std::size_t{8} << 20;
// The divisor of the rest of the limit: the other half is for unused parts of allocations.
constexpr std::size_t kTotalDivisor = 2;
// The divisor of the limit for the least total, where the limit is hardly above the program's own use.
constexpr std::size_t kMinTotalDivisor = 8;

}  // namespace

void MemoryBudget::Charge::set(std::size_t bytes) {
  auto& used = budget_.used_[static_cast<std::size_t>(use_)];
  used = used - bytes_ + bytes;
  bytes_ = bytes;
  budget_.peak_ = std::max(budget_.peak_, budget_.used_[0] + budget_.used_[1]);
}

void MemoryBudget::set_limit(std::size_t memory, std::size_t processes) {
  limit_ = memory / processes;
  auto for_buffers = limit_ - std::min(limit_, kProgramBytes);
  max_total_ = std::max(for_buffers / kTotalDivisor, limit_ / kMinTotalDivisor);
}

bool MemoryBudget::should_release_memory(Micros now) {
  auto used = used_[0] + used_[1];
  bool has_shrunk = used + limit_ / kReleaseDivisor < peak_;
  if (!has_shrunk || now - released_at_ < kReleaseInterval) return false;
  released_at_ = now;
  peak_ = used;
  return true;
}

}  // namespace database_proxy::proxy
