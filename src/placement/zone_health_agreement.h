// The agreement of the proxies of all zones on the health of a zone or link, in one planning round. Pure.
#pragma once

#include "placement/planner_input.h"
#include "placement/zone_observation.h"

namespace database_proxy::placement {

// The result of the proxies' votes. kUndecided: too few proxies have an opinion, or their opinions differ.
enum class Agreement { kUndecided, kUnhealthy, kHealthy };

// A view of one round's input, made by the planner for each plan. Both constructor arguments must outlive it.
class ZoneHealthAgreement {
 public:
  ZoneHealthAgreement(const Options& options, const Input& input) : options_(options), input_(input) {}

  // Returns the agreement of the proxies in `from` on the servers in `to`.
  Agreement link_agreement(const Zone& from, const Zone& to) const;
  // Returns the agreement of the proxies of all zones on the servers in `zone`. If only one zone's proxies
  // find it unhealthy, the link from that zone is unhealthy instead.
  Agreement zone_agreement(const Zone& zone) const;
  // Returns whether the zone serves no requests according to the proxies of every zone that sent requests
  // there. All must agree, because a zone that is cut off from all others may still serve its own clients.
  bool has_failed(const Zone& zone) const;

 private:
  bool serves_near_capacity(const Zone& zone) const;
  bool finds_any_healthy(const Zone& from) const;
  bool is_mostly_healthy(const HealthVotes& votes) const;
  int zones_needed() const;

  const Options& options_;
  const Input& input_;
};

}  // namespace database_proxy::placement
