// The experiment `zones`: the same faults of a zone of data servers under the same load, first with each
// proxy deciding alone, then with a common placement plan. There are three zones in two regions.
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

constexpr Micros kBinWidth{500'000};
constexpr std::int64_t kWorstWindowBins = 20;  // 10 s
// kRequestsPerWeight: requests a second that the plan assumes for a server, a little below its real capacity,
// 1 / kServiceUs.
constexpr double kServiceUs = 4000, kRequestsPerWeight = 240;
constexpr Micros kWarmUp{8'000'000};  // of restarted servers; short, to limit the waiting time of a run
// A fault counts as handled once the share served is back to this fraction of the share before the fault.
constexpr double kRecoveredShare = 0.95;

struct ZoneFault {
  std::string name;
  std::function<void(FaultHarness&)> begin, end;
  double load = 1;  // multiple of the usual load during the fault
};

void control_zone(FaultHarness& harness, const char* what, const std::string& zone,
                  json more = json::object()) {
  more["do"] = what;
  more["zone"] = zone;
  harness.fake_servers().control(more);
  harness.history().add("servers", more);
}

// Zones a and b are in the region north, c in south. Faults affect zone b; the primary is in zone a.
const std::vector<ZoneFault>& zone_faults() {
  static const std::vector<ZoneFault> all{
      {"dies", [](FaultHarness& r) { control_zone(r, "kill", "b"); },
       [](FaultHarness& r) { control_zone(r, "start", "b"); }},
      {"hangs", [](FaultHarness& r) { control_zone(r, "silence", "b"); },
       [](FaultHarness& r) { control_zone(r, "speak", "b"); }},
      {"slow",
       [](FaultHarness& r) {
         control_zone(r, "slow", "b", {{"times", 10}});
       },
       [](FaultHarness& r) {
         control_zone(r, "slow", "b", {{"times", 1}});
       }},
      {"fails",
       [](FaultHarness& r) {
         control_zone(r, "fail", "b", {{"share", 0.2}});
       },
       [](FaultHarness& r) {
         control_zone(r, "fail", "b", {{"share", 0}});
       }},
      {"cut", [](FaultHarness& r) { r.isolate_zone("b"); }, [](FaultHarness& r) { r.heal(); }},
      {"dies, half as much load again", [](FaultHarness& r) { control_zone(r, "kill", "b"); },
       [](FaultHarness& r) { control_zone(r, "start", "b"); }, 1.5}};
  return all;
}

struct Sample {
  Micros at{0};
  double cross_zone = 0, all = 0;  // bytes between proxies and servers since the previous sample
};

json run_one(const ExperimentOptions& options, const ZoneFault& fault, bool common, int index) {
  FaultHarnessOptions o;
  o.program = options.program;
  o.folder = fmt::format("{}/{}-{}", options.folder, index, common ? "common" : "alone");
  o.voters = 3;
  o.followers = std::max(3, (options.processes > 0 ? options.processes : 60) - o.voters);
  o.seed = options.seed;
  o.zones = {{"a", "north"}, {"b", "north"}, {"c", "south"}};
  o.placement = common;
  o.requests_per_weight = kRequestsPerWeight;
  o.fake_servers.shard_groups = 1;
  o.fake_servers.replicas = 8;
  o.fake_servers.seed = options.seed;
  o.fake_servers.model.cores = 1;
  o.fake_servers.model.service_us = kServiceUs;
  o.fake_servers.model.max_in_flight = 200;
  o.fake_servers.model.warm_up = kWarmUp;
  o.fake_servers.model.overload_in_flight = 80;
  o.settings = {{"Guarantees", {{"WarmUpMs", static_cast<double>(kWarmUp.count()) / 1000}}}};
  FaultHarness harness(o);
  if (!harness.wait_until([&] {
        auto lease_holders = harness.lease_holders();
        auto owned = [&](const std::string& job) {
          return std::any_of(lease_holders.begin(), lease_holders.end(),
                             [&](auto& x) { return x.at("job") == job && x.value("owner", "") != ""; });
        };
        return owned("list") && (!common || owned("placement"));
      }))
    throw std::runtime_error("not all jobs got a lease holder in time");

  // Applies load to every proxy for the whole run and collects the results in one series.
  const auto names = harness.all();
  const double rate = options.rate > 0 ? options.rate : 1000;  // requests a second in all
  const Micros calm = 8s, fault_length = 12s, after = 25s;
  std::mutex mutex;
  LoadFigures sum;
  std::vector<std::thread> loads;
  auto begun = net::monotonic_now();
  auto load = [&](std::size_t i, double share, Micros from, Micros length) {
    loads.emplace_back([&, i, share, from, length] {
      std::this_thread::sleep_until(std::chrono::steady_clock::time_point(begun + from));
      LoadOptions l;
      l.target = *net::parse_address(fmt::format("127.0.0.1:{}", harness.port(names[i])));
      l.connections = std::max(4, 300 / static_cast<int>(names.size()));
      l.rate = rate * share / static_cast<double>(names.size());
      l.duration = length;
      l.warm_up = Micros(0);
      l.book_share = 0.05;
      l.seed = options.seed * 1000 + i + (from.count() > 0 ? 500 : 0);
      l.invariants = &harness.fake_servers().invariants();
      l.id_prefix = fmt::format("z{}-{}-", i, from.count() > 0 ? 2 : 1);
      auto f = run_load(l);
      std::lock_guard lock(mutex);
      sum.add(f);
    });
  };
  for (std::size_t i = 0; i < names.size(); ++i) {
    load(i, 1, Micros(0), calm + fault_length + after);
    if (fault.load > 1) load(i, fault.load - 1, calm, fault_length);
  }
  std::atomic<bool> stop{false};
  std::vector<Sample> samples;
  std::thread sampler([&] {
    double cross_zone = 0, all = 0;
    while (!stop) {
      double now_cross_zone = 0, now_all = 0;
      for (auto& a : o.zones)
        for (auto& b : o.zones) {
          auto bytes = static_cast<double>(harness.bytes_forwarded(a.name, b.name));
          now_all += bytes;
          if (a.name != b.name) now_cross_zone += bytes;
        }
      samples.push_back({net::monotonic_now(), now_cross_zone - cross_zone, now_all - all});
      cross_zone = now_cross_zone, all = now_all;
      std::this_thread::sleep_for(kBinWidth);
    }
  });
  auto plan_of = [&](const std::string& name) {
    auto s = harness.status(name, 2000);
    return s ? s->value("plan", std::uint64_t{0}) : 0;
  };
  std::this_thread::sleep_until(std::chrono::steady_clock::time_point(begun + calm));
  auto plan_before = plan_of("n1");
  auto fault_at = net::monotonic_now();
  fault.begin(harness);
  std::this_thread::sleep_until(std::chrono::steady_clock::time_point(begun + calm + fault_length));
  auto heal_at = net::monotonic_now();
  fault.end(harness);
  for (auto& t : loads) t.join();
  stop = true;
  sampler.join();
  auto changes = plan_of("n1") - plan_before;

  // Evaluates the series.
  auto bin_of = [](Micros at) { return at / kBinWidth; };
  auto share = [&](std::int64_t from, std::int64_t to) {
    double asked = 0, served = 0;
    for (auto& [at, n] : sum.series)
      if (at >= from && at < to)
        asked += static_cast<double>(n.first), served += static_cast<double>(n.second);
    return asked > 0 ? served / asked : 1;
  };
  auto first = bin_of(begun) + 2, fault_bin = bin_of(fault_at), healed_bin = bin_of(heal_at),
       last = bin_of(begun + calm + fault_length + after) - 5;
  double calm_share = share(first, fault_bin), worst = 1;
  for (auto at = fault_bin - kWorstWindowBins + 1; at + kWorstWindowBins <= last; ++at)
    worst = std::min(worst, share(at, at + kWorstWindowBins));
  std::int64_t moved = fault_bin;
  for (auto at = fault_bin; at < healed_bin; ++at)
    if (share(at, at + 1) < calm_share * kRecoveredShare) moved = at + 1;
  auto cross_zone = [&](Micros from, Micros to) {
    double cross_zone = 0, all = 0;
    for (auto& s : samples)
      if (s.at > from && s.at <= to) cross_zone += s.cross_zone, all += s.all;
    return all > 0 ? cross_zone / all : 0;
  };
  double cross_zone_calm = cross_zone(begun + 2s, fault_at);
  Micros returned = heal_at;
  for (std::size_t i = 0; i < samples.size(); ++i)
    if (samples[i].at > heal_at && samples[i].all > 0 &&
        cross_zone(samples[i].at - 1s, samples[i].at) > cross_zone_calm + 0.03)
      returned = samples[i].at;
  int falls = 0;
  for (auto& [id, f] : harness.fake_servers().counters()) falls += f.overloads;
  std::uint64_t stale = 0;
  for (auto& b : harness.fake_servers().invariants().violations())
    stale += b.invariant == Invariant::kStaleRead ? b.count : 0;
  json series = json::array();
  for (auto& [at, n] : sum.series)
    series.push_back(
        {static_cast<double>((at - fault_bin) * (kBinWidth / Micros(1000))) / 1000, n.first, n.second});
  if (!options.history.empty()) harness.history().write(options.history);
  return {{"fault", fault.name},
          {"seed", options.seed},
          {"mode", common ? "common" : "alone"},
          {"processes", names.size()},
          {"asked", sum.attempts},
          {"served_share", share(first, last)},
          {"served_share_calm", calm_share},
          {"served_share_worst_10s", worst},
          {"far_share_calm", cross_zone_calm},
          {"far_share_during", cross_zone(fault_at, heal_at)},
          {"time_to_move_ms", (moved - fault_bin) * (kBinWidth / Micros(1000))},
          {"time_to_return_ms", static_cast<double>((returned - heal_at).count()) / 1000},
          {"plan_changes", changes},
          {"cold_falls", falls},
          {"stale_reads", stale},
          {"refused_share",
           sum.attempts ? static_cast<double>(sum.rejected) / static_cast<double>(sum.attempts) : 0},
          {"p99_ms", percentile(sum.overall_latency, 0.99) / 1000},
          {"rule_breaches", harness.fake_servers().invariants().total()},
          {"breaches", harness.fake_servers().report().at("breaches")},
          {"series", series}};
}

}  // namespace

json run_zones(const ExperimentOptions& options) {
  json rows = json::array();
  int index = 0;
  for (auto& fault : zone_faults()) {
    if (!options.zone_fault.empty() && fault.name != options.zone_fault) continue;
    ++index;
    for (bool common : {false, true}) rows.push_back(run_one(options, fault, common, index));
  }
  if (rows.empty())
    throw std::runtime_error(fmt::format("unknown fault '{}' for faults zones", options.zone_fault));
  return rows;
}

json run_zones_cost(const ExperimentOptions& options) {
  json rows = json::array();
  for (bool planned : {false, true}) {
    FaultHarnessOptions o;
    o.program = options.program;
    o.folder = fmt::format("{}/{}", options.folder, planned ? "planned" : "alone");
    o.voters = 3;
    o.followers = std::max(3, (options.processes > 0 ? options.processes : 300) - o.voters);
    o.seed = options.seed;
    o.zones = {{"a", "north"}, {"b", "north"}, {"c", "south"}};
    o.intra_region_delay = o.inter_region_delay = Micros(0);
    o.placement = planned;
    o.requests_per_weight = kRequestsPerWeight;
    o.fake_servers.shard_groups = 20;
    o.fake_servers.replicas = 5;
    o.fake_servers.seed = options.seed;
    FaultHarness harness(o);
    if (!harness.wait_until([&] { return harness.lease_holders().size() >= (planned ? 22u : 21u); }))
      throw std::runtime_error("not all jobs got a lease holder in time");
    const auto names = harness.all();
    const double rate = options.rate > 0 ? options.rate : 2;
    std::vector<std::thread> loads;
    std::mutex mutex;
    LoadFigures sum;
    struct Reading {
      double cpu = 0, voters_cpu = 0, bytes = 0;
    };
    auto read = [&] {
      Reading r;
      for (auto& name : names) {
        auto cpu = harness.daemon(name)->usage().cpu_seconds;
        r.cpu += cpu;
        if (std::count(harness.voters().begin(), harness.voters().end(), name)) r.voters_cpu += cpu;
        for (auto& voter : harness.voters())
          if (voter != name) r.bytes += static_cast<double>(harness.bytes_forwarded(name, voter));
      }
      return r;
    };
    for (std::size_t i = 0; i < names.size(); ++i)
      loads.emplace_back([&, i] {
        LoadOptions l;
        l.target = *net::parse_address(fmt::format("127.0.0.1:{}", harness.port(names[i])));
        l.connections = 1;
        l.rate = rate;
        l.duration = Micros(static_cast<std::int64_t>(options.faults) * 1'000'000);
        l.warm_up = Micros(0);
        for (std::int64_t set = 2; set <= 20; ++set) l.shard_groups.push_back(set);
        l.seed = options.seed * 1000 + i;
        l.id_prefix = fmt::format("k{}-", i);
        auto f = run_load(l);
        std::lock_guard lock(mutex);
        sum.add(f);
      });
    std::this_thread::sleep_for(2s);  // the start-up work is over by then
    auto before = read();
    auto began = net::monotonic_now();
    std::this_thread::sleep_for(std::chrono::seconds(std::max(4, options.faults - 4)));
    auto after = read();
    double seconds = static_cast<double>((net::monotonic_now() - began).count()) / 1e6;
    for (auto& t : loads) t.join();
    auto each = static_cast<double>(names.size());
    double rss = 0;
    for (auto& name : names) rss = std::max(rss, harness.daemon(name)->usage().rss_mb);
    rows.push_back({{"mode", planned ? "planned" : "alone"},
                    {"seed", options.seed},
                    {"processes", names.size()},
                    {"servers", 120},
                    {"sets", 20},
                    {"rate_each", rate},
                    {"served_share",
                     sum.attempts ? static_cast<double>(sum.served) / static_cast<double>(sum.attempts) : 0},
                    {"cpu_ms_per_s_each", (after.cpu - before.cpu) * 1000 / seconds / each},
                    {"cpu_ms_per_s_voter", (after.voters_cpu - before.voters_cpu) * 1000 / seconds / 3},
                    {"group_bytes_per_s_each", (after.bytes - before.bytes) / seconds / each},
                    {"rss_mb_most", rss},
                    {"plan", harness.status("n1", 2000) ? harness.status("n1", 2000)->value("plan", 0) : 0}});
  }
  return rows;
}

}  // namespace database_proxy::testbench::faults
