#include "discovery/endpoint_list_codec.h"

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace database_proxy::discovery {
namespace {

// Upper limit of start times, in the year 5138: the conversion from double to integer must not overflow.
constexpr double kMaxStartedAtMs = 1e14;

Lifecycle lifecycle_from_text(const std::string& text) {
  if (text == "up") return Lifecycle::kUp;
  if (text == "draining") return Lifecycle::kDraining;
  if (text == "removed") return Lifecycle::kRemoved;
  throw std::invalid_argument("unknown lifecycle '" + text + "'");
}

const char* lifecycle_to_text(Lifecycle lifecycle) {
  if (lifecycle == Lifecycle::kUp) return "up";
  return lifecycle == Lifecycle::kDraining ? "draining" : "removed";
}

Endpoint endpoint_from_json(const nlohmann::json& json) {
  Endpoint endpoint;
  endpoint.id = json.at("instanceId").get<std::string>();
  endpoint.lifecycle = lifecycle_from_text(json.value("lifecycle", "up"));
  endpoint.address = json.value("hostPort", "");
  bool needs_address = endpoint.lifecycle != Lifecycle::kRemoved;
  if (endpoint.id.empty() || (endpoint.address.empty() && needs_address))
    throw std::invalid_argument("an entry lacks instanceId or hostPort");
  endpoint.zone = json.value("zone", "");
  endpoint.shard_group = json.value("cell", std::int64_t{0});
  endpoint.weight = json.value("weight", 1.0);
  endpoint.started_at_ms =
      static_cast<std::int64_t>(std::clamp(json.value("startedAtMs", 0.0), 0.0, kMaxStartedAtMs));
  return endpoint;
}

}  // namespace

EndpointListUpdate endpoint_list_from_json(const nlohmann::json& json) try {
  EndpointListUpdate update;
  update.generation = json.at("generation").get<std::int64_t>();
  update.reset = json.value("reset", false);
  for (const auto& entry : json.at("instances")) update.endpoints.push_back(endpoint_from_json(entry));
  return update;
} catch (const nlohmann::json::exception& e) {
  throw std::invalid_argument(e.what());
}

EndpointListUpdate parse_endpoint_list(std::string_view text) {
  auto json = nlohmann::json::parse(text, nullptr, false);
  if (json.is_discarded()) throw std::invalid_argument("the text is not valid JSON");
  return endpoint_list_from_json(json);
}

nlohmann::json endpoint_list_to_json(const EndpointListUpdate& update) {
  auto instances = nlohmann::json::array();
  for (const auto& endpoint : update.endpoints)
    instances.push_back({{"instanceId", endpoint.id},
                         {"hostPort", endpoint.address},
                         {"zone", endpoint.zone},
                         {"cell", endpoint.shard_group},
                         {"lifecycle", lifecycle_to_text(endpoint.lifecycle)},
                         {"weight", endpoint.weight},
                         {"startedAtMs", endpoint.started_at_ms}});
  return {{"generation", update.generation}, {"reset", update.reset}, {"instances", std::move(instances)}};
}

}  // namespace database_proxy::discovery
