#include "placement/zone_topology.h"

namespace database_proxy::placement {

int ZoneTopology::distance(const Zone& one, const Zone& other) const {
  if (!contains(one) || !contains(other)) return kFar;
  if (one == other) return kSameZone;
  return regions_.at(one) == regions_.at(other) ? kSameRegion : kFar;
}

}  // namespace database_proxy::placement
