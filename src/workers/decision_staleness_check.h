// Which decisions of another thread may still be carried out. Pure: no clock, no I/O; time comes in as an
// argument.
//
// A decision travels: it was made when a list was in force and positions were known that may have changed by
// the time it arrives. What has grown old goes back unsent, as an attempt that never ran, and is decided
// anew.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "routing/decision_facade.h"

namespace database_proxy::workers {

using routing::Micros;

// Data that was fresh enough when the decision was made is older by as much as the way took; this much is
// within what a bound allows for the way to a server (100 ms on the platform's sockets), and far above what a
// ring takes.
constexpr Micros kLongestDecisionAge{20'000};

class DecisionStalenessCheck {
 public:
  // The list as this worker has it has changed. Both threads count the changes alike, from 1.
  void on_endpoint_list(Micros now, const discovery::EndpointListUpdate& update);
  std::uint64_t version() const { return version_; }

  enum class Verdict {
    kCurrent,
    kAhead,         // made on a list that has not come here yet: wait for that
    kTooOld,        // made too long ago
    kOutOfService,  // made before word that this server takes no new work
  };
  Verdict check(Micros now, const routing::Decision& decision) const;
  std::size_t out_of_service_count() const { return out_of_service_.size(); }

 private:
  struct OutOfService {
    std::uint64_t version;  // the change with which it stopped taking new work
    Micros at;
  };
  void prune(Micros now);

  std::uint64_t version_ = 0;
  std::unordered_map<std::string, bool> in_service_;  // of the servers that are listed
  std::unordered_map<std::string, OutOfService> out_of_service_;
};

}  // namespace database_proxy::workers
