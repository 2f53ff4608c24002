// Bounded reads whose connection comes up late, while replicas lag: is their data too old when they are sent?
#include "../common-2/rig.h"

using namespace rig;

namespace {

constexpr double kBound = 3000, kSlack = 50, kReadingDelay = 20;
constexpr int kSets = 3, kReplicas = 2;
constexpr double kLagFrom = 4000, kLagFor = 12000, kPeriod = 26000;  // the slow time is 8.8 to 20 s long
constexpr double kRun = 80000;

// Whether replicas apply the log slowly at this time of the run.
bool is_slow_time(double at) {
  if (at < kLagFrom) return false;
  return std::fmod(at - kLagFrom, kPeriod) < kLagFor;
}

// What a replica has applied. It gets the log after 8 ms; its one thread is busy half of the time, so it
// catches up by two seconds a second, and by a tenth of one while it is 20 times slower.
class Log {
 public:
  double position(double unix_now, double run_now, bool may_lag) {
    std::lock_guard lock(mutex_);
    if (at_ == 0) {
      at_ = run_now;
      position_ = unix_now - 8;
    }
    while (at_ < run_now) {
      double step = std::min(1.0, run_now - at_);
      at_ += step;
      double speed = may_lag && is_slow_time(at_) ? 0.1 : 2;
      position_ = std::min(position_ + speed * step, unix_now - (run_now - at_) - 8);
    }
    return position_;
  }

 private:
  std::mutex mutex_;
  double at_ = 0, position_ = 0;
};

}  // namespace

int main() {
  Case run;
  std::vector<std::unique_ptr<DataServer>> servers;
  std::map<std::string, std::unique_ptr<Log>> logs;
  std::atomic<std::uint64_t> bounded{0}, stale{0}, late_connections{0}, connections{0};
  std::atomic<double> worst{0};
  double begin = mono_ms();
  Discovery discovery;
  std::vector<Entry> entries;
  for (int set = 1; set <= kSets; ++set)
    for (int member = 0; member <= kReplicas; ++member) {
      auto server = std::make_unique<DataServer>();
      server->id = "s-" + std::to_string(set) + std::to_string(member);
      server->cell = set;
      server->is_primary = member == 0;
      auto& log = *(logs[server->id] = std::make_unique<Log>());
      auto position = [&log, &run, begin](DataServer& of) {
        double now = unix_ms();
        return of.is_primary ? now : log.position(now, mono_ms() - begin, run.has_trouble);
      };
      // A report is made every 100 ms, and told up to 100 ms late.
      auto report_mutex = std::make_shared<std::mutex>();
      auto report_text = std::make_shared<std::string>();
      auto report_at = std::make_shared<double>(-1e9);
      auto* raw = server.get();
      server->report = [=] {
        std::lock_guard lock(*report_mutex);
        if (mono_ms() - *report_at >= 100) {
          *report_at = mono_ms();
          char text[120];
          std::snprintf(text, sizeof text, "x0=%.3f,x1=%d,queue=0,inflight=%d", std::floor(position(*raw)) / 1000,
                        raw->is_primary ? 1 : 0, raw->in_flight.load());
          *report_text = text;
        }
        return *report_text;
      };
      server->handle = [&, position](DataServer& of, const Request& request) -> DataServer::Answer {
        if (request.is_write && !of.is_primary) return {error("25006", "not the primary")};
        if (request.request_class == "usage-view") {
          double age = request.arrived_unix - position(of);
          ++bounded;
          bool is_stale = age > kBound + kSlack + kReadingDelay;
          if (is_stale) ++stale;
          if (age > worst) worst = age;
          if (age > kBound - 300 || bounded % 200 == 1)
            RECORD("%s server %s (%s): read %s, its data is %.0f ms old when its last byte is here",
                   is_stale ? "STALE:" : "ok:", of.id.c_str(), of.is_primary ? "primary" : "replica",
                   request.id.c_str(), age);
        }
        sleep_ms(25);
        auto extra = request.is_write ? of.parameters(std::ceil(unix_ms())) : of.parameters();
        return {row("\x9f\x03", request.is_write ? "INSERT 0 1" : "SELECT 1") + extra + ready(), true};
      };
      if (run.has_trouble) {
        // A third of the connections come up 220 ms late, and idle ones are closed early.
        server->idle_close_ms = 60;
        server->handshake_delay_ms = [&] {
          if (++connections % 3 != 0) return 0.0;
          ++late_connections;
          return 220.0;
        };
      }
      server->start();
      entries.push_back({server->id, server->zone, "up", "std-3c", server->port, set, 0});
      servers.push_back(std::move(server));
    }
  discovery.set(entries);
  discovery.start();

  Proxy proxy;
  proxy.port = free_port();
  auto config = run.temporary + "/config.json";
  write_file(config, config_text("n1", proxy.port, discovery.port, discovery.known_list(), small_settings()));
  run.prepare(proxy, "n1", config, discovery.port);
  proxy.start(run.run, run.temporary + "/n1.log");
  if (!proxy.wait_until_ready(10000)) cannot_run("the proxy is not ready");

  std::atomic<bool> is_over{false};
  std::atomic<std::uint64_t> served{0}, refused{0}, failed{0}, other{0};
  std::vector<std::thread> clients;
  for (int number = 0; number < 24; ++number)
    clients.emplace_back([&, number] {
      std::mt19937 random(static_cast<unsigned>(number) + 1);
      Client client;
      while (!is_over) {
        if (!client.is_connected() && !client.connect(proxy.port)) {
          sleep_ms(50);
          continue;
        }
        int set = 1 + number % kSets;
        auto id = new_id(), key = new_id();
        bool is_write = random() % 7 == 0;
        auto text = is_write ? write_statement(id, "charge-post", 3000, set, key, new_id())
                             : read_statement(id, "usage-view", 900, set, key);
        auto result = client.ask(text, is_write ? 3200 : 1100);
        auto& count = result.kind == Client::Result::kServed    ? served
                      : result.kind == Client::Result::kRefused ? refused
                      : result.kind == Client::Result::kFailed  ? failed
                                                                : other;
        ++count;
        sleep_ms(std::uniform_real_distribution<>(40, 160)(random));
      }
    });
  while (mono_ms() - begin < kRun && !proxy.has_ended()) sleep_ms(100);
  is_over = true;
  for (auto& client : clients) client.join();
  bool has_ended = proxy.has_ended();
  char verdict[400];
  std::snprintf(verdict, sizeof verdict,
                "%llu bounded reads were sent, %llu with data older than %.0f ms + %.0f ms (the oldest: %.0f ms); "
                "%llu of %llu connections came up late; served %llu, refused %llu, failed %llu, other %llu",
                static_cast<unsigned long long>(bounded), static_cast<unsigned long long>(stale), kBound, kSlack,
                worst.load(), static_cast<unsigned long long>(late_connections),
                static_cast<unsigned long long>(connections), static_cast<unsigned long long>(served),
                static_cast<unsigned long long>(refused), static_cast<unsigned long long>(failed),
                static_cast<unsigned long long>(other));
  if (has_ended || served < 500) cannot_run(verdict);
  run.finish(proxy, stale > 0, verdict);
}
