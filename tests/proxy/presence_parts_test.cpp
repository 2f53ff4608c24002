// The parts that decide what is known of a client, without sockets: which messages have no answer, when input
// was sent, and whether the client is connected.
#include <catch2/catch.hpp>
#include <random>
#include <string>

#include "pg/unanswered_messages.h"
#include "proxy/arrival_times.h"
#include "proxy/presence_monitor.h"

namespace database_proxy {
namespace {

using namespace std::chrono_literals;
using namespace std::string_literals;
using proxy::ArrivalTimes;
using proxy::Micros;
using proxy::PresenceMonitor;

constexpr std::size_t kMaxBody = 200;

std::string message(char type, std::size_t body_size) {
  auto length = body_size + 4;
  return std::string(1, type) + "\0\0"s + static_cast<char>(length >> 8) + static_cast<char>(length & 0xff) +
         std::string(body_size, type);
}

// Gives the input to a filter in pieces of at most `max_piece` bytes; returns what is left of it.
std::string filtered(const std::string& input, std::size_t max_piece, std::mt19937& random) {
  pg::UnansweredMessageFilter filter(kMaxBody);
  std::string left;
  std::size_t scanned = 0;
  for (std::size_t at = 0; at < input.size();) {
    auto size = std::min(input.size() - at, 1 + random() % max_piece);
    left += input.substr(at, size);
    at += size;
    auto result = filter.filter(left.data() + scanned, left.size() - scanned);
    left.resize(scanned + result.size);
    scanned += result.scanned;
  }
  return left;
}

}  // namespace

TEST_CASE("unanswered messages are removed, in pieces of any size") {
  auto max_piece = GENERATE(1, 2, 5, 64, 100'000);
  std::mt19937 random(7);
  std::string input, expected;
  bool is_skipping = false;
  const std::string types = "QHdcfSPBEDCF";
  for (int i = 0; i < 5000; ++i) {
    auto type = types[random() % types.size()];
    auto text = message(type, random() % kMaxBody);
    input += text;
    bool is_extended = "PBEDC"s.find(type) != std::string::npos;
    bool is_dropped = is_skipping ? type != 'S' : "Hdcf"s.find(type) != std::string::npos;
    if (!is_dropped) expected += text;
    is_skipping = type != 'S' && (is_skipping || is_extended);
  }
  CHECK(filtered(input, max_piece, random) == expected);
}

TEST_CASE("nothing is removed behind an invalid message") {
  auto invalid = GENERATE(message('H', kMaxBody + 1), "H\0\0\0\3"s, "H\xff\xff\xff\xff"s, "\x01\0\0\0\4"s);
  std::mt19937 random(7);
  auto rest = invalid + message('H', 3) + message('Q', 3);
  CHECK(filtered(message('H', 0) + message('Q', 1) + rest, 3, random) == message('Q', 1) + rest);
}

TEST_CASE("the incomplete end of an unanswered message is known") {
  pg::UnansweredMessageFilter filter(kMaxBody);
  auto text = message('d', 10);
  auto result = filter.filter(text.data(), 9);
  CHECK(result.size == 0);
  CHECK(filter.is_within_dropped_message());
  CHECK(filter.filter(text.data() + 9, 6).dropped_ends == 1);
  CHECK_FALSE(filter.is_within_dropped_message());
}

TEST_CASE("input that waited behind a limit counts as sent when its waiting began") {
  ArrivalTimes times(1s);
  times.begin_read(2s, 2s);
  times.on_bytes_read(100, 100);
  times.end_read(false);
  CHECK(times.sent_at(0, 100) == 1s);  // it may have waited to be accepted
  times.forget_before(100);
  times.begin_read(5s, 5s - 1ms);
  times.on_bytes_read(100, 200);
  times.end_read(true);
  times.begin_read(6s, 6s);
  times.on_bytes_read(100, 300);
  times.end_read(false);
  CHECK(times.sent_at(100, 200) == 5s - 1ms);
  CHECK(times.sent_at(150, 250) == 5s - 1ms);
  CHECK(times.sent_at(200, 300) == 5s - 1ms);
  times.begin_read(7s, 7s);
  times.on_bytes_read(50, 350);
  times.end_read(false);
  CHECK(times.sent_at(300, 350) == 7s);
  CHECK(times.sent_at(290, 350) == 5s - 1ms);  // reading paused within it
}

TEST_CASE("input of a client that sends without a pause counts as sent by what can be under way") {
  constexpr std::size_t kBytesPerRead = 64 * 1024;
  ArrivalTimes times(0s);
  Micros now{0};
  std::uint64_t end = 0;
  constexpr int kReads = 5000;
  for (int i = 0; i < kReads; ++i) {
    now += 1ms;
    times.begin_read(now, now);
    times.on_bytes_read(kBytesPerRead, ++end);
    times.end_read(true);
    times.forget_before(end - 1);
  }
  auto waited = now - times.sent_at(end - 1, end);
  CHECK(waited >= 128ms);  // 8 MiB
  CHECK(waited <= 140ms);
}

TEST_CASE("a client is known to be connected for a time after a sign, and not by what it has sent") {
  PresenceMonitor presence;
  CHECK_FALSE(presence.is_known(1s));
  presence.on_present(1s);
  CHECK(presence.is_known(1s + 80ms));
  CHECK_FALSE(presence.is_known(1s + 81ms));
  presence.on_output_accepted(10, 2s);
  presence.on_output_accepted(20, 2s + 10ms);
  CHECK(presence.awaits_confirmation());
  presence.on_output_confirmed(9);
  CHECK_FALSE(presence.is_known(2s));
  presence.on_output_confirmed(10);  // the time of a sign is that of the output, not of its confirmation
  CHECK(presence.is_known(2s + 80ms));
  CHECK_FALSE(presence.is_known(2s + 81ms));
  CHECK_FALSE(presence.awaits_confirmation());
  presence.on_output_accepted(20, 3s);  // the socket has accepted nothing more
  CHECK_FALSE(presence.awaits_confirmation());
}

}  // namespace database_proxy
