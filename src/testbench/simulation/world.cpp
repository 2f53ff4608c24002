#include "testbench/simulation/world.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

namespace database_proxy::testbench::simulation {
namespace {

namespace rc = consensus;
namespace own = ownership;
using namespace std::chrono_literals;
using consensus::Entry;
using consensus::Index;
using consensus::NodeId;

const std::vector<std::string> kJobs{"list", "probe 1", "probe 2", "probe 3"};
constexpr Index kSnapshotEvery = 40;
constexpr Micros kWorkEvery = 150ms, kClientEvery = 60ms;

struct Broken {
  std::string what;
};

class World {
 public:
  explicit World(const WorldOptions& options) : options_(options), random_(options.seed) {}
  WorldResult run();

 private:
  struct Disk {
    rc::PersistentState durable;
    std::vector<std::pair<Micros, rc::Write>> queue;
    Micros busy{0}, slow{0};
    bool failed = false;
  };
  struct Node {
    std::string name;
    NodeId id = 0;
    bool up = false;
    int life = 0;  // counts starts: what was under way in an earlier one is void
    Micros paused_until{0};
    double rate = 1;
    Micros offset{0};
    Disk disk;
    std::unique_ptr<rc::Raft> raft;
    own::LeaseRegistry ledger;
    own::LeaseManager steward{{}};
    std::unique_ptr<own::LeaseClient> holder;
    std::map<std::uint64_t, std::function<void(bool)>> reads;  // by ticket
    std::map<std::pair<Index, rc::Term>, std::function<void(bool)>> proposals;
    std::map<std::uint64_t, std::function<void(rc::ProposalResult)>> tickets;
    Micros ticking{-1};
    std::vector<std::pair<std::uint64_t, rc::Message>> unsent;  // wait for a write
    std::uint64_t durable_write = 0;
  };
  struct Event {
    Micros at;
    std::uint64_t order;
    std::function<void()> call;
    bool operator<(const Event& o) const { return std::pair(at, order) > std::pair(o.at, o.order); }
  };

  std::uint64_t draw(std::uint64_t below) { return random_() % below; }
  Micros span(Micros least, Micros most) {
    return least +
           Micros(static_cast<std::int64_t>(draw(static_cast<std::uint64_t>((most - least).count() + 1))));
  }
  void at(Micros when, std::function<void()> call) { events_.push({when, orders_++, std::move(call)}); }
  // In the node's own thread: not while it is paused, and not once it has ended.
  void at_node(int n, Micros when, std::function<void()> call) {
    at(when, [this, n, life = nodes_[n].life, call = std::move(call)]() mutable {
      auto& node = nodes_[n];
      if (node.life != life || !node.up) return;
      if (node.paused_until > now_)
        at_node(n, node.paused_until, std::move(call));
      else
        call();
    });
  }
  Micros local(const Node& node) const {
    return node.offset + Micros(static_cast<std::int64_t>(static_cast<double>(now_.count()) * node.rate));
  }
  Micros real(const Node& node, Micros local) const {
    return Micros(static_cast<std::int64_t>(static_cast<double>((local - node.offset).count()) / node.rate) +
                  1);
  }
  void say(std::string line) {
    result_.history.push_back(
        fmt::format("{:8.3f} {}", static_cast<double>(now_.count()) / 1e6, std::move(line)));
  }
  void demand(bool holds, const std::string& what) {
    if (!holds) throw Broken{what};
  }

  void start(int n);
  void stop(int n);
  void step(int n, std::vector<rc::Input> inputs);
  void written(int n);
  void deliver(int from, NodeId to, std::function<void(int)> at_arrival);
  void apply(int n, const Entry& entry);
  void tick(int n);
  void ask(int n);
  void work(int n);
  void client();
  void operate();
  void steward(int n);
  void inject(const Fault& fault);
  std::vector<Fault> draw_faults();
  int index_of(NodeId id) const {
    for (std::size_t i = 0; i < nodes_.size(); ++i)
      if (nodes_[i].id == id) return static_cast<int>(i);
    return -1;
  }
  void propose(int n, const own::Command& command, std::function<void(bool)> done);
  bool reaches(int from, int to) const {
    return !cut_.count({from, to}) && !isolated_.count(from) && !isolated_.count(to);
  }
  void check_rest();

  WorldOptions options_;
  std::mt19937_64 random_;
  WorldResult result_;
  Micros now_{0};
  std::uint64_t orders_ = 0, tickets_ = 0;
  std::priority_queue<Event> events_;
  std::vector<Node> nodes_;
  std::set<std::pair<int, int>> cut_;
  std::set<int> isolated_;
  double loss_ = 0;
  NodeId next_id_ = 1;
  // what is known of the whole, for the checks
  std::map<Index, Entry> committed_;
  std::map<Index, rc::Term> committed_in_;  // the term of the leader that did
  std::map<Index, std::string> states_;
  std::map<rc::Term, NodeId> leaders_;
  std::map<std::string, own::Token> accepted_;  // by the sink of effects
  own::FencingTokenGuard sink_;
  std::map<Index, std::uint64_t> puts_;  // index of each write of the register
  Index acknowledged_ = 0, read_seen_ = 0;
  std::uint64_t values_ = 0;
  std::set<NodeId> wiped_;
};

void World::start(int n) {
  auto& node = nodes_[n];
  node.up = true;
  ++node.life;
  node.paused_until = Micros(0);
  node.reads.clear();
  node.proposals.clear();
  node.tickets.clear();
  node.unsent.clear();
  node.durable_write = 0;
  node.ticking = Micros(-1);
  node.disk.queue.clear();
  node.disk.failed = false;
  node.disk.busy = now_;
  rc::Options o;
  o.self = node.id;
  o.seed = random_();
  o.trailing_entries = 20;
  o.flaws.vote_not_saved = options_.mutant == Mutant::kVoteNotSaved;
  o.flaws.commits_old_terms = options_.mutant == Mutant::kCommitsOldTerms;
  own::LeaseOptions lease;
  lease.duration = 1s;
  lease.progress_timeout = 3s;
  lease.flaw_no_margin = options_.mutant == Mutant::kNoMargin;
  lease.flaw_no_check = options_.mutant == Mutant::kNoCheck;
  auto stored = node.disk.durable;
  node.ledger = own::LeaseRegistry();
  if (stored.snapshot)
    if (auto ledger = own::LeaseRegistry::decode(stored.snapshot->data)) node.ledger = *ledger;
  node.ledger.flaw_token_not_compared = options_.mutant == Mutant::kTokenNotCompared;
  node.steward = own::LeaseManager(lease);
  node.holder = std::make_unique<own::LeaseClient>(node.name, lease);
  node.raft = std::make_unique<rc::Raft>(o, std::move(stored), local(node));
  tick(n);
  at_node(n, now_ + span(0ms, 250ms), [this, n] { ask(n); });
  at_node(n, now_ + span(0ms, kWorkEvery), [this, n] { work(n); });
}

void World::stop(int n) {
  auto& node = nodes_[n];
  node.up = false;
  ++node.life;
  node.disk.queue.clear();
  node.raft.reset();
}

void World::tick(int n) {
  auto& node = nodes_[n];
  auto due = node.raft->due();
  if (due == Micros::max()) due = local(node) + 1s;
  auto when = std::max(now_, real(node, due));
  if (node.ticking >= now_ && node.ticking <= when) return;
  node.ticking = when;
  at_node(n, when, [this, n, when] {
    if (nodes_[n].ticking == when) nodes_[n].ticking = Micros(-1);
    step(n, {rc::Tick{}});
  });
}

// Carries a stored state over one write, as the disk does.
void carry(rc::PersistentState* s, const rc::Write& w) {
  if (w.hard_state) s->hard_state = *w.hard_state;
  if (w.snapshot) s->snapshot = w.snapshot;
  if (w.truncate_from) std::erase_if(s->entries, [&](auto& e) { return e.index >= w.truncate_from; });
  if (w.drop_before) std::erase_if(s->entries, [&](auto& e) { return e.index < w.drop_before; });
  s->entries.insert(s->entries.end(), w.append.begin(), w.append.end());
}

void World::written(int n) {
  auto& node = nodes_[n];
  std::uint64_t number = 0;
  while (!node.disk.queue.empty() && node.disk.queue.front().first <= now_) {
    carry(&node.disk.durable, node.disk.queue.front().second);
    number = node.disk.queue.front().second.number;
    node.disk.queue.erase(node.disk.queue.begin());
  }
  if (number == 0) return;
  node.durable_write = number;
  std::vector<rc::Message> ready;
  std::erase_if(node.unsent, [&](auto& u) {
    if (u.first > number) return false;
    ready.push_back(std::move(u.second));
    return true;
  });
  for (auto& m : ready) deliver(n, m.to, [this, m](int to) { step(to, {rc::MessageReceived{m}}); });
  // The process may be paused while its disk goes on.
  at_node(n, now_, [this, n, number] { step(n, {rc::WriteCompleted{number}}); });
}

void World::deliver(int from, NodeId to_id, std::function<void(int)> call) {
  int to = index_of(to_id);
  if (to < 0 || !reaches(from, to)) return;
  if (loss_ > 0 && static_cast<double>(draw(1000)) < loss_ * 1000) return;
  auto delay = span(200us, 3ms);
  if (draw(40) == 0) delay += span(0ms, 60ms);  // and so out of order
  int copies = loss_ > 0 && draw(20) == 0 ? 2 : 1;
  for (int i = 0; i < copies; ++i)
    at(now_ + delay * (i + 1), [this, from, to, to_id, call] {
      if (!reaches(from, to) || nodes_[to].id != to_id || !nodes_[to].up) return;
      at_node(to, now_, [call, to] { call(to); });
    });
}

void World::step(int n, std::vector<rc::Input> inputs) {
  auto& node = nodes_[n];
  if (!node.up) return;
  ++result_.events;
  auto before = node.raft->role();
  auto out = node.raft->step(local(node), std::move(inputs));
  for (auto& turn : out.role_changes) {
    if (turn.role == rc::Role::kLeader) {
      ++result_.elections;
      say(fmt::format("{} leads in term {}", node.name, turn.term));
      auto [it, first] = leaders_.emplace(turn.term, node.id);
      demand(first || it->second == node.id, fmt::format("two leaders in term {}", turn.term));
      for (auto& [index, entry] : committed_)
        if (index >= node.raft->first_index() && committed_in_[index] < turn.term)
          demand(node.raft->term_at(index) == entry.term,
                 fmt::format("the leader of term {} lacks the committed entry {}", turn.term, index));
    }
  }
  for (auto& w : out.writes) {
    auto& disk = node.disk;
    if (disk.failed) {
      at_node(n, now_, [this, n] { step(n, {rc::WriteFailed{}}); });
      break;
    }
    // What comes while one sync is under way goes with the next, all of it together.
    auto sync = span(300us, 4ms) + disk.slow;
    disk.busy = std::max(disk.queue.empty() ? now_ : disk.queue.back().first,
                         std::min(std::max(disk.busy, now_) + sync, now_ + sync * 2));
    disk.queue.emplace_back(disk.busy, std::move(w));
    at(disk.busy, [this, n, life = node.life] {
      if (nodes_[n].life == life && nodes_[n].up) written(n);
    });
  }
  for (auto& m : out.messages) {
    if (m.required_write > node.durable_write)
      node.unsent.emplace_back(m.required_write, std::move(m.message));
    else
      deliver(n, m.message.to,
              [this, m = std::move(m.message)](int to) { step(to, {rc::MessageReceived{m}}); });
  }
  if (out.snapshot_to_restore) {
    auto ledger = own::LeaseRegistry::decode(out.snapshot_to_restore->data);
    demand(ledger.has_value(), "a snapshot that cannot be read");
    auto known = states_.find(out.snapshot_to_restore->index);
    demand(known == states_.end() || known->second == out.snapshot_to_restore->data,
           fmt::format("{} is given another state at {}", node.name, out.snapshot_to_restore->index));
    node.ledger = *ledger;
    node.ledger.flaw_token_not_compared = options_.mutant == Mutant::kTokenNotCompared;
  }
  for (auto& entry : out.committed_entries) apply(n, entry);
  for (auto& p : out.proposal_results) {
    auto it = node.tickets.find(p.ticket);
    if (it == node.tickets.end()) continue;
    auto call = std::move(it->second);
    node.tickets.erase(it);
    call(p);
  }
  for (auto& r : out.read_results) {
    auto it = node.reads.find(r.ticket);
    if (it == node.reads.end()) continue;
    auto call = std::move(it->second);
    node.reads.erase(it);
    call(r.confirmed);
  }
  if (node.raft->is_leader() && before != rc::Role::kLeader) node.steward.on_elected(local(node));
  if (!node.raft->is_leader() && before == rc::Role::kLeader) {
    node.steward.on_leadership_lost();
    for (auto& [where, call] : std::exchange(node.proposals, {})) call(false);
  }
  steward(n);
  tick(n);
}

void World::apply(int n, const Entry& entry) {
  auto& node = nodes_[n];
  auto [it, first] = committed_.emplace(entry.index, entry);
  demand(it->second == entry, fmt::format("{} commits another entry at {}", node.name, entry.index));
  if (first) {
    ++result_.committed;
    committed_in_[entry.index] = node.raft->term();
  }
  if (entry.type == rc::EntryType::kCommand) {
    auto command = own::decode(entry.data);
    demand(command.has_value(), "a command that cannot be read");
    own::Token granted = 0;
    auto* publish = std::get_if<own::Publish>(&*command);
    auto* holding = publish ? node.ledger.job(publish->job) : nullptr;
    bool stale = holding && publish->token < holding->token;
    auto applied = node.ledger.apply(entry.index, *command, &granted);
    if (first && stale) ++result_.stale_attempted;
    demand(!(stale && applied == own::LeaseRegistry::ApplyResult::kApplied),
           "the ledger takes an effect with an old token");
    if (first && granted) {
      ++result_.grants;
      auto& g = std::get<own::Grant>(*command);
      say(fmt::format("job {} granted to {} with token {}", g.job, g.lease_holder, granted));
    }
    if (auto* g = std::get_if<own::Grant>(&*command)) node.steward.on_proposal_finished(g->job);
    if (auto* put = std::get_if<own::SetConfigurationEntry>(&*command); put && put->key == "x")
      puts_[entry.index] = std::stoull(put->value);
  }
  auto waiting = node.proposals.find({entry.index, entry.term});
  if (waiting != node.proposals.end()) {
    auto call = std::move(waiting->second);
    node.proposals.erase(waiting);
    call(true);
  }
  if (entry.index % kSnapshotEvery == 0) {
    auto state = node.ledger.encode();
    auto [known, fresh] = states_.emplace(entry.index, state);
    demand(fresh || known->second == state,
           fmt::format("{} has another state at {}", node.name, entry.index));
    at_node(n, now_, [this, n, index = entry.index, state] { step(n, {rc::SnapshotTaken{index, state}}); });
  }
}

void World::propose(int n, const own::Command& command, std::function<void(bool)> done) {
  auto& node = nodes_[n];
  auto ticket = ++tickets_;
  node.tickets[ticket] = [this, n, done = std::move(done)](rc::ProposalResult p) {
    if (p.index == 0)
      done(false);
    else
      nodes_[n].proposals[{p.index, p.term}] = done;
  };
  step(n, {rc::Proposal{ticket, own::encode(command)}});
}

void World::steward(int n) {
  auto& node = nodes_[n];
  if (!node.steward.leading() || !node.raft->has_committed_in_current_term() ||
      local(node) < node.steward.due())
    return;
  for (auto& command : node.steward.propose(local(node), node.ledger)) {
    auto job = std::get<own::Grant>(command).job;
    at_node(n, now_, [this, n, command, job] {
      propose(n, command, [this, n, job](bool good) {
        if (!good) nodes_[n].steward.on_proposal_finished(job);
      });
    });
  }
}

// The owner's side: asks the leader, and is told.
void World::ask(int n) {
  auto& node = nodes_[n];
  auto again = [this, n] { ask(n); };
  at_node(n, now_ + 200ms + span(0ms, 50ms), again);
  for (auto& job : node.holder->expire(local(node)))
    say(fmt::format("{} lets {} go: its lease has run out", node.name, job));
  auto leader = node.raft->leader();
  if (leader == rc::kNoNode) return;
  auto question = node.holder->make_renewal_request(local(node), kJobs);
  auto answer = [this, from = n](int at, const own::LeaseRenewalRequest& q) {
    auto& lead = nodes_[at];
    if (!lead.steward.leading() || !lead.raft->has_committed_in_current_term()) return;
    lead.steward.on_renewal_request(local(lead), q, lead.ledger);
    auto ticket = ++tickets_;
    lead.reads[ticket] = [this, from, at, q](bool confirmed) {
      if (!confirmed) return;
      auto told = nodes_[at].steward.renewal_response(q.node, q.number, nodes_[at].ledger);
      auto hear = [this, from, at, told](int to) {
        auto& node = nodes_[to];
        node.holder->on_renewal_response(local(node), told);
        for (auto& job : std::set<std::string>(node.holder->jobs_to_release())) {
          auto token = node.holder->release(job);
          if (token == 0) continue;
          say(fmt::format("{} gives up {}", node.name, job));
          auto release = own::Command(own::Release{job, token});
          if (at == to)
            propose(to, release, [](bool) {});
          else
            deliver(to, nodes_[at].id, [this, release](int l) { propose(l, release, [](bool) {}); });
        }
      };
      if (at == from)
        at_node(from, now_, [hear, from] { hear(from); });
      else
        deliver(at, nodes_[from].id, hear);
    };
    step(at, {rc::ReadRequest{ticket}});
  };
  if (leader == node.id)
    answer(n, question);
  else
    deliver(n, leader, [answer, question](int at) { answer(at, question); });
}

// Effects: a check right before each, then the effect on its way to a sink that compares tokens, and to the
// log.
void World::work(int n) {
  auto& node = nodes_[n];
  at_node(n, now_ + kWorkEvery, [this, n] { work(n); });
  for (auto& job : node.holder->jobs()) {
    if (!node.holder->holds(job, local(node))) continue;
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
      auto& o = nodes_[other];
      if (static_cast<int>(other) == n || !o.up || o.paused_until > now_) continue;
      demand(!o.holder->holds(job, local(o)),
             fmt::format("{} and {} both pass their check for {}", node.name, o.name, job));
    }
    auto token = node.holder->token(job);
    node.holder->record_progress(job);
    ++result_.effects;
    // It stops between the check and the effect, now and then for long.
    if (draw(200) == 0 && now_ < options_.faults_until) node.paused_until = now_ + span(100ms, 4s);
    at_node(n, now_ + span(0us, 2ms), [this, n, job, token] {
      at(now_ + span(1ms, 5ms), [this, job, token] {
        bool stale = token < accepted_[job];
        if (stale) ++result_.stale_attempted;
        bool taken = options_.mutant == Mutant::kTokenNotCompared || sink_.admit(job, token);
        if (taken && stale) ++result_.stale_accepted;
        demand(!(taken && stale), fmt::format("an effect of {} with the old token {} is taken", job, token));
        if (taken) accepted_[job] = token;
      });
      auto leader = nodes_[n].raft->leader();
      own::Command publish = own::Publish{job, token, ++values_, "v"};
      if (leader == nodes_[n].id)
        propose(n, publish, [](bool) {});
      else if (leader != rc::kNoNode)
        deliver(n, leader, [this, publish](int l) { propose(l, publish, [](bool) {}); });
    });
  }
}

// A register, written and read through whoever believes that it leads.
void World::client() {
  at(now_ + span(kClientEvery / 2, kClientEvery * 3 / 2), [this] { client(); });
  int n = static_cast<int>(draw(nodes_.size()));
  auto& node = nodes_[n];
  if (!node.up || node.paused_until > now_ || !node.raft->is_leader()) return;
  if (draw(2)) {
    auto value = ++values_;
    propose(n, own::SetConfigurationEntry{"x", std::to_string(value)}, [this, value](bool good) {
      if (!good) return;
      ++result_.acknowledged;
      for (auto& [index, v] : puts_)
        if (v == value) acknowledged_ = std::max(acknowledged_, index);
    });
  } else {
    auto ticket = ++tickets_;
    auto least = std::max(acknowledged_, read_seen_);
    node.reads[ticket] = [this, n, least](bool confirmed) {
      if (!confirmed) return;
      auto& settings = nodes_[n].ledger.settings();
      auto it = settings.find("x");
      Index seen = 0;
      if (it != settings.end())
        for (auto& [index, v] : puts_)
          if (v == std::stoull(it->second)) seen = index;
      ++result_.reads;
      demand(seen >= least, fmt::format("{} reads a value of index {} where {} was told before",
                                        nodes_[n].name, seen, least));
      read_seen_ = std::max(read_seen_, seen);
    };
    step(n, {rc::ReadRequest{ticket}});
  }
}

// The operator: brings members that came back empty in again, one change at a time.
void World::operate() {
  at(now_ + 150ms, [this] { operate(); });
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    auto& lead = nodes_[i];
    if (!lead.up || lead.paused_until > now_ || !lead.raft->is_leader()) continue;
    auto& members = lead.raft->members();
    std::optional<rc::MembershipChange> change;
    for (auto id : members.voters)
      if (wiped_.count(id)) change = rc::MembershipChange{0, rc::MembershipChange::Kind::kRemove, id};
    if (!change)
      for (auto& node : nodes_) {
        if (!node.up || members.is_voter(node.id)) continue;
        change = rc::MembershipChange{0,
                                      members.has(node.id) ? rc::MembershipChange::Kind::kPromote
                                                           : rc::MembershipChange::Kind::kAddLearner,
                                      node.id};
        break;
      }
    if (change)
      at_node(static_cast<int>(i), now_, [this, i, c = *change] { step(static_cast<int>(i), {c}); });
    return;
  }
}

std::string describe(Fault::What what) {
  switch (what) {
    case Fault::What::kCrash:
      return "crash";
    case Fault::What::kPause:
      return "pause";
    case Fault::What::kCut:
      return "cut";
    case Fault::What::kCutOneWay:
      return "cut one way";
    case Fault::What::kIsolate:
      return "isolate";
    case Fault::What::kSlowDisk:
      return "slow disk";
    case Fault::What::kFailDisk:
      return "full disk";
    case Fault::What::kWipe:
      return "emptied directory";
    case Fault::What::kTransfer:
      return "hand over";
    case Fault::What::kLoss:
      return "loss and repeats";
    case Fault::What::kReplace:
      return "member out and in";
  }
  return "?";
}

void World::inject(const Fault& f) {
  auto& node = nodes_[f.node];
  int n = f.node;
  ++result_.faults_done;
  say("fault: " + text_of(f));
  switch (f.what) {
    case Fault::What::kCrash:
    case Fault::What::kWipe: {
      if (!node.up) return;
      // What is emptied must leave a majority that remembers, whichever members are in force.
      bool spare = wiped_.empty();
      for (auto& o : nodes_) spare = spare && o.up && o.raft->members().voters.size() >= 3;
      stop(n);
      if (f.what == Fault::What::kWipe && spare) {
        node.disk = Disk();
        if (options_.mutant != Mutant::kLostDirectoryVotes) {
          wiped_.insert(node.id);
          node.id = ++next_id_;
        }
      }
      at(now_ + f.length, [this, n] {
        if (!nodes_[n].up) start(n);
      });
      return;
    }
    case Fault::What::kPause:
      node.paused_until = std::max(node.paused_until, now_ + f.length);
      return;
    case Fault::What::kCut:
    case Fault::What::kCutOneWay:
      cut_.insert({f.node, f.other});
      if (f.what == Fault::What::kCut) cut_.insert({f.other, f.node});
      at(now_ + f.length, [this, f] {
        cut_.erase({f.node, f.other});
        if (f.what == Fault::What::kCut) cut_.erase({f.other, f.node});
      });
      return;
    case Fault::What::kIsolate:
      isolated_.insert(n);
      at(now_ + f.length, [this, n] { isolated_.erase(n); });
      return;
    case Fault::What::kSlowDisk:
      node.disk.slow = 400ms;
      at(now_ + f.length, [this, n] { nodes_[n].disk.slow = Micros(0); });
      return;
    case Fault::What::kFailDisk:
      node.disk.failed = true;
      at(now_ + f.length, [this, n] {
        if (!nodes_[n].up || !nodes_[n].disk.failed) return;
        stop(n);
        start(n);
      });
      return;
    case Fault::What::kTransfer:
      for (std::size_t i = 0; i < nodes_.size(); ++i)
        if (nodes_[i].up && nodes_[i].paused_until <= now_ && nodes_[i].raft->is_leader())
          at_node(static_cast<int>(i), now_,
                  [this, i] { step(static_cast<int>(i), {rc::LeadershipTransfer{}}); });
      return;
    case Fault::What::kLoss:
      loss_ = 0.1;
      at(now_ + f.length, [this] { loss_ = 0; });
      return;
    case Fault::What::kReplace:
      // Nobody takes a healthy member out while another has just been lost.
      for (auto& o : nodes_)
        if (o.up)
          for (auto id : o.raft->members().voters)
            if (wiped_.count(id)) return;
      for (std::size_t i = 0; i < nodes_.size(); ++i)
        if (nodes_[i].up && nodes_[i].paused_until <= now_ && nodes_[i].raft->is_leader())
          at_node(static_cast<int>(i), now_, [this, i, id = node.id] {
            step(static_cast<int>(i), {rc::MembershipChange{0, rc::MembershipChange::Kind::kRemove, id}});
          });
      return;
  }
}

std::vector<Fault> World::draw_faults() {
  std::vector<Fault> faults;
  auto nodes = nodes_.size();
  auto count = 4 + draw(14);
  for (std::uint64_t i = 0; i < count; ++i) {
    Fault f;
    f.what = static_cast<Fault::What>(draw(11));
    f.at = span(500ms, options_.faults_until);
    f.length = draw(4) == 0 ? span(1s, 4s) : span(20ms, 900ms);
    f.node = static_cast<int>(draw(nodes));
    f.other = static_cast<int>((static_cast<std::uint64_t>(f.node) + 1 + draw(nodes - 1)) % nodes);
    faults.push_back(f);
  }
  std::sort(faults.begin(), faults.end(), [](auto& a, auto& b) { return a.at < b.at; });
  return faults;
}

void World::check_rest() {
  std::size_t leading = 0;
  Index commit = 0;
  for (auto& node : nodes_) {
    demand(node.up, "a node is down at the end");
    leading += node.raft->is_leader();
    commit = std::max(commit, node.raft->commit_index());
  }
  demand(leading == 1, fmt::format("{} leaders at the end, with all faults over", leading));
  for (auto& node : nodes_) {
    demand(node.raft->commit_index() + 50 >= commit,
           fmt::format("{} is {} entries behind at the end", node.name, commit - node.raft->commit_index()));
    for (auto& job : kJobs) {
      auto* held = node.ledger.job(job);
      demand(held && !held->lease_holder.empty(), "nobody owns " + job + " at the end");
    }
  }
  std::map<std::string, int> owned;
  for (auto& node : nodes_)
    for (auto& job : node.holder->jobs())
      if (node.holder->holds(job, local(node))) ++owned[job];
  for (auto& job : kJobs) demand(owned[job] <= 1, "two owners of " + job + " at the end");
}

WorldResult World::run() {
  auto count = draw(3) == 0 ? 5 : 3;
  nodes_.resize(static_cast<std::size_t>(count));
  rc::Membership members;
  for (int i = 0; i < count; ++i) {
    auto& node = nodes_[static_cast<std::size_t>(i)];
    node.name = fmt::format("n{}", i + 1);
    node.id = next_id_++;
    members.voters.push_back(node.id);
    // Within the share that the lease allows for, and far apart.
    node.rate = 1 + (static_cast<double>(draw(801)) - 400) * 1e-5;
    node.offset = span(1s, 1000s);
  }
  bool grown = draw(4) == 0;  // begins as one and takes the others in
  auto first = std::make_shared<rc::Snapshot>();
  first->index = 1;
  first->term = 1;
  first->members = members;
  if (grown) first->members.voters.resize(1);
  for (int i = 0; i < count; ++i) {
    if (grown && i > 0) continue;
    nodes_[static_cast<std::size_t>(i)].disk.durable.hard_state.term = 1;
    nodes_[static_cast<std::size_t>(i)].disk.durable.snapshot = first;
  }
  auto faults = draw_faults();
  if (options_.script) faults = *options_.script;
  result_.faults = faults;
  try {
    for (int i = 0; i < count; ++i) start(i);
    at(50ms, [this] { client(); });
    at(100ms, [this] { operate(); });
    for (auto& f : faults) at(f.at, [this, f] { inject(f); });
    while (!events_.empty() && events_.top().at <= options_.end) {
      auto event = events_.top();
      events_.pop();
      now_ = event.at;
      event.call();
    }
    now_ = options_.end;
    check_rest();
  } catch (const Broken& b) {
    result_.broken = b.what;
    say("BROKEN: " + b.what);
    for (auto& node : nodes_)
      say(fmt::format(
          "  {} (id {}): {}", node.name, node.id,
          !node.up ? "down"
                   : fmt::format("{}, term {}, leader {}, log {} to {}, commit {}, durable {}, members {}",
                                 rc::text_of(node.raft->role()), node.raft->term(), node.raft->leader(),
                                 node.raft->first_index(), node.raft->last_index(), node.raft->commit_index(),
                                 node.raft->durable_index(), node.raft->members().encode())));
  }
  return std::move(result_);
}

}  // namespace

const std::vector<std::pair<Mutant, std::string>>& mutants() {
  static const std::vector<std::pair<Mutant, std::string>> all{
      {Mutant::kVoteNotSaved, "vote not persisted"},
      {Mutant::kCommitsOldTerms, "older terms' entries committed by count"},
      {Mutant::kNoCheck, "no check before the effect"},
      {Mutant::kTokenNotCompared, "token not compared"},
      {Mutant::kNoMargin, "margin of the lease zero"},
      {Mutant::kLostDirectoryVotes, "lost directory allowed to vote"}};
  return all;
}

std::string text_of(const Fault& f) {
  return fmt::format(
      "{} at {:.3f} s for {:.3f} s, n{}{}", describe(f.what), static_cast<double>(f.at.count()) / 1e6,
      static_cast<double>(f.length.count()) / 1e6, f.node + 1,
      f.what == Fault::What::kCut || f.what == Fault::What::kCutOneWay ? fmt::format(" to n{}", f.other + 1)
                                                                       : "");
}

WorldResult run_world(const WorldOptions& options) { return World(options).run(); }

WorldResult shrink(const WorldOptions& options, const WorldResult& broken) {
  auto best = broken;
  for (std::size_t i = 0; i < best.faults.size();) {
    auto fewer = options;
    fewer.script = best.faults;
    fewer.script->erase(fewer.script->begin() + static_cast<std::ptrdiff_t>(i));
    auto tried = run_world(fewer);
    if (tried.broken == best.broken)
      best = std::move(tried);
    else
      ++i;
  }
  return best;
}

}  // namespace database_proxy::testbench::simulation
