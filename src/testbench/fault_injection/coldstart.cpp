// The experiment `coldstart`: the whole installation was switched off and starts at once.
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

#include "testbench/fault_injection/experiments.h"
#include "testbench/fault_injection/rig.h"
#include "testbench/load.h"

namespace database_proxy::testbench::faults {
namespace {

using namespace std::chrono_literals;

constexpr int kProcesses = 300;
constexpr Micros kLoadDuration = 30s, kSampleInterval = 100ms;
constexpr double kRateEach = 1;  // requests a second at each proxy
constexpr Micros kWarmUp = 10s;

// A discovery service: `strong` without a limit, or `weak` with 50 ms per call and a queue of 20 calls,
// beyond which it answers 503.
struct DiscoveryService {
  const char* name;
  Micros cost;
  int cap;
};
constexpr DiscoveryService kServices[] = {{"strong", Micros(0), 0}, {"weak", Micros(50'000), 20}};

json run_one(const ExperimentOptions& options, const std::string& mode, const DiscoveryService& service) {
  FaultHarnessOptions o;
  o.program = mode == "before" ? options.before : options.program;
  o.folder = fmt::format("{}/{}-{}", options.folder, mode, service.name);
  o.voters = 3;
  o.followers = std::max(1, (options.processes > 0 ? options.processes : kProcesses) - o.voters);
  o.grouped = mode == "group";
  o.seed = options.seed;
  o.fake_servers.shard_groups = 4;
  o.fake_servers.replicas = 2;
  o.fake_servers.threads = 2;
  o.fake_servers.seed = options.seed;
  o.fake_servers.list_call_cost = service.cost;
  o.fake_servers.max_waiting_list_calls = service.cap;
  o.fake_servers.model.cores = 2;
  o.fake_servers.model.service_us = 1000;
  o.fake_servers.model.warm_up = kWarmUp;
  o.fake_servers.model.overload_in_flight = 100;
  o.settings = {{"Guarantees", {{"WarmUpMs", static_cast<double>(kWarmUp.count()) / 1000}}}};
  o.start = false;
  FaultHarness harness(o);
  // A group is bootstrapped once in an installation's lifetime; then all its processes are killed.
  if (o.grouped) {
    for (auto& name : harness.voters()) harness.start(name);
    json ids = json::array();
    for (auto& name : harness.voters())
      ids.push_back(harness.send_command(name, {{"do", "identify"}}, 5000).at("id"));
    for (auto& name : harness.voters())
      harness.send_command(name, {{"do", "bootstrap"}, {"voters", ids}}, 5000);
    if (!harness.wait_until([&] { return !harness.leader().empty(); }))
      throw std::runtime_error("no leader was elected");
    for (auto& name : harness.voters()) harness.kill(name);
  }
  for (auto& id : harness.fake_servers().servers()) {  // warming up, and the endpoint list shows it
    harness.fake_servers().control({{"do", "kill"}, {"server", id}});
    harness.fake_servers().control({{"do", "start"}, {"server", id}});
  }
  auto before = harness.fake_servers().report();
  auto began = net::monotonic_now();
  const auto names = harness.all();
  std::atomic<bool> stop{false};
  double handshakes = 0, probes = 0;
  std::thread sampler([&] {
    std::map<std::string, std::uint64_t> opened, probed;
    for (auto& [id, f] : harness.fake_servers().counters()) opened[id] = f.opened, probed[id] = f.probes;
    auto first = probed;
    while (!stop) {
      std::this_thread::sleep_for(kSampleInterval);
      auto figures = harness.fake_servers().counters();
      for (auto& [id, f] : figures) {
        handshakes = std::max(handshakes, static_cast<double>(f.opened - opened[id]));
        opened[id] = f.opened;
      }
      if (net::monotonic_now() - began <= 5s) {
        double all = 0;
        for (auto& [id, f] : figures) all += static_cast<double>(f.probes - first[id]);
        probes = all / static_cast<double>(figures.size());
      }
    }
  });
  harness.launch(names, {{"generation", 0}, {"reset", true}, {"instances", json::array()}});
  std::mutex mutex;
  LoadFigures sum;
  std::vector<double> first_served;
  std::vector<std::thread> loads;
  for (std::size_t i = 0; i < names.size(); ++i)
    loads.emplace_back([&, i] {
      LoadOptions l;
      l.target = *net::parse_address(fmt::format("127.0.0.1:{}", harness.port(names[i])));
      l.connections = 2;
      l.rate = kRateEach;
      l.duration = kLoadDuration;
      l.warm_up = Micros(0);
      l.shard_groups = {1, 2, 3, 4};
      l.seed = options.seed * 1000 + i;
      l.id_prefix = fmt::format("c{}-", i);
      l.invariants = &harness.fake_servers().invariants();
      auto f = run_load(l);
      std::lock_guard lock(mutex);
      sum.add(f);
      for (auto& [at, n] : f.series)
        if (n.second > 0) {
          first_served.push_back(static_cast<double>((Micros(500'000) * at - began).count()) / 1000 + 250);
          break;
        }
    });
  for (auto& t : loads) t.join();
  stop = true;
  sampler.join();
  std::sort(first_served.begin(), first_served.end());
  auto first_served_percentile = [&](double share) {
    if (first_served.empty()) return -1.0;
    return std::max(
        0.0, first_served[static_cast<std::size_t>(share * static_cast<double>(first_served.size() - 1))]);
  };
  std::uint64_t peak = 0, calls = 0;
  for (auto& [second, n] : harness.fake_servers().list_calls_by_second()) {
    if (second < began / Micros(1'000'000)) continue;
    peak = std::max(peak, n);
    calls += n;
  }
  double asked = 0, served = 0, service_s = -1;
  for (auto& [at, n] : sum.series)
    asked += static_cast<double>(n.first), served += static_cast<double>(n.second);
  // service_s: the start of the period in which at least 99 % of requests are served in time until the end.
  double later_asked = 0, later_served = 0;
  for (auto it = sum.series.rbegin(); it != sum.series.rend(); ++it) {
    later_asked += static_cast<double>(it->second.first);
    later_served += static_cast<double>(it->second.second);
    if (later_asked > 0 && later_served / later_asked < 0.99) break;
    service_s = static_cast<double>((Micros(500'000) * it->first - began).count()) / 1e6;
  }
  auto report = harness.fake_servers().report();
  int falls = 0;
  std::uint64_t wrong = 0;
  for (auto& [id, f] : harness.fake_servers().counters())
    falls += f.overloads, wrong += f.not_primary + f.too_old;
  double drain = -1;
  for (auto& [name, ms] : harness.fake_servers().invariants().drain_last_send_ms())
    drain = std::max(drain, ms);
  if (!options.history.empty()) harness.history().write(options.history);
  auto increase_of = [&](const char* key) {
    return report.at(key).get<std::uint64_t>() - before.at(key).get<std::uint64_t>();
  };
  return {{"mode", mode},
          {"list", service.name},
          {"seed", options.seed},
          {"processes", names.size()},
          {"whole_list_calls", increase_of("whole_list_calls")},
          {"list_calls", calls},
          {"list_calls_peak_per_s", peak},
          {"list_refused", increase_of("list_refused")},
          {"handshakes_peak_per_server_per_100ms", handshakes},
          {"probes_per_server_first_5s", probes},
          {"cold_falls", falls},
          {"proxies_that_served", first_served.size()},
          {"time_to_first_served_ms_p50", first_served_percentile(0.5)},
          {"time_to_first_served_ms_p99", first_served_percentile(0.99)},
          {"time_to_99_percent_service_s", service_s},
          {"served_share_first_30s", asked > 0 ? served / asked : 0},
          {"wrong_routes", wrong},
          {"drain_last_send_ms", drain},
          {"rule_breaches", harness.fake_servers().invariants().total()},
          {"breaches", report.at("breaches")}};
}

}  // namespace

json run_coldstart(const ExperimentOptions& options) {
  json rows = json::array();
  for (auto& service : kServices)
    for (std::string mode : {"before", "alone", "group"}) {
      if (mode == "before" && options.before.empty()) continue;
      rows.push_back(run_one(options, mode, service));
    }
  return rows;
}

}  // namespace database_proxy::testbench::faults
