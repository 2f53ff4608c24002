#include "placement/placement_plan.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <map>
#include <utility>

#include "placement/zone_observation.h"

namespace database_proxy::placement {
namespace {

using Links = std::map<std::pair<Zone, Zone>, ZoneState>;

// Compares two states without their times, on which proxies do not act.
bool is_same_state(const ZoneState& one, const ZoneState& other) {
  return one.phase == other.phase && one.reason == other.reason &&
         one.capacity_fraction == other.capacity_fraction && one.forced == other.forced;
}

template <typename States>
bool are_same_states(const States& ones, const States& others) {
  return std::equal(ones.begin(), ones.end(), others.begin(), others.end(),
                    [](const auto& one, const auto& other) {
                      return one.first == other.first && is_same_state(one.second, other.second);
                    });
}

// Returns the links that are not open. Proxies treat an open link that is suspected to be unhealthy like any
// other open link.
Links closed_links(const Links& links) {
  Links closed;
  for (const auto& [key, link] : links)
    if (link.phase != Phase::kOpen) closed.emplace(key, link);
  return closed;
}

}  // namespace

const char* text_of(Phase phase) {
  constexpr std::array kTexts{"open", "closed", "opening", "evacuating", "evacuated"};
  return kTexts.at(static_cast<std::size_t>(phase));
}

const char* text_of(PhaseReason reason) {
  constexpr std::array kTexts{"",
                              "seen ill by a majority of proxies in several zones",
                              "seen well again for long enough",
                              "the last step went well",
                              "ill again while it was being opened",
                              "by the operator",
                              "ill, but the others cannot carry what it still serves",
                              "too many changes within a minute"};
  return kTexts.at(static_cast<std::size_t>(reason));
}

void enter_phase(ZoneState* state, Phase phase, PhaseReason reason, double capacity_fraction, Millis now) {
  state->phase = phase;
  state->reason = reason;
  state->capacity_fraction = capacity_fraction;
  state->since = now;
}

double share_of(const Shares& shares, ShardGroupId shard_group, const Zone& from, const Zone& to) {
  auto it = shares.find({shard_group, from});
  if (it == shares.end()) return 0;
  auto share = it->second.find(to);
  return share == it->second.end() ? 0 : share->second;
}

double Plan::rejected_share(ShardGroupId shard_group, const Zone& from) const {
  auto it = shares.find({shard_group, from});
  if (it == shares.end()) return 0;
  double sum = 0;
  for (const auto& [zone, share] : it->second) sum += share;
  return std::max(0.0, 1 - sum);
}

bool Plan::link_is_open(const Zone& from, const Zone& to) const {
  auto it = links.find({from, to});
  return it == links.end() || it->second.phase != Phase::kClosed;
}

double Plan::capacity_fraction(const Zone& zone) const {
  auto it = zones.find(zone);
  return it == zones.end() ? 1 : it->second.capacity_fraction;
}

bool Plan::is_equivalent_to(const Plan& other) const {
  return are_same_states(zones, other.zones) &&
         are_same_states(closed_links(links), closed_links(other.links)) && shares == other.shares &&
         surplus_capacity == other.surplus_capacity && frozen == other.frozen;
}

}  // namespace database_proxy::placement
