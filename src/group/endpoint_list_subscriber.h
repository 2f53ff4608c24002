// Keeps the endpoint list in effect at this node, and falls back to other sources while the group does not
// provide one.
//
// The list normally arrives through the replicated state. After Options::fallback_timeout and a random part
// of Options::fallback_jitter without contact with the lease holder of the job `list`, the group counts as
// unavailable. A voter then polls the discovery service itself and sends copies of the list to the other
// voters and to all followers, so that hundreds of followers need not poll. The process of a follower that
// has no contact with such a voter either polls by itself. endpoint_list/ selects which of several lists is
// in effect.
//
// Belongs to the group's thread; only restore_from_log() runs before that thread starts.
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

// Applies an update, which holds changes or a complete list, to the endpoints.
void apply_update(EndpointsById* endpoints, const discovery::EndpointListUpdate& update);
discovery::EndpointListUpdate make_complete_list(const EndpointsById& endpoints, std::int64_t generation);

// Who polls the discovery service while the group provides no endpoint list.
enum class EndpointListFallback {
  kNone,          // nobody: the group provides the list
  kVoterPolls,    // this node, for all nodes; its process need not poll
  kProcessPolls,  // the process of this node, for itself
};

// Notified of each endpoint list that the process is to use, and of how the process obtains it.
class EndpointListObserver {
 public:
  virtual ~EndpointListObserver() = default;
  // `list` is complete. `is_restart`: its generation is lower than that of the previous list, because the
  // discovery service was reset.
  virtual void on_effective_endpoint_list(const discovery::EndpointListUpdate& list, bool is_restart) = 0;
  // The group no longer provides the list, or provides it again (kNone).
  virtual void on_group_unavailable(EndpointListFallback fallback) = 0;
};

// The receiving side of the endpoint list, at every node.
class EndpointListSubscriber {
 public:
  // `known`: the list that the process has from its own configuration or cache.
  EndpointListSubscriber(NodeContext& context, PeerConnections& connections, ReplicatedState& state,
                         EndpointListObserver& observer, discovery::EndpointListUpdate known);

  // Restores the last list from the log of a voter that starts. The voter does not know yet which of its
  // entries are committed, but the list came from the discovery service in any case, so it is as valid as any
  // copy.
  void restore_from_log(const std::vector<consensus::Entry>& entries);
  void start();
  void on_discovery_changed();

  // The replicated state may hold a new list.
  void on_endpoint_list_published();
  // The lease holder has sent its status.
  void on_lease_holder_status(const peers::EndpointListStatus& status);
  // Messages about copies, which voters send while there is no lease holder.
  void on_copy(peers::Link& link, const peers::EncodedMessage& message);
  void on_confirmation(peers::Link& link, const peers::EncodedMessage& message);
  void on_copy_request(peers::Link& link);
  // Sends a copy to a new follower of this voter if no committed list is known.
  void on_follower_joined(peers::Link& link);

  // To be called every kStatusInterval, in this order; the first only if the process did not run for `pause`,
  // which does not count as lost contact.
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
  void randomize_fallback_delay();
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
  Micros fallback_delay_{0};  // time without contact after which the group counts as unavailable
  bool is_group_unavailable_ = false;

  std::unique_ptr<discovery::DiscoveryWatch> fallback_watch_;
  EndpointsById fallback_endpoints_;
  Micros last_fallback_answer_{0};  // of the discovery service; 0: none yet
  std::uint64_t complete_polls_ = 0;
};

}  // namespace database_proxy::group
