#include "testbench/rules.h"

#include <fmt/format.h>

#include <algorithm>

namespace database_proxy::testbench {
namespace {

// The state of a request is discarded after one to two of these periods; no request lasts that long.
constexpr Micros kRetention{15'000'000};

}  // namespace

std::string_view name_of(Invariant invariant) {
  switch (invariant) {
    case Invariant::kConcurrentAttempts:
      return "two attempts out at once";
    case Invariant::kTooManyAttempts:
      return "too many attempts";
    case Invariant::kSentAfterDrain:
      return "sent after the grace of a drain";
    case Invariant::kSentWhileOutOfService:
      return "sent by a node that was told to leave the server";
    case Invariant::kSlowStartOverload:
      return "cold member overrun";
    case Invariant::kStaleRead:
      return "stale answer";
    case Invariant::kExpiredIdempotencyKey:
      return "repeat beyond its key";
    case Invariant::kWrongValue:
      return "value of another request";
    case Invariant::kUnexpectedAnswer:
      return "not one answer";
  }
  return "?";
}

void InvariantChecker::record_violation(Invariant invariant, const std::string& detail) {
  std::lock_guard lock(mutex_);
  auto& b = violations_[invariant];
  b.invariant = invariant;
  if (++b.count == 1) b.first = detail;
}

bool InvariantChecker::was_attempted(std::string_view request) {
  auto& s = stripe_of(request);
  std::lock_guard lock(s.mutex);
  std::string id(request);
  return s.recent.contains(id) || s.older.contains(id);
}

void InvariantChecker::on_attempt(Micros now, Micros begun, std::string_view request,
                                  std::string_view server) {
  bool is_concurrent = false;
  int attempts = 0;
  {
    auto& s = stripe_of(request);
    std::lock_guard lock(s.mutex);
    if (now - s.rotated_at > kRetention) {
      s.older = std::exchange(s.recent, {});
      s.rotated_at = now;
    }
    std::string id(request);
    auto [it, inserted] = s.recent.try_emplace(id);
    if (inserted)
      if (auto node = s.older.extract(id)) it->second = node.mapped();
    is_concurrent = ++it->second.in_flight > 1;
    attempts = ++it->second.attempts;
  }
  if (is_concurrent)
    record_violation(Invariant::kConcurrentAttempts,
                     fmt::format("request {} at {} while another attempt is in flight", request, server));
  if (attempts > limits_.attempts)
    record_violation(Invariant::kTooManyAttempts, fmt::format("request {} sent {} times", request, attempts));
  if (auto detail = out_of_service_checker_.on_attempt(begun, request, std::string(server)))
    record_violation(Invariant::kSentWhileOutOfService, *detail);
  if (!has_seen_drain_.load(std::memory_order_acquire)) return;
  std::lock_guard lock(mutex_);
  auto it = listed_states_.find(std::string(server));
  if (it == listed_states_.end() || it->second.takes_work) return;
  it->second.last_attempt = std::max(it->second.last_attempt, begun);
  if (begun - it->second.at <= limits_.drain_grace) return;
  auto& b = violations_[Invariant::kSentAfterDrain];
  b.invariant = Invariant::kSentAfterDrain;
  if (++b.count == 1)
    b.first = fmt::format("request {} at {}, {} ms after the drain notice", request, server,
                          (begun - it->second.at).count() / 1000);
}

void InvariantChecker::on_attempt_end(std::string_view request) {
  auto& s = stripe_of(request);
  std::lock_guard lock(s.mutex);
  std::string id(request);
  auto it = s.recent.find(id);
  if (it == s.recent.end()) {
    it = s.older.find(id);
    if (it == s.older.end()) return;
  }
  --it->second.in_flight;
}

void InvariantChecker::on_listed(Micros now, const std::string& server, bool takes_work) {
  std::lock_guard lock(mutex_);
  auto& t = listed_states_[server];
  if (t.takes_work != takes_work) t = {now, takes_work, Micros(-1)};
  if (!takes_work) has_seen_drain_.store(true, std::memory_order_release);
}

void InvariantChecker::on_request(Micros now, std::int64_t shard_group, const std::string& server,
                                  double speed) {
  for (auto& detail : slow_start_.on_request(now, shard_group, server, speed))
    record_violation(Invariant::kSlowStartOverload, detail);
}

std::vector<InvariantChecker::Violation> InvariantChecker::violations() const {
  std::lock_guard lock(mutex_);
  std::vector<Violation> all;
  for (auto& [invariant, violation] : violations_) all.push_back(violation);
  return all;
}

std::uint64_t InvariantChecker::total() const {
  std::uint64_t sum = 0;
  for (auto& b : violations()) sum += b.count;
  return sum;
}

std::string InvariantChecker::describe_violations() const {
  std::string lines;
  for (auto& b : violations())
    lines += fmt::format("{}, {} times: {}\n", name_of(b.invariant), b.count, b.first);
  return lines;
}

std::map<std::string, double> InvariantChecker::drain_last_send_ms() const {
  std::lock_guard lock(mutex_);
  std::map<std::string, double> result;
  for (auto& [server, t] : listed_states_)
    if (!t.takes_work)
      result[server] =
          t.last_attempt < t.at ? -1 : static_cast<double>((t.last_attempt - t.at).count()) / 1000;
  return result;
}

}  // namespace database_proxy::testbench
