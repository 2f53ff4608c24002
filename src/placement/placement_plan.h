// The placement plan: the state of each zone of servers, and the share of its requests that each zone of
// clients sends there. The lease holder of the placement job makes plans, the consensus log distributes them,
// and proxies follow them.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "placement/zone_observation.h"

namespace database_proxy::placement {

// Milliseconds of Unix time, by the lease holder's wall clock, because a plan outlives the lease holder that
// made it.
using Millis = std::int64_t;

// The phase of a zone of servers, or of the link from a zone of clients to it (kOpen and kClosed only).
// placement/zone_phase_machine.h describes the transitions.
enum class Phase : std::uint8_t { kOpen, kClosed, kOpening, kEvacuating, kEvacuated };

// The reason why a zone entered its phase, or why a transition that is due was deferred.
enum class PhaseReason : std::uint8_t {
  kNone,
  kUnhealthy,             // a majority of proxies in at least two zones found it unhealthy
  kHealthy,               // the proxies have found it healthy for Options::open_after
  kStep,                  // the last step went well: more of its capacity is used, or less in an evacuation
  kUnhealthyAgain,        // became unhealthy while it was being opened
  kOperator,              // evacuated or restored by command
  kInsufficientCapacity,  // should close or evacuate further, but the others lack the capacity
  kChangeBudgetExhausted  // should close, but has changed too often within a minute
};

// Returns the text that logs, operators' commands and stored plans show.
const char* text_of(Phase phase);
const char* text_of(PhaseReason reason);

// The state of one zone or link in the plan. It is stored under the keys in placement_codec.cpp.
struct ZoneState {
  Phase phase = Phase::kOpen;
  PhaseReason reason = PhaseReason::kNone;
  Millis since = 0;              // time at which it entered the phase
  Millis last_step = 0;          // time of the last step while opening or evacuating
  Millis unhealthy_since = 0;    // since when the proxies agree that it is unhealthy; 0: they do not
  Millis healthy_since = 0;      // since when they agree that it is healthy; 0: they do not
  double capacity_fraction = 1;  // usable fraction of its capacity
  bool forced = false;           // evacuated although the others lack the capacity for its requests
  bool operator==(const ZoneState&) const = default;
};

// Changes the phase. All transitions go through this function, except that a link which opens is reset to a
// new ZoneState.
void enter_phase(ZoneState* state, Phase phase, PhaseReason reason, double capacity_fraction, Millis now);

// The share of each zone of servers, by shard group and clients' zone.
using Shares = std::map<std::pair<ShardGroupId, Zone>, std::map<Zone, double>>;

// Returns the share of the servers' zone `to` in the requests of clients in `from`, or 0 if it has none.
double share_of(const Shares& shares, ShardGroupId shard_group, const Zone& from, const Zone& to);

// One numbered plan. With the planner's input, it is all that the next plan depends on.
struct Plan {
  std::uint64_t number = 0;
  std::map<Zone, ZoneState> zones;
  // By clients' zone and servers' zone. A link that is absent is open.
  std::map<std::pair<Zone, Zone>, ZoneState> links;
  // Shares of the requests of a shard group by clients of a zone. Where they add up to less than 1, proxies
  // reject the remaining requests at once.
  Shares shares;
  // The load that a zone can take over when any one other zone fails: the share of the failed zone's requests
  // which its clients may send to this zone instead. Even if all clients use all of it at once, the load
  // stays within the zone's capacity.
  Shares surplus_capacity;
  // Zones and links ("from>to") that changed their phase within the last minute, with the time of the change.
  std::vector<std::pair<Zone, Millis>> changes;
  // Set while an operator has stopped the planner: no further plans are made.
  bool frozen = false;

  // Returns the share of the requests that proxies reject, or 0 if the plan does not mention the shard group
  // and zone.
  double rejected_share(ShardGroupId shard_group, const Zone& from) const;
  // Returns whether clients in `from` may send requests to servers in `to`.
  bool link_is_open(const Zone& from, const Zone& to) const;
  // Returns the usable fraction of the zone's capacity: 1 for a zone that the plan does not mention.
  double capacity_fraction(const Zone& zone) const;
  // Returns whether proxies would act alike on both plans. Numbers and times are ignored.
  bool is_equivalent_to(const Plan& other) const;
};

}  // namespace database_proxy::placement
