// What the operator's file says of the group (section `group`), and what of it cannot be.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace database_proxy::group {

using Micros = std::chrono::microseconds;

// A voter, as the operator's file names it.
struct NodeAddress {
  std::string name, address;
  bool operator==(const NodeAddress&) const = default;
};

// Proxies tell what they saw so often, voters sum it up, and the owner plans.
constexpr Micros kObserveEvery{500'000};
// The list service lets a call wait for 5 s and is given 1 s more: who heard nothing in 7 does not know the
// list any more.
constexpr Micros kListKnown{7'000'000};
constexpr std::size_t kMostPlaced = 4096;  // proxies below one voter

// The section group.placement.
struct PlacementOptions {
  std::map<std::string, std::string> regions;  // by zone
  // Requests a second that a warm data server of weight 1 bears; what the plan sends to a zone stays below.
  double requests_per_weight = 0;
  // As placement::Options has them: in a phase before the opposite one, seen well before it is opened,
  // between two steps.
  Micros minimum_phase_duration{10'000'000}, open_after{5'000'000}, step{2'000'000};
  // Without word of the group for so long, a proxy leaves the plan and goes on alone.
  Micros keep{10'000'000};
  // Of the platform's settings.
  Micros warm_up{0};
  double initial_capacity_share = 1;
  bool operator==(const PlacementOptions&) const = default;
};

// The section group.
struct Options {
  std::string installation;        // who speaks of another one is a stranger
  std::string name;                // of this process, once in the installation
  std::string listen;              // for the other daemons; a voter's
  std::string directory;           // a voter's log and identity
  std::vector<NodeAddress> nodes;  // the voters; whoever is not among them follows
  std::vector<std::string> jobs;   // of the fleet's work, what this node would do: list, probe, placement
  Micros heartbeat{100'000}, election_min{600'000}, election_max{1'200'000};
  Micros lease{2'000'000};
  Micros fallback{3'000'000};  // without word of the list for so long, a proxy asks by itself
  Micros probe_every{0};  // each replica, by the owner of its set; 0: two thirds of the tightest bound on age
  Micros spread{1'000'000};  // over which all proxies, left alone together, begin to ask
  std::uint64_t seed = 0;
  std::optional<PlacementOptions> placement;  // none: each proxy decides alone where its reads go

  bool voter() const;
};

// Throws std::invalid_argument with one line.
void check(const Options& options);

}  // namespace database_proxy::group
