// The memory that clients and data servers can make the proxy use follows limits.memory_mb, whatever their
// number, and each request that was read is answered.
#include "rig.h"

namespace database_proxy::test {
namespace {

constexpr std::size_t kMemory = std::size_t{24} << 20;
constexpr std::size_t kValueBytes = 60 * 1024;
constexpr int kClients = 100, kReads = 100, kReceiveBuffer = 4096;

// The buffers that the proxy's budget counts, sampled until it is destroyed.
class BudgetSampler {
 public:
  explicit BudgetSampler(ProxyFixture& fixture) : fixture_(fixture) {
    fixture.with_proxy([this](proxy::Proxy& proxy) {
      proxy.before_iteration_end = [this, &proxy] {
        now_ = proxy.memory_budget().total();
        if (now_ > peak_) peak_ = now_.load();
      };
    });
  }
  ~BudgetSampler() {
    fixture_.with_proxy([](proxy::Proxy& proxy) { proxy.before_iteration_end = [] {}; });
  }
  std::size_t now() const { return now_; }
  std::size_t peak() const { return peak_; }

 private:
  ProxyFixture& fixture_;
  std::atomic<std::size_t> now_{0}, peak_{0};
};

void limit_memory(app::Config& config) { config.memory = kMemory; }

void answer_with_long_values(ProxyFixture& fixture) {
  fixture.primary.reply = fixture.replica.reply = [](const std::string&) {
    return Reply{Reply::kRow, std::string(kValueBytes, 'x'), 0};
  };
}

// Connects clients that each send many reads at once, and have little room for the answers.
std::vector<std::unique_ptr<Client>> connect_clients_that_do_not_read(ProxyFixture& fixture) {
  std::vector<std::unique_ptr<Client>> clients;
  for (int c = 0; c < kClients; ++c) {
    clients.push_back(std::make_unique<Client>(fixture.port, true, kReceiveBuffer));
    std::string reads;
    for (int i = 0; i < kReads; ++i)
      reads += pg::simple_query(read_sql("q" + std::to_string(c) + "-" + std::to_string(i), 3000));
    REQUIRE(clients.back()->send(reads));
  }
  return clients;
}

}  // namespace

// Guards against answers that were buffered without a limit, for clients that send many reads and read
// nothing.
TEST_CASE("memory: long answers that clients do not read stay within the budget, and each read is answered") {
  ProxyFixture fixture(400, "", false, limit_memory);
  answer_with_long_values(fixture);
  BudgetSampler budget(fixture);
  auto clients = connect_clients_that_do_not_read(fixture);
  std::this_thread::sleep_for(1s);  // the time in which nobody reads
  CHECK(budget.peak() > kMemory / 8);
  CHECK(budget.peak() < kMemory / 2);
  std::atomic<int> served{0}, rejected{0};
  std::vector<std::thread> readers;
  for (auto& client : clients) {
    readers.emplace_back([&served, &rejected, peer = client.get()] {
      for (int i = 0; i < kReads; ++i) {
        auto answer = peer->answer();
        served += answer.row;
        rejected += answer.code == "53300";
      }
    });
  }
  for (auto& reader : readers) reader.join();
  CHECK(served > 0);
  CHECK(served + rejected == kClients * kReads);
  clients.clear();
  CHECK(eventually([&] { return budget.now() < kMemory / 64; }));
}

// Guards against a client that reads its answers being refused for the sake of others that do not.
TEST_CASE("memory: a client that reads its answers is served while others fill the budget") {
  ProxyFixture fixture(400, "", false, limit_memory);
  answer_with_long_values(fixture);
  auto clients = connect_clients_that_do_not_read(fixture);
  std::this_thread::sleep_for(500ms);
  Client reading(fixture.port);
  for (int i = 0; i < 20; ++i) CHECK(reading.query(read_sql("r" + std::to_string(i), 1500)).row);
}

}  // namespace database_proxy::test
