// One node of the group: drives consensus and ownership on peer links and the store, in a thread of its own,
// and does the jobs that it holds. Voters keep the log; followers keep what is committed, given to them by
// any voter. Decisions are made in the pure modules (consensus/raft.h, ownership/lease.h) only.
//
// Messages that go to the leader from afar carry `node` (who asks) and `via` (the voter that it is connected
// to), and the answer goes back the same way. docs/design/group.md tells the rest.
#pragma once

#include <atomic>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "consensus/raft.h"
#include "discovery/discovery_watch.h"
#include "discovery/endpoint_list_codec.h"
#include "discovery/polling_schedule.h"
#include "endpoint_list/endpoint_list_selector.h"
#include "group/options.h"
#include "group/placement_job.h"
#include "net/log.h"
#include "net/task_queue.h"
#include "ownership/lease.h"
#include "ownership/lease_registry.h"
#include "peers/link.h"
#include "state/store_writer.h"

namespace database_proxy::group {

using nlohmann::json;

// What the owner of `probe SET` saw of a server.
struct Fact {
  std::string server;
  std::string load;  // the report's text
  Micros taken{0};   // by the owner's probe
  Micros age{0};     // at least
};

// Probes data servers for the owner of their set, in the group's thread. Implemented above.
class Prober {
 public:
  virtual ~Prober() = default;
  virtual void servers(const discovery::EndpointListUpdate& list) = 0;
  virtual void probe(const std::string& server) = 0;
  virtual void sweep() = 0;  // at the end of a turn
};
using Probed = std::function<void(const std::string& server, bool ok, Micros taken, const std::string& load)>;

struct Hooks {  // all called in the group's thread
  // Whole, as it is in force from now on. `anew`: though its count is lower than that of the last one.
  std::function<void(discovery::EndpointListUpdate, bool anew)> list;
  std::function<void(std::vector<Fact>)> facts;
  // `alone`: nothing is heard of an owner of the list. `ask`: ask by yourself; else this node asks for all.
  std::function<void(bool alone, bool ask)> alone;
  std::function<void(std::optional<placement::Plan>)> plan;  // the one to follow from now on; none: alone
  std::function<std::unique_ptr<Prober>(net::Loop&, Probed)> prober;
};

class Node : public peers::Link::Owner {
 public:
  // Opens the directory and listens. Throws std::runtime_error with one line: a directory of another
  // installation or in use, a port in use.
  Node(Options options, std::string discovery, discovery::PollingSchedule schedule,
       discovery::EndpointListUpdate known, Hooks hooks, net::Log log);
  ~Node();
  void start();
  // Hands its jobs and leadership over; at most about a second. The thread goes on until stop().
  void leave();
  void stop();
  // This process wishes to know how far a server is and no fact said so: the owner of its set is to probe it
  // for a while. From any thread.
  void want(const std::string& server);
  // What this process saw of zones of data servers, every half second. From any thread.
  void observed(placement::Observation seen);
  std::uint64_t following() const { return following_; }  // the plan in force here; 0: none. From any thread.
  // What may change while it runs.
  void reconfigure(std::string discovery, std::vector<NodeAddress> nodes);
  int port() const { return port_; }

 private:
  struct Dialed {
    std::unique_ptr<peers::Link> link;
    std::string address;
    net::Loop::TimerId again = net::Loop::kNoTimer;
    int failures = 0;
  };
  struct Downstream {  // a follower or a tool, on a link that it dialed
    peers::Link* link = nullptr;
    bool follows = false;
    consensus::Index sent = 0;
  };
  struct Listener : net::Handler {
    explicit Listener(Node& n) : node(n) {}
    void on_ready(std::uint32_t) override { node.accept_all(); }
    Node& node;
  };
  using Done = std::function<void(bool ok, const std::string& why, consensus::Index index)>;

  // links
  void accept_all();
  void dial(const std::string& name);
  void dial_some();
  json hello(const char* type) const;
  void link_up(peers::Link& link) override;
  void link_said(peers::Link& link, const json& message) override;
  void link_down(peers::Link& link, const std::string& why) override;
  bool greet(peers::Link& link, const json& message);
  void said(peers::Link& link, const json& message);

  // consensus
  void open_directory();
  void make_raft(consensus::PersistentState stored);
  void feed(consensus::Input input) { inputs_.push_back(std::move(input)); }
  void step();
  void carry_out(consensus::Output output);
  void send_raft(const consensus::Message& message);
  void written(std::uint64_t number, const std::string& error);
  void apply(consensus::Index index, const std::string& data);
  void adopt(ownership::LeaseRegistry ledger, consensus::Index index);
  void propose(const std::string& data, Done done);
  void lost_leadership();

  // the way to the leader and back
  bool to_leader(json message);
  void at_leader(const json& message);
  void deliver(const json& message);
  void arrived(const json& message);

  // followers
  void feed_followers();
  json alive() const;

  // ownership and jobs
  void ask();
  void asked(const json& message);
  void told(const json& message);
  void run_lease_manager();
  void work();
  std::vector<std::string> eligible_jobs() const;
  void give_up(const std::string& job);
  void list_changed(const discovery::EndpointListUpdate& update);
  void publish();
  void probe_set(std::int64_t set);
  void spread(const json& message, peers::Link* from);
  bool wanted(std::int64_t set) const;
  void facts(const json& message, peers::Link* from);
  void want_set(std::int64_t set, peers::Link* from);
  void published_list();
  void in_force(bool anew);
  void recall(const std::vector<consensus::Entry>& entries);
  void ask_for_all(bool on);
  void heard_alone(const discovery::EndpointListUpdate& update);
  void hand_on(peers::Link* to);
  void copy_stands();
  void copied(peers::Link& link, const json& message);
  void watch_alone();
  void seen(peers::Link& link, const json& message);
  void place();
  void publish_plan();
  void published_plan();
  void follow(bool on);
  void watch_plan();
  json plan_shown(const json& message) const;
  json placement_tool(const json& message);
  void placement_asked(const json& message);
  json tool(const json& message);
  void tool_at_leader(const json& message);
  void answer_tool(const json& request, json answer);
  std::string bootstrap(const json& message);
  std::string recover(const json& message);
  json status() const;
  std::string leader_name() const;
  std::string name_of(consensus::NodeId id) const;
  void end_of_turn();
  void set_timer(net::Loop::TimerId* timer, Micros when, std::function<void()> call);
  void say(net::Level level, const std::string& line) { log_(level, "group: " + line); }

  Options options_;
  std::string discovery_;
  discovery::PollingSchedule schedule_;
  Hooks hooks_;
  net::Log log_;
  net::Loop loop_;
  net::TaskQueue mailbox_;
  Listener on_listener_{*this};
  net::Fd listener_;
  int port_ = 0;
  std::thread thread_;
  std::uint64_t random_;
  std::uint64_t random();

  std::map<std::string, Dialed> dialed_;                       // to voters, by name
  std::vector<std::unique_ptr<peers::Link>> accepted_, gone_;  // gone_: until the turn ends
  std::map<std::string, Downstream> downstream_;               // by name
  std::map<consensus::NodeId, std::string> names_;
  std::string upstream_;  // a follower's voter
  std::size_t next_upstream_ = 0;

  consensus::NodeId id_ = consensus::kNobody;
  std::unique_ptr<state::StoreWriter> writer_;
  std::unique_ptr<consensus::Raft> raft_;
  std::vector<consensus::Input> inputs_;
  std::vector<std::pair<std::uint64_t, consensus::Message>> unsent_;  // each waits for a write
  std::uint64_t write_base_ = 0, durable_ = 0;
  std::string disk_error_;
  consensus::Index applied_ = 0, snapshotted_ = 0;
  consensus::Term tried_in_ = ~0ull;  // the last try to be elected that was told
  consensus::Role role_ = consensus::Role::kFollower;
  std::map<std::uint64_t, Done> tickets_;
  std::map<std::uint64_t, std::function<void(bool)>> reads_;
  std::map<std::pair<consensus::Index, consensus::Term>, Done> proposals_;
  std::uint64_t next_ticket_ = 0;
  net::Loop::TimerId raft_timer_ = net::Loop::kNoTimer, ask_timer_ = net::Loop::kNoTimer,
                     work_timer_ = net::Loop::kNoTimer, alive_timer_ = net::Loop::kNoTimer,
                     lease_manager_timer_ = net::Loop::kNoTimer;

  ownership::LeaseRegistry lease_registry_;
  ownership::LeaseOptions lease_;
  ownership::LeaseManager lease_manager_;
  ownership::LeaseClient lease_client_;
  ownership::FencingTokenGuard fencing_token_guard_;
  std::uint64_t stale_effects_ = 0;
  bool leaving_ = false;
  std::string leader_heard_;  // a follower's knowledge
  Micros state_heard_{0};

  // job `list`
  std::unique_ptr<discovery::Watch> watch_;
  std::map<std::string, discovery::Endpoint> list_;  // as the owner knows it
  std::int64_t list_generation_ = 0;
  bool list_whole_ = false;
  std::string publish_data_;
  std::int64_t publish_version_ = 0;
  bool to_publish_ = false;
  Micros published_at_{0}, list_answered_{0}, list_alive_sent_{0};
  std::uint64_t whole_lists_ = 0;
  // what is in force for this process
  discovery::EndpointListUpdate known_;
  bool known_published_ = false;
  endpoint_list::EndpointListSelector lists_;
  std::unique_ptr<discovery::Watch> orphan_watch_;          // of a voter that asks for all
  std::map<std::string, discovery::Endpoint> orphan_list_;  // as it hears it
  Micros orphan_heard_{0};
  Micros list_heard_{0}, alone_after_{0}, looked_at_{0};
  bool alone_ = false;

  // job `placement`; null at followers and where there is no such section
  std::unique_ptr<PlacementJob> placement_;
  net::Loop::TimerId place_timer_ = net::Loop::kNoTimer;
  placement::Plan plan_;                    // as committed
  std::optional<placement::Plan> to_plan_;  // the owner's next
  Micros planned_at_{0}, plan_heard_{0};
  bool follows_ = false, left_plan_ = false;
  std::atomic<std::uint64_t> following_{0};
  std::set<std::string> unknown_zones_;
  std::vector<json> plan_asked_;  // operators whose word comes after the plan that is on its way
  std::vector<std::pair<std::uint64_t, json>> plan_waiting_;  // operators, until their plan is committed

  // jobs `probe SET`
  std::unique_ptr<Prober> prober_;
  struct Turn {
    Micros last{0};
    std::size_t next = 0;
  };
  std::map<std::int64_t, Turn> turns_;                        // of a set's replicas
  std::map<std::int64_t, std::pair<Micros, Micros>> wanted_;  // of a set: when last, and when passed on
  std::map<std::string, Micros> probing_;                     // since when
  std::map<std::string, Micros> primary_asked_;               // servers that said they were primary
  std::map<std::int64_t, std::vector<json>> to_tell_;         // facts by set
};

}  // namespace database_proxy::group
