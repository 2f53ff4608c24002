#include "testbench/cores.h"

#include <fmt/format.h>
#include <sched.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <map>
#include <random>
#include <set>
#include <sstream>
#include <thread>

#include "testbench/fake_servers.h"
#include "testbench/load.h"
#include "testbench/process_under_test.h"
#include "testbench/report.h"

namespace database_proxy::testbench {
namespace {

using nlohmann::json;

struct Variant {
  std::string name, decisions;  // decisions: "one", "shared", "split"
  int workers = 1;
  bool baseline = false, accept_by_kernel = false;
};

std::vector<int> available_cpus() {
  cpu_set_t set;
  CPU_ZERO(&set);
  std::vector<int> all;
  if (sched_getaffinity(0, sizeof set, &set) != 0) return {0};
  for (int i = 0; i < CPU_SETSIZE; ++i)
    if (CPU_ISSET(static_cast<std::size_t>(i), &set)) all.push_back(i);
  return all;
}

// Measures the share of CPU time, in percent, that the host gave to other guests since the last call.
class StolenTimeMeter {
 public:
  double since_last() {
    std::ifstream stat("/proc/stat");
    std::string label;
    stat >> label;
    double all = 0, stolen_time = 0, value = 0;
    for (int i = 0; i < 8 && stat >> value; ++i) {
      all += value;
      if (i == 7) stolen_time = value;
    }
    double share = all > all_ ? (stolen_time - stolen_) / (all - all_) * 100 : 0;
    all_ = all;
    stolen_ = stolen_time;
    return share;
  }

 private:
  double all_ = 0, stolen_ = 0;
};

json measure(const CoresOptions& o, const Variant& variant, double rate, std::uint64_t seed) {
  auto max_workers = *std::max_element(o.workers.begin(), o.workers.end());
  auto assignment = assign_cpus(o.cpus, variant.workers, variant.decisions == "shared", max_workers);
  FakeServersOptions servers;
  servers.shard_groups = o.shard_groups;
  servers.replicas = o.replicas;
  servers.threads = static_cast<int>(assignment.fake_servers.size());
  servers.cpus = assignment.fake_servers;
  servers.seed = seed;
  FakeServers fake_servers(servers);
  ProcessUnderTestOptions proxy_options;
  proxy_options.program = variant.baseline ? o.baseline : o.program;
  proxy_options.folder = o.folder;
  proxy_options.discovery = fake_servers.discovery_address();
  proxy_options.known_members = fake_servers.members();
  proxy_options.cpus = variant.workers == 1 ? std::vector<int>{assignment.proxy.front()} : assignment.proxy;
  proxy_options.seed = seed;
  if (variant.workers > 1)
    proxy_options.operator_file = {{"workers",
                                    {{"count", variant.workers},
                                     {"decisions", variant.decisions},
                                     {"accept", variant.accept_by_kernel ? "reuseport" : "deal"},
                                     {"cpus", assignment.proxy}}}};
  ProcessUnderTest proxy(proxy_options);
  LoadOptions load;
  load.target = *net::parse_address(fmt::format("127.0.0.1:{}", proxy.port()));
  load.threads = static_cast<int>(assignment.load.size());
  load.cpus = assignment.load;
  load.connections = o.connections;
  load.depth = o.depth;
  load.rate = rate;
  load.warm_up = Micros(static_cast<std::int64_t>(o.warm_up * 1e6));
  load.duration = Micros(static_cast<std::int64_t>(o.seconds * 1e6));
  load.seed = seed;
  load.invariants = &fake_servers.invariants();
  load.shard_groups.clear();
  for (int i = 1; i <= o.shard_groups; ++i) load.shard_groups.push_back(i);

  // While the load runs, one thread measures the CPU time of the proxy and the fake servers from the warm-up
  // to the end, and another drains a server in the middle.
  ProcessUnderTest::Usage before, after;
  std::map<std::string, ServerCounters> servers_before, servers_after;
  std::vector<double> fake_servers_cpu_before, fake_servers_cpu_after;
  StolenTimeMeter stolen_time;
  double stolen_share = 0;
  std::chrono::steady_clock::time_point began, ended;
  std::thread observer([&] {
    auto seconds = [](double s) { return std::chrono::duration<double>(s); };
    std::this_thread::sleep_for(seconds(o.warm_up));
    began = std::chrono::steady_clock::now();
    stolen_time.since_last();
    before = proxy.usage();
    fake_servers_cpu_before = fake_servers.thread_cpu_seconds();
    servers_before = fake_servers.counters();
    std::this_thread::sleep_for(seconds(o.seconds * 0.95));
    after = proxy.usage();
    fake_servers_cpu_after = fake_servers.thread_cpu_seconds();
    servers_after = fake_servers.counters();
    stolen_share = stolen_time.since_last();
    ended = std::chrono::steady_clock::now();
  });
  std::thread drainer([&] {
    std::this_thread::sleep_for(std::chrono::duration<double>(o.warm_up + o.seconds * 0.5));
    fake_servers.control({{"do", "drain"}, {"server", "s1-2"}});
  });
  auto figures = run_load(load);
  observer.join();
  drainer.join();
  double seconds = std::chrono::duration<double>(ended - began).count();
  double requests = 0, probes = 0, connections = 0;
  for (auto& [id, f] : servers_after) {
    requests += static_cast<double>(f.requests - servers_before[id].requests);
    probes += static_cast<double>(f.probes - servers_before[id].probes);
    connections += f.max_connections;
  }
  auto count = static_cast<double>(servers_after.size());
  double cpu = after.cpu_seconds - before.cpu_seconds;
  json threads = json::object();
  double busiest_free = 1, idlest_free = 0;
  for (auto& [name, used] : after.threads) {
    double share = 1 - (used - before.threads[name]) / seconds;
    if (used - before.threads[name] > 0.01 * seconds) threads[name] = share;
    if (!name.starts_with("worker") && (variant.workers > 1 || name != "database-proxy")) continue;
    busiest_free = std::min(busiest_free, share);
    idlest_free = std::max(idlest_free, share);
  }
  double fake_servers_free = 1, load_free = 1;
  for (std::size_t i = 0; i < fake_servers_cpu_after.size(); ++i)
    fake_servers_free =
        std::min(fake_servers_free, 1 - (fake_servers_cpu_after[i] - fake_servers_cpu_before[i]) / seconds);
  for (double used : figures.cpu_seconds) load_free = std::min(load_free, 1 - used / figures.seconds);
  auto drains = fake_servers.invariants().drain_last_send_ms();
  json violations = json::array();
  for (auto& b : fake_servers.invariants().violations())
    violations.push_back({{"rule", name_of(b.invariant)}, {"count", b.count}, {"first", b.first}});
  return {{"way", variant.name},
          {"workers", variant.workers},
          {"decisions", variant.decisions},
          {"offered", rate},
          {"rps", static_cast<double>(figures.served) / figures.seconds},
          {"p50_ms", percentile(figures.overall_latency, 0.5) / 1000},
          {"p99_ms", percentile(figures.overall_latency, 0.99) / 1000},
          {"cpu_us_per_request", requests > 0 ? cpu / requests * 1e6 : 0},
          {"rss_mb", after.rss_mb},
          {"probes_per_server_per_s", probes / count / seconds},
          {"connections_per_server", connections / count},
          {"drain_last_send_ms", drains.empty() ? -1 : drains.begin()->second},
          {"rule_breaches", fake_servers.invariants().total()},
          {"refused", figures.rejected},
          {"failed", figures.failed},
          {"unanswered", figures.unanswered},
          {"free_busiest_worker", busiest_free},
          {"free_idlest_worker", idlest_free},
          {"free_decisions", threads.contains("decisions") ? threads["decisions"] : json()},
          {"free_stand_in", fake_servers_free},
          {"free_load", load_free},
          {"stolen_percent", stolen_share},
          {"crowded", assignment.shares_cpus},
          {"threads_free", threads},
          {"breaches", violations}};
}

// Returns the loads that a variant is measured with: the closed loop, an equal rate for each worker and, for
// several workers, the same total rate as for one worker, at which the work for probes can be compared.
std::vector<std::pair<std::string, double>> offered_loads(const CoresOptions& o, const Variant& variant) {
  std::vector<std::pair<std::string, double>> all{{"closed", 0},
                                                  {"each", o.rate_per_worker * variant.workers}};
  if (variant.workers > 1) all.emplace_back("same", o.rate_per_worker);
  return all;
}

// Returns the medians of all numbers over the rounds of one variant and offered load.
json medians(const std::vector<json>& runs) {
  json row = runs.front();
  for (auto& [key, value] : row.items()) {
    if (!value.is_number()) continue;
    std::vector<double> values;
    double largest = 0;
    for (auto& run : runs) {
      if (!run.at(key).is_number()) continue;
      values.push_back(run.at(key).get<double>());
      largest = std::max(largest, values.back());
    }
    // Breaches and drain times take the maximum: a breach in any round counts, and so does the slowest drain.
    value = key == "rule_breaches" || key == "drain_last_send_ms" ? largest : median(values);
  }
  row.erase("threads_free");
  row.erase("breaches");
  row["runs"] = runs.size();
  return row;
}

}  // namespace

CpuAssignment assign_cpus(const std::vector<int>& cpus, int workers, bool decision_thread, int max_workers) {
  CpuAssignment assignment;
  auto n = static_cast<int>(cpus.size());
  // The fake servers and the load get the last CPUs, which are the same for every variant: those that the
  // largest number of workers and the decision thread leave.
  int harness_cpus = std::max(n >= 4 ? 2 : 1, n - max_workers - 1);
  int first_harness_cpu = std::max(0, n - harness_cpus);
  for (int i = 0; i < workers + (decision_thread ? 1 : 0); ++i) {
    assignment.shares_cpus |= i >= first_harness_cpu;
    assignment.proxy.push_back(cpus[static_cast<std::size_t>(std::min(i, n - 1))]);
  }
  assignment.shares_cpus |= max_workers > first_harness_cpu;
  int fake_servers = std::max(1, harness_cpus - 1);
  for (int i = 0; i < fake_servers; ++i)
    assignment.fake_servers.push_back(cpus[static_cast<std::size_t>(std::min(first_harness_cpu + i, n - 1))]);
  assignment.load.push_back(cpus.back());
  return assignment;
}

json run_cores(const CoresOptions& given) {
  auto o = given;
  if (o.cpus.empty()) o.cpus = available_cpus();
  std::vector<Variant> variants;
  if (!o.baseline.empty()) variants.push_back({"baseline", "one", 1, true, false});
  for (int workers : o.workers) {
    if (workers == 1) {
      variants.push_back({"1", "one", 1, false, false});
      continue;
    }
    variants.push_back({fmt::format("{} shared", workers), "shared", workers, false, false});
    variants.push_back({fmt::format("{} split", workers), "split", workers, false, false});
    if (workers == *std::max_element(o.workers.begin(), o.workers.end()))
      variants.push_back({fmt::format("{} shared, reuseport", workers), "shared", workers, false, true});
  }
  std::map<std::string, std::vector<json>> runs;  // by variant and offered load
  json rounds = json::array();
  std::mt19937_64 random(o.seed);
  for (int round = 0; round < o.rounds; ++round) {
    auto shuffled = variants;
    std::shuffle(shuffled.begin(), shuffled.end(), random);
    for (auto& variant : shuffled)
      for (auto& [offer, rate] : offered_loads(o, variant)) {
        auto run = measure(o, variant, rate, o.seed * 100 + static_cast<std::uint64_t>(round));
        fmt::print(stderr, "round {} {:10} {:9}: {:7.0f} rps, p99 {:6.1f} ms, {:5.1f} us, {} breaches\n",
                   round + 1, variant.name, offer, run["rps"].get<double>(), run["p99_ms"].get<double>(),
                   run["cpu_us_per_request"].get<double>(), run["rule_breaches"].get<std::uint64_t>());
        run["round"] = round + 1;
        run["offer"] = offer;
        runs[variant.name + " " + offer].push_back(run);
        rounds.push_back(std::move(run));
      }
  }
  json rows = json::array();
  for (const char* offer : {"closed", "each", "same"})
    for (auto& variant : variants)
      if (auto it = runs.find(fmt::format("{} {}", variant.name, offer)); it != runs.end())
        rows.push_back(medians(it->second));

  // Ratios are formed within each round, so that a drift of the machine's speed does not affect them.
  json ratios = json::object();
  auto ratio = [&](const std::string& a, const std::string& b, const char* key) {
    std::vector<double> all;
    auto &x = runs[a], &y = runs[b];
    for (std::size_t i = 0; i < std::min(x.size(), y.size()); ++i)
      if (y[i].at(key).get<double>() > 0)
        all.push_back(x[i].at(key).get<double>() / y[i].at(key).get<double>());
    ratios[fmt::format("{}: {} / {}", key, a, b)] = median(all);
  };
  for (auto& variant : variants) {
    if (variant.name == "1") continue;
    ratio(variant.name + " closed", "1 closed", "rps");
    ratio(variant.name + " closed", "1 closed", "cpu_us_per_request");
    // With one worker, the rate for each worker is also the total rate, so there is no "same" row for it.
    ratio(variant.name + " each", "1 each", "p99_ms");
    ratio(variant.name + (variant.workers > 1 ? " same" : " each"), "1 each", "cpu_us_per_request");
    ratio(variant.name + (variant.workers > 1 ? " same" : " each"), "1 each", "probes_per_server_per_s");
  }
  return {{"machine", describe_machine()},
          {"cpus", o.cpus},
          {"seed", o.seed},
          {"rounds", rounds},
          {"rows", rows},
          {"ratios", ratios},
          {"options",
           {{"rounds", o.rounds},
            {"seconds", o.seconds},
            {"sets", o.shard_groups},
            {"replicas", o.replicas},
            {"connections", o.connections},
            {"depth", o.depth},
            {"rate_per_worker", o.rate_per_worker}}}};
}

void write_cores_report(const json& result, const std::string& folder, const std::string& command) {
  auto& machine = result.at("machine");
  std::string text = fmt::format(
      "# Cores\n\n`{}`\n\n{}, {} cores (processors {} used), {}, {}, {}; seed {}. Medians over {} rounds of "
      "{} s; the "
      "worst drain.\n{} sets of 1 + {} data servers that answer at once; {} clients with {} requests out "
      "each "
      "(closed loop), or {} requests a second for each worker (open loop).\n\n",
      command, machine.at("processor").get<std::string>(), machine.at("cores").get<int>(),
      fmt::join(result.at("cpus").get<std::vector<int>>(), " "), machine.at("system").get<std::string>(),
      machine.at("compiler").get<std::string>(), machine.at("date").get<std::string>(),
      result.at("seed").get<std::uint64_t>(), result.at("options").at("rounds").get<int>(),
      result.at("options").at("seconds").get<double>(), result.at("options").at("sets").get<int>(),
      result.at("options").at("replicas").get<int>(), result.at("options").at("connections").get<int>(),
      result.at("options").at("depth").get<int>(), result.at("options").at("rate_per_worker").get<double>());
  text += markdown_table({{"way", "workers"},
                          {"offered", "offered /s"},
                          {"rps", "served /s"},
                          {"p50_ms", "p50 ms", 2},
                          {"p99_ms", "p99 ms", 2},
                          {"cpu_us_per_request", "CPU us / request", 1},
                          {"rss_mb", "MB", 1},
                          {"probes_per_server_per_s", "probes / server s", 2},
                          {"connections_per_server", "connections / server", 1},
                          {"drain_last_send_ms", "last send after drain ms", 1},
                          {"rule_breaches", "breaches"}},
                         result.at("rows"));
  text +=
      "\nOffered 0 is the closed loop. What each part had free (share of its processor), and what the host "
      "took:\n\n";
  text += markdown_table({{"way", "workers"},
                          {"offered", "offered /s"},
                          {"free_busiest_worker", "busiest worker", 2},
                          {"free_idlest_worker", "idlest worker", 2},
                          {"free_decisions", "decision thread", 2},
                          {"free_stand_in", "stand-ins", 2},
                          {"free_load", "load", 2},
                          {"stolen_percent", "stolen %", 1}},
                         result.at("rows"));
  text += "\nRatios, medians of the pairs within each round:\n\n| what | ratio |\n| --- | --- |\n";
  for (auto& [name, value] : result.at("ratios").items())
    text += fmt::format("| {} | {:.2f} |\n", name, value.get<double>());
  write_file_atomically(folder + "/cores.json", result.dump(1) + "\n");
  write_file_atomically(folder + "/cores.md", text);
  Series rps{"closed loop", {}}, cpu{"CPU", {}}, p99{"p99", {}};
  for (auto& row : result.at("rows")) {
    auto variant = row.at("way").get<std::string>();
    if (row.at("offered") == 0.0) {
      rps.bars.emplace_back(variant, row.at("rps").get<double>());
      cpu.bars.emplace_back(variant, row.at("cpu_us_per_request").get<double>());
    } else if (row.at("offer") == "each") {
      p99.bars.emplace_back(variant, row.at("p99_ms").get<double>());
    }
  }
  bar_chart(folder + "/throughput.svg", "Requests a second, closed loop", "requests / s", {rps});
  bar_chart(folder + "/cpu.svg", "CPU time a request, closed loop", "us", {cpu});
  bar_chart(folder + "/latency.svg", "99th percentile at equal load for each worker", "ms", {p99});
}

}  // namespace database_proxy::testbench
