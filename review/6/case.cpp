// Clients that send much at once and go: does a write of theirs begin long after they have closed?
#include "../common-2/rig.h"

using namespace rig;

namespace {

constexpr double kGone = 100, kSlack = 50, kReadingDelay = 20;
constexpr int kRounds = 4;

// Bytes of Flush messages in front of the write and behind it.
struct Burst {
  std::size_t before, after;
};
constexpr Burst kBursts[] = {{400'000, 1'600'000}, {1'000'000, 1'400'000}};

std::string flush_messages(std::size_t bytes) {
  std::string text;
  while (text.size() < bytes) text += message('H', "");
  return text;
}

}  // namespace

int main() {
  Case run;
  std::mutex mutex;
  std::map<std::string, double> closed_at;
  std::vector<std::unique_ptr<DataServer>> servers;
  std::vector<Entry> entries;
  Discovery discovery;
  int after_close = 0, applied = 0;
  double latest = 0;
  for (int member = 0; member < 3; ++member) {
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
      {
        std::lock_guard lock(mutex);
        auto closed = closed_at.find(request.id);
        if (closed != closed_at.end()) {
          double since = request.arrived - closed->second;
          ++applied;
          if (since > kGone + kSlack + kReadingDelay) {
            ++after_close;
            RECORD("TOO LATE: %s runs the write %s, %.0f ms after its client has closed", of.id.c_str(),
                   request.id.c_str(), since);
          }
          if (run.has_trouble) latest = std::max(latest, since);
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
  discovery.set(entries);
  discovery.start();

  Proxy proxy;
  proxy.port = free_port();
  auto config = run.temporary + "/config.json";
  write_file(config, config_text("n1", proxy.port, discovery.port, discovery.known_list(), small_settings()));
  run.prepare(proxy, "n1", config, discovery.port);
  proxy.start(run.run, run.temporary + "/n1.log");
  if (!proxy.wait_until_ready(10000)) cannot_run("the proxy is not ready");

  // Usual clients, beside the others for the whole run.
  std::atomic<bool> is_over{false};
  std::atomic<int> served{0}, other{0};
  std::vector<std::thread> clients;
  for (int number = 0; number < 4; ++number)
    clients.emplace_back([&, number] {
      std::mt19937 random(static_cast<unsigned>(number) + 1);
      Client client;
      while (!is_over) {
        if (!client.is_connected() && !client.connect(proxy.port)) {
          sleep_ms(50);
          continue;
        }
        auto id = new_id(), key = new_id();
        bool is_write = random() % 4 == 0;
        auto result = client.ask(is_write ? write_statement(id, "charge-post", 3000, 1, key, new_id())
                                          : read_statement(id, "tariff-lookup", 900, 1, key),
                                 is_write ? 3600 : 1500);
        ++(result.kind == Client::Result::kServed ? served : other);
        sleep_ms(std::uniform_real_distribution<>(40, 160)(random));
      }
    });
  sleep_ms(1000);

  int sent = 0, answered = 0;
  for (int round = 0; round < kRounds; ++round)
    for (auto& burst : kBursts) {
      int fd = connect_to(proxy.port);
      std::string in;
      auto has_greeting = [&] { return in.find(ready()) != std::string::npos; };
      if (fd < 0 || !write_all(fd, startup()) || !read_until(fd, &in, mono_ms() + 2000, has_greeting))
        cannot_run("the proxy takes no connection");
      in.clear();
      sleep_ms(200);
      auto id = new_id();
      auto text = flush_messages(burst.before) +
                  query(write_statement(id, "charge-post", 4000, 1, new_id(), new_id())) +
                  flush_messages(burst.after);
      double began = mono_ms();
      {
        std::lock_guard lock(mutex);
        closed_at[id] = 1e18;  // it has not closed
      }
      // A client whose bytes are not taken goes as well.
      bool is_written = write_all(fd, text);
      ++sent;
      if (run.has_trouble) {
        std::lock_guard lock(mutex);
        closed_at[id] = mono_ms();
        close(fd);
        RECORD("a client has sent %zu bytes in %.0f ms, the write %s among them, and closed", text.size(),
               mono_ms() - began, id.c_str());
      } else {
        bool has_answer = is_written && read_until(fd, &in, mono_ms() + 5000, has_greeting);
        answered += has_answer;
        RECORD("a client has sent %zu bytes, the write %s among them, stays, and gets %s", text.size(),
               id.c_str(), has_answer ? "its answer" : "no answer");
        close(fd);
      }
      sleep_ms(2500);
    }
  is_over = true;
  for (auto& client : clients) client.join();
  bool has_ended = proxy.has_ended();
  char verdict[300];
  std::snprintf(verdict, sizeof verdict,
                "%d clients sent much at once%s; %d of their writes ran, %d of them began over %.0f ms + "
                "%.0f ms after the "
                "close (the latest: %.0f ms); %d were answered; usual clients: served %d, other %d",
                sent, run.has_trouble ? " and went" : " and stayed", applied, after_close, kGone, kSlack,
                latest, answered, served.load(), other.load());
  if (has_ended || served < 50) cannot_run(verdict);
  run.finish(proxy, after_close > 0, verdict);
}
