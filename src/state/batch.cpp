#include "state/batch.h"

#include <iterator>

namespace database_proxy::state {

void Batch::add(Batch next) {
  // Removals come first when the batch is carried out. A later range therefore also cancels the earlier
  // changes of its keys here.
  for (const auto& range : next.removals)
    std::erase_if(changes, [&](const KeyChange& change) { return range.contains(change.key); });
  removals.insert(removals.end(), std::make_move_iterator(next.removals.begin()),
                  std::make_move_iterator(next.removals.end()));
  changes.insert(changes.end(), std::make_move_iterator(next.changes.begin()),
                 std::make_move_iterator(next.changes.end()));
}

}  // namespace database_proxy::state
