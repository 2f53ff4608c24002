#include "testbench/simulation/commands.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/program_options.hpp>
#include <charconv>
#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "testbench/simulation/model.h"
#include "testbench/simulation/placement.h"
#include "testbench/simulation/world.h"

namespace database_proxy::testbench::simulation {
namespace {

namespace po = boost::program_options;
using nlohmann::json;

double seconds_since(std::chrono::steady_clock::time_point then) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - then).count();
}

std::pair<std::uint64_t, std::uint64_t> range(const std::string& text) {
  auto dots = text.find("..");
  auto number = [&](std::string_view part) {
    std::uint64_t n = 0;
    auto [end, error] = std::from_chars(part.data(), part.data() + part.size(), n);
    if (error != std::errc() || end != part.data() + part.size() || part.empty())
      throw std::runtime_error("seeds must be A..B, not '" + text + "'");
    return n;
  };
  if (dots == std::string::npos) return {number(text), number(text)};
  std::pair<std::uint64_t, std::uint64_t> both{number(std::string_view(text).substr(0, dots)),
                                               number(std::string_view(text).substr(dots + 2))};
  if (both.second < both.first) throw std::runtime_error("seeds must rise: '" + text + "'");
  return both;
}

Mutant mutant_named(const std::string& name) {
  if (name == "none") return Mutant::kNone;
  for (auto& [mutant, text] : mutants())
    if (text == name) return mutant;
  std::string all;
  for (auto& [mutant, text] : mutants()) all += (all.empty() ? "'" : ", '") + text + "'";
  throw std::runtime_error("no mutant is called '" + name + "'; there are " + all);
}

int group(std::pair<std::uint64_t, std::uint64_t> seeds, Mutant mutant) {
  WorldResult sum;
  std::uint64_t played = 0, broken = 0;
  json first;
  auto began = std::chrono::steady_clock::now();
  for (auto seed = seeds.first; seed <= seeds.second; ++seed, ++played) {
    WorldOptions o;
    o.seed = seed;
    o.mutant = mutant;
    auto r = run_world(o);
    sum.events += r.events;
    sum.committed += r.committed;
    sum.acknowledged += r.acknowledged;
    sum.reads += r.reads;
    sum.elections += r.elections;
    sum.grants += r.grants;
    sum.effects += r.effects;
    sum.stale_attempted += r.stale_attempted;
    sum.stale_accepted += r.stale_accepted;
    sum.faults_done += r.faults_done;
    if (r.broken.empty()) continue;
    ++broken;
    if (first.is_null()) {
      auto shortest = shrink(o, r);
      first = {{"seed", seed}, {"broken", r.broken}, {"history", shortest.history}};
      if (mutant != Mutant::kNone) {
        ++played;
        break;  // it is found
      }
    }
  }
  auto took = seconds_since(began);
  json result = {{"seeds", played},
                 {"broken", broken},
                 {"faults", sum.faults_done},
                 {"steps", sum.events},
                 {"committed", sum.committed},
                 {"acknowledged", sum.acknowledged},
                 {"reads_checked", sum.reads},
                 {"elections", sum.elections},
                 {"grants", sum.grants},
                 {"effects", sum.effects},
                 {"stale_effects_attempted", sum.stale_attempted},
                 {"stale_effects_accepted", sum.stale_accepted},
                 {"seconds", took},
                 {"seeds_per_minute", took > 0 ? static_cast<double>(played) / took * 60 : 0}};
  if (!first.is_null()) result["first"] = first;
  std::cout << result.dump(1) << "\n";
  return broken == 0 ? 0 : 2;
}

int zones(std::pair<std::uint64_t, std::uint64_t> seeds, const std::string& name) {
  auto mutant = PlanMutant::kNone;
  if (name != "none") {
    auto& all = plan_mutants();
    auto it = std::find_if(all.begin(), all.end(), [&](auto& m) { return m.second == name; });
    if (it == all.end()) {
      std::string names;
      for (auto& [m, text] : all) names += (names.empty() ? "'" : ", '") + text + "'";
      throw std::runtime_error("no mutant is called '" + name + "'; there are " + names);
    }
    mutant = it->first;
  }
  std::uint64_t played = 0, broken = 0, plans = 0, changes = 0, faults = 0, moved = 0;
  double served = 0, worst = 0, far = 0;
  json first;
  auto began = std::chrono::steady_clock::now();
  for (auto seed = seeds.first; seed <= seeds.second; ++seed, ++played) {
    auto r = run_placement(seed, mutant);
    plans += r.plans;
    changes += r.changes;
    faults += r.faults;
    served += r.served;
    worst += r.served_worst_10s;
    far += r.far_calm;
    moved = std::max(moved, r.moved_ms_most);
    if (r.broken.empty()) continue;
    ++broken;
    if (first.is_null()) first = {{"seed", seed}, {"broken", r.broken}, {"history", r.history}};
    if (mutant != PlanMutant::kNone) {
      ++played;
      break;  // it is found
    }
  }
  auto took = seconds_since(began);
  auto mean = [&](double sum) { return sum / static_cast<double>(std::max<std::uint64_t>(1, played)); };
  json result = {{"seeds", played},
                 {"broken", broken},
                 {"faults", faults},
                 {"plans", plans},
                 {"changes", changes},
                 {"served_mean", mean(served)},
                 {"served_worst_10s_mean", mean(worst)},
                 {"far_share_calm_mean", mean(far)},
                 {"moved_ms_most", moved},
                 {"seconds", took},
                 {"seeds_per_minute", took > 0 ? static_cast<double>(played) / took * 60 : 0}};
  if (!first.is_null()) result["first"] = first;
  std::cout << result.dump(1) << "\n";
  return broken == 0 ? 0 : 2;
}

int model(const po::variables_map& given, Mutant mutant) {
  ScopeOptions scope;
  scope.elections = std::clamp(given["elections"].as<int>(), 1, 6);
  scope.proposals = std::clamp(given["proposals"].as<int>(), 0, 4);
  scope.crashes = std::clamp(given["crashes"].as<int>(), 0, 4);
  scope.breaks = std::clamp(given["breaks"].as<int>(), 0, 4);
  scope.most_states = given["most-states"].as<std::uint64_t>();
  scope.mutant = mutant;
  LeaseScope leases;
  leases.steps = std::clamp(given["lease-steps"].as<int>(), 1, 12);
  leases.mutant = mutant;
  auto row = [](const ScopeResult& r, double took) {
    json j = {{"states", r.states}, {"exhausted", r.exhausted}, {"seconds", took}};
    if (!r.broken.empty()) j["broken"] = r.broken, j["path"] = r.path;
    return j;
  };
  auto began = std::chrono::steady_clock::now();
  auto log = explore_log(scope);
  auto log_took = seconds_since(began);
  began = std::chrono::steady_clock::now();
  auto lease = explore_leases(leases);
  json result = {{"log", row(log, log_took)}, {"leases", row(lease, seconds_since(began))}};
  std::cout << result.dump(1) << "\n";
  return log.broken.empty() && lease.broken.empty() ? 0 : 2;
}

}  // namespace

int run(const std::vector<std::string>& arguments) {
  po::options_description o;
  o.add_options()("what", po::value<std::string>()->default_value(""), "group, model, zones or plan-cost")(
      "seeds", po::value<std::string>()->default_value("1..200"),
      "group, zones: A..B, each a world of its own")(
      "mutant", po::value<std::string>()->default_value("none"), "one guard taken away, to see it found")(
      "elections", po::value<int>()->default_value(2), "model: that may begin")(
      "proposals", po::value<int>()->default_value(1), "model: of the leaders")(
      "crashes", po::value<int>()->default_value(1), "model: of any node")(
      "breaks", po::value<int>()->default_value(0), "model: of any link")(
      "lease-steps", po::value<int>()->default_value(4), "model: of half a lease each")(
      "most-states", po::value<std::uint64_t>()->default_value(3'000'000), "model: then it stops")(
      "help", "this text");
  po::positional_options_description positions;
  positions.add("what", 1);
  po::variables_map given;
  try {
    po::store(po::command_line_parser(arguments).options(o).positional(positions).run(), given);
    po::notify(given);
  } catch (const po::error& e) {
    throw std::runtime_error(e.what());
  }
  auto what = given["what"].as<std::string>();
  if (given.count("help") || what.empty()) {
    std::cout << "proxy-testbench simulate group|model|zones|plan-cost [options]\n" << o;
    return 0;
  }
  if (what == "plan-cost") {
    json rows = json::array();
    for (auto [proxies, servers, sets, zones] :
         {std::array{300, 120, 20, 3}, std::array{3000, 1200, 200, 6}, std::array{3000, 10000, 200, 12}}) {
      auto c = plan_cost(proxies, servers, sets, zones);
      rows.push_back({{"proxies", proxies},
                      {"servers", servers},
                      {"sets", sets},
                      {"zones", zones},
                      {"observation_bytes", c.observation_bytes},
                      {"sum_bytes", c.sum_bytes},
                      {"plan_bytes", c.plan_bytes},
                      {"sum_us", c.sum_us},
                      {"plan_us", c.plan_us}});
    }
    std::cout << rows.dump(1) << "\n";
    return 0;
  }
  if (what == "zones")
    return zones(range(given["seeds"].as<std::string>()), given["mutant"].as<std::string>());
  auto mutant = mutant_named(given["mutant"].as<std::string>());
  if (what == "group") return group(range(given["seeds"].as<std::string>()), mutant);
  if (what == "model") return model(given, mutant);
  throw std::runtime_error("simulate knows group, model, zones and plan-cost, not '" + what + "'");
}

}  // namespace database_proxy::testbench::simulation
