// Processes whose system calls fail in ways that Linux documents.
#include "testbench/fault_injection/call_faults.h"

#include <csignal>

#include "upgrade/node.h"

namespace database_proxy::test {

using testbench::CallFault;
using testbench::CallFaults;

namespace {

struct FaultyNode : Node {
  explicit FaultyNode(const FakeServersOptions& servers_options = {})
      : Node(servers_options), faults(DATABASE_PROXY_PROGRAM, folder + "/faults", 1) {}
  std::unique_ptr<ProcessUnderTest> start_faulty() {
    auto faulty = options();
    for (auto& variable : faults.environment()) faulty.environment.push_back(variable);
    return start(faulty);
  }
  testbench::LoadFigures run_load(std::chrono::milliseconds length) {
    return testbench::run_load(load(length));
  }

  CallFaults faults;
};

}  // namespace

TEST_CASE("calls: a recv that returns fewer bytes than are available delays no client") {
  FaultyNode node;
  node.faults.control().rate(CallFault::kShortRead) = 8;
  auto process = node.start_faulty();
  REQUIRE(becomes_healthy(*process));
  auto figures = node.run_load(std::chrono::milliseconds(1500));
  CHECK(figures.served > 5000);
  CHECK(figures.failed + figures.unanswered == 0);
  CHECK(node.servers.invariants().describe_violations() == "");
}

TEST_CASE("calls: a start that meets temporary errors is retried until the process serves") {
  FaultyNode node;
  for (auto fault :
       {CallFault::kSocket, CallFault::kInterrupted, CallFault::kFileError, CallFault::kDiskFull}) {
    node.faults.clear();
    node.faults.control().rate(fault) = 2;
    auto process = node.start_faulty();
    INFO(static_cast<int>(fault) << "\n" << process->log());
    CHECK(becomes_healthy(*process));
    node.faults.clear();
    process->signal(SIGTERM);
    CHECK(process->wait() == 0);
  }
}

TEST_CASE(
    "calls: a client address that becomes free within the start's time limit is listened on, the operators' "
    "address at any time") {
  Node node;
  auto options = node.options();
  options.listening_socket = -1;
  options.port = testbench::free_port();
  int error = 0;
  auto address = [](int port) { return *net::parse_address(fmt::format("127.0.0.1:{}", port)); };
  auto address_holder = net::listen_on(address(options.port), &error);
  auto operator_address_holder = net::listen_on(*net::parse_address(options.operator_address), &error);
  REQUIRE(address_holder);
  REQUIRE(operator_address_holder);
  auto process = node.start(options);
  REQUIRE(eventually([&] { return process->log().find("trying again") != std::string::npos; }));
  address_holder.reset();
  REQUIRE(eventually([&] { return process->log().find("ready to serve") != std::string::npos; }));
  Client client(options.port);
  CHECK(client.query(read_statement("waited")).row);
  operator_address_holder.reset();
  CHECK(becomes_healthy(*process));
  process->signal(SIGTERM);
  CHECK(process->wait() == 0);
}

TEST_CASE("calls: a process that gets SIGTERM while it retries its start exits with 0") {
  Node node;
  auto options = node.options();
  options.listening_socket = -1;  // the node's own socket holds the address permanently
  auto process = node.start(options);
  REQUIRE(eventually([&] { return process->log().find("trying again") != std::string::npos; }));
  process->signal(SIGTERM);
  CHECK(process->wait() == 0);
}

TEST_CASE(
    "calls: clients that wait while the system has no free descriptor are accepted by an idle process once "
    "it has one") {
  FaultyNode node;
  auto process = node.start_faulty();
  REQUIRE(becomes_healthy(*process));
  node.faults.control().rate(CallFault::kAccept) = 1;
  auto waiting = Peer::connect_to(node.port());
  waiting.send(pg::startup_message("backend", "store"));
  REQUIRE(
      eventually([&] { return process->log().find("cannot accept clients for now") != std::string::npos; }));
  node.faults.clear();
  CHECK(waiting.next_message().first == 'R');
}

namespace {

bool has_ended(const Peer& peer) {
  char byte = 0;
  return recv(peer.fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

}  // namespace

TEST_CASE(
    "calls: a client that sends its next request at once gets its last answer only together with the "
    "connection's end") {
  FakeServersOptions servers_options;
  servers_options.model.service_us = 20'000;
  FaultyNode node(servers_options);
  auto old = node.start_faulty();
  REQUIRE(becomes_healthy(*old));
  Client client(node.port());
  auto next = node.start();
  REQUIRE(becomes_healthy(*next));
  node.faults.control().rate(CallFault::kDelayedClose) = 1;
  old->signal(SIGTERM);
  for (int number = 0; !has_ended(client); ++number) {
    auto id = "e" + std::to_string(number);
    INFO(id);
    REQUIRE(client.query(read_statement(id, 900)).end == 'Z');
  }
  CHECK(old->wait() == 0);
}

TEST_CASE("calls: a disk that takes over a second delays neither operators nor clients") {
  FaultyNode node;
  auto process = node.start_faulty();
  REQUIRE(becomes_healthy(*process));
  node.faults.control().rate(CallFault::kSlowOpen) = 1;
  auto load_options = node.load(std::chrono::milliseconds(3000));
  load_options.rate = 400;
  testbench::LoadFigures figures;
  std::thread load([&] { figures = testbench::run_load(load_options); });
  auto victim = node.servers.servers().back();
  for (std::string command : {"cordon ", "uncordon "}) {
    CHECK(process->operator_call(command + victim, kCallTimeout).starts_with("YES"));
    CHECK(is_healthy(*process));
  }
  load.join();
  CHECK(figures.failed + figures.unanswered == 0);
  CHECK(figures.longest_gap_ms < 500);
}

// Guards against a process that waits for its disk once its last connection is closed, and is killed.
TEST_CASE("calls: a process whose disk takes over a second ends within the shutdown limit") {
  FakeServersOptions servers_options;
  servers_options.model.service_us = 2'900'000;
  servers_options.model.service_variation = 0;
  FaultyNode node(servers_options);
  auto old = node.start_faulty();
  REQUIRE(becomes_healthy(*old));
  Client client(node.port());
  auto next = node.start();
  REQUIRE(becomes_healthy(*next));
  client.send(pg::simple_query(read_statement("slow", 3500)));
  auto signalled_at = std::chrono::steady_clock::now();
  old->signal(SIGTERM);
  std::this_thread::sleep_until(signalled_at + std::chrono::milliseconds(2700));
  REQUIRE(old->running());
  node.faults.control().rate(CallFault::kSlowOpen) = 1;
  // The old process reads the changed record of the new one, which takes 1.2 s now.
  CHECK(next->operator_call("cordon " + node.servers.servers().back(), kCallTimeout).starts_with("YES"));
  bool has_ended_in_time = eventually([&] { return !old->running(); },
                                      signalled_at + kShutdownLimit - std::chrono::steady_clock::now());
  std::chrono::duration<double> taken = std::chrono::steady_clock::now() - signalled_at;
  INFO(fmt::format("{:.2f} s\n{}", taken.count(), old->log()));
  CHECK(has_ended_in_time);
  CHECK(old->exit_code() == 0);
}

TEST_CASE("calls: failing system calls and short writes under load lose no request") {
  for (auto [fault, one_in] : {std::pair(CallFault::kShortWrite, 8), std::pair(CallFault::kInterrupted, 4),
                               std::pair(CallFault::kAccept, 3), std::pair(CallFault::kSocket, 3),
                               std::pair(CallFault::kConnect, 10)}) {
    FaultyNode node;
    auto process = node.start_faulty();
    REQUIRE(becomes_healthy(*process));
    node.faults.control().rate(fault) = static_cast<std::uint32_t>(one_in);
    auto figures = node.run_load(std::chrono::milliseconds(700));
    INFO(static_cast<int>(fault));
    INFO(figures.describe());
    INFO(process->log());
    CHECK(figures.served > 1000);
    CHECK(figures.unanswered == 0);
    CHECK(node.servers.invariants().describe_violations() == "");
  }
}

TEST_CASE(
    "calls: a wall clock that is an hour off at the start, or stepped under load, causes no lost request and "
    "no stale read") {
  constexpr std::int64_t kHourUs = 3'600'000'000;
  for (std::int64_t offset : {-kHourUs, kHourUs, std::int64_t{-2'000'000}}) {
    for (bool is_stepped_later : {false, true}) {
      FaultyNode node;
      if (!is_stepped_later) node.faults.control().wall_clock_offset_us = offset;
      auto process = node.start_faulty();
      REQUIRE(becomes_healthy(*process));
      auto load = node.load(std::chrono::milliseconds(1200));
      load.own_view_share = 0;  // such sessions send Unix times of the load's clock, which has no offset
      testbench::LoadFigures figures;
      std::thread running([&] { figures = testbench::run_load(load); });
      if (is_stepped_later) {
        std::this_thread::sleep_for(std::chrono::milliseconds(400));
        node.faults.control().wall_clock_offset_us = offset;
      }
      running.join();
      INFO(offset << " " << is_stepped_later << " served " << figures.served);
      CHECK(figures.served > 1000);
      CHECK(figures.failed + figures.unanswered == 0);
      CHECK(node.servers.invariants().describe_violations() == "");
    }
  }
}

}  // namespace database_proxy::test
