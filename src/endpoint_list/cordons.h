// The operators' word on data servers, laid over the endpoint list before anybody sees it: a cordoned server
// is shown as draining, whatever discovery says of it. Pure: no clock, no I/O.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "discovery/endpoint_list_codec.h"

namespace database_proxy::endpoint_list {

using Micros = std::chrono::microseconds;  // on the machine's monotonic clock, which all its processes share

// The last command on one server. Of two, from whatever process, the one with the later time holds.
struct CordonMark {
  Micros changed_at{0};
  bool is_cordoned = false;
  bool operator==(const CordonMark&) const = default;
};
using CordonMarks = std::map<std::string, CordonMark>;  // by the server's id

// More servers than any site has: a mistake in a script must not fill the memory.
constexpr std::size_t kMostCordonMarks = 1024;

// Owned by whoever receives the endpoint lists; not thread safe.
class Cordons {
 public:
  enum class Result { kDone, kUnchanged, kUnknownServer, kTooMany };

  // The update as all others are to see it.
  discovery::EndpointListUpdate apply_to(discovery::EndpointListUpdate update);

  // A command of an operator. `change` is the update that the others need, where the result is kDone.
  Result set(const std::string& id, bool is_cordoned, Micros now, discovery::EndpointListUpdate* change);

  // What another process's marks have changed here.
  struct Merge {
    CordonMarks taken_over;                // that are later than those here
    discovery::EndpointListUpdate change;  // that the others need
  };
  // Takes over later marks of another process; nullopt: there is none.
  std::optional<Merge> merge(const CordonMarks& marks);

  const CordonMarks& marks() const { return marks_; }
  // Whether no other server of the id's group takes work.
  bool is_last_of_group(const std::string& id) const;

 private:
  bool is_cordoned(const std::string& id) const;
  discovery::Endpoint overlaid(discovery::Endpoint endpoint) const;
  void add_change(const std::string& id, discovery::EndpointListUpdate* change) const;

  std::map<std::string, discovery::Endpoint> listed_;  // as discovery has them
  CordonMarks marks_;
  std::int64_t generation_ = 0;  // of the last list
};

}  // namespace database_proxy::endpoint_list
