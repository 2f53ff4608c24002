// The job `placement` of one node: gathers what the proxies below it saw, sums it up, and where this node
// owns the job turns all sums into the next plan. Pure but for what is handed in; the node does all talking.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "discovery/endpoint_list_codec.h"
#include "group/options.h"
#include "placement/plan.h"

namespace database_proxy::group {

class PlacementJob {
 public:
  explicit PlacementJob(const PlacementOptions& options);

  // Of a proxy that tells this voter, its own included. `age`: since it was taken, by the clocks of both.
  void heard(const std::string& proxy, placement::Observation seen, Micros age, Micros now);
  void left(const std::string& proxy);
  // All of them: health of those that told lately, what is asked for of those that told at all.
  placement::Observation sum(Micros now);

  // The owner's: sums by voter, then the next plan. `known`: the plan that is committed.
  void collected(const std::string& voter, placement::Observation sum, Micros now);
  std::optional<placement::Plan> next(const placement::Plan& known, const discovery::EndpointListUpdate& list,
                                      Micros now, placement::Millis unix_ms);
  // By hand: the plan that does it, or why not.
  std::optional<placement::Plan> evacuate(const placement::Plan& known, const placement::Zone& zone,
                                          bool force, std::string* why);
  std::optional<placement::Plan> restore(const placement::Plan& known, const placement::Zone& zone,
                                         std::string* why);
  placement::Millis takes(bool opening) const { return planner_.expected_duration(opening); }
  void owns_no_more();  // what it remembers beside the plan is its successor's to find out
  const placement::Input& input() const { return input_; }
  const placement::ZoneTopology& places() const { return places_; }
  std::vector<placement::Zone> unknown() const { return planner_.unknown(input_); }

 private:
  struct Told {
    placement::Observation seen;
    Micros taken{0}, heard{0};
  };
  void drop_old(std::map<std::string, Told>* all, Micros now) const;
  placement::Input make_input(const discovery::EndpointListUpdate& list, Micros now,
                              placement::Millis unix_ms);

  PlacementOptions options_;
  placement::ZoneTopology places_;
  placement::Planner planner_;
  std::map<std::string, Told> below_, sums_;
  placement::Demand demand_;
  placement::Input input_;
  std::optional<placement::Plan>
      working_;  // the committed one, with what is seen since but changes nothing yet
  Micros changed_{0};
};

}  // namespace database_proxy::group
