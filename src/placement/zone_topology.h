// Which region each zone lies in, as the operators configured it.
#pragma once

#include <map>
#include <string>

#include "placement/zone_observation.h"

namespace database_proxy::placement {

// Tells near zones from far ones. A zone that was not put into a region is far from all others; Planner
// reports such zones as unknown.
class ZoneTopology {
 public:
  // Distances: zones are equal, zones are in one region, anything else.
  static constexpr int kSameZone = 0, kSameRegion = 1, kFar = 2;

  void put(const Zone& zone, const std::string& region) { regions_[zone] = region; }
  bool knows(const Zone& zone) const { return !zone.empty() && regions_.contains(zone); }
  // Returns kSameZone, kSameRegion or kFar.
  int distance(const Zone& one, const Zone& other) const;

 private:
  std::map<Zone, std::string> regions_;  // by zone
};

}  // namespace database_proxy::placement
