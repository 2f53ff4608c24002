#include "app/fleet_placement.h"

#include <fmt/format.h>

#include <map>

#include "placement/placement_codec.h"

namespace database_proxy::app {

using nlohmann::json;
namespace pl = placement;

namespace {

std::map<std::pair<std::int64_t, std::string>, double> read_rates(const json& answer, const char* key) {
  std::map<std::pair<std::int64_t, std::string>, double> all;
  for (auto& r : answer.value(key, json::array())) {
    bool set_is_first = r.at(0).is_number();
    all[{r.at(set_is_first ? 0 : 1).get<std::int64_t>(), r.at(set_is_first ? 1 : 0).get<std::string>()}] =
        r.at(2).get<double>();
  }
  return all;
}

std::string zone_text(const std::string& zone) { return zone.empty() ? "(no zone)" : zone; }

}  // namespace

std::string format_plan(const json& answer) {
  auto plan = pl::plan_from_json(answer.at("plan"));
  auto lease_holder = answer.value("owner", "");
  std::string text = fmt::format("plan {}{}, owner {}\n", plan.number, plan.frozen ? " (frozen)" : "",
                                 lease_holder.empty() ? "nobody" : lease_holder);
  for (auto& [zone, s] : plan.zones)
    text += fmt::format("zone {:<16} {:<10} {:3.0f} %{}{}\n", zone_text(zone), pl::text_of(s.phase),
                        s.capacity_fraction * 100,
                        s.reason == pl::PhaseReason::kNone ? "" : fmt::format("  {}", pl::text_of(s.reason)),
                        s.forced ? " (forced)" : "");
  for (auto& [key, s] : plan.links)
    if (s.phase == pl::Phase::kClosed)
      text += fmt::format("link {} to {} closed: only the proxies in the former find the latter unhealthy\n",
                          zone_text(key.first), zone_text(key.second));
  if (!answer.contains("seen")) return text + "the owner was not queried: this is the committed plan\n";
  auto seen = pl::observation_from_json(answer.at("seen"));
  for (auto& [number, proxies] : seen.followers())
    text += number == 0 ? fmt::format("{} proxies follow no plan\n", proxies)
                        : fmt::format("{} proxies follow plan {}\n", proxies, number);
  for (auto& [key, v] : seen.votes())
    if (v.unhealthy + v.late > 0)
      text += fmt::format("of {} proxies in {}, {} find {} unhealthy and {} find it late\n", v.total(),
                          zone_text(key.first), v.unhealthy, zone_text(key.second), v.late);
  return text;
}

std::string format_explanation(const json& answer, std::int64_t set) {
  auto plan = pl::plan_from_json(answer.at("plan"));
  auto demand = read_rates(answer, "asked"), capacity = read_rates(answer, "bears");
  std::string text = fmt::format("plan {}, set {}\n", plan.number, set);
  for (auto& [key, max_rate] : capacity) {
    if (key.first != set) continue;
    auto it = plan.zones.find(key.second);
    auto fraction = it == plan.zones.end() ? 1.0 : it->second.capacity_fraction;
    text += fmt::format(
        "zone {:<16} can serve {:7.0f} reads a second, limited to {:.0f}{}\n", zone_text(key.second),
        max_rate, max_rate * fraction,
        it == plan.zones.end() || it->second.reason == pl::PhaseReason::kNone
            ? ""
            : fmt::format("  ({}: {})", pl::text_of(it->second.phase), pl::text_of(it->second.reason)));
  }
  bool has_shares = false;
  for (auto& [key, shares] : plan.shares) {
    if (key.first != set) continue;
    has_shares = true;
    text += fmt::format("clients of {:<11} request {:.0f} reads a second:", zone_text(key.second),
                        demand[{set, key.second}]);
    for (auto& [zone, share] : shares) text += fmt::format(" {} {:.1f} %", zone_text(zone), share * 100);
    if (auto it = plan.surplus_capacity.find(key); it != plan.surplus_capacity.end()) {
      text += "; surplus capacity:";
      for (auto& [zone, share] : it->second)
        text += fmt::format(" {} {:.1f} %", zone_text(zone), share * 100);
    }
    if (double refused = plan.rejected_share(set, key.second); refused > 0.001)
      text += fmt::format("; rejected {:.1f} %: more than all zones together can serve", refused * 100);
    text += "\n";
  }
  if (!has_shares)
    text +=
        "the plan does not cover this set: each proxy decides by itself (no replica, or no observations of "
        "it)\n";
  return text;
}

}  // namespace database_proxy::app
