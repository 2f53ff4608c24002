// Runs the `run` line of deploy/balancer.toml with a minimal configuration and checks that the program is one
// process with the expected threads and sockets, and that it creates no files. Fails if an optional subsystem
// is enabled by default.
#include <fcntl.h>
#include <fmt/format.h>
#include <sys/wait.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>

#include "proxy/rig.h"
#include "testbench/fake_servers.h"
#include "testbench/process_under_test.h"

namespace database_proxy::testbench {
namespace {

namespace fs = std::filesystem;

std::string read_file(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

// The main thread and the log's thread; the thread sanitizer adds one.
#if defined(__SANITIZE_THREAD__)
constexpr std::size_t kExpectedThreads = 3;
#else
constexpr std::size_t kExpectedThreads = 2;
#endif

struct ChildProcess {
  pid_t pid = -1;
  ~ChildProcess() {
    if (pid <= 0) return;
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
};

// Converts an address of /proc/PID/net/tcp to text: "0100007F:1F90" is 127.0.0.1:8080.
std::string address_of(const std::string& hex) {
  unsigned ip = 0, port = 0;
  REQUIRE(sscanf(hex.c_str(), "%8X:%4X", &ip, &port) == 2);
  return fmt::format("{}.{}.{}.{}:{}", ip & 255, ip >> 8 & 255, ip >> 16 & 255, ip >> 24, port);
}

}  // namespace

TEST_CASE(
    "run line: one process, the expected threads, only a listening socket and connections to discovery, no "
    "files") {
  FakeServers fake_servers(FakeServersOptions{});
  auto pattern = (fs::temp_directory_path() / "database-proxy-XXXXXX").string();
  REQUIRE(mkdtemp(pattern.data()));
  fs::path folder(pattern), scratch = folder / "tmp", log = folder / "log";
  fs::create_directory(scratch);
  std::smatch found;
  auto deploy = read_file(fs::path(DATABASE_PROXY_ROOT) / "deploy/balancer.toml");
  REQUIRE(std::regex_search(deploy, found, std::regex("(?:^|\n)run *= *\"([^\"]*)\"")));
  auto run = std::regex_replace(found[1].str(), std::regex("build/"),
                                fs::path(DATABASE_PROXY_PROGRAM).parent_path().string() + "/");
  nlohmann::json config = {{"name", "n1"},
                           {"listen", "127.0.0.1:0"},
                           {"discovery", fake_servers.discovery_address()},
                           {"seed", "1"},
                           {"limits", {{"sockets", 1024}, {"memory_mb", 64}}},
                           {"known", fake_servers.members()},
                           {"settings", testbench_settings()}};
  std::ofstream(folder / "config.json") << config.dump();
  std::ofstream(log) << "";
  ChildProcess child;
  child.pid = fork();
  REQUIRE(child.pid >= 0);
  if (child.pid == 0) {
    int null = open("/dev/null", O_RDONLY | O_CLOEXEC),
        out = open(log.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
    dup2(null, 0);
    dup2(out, 1);
    dup2(out, 2);
    closefrom(3);  // descriptors that the test runner has open must not be inherited by the program
    setenv("NODE_CONFIG", (folder / "config.json").c_str(), 1);
    setenv("TMPDIR", scratch.c_str(), 1);
    if (chdir(DATABASE_PROXY_ROOT) == 0) execl("/bin/sh", "sh", "-c", run.c_str(), nullptr);
    _exit(127);
  }
  REQUIRE(test::eventually([&] { return read_file(log).find("ready to serve") != std::string::npos; }));
  auto process = fs::path("/proc") / std::to_string(child.pid);
  INFO(run << "\n" << read_file(log));
  CHECK(read_file(process / "comm") == "database-proxy\n");
  std::size_t threads = 0;
  for ([[maybe_unused]] auto& task : fs::directory_iterator(process / "task")) ++threads;
  CHECK(threads == kExpectedThreads);
  for (auto& other : fs::directory_iterator("/proc")) {
    auto name = other.path().filename().string();
    if (name.find_first_not_of("0123456789") != std::string::npos) continue;
    auto stat = read_file(other.path() / "stat");
    auto name_end = stat.rfind(')');
    int parent = 0;
    char state = 0;
    if (name_end != std::string::npos && sscanf(stat.c_str() + name_end + 1, " %c %d", &state, &parent) == 2)
      CHECK(parent != child.pid);
  }
  std::map<std::string, std::pair<std::string, std::string>> sockets;  // local and remote address, by inode
  for (std::string kind : {"tcp"}) {
    std::ifstream table(process / "net" / kind);
    for (std::string line; std::getline(table, line);) {
      char local[64], remote[64], inode[32];
      if (sscanf(line.c_str(), " %*d: %63s %63s %*s %*s %*s %*s %*s %*s %31s", local, remote, inode) == 3)
        sockets[inode] = {address_of(local), address_of(remote)};
    }
  }
  std::size_t listening = 0;
  for (auto& entry : fs::directory_iterator(process / "fd")) {
    std::error_code gone;
    auto to = fs::read_symlink(entry.path(), gone).string();
    if (gone) continue;  // a connection that has just been closed
    if (to.rfind("anon_inode:", 0) == 0 || to == "/dev/null" || to == log.string()) continue;
    INFO(to);
    REQUIRE(to.rfind("socket:[", 0) == 0);
    auto it = sockets.find(to.substr(8, to.size() - 9));
    REQUIRE(it != sockets.end());
    auto& [local, remote] = it->second;
    INFO(local << " to " << remote);
    if (remote == "0.0.0.0:0")
      ++listening;
    else
      CHECK(remote == fake_servers.discovery_address());
  }
  CHECK(listening == 1);
  kill(child.pid, SIGTERM);
  int status = 0;
  waitpid(std::exchange(child.pid, -1), &status, 0);
  CHECK(WIFEXITED(status));
  CHECK(WEXITSTATUS(status) == 0);
  CHECK(fs::is_empty(scratch));
  fs::remove_all(folder);
}

}  // namespace database_proxy::testbench
