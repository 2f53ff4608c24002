// Tables of valid and invalid input for each parser of a peer's bytes.
#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "app/config.h"
#include "discovery/endpoint_list_codec.h"
#include "discovery/endpoint_list_limits.h"
#include "discovery/http.h"
#include "discovery/polling_schedule.h"
#include "net/socket.h"
#include "pg/message.h"
#include "pg/statement.h"
#include "proxy/attempt_outcome.h"
#include "routing/unix_clock.h"

namespace database_proxy {

using namespace std::string_literals;
using pg::ParseStatus;

TEST_CASE("frames") {
  struct Case {
    std::string in;
    ParseStatus parse;
    std::string body;
  };
  auto c = GENERATE(values<Case>({{"", ParseStatus::kMore, ""},
                                  {"Q", ParseStatus::kMore, ""},
                                  {"Q\0\0\0\4"s, ParseStatus::kOk, ""},
                                  {"Q\0\0\0\6ab"s, ParseStatus::kOk, "ab"},
                                  {"Q\0\0\0\6abmore"s, ParseStatus::kOk, "ab"},
                                  {"Q\0\0\0\6a"s, ParseStatus::kMore, ""},
                                  {"Q\0\0\0\3"s, ParseStatus::kBad, ""},
                                  {"Q\0\0\0\x20"s, ParseStatus::kBad, ""},
                                  {"Q\xff\xff\xff\xff"s, ParseStatus::kBad, ""},
                                  {"\x01", ParseStatus::kBad, ""},
                                  {"\0\0\0\10"s, ParseStatus::kBad, ""}}));
  pg::Frame frame;
  CHECK(pg::parse_frame(c.in, 16, &frame) == c.parse);
  CHECK(frame.body == c.body);
}

TEST_CASE("first messages") {
  struct Case {
    std::string in;
    ParseStatus parse;
    pg::FirstMessageKind kind;
  };
  auto c = GENERATE(values<Case>({
      {"\0\0\0"s, ParseStatus::kMore, pg::FirstMessageKind::kOther},
      {"\0\0\0\x08\x04\xd2\x16\x2f"s, ParseStatus::kOk, pg::FirstMessageKind::kSsl},
      {"\0\0\0\x08\x04\xd2\x16\x30"s, ParseStatus::kOk, pg::FirstMessageKind::kGssEnc},
      {"\0\0\0\x10\x04\xd2\x16\x2e\0\0\0\0\0\0\0\0"s, ParseStatus::kOk, pg::FirstMessageKind::kCancel},
      {"\0\0\0\x0c\x04\xd2\x16\x2e\0\0\0\0"s, ParseStatus::kBad, pg::FirstMessageKind::kCancel},
      {"\0\0\0\x08\0\2\0\0"s, ParseStatus::kOk, pg::FirstMessageKind::kOther},
      {"\0\0\0\x09\0\3\0\0\0"s, ParseStatus::kOk, pg::FirstMessageKind::kStartup},
      {"\0\0\0\x0d\0\3\0\0a\0b\0\0"s, ParseStatus::kOk, pg::FirstMessageKind::kStartup},
      {"\0\0\0\x0c\0\3\0\0a\0b\0"s, ParseStatus::kBad, pg::FirstMessageKind::kStartup},
      {"\0\0\0\x0a\0\3\0\0aa"s, ParseStatus::kBad, pg::FirstMessageKind::kStartup},
      {"\0\0\0\x08\0\3\0\0"s, ParseStatus::kBad, pg::FirstMessageKind::kStartup},
      {"\0\0\0\x07"s, ParseStatus::kBad, pg::FirstMessageKind::kOther},
      {"GET / HTTP/1.1\r\n", ParseStatus::kBad, pg::FirstMessageKind::kOther},
  }));
  pg::FirstMessage first;
  CHECK(pg::parse_first_message(c.in, &first) == c.parse);
  CHECK(first.kind == c.kind);
  CHECK(pg::parse_first_message(pg::startup_message("u", "d"), &first) == ParseStatus::kOk);
}

TEST_CASE("small messages") {
  CHECK(pg::query_text("ab\0"s) == "ab");
  CHECK_FALSE(pg::query_text("ab"));
  CHECK_FALSE(pg::query_text("a\0b\0"s));
  CHECK_FALSE(pg::query_text(""));
  CHECK(pg::parse_parameter("a\0b\0"s)->value == "b");
  CHECK_FALSE(pg::parse_parameter("a\0b"s));
  CHECK_FALSE(pg::parse_parameter("a\0b\0c"s));
  CHECK(pg::parse_single_column("\0\1\0\0\0\2xy"s) == "xy");
  for (auto bad : {"\0\2\0\0\0\2xy"s, "\0\1\0\0\0\3xy"s, "\0\1\xff\xff\xff\xff"s, "\0\1"s, ""s})
    CHECK_FALSE(pg::parse_single_column(bad));
  auto error = pg::error_response("ERROR", "53300", "text", "120");
  auto fields = pg::parse_error(std::string_view(error).substr(5));
  REQUIRE(fields);
  CHECK(fields->code == "53300");
  CHECK(fields->detail == "120");
  for (auto bad : {""s, "\0"s, "Mtext\0\0"s, "C53300"s}) CHECK_FALSE(pg::parse_error(bad));
}

TEST_CASE("statements: valid ones") {
  std::string text =
      "SELECT content FROM kv WHERE name = '7f3a' /* "
      "id=9b,c=basket,d=480,cluster=2,after=1767225600123,r=1,new=x */";
  auto s = pg::parse_statement(text);
  REQUIRE(s.kind == pg::StatementKind::kRead);
  CHECK(s.key == "7f3a");
  CHECK(s.id == "9b");
  CHECK(s.request_class == "basket");
  CHECK(s.timeout_ms == 480);
  CHECK(text.substr(s.timeout_begin, s.timeout_end - s.timeout_begin) == "480");
  CHECK(s.shard_group == 2);
  CHECK(s.after_unix_ms == 1767225600123);
  CHECK(s.is_retry);
  auto w = pg::parse_statement(
      "INSERT INTO kv (name, content) VALUES ('a''b', '\\x9f /* d=1 */ 03') RETURNING content /* "
      "id=1,c=o,d=5,k=5c,cluster=-7,after=0 */");
  REQUIRE(w.kind == pg::StatementKind::kWrite);
  CHECK(w.key == "a''b");
  CHECK(w.idempotency_key == "5c");
  CHECK(w.shard_group == -7);
  CHECK(w.timeout_ms == 5);
  CHECK_FALSE(w.after_unix_ms);
}

TEST_CASE("statements: empty ones, and session commands such as SET") {
  for (auto text : {"", " ", ";", " ;\n"}) CHECK(pg::parse_statement(text).kind == pg::StatementKind::kEmpty);
  for (auto text : {"SET a = 1", "set a to b;", "RESET ALL", "discard all"})
    CHECK(pg::parse_statement(text).kind == pg::StatementKind::kSession);
}

TEST_CASE("statements: invalid ones") {
  std::string select = "SELECT content FROM kv WHERE name = ", comment = " /* id=1,c=o,d=5,cluster=2 */";
  auto text = GENERATE_COPY(values<std::string>(
      {"SELECT 1",
       "SETTLE",
       "SET a = 1; DROP TABLE kv",
       "select content from kv where name = 'a'" + comment,
       select + "'a'",
       select + "''" + comment,
       select + "'a" + comment,
       select + "'a';" + comment,
       select + "'a'" + comment + " ",
       select + "'a' OR 1=1" + comment,
       select + "'a' /* id=1 */" + comment,
       select + "'a' /* id=1,c=o,d=5 */",
       select + "'a' /* id=1,c=o,cluster=2 */",
       select + "'a' /* c=o,d=5,cluster=2 */",
       select + "'a' /* id=1,d=5,cluster=2 */",
       select + "'a' /* id=,c=o,d=5,cluster=2 */",
       select + "'a' /* id=1,c=o,d=0,cluster=2 */",
       select + "'a' /* id=1,c=o,d=-5,cluster=2 */",
       select + "'a' /* id=1,c=o,d=5x,cluster=2 */",
       select + "'a' /* id=1,c=o,d=99999999999,cluster=2 */",
       select + "'a' /* id=1,c=o,d=5,d=5,cluster=2 */",
       select + "'a' /* id=1,c=o,d=5,cluster=b */",
       select + "'a' /* id=1,c=o,d=5,cluster=2,cluster=2 */",
       select + "'a' /* id=1,c=o,d=5,cluster=2,after=-1 */",
       select + "'a' /* id=1,c=o,d=5,cluster=2,r=2 */",
       select + "'a' /* id=1,c=o,d=5,cluster=2,x */",
       select + "'a' /* id=1,id=2,c=o,d=5,cluster=2 */",
       "INSERT INTO kv (name, content) VALUES ('a', 'b')" + comment,
       "INSERT INTO kv (name, content) VALUES ('a') RETURNING content" + comment,
       "INSERT INTO kv (name, content) VALUES ('a', 'b'), ('c', 'd') RETURNING content" + comment}));
  CAPTURE(text);
  CHECK(pg::parse_statement(text).kind == pg::StatementKind::kUnknown);
  CHECK_FALSE(pg::parse_statement(text).problem.empty());
}

// Guards against a list that is refused, or parsed from its beginning again and again, because of its form or
// its size: an indented list of the largest fleet takes over a megabyte.
TEST_CASE("HTTP responses of the largest list, in each form and in pieces of any size") {
  using discovery::HttpParse;
  auto entry_bytes = GENERATE(std::size_t{160}, std::size_t{1200}, discovery::kMaxEntryBytes);
  std::string body(discovery::kMaxListedServers * entry_bytes, ' ');
  auto form = GENERATE(values<std::string>({"Content-Length", "chunked", "until the end"}));
  auto piece = GENERATE(std::size_t{2000}, std::size_t{16384}, std::size_t{1 << 24});
  std::string message = "HTTP/1.1 200 OK\r\n";
  if (form == "Content-Length")
    message += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  if (form == "until the end") message += "\r\n" + body;
  if (form == "chunked") {
    message += "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t at = 0; at < body.size(); at += 500)
      message += "1f4\r\n" + body.substr(at, 500) + "\r\n";
    message += "0\r\n\r\n";
    body.resize((body.size() + 499) / 500 * 500, ' ');
  }
  if (form == "chunked" && body.size() > discovery::kMaxListBytes) return;
  CAPTURE(entry_bytes, form, piece);
  discovery::HttpResponseReader reader;
  std::string unread;
  auto parse = HttpParse::kMore;
  for (std::size_t at = 0; at < message.size(); at += piece) {
    REQUIRE(parse == HttpParse::kMore);
    unread += message.substr(at, piece);
    std::size_t used = 0;
    parse = reader.read(unread, at + piece >= message.size(), &used);
    unread.erase(0, used);
  }
  REQUIRE(parse == HttpParse::kOk);
  CHECK(reader.response().body == body);
  CHECK(reader.response().size == message.size());
  CHECK(reader.excessive_size() == 0);
}

TEST_CASE("HTTP responses: a body over the limit is refused with its size") {
  using discovery::HttpParse;
  auto size = discovery::kMaxListBytes + 1;
  std::string head = "HTTP/1.1 200 OK\r\n";
  auto message = GENERATE_COPY(
      head + "Content-Length: " + std::to_string(size) + "\r\n\r\n", head + "\r\n" + std::string(size, ' '),
      head + "Transfer-Encoding: chunked\r\n\r\n" + fmt::format("{:x}", size) + "\r\n");
  discovery::HttpResponseReader reader;
  std::size_t used = 0;
  CHECK(reader.read(message, false, &used) == HttpParse::kBad);
  CHECK(reader.excessive_size() == size);
}

TEST_CASE("HTTP responses") {
  using discovery::HttpParse;
  struct Case {
    std::string in;
    bool ended;
    HttpParse parse;
    std::string body;
    bool keep_alive;
  };
  auto c = GENERATE(values<Case>({
      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false, HttpParse::kOk, "ok", true},
      {"HTTP/1.1 200 OK\r\ncontent-length:2\r\nConnection: close\r\n\r\nok", false, HttpParse::kOk, "ok",
       false},
      {"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", false, HttpParse::kOk, "", false},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n3;x=y\r\nyes\r\n0\r\n\r\n", false,
       HttpParse::kOk, "okyes", true},
      {"HTTP/1.1 204 No Content\r\n\r\n", false, HttpParse::kOk, "", true},
      {"HTTP/1.1 200 OK\r\n\r\nall", true, HttpParse::kOk, "all", false},
      {"HTTP/1.1 200 OK\r\n\r\nall", false, HttpParse::kMore, "", false},
      {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", false, HttpParse::kMore, "", true},
      {"HTTP/1.1 200 OK\r\nContent-Le", false, HttpParse::kMore, "", true},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false, HttpParse::kMore, "ok",
       true},
      {"", false, HttpParse::kMore, "", true},
      {"HTTP/1.1 200 OK\r\nContent-Le", true, HttpParse::kBad, "", true},
      {"SSH-2.0", false, HttpParse::kBad, "", true},
      {"HTTP/1.1 abc\r\n\r\n", false, HttpParse::kBad, "", true},
      {"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", false, HttpParse::kBad, "", true},
      {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", false, HttpParse::kBad, "", true},
      {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", false, HttpParse::kBad, "",
       true},
      {"HTTP/1.1 200 OK\r\nno colon\r\n\r\n", false, HttpParse::kBad, "", true},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", false, HttpParse::kBad, "", true},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nokXX", false, HttpParse::kBad, "", true},
  }));
  discovery::HttpResponse response;
  CAPTURE(c.in);
  CHECK(discovery::parse_response(c.in, c.ended, &response) == c.parse);
  if (c.parse == HttpParse::kOk) {
    CHECK(response.body == c.body);
    CHECK(response.keep_alive == c.keep_alive);
    CHECK(response.size == c.in.size());
  }
}

TEST_CASE("endpoint lists") {
  auto update = discovery::parse_endpoint_list(
      R"({"generation":41,"reset":true,"instances":[{"instanceId":"s-5b","hostPort":"10.1.0.18:6432","zone":"a",
      "machineType":"m2","cell":3,"lifecycle":"draining","weight":1.5,"startedAtMs":1767225600123},
      {"instanceId":"s-6","lifecycle":"removed"}]})");
  CHECK(update.generation == 41);
  CHECK(update.reset);
  REQUIRE(update.endpoints.size() == 2);
  CHECK(update.endpoints[0].shard_group == 3);
  CHECK(update.endpoints[0].lifecycle == discovery::Lifecycle::kDraining);
  CHECK(update.endpoints[0].started_at_ms == 1767225600123);
  CHECK(update.endpoints[1].lifecycle == discovery::Lifecycle::kRemoved);
  for (auto bad :
       {"", "[]", "{}", R"({"generation":"x","instances":[]})", R"({"generation":1})",
        R"({"generation":1,"instances":[{}]})", R"({"generation":1,"instances":[{"instanceId":"a"}]})",
        R"({"generation":1,"instances":[{"instanceId":"a","hostPort":"h:1","lifecycle":"odd"}]})"})
    CHECK_THROWS_AS(discovery::parse_endpoint_list(bad), std::invalid_argument);
}

TEST_CASE("endpoint lists: an absurd start time is kept in range") {
  auto update = discovery::parse_endpoint_list(
      R"({"generation":1,"instances":[{"instanceId":"a","hostPort":"h:1","startedAtMs":1e300}]})");
  CHECK(update.endpoints[0].started_at_ms > 0);
}

TEST_CASE("addresses") {
  for (auto good : {"127.0.0.1:6432", "[::1]:6432", "0.0.0.0:0"}) CHECK(net::parse_address(good));
  for (auto bad :
       {"", ":1", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:70000", "localhost:1", "::1:5"})
    CHECK_FALSE(net::parse_address(bad));
}

TEST_CASE("configurations: an error is described in one line") {
  struct Case {
    const char *text, *expected_text;
  };
  auto c = GENERATE(values<Case>({
      {"", "parse error"},
      {"[]", "not a JSON object"},
      {R"({"listen":"x","discovery":"127.0.0.1:1","settings":{}})", "listen"},
      {R"({"listen":"127.0.0.1:1","settings":{}})", "discovery"},
      {R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:1"})", "settings"},
      {R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:1","settings":{}})", "RequestClasses"},
      {R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:1","seed":"xyz","settings":{}})", "seed"},
      {R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:1","limits":{"sockets":3},"settings":{}})",
       "sockets"},
      {R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:1","settings":{"RequestClasses":[
          {"Name":"a","Effect":"odd","TargetMs":1,"DeadlineMs":2}]}})",
       "Effect"},
      {R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:1","settings":{"RequestClasses":[
          {"Name":"a","Effect":"pure","TargetMs":9,"DeadlineMs":2}]}})",
       "latency objective"},
      {R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:1","settings":{"RequestClasses":[
          {"Name":"a","Effect":"token","TargetMs":1,"DeadlineMs":2}]}})",
       "key window"},
      {R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:1","settings":{"NInstances":0,"RequestClasses":[
          {"Name":"a","Effect":"pure","TargetMs":1,"DeadlineMs":2}]}})",
       "number of routers"},
  }));
  try {
    app::parse_config(c.text);
    FAIL("accepted: " << c.text);
  } catch (const app::ConfigError& e) {
    std::string what = e.what();
    CAPTURE(what);
    CHECK(what.find(c.expected_text) != std::string::npos);
    CHECK(what.find('\n') == std::string::npos);
  }
}

TEST_CASE("the outcome table") {
  using routing::AttemptOutcome;
  CHECK(proxy::outcome_of_error("25006") == AttemptOutcome::kDeclined);
  CHECK(proxy::outcome_of_error("72000") == AttemptOutcome::kDeclined);
  CHECK(proxy::outcome_of_error("53300") == AttemptOutcome::kRejected);
  CHECK(proxy::outcome_of_error("XX000") == AttemptOutcome::kError);
  CHECK(proxy::outcome_of_error("08P01") == AttemptOutcome::kError);
  CHECK(proxy::outcome_of_broken_connection(false) == AttemptOutcome::kNoConnection);
  CHECK(proxy::outcome_of_broken_connection(true) == AttemptOutcome::kReset);
  CHECK(proxy::outcome_of_timeout(false) == AttemptOutcome::kNotSent);
  CHECK(proxy::outcome_of_timeout(true) == AttemptOutcome::kTimedOut);
  CHECK(proxy::outcome_of_cancel(true) == AttemptOutcome::kCancelled);
}

TEST_CASE("positions: a known one is never rounded up, a required one never down") {
  routing::UnixClock clock(routing::Micros(1'767'225'600'000'000));
  CHECK(clock.known(1767225600123) <= routing::Micros(123000));
  CHECK(clock.known_seconds(1767225600.1234567) <= routing::Micros(123457));
  CHECK(clock.known_seconds(1767225600.1234567) >= routing::Micros(123455));
  CHECK(clock.required(1767225600123) >= routing::Micros(123000));
  CHECK(clock.required(1767225600123) < routing::Micros(124000));
}

}  // namespace database_proxy

// ---- the schedule of discovery calls -------------------------------------------------------------------

// The service answers one call per `kServiceTime` and rejects a call that would wait for longer than 2 s.
// With the same schedule for all, hundreds of proxies requested the full list twice a second for ever, and
// none received it.
TEST_CASE("Proxies that start together all get the list of a discovery service at its limit") {
  using namespace std::chrono_literals;
  using database_proxy::discovery::PollingSchedule;
  constexpr PollingSchedule::Micros kServiceTime = 50ms, kMaxQueueWait = 2s;
  constexpr int kRouters = 100;
  std::vector<PollingSchedule> schedules;
  std::multimap<PollingSchedule::Micros, int> due;
  for (int r = 0; r < kRouters; ++r) {
    schedules.emplace_back(kRouters, true, static_cast<std::uint64_t>(r + 1));
    due.emplace(schedules.back().first_call_delay(), r);
  }
  PollingSchedule::Micros busy_until{0}, last{0};
  int calls = 0;
  while (!due.empty() && calls < 10000) {
    auto [at, r] = *due.begin();
    due.erase(due.begin());
    ++calls;
    busy_until = std::max(busy_until, at);
    if (busy_until - at > kMaxQueueWait) {
      busy_until += kServiceTime / 4;  // a rejection is work as well
      due.emplace(at + schedules[static_cast<std::size_t>(r)].delay_after_rejected_call(), r);
    } else {
      last = busy_until += kServiceTime;
    }
  }
  CHECK(calls < 2 * kRouters);
  CHECK(last < 12s);
}

// The platform requires that a proxy knows a change at most 6 s after discovery had it and could be reached,
// and at most 4 s after SIGHUP. Any series of failed calls may precede that; one call succeeds by then.
TEST_CASE("After any series of failed calls, the next round succeeds in time") {
  using database_proxy::discovery::PollingSchedule;
  using Micros = PollingSchedule::Micros;
  auto proxies = GENERATE(1, 3, 20, 30, 300, 10000);
  auto calls_are_costly = GENERATE(false, true);
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    PollingSchedule schedule(proxies, calls_are_costly, seed);
    auto first = schedule.first_call_delay();
    Micros longest_pause{0};
    std::mt19937_64 random(seed);
    for (int i = 0; i < 40; ++i) {
      auto pause = random() % 2 ? schedule.delay_after_broken_call() : schedule.delay_after_rejected_call();
      longest_pause = std::max(longest_pause, pause);
    }
    CAPTURE(proxies, calls_are_costly, seed);
    auto lost_watch = schedule.watch_timeout() + longest_pause + PollingSchedule::kConnectTimeout;
    auto lost_list = schedule.list_timeout() + longest_pause + PollingSchedule::kConnectTimeout;
    CHECK(lost_watch < PollingSchedule::kNotificationDeadline);
    CHECK(lost_list < PollingSchedule::kNotificationDeadline);
    CHECK(first + schedule.list_timeout() < PollingSchedule::kNotificationDeadline);
    PollingSchedule reloaded(proxies, calls_are_costly, seed);
    auto after_reload = PollingSchedule::kConnectTimeout + schedule.list_timeout() +
                        reloaded.delay_after_broken_call() + PollingSchedule::kConnectTimeout;
    CHECK(after_reload < PollingSchedule::kNotificationDeadlineAfterReload);
  }
}

TEST_CASE("A service that is slow to answer is asked to wait less, so that its answers are not overdue") {
  using namespace std::chrono_literals;
  using database_proxy::discovery::PollingSchedule;
  PollingSchedule schedule;
  CHECK(schedule.watch_wait() == PollingSchedule::kWatchWait);
  for (auto delay : {100ms, 900ms, 1500ms, 2400ms}) {
    schedule.on_answered(schedule.watch_wait() + delay, schedule.watch_wait());
    CHECK(schedule.watch_wait() + delay < schedule.overdue_after(false, 0ms));
    CHECK(schedule.watch_wait() >= 0ms);
  }
  auto slow_wait = schedule.watch_wait();
  schedule.on_answered(slow_wait / 2, slow_wait);  // a change ended the wait: the delay is not known anew
  CHECK(schedule.watch_wait() == slow_wait);
  schedule.on_answered(slow_wait + 10ms, slow_wait);
  CHECK(schedule.watch_wait() == PollingSchedule::kWatchWait);
}

// Guards against one limit for answers that keep coming and for those that have stopped.
TEST_CASE("An answer that keeps coming gets more time before the next call, within a limit") {
  using namespace std::chrono_literals;
  using database_proxy::discovery::PollingSchedule;
  PollingSchedule schedule;
  for (bool is_full_list : {false, true}) {
    auto usual = schedule.overdue_after(is_full_list, 0ms);
    CHECK(schedule.overdue_after(is_full_list, 1ms) == std::max<PollingSchedule::Micros>(usual, 1001ms));
    CHECK(schedule.overdue_after(is_full_list, usual - 100ms) == usual + 900ms);
    CHECK(schedule.overdue_after(is_full_list, usual + 5s) == usual + 1s);
  }
  auto first = schedule.list_timeout();
  schedule.on_overdue();
  CHECK(schedule.list_timeout() > first);
  schedule.on_answered(0ms, 0ms);
  CHECK(schedule.list_timeout() == first);
}

TEST_CASE("A single proxy calls at once, and retries soon") {
  using namespace std::chrono_literals;
  database_proxy::discovery::PollingSchedule single_proxy(1, false, 7), fleet_of_three(3, true, 7);
  CHECK(single_proxy.first_call_delay() == 0ms);
  CHECK(single_proxy.delay_after_broken_call() <= 20ms);
  CHECK(single_proxy.delay_after_rejected_call() <= 30ms);
  CHECK(fleet_of_three.first_call_delay() <= 105ms);
  for (int i = 0; i < 20; ++i)
    single_proxy.delay_after_rejected_call(), single_proxy.delay_after_broken_call();
  CHECK(single_proxy.delay_after_rejected_call() <= 750ms);
  CHECK(single_proxy.delay_after_broken_call() <= 500ms);
}
