// Servers that operators cordon or discovery drains or removes, across process replacements, with real
// processes.
#include <linux/filter.h>
#include <sys/socket.h>

#include <csignal>
#include <filesystem>
#include <thread>

#include "upgrade/node.h"

namespace database_proxy::test {
namespace {

using std::chrono::milliseconds;

const std::string kPrimary = "s1-1", kReplica = "s1-2";

std::string own_view_read_statement(int number) {
  return fmt::format("SELECT content FROM kv WHERE name = 'k1' /* id=o{},c=own-view,d=1000,cluster=1 */",
                     number);
}

std::uint64_t requests_at(Node& node, const std::string& server) {
  return node.servers.counters()[server].requests;
}

// Runs clients that write or read for a while. Returns the number of requests that `server` received
// meanwhile.
std::uint64_t requests_under_load(Node& node, const std::string& server, double writes,
                                  milliseconds length = milliseconds(1500)) {
  static int loads = 0;
  auto options = node.load(length);
  options.rate = 150;
  options.book_share = writes;
  options.own_view_share = 0;
  options.deadline_ms = 500;
  options.retry_rejected = false;
  options.id_prefix = fmt::format("load{}c", ++loads);
  auto before = requests_at(node, server);
  testbench::run_load(options);
  return requests_at(node, server) - before;
}

std::unique_ptr<ProcessUnderTest> start_healthy(Node& node, int workers = 1) {
  auto options = node.options();
  options.operator_file = {{"log", {{"level", "debug"}, {"lines_per_second", 10000}}}};
  if (workers > 1) options.operator_file["workers"] = {{"count", workers}};
  auto process = node.start(options);
  REQUIRE(becomes_healthy(*process));
  return process;
}

void end_process(ProcessUnderTest& process, int signal) {
  process.signal(signal);
  process.wait();
}

// Each process reads the records of the other processes at least every 50 ms.
constexpr auto kSeveralScans = milliseconds(250);

int lines_with(const std::string& log, std::string_view text) {
  int lines = 0;
  for (auto at = log.find(text); at != std::string::npos; at = log.find(text, at + 1)) ++lines;
  return lines;
}

// Counted from the command, with 50 ms more for the sockets.
constexpr auto kGracePeriod = milliseconds(1100);

void cordon_primary(ProcessUnderTest& process) {
  REQUIRE(process.operator_call("cordon " + kPrimary, kCallTimeout).starts_with("YES"));
  std::this_thread::sleep_for(kGracePeriod);
}

}  // namespace

TEST_CASE("cordon: a successor gives no new grace period to a primary that was cordoned before its start") {
  auto workers = GENERATE(1, 2);
  auto signal = GENERATE(SIGKILL, SIGTERM);
  Node node;
  auto first = start_healthy(node, workers);
  cordon_primary(*first);
  std::unique_ptr<ProcessUnderTest> second;
  if (signal == SIGTERM) second = start_healthy(node, workers);
  end_process(*first, signal);
  if (!second) second = start_healthy(node, workers);
  CHECK(requests_under_load(node, kPrimary, 1) == 0);
  CHECK_THAT(second->log(), Catch::Contains("server s1-1 is cordoned by an operator, as process"));
}

TEST_CASE(
    "drain: a successor with an older list gives no grace period to a server that its predecessor knew to be "
    "out") {
  auto action = GENERATE(std::string("drain"), std::string("remove"));
  Node node;
  auto known = node.options().known_members;
  auto first = start_healthy(node);
  node.servers.control({{"do", action}, {"server", kPrimary}});
  REQUIRE(eventually([&] { return first->log().find("list version") != std::string::npos; }));
  std::this_thread::sleep_for(kGracePeriod);
  auto options = node.options();
  options.known_members = known;
  SECTION("discovery answers") {}
  SECTION("discovery is silent") { node.servers.control({{"do", "discovery"}, {"mute", true}}); }
  auto second = node.start(options);
  REQUIRE(becomes_healthy(*second));
  end_process(*first, SIGKILL);
  CHECK(requests_under_load(node, kPrimary, 1) == 0);
}

TEST_CASE("cordon: a process that starts after the last one has ended keeps the cordon") {
  auto signal = GENERATE(SIGKILL, SIGTERM);
  Node node;
  SECTION("with the shared folder") {}
  SECTION("without it") { std::filesystem::remove(node.shared_folder()); }
  auto first = start_healthy(node);
  cordon_primary(*first);
  end_process(*first, signal);
  auto second = start_healthy(node);
  CHECK(requests_under_load(node, kPrimary, 1, milliseconds(500)) == 0);
}

TEST_CASE("cordon: a cordon answered with YES holds at a successor though the shared folder is missing") {
  Node node;
  std::filesystem::remove(node.shared_folder());
  auto first = start_healthy(node);
  cordon_primary(*first);
  auto second = start_healthy(node);
  end_process(*first, SIGTERM);
  CHECK(requests_under_load(node, kPrimary, 1, milliseconds(500)) == 0);
}

TEST_CASE(
    "cordon: a command that can be stored neither on the socket nor in the folder is answered NO and has no "
    "effect") {
  Node node;
  std::filesystem::remove(node.shared_folder());
  sock_filter pass_all = BPF_STMT(BPF_RET | BPF_K, 0xffffffff);
  sock_fprog foreign_filter{1, &pass_all};
  REQUIRE(setsockopt(node.listening_socket.get(), SOL_SOCKET, SO_ATTACH_FILTER, &foreign_filter,
                     sizeof foreign_filter) == 0);
  auto first = start_healthy(node);
  auto asked_at = Clock::now();
  CHECK(first->operator_call("cordon " + kPrimary, kCallTimeout).starts_with("NO "));
  CHECK(Clock::now() - asked_at < kCallTimeout);
  CHECK(requests_under_load(node, kPrimary, 1) > 0);
  std::filesystem::create_directory(node.shared_folder());  // now the folder alone can store a cordon
  cordon_primary(*first);
  end_process(*first, SIGKILL);
  auto second = start_healthy(node);
  CHECK(requests_under_load(node, kPrimary, 1, milliseconds(500)) == 0);
}

TEST_CASE("cordon: a primary that is uncordoned after an upgrade serves writes at once") {
  Node node;
  auto first = start_healthy(node);
  CHECK(requests_under_load(node, kPrimary, 0.3, milliseconds(500)) > 0);
  REQUIRE(first->operator_call("cordon " + kPrimary, kCallTimeout).starts_with("YES"));
  auto second = start_healthy(node);
  end_process(*first, SIGTERM);
  requests_under_load(node, kReplica, 0.3, milliseconds(1000));
  REQUIRE(second->operator_call("uncordon " + kPrimary, kCallTimeout).starts_with("YES"));
  auto writes = requests_under_load(node, kPrimary, 1, milliseconds(1000));
  INFO(second->log());
  CHECK(writes > 0);
}

TEST_CASE("cordon: a cordon that was lifted while its server was not listed is not restored") {
  Node node;
  auto first = start_healthy(node);
  REQUIRE(first->operator_call("cordon " + kReplica, kCallTimeout).starts_with("YES"));
  auto second = start_healthy(node);
  REQUIRE(second->operator_call("cordon s1-3", kCallTimeout).starts_with("YES"));  // the only other replica
  // The first process stays stopped: its record has the server as cordoned until the end of the test.
  first->signal(SIGSTOP);
  auto steer_and_await_list = [&](const std::string& action, const std::string& server) {
    auto lists_received = [&] { return lines_with(second->log(), "list version"); };
    auto before = lists_received();
    node.servers.control({{"do", action}, {"server", server}});
    REQUIRE(eventually([&] { return lists_received() > before; }));
  };
  steer_and_await_list("remove", kReplica);
  REQUIRE(second->operator_call("uncordon " + kReplica, kCallTimeout).starts_with("YES"));
  steer_and_await_list("up", "s1-3");  // this list makes the process go through its cordon marks
  std::this_thread::sleep_for(kSeveralScans);
  steer_and_await_list("up", kReplica);
  CHECK(requests_under_load(node, kReplica, 0, milliseconds(1000)) > 0);
}

TEST_CASE("upgrade: a session's read at the successor sees what it wrote at the predecessor") {
  FakeServersOptions servers_options;
  servers_options.model.lag = testbench::Micros(8'000'000);
  servers_options.model.check_staleness = false;
  Node node(servers_options);
  auto start = [&] {
    auto options = node.options();
    options.settings = {{"FamilyInfo", {{"Behind", "off"}, {"WriteMarks", "router"}}}};
    auto process = node.start(options);
    REQUIRE(becomes_healthy(*process));
    return process;
  };
  auto replica_requests = [&] { return requests_at(node, kReplica) + requests_at(node, "s1-3"); };
  auto first = start();
  {
    Client client(node.port());
    REQUIRE(client.query(write_statement(1)).row);
  }
  auto second = start();
  end_process(*first, SIGTERM);
  auto before = replica_requests();
  Client client(node.port());
  for (int i = 0; i < 20; ++i) CHECK(client.query(own_view_read_statement(i)).row);
  CHECK(replica_requests() == before);
}

}  // namespace database_proxy::test
