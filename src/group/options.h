// The section `group` of the operator's file, and its validation. A field is named after its key unless its
// comment names the key; docs/operations/group.md documents the keys for operators.
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

// Interval between two observations of a proxy, between two sums of a voter, and between two rounds of
// planning.
constexpr Micros kObservationInterval{500'000};
// Time for which an answer of the discovery service shows that the endpoint list is current. The discovery
// service may keep a poll open for 5 s, and its answer may take 1 s more; a node that has had no answer for
// 7 s no longer knows the current list.
constexpr Micros kEndpointListValidity{7'000'000};
// Number of proxies whose observations one voter stores; observations of further proxies are ignored.
constexpr std::size_t kMaxObservedProxies = 4096;

// The name and address of a voter, as given in the operator's file.
struct NodeAddress {
  std::string name;
  std::string address;
  bool operator==(const NodeAddress&) const = default;
};

// The section group.placement.
struct PlacementOptions {
  std::map<std::string, std::string> regions;  // region of each zone
  // Requests per second that a warm data server of weight 1 can serve; the plan assigns a zone less than
  // that.
  double requests_per_weight = 0;
  // Thresholds of placement::Options. Keys: dwell_ms, open_after_ms, step_ms.
  Micros minimum_phase_duration{10'000'000};
  Micros open_after{5'000'000};
  Micros step_interval{2'000'000};
  // Key: keep_ms. A proxy that has had no contact with the group for this long stops following the plan and
  // makes its own routing decisions.
  Micros contact_timeout{10'000'000};
  // Slow start of data servers, from the platform's settings instead of the operator's file.
  Micros warm_up{0};
  double initial_capacity_share = 1;
  bool operator==(const PlacementOptions&) const = default;
};

// The section group.
struct Options {
  std::string installation;        // peers of another installation are rejected
  std::string name;                // of this process; unique in the installation
  std::string listen;              // address on which a voter accepts other daemons
  std::string directory;           // of a voter's log and identity
  std::vector<NodeAddress> nodes;  // the voters; any other process is a follower
  std::vector<std::string> jobs;   // jobs that this node is eligible for: list, probe, placement
  Micros heartbeat{100'000};
  // Key: election_ms, the lower and the upper end of the election timeout.
  Micros election_min{600'000};
  Micros election_max{1'200'000};
  Micros lease{2'000'000};
  // Key: fallback_ms. The group counts as unavailable after this time without contact with the lease holder
  // of the job `list`, plus a random part of `fallback_jitter`. The random part keeps proxies that lose
  // contact at the same time from polling at the same time.
  Micros fallback_timeout{3'000'000};
  Micros fallback_jitter{1'000'000};
  // Interval between two health checks of one replica; 0: two thirds of the tightest bound on the age of
  // reads.
  Micros probe_interval{0};
  std::uint64_t seed = 0;
  std::optional<PlacementOptions> placement;  // nullopt: each proxy decides where its own reads go

  // Returns whether this process is one of `nodes`.
  bool is_voter() const;
};

// Checks the options for missing and contradictory values. Throws std::invalid_argument with a one-line
// message.
void check(const Options& options);

}  // namespace database_proxy::group
