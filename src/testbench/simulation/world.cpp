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
constexpr Index kEntriesPerSnapshot = 40;
constexpr Micros kJobInterval = 150ms, kClientInterval = 60ms;

struct InvariantViolation {
  std::string violation;
};

class World {
 public:
  explicit World(const WorldOptions& options) : options_(options), random_(options.seed) {}
  WorldResult run();

 private:
  struct Disk {
    rc::PersistentState durable;
    std::vector<std::pair<Micros, rc::Write>> queue;
    Micros busy_until{0}, added_latency{0};
    bool failed = false;
  };
  struct Node {
    std::string name;
    NodeId id = 0;
    bool up = false;
    int incarnation = 0;  // number of starts; events scheduled in an earlier incarnation are dropped
    Micros paused_until{0};
    double rate = 1;
    Micros offset{0};
    Disk disk;
    std::unique_ptr<rc::Raft> raft;
    own::LeaseRegistry lease_registry;
    own::LeaseManager lease_manager{{}};
    std::unique_ptr<own::LeaseClient> lease_client;
    std::map<std::uint64_t, std::function<void(bool)>> pending_reads;  // by ticket
    // By index and term, until committed.
    std::map<std::pair<Index, rc::Term>, std::function<void(bool)>> appended_proposals;
    // By ticket, until appended.
    std::map<std::uint64_t, std::function<void(rc::ProposalResult)>> pending_proposals;
    Micros next_tick_at{-1};
    // Messages that wait for a write to become durable.
    std::vector<std::pair<std::uint64_t, rc::Message>> unsent;
    std::uint64_t durable_write = 0;
  };
  struct Event {
    Micros at;
    std::uint64_t order;
    std::function<void()> call;
    bool operator<(const Event& o) const { return std::pair(at, order) > std::pair(o.at, o.order); }
  };

  std::uint64_t draw(std::uint64_t below) { return random_() % below; }
  Micros draw_duration(Micros minimum, Micros maximum) {
    return minimum + Micros(static_cast<std::int64_t>(
                         draw(static_cast<std::uint64_t>((maximum - minimum).count() + 1))));
  }
  void schedule_at(Micros when, std::function<void()> call) {
    events_.push({when, next_event_order_++, std::move(call)});
  }
  // Schedules a call on the node's own thread: delayed while the node is paused, dropped if it has stopped or
  // restarted.
  void schedule_at_node(int n, Micros when, std::function<void()> call) {
    schedule_at(when, [this, n, incarnation = nodes_[n].incarnation, call = std::move(call)]() mutable {
      auto& node = nodes_[n];
      if (node.incarnation != incarnation || !node.up) return;
      if (node.paused_until > now_)
        schedule_at_node(n, node.paused_until, std::move(call));
      else
        call();
    });
  }
  Micros local_time(const Node& node) const {
    return node.offset + Micros(static_cast<std::int64_t>(static_cast<double>(now_.count()) * node.rate));
  }
  Micros simulated_time(const Node& node, Micros node_time) const {
    return Micros(
        static_cast<std::int64_t>(static_cast<double>((node_time - node.offset).count()) / node.rate) + 1);
  }
  void add_to_history(std::string line) {
    result_.history.push_back(
        fmt::format("{:8.3f} {}", static_cast<double>(now_.count()) / 1e6, std::move(line)));
  }
  void require(bool holds, const std::string& violation) {
    if (!holds) throw InvariantViolation{violation};
  }

  void start(int n);
  void stop(int n);
  void step(int n, std::vector<rc::Input> inputs);
  void complete_writes(int n);
  void deliver(int from, NodeId to, std::function<void(int)> at_arrival);
  void apply(int n, const Entry& entry);
  void tick(int n);
  void renew_leases(int n);
  void run_jobs(int n);
  void run_client();
  void run_operator();
  void propose_grants(int n);
  void inject(const Fault& fault);
  std::vector<Fault> draw_faults();
  int index_of(NodeId id) const {
    for (std::size_t i = 0; i < nodes_.size(); ++i)
      if (nodes_[i].id == id) return static_cast<int>(i);
    return -1;
  }
  void propose(int n, const own::Command& command, std::function<void(bool)> done);
  bool reaches(int from, int to) const {
    return !cut_links_.count({from, to}) && !isolated_.count(from) && !isolated_.count(to);
  }
  void check_final_state();

  WorldOptions options_;
  std::mt19937_64 random_;
  WorldResult result_;
  Micros now_{0};
  std::uint64_t next_event_order_ = 0, last_ticket_ = 0;
  std::priority_queue<Event> events_;
  std::vector<Node> nodes_;
  std::set<std::pair<int, int>> cut_links_;
  std::set<int> isolated_;
  double loss_probability_ = 0;
  NodeId next_id_ = 1;
  // Global state across all nodes, for the invariant checks.
  std::map<Index, Entry> committed_;
  std::map<Index, rc::Term> commit_terms_;  // the term in which the entry was committed
  std::map<Index, std::string> states_by_index_;
  std::map<rc::Term, NodeId> leaders_;
  // The highest token that the sink of effects has accepted, by job.
  std::map<std::string, own::Token> accepted_tokens_;
  own::FencingTokenGuard sink_;
  std::map<Index, std::uint64_t> register_writes_;  // the value written, by log index
  Index last_acknowledged_ = 0, last_read_ = 0;
  std::uint64_t last_value_ = 0;
  std::set<NodeId> wiped_ids_;
};

void World::start(int n) {
  auto& node = nodes_[n];
  node.up = true;
  ++node.incarnation;
  node.paused_until = Micros(0);
  node.pending_reads.clear();
  node.appended_proposals.clear();
  node.pending_proposals.clear();
  node.unsent.clear();
  node.durable_write = 0;
  node.next_tick_at = Micros(-1);
  node.disk.queue.clear();
  node.disk.failed = false;
  node.disk.busy_until = now_;
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
  node.lease_registry = own::LeaseRegistry();
  if (stored.snapshot)
    if (auto registry = own::LeaseRegistry::decode(stored.snapshot->data)) node.lease_registry = *registry;
  node.lease_registry.flaw_token_not_compared = options_.mutant == Mutant::kTokenNotCompared;
  node.lease_manager = own::LeaseManager(lease);
  node.lease_client = std::make_unique<own::LeaseClient>(node.name, lease);
  node.raft = std::make_unique<rc::Raft>(o, std::move(stored), local_time(node));
  tick(n);
  schedule_at_node(n, now_ + draw_duration(0ms, 250ms), [this, n] { renew_leases(n); });
  schedule_at_node(n, now_ + draw_duration(0ms, kJobInterval), [this, n] { run_jobs(n); });
}

void World::stop(int n) {
  auto& node = nodes_[n];
  node.up = false;
  ++node.incarnation;
  node.disk.queue.clear();
  node.raft.reset();
}

void World::tick(int n) {
  auto& node = nodes_[n];
  auto due = node.raft->due();
  if (due == Micros::max()) due = local_time(node) + 1s;
  auto when = std::max(now_, simulated_time(node, due));
  if (node.next_tick_at >= now_ && node.next_tick_at <= when) return;
  node.next_tick_at = when;
  schedule_at_node(n, when, [this, n, when] {
    if (nodes_[n].next_tick_at == when) nodes_[n].next_tick_at = Micros(-1);
    step(n, {rc::Tick{}});
  });
}

// Applies one write to a stored state, as the disk does.
void apply_write(rc::PersistentState* s, const rc::Write& w) {
  if (w.hard_state) s->hard_state = *w.hard_state;
  if (w.snapshot) s->snapshot = w.snapshot;
  if (w.truncate_from) std::erase_if(s->entries, [&](auto& e) { return e.index >= w.truncate_from; });
  if (w.drop_before) std::erase_if(s->entries, [&](auto& e) { return e.index < w.drop_before; });
  s->entries.insert(s->entries.end(), w.append.begin(), w.append.end());
}

void World::complete_writes(int n) {
  auto& node = nodes_[n];
  std::uint64_t number = 0;
  while (!node.disk.queue.empty() && node.disk.queue.front().first <= now_) {
    apply_write(&node.disk.durable, node.disk.queue.front().second);
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
  // The process may be paused while its disk continues.
  schedule_at_node(n, now_, [this, n, number] { step(n, {rc::WriteCompleted{number}}); });
}

void World::deliver(int from, NodeId to_id, std::function<void(int)> call) {
  int to = index_of(to_id);
  if (to < 0 || !reaches(from, to)) return;
  if (loss_probability_ > 0 && static_cast<double>(draw(1000)) < loss_probability_ * 1000) return;
  auto delay = draw_duration(200us, 3ms);
  if (draw(40) == 0) delay += draw_duration(0ms, 60ms);  // so that messages are reordered
  int copies = loss_probability_ > 0 && draw(20) == 0 ? 2 : 1;
  for (int i = 0; i < copies; ++i)
    schedule_at(now_ + delay * (i + 1), [this, from, to, to_id, call] {
      if (!reaches(from, to) || nodes_[to].id != to_id || !nodes_[to].up) return;
      schedule_at_node(to, now_, [call, to] { call(to); });
    });
}

void World::step(int n, std::vector<rc::Input> inputs) {
  auto& node = nodes_[n];
  if (!node.up) return;
  ++result_.events;
  auto before = node.raft->role();
  auto out = node.raft->step(local_time(node), std::move(inputs));
  for (auto& role_change : out.role_changes) {
    if (role_change.role == rc::Role::kLeader) {
      ++result_.elections;
      add_to_history(fmt::format("{} leads in term {}", node.name, role_change.term));
      auto [it, first] = leaders_.emplace(role_change.term, node.id);
      require(first || it->second == node.id, fmt::format("two leaders in term {}", role_change.term));
      for (auto& [index, entry] : committed_)
        if (index >= node.raft->first_index() && commit_terms_[index] < role_change.term)
          require(node.raft->term_at(index) == entry.term,
                  fmt::format("the leader of term {} lacks the committed entry {}", role_change.term, index));
    }
  }
  for (auto& w : out.writes) {
    auto& disk = node.disk;
    if (disk.failed) {
      schedule_at_node(n, now_, [this, n] { step(n, {rc::WriteFailed{}}); });
      break;
    }
    // Writes that arrive during a sync are all made durable together by the next one.
    auto sync = draw_duration(300us, 4ms) + disk.added_latency;
    disk.busy_until = std::max(disk.queue.empty() ? now_ : disk.queue.back().first,
                               std::min(std::max(disk.busy_until, now_) + sync, now_ + sync * 2));
    disk.queue.emplace_back(disk.busy_until, std::move(w));
    schedule_at(disk.busy_until, [this, n, incarnation = node.incarnation] {
      if (nodes_[n].incarnation == incarnation && nodes_[n].up) complete_writes(n);
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
    auto registry = own::LeaseRegistry::decode(out.snapshot_to_restore->data);
    require(registry.has_value(), "a snapshot that cannot be read");
    auto known = states_by_index_.find(out.snapshot_to_restore->index);
    require(known == states_by_index_.end() || known->second == out.snapshot_to_restore->data,
            fmt::format("{} is given another state at {}", node.name, out.snapshot_to_restore->index));
    node.lease_registry = *registry;
    node.lease_registry.flaw_token_not_compared = options_.mutant == Mutant::kTokenNotCompared;
  }
  for (auto& entry : out.committed_entries) apply(n, entry);
  for (auto& p : out.proposal_results) {
    auto it = node.pending_proposals.find(p.ticket);
    if (it == node.pending_proposals.end()) continue;
    auto call = std::move(it->second);
    node.pending_proposals.erase(it);
    call(p);
  }
  for (auto& r : out.read_results) {
    auto it = node.pending_reads.find(r.ticket);
    if (it == node.pending_reads.end()) continue;
    auto call = std::move(it->second);
    node.pending_reads.erase(it);
    call(r.confirmed);
  }
  if (node.raft->is_leader() && before != rc::Role::kLeader) node.lease_manager.on_elected(local_time(node));
  if (!node.raft->is_leader() && before == rc::Role::kLeader) {
    node.lease_manager.on_leadership_lost();
    for (auto& [where, call] : std::exchange(node.appended_proposals, {})) call(false);
  }
  propose_grants(n);
  tick(n);
}

void World::apply(int n, const Entry& entry) {
  auto& node = nodes_[n];
  auto [it, first] = committed_.emplace(entry.index, entry);
  require(it->second == entry, fmt::format("{} commits another entry at {}", node.name, entry.index));
  if (first) {
    ++result_.committed;
    commit_terms_[entry.index] = node.raft->term();
  }
  if (entry.type == rc::EntryType::kCommand) {
    auto command = own::decode(entry.data);
    require(command.has_value(), "a command that cannot be read");
    own::Token granted = 0;
    auto* publish = std::get_if<own::Publish>(&*command);
    auto* holding = publish ? node.lease_registry.job(publish->job) : nullptr;
    bool stale = holding && publish->token < holding->token;
    auto applied = node.lease_registry.apply(entry.index, *command, &granted);
    if (first && stale) ++result_.stale_attempted;
    require(!(stale && applied == own::LeaseRegistry::ApplyResult::kApplied),
            "the ledger takes an effect with an old token");
    if (first && granted) {
      ++result_.grants;
      auto& g = std::get<own::Grant>(*command);
      add_to_history(fmt::format("job {} granted to {} with token {}", g.job, g.lease_holder, granted));
    }
    if (auto* g = std::get_if<own::Grant>(&*command)) node.lease_manager.on_proposal_finished(g->job);
    if (auto* put = std::get_if<own::SetConfigurationEntry>(&*command); put && put->key == "x")
      register_writes_[entry.index] = std::stoull(put->value);
  }
  auto waiting = node.appended_proposals.find({entry.index, entry.term});
  if (waiting != node.appended_proposals.end()) {
    auto call = std::move(waiting->second);
    node.appended_proposals.erase(waiting);
    call(true);
  }
  if (entry.index % kEntriesPerSnapshot == 0) {
    auto state = node.lease_registry.encode();
    auto [known, inserted] = states_by_index_.emplace(entry.index, state);
    require(inserted || known->second == state,
            fmt::format("{} has another state at {}", node.name, entry.index));
    schedule_at_node(n, now_, [this, n, index = entry.index, state] {
      step(n, {rc::SnapshotTaken{index, state}});
    });
  }
}

void World::propose(int n, const own::Command& command, std::function<void(bool)> done) {
  auto& node = nodes_[n];
  auto ticket = ++last_ticket_;
  node.pending_proposals[ticket] = [this, n, done = std::move(done)](rc::ProposalResult p) {
    if (p.index == 0)
      done(false);
    else
      nodes_[n].appended_proposals[{p.index, p.term}] = done;
  };
  step(n, {rc::Proposal{ticket, own::encode(command)}});
}

void World::propose_grants(int n) {
  auto& node = nodes_[n];
  if (!node.lease_manager.leading() || !node.raft->has_committed_in_current_term() ||
      local_time(node) < node.lease_manager.due())
    return;
  for (auto& command : node.lease_manager.propose(local_time(node), node.lease_registry)) {
    auto job = std::get<own::Grant>(command).job;
    schedule_at_node(n, now_, [this, n, command, job] {
      propose(n, command, [this, n, job](bool committed) {
        if (!committed) nodes_[n].lease_manager.on_proposal_finished(job);
      });
    });
  }
}

// Sends a lease renewal request to the leader and handles its response, as a lease client does periodically.
void World::renew_leases(int n) {
  auto& node = nodes_[n];
  auto repeat = [this, n] { renew_leases(n); };
  schedule_at_node(n, now_ + 200ms + draw_duration(0ms, 50ms), repeat);
  for (auto& job : node.lease_client->expire(local_time(node)))
    add_to_history(fmt::format("{} lets {} go: its lease has run out", node.name, job));
  auto leader = node.raft->leader();
  if (leader == rc::kNoNode) return;
  auto renewal_request = node.lease_client->make_renewal_request(local_time(node), kJobs);
  auto handle_request = [this, from = n](int at, const own::LeaseRenewalRequest& request) {
    auto& leader_node = nodes_[at];
    if (!leader_node.lease_manager.leading() || !leader_node.raft->has_committed_in_current_term()) return;
    leader_node.lease_manager.on_renewal_request(local_time(leader_node), request,
                                                 leader_node.lease_registry);
    auto ticket = ++last_ticket_;
    leader_node.pending_reads[ticket] = [this, from, at, request](bool confirmed) {
      if (!confirmed) return;
      auto response =
          nodes_[at].lease_manager.renewal_response(request.node, request.number, nodes_[at].lease_registry);
      auto handle_response = [this, from, at, response](int to) {
        auto& node = nodes_[to];
        node.lease_client->on_renewal_response(local_time(node), response);
        for (auto& job : std::set<std::string>(node.lease_client->jobs_to_release())) {
          auto token = node.lease_client->release(job);
          if (token == 0) continue;
          add_to_history(fmt::format("{} gives up {}", node.name, job));
          auto release = own::Command(own::Release{job, token});
          if (at == to)
            propose(to, release, [](bool) {});
          else
            deliver(to, nodes_[at].id, [this, release](int l) { propose(l, release, [](bool) {}); });
        }
      };
      if (at == from)
        schedule_at_node(from, now_, [handle_response, from] { handle_response(from); });
      else
        deliver(at, nodes_[from].id, handle_response);
    };
    step(at, {rc::ReadRequest{ticket}});
  };
  if (leader == node.id)
    handle_request(n, renewal_request);
  else
    deliver(n, leader, [handle_request, renewal_request](int at) { handle_request(at, renewal_request); });
}

// Performs the effects of the jobs whose leases the node holds: checks the lease right before each effect,
// then sends the effect to a sink that compares fencing tokens, and to the log.
void World::run_jobs(int n) {
  auto& node = nodes_[n];
  schedule_at_node(n, now_ + kJobInterval, [this, n] { run_jobs(n); });
  for (auto& job : node.lease_client->jobs()) {
    if (!node.lease_client->holds(job, local_time(node))) continue;
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
      auto& o = nodes_[other];
      if (static_cast<int>(other) == n || !o.up || o.paused_until > now_) continue;
      require(!o.lease_client->holds(job, local_time(o)),
              fmt::format("{} and {} both pass their check for {}", node.name, o.name, job));
    }
    auto token = node.lease_client->token(job);
    node.lease_client->record_progress(job);
    ++result_.effects;
    // The process occasionally pauses between the check and the effect, sometimes for long.
    if (draw(200) == 0 && now_ < options_.faults_until) node.paused_until = now_ + draw_duration(100ms, 4s);
    schedule_at_node(n, now_ + draw_duration(0us, 2ms), [this, n, job, token] {
      schedule_at(now_ + draw_duration(1ms, 5ms), [this, job, token] {
        bool stale = token < accepted_tokens_[job];
        if (stale) ++result_.stale_attempted;
        bool admitted = options_.mutant == Mutant::kTokenNotCompared || sink_.admit(job, token);
        if (admitted && stale) ++result_.stale_accepted;
        require(!(admitted && stale),
                fmt::format("an effect of {} with the old token {} is taken", job, token));
        if (admitted) accepted_tokens_[job] = token;
      });
      auto leader = nodes_[n].raft->leader();
      own::Command publish = own::Publish{job, token, ++last_value_, "v"};
      if (leader == nodes_[n].id)
        propose(n, publish, [](bool) {});
      else if (leader != rc::kNoNode)
        deliver(n, leader, [this, publish](int l) { propose(l, publish, [](bool) {}); });
    });
  }
}

// Writes or reads a register through a node that believes it is the leader.
void World::run_client() {
  schedule_at(now_ + draw_duration(kClientInterval / 2, kClientInterval * 3 / 2), [this] { run_client(); });
  int n = static_cast<int>(draw(nodes_.size()));
  auto& node = nodes_[n];
  if (!node.up || node.paused_until > now_ || !node.raft->is_leader()) return;
  if (draw(2)) {
    auto value = ++last_value_;
    propose(n, own::SetConfigurationEntry{"x", std::to_string(value)}, [this, value](bool committed) {
      if (!committed) return;
      ++result_.acknowledged;
      for (auto& [index, v] : register_writes_)
        if (v == value) last_acknowledged_ = std::max(last_acknowledged_, index);
    });
  } else {
    auto ticket = ++last_ticket_;
    auto minimum_index = std::max(last_acknowledged_, last_read_);
    node.pending_reads[ticket] = [this, n, minimum_index](bool confirmed) {
      if (!confirmed) return;
      auto& settings = nodes_[n].lease_registry.settings();
      auto it = settings.find("x");
      Index seen = 0;
      if (it != settings.end())
        for (auto& [index, v] : register_writes_)
          if (v == std::stoull(it->second)) seen = index;
      ++result_.reads;
      require(seen >= minimum_index, fmt::format("{} reads a value of index {} where {} was told before",
                                                 nodes_[n].name, seen, minimum_index));
      last_read_ = std::max(last_read_, seen);
    };
    step(n, {rc::ReadRequest{ticket}});
  }
}

// Acts as the operator: removes members that came back with an empty directory and adds nodes that are not
// voters, one membership change at a time.
void World::run_operator() {
  schedule_at(now_ + 150ms, [this] { run_operator(); });
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    auto& leader_node = nodes_[i];
    if (!leader_node.up || leader_node.paused_until > now_ || !leader_node.raft->is_leader()) continue;
    auto& members = leader_node.raft->members();
    std::optional<rc::MembershipChange> change;
    for (auto id : members.voters)
      if (wiped_ids_.count(id)) change = rc::MembershipChange{0, rc::MembershipChange::Kind::kRemove, id};
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
      schedule_at_node(static_cast<int>(i), now_, [this, i, c = *change] { step(static_cast<int>(i), {c}); });
    return;
  }
}

std::string describe(Fault::Kind kind) {
  switch (kind) {
    case Fault::Kind::kCrash:
      return "crash";
    case Fault::Kind::kPause:
      return "pause";
    case Fault::Kind::kCut:
      return "cut";
    case Fault::Kind::kCutOneWay:
      return "cut one way";
    case Fault::Kind::kIsolate:
      return "isolate";
    case Fault::Kind::kSlowDisk:
      return "slow disk";
    case Fault::Kind::kFailDisk:
      return "full disk";
    case Fault::Kind::kWipe:
      return "emptied directory";
    case Fault::Kind::kTransfer:
      return "hand over";
    case Fault::Kind::kLoss:
      return "loss and repeats";
    case Fault::Kind::kReplace:
      return "member out and in";
  }
  return "?";
}

void World::inject(const Fault& f) {
  auto& node = nodes_[f.node];
  int n = f.node;
  ++result_.faults_injected;
  add_to_history("fault: " + text_of(f));
  switch (f.kind) {
    case Fault::Kind::kCrash:
    case Fault::Kind::kWipe: {
      if (!node.up) return;
      // Emptying a directory must leave a majority that keeps its state, whichever membership is in effect.
      bool majority_remains = wiped_ids_.empty();
      for (auto& o : nodes_)
        majority_remains = majority_remains && o.up && o.raft->members().voters.size() >= 3;
      stop(n);
      if (f.kind == Fault::Kind::kWipe && majority_remains) {
        node.disk = Disk();
        if (options_.mutant != Mutant::kLostDirectoryVotes) {
          wiped_ids_.insert(node.id);
          node.id = ++next_id_;
        }
      }
      schedule_at(now_ + f.duration, [this, n] {
        if (!nodes_[n].up) start(n);
      });
      return;
    }
    case Fault::Kind::kPause:
      node.paused_until = std::max(node.paused_until, now_ + f.duration);
      return;
    case Fault::Kind::kCut:
    case Fault::Kind::kCutOneWay:
      cut_links_.insert({f.node, f.other});
      if (f.kind == Fault::Kind::kCut) cut_links_.insert({f.other, f.node});
      schedule_at(now_ + f.duration, [this, f] {
        cut_links_.erase({f.node, f.other});
        if (f.kind == Fault::Kind::kCut) cut_links_.erase({f.other, f.node});
      });
      return;
    case Fault::Kind::kIsolate:
      isolated_.insert(n);
      schedule_at(now_ + f.duration, [this, n] { isolated_.erase(n); });
      return;
    case Fault::Kind::kSlowDisk:
      node.disk.added_latency = 400ms;
      schedule_at(now_ + f.duration, [this, n] { nodes_[n].disk.added_latency = Micros(0); });
      return;
    case Fault::Kind::kFailDisk:
      node.disk.failed = true;
      schedule_at(now_ + f.duration, [this, n] {
        if (!nodes_[n].up || !nodes_[n].disk.failed) return;
        stop(n);
        start(n);
      });
      return;
    case Fault::Kind::kTransfer:
      for (std::size_t i = 0; i < nodes_.size(); ++i)
        if (nodes_[i].up && nodes_[i].paused_until <= now_ && nodes_[i].raft->is_leader())
          schedule_at_node(static_cast<int>(i), now_,
                           [this, i] { step(static_cast<int>(i), {rc::LeadershipTransfer{}}); });
      return;
    case Fault::Kind::kLoss:
      loss_probability_ = 0.1;
      schedule_at(now_ + f.duration, [this] { loss_probability_ = 0; });
      return;
    case Fault::Kind::kReplace:
      // An operator does not remove a healthy member while another one has just been lost.
      for (auto& o : nodes_)
        if (o.up)
          for (auto id : o.raft->members().voters)
            if (wiped_ids_.count(id)) return;
      for (std::size_t i = 0; i < nodes_.size(); ++i)
        if (nodes_[i].up && nodes_[i].paused_until <= now_ && nodes_[i].raft->is_leader())
          schedule_at_node(static_cast<int>(i), now_, [this, i, id = node.id] {
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
    f.kind = static_cast<Fault::Kind>(draw(11));
    f.at = draw_duration(500ms, options_.faults_until);
    f.duration = draw(4) == 0 ? draw_duration(1s, 4s) : draw_duration(20ms, 900ms);
    f.node = static_cast<int>(draw(nodes));
    f.other = static_cast<int>((static_cast<std::uint64_t>(f.node) + 1 + draw(nodes - 1)) % nodes);
    faults.push_back(f);
  }
  std::sort(faults.begin(), faults.end(), [](auto& a, auto& b) { return a.at < b.at; });
  return faults;
}

void World::check_final_state() {
  std::size_t leading = 0;
  Index commit = 0;
  for (auto& node : nodes_) {
    require(node.up, "a node is down at the end");
    leading += node.raft->is_leader();
    commit = std::max(commit, node.raft->commit_index());
  }
  require(leading == 1, fmt::format("{} leaders at the end, with all faults over", leading));
  for (auto& node : nodes_) {
    require(node.raft->commit_index() + 50 >= commit,
            fmt::format("{} is {} entries behind at the end", node.name, commit - node.raft->commit_index()));
    for (auto& job : kJobs) {
      auto* held = node.lease_registry.job(job);
      require(held && !held->lease_holder.empty(), "nobody owns " + job + " at the end");
    }
  }
  std::map<std::string, int> holders;
  for (auto& node : nodes_)
    for (auto& job : node.lease_client->jobs())
      if (node.lease_client->holds(job, local_time(node))) ++holders[job];
  for (auto& job : kJobs) require(holders[job] <= 1, "two owners of " + job + " at the end");
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
    // Clock drift stays within the share that the lease allows for; the offsets are far apart.
    node.rate = 1 + (static_cast<double>(draw(801)) - 400) * 1e-5;
    node.offset = draw_duration(1s, 1000s);
  }
  bool grows_from_one = draw(4) == 0;  // starts as a single-node group and adds the others
  auto first = std::make_shared<rc::Snapshot>();
  first->index = 1;
  first->term = 1;
  first->members = members;
  if (grows_from_one) first->members.voters.resize(1);
  for (int i = 0; i < count; ++i) {
    if (grows_from_one && i > 0) continue;
    nodes_[static_cast<std::size_t>(i)].disk.durable.hard_state.term = 1;
    nodes_[static_cast<std::size_t>(i)].disk.durable.snapshot = first;
  }
  auto faults = draw_faults();
  if (options_.script) faults = *options_.script;
  result_.faults = faults;
  try {
    for (int i = 0; i < count; ++i) start(i);
    schedule_at(50ms, [this] { run_client(); });
    schedule_at(100ms, [this] { run_operator(); });
    for (auto& f : faults) schedule_at(f.at, [this, f] { inject(f); });
    while (!events_.empty() && events_.top().at <= options_.end) {
      auto event = events_.top();
      events_.pop();
      now_ = event.at;
      event.call();
    }
    now_ = options_.end;
    check_final_state();
  } catch (const InvariantViolation& b) {
    result_.violation = b.violation;
    add_to_history("BROKEN: " + b.violation);
    for (auto& node : nodes_)
      add_to_history(fmt::format(
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
      "{} at {:.3f} s for {:.3f} s, n{}{}", describe(f.kind), static_cast<double>(f.at.count()) / 1e6,
      static_cast<double>(f.duration.count()) / 1e6, f.node + 1,
      f.kind == Fault::Kind::kCut || f.kind == Fault::Kind::kCutOneWay ? fmt::format(" to n{}", f.other + 1)
                                                                       : "");
}

WorldResult run_world(const WorldOptions& options) { return World(options).run(); }

WorldResult shrink(const WorldOptions& options, const WorldResult& failed_run) {
  auto best = failed_run;
  for (std::size_t i = 0; i < best.faults.size();) {
    auto fewer = options;
    fewer.script = best.faults;
    fewer.script->erase(fewer.script->begin() + static_cast<std::ptrdiff_t>(i));
    auto tried = run_world(fewer);
    if (tried.violation == best.violation)
      best = std::move(tried);
    else
      ++i;
  }
  return best;
}

}  // namespace database_proxy::testbench::simulation
