// Selects the endpoint list in effect at a process that may receive lists in several ways: from the group,
// from a voter that polls the discovery service while no node owns that job, or from the service itself. No
// clock, I/O or thread.
//
// A list of another installation is never accepted. This is a second check, as links to other installations
// are rejected earlier.
//
// Lists that the group committed are accepted in the order of the group's log, regardless of their
// generation, because a discovery service that was reset counts from the beginning again.
//
// All other lists are ordered by their generation: an older list never replaces a newer one, so a copy cannot
// revert that a server is draining or removed.
#pragma once

#include <cstdint>
#include <string>
#include <utility>

#include "discovery/endpoint_list_codec.h"

namespace database_proxy::endpoint_list {

// Where a list came from, in ascending order of authority.
enum class Source {
  kNone,
  kOwnCopy,  // stored by this process
  kPeer,     // a voter's copy
  kService,  // the discovery service
  kGroup     // committed by the group
};

// Returns the text that status reports show.
const char* name_of(Source source);

// Owned by a group node, which calls it on its event loop.
class EndpointListSelector {
 public:
  explicit EndpointListSelector(std::string installation) : installation_(std::move(installation)) {}

  // Considers a full list. `published_at_ms`: when the discovery service published it (Unix milliseconds), 0:
  // not known. Returns whether the list in effect has changed. Of a list that is in effect already, only a
  // later publication time and a source of more authority are stored.
  bool consider(Source source, const std::string& installation, discovery::EndpointListUpdate list,
                std::int64_t published_at_ms);

  // The list in effect; empty while there is none.
  const discovery::EndpointListUpdate& list() const { return list_; }
  Source source() const { return source_; }
  // Whether a list is in effect.
  bool has_list() const { return source_ != Source::kNone; }
  // When the list in effect was published (Unix milliseconds), 0: not known.
  std::int64_t published_at_ms() const { return published_at_ms_; }
  // The number of lists rejected so far.
  std::uint64_t rejected() const { return rejected_; }

 private:
  std::string installation_;
  discovery::EndpointListUpdate list_;
  Source source_ = Source::kNone;
  std::int64_t published_at_ms_ = 0;
  std::uint64_t rejected_ = 0;
};

}  // namespace database_proxy::endpoint_list
