// The operator's file on the group (section `group`), and the check of what cannot be. The fields are named
// like their keys; what a key means to operators is in docs/operations/group.md.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace database_proxy::group {

using Micros = std::chrono::microseconds;

// Between two observations of a proxy, two sums of a voter, and two rounds of planning.
constexpr Micros kObservationInterval{500'000};
// The list service may keep a poll open for 5 s, and an answer is given 1 s more: whoever has had none for 7
// s does not know the current endpoint list any more.
constexpr Micros kEndpointListValidity{7'000'000};
// Proxies whose observations one voter keeps; more are ignored.
constexpr std::size_t kMaxObservedProxies = 4096;

// A voter, as the operator's file names it.
struct NodeAddress {
  std::string name;
  std::string address;
  bool operator==(const NodeAddress&) const = default;
};

// The section group.placement.
struct PlacementOptions {
  std::map<std::string, std::string> regions;  // by zone
  // Requests a second that a warm data server of weight 1 can serve; the plan sends a zone less than that.
  double requests_per_weight = 0;
  // As in placement::Options.
  Micros minimum_phase_duration{10'000'000};
  Micros open_after{5'000'000};
  Micros step_every{2'000'000};
  // A proxy that has no contact with the group for this long leaves the plan and decides for itself.
  Micros contact_timeout{10'000'000};
  // From the platform's settings.
  Micros warm_up{0};
  double initial_capacity_share = 1;
  bool operator==(const PlacementOptions&) const = default;
};

// The section group.
struct Options {
  std::string installation;        // a peer of another one is refused
  std::string name;                // of this process; unique in the installation
  std::string listen;              // a voter's, for the other daemons
  std::string directory;           // a voter's log and identity
  std::vector<NodeAddress> nodes;  // the voters; a process that is not among them follows
  std::vector<std::string> jobs;   // that this node is eligible for: list, probe, placement
  Micros heartbeat{100'000};
  Micros election_min{600'000};
  Micros election_max{1'200'000};
  Micros lease{2'000'000};
  // Without contact with the owner of the endpoint list for this long, and a random part of `fallback_jitter` more,
  // the group counts as unavailable. The random part keeps proxies that lose it together from polling
  // together.
  Micros fallback_timeout{3'000'000};
  Micros fallback_jitter{1'000'000};
  // Between two health checks of one replica; 0: two thirds of the tightest bound on the age of reads.
  Micros probe_every{0};
  std::uint64_t seed = 0;
  std::optional<PlacementOptions> placement;  // none: each proxy decides for itself where its reads go

  // Whether this process is one of `nodes`.
  bool is_voter() const;
};

// Throws std::invalid_argument with one line.
void check(const Options& options);

}  // namespace database_proxy::group
