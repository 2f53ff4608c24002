#include "state/batch.h"

#include <iterator>

namespace database_proxy::state {

void Batch::add(Batch next) {
  // A batch applies its removals before its changes. A range of `next` must therefore also drop the earlier
  // changes to its keys from this batch.
  for (const auto& range : next.removals)
    std::erase_if(changes, [&](const KeyChange& change) { return range.contains(change.key); });
  removals.insert(removals.end(), std::make_move_iterator(next.removals.begin()),
                  std::make_move_iterator(next.removals.end()));
  changes.insert(changes.end(), std::make_move_iterator(next.changes.begin()),
                 std::make_move_iterator(next.changes.end()));
}

}  // namespace database_proxy::state
