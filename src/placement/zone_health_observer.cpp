#include "placement/zone_health_observer.h"

#include <algorithm>
#include <utility>

namespace database_proxy::placement {
namespace {

// An attempt that is out for so many times the usual, and for so long at least, is as good as lost: a server
// that hangs answers nothing, and its clients wait for seconds.
constexpr double kOverdueTimes = 8;
constexpr Micros kOverdueLeast{150'000};
constexpr double kUsualStep = 0.1;                    // weight of a span in the usual latency
constexpr std::size_t kProbes = 3;                    // of a zone: the fewest attempts that make an opinion
constexpr unsigned kLookEvery = 2;                    // spans between two probes of a zone that is well
constexpr std::size_t kSpans = kProbes * kLookEvery;  // that make one opinion at most

}  // namespace

const Place* ZoneHealthObserver::place(const std::string& server) const {
  auto it = places_.find(server);
  return it == places_.end() ? nullptr : &it->second;
}

void ZoneHealthObserver::count(ZoneSample* s, RequestOutcome how) const {
  if (how == RequestOutcome::kNothing) return;
  ++s->attempts;
  s->refused += how == RequestOutcome::kRefused;
  s->timed_out += how == RequestOutcome::kTimedOut;
  s->failed += how == RequestOutcome::kFailed;
  s->full += how == RequestOutcome::kFull;
}

void ZoneHealthObserver::sent(std::uint64_t request, int attempt, const std::string& server, Micros now,
                              bool waited) {
  out_[{request, attempt}] = {server, now};
  if (auto* p = place(server); p && waited) ++zones_[p->zone].seen.postponed;
}

void ZoneHealthObserver::ended(std::uint64_t request, int attempt, const std::string& server,
                               RequestOutcome how, Micros took) {
  auto it = out_.find({request, attempt});
  bool counted = it != out_.end() && it->second.counted;
  if (it != out_.end()) out_.erase(it);
  auto* p = place(server);
  if (!p || counted) return;
  auto& seen = zones_[p->zone].seen;
  count(&seen, how);
  if (how == RequestOutcome::kServed)
    seen.latency_us += static_cast<std::uint64_t>(std::max<std::int64_t>(0, took.count()));
}

void ZoneHealthObserver::leads(const std::string& server) {
  if (auto* p = place(server)) leads_[p->set] = p->zone;
}

void ZoneHealthObserver::probed(const std::string& server, bool ok) {
  auto* p = place(server);
  if (!p) return;
  auto& z = zones_[p->zone];
  count(&z.seen, ok ? RequestOutcome::kServed : RequestOutcome::kTimedOut);
  ++z.probes;
  if (!ok) z.doubted = true;
  // A probe is no request: it says that the server lives, and nothing of how slow it is.
  if (ok) z.seen.latency_us += static_cast<std::uint64_t>(z.usual_us);
}

Observation ZoneHealthObserver::take(Micros now, std::uint64_t follows,
                                     const std::function<double(const std::string&)>& room) {
  for (auto& [key, o] : out_) {
    auto* p = place(o.server);
    if (!p || o.counted) continue;
    auto& z = zones_[p->zone];
    auto most = std::max(kOverdueLeast, Micros(static_cast<std::int64_t>(z.usual_us * kOverdueTimes)));
    if (now - o.at <= most) continue;
    o.counted = true;
    count(&z.seen, RequestOutcome::kTimedOut);
  }
  for (auto& [server, p] : places_) {
    auto& seen = zones_[p.zone].seen;
    seen.cold += p.warm_at > now;
    seen.room += room(server);
  }
  Observation o;
  o.follows(follows);
  for (auto& [set, requests] : asked_) o.asked(own_, set, requests);
  for (auto& [set, zone] : leads_) o.leads(set, zone);
  std::map<Zone, bool> listed;
  for (auto& [server, p] : places_) listed[p.zone] = true;
  std::erase_if(zones_, [&](auto& z) { return !listed.count(z.first); });
  for (auto& [zone, z] : zones_) {
    auto& s = z.seen;
    // Where few go, several spans make one opinion: as few as will do.
    auto sum = s;
    for (auto it = z.before.begin(); sum.attempts < kProbes && it != z.before.end(); ++it) sum.add(*it);
    auto opinion = assess(sum, static_cast<std::uint64_t>(z.usual_us));
    z.doubted = z.doubted || opinion == Opinion::kUnhealthy || opinion == Opinion::kLate;
    if (opinion == Opinion::kHealthy && s.attempts >= kProbes) z.doubted = false;
    if (opinion != Opinion::kNone)
      o.voted(own_, zone,
              {opinion == Opinion::kHealthy, opinion == Opinion::kUnhealthy, opinion == Opinion::kLate});
    o.record(own_, 0, zone, s);
    auto answered = s.attempts - s.refused - s.timed_out - s.failed - s.full;
    if (opinion == Opinion::kHealthy && answered > z.probes) {
      double mean = static_cast<double>(s.latency_us) / static_cast<double>(answered);
      z.usual_us = z.usual_us > 0 ? z.usual_us + kUsualStep * (mean - z.usual_us) : mean;
    }
    z.requests_before = s.attempts - z.probes;
    z.probes = 0;
    z.before.push_front(std::exchange(s, {}));
    if (z.before.size() >= kSpans) z.before.pop_back();
  }
  asked_.clear();
  return o;
}

std::vector<std::string> ZoneHealthObserver::blind(std::uint64_t draw) {
  std::vector<std::string> all;
  if (!watches_) return all;
  std::map<Zone, std::vector<const std::string*>> servers;
  for (auto& [server, p] : places_) servers[p.zone].push_back(&server);
  for (auto& [zone, there] : servers) {
    auto& z = zones_[zone];
    // One now and then where all is well, and enough for an opinion at once where it may not be.
    bool due = ++z.spans >= kLookEvery;
    std::size_t want = z.doubted ? kProbes : due ? 1 : 0;
    if (want > 0) z.spans = 0;
    for (std::size_t i = 0; z.requests_before + i < want; ++i)
      all.push_back(*there[(draw + i) % there.size()]);
  }
  return all;
}

}  // namespace database_proxy::placement
