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

std::uint64_t hash_of(const std::string& text) {  // FNV-1a, mixed
  std::uint64_t h = 1469598103934665603ull;
  for (unsigned char c : text) h = (h ^ c) * 1099511628211ull;
  h ^= h >> 29;
  return h * 0xbf58476d1ce4e5b9ull;
}

std::string print(const rc::Message& m) {
  auto s = fmt::format("{}:{}>{} t{} i{} l{} c{} r{} x{}", static_cast<int>(m.type), m.from, m.to, m.term,
                       m.index, m.log_term, m.commit, m.rejected_index, m.reject);
  for (auto& e : m.entries) s += fmt::format(" {}/{}", e.term, e.data);
  return s;
}

// Depth first, with the states still to be looked at on the heap. Of those seen a hash is kept, and how each
// was come by, so that what breaks can be told as a path.
template <class S>
struct Walk {
  S state;
  ScopeResult result;
  std::uint64_t most = UINT64_MAX;

  void begin(S first, const std::string& print) {
    seen_.insert(hash_of(print));
    trail_.emplace_back(0, "");
    open_.emplace_back(std::move(first), 0);
  }
  bool next() {
    if (open_.empty()) return false;
    if (result.states >= most) {
      result.exhausted = false;
      return false;
    }
    ++result.states;
    state = std::move(open_.back().first);
    at_ = open_.back().second;
    open_.pop_back();
    return true;
  }
  template <class Print>
  void add(S found, const std::string& how, Print print) {
    if (!result.broken.empty()) {
      result.path.push_back(how);
      for (auto at = at_; at != 0; at = trail_[at].first) result.path.push_back(trail_[at].second);
      std::reverse(result.path.begin(), result.path.end());
      return;
    }
    if (!seen_.insert(hash_of(print(found))).second) return;
    trail_.emplace_back(at_, how);
    open_.emplace_back(std::move(found), static_cast<std::uint32_t>(trail_.size() - 1));
  }
  ScopeResult finish() { return std::move(result); }

 private:
  std::unordered_set<std::uint64_t> seen_;
  std::vector<std::pair<std::uint32_t, std::string>> trail_;
  std::deque<std::pair<S, std::uint32_t>> open_;
  std::uint32_t at_ = 0;
};

struct State {
  std::vector<rc::Raft> nodes;
  std::vector<rc::PersistentState> disks;
  // In flight, by link, in order, as TCP keeps it; a broken link loses all of its own.
  std::map<std::pair<rc::NodeId, rc::NodeId>, std::vector<rc::Message>> links;
  std::map<Index, std::pair<Entry, rc::Term>> committed;  // with the term in which it was
  std::map<rc::Term, rc::NodeId> leaders;
  int elections = 0, proposals = 0, crashes = 0, breaks = 0;
};

class Explorer {
 public:
  explicit Explorer(ScopeOptions options) : options_(options) { walk_.most = options.most_states; }
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
    walk_.begin(std::move(s), fingerprint(s));
    while (walk_.next() && expand(walk_.state)) {
    }
    return walk_.finish();
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
      for (auto& m : queue) f += print(m) + ";";
    for (auto& [i, e] : s.committed) f += fmt::format("{}:{}:{} ", i, e.first.term, e.second);
    return f;
  }

  // One node's step, its writes durable at once; or lost with a crash, where `torn`.
  bool step(State& s, int i, rc::Input input, bool torn = false) {
    auto at = static_cast<std::size_t>(i);
    auto& node = s.nodes[at];
    std::vector<rc::Input> inputs;
    inputs.push_back(std::move(input));
    auto now = std::holds_alternative<rc::Tick>(inputs[0]) ? node.due() : Micros(0);
    for (int round = 0; !inputs.empty(); ++round) {
      auto out = node.step(now, std::move(inputs));
      inputs.clear();
      for (auto& turn : out.role_changes)
        if (turn.role == rc::Role::kLeader) {
          auto [it, fresh] = s.leaders.emplace(turn.term, node_options(i).self);
          if (!fresh && it->second != node_options(i).self)
            return fail(fmt::format("two leaders in term {}", turn.term));
          for (auto& [index, entry] : s.committed)
            if (entry.second < turn.term && node.term_at(index) != entry.first.term)
              return fail(
                  fmt::format("the leader of term {} lacks the committed entry {}", turn.term, index));
        }
      for (auto& m : out.messages) {
        if (torn && m.required_write > 0) continue;
        auto to = static_cast<std::size_t>(m.message.to - 1);
        if (m.message.term < s.nodes[to].term()) continue;
        auto& queue = s.links[{m.message.from, m.message.to}];
        // The same again brings nothing new.
        if (queue.empty() || print(queue.back()) != print(m.message)) queue.push_back(m.message);
      }
      if (torn) {
        s.nodes[at] = rc::Raft(node_options(i), s.disks[at], Micros(0));
        return true;
      }
      for (auto& e : out.committed_entries) {
        auto [it, fresh] = s.committed.emplace(e.index, std::pair(e, node.term()));
        if (!fresh && !(it->second.first == e))
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
    // What is of an older term than its receiver brings nothing any more.
    for (auto& [link, queue] : s.links)
      std::erase_if(queue, [&](auto& m) { return m.term < s.nodes[m.to - 1].term(); });
    return true;
  }

  bool fail(const std::string& what) {
    walk_.result.broken = what;
    return false;
  }

  template <class Act>
  bool go(const State& s, const std::string& name, Act act) {
    State next = s;
    bool good = act(next);
    walk_.add(std::move(next), name, [&](const State& n) { return fingerprint(n); });
    return good;
  }

  bool expand(const State& s) {
    for (int i = 0; i < options_.nodes; ++i) {
      auto& node = s.nodes[static_cast<std::size_t>(i)];
      if (s.elections > 0 && !node.is_leader())
        if (!go(s, fmt::format("{} campaigns", i + 1), [&](State& n) {
              --n.elections;
              return step(n, i, rc::Tick{});
            }))
          return false;
      if (s.proposals > 0 && node.is_leader())
        for (bool torn : {false, true}) {
          if (torn && s.crashes == 0) continue;
          if (!go(s, fmt::format("{} proposes{}", i + 1, torn ? " and dies before it is durable" : ""),
                  [&](State& n) {
                    --n.proposals;
                    n.crashes -= torn;
                    return step(n, i, rc::Proposal{1, "x"}, torn);
                  }))
            return false;
        }
      if (s.crashes > 0)
        if (!go(s, fmt::format("{} dies and starts again", i + 1), [&](State& n) {
              --n.crashes;
              auto at = static_cast<std::size_t>(i);
              n.nodes[at] = rc::Raft(node_options(i), n.disks[at], Micros(0));
              return true;
            }))
          return false;
    }
    for (auto& [link, queue] : s.links) {
      if (queue.empty()) continue;
      if (!go(s, print(queue.front()), [&, key = link](State& n) {
            auto message = n.links[key].front();
            n.links[key].erase(n.links[key].begin());
            return step(n, static_cast<int>(message.to) - 1, rc::MessageReceived{message});
          }))
        return false;
      if (s.breaks > 0 &&
          !go(s, fmt::format("link {}>{} breaks", link.first, link.second), [&, key = link](State& n) {
            --n.breaks;
            n.links[key].clear();
            return true;
          }))
        return false;
    }
    return true;
  }

  ScopeOptions options_;
  Walk<State> walk_;
};

// ---- leases
// ------------------------------------------------------------------------------------------------

// Two owners, A with a slow clock (its lease lasts long), and two leaders, the second of which is elected at
// any step. Questions and answers may take any number of steps; a grant may be committed late.
struct LeaseState {
  own::LeaseRegistry ledger;
  own::LeaseManager stewards[2]{own::LeaseManager({}), own::LeaseManager({})};
  std::vector<own::LeaseClient> holders;
  std::vector<std::pair<int, own::LeaseRenewalRequest>> asks;        // on their way; to whichever leads
  std::vector<std::pair<int, own::LeaseRenewalResponse>> responses;  // on their way to an owner
  std::optional<std::pair<int, own::Command>> grant;
  int leader = 0, time = 0, asked[2]{-1, -1}, asks_left[2]{2, 2};
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
    for (auto& steward : s.stewards) steward = own::LeaseManager(lease_);
    s.holders.emplace_back("a", lease_);
    s.holders.emplace_back("b", lease_);
    s.stewards[0].on_elected(at(0, 1));
    s.ledger.apply(5, own::Grant{"j", "a", 0});
    walk_.begin(std::move(s), fingerprint(s));
    while (walk_.next() && expand(walk_.state)) {
    }
    return walk_.finish();
  }

 private:
  // Owner 0's clock is half a hundredth slow, the leaders' half a hundredth fast: the most that is allowed
  // for.
  Micros at(int time, double rate) const {
    return Micros(static_cast<std::int64_t>(500'000.0 * time * rate) + 1'000'000);
  }
  Micros of_owner(const LeaseState& s, int o) const { return at(s.time, o == 0 ? 0.995 : 1.005); }
  Micros of_leader(const LeaseState& s) const { return at(s.time, 1.005); }

  std::string fingerprint(const LeaseState& s) const {
    auto f = fmt::format("{} {} {} {} {} {} ", s.time, s.leader, s.asked[0], s.asked[1], s.asks_left[0],
                         s.asks_left[1]);
    for (int o = 0; o < 2; ++o)
      f += fmt::format("{} {} ", s.holders[static_cast<std::size_t>(o)].token("j"),
                       s.holders[static_cast<std::size_t>(o)].expires_at("j").count());
    for (auto& [o, a] : s.asks) f += fmt::format("q{}.{} ", o, a.number);
    for (auto& [o, t] : s.responses) f += fmt::format("t{}.{}.{} ", o, t.number, t.granted.size());
    if (auto* job = s.ledger.job("j")) f += fmt::format("{}:{} ", job->lease_holder, job->token);
    for (auto& steward : s.stewards) f += steward.fingerprint();
    if (s.grant) f += "g" + std::to_string(s.grant->first) + own::encode(s.grant->second);
    return f;
  }

  bool check(const LeaseState& s) {
    if (!(s.holders[0].holds("j", of_owner(s, 0)) && s.holders[1].holds("j", of_owner(s, 1)))) return true;
    walk_.result.broken = "both owners pass their check";
    return false;
  }

  template <class Act>
  bool go(const LeaseState& s, const std::string& name, Act act) {
    LeaseState next = s;
    act(next);
    bool good = check(next);
    walk_.add(std::move(next), name, [&](const LeaseState& n) { return fingerprint(n); });
    return good;
  }

  bool expand(const LeaseState& s) {
    if (s.time >= scope_.steps) return true;
    if (!go(s, "time passes", [&](LeaseState& n) {
          ++n.time;
          for (int o = 0; o < 2; ++o) n.holders[static_cast<std::size_t>(o)].expire(of_owner(n, o));
        }))
      return false;
    for (int o = 0; o < 2; ++o) {
      bool waits = std::any_of(s.asks.begin(), s.asks.end(), [&](auto& a) { return a.first == o; }) ||
                   std::any_of(s.responses.begin(), s.responses.end(), [&](auto& t) { return t.first == o; });
      if (!waits && s.asked[o] < s.time && s.asks_left[o] > 0 &&
          !go(s, fmt::format("{} asks", o), [&](LeaseState& n) {
            n.asked[o] = n.time;
            --n.asks_left[o];
            n.asks.emplace_back(
                o, n.holders[static_cast<std::size_t>(o)].make_renewal_request(of_owner(n, o), {"j"}));
          }))
        return false;
    }
    for (std::size_t i = 0; i < s.asks.size(); ++i)
      if (!go(s, "a question is answered", [&](LeaseState& n) {
            auto [o, ask] = n.asks[i];
            n.asks.erase(n.asks.begin() + static_cast<std::ptrdiff_t>(i));
            auto& steward = n.stewards[n.leader];
            steward.on_renewal_request(of_leader(n), ask, n.ledger);
            n.responses.emplace_back(o, steward.renewal_response(o == 0 ? "a" : "b", ask.number, n.ledger));
          }))
        return false;
    for (std::size_t i = 0; i < s.responses.size(); ++i)
      if (!go(s, "an answer comes", [&](LeaseState& n) {
            auto [o, told] = n.responses[i];
            n.responses.erase(n.responses.begin() + static_cast<std::ptrdiff_t>(i));
            n.holders[static_cast<std::size_t>(o)].on_renewal_response(of_owner(n, o), told);
          }))
        return false;
    if (!s.grant && !go(s, "the leader judges", [&](LeaseState& n) {
          for (auto& command : n.stewards[n.leader].propose(of_leader(n), n.ledger))
            n.grant = std::pair(n.leader, command);
        }))
      return false;
    if (s.grant && !go(s, "a grant is committed", [&](LeaseState& n) {
          n.ledger.apply(++n.index, n.grant->second);
          if (n.grant->first == n.leader) n.stewards[n.leader].on_proposal_finished("j");
          n.grant.reset();
        }))
      return false;
    // What is on its way to the log when the second is elected is committed before it judges, or never.
    if (s.leader == 0)
      for (bool kept : {false, true}) {
        if (kept && !s.grant) continue;
        if (!go(s, "another leader is elected", [&](LeaseState& n) {
              if (kept) n.ledger.apply(++n.index, n.grant->second);
              n.grant.reset();
              n.leader = 1;
              n.stewards[0].on_leadership_lost();
              n.stewards[1].on_elected(of_leader(n));
            }))
          return false;
      }
    return true;
  }

  LeaseScope scope_;
  own::LeaseOptions lease_;
  Walk<LeaseState> walk_;
};

}  // namespace

ScopeResult explore_log(const ScopeOptions& options) { return Explorer(options).run(); }
ScopeResult explore_leases(const LeaseScope& options) { return LeaseExplorer(options).run(); }

}  // namespace database_proxy::testbench::simulation
