#include "coldstart/lists.h"

#include <algorithm>

namespace linenwinch::coldstart {

const char* text_of(Origin origin) {
  constexpr const char* kTexts[] = {"none", "own copy", "a voter's copy", "the list service", "the group"};
  return kTexts[static_cast<std::size_t>(origin)];
}

bool Lists::offer(Origin origin, const std::string& installation, discovery::MemberUpdate whole,
                  std::int64_t said_ms) {
  bool in_order = origin == Origin::kGroup && origin_ == Origin::kGroup;
  if (installation != installation_ || origin == Origin::kNone ||
      (any() && !in_order && whole.generation < list_.generation)) {
    ++turned_down_;
    return false;
  }
  if (any() && whole.generation == list_.generation && !in_order) {  // the same once more
    said_ms_ = std::max(said_ms_, said_ms);
    origin_ = std::max(origin_, origin);
    return false;
  }
  whole.reset = true;
  list_ = std::move(whole);
  origin_ = origin;
  said_ms_ = said_ms;
  return true;
}

}  // namespace linenwinch::coldstart
