// Overlays discovery's endpoint list with the operators' cordons and with newer endpoint lists of other
// processes of this proxy, before any other code uses it. A server that either of them takes out of service
// is shown as draining, with the time of the first notice. No clock, no I/O.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "discovery/endpoint_list_codec.h"
#include "endpoint_list/cordon_marks.h"
#include "endpoint_list/endpoint_list_view.h"

namespace database_proxy::endpoint_list {

// Owned by the receiver of the endpoint lists; not thread safe.
class EndpointOverlay {
 public:
  enum class Result { kDone, kUnchanged, kUnknownServer, kTooMany };

  // Returns the update that was received at `now` with the overlay applied.
  discovery::EndpointListUpdate apply_to(discovery::EndpointListUpdate update, Micros now);

  // Applies an operator's command. If the result is kDone, `change` is the resulting list update.
  Result set_cordon(const std::string& id, bool is_cordoned, Micros now,
                    discovery::EndpointListUpdate* change);

  // The effect of merging another process's marks.
  struct Merge {
    CordonMarks accepted;                  // the marks that were later than those here
    discovery::EndpointListUpdate change;  // the resulting list update
  };
  // Accepts the marks of another process that are later than those here; nullopt: there are none.
  std::optional<Merge> merge_cordons(const CordonMarks& marks);

  // Adds the list view of another process, or the last view of one that has ended. While its list is newer
  // than the list here, a server that is not up in it is out of service, without a grace period. Returns the
  // resulting list update, if any.
  std::optional<discovery::EndpointListUpdate> add_view(const EndpointListView& view);

  const CordonMarks& cordons() const { return cordons_; }
  // The newest view known to this process, for other processes.
  EndpointListView view() const;
  // Whether no other server of its shard group is in service.
  bool is_last_of_group(const std::string& id) const;

 private:
  struct Listed {
    discovery::Endpoint endpoint;       // as discovery reports it
    std::optional<Micros> notified_at;  // time of the first notice that it drains
  };
  bool is_cordoned(const std::string& id) const;
  bool reserve_cordon_slot(const std::string& id);
  bool is_unavailable_elsewhere(const std::string& id) const;
  bool is_comparable(const EndpointListView& view) const;
  discovery::Endpoint apply_overlay(const std::string& id, const Listed& listed) const;
  void record(const discovery::Endpoint& endpoint, const std::map<std::string, Listed>& before,
              Micros notice);
  void drop_outdated_view(const discovery::EndpointListUpdate& update);
  void add_change(const std::string& id, discovery::EndpointListUpdate* change) const;
  std::set<std::string> unavailable_elsewhere() const;

  std::map<std::string, Listed> listed_;
  CordonMarks cordons_;
  std::string service_;                         // discovery service of the last list; empty: not known
  std::int64_t generation_ = 0;                 // of the last list
  std::optional<EndpointListView> newer_view_;  // of another process; empty: none is newer than the list here
};

}  // namespace database_proxy::endpoint_list
