#include "app/fleet_placement.h"

#include <fmt/format.h>

#include <map>

#include "placement/placement_codec.h"

namespace database_proxy::app {

using nlohmann::json;
namespace pl = placement;

namespace {

std::map<std::pair<std::int64_t, std::string>, double> rates(const json& answer, const char* key) {
  std::map<std::pair<std::int64_t, std::string>, double> all;
  for (auto& r : answer.value(key, json::array())) {
    bool set_first = r.at(0).is_number();
    all[{r.at(set_first ? 0 : 1).get<std::int64_t>(), r.at(set_first ? 1 : 0).get<std::string>()}] =
        r.at(2).get<double>();
  }
  return all;
}

std::string named(const std::string& zone) { return zone.empty() ? "(no zone)" : zone; }

}  // namespace

std::string plan_in_words(const json& answer) {
  auto plan = pl::plan_from_json(answer.at("plan"));
  auto owner = answer.value("owner", "");
  std::string text = fmt::format("plan {}{}, owner {}\n", plan.number, plan.frozen ? " (frozen)" : "",
                                 owner.empty() ? "nobody" : owner);
  for (auto& [zone, s] : plan.zones)
    text += fmt::format("zone {:<16} {:<10} {:3.0f} %{}{}\n", named(zone), pl::text_of(s.phase),
                        s.capacity_fraction * 100,
                        s.reason == pl::PhaseReason::kNone ? "" : fmt::format("  {}", pl::text_of(s.reason)),
                        s.forced ? " (forced)" : "");
  for (auto& [key, s] : plan.links)
    if (s.phase == pl::Phase::kClosed)
      text += fmt::format("way  {} to {} closed: the proxies there find it ill, others do not\n",
                          named(key.first), named(key.second));
  if (!answer.contains("seen")) return text + "the owner was not asked: this is the plan as committed\n";
  auto seen = pl::observation_from_json(answer.at("seen"));
  for (auto& [number, proxies] : seen.followers())
    text += number == 0 ? fmt::format("{} proxies follow none\n", proxies)
                        : fmt::format("{} proxies follow plan {}\n", proxies, number);
  for (auto& [key, v] : seen.votes())
    if (v.unhealthy + v.late > 0)
      text += fmt::format("of {} proxies in {} {} find {} ill and {} find it late\n", v.total(),
                          named(key.first), v.unhealthy, named(key.second), v.late);
  return text;
}

std::string set_in_words(const json& answer, std::int64_t set) {
  auto plan = pl::plan_from_json(answer.at("plan"));
  auto asked = rates(answer, "asked"), bears = rates(answer, "bears");
  std::string text = fmt::format("plan {}, set {}\n", plan.number, set);
  for (auto& [key, most] : bears) {
    if (key.first != set) continue;
    auto it = plan.zones.find(key.second);
    auto part = it == plan.zones.end() ? 1.0 : it->second.capacity_fraction;
    text += fmt::format(
        "zone {:<16} bears {:7.0f} reads a second, may be given {:.0f}{}\n", named(key.second), most,
        most * part,
        it == plan.zones.end() || it->second.reason == pl::PhaseReason::kNone
            ? ""
            : fmt::format("  ({}: {})", pl::text_of(it->second.phase), pl::text_of(it->second.reason)));
  }
  bool any = false;
  for (auto& [key, shares] : plan.shares) {
    if (key.first != set) continue;
    any = true;
    text += fmt::format("clients of {:<11} ask for {:.0f}:", named(key.second), asked[{set, key.second}]);
    for (auto& [zone, share] : shares) text += fmt::format(" {} {:.1f} %", named(zone), share * 100);
    if (auto it = plan.surplus_capacity.find(key); it != plan.surplus_capacity.end()) {
      text += "; spare:";
      for (auto& [zone, share] : it->second) text += fmt::format(" {} {:.1f} %", named(zone), share * 100);
    }
    if (double refused = plan.rejected_share(set, key.second); refused > 0.001)
      text += fmt::format("; refused {:.1f} %: all zones together bear no more", refused * 100);
    text += "\n";
  }
  if (!any)
    text += "the plan says nothing of it: each proxy decides alone (no replica, or nobody tells of it)\n";
  return text;
}

}  // namespace database_proxy::app
