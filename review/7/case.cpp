// Long values: a data server gives a value of 1 MiB, or takes 3 s to give one of 128 KiB. Does the client get
// it?
#include "../common-2/rig.h"

using namespace rig;

namespace {

constexpr int kRequests = 8;
// The two kinds of answers; without the disruption, values of 48 KiB that come at once.
struct Kind {
  const char* name;
  std::size_t size;
  int pieces;
  double over_ms;
};

// What the servers saw: how much of its answer each got rid of.
struct Given {
  bool is_cut_off = false;
  double first_byte = 0, last_byte = 0;
  std::size_t given = 0, size = 0;
};

std::string settings() {
  // Deadlines of 5 s: long enough for each value as its server gives it.
  auto text = small_settings();
  for (std::string from : {"\"DeadlineMs\":1000", "\"DeadlineMs\":800"})
    for (std::size_t at; (at = text.find(from)) != std::string::npos;)
      text.replace(at, from.size(), "\"DeadlineMs\":5000");
  return text;
}

}  // namespace

int main() {
  Case run;
  const Kind kinds[] = {
      run.has_trouble ? Kind{"1 MiB over 0.5 s", 1 << 20, 16, 500} : Kind{"48 KiB at once", 48 << 10, 1, 0},
      run.has_trouble ? Kind{"128 KiB over 3 s", 128 << 10, 64, 3000}
                      : Kind{"48 KiB at once", 48 << 10, 1, 0}};
  std::mutex mutex;
  std::map<std::string, Kind> asked;
  std::map<std::string, std::vector<Given>> given;
  std::vector<std::unique_ptr<DataServer>> servers;
  std::vector<Entry> entries;
  Discovery discovery;
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
    server->give = [&](DataServer& of, const Request& request, int fd) {
      Kind kind;
      {
        std::lock_guard lock(mutex);
        kind = asked.at(request.id);
      }
      auto bytes = row(std::string(kind.size, 'v'), "SELECT 1") + of.parameters() + ready();
      Given result;
      result.size = bytes.size();
      sleep_ms(20);
      result.first_byte = mono_ms();
      std::size_t step = bytes.size() / static_cast<std::size_t>(kind.pieces) + 1;
      for (std::size_t at = 0; at < bytes.size(); at += step) {
        if (!write_all(fd, std::string_view(bytes).substr(at, step)) || has_been_closed(fd)) {
          result.is_cut_off = at + step < bytes.size();
          break;
        }
        result.given = std::min(bytes.size(), at + step);
        if (result.given < bytes.size()) sleep_ms(kind.over_ms / kind.pieces);
      }
      result.last_byte = mono_ms();
      RECORD("server %s gave %zu of %zu bytes for %s in %.0f ms%s", of.id.c_str(), result.given, result.size,
             request.id.c_str(), result.last_byte - result.first_byte,
             result.is_cut_off ? ": CUT OFF by the proxy" : "");
      std::lock_guard lock(mutex);
      given[request.id].push_back(result);
      return !result.is_cut_off;
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
  write_file(config, config_text("n1", proxy.port, discovery.port, discovery.known_list(), settings()));
  run.prepare(proxy, "n1", config, discovery.port);
  proxy.start(run.run, run.temporary + "/n1.log");
  if (!proxy.wait_until_ready(10000)) cannot_run("the proxy is not ready");
  sleep_ms(500);

  int served = 0, cut_off = 0, held_back = 0, other = 0;
  for (int number = 0; number < kRequests; ++number) {
    auto& kind = kinds[number % 2];
    auto id = new_id();
    {
      std::lock_guard lock(mutex);
      asked[id] = kind;
    }
    Client client;
    if (!client.connect(proxy.port)) cannot_run("the proxy takes no connection");
    auto result = client.ask(read_statement(id, "tariff-lookup", 4900, 1, new_id()), 5500);
    sleep_ms(100);
    std::lock_guard lock(mutex);
    bool was_cut_off = false;
    double first_given = 0;
    for (auto& one : given[id]) {
      was_cut_off |= one.is_cut_off;
      if (first_given == 0) first_given = one.first_byte;
    }
    bool is_whole = result.kind == Client::Result::kServed && result.value.size() == kind.size;
    // The rest was held back: a server had begun to give more than 2 s before the client's first byte of the
    // value.
    bool was_held_back = is_whole && client.value_began_at() - first_given > 2050 + 20;
    served += is_whole;
    cut_off += was_cut_off && !is_whole;
    held_back += was_held_back;
    other += !is_whole && !was_cut_off;
    RECORD("%s: %s, %zu bytes of the value, %s%s", kind.name, Client::name_of(result.kind),
           result.value.size(),
           was_cut_off && !is_whole ? "LOST: cut off while its server was giving it" : "",
           was_held_back ? "LOST: held back for more than 2 s" : "");
  }
  bool has_ended = proxy.has_ended();
  char verdict[300];
  std::snprintf(verdict, sizeof verdict,
                "of %d values %d came whole, %d of them held back for more than 2 s; %d were cut off while a "
                "data server "
                "was giving them; %d ended otherwise",
                kRequests, served, held_back, cut_off, other);
  if (has_ended) cannot_run(verdict);
  run.finish(proxy, cut_off > 0 || held_back > 0, verdict);
}
