// Which endpoint list is in effect at this node, and what happens when the group no longer provides one.
//
// The list normally comes through the replicated state. When nothing is heard of the lease holder of the job
// `list` for Options::fallback and a random share of Options::spread, the group counts as unavailable: a
// voter then polls the list service itself and sends copies of what it gets to the other voters and to all
// followers, so that hundreds of followers need not poll; a follower that hears nothing of a voter either is
// told to poll by itself. Which of several lists is in effect is decided in endpoint_list/.
//
// Belongs to the group's thread; only restore_from_log() runs before it starts.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "consensus/raft.h"
#include "discovery/discovery_watch.h"
#include "endpoint_list/endpoint_list_selector.h"
#include "group/node_context.h"
#include "group/peer_connections.h"
#include "group/replicated_state.h"
#include "peers/messages.h"

namespace database_proxy::group {

using EndpointsById = std::map<std::string, discovery::Endpoint>;

// Applies a difference, or a complete list, to what is known.
void apply_update(EndpointsById* endpoints, const discovery::EndpointListUpdate& update);
discovery::EndpointListUpdate make_complete_list(const EndpointsById& endpoints, std::int64_t generation);

// Who polls the list service while the group provides no endpoint list.
enum class EndpointListFallback {
  kNone,        // the group provides it
  kVoterPolls,  // this node, for everyone; its process need not poll
  kProcessPolls,
};

// Told of everything that changes which endpoint list the process uses, and how it gets it.
class EndpointListObserver {
 public:
  virtual ~EndpointListObserver() = default;
  // Complete. `is_restart`: its generation is lower than that of the last one, since the list service was
  // reset.
  virtual void on_effective_endpoint_list(const discovery::EndpointListUpdate& list, bool is_restart) = 0;
  virtual void on_group_unavailable(EndpointListFallback fallback) = 0;
};

// Every node's side of the endpoint list.
class EndpointListSubscriber {
 public:
  // `known`: what the process knows from its own configuration or cache.
  EndpointListSubscriber(NodeContext& context, PeerConnections& connections, ReplicatedState& state,
                         EndpointListObserver& observer, discovery::EndpointListUpdate known);

  // After a start a voter does not know yet which of its entries are committed. The last list among them came
  // from the list service all the same, so it is as good as any copy.
  void restore_from_log(const std::vector<consensus::Entry>& entries);
  void start();
  void on_discovery_changed();

  // From the replicated state.
  void on_endpoint_list_published();
  // From the lease holder.
  void on_owner_status(const peers::EndpointListStatus& status);
  // From voters, where there is no lease holder.
  void on_copy(peers::Link& link, const peers::EncodedMessage& message);
  void on_confirmation(peers::Link& link, const peers::EncodedMessage& message);
  void on_copy_request(peers::Link& link);
  // A new follower of this voter gets a copy where nothing is known to be committed.
  void on_follower_joined(peers::Link& link);

  // To be called every kStatusInterval, in this order.
  void on_process_paused(Micros pause) { last_contact_ += pause; }
  void send_confirmation();
  void check_last_contact();

  const discovery::EndpointListUpdate& effective_endpoint_list() const { return effective_list_; }
  bool is_published() const { return is_published_; }  // by the group
  endpoint_list::Source source() const { return selector_.source(); }
  bool is_group_unavailable() const { return is_group_unavailable_; }
  std::uint64_t complete_polls() const { return complete_polls_; }

 private:
  bool restore_from_entry(const consensus::Entry& entry);
  void put_into_effect(bool is_restart);
  void draw_fallback_delay();
  void start_fallback_poll();
  void on_fallback_update(const discovery::EndpointListUpdate& update);
  peers::EncodedMessage encode_copy() const;

  NodeContext& context_;
  PeerConnections& connections_;
  ReplicatedState& state_;
  EndpointListObserver& observer_;

  endpoint_list::EndpointListSelector selector_;
  discovery::EndpointListUpdate effective_list_;
  bool is_published_ = false;

  Micros last_contact_{0};    // with a lease holder, or with a voter that polls
  Micros fallback_delay_{0};  // without contact, until the group counts as unavailable
  bool is_group_unavailable_ = false;

  std::unique_ptr<discovery::DiscoveryWatch> fallback_watch_;
  EndpointsById fallback_endpoints_;
  Micros last_fallback_answer_{0};  // of the list service; 0: none yet
  std::uint64_t complete_polls_ = 0;
};

}  // namespace database_proxy::group
