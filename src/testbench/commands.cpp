#include "testbench/commands.h"

#include <fmt/format.h>
#include <signal.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <stdexcept>

#include "net/socket.h"
#include "pg/message.h"
#include "testbench/cores.h"
#include "testbench/fake_servers.h"
#include "testbench/fault_injection/experiments.h"
#include "testbench/fault_injection/soak.h"
#include "testbench/load.h"
#include "testbench/process_under_test.h"
#include "testbench/report.h"
#include "testbench/simulation/commands.h"
#include "testbench/temporary_directory.h"

namespace database_proxy::testbench {
namespace {

namespace po = boost::program_options;
using nlohmann::json;
using Arguments = std::vector<std::string>;

json read_json(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error(path + " cannot be read");
  auto value = json::parse(file, nullptr, false, true);
  if (value.is_discarded()) throw std::runtime_error(path + " is not valid JSON");
  return value;
}

// Parses the options of one subcommand. Returns nullopt after printing the help text if that was requested.
std::optional<po::variables_map> parse(const Arguments& arguments, const po::options_description& options,
                                       const char* usage) {
  po::options_description all("Options");
  all.add(options).add_options()("help,h", "show this text");
  po::variables_map given;
  po::store(po::command_line_parser(arguments).options(all).run(), given);
  po::notify(given);
  if (!given.count("help")) return given;
  std::cout << "proxy-testbench " << usage << "\n\n" << all;
  return std::nullopt;
}

int run_fake_servers(const Arguments& arguments) {
  po::options_description o;
  o.add_options()("file,f", po::value<std::string>(),
                  "JSON file with the shard groups and their script (docs/lab.md)")(
      "write-config", po::value<std::string>(), "write a configuration for the proxy to this file")(
      "listen", po::value<std::string>()->default_value("127.0.0.1:6432"),
      "listening address in that configuration")("seconds", po::value<double>()->default_value(0),
                                                 "run time in seconds; 0: until SIGINT or SIGTERM");
  auto given = parse(arguments, o, "stand-in [options]: fake servers and discovery on loopback");
  if (!given) return 0;
  sigset_t set;
  sigemptyset(&set);
  for (int number : {SIGINT, SIGTERM}) sigaddset(&set, number);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);  // before any thread starts, so that all inherit the mask
  auto file = given->count("file") ? read_json((*given)["file"].as<std::string>()) : json::object();
  FakeServers fake_servers(FakeServersOptions::parse(file));
  if (given->count("write-config"))
    write_file_atomically((*given)["write-config"].as<std::string>(),
                          json({{"name", "lab"},
                                {"listen", (*given)["listen"].as<std::string>()},
                                {"discovery", fake_servers.discovery_address()},
                                {"seed", "1"},
                                {"limits", {{"sockets", 1024}, {"memory_mb", 256}}},
                                {"known", fake_servers.members()},
                                {"settings", testbench_settings()}})
                                  .dump(1) +
                              "\n");
  std::cout << fmt::format("discovery {}\nsteering {}\nservers {}\n", fake_servers.discovery_address(),
                           fake_servers.control_address(), fmt::join(fake_servers.servers(), " "))
            << std::flush;
  auto seconds = (*given)["seconds"].as<double>();
  if (seconds > 0) {
    timespec wait{static_cast<time_t>(seconds), static_cast<long>((seconds - std::floor(seconds)) * 1e9)};
    sigtimedwait(&set, nullptr, &wait);
  } else {
    int number = 0;
    sigwait(&set, &number);
  }
  std::cout << fake_servers.report().dump(1) << "\n";
  return fake_servers.invariants().total() == 0 ? 0 : 2;
}

// Sends one request and prints its answer as text, for manual checks and scripts.
int send_one_request(const Arguments& arguments) {
  po::options_description o;
  o.add_options()("target", po::value<std::string>()->default_value("127.0.0.1:6432"),
                  "address of the proxy")("class", po::value<std::string>()->default_value("browse"),
                                          "browse, own-view or book")(
      "set", po::value<int>()->default_value(1), "number of the shard group")(
      "name", po::value<std::string>()->default_value("k1"), "key of the row, also the name of the session")(
      "wait-ms", po::value<int>()->default_value(2000), "deadline of the request");
  auto given = parse(arguments, o, "ask [options]: sends one request and prints the answer");
  if (!given) return 0;
  auto& g = *given;
  auto address = net::parse_address(g["target"].as<std::string>());
  if (!address) throw std::runtime_error("invalid target address: '" + g["target"].as<std::string>() + "'");
  auto wait = std::clamp(g["wait-ms"].as<int>(), 1, 60000);
  net::Fd fd(socket(address->storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0));
  timeval timeout{wait / 1000 + 1, 0};
  setsockopt(fd.get(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  if (!fd || connect(fd.get(), reinterpret_cast<sockaddr*>(&address->storage), address->length) != 0)
    throw std::runtime_error("cannot connect to " + g["target"].as<std::string>());
  auto request_class = g["class"].as<std::string>();
  auto id = fmt::format("ask{}", net::monotonic_now().count());
  auto comment = fmt::format("/* id={},c={},d={}{},cluster={} */", id, request_class, wait,
                             request_class == "book" ? ",k=" + id : std::string(), g["set"].as<int>());
  auto name = g["name"].as<std::string>();
  auto sql = request_class == "book"
                 ? fmt::format("INSERT INTO kv (name, content) VALUES ('{}', '\\x9f03') RETURNING content {}",
                               name, comment)
                 : fmt::format("SELECT content FROM kv WHERE name = '{}' {}", name, comment);
  auto began = net::monotonic_now();
  auto out = pg::startup_message("backend", "store") + pg::simple_query(sql);
  if (send(fd.get(), out.data(), out.size(), MSG_NOSIGNAL) < 0)
    throw std::runtime_error("the connection broke");
  std::string in, outcome = "nothing";
  char chunk[4096];
  for (int ready = 0; ready < 2;) {  // the first ReadyForQuery ends the startup
    auto n = recv(fd.get(), chunk, sizeof chunk, 0);
    if (n <= 0) throw std::runtime_error("connection closed or timed out before a complete answer");
    in.append(chunk, static_cast<std::size_t>(n));
    pg::Frame frame;
    while (pg::parse_frame(in, 1 << 20, &frame) == pg::ParseStatus::kOk) {
      if (frame.type == 'D')
        outcome = fmt::format("served: {}", pg::parse_single_column(frame.body).value_or("?"));
      if (frame.type == 'E')
        if (auto fields = pg::parse_error(frame.body))
          outcome =
              fmt::format("error {}: {}{}", fields->code, fields->message,
                          fields->detail.empty() ? "" : fmt::format(" (retry after {} ms)", fields->detail));
      ready += frame.type == 'Z';
      in.erase(0, frame.size);
    }
  }
  std::cout << fmt::format("{}\n{}, {:.1f} ms\n", sql, outcome,
                           static_cast<double>((net::monotonic_now() - began).count()) / 1000);
  return outcome.starts_with("served") ? 0 : 2;
}

int run_load_command(const Arguments& arguments) {
  po::options_description o;
  o.add_options()("target", po::value<std::string>()->default_value("127.0.0.1:6432"),
                  "address of the proxy")("connections,c", po::value<int>()->default_value(32),
                                          "number of clients")(
      "depth", po::value<int>()->default_value(1), "maximum number of requests in flight per client")(
      "threads", po::value<int>()->default_value(1), "number of threads that run the clients")(
      "rate", po::value<double>()->default_value(0), "open loop: requests per second; 0: closed loop")(
      "seconds", po::value<double>()->default_value(5), "duration of the measurement")(
      "warm-up", po::value<double>()->default_value(0.5), "seconds of load before the measurement")(
      "sets", po::value<int>()->default_value(1), "requests go to shard groups 1 to N")(
      "own-view", po::value<double>()->default_value(0.2), "share of reads of a session's own writes")(
      "book", po::value<double>()->default_value(0.1), "share of writes")(
      "wait-ms", po::value<int>()->default_value(2000), "deadline that each request carries")(
      "seed", po::value<std::uint64_t>()->default_value(1), "seed of all random numbers")(
      "json", po::value<std::string>(), "write the figures to this file");
  auto given = parse(arguments, o, "load [options]: load from many clients of a proxy");
  if (!given) return 0;
  auto& g = *given;
  LoadOptions options;
  auto address = net::parse_address(g["target"].as<std::string>());
  if (!address) throw std::runtime_error("invalid target address: '" + g["target"].as<std::string>() + "'");
  options.target = *address;
  options.connections = std::clamp(g["connections"].as<int>(), 1, 20000);
  options.depth = std::clamp(g["depth"].as<int>(), 1, 32);
  options.threads = std::clamp(g["threads"].as<int>(), 1, 64);
  options.rate = std::clamp(g["rate"].as<double>(), 0.0, 1e6);
  options.duration =
      Micros(static_cast<std::int64_t>(std::clamp(g["seconds"].as<double>(), 0.01, 3600.0) * 1e6));
  options.warm_up = Micros(static_cast<std::int64_t>(std::clamp(g["warm-up"].as<double>(), 0.0, 60.0) * 1e6));
  options.own_view_share = g["own-view"].as<double>();
  options.book_share = g["book"].as<double>();
  options.deadline_ms = std::clamp(g["wait-ms"].as<int>(), 1, 60000);
  options.seed = g["seed"].as<std::uint64_t>();
  options.shard_groups.clear();
  for (int i = 1; i <= std::clamp(g["sets"].as<int>(), 1, 1000); ++i) options.shard_groups.push_back(i);
  InvariantChecker invariants;
  options.invariants = &invariants;
  auto f = run_load(options);
  json result = {{"asked", f.attempts},
                 {"served", f.served},
                 {"refused", f.rejected},
                 {"failed", f.failed},
                 {"retries", f.retries},
                 {"unanswered", f.unanswered},
                 {"broken_connections", f.broken_connections},
                 {"rps", f.seconds > 0 ? static_cast<double>(f.served) / f.seconds : 0},
                 {"p50_ms", percentile(f.overall_latency, 0.5) / 1000},
                 {"p99_ms", percentile(f.overall_latency, 0.99) / 1000},
                 {"p999_ms", percentile(f.overall_latency, 0.999) / 1000},
                 {"rule_breaches", invariants.total()}};
  for (auto& [name, h] : f.latency)
    result["by_class"][name] = {{"p50_ms", percentile(h, 0.5) / 1000},
                                {"p99_ms", percentile(h, 0.99) / 1000}};
  std::cout << result.dump(1) << "\n";
  if (g.count("json")) write_file_atomically(g["json"].as<std::string>(), result.dump(1) + "\n");
  return invariants.total() == 0 && f.served > 0 ? 0 : 2;
}

std::vector<int> parse_numbers(const std::string& text) {
  std::vector<int> all;
  std::stringstream in(text);
  for (std::string part; std::getline(in, part, ',');) all.push_back(std::stoi(part));
  return all;
}

int run_cores_command(const Arguments& arguments) {
  po::options_description o;
  o.add_options()("program", po::value<std::string>()->default_value(daemon_path()), "path of the proxy")(
      "baseline", po::value<std::string>()->default_value(""),
      "an earlier build, measured in the same rounds")("quick", "one short round; takes less than 50 s")(
      "rounds", po::value<int>()->default_value(5), "rounds")(
      "seconds", po::value<double>()->default_value(3), "duration of each measurement")(
      "rate", po::value<double>()->default_value(5000), "open loop: requests per second for each worker")(
      "workers", po::value<std::string>()->default_value("1,2,4"), "numbers of workers to measure")(
      "cpus", po::value<std::string>()->default_value(""), "CPUs to use, such as 0,1,2,3; default: all")(
      "connections", po::value<int>()->default_value(64), "clients")(
      "depth", po::value<int>()->default_value(16), "maximum number of requests in flight per client")(
      "seed", po::value<std::uint64_t>()->default_value(1), "seed of all random numbers")(
      "json", po::value<std::string>(), "write the list of rows to this file")(
      "folder", po::value<std::string>(), "write JSON, table and charts into this folder");
  auto given = parse(arguments, o,
                     "cores [options]: compares one worker with several, with shared and split decisions");
  if (!given) return 0;
  auto& g = *given;
  TemporaryDirectory scratch;
  CoresOptions options;
  options.program = g["program"].as<std::string>();
  options.baseline = g["baseline"].as<std::string>();
  options.folder = scratch.path();
  options.rounds = std::clamp(g["rounds"].as<int>(), 1, 100);
  options.seconds = std::clamp(g["seconds"].as<double>(), 0.5, 60.0);
  options.rate_per_worker = std::clamp(g["rate"].as<double>(), 10.0, 1e5);
  options.workers = parse_numbers(g["workers"].as<std::string>());
  if (options.workers.empty() || *std::min_element(options.workers.begin(), options.workers.end()) < 1 ||
      *std::max_element(options.workers.begin(), options.workers.end()) > 64)
    throw std::runtime_error("workers must be numbers from 1 to 64");
  if (!std::count(options.workers.begin(), options.workers.end(), 1))
    options.workers.insert(options.workers.begin(), 1);
  options.cpus = parse_numbers(g["cpus"].as<std::string>());
  options.connections = std::clamp(g["connections"].as<int>(), 1, 5000);
  options.depth = std::clamp(g["depth"].as<int>(), 1, 32);
  options.seed = g["seed"].as<std::uint64_t>();
  if (g.count("quick")) {
    if (g["rounds"].defaulted()) options.rounds = 1;
    if (g["seconds"].defaulted()) options.seconds = 1.2;
    options.warm_up = 0.4;
  }
  auto result = run_cores(options);
  if (g.count("json")) write_file_atomically(g["json"].as<std::string>(), result.at("rows").dump(1) + "\n");
  if (g.count("folder")) {
    std::string command = "proxy-testbench cores";
    for (auto& a : arguments) command += " " + a;
    std::filesystem::create_directories(g["folder"].as<std::string>());
    write_cores_report(result, g["folder"].as<std::string>(), command);
  }
  std::uint64_t violations = 0;
  for (auto& row : result.at("rows")) violations += row.at("rule_breaches").get<std::uint64_t>();
  std::cout << result.at("rows").dump(1) << "\n" << result.at("ratios").dump(1) << "\n";
  return violations == 0 ? 0 : 2;
}

}  // namespace

int run_command_line(int argc, char** argv) try {
  signal(SIGPIPE, SIG_IGN);
  // The test harness must not distort what is measured over loopback: reno sends at once, bbr would pace.
  net::set_congestion_control("reno");
  struct Command {
    std::function<int(const Arguments&)> run;
    const char* description;
  };
  const std::map<std::string, Command> commands{
      {"stand-in",
       {run_fake_servers, "fake servers and discovery on loopback, controlled by a script or at run time"}},
      {"ask", {send_one_request, "sends one request and prints the answer"}},
      {"cores", {run_cores_command, "experiment: one worker and several, with shared and split decisions"}},
      {"simulate",
       {simulation::run, "consensus groups in simulated time, or a small model of them explored completely"}},
      {"faults", {faults::run, "many proxy processes with faults between them"}},
      {"soak", {run_soak, "in-place upgrades of many processes under overlapping faults"}},
      {"load", {run_load_command, "load from many clients of a proxy, open or closed loop"}}};
  std::string name = argc > 1 ? argv[1] : "help";
  if (name == "help" || name == "--help" || name == "-h") {
    std::cout << "proxy-testbench COMMAND [options]; each takes --help\n\n";
    for (auto& [command, c] : commands) std::cout << fmt::format("  {:10} {}\n", command, c.description);
    return 0;
  }
  auto command = commands.find(name);
  if (command == commands.end())
    throw std::runtime_error("unknown command '" + name + "'; see proxy-testbench help");
  return command->second.run(Arguments(argv + 2, argv + argc));
} catch (const std::exception& e) {
  std::string line = e.what();
  std::replace(line.begin(), line.end(), '\n', ' ');
  std::cerr << "proxy-testbench: " << line << "\n";
  return 1;
}

}  // namespace database_proxy::testbench
