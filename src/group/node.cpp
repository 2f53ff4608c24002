#include "group/node.h"

#include <fmt/format.h>
#include <pthread.h>
#include <sys/random.h>

#include <algorithm>
#include <charconv>
#include <stdexcept>

#include "net/socket.h"

namespace database_proxy::group {
namespace {

namespace rc = consensus;
namespace own = ownership;
using namespace std::chrono_literals;
using net::Level;

constexpr int kStoreVersion = 1;
constexpr const char* kStoreName = "group";
// A snapshot after so many entries: the log on the disk stays under two thousand.
constexpr rc::Index kSnapshotEvery = 1024;
// Jobs are looked after so often; facts go out as often, together.
constexpr Micros kWorkEvery = 50ms;
constexpr Micros kAliveEvery = 500ms;
// A published list that is not in the ledger yet is proposed again.
constexpr Micros kPublishAgain = 400ms;
// A dial that failed: the pause doubles from the one to the other, drawn anew between half and whole.
constexpr Micros kDialPause = 100ms, kLongestDialPause = 1s;
// Facts older than this are thrown away: roles may have moved, loads have.
constexpr Micros kFactLife = 1s;
// A probe that has not ended by then never will.
constexpr Micros kProbeLost = 2s;
// A set is probed for so long after somebody wished to know: facts that come keep others from wishing, so
// each end of it costs a probe of many. Wishes are passed on so often, whoever has them.
constexpr Micros kWanted = 30s, kWantEvery = 250ms;
// A primary's data is never old; it is asked only whether it still is one.
constexpr Micros kPrimaryEvery = 1s;
constexpr std::size_t kMostSets = 4096;
// Work of one step of consensus may call for another; more rounds in one turn would be a fault.
constexpr int kMostRounds = 64;
constexpr std::size_t kMostProposals = 4096, kMostDownstream = 4096;

const std::string kLogFrom = "raft/log/", kLogTo = "raft/log0", kHard = "raft/hard",
                  kSnapshotKey = "raft/snapshot", kIdentity = "identity";

std::string log_key(rc::Index index) {
  std::string key = kLogFrom;
  for (int shift = 56; shift >= 0; shift -= 8) key.push_back(static_cast<char>(index >> shift & 0xff));
  return key;
}

std::string cbor(const json& j) {
  std::string out;
  json::to_cbor(j, out);
  return out;
}

state::Batch batch_of(const rc::Write& w) {
  state::Batch b;
  if (w.hard) b.changes.emplace_back(kHard, cbor(json::array({w.hard->term, w.hard->vote})));
  if (w.snapshot) b.changes.emplace_back(kSnapshotKey, peers::encode_snapshot(*w.snapshot));
  if (w.truncate_from) b.removals.emplace_back(log_key(w.truncate_from), kLogTo);
  if (w.drop_before) b.removals.emplace_back(kLogFrom, log_key(w.drop_before));
  for (auto& e : w.append) b.changes.emplace_back(log_key(e.index), peers::encode_entry(e));
  return b;
}

std::optional<std::int64_t> set_of(const std::string& job) {
  constexpr std::string_view kProbe = "probe ";
  if (!job.starts_with(kProbe)) return std::nullopt;
  std::int64_t set = 0;
  auto [end, error] = std::from_chars(job.data() + kProbe.size(), job.data() + job.size(), set);
  if (error != std::errc() || end != job.data() + job.size()) return std::nullopt;
  return set;
}

std::int64_t unix_ms() {
  return std::chrono::system_clock::now().time_since_epoch() / std::chrono::milliseconds(1);
}

}  // namespace

bool Options::voter() const {
  return std::any_of(nodes.begin(), nodes.end(), [&](auto& n) { return n.name == name; });
}

void check(const Options& o) {
  auto demand = [](bool ok, const std::string& what) {
    if (!ok) throw std::invalid_argument(what);
  };
  demand(!o.installation.empty(), "group.installation is missing");
  demand(!o.name.empty(), "group.name, this node's own, is missing");
  auto n = o.nodes.size();
  demand(n == 1 || n == 3 || n == 5,
         fmt::format("group.nodes names {} voters; 3 or 5 can lose one or two (1 for a trial)", n));
  std::set<std::string> names, addresses;
  for (auto& node : o.nodes) {
    demand(!node.name.empty() && names.insert(node.name).second,
           fmt::format("group.nodes names '{}' twice, or not at all", node.name));
    demand(net::parse_address(node.address).has_value(),
           fmt::format("group.nodes: '{}' of {} is no address", node.address, node.name));
    demand(addresses.insert(node.address).second,
           fmt::format("group.nodes: {} has the address of another", node.name));
  }
  if (o.voter()) {
    demand(!o.listen.empty() && net::parse_address(o.listen).has_value(),
           fmt::format("group.listen '{}' of the voter {} is no address", o.listen, o.name));
    demand(!o.directory.empty(), fmt::format("group.directory of the voter {} is missing", o.name));
  } else {
    demand(o.listen.empty(),
           fmt::format("group.listen: {} is none of group.nodes, and only voters listen", o.name));
  }
  demand(o.heartbeat * 4 <= o.election_min && o.election_min * 3 <= o.election_max * 2,
         "group.election_ms must be four heartbeats at least, its end half as much again");
  demand(o.lease > o.election_max, "group.lease_ms must be longer than an election");
  bool places = std::count(o.jobs.begin(), o.jobs.end(), "placement") > 0;
  demand(!places || o.placement, "group.jobs: placement needs the section group.placement");
  demand(!places || o.voter(), "group.jobs: placement is a voter's");
  if (o.placement) {
    demand(!o.placement->regions.empty(), "group.placement.regions names no zone");
    demand(o.placement->requests_per_weight > 0, "group.placement.requests_per_weight is missing");
    demand(o.placement->keep > o.election_max, "group.placement.keep_ms must be longer than an election");
  }
}

Node::Node(Options options, std::string discovery, discovery::PollingSchedule schedule,
           discovery::EndpointListUpdate known, Hooks hooks, net::Log log)
    : options_(std::move(options)),
      discovery_(std::move(discovery)),
      schedule_(std::move(schedule)),
      hooks_(std::move(hooks)),
      log_(std::move(log)),
      mailbox_(loop_),
      random_(options_.seed ^ 0x6c77677270ull),
      lease_([&] {
        own::LeaseOptions lease;
        lease.length = options_.lease;
        lease.idle = std::max<Micros>(10s, options_.lease * 4);  // the list service may keep a call for 6 s
        return lease;
      }()),
      lease_manager_(lease_),
      lease_client_(options_.name, lease_),
      known_(std::move(known)),
      lists_(options_.installation) {
  for (unsigned char c : options_.name) random_ = (random_ ^ c) * 1099511628211ull;
  check(options_);
  if (options_.voter() && options_.placement)
    placement_ = std::make_unique<PlacementJob>(*options_.placement);
  if (options_.voter()) {
    std::string error;
    listener_ = net::listen_on(*net::parse_address(options_.listen), &error);
    if (!listener_)
      throw std::runtime_error(fmt::format("group.listen: cannot listen on {}: {}", options_.listen, error));
    port_ = net::local_port(listener_.get());
    open_directory();
    loop_.add(listener_.get(), &on_listener_);
  }
  prober_ =
      hooks_.prober(loop_, [this](const std::string& server, bool ok, Micros taken, const std::string& load) {
        auto it = std::find_if(known_.members.begin(), known_.members.end(),
                               [&](auto& m) { return m.id == server; });
        probing_.erase(server);
        if (it == known_.members.end() || !ok || to_tell_[it->cell].size() >= 256) return;
        if (load.find("x1=1") != std::string::npos || load.find("x1:1") != std::string::npos)
          primary_asked_[server] = net::monotonic_now();
        else
          primary_asked_.erase(server);
        to_tell_[it->cell].push_back(
            json::array({server, load, taken.count(), unix_ms() - taken.count() / 1000}));
      });
  prober_->servers(known_);
}

Node::~Node() {
  stop();
  if (listener_) loop_.remove(listener_.get(), &on_listener_);
}

std::uint64_t Node::random() {  // splitmix64
  std::uint64_t x = random_ += 0x9e3779b97f4a7c15;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9;
  x = (x ^ (x >> 27)) * 0x94d049bb133111eb;
  return x ^ (x >> 31);
}

// ---- the directory ---------------------------------------------------------------------------------------

void Node::open_directory() {
  std::unique_ptr<state::DurableStore> store;
  std::optional<std::string> identity;
  rc::PersistentState stored;
  auto read = [&] {
    store = state::open_store(options_.directory, kStoreName, kStoreVersion);
    identity = store->read(kIdentity);
    if (!identity) return;
    auto who = json::from_cbor(*identity);
    auto installation = who.at("installation").get<std::string>();
    if (installation != options_.installation)
      throw state::StoreError(state::StoreErrorCode::kForeign,
                              fmt::format("group.directory {} belongs to the installation '{}', not '{}'",
                                          options_.directory, installation, options_.installation));
    id_ = who.at("id").get<rc::NodeId>();
    if (auto hard = store->read(kHard)) {
      auto j = json::from_cbor(*hard);
      stored.hard = {j.at(0).get<rc::Term>(), j.at(1).get<rc::NodeId>()};
    }
    auto torn = [&](const char* what) {
      throw state::StoreError(state::StoreErrorCode::kCorrupt,
                              fmt::format("{}: {}", options_.directory, what));
    };
    if (auto text = store->read(kSnapshotKey)) {
      stored.snapshot = peers::decode_snapshot(*text);
      if (!stored.snapshot) torn("its snapshot cannot be read");
    }
    for (auto& [key, text] : store->scan(kLogFrom, kLogTo)) {
      auto entry = peers::decode_entry(text);
      if (!entry || log_key(entry->index) != key) torn("an entry of its log cannot be read");
      stored.entries.push_back(std::move(*entry));
    }
  };
  try {
    try {
      read();
      if (identity) make_raft(stored);  // what it keeps is its own copy
    } catch (const json::exception& e) {
      throw state::StoreError(state::StoreErrorCode::kCorrupt, e.what());
    } catch (const std::invalid_argument& e) {
      throw state::StoreError(state::StoreErrorCode::kCorrupt, e.what());
    }
  } catch (const state::StoreError& e) {
    if (e.code != state::StoreErrorCode::kCorrupt) throw;
    // Half of a memory is none: this node begins anew, as another one, and votes for nothing until the
    // operator takes it in again.
    store.reset();
    stored = {};
    identity.reset();
    auto to = state::quarantine_corrupt_file(options_.directory, kStoreName);
    say(Level::kError,
        fmt::format("its directory is torn ({}) and was set aside as {}; this node begins anew", e.what(),
                    to));
    store = state::open_store(options_.directory, kStoreName, kStoreVersion);
  }
  if (!identity) {
    while (id_ == rc::kNobody || !raft_) {
      if (getrandom(&id_, sizeof id_, 0) != sizeof id_) throw std::runtime_error("no random numbers");
      id_ >>= 12;  // fits where numbers are doubles
      if (id_ == rc::kNobody) continue;
      state::Batch first;
      first.changes.emplace_back(
          kIdentity, cbor({{"installation", options_.installation}, {"id", id_}, {"name", options_.name}}));
      store->commit(first);
      make_raft({});
    }
  }
  recall(stored.entries);
  names_[id_] = options_.name;
  writer_ = std::make_unique<state::StoreWriter>(
      std::move(store), [this](std::uint64_t number, const std::string& error) {
        mailbox_.post([this, number, error] { written(number, error); });
      });
}

void Node::make_raft(rc::PersistentState stored) {
  rc::Options o;
  o.self = id_;
  o.seed = random();
  o.heartbeat = options_.heartbeat;
  o.election_min = options_.election_min;
  o.election_max = options_.election_max;
  own::LeaseRegistry ledger;
  rc::Index index = 0;
  if (stored.snapshot) {
    auto decoded = own::LeaseRegistry::decode(stored.snapshot->data);
    if (!decoded) throw std::invalid_argument("its snapshot holds no ledger");
    ledger = *decoded;
    index = stored.snapshot->index;
  }
  raft_ = std::make_unique<rc::Raft>(o, std::move(stored), net::monotonic_now());
  role_ = raft_->role();
  snapshotted_ = index;
  adopt(std::move(ledger), index);
}

// ---- links -----------------------------------------------------------------------------------------------

void Node::set_timer(net::Loop::TimerId* timer, Micros when, std::function<void()> call) {
  loop_.cancel(timer);
  *timer = loop_.at(when, std::move(call));
}

void Node::start() {
  thread_ = std::thread([this] {
    pthread_setname_np(pthread_self(), "group");
    loop_.set_fine(true);
    list_heard_ = net::monotonic_now();
    alone_after_ =
        options_.fallback +
        Micros(static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(options_.spread.count())));
    dial_some();
    auto spread = [&](Micros span) {
      return loop_.now() +
             Micros(static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(span.count())));
    };
    if (!options_.jobs.empty()) {
      ask_timer_ = loop_.at(spread(options_.lease / 8), [this] { ask(); });
      work_timer_ = loop_.at(spread(kWorkEvery), [this] { work(); });
    }
    alive_timer_ = loop_.at(spread(kAliveEvery), [this] { watch_alone(); });
    if (placement_) place_timer_ = loop_.at(spread(kObserveEvery), [this] { place(); });
    loop_.run([this] { end_of_turn(); });
  });
}

void Node::stop() {
  if (!thread_.joinable()) return;
  mailbox_.post([this] { loop_.stop(); });
  thread_.join();
  writer_.reset();
}

void Node::reconfigure(std::string discovery, std::vector<NodeAddress> nodes) {
  mailbox_.post([this, discovery = std::move(discovery), nodes = std::move(nodes)] {
    if (discovery != discovery_) {
      discovery_ = discovery;
      watch_.reset();  // work() opens the next
      if (orphan_watch_) ask_for_all(true);
      list_whole_ = false;
    }
    auto next = options_;
    next.nodes = nodes;
    if (next.nodes == options_.nodes || next.voter() != options_.voter()) return;
    options_.nodes = nodes;
    for (auto& [name, d] : dialed_) {
      auto it = std::find_if(nodes.begin(), nodes.end(), [&, n = name](auto& x) { return x.name == n; });
      if ((it == nodes.end() || it->address != d.address) && d.link) d.link->close("its address has changed");
    }
    dial_some();
  });
}

// Voters dial all others; a follower one of them, another when that one goes.
void Node::dial_some() {
  if (options_.voter()) {
    for (auto& node : options_.nodes)
      if (node.name != options_.name && !dialed_[node.name].link) dial(node.name);
    return;
  }
  if (next_upstream_ == 0) next_upstream_ = random();
  dial(options_.nodes[next_upstream_ % options_.nodes.size()].name);
}

void Node::dial(const std::string& name) {
  auto node =
      std::find_if(options_.nodes.begin(), options_.nodes.end(), [&](auto& n) { return n.name == name; });
  if (node == options_.nodes.end()) return;
  auto& d = dialed_[name];
  loop_.cancel(&d.again);
  d.address = node->address;
  d.link = std::make_unique<peers::Link>(loop_, *this, *net::parse_address(node->address));
  d.link->name = name;
  if (!d.link->start()) link_down(*d.link, "it cannot be dialed");
}

json Node::hello(const char* type) const {
  return {{"t", type},
          {"v", peers::kVersion},
          {"least", peers::kLeastVersion},
          {"installation", options_.installation},
          {"name", options_.name},
          {"id", id_},
          {"kind", options_.voter() ? "voter" : "follower"}};
}

void Node::accept_all() {
  for (int i = 0; i < 64; ++i) {
    int error = 0;
    auto fd = net::accept_from(listener_.get(), &error);
    if (!fd) return;
    if (accepted_.size() >= kMostDownstream) continue;  // closed at once
    auto link = std::make_unique<peers::Link>(loop_, *this, std::move(fd));
    if (link->start()) accepted_.push_back(std::move(link));
  }
  loop_.again(&on_listener_);
}

void Node::link_up(peers::Link& link) { link.send(hello("hello")); }

void Node::link_down(peers::Link& link, const std::string& why) {
  bool was = link.greeted;
  if (link.dialed()) {
    auto it = dialed_.find(link.name);
    if (it == dialed_.end() || it->second.link.get() != &link) return;
    auto& d = it->second;
    if (was) {
      d.failures = 0;
      say(Level::kInfo, fmt::format("the link to {} ended: {}", link.name, why));
    }
    gone_.push_back(std::move(d.link));
    if (upstream_ == it->first) upstream_.clear();
    auto pause = std::min<Micros>(kLongestDialPause, kDialPause * (1 << std::min(d.failures++, 4)));
    pause = pause / 2 +
            Micros(static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(pause.count() / 2)));
    if (!options_.voter()) ++next_upstream_;
    set_timer(&d.again, loop_.now() + pause, [this, name = it->first] {
      if (options_.voter())
        dial(name);
      else
        dial_some();
    });
    return;
  }
  auto down = downstream_.find(link.name);
  if (down != downstream_.end() && down->second.link == &link) {
    if (placement_) placement_->left(link.name);
    downstream_.erase(down);
  }
  auto it = std::find_if(accepted_.begin(), accepted_.end(), [&](auto& a) { return a.get() == &link; });
  if (it == accepted_.end()) return;
  if (why.starts_with("it "))
    say(Level::kWarning, fmt::format("closed a connection: {}", why));  // its own doing
  gone_.push_back(std::move(*it));
  accepted_.erase(it);
}

// Who is at the other end. A stranger is told why and closed.
bool Node::greet(peers::Link& link, const json& m) {
  auto refuse = [&](const std::string& why) {
    say(Level::kWarning, fmt::format("turned away {}: {}", m.value("name", "a peer"), why));
    link.send({{"t", "no"}, {"why", why}});
    link.close(why);
    return false;
  };
  if (m.at("installation") != options_.installation)
    return refuse(fmt::format("it is of the installation '{}'", m.at("installation").get<std::string>()));
  if (m.at("least").get<int>() > peers::kVersion || m.at("v").get<int>() < peers::kLeastVersion)
    return refuse(fmt::format("it speaks versions {} to {}", m.at("least").get<int>(), m.at("v").get<int>()));
  auto name = m.at("name").get<std::string>(), kind = m.at("kind").get<std::string>();
  auto id = m.value("id", rc::kNobody);
  if (link.dialed() && name != link.name)
    return refuse(fmt::format("it is {}, where {} was dialed", name, link.name));
  if (kind == "voter") {
    if (id == rc::kNobody || id == id_) return refuse("it has no id of its own");
    auto known =
        std::find_if(options_.nodes.begin(), options_.nodes.end(), [&](auto& n) { return n.name == name; });
    if (known == options_.nodes.end()) return refuse("it is none of group.nodes");
    std::erase_if(names_, [&](auto& n) { return n.second == name && n.first != id; });
    names_[id] = name;
  }
  link.kind = kind;
  link.id = id;
  if (!link.dialed()) {
    link.name = kind == "tool" ? fmt::format("tool-{}", random()) : name;
    if (kind != "voter") {
      // A process that came back may be quicker than the end of its last connection.
      auto old = downstream_.find(link.name);
      if (old != downstream_.end()) old->second.link->close("it has come again");
      downstream_[link.name].link = &link;
    }
    link.send(hello("welcome"));
  }
  link.greeted = true;
  return true;
}

void Node::link_said(peers::Link& link, const json& message) try {
  auto& t = message.at("t").get_ref<const std::string&>();
  if (t == "hello" || t == "welcome") {
    if (!greet(link, message) || !link.dialed()) return;
    say(Level::kInfo, fmt::format("linked with {}", link.name));
    if (options_.voter()) return;
    upstream_ = link.name;
    state_heard_ = loop_.now();
    link.send({{"t", "follow"}, {"index", applied_}});
    return;
  }
  if (t == "no") {
    if (!link.greeted)
      say(Level::kError, fmt::format("{} turned this node away: {}", link.name, message.value("why", "")));
    return;
  }
  if (!link.greeted) return link.close("it spoke before it greeted");
  said(link, message);
} catch (const json::exception&) {
  link.close("it sent a message that cannot be read");
}

void Node::said(peers::Link& link, const json& m) {
  auto& t = m.at("t").get_ref<const std::string&>();
  if (t == "raft") {
    if (!raft_ || link.kind != "voter") return;
    if (auto message = peers::raft_from_json(m); message && message->from == link.id)
      feed(rc::MessageReceived{std::move(*message)});
  } else if (t == "ask" || t == "propose" || t == "forward") {
    auto on = m;
    if (link.kind != "voter") {  // from below: it comes by this node
      on["node"] = link.name;
      on["via"] = options_.name;
    }
    if (link.kind != "voter" && t == "propose" && !on.contains("cmd")) return;
    if (!to_leader(on) && t == "propose")
      deliver({{"t", "done"},
               {"node", on.at("node")},
               {"via", on.at("via")},
               {"ticket", on.at("ticket")},
               {"ok", false},
               {"why", "no leader is known"}});
  } else if (t == "told" || t == "done" || t == "answer") {
    deliver(m);
  } else if (t == "facts") {
    facts(m, &link);
  } else if (t == "copy" || t == "copy-stands" || t == "copy-please") {
    copied(link, m);
  } else if (t == "seen" || t == "sum") {
    seen(link, m);
  } else if (t == "placement") {
    placement_asked(m);
  } else if (t == "want") {
    want_set(m.at("set").get<std::int64_t>(), &link);
  } else if (t == "follow") {
    auto it = downstream_.find(link.name);
    if (it == downstream_.end() || it->second.link != &link) return;
    it->second.follows = true;
    it->second.sent = m.at("index").get<rc::Index>();
    if (lists_.any() && !known_published_) hand_on(&link);  // nothing is known to be committed yet
  } else if (t == "state" && link.dialed()) {
    auto ledger = own::LeaseRegistry::decode(peers::text_of_bytes(m.at("ledger")));
    auto index = m.at("index").get<rc::Index>();
    state_heard_ = loop_.now();
    if (ledger && index > applied_) adopt(std::move(*ledger), index);
  } else if (t == "apply" && link.dialed()) {
    state_heard_ = loop_.now();
    // What does not join on to what is known was lost on the way: begin anew from here.
    if (m.at("from").get<rc::Index>() > applied_)
      return void(link.send({{"t", "follow"}, {"index", applied_}}));
    for (auto& e : m.at("entries"))
      if (auto index = e.at(0).get<rc::Index>(); index > applied_)
        apply(index, peers::text_of_bytes(e.at(1)));
    applied_ = std::max(applied_, m.at("index").get<rc::Index>());
  } else if (t == "alive" && link.dialed()) {
    leader_heard_ = m.value("leader", "");
    if (!leader_heard_.empty()) state_heard_ = loop_.now();
    if (m.value("index", rc::Index{0}) < applied_ && m.value("index", rc::Index{0}) > 0) {
      // It has not caught up with what this node saw elsewhere. Nothing to do but wait.
    }
  } else if (t == "tool") {
    if (m.value("do", "") == "placement") {
      auto on = m;
      on["t"] = "placement";
      on["node"] = link.name;
      on["via"] = options_.name;
      auto answer = placement_tool(on);
      if (answer.is_null()) placement_asked(on);
      if (answer.is_object()) link.send(answer);
      return;
    }
    auto answer = tool(m);
    if (answer.is_object()) link.send(answer);
    if (answer.is_null()) {  // the leader's to answer
      auto on = m;
      on["t"] = "forward";
      on["node"] = link.name;
      on["via"] = options_.name;
      if (!to_leader(on)) link.send({{"t", "answer"}, {"ok", false}, {"why", "no leader is known"}});
    }
  }
}

// ---- the way to the leader and back ----------------------------------------------------------------------

std::string Node::name_of(rc::NodeId id) const {
  auto it = names_.find(id);
  return it == names_.end() ? "" : it->second;
}

std::string Node::leader_name() const {
  if (!raft_) return leader_heard_;
  return name_of(raft_->leader());
}

bool Node::to_leader(json message) {
  if (!raft_) {
    auto it = dialed_.find(upstream_);
    return it != dialed_.end() && it->second.link && it->second.link->send(message);
  }
  if (raft_->is_leader()) {
    at_leader(message);
    return true;
  }
  auto it = dialed_.find(leader_name());
  return it != dialed_.end() && it->second.link && it->second.link->greeted && it->second.link->send(message);
}

void Node::at_leader(const json& m) {
  auto& t = m.at("t").get_ref<const std::string&>();
  if (t == "ask") return asked(m);
  if (t == "forward") return tool_at_leader(m);
  if (t != "propose") return;
  propose(peers::text_of_bytes(m.at("cmd")),
          [this, node = m.at("node"), via = m.at("via"), ticket = m.at("ticket")](
              bool ok, const std::string& why, rc::Index index) {
            deliver({{"t", "done"},
                     {"node", node},
                     {"via", via},
                     {"ticket", ticket},
                     {"ok", ok},
                     {"why", why},
                     {"index", index}});
          });
}

void Node::deliver(const json& m) {
  auto node = m.at("node").get<std::string>(), via = m.at("via").get<std::string>();
  if (via != options_.name) {
    auto it = dialed_.find(via);
    if (it != dialed_.end() && it->second.link && it->second.link->greeted) it->second.link->send(m);
    return;
  }
  if (node == options_.name) return arrived(m);
  auto it = downstream_.find(node);
  if (it != downstream_.end()) it->second.link->send(m);
}

void Node::arrived(const json& m) {
  if (m.at("t") == "told") told(m);
}

// ---- consensus -------------------------------------------------------------------------------------------

void Node::written(std::uint64_t number, const std::string& error) {
  if (!error.empty()) {
    if (disk_error_.empty()) say(Level::kError, fmt::format("its disk failed, it steps down: {}", error));
    disk_error_ = error;
    unsent_.clear();
    return feed(rc::WriteFailed{});
  }
  durable_ = std::max(durable_, number);
  if (number > write_base_) feed(rc::WriteCompleted{number - write_base_});
  std::erase_if(unsent_, [&](auto& u) {
    if (u.first > durable_) return false;
    send_raft(u.second);
    return true;
  });
}

void Node::send_raft(const rc::Message& message) {
  auto it = dialed_.find(name_of(message.to));
  if (it == dialed_.end() || !it->second.link || !it->second.link->greeted) return;
  if (it->second.link->id == message.to) it->second.link->send(peers::raft_to_json(message));
}

void Node::step() {
  if (!raft_) return;
  for (int round = 0; round < kMostRounds; ++round) {
    auto now = net::monotonic_now();
    if (inputs_.empty() && now < raft_->due()) break;
    auto inputs = std::exchange(inputs_, {});
    inputs.push_back(rc::Tick{});
    carry_out(raft_->step(now, std::move(inputs)));
  }
  auto due = raft_->due();
  set_timer(&raft_timer_, due == Micros::max() ? loop_.now() + 1s : due, [] {});  // the turn itself steps
}

void Node::carry_out(rc::Output out) {
  for (auto& t : out.role_changes) {
    // Without a majority it tries again every second: told once.
    bool again = t.role == rc::Role::kPreCandidate && std::exchange(tried_in_, t.term) == t.term;
    if (t.leader != rc::kNobody) tried_in_ = 0;
    if (again) continue;
    say(t.role == rc::Role::kHalted ? Level::kError : Level::kInfo,
        fmt::format("{} in term {}: {}{}", rc::text_of(t.role), t.term, rc::text_of(t.reason),
                    t.leader != rc::kNobody && t.role != rc::Role::kLeader
                        ? fmt::format(" (leader {})", name_of(t.leader))
                        : ""));
  }
  for (auto& w : out.writes) writer_->write(write_base_ + w.number, batch_of(w));
  for (auto& m : out.messages) {
    if (m.after > 0 && write_base_ + m.after > durable_)
      unsent_.emplace_back(write_base_ + m.after, std::move(m.message));
    else
      send_raft(m.message);
  }
  if (out.restored) {
    if (auto ledger = own::LeaseRegistry::decode(out.restored->data))
      adopt(std::move(*ledger), out.restored->index);
    snapshotted_ = out.restored->index;
  }
  for (auto& e : out.committed) {
    if (e.type == rc::EntryType::kCommand) apply(e.index, e.data);
    if (e.type == rc::EntryType::kMembers)
      if (auto members = rc::Membership::decode(e.data)) {
        std::string line;
        for (auto id : members->voters)
          line += fmt::format(" {}", name_of(id).empty() ? std::to_string(id) : name_of(id));
        say(Level::kInfo, fmt::format("voters are now{} ({} learners)", line, members->learners.size()));
      }
    applied_ = e.index;
    auto it = proposals_.find({e.index, e.term});
    if (it == proposals_.end()) continue;
    auto done = std::move(it->second);
    proposals_.erase(it);
    done(true, "", e.index);
  }
  if (applied_ >= snapshotted_ + kSnapshotEvery) {
    snapshotted_ = applied_;
    feed(rc::SnapshotTaken{applied_, lease_registry_.encode()});
  }
  bool led = role_ == rc::Role::kLeader;
  role_ = raft_->role();
  if (raft_->is_leader() && !led) lease_manager_.on_elected(net::monotonic_now());
  if (!raft_->is_leader() && led) lost_leadership();
  for (auto& p : out.proposed) {
    auto it = tickets_.find(p.ticket);
    if (it == tickets_.end()) continue;
    auto done = std::move(it->second);
    tickets_.erase(it);
    if (p.index == 0)
      done(false, p.why, 0);
    else
      proposals_[{p.index, p.term}] = std::move(done);
  }
  for (auto& r : out.reads) {
    auto it = reads_.find(r.ticket);
    if (it == reads_.end()) continue;
    auto call = std::move(it->second);
    reads_.erase(it);
    call(r.confirmed);
  }
}

void Node::lost_leadership() {
  lease_manager_.on_leadership_lost();
  for (auto& [where, done] : std::exchange(proposals_, {})) done(false, "unknown: leadership was lost", 0);
}

void Node::propose(const std::string& data, Done done) {
  if (tickets_.size() + proposals_.size() >= kMostProposals) return done(false, "too much is under way", 0);
  auto ticket = ++next_ticket_;
  tickets_[ticket] = std::move(done);
  feed(rc::Proposal{ticket, data});
}

void Node::adopt(own::LeaseRegistry ledger, rc::Index index) {
  lease_registry_ = std::move(ledger);
  applied_ = index;
  for (auto& [name, job] : lease_registry_.jobs()) fencing_token_guard_.admit(name, job.token);
  published_list();
  published_plan();
}

void Node::apply(rc::Index index, const std::string& data) {
  applied_ = index;
  auto command = own::decode(data);
  if (!command) return;
  own::Token granted = 0;
  auto stale = lease_registry_.stale();
  lease_registry_.apply(index, *command, &granted);
  if (lease_registry_.stale() > stale)
    say(Level::kWarning,
        fmt::format("turned down an effect of {} with an old token", std::get<own::Publish>(*command).job));
  if (auto* grant = std::get_if<own::Grant>(&*command)) {
    lease_manager_.on_proposal_finished(grant->job);
    if (granted) {
      fencing_token_guard_.admit(grant->job, granted);
      say(Level::kInfo,
          fmt::format("job {} is granted to {} with token {}", grant->job, grant->owner, granted));
    }
  }
  if (auto* publish = std::get_if<own::Publish>(&*command); publish && publish->job == "list")
    published_list();
  else if (publish && publish->job == "placement")
    published_plan();
}

// ---- followers -------------------------------------------------------------------------------------------

json Node::alive() const {
  return {
      {"t", "alive"}, {"leader", leader_name()}, {"index", applied_}, {"term", raft_ ? raft_->term() : 0}};
}

void Node::feed_followers() {
  if (!raft_) return;
  std::map<rc::Index, std::string> deltas;  // by where they begin: most followers stand at the same index
  std::string whole;
  for (auto& [name, d] : downstream_) {
    if (!d.follows || d.sent >= applied_) continue;
    if (d.sent > 0 && d.sent + 1 >= raft_->first_index() && applied_ - d.sent <= 4 * kSnapshotEvery) {
      auto& text = deltas[d.sent];
      if (text.empty()) {
        auto entries = json::array();
        for (auto i = d.sent + 1; i <= applied_; ++i)
          if (auto* e = raft_->entry(i); e && e->type == rc::EntryType::kCommand)
            entries.push_back(json::array({i, peers::bytes_of(e->data)}));
        text = peers::frame({{"t", "apply"}, {"from", d.sent}, {"index", applied_}, {"entries", entries}});
      }
      if (d.link->send_frame(text)) d.sent = applied_;
    } else {
      if (whole.empty())
        whole = peers::frame(
            {{"t", "state"}, {"index", applied_}, {"ledger", peers::bytes_of(lease_registry_.encode())}});
      if (d.link->send_frame(whole)) d.sent = applied_;
    }
  }
}

// ---- ownership: the owner's side -------------------------------------------------------------------------

std::vector<std::string> Node::eligible_jobs() const {
  std::vector<std::string> all;
  if (leaving_) return all;
  for (auto& job : options_.jobs) {
    if (job == "list" || job == "placement") all.push_back(job);
    if (job != "probe") continue;
    std::set<std::int64_t> sets;
    for (auto& m : known_.members) sets.insert(m.cell);
    for (auto set : sets) all.push_back(fmt::format("probe {}", set));
  }
  return all;
}

void Node::ask() {
  ask_timer_ = loop_.at(loop_.now() + options_.lease / 8, [this] { ask(); });
  auto question = lease_client_.make_renewal_request(net::monotonic_now(), eligible_jobs());
  json holds = json::array();
  for (auto& h : question.holds) holds.push_back(json::array({h.job, h.token, h.progress}));
  to_leader({{"t", "ask"},
             {"node", options_.name},
             {"via", options_.name},
             {"n", question.number},
             {"willing", question.eligible_jobs},
             {"holds", holds}});
}

void Node::asked(const json& m) {
  if (!lease_manager_.leading() || !raft_->has_committed_in_current_term()) return;
  own::LeaseRenewalRequest question;
  question.node = m.at("node").get<std::string>();
  question.number = m.at("n").get<std::uint64_t>();
  question.eligible_jobs = m.at("willing").get<std::vector<std::string>>();
  for (auto& h : m.at("holds"))
    question.holds.push_back(
        {h.at(0).get<std::string>(), h.at(1).get<own::Token>(), h.at(2).get<std::uint64_t>()});
  lease_manager_.on_renewal_request(net::monotonic_now(), question, lease_registry_);
  auto ticket = ++next_ticket_;
  reads_[ticket] = [this, node = question.node, number = question.number, via = m.at("via")](bool confirmed) {
    if (!confirmed || !lease_manager_.leading()) return;
    auto told = lease_manager_.renewal_response(node, number, lease_registry_);
    json granted = json::array();
    for (auto& g : told.granted) granted.push_back(json::array({g.job, g.token}));
    deliver({{"t", "told"},
             {"node", node},
             {"via", via},
             {"n", number},
             {"length", told.length.count()},
             {"granted", granted},
             {"give_up", told.give_up}});
  };
  feed(rc::ReadRequest{ticket});
}

void Node::told(const json& m) {
  own::LeaseRenewalResponse told;
  told.number = m.at("n").get<std::uint64_t>();
  told.length = Micros(m.at("length").get<std::int64_t>());
  for (auto& g : m.at("granted"))
    told.granted.push_back({g.at(0).get<std::string>(), g.at(1).get<own::Token>(), 0});
  told.give_up = m.at("give_up").get<std::vector<std::string>>();
  lease_client_.on_renewal_response(net::monotonic_now(), told);
  for (auto& job : std::set<std::string>(lease_client_.to_give_up())) give_up(job);
  if (leaving_)
    for (auto& job : lease_client_.jobs()) give_up(job);
}

void Node::give_up(const std::string& job) {
  auto token = lease_client_.give_up(job);
  if (token == 0) return;
  say(Level::kInfo, fmt::format("gives up job {} (token {})", job, token));
  if (job == "list") watch_.reset();
  to_leader({{"t", "propose"},
             {"node", options_.name},
             {"via", options_.name},
             {"ticket", 0},
             {"cmd", peers::bytes_of(own::encode(own::Release{job, token}))}});
}

void Node::run_lease_manager() {
  if (!raft_ || !lease_manager_.leading() || !raft_->has_committed_in_current_term()) return;
  if (net::monotonic_now() >= lease_manager_.due())
    for (auto& command : lease_manager_.propose(net::monotonic_now(), lease_registry_)) {
      auto job = std::get<own::Grant>(command).job;
      propose(own::encode(command), [this, job](bool ok, const std::string&, rc::Index) {
        if (!ok) lease_manager_.on_proposal_finished(job);
      });
    }
  for (auto& line : lease_manager_.take_reasons()) say(Level::kInfo, line);
  set_timer(&lease_manager_timer_, std::max(lease_manager_.due(), loop_.now() + 1ms), [] {});
}

void Node::leave() {
  mailbox_.post([this] {
    leaving_ = true;
    loop_.cancel(&ask_timer_);
    if (!options_.jobs.empty()) ask();  // willing to do nothing: no job comes back
    for (auto& job : lease_client_.jobs()) give_up(job);
    if (raft_ && raft_->is_leader()) {
      say(Level::kInfo, "hands leadership over: told to stop");
      feed(rc::LeadershipTransfer{});
    }
  });
}

// ---- jobs ------------------------------------------------------------------------------------------------

void Node::work() {
  work_timer_ = loop_.at(loop_.now() + kWorkEvery, [this] { work(); });
  auto now = net::monotonic_now();
  for (auto& job : lease_client_.expire(now)) {
    say(Level::kWarning, fmt::format("lets job {} go: its lease has run out", job));
    if (job == "list") watch_.reset();
  }
  if (lease_client_.holds("list", now)) {
    if (!watch_) {
      auto address = net::parse_address(discovery_);
      // It goes on from what is published, whoever did.
      std::optional<std::int64_t> from;
      list_.clear();
      if (known_published_) {
        from = known_.generation;
        for (auto& m : known_.members) list_[m.id] = m;
      }
      list_generation_ = known_.generation;
      list_whole_ = known_published_;
      whole_lists_ += !from;
      to_publish_ = false;
      // What was published before is as good as an answer; one that waits for a change comes within 5 s.
      list_answered_ = known_published_ ? now : Micros(0);
      watch_ = std::make_unique<discovery::Watch>(
          loop_, *address, discovery_, from, schedule_,
          [this](discovery::EndpointListUpdate update) { list_changed(update); }, log_);
      watch_->start_now();
    }
    publish();
    if (now - list_alive_sent_ >= kAliveEvery && list_answered_.count() > 0 &&
        now - list_answered_ < kListKnown) {
      list_alive_sent_ = now;
      json m = {{"t", "facts"},
                {"job", "list"},
                {"token", lease_client_.token("list")},
                {"generation", list_generation_},
                {"at", unix_ms()}};
      if (lease_client_.holds("list", net::monotonic_now())) facts(m, nullptr);
    }
  }
  for (auto& job : lease_client_.jobs())
    if (auto set = set_of(job); set && lease_client_.holds(job, now)) {
      if (wanted(*set))
        probe_set(*set);
      else
        lease_client_.record_progress(
            job);  // nobody wishes to know: it is ready, which is all there is to do
    }
  for (auto& [set, seen] : to_tell_) {
    if (seen.empty()) continue;
    auto job = fmt::format("probe {}", set);
    json m = {{"t", "facts"},
              {"job", job},
              {"token", lease_client_.token(job)},
              {"at", unix_ms()},
              {"facts", std::exchange(seen, {})}};
    if (!lease_client_.holds(job, net::monotonic_now())) continue;
    lease_client_.record_progress(job);
    facts(m, nullptr);
  }
}

void Node::list_changed(const discovery::EndpointListUpdate& update) {
  if (update.reset) list_.clear();
  for (auto& m : update.members) {
    if (m.lifecycle == discovery::Lifecycle::kRemoved)
      list_.erase(m.id);
    else
      list_[m.id] = m;
  }
  list_whole_ = list_whole_ || update.reset;
  bool changed = update.reset || !update.members.empty() || update.generation != list_generation_;
  list_generation_ = update.generation;
  list_answered_ = net::monotonic_now();
  lease_client_.record_progress("list");
  if (!changed || !list_whole_) return;
  discovery::EndpointListUpdate whole;
  whole.generation = update.generation;
  whole.reset = true;
  for (auto& [id, m] : list_) whole.members.push_back(m);
  publish_data_ = discovery::endpoint_list_to_json(whole).dump();
  publish_version_ = update.generation;
  to_publish_ = true;
  published_at_ = Micros(0);
  publish();
}

void Node::publish() {
  auto now = net::monotonic_now();
  if (!to_publish_ || now - published_at_ < kPublishAgain) return;
  auto token = lease_client_.token("list");
  auto* job = lease_registry_.job("list");
  if (job && job->published_by == token && job->data == publish_data_) {
    to_publish_ = false;
    return;
  }
  published_at_ = now;
  auto command = peers::bytes_of(
      own::encode(own::Publish{"list", token, static_cast<std::uint64_t>(publish_version_), publish_data_}));
  if (!lease_client_.holds("list", net::monotonic_now())) return;  // right before it goes
  to_leader(
      {{"t", "propose"}, {"node", options_.name}, {"via", options_.name}, {"ticket", 0}, {"cmd", command}});
}

// The ledger's list is in force here: it was committed, so nothing older comes after it.
void Node::published_list() {
  auto* job = lease_registry_.job("list");
  if (!job || job->data.empty()) return;
  try {
    auto update = discovery::parse_endpoint_list(job->data);
    update.reset = true;
    auto last = lists_.any() ? lists_.list().generation : INT64_MIN;
    if (!lists_.consider(endpoint_list::Source::kGroup, options_.installation, std::move(update), 0)) {
      known_published_ = lists_.source() == endpoint_list::Source::kGroup;
      return;
    }
    list_heard_ = std::max(list_heard_, net::monotonic_now());
    in_force(lists_.list().generation < last);
  } catch (const std::invalid_argument& e) {
    say(Level::kError, fmt::format("the published list cannot be read: {}", e.what()));
  }
}

// Replicas in turn, so that the freshest fact of a set is never older than a part of what one of them is.
void Node::probe_set(std::int64_t set) {
  auto now = net::monotonic_now();
  auto job = fmt::format("probe {}", set);
  auto probe = [&](const std::string& server) {
    if (!lease_client_.holds(job, net::monotonic_now()) || !probing_.emplace(server, now).second) return;
    prober_->probe(server);
  };
  std::erase_if(probing_, [&](auto& p) { return now - p.second > kProbeLost; });
  std::vector<std::string> replicas;
  for (auto& m : known_.members) {
    if (m.cell != set || m.lifecycle != discovery::Lifecycle::kUp) continue;
    auto primary = primary_asked_.find(m.id);
    if (primary == primary_asked_.end())
      replicas.push_back(m.id);
    else if (now - primary->second >= kPrimaryEvery)
      probe(m.id);
  }
  if (replicas.empty()) return;
  auto& turn = turns_[set];
  auto count = static_cast<std::int64_t>(replicas.size());
  auto step = options_.probe_every / std::max<std::int64_t>(2, count);
  auto due = (now - turn.last) / step;
  if (due > count) {  // the first, or after a pause: all at once
    due = count;
    turn.last = now;
  } else {
    turn.last += step * due;
  }
  for (; due > 0; --due) probe(replicas[turn.next++ % replicas.size()]);
}

bool Node::wanted(std::int64_t set) const {
  auto it = wanted_.find(set);
  return it != wanted_.end() && net::monotonic_now() - it->second.first < kWanted;
}

void Node::want(const std::string& server) {
  mailbox_.post([this, server] {
    for (auto& m : known_.members)
      if (m.id == server) return want_set(m.cell, nullptr);
  });
}

// To the owner of the set's probes, by way of the voters; hundreds of wishes are one.
void Node::want_set(std::int64_t set, peers::Link* from) {
  if (wanted_.size() >= kMostSets && !wanted_.count(set)) wanted_.clear();
  auto now = net::monotonic_now();
  auto [it, fresh] = wanted_.try_emplace(set, now, now);
  it->second.first = now;
  if (!fresh && now - it->second.second < kWantEvery) return;
  it->second.second = now;
  json message = {{"t", "want"}, {"set", set}};
  if (!raft_) {
    auto up = dialed_.find(upstream_);
    if (!from && up != dialed_.end() && up->second.link) up->second.link->send(message);
    return;
  }
  if (!from || from->kind != "voter")
    for (auto& [name, d] : dialed_)
      if (d.link && d.link->greeted) d.link->send(message);
  auto* job = lease_registry_.job(fmt::format("probe {}", set));
  if (!job) return;
  if (auto below = downstream_.find(job->owner); below != downstream_.end() && below->second.link != from)
    below->second.link->send(message);
}

// From the owner to everyone: a follower tells its voter, a voter all voters and its followers.
void Node::spread(const json& message, peers::Link* from) {
  auto text = peers::frame(message);
  if (!raft_) {
    auto it = dialed_.find(upstream_);
    if (!from && it != dialed_.end() && it->second.link) it->second.link->send_frame(text);
    return;
  }
  if (!from || from->kind != "voter")
    for (auto& [name, d] : dialed_)
      if (d.link && d.link->greeted) d.link->send_frame(text);
  for (auto& [name, d] : downstream_)
    if (d.follows && d.link != from) d.link->send_frame(text);
}

void Node::facts(const json& m, peers::Link* from) {
  auto job = m.at("job").get<std::string>();
  auto token = m.at("token").get<own::Token>();
  if (token == 0) return;
  if (!fencing_token_guard_.admit(job, token)) {
    if (++stale_effects_ == 1 || stale_effects_ % 1000 == 0)
      say(Level::kWarning, fmt::format("turned down facts of {} with the old token {} ({} so far)", job,
                                       token, stale_effects_));
    return;
  }
  spread(m, from);
  if (job == "placement") {
    // Its owner lives, and this node knows what it planned.
    if (m.at("number").get<std::uint64_t>() <= plan_.number) plan_heard_ = net::monotonic_now();
    return;
  }
  if (job == "list") {
    // Its owner knows the list, and this node knows what the owner published.
    if (Micros((unix_ms() - m.at("at").get<std::int64_t>()) * 1000) > options_.fallback) return;
    if (known_published_ && known_.generation >= m.at("generation").get<std::int64_t>())
      list_heard_ = net::monotonic_now();
    return;
  }
  std::vector<Fact> seen;
  for (auto& f : m.at("facts")) {
    Fact fact;
    fact.server = f.at(0).get<std::string>();
    fact.load = f.at(1).get<std::string>();
    fact.taken = Micros(f.at(2).get<std::int64_t>());
    fact.age = Micros(std::max<std::int64_t>(0, (unix_ms() - f.at(3).get<std::int64_t>()) * 1000));
    if (fact.age <= kFactLife) seen.push_back(std::move(fact));
  }
  if (!seen.empty()) hooks_.facts(std::move(seen));
}

void Node::watch_alone() {
  alive_timer_ = loop_.at(loop_.now() + kAliveEvery, [this] { watch_alone(); });
  if (raft_) {
    auto text = peers::frame(alive());
    for (auto& [name, d] : downstream_)
      if (d.follows) d.link->send_frame(text);
  }
  // A process that stood still itself has heard nothing for that reason: that says nothing of the group.
  auto now = net::monotonic_now();
  if (now - looked_at_ > kAliveEvery * 3 && looked_at_.count() > 0) {
    list_heard_ += now - looked_at_;
    plan_heard_ += now - looked_at_;
  }
  looked_at_ = now;
  watch_plan();
  copy_stands();
  bool alone = now - list_heard_ > alone_after_;
  if (alone == alone_) return;
  alone_ = alone;
  bool for_all = raft_ != nullptr;
  say(alone ? Level::kWarning : Level::kInfo,
      !alone    ? "the list is heard of again"
      : for_all ? "nothing is heard of the list's owner: this voter asks the list service for all"
                : "nothing is heard of the list: this proxy asks by itself");
  if (alone)
    alone_after_ =
        options_.fallback +
        Micros(static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(options_.spread.count())));
  if (for_all) ask_for_all(alone);
  hooks_.alone(alone, !for_all);
}

// ---- operating it ----------------------------------------------------------------------------------------

json Node::status() const {
  json j = {{"name", options_.name},
            {"installation", options_.installation},
            {"kind", options_.voter() ? "voter" : "follower"},
            {"id", id_},
            {"leader", leader_name()},
            {"applied", applied_},
            {"alone", alone_},
            {"list_generation", known_published_ ? known_.generation : -1},
            {"list_from", endpoint_list::text_of(lists_.source())},
            {"stale_effects", stale_effects_ + lease_registry_.stale()},
            {"whole_lists", whole_lists_},
            {"plan", following_.load()},
            {"state_age_ms", raft_ ? 0 : (net::monotonic_now() - state_heard_).count() / 1000},
            {"upstream", upstream_},
            {"followers", std::count_if(downstream_.begin(), downstream_.end(),
                                        [](auto& d) { return d.second.follows; })}};
  j["holds"] = json::array();
  for (auto& job : lease_client_.jobs())
    if (lease_client_.holds(job, net::monotonic_now()))
      j["holds"].push_back(json::array({job, lease_client_.token(job)}));
  j["clock_us"] = net::monotonic_now().count();
  if (raft_) {
    j["role"] = rc::text_of(raft_->role());
    j["term"] = raft_->term();
    j["commit"] = raft_->commit();
    j["last"] = raft_->last_index();
    j["initialised"] = !raft_->members().voters.empty();
    if (!disk_error_.empty()) j["disk"] = disk_error_;
  }
  return j;
}

// An answer; null: the leader has it; false: it comes later.
json Node::tool(const json& m) {
  auto what = m.value("do", "");
  json answer = {{"t", "answer"}, {"ok", true}};
  auto no = [&](const std::string& why) {
    answer["ok"] = false;
    answer["why"] = why;
    return answer;
  };
  if (what == "status") {
    answer["status"] = status();
  } else if (what == "members") {
    auto list = json::array();
    if (!raft_) return no("a follower does not know the voters; ask one of them");
    auto row = [&](rc::NodeId id, const char* kind) {
      json one = {{"id", id}, {"name", name_of(id)}, {"kind", kind}, {"leads", raft_->leader() == id}};
      if (auto it = raft_->peers().find(id); it != raft_->peers().end()) {
        one["match"] = it->second.match;
        one["heard_ms"] = (net::monotonic_now() - it->second.heard).count() / 1000;
      } else if (id == id_) {
        one["match"] = raft_->durable();
        one["heard_ms"] = 0;
      }
      list.push_back(one);
    };
    for (auto id : raft_->members().voters) row(id, "voter");
    for (auto id : raft_->members().learners) row(id, "learner");
    answer["members"] = list;
  } else if (what == "owners") {
    auto list = json::array();
    for (auto& [name, job] : lease_registry_.jobs())
      list.push_back({{"job", name},
                      {"owner", job.owner},
                      {"token", job.token},
                      {"version", job.version},
                      {"published_by", job.published_by}});
    answer["owners"] = list;
    answer["stale_effects"] = lease_registry_.stale() + stale_effects_;
  } else if (what == "bootstrap") {
    auto why = bootstrap(m);
    if (!why.empty()) return no(why);
  } else if (what == "recover") {
    auto why = recover(m);
    if (!why.empty()) return no(why);
  } else if (what == "identify") {
    answer["id"] = id_;
    answer["name"] = options_.name;
    answer["initialised"] = raft_ && !raft_->members().voters.empty();
    answer["voter"] = raft_ != nullptr;
  } else {
    return json();  // the leader's
  }
  return answer;
}

void Node::answer_tool(const json& request, json answer) {
  answer["t"] = "answer";
  answer["node"] = request.at("node");
  answer["via"] = request.at("via");
  deliver(answer);
}

void Node::tool_at_leader(const json& m) {
  auto what = m.value("do", "");
  auto done = [this, m](bool ok, const std::string& why, rc::Index index) {
    answer_tool(m, {{"ok", ok}, {"why", why}, {"index", index}});
  };
  if (what == "transfer" || what == "step-down") {
    rc::NodeId to = rc::kNobody;
    if (auto name = m.value("name", ""); !name.empty()) {
      for (auto& [id, n] : names_)
        if (n == name && raft_->members().votes(id)) to = id;
      if (to == rc::kNobody) return done(false, fmt::format("{} is no voter", name), 0);
      if (to == id_) return done(true, "it leads already", 0);
    }
    say(Level::kInfo, fmt::format("hands leadership over{}: asked by the operator",
                                  to == rc::kNobody ? "" : " to " + name_of(to)));
    feed(rc::LeadershipTransfer{to});
    return done(true, "", 0);
  }
  if (what == "add" || what == "promote" || what == "remove") {
    auto name = m.value("name", "");
    rc::MembershipChange change;
    change.ticket = ++next_ticket_;
    change.what = what == "add"       ? rc::MembershipChange::What::kAddLearner
                  : what == "promote" ? rc::MembershipChange::What::kPromote
                                      : rc::MembershipChange::What::kRemove;
    change.node = m.value("id", rc::kNobody);
    if (change.node == rc::kNobody)
      for (auto& [id, n] : names_)
        if (n == name && (what == "add" || raft_->members().has(id))) change.node = id;
    if (change.node == rc::kNobody) return done(false, fmt::format("nothing is known of '{}'", name), 0);
    tickets_[change.ticket] = done;
    return feed(change);
  }
  if (what == "put") {
    auto key = m.value("key", ""), value = m.value("value", "");
    if (key.empty() || key.size() > 256 || value.size() > 65536)
      return done(false, "a key of 1 to 256 bytes and a value of 65536 at most", 0);
    return propose(own::encode(own::SetConfigurationEntry{key, value}), done);
  }
  if (what == "get") {
    if (!raft_->has_committed_in_current_term()) return done(false, "the leader has just been elected", 0);
    auto ticket = ++next_ticket_;
    reads_[ticket] = [this, m](bool confirmed) {
      json answer = {{"ok", confirmed}};
      if (!confirmed) answer["why"] = "leadership was lost";
      auto it = lease_registry_.settings().find(m.value("key", ""));
      if (confirmed) answer["value"] = it == lease_registry_.settings().end() ? "" : it->second;
      answer_tool(m, answer);
    };
    return feed(rc::ReadRequest{ticket});
  }
  done(false, fmt::format("'{}' is not known", what), 0);
}

// The first members, told to each of them alike; telling it again does no harm.
std::string Node::bootstrap(const json& m) {
  if (!raft_) return "it is none of group.nodes";
  rc::Membership members;
  members.voters = m.at("voters").get<std::vector<rc::NodeId>>();
  std::sort(members.voters.begin(), members.voters.end());
  if (!members.votes(id_)) return "it is not among the members";
  if (raft_->snapshot_index() > 0 || raft_->last_index() > 0) {
    if (raft_->term_at(1) == 1 && raft_->members() == members) return "";
    return "it belongs to a group already";
  }
  auto snapshot = std::make_shared<rc::Snapshot>();
  snapshot->index = snapshot->term = 1;
  snapshot->members = members;
  snapshot->data = own::LeaseRegistry().encode();
  rc::Write first;
  first.hard = rc::HardState{std::max<rc::Term>(1, raft_->term()), raft_->vote()};
  first.snapshot = snapshot;
  // The new state follows all that was written for the old one, which was next to nothing.
  write_base_ += 1'000'000;
  writer_->write(write_base_, batch_of(first));
  rc::PersistentState stored;
  stored.hard = *first.hard;
  stored.snapshot = snapshot;
  inputs_.clear();
  unsent_.clear();
  make_raft(std::move(stored));
  say(Level::kInfo, fmt::format("the group begins, {} voters", members.voters.size()));
  return "";
}

// The majority is lost for good: this node goes on as the only voter, with all that stands in its log. What
// the others had committed without it is gone.
std::string Node::recover(const json& m) {
  if (!raft_) return "it is no voter";
  if (m.value("consequence", "") != "what only the lost nodes knew is gone")
    return "recovery demands the consequence, spelled out: what only the lost nodes knew is gone";
  if (raft_->leader() != rc::kNobody) return "a leader is heard of: the majority is not lost";
  if (raft_->members().voters.empty()) return "it belongs to no group";
  auto ledger = lease_registry_;
  for (auto i = applied_ + 1; i <= raft_->last_index(); ++i)
    if (auto* e = raft_->entry(i); e && e->type == rc::EntryType::kCommand)
      if (auto command = own::decode(e->data)) ledger.apply(i, *command);
  auto snapshot = std::make_shared<rc::Snapshot>();
  // Far ahead, so that no token of the lost ones is given again.
  snapshot->index = raft_->last_index() + 1'000'000;
  snapshot->term = raft_->term() + 1;
  snapshot->members.voters = {id_};
  snapshot->data = ledger.encode();
  rc::Write first;
  first.hard = rc::HardState{snapshot->term, rc::kNobody};
  first.snapshot = snapshot;
  first.truncate_from = 1;
  write_base_ += 1'000'000;
  writer_->write(write_base_, batch_of(first));
  rc::PersistentState stored;
  stored.hard = *first.hard;
  stored.snapshot = snapshot;
  inputs_.clear();
  unsent_.clear();
  make_raft(std::move(stored));
  say(Level::kWarning,
      "recovered by the operator: this node is the only voter, what only the others knew is gone");
  return "";
}

void Node::end_of_turn() {
  mailbox_.drain();
  for (int round = 0; round < kMostRounds; ++round) {
    step();
    run_lease_manager();
    if (inputs_.empty()) break;
  }
  feed_followers();
  if (prober_) prober_->sweep();
  gone_.clear();
}

}  // namespace database_proxy::group
