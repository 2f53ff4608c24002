// The experiment `coldstart`: everything was off and starts at once.
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
constexpr Micros kWatched = 30s, kSample = 100ms;
constexpr double kRateEach = 1;  // requests a second at each proxy
constexpr Micros kWarmUp = 10s;

// A list service that is strong, or that takes 50 ms a call with 20 in line and says 503 beyond.
struct ListService {
  const char* name;
  Micros cost;
  int cap;
};
constexpr ListService kServices[] = {{"strong", Micros(0), 0}, {"weak", Micros(50'000), 20}};

json run_one(const ExperimentOptions& options, const std::string& mode, const ListService& service) {
  RigOptions o;
  o.program = mode == "before" ? options.before : options.program;
  o.folder = fmt::format("{}/{}-{}", options.folder, mode, service.name);
  o.voters = 3;
  o.followers = std::max(1, (options.processes > 0 ? options.processes : kProcesses) - o.voters);
  o.grouped = mode == "group";
  o.seed = options.seed;
  o.stand_in.sets = 4;
  o.stand_in.replicas = 2;
  o.stand_in.threads = 2;
  o.stand_in.seed = options.seed;
  o.stand_in.list_cost = service.cost;
  o.stand_in.list_cap = service.cap;
  o.stand_in.model.cores = 2;
  o.stand_in.model.service_us = 1000;
  o.stand_in.model.warm_up = kWarmUp;
  o.stand_in.model.fall_inside = 100;
  o.settings = {{"Guarantees", {{"WarmUpMs", static_cast<double>(kWarmUp.count()) / 1000}}}};
  o.start = false;
  Rig rig(o);
  // A group is made once in the life of an installation; then everything is switched off.
  if (o.grouped) {
    for (auto& name : rig.voters()) rig.start(name);
    json ids = json::array();
    for (auto& name : rig.voters()) ids.push_back(rig.ask(name, {{"do", "identify"}}, 5000).at("id"));
    for (auto& name : rig.voters()) rig.ask(name, {{"do", "bootstrap"}, {"voters", ids}}, 5000);
    if (!rig.soon([&] { return !rig.leader().empty(); })) throw std::runtime_error("no leader was elected");
    for (auto& name : rig.voters()) rig.kill(name);
  }
  for (auto& id : rig.stand_in().servers()) {  // cold, and the list says so
    rig.stand_in().steer({{"do", "kill"}, {"server", id}});
    rig.stand_in().steer({{"do", "start"}, {"server", id}});
  }
  auto before = rig.stand_in().report();
  auto began = net::monotonic_now();
  const auto names = rig.all();
  std::atomic<bool> stop{false};
  double handshakes = 0, probes = 0;
  std::thread sampler([&] {
    std::map<std::string, std::uint64_t> opened, probed;
    for (auto& [id, f] : rig.stand_in().figures()) opened[id] = f.opened, probed[id] = f.probes;
    auto first = probed;
    while (!stop) {
      std::this_thread::sleep_for(kSample);
      auto figures = rig.stand_in().figures();
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
  rig.launch(names, {{"generation", 0}, {"reset", true}, {"instances", json::array()}});
  std::mutex mutex;
  LoadFigures sum;
  std::vector<double> first_served;
  std::vector<std::thread> loads;
  for (std::size_t i = 0; i < names.size(); ++i)
    loads.emplace_back([&, i] {
      LoadOptions l;
      l.target = *net::parse_address(fmt::format("127.0.0.1:{}", rig.port(names[i])));
      l.connections = 2;
      l.rate = kRateEach;
      l.duration = kWatched;
      l.warm_up = Micros(0);
      l.shard_groups = {1, 2, 3, 4};
      l.seed = options.seed * 1000 + i;
      l.id_prefix = fmt::format("c{}-", i);
      l.rules = &rig.stand_in().rules();
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
  auto of = [&](double share) {
    if (first_served.empty()) return -1.0;
    return std::max(
        0.0, first_served[static_cast<std::size_t>(share * static_cast<double>(first_served.size() - 1))]);
  };
  std::uint64_t peak = 0, calls = 0;
  for (auto& [second, n] : rig.stand_in().list_calls_by_second()) {
    if (second < began / Micros(1'000'000)) continue;
    peak = std::max(peak, n);
    calls += n;
  }
  double asked = 0, served = 0, service_s = -1;
  for (auto& [at, n] : sum.series)
    asked += static_cast<double>(n.first), served += static_cast<double>(n.second);
  // From then on at least 99 of 100 are served in time.
  double later_asked = 0, later_served = 0;
  for (auto it = sum.series.rbegin(); it != sum.series.rend(); ++it) {
    later_asked += static_cast<double>(it->second.first);
    later_served += static_cast<double>(it->second.second);
    if (later_asked > 0 && later_served / later_asked < 0.99) break;
    service_s = static_cast<double>((Micros(500'000) * it->first - began).count()) / 1e6;
  }
  auto report = rig.stand_in().report();
  int falls = 0;
  std::uint64_t wrong = 0;
  for (auto& [id, f] : rig.stand_in().figures()) falls += f.falls, wrong += f.not_primary + f.too_old;
  double drain = -1;
  for (auto& [name, ms] : rig.stand_in().rules().drain_last_send_ms()) drain = std::max(drain, ms);
  if (!options.history.empty()) rig.history().write(options.history);
  auto grown = [&](const char* key) {
    return report.at(key).get<std::uint64_t>() - before.at(key).get<std::uint64_t>();
  };
  return {{"mode", mode},
          {"list", service.name},
          {"seed", options.seed},
          {"processes", names.size()},
          {"whole_list_calls", grown("whole_list_calls")},
          {"list_calls", calls},
          {"list_calls_peak_per_s", peak},
          {"list_refused", grown("list_refused")},
          {"handshakes_peak_per_server_per_100ms", handshakes},
          {"probes_per_server_first_5s", probes},
          {"cold_falls", falls},
          {"proxies_that_served", first_served.size()},
          {"time_to_first_served_ms_p50", of(0.5)},
          {"time_to_first_served_ms_p99", of(0.99)},
          {"time_to_99_percent_service_s", service_s},
          {"served_share_first_30s", asked > 0 ? served / asked : 0},
          {"wrong_routes", wrong},
          {"drain_last_send_ms", drain},
          {"rule_breaches", rig.stand_in().rules().total()},
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
