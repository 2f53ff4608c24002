// What is laid over discovery's endpoint list before anybody sees it: the operators' word on data servers,
// and what other processes of this proxy were told. A server that is out by either is shown as draining,
// together with the time of the first notice. Pure: no clock, no I/O.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "discovery/endpoint_list_codec.h"
#include "endpoint_list/cordon_marks.h"
#include "endpoint_list/endpoint_list_view.h"

namespace database_proxy::endpoint_list {

// Owned by whoever receives the endpoint lists; not thread safe.
class EndpointOverlay {
 public:
  enum class Result { kDone, kUnchanged, kUnknownServer, kTooMany };

  // The update that came at `now`, as all others are to see it.
  discovery::EndpointListUpdate apply_to(discovery::EndpointListUpdate update, Micros now);

  // A command of an operator. `change` is the update that the others need, where the result is kDone.
  Result set_cordon(const std::string& id, bool is_cordoned, Micros now,
                    discovery::EndpointListUpdate* change);

  // What another process's marks have changed here.
  struct Merge {
    CordonMarks accepted;                  // that are later than those here
    discovery::EndpointListUpdate change;  // that the others need
  };
  // Takes over later marks of another process; nullopt: there is none.
  std::optional<Merge> merge_cordons(const CordonMarks& marks);

  // Another process has this list, or had it when it ended. While it is newer than the list here, a server
  // that it does not have as up is out, without any grace. Returns the update that the others need, if any.
  std::optional<discovery::EndpointListUpdate> add_view(const EndpointListView& view);

  const CordonMarks& cordons() const { return cordons_; }
  // What this process knows, for the others.
  EndpointListView view() const;
  // Whether no other server of the id's group takes work.
  bool is_last_of_group(const std::string& id) const;

 private:
  struct Listed {
    discovery::Endpoint endpoint;       // as discovery has it
    std::optional<Micros> notified_at;  // of its drain
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
  std::string service_;                         // that has sent the last list; empty: not known
  std::int64_t generation_ = 0;                 // of the last list
  std::optional<EndpointListView> newer_view_;  // of another process, where it is newer than the list here
};

}  // namespace database_proxy::endpoint_list
