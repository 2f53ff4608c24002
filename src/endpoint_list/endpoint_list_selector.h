// Selects the endpoint list in effect at a process that may receive lists in several ways: from the group,
// from a voter that polls the discovery service while nobody owns that job, or from the service itself. Pure:
// no clock, I/O or thread.
//
// - A list of another installation is never accepted. Links to other installations are refused before; here
// it
//   is a second check.
// - Lists that the group committed are accepted in the order of the group's log, whatever their generation: a
//   discovery service that was reset counts from the beginning again.
// - All other lists go by their generation: an older one never replaces a newer one, so no copy takes back
// that
//   a server drains or is removed.
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

// The text that status reports show.
const char* name_of(Source source);

// Each group node owns one and calls it on its event loop.
class EndpointListSelector {
 public:
  explicit EndpointListSelector(std::string installation) : installation_(std::move(installation)) {}

  // Considers a full list. `published_at_ms`: when the discovery service published it (Unix milliseconds), 0:
  // not known. Returns whether the list in effect has changed. A list that is in effect already may only get
  // a later publication time and a source of more authority.
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
