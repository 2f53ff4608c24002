// A batch of changes to a store, applied atomically.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace database_proxy::state {

// The keys in [from, to), in byte order.
struct KeyRange {
  KeyRange(std::string first, std::string end) : from(std::move(first)), to(std::move(end)) {}
  bool contains(const std::string& key) const { return key >= from && key < to; }
  std::string from, to;
};

// A new value for a key; std::nullopt removes the key.
struct KeyChange {
  KeyChange(std::string changed_key, std::optional<std::string> new_value)
      : key(std::move(changed_key)), value(std::move(new_value)) {}
  std::string key;
  std::optional<std::string> value;
};

// Changes to be committed in one transaction. Removals are applied first, then changes in order.
struct Batch {
  std::vector<KeyRange> removals;
  std::vector<KeyChange> changes;

  bool empty() const { return removals.empty() && changes.empty(); }
  // Appends `next`, so that this batch has the same effect as committing both in order.
  void add(Batch next);
};

}  // namespace database_proxy::state
