// The list of data servers, as discovery and the configuration give it.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace linenwinch::discovery {

enum class Lifecycle { kUp, kDraining, kRemoved };

struct MemberInfo {
  std::string id, address, zone;
  std::int64_t cell = 0;
  Lifecycle lifecycle = Lifecycle::kUp;
  double weight = 1;
  std::int64_t started_at_ms = 0;  // Unix milliseconds; 0: long ago
};

struct MemberUpdate {
  std::int64_t generation = 0;
  bool reset = false;  // the whole list, not only what changed
  std::vector<MemberInfo> members;
};

// Throw std::invalid_argument, telling what is wrong.
MemberUpdate read_members(const nlohmann::json& json);
MemberUpdate parse_members(std::string_view text);
// The same form again.
nlohmann::json write_members(const MemberUpdate& update);

}  // namespace linenwinch::discovery
