#include "testbench/simulation/model.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_set>

namespace database_proxy::testbench::simulation {
namespace {

namespace rc = consensus;
namespace own = ownership;
using consensus::Entry;
using consensus::Index;
using namespace std::chrono_literals;

std::uint64_t hash_of(const std::string& text) {  // FNV-1a with a final mixing step
  std::uint64_t h = 1469598103934665603ull;
  for (unsigned char c : text) h = (h ^ c) * 1099511628211ull;
  h ^= h >> 29;
  return h * 0xbf58476d1ce4e5b9ull;
}

std::string message_text(const rc::Message& m) {
  auto s = fmt::format("{}:{}>{} t{} i{} l{} c{} r{} x{}", static_cast<int>(m.type), m.from, m.to, m.term,
                       m.index, m.log_term, m.commit, m.rejected_index, m.reject);
  for (auto& e : m.entries) s += fmt::format(" {}/{}", e.term, e.data);
  return s;
}

// Depth-first search that keeps the states still to be expanded on the heap. For each visited state only a
// hash, its predecessor and the action that led to it are kept, so that a violation can be reported as a
// path.
template <class S>
struct StateSearch {
  S state;
  ScopeResult result;
  std::uint64_t max_states = UINT64_MAX;

  void begin(S first, const std::string& fingerprint) {
    visited_.insert(hash_of(fingerprint));
    predecessors_.emplace_back(0, "");
    frontier_.emplace_back(std::move(first), 0);
  }
  bool next() {
    if (frontier_.empty()) return false;
    if (result.states >= max_states) {
      result.exhausted = false;
      return false;
    }
    ++result.states;
    state = std::move(frontier_.back().first);
    current_ = frontier_.back().second;
    frontier_.pop_back();
    return true;
  }
  template <class Fingerprint>
  void add(S found, const std::string& action, Fingerprint fingerprint) {
    if (!result.violation.empty()) {
      result.path.push_back(action);
      for (auto at = current_; at != 0; at = predecessors_[at].first)
        result.path.push_back(predecessors_[at].second);
      std::reverse(result.path.begin(), result.path.end());
      return;
    }
    if (!visited_.insert(hash_of(fingerprint(found))).second) return;
    predecessors_.emplace_back(current_, action);
    frontier_.emplace_back(std::move(found), static_cast<std::uint32_t>(predecessors_.size() - 1));
  }
  ScopeResult finish() { return std::move(result); }

 private:
  std::unordered_set<std::uint64_t> visited_;
  std::vector<std::pair<std::uint32_t, std::string>> predecessors_;
  std::deque<std::pair<S, std::uint32_t>> frontier_;
  std::uint32_t current_ = 0;
};

struct State {
  std::vector<rc::Raft> nodes;
  std::vector<rc::PersistentState> disks;
  // Messages in flight, in order on each link, as with TCP; a broken link loses all of its messages.
  std::map<std::pair<rc::NodeId, rc::NodeId>, std::vector<rc::Message>> links;
  std::map<Index, std::pair<Entry, rc::Term>> committed;  // with the term in which it was committed
  std::map<rc::Term, rc::NodeId> leaders;
  int elections = 0, proposals = 0, crashes = 0, breaks = 0;
};

class LogExplorer {
 public:
  explicit LogExplorer(ScopeOptions options) : options_(options) { search_.max_states = options.max_states; }
  ScopeResult run() {
    State s;
    rc::Membership members;
    for (int i = 1; i <= options_.nodes; ++i) members.voters.push_back(static_cast<rc::NodeId>(i));
    auto first = std::make_shared<rc::Snapshot>();
    first->index = 1;
    first->term = 1;
    first->members = members;
    for (int i = 0; i < options_.nodes; ++i) {
      rc::PersistentState stored;
      stored.hard_state.term = 1;
      stored.snapshot = first;
      s.disks.push_back(stored);
      s.nodes.emplace_back(node_options(i), stored, Micros(0));
    }
    s.elections = options_.elections;
    s.proposals = options_.proposals;
    s.crashes = options_.crashes;
    s.breaks = options_.breaks;
    auto initial_fingerprint = fingerprint(s);  // before the move, whatever the order of arguments
    search_.begin(std::move(s), initial_fingerprint);
    while (search_.next() && expand(search_.state)) {
    }
    return search_.finish();
  }

 private:
  rc::Options node_options(int i) const {
    rc::Options o;
    o.self = static_cast<rc::NodeId>(i + 1);
    o.pre_vote = o.leader_stickiness = o.check_quorum = false;
    o.max_batch_entries = 1;
    o.flaws.vote_not_saved = options_.mutant == Mutant::kVoteNotSaved;
    o.flaws.commits_old_terms = options_.mutant == Mutant::kCommitsOldTerms;
    return o;
  }

  std::string fingerprint(const State& s) const {
    std::string f = fmt::format("{},{},{},{};", s.elections, s.proposals, s.crashes, s.breaks);
    for (auto& n : s.nodes) f += n.fingerprint() + ";";
    for (auto& [link, queue] : s.links)
      for (auto& m : queue) f += message_text(m) + ";";
    for (auto& [i, e] : s.committed) f += fmt::format("{}:{}:{} ", i, e.first.term, e.second);
    return f;
  }

  // Runs one step of a node. Its writes become durable at once, or are lost in a crash with
  // `crash_before_durable`.
  bool step(State& s, int i, rc::Input input, bool crash_before_durable = false) {
    auto at = static_cast<std::size_t>(i);
    auto& node = s.nodes[at];
    std::vector<rc::Input> inputs;
    inputs.push_back(std::move(input));
    auto now = std::holds_alternative<rc::Tick>(inputs[0]) ? node.due() : Micros(0);
    for (int round = 0; !inputs.empty(); ++round) {
      auto out = node.step(now, std::move(inputs));
      inputs.clear();
      for (auto& role_change : out.role_changes)
        if (role_change.role == rc::Role::kLeader) {
          auto [it, inserted] = s.leaders.emplace(role_change.term, node_options(i).self);
          if (!inserted && it->second != node_options(i).self)
            return fail(fmt::format("two leaders in term {}", role_change.term));
          for (auto& [index, entry] : s.committed)
            if (entry.second < role_change.term && node.term_at(index) != entry.first.term)
              return fail(
                  fmt::format("the leader of term {} lacks the committed entry {}", role_change.term, index));
        }
      for (auto& m : out.messages) {
        if (crash_before_durable && m.required_write > 0) continue;
        auto to = static_cast<std::size_t>(m.message.to - 1);
        if (m.message.term < s.nodes[to].term()) continue;
        auto& queue = s.links[{m.message.from, m.message.to}];
        // A repeat of the last message on the link leads to no new state.
        if (queue.empty() || message_text(queue.back()) != message_text(m.message))
          queue.push_back(m.message);
      }
      if (crash_before_durable) {
        s.nodes[at] = rc::Raft(node_options(i), s.disks[at], Micros(0));
        return true;
      }
      for (auto& e : out.committed_entries) {
        auto [it, inserted] = s.committed.emplace(e.index, std::pair(e, node.term()));
        if (!inserted && !(it->second.first == e))
          return fail(fmt::format("node {} commits another entry at {}", i + 1, e.index));
      }
      for (auto& w : out.writes) {
        auto& d = s.disks[at];
        if (w.hard_state) d.hard_state = *w.hard_state;
        if (w.truncate_from) std::erase_if(d.entries, [&](auto& e) { return e.index >= w.truncate_from; });
        d.entries.insert(d.entries.end(), w.append.begin(), w.append.end());
        inputs.clear();
        inputs.push_back(rc::WriteCompleted{w.number});
      }
    }
    // Messages of an older term than their receiver's no longer have any effect.
    for (auto& [link, queue] : s.links)
      std::erase_if(queue, [&](auto& m) { return m.term < s.nodes[m.to - 1].term(); });
    return true;
  }

  bool fail(const std::string& violation) {
    search_.result.violation = violation;
    return false;
  }

  template <class Act>
  bool explore_action(const State& s, const std::string& name, Act act) {
    State next = s;
    bool invariant_holds = act(next);
    search_.add(std::move(next), name, [&](const State& n) { return fingerprint(n); });
    return invariant_holds;
  }

  bool expand(const State& s) {
    for (int i = 0; i < options_.nodes; ++i) {
      auto& node = s.nodes[static_cast<std::size_t>(i)];
      if (s.elections > 0 && !node.is_leader())
        if (!explore_action(s, fmt::format("{} campaigns", i + 1), [&](State& n) {
              --n.elections;
              return step(n, i, rc::Tick{});
            }))
          return false;
      if (s.proposals > 0 && node.is_leader())
        for (bool crash_before_durable : {false, true}) {
          if (crash_before_durable && s.crashes == 0) continue;
          if (!explore_action(s,
                              fmt::format("{} proposes{}", i + 1,
                                          crash_before_durable ? " and dies before it is durable" : ""),
                              [&](State& n) {
                                --n.proposals;
                                n.crashes -= crash_before_durable;
                                return step(n, i, rc::Proposal{1, "x"}, crash_before_durable);
                              }))
            return false;
        }
      if (s.crashes > 0)
        if (!explore_action(s, fmt::format("{} dies and starts again", i + 1), [&](State& n) {
              --n.crashes;
              auto at = static_cast<std::size_t>(i);
              n.nodes[at] = rc::Raft(node_options(i), n.disks[at], Micros(0));
              return true;
            }))
          return false;
    }
    for (auto& [link, queue] : s.links) {
      if (queue.empty()) continue;
      if (!explore_action(s, message_text(queue.front()), [&, key = link](State& n) {
            auto message = n.links[key].front();
            n.links[key].erase(n.links[key].begin());
            return step(n, static_cast<int>(message.to) - 1, rc::MessageReceived{message});
          }))
        return false;
      if (s.breaks > 0 && !explore_action(s, fmt::format("link {}>{} breaks", link.first, link.second),
                                          [&, key = link](State& n) {
                                            --n.breaks;
                                            n.links[key].clear();
                                            return true;
                                          }))
        return false;
    }
    return true;
  }

  ScopeOptions options_;
  StateSearch<State> search_;
};

// Leases.

// State of two lease clients, A with a slow clock (so that its lease lasts long), and two leaders, the second
// of which is elected at any step. Requests and responses may be in flight for any number of steps; a grant
// may be committed late.
struct LeaseState {
  own::LeaseRegistry registry;
  own::LeaseManager managers[2]{own::LeaseManager({}), own::LeaseManager({})};
  std::vector<own::LeaseClient> clients;
  std::vector<std::pair<int, own::LeaseRenewalRequest>> requests;    // in flight, to the current leader
  std::vector<std::pair<int, own::LeaseRenewalResponse>> responses;  // in flight, to a lease client
  std::optional<std::pair<int, own::Command>> pending_grant;
  int leader = 0, time = 0, last_request_times[2]{-1, -1}, requests_left[2]{2, 2};
  std::uint64_t index = 10;
};

class LeaseExplorer {
 public:
  explicit LeaseExplorer(LeaseScope options) : scope_(options) {
    lease_.duration = 1s;
    lease_.progress_timeout = 1h;
    lease_.pause_margin = 50ms;
    lease_.flaw_no_margin = scope_.mutant == Mutant::kNoMargin;
    lease_.flaw_no_check = scope_.mutant == Mutant::kNoCheck;
  }
  ScopeResult run() {
    LeaseState s;
    for (auto& manager : s.managers) manager = own::LeaseManager(lease_);
    s.clients.emplace_back("a", lease_);
    s.clients.emplace_back("b", lease_);
    s.managers[0].on_elected(clock_time(0, 1));
    s.registry.apply(5, own::Grant{"j", "a", 0});
    auto initial_fingerprint = fingerprint(s);  // before the move, whatever the order of arguments
    search_.begin(std::move(s), initial_fingerprint);
    while (search_.next() && expand(search_.state)) {
    }
    return search_.finish();
  }

 private:
  // The clock of client 0 is 0.5% slow and those of client 1 and the leaders are 0.5% fast, the largest drift
  // that the lease protocol allows for.
  Micros clock_time(int time, double rate) const {
    return Micros(static_cast<std::int64_t>(500'000.0 * time * rate) + 1'000'000);
  }
  Micros client_time(const LeaseState& s, int o) const { return clock_time(s.time, o == 0 ? 0.995 : 1.005); }
  Micros leader_time(const LeaseState& s) const { return clock_time(s.time, 1.005); }

  std::string fingerprint(const LeaseState& s) const {
    auto f = fmt::format("{} {} {} {} {} {} ", s.time, s.leader, s.last_request_times[0],
                         s.last_request_times[1], s.requests_left[0], s.requests_left[1]);
    for (int o = 0; o < 2; ++o)
      f += fmt::format("{} {} ", s.clients[static_cast<std::size_t>(o)].token("j"),
                       s.clients[static_cast<std::size_t>(o)].expires_at("j").count());
    for (auto& [o, a] : s.requests) f += fmt::format("q{}.{} ", o, a.number);
    for (auto& [o, t] : s.responses) f += fmt::format("t{}.{}.{} ", o, t.number, t.granted.size());
    if (auto* job = s.registry.job("j")) f += fmt::format("{}:{} ", job->lease_holder, job->token);
    for (auto& manager : s.managers) f += manager.fingerprint();
    if (s.pending_grant)
      f += "g" + std::to_string(s.pending_grant->first) + own::encode(s.pending_grant->second);
    return f;
  }

  bool check(const LeaseState& s) {
    if (!(s.clients[0].holds("j", client_time(s, 0)) && s.clients[1].holds("j", client_time(s, 1))))
      return true;
    search_.result.violation = "both owners pass their check";
    return false;
  }

  template <class Act>
  bool explore_action(const LeaseState& s, const std::string& name, Act act) {
    LeaseState next = s;
    act(next);
    bool invariant_holds = check(next);
    search_.add(std::move(next), name, [&](const LeaseState& n) { return fingerprint(n); });
    return invariant_holds;
  }

  bool expand(const LeaseState& s) {
    if (s.time >= scope_.steps) return true;
    if (!explore_action(s, "time passes", [&](LeaseState& n) {
          ++n.time;
          for (int o = 0; o < 2; ++o) n.clients[static_cast<std::size_t>(o)].expire(client_time(n, o));
        }))
      return false;
    for (int o = 0; o < 2; ++o) {
      bool awaiting_response =
          std::any_of(s.requests.begin(), s.requests.end(), [&](auto& a) { return a.first == o; }) ||
          std::any_of(s.responses.begin(), s.responses.end(), [&](auto& t) { return t.first == o; });
      if (!awaiting_response && s.last_request_times[o] < s.time && s.requests_left[o] > 0 &&
          !explore_action(s, fmt::format("{} asks", o), [&](LeaseState& n) {
            n.last_request_times[o] = n.time;
            --n.requests_left[o];
            n.requests.emplace_back(
                o, n.clients[static_cast<std::size_t>(o)].make_renewal_request(client_time(n, o), {"j"}));
          }))
        return false;
    }
    for (std::size_t i = 0; i < s.requests.size(); ++i)
      if (!explore_action(s, "a question is answered", [&](LeaseState& n) {
            auto [o, request] = n.requests[i];
            n.requests.erase(n.requests.begin() + static_cast<std::ptrdiff_t>(i));
            auto& manager = n.managers[n.leader];
            manager.on_renewal_request(leader_time(n), request, n.registry);
            n.responses.emplace_back(
                o, manager.renewal_response(o == 0 ? "a" : "b", request.number, n.registry));
          }))
        return false;
    for (std::size_t i = 0; i < s.responses.size(); ++i)
      if (!explore_action(s, "an answer comes", [&](LeaseState& n) {
            auto [o, response] = n.responses[i];
            n.responses.erase(n.responses.begin() + static_cast<std::ptrdiff_t>(i));
            n.clients[static_cast<std::size_t>(o)].on_renewal_response(client_time(n, o), response);
          }))
        return false;
    if (!s.pending_grant && !explore_action(s, "the leader judges", [&](LeaseState& n) {
          for (auto& command : n.managers[n.leader].propose(leader_time(n), n.registry))
            n.pending_grant = std::pair(n.leader, command);
        }))
      return false;
    if (s.pending_grant && !explore_action(s, "a grant is committed", [&](LeaseState& n) {
          n.registry.apply(++n.index, n.pending_grant->second);
          if (n.pending_grant->first == n.leader) n.managers[n.leader].on_proposal_finished("j");
          n.pending_grant.reset();
        }))
      return false;
    // A grant in flight when the second leader is elected is committed before that leader proposes, or never.
    if (s.leader == 0)
      for (bool committed : {false, true}) {
        if (committed && !s.pending_grant) continue;
        if (!explore_action(s, "another leader is elected", [&](LeaseState& n) {
              if (committed) n.registry.apply(++n.index, n.pending_grant->second);
              n.pending_grant.reset();
              n.leader = 1;
              n.managers[0].on_leadership_lost();
              n.managers[1].on_elected(leader_time(n));
            }))
          return false;
      }
    return true;
  }

  LeaseScope scope_;
  own::LeaseOptions lease_;
  StateSearch<LeaseState> search_;
};

}  // namespace

ScopeResult explore_log(const ScopeOptions& options) { return LogExplorer(options).run(); }
ScopeResult explore_leases(const LeaseScope& options) { return LeaseExplorer(options).run(); }

}  // namespace database_proxy::testbench::simulation
