#include "placement/zone_health_agreement.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>

#include "placement/planner_input.h"
#include "placement/zone_observation.h"

namespace database_proxy::placement {
namespace {

// A zone that serves at least this fraction of its capacity is taken to be late because of its load.
constexpr double kNearCapacity = 0.5;
// A zone that loses at least this fraction of the attempts sent to it helps no client by staying open.
constexpr double kFailedFraction = 0.9;
// Among at least this many proxies, a single one that finds a zone unhealthy does not keep it closed.
constexpr std::uint64_t kReportersToOutvoteOne = 3;

struct Attempts {
  std::uint64_t sent = 0, lost = 0;
};

}  // namespace

bool ZoneHealthAgreement::is_mostly_healthy(const HealthVotes& votes) const {
  return static_cast<double>(votes.healthy) >= options_.healthy_fraction * static_cast<double>(votes.total());
}

Agreement ZoneHealthAgreement::link_agreement(const Zone& from, const Zone& to) const {
  auto it = input_.observation.votes().find({from, to});
  if (it == input_.observation.votes().end()) return Agreement::kUndecided;
  const auto& votes = it->second;
  auto total = votes.total();
  if (total < (options_.flaw_single_reporter ? 1 : options_.min_reporters)) return Agreement::kUndecided;
  // A zone that is late while it serves near its capacity is overloaded, and closing it would help no client.
  bool ignores_late_votes = serves_near_capacity(to) || !finds_any_healthy(from);
  auto unhealthy = votes.unhealthy + (ignores_late_votes ? 0 : votes.late);
  if (static_cast<double>(unhealthy) >= options_.unhealthy_fraction * static_cast<double>(total))
    return Agreement::kUnhealthy;
  if (unhealthy == 1 && votes.late <= 1 && total >= kReportersToOutvoteOne) return Agreement::kHealthy;
  return is_mostly_healthy(votes) ? Agreement::kHealthy : Agreement::kUndecided;
}

Agreement ZoneHealthAgreement::zone_agreement(const Zone& zone) const {
  // If the proxies in the zone itself find it healthy, only the links to it have failed.
  if (!options_.flaw_single_reporter && link_agreement(zone, zone) == Agreement::kHealthy)
    return Agreement::kHealthy;
  int unhealthy = 0;
  int healthy = 0;
  int reporters = 0;  // zones whose proxies have an opinion
  for (const auto& [key, votes] : input_.observation.votes()) {
    if (key.second != zone) continue;
    auto agreement = link_agreement(key.first, zone);
    if (agreement == Agreement::kUndecided && votes.total() < options_.min_reporters) continue;
    ++reporters;
    unhealthy += agreement == Agreement::kUnhealthy;
    healthy += agreement == Agreement::kHealthy;
  }
  if (options_.flaw_single_reporter && unhealthy > 0) return Agreement::kUnhealthy;
  if (unhealthy >= zones_needed() && unhealthy * 2 > reporters) return Agreement::kUnhealthy;
  return reporters > 0 && healthy * 2 > reporters ? Agreement::kHealthy : Agreement::kUndecided;
}

// Returns the number of zones of proxies that must agree. If all proxies are in one zone, that zone decides.
int ZoneHealthAgreement::zones_needed() const {
  std::set<Zone> reporters;
  for (const auto& [key, votes] : input_.observation.votes())
    if (votes.total() >= options_.min_reporters) reporters.insert(key.first);
  return std::min(options_.min_zones, std::max(1, static_cast<int>(reporters.size())));
}

// Returns whether the proxies in `from` find any zone healthy. If they find all zones late, the proxies
// themselves are slow.
bool ZoneHealthAgreement::finds_any_healthy(const Zone& from) const {
  return std::any_of(input_.observation.votes().begin(), input_.observation.votes().end(),
                     [&](const auto& entry) {
                       const auto& [key, votes] = entry;
                       return key.first == from && votes.total() > 0 && is_mostly_healthy(votes);
                     });
}

bool ZoneHealthAgreement::serves_near_capacity(const Zone& zone) const {
  double served = 0;
  double capacity = 0;
  for (const auto& [key, sample] : input_.observation.samples()) {
    if (std::get<2>(key) != zone) continue;
    auto not_served = sample.refused + sample.timed_out + sample.failed + sample.rejected;
    served += static_cast<double>(sample.attempts - std::min(sample.attempts, not_served));
  }
  for (const auto& [key, supply] : input_.supply)
    if (key.second == zone) capacity += supply.current_capacity;
  return capacity > 0 && served / input_.seconds >= kNearCapacity * capacity;
}

bool ZoneHealthAgreement::has_failed(const Zone& zone) const {
  std::map<Zone, Attempts> attempts_from;  // by zone of proxies
  for (const auto& [key, sample] : input_.observation.samples()) {
    if (std::get<2>(key) != zone || sample.attempts == 0) continue;
    auto& attempts = attempts_from[std::get<0>(key)];
    attempts.sent += sample.attempts;
    attempts.lost += sample.refused + sample.timed_out +
                     sample.failed;  // rejected attempts are not lost: the server works
  }
  return !attempts_from.empty() &&
         std::all_of(attempts_from.begin(), attempts_from.end(), [](const auto& entry) {
           const auto& attempts = entry.second;
           return static_cast<double>(attempts.lost) >= kFailedFraction * static_cast<double>(attempts.sent);
         });
}

}  // namespace database_proxy::placement
