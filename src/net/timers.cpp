#include "net/timers.h"

#include <algorithm>
#include <bit>

namespace database_proxy::net {

Timers::Timers() : nodes_(1) { first_.fill(kEnd); }

Timers::Id Timers::at(Micros when, std::function<void()> call) {
  std::uint32_t place = free_;
  if (place != kEnd) {
    free_ = nodes_[place].after;
  } else {
    place = static_cast<std::uint32_t>(nodes_.size());
    nodes_.emplace_back();
  }
  auto& node = nodes_[place];
  node.when = std::max(when, Micros(0));
  node.order = ++orders_;
  node.call = std::move(call);
  node.set = true;
  // What has passed goes where the next run looks first.
  auto slot = slot_of(std::max(node.when, ran_));
  early_ = early_ || node.when <= ran_;
  node.before = kEnd;
  node.after = first_[slot];
  if (node.after != kEnd) nodes_[node.after].before = place;
  first_[slot] = place;
  used_[slot / 64] |= std::uint64_t{1} << slot % 64;
  ++size_;
  return {place, node.generation};
}

void Timers::unlink(std::uint32_t at) {
  auto& node = nodes_[at];
  if (node.after != kEnd) nodes_[node.after].before = node.before;
  if (node.before != kEnd) {
    nodes_[node.before].after = node.after;
  } else {
    // The first of its slot: that of its time, or the one that run() stood at when it was set too late.
    auto slot = slot_of(node.when);
    if (first_[slot] != at)
      slot = static_cast<std::size_t>(std::find(first_.begin(), first_.end(), at) - first_.begin());
    first_[slot] = node.after;
    if (node.after == kEnd) used_[slot / 64] &= ~(std::uint64_t{1} << slot % 64);
  }
  node.set = false;
  ++node.generation;
  node.after = free_;
  free_ = at;
  --size_;
}

void Timers::cancel(Id id) {
  if (id.first >= nodes_.size()) return;
  auto& node = nodes_[id.first];
  if (!node.set || node.generation != id.second) return;
  node.call = nullptr;
  unlink(id.first);
}

void Timers::collect(std::size_t slot, Micros now) {
  for (auto at = first_[slot]; at != kEnd; at = nodes_[at].after)
    if (nodes_[at].when <= now) due_.push_back(at);
}

void Timers::run(Micros now) {
  if (now < ran_) return;
  do {
    early_ = false;
    due_.clear();
    auto from = ran_.count() / kSlotMicros;
    auto to = now.count() / kSlotMicros;
    if (to - from >= static_cast<std::int64_t>(kSlots)) from = to - static_cast<std::int64_t>(kSlots) + 1;
    for (auto tick = from; tick <= to; ++tick) {
      auto slot = static_cast<std::size_t>(tick) % kSlots;
      if (used_[slot / 64] >> slot % 64 & 1) collect(slot, now);
    }
    std::sort(due_.begin(), due_.end(), [&](auto left, auto right) {
      return std::pair(nodes_[left].when, nodes_[left].order) <
             std::pair(nodes_[right].when, nodes_[right].order);
    });
    ran_ = now;
    std::vector<Id> ids;
    ids.reserve(due_.size());
    for (auto at : due_) ids.emplace_back(at, nodes_[at].generation);
    for (auto id : ids) {
      auto& node = nodes_[id.first];
      if (!node.set || node.generation != id.second) continue;  // an earlier call has cancelled it
      auto call = std::move(node.call);
      node.call = nullptr;
      unlink(id.first);
      call();
    }
  } while (early_);
}

std::optional<Micros> Timers::next() const {
  if (size_ == 0) return std::nullopt;
  auto start = slot_of(ran_);
  std::optional<Micros> best;
  auto round_end = Micros((ran_.count() / kSlotMicros + static_cast<std::int64_t>(kSlots)) * kSlotMicros);
  for (std::size_t i = 0; i < kSlots;) {
    auto slot = (start + i) % kSlots;
    auto word = used_[slot / 64] >> slot % 64;
    if (word == 0) {
      i += 64 - slot % 64;
      continue;
    }
    auto skip = static_cast<std::size_t>(std::countr_zero(word));
    i += skip;
    if (i >= kSlots) break;
    slot = (start + i) % kSlots;
    for (auto at = first_[slot]; at != kEnd; at = nodes_[at].after)
      best = std::min(best.value_or(nodes_[at].when), nodes_[at].when);
    // Slots further on hold later times, but for those of other rounds; these cannot come before this
    // round's.
    if (best && *best < round_end) return best;
    ++i;
  }
  return best;
}

}  // namespace database_proxy::net
