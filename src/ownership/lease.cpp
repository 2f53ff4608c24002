#include "ownership/lease.h"

#include <algorithm>
#include <tuple>

namespace database_proxy::ownership {
namespace {

constexpr std::size_t kMostOpenAsks = 16;  // of one node; older ones' answers are of no use any more

std::uint64_t hash_of(const std::string& a, const std::string& b) {  // FNV-1a: the same at every node
  std::uint64_t h = 1469598103934665603ull;
  for (auto* s : {&a, &b})
    for (unsigned char c : *s + '\0') h = (h ^ c) * 1099511628211ull;
  return h;
}

}  // namespace

void LeaseManager::on_elected(Micros now) {
  leading_ = true;
  since_ = moved_ = now;
  due_ = now;
  nodes_.clear();
  watches_.clear();
  proposed_.clear();
  excluded_until_.clear();
}

void LeaseManager::on_renewal_request(Micros now, const LeaseRenewalRequest& ask,
                                      const LeaseRegistry& ledger) {
  if (!leading_) return;
  auto& node = nodes_[ask.node];
  node.heard = now;
  node.eligible_jobs.clear();
  node.eligible_jobs.insert(ask.eligible_jobs.begin(), ask.eligible_jobs.end());
  due_ = std::min(due_, now);
  for (auto& [name, job] : ledger.jobs()) {
    // A grant to another that is on its way may come into force at any moment: nobody is renewed meanwhile.
    if (job.owner != ask.node || proposed_.count(name)) continue;
    auto& w = watches_[name];
    if (w.token != job.token) w = {now, job.token, 0, now, false, false};
    if (w.revoked) continue;
    w.renewed = now;
    for (auto& h : ask.holds) {
      if (h.job != name || h.token != job.token) continue;
      if (h.progress != w.progress) {
        w.progress = h.progress;
        w.progressed = now;
      }
    }
    bool is_eligible = node.eligible_jobs.count(name) > 0;
    if (is_eligible && now - w.progressed < options_.idle) continue;
    w.revoked = true;  // it is told no more that it holds it, and its lease runs out
    excluded_until_[{name, ask.node}] = now + options_.excluded_for;
    reasons_.push_back("job " + name + ": " + ask.node +
                       (is_eligible ? " holds the lease but does no work" : " is no longer willing"));
  }
}

LeaseRenewalResponse LeaseManager::renewal_response(const std::string& node, std::uint64_t number,
                                                    const LeaseRegistry& ledger) const {
  LeaseRenewalResponse response;
  response.number = number;
  response.length = options_.length;
  for (auto& [name, job] : ledger.jobs()) {
    if (job.owner != node || proposed_.count(name)) continue;
    auto it = watches_.find(name);
    if (it != watches_.end() && it->second.token == job.token) {
      if (it->second.revoked) continue;
      if (it->second.moving) response.give_up.push_back(name);
    }
    response.granted.push_back({name, job.token, 0});
  }
  return response;
}

std::map<std::string, int> LeaseManager::loads(Micros now, const LeaseRegistry& ledger) const {
  std::map<std::string, int> loads;
  for (auto& [name, node] : nodes_)
    if (now - node.heard < options_.length) loads[name] = 0;
  for (auto& [name, job] : ledger.jobs())
    if (auto it = loads.find(job.owner); it != loads.end() && !proposed_.count(name)) ++it->second;
  for (auto& [name, to] : proposed_)
    if (auto it = loads.find(to); it != loads.end()) ++it->second;
  return loads;
}

// Of those that are willing and heard of, the one with the fewest jobs; of equal ones, by a hash, so that the
// same job falls to the same node again.
std::string LeaseManager::choose(Micros now, const std::string& job, const LeaseRegistry& ledger,
                                 const std::string& but) const {
  auto counts = loads(now, ledger);
  std::string best;
  bool best_last = true;
  for (auto& [name, count] : counts) {
    if (!nodes_.at(name).eligible_jobs.count(job)) continue;
    auto excluded_for = excluded_until_.find({job, name});
    bool last = name == but || (excluded_for != excluded_until_.end() && now < excluded_for->second);
    auto rank = [&](const std::string& n, bool l) { return std::tuple(l, counts[n], hash_of(job, n)); };
    if (best.empty() || rank(name, last) < rank(best, best_last)) best = name, best_last = last;
  }
  return best;
}

std::vector<Command> LeaseManager::propose(Micros now, const LeaseRegistry& ledger) {
  std::vector<Command> commands;
  if (!leading_) return commands;
  due_ = now + options_.length / 4;
  std::set<std::string> wanted;
  for (auto& [name, node] : nodes_) wanted.insert(node.eligible_jobs.begin(), node.eligible_jobs.end());
  std::erase_if(nodes_,
                [&](auto& n) { return now - n.second.heard > options_.safe_reassignment_delay() * 4; });
  std::erase_if(excluded_until_, [&](auto& b) { return now >= b.second; });
  for (auto& name : wanted) {
    if (proposed_.count(name)) continue;
    auto* job = ledger.job(name);
    std::string but;
    if (job && !job->owner.empty()) {
      auto& w = watches_[name];
      // First seen now, it may have been answered up to now: by this leader or by those before it.
      if (w.token != job->token) w = {now, job->token, 0, now, false, false};
      auto safe_reassignment_delay = w.renewed + options_.safe_reassignment_delay();
      if (now < safe_reassignment_delay) {
        due_ = std::min(due_, safe_reassignment_delay);
        continue;
      }
      but = job->owner;
    } else if (now < since_ + options_.length / 2) {
      due_ = std::min(due_, since_ + options_.length / 2);  // until all had time to say that they are willing
      continue;
    }
    auto chosen = choose(now, name, ledger, but);
    if (chosen.empty()) continue;
    Token after = job ? job->token : 0;
    proposed_[name] = chosen;
    reasons_.push_back("job " + name + " goes to " + chosen +
                       (but.empty() ? ": nobody owned it" : ": the lease of " + but + " has run out"));
    commands.push_back(Grant{name, chosen, after});
  }
  balance(now, ledger);
  return commands;
}

// One job at a time is asked back from whoever has two more than another who would do it.
void LeaseManager::balance(Micros now, const LeaseRegistry& ledger) {
  if (now < moved_ + options_.move_every || !proposed_.empty()) return;
  for (auto& [name, w] : watches_)
    if (w.moving && now < moved_ + options_.safe_reassignment_delay())
      return;  // the last one is still under way
  auto counts = loads(now, ledger);
  for (auto& [name, job] : ledger.jobs()) {
    auto from = counts.find(job.owner);
    if (from == counts.end()) continue;
    for (auto& [to, count] : counts) {
      if (count + 2 > from->second || !nodes_.at(to).eligible_jobs.count(name) ||
          excluded_until_.count({name, to}))
        continue;
      auto w = watches_.find(name);
      if (w == watches_.end() || w->second.token != job.token || w->second.revoked) continue;
      w->second.moving = true;
      moved_ = now;
      reasons_.push_back("job " + name + " is asked back from " + job.owner + ": " + to + " has fewer");
      return;
    }
  }
}

std::string LeaseManager::fingerprint() const {
  std::string f = leading_ ? "L" + std::to_string(since_.count()) : "-";
  for (auto& [job, w] : watches_)
    f += job + std::to_string(w.renewed.count()) + "," + std::to_string(w.token) + (w.revoked ? "r" : "") +
         (w.moving ? "m" : "");
  for (auto& [job, to] : proposed_) f += job + ">" + to;
  for (auto& [name, node] : nodes_) f += name + "@" + std::to_string(node.heard.count());
  return f;
}

LeaseRenewalRequest LeaseClient::make_renewal_request(Micros now,
                                                      const std::vector<std::string>& eligible_jobs) {
  LeaseRenewalRequest ask;
  ask.node = node_;
  ask.number = ++numbers_;
  ask.eligible_jobs = eligible_jobs;
  for (auto& [job, lease] : leases_) ask.holds.push_back({job, lease.token, lease.progress});
  sent_[ask.number] = now;
  while (sent_.size() > kMostOpenAsks) sent_.erase(sent_.begin());
  return ask;
}

void LeaseClient::on_renewal_response(Micros now, const LeaseRenewalResponse& response) {
  auto it = sent_.find(response.number);
  if (it == sent_.end()) return;
  auto until = it->second + std::min(response.length, options_.length);
  sent_.erase(sent_.begin(), std::next(it));
  give_up_.clear();
  give_up_.insert(response.give_up.begin(), response.give_up.end());
  for (auto& g : response.granted) {
    auto given = given_up_.find(g.job);
    if (given != given_up_.end() && g.token <= given->second) continue;
    auto& lease = leases_[g.job];
    if (g.token < lease.token) continue;
    if (g.token > lease.token) lease = {g.token, until, 0};
    lease.until = std::max(lease.until, until);
  }
  (void)now;
}

bool LeaseClient::holds(const std::string& job, Micros now) const {
  auto it = leases_.find(job);
  return it != leases_.end() && (options_.flaw_no_check || now < it->second.until);
}

Token LeaseClient::token(const std::string& job) const {
  auto it = leases_.find(job);
  return it == leases_.end() ? 0 : it->second.token;
}

Micros LeaseClient::until(const std::string& job) const {
  auto it = leases_.find(job);
  return it == leases_.end() ? Micros(0) : it->second.until;
}

void LeaseClient::record_progress(const std::string& job) {
  if (auto it = leases_.find(job); it != leases_.end()) ++it->second.progress;
}

std::vector<std::string> LeaseClient::expire(Micros now) {
  std::vector<std::string> ended;
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (now < it->second.until || options_.flaw_no_check) {
      ++it;
      continue;
    }
    ended.push_back(it->first);
    it = leases_.erase(it);
  }
  return ended;
}

std::vector<std::string> LeaseClient::jobs() const {
  std::vector<std::string> all;
  for (auto& [job, lease] : leases_) all.push_back(job);
  return all;
}

Token LeaseClient::give_up(const std::string& job) {
  auto it = leases_.find(job);
  if (it == leases_.end()) return 0;
  auto token = it->second.token;
  given_up_[job] = token;
  leases_.erase(it);
  give_up_.erase(job);
  return token;
}

}  // namespace database_proxy::ownership
