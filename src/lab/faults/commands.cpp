#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/program_options.hpp>
#include <filesystem>
#include <iostream>
#include <mutex>
#include <stdexcept>
#include <thread>

#include "lab/faults/experiments.h"
#include "lab/report.h"
#include "lab/scratch.h"

namespace linenwinch::lab::faults {

namespace po = boost::program_options;
using nlohmann::json;

int run(const std::vector<std::string>& arguments) {
  po::options_description o;
  o.add_options()("name", po::value<std::string>()->default_value(""), "group, owner, savings or return")(
      "program", po::value<std::string>()->default_value(daemon_beside()), "the daemon")(
      "quick", "few faults of one seed")("seed", po::value<std::uint64_t>()->default_value(1), "the first")(
      "seeds", po::value<int>()->default_value(1), "how many, one after another")(
      "processes", po::value<int>()->default_value(0), "0: the experiment's own number")(
      "faults", po::value<int>()->default_value(50),
      "of one seed; savings: seconds of load; return: hundreds of entries")(
      "history", po::value<std::string>()->default_value(""),
      "write the events of the last seed to this file")(
      "rate", po::value<double>()->default_value(10),
      "savings: requests a second at each proxy; 0: closed loop")(
      "lag-ms", po::value<int>()->default_value(0),
      "savings: replicas so far behind that do not check the age themselves")(
      "json", po::value<std::string>(), "write the rows to this file")("help", "this text");
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
    std::cout << "linenwinch_lab faults group|owner|savings|return [options]: many processes, and faults "
                 "between them\n"
              << o;
    return 0;
  }
  if (name != "group" && name != "owner" && name != "savings" && name != "return")
    throw std::runtime_error(fmt::format("faults knows group, owner, savings and return, not '{}'", name));
  auto seeds = std::clamp(given["seeds"].as<int>(), 1, 1000);
  json rows = json::array();
  std::uint64_t bad = 0;
  for (int i = 0; i < seeds; ++i) {
    ScratchFolder scratch;
    ExperimentOptions options;
    options.program = given["program"].as<std::string>();
    options.folder = scratch.path();
    options.processes = std::clamp(given["processes"].as<int>(), 0, 300);
    options.seed = given["seed"].as<std::uint64_t>() + static_cast<std::uint64_t>(i);
    options.faults = std::clamp(given["faults"].as<int>(), 1, 10000);
    options.rate = std::clamp(given["rate"].as<double>(), 0.0, 1e5);
    options.lag_ms = std::clamp(given["lag-ms"].as<int>(), 0, 10000);
    options.history = given["history"].as<std::string>();
    if (given.count("quick") && given["faults"].defaulted()) options.faults = 5;
    if (name == "savings") {
      for (auto& row : run_savings(options)) rows.push_back(row);
    } else {
      rows.push_back(name == "group"   ? run_group(options)
                     : name == "owner" ? run_owner(options)
                                       : run_return(options));
    }
    std::cerr << rows.back().dump() << "\n";
    for (auto key :
         {"lost", "two_leaders_in_a_term", "owners_overlapping", "stale_effects_accepted", "rule_breaches"})
      bad += rows.back().value(key, std::uint64_t{0});
    bad += !rows.back().value("linearizable", true);
  }
  if (given.count("json")) write_whole(given["json"].as<std::string>(), rows.dump(1) + "\n");
  std::cout << rows.dump(1) << "\n";
  return bad == 0 ? 0 : 2;
}

}  // namespace linenwinch::lab::faults
