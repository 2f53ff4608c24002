#include "testbench/rules.h"

#include <fmt/format.h>

#include <algorithm>

namespace database_proxy::testbench {
namespace {

// A request that has ended is forgotten after one to two of these; no request lasts so long.
constexpr Micros kKeep{15'000'000};

}  // namespace

std::string_view name_of(Rule rule) {
  switch (rule) {
    case Rule::kTwoOut:
      return "two attempts out at once";
    case Rule::kTooMany:
      return "too many attempts";
    case Rule::kDrained:
      return "sent after the grace of a drain";
    case Rule::kWithdrawn:
      return "sent by a node that was told to leave the server";
    case Rule::kCold:
      return "cold member overrun";
    case Rule::kStale:
      return "stale answer";
    case Rule::kKey:
      return "repeat beyond its key";
    case Rule::kWrongValue:
      return "value of another request";
    case Rule::kTwoAnswers:
      return "not one answer";
  }
  return "?";
}

void RuleChecker::breach(Rule rule, const std::string& what) {
  std::lock_guard lock(mutex_);
  auto& b = breaches_[rule];
  b.rule = rule;
  if (++b.count == 1) b.first = what;
}

bool RuleChecker::was_attempted(std::string_view request) {
  auto& s = shard(request);
  std::lock_guard lock(s.mutex);
  std::string id(request);
  return s.recent.contains(id) || s.older.contains(id);
}

void RuleChecker::attempt(Micros now, Micros begun, std::string_view request, std::string_view server) {
  bool two = false;
  int attempts = 0;
  {
    auto& s = shard(request);
    std::lock_guard lock(s.mutex);
    if (now - s.swapped > kKeep) {
      s.older = std::exchange(s.recent, {});
      s.swapped = now;
    }
    std::string id(request);
    auto [it, fresh] = s.recent.try_emplace(id);
    if (fresh)
      if (auto node = s.older.extract(id)) it->second = node.mapped();
    two = ++it->second.out > 1;
    attempts = ++it->second.attempts;
  }
  if (two)
    breach(Rule::kTwoOut, fmt::format("request {} at {} while another attempt is out", request, server));
  if (attempts > limits_.attempts)
    breach(Rule::kTooMany, fmt::format("request {} sent {} times", request, attempts));
  if (auto what = withdrawals_.on_attempt(begun, request, std::string(server)))
    breach(Rule::kWithdrawn, *what);
  if (!drains_.load(std::memory_order_acquire)) return;
  std::lock_guard lock(mutex_);
  auto it = told_.find(std::string(server));
  if (it == told_.end() || it->second.takes) return;
  it->second.last_send = std::max(it->second.last_send, begun);
  if (begun - it->second.at <= limits_.drain_grace) return;
  auto& b = breaches_[Rule::kDrained];
  b.rule = Rule::kDrained;
  if (++b.count == 1)
    b.first = fmt::format("request {} at {}, {} ms after the word", request, server,
                          (begun - it->second.at).count() / 1000);
}

void RuleChecker::ended(std::string_view request) {
  auto& s = shard(request);
  std::lock_guard lock(s.mutex);
  std::string id(request);
  auto it = s.recent.find(id);
  if (it == s.recent.end()) {
    it = s.older.find(id);
    if (it == s.older.end()) return;
  }
  --it->second.out;
}

void RuleChecker::told(Micros now, const std::string& server, bool takes) {
  std::lock_guard lock(mutex_);
  auto& t = told_[server];
  if (t.takes != takes) t = {now, takes, Micros(-1)};
  if (!takes) drains_.store(true, std::memory_order_release);
}

void RuleChecker::share(Micros now, std::int64_t set, const std::string& server, double speed) {
  for (auto& what : slow_start_.on_request(now, set, server, speed)) breach(Rule::kCold, what);
}

std::vector<RuleChecker::Breach> RuleChecker::breaches() const {
  std::lock_guard lock(mutex_);
  std::vector<Breach> all;
  for (auto& [rule, breach] : breaches_) all.push_back(breach);
  return all;
}

std::uint64_t RuleChecker::total() const {
  std::uint64_t sum = 0;
  for (auto& b : breaches()) sum += b.count;
  return sum;
}

std::string RuleChecker::breaches_in_words() const {
  std::string lines;
  for (auto& b : breaches()) lines += fmt::format("{}, {} times: {}\n", name_of(b.rule), b.count, b.first);
  return lines;
}

std::map<std::string, double> RuleChecker::drain_last_send_ms() const {
  std::lock_guard lock(mutex_);
  std::map<std::string, double> result;
  for (auto& [server, t] : told_)
    if (!t.takes)
      result[server] = t.last_send < t.at ? -1 : static_cast<double>((t.last_send - t.at).count()) / 1000;
  return result;
}

}  // namespace database_proxy::testbench
