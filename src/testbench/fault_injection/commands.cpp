#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/program_options.hpp>
#include <cctype>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <stdexcept>
#include <thread>

#include "testbench/fault_injection/experiments.h"
#include "testbench/fault_injection/history.h"
#include "testbench/report.h"
#include "testbench/temporary_directory.h"

namespace database_proxy::testbench::faults {

namespace po = boost::program_options;
using nlohmann::json;

namespace {

// Writes the rows as JSON, a table and charts, with the command that produced them.
void write_folder(const std::string& name, json rows, const std::string& folder, const std::string& command) {
  std::filesystem::create_directories(folder);
  auto rows_without_series = rows;
  for (auto& row : rows_without_series) row.erase("series");  // only the charts use it
  json result = {{"command", command}, {"machine", describe_machine()}, {"rows", rows_without_series}};
  write_file_atomically(folder + "/" + name + ".json", result.dump(1) + "\n");
  for (auto& row : rows)
    for (auto& [key, value] : row.items())
      if (value.is_boolean()) value = value.get<bool>() ? "yes" : "no";
  std::vector<Column> columns;
  if (name == "group")
    columns = {{"seed", "seed"},
               {"processes", "processes"},
               {"faults", "faults"},
               {"acknowledged", "acknowledged"},
               {"lost", "lost"},
               {"operations_checked", "checked"},
               {"linearizable", "one order"},
               {"two_leaders_in_a_term", "two leaders"},
               {"elections", "elections"},
               {"stuck", "stuck"},
               {"leaderless_ms_p50", "leaderless p50 ms"},
               {"leaderless_ms_p99", "p99 ms"}};
  else if (name == "owner")
    columns = {{"seed", "seed"},
               {"processes", "processes"},
               {"faults", "faults"},
               {"asked", "asked"},
               {"served_share", "served", 4},
               {"samples", "samples"},
               {"owners_overlapping", "overlapping"},
               {"stale_effects_attempted", "stale tried"},
               {"stale_effects_accepted", "taken"},
               {"list_calls", "list calls"},
               {"probes_per_server_per_s", "probes/server/s", 2},
               {"drain_last_send_ms", "drain last send ms"},
               {"rule_breaches", "breaches"}};
  else if (name == "savings")
    columns = {{"mode", "mode"},
               {"processes", "processes"},
               {"lag_ms", "lag ms"},
               {"rate_each", "asked/s each"},
               {"served_share", "served", 4},
               {"p50_ms", "p50 ms", 2},
               {"p99_ms", "p99 ms", 2},
               {"list_calls", "list calls"},
               {"probes_per_server_per_s", "probes/server/s", 2},
               {"cpu_seconds_all", "CPU s, all", 2},
               {"rss_mb_most", "MB, most", 1},
               {"rule_breaches", "breaches"}};
  else if (name == "zones")
    columns = {{"fault", "fault"},
               {"seed", "seed"},
               {"mode", "mode"},
               {"served_share", "served", 4},
               {"served_share_worst_10s", "worst 10 s", 4},
               {"far_share_calm", "far, calm", 3},
               {"far_share_during", "far, during", 3},
               {"time_to_move_ms", "to move ms"},
               {"time_to_return_ms", "to return ms"},
               {"plan_changes", "plans"},
               {"cold_falls", "cold falls"},
               {"stale_reads", "stale"},
               {"refused_share", "refused", 3},
               {"p99_ms", "p99 ms"},
               {"rule_breaches", "breaches"}};
  else if (name == "zones-cost")
    columns = {{"mode", "mode"},
               {"processes", "processes"},
               {"servers", "servers"},
               {"sets", "sets"},
               {"rate_each", "asked/s each"},
               {"cpu_ms_per_s_each", "CPU ms/s each", 3},
               {"cpu_ms_per_s_voter", "CPU ms/s a voter", 2},
               {"group_bytes_per_s_each", "bytes/s each"},
               {"rss_mb_most", "MB, most", 1}};
  else if (name == "coldstart")
    columns = {{"mode", "mode"},
               {"list", "list service"},
               {"seed", "seed"},
               {"processes", "processes"},
               {"whole_list_calls", "whole lists"},
               {"list_calls_peak_per_s", "calls/s, peak"},
               {"list_refused", "503"},
               {"handshakes_peak_per_server_per_100ms", "handshakes/server/100 ms, peak"},
               {"probes_per_server_first_5s", "probes/server, 5 s", 1},
               {"cold_falls", "cold falls"},
               {"time_to_first_served_ms_p50", "first served p50 ms"},
               {"time_to_first_served_ms_p99", "p99 ms"},
               {"time_to_99_percent_service_s", "99 % served after s", 1},
               {"served_share_first_30s", "served, 30 s", 4},
               {"rule_breaches", "breaches"}};
  else
    columns = {{"processes", "processes"},
               {"entries", "entries"},
               {"voter_caught_up_ms", "voter caught up ms"},
               {"followers_back_ms", "followers back ms"},
               {"list_calls_meanwhile", "list calls"},
               {"leader_held", "leader held"}};
  write_file_atomically(folder + "/" + name + ".md", "`" + command + "`\n\n" + markdown_table(columns, rows));
  std::vector<Series> series;
  auto bars = [&](const char* key, const std::string& title) {
    Series s{title, {}};
    for (auto& row : rows)
      s.bars.emplace_back(row.contains("mode") ? fmt::format("{} {}/s", row.at("mode").get<std::string>(),
                                                             row.value("rate_each", 0.0))
                                               : fmt::format("seed {}", row.at("seed").get<std::uint64_t>()),
                          row.at(key).get<double>());
    series.push_back(std::move(s));
  };
  if (name == "zones") {  // one chart per fault: share served in time over all seeds
    std::map<std::string, std::map<std::string, std::map<double, std::pair<double, double>>>> sums;
    for (auto& row : rows)
      for (auto& p : row.value("series", json::array())) {
        auto& sum = sums[row.at("fault")][row.at("mode")][std::floor(p.at(0).get<double>())];
        sum.first += p.at(1).get<double>();
        sum.second += p.at(2).get<double>();
      }
    for (auto& [fault, modes] : sums) {
      std::vector<Line> lines;
      for (auto& [mode, points] : modes) {
        Line line{mode, {}};
        for (auto& [at, n] : points)
          if (n.first > 0 && at > -8 && at < 34) line.points.emplace_back(at, n.second / n.first);
        lines.push_back(std::move(line));
      }
      auto file = fault;
      std::replace_if(
          file.begin(), file.end(), [](char c) { return !std::isalnum(static_cast<unsigned char>(c)); }, '-');
      line_chart(folder + "/served-" + file + ".svg", "Zone b " + fault + " from 0 to 12 s", "s",
                 "share served in time", lines);
    }
  }
  if (name == "group") {
    bars("leaderless_ms_p50", "p50");
    bars("leaderless_ms_p99", "p99");
    bar_chart(folder + "/leaderless.svg", "From a fault at the leader to the next write", "ms", series);
  } else if (name == "savings") {
    bars("probes_per_server_per_s", "probes a server and second");
    bar_chart(folder + "/savings.svg", "Probes, each for itself and owned", "1/s", series);
  }
}

}  // namespace

int run(const std::vector<std::string>& arguments) {
  po::options_description o;
  o.add_options()("name", po::value<std::string>()->default_value(""),
                  "group, owner, savings, return, zones or check")(
      "program", po::value<std::string>()->default_value(daemon_path()), "the daemon")(
      "quick", "only a few faults")("seed", po::value<std::uint64_t>()->default_value(1), "first seed")(
      "seeds", po::value<int>()->default_value(1), "number of seeds, run one after another")(
      "processes", po::value<int>()->default_value(0), "number of processes; 0: the experiment's default")(
      "faults", po::value<int>()->default_value(50),
      "faults per seed; savings: seconds of load; return: hundreds of log entries")(
      "history", po::value<std::string>()->default_value(""),
      "write the events of the last seed to this file")(
      "rate", po::value<double>()->default_value(10),
      "requests a second; savings: at each proxy (0: closed loop); zones: at all proxies together")(
      "lag-ms", po::value<int>()->default_value(0),
      "savings: lag of replicas that do not check the age of reads themselves")(
      "script", po::value<std::string>(),
      "group, owner: inject the faults of this file (JSON) instead of random ones")(
      "before", po::value<std::string>(), "coldstart: the daemon of an earlier commit, for comparison")(
      "fault", po::value<std::string>()->default_value(""), "zones: run only this fault")(
      "json", po::value<std::string>(), "write the rows to this file")(
      "folder", po::value<std::string>(), "write JSON, table and chart into this folder")(
      "from", po::value<std::vector<std::string>>()->multitoken(),
      "write rows of earlier runs (--json) there instead of running")("help", "show this text");
  po::positional_options_description positions;
  positions.add("name", 1);
  po::variables_map given;
  try {
    po::store(po::command_line_parser(arguments).options(o).positional(positions).run(), given);
    po::notify(given);
  } catch (const po::error& e) {
    throw std::runtime_error(e.what());
  }
  auto name = given["name"].as<std::string>();
  if (name.empty() || given.count("help")) {
    std::cout
        << "proxy-testbench faults group|owner|savings|return|zones [options]: many processes, and faults "
           "between them\nproxy-testbench faults check --history FILE: the checkers alone, on the events of "
           "an earlier run\n"
        << o;
    return 0;
  }
  if (name == "check") {
    auto verdict = check_history(read_history(given["history"].as<std::string>()));
    std::cout << to_json(verdict).dump(1) << "\n";
    return verdict.has_violations() ? 2 : 0;
  }
  if (name != "group" && name != "owner" && name != "savings" && name != "return" && name != "zones" &&
      name != "zones-cost" && name != "coldstart")
    throw std::runtime_error(
        fmt::format("unknown experiment '{}': expected group, owner, savings, return, zones, zones-cost, "
                    "coldstart or check",
                    name));
  Script script;
  if (given.count("script")) {
    if (name != "group" && name != "owner")
      throw std::runtime_error("--script is only valid for group and owner");
    script = read_script(given["script"].as<std::string>());
  }
  auto seeds = std::clamp(given["seeds"].as<int>(), 1, 1000);
  json rows = json::array();
  std::uint64_t violations = 0;
  std::string command = "proxy-testbench faults";
  if (given.count("from")) {
    for (auto& path : given["from"].as<std::vector<std::string>>()) {
      std::ifstream file(path);
      for (auto& row : json::parse(file)) rows.push_back(row);
    }
    command += fmt::format(" {}: {} rows of earlier runs, seeds {} to {}", name, rows.size(),
                           rows.front().value("seed", 0), rows.back().value("seed", 0));
    seeds = 0;
  } else {
    for (auto& a : arguments) command += " " + a;
  }
  for (int i = 0; i < seeds; ++i) {
    TemporaryDirectory scratch;
    ExperimentOptions options;
    options.program = given["program"].as<std::string>();
    options.folder = scratch.path();
    options.processes = std::clamp(given["processes"].as<int>(), 0, 300);
    options.seed = given["seed"].as<std::uint64_t>() + static_cast<std::uint64_t>(i);
    options.faults = std::clamp(given["faults"].as<int>(), 1, 10000);
    options.rate = std::clamp(given["rate"].as<double>(), 0.0, 1e5);
    if (name.starts_with("zones") && given["rate"].defaulted()) options.rate = 0;  // the experiment's default
    options.lag_ms = std::clamp(given["lag-ms"].as<int>(), 0, 10000);
    options.history = given["history"].as<std::string>();
    options.script = script;
    if (given.count("quick") && given["faults"].defaulted()) options.faults = 5;
    options.zone_fault = given["fault"].as<std::string>();
    if (given.count("before")) options.before = given["before"].as<std::string>();
    if (name == "coldstart") {
      for (auto& row : run_coldstart(options)) rows.push_back(row);
    } else if (name == "savings" || name == "zones" || name == "zones-cost") {
      for (auto& row : name == "zones"        ? run_zones(options)
                       : name == "zones-cost" ? run_zones_cost(options)
                                              : run_savings(options))
        rows.push_back(row);
    } else {
      rows.push_back(name == "group"   ? run_group(options)
                     : name == "owner" ? run_owner(options)
                                       : run_return(options));
    }
    for (auto& row : rows) {
      if (row.value("seed", std::uint64_t{0}) != options.seed) continue;
      auto short_row = row;
      short_row.erase("series");
      std::cerr << short_row.dump() << "\n";
    }
    for (auto& row : rows)
      if (row.value("seed", std::uint64_t{0}) == options.seed && rows.back() != row)
        violations += row.value("rule_breaches", std::uint64_t{0});
    for (auto key :
         {"lost", "two_leaders_in_a_term", "owners_overlapping", "stale_effects_accepted", "rule_breaches"})
      violations += rows.back().value(key, std::uint64_t{0});
    violations += !rows.back().value("linearizable", true);
  }
  if (given.count("json")) write_file_atomically(given["json"].as<std::string>(), rows.dump(1) + "\n");
  if (given.count("folder")) write_folder(name, rows, given["folder"].as<std::string>(), command);
  for (auto& row : rows) row.erase("series");
  std::cout << rows.dump(1) << "\n";
  return violations == 0 ? 0 : 2;
}

}  // namespace database_proxy::testbench::faults
