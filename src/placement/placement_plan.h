// The plan of traffic: the state of each zone of servers, and the shares of requests that each zone of
// clients sends to it. The owner of the placement job makes plans, the group's log carries them, proxies
// follow them.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "placement/zone_observation.h"

namespace database_proxy::placement {

// Milliseconds of the owner's wall clock (Unix time): a plan outlives its owner.
using Millis = std::int64_t;

// The state of a zone of servers, or of the link from a zone of clients to it (kOpen and kClosed only).
// placement/zone_phase_machine.h has the transitions.
enum class Phase : std::uint8_t { kOpen, kClosed, kOpening, kEvacuating, kEvacuated };

// Why a zone entered its phase, or why it stays in it though it should leave.
enum class PhaseReason : std::uint8_t {
  kNone,
  kUnhealthy,             // by a majority of proxies in at least two zones
  kHealthy,               // again, for long enough
  kStep,                  // the last step went well: more of its capacity is used, or less by command
  kUnhealthyAgain,        // while it was being opened
  kOperator,              // evacuated or restored by command
  kInsufficientCapacity,  // unhealthy, but the others have no capacity for what it still serves
  kChangeBudgetExhausted  // it would change, but it has changed too often within a minute
};

// The texts that logs, operators' commands and stored plans show.
const char* text_of(Phase phase);
const char* text_of(PhaseReason reason);

// One zone or link in the plan. Stored: placement_codec.cpp has the keys.
struct ZoneState {
  Phase phase = Phase::kOpen;
  PhaseReason reason = PhaseReason::kNone;
  Millis since = 0;              // when it entered the phase
  Millis last_step = 0;          // the last step while opening or evacuating
  Millis unhealthy_since = 0;    // by agreement of the proxies; 0: not so now
  Millis healthy_since = 0;      // the same
  double capacity_fraction = 1;  // of its capacity: what may be used
  bool forced = false;           // evacuated though the others have no capacity for it
  bool operator==(const ZoneState&) const = default;
};

// Changes the phase. The only function that does, except that a link is reset to a new ZoneState when it
// opens.
void enter_phase(ZoneState* state, Phase phase, PhaseReason reason, double capacity_fraction, Millis now);

// By set and clients' zone: the share of each zone of servers.
using Shares = std::map<std::pair<ShardGroupId, Zone>, std::map<Zone, double>>;

// Returns the share of the servers' zone `to` for clients in `from`, 0 if there is none.
double share_of(const Shares& shares, ShardGroupId shard_group, const Zone& from, const Zone& to);

// One numbered plan, with all that the next one depends on besides the input.
struct Plan {
  std::uint64_t number = 0;
  std::map<Zone, ZoneState> zones;
  // From clients' zone to servers' zone. A link that is absent is open.
  std::map<std::pair<Zone, Zone>, ZoneState> links;
  // Of the requests of a set by clients of a zone. Proxies refuse at once what is missing to 1.
  Shares shares;
  // What a zone can take over when any one other zone fails: the share of that zone's requests which its
  // clients may send here instead. All of them together, using all of it at once, stay within the capacity.
  Shares surplus_capacity;
  // Zones and links ("from>to") that changed their phase within the last minute, and when.
  std::vector<std::pair<Zone, Millis>> changes;
  // No next plan is made: an operator has stopped the planner.
  bool frozen = false;

  // The share of the requests that is refused; 0 if the plan does not mention the set and zone.
  double rejected_share(ShardGroupId shard_group, const Zone& from) const;
  // Whether clients in `from` may send to servers in `to`.
  bool link_is_open(const Zone& from, const Zone& to) const;
  // The part of the zone's capacity that may be used; 1 for a zone that the plan does not mention.
  double capacity_fraction(const Zone& zone) const;
  // Whether proxies would act alike on both plans, whatever their numbers.
  bool is_equivalent_to(const Plan& other) const;
};

}  // namespace database_proxy::placement
