// Turns observations into plans: a voter gathers the observations of the proxies below it and sums them up;
// the lease holder of the job `placement` gathers the sums of all voters and makes the next plan of them.
//
// Pure: no clock, no I/O, no thread. Times are of the caller's monotonic clock, unix_ms of its wall clock.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "discovery/endpoint_list_codec.h"
#include "group/options.h"
#include "placement/plan.h"

namespace database_proxy::group {

// Holds the observations of the last seconds and the plan that they make.
class PlanBuilder {
 public:
  explicit PlanBuilder(const PlacementOptions& options);

  // A voter's. `age`: since the observation was taken. Beyond kMostPlaced proxies a new one is ignored.
  void add_observation(const std::string& proxy, placement::Observation observation, Micros age, Micros now);
  void remove_proxy(const std::string& proxy);
  // Of all proxies: the health that was observed lately, and the demand of a longer time.
  placement::Observation sum(Micros now);

  // The lease holder's. `committed` is the newest plan in the log.
  void add_sum(const std::string& voter, placement::Observation sum, Micros now);
  // nullopt: the committed plan stays.
  std::optional<placement::Plan> next(const placement::Plan& committed,
                                      const discovery::EndpointListUpdate& list, Micros now,
                                      placement::Millis unix_ms);
  // What an operator asks for: the plan that does it, or nullopt and the reason.
  std::optional<placement::Plan> evacuate(const placement::Plan& committed, const placement::Zone& zone,
                                          bool force, std::string* reason);
  std::optional<placement::Plan> restore(const placement::Plan& committed, const placement::Zone& zone,
                                         std::string* reason);
  // Of an evacuation, or of opening a zone again.
  placement::Millis expected_duration(bool is_opening) const {
    return planner_.expected_duration(is_opening);
  }
  // The lease has ended: what is not in the committed plan is for the next holder to observe again.
  void reset();

  // What the last plan was made of.
  const placement::Input& input() const { return input_; }
  // Zones of data servers that no region names.
  std::vector<placement::Zone> unknown_zones() const { return planner_.unknown_zones(input_); }

 private:
  struct Received {
    placement::Observation observation;
    Micros taken{0};
    Micros received{0};
  };
  using ReceivedByName = std::map<std::string, Received>;

  static void drop_expired(ReceivedByName* all, Micros now);
  static placement::Observation sum_of(const ReceivedByName& all, Micros now);
  placement::Input make_input(const discovery::EndpointListUpdate& list, Micros now,
                              placement::Millis unix_ms);
  void set_capacities(placement::Input* input, const discovery::EndpointListUpdate& list) const;
  double warm_share(const discovery::Endpoint& endpoint, placement::Millis unix_ms) const;

  PlacementOptions options_;
  placement::ZoneTopology topology_;
  placement::Planner planner_;
  ReceivedByName by_proxy_;
  ReceivedByName by_voter_;
  placement::Demand demand_;
  placement::Input input_;
  // The committed plan with what was observed since, where that changes nothing yet.
  std::optional<placement::Plan> working_plan_;
  Micros committed_plan_seen_{0};
};

}  // namespace database_proxy::group
