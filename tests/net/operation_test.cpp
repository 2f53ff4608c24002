// Operators' calls, cordons and long answers: tables for what is pure, real sockets for the rest.
#include <fmt/format.h>
#include <sys/resource.h>

#include "handover/page.h"
#include "membership/cordons.h"
#include "operator/desk.h"
#include "operator/door.h"
#include "rig.h"

namespace linenwinch::test {

using membership::Cordons;
using operation::Call;

TEST_CASE("call: every form of a line") {
  struct Row {
    std::string line;
    Call::What what;
    std::string id;
  };
  using W = Call::What;
  for (auto& row : std::vector<Row>{{"health", W::kHealth, ""},
                                    {"health\r", W::kHealth, ""},
                                    {"counters", W::kCounters, ""},
                                    {"cordon s-1", W::kCordon, "s-1"},
                                    {"  uncordon   s-1 ", W::kUncordon, "s-1"},
                                    {"", W::kBad, ""},
                                    {"cordon", W::kBad, ""},
                                    {"cordon a b", W::kBad, ""},
                                    {"health now", W::kBad, ""},
                                    {"HEALTH", W::kBad, ""},
                                    {std::string("health\0", 7), W::kBad, ""},
                                    {"cordon a\tb", W::kBad, ""},
                                    {"cordon " + std::string(operation::kLongestCall, 'x'), W::kBad, ""}}) {
    auto call = operation::parse_call(row.line);
    INFO(row.line);
    CHECK(call.what == row.what);
    CHECK(call.id == row.id);
    CHECK((call.what == W::kBad) == !call.why.empty());
  }
}

discovery::MemberUpdate list_of(std::initializer_list<std::pair<std::string, std::int64_t>> members) {
  discovery::MemberUpdate update;
  update.reset = true;
  for (auto& [id, started] : members) {
    discovery::MemberInfo m;
    m.id = id;
    m.address = "127.0.0.1:1";
    m.started_at_ms = started;
    update.members.push_back(m);
  }
  return update;
}

TEST_CASE("cordons: a whole list, a delta, a removal and a return lift none, one call back does") {
  Cordons c;
  discovery::MemberUpdate changed;
  c.lay_over(list_of({{"a", 0}, {"b", 0}}));
  CHECK(c.set("x", true, 1, 1000, &changed) == Cordons::Said::kUnknown);
  CHECK(c.set("x", false, 1, 1000, &changed) == Cordons::Said::kUnknown);
  CHECK(c.set("a", true, 10, 1000, &changed) == Cordons::Said::kDone);
  REQUIRE(changed.members.size() == 1);
  CHECK(changed.members[0].cordoned);
  CHECK(c.set("a", true, 11, 1001, &changed) == Cordons::Said::kAlready);
  CHECK_FALSE(c.last_of_its_set("b") == false);  // a is out, so b is the last
  CHECK(c.lay_over(list_of({{"a", 0}, {"b", 0}})).members[0].cordoned);
  c.lay_over(list_of({{"b", 0}}));
  auto back = list_of({{"a", 900}});
  back.reset = false;
  CHECK(c.lay_over(back).members[0].cordoned);
  changed = {};
  CHECK(c.set("a", false, 12, 5000, &changed) == Cordons::Said::kDone);
  REQUIRE(changed.members.size() == 1);
  CHECK_FALSE(changed.members[0].cordoned);
  CHECK(changed.members[0].started_at_ms == 5000);  // it may have restarted up to this moment
  CHECK(c.lay_over(list_of({{"a", 3000}})).members[0].started_at_ms == 3000);  // it did, and the list knows
  CHECK(c.set("a", false, 13, 6000, &changed) == Cordons::Said::kAlready);
}

TEST_CASE("cordons: of two processes' marks the newer holds, in whatever order they come") {
  Cordons one, two;
  discovery::MemberUpdate changed;
  for (auto* c : {&one, &two}) c->lay_over(list_of({{"a", 0}}));
  one.set("a", true, 10, 1, &changed);
  REQUIRE(two.merge(one.marks()));
  CHECK_FALSE(two.merge(one.marks()));
  two.set("a", false, 5, 2, &changed);  // by a clock that is behind
  auto taken = one.merge(two.marks());
  REQUIRE(taken);
  CHECK_FALSE(taken->members.at(0).cordoned);
  CHECK_FALSE(two.merge({{"a", {10, true, 1, 0}}}));
}

TEST_CASE("page: what is written is read, and torn, foreign, newer and absurd pages are not") {
  handover::Page page;
  page.process = 7;
  page.stage = handover::Stage::kServing;
  page.descriptors = 12;
  page.marks["s \"1\""] = {5, true, 6, 7};
  page.learned = {{"s \"1\"", 1, 5us, -3us, 9us, 0.25, {1500, 0}}};
  auto text = handover::text_of(page);
  std::string why;
  auto read = handover::read_page(text, &why);
  REQUIRE(read);
  CHECK(read->stage == page.stage);
  CHECK(read->descriptors == 12);
  CHECK(read->marks.at("s \"1\"").since_ms == 6);
  REQUIRE(read->learned.size() == 1);
  auto& l = read->learned[0];
  CHECK((l.server == "s \"1\"" && l.role == 1 && l.role_as_of == 5us && l.heard_at == -3us &&
         l.position_unix == 9us));
  CHECK((l.limit == 0.25 && l.latency == std::vector<double>{1500, 0}));
  for (std::size_t cut = 0; cut < text.size(); ++cut)
    CHECK_FALSE(handover::read_page(std::string_view(text).substr(0, cut), &why));
  for (std::size_t at = 0; at < text.size(); ++at) {
    auto spoilt = text;
    spoilt[at] ^= 1;
    CHECK_FALSE(handover::read_page(spoilt, &why));
  }
  CHECK_FALSE(handover::read_page(std::string(handover::kLargestPage + 1, 'x'), &why));
  // Whatever was learned, the marks go over.
  page.learned.assign(handover::kMostServers, page.learned[0]);
  for (std::size_t i = 0; i < page.learned.size(); ++i)
    page.learned[i].server = std::string(500, 's') + std::to_string(i);
  read = handover::read_page(handover::text_of(page), &why);
  REQUIRE(read);
  CHECK(read->marks.size() == 1);
}

TEST_CASE("learned: a position means the same data where the machine's time was set between two starts") {
  Rig rig;
  auto settings = rig.config.settings;
  settings.checks = badgercourse::Checks::Off;  // so that only what is known to be fresh is asked
  auto quiet = [](const std::string&) {};
  auto now = net::monotonic_now();
  std::chrono::microseconds distance(unix_ms() * 1000 - now.count());
  routing::Facade old(settings, 1, routing::UnixClock(distance), quiet);
  old.update(now, rig.config.known);
  auto position = unix_ms() - 2000;  // where both servers' data stand
  for (auto name : {"s-p", "s-r"}) {
    auto load = fmt::format("x0={},x1={}", double(position) / 1000, *(name + 2) == 'p');
    old.report(now, routing::ProbeResult{name, true, 1ms, load});
  }
  old.tick(now);
  REQUIRE(old.learned().size() == 2);
  // Whom a process that learned this asks for what was written at `after`.
  auto asked = [&](std::int64_t after) {
    routing::Facade next(settings, 1, routing::UnixClock(distance + 10s), quiet);
    next.update(now, rig.config.known);
    next.learn(old.learned());
    routing::Request r;
    r.id = 1;
    r.cls = next.find_class("own-view")->index;
    r.cluster = 2;
    r.session = 5;
    r.after_unix_ms = after;
    r.expires = now + 2s;
    return next.pick(now, r).server;
  };
  CHECK(asked(position - 100) == "s-r");
  CHECK(asked(position + 1500) != "s-r");
}

// A door in a thread of its own, with calls answered at once.
struct DoorRig {
  DoorRig() {
    std::promise<int> started;
    runs = std::thread([&] {
      net::Loop loop;
      operation::Door door(loop, "127.0.0.1:0", [](const Call& call, auto answer) {
        answer(call.what == Call::What::kHealth ? operation::yes() : operation::no(call.id));
      });
      started.set_value(door.port());
      loop.run([&] {
        if (stop) loop.stop();
        loop.at(loop.now() + net::Micros(5000), [] {});
      });
    });
    port = started.get_future().get();
  }
  ~DoorRig() {
    stop = true;
    runs.join();
  }
  std::string call(const std::string& bytes, bool by_byte = false) {
    auto peer = Peer::to(port);
    for (std::size_t i = 0; by_byte && i < bytes.size(); ++i) peer.send(bytes.substr(i, 1));
    if (!by_byte) peer.send(bytes);
    while (peer.more()) {
    }
    return peer.in;
  }
  std::atomic<bool> stop{false};
  int port = 0;
  std::thread runs;
};

TEST_CASE("door: whole, by bytes, several calls, overlong: an answer or a close, never silence") {
  DoorRig rig;
  CHECK(rig.call("health\n") == "YES\n");
  CHECK(rig.call("health\r\n", true) == "YES\n");
  CHECK(rig.call("cordon s\nhealth\n") == "NO s\n");
  CHECK(rig.call(std::string(operation::kLongestCall * 4, 'x')).starts_with("NO "));
  CHECK(rig.call("what\n").starts_with("NO unknown call"));
}

TEST_CASE("door: more silent callers than it holds keep no whole call out") {
  DoorRig rig;
  std::vector<Peer> silent;
  for (std::size_t i = 0; i < operation::kMostCallers * 2; ++i) {
    silent.push_back(Peer::to(rig.port));
    silent.back().send("heal");
  }
  for (int i = 0; i < 5; ++i) CHECK(rig.call("health\n") == "YES\n");
  // The youngest of them are still held, and may make their call.
  silent.back().send("th\n");
  CHECK(silent.back().more());
  CHECK(silent.back().in == "YES\n");
}

TEST_CASE("figures: after a mixed load they agree with what clients were told, and gauges return to 0") {
  Rig rig;
  rig.primary.reply = rig.replica.reply = [](const std::string& sql) {
    return sql.find("id=e") != std::string::npos ? Reply{Reply::kError, "XX000", 0} : Reply{};
  };
  std::map<std::string, int> told;
  Client client(rig.port);
  for (int i = 0; i < 30; ++i) {
    auto id = (i % 5 == 4 ? "e" : "f") + std::to_string(i);
    auto answer = client.ask(i % 3 ? read_sql(id, 400) : write_sql(id, 400));
    ++told[(i % 3 ? "read " : "write ") + std::string(answer.row               ? "served"
                                                      : answer.code == "53300" ? "refused"
                                                                               : "failed")];
  }
  // Refused on its connection, before any decision: too many at once.
  std::string many;
  for (int i = 0; i < 40; ++i) many += pg::simple_query(read_sql("m" + std::to_string(i), 900));
  client.send(many);
  for (int i = 0; i < 40; ++i) {
    auto answer = client.answer();
    ++told["read " + std::string(answer.row ? "served" : answer.code == "53300" ? "refused" : "failed")];
  }
  operation::Figures figures;
  rig.with_proxy([&](auto& proxy) { figures = proxy.figures(); });
  REQUIRE(figures.classes.size() == 3);
  auto &browse = figures.classes[0], &book = figures.classes[2];
  CHECK(browse.fulfilled == static_cast<std::uint64_t>(told["read served"]));
  CHECK(browse.throttled == static_cast<std::uint64_t>(told["read refused"]));
  CHECK(browse.faulted == static_cast<std::uint64_t>(told["read failed"]));
  CHECK(book.fulfilled == static_cast<std::uint64_t>(told["write served"]));
  CHECK(book.faulted + book.throttled ==
        static_cast<std::uint64_t>(told["write refused"] + told["write failed"]));
  CHECK(figures.relayed == rig.primary.count() + rig.replica.count());
  CHECK(figures.open_requests == 0);
  CHECK(figures.registry_entries == 2);
}

// A query written in pieces, one every 100 ms; false: the proxy ended the connection before the last.
bool write_slowly(Client& client, const std::string& sql, int pieces) {
  auto message = pg::simple_query(sql);
  for (int i = 0; i < pieces; ++i) {
    auto from = message.size() * i / pieces, to = message.size() * (i + 1) / pieces;
    if (!client.send(std::string_view(message).substr(from, to - from))) return false;
    std::this_thread::sleep_for(100ms);
  }
  return true;
}

TEST_CASE("crowds: who writes a request slowly is served, who stopped half way gives way") {
  Rig rig(60);
  Client slow(rig.port);
  std::atomic<bool> stop{false};
  std::thread crowd([&] {
    std::vector<Peer> all;
    while (!stop) {
      all.push_back(Peer::to(rig.port));
      all.back().send(pg::startup_message("backend", "store") + "Q");
      if (all.size() > 200) all.erase(all.begin(), all.begin() + 100);
      std::this_thread::sleep_for(15ms);
    }
  });
  CHECK(write_slowly(slow, read_sql("s1", 1900), 18));
  CHECK(slow.answer().row);
  stop = true;
  crowd.join();
}

TEST_CASE("crowds: a process told to stop serves what is being written still") {
  Rig rig;
  Client slow(rig.port);
  std::thread later([&] {
    std::this_thread::sleep_for(300ms);
    rig.stop_gently();
  });
  CHECK(write_slowly(slow, read_sql("s1", 1900), 16));
  CHECK(slow.answer().row);
  later.join();
  CHECK(soon([&] { return rig.ended.load(); }));
}

// ---- long answers --------------------------------------------------------------------------------------

std::string long_value(std::size_t size) {
  std::string value(size, 'a');
  for (std::size_t i = 0; i < size; ++i) value[i] = static_cast<char>(i * 31 >> 3);
  return value;
}

TEST_CASE("long answers: values over 64 KiB pass through whole, pipelined ones in order") {
  auto value = long_value(3 << 20);
  Rig rig;
  rig.primary.reply = rig.replica.reply = [&](const std::string& sql) {
    // The first has begun by then, and waits for its reader.
    if (sql.find("id=l2") != std::string::npos) std::this_thread::sleep_for(100ms);
    return Reply{Reply::kRow, sql.find("id=l") != std::string::npos ? value : "short", 0};
  };
  Client client(rig.port, true, 16 * 1024);  // which the first answer fills, while the second begins
  client.send(pg::simple_query(read_sql("l1")) + pg::simple_query(read_sql("s1")) +
              pg::simple_query(read_sql("l2")) + pg::simple_query(read_sql("s2")));
  REQUIRE(soon([&] { return rig.primary.count() + rig.replica.count() == 4; }));
  std::this_thread::sleep_for(200ms);
  CHECK(client.answer().value == value);
  CHECK(client.answer().value == "short");
  CHECK(client.answer().value == value);
  CHECK(client.answer().value == "short");
  operation::Figures figures;
  rig.with_proxy([&](auto& proxy) { figures = proxy.figures(); });
  CHECK(figures.classes.at(0).fulfilled == 4);
  CHECK(figures.open_requests == 0);
}

TEST_CASE("long answers: one that breaks in its middle ends the client's connection, and is not sent again") {
  Rig rig;
  rig.primary.reply = rig.replica.reply = [&](const std::string&) {
    return Reply{Reply::kHalf, long_value(1 << 20), 0};
  };
  Client client(rig.port);
  auto began = Clock::now();
  auto answer = client.ask(read_sql("b1"));
  CHECK(answer.end == 0);
  CHECK(Clock::now() - began < 5s);  // by a close: the client's own patience is 10 s
  CHECK_FALSE(answer.row);
  CHECK(rig.primary.count() + rig.replica.count() == 1);
  operation::Figures figures;
  rig.with_proxy([&](auto& proxy) { figures = proxy.figures(); });
  CHECK(figures.classes.at(0).faulted == 1);
}

TEST_CASE("long answers: a false length with little behind it, or beyond any value, is asked for elsewhere") {
  for (std::size_t claimed : {std::size_t{300'000}, std::size_t{3'000'000'000}}) {
    Rig rig;
    std::atomic<int> asked{0};
    rig.primary.reply = rig.replica.reply = [&](const std::string&) {
      if (++asked > 1) return Reply{};
      auto whole = row("x");
      auto at = whole.find('D', 30);
      for (int i = 0; i < 4; ++i) {
        whole[at + 1 + i] = static_cast<char>((claimed + 10) >> (24 - 8 * i) & 0xff);
        whole[at + 7 + i] = static_cast<char>(claimed >> (24 - 8 * i) & 0xff);
      }
      return Reply{Reply::kRaw, whole, 0};
    };
    Client client(rig.port);
    CHECK(client.ask(read_sql("n1", 1900)).value == "value");
    CHECK(asked == 2);
  }
}

TEST_CASE("long answers: a client that goes in the middle gives its server back") {
  Rig rig;
  rig.primary.reply = rig.replica.reply = [&](const std::string& sql) {
    return Reply{Reply::kRow, sql.find("id=l") != std::string::npos ? long_value(4 << 20) : "short", 0};
  };
  {
    Client client(rig.port);
    client.send(pg::simple_query(read_sql("l1")));
    REQUIRE(client.more());
  }
  CHECK(soon([&] { return rig.primary.open + rig.replica.open <= 1; }));  // but for what probes use
  Client client(rig.port);
  CHECK(client.ask(read_sql("s1")).value == "short");
}

}  // namespace linenwinch::test
