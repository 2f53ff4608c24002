#include "proxy/effect_memory.h"

#include <sys/mman.h>

#include <new>
#include <utility>

#include "proxy/session_rules.h"

namespace database_proxy::proxy {

static_assert(std::atomic<std::uint64_t>::is_always_lock_free, "several processes use the slots");

std::size_t EffectMemory::size_in_bytes() { return sizeof(Set) * kSets; }

EffectMemory::EffectMemory() { map(-1); }

EffectMemory::EffectMemory(net::Fd file) : file_(std::move(file)) { map(file_.get()); }

EffectMemory::~EffectMemory() { munmap(sets_, size_in_bytes()); }

void EffectMemory::map(int file) {
  int flags = file >= 0 ? MAP_SHARED : MAP_PRIVATE | MAP_ANONYMOUS;
  void* memory = mmap(nullptr, size_in_bytes(), PROT_READ | PROT_WRITE, flags, file, 0);
  if (memory == MAP_FAILED) throw std::bad_alloc();
  sets_ = static_cast<Set*>(memory);
}

EffectMemory::Slot* EffectMemory::find(std::uint64_t name, Micros now) const {
  for (auto& slot : set_of(name))
    if (slot.name.load(std::memory_order_acquire) == name && slot.ends_at.load() > now.count()) return &slot;
  return nullptr;
}

bool EffectMemory::contains(std::string_view name, Micros now) const {
  return find(hash_of(name), now) != nullptr;
}

void EffectMemory::forget(std::string_view name, Micros now) {
  if (auto* slot = find(hash_of(name), now)) slot->ends_at.store(0);
}

// Takes the slot that ends first; one that has ended, or was never used, ends before all others. Another
// thread or process may take the same slot: the exchange decides who has it.
bool EffectMemory::record(std::string_view name, Micros now) {
  auto hash = hash_of(name);
  if (find(hash, now)) return false;
  auto ends_at = (now + kLifetime).count();
  while (true) {
    Slot* first = nullptr;
    std::int64_t first_end = 0;
    for (auto& slot : set_of(hash)) {
      auto end = slot.ends_at.load();
      if (first && end >= first_end) continue;
      first = &slot;
      first_end = end;
    }
    if (!first->ends_at.compare_exchange_strong(first_end, ends_at)) continue;
    first->name.store(hash, std::memory_order_release);
    return true;
  }
}

}  // namespace database_proxy::proxy
