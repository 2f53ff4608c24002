// Which list of data servers is in force at a process that may hear of it in several ways: from the group,
// from a voter that asks the list service for all while nobody owns that job, from the service itself. Pure:
// no clock, I/O or thread.
//
// - A list of another installation is never taken (links are refused before; here it is a second check).
// - Lists that the group committed come in its order, whatever their count: a list service that was reset
//   counts from the start again.
// - What is heard beside it goes by the list service's own count: an older one never replaces a newer one, so
//   no copy takes back the word that a server drains or is gone.
#pragma once

#include <cstdint>
#include <string>

#include "discovery/endpoint_list_codec.h"

namespace database_proxy::endpoint_list {

enum class Source { kNone, kOwnCopy, kPeer, kService, kGroup };
const char* text_of(Source source);

class EndpointListSelector {
 public:
  explicit EndpointListSelector(std::string installation) : installation_(std::move(installation)) {}
  // A whole list; `said_ms`: when the list service gave it (Unix milliseconds), 0: not known. True: what is
  // in force has changed. A list that is known already only becomes younger.
  bool consider(Source source, const std::string& installation, discovery::EndpointListUpdate whole,
                std::int64_t said_ms);
  const discovery::EndpointListUpdate& list() const { return list_; }
  Source source() const { return source_; }
  bool any() const { return source_ != Source::kNone; }
  std::int64_t said_ms() const { return said_ms_; }
  std::uint64_t turned_down() const { return turned_down_; }

 private:
  std::string installation_;
  discovery::EndpointListUpdate list_;
  Source source_ = Source::kNone;
  std::int64_t said_ms_ = 0;
  std::uint64_t turned_down_ = 0;
};

}  // namespace database_proxy::endpoint_list
