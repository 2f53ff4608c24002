// Checks whether a decision of another thread may still be carried out. Pure: no clock and no I/O; the time
// is an argument.
//
// A decision is based on the endpoint list and the servers' commit positions at the time it was made, which
// may have changed when it arrives. A stale decision is reported back as not sent, as an attempt that never
// ran, and is made again.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "routing/decision_facade.h"

namespace database_proxy::workers {

using routing::Micros;

// The maximum age of a decision that is carried out. A replica that was fresh enough when the decision was
// made lags further behind by the decision's age. This age is within what a staleness bound allows for the
// way to a server (100 ms on the platform's sockets), and far above the delay of a ring.
constexpr Micros kMaxDecisionAge{20'000};

// Tracks the endpoint list changes of one worker and checks decisions against them.
class DecisionStalenessCheck {
 public:
  // Records a change of this worker's endpoint list. The worker and the decision thread count the same
  // changes, from 1.
  void on_endpoint_list(Micros now, const discovery::EndpointListUpdate& update);
  std::uint64_t version() const { return version_; }

  enum class Verdict {
    kCurrent,
    kAhead,         // based on a list that this worker has not received yet: wait for it
    kTooOld,        // older than kMaxDecisionAge, or past its timeout
    kOutOfService,  // made before the change by which the server went out of service
  };
  Verdict check(Micros now, const routing::Decision& decision) const;
  std::size_t out_of_service_count() const { return out_of_service_.size(); }

 private:
  struct OutOfService {
    std::uint64_t version;  // the change by which the server went out of service
    Micros at;
  };
  void prune(Micros now);

  std::uint64_t version_ = 0;
  std::unordered_map<std::string, bool> in_service_;  // by server id; listed servers only
  std::unordered_map<std::string, OutOfService> out_of_service_;
};

}  // namespace database_proxy::workers
