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

double seconds_since(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

std::pair<std::uint64_t, std::uint64_t> parse_seed_range(const std::string& text) {
  auto dots = text.find("..");
  auto number = [&](std::string_view part) {
    std::uint64_t n = 0;
    auto [end, error] = std::from_chars(part.data(), part.data() + part.size(), n);
    if (error != std::errc() || end != part.data() + part.size() || part.empty())
      throw std::runtime_error("seeds must be A..B, not '" + text + "'");
    return n;
  };
  if (dots == std::string::npos) return {number(text), number(text)};
  std::pair<std::uint64_t, std::uint64_t> seeds{number(std::string_view(text).substr(0, dots)),
                                                number(std::string_view(text).substr(dots + 2))};
  if (seeds.second < seeds.first) throw std::runtime_error("seeds must rise: '" + text + "'");
  return seeds;
}

Mutant parse_mutant(const std::string& name) {
  if (name == "none") return Mutant::kNone;
  for (auto& [mutant, text] : mutants())
    if (text == name) return mutant;
  std::string all;
  for (auto& [mutant, text] : mutants()) all += (all.empty() ? "'" : ", '") + text + "'";
  throw std::runtime_error("no mutant is called '" + name + "'; there are " + all);
}

int run_group(std::pair<std::uint64_t, std::uint64_t> seeds, Mutant mutant) {
  WorldResult sum;
  std::uint64_t runs = 0, violations = 0;
  json first_violation;
  auto started = std::chrono::steady_clock::now();
  for (auto seed = seeds.first; seed <= seeds.second; ++seed, ++runs) {
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
    sum.faults_injected += r.faults_injected;
    if (r.violation.empty()) continue;
    ++violations;
    if (first_violation.is_null()) {
      auto shortest = shrink(o, r);
      first_violation = {{"seed", seed}, {"broken", r.violation}, {"history", shortest.history}};
      if (mutant != Mutant::kNone) {
        ++runs;
        break;  // the mutant is detected
      }
    }
  }
  auto elapsed = seconds_since(started);
  json result = {{"seeds", runs},
                 {"broken", violations},
                 {"faults", sum.faults_injected},
                 {"steps", sum.events},
                 {"committed", sum.committed},
                 {"acknowledged", sum.acknowledged},
                 {"reads_checked", sum.reads},
                 {"elections", sum.elections},
                 {"grants", sum.grants},
                 {"effects", sum.effects},
                 {"stale_effects_attempted", sum.stale_attempted},
                 {"stale_effects_accepted", sum.stale_accepted},
                 {"seconds", elapsed},
                 {"seeds_per_minute", elapsed > 0 ? static_cast<double>(runs) / elapsed * 60 : 0}};
  if (!first_violation.is_null()) result["first"] = first_violation;
  std::cout << result.dump(1) << "\n";
  return violations == 0 ? 0 : 2;
}

int run_zones(std::pair<std::uint64_t, std::uint64_t> seeds, const std::string& name) {
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
  std::uint64_t runs = 0, violations = 0, plans = 0, changes = 0, faults = 0, max_move_ms = 0;
  double served = 0, worst_10s = 0, cross_zone = 0;
  json first_violation;
  auto started = std::chrono::steady_clock::now();
  for (auto seed = seeds.first; seed <= seeds.second; ++seed, ++runs) {
    auto r = run_placement(seed, mutant);
    plans += r.plans;
    changes += r.changes;
    faults += r.faults;
    served += r.served;
    worst_10s += r.served_worst_10s;
    cross_zone += r.cross_zone_share_calm;
    max_move_ms = std::max(max_move_ms, r.max_move_ms);
    if (r.violation.empty()) continue;
    ++violations;
    if (first_violation.is_null())
      first_violation = {{"seed", seed}, {"broken", r.violation}, {"history", r.history}};
    if (mutant != PlanMutant::kNone) {
      ++runs;
      break;  // the mutant is detected
    }
  }
  auto elapsed = seconds_since(started);
  auto mean = [&](double sum) { return sum / static_cast<double>(std::max<std::uint64_t>(1, runs)); };
  json result = {{"seeds", runs},
                 {"broken", violations},
                 {"faults", faults},
                 {"plans", plans},
                 {"changes", changes},
                 {"served_mean", mean(served)},
                 {"served_worst_10s_mean", mean(worst_10s)},
                 {"far_share_calm_mean", mean(cross_zone)},
                 {"moved_ms_most", max_move_ms},
                 {"seconds", elapsed},
                 {"seeds_per_minute", elapsed > 0 ? static_cast<double>(runs) / elapsed * 60 : 0}};
  if (!first_violation.is_null()) result["first"] = first_violation;
  std::cout << result.dump(1) << "\n";
  return violations == 0 ? 0 : 2;
}

int run_model(const po::variables_map& parsed, Mutant mutant) {
  ScopeOptions scope;
  scope.elections = std::clamp(parsed["elections"].as<int>(), 1, 6);
  scope.proposals = std::clamp(parsed["proposals"].as<int>(), 0, 4);
  scope.crashes = std::clamp(parsed["crashes"].as<int>(), 0, 4);
  scope.breaks = std::clamp(parsed["breaks"].as<int>(), 0, 4);
  scope.max_states = parsed["most-states"].as<std::uint64_t>();
  scope.mutant = mutant;
  LeaseScope leases;
  leases.steps = std::clamp(parsed["lease-steps"].as<int>(), 1, 12);
  leases.mutant = mutant;
  auto row = [](const ScopeResult& r, double elapsed) {
    json j = {{"states", r.states}, {"exhausted", r.exhausted}, {"seconds", elapsed}};
    if (!r.violation.empty()) j["broken"] = r.violation, j["path"] = r.path;
    return j;
  };
  auto started = std::chrono::steady_clock::now();
  auto log = explore_log(scope);
  auto log_elapsed = seconds_since(started);
  started = std::chrono::steady_clock::now();
  auto lease = explore_leases(leases);
  json result = {{"log", row(log, log_elapsed)}, {"leases", row(lease, seconds_since(started))}};
  std::cout << result.dump(1) << "\n";
  return log.violation.empty() && lease.violation.empty() ? 0 : 2;
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
  po::variables_map parsed;
  try {
    po::store(po::command_line_parser(arguments).options(o).positional(positions).run(), parsed);
    po::notify(parsed);
  } catch (const po::error& e) {
    throw std::runtime_error(e.what());
  }
  auto command = parsed["what"].as<std::string>();
  if (parsed.count("help") || command.empty()) {
    std::cout << "proxy-testbench simulate group|model|zones|plan-cost [options]\n" << o;
    return 0;
  }
  if (command == "plan-cost") {
    json rows = json::array();
    for (auto [proxies, servers, shard_groups, zones] :
         {std::array{300, 120, 20, 3}, std::array{3000, 1200, 200, 6}, std::array{3000, 10000, 200, 12}}) {
      auto c = plan_cost(proxies, servers, shard_groups, zones);
      rows.push_back({{"proxies", proxies},
                      {"servers", servers},
                      {"sets", shard_groups},
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
  if (command == "zones")
    return run_zones(parse_seed_range(parsed["seeds"].as<std::string>()), parsed["mutant"].as<std::string>());
  auto mutant = parse_mutant(parsed["mutant"].as<std::string>());
  if (command == "group") return run_group(parse_seed_range(parsed["seeds"].as<std::string>()), mutant);
  if (command == "model") return run_model(parsed, mutant);
  throw std::runtime_error("simulate knows group, model, zones and plan-cost, not '" + command + "'");
}

}  // namespace database_proxy::testbench::simulation
