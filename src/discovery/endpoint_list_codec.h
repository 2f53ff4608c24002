// The list of data servers, as the discovery service and the configuration give it. No I/O.
#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace database_proxy::discovery {

// kDraining: it gets no new requests. kRemoved: only in a list of changes.
enum class Lifecycle { kUp, kDraining, kRemoved };

// One data server.
struct Endpoint {
  std::string id, address, zone;
  std::int64_t shard_group = 0;  // servers of one cell have the same data
  Lifecycle lifecycle = Lifecycle::kUp;
  double weight = 1;               // of its capacity, relative to others
  std::int64_t started_at_ms = 0;  // Unix milliseconds; 0: long ago
  // When operators last put it back, on the machine's monotonic clock; 0: never. Discovery does not tell it.
  std::chrono::microseconds uncordoned_at{0};
  // Draining or removed: when a process of this proxy was first notified, on the same clock; empty: with this
  // update. Discovery does not tell it.
  std::optional<std::chrono::microseconds> notified_at = {};
};

// Where an update comes from, which tells how old its changes may be.
enum class UpdateSource {
  kConfiguration,  // what was known before this process started
  kReopenedWatch,  // discovery, asked anew: its changes may have been told at any time before
  kOpenWatch       // discovery, over a watch that was open all the time: its changes are new
};

// A list, or the changes since the one that the receiver has.
struct EndpointListUpdate {
  std::int64_t generation = 0;  // by the count of the discovery service
  bool reset = false;           // the full list, not only what changed
  UpdateSource source = UpdateSource::kConfiguration;
  std::string service;  // the address of the discovery service whose count `generation` is; empty: not known
  std::vector<Endpoint> endpoints;
};

// Throw std::invalid_argument with a text that says what is wrong.
EndpointListUpdate endpoint_list_from_json(const nlohmann::json& json);
EndpointListUpdate parse_endpoint_list(std::string_view text);

// Returns the form that endpoint_list_from_json() reads.
nlohmann::json endpoint_list_to_json(const EndpointListUpdate& update);

}  // namespace database_proxy::discovery
