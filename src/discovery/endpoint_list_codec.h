// The list of data servers, as discovery and the configuration give it.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace database_proxy::discovery {

enum class Lifecycle { kUp, kDraining, kRemoved };

struct Endpoint {
  std::string id, address, zone;
  std::int64_t cell = 0;
  Lifecycle lifecycle = Lifecycle::kUp;
  double weight = 1;
  std::int64_t started_at_ms = 0;  // Unix milliseconds; 0: long ago
};

struct EndpointListUpdate {
  std::int64_t generation = 0;
  bool reset = false;  // the whole list, not only what changed
  std::vector<Endpoint> members;
};

// Throw std::invalid_argument, telling what is wrong.
EndpointListUpdate endpoint_list_from_json(const nlohmann::json& json);
EndpointListUpdate parse_endpoint_list(std::string_view text);
// The same form again.
nlohmann::json endpoint_list_to_json(const EndpointListUpdate& update);

}  // namespace database_proxy::discovery
