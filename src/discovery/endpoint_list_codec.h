// The endpoint list, as the discovery service and the configuration provide it, and its JSON form. No I/O.
#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace database_proxy::discovery {

// State of an endpoint. kDraining: it gets no new requests. kRemoved: occurs only in a list of changes.
enum class Lifecycle { kUp, kDraining, kRemoved };

// One server of the endpoint list.
struct Endpoint {
  std::string id, address, zone;
  std::int64_t shard_group = 0;  // JSON key `cell`; all servers of a shard group have the same data
  Lifecycle lifecycle = Lifecycle::kUp;
  double weight = 1;               // capacity relative to other servers
  std::int64_t started_at_ms = 0;  // Unix time in milliseconds; 0: long ago
  // When operators last uncordoned it, on the machine's monotonic clock; 0: never. Not part of discovery's
  // list.
  std::chrono::microseconds uncordoned_at{0};
  // If draining or removed: when a process of this proxy was first notified of it, on the same clock; empty:
  // by this update. Not part of discovery's list.
  std::optional<std::chrono::microseconds> notified_at = {};
};

// Origin of an update, which limits how old its changes may be.
enum class UpdateSource {
  kConfiguration,  // the list that was known before this process started
  kReopenedWatch,  // first answer of a new or interrupted watch: the changes may be of any age
  kOpenWatch       // answer of an uninterrupted watch: the changes are new
};

// A full endpoint list, or the changes since the list that the receiver has.
struct EndpointListUpdate {
  std::int64_t generation = 0;  // assigned by the discovery service
  bool reset = false;           // a full list, not only changes
  UpdateSource source = UpdateSource::kConfiguration;
  std::string service;  // address of the discovery service that assigned `generation`; empty: unknown
  std::vector<Endpoint> endpoints;
};

// Parse an endpoint list; throw std::invalid_argument with a description of the error.
EndpointListUpdate endpoint_list_from_json(const nlohmann::json& json);
EndpointListUpdate parse_endpoint_list(std::string_view text);

// Returns the JSON form that endpoint_list_from_json() reads.
nlohmann::json endpoint_list_to_json(const EndpointListUpdate& update);

}  // namespace database_proxy::discovery
