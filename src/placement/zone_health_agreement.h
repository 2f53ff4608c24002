// What the proxies of all zones agree on about the health of a zone or link, in one round. Pure.
#pragma once

#include "placement/planner_input.h"
#include "placement/zone_observation.h"

namespace database_proxy::placement {

// kNothing: too few have an opinion, or they differ.
enum class Agreement { kUndecided, kUnhealthy, kHealthy };

// A view of one round's input; both arguments must outlive it. The planner makes one for each plan.
class ZoneHealthAgreement {
 public:
  ZoneHealthAgreement(const Options& options, const Input& input) : options_(options), input_(input) {}

  // Of the proxies in `from` about the servers in `to`.
  Agreement link_agreement(const Zone& from, const Zone& to) const;
  // Of the proxies of all zones about the servers in `zone`. Where only one zone's proxies find it unhealthy,
  // the link from there is.
  Agreement zone_agreement(const Zone& zone) const;
  // Whether the zone serves nobody, by the proxies of every zone that sent requests there. A zone that is cut
  // off from all others may still serve its own clients.
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
