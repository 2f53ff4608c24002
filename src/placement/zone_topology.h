// The region of each zone, as configured by operators.
#pragma once

#include <map>
#include <string>

#include "placement/zone_observation.h"

namespace database_proxy::placement {

// Distinguishes near zones from far ones. A zone without a region is far from all others, and Planner reports
// it as unknown.
class ZoneTopology {
 public:
  // Distances: the same zone, two zones of the same region, and any other pair.
  static constexpr int kSameZone = 0, kSameRegion = 1, kFar = 2;

  void set_region(const Zone& zone, const std::string& region) { regions_[zone] = region; }
  bool contains(const Zone& zone) const { return !zone.empty() && regions_.contains(zone); }
  // Returns kSameZone, kSameRegion or kFar.
  int distance(const Zone& one, const Zone& other) const;

 private:
  std::map<Zone, std::string> regions_;  // by zone
};

}  // namespace database_proxy::placement
