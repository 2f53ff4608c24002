// The experiment `zones`: the same losses of zones of data servers under the same load, with each proxy
// deciding alone and with a common plan. Three zones in two regions.
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

constexpr Micros kBin{500'000};
constexpr std::int64_t kWorst = 20;  // bins: ten seconds
// A zone's own part: reads that a server bears are known to the plan a little below what it does bear.
constexpr double kServiceUs = 4000, kPerWeight = 240;
constexpr Micros kWarmUp{8'000'000};  // of servers that come back, so that a run is not all waiting
constexpr double kMoved = 0.95;       // of the share served in calm: by then a loss is over

struct Loss {
  std::string name;
  std::function<void(Rig&)> begin, end;
  double load = 1;  // of the usual, while it lasts
};

void steer_zone(Rig& rig, const char* what, const std::string& zone, json more = json::object()) {
  more["do"] = what;
  more["zone"] = zone;
  rig.stand_in().steer(more);
  rig.history().add("servers", more);
}

// The zones are a and b in the north, c in the south; b is the one that is lost. The primary stands in a.
const std::vector<Loss>& losses() {
  static const std::vector<Loss> all{
      {"dies", [](Rig& r) { steer_zone(r, "kill", "b"); }, [](Rig& r) { steer_zone(r, "start", "b"); }},
      {"hangs", [](Rig& r) { steer_zone(r, "silence", "b"); }, [](Rig& r) { steer_zone(r, "speak", "b"); }},
      {"slow",
       [](Rig& r) {
         steer_zone(r, "slow", "b", {{"times", 10}});
       },
       [](Rig& r) {
         steer_zone(r, "slow", "b", {{"times", 1}});
       }},
      {"fails",
       [](Rig& r) {
         steer_zone(r, "fail", "b", {{"share", 0.2}});
       },
       [](Rig& r) {
         steer_zone(r, "fail", "b", {{"share", 0}});
       }},
      {"cut", [](Rig& r) { r.isolate_zone("b"); }, [](Rig& r) { r.heal(); }},
      {"dies, half as much load again", [](Rig& r) { steer_zone(r, "kill", "b"); },
       [](Rig& r) { steer_zone(r, "start", "b"); }, 1.5}};
  return all;
}

struct Sample {
  Micros at{0};
  double far = 0, all = 0;  // bytes between proxies and servers since the last one
};

json run_one(const ExperimentOptions& options, const Loss& loss, bool common, int index) {
  RigOptions o;
  o.program = options.program;
  o.folder = fmt::format("{}/{}-{}", options.folder, index, common ? "common" : "alone");
  o.voters = 3;
  o.followers = std::max(3, (options.processes > 0 ? options.processes : 60) - o.voters);
  o.seed = options.seed;
  o.zones = {{"a", "north"}, {"b", "north"}, {"c", "south"}};
  o.placement = common;
  o.per_weight = kPerWeight;
  o.stand_in.sets = 1;
  o.stand_in.replicas = 8;
  o.stand_in.seed = options.seed;
  o.stand_in.model.cores = 1;
  o.stand_in.model.service_us = kServiceUs;
  o.stand_in.model.queue = 200;
  o.stand_in.model.warm_up = kWarmUp;
  o.stand_in.model.fall_inside = 80;
  o.settings = {{"Guarantees", {{"WarmUpMs", static_cast<double>(kWarmUp.count()) / 1000}}}};
  Rig rig(o);
  if (!rig.soon([&] {
        auto owners = rig.owners();
        auto owned = [&](const std::string& job) {
          return std::any_of(owners.begin(), owners.end(),
                             [&](auto& x) { return x.at("job") == job && x.value("owner", "") != ""; });
        };
        return owned("list") && (!common || owned("placement"));
      }))
    throw std::runtime_error("the jobs found no owners");

  // Load at every proxy, all the time, in one series.
  const auto names = rig.all();
  const double rate = options.rate > 0 ? options.rate : 1000;  // requests a second in all
  const Micros calm = 8s, lost = 12s, after = 25s;
  std::mutex mutex;
  LoadFigures sum;
  std::vector<std::thread> loads;
  auto begun = net::monotonic_now();
  auto load = [&](std::size_t i, double share, Micros from, Micros length) {
    loads.emplace_back([&, i, share, from, length] {
      std::this_thread::sleep_until(std::chrono::steady_clock::time_point(begun + from));
      LoadOptions l;
      l.target = *net::parse_address(fmt::format("127.0.0.1:{}", rig.port(names[i])));
      l.connections = std::max(4, 300 / static_cast<int>(names.size()));
      l.rate = rate * share / static_cast<double>(names.size());
      l.duration = length;
      l.warm_up = Micros(0);
      l.book_share = 0.05;
      l.seed = options.seed * 1000 + i + (from.count() > 0 ? 500 : 0);
      l.rules = &rig.stand_in().rules();
      l.id_prefix = fmt::format("z{}-{}-", i, from.count() > 0 ? 2 : 1);
      auto f = run_load(l);
      std::lock_guard lock(mutex);
      sum.add(f);
    });
  };
  for (std::size_t i = 0; i < names.size(); ++i) {
    load(i, 1, Micros(0), calm + lost + after);
    if (loss.load > 1) load(i, loss.load - 1, calm, lost);
  }
  std::atomic<bool> stop{false};
  std::vector<Sample> samples;
  std::thread sampler([&] {
    double far = 0, all = 0;
    while (!stop) {
      double now_far = 0, now_all = 0;
      for (auto& a : o.zones)
        for (auto& b : o.zones) {
          auto bytes = static_cast<double>(rig.passed(a.name, b.name));
          now_all += bytes;
          if (a.name != b.name) now_far += bytes;
        }
      samples.push_back({net::monotonic_now(), now_far - far, now_all - all});
      far = now_far, all = now_all;
      std::this_thread::sleep_for(kBin);
    }
  });
  auto plan_of = [&](const std::string& name) {
    auto s = rig.status(name, 2000);
    return s ? s->value("plan", std::uint64_t{0}) : 0;
  };
  std::this_thread::sleep_until(std::chrono::steady_clock::time_point(begun + calm));
  auto number = plan_of("n1");
  auto fault_at = net::monotonic_now();
  loss.begin(rig);
  std::this_thread::sleep_until(std::chrono::steady_clock::time_point(begun + calm + lost));
  auto heal_at = net::monotonic_now();
  loss.end(rig);
  for (auto& t : loads) t.join();
  stop = true;
  sampler.join();
  auto changes = plan_of("n1") - number;

  // What the series say.
  auto bin_of = [](Micros at) { return at / kBin; };
  auto share = [&](std::int64_t from, std::int64_t to) {
    double asked = 0, served = 0;
    for (auto& [at, n] : sum.series)
      if (at >= from && at < to)
        asked += static_cast<double>(n.first), served += static_cast<double>(n.second);
    return asked > 0 ? served / asked : 1;
  };
  auto first = bin_of(begun) + 2, faulty = bin_of(fault_at), healed = bin_of(heal_at),
       last = bin_of(begun + calm + lost + after) - 5;
  double calm_share = share(first, faulty), worst = 1;
  for (auto at = faulty - kWorst + 1; at + kWorst <= last; ++at)
    worst = std::min(worst, share(at, at + kWorst));
  std::int64_t moved = faulty;
  for (auto at = faulty; at < healed; ++at)
    if (share(at, at + 1) < calm_share * kMoved) moved = at + 1;
  auto far = [&](Micros from, Micros to) {
    double far = 0, all = 0;
    for (auto& s : samples)
      if (s.at > from && s.at <= to) far += s.far, all += s.all;
    return all > 0 ? far / all : 0;
  };
  double far_calm = far(begun + 2s, fault_at);
  Micros returned = heal_at;
  for (std::size_t i = 0; i < samples.size(); ++i)
    if (samples[i].at > heal_at && samples[i].all > 0 &&
        far(samples[i].at - 1s, samples[i].at) > far_calm + 0.03)
      returned = samples[i].at;
  int falls = 0;
  for (auto& [id, f] : rig.stand_in().figures()) falls += f.falls;
  std::uint64_t stale = 0;
  for (auto& b : rig.stand_in().rules().breaches()) stale += b.rule == Rule::kStale ? b.count : 0;
  json series = json::array();
  for (auto& [at, n] : sum.series)
    series.push_back({static_cast<double>((at - faulty) * (kBin / Micros(1000))) / 1000, n.first, n.second});
  if (!options.history.empty()) rig.history().write(options.history);
  return {
      {"fault", loss.name},
      {"seed", options.seed},
      {"mode", common ? "common" : "alone"},
      {"processes", names.size()},
      {"asked", sum.attempts},
      {"served_share", share(first, last)},
      {"served_share_calm", calm_share},
      {"served_share_worst_10s", worst},
      {"far_share_calm", far_calm},
      {"far_share_during", far(fault_at, heal_at)},
      {"time_to_move_ms", (moved - faulty) * (kBin / Micros(1000))},
      {"time_to_return_ms", static_cast<double>((returned - heal_at).count()) / 1000},
      {"plan_changes", changes},
      {"cold_falls", falls},
      {"stale_reads", stale},
      {"refused_share", sum.attempts ? static_cast<double>(sum.rejected) / static_cast<double>(sum.attempts) : 0},
      {"p99_ms", percentile(sum.overall_latency, 0.99) / 1000},
      {"rule_breaches", rig.stand_in().rules().total()},
      {"breaches", rig.stand_in().report().at("breaches")},
      {"series", series}};
}

}  // namespace

json run_zones(const ExperimentOptions& options) {
  json rows = json::array();
  int index = 0;
  for (auto& loss : losses()) {
    if (!options.only.empty() && loss.name != options.only) continue;
    ++index;
    for (bool common : {false, true}) rows.push_back(run_one(options, loss, common, index));
  }
  if (rows.empty()) throw std::runtime_error(fmt::format("faults zones knows no fault '{}'", options.only));
  return rows;
}

json run_zones_cost(const ExperimentOptions& options) {
  json rows = json::array();
  for (bool planned : {false, true}) {
    RigOptions o;
    o.program = options.program;
    o.folder = fmt::format("{}/{}", options.folder, planned ? "planned" : "alone");
    o.voters = 3;
    o.followers = std::max(3, (options.processes > 0 ? options.processes : 300) - o.voters);
    o.seed = options.seed;
    o.zones = {{"a", "north"}, {"b", "north"}, {"c", "south"}};
    o.near_delay = o.far_delay = Micros(0);
    o.placement = planned;
    o.per_weight = kPerWeight;
    o.stand_in.sets = 20;
    o.stand_in.replicas = 5;
    o.stand_in.seed = options.seed;
    Rig rig(o);
    if (!rig.soon([&] { return rig.owners().size() >= (planned ? 22u : 21u); }))
      throw std::runtime_error("the jobs found no owners");
    const auto names = rig.all();
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
        auto cpu = rig.daemon(name)->usage().cpu_seconds;
        r.cpu += cpu;
        if (std::count(rig.voters().begin(), rig.voters().end(), name)) r.voters_cpu += cpu;
        for (auto& voter : rig.voters())
          if (voter != name) r.bytes += static_cast<double>(rig.passed(name, voter));
      }
      return r;
    };
    for (std::size_t i = 0; i < names.size(); ++i)
      loads.emplace_back([&, i] {
        LoadOptions l;
        l.target = *net::parse_address(fmt::format("127.0.0.1:{}", rig.port(names[i])));
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
    std::this_thread::sleep_for(2s);  // what a start brings is over
    auto before = read();
    auto began = net::monotonic_now();
    std::this_thread::sleep_for(std::chrono::seconds(std::max(4, options.faults - 4)));
    auto after = read();
    double seconds = static_cast<double>((net::monotonic_now() - began).count()) / 1e6;
    for (auto& t : loads) t.join();
    auto each = static_cast<double>(names.size());
    double rss = 0;
    for (auto& name : names) rss = std::max(rss, rig.daemon(name)->usage().rss_mb);
    rows.push_back(
        {{"mode", planned ? "planned" : "alone"},
         {"seed", options.seed},
         {"processes", names.size()},
         {"servers", 120},
         {"sets", 20},
         {"rate_each", rate},
         {"served_share", sum.attempts ? static_cast<double>(sum.served) / static_cast<double>(sum.attempts) : 0},
         {"cpu_ms_per_s_each", (after.cpu - before.cpu) * 1000 / seconds / each},
         {"cpu_ms_per_s_voter", (after.voters_cpu - before.voters_cpu) * 1000 / seconds / 3},
         {"group_bytes_per_s_each", (after.bytes - before.bytes) / seconds / each},
         {"rss_mb_most", rss},
         {"plan", rig.status("n1", 2000) ? rig.status("n1", 2000)->value("plan", 0) : 0}});
  }
  return rows;
}

}  // namespace database_proxy::testbench::faults
