// Changes of a store that are made together or not at all.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace database_proxy::state {

// The keys from `from` on and before `to`, in the order of their bytes.
struct KeyRange {
  KeyRange(std::string first, std::string end) : from(std::move(first)), to(std::move(end)) {}
  bool contains(const std::string& key) const { return key >= from && key < to; }
  std::string from, to;
};

// A new value of a key. No value removes the key.
struct KeyChange {
  KeyChange(std::string changed_key, std::optional<std::string> new_value)
      : key(std::move(changed_key)), value(std::move(new_value)) {}
  std::string key;
  std::optional<std::string> value;
};

// Removals are carried out before changes, and changes in their order.
struct Batch {
  std::vector<KeyRange> removals;
  std::vector<KeyChange> changes;

  bool empty() const { return removals.empty() && changes.empty(); }
  // Appends another batch, so that this one does what both do in turn.
  void add(Batch next);
};

}  // namespace database_proxy::state
