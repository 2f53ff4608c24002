#include "placement/placement_codec.h"

#include <algorithm>

namespace database_proxy::placement {

using nlohmann::json;

json to_json(const Observation& o) {
  json j = json::object();
  for (auto& [key, s] : o.seen())
    j["seen"].push_back({std::get<0>(key), std::get<1>(key), std::get<2>(key), s.attempts, s.refused,
                         s.timed_out, s.failed, s.latency_us, s.postponed, s.cold, s.room, s.full});
  for (auto& [key, v] : o.votes())
    j["votes"].push_back({key.first, key.second, v.healthy, v.unhealthy, v.late});
  for (auto& [key, n] : o.demand()) j["asked"].push_back({key.first, key.second, n});
  for (auto& [key, n] : o.primaries()) j["leads"].push_back({key.first, key.second, n});
  for (auto& [plan, n] : o.followers()) j["follow"].push_back({plan, n});
  return j;
}

Observation observation_from_json(const json& j) {
  Observation o;
  auto rows = [&](const char* key) { return j.value(key, json::array()); };
  for (auto& r : rows("seen")) {
    ZoneSample s;
    auto n = [&](std::size_t i) { return r.at(i).get<std::uint64_t>(); };
    s.attempts = n(3), s.refused = n(4), s.timed_out = n(5), s.failed = n(6), s.latency_us = n(7);
    s.postponed = n(8), s.cold = n(9), s.room = r.at(10).get<double>(), s.full = n(11);
    o.record(r.at(0).get<Zone>(), r.at(1).get<SetId>(), r.at(2).get<Zone>(), s);
  }
  for (auto& r : rows("votes"))
    o.voted(r.at(0).get<Zone>(), r.at(1).get<Zone>(),
            {r.at(2).get<std::uint64_t>(), r.at(3).get<std::uint64_t>(), r.at(4).get<std::uint64_t>()});
  for (auto& r : rows("asked"))
    o.asked(r.at(0).get<Zone>(), r.at(1).get<SetId>(), r.at(2).get<std::uint64_t>());
  for (auto& r : rows("leads"))
    o.leads(r.at(0).get<SetId>(), r.at(1).get<Zone>(), r.at(2).get<std::uint64_t>());
  for (auto& r : rows("follow")) o.follows(r.at(0).get<std::uint64_t>(), r.at(1).get<std::uint64_t>());
  return o;
}

namespace {

json state_json(const ZoneState& s) {
  return {{"phase", text_of(s.phase)},
          {"reason", static_cast<int>(s.reason)},
          {"why", text_of(s.reason)},
          {"since", s.since},
          {"stepped", s.stepped},
          {"ill_since", s.unhealthy_since},
          {"well_since", s.healthy_since},
          {"part", s.part},
          {"forced", s.forced}};
}

ZoneState state_of(const json& j) {
  ZoneState s;
  auto phase = j.value("phase", "open");
  for (auto p : {Phase::kOpen, Phase::kClosed, Phase::kOpening, Phase::kEvacuating, Phase::kEvacuated})
    if (phase == text_of(p)) s.phase = p;
  s.reason = static_cast<PhaseReason>(
      std::clamp(j.value("reason", 0), 0, static_cast<int>(PhaseReason::kChangeBudgetSpent)));
  s.since = j.value("since", Millis{0});
  s.stepped = j.value("stepped", Millis{0});
  s.unhealthy_since = j.value("ill_since", Millis{0});
  s.healthy_since = j.value("well_since", Millis{0});
  s.part = std::clamp(j.value("part", 1.0), 0.0, 1.0);
  s.forced = j.value("forced", false);
  return s;
}

json shares_json(const std::map<std::pair<SetId, Zone>, std::map<Zone, double>>& all) {
  json j = json::array();
  for (auto& [key, shares] : all) j.push_back({key.first, key.second, shares});
  return j;
}

std::map<std::pair<SetId, Zone>, std::map<Zone, double>> shares_of(const json& j) {
  std::map<std::pair<SetId, Zone>, std::map<Zone, double>> all;
  for (auto& r : j) all[{r.at(0).get<SetId>(), r.at(1).get<Zone>()}] = r.at(2).get<std::map<Zone, double>>();
  return all;
}

}  // namespace

json to_json(const Plan& p) {
  json zones = json::object(), links = json::array(), changes = json::array();
  for (auto& [zone, state] : p.zones) zones[zone] = state_json(state);
  for (auto& [key, state] : p.links) links.push_back({key.first, key.second, state_json(state)});
  for (auto& [zone, at] : p.changes) changes.push_back({zone, at});
  return {{"number", p.number},
          {"zones", zones},
          {"links", links},
          {"shares", shares_json(p.shares)},
          {"spares", shares_json(p.surplus_capacity)},
          {"changes", changes},
          {"frozen", p.frozen}};
}

Plan plan_from_json(const json& j) {
  Plan p;
  p.number = j.at("number").get<std::uint64_t>();
  for (auto& [zone, state] : j.at("zones").items()) p.zones[zone] = state_of(state);
  for (auto& r : j.value("links", json::array()))
    p.links[{r.at(0).get<Zone>(), r.at(1).get<Zone>()}] = state_of(r.at(2));
  p.shares = shares_of(j.at("shares"));
  p.surplus_capacity = shares_of(j.value("spares", json::array()));
  for (auto& r : j.value("changes", json::array()))
    p.changes.emplace_back(r.at(0).get<Zone>(), r.at(1).get<Millis>());
  p.frozen = j.value("frozen", false);
  return p;
}

}  // namespace database_proxy::placement
