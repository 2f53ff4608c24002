#include "placement/placement_codec.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>

#include "placement/placement_plan.h"
#include "placement/zone_observation.h"

namespace database_proxy::placement {

using nlohmann::json;

namespace {

std::uint64_t number_at(const json& row, std::size_t column) { return row.at(column).get<std::uint64_t>(); }

json rows_of(const json& json_object, const char* key) { return json_object.value(key, json::array()); }

ZoneSample sample_from_row(const json& row) {
  ZoneSample sample;
  sample.attempts = number_at(row, 3);
  sample.refused = number_at(row, 4);
  sample.timed_out = number_at(row, 5);
  sample.failed = number_at(row, 6);
  sample.latency_us = number_at(row, 7);
  sample.postponed = number_at(row, 8);
  sample.warming_up = number_at(row, 9);
  sample.spare_capacity = row.at(10).get<double>();
  sample.rejected = number_at(row, 11);
  return sample;
}

json state_to_json(const ZoneState& state) {
  return {{"phase", text_of(state.phase)},
          {"reason", static_cast<int>(state.reason)},
          {"why", text_of(state.reason)},
          {"since", state.since},
          {"stepped", state.last_step},
          {"ill_since", state.unhealthy_since},
          {"well_since", state.healthy_since},
          {"part", state.capacity_fraction},
          {"forced", state.forced}};
}

ZoneState state_from_json(const json& encoded) {
  ZoneState state;
  auto text = encoded.value("phase", "open");
  for (auto phase : {Phase::kOpen, Phase::kClosed, Phase::kOpening, Phase::kEvacuating, Phase::kEvacuated})
    if (text == text_of(phase)) state.phase = phase;
  state.reason = static_cast<PhaseReason>(
      std::clamp(encoded.value("reason", 0), 0, static_cast<int>(PhaseReason::kChangeBudgetExhausted)));
  state.since = encoded.value("since", Millis{0});
  state.last_step = encoded.value("stepped", Millis{0});
  state.unhealthy_since = encoded.value("ill_since", Millis{0});
  state.healthy_since = encoded.value("well_since", Millis{0});
  state.capacity_fraction = std::clamp(encoded.value("part", 1.0), 0.0, 1.0);
  state.forced = encoded.value("forced", false);
  return state;
}

json shares_to_json(const Shares& shares) {
  json rows = json::array();
  for (const auto& [key, by_zone] : shares) rows.push_back({key.first, key.second, by_zone});
  return rows;
}

Shares shares_from_json(const json& rows) {
  Shares shares;
  for (const auto& row : rows)
    shares[{row.at(0).get<ShardGroupId>(), row.at(1).get<Zone>()}] = row.at(2).get<std::map<Zone, double>>();
  return shares;
}

}  // namespace

json to_json(const Observation& observation) {
  json encoded = json::object();
  for (const auto& [key, sample] : observation.samples())
    encoded["seen"].push_back({std::get<0>(key), std::get<1>(key), std::get<2>(key), sample.attempts,
                               sample.refused, sample.timed_out, sample.failed, sample.latency_us,
                               sample.postponed, sample.warming_up, sample.spare_capacity, sample.rejected});
  for (const auto& [key, votes] : observation.votes())
    encoded["votes"].push_back({key.first, key.second, votes.healthy, votes.unhealthy, votes.late});
  for (const auto& [key, requests] : observation.demand())
    encoded["asked"].push_back({key.first, key.second, requests});
  for (const auto& [key, proxies] : observation.primaries())
    encoded["leads"].push_back({key.first, key.second, proxies});
  for (const auto& [plan, proxies] : observation.followers()) encoded["follow"].push_back({plan, proxies});
  return encoded;
}

Observation observation_from_json(const json& encoded) {
  Observation observation;
  for (const auto& row : rows_of(encoded, "seen"))
    observation.record(row.at(0).get<Zone>(), row.at(1).get<ShardGroupId>(), row.at(2).get<Zone>(),
                       sample_from_row(row));
  for (const auto& row : rows_of(encoded, "votes"))
    observation.add_votes(row.at(0).get<Zone>(), row.at(1).get<Zone>(),
                          {number_at(row, 2), number_at(row, 3), number_at(row, 4)});
  for (const auto& row : rows_of(encoded, "asked"))
    observation.add_demand(row.at(0).get<Zone>(), row.at(1).get<ShardGroupId>(), number_at(row, 2));
  for (const auto& row : rows_of(encoded, "leads"))
    observation.add_primary(row.at(0).get<ShardGroupId>(), row.at(1).get<Zone>(), number_at(row, 2));
  for (const auto& row : rows_of(encoded, "follow"))
    observation.add_followers(number_at(row, 0), number_at(row, 1));
  return observation;
}

json to_json(const Plan& plan) {
  json zones = json::object();
  json links = json::array();
  json changes = json::array();
  for (const auto& [zone, state] : plan.zones) zones[zone] = state_to_json(state);
  for (const auto& [key, state] : plan.links) links.push_back({key.first, key.second, state_to_json(state)});
  for (const auto& [zone, at] : plan.changes) changes.push_back({zone, at});
  return {{"number", plan.number},
          {"zones", zones},
          {"links", links},
          {"shares", shares_to_json(plan.shares)},
          {"spares", shares_to_json(plan.surplus_capacity)},
          {"changes", changes},
          {"frozen", plan.frozen}};
}

Plan plan_from_json(const json& encoded) {
  Plan plan;
  plan.number = encoded.at("number").get<std::uint64_t>();
  for (const auto& [zone, state] : encoded.at("zones").items()) plan.zones[zone] = state_from_json(state);
  for (const auto& row : rows_of(encoded, "links"))
    plan.links[{row.at(0).get<Zone>(), row.at(1).get<Zone>()}] = state_from_json(row.at(2));
  plan.shares = shares_from_json(encoded.at("shares"));
  plan.surplus_capacity = shares_from_json(rows_of(encoded, "spares"));
  for (const auto& row : rows_of(encoded, "changes"))
    plan.changes.emplace_back(row.at(0).get<Zone>(), row.at(1).get<Millis>());
  plan.frozen = encoded.value("frozen", false);
  return plan;
}

}  // namespace database_proxy::placement
