#include "app/commands.h"

#include <fmt/format.h>
#include <signal.h>
#include <sys/resource.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <stdexcept>
#include <system_error>

#include "app/config.h"
#include "app/fleet.h"
#include "app/group_runner.h"
#include "app/logger.h"
#include "app/operations.h"
#include "app/operator_file.h"
#include "app/signals.h"
#include "app/start_retry.h"
#include "handover/process_identity.h"
#include "net/socket.h"
#include "net/system_errors.h"
#include "proxy/proxy.h"
#include "workers/worker_pool.h"

namespace database_proxy::app {
namespace {

namespace po = boost::program_options;

constexpr const char* kVersion = "0.4.0";

// The platform ends a process so long after SIGTERM: the longest deadline, counted as 3 s where it is longer,
// and the grace.
constexpr net::Micros kLongestCountedDeadline = std::chrono::seconds(3);
constexpr net::Micros kShutdownGrace = std::chrono::milliseconds(700);

// As many descriptors as the configuration allows, where the system lets us have them.
std::size_t descriptor_limit(std::size_t wanted) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return wanted;
  limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, wanted);
  setrlimit(RLIMIT_NOFILE, &limit);
  getrlimit(RLIMIT_NOFILE, &limit);
  return std::min<std::size_t>(limit.rlim_cur, wanted);
}

proxy::ProxyOptions options_of(const Config& config, const OperatorFile& own) {
  proxy::ProxyOptions options;
  options.logs_decisions = own.log.least == net::Level::kDebug;
  options.listen = config.listen;
  options.discovery = config.discovery;
  options.descriptors = descriptor_limit(config.sockets);
  options.memory = config.memory;
  options.pool = config.pool;
  options.known = config.known;
  options.drain_grace = config.settings.drain_grace;
  net::Micros longest_deadline{0};
  for (auto& request_class : config.settings.classes)
    longest_deadline = std::max(longest_deadline, request_class.deadline);
  options.shutdown_limit = std::min(longest_deadline, kLongestCountedDeadline) + kShutdownGrace;
  options.schedule =
      discovery::PollingSchedule(config.settings.routers, config.settings.poll_discovery, config.seed);
  return options;
}

// Where the program reads what it is told, and what of that is in force.
struct Told {
  std::string config_path, operator_path;  // operator_path: empty where none was given
  StartEnvironment environment;
  Config config;
  OperatorFile own;

  void read() {
    config = read_config(config_path);
    if (!operator_path.empty()) own = read_operator_file(operator_path);
    // Two processes that start from one configuration must not draw the same numbers.
    if (environment.inherited_listener >= 0) config.seed ^= seed_of_process();
  }

 private:
  static std::uint64_t seed_of_process() {
    constexpr std::uint64_t kMixer = 0x9e3779b97f4a7c15u;
    auto process = handover::ProcessIdentity::own();
    return (process.start_ticks * kMixer + static_cast<std::uint64_t>(process.pid)) * kMixer;
  }
};

// A file that cannot be read for the moment is read again so often after SIGHUP, which has to count in 4 s.
constexpr int kReloadAttempts = 30;
constexpr net::Micros kReloadRetry = std::chrono::milliseconds(100);

using ApplyReload = std::function<void(const proxy::ProxyOptions&, const OperatorFile&)>;

// SIGHUP: reads the files again. A bad one changes nothing, and one line says so.
void reload(net::Loop& loop, const Told& running, Logger& logger, const net::Log& log,
            const ApplyReload& apply, int attempts = kReloadAttempts) try {
  auto told = running;
  told.read();
  logger.configure(told.own.log);
  apply(options_of(told.config, told.own), told.own);
  bool restart = told.config.listen != running.config.listen ||
                 told.config.settings_text != running.config.settings_text;
  log(net::Level::kInfo,
      fmt::format("configuration read again: discovery {}, {} descriptors{}", told.config.discovery,
                  told.config.sockets, restart ? "; listen or settings differ, which needs a restart" : ""));
  if (auto keys = needs_restart(running.own, told.own); !keys.empty())
    log(net::Level::kWarning, fmt::format("{}: differs in the operator's file, which needs a restart", keys));
} catch (const UnreadableFile& e) {
  bool is_first = attempts == kReloadAttempts, is_tried_again = net::is_transient(e.error) && attempts > 1;
  if (is_first || !is_tried_again)
    log(net::Level::kError, fmt::format("the configuration in force stays: {}{}", e.what(),
                                        is_tried_again ? "; trying again" : ""));
  if (!is_tried_again) return;
  loop.at(loop.now() + kReloadRetry, [&loop, &running, &logger, log, apply, attempts] {
    reload(loop, running, logger, log, apply, attempts - 1);
  });
} catch (const ConfigError& e) {
  log(net::Level::kError, fmt::format("the configuration in force stays: {}", e.what()));
}

std::string listens(const Config& config, int port, std::size_t descriptors) {
  return fmt::format("linenwinch {} listens on {}:{}, {} servers known, {} descriptors", kVersion,
                     config.listen.substr(0, config.listen.rfind(':')), port, config.known.endpoints.size(),
                     descriptors);
}

// One proxy, or a pool of workers, as operators see it; it must outlive what is returned.
template <class Serving>
Operations::Process operators_view_of(Serving& serving) {
  Operations::Process process;
  process.unhealthy_reason = [&serving] { return serving.unhealthy_reason(); };
  process.apply_change = [&serving](discovery::EndpointListUpdate change) {
    serving.apply_change(std::move(change));
  };
  process.descriptors_held = [&serving] { return serving.descriptors_held(); };
  process.share_limits_with = [&serving](const proxy::OtherProcessesUsage& others) {
    serving.share_limits_with(others);
  };
  process.hand_over = [&serving] { serving.shut_down(proxy::ShutdownMode::kSuccessorServes); };
  process.set_waiting_for_others = [&serving](bool is_waiting) {
    serving.set_waiting_for_others(is_waiting);
  };
  process.cancel = [&serving](std::uint32_t number, std::uint32_t secret) { serving.cancel(number, secret); };
  return process;
}

int serve_with_workers(const Told& told, Logger& logger, const net::Log& log, bool* has_started) {
  auto& own = told.own.workers;
  workers::WorkerPoolConfig config{told.config.settings, told.config.seed, options_of(told.config, told.own),
                                   own};
  net::Loop control;
  Operations operations(control, told.config, told.environment, log);
  operations.prepare(&config.proxy);
  if (config.proxy.inherited_listener >= 0 && config.options.accept == workers::Accept::kReusePort) {
    log(net::Level::kWarning, "the listening socket is inherited: one thread accepts all clients");
    config.options.accept = workers::Accept::kBalanced;
  }
  workers::WorkerPool group(control, config, [&](const std::string& tag) { return logger.sink(tag); });
  Signals signals(
      control, [&] { group.shut_down(operations.on_shutdown()); },
      [&] {
        reload(control, told, logger, log, [&](auto& options, auto& file) {
          group.reconfigure(options, file.workers.connections_per_server);
        });
      });
  log(net::Level::kInfo, listens(told.config, group.port(), config.proxy.descriptors));
  log(net::Level::kInfo,
      fmt::format(
          "{} workers, decisions {}, clients {}", own.count,
          own.decisions == workers::Decisions::kShared ? "shared" : "split",
          config.options.accept == workers::Accept::kBalanced ? "dealt out" : "dealt out by the kernel"));
  group.on_ready = [&] { operations.on_serving(); };
  group.on_unknown_cancel = [&](auto number, auto secret) { operations.forward_cancel(number, secret); };
  operations.open(operators_view_of(group));
  *has_started = true;
  group.run();
  return 0;
}

// Runs until the process is told to end. `has_started`: a failure after it is set is none of the start.
int serve_once(const Told& told, Logger& logger, const net::Log& log, bool* has_started) {
  auto& config = told.config;
  for (auto& line : warnings(told.own)) log(net::Level::kWarning, line);
  if (!net::set_congestion_control(told.own.congestion))
    throw std::runtime_error(
        fmt::format("operator's file {}: network.congestion: the kernel does not offer '{}'",
                    told.operator_path, told.own.congestion));
  if (!net::set_source_address(told.own.source))
    throw std::runtime_error(
        fmt::format("operator's file {}: network.source: '{}' is no address of this machine",
                    told.operator_path, told.own.source));
  if (told.own.workers.count > 1) return serve_with_workers(told, logger, log, has_started);
  net::Loop loop;
  std::optional<GroupRunner> group;
  routing::DecisionFacade facade(
      config.settings, config.seed, routing::UnixClock::measured(),
      [&](const std::string& text) { log(net::Level::kInfo, "decisions: " + text); });
  auto options = options_of(config, told.own);
  routing::LocalDecider decider(facade);
  options.watches = !told.own.group;
  Operations operations(loop, config, told.environment, log);
  operations.prepare(&options);
  proxy::Proxy proxy(loop, decider, options, log);
  if (told.own.group)
    group.emplace(loop, proxy, decider, *told.own.group, options, config.settings, config.seed,
                  logger.sink("group"));
  Signals signals(
      loop,
      [&] {
        if (group) group->leave();
        proxy.shut_down(operations.on_shutdown());
      },
      [&] {
        reload(loop, told, logger, log, [&](auto& read, auto& own) {
          proxy.reconfigure(read);
          if (group && own.group) group->reconfigure(read.discovery, own.group->nodes);
        });
      });
  log(net::Level::kInfo, listens(config, proxy.port(), options.descriptors));
  proxy.on_ready = [&] { operations.on_serving(); };
  proxy.on_unknown_cancel = [&](auto number, auto secret) { operations.forward_cancel(number, secret); };
  operations.open(operators_view_of(proxy));
  if (group) group->start();
  *has_started = true;
  proxy.run();
  group.reset();
  return 0;
}

// Reads what the program is told; a file that cannot be read for the moment is read again.
void read_with_retries(Told* told) {
  StartRetry retry(
      [](net::Level, const std::string& line) { std::cerr << "database-proxy: " << line << "\n"; });
  while (true) {
    try {
      return told->read();
    } catch (const UnreadableFile& e) {
      if (!retry.wait_after(e.error, e.what())) throw;
    }
  }
}

int serve(Told* told) try {
  block_handled_signals();
  signal(SIGPIPE, SIG_IGN);
  told->environment = StartEnvironment::read();
  read_with_retries(told);
  Logger logger(told->config.name, told->own.log);
  auto log = logger.sink();
  StartRetry retry(log);
  bool has_started = false;
  while (true) {
    try {
      return serve_once(*told, logger, log, &has_started);
    } catch (const std::system_error& e) {
      if (has_started || !retry.wait_after(e.code().value(), e.what())) throw;
    }
  }
} catch (const StartAborted&) {
  return 0;
}

}  // namespace

int run_command_line(int argc, char** argv) try {
  if (argc > 1 && std::string_view(argv[1]) == "fleet")
    return run_fleet(std::vector<std::string>(argv + 2, argv + argc));
  po::options_description options("Options");
  options.add_options()("help,h", "show this text")("config,c", po::value<std::string>(),
                                                    "configuration file (else NODE_CONFIG names it)")(
      "operator,o", po::value<std::string>(), "the operator's own file (deploy/operator.schema.json)");
  po::options_description hidden;
  hidden.add_options()("command", po::value<std::string>()->default_value(""));
  po::options_description all;
  all.add(options).add(hidden);
  po::positional_options_description positions;
  positions.add("command", 1);
  po::variables_map given;
  po::store(po::command_line_parser(argc, argv).options(all).positional(positions).run(), given);
  po::notify(given);

  auto command = given["command"].as<std::string>();
  if (given.count("help") || command == "help") {
    std::cout << "database-proxy COMMAND [options]\n\n"
                 "  serve     run the proxy\n"
                 "  check     read the configuration and the operator's file, say whether they are good, and "
                 "leave\n"
                 "  fleet     status and changes of the group of daemons (database-proxy fleet help)\n"
                 "  version   print the version\n\n"
              << options;
    return 0;
  }
  if (command == "version") {
    std::cout << "linenwinch " << kVersion << "\n";
    return 0;
  }
  if (command != "serve" && command != "check")
    throw std::runtime_error(command.empty()
                                 ? "no command given; see database-proxy --help"
                                 : "unknown command '" + command + "'; see database-proxy --help");
  Told told;
  if (given.count("operator")) told.operator_path = given["operator"].as<std::string>();
  if (given.count("config"))
    told.config_path = given["config"].as<std::string>();
  else if (const char* named = std::getenv("NODE_CONFIG"))
    told.config_path = named;
  else if (command == "serve" || told.operator_path.empty())
    throw std::runtime_error("no configuration: give --config FILE or set NODE_CONFIG");
  if (command == "serve") return serve(&told);
  if (!told.config_path.empty()) {
    told.config = read_config(told.config_path);
    std::cout << fmt::format("{}: good ({} classes, {} servers known)\n", told.config_path,
                             told.config.settings.classes.size(), told.config.known.endpoints.size());
  }
  if (!told.operator_path.empty()) {
    told.own = read_operator_file(told.operator_path);
    std::cout << fmt::format("{}: good ({} workers)\n", told.operator_path, told.own.workers.count);
    for (auto& line : warnings(told.own)) std::cout << "warning: " << line << "\n";
  }
  return 0;
} catch (const std::exception& e) {
  std::string line = e.what();
  std::replace(line.begin(), line.end(), '\n', ' ');
  std::cerr << "database-proxy: " << line << "\n";
  return 1;
}

}  // namespace database_proxy::app
