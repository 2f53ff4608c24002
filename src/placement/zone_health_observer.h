// One proxy's eyes: what becomes of its requests, summed up by zone of servers for a moment and told with an
// opinion on each. No clock, I/O or thread; times are the caller's.
#pragma once

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "placement/zone_observation.h"

namespace database_proxy::placement {

using Micros = std::chrono::microseconds;

// kFull: turned away untouched, for its load; kNothing: it says nothing of the server.
enum class RequestOutcome {
  kServed,
  kRefused,
  kFull,
  kTimedOut,
  kFailed,
  kNothing
};  // kNothing: it says nothing of the server

struct Place {
  SetId set = 0;
  Zone zone;
  Micros warm_at{0};  // from then on; 0: it is
};

class ZoneHealthObserver {
 public:
  // `watches`: one of the few that look into zones where their own requests do not go.
  ZoneHealthObserver(Zone own, bool watches) : own_(std::move(own)), watches_(watches) {}
  void servers(std::map<std::string, Place> places) { places_ = std::move(places); }  // those that are up
  void asked(SetId set) { ++asked_[set]; }                                            // a read came
  void sent(std::uint64_t request, int attempt, const std::string& server, Micros now, bool waited);
  void ended(std::uint64_t request, int attempt, const std::string& server, RequestOutcome how, Micros took);
  void leads(const std::string& server);  // it is the primary of its set
  void probed(const std::string& server, bool ok);

  // All since the last call. `room`: requests a second that this proxy would send to a server beside those
  // that it has out there.
  Observation take(Micros now, std::uint64_t follows, const std::function<double(const std::string&)>& room);
  // Servers to be probed before the next take(), of zones of which too little was seen. `draw`: any number.
  std::vector<std::string> blind(std::uint64_t draw);

 private:
  struct Out {
    std::string server;
    Micros at{0};
    bool counted = false;
  };
  struct Health {
    ZoneSample seen;                // of this span
    std::deque<ZoneSample> before;  // of those before, the newest first
    std::uint64_t probes = 0, requests_before = 0;
    bool doubted = false;  // a probe failed, or the last opinion was not well: look closer
    unsigned spans = 0;    // since it was looked at
    double usual_us = 0;
  };
  const Place* place(const std::string& server) const;
  void count(ZoneSample* seen, RequestOutcome how) const;

  Zone own_;
  bool watches_;
  std::map<std::string, Place> places_;
  std::map<SetId, std::uint64_t> asked_;
  std::map<SetId, Zone> leads_;
  std::map<Zone, Health> zones_;
  std::map<std::pair<std::uint64_t, int>, Out> out_;  // bounded by the requests that are open
};

}  // namespace database_proxy::placement
