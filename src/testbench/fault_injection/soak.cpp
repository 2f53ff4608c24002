#include "testbench/fault_injection/soak.h"

#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <thread>

#include "net/socket.h"
#include "pg/message.h"
#include "testbench/fake_servers.h"
#include "testbench/fault_injection/soak_node.h"
#include "testbench/fault_injection/soak_script.h"
#include "testbench/load.h"
#include "testbench/temporary_directory.h"

namespace database_proxy::testbench {
namespace {

namespace po = boost::program_options;
using nlohmann::json;
using std::chrono::milliseconds, std::chrono::seconds, std::chrono::steady_clock;

constexpr int kConnections = 24;                         // of each node's clients
constexpr int kRatePerNode = 150;                        // requests a second
constexpr int kIdleConnections = 120;                    // of each node, in scripts with idle clients
constexpr int kDroppedBeforeAttemptPerUpgrade = 1;       // allowed without idle clients
constexpr auto kMaxTimeToUseAfterUncordon = seconds(5);  // after an uncordon, as the operators' page states

struct SoakOptions {
  std::string program;
  int nodes = 5, seconds = 8;
  bool prints_script = false;
  bool checks_memory = true;
  std::vector<std::string> known_red;  // violations that contain one of these texts are printed, not counted
};

// The result of one seed.
struct SoakResult {
  LoadFigures load;
  std::uint64_t dropped_before_attempt = 0;
  SoakNodeFigures nodes;
  std::vector<std::string> violations;
};

// Idle clients that reconnect whenever the proxy closes their connection, until destruction.
class IdleClients {
 public:
  IdleClients(int port, int size) : thread_([this, port, size] { run(port, size); }) {}
  ~IdleClients() {
    ends_ = true;
    thread_.join();
  }

 private:
  void run(int port, int size) {
    std::vector<net::Fd> clients(static_cast<std::size_t>(size));
    auto address = *net::parse_address(fmt::format("127.0.0.1:{}", port));
    auto greeting = pg::startup_message("backend", "store");
    constexpr auto kPause = milliseconds(2);
    while (!ends_) {
      for (auto& client : clients) {
        if (ends_) return;
        if (client && !net::peer_has_closed(client.get())) continue;
        int error = 0;
        client = net::start_connect(address, &error);
        std::this_thread::sleep_for(kPause);
        if (client) send(client.get(), greeting.data(), greeting.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      }
      std::this_thread::sleep_for(kPause);
    }
  }

  std::atomic<bool> ends_{false};
  std::thread thread_;
};

void play_actions(FakeServers& servers, const SoakScript& script, steady_clock::time_point began) {
  for (auto& action : script.actions) {
    std::this_thread::sleep_until(began + milliseconds(action.at_ms));
    servers.control(action.action);
  }
}

void add_figures(const SoakNodeFigures& node, SoakNodeFigures* sum) {
  sum->upgrades += node.upgrades;
  sum->processes += node.processes;
  sum->crashes += node.crashes;
  sum->longest_start_s = std::max(sum->longest_start_s, node.longest_start_s);
  sum->longest_exit_s = std::max(sum->longest_exit_s, node.longest_exit_s);
  sum->longest_call_s = std::max(sum->longest_call_s, node.longest_call_s);
  sum->max_descriptors = std::max(sum->max_descriptors, node.max_descriptors);
  sum->max_memory_mb = std::max(sum->max_memory_mb, node.max_memory_mb);
  sum->violations.insert(sum->violations.end(), node.violations.begin(), node.violations.end());
}

// Checks the limits of one node. Each kill of a serving process excuses as many requests as the node's
// clients have connections.
void check_node(const SoakScript& script, const SoakOptions& options, const SoakNodeOptions& limits,
                const SoakNodeFigures& node, const LoadFigures& load, SoakResult* result) {
  auto violation = [&](const std::string& what) {
    result->violations.push_back(fmt::format("{}: {}", limits.folder, what));
  };
  auto excused = static_cast<std::uint64_t>(node.crashes * kConnections);
  if (load.lost > excused)
    violation(fmt::format("{} requests lost, {} excused: {}", load.lost, excused,
                          fmt::join(load.unanswered_requests, "; ")));
  auto dropped_before_attempt = load.unanswered - load.lost - load.unsent;
  auto allowed = excused + static_cast<std::uint64_t>(node.upgrades * kDroppedBeforeAttemptPerUpgrade);
  if (!script.has_idle_clients && dropped_before_attempt > allowed)
    violation(fmt::format("{} requests dropped before an attempt, {} allowed: {}", dropped_before_attempt,
                          allowed, fmt::join(load.unanswered_requests, "; ")));
  result->dropped_before_attempt += dropped_before_attempt;
  if (node.max_descriptors > static_cast<int>(limits.sockets))
    violation(fmt::format("{} file descriptors used, {} allowed", node.max_descriptors, limits.sockets));
  if (options.checks_memory && node.max_memory_mb > static_cast<double>(limits.memory_mb))
    violation(fmt::format("{:.1f} MB of memory used, {} allowed", node.max_memory_mb, limits.memory_mb));
  if (load.served == 0) violation("no request was served");
}

SoakResult play(const SoakScript& script, const SoakOptions& options, FakeServers& servers,
                const std::string& folder) {
  auto began = steady_clock::now();
  std::vector<std::unique_ptr<SoakNode>> nodes;
  std::vector<SoakNodeOptions> node_options;
  for (std::size_t i = 0; i < script.nodes.size(); ++i) {
    SoakNodeOptions node;
    node.program = options.program;
    node.folder = fmt::format("{}/n{}", folder, i);
    node.name = fmt::format("n{}", i);
    node.discovery = servers.discovery_address_of(static_cast<int>(i));
    node.calls = i < script.calls.size() ? script.calls[i] : std::vector<PlannedCall>{};
    node.out_of_service_checker = &servers.invariants().out_of_service_checker();
    node.began = began;
    node.known = servers.members();
    node.seed = script.seed;
    node.connections = kConnections;
    node.upgrades = script.nodes[i];
    node.until = began + seconds(script.seconds);
    node_options.push_back(node);
    nodes.push_back(std::make_unique<SoakNode>(node));
  }
  std::vector<LoadFigures> loads(nodes.size());
  std::vector<std::thread> threads;
  std::vector<std::unique_ptr<IdleClients>> crowds;
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    threads.emplace_back([&nodes, i] { nodes[i]->run(); });
    threads.emplace_back([&, i] {
      LoadOptions load;
      load.target = *net::parse_address(fmt::format("127.0.0.1:{}", nodes[i]->port()));
      load.connections = kConnections;
      load.rate = kRatePerNode;
      load.duration = seconds(script.seconds);
      load.invariants = &servers.invariants();
      load.seed = script.seed * script.nodes.size() + i;  // distinct keys for each node
      load.id_prefix = fmt::format("n{}c", i);
      loads[i] = run_load(load);
    });
    if (script.has_idle_clients)
      crowds.push_back(std::make_unique<IdleClients>(nodes[i]->port(), kIdleConnections));
  }
  play_actions(servers, script, began);
  std::this_thread::sleep_until(began + seconds(script.seconds));
  auto unused = servers.invariants().out_of_service_checker().unused_since_return(
      net::monotonic_now(), servers.servers().front(), kMaxTimeToUseAfterUncordon);
  crowds.clear();
  for (auto& thread : threads) thread.join();
  SoakResult result;
  result.violations = unused;
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    result.load.add(loads[i]);
    add_figures(nodes[i]->figures(), &result.nodes);
    check_node(script, options, node_options[i], nodes[i]->figures(), loads[i], &result);
  }
  for (auto& breach : servers.invariants().violations())
    result.violations.push_back(
        fmt::format("{} times {}, first: {}", breach.count, name_of(breach.invariant), breach.first));
  result.violations.insert(result.violations.end(), result.nodes.violations.begin(),
                           result.nodes.violations.end());
  return result;
}

void print(const SoakScript& script, const SoakResult& result) {
  auto& nodes = result.nodes;
  std::cout << fmt::format(
      "seed {}{}: {} processes, {} upgrades, {} crashes; asked {}, served {}, refused {}, failed {}, lost "
      "{}, "
      "dropped before an attempt {}; longest start {:.2f} s, exit {:.2f} s, call {:.2f} s; {} descriptors, "
      "{:.0f} MB; {} violations\n",
      script.seed, script.has_idle_clients ? " (crowd)" : "", nodes.processes, nodes.upgrades, nodes.crashes,
      result.load.attempts, result.load.served, result.load.rejected, result.load.failed, result.load.lost,
      result.dropped_before_attempt, nodes.longest_start_s, nodes.longest_exit_s, nodes.longest_call_s,
      nodes.max_descriptors, nodes.max_memory_mb, result.violations.size());
  for (auto& violation : result.violations) std::cout << "  VIOLATION " << violation << "\n";
  std::cout.flush();
}

// Parses "3" or "1..50" to the first and last seed.
std::pair<std::uint64_t, std::uint64_t> parse_seeds(const std::string& text) {
  auto dots = text.find("..");
  auto number = [&](std::string_view part) {
    std::uint64_t value = 0;
    auto [end, error] = std::from_chars(part.data(), part.data() + part.size(), value);
    if (error != std::errc() || end != part.data() + part.size())
      throw std::runtime_error("invalid --seeds, expected a number or A..B: " + text);
    return value;
  };
  std::string_view view = text;
  if (dots == std::string::npos) return {number(view), number(view)};
  return {number(view.substr(0, dots)), number(view.substr(dots + 2))};
}

// Runs one seed. Returns true if no invariant was violated.
bool play_seed(std::optional<SoakScript> script, std::uint64_t seed, const SoakOptions& options,
               const std::string& keep) {
  FakeServersOptions server_options;
  server_options.replicas = 3;
  server_options.nodes = script ? static_cast<int>(script->nodes.size()) : options.nodes;
  server_options.seed = seed;
  constexpr double kServiceUs = 2000;
  server_options.model.service_us = kServiceUs;
  server_options.limits.slow_start.nominal_rate =
      static_cast<double>(kRatePerNode * server_options.nodes) / (server_options.replicas + 1);
  FakeServers servers(server_options);
  auto replicas = servers.servers();
  auto primary = replicas.front();
  replicas.erase(replicas.begin());
  if (!script) script = generate_script(seed, options.nodes, options.seconds, primary, replicas);
  if (options.prints_script) std::cout << script_to_json(*script).dump() << "\n";
  std::optional<TemporaryDirectory> temporary;
  if (keep.empty()) temporary.emplace();
  auto folder = keep.empty() ? temporary->path() : fmt::format("{}/seed-{}", keep, seed);
  auto result = play(*script, options, servers, folder);
  std::erase_if(result.violations, [&](auto& violation) {
    bool is_known = std::any_of(options.known_red.begin(), options.known_red.end(),
                                [&](auto& text) { return violation.find(text) != std::string::npos; });
    if (is_known) std::cout << "KNOWN-RED seed " << script->seed << ": " << violation << "\n";
    return is_known;
  });
  print(*script, result);
  return result.violations.empty();
}

}  // namespace

int run_soak(const std::vector<std::string>& arguments) {
  SoakOptions options;
  po::options_description described("Options");
  described.add_options()("help,h", "show this text")("seeds", po::value<std::string>()->default_value("1"),
                                                      "a number, or A..B")(
      "nodes", po::value<int>(&options.nodes)->default_value(5), "nodes, each with two to four processes")(
      "seconds", po::value<int>(&options.seconds)->default_value(8), "duration of each seed in seconds")(
      "print-script", "print the script of each seed as JSON")("script", po::value<std::string>(),
                                                               "play the script in this file instead")(
      "keep", po::value<std::string>()->default_value(""), "keep files and logs in this folder")(
      "known-red", po::value<std::vector<std::string>>(&options.known_red),
      "do not count violations that contain this text, but print them (KNOWN-RED.txt)")(
      "no-memory-limit", "do not check memory, for a program with sanitizers, which uses more")(
      "program", po::value<std::string>()->default_value(daemon_path()), "the database-proxy to run");
  po::variables_map given;
  po::store(po::command_line_parser(arguments).options(described).run(), given);
  po::notify(given);
  if (given.count("help")) {
    std::cout << "proxy-testbench soak [options]: upgrades in place under overlapping faults\n\n"
              << described;
    return 0;
  }
  options.program = given["program"].as<std::string>();
  options.prints_script = given.count("print-script") > 0;
  options.checks_memory = given.count("no-memory-limit") == 0;
  std::optional<SoakScript> script;
  if (given.count("script")) {
    std::ifstream file(given["script"].as<std::string>());
    script = script_from_json(json::parse(file));
  }
  auto [first, last] = parse_seeds(given["seeds"].as<std::string>());
  if (script) first = last = script->seed;
  int failed = 0;
  for (auto seed = first; seed <= last; ++seed)
    failed += !play_seed(script, seed, options, given["keep"].as<std::string>());
  std::cout << fmt::format("soak: {} passed, {} failed\n", last - first + 1 - static_cast<unsigned>(failed),
                           failed);
  return failed == 0 ? 0 : 2;
}

}  // namespace database_proxy::testbench
