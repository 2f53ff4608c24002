#include "discovery/endpoint_list_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace database_proxy::discovery {
namespace {

Lifecycle lifecycle(const std::string& word) {
  if (word == "up") return Lifecycle::kUp;
  if (word == "draining") return Lifecycle::kDraining;
  if (word == "removed") return Lifecycle::kRemoved;
  throw std::invalid_argument("unknown lifecycle '" + word + "'");
}

}  // namespace

EndpointListUpdate endpoint_list_from_json(const nlohmann::json& json) try {
  EndpointListUpdate update;
  update.generation = json.at("generation").get<std::int64_t>();
  update.reset = json.value("reset", false);
  for (auto& entry : json.at("instances")) {
    Endpoint m;
    m.id = entry.at("instanceId").get<std::string>();
    m.lifecycle = lifecycle(entry.value("lifecycle", "up"));
    m.address = entry.value("hostPort", "");
    if (m.id.empty() || (m.address.empty() && m.lifecycle != Lifecycle::kRemoved))
      throw std::invalid_argument("an entry without instanceId or hostPort");
    m.zone = entry.value("zone", "");
    m.cell = entry.value("cell", std::int64_t{0});
    m.weight = entry.value("weight", 1.0);
    m.started_at_ms = static_cast<std::int64_t>(std::clamp(entry.value("startedAtMs", 0.0), 0.0, 1e14));
    update.members.push_back(std::move(m));
  }
  return update;
} catch (const nlohmann::json::exception& e) {
  throw std::invalid_argument(e.what());
}

EndpointListUpdate parse_endpoint_list(std::string_view text) {
  auto json = nlohmann::json::parse(text, nullptr, false);
  if (json.is_discarded()) throw std::invalid_argument("not JSON");
  return endpoint_list_from_json(json);
}

nlohmann::json endpoint_list_to_json(const EndpointListUpdate& update) {
  auto instances = nlohmann::json::array();
  for (auto& m : update.members)
    instances.push_back({{"instanceId", m.id},
                         {"hostPort", m.address},
                         {"zone", m.zone},
                         {"cell", m.cell},
                         {"lifecycle", m.lifecycle == Lifecycle::kUp         ? "up"
                                       : m.lifecycle == Lifecycle::kDraining ? "draining"
                                                                             : "removed"},
                         {"weight", m.weight},
                         {"startedAtMs", m.started_at_ms}});
  return {{"generation", update.generation}, {"reset", update.reset}, {"instances", std::move(instances)}};
}

}  // namespace database_proxy::discovery
