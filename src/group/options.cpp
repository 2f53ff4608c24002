#include "group/options.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <stdexcept>

#include "net/socket.h"

namespace database_proxy::group {
namespace {

void require(bool condition, const std::string& message) {
  if (!condition) throw std::invalid_argument(message);
}

void check_nodes(const std::vector<NodeAddress>& nodes) {
  auto count = nodes.size();
  require(count == 1 || count == 3 || count == 5,
          fmt::format("group.nodes names {} voters; 3 tolerate the loss of one and 5 of two (1 for a trial)",
                      count));
  std::set<std::string> names;
  std::set<std::string> addresses;
  for (auto& node : nodes) {
    require(!node.name.empty() && names.insert(node.name).second,
            fmt::format("group.nodes: the name '{}' is used twice or is empty", node.name));
    require(net::parse_address(node.address).has_value(),
            fmt::format("group.nodes: '{}' of {} is no address", node.address, node.name));
    require(addresses.insert(node.address).second,
            fmt::format("group.nodes: {} has the address of another voter", node.name));
  }
}

void check_own_role(const Options& options) {
  if (!options.is_voter()) {
    require(options.listen.empty(),
            fmt::format("group.listen: {} is none of group.nodes, and only voters listen", options.name));
    return;
  }
  require(!options.listen.empty() && net::parse_address(options.listen).has_value(),
          fmt::format("group.listen '{}' of the voter {} is no address", options.listen, options.name));
  require(!options.directory.empty(),
          fmt::format("group.directory of the voter {} is missing", options.name));
}

void check_placement(const Options& options) {
  bool runs_placement = std::count(options.jobs.begin(), options.jobs.end(), "placement") > 0;
  require(!runs_placement || options.placement, "group.jobs: placement requires the section group.placement");
  require(!runs_placement || options.is_voter(), "group.jobs: only a voter may do the job placement");
  if (!options.placement) return;
  require(!options.placement->regions.empty(), "group.placement.regions names no zone");
  require(options.placement->requests_per_weight > 0,
          "group.placement.requests_per_weight is missing or not above 0");
  require(options.placement->contact_timeout > options.election_max,
          "group.placement.keep_ms must be longer than the longest election timeout");
}

}  // namespace

bool Options::is_voter() const {
  return std::any_of(nodes.begin(), nodes.end(), [&](auto& node) { return node.name == name; });
}

void check(const Options& options) {
  require(!options.installation.empty(), "group.installation is missing");
  require(!options.name.empty(), "group.name, this node's own, is missing");
  check_nodes(options.nodes);
  check_own_role(options);
  require(
      options.heartbeat * 4 <= options.election_min && options.election_min * 3 <= options.election_max * 2,
      "group.election_ms: the lower end must be at least 4 heartbeats, the upper end at least 1.5 times the "
      "lower");
  require(options.lease > options.election_max,
          "group.lease_ms must be longer than the longest election timeout");
  check_placement(options);
}

}  // namespace database_proxy::group
