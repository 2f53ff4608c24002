#include "lab/commands.h"

#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <cmath>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>

#include "lab/daemon.h"
#include "lab/load.h"
#include "lab/stand_in.h"

namespace linenwinch::lab {
namespace {

namespace po = boost::program_options;
using nlohmann::json;
using Arguments = std::vector<std::string>;

json read_json(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error(path + " cannot be read");
  auto value = json::parse(file, nullptr, false, true);
  if (value.is_discarded()) throw std::runtime_error(path + " is no JSON");
  return value;
}

void write_text(const std::string& path, const std::string& text) {
  std::ofstream file(path, std::ios::trunc);
  file << text;
  if (!file.flush()) throw std::runtime_error("cannot write " + path);
}

// Parses, or prints the help of one sub-command and says so with nullopt.
std::optional<po::variables_map> parse(const Arguments& arguments, const po::options_description& options,
                                       const char* usage) {
  po::options_description all("Options");
  all.add(options).add_options()("help,h", "show this text");
  po::variables_map given;
  po::store(po::command_line_parser(arguments).options(all).run(), given);
  po::notify(given);
  if (!given.count("help")) return given;
  std::cout << "linenwinch_lab " << usage << "\n\n" << all;
  return std::nullopt;
}

int stand_in(const Arguments& arguments) {
  po::options_description o;
  o.add_options()("file,f", po::value<std::string>(), "JSON of the sets and their script (docs/lab.md)")(
      "write-config", po::value<std::string>(), "write a configuration for the daemon to this file")(
      "listen", po::value<std::string>()->default_value("127.0.0.1:6432"), "where that daemon listens")(
      "seconds", po::value<double>()->default_value(0),
      "end by itself after so long; 0: at SIGINT or SIGTERM");
  auto given = parse(arguments, o, "stand-in [options]: data servers and discovery on loopback");
  if (!given) return 0;
  sigset_t set;
  sigemptyset(&set);
  for (int number : {SIGINT, SIGTERM}) sigaddset(&set, number);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);  // before any thread: all inherit it
  auto file = given->count("file") ? read_json((*given)["file"].as<std::string>()) : json::object();
  StandIn lab(StandInOptions::parse(file));
  if (given->count("write-config"))
    write_text((*given)["write-config"].as<std::string>(),
               json({{"name", "lab"},
                     {"listen", (*given)["listen"].as<std::string>()},
                     {"discovery", lab.discovery()},
                     {"seed", "1"},
                     {"limits", {{"sockets", 1024}, {"memory_mb", 256}}},
                     {"known", lab.members()},
                     {"settings", lab_settings()}})
                       .dump(1) +
                   "\n");
  std::cout << fmt::format("discovery {}\nsteering {}\nservers {}\n", lab.discovery(), lab.steering(),
                           fmt::join(lab.servers(), " "))
            << std::flush;
  auto seconds = (*given)["seconds"].as<double>();
  if (seconds > 0) {
    timespec wait{static_cast<time_t>(seconds), static_cast<long>((seconds - std::floor(seconds)) * 1e9)};
    sigtimedwait(&set, nullptr, &wait);
  } else {
    int number = 0;
    sigwait(&set, &number);
  }
  std::cout << lab.report().dump(1) << "\n";
  return lab.rules().total() == 0 ? 0 : 2;
}

int load(const Arguments& arguments) {
  po::options_description o;
  o.add_options()("target", po::value<std::string>()->default_value("127.0.0.1:6432"),
                  "the daemon's address")("connections,c", po::value<int>()->default_value(32),
                                          "clients in all")("depth", po::value<int>()->default_value(1),
                                                            "requests that a client has out at once")(
      "threads", po::value<int>()->default_value(1), "threads they are dealt over")(
      "rate", po::value<double>()->default_value(0), "open loop: requests a second; 0: closed loop")(
      "seconds", po::value<double>()->default_value(5), "how long it is measured")(
      "warm-up", po::value<double>()->default_value(0.5), "seconds before that")(
      "sets", po::value<int>()->default_value(1), "sets 1 to N are asked")(
      "own-view", po::value<double>()->default_value(0.2), "share of reads of a session's own writes")(
      "book", po::value<double>()->default_value(0.1), "share of writes")(
      "wait-ms", po::value<int>()->default_value(2000), "how long a client says it waits")(
      "requests", po::value<int>()->default_value(0), "1: ask a single time, print the answer, and leave")(
      "seed", po::value<std::uint64_t>()->default_value(1), "of all random numbers")(
      "json", po::value<std::string>(), "write the figures to this file");
  auto given = parse(arguments, o, "load [options]: clients of a daemon");
  if (!given) return 0;
  auto& g = *given;
  LoadOptions options;
  auto address = net::parse_address(g["target"].as<std::string>());
  if (!address) throw std::runtime_error("target is no address: '" + g["target"].as<std::string>() + "'");
  options.target = *address;
  options.connections = std::clamp(g["connections"].as<int>(), 1, 20000);
  options.depth = std::clamp(g["depth"].as<int>(), 1, 32);
  options.threads = std::clamp(g["threads"].as<int>(), 1, 64);
  options.rate = std::clamp(g["rate"].as<double>(), 0.0, 1e6);
  options.length =
      Micros(static_cast<std::int64_t>(std::clamp(g["seconds"].as<double>(), 0.01, 3600.0) * 1e6));
  options.warm_up = Micros(static_cast<std::int64_t>(std::clamp(g["warm-up"].as<double>(), 0.0, 60.0) * 1e6));
  options.own_view = g["own-view"].as<double>();
  options.book = g["book"].as<double>();
  options.wait_ms = std::clamp(g["wait-ms"].as<int>(), 1, 60000);
  options.seed = g["seed"].as<std::uint64_t>();
  options.sets.clear();
  for (int i = 1; i <= std::clamp(g["sets"].as<int>(), 1, 1000); ++i) options.sets.push_back(i);
  RuleChecker rules;
  options.rules = &rules;
  if (g["requests"].as<int>() == 1) {
    options.connections = 1;
    options.rate = 20;
    options.warm_up = Micros(0);
    options.length = Micros(200'000);
  }
  auto f = run_load(options);
  json result = {{"asked", f.asked},
                 {"served", f.served},
                 {"refused", f.refused},
                 {"failed", f.failed},
                 {"retries", f.retries},
                 {"unanswered", f.unanswered},
                 {"broken_connections", f.broken},
                 {"rps", f.seconds > 0 ? static_cast<double>(f.served) / f.seconds : 0},
                 {"p50_ms", percentile(f.all, 0.5) / 1000},
                 {"p99_ms", percentile(f.all, 0.99) / 1000},
                 {"p999_ms", percentile(f.all, 0.999) / 1000},
                 {"rule_breaches", rules.total()}};
  for (auto& [name, h] : f.latency)
    result["by_class"][name] = {{"p50_ms", percentile(h, 0.5) / 1000},
                                {"p99_ms", percentile(h, 0.99) / 1000}};
  std::cout << result.dump(1) << "\n";
  if (g.count("json")) write_text(g["json"].as<std::string>(), result.dump(1) + "\n");
  return rules.total() == 0 && f.served > 0 ? 0 : 2;
}

}  // namespace

int run_command_line(int argc, char** argv) try {
  signal(SIGPIPE, SIG_IGN);
  struct Command {
    std::function<int(const Arguments&)> run;
    const char* what;
  };
  const std::map<std::string, Command> commands{
      {"stand-in", {stand_in, "data servers and discovery on loopback, steered by a script or at run time"}},
      {"load", {load, "clients that ask a daemon, open or closed loop"}}};
  std::string name = argc > 1 ? argv[1] : "help";
  if (name == "help" || name == "--help" || name == "-h") {
    std::cout << "linenwinch_lab COMMAND [options]; each takes --help\n\n";
    for (auto& [command, c] : commands) std::cout << fmt::format("  {:10} {}\n", command, c.what);
    return 0;
  }
  auto command = commands.find(name);
  if (command == commands.end())
    throw std::runtime_error("unknown command '" + name + "'; see linenwinch_lab help");
  return command->second.run(Arguments(argv + 2, argv + argc));
} catch (const std::exception& e) {
  std::string line = e.what();
  std::replace(line.begin(), line.end(), '\n', ' ');
  std::cerr << "linenwinch_lab: " << line << "\n";
  return 1;
}

}  // namespace linenwinch::lab
