#include "endpoint_list/endpoint_list_selector.h"

#include <algorithm>

namespace database_proxy::endpoint_list {

const char* text_of(Source source) {
  constexpr const char* kTexts[] = {"none", "own copy", "a voter's copy", "the list service", "the group"};
  return kTexts[static_cast<std::size_t>(source)];
}

bool EndpointListSelector::consider(Source source, const std::string& installation,
                                    discovery::EndpointListUpdate whole, std::int64_t said_ms) {
  bool in_order = source == Source::kGroup && source_ == Source::kGroup;
  if (installation != installation_ || source == Source::kNone ||
      (any() && !in_order && whole.generation < list_.generation)) {
    ++turned_down_;
    return false;
  }
  if (any() && whole.generation == list_.generation && !in_order) {  // the same once more
    said_ms_ = std::max(said_ms_, said_ms);
    source_ = std::max(source_, source);
    return false;
  }
  whole.reset = true;
  list_ = std::move(whole);
  source_ = source;
  said_ms_ = said_ms;
  return true;
}

}  // namespace database_proxy::endpoint_list
