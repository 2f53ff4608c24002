// What proxies saw of zones of data servers, summed up. Summing is associative and commutative, so it can be
// done on the way; a sum's size is bounded by zones and sets, whatever the fleet's. No clock, I/O or thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace linenwinch::placement {

using Zone = std::string;  // of data servers, clients and proxies; empty: not known, and far from all
using SetId = std::int64_t;

// More are summed into the unknown zone and set 0, so that nobody's list makes a sum grow without bound.
constexpr std::size_t kMostZones = 32, kMostSets = 256;

// One second of one proxy, or of many, for one set and one zone of its servers.
struct Seen {
  std::uint64_t attempts = 0, refused = 0, timed_out = 0,
                failed = 0;      // refused: no connection, or turned away
  std::uint64_t latency_us = 0;  // of those that were answered, in all
  std::uint64_t postponed = 0;   // reads that waited for a fresh replica
  std::uint64_t cold = 0;        // servers seen warming up
  double room = 0;               // requests a second that more could be sent
  void add(const Seen& other);
  bool operator==(const Seen&) const = default;
};

// How many proxies of one zone found a zone of servers well, and how many did not. One that asked nothing
// there says nothing: a network card that sees all as dead is one voice.
struct Votes {
  std::uint64_t well = 0, ill = 0;
  void add(const Votes& other) { well += other.well, ill += other.ill; }
  bool operator==(const Votes&) const = default;
};

class Observation {
 public:
  // By a proxy in `from`, of servers of `set` in `zone`.
  void saw(const Zone& from, SetId set, const Zone& zone, const Seen& seen);
  void vote(const Zone& from, const Zone& zone, bool well);
  void asked(const Zone& from, SetId set, std::uint64_t requests);  // by its clients
  void add(const Observation& other);

  const std::map<std::tuple<Zone, SetId, Zone>, Seen>& seen() const { return seen_; }
  const std::map<std::pair<Zone, Zone>, Votes>& votes() const { return votes_; }
  const std::map<std::pair<Zone, SetId>, std::uint64_t>& demand() const { return demand_; }
  bool operator==(const Observation&) const = default;

 private:
  std::map<std::tuple<Zone, SetId, Zone>, Seen> seen_;      // from, set, of
  std::map<std::pair<Zone, Zone>, Votes> votes_;            // from, of
  std::map<std::pair<Zone, SetId>, std::uint64_t> demand_;  // from, set: requests of this second
};

// What is asked for, requests a second, without the swings of single halves of a second; a true rise counts
// at once.
class Demand {
 public:
  using Rates = std::map<std::pair<Zone, SetId>, double>;
  void heed(const Observation& seen, double seconds);
  const Rates& rates() const { return rates_; }

 private:
  Rates rates_;
};

// What one proxy makes of its own second: nullopt is no voice. Half of all attempts lost, or ten times as
// slow as usual, is ill; a few that failed are not.
enum class Opinion { kNone, kWell, kIll };
Opinion judge(const Seen& seen, std::uint64_t usual_latency_us);

}  // namespace linenwinch::placement
