// A new configuration moves discovery to an address that answers slowly; a data server drains there. Does new
// work to it stop?
#include "../common-2/rig.h"

using namespace rig;

namespace {

constexpr double kSlowAnswer = 1500;  // of the new address, from a call to its answer
constexpr double kToldAfter = 4000;   // SIGHUP: what discovery has to tell counts as told
constexpr double kGrace = 1000, kSlack = 50, kReadingDelay = 20;
constexpr double kSighupAt = 4000, kDrainAfter = 1000, kRunAfter = 14000;

}  // namespace

int main() {
  Case run;
  std::vector<std::unique_ptr<DataServer>> servers;
  Discovery old_discovery, new_discovery;
  old_discovery.name = "the old discovery";
  new_discovery.name = "the new discovery";
  if (run.has_trouble) new_discovery.answer_delay_ms = kSlowAnswer;
  std::vector<Entry> entries;
  std::atomic<double> sighup_at{1e18};
  std::atomic<std::uint64_t> before{0}, in_grace{0}, too_late{0};
  std::atomic<double> last{0};
  for (int member = 0; member < 4; ++member) {
    auto server = std::make_unique<DataServer>();
    server->id = "s-" + std::to_string(member);
    server->is_primary = member == 0;
    auto* raw = server.get();
    server->report = [raw] {
      char text[120];
      std::snprintf(text, sizeof text, "x0=%.3f,x1=%d,queue=0,inflight=%d", std::floor(unix_ms() - 20) / 1000,
                    raw->is_primary ? 1 : 0, raw->in_flight.load());
      return std::string(text);
    };
    server->handle = [&](DataServer& of, const Request& request) -> DataServer::Answer {
      if (request.is_write && !of.is_primary) return {error("25006", "not the primary")};
      if (of.id == "s-1") {
        double since = request.arrived - sighup_at;
        if (since < kDrainAfter) {
          ++before;
        } else if (since <= kToldAfter + kGrace + kSlack + kReadingDelay) {
          ++in_grace;
        } else {
          if (++too_late <= 50 || too_late % 50 == 0)
            RECORD("TOO LATE: s-1, which drains, gets request %s %.0f ms after SIGHUP", request.id.c_str(),
                   since);
          last = since;
        }
      }
      sleep_ms(25);
      auto extra = request.is_write ? of.parameters(std::ceil(unix_ms())) : of.parameters();
      return {row("\x9f\x03", request.is_write ? "INSERT 0 1" : "SELECT 1") + extra + ready(), true};
    };
    server->start();
    entries.push_back({server->id, server->zone, "up", "std-3c", server->port, 1, 0});
    servers.push_back(std::move(server));
  }
  old_discovery.set(entries);
  new_discovery.set(entries);
  old_discovery.start();
  new_discovery.start();

  Proxy proxy;
  proxy.port = free_port();
  auto config = run.temporary + "/config.json";
  auto known = old_discovery.known_list();
  write_file(config, config_text("n1", proxy.port, old_discovery.port, known, small_settings()));
  run.prepare(proxy, "n1", config, old_discovery.port);
  proxy.start(run.run, run.temporary + "/n1.log");
  if (!proxy.wait_until_ready(10000)) cannot_run("the proxy is not ready");

  std::atomic<bool> is_over{false};
  std::atomic<std::uint64_t> served{0}, other{0};
  std::vector<std::thread> clients;
  for (int number = 0; number < 12; ++number)
    clients.emplace_back([&, number] {
      std::mt19937 random(static_cast<unsigned>(number) + 1);
      Client client;
      while (!is_over) {
        if (!client.is_connected() && !client.connect(proxy.port)) {
          sleep_ms(50);
          continue;
        }
        auto id = new_id(), key = new_id();
        bool is_write = random() % 7 == 0;
        auto result = client.ask(is_write ? write_statement(id, "charge-post", 3000, 1, key, new_id())
                                          : read_statement(id, "tariff-lookup", 900, 1, key),
                                 is_write ? 3200 : 1100);
        ++(result.kind == Client::Result::kServed ? served : other);
        sleep_ms(std::uniform_real_distribution<>(40, 160)(random));
      }
    });

  sleep_ms(kSighupAt);
  if (before == 0) cannot_run("s-1 was not used before");
  write_file(config, config_text("n1", proxy.port, new_discovery.port, known, small_settings()));
  old_discovery.stop_listening();
  sighup_at = mono_ms();
  kill(proxy.pid, SIGHUP);
  RECORD("SIGHUP: discovery is now the new address; the old one takes no new connection");
  sleep_ms(kDrainAfter);
  new_discovery.change("s-1", "draining");
  sleep_ms(500);
  old_discovery.close_open();
  RECORD("the old discovery has closed its connections");
  while (mono_ms() - sighup_at < kRunAfter && !proxy.has_ended()) sleep_ms(50);
  bool has_ended = proxy.has_ended();
  is_over = true;
  for (auto& client : clients) client.join();
  char verdict[400];
  std::snprintf(
      verdict, sizeof verdict,
      "s-1 got %llu requests before it drained, %llu until %.0f ms after SIGHUP, %llu later (the last one "
      "%.0f ms after it); the new discovery had %d calls and wrote %d answers; served %llu, other %llu",
      static_cast<unsigned long long>(before), static_cast<unsigned long long>(in_grace),
      kToldAfter + kGrace + kSlack, static_cast<unsigned long long>(too_late), last.load(),
      new_discovery.calls.load(), new_discovery.answers.load(), static_cast<unsigned long long>(served),
      static_cast<unsigned long long>(other));
  if (has_ended || served < 100) cannot_run(verdict);
  run.finish(proxy, too_late > 0, verdict);
}
