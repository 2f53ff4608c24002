#include "testbench/fault_injection/experiments.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <random>
#include <set>
#include <thread>

#include "testbench/fault_injection/rig.h"
#include "testbench/fault_injection/script.h"
#include "testbench/load.h"
#include "testbench/report.h"

namespace database_proxy::testbench::faults {
namespace {

using namespace std::chrono_literals;

constexpr int kClients = 4, kRegisters = 8;
// Time after which a client switches to the next node; the resolution of the measured times without a leader.
constexpr int kClientTimeoutMs = 200;
// Calls on one register before the next one is used; bounds the search for a linear order of the calls.
constexpr int kCallsPerRegister = 60;
constexpr Micros kConvergenceTimeout{30'000'000};  // limit for the nodes to agree after a fault

void pause_for(Micros span) { std::this_thread::sleep_for(span); }

// Clients of the group's registers. Each call is recorded in the history.
class RegisterClients {
 public:
  RegisterClients(FaultHarness& harness, std::uint64_t seed) : harness_(harness), seed_(seed) {
    for (int i = 0; i < kClients; ++i) threads_.emplace_back([this, i] { run(i); });
  }
  ~RegisterClients() { stop(); }
  void stop() {
    stop_ = true;
    for (auto& t : threads_)
      if (t.joinable()) t.join();
  }
  // Waits for a write that was called at or after `when` to be acknowledged. Returns the time of the earliest
  // acknowledgement, or nothing on a time-out.
  std::optional<Micros> first_write_after(Micros when, Micros timeout) {
    auto end = net::monotonic_now() + timeout;
    while (net::monotonic_now() < end) {
      {
        std::lock_guard lock(mutex_);
        for (auto it = acks_.rbegin(); it != acks_.rend() && it->second >= when; ++it)
          if (it->first >= when)
            earliest_ack_ = earliest_ack_ ? std::min(*earliest_ack_, it->second) : it->second;
        if (earliest_ack_) return std::exchange(earliest_ack_, std::nullopt);
      }
      pause_for(5ms);
    }
    return std::nullopt;
  }
  // Reads the final value of each register, which closes its history and reveals a lost acknowledged write.
  void read_final_values() {
    for (auto& key : std::set<std::string>(keys_)) {
      json answer;
      Operation o;
      o.called = harness_.history().now();
      harness_.wait_until([&] {
        try {
          answer = harness_.send_command(harness_.leader(), {{"do", "get"}, {"key", key}}, 2000);
        } catch (const std::exception&) {
          return false;
        }
        return answer.value("ok", false);
      });
      o.value = answer.value("value", "");
      o.answered = harness_.history().now();
      record_call(-1, key, o, true);
    }
  }

 private:
  void record_call(int client, const std::string& key, const Operation& o, bool last = false) {
    json e = {{"client", client},
              {"key", key},
              {"write", o.write},
              {"value", o.value},
              {"called_us", o.called.count()}};
    if (o.answered != Micros::max()) e["answered_us"] = o.answered.count();
    if (last) e["last"] = true;
    harness_.history().add("call", std::move(e));
    std::lock_guard lock(mutex_);
    keys_.insert(key);
  }
  void run(int number) {
    std::mt19937_64 random(seed_ * 977 + static_cast<std::uint64_t>(number));
    std::unique_ptr<app::FleetConnection> connection;
    std::size_t at = random() % harness_.voters().size();
    for (std::uint64_t n = 0; !stop_; ++n) {
      Operation o;
      o.write = random() % 10 < 6;
      std::uint64_t round;
      {
        std::lock_guard lock(mutex_);
        round = calls_++ / (kCallsPerRegister * kRegisters);
      }
      auto key = fmt::format("r{}-{}", random() % kRegisters, round);
      if (o.write) o.value = fmt::format("{}.{}", number, n);
      o.called = harness_.history().now();
      try {
        if (!connection)
          connection = std::make_unique<app::FleetConnection>(harness_.address(harness_.voters()[at]), "lab",
                                                              kClientTimeoutMs);
        auto answer = connection->send_request(o.write ? json{{"do", "put"}, {"key", key}, {"value", o.value}}
                                                       : json{{"do", "get"}, {"key", key}});
        auto now = harness_.history().now();
        bool ok = answer.value("ok", false), unknown = answer.value("why", "").starts_with("unknown");
        if (!o.write) o.value = answer.value("value", "");
        if (ok) o.answered = now;
        if (ok || (o.write && unknown)) record_call(number, key, o);
        if (!ok) {  // this node knows no leader; try another
          connection.reset();
          at = (at + 1) % harness_.voters().size();
        }
        if (ok && o.write) {
          std::lock_guard lock(mutex_);
          acks_.emplace_back(o.called, now);
        }
      } catch (const std::runtime_error&) {
        connection.reset();
        at = (at + 1) % harness_.voters().size();
        if (o.write)
          record_call(number, key, o);  // outcome unknown: it may have been applied, or may still be
        pause_for(5ms);
      }
      pause_for(Micros(static_cast<std::int64_t>(2000 + random() % 6000)));
    }
  }

  FaultHarness& harness_;
  std::uint64_t seed_;
  std::atomic<bool> stop_{false};
  std::mutex mutex_;
  std::uint64_t calls_ = 0;
  std::optional<Micros> earliest_ack_;
  std::vector<std::pair<Micros, Micros>> acks_;  // called, answered
  std::set<std::string> keys_;
  std::vector<std::thread> threads_;
};

// Continuously samples the role, leases and published leases of every process.
class Sampler {
 public:
  explicit Sampler(FaultHarness& harness) : harness_(harness) {
    for (auto& name : harness.all())
      if (!harness.address(name).empty()) threads_.emplace_back([this, name] { run(name); });
  }
  ~Sampler() { stop(); }
  void stop() {
    stop_ = true;
    for (auto& t : threads_)
      if (t.joinable()) t.join();
  }

 private:
  void run(const std::string& name) {
    std::unique_ptr<app::FleetConnection> connection;
    bool is_reconnected = true;  // it may have restarted with an earlier state and still be catching up
    while (!stop_) {
      try {
        if (!connection)
          connection = std::make_unique<app::FleetConnection>(harness_.address(name), "lab", 30'000);
        auto s = connection->send_request({{"do", "status"}}).at("status");
        auto jobs = connection->send_request({{"do", "owners"}}).at("owners");
        json e = {{"node", name},
                  {"clock_us", s.at("clock_us")},
                  {"holds", s.at("holds")},
                  {"published", json::array()}};
        if (s.value("role", "") == "leader") e["leads"] = s.at("term");
        for (auto& o : jobs) e["published"].push_back({o.at("job"), o.at("published_by")});
        if (std::exchange(is_reconnected, false)) e["anew"] = true;
        harness_.history().add("sample", std::move(e));
      } catch (const std::exception&) {
        connection.reset();
        is_reconnected = true;
      }
      pause_for(20ms);
    }
  }
  FaultHarness& harness_;
  std::atomic<bool> stop_{false};
  std::vector<std::thread> threads_;
};

double percentile_of(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  auto at = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1) + 0.5);
  return values[std::min(at, values.size() - 1)];
}

std::uint64_t count_occurrences(const std::string& text, const std::string& what) {
  std::uint64_t n = 0;
  for (auto at = text.find(what); at != std::string::npos; at = text.find(what, at + 1)) ++n;
  return n;
}

struct RandomChoices {
  std::mt19937_64 random;
  std::uint64_t below(std::uint64_t n) { return random() % n; }
  Micros duration(int least_ms, int most_ms) {
    return Micros(1000 * (least_ms + static_cast<std::int64_t>(
                                         below(static_cast<std::uint64_t>(most_ms - least_ms + 1)))));
  }
  const std::string& pick(const std::vector<std::string>& names) { return names[below(names.size())]; }
};

// Injects one random fault into `victim` and undoes it before returning. Returns its name.
std::string inject_fault(FaultHarness& harness, RandomChoices& draw, const std::string& victim, bool jobs) {
  auto& voters = harness.voters();
  auto other = victim;
  while (other == victim) other = draw.pick(voters);
  switch (draw.below(jobs ? 12 : 13)) {
    case 0:
    case 1:
      harness.kill(victim);
      pause_for(draw.duration(0, 2000));
      harness.start(victim);
      return "killed";
    case 2:
      harness.pause(victim);
      pause_for(200ms);
      harness.resume(victim);
      return "stopped for 0.2 s";
    case 3:
      harness.pause(victim);
      pause_for(2s);
      harness.resume(victim);
      return "stopped for 2 s";
    case 4:
      harness.block_outgoing(victim);
      pause_for(draw.duration(1000, jobs ? 4500 : 2500));
      harness.heal();
      return "heard by none";
    case 5:
      harness.block_incoming(victim);
      pause_for(draw.duration(1000, 2500));
      harness.heal();
      return "hears none";
    case 6:
      harness.isolate(victim);
      pause_for(draw.duration(800, jobs ? 4500 : 2500));
      harness.heal();
      return "cut off";
    case 7:
      for (int i = 0; i < 5; ++i) {
        harness.cut(victim, other);
        pause_for(300ms);
        harness.heal();
        pause_for(300ms);
      }
      return "a link flaps";
    case 8: {
      LinkState s;
      s.stall_after = static_cast<std::int64_t>(draw.below(400));
      harness.shape(victim, other, s);
      pause_for(draw.duration(500, 1500));
      harness.reset_links(victim);
      harness.heal();
      return "a message stalls in its middle, then resets";
    }
    case 9:
      harness.terminate(victim);
      harness.start(victim);
      return "restarted";
    case 10: {
      LinkState s;
      s.delay = draw.duration(20, 120);
      for (auto& to : voters)
        if (to != victim) harness.shape(victim, to, s);
      pause_for(draw.duration(500, 1500));
      harness.heal();
      return "slow links";
    }
    case 11: {
      if (jobs) {
        // Delays the lease holder's messages to one voter until another process holds its leases.
        auto holder = harness.lease_holder("list"), leader = harness.leader();
        if (holder.empty() || !std::count(voters.begin(), voters.end(), holder)) holder = victim;
        std::string third;
        for (auto& name : voters)
          if (name != holder && (third.empty() || name != leader)) third = name;
        LinkState held;
        held.hold_forward = true;
        harness.shape(holder, third, held);
        pause_for(700ms);
        harness.terminate(holder);
        harness.wait_until(
            [&] {
              auto now = harness.lease_holder("list");
              return !now.empty() && now != holder;
            },
            Micros(1'200'000));
        harness.heal();
        harness.start(holder);
        return "effects come late";
      }
      harness.set_sync_delay(victim, 1000);
      pause_for(draw.duration(1000, 2500));
      harness.set_sync_delay(victim, 0);
      return "slow disk";
    }
    default: {
      // Kills a majority and restarts it.
      std::vector<std::string> down{victim};
      while (down.size() <= voters.size() / 2) {
        auto& next = draw.pick(voters);
        if (!std::count(down.begin(), down.end(), next)) down.push_back(next);
      }
      for (auto& n : down) harness.kill(n);
      pause_for(draw.duration(500, 1500));
      for (auto& n : down) harness.start(n);
      return "majority killed";
    }
  }
}

// Waits, with all links healed and all nodes running, until they have the same applied index and a
// leader. Returns false on a time-out.
bool wait_until_converged(FaultHarness& harness) {
  return harness.wait_until(
      [&] {
        std::set<std::uint64_t> applied;
        for (auto& name : harness.all()) {
          if (harness.address(name).empty()) continue;
          auto s = harness.status(name);
          if (!s) return false;
          applied.insert(s->at("applied").get<std::uint64_t>());
        }
        return applied.size() == 1 && !harness.leader().empty();
      },
      kConvergenceTimeout);
}

}  // namespace

json run_group(const ExperimentOptions& options) {
  FaultHarnessOptions o;
  o.program = options.program;
  o.folder = options.folder;
  o.voters = options.processes > 0 ? options.processes : 5;
  o.seed = options.seed;
  o.group = {{"jobs", json::array()}};
  FaultHarness harness(o);
  RegisterClients clients(harness, options.seed);
  Sampler sampler(harness);
  RandomChoices draw{std::mt19937_64(options.seed)};
  std::vector<double> leaderless;
  std::uint64_t stuck = 0;
  clients.first_write_after(harness.history().now(), 10s);
  const int faults = options.script.empty() ? options.faults : static_cast<int>(options.script.size());
  for (int i = 0; i < faults; ++i) {
    auto leader = harness.leader();
    auto victim = !leader.empty() && draw.below(3) < 2 ? leader : draw.pick(harness.voters());
    auto at = harness.history().now();
    std::optional<Micros> next_write_at;
    std::thread watch([&] { next_write_at = clients.first_write_after(at + 1ms, 30s); });
    auto what = options.script.empty()
                    ? inject_fault(harness, draw, victim, false)
                    : run_fault(harness, options.script[static_cast<std::size_t>(i)], &victim);
    watch.join();
    // A lost majority or a slow disk lasts as long as the fault is applied, which does not measure an
    // election.
    bool counted = victim == leader && what != "majority killed" && what != "slow disk";
    double ms = next_write_at ? static_cast<double>((*next_write_at - at).count()) / 1000 : -1;
    if (!next_write_at) ++stuck;
    if (counted && next_write_at) leaderless.push_back(ms);
    harness.history().add(
        "fault over", {{"fault", what}, {"node", victim}, {"led", victim == leader}, {"until_write_ms", ms}});
    if (!harness.wait_until([&] { return !harness.leader().empty(); }, kConvergenceTimeout)) ++stuck;
  }
  clients.stop();
  bool agreed = wait_until_converged(harness);
  sampler.stop();
  clients.read_final_values();
  std::uint64_t elections = 0;
  for (auto& name : harness.voters())
    elections += count_occurrences(harness.log(name), "group: leader in term");
  if (!options.history.empty()) harness.history().write(options.history);
  auto row = to_json(check_history(harness.history().events()));
  row.update({{"seed", options.seed},
              {"processes", o.voters},
              {"faults", faults},
              {"agreed_at_end", agreed},
              {"elections", elections},
              {"stuck", stuck},
              {"leader_faults", leaderless.size()},
              {"leaderless_ms_p50", percentile_of(leaderless, 0.5)},
              {"leaderless_ms_p99", percentile_of(leaderless, 0.99)},
              {"leaderless_ms", leaderless}});
  return row;
}

json run_owner(const ExperimentOptions& options) {
  FaultHarnessOptions o;
  o.program = options.program;
  o.folder = options.folder;
  o.voters = 3;
  o.followers = std::max(1, (options.processes > 0 ? options.processes : 9) - o.voters);
  o.seed = options.seed;
  o.fake_servers.shard_groups = 3;
  o.fake_servers.seed = options.seed;
  FaultHarness harness(o);
  const std::vector<std::string> jobs{"list", "probe 1", "probe 2", "probe 3"};
  auto all_owned = [&] {
    auto lease_holders = harness.lease_holders();
    return std::all_of(jobs.begin(), jobs.end(), [&](auto& job) {
      return std::any_of(lease_holders.begin(), lease_holders.end(),
                         [&](auto& x) { return x.at("job") == job && x.value("owner", "") != ""; });
    });
  };
  if (!harness.wait_until(all_owned)) throw std::runtime_error("not all jobs got a lease holder in time");
  Sampler sampler(harness);
  std::vector<std::thread> loads;
  std::atomic<bool> stop{false};
  std::mutex mutex;
  LoadFigures sum;
  const auto proxies = harness.followers();
  for (std::size_t i = 0; i < proxies.size(); ++i)
    loads.emplace_back([&, i, port = harness.port(proxies[i])] {
      for (int n = 0; !stop; ++n) {
        LoadOptions l;
        l.target = *net::parse_address(fmt::format("127.0.0.1:{}", port));
        l.connections = 4;
        l.rate = 20;
        l.duration = 2s;
        l.warm_up = Micros(0);
        l.shard_groups = {1, 2, 3};
        l.seed = options.seed * 1000 + i * 100 + static_cast<std::uint64_t>(n);
        l.invariants = &harness.fake_servers().invariants();
        l.id_prefix = fmt::format("o{}-{}-", i, n);
        try {
          auto f = run_load(l);
          std::lock_guard lock(mutex);
          sum.add(f);
        } catch (const std::runtime_error&) {
          pause_for(50ms);
        }
      }
    });
  RandomChoices draw{std::mt19937_64(options.seed)};
  std::uint64_t not_reacquired = 0;
  std::vector<double> until_owned;
  double drain_ms = -1;
  const int faults = options.script.empty() ? options.faults : static_cast<int>(options.script.size());
  for (int i = 0; i < faults; ++i) {
    auto job = draw.pick(jobs);
    auto victim = harness.lease_holder(job);
    if (victim.empty() || !std::count(harness.voters().begin(), harness.voters().end(), victim))
      victim = draw.pick(harness.voters());
    auto what = options.script.empty()
                    ? inject_fault(harness, draw, victim, true)
                    : run_fault(harness, options.script[static_cast<std::size_t>(i)], &victim);
    auto at = net::monotonic_now();
    if (!harness.wait_until([&] { return !harness.leader().empty() && all_owned(); }, kConvergenceTimeout))
      ++not_reacquired;
    until_owned.push_back(static_cast<double>((net::monotonic_now() - at).count()) / 1000);
    harness.history().add("fault over", {{"fault", what}, {"node", victim}, {"job", job}});
    if (i % 10 == 9) {
      // Drains a server among the faults. No proxy may send to it more than 1 s after any proxy was notified
      // of the drain.
      auto set = 1 + draw.below(3);
      auto server = fmt::format("s{}-{}", set, 3);
      auto generation = [&] {
        std::int64_t least = INT64_MAX;
        for (auto& name : harness.voters())
          if (auto s = harness.status(name))
            least = std::min(least, s->value("list_generation", std::int64_t{0}));
        return least;
      };
      auto list = harness.fake_servers().members().at("generation").get<std::int64_t>();
      harness.fake_servers().control({{"do", "drain"}, {"server", server}});
      harness.history().add("drain", {{"server", server}});
      harness.wait_until([&] { return generation() > list; });
      pause_for(1500ms);
      for (auto& [name, ms] : harness.fake_servers().invariants().drain_last_send_ms())
        drain_ms = std::max(drain_ms, ms);
      harness.fake_servers().control({{"do", "up"}, {"server", server}});
      harness.wait_until([&] { return generation() > list + 1; });
    }
  }
  stop = true;
  for (auto& t : loads) t.join();
  bool agreed = wait_until_converged(harness);
  sampler.stop();
  std::uint64_t attempted = 0, elections = 0, moves = 0;
  for (auto& name : harness.voters()) {
    if (auto s = harness.status(name)) attempted += s->value("stale_effects", std::uint64_t{0});
    elections += count_occurrences(harness.log(name), "group: leader in term");
  }
  for (auto& name : harness.all()) attempted += count_occurrences(harness.log(name), "turned down");
  moves = count_occurrences(harness.log("n1"), "is granted to");
  auto report = harness.fake_servers().report();
  double seconds = static_cast<double>(harness.history().now().count()) / 1e6, probes = 0;
  for (auto& [id, s] : report.at("servers").items()) probes += s.at("probes").get<double>();
  if (!options.history.empty()) harness.history().write(options.history);
  json violations = report.at("breaches");
  auto verdict = check_history(harness.history().events());
  return {{"seed", options.seed},
          {"processes", harness.all().size()},
          {"faults", faults},
          {"asked", sum.attempts},
          {"served_share",
           sum.attempts ? static_cast<double>(sum.served) / static_cast<double>(sum.attempts) : 0},
          {"unanswered", sum.unanswered},
          {"samples", verdict.samples},
          {"owners_overlapping", verdict.owners_overlapping},
          {"two_leaders_in_a_term", verdict.two_leaders_in_a_term},
          {"stale_effects_attempted", attempted},
          {"stale_effects_accepted", verdict.stale_effects_accepted},
          {"elections", elections},
          {"grants_seen_by_n1", moves},
          {"not_owned_again", not_reacquired},
          {"until_owned_ms_p50", percentile_of(until_owned, 0.5)},
          {"until_owned_ms_p99", percentile_of(until_owned, 0.99)},
          {"agreed_at_end", agreed},
          {"list_calls", report.at("list_calls")},
          {"whole_list_calls", report.at("whole_list_calls")},
          {"probes_per_server_per_s", probes / static_cast<double>(report.at("servers").size()) / seconds},
          {"drain_last_send_ms", drain_ms},
          {"rule_breaches", harness.fake_servers().invariants().total()},
          {"breaches", violations}};
}

json run_savings(const ExperimentOptions& options) {
  json rows = json::array();
  int processes = options.processes > 0 ? options.processes : 100;
  for (bool grouped : {false, true}) {
    FaultHarnessOptions o;
    o.program = options.program;
    o.folder = fmt::format("{}/{}", options.folder, grouped ? "owned" : "alone");
    o.voters = 3;
    o.followers = processes - 3;
    o.grouped = grouped;
    o.seed = options.seed;
    o.fake_servers.shard_groups = 3;
    o.fake_servers.seed = options.seed;
    o.fake_servers.threads = 2;
    // Data servers that do not report whether a read was too old: only their positions show it, and probes
    // carry the positions.
    if (options.lag_ms > 0) {
      o.fake_servers.model.check_staleness = false;
      o.fake_servers.model.lag = Micros(options.lag_ms * 1000);
      o.settings = {{"FamilyInfo", {{"Behind", "off"}, {"Positions", false}}}};
    }
    FaultHarness harness(o);
    if (grouped && !harness.wait_until([&] { return harness.lease_holders().size() >= 4; }))
      throw std::runtime_error("not all jobs got a lease holder in time");
    pause_for(2s);
    auto before = harness.fake_servers().report();
    auto cpu = [&] {
      double seconds = 0;
      for (auto& name : harness.all()) seconds += harness.daemon(name)->usage().cpu_seconds;
      return seconds;
    };
    auto cpu_before = cpu();
    auto began = net::monotonic_now();
    LoadFigures sum;
    std::mutex mutex;
    // Applies a low load to all proxies at the same time.
    std::vector<std::thread> loads;
    auto names = harness.all();
    for (std::size_t i = 0; i < names.size(); ++i)
      loads.emplace_back([&, i] {
        LoadOptions l;
        l.target = *net::parse_address(fmt::format("127.0.0.1:{}", harness.port(names[i])));
        l.connections = 2;
        l.rate = options.rate;
        l.duration = Micros(static_cast<std::int64_t>(options.faults) * 1'000'000);  // seconds
        l.warm_up = Micros(0);
        l.shard_groups = {1, 2, 3};
        l.seed = options.seed * 1000 + i;
        l.invariants = &harness.fake_servers().invariants();
        l.id_prefix = fmt::format("s{}-", i);
        auto f = run_load(l);
        std::lock_guard lock(mutex);
        sum.add(f);
      });
    for (auto& t : loads) t.join();
    double seconds = static_cast<double>((net::monotonic_now() - began).count()) / 1e6;
    auto after = harness.fake_servers().report();
    auto cpu_after = cpu();
    double probes = 0, rss = 0;
    for (auto& [id, s] : after.at("servers").items())
      probes += s.at("probes").get<double>() - before.at("servers").at(id).at("probes").get<double>();
    for (auto& name : names) rss = std::max(rss, harness.daemon(name)->usage().rss_mb);
    rows.push_back(
        {{"mode", grouped ? "owned" : "alone"},
         {"seed", options.seed},
         {"processes", processes},
         {"lag_ms", options.lag_ms},
         {"rate_each", options.rate},
         {"seconds", seconds},
         {"asked", sum.attempts},
         {"served_share",
          sum.attempts ? static_cast<double>(sum.served) / static_cast<double>(sum.attempts) : 0},
         {"p50_ms", percentile(sum.overall_latency, 0.5) / 1000},
         {"p99_ms", percentile(sum.overall_latency, 0.99) / 1000},
         {"list_calls",
          after.at("list_calls").get<std::uint64_t>() - before.at("list_calls").get<std::uint64_t>()},
         {"whole_list_calls_from_start", after.at("whole_list_calls")},
         {"list_calls_from_start", after.at("list_calls")},
         {"probes", probes},
         {"probes_per_server_per_s", probes / static_cast<double>(after.at("servers").size()) / seconds},
         {"cpu_seconds_all", cpu_after - cpu_before},
         {"rss_mb_most", rss},
         {"rule_breaches", harness.fake_servers().invariants().total()}});
  }
  return rows;
}

json run_return(const ExperimentOptions& options) {
  FaultHarnessOptions o;
  o.program = options.program;
  o.folder = options.folder;
  o.voters = 3;
  o.followers = std::max(1, (options.processes > 0 ? options.processes : 303) - o.voters);
  o.seed = options.seed;
  FaultHarness harness(o);
  harness.wait_until([&] { return !harness.lease_holder("list").empty(); });
  auto leader = harness.leader();
  std::string behind;
  for (auto& name : harness.voters())
    if (name != leader) behind = name;
  auto since = [](Micros began) {
    return static_cast<double>((net::monotonic_now() - began).count()) / 1000;
  };
  auto calls = harness.fake_servers().report().at("list_calls").get<std::uint64_t>();
  for (auto& name : harness.followers()) harness.pause(name);
  harness.kill(behind);
  int entries = options.faults * 100;
  std::atomic<int> left{entries};
  std::atomic<std::uint64_t> refused{0};
  auto began = net::monotonic_now();
  std::vector<std::thread> writers;
  for (int w = 0; w < 64; ++w)
    writers.emplace_back([&, w] {
      try {
        app::FleetConnection connection(harness.address(leader), "lab", 10'000);
        while (left-- > 0)
          if (!connection
                   .send_request(
                       {{"do", "put"}, {"key", fmt::format("k{}", w)}, {"value", std::string(100, 'x')}})
                   .value("ok", false))
            ++refused;
      } catch (const std::runtime_error&) {
        ++refused;
      }
    });
  for (auto& t : writers) t.join();
  auto write_ms = since(began);
  auto applied = harness.status(leader, 5000)->at("applied").get<std::uint64_t>();
  began = net::monotonic_now();
  harness.start(behind);
  bool caught_up = harness.wait_until(
      [&] {
        auto s = harness.status(behind, 5000);
        return s && s->at("applied").get<std::uint64_t>() >= applied;
      },
      kConvergenceTimeout);
  auto caught_up_ms = since(began);
  began = net::monotonic_now();
  for (auto& name : harness.followers()) harness.resume(name);
  auto all_followers_connected = [&] {
    std::uint64_t count = 0;
    for (auto& name : harness.voters())
      if (auto s = harness.status(name, 5000)) count += s->at("followers").get<std::uint64_t>();
    return count == harness.followers().size();
  };
  bool all = harness.wait_until(all_followers_connected, kConvergenceTimeout);
  auto all_ms = since(began);
  auto s = harness.status(leader, 5000);
  return {
      {"seed", options.seed},
      {"processes", harness.all().size()},
      {"entries", entries},
      {"refused", refused.load()},
      {"writes_per_s", entries / write_ms * 1000},
      {"voter_caught_up", caught_up},
      {"voter_caught_up_ms", caught_up_ms},
      {"followers_back", all},
      {"followers_back_ms", all_ms},
      {"list_calls_meanwhile", harness.fake_servers().report().at("list_calls").get<std::uint64_t>() - calls},
      {"leader_held", harness.leader() == leader},
      {"term", s ? s->at("term").get<std::uint64_t>() : 0},
      {"leader_rss_mb", harness.daemon(leader)->usage().rss_mb}};
}

}  // namespace database_proxy::testbench::faults
