// Upgrades in place, as the operators' page describes them, with real processes.
#include <fcntl.h>
#include <sys/stat.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <map>

#include "upgrade/node.h"

namespace database_proxy::test {

constexpr auto kRecordNotRead = "does not read this process's record";

TEST_CASE("upgrade: a process serves on the listening socket it inherits, concurrently with its successor") {
  Node node;
  auto first = node.start();
  INFO(first->log());
  REQUIRE(becomes_healthy(*first));
  auto second = node.start();
  INFO(second->log());
  REQUIRE(becomes_healthy(*second));
  CHECK(is_healthy(*first));
  Client client(node.port());
  CHECK(client.query(read_statement("inherited")).row);
}

TEST_CASE("upgrade: a start on an unusable socket fails with one log line, and the serving process goes on") {
  Node node;
  auto serving = node.start();
  REQUIRE(becomes_healthy(*serving));
  net::Fd file(open("/dev/null", O_RDONLY | O_CLOEXEC));
  net::Fd connected(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  int error = 0;
  auto elsewhere = net::listen_on(*net::parse_address("127.0.0.1:0"), &error);
  for (auto [descriptor, what] : {std::pair(file.get(), "is no listening TCP socket"),
                                  std::pair(connected.get(), "is no listening TCP socket"),
                                  std::pair(elsewhere.get(), "listens on another address")}) {
    auto options = node.options();
    options.listening_socket = descriptor;
    auto process = node.start(options);
    CHECK(process->wait() == 1);
    auto log = process->log();
    CHECK_THAT(log, Catch::Contains(what));
    CHECK(std::count(log.begin(), log.end(), '\n') == 1);
  }
  auto options = node.options();
  options.listening_socket = -1;
  options.environment.emplace_back("NODE_ACCEPT_FD", "seven");
  auto process = node.start(options);
  CHECK(process->wait() == 1);
  CHECK_THAT(process->log(), Catch::Contains("NODE_ACCEPT_FD is no number of a descriptor"));
  CHECK(is_healthy(*serving));
}

TEST_CASE("upgrade: a socket that another holder makes blocking blocks neither process") {
  Node node;
  auto first = node.start(), second = node.start();
  REQUIRE(becomes_healthy(*first));
  REQUIRE(becomes_healthy(*second));
  for (int i = 0; i < 50; ++i) {
    // At each wake-up both processes race for one client, and one loses.
    fcntl(node.listening_socket.get(), F_SETFL, 0);
    Client client(node.port());
    CHECK(client.query(read_statement("r" + std::to_string(i))).row);
  }
  CHECK(is_healthy(*first));
  CHECK(is_healthy(*second));
}

TEST_CASE("upgrade: three upgrades in a row under load lose no request, and each old process ends in time") {
  for (int workers : {1, 2}) {
    FakeServersOptions servers_options;
    servers_options.model.service_us = 5'000;  // some requests are in flight at any moment
    Node node(servers_options);
    auto start = [&] {
      auto options = node.options();
      if (workers > 1) options.operator_file = {{"workers", {{"count", workers}}}};
      return node.start(options);
    };
    auto running = start();
    REQUIRE(becomes_healthy(*running));
    auto load_options = node.load(std::chrono::milliseconds(5500));
    load_options.rate = 400;
    testbench::LoadFigures figures;
    std::thread load([&] { figures = testbench::run_load(load_options); });
    for (int i = 0; i < 3; ++i) {
      auto next = start();
      REQUIRE(becomes_healthy(*next));
      auto signalled_at = Clock::now();
      running->signal(SIGTERM);
      CHECK(running->wait() == 0);
      CHECK(Clock::now() - signalled_at < kShutdownLimit);
      running = std::move(next);
    }
    load.join();
    INFO("workers " << workers << ", unanswered " << figures.unanswered << ", broken "
                    << figures.broken_connections);
    CHECK(figures.served > 1500);
    CHECK(figures.failed == 0);
    CHECK(figures.unanswered == 0);
    CHECK(node.servers.invariants().describe_violations() == "");
  }
}

TEST_CASE(
    "upgrade: a client that sends requests until the connection ends gets an answer to each, and no "
    "request fails") {
  for (int workers : {1, 2}) {
    FakeServersOptions servers_options;
    servers_options.model.service_us = 60'000;
    Node node(servers_options);
    auto options = node.options();
    if (workers > 1) options.operator_file = {{"workers", {{"count", workers}}}};
    auto old = node.start(options);
    REQUIRE(becomes_healthy(*old));
    Client client(node.port());
    auto next = node.start();
    REQUIRE(becomes_healthy(*next));
    auto send_read = [&](int number) {
      client.send(pg::simple_query(read_statement("a" + std::to_string(number), 900)));
    };
    send_read(0);
    old->signal(SIGTERM);
    // Two requests are in flight at any moment, so the connection is never idle.
    std::map<std::string, int> outcomes;
    for (int i = 1;; ++i) {
      send_read(i);
      auto answer = client.answer();
      if (answer.end == 0) break;
      ++outcomes[answer.row ? "served" : answer.code];
    }
    CHECK(old->wait() == 0);
    CHECK(outcomes["served"] > 3);
    outcomes.erase("served");
    outcomes.erase("57P03");
    outcomes.erase("53300");
    CHECK(outcomes.empty());
  }
}

TEST_CASE(
    "upgrade: without a running successor, a process that shuts down accepts clients for its shutdown "
    "period") {
  Node node;
  auto old = node.start(), next = node.start();
  REQUIRE(becomes_healthy(*old));
  REQUIRE(becomes_healthy(*next));
  SECTION("the successor was killed") {
    next->signal(SIGKILL);
    next->wait();
  }
  SECTION("the successor is stopped") { next->signal(SIGSTOP); }
  old->signal(SIGTERM);
  Client client(node.port());
  CHECK(client.query(read_statement("late")).row);
  CHECK(old->wait() == 0);
}

TEST_CASE("upgrade: a successor that never becomes ready, or gets SIGTERM first, accepts no client") {
  Node node;
  auto old = node.start();
  REQUIRE(becomes_healthy(*old));
  auto options = node.options();
  options.known_members = nlohmann::json::parse(R"({"generation":1,"reset":true,"instances":[]})");
  options.discovery = "127.0.0.1:1";
  auto unready = node.start(options);
  REQUIRE(eventually([&] { return unready->operator_call("health", kCallTimeout).starts_with("NO "); }));
  for (int i = 0; i < 20; ++i) {
    Client client(node.port());
    CHECK(client.query(read_statement("r" + std::to_string(i))).row);
  }
  unready->signal(SIGTERM);
  unready->signal(SIGTERM);
  CHECK(unready->wait() == 0);
  CHECK(is_healthy(*old));
}

namespace {

// Returns the number of requests that a data server received while `call` ran.
template <class Call>
std::uint64_t requests_during(Node& node, const std::string& server, Call call) {
  auto before = node.servers.counters()[server].requests;
  call();
  return node.servers.counters()[server].requests - before;
}

void send_reads(Node& node, int count = 200) {
  Client client(node.port());
  static int next = 0;
  for (int i = 0; i < count; ++i) client.query(read_statement("m" + std::to_string(next++)));
}

std::size_t files_in(const std::string& folder) {
  return static_cast<std::size_t>(std::distance(std::filesystem::directory_iterator(folder), {}));
}

}  // namespace

TEST_CASE("cordon: a cordon holds through upgrades, at whichever process it was made, until it is lifted") {
  for (int workers : {1, 2}) {
    Node node;
    auto start = [&] {
      auto options = node.options();
      if (workers > 1) options.operator_file = {{"workers", {{"count", workers}}}};
      return node.start(options);
    };
    auto first = start();
    REQUIRE(becomes_healthy(*first));
    auto replicas = node.servers.servers();
    auto victim = replicas.back(), other = replicas[replicas.size() - 2];
    CHECK(first->operator_call("cordon nobody", kCallTimeout).starts_with("NO "));
    CHECK(first->operator_call("cordon " + victim, kCallTimeout) == "YES\n");
    CHECK(first->operator_call("cordon " + victim, kCallTimeout) == "YES it was cordoned already\n");
    auto second = start();
    REQUIRE(becomes_healthy(*second));
    // While both processes run, a cordon made at one takes effect at the other.
    CHECK(second->operator_call("cordon " + other, kCallTimeout).starts_with("YES"));
    REQUIRE(eventually([&] {
      return first->operator_call("cordon " + other, kCallTimeout).find("already") != std::string::npos;
    }));
    first->signal(SIGTERM);
    CHECK(first->wait() == 0);
    CHECK(requests_during(node, victim, [&] { send_reads(node); }) == 0);
    CHECK(requests_during(node, other, [&] { send_reads(node); }) == 0);
    // An uncordon command at a process that is about to end.
    CHECK(second->operator_call("uncordon " + other, kCallTimeout) == "YES\n");
    auto third = start();
    REQUIRE(becomes_healthy(*third));
    CHECK(second->operator_call("uncordon " + victim, kCallTimeout) == "YES\n");
    second->signal(SIGTERM);
    CHECK(second->wait() == 0);
    REQUIRE(eventually([&] {
      return third->operator_call("uncordon " + victim, kCallTimeout) == "YES it was not cordoned\n";
    }));
    CHECK(eventually([&] { return requests_during(node, victim, [&] { send_reads(node, 50); }) > 0; }));
    CHECK(node.servers.invariants().describe_violations() == "");
  }
}

TEST_CASE(
    "cordon: the cordon of a killed process passes to the next one, and repeated starts leave no files "
    "behind") {
  Node node;
  auto victim = node.servers.servers().back();
  for (int i = 0; i < 5; ++i) {
    auto process = node.start();
    REQUIRE(becomes_healthy(*process));
    auto answer = process->operator_call("cordon " + victim, kCallTimeout);
    CHECK(answer.starts_with(i == 0 ? "YES\n" : "YES it was cordoned already"));
    process->signal(SIGKILL);
    process->wait();
    CHECK(files_in(node.shared_folder()) <= 1);
  }
}

TEST_CASE(
    "upgrade: files that are corrupt, foreign, of a later version or of another socket cause at most one log "
    "line each") {
  Node node;
  auto inode = [&] {
    struct stat info {};
    fstat(node.listening_socket.get(), &info);
    return info.st_ino;
  }();
  auto file = [&](const std::string& name) { return node.shared_folder() + "/" + name; };
  auto name = [&](int pid) { return fmt::format("database-proxy-{}-{}.process", inode, pid); };
  std::ofstream(file(name(1))) << "database-proxy process 1 0000000000000000\n{\"pid\":1";
  std::ofstream(file(name(2))) << "database-proxy process 9 0000000000000000\n{}";
  std::ofstream(file("database-proxy-77-3.process")) << "database-proxy process 1 0000000000000000\n{}";
  std::filesystem::create_directory(file(name(4)));
  auto process = node.start();
  REQUIRE(becomes_healthy(*process));
  auto next = node.start();
  REQUIRE(becomes_healthy(*next));
  auto log = process->log();
  CHECK_THAT(log, Catch::Contains(name(1) + " is ignored: it is truncated or corrupt"));
  CHECK_THAT(log, Catch::Contains(name(2) + " is ignored: it was written by another program"));
  CHECK(log.find("-77-") == std::string::npos);
}

TEST_CASE(
    "upgrade: a folder that cannot be written delays neither start nor handover, and is written later") {
  Node node;
  auto folder = node.shared_folder();
  std::filesystem::remove(folder);
  auto first = node.start();
  REQUIRE(becomes_healthy(*first));
  auto victim = node.servers.servers().back();
  CHECK(first->operator_call("cordon " + victim, kCallTimeout) == "YES\n");
  auto second = node.start();
  REQUIRE(becomes_healthy(*second));
  std::filesystem::create_directory(folder);
  REQUIRE(eventually([&] { return first->log().find("is written again") != std::string::npos; }));
  first->signal(SIGTERM);
  CHECK(first->wait() == 0);
  CHECK(eventually([&] { return requests_during(node, victim, [&] { send_reads(node, 50); }) == 0; }));
  CHECK(requests_during(node, victim, [&] { send_reads(node); }) == 0);
}

TEST_CASE("upgrade: a cancel request that the other process receives cancels the request") {
  FakeServersOptions servers_options;
  servers_options.model.service_us = 1'500'000;
  Node node(servers_options);
  auto first = node.start();
  REQUIRE(becomes_healthy(*first));
  Client client(node.port(), false);
  auto key = client.start();
  auto second = node.start();
  REQUIRE(becomes_healthy(*second));
  client.send(pg::simple_query(read_statement("slow", 1900)));
  auto asked_at = Clock::now();
  first->signal(SIGTERM);  // from now on the successor accepts new connections
  REQUIRE(eventually([&] { return first->operator_call("health", kCallTimeout).starts_with("NO "); }));
  Peer::connect_to(node.port()).send(cancel_request(key));
  CHECK(client.answer().code == "57014");
  CHECK(Clock::now() - asked_at < 1s);
  CHECK(first->wait() == 0);
}

// Guards against a write running again at the successor, when its client has left and its id comes again
// there.
TEST_CASE("upgrade: a write whose client left the old process does not run again at its successor") {
  Node node;
  Server primary(true);
  Discovery discovery;
  discovery.set(endpoint_entry("s-p", primary));
  std::atomic<bool> is_held{false};
  primary.reply = [&](const std::string&) {
    eventually([&] { return !is_held; });
    return Reply{};
  };
  auto start = [&] {
    auto options = node.options();
    options.discovery = discovery.address();
    options.known_members = nlohmann::json::parse(discovery.list());
    return node.start(options);
  };
  auto old_process = start();
  REQUIRE(becomes_healthy(*old_process));
  auto client = std::make_unique<Client>(node.port());
  REQUIRE(eventually(
      [&, number = 0]() mutable { return client->query(write_sql("w" + std::to_string(++number))).row; }));
  is_held = true;
  auto before = primary.count();
  client->send(pg::simple_query(write_sql("left", 4000)));
  REQUIRE(eventually([&] { return primary.count() == before + 1; }));
  auto successor = start();
  REQUIRE(becomes_healthy(*successor));
  client.reset();
  old_process->signal(SIGTERM);
  std::this_thread::sleep_for(300ms);  // from now on, the successor alone accepts clients
  Client next(node.port());
  CHECK(next.query(write_sql("left", 1500)).code == "42710");
  CHECK(primary.count() == before + 1);
  is_held = false;
}

TEST_CASE("upgrade: two concurrently running processes together keep within the descriptor limit of one") {
  Node node;
  auto options = node.options();
  constexpr std::size_t kLimit = 160;
  options.sockets = kLimit;
  auto first = node.start(options);
  REQUIRE(becomes_healthy(*first));
  std::vector<Client> crowd;
  constexpr int kCrowd = 100;  // more than the first process may keep once there are two
  crowd.reserve(kCrowd);
  for (int i = 0; i < kCrowd; ++i) crowd.emplace_back(node.port());
  options = node.options();
  options.sockets = kLimit;
  auto second = node.start(options);
  REQUIRE(becomes_healthy(*second));
  std::vector<Peer> more;
  for (int i = 0; i < 100; ++i) {
    more.push_back(Peer::connect_to(node.port()));
    auto held = first->usage().descriptors + second->usage().descriptors;
    CHECK(held <= static_cast<int>(kLimit));
  }
  CHECK(is_healthy(*first));
  CHECK(is_healthy(*second));
  CHECK_THAT(second->log(), !Catch::Contains(kRecordNotRead));
}

TEST_CASE("upgrade: a process that gets SIGTERM before it serves does not claim the socket") {
  Node node;
  auto first = node.start();
  REQUIRE(becomes_healthy(*first));
  REQUIRE(fcntl(node.listening_socket.get(), F_GETOWN) == first->pid());
  first->signal(SIGSTOP);  // the second waits for it, and it cannot claim the socket again
  auto second = node.start();
  REQUIRE(eventually([&] { return second->log().find("operators are served") != std::string::npos; }));
  second->signal(SIGTERM);
  CHECK(second->wait() == 0);
  CHECK(fcntl(node.listening_socket.get(), F_GETOWN) == first->pid());
  first->signal(SIGCONT);
  CHECK(is_healthy(*first));
}

TEST_CASE(
    "upgrade: when the process that claimed the socket last gets SIGTERM, another one continues to serve") {
  for (int workers : {1, 2})
    for (bool has_folder : {true, false}) {
      INFO("workers " << workers << ", folder " << has_folder);
      FakeServersOptions servers_options;
      servers_options.model.service_us = 100'000;
      servers_options.model.service_variation = 0;
      servers_options.model.write_factor = 6;
      Node node(servers_options);
      auto start = [&] {
        auto options = node.options();
        if (workers > 1) options.operator_file = {{"workers", {{"count", workers}}}};
        return node.start(options);
      };
      auto remaining = start();
      REQUIRE(becomes_healthy(*remaining));
      auto shutting_down = start();
      REQUIRE(becomes_healthy(*shutting_down));
      auto owner = [&] { return fcntl(node.listening_socket.get(), F_GETOWN); };
      REQUIRE(owner() == shutting_down->pid());
      if (!has_folder) node.remove_shared_folder();
      remaining->signal(SIGSTOP);
      Client busy(node.port());
      remaining->signal(SIGCONT);
      busy.send(pg::simple_query(write_statement(1)));
      REQUIRE(eventually([&] { return node.servers.counters().at("s1-1").requests == 1; }));
      shutting_down->signal(SIGTERM);
      auto serves_line = fmt::format("process {} serves on the listening socket", remaining->pid());
      CHECK(eventually([&] { return shutting_down->log().find(serves_line) != std::string::npos; }));
      CHECK(owner() == remaining->pid());
      CHECK(shutting_down->running());  // the write is in flight
      std::vector<std::unique_ptr<Client>> clients(16);
      for (auto& client : clients) client = std::make_unique<Client>(node.port());
      CHECK(busy.answer().row);
      CHECK(shutting_down->wait() == 0);
      for (auto& client : clients) CHECK(client->query(read_statement("r")).row);
    }
}

TEST_CASE(
    "upgrade: a successor accepts no client before it has waited for the running process to free capacity") {
  for (int workers : {1, 2}) {
    INFO("workers " << workers);
    Node node;
    auto first = node.start();
    REQUIRE(becomes_healthy(*first));
    first->signal(SIGSTOP);
    auto options = node.options();
    if (workers > 1) options.operator_file = {{"workers", {{"count", workers}}}};
    auto second = node.start(options);
    CHECK(becomes_healthy(*second));
    first->signal(SIGCONT);
    auto log = second->log();
    INFO(log);
    REQUIRE_THAT(log, Catch::Contains(kRecordNotRead));
    CHECK(log.find(kRecordNotRead) < log.find("ready to serve"));
  }
}

}  // namespace database_proxy::test
