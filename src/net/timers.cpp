#include "net/timers.h"

#include <algorithm>
#include <bit>

namespace database_proxy::net {

Timers::Timers() : nodes_(1) { slot_heads_.fill(kNoNode); }

Timers::Id Timers::at(Micros when, std::function<void()> callback) {
  std::uint32_t index = free_head_;
  if (index != kNoNode) {
    free_head_ = nodes_[index].next;
  } else {
    index = static_cast<std::uint32_t>(nodes_.size());
    nodes_.emplace_back();
  }
  auto& node = nodes_[index];
  node.when = std::max(when, Micros(0));
  node.sequence = ++last_sequence_;
  node.callback = std::move(callback);
  node.is_set = true;
  // A timer whose time has passed goes into the slot that the next run checks first.
  auto slot = slot_of(std::max(node.when, ran_until_));
  has_overdue_ = has_overdue_ || node.when <= ran_until_;
  node.previous = kNoNode;
  node.next = slot_heads_[slot];
  if (node.next != kNoNode) nodes_[node.next].previous = index;
  slot_heads_[slot] = index;
  occupied_slots_[slot / 64] |= std::uint64_t{1} << slot % 64;
  ++size_;
  return {index, node.generation};
}

void Timers::unlink(std::uint32_t index) {
  auto& node = nodes_[index];
  if (node.next != kNoNode) nodes_[node.next].previous = node.previous;
  if (node.previous != kNoNode) {
    nodes_[node.previous].next = node.next;
  } else {
    // The node is the head of its slot: the slot of its time, or, if it was set for a time that had passed,
    // the slot of ran_until_ at that moment.
    auto slot = slot_of(node.when);
    if (slot_heads_[slot] != index)
      slot = static_cast<std::size_t>(std::find(slot_heads_.begin(), slot_heads_.end(), index) -
                                      slot_heads_.begin());
    slot_heads_[slot] = node.next;
    if (node.next == kNoNode) occupied_slots_[slot / 64] &= ~(std::uint64_t{1} << slot % 64);
  }
  node.is_set = false;
  ++node.generation;
  node.next = free_head_;
  free_head_ = index;
  --size_;
}

void Timers::cancel(Id id) {
  if (id.first >= nodes_.size()) return;
  auto& node = nodes_[id.first];
  if (!node.is_set || node.generation != id.second) return;
  node.callback = nullptr;
  unlink(id.first);
}

void Timers::collect(std::size_t slot, Micros now) {
  for (auto index = slot_heads_[slot]; index != kNoNode; index = nodes_[index].next)
    if (nodes_[index].when <= now) due_.push_back(index);
}

void Timers::run(Micros now) {
  if (now < ran_until_) return;
  do {
    has_overdue_ = false;
    due_.clear();
    auto from = ran_until_.count() / kSlotMicros;
    auto to = now.count() / kSlotMicros;
    if (to - from >= static_cast<std::int64_t>(kSlots)) from = to - static_cast<std::int64_t>(kSlots) + 1;
    for (auto absolute_slot = from; absolute_slot <= to; ++absolute_slot) {
      auto slot = static_cast<std::size_t>(absolute_slot) % kSlots;
      if (occupied_slots_[slot / 64] >> slot % 64 & 1) collect(slot, now);
    }
    std::sort(due_.begin(), due_.end(), [&](auto left, auto right) {
      return std::pair(nodes_[left].when, nodes_[left].sequence) <
             std::pair(nodes_[right].when, nodes_[right].sequence);
    });
    ran_until_ = now;
    std::vector<Id> ids;
    ids.reserve(due_.size());
    for (auto index : due_) ids.emplace_back(index, nodes_[index].generation);
    for (auto id : ids) {
      auto& node = nodes_[id.first];
      if (!node.is_set || node.generation != id.second) continue;  // cancelled by an earlier callback
      auto callback = std::move(node.callback);
      node.callback = nullptr;
      unlink(id.first);
      callback();
    }
  } while (has_overdue_);
}

std::optional<Micros> Timers::next() const {
  if (size_ == 0) return std::nullopt;
  auto start = slot_of(ran_until_);
  std::optional<Micros> earliest;
  auto round_end =
      Micros((ran_until_.count() / kSlotMicros + static_cast<std::int64_t>(kSlots)) * kSlotMicros);
  for (std::size_t i = 0; i < kSlots;) {
    auto slot = (start + i) % kSlots;
    auto word = occupied_slots_[slot / 64] >> slot % 64;
    if (word == 0) {
      i += 64 - slot % 64;
      continue;
    }
    auto skip = static_cast<std::size_t>(std::countr_zero(word));
    i += skip;
    if (i >= kSlots) break;
    slot = (start + i) % kSlots;
    for (auto index = slot_heads_[slot]; index != kNoNode; index = nodes_[index].next)
      earliest = std::min(earliest.value_or(nodes_[index].when), nodes_[index].when);
    // Later slots hold later times, except timers of later rounds, which cannot be due before those of this
    // round.
    if (earliest && *earliest < round_end) return earliest;
    ++i;
  }
  return earliest;
}

}  // namespace database_proxy::net
