// The invariants that the proxy checks at run time: each is violated by a misbehaving component, and the
// violation must be counted.
#include "proxy/invariants.h"

#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <deque>

#include "pg/message.h"
#include "proxy/client_session.h"
#include "proxy/dispatcher.h"
#include "proxy/proxy.h"

namespace database_proxy::proxy {
namespace {

using namespace std::chrono_literals;
using Kind = routing::Decision::Kind;

// Returns the decisions that the test has set, whatever has happened.
class ScriptedDecider : public routing::Decider {
 public:
  const routing::RequestClassInfo* find_class(std::string_view) const override { return &request_class; }
  bool ready() const override { return is_ready; }
  void update(Micros, const discovery::EndpointListUpdate&, bool) override {}
  void report(Micros, routing::AttemptResult) override {}
  void report(Micros, routing::ProbeResult) override {}
  void on_client_disconnected(Micros, RequestId) override {}
  bool submit(Micros, const routing::Request&) override { return true; }
  void share_sessions(Micros, bool) override {}
  void plan(Micros, request_router::Plan) override {}
  double spare_capacity(const std::string&) const override { return 0; }
  routing::TickResult collect(Micros) override { return {std::exchange(next_decisions, {}), std::nullopt}; }

  routing::RequestClassInfo request_class;
  bool is_ready = true;
  std::vector<routing::Decision> next_decisions;
};

// Keeps the kind of the last answer.
class FakeClientPort : public ClientPort {
 public:
  Query query(Micros) override { return {}; }
  ClientPresence presence() override { return ClientPresence::kConnected; }
  bool has_memory_for(const Answer&) override { return true; }
  void serve(const Answer&) override { answered_with = "row"; }
  void reject(Micros) override { answered_with = "rejection"; }
  void reject_at_shutdown() override { answered_with = "rejection"; }
  void fail(std::string_view) override { answered_with = "failure"; }

  std::string answered_with;
};

// A dispatcher with one open request, whose only server is never reachable.
struct DispatcherFixture {
  explicit DispatcherFixture(bool is_repeatable = true,
                             request_router::Effect effect = request_router::Effect::kPure) {
    routing::Request request;
    request.expires = loop.now() + 1s;
    request.is_repeatable = is_repeatable;
    request.effect = effect;
    id = dispatcher.submit(&client, request, "name");
  }
  void decide(Kind kind, int attempt, Micros timeout = 100ms) {
    routing::Decision decision;
    decision.kind = kind;
    decision.request = id;
    decision.attempt = attempt;
    decision.server = "s";
    decision.timeout = timeout;
    decider.next_decisions.push_back(decision);
  }
  void end_attempt(int attempt, routing::AttemptOutcome outcome) {
    AttemptEnd end;
    end.result.request = id;
    end.result.attempt = attempt;
    end.result.outcome = outcome;
    dispatcher.attempt_ended(std::move(end));
    dispatcher.on_iteration_end();
  }
  std::uint64_t count(Invariant invariant) { return dispatcher.invariants().violations(invariant); }

  net::Loop loop;
  ScriptedDecider decider;
  FakeClientPort client;
  Dispatcher dispatcher{loop, decider, {}, [](net::Level, const std::string&) {}};
  RequestId id = 0;
};

class NullSessionOwner : public SessionOwner {
 public:
  NullSessionOwner() { memory_budget_.set_limit(64 << 20, 1); }
  void on_session_closed(ClientSession*) override {}
  void on_cancel_request(std::uint32_t, std::uint32_t) override {}
  MemoryBudget& memory_budget() override { return memory_budget_; }
  void on_awaiting_ready(ClientSession*) override {}
  void schedule_flush(ClientSession*) override {}

 private:
  MemoryBudget memory_budget_;
};

}  // namespace

TEST_CASE("invariants: an attempt on a server out of service after the grace period counts") {
  DispatcherFixture fixture;
  fixture.dispatcher.set_drain_grace(1s);
  auto begin_after = [&](Micros since_notice, discovery::Lifecycle lifecycle) {
    discovery::EndpointListUpdate update;
    auto& endpoint = update.endpoints.emplace_back();
    endpoint.id = "s";
    endpoint.lifecycle = lifecycle;
    endpoint.notified_at = net::monotonic_now() - since_notice;
    fixture.dispatcher.update_endpoints(update);
    fixture.dispatcher.on_iteration_end();
    fixture.dispatcher.attempt_begins(fixture.id, "s");
    return fixture.count(Invariant::kSentWhileOutOfService);
  };
  CHECK(begin_after(900ms, discovery::Lifecycle::kDraining) == 0);
  CHECK(begin_after(1100ms, discovery::Lifecycle::kDraining) == 1);
  CHECK(begin_after(0ms, discovery::Lifecycle::kUp) == 1);
  CHECK(begin_after(1100ms, discovery::Lifecycle::kRemoved) == 2);
}

TEST_CASE("invariants: correct decisions violate none, and the last log line has the count") {
  DispatcherFixture fixture;
  fixture.decide(Kind::kSend, 0);
  fixture.dispatcher.on_iteration_end();
  CHECK(fixture.dispatcher.invariants().violations() == 0);
  CHECK_THAT(fixture.dispatcher.counters().summary(), Catch::EndsWith("broken invariants 0"));
}

TEST_CASE("invariants: a second attempt while one is in flight counts") {
  DispatcherFixture fixture;
  fixture.decide(Kind::kSend, 0);
  fixture.decide(Kind::kSend, 1);
  fixture.dispatcher.on_iteration_end();
  CHECK(fixture.count(Invariant::kSecondAttemptInFlight) == 1);
  CHECK_THAT(fixture.dispatcher.counters().summary(), Catch::EndsWith("broken invariants 1"));
}

TEST_CASE("invariants: a ninth attempt counts") {
  DispatcherFixture fixture;
  for (int attempt = 0; attempt < 9; ++attempt) {
    CHECK(fixture.count(Invariant::kTooManyAttempts) == 0);
    fixture.decide(Kind::kSend, attempt);
    fixture.end_attempt(attempt - 1, routing::AttemptOutcome::kRejected);
  }
  CHECK(fixture.count(Invariant::kTooManyAttempts) == 1);
}

TEST_CASE("invariants: a retry of a request that must not run twice and may have run counts") {
  for (auto outcome : {routing::AttemptOutcome::kReset, routing::AttemptOutcome::kRejected}) {
    DispatcherFixture fixture(false);
    fixture.decide(Kind::kSend, 0);
    fixture.dispatcher.on_iteration_end();
    fixture.decide(Kind::kSend, 1);
    fixture.end_attempt(0, outcome);
    bool may_have_run = outcome == routing::AttemptOutcome::kReset;
    CHECK(fixture.count(Invariant::kUnsafeRepeat) == (may_have_run ? 1 : 0));
  }
}

TEST_CASE("invariants: a timeout longer than the client's remaining time plus slack counts") {
  DispatcherFixture fixture;
  fixture.decide(Kind::kSend, 0, 1200ms);
  fixture.dispatcher.on_iteration_end();
  CHECK(fixture.count(Invariant::kTimeoutTooLong) == 1);
}

TEST_CASE("invariants: an attempt that begins for an answered request counts") {
  DispatcherFixture fixture;
  fixture.dispatcher.attempt_begins(fixture.id, "s");
  CHECK(fixture.count(Invariant::kSendWithoutClient) == 0);
  fixture.dispatcher.end_open_requests();
  fixture.dispatcher.attempt_begins(fixture.id, "s");
  CHECK(fixture.count(Invariant::kSendWithoutClient) == 1);
}

// Guards against a client that repeats a write which has run, and one that does not repeat what never ran.
TEST_CASE("shutdown: a request that ends at the limit is failed only if it is a write that may have run") {
  using request_router::Effect;
  enum class Progress { kUndecided, kConnecting, kSent, kDeclined, kLost };
  auto answer_to = [](Effect effect, Progress progress) {
    DispatcherFixture fixture(effect != Effect::kUnsafe, effect);
    if (progress != Progress::kUndecided) {
      fixture.decide(Kind::kSend, 0);
      fixture.dispatcher.on_iteration_end();
    }
    if (progress > Progress::kConnecting) fixture.dispatcher.attempt_begins(fixture.id, "s");
    if (progress == Progress::kDeclined) fixture.end_attempt(0, routing::AttemptOutcome::kRejected);
    if (progress == Progress::kLost) fixture.end_attempt(0, routing::AttemptOutcome::kReset);
    fixture.dispatcher.end_open_requests();
    return fixture.client.answered_with;
  };
  for (auto effect : {Effect::kKeyed, Effect::kUnsafe}) {
    CHECK(answer_to(effect, Progress::kUndecided) == "rejection");
    CHECK(answer_to(effect, Progress::kConnecting) == "rejection");
    CHECK(answer_to(effect, Progress::kSent) == "failure");
    CHECK(answer_to(effect, Progress::kDeclined) == "rejection");
    CHECK(answer_to(effect, Progress::kLost) == "failure");
  }
  for (auto progress : {Progress::kUndecided, Progress::kConnecting, Progress::kSent, Progress::kLost})
    CHECK(answer_to(Effect::kPure, progress) == "rejection");
}

namespace {

// A client session that has read `requests` requests and answered none.
struct SessionFixture {
  explicit SessionFixture(int requests) {
    int ends[2];
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends) == 0);
    client = net::Fd(ends[1]);
    session.emplace(loop, dispatcher, owner, net::Fd(ends[0]), 1, 1, loop.now());
    REQUIRE(session->start());
    auto bytes = pg::startup_message("backend", "store");
    for (int i = 0; i < requests; ++i)
      bytes += pg::simple_query("SELECT content FROM kv WHERE name = 'k' /* id=a" + std::to_string(i) +
                                ",c=browse,d=500,cluster=1 */");
    send_to_session(bytes);
    REQUIRE(session->has_unanswered_commands());
  }
  void send_to_session(const std::string& bytes) {
    REQUIRE(send(client.get(), bytes.data(), bytes.size(), 0) == static_cast<ssize_t>(bytes.size()));
    session->on_ready(EPOLLIN);
  }

  net::Loop loop;
  ScriptedDecider decider;
  Dispatcher dispatcher{loop, decider, {}, [](net::Level, const std::string&) {}};
  NullSessionOwner owner;
  net::Fd client;
  std::optional<ClientSession> session;
};

}  // namespace

TEST_CASE("invariants: a second answer to one request counts") {
  SessionFixture fixture(2);
  auto* second = fixture.dispatcher.client_of(2);  // its answer waits for that of the first request
  REQUIRE(second);
  second->fail("once");
  CHECK(fixture.dispatcher.invariants().violations() == 0);
  second->fail("twice");
  CHECK(fixture.dispatcher.invariants().violations(Invariant::kSecondAnswer) == 1);
}

TEST_CASE(
    "invariants: closing a connection with an unanswered request counts, unless the client disconnected") {
  for (bool client_disconnects : {false, true}) {
    SessionFixture fixture(1);
    if (client_disconnects)
      fixture.session->on_ready(EPOLLRDHUP);
    else
      fixture.session->close();
    CHECK(fixture.dispatcher.invariants().violations(Invariant::kClosedUnanswered) ==
          (client_disconnects ? 0 : 1));
  }
}

// Guards against a client that waits for a data server and is closed unnoticed.
TEST_CASE("invariants: closing a connection whose empty query waits for a data server counts") {
  SessionFixture fixture(1);
  fixture.dispatcher.client_of(1)->fail("answered");
  fixture.decider.is_ready = false;
  fixture.send_to_session(pg::simple_query(""));
  fixture.session->close();
  CHECK(fixture.dispatcher.invariants().violations(Invariant::kClosedUnanswered) == 1);
}

// Guards against a shutdown that takes commands waiting for their turn for an idle connection, unnoticed.
TEST_CASE("invariants: closing a connection with commands that wait for their turn counts") {
  for (bool ends_session : {false, true}) {
    SessionFixture fixture(1);
    constexpr int kShare = 8;  // statements that are taken in one iteration
    std::string commands;
    for (int i = 1; i < kShare; ++i) commands += pg::simple_query("SELECT 1");
    commands += ends_session ? std::string("X\0\0\0\4", 5) : pg::simple_query("SET x = 2");
    fixture.send_to_session(commands);
    fixture.dispatcher.client_of(1)->fail("answered");  // and with it the commands that were taken
    CHECK_FALSE(fixture.session->has_unanswered_commands());
    fixture.session->close();
    CHECK(fixture.dispatcher.invariants().violations(Invariant::kClosedUnanswered) == (ends_session ? 0 : 1));
  }
}

TEST_CASE("invariants: a client that ends its session behind a request waits for no answer") {
  SessionFixture fixture(1);
  fixture.send_to_session(std::string("X\0\0\0\4", 5));
  CHECK(fixture.dispatcher.invariants().violations(Invariant::kClosedUnanswered) == 0);
  CHECK(fixture.dispatcher.open_requests() == 0);
}

TEST_CASE("invariants: a client of an inherited socket accepted before the process can serve counts") {
  int error = 0;
  auto listener = net::listen_on(*net::parse_address("127.0.0.1:0"), &error);
  net::Loop loop;
  ScriptedDecider decider;
  decider.is_ready = false;
  ProxyOptions options;
  options.listen = options.discovery = "127.0.0.1:1";
  options.inherited_listener = listener.get();
  options.watches = false;
  Proxy proxy(loop, decider, options, [](net::Level, const std::string&) {});
  int ends[2];
  REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends) == 0);
  net::Fd client(ends[1]);
  proxy.adopt(net::Fd(ends[0]));
  CHECK(proxy.dispatcher().invariants().violations(Invariant::kAcceptedTooEarly) == 1);
}

}  // namespace database_proxy::proxy
