#include "consensus/read_index.h"

namespace database_proxy::consensus {

void ReadIndex::add(std::uint64_t ticket, std::uint64_t round) {
  pending_.push_back({ticket, round});
  is_round_requested_ = true;
}

void ReadIndex::confirm(std::uint64_t round, std::vector<ReadResult>* results) {
  std::erase_if(pending_, [&](const PendingRead& read) {
    if (read.round > round) return false;
    results->push_back({read.ticket, true});
    return true;
  });
}

void ReadIndex::fail_all(std::vector<ReadResult>* results) {
  for (const auto& read : pending_) results->push_back({read.ticket, false});
  pending_.clear();
  is_round_requested_ = false;
}

}  // namespace database_proxy::consensus
