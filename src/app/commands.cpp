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

// The platform kills a process this long after SIGTERM: the longest deadline, of which at most 3 s count, and
// the grace.
constexpr net::Micros kMaxCountedDeadline = std::chrono::seconds(3);
constexpr net::Micros kShutdownGrace = std::chrono::milliseconds(700);

// Raises the limit on descriptors to `requested` as far as the system permits. Returns how many of them this
// process may use.
std::size_t raise_descriptor_limit(std::size_t requested) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return requested;
  limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, requested);
  setrlimit(RLIMIT_NOFILE, &limit);
  getrlimit(RLIMIT_NOFILE, &limit);
  return std::min<std::size_t>(limit.rlim_cur, requested);
}

proxy::ProxyOptions make_proxy_options(const Config& config, const OperatorFile& operator_file) {
  proxy::ProxyOptions options;
  options.logs_decisions = operator_file.log.min_level == net::Level::kDebug;
  options.listen = config.listen;
  options.discovery = config.discovery;
  options.descriptors = raise_descriptor_limit(config.sockets);
  options.memory = config.memory;
  options.pool = config.pool;
  options.known = config.known;
  options.drain_grace = config.settings.drain_grace;
  net::Micros longest_deadline{0};
  for (auto& request_class : config.settings.classes)
    longest_deadline = std::max(longest_deadline, request_class.deadline);
  options.shutdown_limit = std::min(longest_deadline, kMaxCountedDeadline) + kShutdownGrace;
  options.schedule =
      discovery::PollingSchedule(config.settings.routers, config.settings.poll_discovery, config.seed);
  return options;
}

// The files and the environment that the process is configured by, and their content as last read.
struct LoadedConfig {
  std::string config_path, operator_path;  // operator_path: empty if none was given
  StartEnvironment environment;
  Config config;
  OperatorFile operator_file;

  void read() {
    config = read_config(config_path);
    if (!operator_path.empty()) operator_file = read_operator_file(operator_path);
    // Two processes with the same configuration must not draw the same random numbers.
    if (environment.inherited_listener >= 0) config.seed ^= seed_of_process();
  }

 private:
  static std::uint64_t seed_of_process() {
    constexpr std::uint64_t kMixer = 0x9e3779b97f4a7c15u;
    auto process = handover::ProcessIdentity::own();
    return (process.start_ticks * kMixer + static_cast<std::uint64_t>(process.pid)) * kMixer;
  }
};

// Attempts after SIGHUP to read a file that cannot be read for the moment, and the time between them: a
// reload must take effect within 4 s.
constexpr int kReloadAttempts = 30;
constexpr net::Micros kReloadRetry = std::chrono::milliseconds(100);

using ApplyReload = std::function<void(const proxy::ProxyOptions&, const OperatorFile&)>;

// Handles SIGHUP: reads the files again. An invalid file changes nothing and is logged in one line.
void reload(net::Loop& loop, const LoadedConfig& running, Logger& logger, const net::Log& log,
            const ApplyReload& apply, int attempts = kReloadAttempts) try {
  auto loaded = running;
  loaded.read();
  logger.configure(loaded.operator_file.log);
  apply(make_proxy_options(loaded.config, loaded.operator_file), loaded.operator_file);
  bool restart = loaded.config.listen != running.config.listen ||
                 loaded.config.settings_text != running.config.settings_text;
  log(net::Level::kInfo,
      fmt::format("configuration read again: discovery {}, {} descriptors{}", loaded.config.discovery,
                  loaded.config.sockets,
                  restart ? "; listen or settings have changed, which takes effect after a restart" : ""));
  if (auto keys = keys_needing_restart(running.operator_file, loaded.operator_file); !keys.empty())
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

std::string listening_message(const Config& config, int port, std::size_t descriptors) {
  return fmt::format("linenwinch {} listens on {}:{}, {} servers known, {} descriptors", kVersion,
                     config.listen.substr(0, config.listen.rfind(':')), port, config.known.endpoints.size(),
                     descriptors);
}

// Returns the callbacks of `serving`, a proxy or a pool of workers, which must outlive them.
template <class Serving>
Operations::Process make_operations_process(Serving& serving) {
  Operations::Process process;
  process.unhealthy_reason = [&serving] { return serving.unhealthy_reason(); };
  process.apply_overlay_change = [&serving](discovery::EndpointListUpdate change) {
    serving.apply_overlay_change(std::move(change));
  };
  process.descriptors_held = [&serving] { return serving.descriptors_held(); };
  process.set_other_processes_usage = [&serving](const proxy::OtherProcessesUsage& others) {
    serving.set_other_processes_usage(others);
  };
  process.hand_over = [&serving] { serving.shut_down(proxy::ShutdownMode::kSuccessorServes); };
  process.set_waiting_for_other_processes = [&serving](bool is_waiting) {
    serving.set_waiting_for_other_processes(is_waiting);
  };
  process.cancel = [&serving](std::uint32_t number, std::uint32_t secret) { serving.cancel(number, secret); };
  return process;
}

int serve_with_workers(const LoadedConfig& loaded, Logger& logger, const net::Log& log, bool* has_started) {
  auto& worker_options = loaded.operator_file.workers;
  workers::WorkerPoolConfig config{loaded.config.settings, loaded.config.seed,
                                   make_proxy_options(loaded.config, loaded.operator_file), worker_options};
  net::Loop control;
  Operations operations(control, loaded.config, loaded.environment, log);
  operations.prepare(&config.proxy);
  if (config.proxy.inherited_listener >= 0 && config.options.accept == workers::AcceptMode::kReusePort) {
    log(net::Level::kWarning, "the listening socket is inherited: one thread accepts all clients");
    config.options.accept = workers::AcceptMode::kBalanced;
  }
  workers::WorkerPool pool(control, config, [&](const std::string& tag) { return logger.sink(tag); });
  Signals signals(
      control, [&] { pool.shut_down(operations.on_shutdown()); },
      [&] {
        reload(control, loaded, logger, log, [&](auto& options, auto& operator_file) {
          pool.reconfigure(options, operator_file.workers.connections_per_server);
        });
      });
  log(net::Level::kInfo, listening_message(loaded.config, pool.port(), config.proxy.descriptors));
  log(net::Level::kInfo,
      fmt::format("{} workers, decisions {}, clients {}", worker_options.count,
                  worker_options.decisions == workers::DecisionMode::kShared ? "shared" : "split",
                  config.options.accept == workers::AcceptMode::kBalanced ? "balanced by the process"
                                                                          : "balanced by the kernel"));
  pool.on_ready = [&] { operations.on_serving(); };
  pool.on_unknown_cancel = [&](auto number, auto secret) { operations.forward_cancel(number, secret); };
  operations.open(make_operations_process(pool));
  *has_started = true;
  pool.run();
  return 0;
}

// Runs until the process receives a signal to stop. `has_started`: once it is set, a failure is not a failed
// start.
int serve_once(const LoadedConfig& loaded, Logger& logger, const net::Log& log, bool* has_started) {
  auto& config = loaded.config;
  for (auto& line : warnings(loaded.operator_file)) log(net::Level::kWarning, line);
  if (!net::set_congestion_control(loaded.operator_file.congestion))
    throw std::runtime_error(
        fmt::format("operator's file {}: network.congestion: the kernel does not offer '{}'",
                    loaded.operator_path, loaded.operator_file.congestion));
  if (!net::set_source_address(loaded.operator_file.source))
    throw std::runtime_error(
        fmt::format("operator's file {}: network.source: '{}' is not an address of this machine",
                    loaded.operator_path, loaded.operator_file.source));
  if (loaded.operator_file.workers.count > 1) return serve_with_workers(loaded, logger, log, has_started);
  net::Loop loop;
  std::optional<GroupRunner> group;
  routing::DecisionFacade facade(
      config.settings, config.seed, routing::UnixClock::measured(),
      [&](const std::string& text) { log(net::Level::kInfo, "decisions: " + text); });
  auto options = make_proxy_options(config, loaded.operator_file);
  routing::LocalDecider decider(facade);
  options.watches = !loaded.operator_file.group;
  Operations operations(loop, config, loaded.environment, log);
  operations.prepare(&options);
  proxy::Proxy proxy(loop, decider, options, log);
  if (loaded.operator_file.group)
    group.emplace(loop, proxy, decider, *loaded.operator_file.group, options, config.settings, config.seed,
                  logger.sink("group"));
  Signals signals(
      loop,
      [&] {
        if (group) group->hand_over();
        proxy.shut_down(operations.on_shutdown());
      },
      [&] {
        reload(loop, loaded, logger, log, [&](auto& reloaded, auto& operator_file) {
          proxy.reconfigure(reloaded);
          if (group && operator_file.group)
            group->reconfigure(reloaded.discovery, operator_file.group->nodes);
        });
      });
  log(net::Level::kInfo, listening_message(config, proxy.port(), options.descriptors));
  proxy.on_ready = [&] { operations.on_serving(); };
  proxy.on_unknown_cancel = [&](auto number, auto secret) { operations.forward_cancel(number, secret); };
  operations.open(make_operations_process(proxy));
  if (group) group->start();
  *has_started = true;
  proxy.run();
  group.reset();
  return 0;
}

// Reads the files; one that cannot be read for the moment is read again.
void read_with_retries(LoadedConfig* loaded) {
  StartRetry retry(
      [](net::Level, const std::string& line) { std::cerr << "database-proxy: " << line << "\n"; });
  while (true) {
    try {
      return loaded->read();
    } catch (const UnreadableFile& e) {
      if (!retry.wait_after(e.error, e.what())) throw;
    }
  }
}

int serve(LoadedConfig* loaded) try {
  block_handled_signals();
  signal(SIGPIPE, SIG_IGN);
  loaded->environment = StartEnvironment::read();
  read_with_retries(loaded);
  Logger logger(loaded->config.name, loaded->operator_file.log);
  auto log = logger.sink();
  StartRetry retry(log);
  bool has_started = false;
  while (true) {
    try {
      return serve_once(*loaded, logger, log, &has_started);
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
  options.add_options()("help,h", "show this text")(
      "config,c", po::value<std::string>(), "configuration file (default: the one that NODE_CONFIG names)")(
      "operator,o", po::value<std::string>(), "the operator's file (deploy/operator.schema.json)");
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
                 "  check     read the configuration and the operator's file, and report whether they are "
                 "valid\n"
                 "  fleet     status and administration of the group of daemons (database-proxy fleet help)\n"
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
  LoadedConfig loaded;
  if (given.count("operator")) loaded.operator_path = given["operator"].as<std::string>();
  if (given.count("config"))
    loaded.config_path = given["config"].as<std::string>();
  else if (const char* named = std::getenv("NODE_CONFIG"))
    loaded.config_path = named;
  else if (command == "serve" || loaded.operator_path.empty())
    throw std::runtime_error("no configuration: give --config FILE or set NODE_CONFIG");
  if (command == "serve") return serve(&loaded);
  if (!loaded.config_path.empty()) {
    loaded.config = read_config(loaded.config_path);
    std::cout << fmt::format("{}: valid ({} classes, {} servers known)\n", loaded.config_path,
                             loaded.config.settings.classes.size(), loaded.config.known.endpoints.size());
  }
  if (!loaded.operator_path.empty()) {
    loaded.operator_file = read_operator_file(loaded.operator_path);
    std::cout << fmt::format("{}: valid ({} workers)\n", loaded.operator_path,
                             loaded.operator_file.workers.count);
    for (auto& line : warnings(loaded.operator_file)) std::cout << "warning: " << line << "\n";
  }
  return 0;
} catch (const std::exception& e) {
  std::string line = e.what();
  std::replace(line.begin(), line.end(), '\n', ' ');
  std::cerr << "database-proxy: " << line << "\n";
  return 1;
}

}  // namespace database_proxy::app
