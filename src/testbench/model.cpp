#include "testbench/model.h"

#include <algorithm>
#include <cmath>

namespace database_proxy::testbench {
namespace {

// Number of windows for which keys are retained, so that a repeat after its window is still detected.
constexpr int kRetainedWindows = 12;

// Returns a log-normal distribution with mean 1 and the given coefficient of variation.
std::lognormal_distribution<double> log_normal_with_mean_one(double variation) {
  double s2 = std::log(1 + variation * variation);
  return std::lognormal_distribution<double>(-s2 / 2, std::sqrt(s2));
}

}  // namespace

ServerModel::ServerModel(const ModelOptions& options, std::uint64_t seed, bool primary)
    : options_(options),
      primary_(primary),
      lag_(options.lag),
      free_at_(static_cast<std::size_t>(std::max(1, options.cores)), Micros(0)),
      random_(seed),
      service_(log_normal_with_mean_one(options.service_variation)) {}

double ServerModel::speed(Micros now) const {
  if (started_.count() == 0 || options_.warm_up.count() <= 0) return 1;
  double age = static_cast<double>((now - started_).count()) / static_cast<double>(options_.warm_up.count());
  return age >= 1 ? 1 : options_.initial_speed + (1 - options_.initial_speed) * std::max(0.0, age);
}

std::int64_t ServerModel::position(std::int64_t unix_ms) {
  auto reached = primary_ ? unix_ms : unix_ms - lag_ / Micros(1000);
  return position_ = std::max(position_, reached);
}

void ServerModel::set_lag(Micros lag, std::int64_t unix_ms) {
  position(unix_ms);  // data that has been applied is kept
  lag_ = lag;
}

void ServerModel::set_primary(bool primary, std::int64_t unix_ms) {
  position(unix_ms);
  primary_ = primary;
}

Admission ServerModel::admit(Micros now, std::int64_t unix_ms, const ModelRequest& request) {
  if (state_ == ServerState::kUnresponsive || state_ == ServerState::kDown)
    return {AdmissionResult::kNoAnswer, now};
  if (request.kind == RequestKind::kProbe) return {AdmissionResult::kRun, now};
  if (now < overloaded_until_) return {AdmissionResult::kRejected, now};
  if (options_.overload_in_flight > 0 && speed(now) < 1 &&
      in_flight_ > options_.overload_in_flight * speed(now)) {
    ++overloads_;
    overloaded_until_ = now + options_.overload_duration;
    restart(overloaded_until_);
    return {AdmissionResult::kRejected, now};
  }
  if (failure_rate_ > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < failure_rate_)
    return {AdmissionResult::kFailed, now};
  if (state_ == ServerState::kDraining || in_flight_ >= static_cast<int>(options_.max_in_flight))
    return {AdmissionResult::kRejected, now};
  if (request.kind == RequestKind::kWrite && !primary_) return {AdmissionResult::kNotPrimary, now};
  if (options_.check_staleness && !primary_) {
    auto at = position(unix_ms);
    if (request.kind == RequestKind::kBoundedStaleness &&
        at < unix_ms - options_.staleness_bound / Micros(1000))
      return {AdmissionResult::kTooOld, now};
    if (request.kind == RequestKind::kReadYourWrites && at < request.after_unix_ms)
      return {AdmissionResult::kTooOld, now};
  }
  ++in_flight_;
  if (options_.service_us <= 0) return {AdmissionResult::kRun, now};
  auto core = std::min_element(free_at_.begin(), free_at_.end());
  double us = options_.service_us * service_(random_) / speed(now);
  if (request.kind == RequestKind::kWrite) us *= options_.write_factor;
  us *= slowdown_;
  *core = std::max(*core, now) + Micros(static_cast<std::int64_t>(us));
  return {AdmissionResult::kRun, *core};
}

IdempotencyKeyStore::Applied IdempotencyKeyStore::apply(Micros now, std::uint64_t key) {
  if (now - rotated_at_ > window_ * kRetainedWindows) {
    older_ = std::exchange(recent_, {});
    rotated_at_ = now;
  }
  auto [it, inserted] = recent_.try_emplace(key, now);
  auto before = it->second;
  if (inserted) {
    auto old = older_.find(key);
    if (old == older_.end()) return Applied::kFirst;
    before = it->second = old->second;
  }
  if (now - before <= window_) return Applied::kRepeat;
  it->second = now;
  return Applied::kTwice;
}

}  // namespace database_proxy::testbench
