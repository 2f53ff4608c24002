// What the operator's file says of the group (section `group`), and what of it cannot be.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace linenwinch::group {

using Micros = std::chrono::microseconds;

struct NodeAddress {
  std::string name, address;
  bool operator==(const NodeAddress&) const = default;
};

struct Options {
  std::string installation;        // who speaks of another one is a stranger
  std::string name;                // of this process, once in the installation
  std::string listen;              // for the other daemons; a voter's
  std::string directory;           // a voter's log and identity
  std::vector<NodeAddress> nodes;  // the voters; whoever is not among them follows
  std::vector<std::string> jobs;   // of the fleet's work, what this node would do: list, probe
  Micros heartbeat{100'000}, election_min{600'000}, election_max{1'200'000};
  Micros lease{2'000'000};
  Micros fallback{3'000'000};  // without word of the list for so long, a proxy asks by itself
  Micros probe_every{0};  // each replica, by the owner of its set; 0: two thirds of the tightest bound on age
  Micros spread{1'000'000};  // over which all proxies, left alone together, begin to ask
  std::uint64_t seed = 0;

  bool voter() const;
};

// Throws std::invalid_argument with one line.
void check(const Options& options);

}  // namespace linenwinch::group
