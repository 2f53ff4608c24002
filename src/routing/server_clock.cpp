#include "routing/server_clock.h"

#include <algorithm>

namespace database_proxy::routing {
namespace {

using namespace std::chrono_literals;

// Clocks synchronized by the same time service differ by less than this. It also covers a delay of 0.15 s
// between the arrival of an answer and the time at which the process reads it.
constexpr Micros kTolerance = 250ms;
// The time without a primary's answer after which the wall clock is trusted unless there is contrary
// evidence.
constexpr Micros kMaxLearningTime = 2s;
constexpr Micros kReadInterval = 100ms;
// The greatest age of a load report on arrival.
constexpr Micros kReportAge = 500ms;
// A load report alone corrects only errors beyond this, as it does not determine the distance more precisely.
constexpr Micros kCoarseError = 5s;
// The time within which a server's position is renewed.
constexpr Micros kPositionLifetime = 10s;
// The number of consecutive answers that must contradict the known distance where they make servers look
// younger.
constexpr int kContradictingAnswers = 8;
// Positions come in whole milliseconds, rounded down.
constexpr Micros kRounding = 1ms;

}  // namespace

Micros ServerClock::to_micros(std::int64_t unix_ms) {
  constexpr std::int64_t kLatest = 100'000'000'000'000;
  return std::chrono::milliseconds(std::clamp<std::int64_t>(unix_ms, 0, kLatest));
}

ServerClock::ServerClock(UnixClock local)
    : local_clock_(local),
      local_distance_(local.distance()),
      distance_(local.distance()),
      is_confirmed_(!local.is_live()),
      least_distance_(local.distance()) {}

void ServerClock::read_local_clock(Micros now) {
  if (!local_clock_.is_live() || (read_at_ != Micros::min() && now - read_at_ < kReadInterval)) return;
  read_at_ = now;
  on_local_distance(now, UnixClock::measure_distance());
}

void ServerClock::on_local_distance(Micros now, Micros distance) {
  bool is_stepped = std::chrono::abs(distance - local_distance_) > kTolerance;
  local_distance_ = distance;
  if (is_stepped) forget_confirmation(now);
  update_distance(now);
}

void ServerClock::forget_confirmation(Micros now) {
  is_confirmed_ = false;
  unconfirmed_since_ = now;
}

void ServerClock::on_primary_position(Micros unix_time, Micros sent_at, Micros received_at) {
  on_evidence(received_at, {unix_time - received_at, unix_time + kRounding - sent_at});
}

void ServerClock::on_primary_report(Micros unix_time, Micros sent_at, Micros received_at) {
  Interval coarse{unix_time - received_at, unix_time + kReportAge - sent_at};
  bool is_far_off = distance_ > coarse.greatest + kCoarseError || distance_ < coarse.least - kTolerance;
  if (is_far_off) on_evidence(received_at, coarse);
}

// Returns whether the evidence would make servers look younger than the distance known so far does and has
// not been repeated often enough.
bool ServerClock::is_doubtful(const Interval& evidence) {
  auto known = evidence_ ? evidence_->least : local_distance_;
  bool is_younger = evidence.greatest < known - kTolerance;
  doubtful_answers_ = is_younger ? doubtful_answers_ + 1 : 0;
  return is_younger && doubtful_answers_ < kContradictingAnswers;
}

// Two answers that agree narrow the interval of the distance. If they contradict each other, the servers'
// clock has been stepped.
void ServerClock::on_evidence(Micros now, Interval evidence) {
  if (is_doubtful(evidence)) return;
  if (evidence_) {
    Interval both{std::max(evidence_->least, evidence.least),
                  std::min(evidence_->greatest, evidence.greatest)};
    bool agree = both.least <= both.greatest + kTolerance;
    if (agree) evidence = {std::min(both.least, both.greatest), std::max(both.least, both.greatest)};
  }
  evidence_ = evidence;
  is_confirmed_ = true;
  update_distance(now);
}

void ServerClock::update_distance(Micros now) {
  if (!evidence_) {
    // Of two readings that differ, the greater makes servers look older.
    return set_distance(now, is_confirmed_ ? local_distance_ : std::max(local_distance_, distance_));
  }
  bool is_proved =
      local_distance_ >= evidence_->least - kTolerance && local_distance_ <= evidence_->greatest + kTolerance;
  set_distance(now, is_proved ? local_distance_ : evidence_->greatest);
}

void ServerClock::set_distance(Micros now, Micros distance) {
  if (now >= least_until_) least_distance_ = distance_;
  if (std::chrono::abs(distance - distance_) > kTolerance) {
    ++version_;
    least_until_ = now + kPositionLifetime;
  }
  distance_ = distance;
  least_distance_ = std::min(least_distance_, distance);
}

std::optional<Micros> ServerClock::position(Micros unix_time, Micros received_at, bool is_primary) {
  if (unconfirmed_since_ == Micros::min()) unconfirmed_since_ = received_at;
  bool is_in_future = unix_time - received_at > distance_ + kTolerance;
  if (is_in_future) {
    // A position cannot be in the future, so the distance is too small.
    forget_confirmation(received_at);
    evidence_.reset();
    set_distance(received_at, unix_time - received_at);
    return std::nullopt;
  }
  bool has_learned = is_confirmed_ || received_at - unconfirmed_since_ > kMaxLearningTime;
  if (!has_learned && !is_primary) return std::nullopt;
  return unix_time - distance_;
}

Micros ServerClock::required(std::int64_t unix_ms) const {
  return to_micros(unix_ms) + Micros(1) - least_distance_;
}

Micros ServerClock::start(std::int64_t unix_ms, Micros now) const {
  return std::min(now, to_micros(unix_ms) - distance_);
}

}  // namespace database_proxy::routing
