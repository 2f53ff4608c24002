#include "app/commands.h"

#include <fmt/format.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/signalfd.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>
#include <stdexcept>

#include "app/config.h"
#include "app/logger.h"
#include "proxy/proxy.h"

namespace linenwinch::app {
namespace {

namespace po = boost::program_options;

constexpr const char* kVersion = "0.3.0";

sigset_t handled_signals() {
  sigset_t set;
  sigemptyset(&set);
  for (int number : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&set, number);
  return set;
}

// SIGTERM, SIGINT and SIGHUP, told through the loop. They are blocked from the first line of serve() on: one
// that comes before the loop runs waits for it.
class Signals : public net::Handler {
 public:
  Signals(net::Loop& loop, std::function<void()> stop, std::function<void()> reload)
      : loop_(loop), stop_(std::move(stop)), reload_(std::move(reload)) {
    auto set = handled_signals();
    fd_ = net::Fd(signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
    if (!fd_ || !loop_.add(fd_.get(), this)) throw std::runtime_error("cannot watch for signals");
  }
  ~Signals() override { loop_.remove(fd_.get(), this); }
  void on_ready(std::uint32_t) override {
    signalfd_siginfo info;
    while (read(fd_.get(), &info, sizeof info) == sizeof info) info.ssi_signo == SIGHUP ? reload_() : stop_();
  }

 private:
  net::Loop& loop_;
  std::function<void()> stop_, reload_;
  net::Fd fd_;
};

// As many descriptors as the configuration allows, where the system lets us have them.
std::size_t descriptor_limit(std::size_t wanted) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return wanted;
  limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, wanted);
  setrlimit(RLIMIT_NOFILE, &limit);
  getrlimit(RLIMIT_NOFILE, &limit);
  return std::min<std::size_t>(limit.rlim_cur, wanted);
}

proxy::ProxyOptions options_of(const Config& config) {
  proxy::ProxyOptions options;
  options.listen = config.listen;
  options.discovery = config.discovery;
  options.descriptors = descriptor_limit(config.sockets);
  options.memory = config.memory;
  options.pool = config.pool;
  options.known = config.known;
  return options;
}

// SIGHUP: reads the file again. A bad one changes nothing, and one line says so.
void reload(const std::string& path, const Config& running, proxy::Proxy* proxy, const net::Log& log) try {
  auto config = read_config(path);
  proxy->reconfigure(options_of(config));
  bool restart = config.listen != running.listen || config.settings_text != running.settings_text;
  log(net::Level::kInfo,
      fmt::format("configuration read again: discovery {}, {} descriptors{}", config.discovery,
                  config.sockets, restart ? "; listen or settings differ, which needs a restart" : ""));
} catch (const ConfigError& e) {
  log(net::Level::kError, fmt::format("the configuration in force stays: {}", e.what()));
}

int serve(const Config& config, const std::string& path) {
  auto handled = handled_signals();
  sigprocmask(SIG_BLOCK, &handled, nullptr);
  signal(SIGPIPE, SIG_IGN);
  Logger logger(config.name);
  auto log = logger.sink();
  net::Loop loop;
  routing::Facade facade(config.settings, config.seed, routing::UnixClock::measured(),
                         [&](const std::string& text) { log(net::Level::kInfo, "decisions: " + text); });
  auto options = options_of(config);
  proxy::Proxy proxy(loop, facade, options, log);
  Signals signals(
      loop, [&] { proxy.shut_down(); }, [&] { reload(path, config, &proxy, log); });
  log(net::Level::kInfo, fmt::format("linenwinch {} listens on {}:{}, {} servers known, {} descriptors",
                                     kVersion, config.listen.substr(0, config.listen.rfind(':')),
                                     proxy.port(), config.known.members.size(), options.descriptors));
  proxy.run();
  return 0;
}

}  // namespace

int run_command_line(int argc, char** argv) try {
  po::options_description options("Options");
  options.add_options()("help,h", "show this text")("config,c", po::value<std::string>(),
                                                    "configuration file (else NODE_CONFIG names it)");
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
    std::cout << "linenwinch COMMAND [options]\n\n"
                 "  serve     run the proxy\n"
                 "  check     read the configuration, say whether it is good, and leave\n"
                 "  version   print the version\n\n"
              << options;
    return 0;
  }
  if (command == "version") {
    std::cout << "linenwinch " << kVersion << "\n";
    return 0;
  }
  if (command != "serve" && command != "check")
    throw std::runtime_error(command.empty() ? "no command given; see linenwinch --help"
                                             : "unknown command '" + command + "'; see linenwinch --help");
  std::string path;
  if (given.count("config"))
    path = given["config"].as<std::string>();
  else if (const char* named = std::getenv("NODE_CONFIG"))
    path = named;
  else
    throw std::runtime_error("no configuration: give --config FILE or set NODE_CONFIG");
  auto config = read_config(path);
  if (command == "serve") return serve(config, path);
  std::cout << fmt::format("{}: good ({} classes, {} servers known)\n", path, config.settings.classes.size(),
                           config.known.members.size());
  return 0;
} catch (const std::exception& e) {
  std::string line = e.what();
  std::replace(line.begin(), line.end(), '\n', ' ');
  std::cerr << "linenwinch: " << line << "\n";
  return 1;
}

}  // namespace linenwinch::app
