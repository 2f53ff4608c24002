#include "router_state.h"

namespace request_router::internal {
namespace {

// Silence that raises a question, in smallest latency objectives. An eighth leaves time to ask the member and
// to send a read elsewhere before the objective is over.
constexpr double kSilenceLimitFraction = 0.125;

// The silence is never shorter than so many steps: two batches have to pass before an answer can be missed.
constexpr int kMinSilenceLimitSteps = 3;

// Half-life of latencies, in smallest latency objectives: much longer than any request takes, so that it
// fades between requests and not during them.
constexpr int kHalfLifeObjectives = 32;

// The tick, in smallest latency objectives: half of the silence that it has to notice.
constexpr double kTickFraction = 1.0 / 16;

// Stands for half of the strictest bound where no class has one, in smallest latency objectives.
constexpr int kHalfBoundObjectives = 4;

// The slowdown of a member fades by half in so many silences, two of the smallest latency objectives: it
// tells of the last requests, not of the day.
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
