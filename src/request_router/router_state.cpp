#include "router_state.h"

namespace request_router::internal {
namespace {

// The silence limit, in smallest latency objectives. An eighth leaves time to probe the member and to send a
// read elsewhere within the objective.
constexpr double kSilenceLimitFraction = 0.125;

// Minimum of the silence limit, in steps (the minimum time between batches): two batches have to pass before
// an answer counts as missing.
constexpr int kMinSilenceLimitSteps = 3;

// Half-life of observed latencies, in smallest latency objectives: much longer than any request takes, so
// that an observation loses weight between requests and not during one.
constexpr int kHalfLifeObjectives = 32;

// The tick, in smallest latency objectives: half of the silence limit that it has to detect.
constexpr double kTickFraction = 1.0 / 16;

// Value of TimeSpans::half_bound where no class has a bound, in smallest latency objectives.
constexpr int kHalfBoundObjectives = 4;

// Half-life of a member's slowdown, in silence limits: two smallest latency objectives, so that it reflects
// the last requests and not a long period.
constexpr int kSlowdownHalfLifeSilences = 16;

Micros smallest_objective_of(const Settings& settings) {
  Micros smallest = Micros::max();
  for (const auto& request_class : settings.classes)
    smallest = std::min(smallest, request_class.latency_objective);
  return smallest;
}

Micros half_bound_of(const Settings& settings, Micros smallest_objective) {
  Micros bound = Micros::max();
  for (const auto& request_class : settings.classes)
    if (request_class.level == ReadLevel::kBounded && request_class.bound.count() > 0)
      bound = std::min(bound, request_class.bound);
  return bound == Micros::max() ? smallest_objective * kHalfBoundObjectives : bound / 2;
}

Settings with_max_attempts_capped(Settings settings) {
  settings.max_attempts = std::min(settings.max_attempts, kMaxAttempts);
  return settings;
}

}  // namespace

TimeSpans::TimeSpans(const Settings& settings)
    : smallest_objective(smallest_objective_of(settings)),
      silence_limit(
          std::max(scale(smallest_objective, kSilenceLimitFraction), settings.step * kMinSilenceLimitSteps)),
      observation_half_life(smallest_objective * kHalfLifeObjectives),
      tick(std::max(scale(smallest_objective, kTickFraction), settings.step)),
      half_bound(half_bound_of(settings, smallest_objective)) {}

RouterState::RouterState(Settings router_settings, std::uint64_t router_seed)
    : settings(with_max_attempts_capped(std::move(router_settings))),
      seed(router_seed),
      spans(settings),
      longest_client_timeout(settings.classes.size(), Micros(0)),
      latency(settings.classes, spans.observation_half_life, spans.silence_limit * kSlowdownHalfLifeSilences),
      probe_budget(settings, deterministic_fraction(0, kProbeBudgetDraw)),
      work_rates(settings) {}

// The mixing steps are those of SplitMix64; the upper 53 bits become a double below 1.
double RouterState::deterministic_fraction(std::uint64_t request, MemberId member) const {
  std::uint64_t bits = seed ^ (request * 0x9e3779b97f4a7c15) ^ (std::uint64_t{member} << 32);
  bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9;
  bits = (bits ^ (bits >> 27)) * 0x94d049bb133111eb;
  return static_cast<double>((bits ^ (bits >> 31)) >> 11) * 0x1p-53;
}

}  // namespace request_router::internal
