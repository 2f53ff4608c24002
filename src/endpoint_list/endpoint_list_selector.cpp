#include "endpoint_list/endpoint_list_selector.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

#include "discovery/endpoint_list_codec.h"

namespace database_proxy::endpoint_list {

const char* name_of(Source source) {
  constexpr std::array kNames{"none", "own copy", "a voter's copy", "the list service", "the group"};
  return kNames.at(static_cast<std::size_t>(source));
}

bool EndpointListSelector::consider(Source source, const std::string& installation,
                                    discovery::EndpointListUpdate list, std::int64_t published_at_ms) {
  bool is_in_log_order = source == Source::kGroup && source_ == Source::kGroup;
  bool is_older = has_list() && !is_in_log_order && list.generation < list_.generation;
  if (installation != installation_ || source == Source::kNone || is_older) {
    ++rejected_;
    return false;
  }
  bool is_in_effect = has_list() && !is_in_log_order && list.generation == list_.generation;
  if (is_in_effect) {
    published_at_ms_ = std::max(published_at_ms_, published_at_ms);
    source_ = std::max(source_, source);
    return false;
  }
  list.reset = true;
  list_ = std::move(list);
  source_ = source;
  published_at_ms_ = published_at_ms;
  return true;
}

}  // namespace database_proxy::endpoint_list
