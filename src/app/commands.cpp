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

constexpr const char* kVersion = "0.2.0";

// SIGTERM and SIGINT, told through the loop.
class Signals : public net::Handler {
 public:
  Signals(net::Loop& loop, std::function<void()> told) : loop_(loop), told_(std::move(told)) {
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigprocmask(SIG_BLOCK, &set, nullptr);
    fd_ = net::Fd(signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
    if (!fd_ || !loop_.add(fd_.get(), this)) throw std::runtime_error("cannot watch for signals");
  }
  ~Signals() override { loop_.remove(fd_.get(), this); }
  void on_ready(std::uint32_t) override {
    signalfd_siginfo info;
    bool any = false;
    while (read(fd_.get(), &info, sizeof info) == sizeof info) any = true;
    if (any) told_();
  }

 private:
  net::Loop& loop_;
  std::function<void()> told_;
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

int serve(const Config& config) {
  signal(SIGPIPE, SIG_IGN);
  Logger logger(config.name);
  auto log = logger.sink();
  net::Loop loop;
  routing::Facade facade(config.settings, config.seed, routing::UnixClock::measured(),
                         [&](const std::string& text) { log(net::Level::kInfo, "decisions: " + text); });
  proxy::ProxyOptions options;
  options.listen = config.listen;
  options.discovery = config.discovery;
  options.descriptors = descriptor_limit(config.sockets);
  options.pool = config.pool;
  options.known = config.known;
  proxy::Proxy proxy(loop, facade, options, log);
  Signals signals(loop, [&] { proxy.shut_down(); });
  log(net::Level::kInfo,
      fmt::format("linenwinch {} listens on {}, {} servers known, {} descriptors", kVersion, config.listen,
                  config.known.members.size(), options.descriptors));
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
  if (command == "serve") return serve(config);
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
